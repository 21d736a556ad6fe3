package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction/internal/partition"
)

// Partitions is the operator file that divides the destinations among the couriers of a fleet.
type Partitions struct {
	Enabled    bool
	Partitions int
	Copies     int           // owners of each partition in each region
	Linger     time.Duration // how long a partition is still served after its ownership moved away
	Region     string        // region of this courier if it is not a member
	Members    []partition.Member
}

const (
	defaultPartitions = 16384
	defaultCopies     = 1
	defaultLinger     = 30 * time.Second
	// maxOwnedPartitions limits the partitions of one courier, which names all of them in each
	// request for its list.
	maxOwnedPartitions = 1024
)

// LoadPartitions reads the operator file for partitions. If the file does not exist, partitioning
// is disabled.
func LoadPartitions(path string) (*Partitions, error) {
	v, err := readOperatorFile(path, "partitions")
	if err != nil {
		return nil, err
	}
	p := &Partitions{
		Enabled: v.GetBool("enabled"), Partitions: positiveOr(v.GetInt("partitions"), defaultPartitions),
		Copies: positiveOr(v.GetInt("copies"), defaultCopies), Linger: defaultLinger, Region: stringField(v, "region"),
	}
	secondsField(v, "linger_s", &p.Linger)
	if err := p.decodeMembers(v.GetArray("members")); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if p.Enabled && len(p.Members) == 0 {
		return nil, fmt.Errorf("%s: /members: none, and /enabled is true", path)
	}
	return p, nil
}

func (p *Partitions) decodeMembers(members []*fastjson.Value) error {
	names, addrs := map[string]int{}, map[netip.AddrPort]int{}
	for i, v := range members {
		x := partition.Member{
			Name: stringField(v, "name"), Addr: stringField(v, "addr"), Region: stringField(v, "region"), Zone: stringField(v, "zone"),
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

// Membership returns the ownership of partitions by the file, or nil if partitioning is disabled.
// If holds, the current membership, has the same numbers of partitions and copies, the new one is
// derived from it, at a cost that depends on the difference only. An error says why the courier
// called self cannot use the file.
func (p *Partitions) Membership(self string, holds *partition.Membership) (m *partition.Membership, err error) {
	if !p.Enabled {
		return nil, nil
	}
	if holds != nil && holds.Partitions() == p.Partitions && holds.Copies() == p.Copies {
		m, err = holds.WithMembers(p.Members)
	} else {
		m, err = partition.New(p.Partitions, p.Copies, p.Members)
	}
	if err != nil {
		return nil, err
	}
	if n := len(m.Owned(self)); n > maxOwnedPartitions {
		return nil, fmt.Errorf("/partitions: %d is too large for so few members: %q would own %d, over %d", p.Partitions, self, n, maxOwnedPartitions)
	}
	return m, nil
}

// NeedsRestart reports whether other has changes that a running courier cannot apply: any but to
// the members.
func (p *Partitions) NeedsRestart(other *Partitions) bool {
	return p.Enabled != other.Enabled || p.Partitions != other.Partitions || p.Copies != other.Copies ||
		p.Linger != other.Linger || p.Region != other.Region
}
