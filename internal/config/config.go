// Package config decodes what the courier is told, once, into the few values
// that it uses: the platform's configuration, the settings of the decision
// module, lists of targets and the file of the push front.
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

// Config is what a courier is told at its start.
type Config struct {
	Name      string
	Listen    string // for RESP2 clients
	Discovery string // the platform's agent
	State     string // the folder that outlasts the process
	Limits    Limits
	Known     List // the target group as last held; maybe old
	Settings  snowjunction.Settings
	Columns   []string // names of the load report's values
	Names     Names
	Peers     Peers
	Console   string // the second address; empty: nothing listens there
}

// Peers are the other couriers of the fleet and how they are reached.
type Peers struct {
	Listen string   // where their notes come in; empty: they send none
	Each   []string // addresses by number, this courier's own included
}

// Reach tells whether notes can go to and fro.
func (p Peers) Reach() bool { return p.Listen != "" && len(p.Each) > 1 }

// peers decodes the addresses. Without one that can be used there are no notes: the
// courier does without.
func peers(v *fastjson.Value) (p Peers) {
	p.Listen = text(v, "peer_listen")
	if _, err := netip.ParseAddrPort(p.Listen); err != nil || !v.GetBool("settings", "limits", "may-tell") {
		return Peers{}
	}
	for _, a := range v.GetArray("peers") {
		addr, _ := a.StringBytes()
		p.Each = append(p.Each, string(addr))
	}
	return p
}

// Limits are those of the machine.
type Limits struct {
	MemoryMB int
	Sockets  int
	DiskMB   float64
}

// Bytes is what the folder that lasts may hold.
func (c *Config) Bytes() int64 { return int64(c.Limits.DiskMB * 1e6) }

// Names resolve what lists and settings call things.
type Names struct {
	Zones map[string]int
	Kinds map[string]int
}

// List is the target group, or the changes in it.
type List struct {
	Held       bool // there is a list
	Generation uint64
	Full       bool
	Targets    []core.Entry
}

// News is the list in the form that the core takes.
func (l List) News() (*groups.List, error) { return groups.ListOf(l.Full, false, l.Targets) }

// The limits taken where none is given.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultDiskMB   = 3
)

// Load reads the file named by GW_CONFIG. Where the file leaves out an address
// the environment's is taken.
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

// Parse decodes a configuration.
func Parse(b []byte, env func(string) string) (*Config, error) {
	b, known := cutKnown(b)
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, err
	}
	or := func(key, name string) string {
		if s := text(v, key); s != "" {
			return s
		}
		return env(name)
	}
	c := &Config{
		Name: or("name", "GW_NAME"), Listen: or("listen", "GW_LISTEN"), Console: or("console", "GW_CONSOLE"),
		Discovery: or("discovery", "GW_DISCOVERY"), State: env("GW_STATE"),
		Limits: Limits{
			MemoryMB: positive(v.GetInt("limits", "memory_mb"), defaultMemoryMB),
			Sockets:  positive(v.GetInt("limits", "sockets"), defaultSockets),
			DiskMB:   positive(v.GetFloat64("limits", "disk_mb"), defaultDiskMB),
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
	if c.State == "" {
		return nil, errors.New("GW_STATE is not set: it names the folder that lasts")
	}
	set := v.Get("settings")
	if set == nil || set.Type() != fastjson.TypeObject {
		return nil, errors.New("settings: missing")
	}
	seed, err := strconv.ParseUint(text(v, "seed"), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", text(v, "seed"))
	}
	c.Settings = settings(seed, set)
	c.Peers = peers(v)
	for _, col := range set.GetArray("report", "columns") {
		name, _ := col.StringBytes()
		c.Columns = append(c.Columns, string(name))
	}
	c.Names = Names{Zones: number(set.GetArray("dcs")), Kinds: number(set.GetArray("models"))}
	if known != nil {
		if c.Known, err = c.Names.read(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// cutKnown takes the known list out of a configuration: it may be a thousand times as long as all
// else, and is read entry by entry. Without one, or where it is no object, known is nil.
func cutKnown(b []byte) (rest, known []byte) {
	const name, space = "\"known\"", " \t\r\n"
	depth, from := 0, -1 // where the list begins
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

// Differs names what c and another configuration do not agree on, but for the
// address of discovery, the list and the seed, which are another each time.
func (c *Config) Differs(other *Config) (names []string) {
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
		{"settings", reflect.DeepEqual(c.Settings, settings) && slices.Equal(c.Columns, other.Columns)},
		{"peers", reflect.DeepEqual(c.Peers, other.Peers)},
		{"dcs and models", reflect.DeepEqual(c.Names, other.Names)},
	} {
		if !v.same {
			names = append(names, v.name)
		}
	}
	return names
}

func positive[T int | float64](v, other T) T {
	if v <= 0 {
		return other
	}
	return v
}

func number(names []*fastjson.Value) map[string]int {
	out := map[string]int{}
	for i, n := range names {
		name, _ := n.StringBytes()
		out[string(name)] = i
	}
	return out
}

// List decodes an answer of discovery.
func (n Names) List(b []byte) (List, error) {
	l, err := n.read(b)
	if err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// read decodes a list entry by entry: as a whole in JSON's own form it would take many times the
// room of the entries, and a start most of its time.
func (n Names) read(b []byte) (out List, err error) {
	out.Targets = slices.Grow(out.Targets, bytes.Count(b, []byte(`"instanceId"`)))
	r := listing.Reader{MaxSize: len(b), MaxList: len(b), Entry: func(v *fastjson.Value) error {
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
	out.Held, out.Generation, out.Full = true, r.Generation, r.Full
	return out, nil
}

var phases = map[string]snowjunction.Phase{
	"Ready": snowjunction.Ready, "Terminating": snowjunction.Draining, "Gone": snowjunction.Gone,
}

// Target decodes an entry of discovery's list. It takes an unknown zone or kind for one past all that are known, and an
// unknown state for draining: nothing new is sent where in doubt.
func (n Names) Target(t *fastjson.Value) (core.Entry, error) {
	e := core.Entry{Name: text(t, "instanceId"), Addr: text(t, "hostPort")}
	if e.Name == "" {
		return e, errors.New("no instanceId")
	}
	var ok bool
	if e.Phase, ok = phases[string(t.GetStringBytes("lifecycle"))]; !ok {
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
