package measure

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	stdnet "net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"

	"snowjunction/internal/config"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/latency"
	"snowjunction/internal/net"
	"snowjunction/internal/rig"
	"snowjunction/internal/scale"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Scale holds the options of a scale run: real couriers in a fleet with simulated ones.
type Scale struct {
	scale.Plan
	Fit   string `enum:"none,couriers,destinations,events" default:"none" help:"Measure five sizes, fifths of this flag's value, and fit each total against them: ${enum}."`
	Agree bool   `help:"Run once with only real and once with only simulated couriers; exit 0 only if their traffic agrees within a tenth."`
	JSON  string `name:"json" placeholder:"FILE" help:"Also write the figures to this file."`
	Exe   string `kong:"-"`
}

// ScaleFigures holds the figures of one run.
type ScaleFigures struct {
	Machine string     `json:"machine"`
	Plan    scale.Plan `json:"plan"`
	Seconds float64    `json:"measured_s"`
	StartS  float64    `json:"start_s"` // seconds until every courier held the list

	Real           *CourierFigures    `json:"real,omitempty"`   // mean of the real couriers
	Simulated      *CourierFigures    `json:"hollow,omitempty"` // mean of the simulated couriers
	QuotaRequester *RoleFigures       `json:"carrier,omitempty"`
	LeaseOwner     *RoleFigures       `json:"keeper,omitempty"`
	Directory      DirectoryTraffic   `json:"directory"`
	Start          StartTraffic       `json:"start"`
	Propagation    PropagationFigures `json:"in_force"`

	Messages            float64 `json:"messages_per_s"`        // submitted
	DatagramsPerMessage float64 `json:"datagrams_per_message"` // peer messages, without the announcements of simulated couriers
	BytesPerMessage     float64 `json:"datagram_bytes_per_message"`
	Delivered           float64 `json:"delivered_per_s"` // by the partners
	Rejected            float64 `json:"refused_per_s"`   // calls rejected by the partners
	Lost                float64 `json:"lost_share"`      // share of the datagrams sent, without those dropped by a cut
	Cut                 float64 `json:"cut_per_s"`       // datagrams dropped by a cut
	Dropped             float64 `json:"dropped"`         // datagrams from unknown senders, oversized, truncated or invalid
	Overflowed          float64 `json:"crowded"`         // datagrams dropped because the receiving queue was full
	StartAnnouncements  float64 `json:"start_greetings"` // of simulated couriers, before the measurement
	HeapBytes           float64 `json:"hollow_heap"`     // of this process per simulated courier, including the stand-ins
}

// CourierFigures holds the figures of one courier in both roles: rates per second, sizes at the
// end.
type CourierFigures struct {
	Couriers      int     `json:"couriers"`
	StateBytes    float64 `json:"state_bytes"` // computed from sizes and counts
	HeapBytes     float64 `json:"heap_bytes"`  // of a process, in use; zero for simulated couriers, which share a process
	ResidentBytes float64 `json:"resident_bytes"`
	Sent          float64 `json:"datagrams_sent_per_s"`
	SentBytes     float64 `json:"bytes_sent_per_s"`
	Received      float64 `json:"datagrams_received_per_s"`
	ReceivedBytes float64 `json:"bytes_received_per_s"`
	Announcements float64 `json:"greetings_sent_per_s"` // datagrams that are announcements only; of simulated couriers
	CPU           float64 `json:"cpu_share"`            // share of a core; for a simulated courier only that of its loop
	ListBytes     float64 `json:"list_bytes"`           // of the list, part of the state
	ListEntries   float64 `json:"list_entries"`

	Forwarding *ForwardFigures `json:"forwarding,omitempty"` // only with partitions
}

// ForwardFigures holds what one courier forwards to others and receives from them.
type ForwardFigures struct {
	Submitted  float64 `json:"handed_per_s"`    // by its own clients
	Forwarded  float64 `json:"forwarded_per_s"` // of these, forwarded to an owner
	Share      float64 `json:"forwarded_share"`
	Bytes      float64 `json:"forwarded_bytes_per_s"`
	Moved      float64 `json:"moved_per_s"`    // forwarded to it while it did not hold the list of the destination
	NoOwner    float64 `json:"no_owner_per_s"` // rejected with BUSY because no owner was reachable
	Unanswered float64 `json:"unknown_per_s"`  // closed without an answer because the owner sent none
	Open       float64 `json:"connections"`    // outgoing forwarding connections at the end
}

