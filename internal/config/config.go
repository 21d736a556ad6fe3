// Package config decodes the courier's input once into the few values that the courier uses: the
// platform's configuration, the settings of the decision module, lists of targets and the operator
// files.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/groups"
	"snowjunction/internal/proto/listing"
)

// Config is the decoded configuration file.
type Config struct {
	Name          string
	Listen        string // for RESP2 clients
	Discovery     string // address of the platform's discovery agent
	StateDir      string // the state folder, which outlives the process
	Limits        Limits
	InitialList   List // the last known target group, possibly outdated
	Settings      snowjunction.Settings
	ReportColumns []string // names of the values in the load report
	Names         Names
	Peers         Peers
	Console       string // address of the second (admin) listener; empty means no listener
}

// Peers describes the fleet's couriers and how to reach them.
type Peers struct {
	Listen string   // address on which peer messages are received; empty disables peer messages
	Addrs  []string // addresses by courier number, including this courier's own
}

// Enabled reports whether peer messages can be exchanged.
func (p Peers) Enabled() bool { return p.Listen != "" && len(p.Addrs) > 1 }

// decodePeers decodes the peer addresses. Without a valid listen address, or if the platform does
// not permit peer messages, it returns the zero value and the courier runs without them.
func decodePeers(v *fastjson.Value) (p Peers) {
	p.Listen = stringField(v, "peer_listen")
	if _, err := netip.ParseAddrPort(p.Listen); err != nil || !v.GetBool("settings", "limits", "may-tell") {
		return Peers{}
	}
	for _, a := range v.GetArray("peers") {
		addr, _ := a.StringBytes()
		p.Addrs = append(p.Addrs, string(addr))
	}
	return p
}

// Limits are the resource limits of the machine.
type Limits struct {
	MemoryMB int
	Sockets  int
	DiskMB   float64
}

// StateBytes returns the disk space, in bytes, that the state folder may use.
func (c *Config) StateBytes() int64 { return int64(c.Limits.DiskMB * 1e6) }

// Names maps the names of zones and target kinds, as lists and settings use them, to their numbers.
type Names struct {
	Zones map[string]int
	Kinds map[string]int
}

// List is a target group, or the changes to one.
type List struct {
	Present    bool // a list is present
	Generation uint64
	Full       bool
	Targets    []core.Entry
}

// GroupList returns the list in the core's form.
func (l List) GroupList() (*groups.List, error) { return groups.ListOf(l.Full, false, l.Targets) }

// Defaults for limits that the configuration does not set.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultDiskMB   = 3
)

// Load reads the file named by GW_CONFIG. Addresses that the file leaves out are taken from the
// environment.
func Load(env func(string) string) (*Config, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set: it names the configuration file")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	c, err := Parse(b, env)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse decodes a configuration. env supplies the values that it leaves out.
func Parse(b []byte, env func(string) string) (*Config, error) {
	b, known := cutKnown(b)
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, err
	}
	fileOrEnv := func(key, name string) string {
		if s := stringField(v, key); s != "" {
			return s
		}
		return env(name)
	}
	c := &Config{
		Name: fileOrEnv("name", "GW_NAME"), Listen: fileOrEnv("listen", "GW_LISTEN"), Console: fileOrEnv("console", "GW_CONSOLE"),
		Discovery: fileOrEnv("discovery", "GW_DISCOVERY"), StateDir: env("GW_STATE"),
		Limits: Limits{
			MemoryMB: positiveOr(v.GetInt("limits", "memory_mb"), defaultMemoryMB),
			Sockets:  positiveOr(v.GetInt("limits", "sockets"), defaultSockets),
			DiskMB:   positiveOr(v.GetFloat64("limits", "disk_mb"), defaultDiskMB),
		},
	}
	addrs := []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}}
	if c.Console != "" {
		addrs = append(addrs, struct{ name, addr string }{"console", c.Console})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %q is not an address with a port", a.name, a.addr)
		}
	}
	if c.StateDir == "" {
		return nil, errors.New("GW_STATE is not set: it names the state folder")
	}
	settingsValue := v.Get("settings")
	if settingsValue == nil || settingsValue.Type() != fastjson.TypeObject {
		return nil, errors.New("settings: missing")
	}
	seed, err := strconv.ParseUint(stringField(v, "seed"), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", stringField(v, "seed"))
	}
	c.Settings = decodeSettings(seed, settingsValue)
	c.Peers = decodePeers(v)
	for _, column := range settingsValue.GetArray("report", "columns") {
		name, _ := column.StringBytes()
		c.ReportColumns = append(c.ReportColumns, string(name))
	}
	c.Names = Names{Zones: indexByName(settingsValue.GetArray("dcs")), Kinds: indexByName(settingsValue.GetArray("models"))}
	if known != nil {
		if c.InitialList, err = c.Names.decodeList(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// cutKnown splits the "known" list off a configuration. The list may be a thousand times as long as
// the rest and is decoded entry by entry. If there is no such list, or it is not an object, known
// is nil and rest is b.
func cutKnown(b []byte) (rest, known []byte) {
	const name, space = "\"known\"", " \t\r\n"
	depth, from := 0, -1 // offset at which the list begins, or -1
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			quote := i
			for i++; i < len(b) && b[i] != '"'; i++ {
				if b[i] == '\\' {
					i++
				}
			}
			if depth == 1 && from < 0 && i < len(b) && string(b[quote:i+1]) == name {
				after, colon := bytes.CutPrefix(bytes.TrimLeft(b[i+1:], space), []byte(":"))
				after = bytes.TrimLeft(after, space)
				if colon && !bytes.HasPrefix(after, []byte("{")) {
					return b, nil
				} else if colon {
					from = len(b) - len(after)
				}
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 1 && from >= 0 {
				return slices.Concat(b[:from], []byte("null"), b[i+1:]), b[from : i+1]
			}
		}
	}
	return b, nil
}

// DifferingSections names the sections in which c and other differ. It ignores the discovery
// address, the list and the seed, which legitimately change with every configuration.
func (c *Config) DifferingSections(other *Config) (names []string) {
	settings := other.Settings
	settings.Seed = c.Settings.Seed
	for _, v := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"console", c.Console == other.Console},
		{"limits", c.Limits == other.Limits},
		{"settings", reflect.DeepEqual(c.Settings, settings) && slices.Equal(c.ReportColumns, other.ReportColumns)},
		{"peers", reflect.DeepEqual(c.Peers, other.Peers)},
		{"dcs and models", reflect.DeepEqual(c.Names, other.Names)},
	} {
		if !v.same {
			names = append(names, v.name)
		}
	}
	return names
}

