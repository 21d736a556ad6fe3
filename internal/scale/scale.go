// Package scale decides what a scale run does and what its figures say: the bounds within
// which it may start, the traffic and the changes that it draws, fits with their errors, and
// whether hollow couriers stand for real ones. It does no I/O, reads no clock and starts no
// goroutine.
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

// Plan is a run.
type Plan struct {
	Couriers     int     `default:"30" help:"Couriers of the fleet."`
	Real         int     `default:"2" help:"Of these, processes of the product; the others are hollow."`
	Destinations int     `default:"100" help:"Destinations that are listed."`
	Endpoints    int     `default:"1" help:"Endpoints of each destination."`
	Down         float64 `default:"0.01" help:"Share of the destinations that are silent all through the run."`
	Zones        int     `default:"1" help:"Zones, over which couriers and endpoints are spread."`
	Regions      int     `default:"1" help:"Regions, over which the couriers are spread; the real ones are all in the first."`
	Restarts     int     `default:"0" help:"Couriers that are killed and started again, spread over the run."`
	Cuts         int     `default:"0" help:"Cuts of one region from the others, spread over the run: no note passes."`
	CutSeconds   float64 `default:"5" help:"How long each lasts."`
	Changes      float64 `default:"12" help:"Changes of the list a minute."`
	Events       float64 `default:"60" help:"Messages a second, over the whole fleet."`
	Settle       float64 `default:"10" help:"Seconds of traffic before the measured ones."`
	Seconds      float64 `default:"20" help:"Seconds that are measured."`
	Seed         uint64  `default:"1" help:"Decides all that is drawn."`
	Partitions   int     `default:"0" help:"Partitions of the destinations, which the couriers divide among themselves; 0: each has all."`
	Copies       int     `default:"1" help:"Owners of each partition in each region."`
}

// Check names the first value that no run can have.
func (p Plan) Check() error {
	over := func(name string, v float64) error {
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
		if err := over(x.name, x.v); err != nil {
			return err
		}
	}
	switch {
	case p.Real < 0 || p.Real > p.Couriers:
		return fmt.Errorf("--real: %d is not between 0 and the %d couriers", p.Real, p.Couriers)
	case !(p.Down >= 0 && p.Down <= 1):
		return fmt.Errorf("--down: %g is not a share", p.Down)
	case p.Restarts < 0:
		return fmt.Errorf("--restarts: %d is under 0", p.Restarts)
	case p.Cuts < 0:
		return fmt.Errorf("--cuts: %d is under 0", p.Cuts)
	case !(p.Changes >= 0) || math.IsInf(p.Changes, 0):
		return fmt.Errorf("--changes: %g is not a number from 0 on", p.Changes)
	case p.Partitions < 0 || p.Partitions > partition.MaxPartitions:
		return fmt.Errorf("--partitions: %d is not between 0 and %d", p.Partitions, partition.MaxPartitions)
	case p.Copies < 1 || p.Copies > partition.CopiesMax:
		return fmt.Errorf("--copies: %d is not between 1 and %d", p.Copies, partition.CopiesMax)
	case p.Copies > 1 && p.Partitions == 0:
		return fmt.Errorf("--copies: %d are of no use without --partitions", p.Copies)
	case p.Cuts > 0 && p.Regions < 2:
		return fmt.Errorf("--cuts: %d need two regions at least", p.Cuts)
	case p.Regions > p.Couriers:
		return fmt.Errorf("--regions: %d are more than the %d couriers", p.Regions, p.Couriers)
	case p.Real > p.inRegion(0):
		return fmt.Errorf("--real: %d are more than the first region's %d couriers", p.Real, p.inRegion(0))
	case p.owns() > OwnMost:
		return fmt.Errorf("--partitions: %d are too many for so few couriers: one would own about %.0f, over %d", p.Partitions, p.owns(), OwnMost)
	case float64(p.Cuts)*p.CutSeconds > p.Seconds:
		return fmt.Errorf("--cuts: %d of %g s do not fit into %g s", p.Cuts, p.CutSeconds, p.Seconds)
	}
	return nil
}

func (p Plan) inRegion(n int) int { return (p.Couriers - n + p.Regions - 1) / p.Regions }

// Region is a courier's, Zone its zone; a zone may span regions where their numbers do not
// divide.
func (p Plan) Region(courier int) int { return courier % p.Regions }

// Zone is the zone of a courier or an endpoint, by its number.
func (p Plan) Zone(number int) int { return number % p.Zones }

// IsReal tells whether a courier is a process of its own: the first ones of the first region.
func (p Plan) IsReal(courier int) bool {
	return p.Region(courier) == 0 && courier/p.Regions < p.Real
}

// Machine is what a run may use.
type Machine struct {
	Memory int64 // bytes, in all
	Files  int   // descriptors of a process
}

// What a run needs, as measured: reckoned high, as a run that does not fit takes the machine
// with it.
const (
	ProcessesMost  = 300     // with the one that runs them
	memoryShare    = 0.5     // of the machine's
	bytesCourier   = 256_000 // of a hollow one, without its list
	bytesPeer      = 40      // of it in its table of peers' names
	bytesEntry     = 110     // of an endpoint in a courier's list
	bytesListed    = 700     // of an endpoint in the directory, as it is held and as it is told
	bytesPartner   = 1_500   // of a destination in the stand-in
	bytesReal      = 24_000_000
	filesCourier   = 3 // a socket for notes, both ends of a watch
	filesReal      = 9
	filesRest      = 256
	ListeningMost  = 4_000 // endpoints that really listen
	listenSockets  = 2     // of one that listens: it and a connection
	shareListening = 0.4   // of the descriptors
)

