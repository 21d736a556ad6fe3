// Package scale plans a scale run and evaluates its figures: the limits within which a run may
// start, the random traffic and changes, linear fits with their confidence intervals, and whether
// simulated couriers represent real ones. It does no I/O, reads no clock and starts no goroutine.
package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"snowjunction/internal/partition"
)

// Plan holds the parameters of a scale run.
type Plan struct {
	Couriers     int     `default:"30" help:"Couriers of the fleet."`
	Real         int     `default:"2" help:"Of these, real courier processes; the others are simulated."`
	Destinations int     `default:"100" help:"Listed destinations."`
	Endpoints    int     `default:"1" help:"Endpoints of each destination."`
	Down         float64 `default:"0.01" help:"Share of the destinations that never answer."`
	Zones        int     `default:"1" help:"Zones of the couriers and endpoints."`
	Regions      int     `default:"1" help:"Regions of the couriers; all real ones are in the first."`
	Restarts     int     `default:"0" help:"Couriers that are killed and restarted, spread over the run."`
	Cuts         int     `default:"0" help:"Network partitions that cut one region off from the others, spread over the run; peer messages are dropped."`
	CutSeconds   float64 `default:"5" help:"Duration of each cut in seconds."`
	Changes      float64 `default:"12" help:"List changes a minute."`
	Events       float64 `default:"60" help:"Messages a second, over the whole fleet."`
	Settle       float64 `default:"10" help:"Seconds of warm-up traffic before the measurement."`
	Seconds      float64 `default:"20" help:"Measured seconds."`
	Seed         uint64  `default:"1" help:"Random seed of the run."`
	Partitions   int     `default:"0" help:"Partitions of the destinations, divided among the couriers; 0 means that each courier has all destinations."`
	Copies       int     `default:"1" help:"Owners of each partition in each region."`
}

// Check returns an error that names the first invalid value.
func (p Plan) Check() error {
	positive := func(name string, v float64) error {
		if !(v > 0) || math.IsInf(v, 0) {
			return fmt.Errorf("--%s: %g is not over 0", name, v)
		}
		return nil
	}
	for _, x := range []struct {
		name string
		v    float64
	}{
		{"couriers", float64(p.Couriers)}, {"destinations", float64(p.Destinations)}, {"endpoints", float64(p.Endpoints)},
		{"zones", float64(p.Zones)}, {"regions", float64(p.Regions)}, {"events", p.Events}, {"seconds", p.Seconds},
		{"cut-seconds", p.CutSeconds}, {"settle", p.Settle},
	} {
		if err := positive(x.name, x.v); err != nil {
			return err
		}
	}
	switch {
	case p.Real < 0 || p.Real > p.Couriers:
		return fmt.Errorf("--real: %d is not between 0 and the %d couriers", p.Real, p.Couriers)
	case !(p.Down >= 0 && p.Down <= 1):
		return fmt.Errorf("--down: %g is not between 0 and 1", p.Down)
	case p.Restarts < 0:
		return fmt.Errorf("--restarts: %d is negative", p.Restarts)
	case p.Cuts < 0:
		return fmt.Errorf("--cuts: %d is negative", p.Cuts)
	case !(p.Changes >= 0) || math.IsInf(p.Changes, 0):
		return fmt.Errorf("--changes: %g is not a finite number of at least 0", p.Changes)
	case p.Partitions < 0 || p.Partitions > partition.MaxPartitions:
		return fmt.Errorf("--partitions: %d is not between 0 and %d", p.Partitions, partition.MaxPartitions)
	case p.Copies < 1 || p.Copies > partition.CopiesMax:
		return fmt.Errorf("--copies: %d is not between 1 and %d", p.Copies, partition.CopiesMax)
	case p.Copies > 1 && p.Partitions == 0:
		return fmt.Errorf("--copies: %d are of no use without --partitions", p.Copies)
	case p.Cuts > 0 && p.Regions < 2:
		return fmt.Errorf("--cuts: %d need two regions at least", p.Cuts)
	case p.Regions > p.Couriers:
		return fmt.Errorf("--regions: %d is more than the %d couriers", p.Regions, p.Couriers)
	case p.Real > p.couriersInRegion(0):
		return fmt.Errorf("--real: %d is more than the first region's %d couriers", p.Real, p.couriersInRegion(0))
	case p.partitionsPerCourier() > MaxOwned:
		return fmt.Errorf("--partitions: %d are too many for so few couriers: one would own about %.0f, over %d", p.Partitions, p.partitionsPerCourier(), MaxOwned)
	case float64(p.Cuts)*p.CutSeconds > p.Seconds:
		return fmt.Errorf("--cuts: %d of %g s do not fit into %g s", p.Cuts, p.CutSeconds, p.Seconds)
	}
	return nil
}

