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

// Scale are the options of a scale run: real couriers among hollow ones.
type Scale struct {
	scale.Plan
	Fit   string `enum:"none,couriers,destinations,events" default:"none" help:"Play five sizes, fifths of this flag's value, and fit each sum against them: ${enum}."`
	Agree bool   `help:"Play once with all couriers real and once with all hollow; exit 0 only if their traffic agrees within a tenth."`
	JSON  string `name:"json" placeholder:"FILE" help:"Where the figures go, too."`
	Exe   string `kong:"-"`
}

// ScaleFigures are what one run shows.
type ScaleFigures struct {
	Machine string     `json:"machine"`
	Plan    scale.Plan `json:"plan"`
	Seconds float64    `json:"measured_s"`
	StartS  float64    `json:"start_s"` // until every courier held the list

	Real      *CourierFigures  `json:"real,omitempty"`   // of one process, mean
	Hollow    *CourierFigures  `json:"hollow,omitempty"` // of one hollow courier, mean
	Carrier   *RoleFigures     `json:"carrier,omitempty"`
	Keeper    *RoleFigures     `json:"keeper,omitempty"`
	Directory DirectoryTraffic `json:"directory"`
	Start     ToldFigures      `json:"start"`
	Force     ForceFigures     `json:"in_force"`

	Messages       float64 `json:"messages_per_s"`        // handed in
	Notes          float64 `json:"datagrams_per_message"` // greetings of hollow couriers left out
	NoteBytes      float64 `json:"datagram_bytes_per_message"`
	Delivered      float64 `json:"delivered_per_s"` // by the partners
	Refused        float64 `json:"refused_per_s"`   // calls, by the partners
	Lost           float64 `json:"lost_share"`      // of the datagrams sent, but for those that met a cut
	Cut            float64 `json:"cut_per_s"`       // datagrams that met a cut
	Dropped        float64 `json:"dropped"`         // datagrams from no peer, too long, cut off or of no sense
	Crowded        float64 `json:"crowded"`         // datagrams that a courier had no time for
	StartGreetings float64 `json:"start_greetings"` // of hollow couriers, until the measured seconds
	HeapBytes      float64 `json:"hollow_heap"`     // of this process for each hollow courier, stand-ins included
}

// CourierFigures are one courier's, in both roles: a second, and at the end.
type CourierFigures struct {
	Couriers      int     `json:"couriers"`
	StateBytes    float64 `json:"state_bytes"` // reckoned
	HeapBytes     float64 `json:"heap_bytes"`  // of a process, in use; 0: it shares one
	ResidentBytes float64 `json:"resident_bytes"`
	Sent          float64 `json:"datagrams_sent_per_s"`
	SentBytes     float64 `json:"bytes_sent_per_s"`
	Received      float64 `json:"datagrams_received_per_s"`
	ReceivedBytes float64 `json:"bytes_received_per_s"`
	Greetings     float64 `json:"greetings_sent_per_s"` // of the datagrams, that say nothing else; of hollow couriers
	CPU           float64 `json:"cpu_share"`            // of a core; a hollow courier's is its loop's alone
	ListBytes     float64 `json:"list_bytes"`           // of the list held, part of the state
	ListEntries   float64 `json:"list_entries"`

	Forwarding *ForwardFigures `json:"forwarding,omitempty"` // with partitions
}

// ForwardFigures are what one courier forwards to others and takes from them.
type ForwardFigures struct {
	Handed    float64 `json:"handed_per_s"`    // by its own clients
	Forwarded float64 `json:"forwarded_per_s"` // of these, on to an owner
	Share     float64 `json:"forwarded_share"`
	Bytes     float64 `json:"forwarded_bytes_per_s"`
	Moved     float64 `json:"moved_per_s"`    // forwarded to it, and it does not hold the list
	NoOwner   float64 `json:"no_owner_per_s"` // refused BUSY, as no owner could be reached
	Lost      float64 `json:"unknown_per_s"`  // closed without an answer, as the owner gave none
	Open      float64 `json:"connections"`    // of forwarding, that it has dialled, at the end
}

