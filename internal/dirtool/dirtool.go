// Package dirtool reads, compares and writes directory lists for operators: the list snapshots that
// a courier stores on disk, and JSON in the directory's wire format.
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

// Instance is an endpoint in the directory's JSON format.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        uint32  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
}

// List is a list in the directory's JSON format, with the metadata of a stored snapshot.
type List struct {
	Generation        uint64     `json:"generation"`
	Reset             bool       `json:"reset"`
	Agent             string     `json:"agent,omitempty"`
	ConfirmedAtMs     int64      `json:"toldAtMs,omitempty"` // Unix time of the directory's last confirmation
	Partial           bool       `json:"partial,omitempty"`
	Partitions        int        `json:"partitions,omitempty"` // total; set if the list covers only some
	CoveredPartitions []int      `json:"of,omitempty"`         // numbers of the covered partitions
	Instances         []Instance `json:"instances"`
}

// maxFileBytes is the maximum size of a list file.
const maxFileBytes = 256 << 20

// Read reads a list: from a folder, the newest readable snapshot; from a file, a snapshot or JSON.
// Errors of newer but unreadable snapshots in a folder are passed to report.
func Read(path string, report func(file string, err error)) (*dircache.Snapshot, error) {
	i, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if i.IsDir() {
		s := dircache.Load(path, report)
		if s == nil {
			return nil, fmt.Errorf("%s contains no readable list", path)
		}
		return s, nil
	}
	if i.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: file too large: %d bytes", path, i.Size())
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

// Parse reads a list in the directory's JSON format. It returns an error unless the list is a full
// list that a courier would accept.
func Parse(b []byte) (*dircache.Snapshot, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, err
	}
	if !v.Exists("generation") {
		return nil, errors.New("/generation: missing")
	}
	if v.Get("reset") != nil && !v.GetBool("reset") {
		return nil, errors.New("/reset: must be true: a full list is required, not changes")
	}
	s := &dircache.Snapshot{Head: dircache.Head{
		Generation: v.GetUint64("generation"), Agent: string(v.GetStringBytes("agent")), Partial: v.GetBool("partial"),
	}}
	if v.Exists("partitions") {
		if s.Partitions = v.GetInt("partitions"); s.Partitions < 1 || s.Partitions > partition.MaxPartitions {
			return nil, errors.New("/partitions: out of range")
		}
		for _, x := range v.GetArray("of") {
			s.Covered = append(s.Covered, x.GetInt())
		}
		if n := len(s.Covered); !slices.IsSorted(s.Covered) || len(slices.Compact(slices.Clone(s.Covered))) < n || n > 0 && (s.Covered[0] < 0 || s.Covered[n-1] >= s.Partitions) {
			return nil, errors.New("/of: must be distinct partition numbers in ascending order")
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

// Export converts a snapshot to the directory's JSON format.
func Export(s *dircache.Snapshot) *List {
	l := &List{Generation: s.Generation, Reset: true, Agent: s.Agent, Partial: s.Partial, Partitions: s.Partitions, CoveredPartitions: s.Covered, Instances: []Instance{}}
	if !s.ConfirmedAt.IsZero() {
		l.ConfirmedAtMs = s.ConfirmedAt.UnixMilli()
	}
	for _, e := range s.Entries {
		l.Instances = append(l.Instances, instance(s, e))
	}
	return l
}

// instance converts an entry of s to the directory's JSON format.
func instance(s *dircache.Snapshot, e groups.Entry) Instance {
	name := func(names []string, index int) string {
		if index < len(names) {
			return names[index]
		}
		return ""
	}
	inst := Instance{
		InstanceID: e.Name, HostPort: e.Addr, Zone: name(s.Zones, e.Zone), MachineType: name(s.Kinds, e.Kind),
		Cell: uint32(e.Destination), Lifecycle: "Ready", Weight: e.Weight,
	}
	if e.Phase != snowjunction.Ready {
		inst.Lifecycle = "Terminating"
	}
	return inst
}

// Write writes the list as indented JSON.
func (l *List) Write(w io.Writer) error {
	b, err := json.MarshalIndent(l, "", "  ")
	if err == nil {
		_, err = w.Write(append(b, '\n'))
	}
	return err
}

// Import writes a list into a folder as its newest snapshot.
func Import(dir string, s *dircache.Snapshot, o dircache.Options) error {
	c, err := dircache.Open(o)
	if err != nil {
		return err
	}
	w := dircache.NewWriter(s.Head, o.Bytes)
	for _, e := range s.Entries {
		if !w.Add(e) {
			c.Close()
			return fmt.Errorf("%d endpoints exceed the limit of %d bytes", len(s.Entries), o.Bytes)
		}
	}
	c.Put(w.Bytes())
	c.Close()
	if c.Counts().Failed > 0 {
		return fmt.Errorf("cannot write the list to %s", dir)
	}
	return nil
}

// Diff returns the changes between two lists: one line per changed endpoint, sorted by name.
// A line starts with "-" (removed), "+" (added) or "~" (changed).
func Diff(from, to *dircache.Snapshot) (lines []string) {
	before, after := map[string]Instance{}, map[string]Instance{}
	for _, e := range from.Entries {
		before[e.Name] = instance(from, e)
	}
	for _, e := range to.Entries {
		after[e.Name] = instance(to, e)
	}
	for name, x := range before {
		y, ok := after[name]
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
	for name, y := range after {
		if _, ok := before[name]; !ok {
			lines = append(lines, fmt.Sprintf("+ %s cell %d at %s", name, y.Cell, y.HostPort))
		}
	}
	slices.SortFunc(lines, func(x, y string) int { return strings.Compare(x[2:], y[2:]) })
	return lines
}

// EndpointStatus describes one endpoint of a state folder: the confidence in it after a start while
// the directory is unreachable, and its learned state.
type EndpointStatus struct {
	Instance
	Confidence       string  `json:"standing"`
	Reason           string  `json:"why"`
	ConfirmedAgeS    float64 `json:"word_age_s"`
	LearnedCondition string  `json:"learnt,omitempty"` // condition, and its age when it was stored
	LearnedAgeS      float64 `json:"learnt_age_s,omitempty"`
	RateLimit        float64 `json:"limit,omitempty"` // fleet-wide, of its target group, in calls per second
}

// conditionNames are the names of the endpoint conditions, indexed by snowjunction.Condition.
var conditionNames = [...]string{"serving", "held", "warming"}

// EndpointStatuses returns how a courier that starts at time now would rate each endpoint of a state
// folder. A list confirmed less than freshFor ago counts as young. Unreadable records are passed to
// report.
func EndpointStatuses(dir string, s *dircache.Snapshot, freshFor time.Duration, now time.Time, report func(file string, err error)) (rows []EndpointStatus) {
	type learnedRecord struct {
		snap *snapshot.Snapshot
		age  time.Duration
	}
	learned := map[uint32]learnedRecord{}
	for _, r := range learnedstate.Load(dir, report) {
		if decoded, err := snapshot.Decode(r.Snapshot); err != nil {
			report(filepath.Join(dir, "learnt"), err)
		} else {
			learned[r.Destination] = learnedRecord{decoded, now.Sub(r.At)}
		}
	}
	age := now.Sub(s.ConfirmedAt)
	for _, e := range s.Entries {
		status := EndpointStatus{Instance: instance(s, e), Confidence: "probable", Reason: "the list is young", ConfirmedAgeS: age.Seconds()}
		switch {
		case e.Phase != snowjunction.Ready:
			status.Confidence, status.Reason = "told", "the directory names it as draining"
		case age < -time.Second:
			status.Confidence, status.Reason = "doubtful", "the list is from the future: the clock was set back"
		case age >= freshFor:
			status.Confidence, status.Reason = "doubtful", "the list is old"
		}
		if record, ok := learned[status.Cell]; ok {
			status.LearnedAgeS = record.age.Seconds()
			for i, n := range record.snap.Names {
				if n != snapshot.HashName(e.Name) {
					continue
				}
				endpoint := record.snap.State.Endpoints[i]
				if status.LearnedCondition = conditionNames[endpoint.Condition]; endpoint.Condition != snowjunction.Serving {
					status.LearnedCondition += " for " + endpoint.SinceCondition.Round(time.Millisecond).String()
				}
				if endpoint.Route < len(record.snap.State.Routes) {
					status.RateLimit = record.snap.State.Routes[endpoint.Route].Limit
				}
			}
		}
		rows = append(rows, status)
	}
	return rows
}