func (p Plan) couriersInRegion(n int) int { return (p.Couriers - n + p.Regions - 1) / p.Regions }

// Region returns the region of a courier. A zone may span regions unless the number of regions
// divides the number of zones.
func (p Plan) Region(courier int) int { return courier % p.Regions }

// Zone returns the zone of a courier or an endpoint by its number.
func (p Plan) Zone(number int) int { return number % p.Zones }

// IsReal reports whether a courier is a process of its own: the first ones of the first region are.
func (p Plan) IsReal(courier int) bool {
	return p.Region(courier) == 0 && courier/p.Regions < p.Real
}

// Machine is the machine's resources that a run may use.
type Machine struct {
	Memory int64 // bytes in total
	Files  int   // file descriptors of one process
}

// Resources that a run needs, as upper estimates: a run that exceeds the machine's memory
// takes the machine down with it.
const (
	MaxProcesses        = 300     // including the measuring process
	memoryShare         = 0.5     // share of the machine's memory
	bytesSimulated      = 256_000 // a simulated courier without its list
	bytesPeer           = 40      // one peer in a courier's address table
	bytesListEntry      = 110     // one endpoint in a courier's list
	bytesDirectoryEntry = 700     // one endpoint in the directory, as stored and as encoded
	bytesPartner        = 1_500   // one destination in the stand-in partners
	bytesRealCourier    = 24_000_000
	filesCourier        = 3 // a socket for peer messages, both ends of a watch
	filesRealCourier    = 9
	filesOther          = 256
	MaxListening        = 4_000 // endpoints that accept connections
	filesListening      = 2     // of a listening endpoint: its listener and one connection
	listeningShare      = 0.4   // share of the file descriptors
)

// Listening returns the maximum number of destinations with listening endpoints. Only real couriers
// connect to them; simulated couriers send to every destination without a connection.
func (p Plan) Listening(m Machine) int {
	if p.Real == 0 {
		return 0
	}
	maxEndpoints := min(MaxListening, int(listeningShare*float64(m.Files))/filesListening)
	return max(1, min(p.Destinations, maxEndpoints/p.Endpoints, p.calledDestinations()))
}

// Memory estimates the memory that all processes of a run take together, in bytes.
func (p Plan) Memory() float64 {
	endpoints, n := float64(p.Destinations)*float64(p.Endpoints), float64(p.Couriers)
	simulated := n - float64(p.Real)
	ownEntries, parts := p.listShare()*endpoints, p.partitionMemory()
	return simulated*(bytesSimulated+bytesListEntry*ownEntries) + float64(p.Real)*(bytesRealCourier+2*bytesListEntry*ownEntries+bytesPeer*n) +
		bytesDirectoryEntry*endpoints + bytesPartner*float64(p.Destinations) + parts
}

