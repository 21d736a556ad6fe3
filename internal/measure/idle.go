package measure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Idle holds the options for measuring idle destinations.
type Idle struct {
	Partners  int    `default:"10000" help:"Listed partners."`
	Endpoints int    `default:"2" help:"Endpoints of each."`
	Active    int    `default:"10" help:"Partners with constant traffic."`
	Listening int    `default:"9000" help:"Maximum number of partners that accept connections; the others are only listed and never called."`
	Clump     int    `default:"200" help:"Idle partners that a burst of messages reaches at the same moment."`
	Seed      uint64 `default:"1" help:"Random seed of limits, pacing rates and latencies."`
	JSON      string `placeholder:"FILE" help:"Write the figures to this file."`
	Exe       string `kong:"-"`
}

// IdleFigures holds the measured figures.
type IdleFigures struct {
	Partners, Endpoints, Active, Listening, Called, Clump int
	Machine                                               string

	HeapActive, HeapListed, HeapCalled             int64 // bytes, live after garbage collection
	ResidentActive, ResidentListed, ResidentCalled int64

	BytesPerIdle  MemoryCost `json:"bytes_per_idle_partner"` // never called
	BytesPerOnce  MemoryCost `json:"bytes_per_once_called"`  // unloaded again, including the cost of its list entry
	LongestTurnMs float64    `json:"longest_turn_ms"`
	FullListMs    float64    `json:"full_list_ms"` // from the change to the next watch request
	Delta         ChangeCost `json:"delta_us"`
	IdleCPUActive float64    `json:"idle_cpu_active"` // CPU seconds per second
	IdleCPUListed float64    `json:"idle_cpu_listed"`
	IdleCPURatio  float64    `json:"idle_cpu_ratio"`

	Cut  BurstResult `json:"cut_to_a_third"` // one partner, its limit cut to a third while it was unloaded
	Many BurstResult `json:"many_at_once"`

	PeakOverLimit float64 `json:"peak_over_limit"`
	Fell          int     `json:"fell"`
	Delivered     int     `json:"delivered"`
	Late          int     `json:"late"`
	Duplicates    int     `json:"duplicates"`
	OutOfOrder    int     `json:"out_of_order"`
}

// MemoryCost is a difference in memory: of the live heap and of the resident set.
type MemoryCost struct {
	Heap     float64 `json:"heap"`
	Resident float64 `json:"resident"`
}

// ChangeCost is the loop time for a change of one list entry, in microseconds, with only the active
// partners listed and with all partners listed.
type ChangeCost struct {
	Active   float64 `json:"at_active"`
	Partners float64 `json:"at_partners"`
}

// BurstResult holds the result of a burst of messages that loads unloaded partners.
type BurstResult struct {
	Partners      int     `json:"partners"`
	Messages      int     `json:"messages"`
	Taken         int     `json:"taken"`
	Refused       int     `json:"refused"`
	Unheard       int     `json:"unheard"` // no answer, or an unexpected one
	Delivered     int     `json:"delivered"`
	Late          int     `json:"late"`
	Open          int     `json:"open"`
	Doubled       int     `json:"doubled"`
	Calls         int     `json:"calls"`
	TurnedAway    int     `json:"turned_away"`
	OverLimit     int     `json:"over_limit"`
	PeakOverLimit float64 `json:"peak_over_limit"` // of the worst partner
	Fell          int     `json:"fell"`
	Duplicates    int     `json:"duplicates"`
	OutOfOrder    int     `json:"out_of_order"`
	InWait        int     `json:"in_wait"`
	Seconds       float64 `json:"seconds"` // until all messages had their final result
}

// standinProcess is a process of stand-in partners.
type standinProcess struct {
	first, last uint32
	cmd         *exec.Cmd
	in          io.WriteCloser
	out         *bufio.Scanner
}

// endpointsPerProcess limits the sockets of one process.
const endpointsPerProcess = 7000

