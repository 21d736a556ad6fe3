// Package engine runs a plug-in's code in the host process: a Starlark script or
// a WebAssembly module. Every call gets JSON and returns JSON (docs/plugins.md
// has the protocol). Code reaches nothing but what it is given, its memory of
// keys and values, and a log.
package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snowjunction/internal/plugin/manifest"
)

// Reasons for which a call ends without an answer.
var (
	ErrTime  = errors.New("over its time")
	ErrSteps = errors.New("over its steps")
	ErrTrap  = errors.New("it broke off")
	ErrForm  = errors.New("its answer has no form that is known")
)

// Engine is a plug-in's code, ready to be called. It is used by one goroutine.
type Engine interface {
	// Call asks the plug-in. Its errors wrap the reasons.
	Call(ctx context.Context, h manifest.Hook, call []byte) ([]byte, error)
	Close()
}

// Host is what code can reach.
type Host interface {
	Log(text string)
	Get(key string) (string, bool)
	Set(key, value string) bool // false: there is no room
}

// Open makes a plug-in's code ready, in a time that bounds a new begin of a module later, too.
func Open(m *manifest.Manifest, h Host, within time.Duration) (Engine, error) {
	switch m.Engine {
	case "starlark":
		return openStarlark(m, h)
	case "wasm":
		return openWasm(m, h, within)
	}
	return nil, fmt.Errorf("no engine %q", m.Engine)
}

// answerMost bounds what a call may return.
const answerMost = 256 << 10

// Memory is a plug-in's keys and values, bounded.
type Memory struct {
	Values  map[string]string
	changed map[string]string
	size    int
}

// Bounds of a memory.
const (
	KeysMost   = 64
	KeyMost    = 64
	ValueMost  = 1024
	MemoryMost = 16 << 10
)

// NewMemory returns a memory that holds what fits of values.
func NewMemory(values map[string]string) *Memory {
	m := &Memory{Values: map[string]string{}}
	for k, v := range values {
		m.Set(k, v)
	}
	m.changed = nil
	return m
}

// Get returns a value.
func (m *Memory) Get(key string) (string, bool) {
	v, ok := m.Values[key]
	return v, ok
}

// Set keeps a value, or forgets the key with an empty one. It returns false
// where there is no room.
func (m *Memory) Set(key, value string) bool {
	old, had := m.Values[key]
	size := m.size + len(value) - len(old)
	if !had {
		size += len(key)
	}
	if value == "" {
		if had {
			m.size -= len(key) + len(old)
			delete(m.Values, key)
			m.change(key, "")
		}
		return true
	}
	if key == "" || len(key) > KeyMost || len(value) > ValueMost || size > MemoryMost || !had && len(m.Values) >= KeysMost {
		return false
	}
	m.Values[key], m.size = value, size
	m.change(key, value)
	return true
}

func (m *Memory) change(key, value string) {
	if m.changed == nil {
		m.changed = map[string]string{}
	}
	m.changed[key] = value
}

// Changes returns what has been set since it was last asked; nil: nothing.
func (m *Memory) Changes() map[string]string {
	c := m.changed
	m.changed = nil
	return c
}