// CheckMachine returns an error that names the machine limit a run would exceed.
func (p Plan) CheckMachine(m Machine) error {
	maxMemory := memoryShare * float64(m.Memory)
	files := p.Couriers*filesCourier + p.Real*filesRealCourier + p.Listening(m)*p.Endpoints*filesListening + filesOther + p.forwardFiles()
	switch {
	case p.Real+1 > MaxProcesses:
		return fmt.Errorf("--real: %d processes are more than %d", p.Real+1, MaxProcesses)
	case p.Memory() > maxMemory:
		return fmt.Errorf("about %.1f GB is more than half of this machine's memory, %.1f GB", p.Memory()/1e9, maxMemory/1e9)
	case files > m.Files:
		return fmt.Errorf("about %d file descriptors are more than the process limit of %d", files, m.Files)
	}
	return nil
}

// Meminfo returns the machine's memory in bytes from the text of /proc/meminfo.
func Meminfo(text string) (int64, error) {
	for _, line := range strings.Split(text, "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "MemTotal: %d kB", &kb); n == 1 && kb > 0 {
			return kb << 10, nil
		}
	}
	return 0, fmt.Errorf("meminfo has no MemTotal line")
}

// Event is a scheduled event of a run: its time counted from the first measured second, its
// duration, and the number of the courier, region or endpoint that it affects.
type Event struct {
	At, Duration time.Duration
	Index        int
}

// RestartEvents returns the couriers that are killed and restarted, each at most once.
func (p Plan) RestartEvents() (out []Event) {
	rng := p.rng(1)
	order := rng.Perm(p.Couriers)
	for i := range min(p.Restarts, p.Couriers) {
		out = append(out, Event{At: p.eventTime(i, p.Restarts), Index: order[i]})
	}
	return out
}

// CutEvents returns the network partitions of a region.
func (p Plan) CutEvents() (out []Event) {
	rng := p.rng(2)
	for i := range p.Cuts {
		out = append(out, Event{At: p.eventTime(i, p.Cuts), Duration: seconds(p.CutSeconds), Index: rng.IntN(p.Regions)})
	}
	return out
}

// ChangeEvents returns the endpoints, by number, whose list entries change.
func (p Plan) ChangeEvents() (out []Event) {
	rng := p.rng(3)
	n := int(math.Round(p.Changes * p.Seconds / 60))
	for i := range n {
		out = append(out, Event{At: p.eventTime(i, n), Index: rng.IntN(p.Destinations * p.Endpoints)})
	}
	return out
}

// eventTime returns the start of the i-th of n equal parts of the run.
func (p Plan) eventTime(i, n int) time.Duration { return seconds(p.Seconds * float64(i) / float64(n)) }

// SilentDestinations returns the destinations that are down, counted from 0: at least one if
// the share is positive.
func (p Plan) SilentDestinations() []int {
	n := int(math.Ceil(p.Down * float64(p.Destinations)))
	out := p.rng(4).Perm(p.Destinations)[:n]
	slices.Sort(out)
	return out
}

// Arrivals generates the traffic of one courier: a Poisson process whose messages have uniformly
// distributed destinations.
type Arrivals struct {
	rng          *rand.Rand
	rate         float64
	destinations int
	allowed      []int32 // destinations that may be drawn; nil means the first ones
}

// Arrivals returns the traffic of a courier to the first destinations.
func (p Plan) Arrivals(courier, destinations int) *Arrivals {
	return &Arrivals{p.rng(1000 + uint64(courier)), p.Events / float64(p.Couriers), destinations, nil}
}

// ArrivalsAt returns the traffic of a courier to the given destinations.
func (p Plan) ArrivalsAt(courier int, allowed []int32) *Arrivals {
	a := p.Arrivals(courier, len(allowed))
	a.allowed = allowed
	return a
}

// Next draws the delay until the next message, its destination, counted from 0, and whether it has
// an idempotency key: one message in four does.
func (a *Arrivals) Next() (after time.Duration, destination int, keyed bool) {
	after, destination, keyed = seconds(a.rng.ExpFloat64()/a.rate), a.rng.IntN(a.destinations), a.rng.IntN(4) == 0
	if a.allowed != nil {
		destination = int(a.allowed[destination])
	}
	return after, destination, keyed
}

func (p Plan) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
