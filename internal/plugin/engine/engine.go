// Package engine runs the code of a plug-in in the host process: a Starlark script
// or a WebAssembly module. Each call takes JSON and returns JSON (docs/plugins.md
// describes the protocol). The code can access only the call's input, its
// key-value store and a log.
package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snowjunction/internal/plugin/manifest"
)

// Errors of a call that ends without a valid answer.
var (
	ErrTimeLimit     = errors.New("time limit exceeded")
	ErrStepLimit     = errors.New("step limit exceeded")
	ErrTrap          = errors.New("the code aborted")
	ErrInvalidAnswer = errors.New("invalid answer")
)

// Engine is the loaded code of a plug-in. It must be used by one goroutine only.
type Engine interface {
	// Call calls a hook of the plug-in. Its errors wrap one of the errors above.
	Call(ctx context.Context, h manifest.Hook, call []byte) ([]byte, error)
	Close()
}

// Host is the interface that the code of a plug-in can access.
type Host interface {
	Log(text string)
	Get(key string) (string, bool)
	Set(key, value string) bool // returns false if the store is full
}

// Open loads the code of a plug-in. The timeout also applies each time a WebAssembly module is
// instantiated again later.
func Open(m *manifest.Manifest, h Host, startTimeout time.Duration) (Engine, error) {
	switch m.Engine {
	case "starlark":
		return openStarlark(m, h)
	case "wasm":
		return openWasm(m, h, startTimeout)
	}
	return nil, fmt.Errorf("no engine %q", m.Engine)
}

// maxAnswerBytes limits the size of the answer to a call.
const maxAnswerBytes = 256 << 10

// KeyValueStore is the size-limited key-value store of a plug-in.
type KeyValueStore struct {
	Values  map[string]string
	changed map[string]string
	size    int
}

// Limits of a key-value store. Sizes are in bytes.
const (
	MaxKeys       = 64
	MaxKeyBytes   = 64
	MaxValueBytes = 1024
	MaxStoreBytes = 16 << 10
)

// NewKeyValueStore returns a store that holds those of the values that fit.
func NewKeyValueStore(values map[string]string) *KeyValueStore {
	m := &KeyValueStore{Values: map[string]string{}}
	for k, v := range values {
		m.Set(k, v)
	}
	m.changed = nil
	return m
}

// Get returns the value of a key and whether the key exists.
func (m *KeyValueStore) Get(key string) (string, bool) {
	v, ok := m.Values[key]
	return v, ok
}

// Set stores a value. An empty value deletes the key. Set returns false if the key or
// the value is invalid or the store is full.
func (m *KeyValueStore) Set(key, value string) bool {
	old, had := m.Values[key]
	size := m.size + len(value) - len(old)
	if !had {
		size += len(key)
	}
	if value == "" {
		if had {
			m.size -= len(key) + len(old)
			delete(m.Values, key)
			m.recordChange(key, "")
		}
		return true
	}
	if key == "" || len(key) > MaxKeyBytes || len(value) > MaxValueBytes || size > MaxStoreBytes || !had && len(m.Values) >= MaxKeys {
		return false
	}
	m.Values[key], m.size = value, size
	m.recordChange(key, value)
	return true
}

func (m *KeyValueStore) recordChange(key, value string) {
	if m.changed == nil {
		m.changed = map[string]string{}
	}
	m.changed[key] = value
}

// Changes returns the values set since the previous call of Changes, or nil if there are none.
// Deleted keys have an empty value.
func (m *KeyValueStore) Changes() map[string]string {
	c := m.changed
	m.changed = nil
	return c
}