// ToldFigures are what the directory tells one courier at a start.
type ToldFigures struct {
	Bytes     float64 `json:"bytes"`           // mean of all at the run's start
	Over      float64 `json:"over_budget"`     // of what it may be told
	Restarted float64 `json:"restarted_bytes"` // mean of the couriers that are restarted, of which real ones keep their folder
	Again     int     `json:"restarted"`
	Real      float64 `json:"restarted_real_bytes"`
	AgainReal int     `json:"restarted_real"`
}

// RoleFigures are a hollow courier's in one role.
type RoleFigures struct {
	StateBytes    float64 `json:"state_bytes"`
	Accounts      float64 `json:"accounts"`
	Sent          float64 `json:"datagrams_sent_per_s"`
	SentBytes     float64 `json:"bytes_sent_per_s"`
	Received      float64 `json:"datagrams_received_per_s"`
	ReceivedBytes float64 `json:"bytes_received_per_s"`
}

// DirectoryTraffic is that of the one directory with all couriers, a second.
type DirectoryTraffic struct {
	StateBytes float64 `json:"state_bytes"` // answers as it tells them
	Calls      float64 `json:"calls_per_s"`
	In         float64 `json:"bytes_in_per_s"`
	Out        float64 `json:"bytes_out_per_s"`
	Answering  float64 `json:"answering_share"` // of a core at most: it waits for sockets, too
	StartOut   float64 `json:"start_bytes_out"` // until all held the list
}

// ForceFigures are the time from a change of the list to a courier's next watch, which says
// that it holds it.
type ForceFigures struct {
	Changes int     `json:"changes"`
	Expect  int     `json:"expected"` // changes by couriers
	Heard   int64   `json:"heard"`
	MeanMs  float64 `json:"mean_ms"`
	P90Ms   float64 `json:"p90_ms"`
	P99Ms   float64 `json:"p99_ms"`
	LastMs  float64 `json:"last_ms"`
}

// machineLimits reads what a run may use.
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

// Validate tells what is wrong with the flags, or with the machine for them.
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
			return fmt.Errorf("--agree: real couriers are all in one region: --regions and --cuts cannot be with it")
		}
		p.Real = p.Couriers
	}
	for _, v := range o.sizes() {
		if err := o.sized(v).Check(); err != nil {
			return fmt.Errorf("--fit %s, of %g: %w", o.Fit, v, err)
		}
	}
	return p.CheckMachine(m)
}

// Run measures.
func (o Scale) Run(out io.Writer) error {
	switch {
	case o.Agree:
		return o.agree(out)
	case o.Fit != "none" && o.Fit != "":
		return o.fit(out)
	}
	f, err := o.play(o.Plan)
	if err != nil {
		return err
	}
	f.print(out)
	return save(o.JSON, f)
}

// message is the serial-th that a courier is handed.
func message(courier, serial, destination int, keyed bool) load.Message {
	m := load.Message{
		ID: fmt.Sprintf("c%d-%d", courier, serial), Class: "status", Tenant: "town",
		Destination: uint32(destination + 1), Left: 8 * time.Second,
	}
	if keyed {
		m.Class, m.Keyed = "order", true
	}
	return m
}

// fleet is a run.
type fleet struct {
	wires
	exe       string
	dir       string
	directory *standin.Directory
	list      []standin.Instance
	settings  map[string]any
	zones     []string
	machine   scale.Machine

	shards []*shard
	hollow map[int]*hollow
	mu     sync.Mutex
	real   map[int]*member
	doors  map[int]*standin.Door // of real couriers, and of those that have been restarted
	again  map[int]bool          // couriers that have been restarted
	force  force
	handed atomic.Int64 // messages, to real couriers
	ending chan struct{}
	work   sync.WaitGroup
	place  stdnet.PacketConn // holds the port that is all couriers', each at an address of its own
}

// member is a real courier.
type member struct {
	number int
	dir    string
	c      *rig.Courier
	client *load.Client
	past   map[string]float64 // of its earlier lives
}