// Listening is how many destinations have endpoints that listen, at most: those that real couriers
// call. Hollow ones call all.
func (p Plan) Listening(m Machine) int {
	if p.Real == 0 {
		return 0
	}
	most := min(ListeningMost, int(shareListening*float64(m.Files))/listenSockets)
	return max(1, min(p.Destinations, most/p.Endpoints, p.called()))
}

// Memory is about what a run takes in bytes, all its processes together.
func (p Plan) Memory() float64 {
	ends, n := float64(p.Destinations)*float64(p.Endpoints), float64(p.Couriers)
	hollow := n - float64(p.Real)
	own, parts := p.share()*ends, p.partsMemory()
	return hollow*(bytesCourier+bytesEntry*own) + float64(p.Real)*(bytesReal+2*bytesEntry*own+bytesPeer*n) +
		bytesListed*ends + bytesPartner*float64(p.Destinations) + parts
}

// Fits names the limit of the machine that a run would pass.
func (p Plan) Fits(m Machine) error {
	most := memoryShare * float64(m.Memory)
	files := p.Couriers*filesCourier + p.Real*filesReal + p.Listening(m)*p.Endpoints*listenSockets + filesRest + p.forwardFiles()
	switch {
	case p.Real+1 > ProcessesMost:
		return fmt.Errorf("--real: %d processes are more than %d", p.Real+1, ProcessesMost)
	case p.Memory() > most:
		return fmt.Errorf("about %.1f GB are more than half of this machine's memory, %.1f GB", p.Memory()/1e9, most/1e9)
	case files > m.Files:
		return fmt.Errorf("about %d descriptors are more than the %d that a process may have", files, m.Files)
	}
	return nil
}

// Meminfo reads the machine's memory in bytes from the text of /proc/meminfo.
func Meminfo(text string) (int64, error) {
	for _, line := range strings.Split(text, "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "MemTotal: %d kB", &kb); n == 1 && kb > 0 {
			return kb << 10, nil
		}
	}
	return 0, fmt.Errorf("no MemTotal")
}

// Moment is when something happens in a run, counted from the first measured second, and to
// which courier or region.
type Moment struct {
	At, For time.Duration
	Whom    int
}

// Restarted are the couriers that are killed, and when: none twice.
func (p Plan) Restarted() (out []Moment) {
	rng := p.rng(1)
	whom := rng.Perm(p.Couriers)
	for i := range min(p.Restarts, p.Couriers) {
		out = append(out, Moment{At: p.nth(i, p.Restarts), Whom: whom[i]})
	}
	return out
}

// Parted are the cuts.
func (p Plan) Parted() (out []Moment) {
	rng := p.rng(2)
	for i := range p.Cuts {
		out = append(out, Moment{At: p.nth(i, p.Cuts), For: span(p.CutSeconds), Whom: rng.IntN(p.Regions)})
	}
	return out
}

// Changed are the endpoints, by number, that change.
func (p Plan) Changed() (out []Moment) {
	rng := p.rng(3)
	n := int(math.Round(p.Changes * p.Seconds / 60))
	for i := range n {
		out = append(out, Moment{At: p.nth(i, n), Whom: rng.IntN(p.Destinations * p.Endpoints)})
	}
	return out
}

// nth is the beginning of the ith of n equal parts of the run.
func (p Plan) nth(i, n int) time.Duration { return span(p.Seconds * float64(i) / float64(n)) }

// Silent are the destinations that are down, from 0 on; where the share is over 0, one at
// least is.
func (p Plan) Silent() []int {
	n := int(math.Ceil(p.Down * float64(p.Destinations)))
	out := p.rng(4).Perm(p.Destinations)[:n]
	slices.Sort(out)
	return out
}

// Arrivals is one courier's traffic: a Poisson process, each message to a destination drawn
// evenly.
type Arrivals struct {
	rng  *rand.Rand
	rate float64
	most int
	may  []int32 // the destinations; nil: the first ones, up to most
}

// Arrivals returns those of a courier, to the first destinations.
func (p Plan) Arrivals(courier, destinations int) *Arrivals {
	return &Arrivals{p.rng(1000 + uint64(courier)), p.Events / float64(p.Couriers), destinations, nil}
}

// ArrivalsAt returns those of a courier, to these destinations.
func (p Plan) ArrivalsAt(courier int, may []int32) *Arrivals {
	a := p.Arrivals(courier, len(may))
	a.may = may
	return a
}

// Next draws after how long the next message comes, for which destination, from 0 on, and
// whether it is of the class with idempotency keys: one in four is.
func (a *Arrivals) Next() (after time.Duration, destination int, keyed bool) {
	after, destination, keyed = span(a.rng.ExpFloat64()/a.rate), a.rng.IntN(a.most), a.rng.IntN(4) == 0
	if a.may != nil {
		destination = int(a.may[destination])
	}
	return after, destination, keyed
}

func (p Plan) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

func span(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
