package scale

import (
	"fmt"

	"snowjunction/internal/partition"
)

// The directory traffic that a courier may receive when it starts: StartBudgetRate bytes of
// control data a second for StartBudgetSeconds.
const (
	StartBudgetRate    = 13_000
	StartBudgetSeconds = 14
	StartBudget        = StartBudgetRate * StartBudgetSeconds // bytes
)

// Additional resources that partitions need, as upper estimates.
const (
	bytesClients       = 16_000 // client listener of a simulated courier
	bytesForward       = 24_000 // both ends of a forwarding connection
	bytesPartition     = 120    // one partition in the router of a courier that owns it
	bytesAnswerEntry   = 250    // one endpoint in each directory answer that lists it
	bytesMember        = 400    // one member in a process that knows the whole membership
	bytesOwner         = 4      // one entry in the table of owners
	filesClients       = 1
	filesForward       = 2 // both ends belong to the same process
	forwardIdleSeconds = 6 // seconds that an idle forwarding connection is kept open, at most
)

// MaxOwned is how many partitions a courier may own on average: the product refuses 1,024 for one
// courier, and random placement gives some couriers more than others.
const MaxOwned = 800

// partitionsPerCourier returns how many partitions a courier of the smallest region owns on
// average.
func (p Plan) partitionsPerCourier() float64 {
	n := p.couriersInRegion(p.Regions - 1)
	return float64(p.Partitions) * float64(min(p.Copies, n)) / float64(n)
}

// MemberName returns the member name of a courier.
func MemberName(courier int) string { return fmt.Sprintf("n%d", courier) }

// Members returns all couriers as partition members, with their addresses.
func (p Plan) Members(addrs []string) (out []partition.Member) {
	for n := range p.Couriers {
		out = append(out, partition.Member{
			Name: MemberName(n), Addr: addrs[n], Region: fmt.Sprintf("r%d", p.Region(n)), Zone: fmt.Sprintf("z%d", p.Zone(n)),
		})
	}
	return out
}

// OwnedDestinations reports for each destination, counted from 0, whether a real courier owns it.
func (p Plan) OwnedDestinations(m *partition.Membership) []bool {
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

// Listeners decides which destinations get listening endpoints, up to Listening(m), and which may
// receive messages. With partitions, owned marks the destinations that real couriers own: these
// listen as far as the limit allows, and the owned ones that do not listen receive no messages.
// Without partitions (owned is nil) the first destinations listen and allowed is nil.
func (p Plan) Listeners(m Machine, owned []bool) (listens []bool, allowed []int32) {
	listens = make([]bool, p.Destinations)
	remaining := p.Listening(m)
	for d := range listens {
		if remaining > 0 && (owned == nil || owned[d]) {
			listens[d] = true
			remaining--
		}
	}
	if owned == nil {
		return listens, nil
	}
	for d := range owned {
		if !owned[d] || listens[d] {
			allowed = append(allowed, int32(d))
		}
	}
	return listens, allowed
}

// calledDestinations returns an upper estimate of how many destinations real couriers own.
func (p Plan) calledDestinations() int {
	if p.Partitions == 0 {
		return p.Destinations
	}
	owned := min(1, float64(p.Real*p.Copies)/float64(p.couriersInRegion(0)))
	return int(2*owned*float64(p.Destinations)) + calledMargin
}

// calledMargin allows for the deviation from the mean when there are few destinations or
// partitions.
const calledMargin = 64

// listShare returns the share of the list that a courier holds on average.
func (p Plan) listShare() float64 {
	if p.Partitions == 0 {
		return 1
	}
	return p.entryCopies() / float64(p.Couriers)
}

// entryCopies returns how many copies of a list entry exist, over all couriers.
func (p Plan) entryCopies() (n float64) {
	for r := range p.Regions {
		n += float64(min(p.Copies, p.couriersInRegion(r)))
	}
	return n
}

// partitionMemory estimates the memory that partitions take in all processes together, in bytes.
func (p Plan) partitionMemory() float64 {
	if p.Partitions == 0 {
		return 0
	}
	endpoints, n, parts := float64(p.Destinations)*float64(p.Endpoints), float64(p.Couriers), float64(p.Partitions)
	membership := bytesMember*n + bytesOwner*parts*float64(p.Copies*p.Regions)
	return n*bytesClients + p.ForwardConnections()*bytesForward + bytesPartition*parts*p.entryCopies() + bytesAnswerEntry*endpoints*p.entryCopies() + float64(p.Real+1)*membership
}

// ForwardConnections estimates the maximum number of open forwarding connections: one for each
// message within the time that an idle connection is kept.
func (p Plan) ForwardConnections() float64 {
	if p.Partitions == 0 {
		return 0
	}
	pairs := 0.0 // of a courier and an owner in the same region
	for r := range p.Regions {
		n := float64(p.couriersInRegion(r))
		pairs += n * (n - 1)
	}
	return min(pairs, p.Events*forwardIdleSeconds)
}

func (p Plan) forwardFiles() int {
	if p.Partitions == 0 {
		return p.Restarts
	}
	return p.Couriers*filesClients + int(p.ForwardConnections())*filesForward + p.Restarts
}