func positiveOr[T int | float64](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

func indexByName(values []*fastjson.Value) map[string]int {
	out := map[string]int{}
	for i, n := range values {
		name, _ := n.StringBytes()
		out[string(name)] = i
	}
	return out
}

// List decodes a list that discovery answered with.
func (n Names) List(b []byte) (List, error) {
	l, err := n.decodeList(b)
	if err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// decodeList decodes a list entry by entry. Parsing it as one JSON value takes many times the
// memory of the entries and most of the time of a start.
func (n Names) decodeList(b []byte) (out List, err error) {
	out.Targets = slices.Grow(out.Targets, bytes.Count(b, []byte(`"instanceId"`)))
	r := listing.Reader{MaxBytes: len(b), MaxEntries: len(b), OnEntry: func(v *fastjson.Value) error {
		e, err := n.Target(v)
		out.Targets = append(out.Targets, e)
		return err
	}}
	if err := r.Feed(b); err != nil {
		return List{}, err
	}
	if err := r.End(); err != nil {
		return List{}, err
	}
	out.Present, out.Generation, out.Full = true, r.Generation, r.Complete
	return out, nil
}

var phaseByLifecycle = map[string]snowjunction.Phase{
	"Ready": snowjunction.Ready, "Terminating": snowjunction.Draining, "Gone": snowjunction.Gone,
}

// Target decodes an entry of a discovery list. An unknown zone or kind gets the number after the
// last known one. An unknown state counts as draining, so that nothing new is sent to a target
// whose state is unclear.
func (n Names) Target(t *fastjson.Value) (core.Entry, error) {
	e := core.Entry{Name: stringField(t, "instanceId"), Addr: stringField(t, "hostPort")}
	if e.Name == "" {
		return e, errors.New("no instanceId")
	}
	var ok bool
	if e.Phase, ok = phaseByLifecycle[string(t.GetStringBytes("lifecycle"))]; !ok {
		e.Phase = snowjunction.Draining
	}
	if e.Zone, ok = n.Zones[string(t.GetStringBytes("zone"))]; !ok {
		e.Zone = len(n.Zones)
	}
	if e.Kind, ok = n.Kinds[string(t.GetStringBytes("machineType"))]; !ok {
		e.Kind = len(n.Kinds)
	}
	if e.Phase == snowjunction.Gone {
		return e, nil
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		return e, fmt.Errorf("hostPort: %q is not an address with a port", e.Addr)
	}
	c := t.Get("cell")
	if c == nil {
		return e, errors.New("no cell")
	}
	cell, err := c.Uint()
	switch {
	case err != nil:
		return e, fmt.Errorf("cell: %w", err)
	case uint64(cell) > math.MaxUint32:
		return e, fmt.Errorf("cell: %d is too large", cell)
	}
	if w := t.Get("weight"); w != nil {
		if e.Weight, err = w.Float64(); err != nil {
			return e, fmt.Errorf("weight: %w", err)
		}
	}
	e.Destination = snowjunction.DestinationID(cell)
	return e, nil
}
