// Package experiment runs a grid of settings in the emulator, each cell with several seeds, and
// summarizes the results: resumable runs, CSV and JSON, means with confidence intervals, plots
// and a report.
//
// Planning (plan.go) and evaluation (stats.go, table.go, plot.go, report.go) do no I/O and start
// no goroutine; run.go and store.go do.
package experiment

import (
	"embed"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"snowjunction/internal/emulate"
	"snowjunction/internal/emulate/policy"
	"snowjunction/internal/library"
	"snowjunction/internal/schema"
)

// Axis is one varied setting: the policies, or a value of the scenario.
type Axis struct {
	Name     string            `json:"name"`
	Pointer  string            `json:"pointer,omitempty"` // RFC 6901 JSON pointer into the scenario
	Policies []string          `json:"policies,omitempty"`
	Values   []json.RawMessage `json:"values,omitempty"`
	// Also are further pointers that change together with the axis, with one value per step.
	Also []struct {
		Pointer string            `json:"pointer"`
		Values  []json.RawMessage `json:"values"`
	} `json:"also,omitempty"`
}

// Plot is one chart: a measure over an axis, with one line for each value of another axis.
type Plot struct {
	Title string `json:"title"`
	X     string `json:"x"`
	Y     string `json:"y"`
	Lines string `json:"lines,omitempty"`
	Log   bool   `json:"log_x,omitempty"`
	// Where selects a value, by its label, on each axis that is neither x nor lines. An axis that
	// is missing here uses its first value.
	Where map[string]string `json:"where,omitempty"`
}

// File is an experiment. Its schema is internal/schema/experiment.schema.json.
type File struct {
	Name       string          `json:"name"`
	About      string          `json:"about"`
	Scenario   string          `json:"scenario"`
	With       json.RawMessage `json:"with,omitempty"` // JSON merge patch applied to the scenario
	Axes       []Axis          `json:"axes"`
	Seeds      int             `json:"seeds"`
	FirstSeed  uint64          `json:"first_seed"`
	Rules      bool            `json:"rules"`
	Baseline   string          `json:"baseline,omitempty"` // axis whose first value the others are compared with, seed by seed
	Measures   []string        `json:"measures"`
	Plots      []Plot          `json:"plots"`
	Conclusion string          `json:"conclusion,omitempty"`
}

//go:embed library/*.json
var shipped embed.FS

// Library is the set of experiments that ship with the program.
var Library = library.Set{FS: shipped, Kind: "experiment"}

// Read reads an experiment, either a library experiment by its name or a file. It also returns
// the directory in which the scenario file is looked up.
func Read(name string) (*File, string, error) {
	text, dir, err := Library.Read(name, "")
	if err != nil {
		return nil, "", err
	}
	f, err := Parse(name, text)
	return f, dir, err
}

// Parse parses and validates the text of an experiment.
func Parse(name string, text []byte) (*File, error) {
	if err := schema.Check("experiment", text); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	f := &File{FirstSeed: 1}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	return f, nil
}

func (f *File) axisIndex(name string) int {
	return slices.IndexFunc(f.Axes, func(a Axis) bool { return a.Name == name })
}

// check validates what the schema cannot express.
func (f *File) check() error {
	for i, a := range f.Axes {
		at := fmt.Sprintf("/axes/%d", i)
		if (len(a.Policies) > 0) == (len(a.Values) > 0) {
			return fmt.Errorf("%s: exactly one of policies and values is required", at)
		}
		if len(a.Values) > 0 && a.Pointer == "" {
			return fmt.Errorf("%s/pointer: required with values", at)
		}
		for n, p := range a.Policies {
			if !slices.Contains(policy.Names(), p) {
				return fmt.Errorf("%s/policies/%d: unknown policy %q; known policies: %s", at, n, p, strings.Join(policy.Names(), ", "))
			}
		}
		for n, also := range a.Also {
			if len(also.Values) != a.Len() {
				return fmt.Errorf("%s/also/%d/values: must have as many values as the axis", at, n)
			}
		}
		if f.axisIndex(a.Name) != i {
			return fmt.Errorf("%s/name: duplicate axis name", at)
		}
	}
	for i, m := range f.Measures {
		if !slices.Contains(emulate.MeasureNames(), m) {
			return fmt.Errorf("/measures/%d: unknown measure %q; known measures: %s", i, m, strings.Join(emulate.MeasureNames(), ", "))
		}
	}
	for i, p := range f.Plots {
		switch {
		case f.axisIndex(p.X) < 0:
			return fmt.Errorf("/plots/%d/x: no axis %q", i, p.X)
		case p.Lines != "" && (f.axisIndex(p.Lines) < 0 || p.Lines == p.X):
			return fmt.Errorf("/plots/%d/lines: no other axis %q", i, p.Lines)
		case !slices.Contains(f.Measures, p.Y):
			return fmt.Errorf("/plots/%d/y: %q is not among the measures", i, p.Y)
		}
		for _, name := range slices.Sorted(maps.Keys(p.Where)) {
			if a := f.axisIndex(name); a < 0 || name == p.X || name == p.Lines || f.Axes[a].indexOf(p.Where[name]) < 0 {
				return fmt.Errorf("/plots/%d/where/%s: no value %q of another axis", i, name, p.Where[name])
			}
		}
	}
	if f.Baseline != "" && f.axisIndex(f.Baseline) < 0 {
		return fmt.Errorf("/baseline: no axis %q", f.Baseline)
	}
	return nil
}

