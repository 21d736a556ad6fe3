// Package dirtool reads, compares and writes directory lists for operators: the
// snapshots that a courier keeps, and JSON in the directory's own form.
package dirtool

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/dircache"
	"snowjunction/internal/groups"
	"snowjunction/internal/learnedstate"
	"snowjunction/internal/partition"
	"snowjunction/internal/snapshot"
)

// Instance is an entry in the directory's form.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        uint32  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
}

// List is a list in the directory's form, with what a snapshot says beside it.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Agent      string     `json:"agent,omitempty"`
	ToldAtMs   int64      `json:"toldAtMs,omitempty"` // Unix time
	Partial    bool       `json:"partial,omitempty"`
	Partitions int        `json:"partitions,omitempty"` // of so many the list is of some, which Of names
	Of         []int      `json:"of,omitempty"`
	Instances  []Instance `json:"instances"`
}

const sizeMost = 256 << 20

// Read reads a list: from a folder the youngest snapshot that can be read, from a file
// a snapshot or JSON. What is wrong with younger snapshots of a folder is told.
func Read(path string, wrong func(file string, err error)) (*dircache.Snapshot, error) {
	i, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if i.IsDir() {
		s := dircache.Load(path, wrong)
		if s == nil {
			return nil, fmt.Errorf("%s holds no list that can be read", path)
		}
		return s, nil
	}
	if i.Size() > sizeMost {
		return nil, fmt.Errorf("%s: %d bytes are too many", path, i.Size())
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := dircache.Decode(b)
	if err != nil && bytes.HasPrefix(bytes.TrimSpace(b), []byte("{")) {
		s, err = Parse(b)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads a list in the directory's form. It must be whole, and one that a courier
// would take.
func Parse(b []byte) (*dircache.Snapshot, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, err
	}
	if !v.Exists("generation") {
		return nil, errors.New("/generation: missing")
	}
	if v.Get("reset") != nil && !v.GetBool("reset") {
		return nil, errors.New("/reset: these are changes, a whole list is wanted")
	}
	s := &dircache.Snapshot{Head: dircache.Head{
		Generation: v.GetUint64("generation"), Agent: string(v.GetStringBytes("agent")), Partial: v.GetBool("partial"),
	}}
	if v.Exists("partitions") {
		if s.Partitions = v.GetInt("partitions"); s.Partitions < 1 || s.Partitions > partition.MaxPartitions {
			return nil, errors.New("/partitions: not a number of partitions")
		}
		for _, x := range v.GetArray("of") {
			s.Covered = append(s.Covered, x.GetInt())
		}
		if n := len(s.Covered); !slices.IsSorted(s.Covered) || len(slices.Compact(slices.Clone(s.Covered))) < n || n > 0 && (s.Covered[0] < 0 || s.Covered[n-1] >= s.Partitions) {
			return nil, errors.New("/of: not partitions, in order, each once")
		}
	}
	if ms := v.GetInt64("toldAtMs"); ms != 0 {
		s.ConfirmedAt = time.UnixMilli(ms)
	}
	names := config.Names{Zones: map[string]int{}, Kinds: map[string]int{}}
	list := groups.NewList(true)
	for i, x := range v.GetArray("instances") {
		for key, by := range map[string]map[string]int{"zone": names.Zones, "machineType": names.Kinds} {
			name := string(x.GetStringBytes(key))
			if _, ok := by[name]; !ok {
				by[name] = len(by)
			}
		}
		e, err := names.Target(x)
		if err == nil && e.Phase != snowjunction.Gone {
			err = list.Add(e)
			s.Entries = append(s.Entries, e)
		}
		if err != nil {
			return nil, fmt.Errorf("/instances/%d: %w", i, err)
		}
	}
	s.Zones, s.Kinds = dircache.Names(names.Zones), dircache.Names(names.Kinds)
	return s, nil
}

// Export puts a list in the directory's form.
func Export(s *dircache.Snapshot) *List {
	l := &List{Generation: s.Generation, Reset: true, Agent: s.Agent, Partial: s.Partial, Partitions: s.Partitions, Of: s.Covered, Instances: []Instance{}}
	if !s.ConfirmedAt.IsZero() {
		l.ToldAtMs = s.ConfirmedAt.UnixMilli()
	}
	for _, e := range s.Entries {
		l.Instances = append(l.Instances, instance(s, e))
	}
	return l
}

func instance(s *dircache.Snapshot, e groups.Entry) Instance {
	name := func(names []string, no int) string {
		if no < len(names) {
			return names[no]
		}
		return ""
	}
	x := Instance{
		InstanceID: e.Name, HostPort: e.Addr, Zone: name(s.Zones, e.Zone), MachineType: name(s.Kinds, e.Kind),
		Cell: uint32(e.Destination), Lifecycle: "Ready", Weight: e.Weight,
	}
	if e.Phase != snowjunction.Ready {
		x.Lifecycle = "Terminating"
	}
	return x
}

// Write writes a list as JSON.
func (l *List) Write(w io.Writer) error {
	b, err := json.MarshalIndent(l, "", "  ")
	if err == nil {
		_, err = w.Write(append(b, '\n'))
	}
	return err
}

// Import puts a list into a folder as its youngest snapshot.
func Import(dir string, s *dircache.Snapshot, o dircache.Options) error {
	c, err := dircache.Open(o)
	if err != nil {
		return err
	}
	w := dircache.NewWriter(s.Head, o.Bytes)
	for _, e := range s.Entries {
		if !w.Add(e) {
			c.Close()
			return fmt.Errorf("%d endpoints take more than %d bytes", len(s.Entries), o.Bytes)
		}
	}
	c.Put(w.Bytes())
	c.Close()
	if c.Counts().Failed > 0 {
		return fmt.Errorf("the list cannot be written into %s", dir)
	}
	return nil
}

// Diff tells what leads from one list to another, a line for each endpoint, in order
// of their names.
func Diff(a, b *dircache.Snapshot) (lines []string) {
	was, is := map[string]Instance{}, map[string]Instance{}
	for _, e := range a.Entries {
		was[e.Name] = instance(a, e)
	}
	for _, e := range b.Entries {
		is[e.Name] = instance(b, e)
	}
	for name, x := range was {
		y, ok := is[name]
		if !ok {
			lines = append(lines, fmt.Sprintf("- %s cell %d at %s", name, x.Cell, x.HostPort))
			continue
		}
		var changes []string
		for _, f := range []struct {
			name     string
			from, to any
		}{
			{"at", x.HostPort, y.HostPort}, {"cell", x.Cell, y.Cell}, {"lifecycle", x.Lifecycle, y.Lifecycle}, {"zone", x.Zone, y.Zone},
			{"machineType", x.MachineType, y.MachineType}, {"weight", x.Weight, y.Weight},
		} {
			if f.from != f.to {
				changes = append(changes, fmt.Sprintf("%s %v -> %v", f.name, f.from, f.to))
			}
		}
		if len(changes) > 0 {
			lines = append(lines, fmt.Sprintf("~ %s %s", name, strings.Join(changes, ", ")))
		}
	}
	for name, y := range is {
		if _, ok := was[name]; !ok {
			lines = append(lines, fmt.Sprintf("+ %s cell %d at %s", name, y.Cell, y.HostPort))
		}
	}
	slices.SortFunc(lines, func(x, y string) int { return strings.Compare(x[2:], y[2:]) })
	return lines
}

// Row is what a folder says of one endpoint: what a start with the directory down would
// believe, and what was learnt of it.
type Row struct {
	Instance
	Standing string  `json:"standing"`
	Why      string  `json:"why"`
	WordAgeS float64 `json:"word_age_s"`
	Learnt   string  `json:"learnt,omitempty"` // condition, and for how long when it was kept
	LearntS  float64 `json:"learnt_age_s,omitempty"`
	Limit    float64 `json:"limit,omitempty"` // of its destination, all couriers together
}

var conditions = [...]string{"serving", "held", "warming"}

// Rows tells of a folder what a start at a time would make of it.
func Rows(dir string, s *dircache.Snapshot, fresh time.Duration, now time.Time, wrong func(file string, err error)) (rows []Row) {
	type known struct {
		m   *snapshot.Snapshot
		age time.Duration
	}
	learned := map[uint32]known{}
	for _, r := range learnedstate.Load(dir, wrong) {
		if m, err := snapshot.Decode(r.Snapshot); err != nil {
			wrong(filepath.Join(dir, "learnt"), err)
		} else {
			learned[r.Destination] = known{m, now.Sub(r.At)}
		}
	}
	age := now.Sub(s.ConfirmedAt)
	for _, e := range s.Entries {
		r := Row{Instance: instance(s, e), Standing: "probable", Why: "the list is young", WordAgeS: age.Seconds()}
		switch {
		case e.Phase != snowjunction.Ready:
			r.Standing, r.Why = "told", "the directory names it as draining"
		case age < -time.Second:
			r.Standing, r.Why = "doubtful", "the list is from the future: the clock was set back"
		case age >= fresh:
			r.Standing, r.Why = "doubtful", "the list is old"
		}
		if k, ok := learned[r.Cell]; ok {
			r.LearntS = k.age.Seconds()
			for i, n := range k.m.Names {
				if n != snapshot.HashName(e.Name) {
					continue
				}
				x := k.m.State.Endpoints[i]
				if r.Learnt = conditions[x.Condition]; x.Condition != snowjunction.Serving {
					r.Learnt += " for " + x.SinceCondition.Round(time.Millisecond).String()
				}
				if x.Route < len(k.m.State.Routes) {
					r.Limit = k.m.State.Routes[x.Route].Limit
				}
			}
		}
		rows = append(rows, r)
	}
	return rows
}