// StartTraffic holds how many bytes the directory sends to one courier when it starts.
type StartTraffic struct {
	Bytes                   float64 `json:"bytes"`           // mean of all couriers at the start of the run
	BudgetRatio             float64 `json:"over_budget"`     // ratio to the start budget
	RestartedSimulatedBytes float64 `json:"restarted_bytes"` // mean of the restarted simulated couriers, which keep no state
	RestartedSimulated      int     `json:"restarted"`
	RestartedRealBytes      float64 `json:"restarted_real_bytes"`
	RestartedReal           int     `json:"restarted_real"`
}

// RoleFigures holds the figures of a simulated courier in one role.
type RoleFigures struct {
	StateBytes    float64 `json:"state_bytes"`
	QuotaLedgers  float64 `json:"accounts"`
	Sent          float64 `json:"datagrams_sent_per_s"`
	SentBytes     float64 `json:"bytes_sent_per_s"`
	Received      float64 `json:"datagrams_received_per_s"`
	ReceivedBytes float64 `json:"bytes_received_per_s"`
}

// DirectoryTraffic is the directory's traffic with all couriers, per second.
type DirectoryTraffic struct {
	StateBytes float64 `json:"state_bytes"` // encoded answers
	Calls      float64 `json:"calls_per_s"`
	In         float64 `json:"bytes_in_per_s"`
	Out        float64 `json:"bytes_out_per_s"`
	Answering  float64 `json:"answering_share"` // share of a core at most, since it includes waiting for sockets
	StartOut   float64 `json:"start_bytes_out"` // until all couriers held the list
}

// PropagationFigures holds the delay from a list change to the next watch request of a courier that
// confirms it.
type PropagationFigures struct {
	Changes   int     `json:"changes"`
	Expected  int     `json:"expected"` // number of pairs of a change and a courier that it affects
	Confirmed int64   `json:"heard"`
	MeanMs    float64 `json:"mean_ms"`
	P90Ms     float64 `json:"p90_ms"`
	P99Ms     float64 `json:"p99_ms"`
	LastMs    float64 `json:"last_ms"`
}

// machineLimits reads the memory and file descriptor limits of the machine.
func machineLimits() (m scale.Machine, err error) {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	if m.Memory, err = scale.Meminfo(string(b)); err != nil {
		return m, err
	}
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return m, err
	}
	m.Files = int(min(l.Cur, math.MaxInt32))
	return m, nil
}

// Validate checks the flags, and that the run fits the machine.
func (o Scale) Validate() error {
	if err := o.Check(); err != nil {
		return err
	}
	m, err := machineLimits()
	if err != nil {
		return err
	}
	p := o.Plan
	if o.Agree {
		if p.Cuts > 0 || p.Regions > 1 {
			return fmt.Errorf("--agree: real couriers are all in one region, so --regions and --cuts cannot be combined with it")
		}
		p.Real = p.Couriers
	}
	for _, v := range o.sizes() {
		if err := o.planOfSize(v).Check(); err != nil {
			return fmt.Errorf("--fit %s, of %g: %w", o.Fit, v, err)
		}
	}
	return p.CheckMachine(m)
}

// Run executes the scale run, the fit or the comparison that the flags ask for.
func (o Scale) Run(out io.Writer) error {
	switch {
	case o.Agree:
		return o.compareFleets(out)
	case o.Fit != "none" && o.Fit != "":
		return o.fit(out)
	}
	f, err := o.runPlan(o.Plan)
	if err != nil {
		return err
	}
	f.print(out)
	return writeFigures(o.JSON, f)
}

// newMessage returns the serial-th message submitted to a courier.
func newMessage(courier, serial, destination int, keyed bool) load.Message {
	m := load.Message{
		ID: fmt.Sprintf("c%d-%d", courier, serial), Class: "status", Tenant: "town",
		Destination: uint32(destination + 1), TTL: 8 * time.Second,
	}
	if keyed {
		m.Class, m.HasIdempotencyKey = "order", true
	}
	return m
}

// fleet is a running scale run.
type fleet struct {
	sharedState
	exe       string
	dir       string
	directory *standin.Directory
	list      []standin.Instance
	settings  map[string]any
	zones     []string
	machine   scale.Machine

	shards            []*shard
	simulated         map[int]*simulatedCourier
	mu                sync.Mutex
	real              map[int]*realCourier
	directoryAddrs    map[int]*standin.DedicatedAddress // of real couriers and of restarted ones
	restartedCouriers map[int]bool
	propagation       propagation
	submitted         atomic.Int64 // messages submitted to real couriers
	stopping          chan struct{}
	tasks             sync.WaitGroup
	portHolder        stdnet.PacketConn // reserves the port that all couriers use, each at its own address
}

