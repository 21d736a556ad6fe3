// Package manifest reads a plug-in's folder: its manifest, manifest.json, its
// code and its sample cases, samples/*.json. What it holds has been checked; it
// is not changed afterwards.
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

// Hook is a moment at which a plug-in is asked.
type Hook string

// The hooks.
const (
	Admit Hook = "admit" // before a message is taken on
	Shape Hook = "shape" // before an attempt leaves
	Read  Hook = "read"  // when its answer has come
	Ended Hook = "ended" // when a message has its end
)

// Manifest is what a plug-in's folder says.
type Manifest struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Protocol int    `json:"protocol"`
	About    string `json:"about,omitempty"`
	Engine   string `json:"engine"` // starlark or wasm
	Code     string `json:"code"`   // the file's name
	Hooks    []Hook `json:"hooks"`
	Order    int    `json:"order,omitempty"` // lower ones are asked first
	Sees     Sees   `json:"sees,omitzero"`
	Touches  struct {
		Headers bool `json:"headers,omitempty"`
		Path    bool `json:"path,omitempty"`
		Body    bool `json:"body,omitempty"`
	} `json:"touches,omitzero"`
	Budget Budget `json:"budget,omitzero"`

	Dir     string   `json:"-"`
	Text    []byte   `json:"-"` // the code
	Samples []Sample `json:"-"`
}

// Sees narrows the flows that a plug-in sees; an empty list means all.
type Sees struct {
	Destinations []uint32 `json:"destinations,omitempty"`
	Classes      []string `json:"classes,omitempty"`
	Tenants      []string `json:"tenants,omitempty"`
}

// Flow tells whether a flow is seen.
func (s Sees) Flow(destination uint32, class, tenant string) bool {
	return (len(s.Destinations) == 0 || slices.Contains(s.Destinations, destination)) &&
		(len(s.Classes) == 0 || slices.Contains(s.Classes, class)) &&
		(len(s.Tenants) == 0 || slices.Contains(s.Tenants, tenant))
}

// Budget bounds one call.
type Budget struct {
	TimeMs    int `json:"time_ms,omitempty"`
	Steps     int `json:"steps,omitempty"`
	MemoryMB  int `json:"memory_mb,omitempty"`  // of the host process, beyond its own
	BodyBytes int `json:"body_bytes,omitempty"` // of a body that is shown
}

// The budgets where none are given.
const (
	DefaultTimeMs    = 10
	DefaultSteps     = 200_000
	DefaultMemoryMB  = 16
	DefaultBodyBytes = 4096
)

// Time is the budget's time.
func (b Budget) Time() time.Duration { return time.Duration(b.TimeMs) * time.Millisecond }

// Has tells whether a plug-in serves a hook.
func (m *Manifest) Has(h Hook) bool { return slices.Contains(m.Hooks, h) }

// Allowed is what it may touch in a request.
func (m *Manifest) Allowed() guard.Allowed {
	return guard.Allowed{Headers: m.Touches.Headers, Path: m.Touches.Path, Body: m.Touches.Body}
}

// Sample is a call with what the plug-in must make of it.
type Sample struct {
	Name string          `json:"-"`
	Hook Hook            `json:"hook"`
	Call json.RawMessage `json:"call"`
	Want json.RawMessage `json:"want"`
}

// Bounds of a folder.
const (
	codeMost    = 16 << 20
	sampleMost  = 256 << 10
	samplesMost = 256
)

// Load reads the plug-in in a folder.
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
	if m.Text, err = read(filepath.Join(dir, m.Code), codeMost); err != nil {
		return nil, fmt.Errorf("plug-in %s: %w", m.Name, err)
	}
	return m, m.samples()
}

func read(path string, most int64) ([]byte, error) {
	i, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !i.Mode().IsRegular() || i.Size() > most {
		return nil, fmt.Errorf("%s: a file of at most %d bytes is wanted", path, most)
	}
	return os.ReadFile(path)
}

func (m *Manifest) samples() error {
	paths, err := filepath.Glob(filepath.Join(m.Dir, "samples", "*.json"))
	if err != nil {
		return err
	}
	if len(paths) > samplesMost {
		return fmt.Errorf("plug-in %s: %d samples, at most %d are taken", m.Name, len(paths), samplesMost)
	}
	slices.Sort(paths)
	for _, path := range paths {
		b, err := read(path, sampleMost)
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

// LoadAll reads the plug-ins in the folders of a folder, in the order in which
// they are asked. An error names every one that cannot be taken; the others are
// returned all the same.
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
			err = fmt.Errorf("plug-in %s: the folders %s and %s both hold it", m.Name, names[m.Name], path)
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
