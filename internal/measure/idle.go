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

func (p *standinProcess) order(o standin.Command) (standin.Reply, error) {
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

func (t *idleTestbed) close() {
	if t.client != nil {
		t.client.Close()
	}
	if t.courier != nil {
		t.courier.Kill()
	}
	if t.directory != nil {
		t.directory.Close()
	}
	for _, f := range t.standins {
		f.close()
	}
}

func (t *idleTestbed) orderAll(from, to uint32, o standin.Command) error {
	for _, f := range t.standins {
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

func (t *idleTestbed) counts() (map[uint32]partner.Counts, error) {
	out := map[uint32]partner.Counts{}
	t.limits = map[uint32]float64{}
	for _, f := range t.standins {
		r, err := f.order(standin.Command{Do: "stats"})
		if err != nil {
			return nil, err
		}
		maps.Copy(out, r.Counts)
		maps.Copy(t.limits, r.Limits)
	}
	return out, nil
}

// seen asks the stand-ins which of the messages they have delivered.
func (t *idleTestbed) seen(sent []load.Message) (map[string]bool, error) {
	out := map[string]bool{}
	for _, f := range t.standins {
		var ids []standin.MessageRef
		for _, m := range sent {
			if m.Destination >= f.first && m.Destination <= f.last {
				ids = append(ids, standin.MessageRef{Destination: m.Destination, ID: m.ID})
			}
		}
		for part := range slices.Chunk(ids, 2000) {
			r, err := f.order(standin.Command{Do: "seen", IDs: part})
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

func (t *idleTestbed) startAll(dir string) error {
	o := t.options
	t.listening = min(o.Partners, o.Listening)
	perProcess := max(endpointsPerProcess/o.Endpoints, 1)
	for first := 0; first < t.listening; first += perProcess {
		f, err := startStandins(o.Exe, standin.Population{
			Partners: min(perProcess, t.listening-first), Endpoints: o.Endpoints, First: uint32(first + 1), Seed: o.Seed,
		})
		if err != nil {
			return err
		}
		t.standins = append(t.standins, f)
		r, err := f.order(standin.Command{Do: "list"})
		if err != nil {
			return err
		}
		t.list = append(t.list, standin.List(r.Endpoints)...)
	}
	var listedOnly []standin.Endpoint
	for d := t.listening + 1; d <= o.Partners; d++ {
		for i := range o.Endpoints {
			n := (d*o.Endpoints + i)
			listedOnly = append(listedOnly, standin.Endpoint{
				Name: fmt.Sprintf("p%d-%d", d, i), Destination: uint32(d),
				Addr: fmt.Sprintf("127.%d.%d.%d:%d", 1+n>>16&0x7f, n>>8&0xff, n&0xff, 9),
			})
		}
	}
	t.list = append(t.list, standin.List(listedOnly)...)
	var err error
	if t.directory, err = standin.NewDirectory(t.list[:o.Active*o.Endpoints]); err != nil {
		return err
	}
	t.courier, err = rig.Start(o.Exe, rig.Config{
		Dir: dir, Discovery: t.directory.Addr(), Settings: rig.LargeSettings(96, 8000, 2000), MemoryMB: 192, Sockets: 1024,
		Idle: map[string]any{
			"sleep_after_s": 1, "careful_first": true, "memory_kb": 65536, "list_mb": 256, "list_entries": 1000000,
		},
	})
	if err != nil {
		return err
	}
	t.client = load.New(t.courier.Addr, "")
	return t.awaitConfirmed(t.directory.Replace(t.list[:o.Active*o.Endpoints]))
}

// awaitConfirmed waits until the courier confirms a generation of the list.
func (t *idleTestbed) awaitConfirmed(generation uint64) error {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if t.directory.LastWatchedGeneration() >= generation {
			return nil
		}
	}
	return fmt.Errorf("the courier did not confirm list generation %d\n%s", generation, t.courier.Tail())
}

// sendTraffic sends light traffic to the active partners for a duration.
func (t *idleTestbed) sendTraffic(name string, d time.Duration) {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); n++ {
		_, _, _ = t.client.Submit(load.Message{
			ID: fmt.Sprintf("%s-%d", name, n), Class: "status", Tenant: "town", TTL: 8 * time.Second,
			Destination: uint32(n%t.options.Active + 1),
		})
		time.Sleep(100 * time.Millisecond)
	}
}

// measureCPU returns the CPU seconds per second under light traffic.
func (t *idleTestbed) measureCPU(name string, d time.Duration) (float64, error) {
	before, err := t.courier.CPU()
	if err != nil {
		return 0, err
	}
	startedAt := time.Now()
	t.sendTraffic(name, d)
	after, err := t.courier.CPU()
	return (after - before).Seconds() / time.Since(startedAt).Seconds(), err
}

// measureChanges makes the directory send n changes of single entries in sequence, and returns the
// mean time that the courier's loop took for one, in microseconds.
func (t *idleTestbed) measureChanges(n int) (float64, error) {
	if _, err := t.courier.Counters(false); err != nil { // resets the mean
		return 0, err
	}
	for i := range n {
		x := t.list[i%(t.options.Active*t.options.Endpoints)]
		x.Weight = float64(2 + i%7)
		if err := t.awaitConfirmed(t.directory.Change(x)); err != nil {
			return 0, err
		}
	}
	line, err := t.courier.Counters(false)
	return rig.NumberAt(line, "idle", "change_ns") / 1000, err
}

// memory returns the live heap and the resident memory after garbage collection, in bytes.
func (t *idleTestbed) memory() (heap, resident int64, line map[string]any, err error) {
	if line, err = t.courier.Counters(true); err != nil {
		return
	}
	heap = int64(rig.NumberAt(line, "heap"))
	resident, err = t.courier.Resident()
	return
}

// awaitUnloaded waits until only the active destinations are loaded.
func (t *idleTestbed) awaitUnloaded() error {
	for deadline := time.Now().Add(2 * time.Minute); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		line, err := t.courier.Counters(false)
		if err != nil {
			return err
		}
		if rig.NumberAt(line, "idle", "awake") <= float64(t.options.Active) && rig.NumberAt(line, "held") == 0 {
			return nil
		}
	}
	return fmt.Errorf("idle destinations are not unloaded\n%s", t.courier.Tail())
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
	testbed := &idleTestbed{options: o}
	defer testbed.close()
	printf := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	if err := testbed.startAll(dir); err != nil {
		return f, err
	}
	f = IdleFigures{
		Partners: o.Partners, Endpoints: o.Endpoints, Active: o.Active, Listening: testbed.listening,
		Machine: describeMachine(),
	}
	activeList, fullList := testbed.list[:o.Active*o.Endpoints], testbed.list

	testbed.sendTraffic("warm", 3*time.Second)
	if f.HeapActive, f.ResidentActive, _, err = testbed.memory(); err != nil {
		return f, err
	}
	printf("%d active partners listed: heap %d, resident %d bytes", o.Active, f.HeapActive, f.ResidentActive)
	if f.Delta.Active, err = testbed.measureChanges(deltaCount); err != nil {
		return f, err
	}
	for round := range cpuRounds {
		if round > 0 {
			if err := testbed.awaitConfirmed(testbed.directory.Replace(activeList)); err != nil {
				return f, err
			}
		}
		x, err := testbed.measureCPU(fmt.Sprintf("few%d", round), cpuFor)
		if err != nil {
			return f, err
		}
		f.IdleCPUActive += x / cpuRounds
		if _, err := testbed.courier.Counters(false); err != nil { // resets the longest turn
			return f, err
		}
		startedAt := time.Now()
		if err := testbed.awaitConfirmed(testbed.directory.Replace(fullList)); err != nil {
			return f, err
		}
		f.FullListMs = max(f.FullListMs, float64(time.Since(startedAt).Microseconds())/1000)
		line, err := testbed.courier.Counters(false)
		if err != nil {
			return f, err
		}
		f.LongestTurnMs = max(f.LongestTurnMs, rig.NumberAt(line, "longest_turn_us")/1000)
		if x, err = testbed.measureCPU(fmt.Sprintf("all%d", round), cpuFor); err != nil {
			return f, err
		}
		f.IdleCPUListed += x / cpuRounds
	}
	f.IdleCPURatio = f.IdleCPUListed / f.IdleCPUActive
	if f.HeapListed, f.ResidentListed, _, err = testbed.memory(); err != nil {
		return f, err
	}
	idle := float64(o.Partners - o.Active)
	f.BytesPerIdle.Heap = float64(f.HeapListed-f.HeapActive) / idle
	f.BytesPerIdle.Resident = float64(f.ResidentListed-f.ResidentActive) / idle
	printf("%d partners listed: heap %d, resident %d bytes, longest turn %.2f ms", o.Partners, f.HeapListed, f.ResidentListed, f.LongestTurnMs)
	if f.Delta.Partners, err = testbed.measureChanges(deltaCount); err != nil {
		return f, err
	}
	printf("a change takes %.1f us with %d listed, %.1f us with %d; idle CPU %.5f and %.5f",
		f.Delta.Active, o.Active, f.Delta.Partners, o.Partners, f.IdleCPUActive, f.IdleCPUListed)

	if f.Called, err = testbed.callAllOnce(); err != nil {
		return f, err
	}
	if f.HeapCalled, f.ResidentCalled, _, err = testbed.memory(); err != nil {
		return f, err
	}
	f.BytesPerOnce.Heap = f.BytesPerIdle.Heap + float64(f.HeapCalled-f.HeapListed)/float64(f.Called)
	f.BytesPerOnce.Resident = f.BytesPerIdle.Resident + float64(f.ResidentCalled-f.ResidentListed)/float64(f.Called)
	printf("%d called once and unloaded: heap %d, resident %d bytes", f.Called, f.HeapCalled, f.ResidentCalled)

	first := uint32(o.Active + 1)
	if f.Cut, err = testbed.sendBurst("cut", first, first, 1.0/3); err != nil {
		return f, err
	}
	printf("one loaded, its limit cut to a third: %+v", f.Cut)
	f.Clump = min(o.Clump, testbed.listening-o.Active-1)
	if f.Clump > 0 {
		if f.Many, err = testbed.sendBurst("many", first+1, first+uint32(f.Clump), 1); err != nil {
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
func (t *idleTestbed) callAllOnce() (called int, err error) {
	var wg sync.WaitGroup
	work := make(chan int)
	for range 8 {
		wg.Go(func() {
			for d := range work {
				m := load.Message{
					ID: fmt.Sprintf("once-%d", d), Class: "status", Tenant: "town", TTL: 8 * time.Second, Destination: uint32(d),
				}
				for attempt := 0; attempt < 20; attempt++ {
					if v, after, _ := t.client.Submit(m); v != load.Rejected {
						break
					} else {
						time.Sleep(max(after, 20*time.Millisecond))
					}
					m.ID += "r"
				}
			}
		})
	}
	for d := t.options.Active + 1; d <= t.listening; d++ {
		work <- d
		called++
		time.Sleep(2500 * time.Microsecond)
	}
	close(work)
	wg.Wait()
	return called, t.awaitUnloaded()
}

// sendBurst sends a burst worth three seconds of its limit to each of a range of unloaded partners
// at the same moment, after changing their limits and making them cold. It waits for the final
// result of every message.
func (t *idleTestbed) sendBurst(name string, from, to uint32, factor float64) (result BurstResult, err error) {
	if err := t.awaitUnloaded(); err != nil {
		return result, err
	}
	if _, err := t.counts(); err != nil {
		return result, err
	}
	limits := t.limits
	for _, o := range []standin.Command{{Do: "limit", Factor: factor}, {Do: "chill"}, {Do: "reset"}} {
		if err := t.orderAll(from, to, o); err != nil {
			return result, err
		}
	}
	var burst []load.Message
	for d := from; d <= to; d++ {
		for n := range max(int(3*limits[d]), 1) {
			m := load.Message{
				ID: fmt.Sprintf("%s-%d-%d", name, d, n), Class: "order", Tenant: "town", TTL: 20 * time.Second,
				Destination: d, HasIdempotencyKey: true, Key: uint64(d)<<8 + uint64(n%4) + 1, Seq: uint64(n + 1),
			}
			if n%4 == 3 {
				m.Class, m.TTL, m.HasIdempotencyKey, m.Key = "status", 8*time.Second, false, 0
			}
			burst = append(burst, m)
		}
	}
	result.Partners, result.Messages = int(to-from)+1, len(burst)
	startedAt := time.Now()
	var wg sync.WaitGroup
	lanes := min(result.Partners, 16)
	for lane := range lanes {
		wg.Go(func() {
			for _, m := range burst {
				if int(m.Destination-from)%lanes == lane {
					_, _, _ = t.client.Submit(m)
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
		seen, err := t.seen(burst)
		if err != nil {
			return result, err
		}
		account := t.client.CountResults(func(_ uint32, id string) bool { return seen[id] }, t.directory.Notices(),
			func(m load.Message) bool { return ours[m.ID] })
		result.Taken, result.Refused, result.Unheard, result.Delivered, result.Open, result.Doubled = account.Taken, account.Refused, account.Unheard+account.Failed, account.Delivered, account.Open, account.Doubled
		if result.Seconds = time.Since(startedAt).Seconds(); account.Open == 0 || time.Now().After(deadline) {
			break
		}
	}
	counts, err := t.counts()
	if err != nil {
		return result, err
	}
	for d := from; d <= to; d++ {
		n := counts[d]
		result.Calls, result.TurnedAway, result.OverLimit, result.Late = result.Calls+n.Calls, result.TurnedAway+n.Refused, result.OverLimit+n.OverLimit, result.Late+n.Late
		result.Fell, result.Duplicates, result.OutOfOrder, result.InWait = result.Fell+n.Collapses, result.Duplicates+n.Duplicates, result.OutOfOrder+n.OutOfOrder, result.InWait+n.DuringRetryAfter
		result.PeakOverLimit = max(result.PeakOverLimit, n.Peak)
	}
	return result, nil
}