// realCourier is a courier process of the product.
type realCourier struct {
	number       int
	dir          string
	courier      *rig.Courier
	client       *load.Client
	pastCounters map[string]float64 // counters of its previous process runs
}

// runPlan executes one scale run.
func (o Scale) runPlan(p scale.Plan) (f *ScaleFigures, err error) {
	m, err := machineLimits()
	if err != nil {
		return nil, err
	}
	t := &fleet{exe: o.Exe, machine: m, simulated: map[int]*simulatedCourier{}, real: map[int]*realCourier{}, directoryAddrs: map[int]*standin.DedicatedAddress{}, restartedCouriers: map[int]bool{}, stopping: make(chan struct{})}
	t.plan = p
	defer t.close()
	if t.dir, err = os.MkdirTemp("", "snowjunction-scale-"); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if err := t.open(); err != nil {
		return nil, err
	}
	heapBefore := liveHeap()
	if err := t.start(); err != nil {
		return nil, err
	}
	f = &ScaleFigures{Machine: describeMachine(), Plan: p, StartS: time.Since(startedAt).Seconds()}
	f.Start.Bytes = float64(t.directory.Traffic().Out) / float64(p.Couriers)
	f.Start.BudgetRatio = f.Start.Bytes / scale.StartBudget
	t.startTraffic()
	f.Directory.StartOut = float64(t.directory.Traffic().Out)
	if !t.sleep(seconds(p.Settle)) {
		return nil, fmt.Errorf("the run was stopped")
	}
	return f, t.measure(f, heapBefore)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// liveHeap returns the bytes of the heap in use after garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the second collection frees what the first one only found unused
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// sleep returns false if the run ends first.
func (t *fleet) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.stopping:
		return false
	}
}

// open starts partners and directory, and assigns the couriers their addresses.
func (t *fleet) open() (err error) {
	p := t.plan
	if err := t.assignAddresses(); err != nil {
		return err
	}
	for i := range p.Zones {
		t.zones = append(t.zones, fmt.Sprintf("z%d", i))
	}
	if t.members, err = newMembership(p, t.addrs); err != nil {
		return err
	}
	var owned []bool
	if t.members != nil {
		owned = p.OwnedDestinations(t.members)
	}
	var listens []bool
	if listens, t.allowed = p.Listeners(t.machine, owned); t.members != nil && len(t.allowed) == 0 {
		return fmt.Errorf("no destination can receive messages")
	}
	specs := standin.Population{Partners: p.Destinations, Endpoints: p.Endpoints, First: 1, Seed: p.Seed}.Specs()
	// Limits scale with the traffic: a limit of 2 to 5 calls a second sustains up to 1.3.
	limitFactor := max(1, p.Events/float64(p.Destinations)/1.3)
	for i := range specs {
		specs[i].Profile.Limit *= limitFactor
		specs[i].Profile.Capacity *= limitFactor
		if !listens[i] {
			specs[i].Endpoints = 0
		}
	}
	if t.farm, err = standin.NewFarm(specs); err != nil {
		return err
	}
	for _, d := range p.SilentDestinations() {
		_ = t.farm.With(uint32(d+1), func(x *partner.Partner) { // destination d+1 exists
			x.Add(partner.Fault{Kind: partner.Silent, Until: 24 * time.Hour})
		})
	}
	endpoints := t.farm.Endpoints()
	for d := range p.Destinations {
		if listens[d] {
			continue
		}
		for i := range p.Endpoints {
			n := d*p.Endpoints + i
			endpoints = append(endpoints, standin.Endpoint{
				Name: fmt.Sprintf("p%d-%d", d+1, i), Destination: uint32(d + 1),
				Addr: fmt.Sprintf("127.%d.%d.%d:9", 128+n>>16&0x7f, n>>8&0xff, n&0xff),
			})
		}
	}
	t.list = standin.List(endpoints)
	for i := range t.list {
		t.list[i].Zone = t.zones[p.Zone(i)]
	}
	if t.directory, err = standin.NewDirectory(t.list); err != nil {
		return err
	}
	t.discovery = t.directory.Addr()
	t.propagation.delays, t.propagation.confirmed = latency.New(10*time.Minute, 3), map[string]uint64{}
	t.directory.OnWatch(t.propagation.onWatch)
	t.settings = rig.LargeSettings(48, 1000, 1.5*p.Events)
	t.lists = platform.ListLimits{Bytes: maxListBytes(len(t.list)), Entries: max(len(t.list), platform.DefaultListLimits.Entries)}
	t.columns = []string{"x0", "x1"}
	t.names = config.Names{Zones: map[string]int{}, Kinds: map[string]int{"k": 0}}
	for i, z := range t.zones {
		t.names.Zones[z] = i
	}
	return nil
}

