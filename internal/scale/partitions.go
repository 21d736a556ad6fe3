package scale

import (
	"fmt"

	"snowjunction/internal/partition"
)

// What a courier may be told at a start: BudgetRate bytes of control a second for
// BudgetSeconds.
const (
	BudgetRate    = 13_000
	BudgetSeconds = 14
	Budget        = BudgetRate * BudgetSeconds // bytes
)

// What partitions need besides, reckoned high as the rest is.
const (
	bytesClients = 16_000 // of a hollow courier: it listens for clients
	bytesForward = 24_000 // of a connection of forwarding, both its ends
	bytesPart    = 120    // of a partition in the router of a courier that owns it
	bytesTold    = 250    // of an endpoint in each answer that has it
	bytesMember  = 400    // of a member in a process that knows all
	bytesOwner   = 4      // of an owner in the table of owners
	filesClients = 1
	filesForward = 2 // both ends are one process's
	keptFor      = 6 // seconds that a connection of forwarding is kept for, at most
)

// OwnMost is how many partitions a courier may own on average: the product refuses 1,024, and
// chance gives some couriers more than others.
const OwnMost = 800

// owns is how many partitions a courier of the smallest region owns, on average.
func (p Plan) owns() float64 {
	n := p.inRegion(p.Regions - 1)
	return float64(p.Partitions) * float64(min(p.Copies, n)) / float64(n)
}

// MemberName is a courier's name.
func MemberName(courier int) string { return fmt.Sprintf("n%d", courier) }

// Members are all couriers as members, each at its address.
func (p Plan) Members(addrs []string) (out []partition.Member) {
	for n := range p.Couriers {
		out = append(out, partition.Member{
			Name: MemberName(n), Addr: addrs[n], Region: fmt.Sprintf("r%d", p.Region(n)), Zone: fmt.Sprintf("z%d", p.Zone(n)),
		})
	}
	return out
}

// Owned tells of each destination, from 0 on, whether a real courier owns it.
func (p Plan) Owned(m *partition.Membership) []bool {
	parts := make([]bool, p.Partitions)
	for n := range p.Couriers {
		if p.IsReal(n) {
			for _, x := range m.Owned(MemberName(n)) {
				parts[x] = true
			}
		}
	}
	out := make([]bool, p.Destinations)
	for d := range out {
		out[d] = parts[partition.Of(uint32(d+1), p.Partitions)]
	}
	return out
}

// Calls decides which destinations have endpoints that listen, so many as Listening says, and
// which may have messages. With partitions, owned are those that a real courier owns: these listen,
// as far as they may be that many, and those that could not have no messages. Without (nil) the
// first ones listen, and may says nothing.
func (p Plan) Calls(m Machine, owned []bool) (listens []bool, may []int32) {
	listens = make([]bool, p.Destinations)
	left := p.Listening(m)
	for d := range listens {
		if left > 0 && (owned == nil || owned[d]) {
			listens[d] = true
			left--
		}
	}
	if owned == nil {
		return listens, nil
	}
	for d := range owned {
		if !owned[d] || listens[d] {
			may = append(may, int32(d))
		}
	}
	return listens, may
}

// called is how many destinations real couriers may own, reckoned high.
func (p Plan) called() int {
	if p.Partitions == 0 {
		return p.Destinations
	}
	own := min(1, float64(p.Real*p.Copies)/float64(p.inRegion(0)))
	return int(2*own*float64(p.Destinations)) + calledLeast
}

// calledLeast is room for what few destinations in few partitions are off the mean.
const calledLeast = 64

// share is the part of the list that a courier has, on average.
func (p Plan) share() float64 {
	if p.Partitions == 0 {
		return 1
	}
	return p.held() / float64(p.Couriers)
}

// held is how often an entry of the list is held, over all couriers.
func (p Plan) held() (n float64) {
	for r := range p.Regions {
		n += float64(min(p.Copies, p.inRegion(r)))
	}
	return n
}

// partsMemory is about what partitions take in bytes, all processes together.
func (p Plan) partsMemory() float64 {
	if p.Partitions == 0 {
		return 0
	}
	ends, n, parts := float64(p.Destinations)*float64(p.Endpoints), float64(p.Couriers), float64(p.Partitions)
	known := bytesMember*n + bytesOwner*parts*float64(p.Copies*p.Regions)
	return n*bytesClients + p.Forwards()*bytesForward + bytesPart*parts*p.held() + bytesTold*ends*p.held() + float64(p.Real+1)*known
}

// Forwards is about how many connections of forwarding are open at most: one for each message of
// the time that it is kept for.
func (p Plan) Forwards() float64 {
	if p.Partitions == 0 {
		return 0
	}
	pairs := 0.0 // of a courier and an owner in its region
	for r := range p.Regions {
		n := float64(p.inRegion(r))
		pairs += n * (n - 1)
	}
	return min(pairs, p.Events*keptFor)
}

func (p Plan) forwardFiles() int {
	if p.Partitions == 0 {
		return p.Restarts
	}
	return p.Couriers*filesClients + int(p.Forwards())*filesForward + p.Restarts
}
