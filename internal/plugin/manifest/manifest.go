// Package manifest reads the folder of a plug-in: its manifest (manifest.json), its
// code and its samples (samples/*.json). A loaded Manifest has been validated and must
// not be modified.
package manifest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"snowjunction/internal/plugin/guard"
	"snowjunction/internal/schema"
)

// Hook is a point in the processing of a message at which plug-ins are called.
type Hook string

// The hooks.
const (
	Admit Hook = "admit" // before a message is accepted
	Shape Hook = "shape" // before the request of an attempt is sent
	Read  Hook = "read"  // after the answer to an attempt has been received
	Ended Hook = "ended" // after a message has reached its final state
)

// Manifest is the content of a plug-in's folder.
type Manifest struct {
	Name     string     `json:"name"`
	Version  string     `json:"version"`
	Protocol int        `json:"protocol"`
	About    string     `json:"about,omitempty"`
	Engine   string     `json:"engine"` // starlark or wasm
	Code     string     `json:"code"`   // file name
	Hooks    []Hook     `json:"hooks"`
	Order    int        `json:"order,omitempty"` // plug-ins with lower values are called first
	Sees     FlowFilter `json:"sees,omitzero"`
	Touches  struct {
		Headers bool `json:"headers,omitempty"`
		Path    bool `json:"path,omitempty"`
		Body    bool `json:"body,omitempty"`
	} `json:"touches,omitzero"`
	Budget Budget `json:"budget,omitzero"`

	Dir     string   `json:"-"`
	Source  []byte   `json:"-"` // content of the code file
	Samples []Sample `json:"-"`
}

// FlowFilter restricts the flows for which a plug-in is called. An empty list matches all.
type FlowFilter struct {
	Destinations []uint32 `json:"destinations,omitempty"`
	Classes      []string `json:"classes,omitempty"`
	Tenants      []string `json:"tenants,omitempty"`
}

// Matches reports whether a flow matches.
func (s FlowFilter) Matches(destination uint32, class, tenant string) bool {
	return (len(s.Destinations) == 0 || slices.Contains(s.Destinations, destination)) &&
		(len(s.Classes) == 0 || slices.Contains(s.Classes, class)) &&
		(len(s.Tenants) == 0 || slices.Contains(s.Tenants, tenant))
}

// Budget limits the resources of one call.
type Budget struct {
	TimeMs    int `json:"time_ms,omitempty"`
	Steps     int `json:"steps,omitempty"`
	MemoryMB  int `json:"memory_mb,omitempty"`  // of the host process, in addition to its own needs
	BodyBytes int `json:"body_bytes,omitempty"` // of a body that is passed to the plug-in
}

// Default budget.
const (
	DefaultTimeMs    = 10
	DefaultSteps     = 200_000
	DefaultMemoryMB  = 16
	DefaultBodyBytes = 4096
)

// TimeLimit returns the time limit.
func (b Budget) TimeLimit() time.Duration { return time.Duration(b.TimeMs) * time.Millisecond }

// Has reports whether the plug-in serves a hook.
func (m *Manifest) Has(h Hook) bool { return slices.Contains(m.Hooks, h) }

// Permissions returns the parts of a request that the plug-in may change.
func (m *Manifest) Permissions() guard.Permissions {
	return guard.Permissions{Headers: m.Touches.Headers, Path: m.Touches.Path, Body: m.Touches.Body}
}

// Sample is a test case: a call and its expected answer.
type Sample struct {
	Name     string          `json:"-"`
	Hook     Hook            `json:"hook"`
	Call     json.RawMessage `json:"call"`
	Expected json.RawMessage `json:"want"`
}

// Limits of a folder: file sizes in bytes and the number of samples.
const (
	maxCodeBytes   = 16 << 20
	maxSampleBytes = 256 << 10
	maxSamples     = 256
)

// Load reads the plug-in in the folder dir.
func Load(dir string) (*Manifest, error) {
	path := filepath.Join(dir, "manifest.json")
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("plug-in: %w", err)
	}
	if err := schema.Check("plugin", b); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	m := &Manifest{Dir: dir}
	if err := json.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, d := range []struct {
		v     *int
		other int
	}{
		{&m.Budget.TimeMs, DefaultTimeMs}, {&m.Budget.Steps, DefaultSteps},
		{&m.Budget.MemoryMB, DefaultMemoryMB}, {&m.Budget.BodyBytes, DefaultBodyBytes},
	} {
		if *d.v == 0 {
			*d.v = d.other
		}
	}
	if m.Source, err = readFile(filepath.Join(dir, m.Code), maxCodeBytes); err != nil {
		return nil, fmt.Errorf("plug-in %s: %w", m.Name, err)
	}
	return m, m.loadSamples()
}

// readFile reads a regular file of at most maxBytes bytes.
func readFile(path string, maxBytes int64) ([]byte, error) {
	i, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !i.Mode().IsRegular() || i.Size() > maxBytes {
		return nil, fmt.Errorf("%s: expected a regular file of at most %d bytes", path, maxBytes)
	}
	return os.ReadFile(path)
}

// loadSamples reads the samples of the plug-in in the order of their file names.
func (m *Manifest) loadSamples() error {
	paths, err := filepath.Glob(filepath.Join(m.Dir, "samples", "*.json"))
	if err != nil {
		return err
	}
	if len(paths) > maxSamples {
		return fmt.Errorf("plug-in %s: %d samples exceed the limit of %d", m.Name, len(paths), maxSamples)
	}
	slices.Sort(paths)
	for _, path := range paths {
		b, err := readFile(path, maxSampleBytes)
		if err != nil {
			return fmt.Errorf("plug-in %s: %w", m.Name, err)
		}
		s := Sample{Name: filepath.Base(path)}
		if err := json.Unmarshal(b, &s); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if !m.Has(s.Hook) {
			return fmt.Errorf("%s: the plug-in does not serve the hook %q", path, s.Hook)
		}
		m.Samples = append(m.Samples, s)
	}
	return nil
}

// LoadAll reads the plug-ins in the subfolders of dir and returns them in the order in which they
// are called. The error names every plug-in that cannot be loaded; the others are still returned.
func LoadAll(dir string) (list []*Manifest, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("plug-ins: %w", err)
	}
	var wrong []error
	names := map[string]string{}
	for _, e := range entries {
		path := filepath.Join(dir, e.Name())
		if i, err := os.Stat(path); err != nil || !i.IsDir() {
			continue
		}
		m, err := Load(path)
		if err == nil && names[m.Name] != "" {
			err = fmt.Errorf("plug-in %s: the folders %s and %s both contain a plug-in of this name", m.Name, names[m.Name], path)
		}
		if err != nil {
			wrong = append(wrong, err)
			continue
		}
		names[m.Name] = path
		list = append(list, m)
	}
	slices.SortStableFunc(list, func(a, b *Manifest) int {
		if a.Order != b.Order {
			return a.Order - b.Order
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list, errors.Join(wrong...)
}