// assignAddresses assigns each courier its own loopback address, all with one port.
func (t *fleet) assignAddresses() (err error) {
	if t.portHolder, err = stdnet.ListenPacket("udp4", "127.0.0.1:0"); err != nil {
		return err
	}
	port := t.portHolder.LocalAddr().(*stdnet.UDPAddr).Port
	block := 1 + rand.IntN(120) // another run may use the same port at other addresses
	for n := range t.plan.Couriers {
		t.addrs = append(t.addrs, fmt.Sprintf("127.%d.%d.%d:%d", block, (n+1)>>8&0xff, (n+1)&0xff, port))
	}
	t.peers = net.NewPeers(t.addrs)
	return nil
}

// print writes the figures as tables.
func (f *ScaleFigures) print(out io.Writer) {
	p := f.Plan
	fmt.Fprintln(out, f.Machine)
	fmt.Fprintf(out, "%d couriers, %d of them real; %d destinations of %d endpoints, share down %g; %d zones, %d regions; %.4g messages a second submitted\n",
		p.Couriers, p.Real, p.Destinations, p.Endpoints, p.Down, p.Zones, p.Regions, f.Messages)
	fmt.Fprintf(out, "%d restarts, %d cuts, %d changes in %.1f s; all couriers held the list after %.1f s\n", p.Restarts, p.Cuts, f.Propagation.Changes, f.Seconds, f.StartS)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "per courier and second\tstate B\theap B\tdatagrams out\tB out\tdatagrams in\tB in\tcore")
	for _, x := range []struct {
		name string
		c    *CourierFigures
	}{{"courier, real", f.Real}, {"courier, simulated", f.Simulated}} {
		if x.c != nil {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.2f\t%.0f\t%.2f\t%.0f\t%.4f\n", x.name, x.c.StateBytes, x.c.HeapBytes, x.c.Sent, x.c.SentBytes, x.c.Received, x.c.ReceivedBytes, x.c.CPU)
		}
	}
	for _, x := range []struct {
		name string
		r    *RoleFigures
	}{{"  as quota requester", f.QuotaRequester}, {"  as lease owner", f.LeaseOwner}} {
		if x.r != nil {
			fmt.Fprintf(w, "%s\t%.0f\t\t%.2f\t%.0f\t%.2f\t%.0f\t\n", x.name, x.r.StateBytes, x.r.Sent, x.r.SentBytes, x.r.Received, x.r.ReceivedBytes)
		}
	}
	d := f.Directory
	fmt.Fprintf(w, "directory\t%.0f\t\t%.2f answers\t%.0f\t%.2f calls\t%.0f\t%.4f at most\n", d.StateBytes, d.Calls, d.Out, d.Calls, d.In, d.Answering)
	w.Flush()
	fmt.Fprintf(out, "a change is in force after (ms): mean %.1f, 0.9 %.1f, 0.99 %.1f, last %.1f; %d of %d confirmed\n",
		f.Propagation.MeanMs, f.Propagation.P90Ms, f.Propagation.P99Ms, f.Propagation.LastMs, f.Propagation.Confirmed, f.Propagation.Expected)
	fmt.Fprintf(out, "datagrams per message: %.2f with %.1f bytes in all, without the announcements of simulated couriers\n", f.DatagramsPerMessage, f.BytesPerMessage)
	fmt.Fprintf(out, "delivered %.4g, rejected %.4g a second; datagrams: %.4f lost, %.4g a second dropped by a cut, %.0f dropped as unknown or invalid, %.0f by queue overflow\n",
		f.Delivered, f.Rejected, f.Lost, f.Cut, f.Dropped, f.Overflowed)
	if f.Simulated != nil {
		fmt.Fprintf(out, "announcements of simulated couriers: %.2f per courier and second; %.0f in all before the measurement\n", f.Simulated.Announcements, f.StartAnnouncements)
	}
	f.printParts(out)
	fmt.Fprintf(out, "the directory sent %.0f bytes until all couriers held the list; heap of this process per simulated courier: %.0f bytes\n", d.StartOut, f.HeapBytes)
}