func (o Scale) play(p scale.Plan) (f *ScaleFigures, err error) {
	m, err := machineLimits()
	if err != nil {
		return nil, err
	}
	t := &fleet{exe: o.Exe, machine: m, hollow: map[int]*hollow{}, real: map[int]*member{}, doors: map[int]*standin.Door{}, again: map[int]bool{}, ending: make(chan struct{})}
	t.plan = p
	defer t.close()
	if t.dir, err = os.MkdirTemp("", "snowjunction-scale-"); err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := t.open(); err != nil {
		return nil, err
	}
	before := heapNow()
	if err := t.start(); err != nil {
		return nil, err
	}
	f = &ScaleFigures{Machine: machine(), Plan: p, StartS: time.Since(begun).Seconds()}
	f.Start.Bytes = float64(t.directory.Traffic().Out) / float64(p.Couriers)
	f.Start.Over = f.Start.Bytes / scale.StartBudget
	t.flow()
	f.Directory.StartOut = float64(t.directory.Traffic().Out)
	if !t.sleep(span(p.Settle)) {
		return nil, fmt.Errorf("the run was ended")
	}
	return f, t.measure(f, before)
}

func span(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func heapNow() float64 {
	runtime.GC()
	runtime.GC() // what the first has only found to be without use
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// sleep returns false where the run ends before.
func (t *fleet) sleep(d time.Duration) bool {
	clock := time.NewTimer(d)
	defer clock.Stop()
	select {
	case <-clock.C:
		return true
	case <-t.ending:
		return false
	}
}

// open opens partners and directory, and gives the couriers their addresses.
func (t *fleet) open() (err error) {
	p := t.plan
	if err := t.settle(); err != nil {
		return err
	}
	for i := range p.Zones {
		t.zones = append(t.zones, fmt.Sprintf("z%d", i))
	}
	if t.members, err = members(p, t.each); err != nil {
		return err
	}
	var owned []bool
	if t.members != nil {
		owned = p.OwnedDestinations(t.members)
	}
	var listens []bool
	if listens, t.may = p.Listeners(t.machine, owned); t.members != nil && len(t.may) == 0 {
		return fmt.Errorf("no destination can have messages")
	}
	specs := standin.Population{Partners: p.Destinations, Endpoints: p.Endpoints, First: 1, Seed: p.Seed}.Specs()
	// Limits are drawn around what the traffic needs: 2 to 5 calls a second bear up to 1.3.
	more := max(1, p.Events/float64(p.Destinations)/1.3)
	for i := range specs {
		specs[i].Profile.Limit *= more
		specs[i].Profile.Capacity *= more
		if !listens[i] {
			specs[i].Endpoints = 0
		}
	}
	if t.farm, err = standin.NewFarm(specs); err != nil {
		return err
	}
	for _, d := range p.SilentDestinations() {
		_ = t.farm.With(uint32(d+1), func(x *partner.Partner) { // it has that number
			x.Add(partner.Fault{Kind: partner.Silent, Until: 24 * time.Hour})
		})
	}
	ends := t.farm.Endpoints()
	for d := range p.Destinations {
		if listens[d] {
			continue
		}
		for i := range p.Endpoints {
			n := d*p.Endpoints + i
			ends = append(ends, standin.Endpoint{
				Name: fmt.Sprintf("p%d-%d", d+1, i), Destination: uint32(d + 1),
				Addr: fmt.Sprintf("127.%d.%d.%d:9", 128+n>>16&0x7f, n>>8&0xff, n&0xff),
			})
		}
	}
	t.list = standin.List(ends)
	for i := range t.list {
		t.list[i].Zone = t.zones[p.Zone(i)]
	}
	if t.directory, err = standin.NewDirectory(t.list); err != nil {
		return err
	}
	t.discovery = t.directory.Addr()
	t.force.hist, t.force.held = latency.New(10*time.Minute, 3), map[string]uint64{}
	t.directory.Watched(t.force.watched)
	t.settings = rig.Large(48, 1000, 1.5*p.Events)
	t.lists = platform.ListLimits{Bytes: listBytes(len(t.list)), Entries: max(len(t.list), platform.DefaultListLimits.Entries)}
	t.columns = []string{"x0", "x1"}
	t.names = config.Names{Zones: map[string]int{}, Kinds: map[string]int{"k": 0}}
	for i, z := range t.zones {
		t.names.Zones[z] = i
	}
	return nil
}

// settle gives each courier an address of its own on loopback, with one port.
func (t *fleet) settle() (err error) {
	if t.place, err = stdnet.ListenPacket("udp4", "127.0.0.1:0"); err != nil {
		return err
	}
	port := t.place.LocalAddr().(*stdnet.UDPAddr).Port
	block := 1 + rand.IntN(120) // another run may have drawn the same port at other addresses
	for n := range t.plan.Couriers {
		t.each = append(t.each, fmt.Sprintf("127.%d.%d.%d:%d", block, (n+1)>>8&0xff, (n+1)&0xff, port))
	}
	t.peers = net.NewPeers(t.each)
	return nil
}

// print writes the figures as tables.
func (f *ScaleFigures) print(out io.Writer) {
	p := f.Plan
	fmt.Fprintln(out, f.Machine)
	fmt.Fprintf(out, "%d couriers, %d of them real; %d destinations of %d endpoints, share down %g; %d zones, %d regions; %.4g messages a second handed in\n",
		p.Couriers, p.Real, p.Destinations, p.Endpoints, p.Down, p.Zones, p.Regions, f.Messages)
	fmt.Fprintf(out, "%d restarts, %d cuts, %d changes in %.1f s; all held the list after %.1f s\n", p.Restarts, p.Cuts, f.Force.Changes, f.Seconds, f.StartS)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "of one, a second\tstate B\theap B\tdatagrams out\tB out\tdatagrams in\tB in\tcore")
	for _, x := range []struct {
		name string
		c    *CourierFigures
	}{{"courier, real", f.Real}, {"courier, hollow", f.Hollow}} {
		if x.c != nil {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.2f\t%.0f\t%.2f\t%.0f\t%.4f\n", x.name, x.c.StateBytes, x.c.HeapBytes, x.c.Sent, x.c.SentBytes, x.c.Received, x.c.ReceivedBytes, x.c.CPU)
		}
	}
	for _, x := range []struct {
		name string
		r    *RoleFigures
	}{{"  as carrier", f.Carrier}, {"  as keeper of accounts", f.Keeper}} {
		if x.r != nil {
			fmt.Fprintf(w, "%s\t%.0f\t\t%.2f\t%.0f\t%.2f\t%.0f\t\n", x.name, x.r.StateBytes, x.r.Sent, x.r.SentBytes, x.r.Received, x.r.ReceivedBytes)
		}
	}
	d := f.Directory
	fmt.Fprintf(w, "directory\t%.0f\t\t%.2f answers\t%.0f\t%.2f calls\t%.0f\t%.4f at most\n", d.StateBytes, d.Calls, d.Out, d.Calls, d.In, d.Answering)
	w.Flush()
	fmt.Fprintf(out, "a change is in force after (ms): mean %.1f, 0.9 %.1f, 0.99 %.1f, last %.1f; %d of %d heard\n",
		f.Force.MeanMs, f.Force.P90Ms, f.Force.P99Ms, f.Force.LastMs, f.Force.Heard, f.Force.Expect)
	fmt.Fprintf(out, "datagrams a message: %.2f of %.1f bytes in all, hollow couriers' greetings left out\n", f.Notes, f.NoteBytes)
	fmt.Fprintf(out, "delivered %.4g, refused %.4g a second; datagrams: %.4f lost, %.4g a second met a cut, %.0f dropped as no peer's or of no sense, %.0f for want of time\n",
		f.Delivered, f.Refused, f.Lost, f.Cut, f.Dropped, f.Crowded)
	if f.Hollow != nil {
		fmt.Fprintf(out, "greetings of hollow couriers: %.2f of one a second; %.0f of all before that\n", f.Hollow.Greetings, f.StartGreetings)
	}
	f.printParts(out)
	fmt.Fprintf(out, "the lists took %.0f bytes from the directory until all held one; this process's heap for each hollow courier: %.0f bytes\n", d.StartOut, f.HeapBytes)
}
