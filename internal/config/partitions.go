package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction/internal/partition"
)

// Partitions is the operator file for what each courier of a fleet lists and calls.
type Partitions struct {
	Enabled    bool
	Partitions int
	Copies     int           // owners of each in each region
	Linger     time.Duration // that what is no longer owned is served on
	Region     string        // where this courier stands if it is no member
	Members    []partition.Member
}

const (
	defaultPartitions = 16384
	defaultCopies     = 1
	defaultLinger     = 30 * time.Second
	// ownMost is how many partitions one courier may own: it names them in each ask for its list.
	ownMost = 1024
)

// LoadPartitions reads the operator file for partitions. A file that is not there leaves them off.
func LoadPartitions(path string) (*Partitions, error) {
	v, err := operatorFile(path, "partitions")
	if err != nil {
		return nil, err
	}
	p := &Partitions{
		Enabled: v.GetBool("enabled"), Partitions: positive(v.GetInt("partitions"), defaultPartitions),
		Copies: positive(v.GetInt("copies"), defaultCopies), Linger: defaultLinger, Region: text(v, "region"),
	}
	duration(v, "linger_s", &p.Linger)
	if err := p.read(v.GetArray("members")); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if p.Enabled && len(p.Members) == 0 {
		return nil, fmt.Errorf("%s: /members: none, and /enabled is true", path)
	}
	return p, nil
}

func (p *Partitions) read(members []*fastjson.Value) error {
	names, addrs := map[string]int{}, map[netip.AddrPort]int{}
	for i, v := range members {
		x := partition.Member{
			Name: text(v, "name"), Addr: text(v, "addr"), Region: text(v, "region"), Zone: text(v, "zone"),
			Weight: v.GetFloat64("weight"),
		}
		addr, err := netip.ParseAddrPort(x.Addr)
		if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
			return fmt.Errorf("/members/%d/addr: %q is not an address with a port", i, x.Addr)
		}
		if other, twice := names[x.Name]; twice {
			return fmt.Errorf("/members/%d/name: %q is the name of /members/%d too", i, x.Name, other)
		}
		if other, twice := addrs[addr]; twice {
			return fmt.Errorf("/members/%d/addr: %q is the address of /members/%d too", i, x.Addr, other)
		}
		names[x.Name], addrs[addr] = i, i
		p.Members = append(p.Members, x)
	}
	return nil
}

// Membership is who owns what by the file; nil: it is off. It costs what differs from the one
// that holds, if that divides as the file does. An error says why the courier called self cannot
// go by it.
func (p *Partitions) Membership(self string, holds *partition.Membership) (m *partition.Membership, err error) {
	if !p.Enabled {
		return nil, nil
	}
	if holds != nil && holds.Partitions() == p.Partitions && holds.Copies() == p.Copies {
		m, err = holds.With(p.Members)
	} else {
		m, err = partition.New(p.Partitions, p.Copies, p.Members)
	}
	if err != nil {
		return nil, err
	}
	if n := len(m.Owned(self)); n > ownMost {
		return nil, fmt.Errorf("/partitions: %d is too large for so few members: %q would own %d, over %d", p.Partitions, self, n, ownMost)
	}
	return m, nil
}

// Differs tells whether another file has what this courier cannot take up while it runs: all but
// the members.
func (p *Partitions) Differs(other *Partitions) bool {
	return p.Enabled != other.Enabled || p.Partitions != other.Partitions || p.Copies != other.Copies ||
		p.Linger != other.Linger || p.Region != other.Region
}