// Len returns the number of values of an axis.
func (a *Axis) Len() int { return max(len(a.Policies), len(a.Values)) }

// Label returns the printed form of a value.
func (a *Axis) Label(i int) string {
	if len(a.Policies) > 0 {
		return a.Policies[i]
	}
	return strings.Trim(string(a.Values[i]), `"`)
}

// indexOf returns the index of a value by its label, or -1 if there is no such value.
func (a *Axis) indexOf(label string) int {
	for i := range a.Len() {
		if a.Label(i) == label {
			return i
		}
	}
	return -1
}

// Cell is one point of the grid: the index of its value on each axis.
type Cell []int

// Run is one cell with one seed.
type Run struct {
	Number int
	Cell   int
	Seed   uint64
	Policy string
}

// Key identifies a run in the results file, independently of other changes to the grid.
func (p *Plan) Key(r Run) string {
	return fmt.Sprintf("%016x-%s-%d", xxhash.Sum64(p.scenarioTexts[r.Cell]), r.Policy, r.Seed)
}

// Plan is the expanded grid of an experiment.
type Plan struct {
	File          *File
	Cells         []Cell
	Scenarios     []*emulate.Scenario // by cell
	Runs          []Run
	scenarioTexts [][]byte
}

// maxRuns limits the size of a grid.
const maxRuns = 100_000

// NewPlan expands the grid and parses the scenario of every cell, so that an error in the last one is
// reported before the first run starts. dir is the directory in which a scenario file is looked up.
func NewPlan(f *File, dir string) (*Plan, error) {
	p := &Plan{File: f}
	base, err := emulate.Text(dir, f.Scenario)
	if err != nil {
		return nil, err
	}
	if len(f.With) > 0 {
		if base, err = jsonpatch.MergePatch(base, f.With); err != nil {
			return nil, fmt.Errorf("experiment %s: /with: %w", f.Name, err)
		}
	}
	total := f.Seeds
	for i := range f.Axes {
		if total *= f.Axes[i].Len(); total > maxRuns {
			return nil, fmt.Errorf("experiment %s: more than %d runs", f.Name, maxRuns)
		}
	}
	cell := make(Cell, len(f.Axes))
	for {
		if err := p.addCell(base, slices.Clone(cell)); err != nil {
			return nil, err
		}
		i := len(cell) - 1
		for ; i >= 0; i-- {
			if cell[i]++; cell[i] < f.Axes[i].Len() {
				break
			}
			cell[i] = 0
		}
		if i < 0 {
			return p, nil
		}
	}
}

func (p *Plan) addCell(base []byte, cell Cell) error {
	type op struct {
		Op    string          `json:"op"`
		Path  string          `json:"path"`
		Value json.RawMessage `json:"value"`
	}
	var ops []op
	policyName, labels := "module", []string{}
	for i, v := range cell {
		a := &p.File.Axes[i]
		labels = append(labels, a.Name+" "+a.Label(v))
		if len(a.Policies) > 0 {
			policyName = a.Policies[v]
		} else {
			ops = append(ops, op{"add", a.Pointer, a.Values[v]})
		}
		for _, also := range a.Also {
			ops = append(ops, op{"add", also.Pointer, also.Values[v]})
		}
	}
	text := base
	if len(ops) > 0 {
		b, err := json.Marshal(ops)
		if err != nil {
			return err
		}
		patch, err := jsonpatch.DecodePatch(b)
		if err != nil {
			return err
		}
		if text, err = patch.ApplyWithOptions(base, &jsonpatch.ApplyOptions{EnsurePathExistsOnAdd: true, SupportNegativeIndices: true}); err != nil {
			return fmt.Errorf("experiment %s, %s: %w", p.File.Name, strings.Join(labels, ", "), err)
		}
	}
	s, err := emulate.Parse(p.File.Name+", "+strings.Join(labels, ", "), text)
	if err != nil {
		return err
	}
	var normalized any // normalizes the order of members, which a patch does not keep
	if err := json.Unmarshal(text, &normalized); err != nil {
		return err
	}
	if text, err = json.Marshal(normalized); err != nil {
		return err
	}
	cellIndex := len(p.Cells)
	p.Cells = append(p.Cells, cell)
	p.Scenarios = append(p.Scenarios, s)
	p.scenarioTexts = append(p.scenarioTexts, text)
	for n := range p.File.Seeds {
		p.Runs = append(p.Runs, Run{Number: len(p.Runs), Cell: cellIndex, Seed: p.File.FirstSeed + uint64(n), Policy: policyName})
	}
	return nil
}