func startStandins(exe string, p standin.Population) (*standinProcess, error) {
	cmd := exec.Command(exe, "standin", "--no-directory", fmt.Sprintf("--partners=%d", p.Partners),
		fmt.Sprintf("--endpoints=%d", p.Endpoints), fmt.Sprintf("--first=%d", p.First), fmt.Sprintf("--seed=%d", p.Seed))
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	f := &standinProcess{first: p.First, last: p.First + uint32(p.Partners) - 1, cmd: cmd, in: in, out: bufio.NewScanner(out)}
	f.out.Buffer(nil, 64<<20)
	if _, err := f.reply(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (p *standinProcess) reply() (r standin.Reply, err error) {
	if !p.out.Scan() {
		return r, fmt.Errorf("the stand-in process has ended: %v", p.out.Err())
	}
	if err := json.Unmarshal(p.out.Bytes(), &r); err != nil {
		return r, err
	}
	if r.Error != "" {
		return r, fmt.Errorf("stand-ins: %s", r.Error)
	}
	return r, nil
}

func (p *standinProcess) order(o standin.Order) (standin.Reply, error) {
	b, err := json.Marshal(o)
	if err == nil {
		_, err = p.in.Write(append(b, '\n'))
	}
	if err != nil {
		return standin.Reply{}, err
	}
	return p.reply()
}

func (p *standinProcess) close() {
	_ = p.in.Close()
	_ = p.cmd.Wait()
}

// idleTestbed holds everything that a measurement has started.
type idleTestbed struct {
	options   Idle
	standins  []*standinProcess
	directory *standin.Directory
	courier   *rig.Courier
	client    *load.Client
	list      []standin.Instance
	limits    map[uint32]float64
	listening int
}

func (b *idleTestbed) close() {
	if b.client != nil {
		b.client.Close()
	}
	if b.courier != nil {
		b.courier.Kill()
	}
	if b.directory != nil {
		b.directory.Close()
	}
	for _, f := range b.standins {
		f.close()
	}
}

func (b *idleTestbed) orderAll(from, to uint32, o standin.Order) error {
	for _, f := range b.standins {
		x := o
		x.From, x.To = max(from, f.first), min(to, f.last)
		if x.From > x.To {
			continue
		}
		if _, err := f.order(x); err != nil {
			return err
		}
	}
	return nil
}

func (b *idleTestbed) counts() (map[uint32]partner.Counts, error) {
	out := map[uint32]partner.Counts{}
	b.limits = map[uint32]float64{}
	for _, f := range b.standins {
		r, err := f.order(standin.Order{Do: "stats"})
		if err != nil {
			return nil, err
		}
		maps.Copy(out, r.Counts)
		maps.Copy(b.limits, r.Limits)
	}
	return out, nil
}

// seen asks the stand-ins which of the messages they have delivered.
func (b *idleTestbed) seen(sent []load.Message) (map[string]bool, error) {
	out := map[string]bool{}
	for _, f := range b.standins {
		var ids []standin.Ask
		for _, m := range sent {
			if m.Destination >= f.first && m.Destination <= f.last {
				ids = append(ids, standin.Ask{Destination: m.Destination, ID: m.ID})
			}
		}
		for part := range slices.Chunk(ids, 2000) {
			r, err := f.order(standin.Order{Do: "seen", IDs: part})
			if err != nil {
				return nil, err
			}
			for i, x := range part {
				out[x.ID] = r.Seen[i]
			}
		}
	}
	return out, nil
}

func (b *idleTestbed) startAll(dir string) error {
	o := b.options
	b.listening = min(o.Partners, o.Listening)
	perProcess := max(endpointsPerProcess/o.Endpoints, 1)
	for first := 0; first < b.listening; first += perProcess {
		f, err := startStandins(o.Exe, standin.Population{
			Partners: min(perProcess, b.listening-first), Endpoints: o.Endpoints, First: uint32(first + 1), Seed: o.Seed,
		})
		if err != nil {
			return err
		}
		b.standins = append(b.standins, f)
		r, err := f.order(standin.Order{Do: "list"})
		if err != nil {
			return err
		}
		b.list = append(b.list, standin.List(r.Endpoints)...)
	}
	var listedOnly []standin.Endpoint
	for d := b.listening + 1; d <= o.Partners; d++ {
		for i := range o.Endpoints {
			n := (d*o.Endpoints + i)
			listedOnly = append(listedOnly, standin.Endpoint{
				Name: fmt.Sprintf("p%d-%d", d, i), Destination: uint32(d),
				Addr: fmt.Sprintf("127.%d.%d.%d:%d", 1+n>>16&0x7f, n>>8&0xff, n&0xff, 9),
			})
		}
	}
	b.list = append(b.list, standin.List(listedOnly)...)
	var err error
	if b.directory, err = standin.NewDirectory(b.list[:o.Active*o.Endpoints]); err != nil {
		return err
	}
	b.courier, err = rig.Start(o.Exe, rig.Config{
		Dir: dir, Discovery: b.directory.Addr(), Settings: rig.Large(96, 8000, 2000), MemoryMB: 192, Sockets: 1024,
		Idle: map[string]any{
			"sleep_after_s": 1, "careful_first": true, "memory_kb": 65536, "list_mb": 256, "list_entries": 1000000,
		},
	})
	if err != nil {
		return err
	}
	b.client = load.New(b.courier.Addr, "")
	return b.awaitConfirmed(b.directory.Replace(b.list[:o.Active*o.Endpoints]))
}

// awaitConfirmed waits until the courier confirms a generation of the list.
func (b *idleTestbed) awaitConfirmed(generation uint64) error {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if b.directory.Heard() >= generation {
			return nil
		}
	}
	return fmt.Errorf("the courier did not confirm list generation %d\n%s", generation, b.courier.Tail())
}

// sendTraffic sends light traffic to the active partners for a duration.
func (b *idleTestbed) sendTraffic(name string, d time.Duration) {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); n++ {
		_, _, _ = b.client.Add(load.Message{
			ID: fmt.Sprintf("%s-%d", name, n), Class: "status", Tenant: "town", Left: 8 * time.Second,
			Destination: uint32(n%b.options.Active + 1),
		})
		time.Sleep(100 * time.Millisecond)
	}
}

// measureCPU returns the CPU seconds per second under light traffic.
func (b *idleTestbed) measureCPU(name string, d time.Duration) (float64, error) {
	before, err := b.courier.CPU()
	if err != nil {
		return 0, err
	}
	startedAt := time.Now()
	b.sendTraffic(name, d)
	after, err := b.courier.CPU()
	return (after - before).Seconds() / time.Since(startedAt).Seconds(), err
}

// measureChanges makes the directory send n changes of single entries in sequence, and returns the
// mean time that the courier's loop took for one, in microseconds.
func (b *idleTestbed) measureChanges(n int) (float64, error) {
	if _, err := b.courier.Counters(false); err != nil { // resets the mean
		return 0, err
	}
	for i := range n {
		x := b.list[i%(b.options.Active*b.options.Endpoints)]
		x.Weight = float64(2 + i%7)
		if err := b.awaitConfirmed(b.directory.Change(x)); err != nil {
			return 0, err
		}
	}
	line, err := b.courier.Counters(false)
	return rig.Number(line, "idle", "change_ns") / 1000, err
}

// memory returns the live heap and the resident memory after garbage collection, in bytes.
func (b *idleTestbed) memory() (heap, resident int64, line map[string]any, err error) {
	if line, err = b.courier.Counters(true); err != nil {
		return
	}
	heap = int64(rig.Number(line, "heap"))
	resident, err = b.courier.Resident()
	return
}

// awaitUnloaded waits until only the active destinations are loaded.
func (b *idleTestbed) awaitUnloaded() error {
	for deadline := time.Now().Add(2 * time.Minute); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		line, err := b.courier.Counters(false)
		if err != nil {
			return err
		}
		if rig.Number(line, "idle", "awake") <= float64(b.options.Active) && rig.Number(line, "held") == 0 {
			return nil
		}
	}
	return fmt.Errorf("idle destinations are not unloaded\n%s", b.courier.Tail())
}

const (
	cpuFor     = 5 * time.Second
	cpuRounds  = 2
	deltaCount = 200
)

// Run measures and returns the figures.
func (o Idle) Run(out io.Writer) (f IdleFigures, err error) {
	if o.Partners < o.Active+1 || o.Active < 1 || o.Endpoints < 1 || o.Listening <= o.Active {
		return f, fmt.Errorf("--partners and --listening have to exceed --active, and --active and --endpoints have to be at least 1")
	}
	dir, err := os.MkdirTemp("", "snowjunction-measure-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	b := &idleTestbed{options: o}
	defer b.close()
	printf := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	if err := b.startAll(dir); err != nil {
		return f, err
	}
	f = IdleFigures{
		Partners: o.Partners, Endpoints: o.Endpoints, Active: o.Active, Listening: b.listening,
		Machine: describeMachine(),
	}
	activeList, fullList := b.list[:o.Active*o.Endpoints], b.list

	b.sendTraffic("warm", 3*time.Second)
	if f.HeapActive, f.ResidentActive, _, err = b.memory(); err != nil {
		return f, err
	}
	printf("%d active partners listed: heap %d, resident %d bytes", o.Active, f.HeapActive, f.ResidentActive)
	if f.Delta.Active, err = b.measureChanges(deltaCount); err != nil {
		return f, err
	}
	for round := range cpuRounds {
		if round > 0 {
			if err := b.awaitConfirmed(b.directory.Replace(activeList)); err != nil {
				return f, err
			}
		}
		x, err := b.measureCPU(fmt.Sprintf("few%d", round), cpuFor)
		if err != nil {
			return f, err
		}
		f.IdleCPUActive += x / cpuRounds
		if _, err := b.courier.Counters(false); err != nil { // resets the longest turn
			return f, err
		}
		startedAt := time.Now()
		if err := b.awaitConfirmed(b.directory.Replace(fullList)); err != nil {
			return f, err
		}
		f.FullListMs = max(f.FullListMs, float64(time.Since(startedAt).Microseconds())/1000)
		line, err := b.courier.Counters(false)
		if err != nil {
			return f, err
		}
		f.LongestTurnMs = max(f.LongestTurnMs, rig.Number(line, "longest_turn_us")/1000)
		if x, err = b.measureCPU(fmt.Sprintf("all%d", round), cpuFor); err != nil {
			return f, err
		}
		f.IdleCPUListed += x / cpuRounds
	}
	f.IdleCPURatio = f.IdleCPUListed / f.IdleCPUActive
	if f.HeapListed, f.ResidentListed, _, err = b.memory(); err != nil {
		return f, err
	}
	idle := float64(o.Partners - o.Active)
	f.BytesPerIdle.Heap = float64(f.HeapListed-f.HeapActive) / idle
	f.BytesPerIdle.Resident = float64(f.ResidentListed-f.ResidentActive) / idle
	printf("%d partners listed: heap %d, resident %d bytes, longest turn %.2f ms", o.Partners, f.HeapListed, f.ResidentListed, f.LongestTurnMs)
	if f.Delta.Partners, err = b.measureChanges(deltaCount); err != nil {
		return f, err
	}
	printf("a change takes %.1f us with %d listed, %.1f us with %d; idle CPU %.5f and %.5f",
		f.Delta.Active, o.Active, f.Delta.Partners, o.Partners, f.IdleCPUActive, f.IdleCPUListed)

	if f.Called, err = b.callAllOnce(); err != nil {
		return f, err
	}
	if f.HeapCalled, f.ResidentCalled, _, err = b.memory(); err != nil {
		return f, err
	}
	f.BytesPerOnce.Heap = f.BytesPerIdle.Heap + float64(f.HeapCalled-f.HeapListed)/float64(f.Called)
	f.BytesPerOnce.Resident = f.BytesPerIdle.Resident + float64(f.ResidentCalled-f.ResidentListed)/float64(f.Called)
	printf("%d called once and unloaded: heap %d, resident %d bytes", f.Called, f.HeapCalled, f.ResidentCalled)

	first := uint32(o.Active + 1)
	if f.Cut, err = b.sendBurst("cut", first, first, 1.0/3); err != nil {
		return f, err
	}
	printf("one loaded, its limit cut to a third: %+v", f.Cut)
	f.Clump = min(o.Clump, b.listening-o.Active-1)
	if f.Clump > 0 {
		if f.Many, err = b.sendBurst("many", first+1, first+uint32(f.Clump), 1); err != nil {
			return f, err
		}
		printf("%d loaded at once: %+v", f.Clump, f.Many)
	}
	for _, w := range []BurstResult{f.Cut, f.Many} {
		f.PeakOverLimit = max(f.PeakOverLimit, w.PeakOverLimit)
		f.Fell += w.Fell
		f.Delivered += w.Delivered
		f.Late += w.Late
		f.Duplicates += w.Duplicates
		f.OutOfOrder += w.OutOfOrder
	}
	return f, writeFigures(o.JSON, f)
}

// callAllOnce calls every listening partner that is not active once, and waits until they are
// unloaded.
func (b *idleTestbed) callAllOnce() (called int, err error) {
	var wg sync.WaitGroup
	work := make(chan int)
	for range 8 {
		wg.Go(func() {
			for d := range work {
				m := load.Message{
					ID: fmt.Sprintf("once-%d", d), Class: "status", Tenant: "town", Left: 8 * time.Second, Destination: uint32(d),
				}
				for attempt := 0; attempt < 20; attempt++ {
					if v, after, _ := b.client.Add(m); v != load.Refused {
						break
					} else {
						time.Sleep(max(after, 20*time.Millisecond))
					}
					m.ID += "r"
				}
			}
		})
	}
	for d := b.options.Active + 1; d <= b.listening; d++ {
		work <- d
		called++
		time.Sleep(2500 * time.Microsecond)
	}
	close(work)
	wg.Wait()
	return called, b.awaitUnloaded()
}

// sendBurst sends a burst worth three seconds of its limit to each of a range of unloaded partners
// at the same moment, after changing their limits and making them cold. It waits for the final
// result of every message.
func (b *idleTestbed) sendBurst(name string, from, to uint32, factor float64) (w BurstResult, err error) {
	if err := b.awaitUnloaded(); err != nil {
		return w, err
	}
	if _, err := b.counts(); err != nil {
		return w, err
	}
	limits := b.limits
	for _, o := range []standin.Order{{Do: "limit", Factor: factor}, {Do: "chill"}, {Do: "reset"}} {
		if err := b.orderAll(from, to, o); err != nil {
			return w, err
		}
	}
	var burst []load.Message
	for d := from; d <= to; d++ {
		for n := range max(int(3*limits[d]), 1) {
			m := load.Message{
				ID: fmt.Sprintf("%s-%d-%d", name, d, n), Class: "order", Tenant: "town", Left: 20 * time.Second,
				Destination: d, Keyed: true, Key: uint64(d)<<8 + uint64(n%4) + 1, Seq: uint64(n + 1),
			}
			if n%4 == 3 {
				m.Class, m.Left, m.Keyed, m.Key = "status", 8*time.Second, false, 0
			}
			burst = append(burst, m)
		}
	}
	w.Partners, w.Messages = int(to-from)+1, len(burst)
	startedAt := time.Now()
	var wg sync.WaitGroup
	lanes := min(w.Partners, 16)
	for lane := range lanes {
		wg.Go(func() {
			for _, m := range burst {
				if int(m.Destination-from)%lanes == lane {
					_, _, _ = b.client.Add(m)
				}
			}
		})
	}
	wg.Wait()
	ours := map[string]bool{}
	for _, m := range burst {
		ours[m.ID] = true
	}
	for deadline := startedAt.Add(25 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		seen, err := b.seen(burst)
		if err != nil {
			return w, err
		}
		account := b.client.Account(func(_ uint32, id string) bool { return seen[id] }, b.directory.Notices(),
			func(m load.Message) bool { return ours[m.ID] })
		w.Taken, w.Refused, w.Unheard, w.Delivered, w.Open, w.Doubled = account.Taken, account.Refused, account.Unheard+account.Failed, account.Delivered, account.Open, account.Doubled
		if w.Seconds = time.Since(startedAt).Seconds(); account.Open == 0 || time.Now().After(deadline) {
			break
		}
	}
	counts, err := b.counts()
	if err != nil {
		return w, err
	}
	for d := from; d <= to; d++ {
		n := counts[d]
		w.Calls, w.TurnedAway, w.OverLimit, w.Late = w.Calls+n.Calls, w.TurnedAway+n.Refused, w.OverLimit+n.Over, w.Late+n.Late
		w.Fell, w.Duplicates, w.OutOfOrder, w.InWait = w.Fell+n.Fell, w.Duplicates+n.Copies, w.OutOfOrder+n.OutOfOrder, w.InWait+n.InWait
		w.PeakOverLimit = max(w.PeakOverLimit, n.Peak)
	}
	return w, nil
}
