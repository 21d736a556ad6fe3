package measure

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"snowjunction/internal/emulate"
	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Directory holds the options for measuring starts while the directory is down, and the effect of
// learned state across restarts.
type Directory struct {
	Starts   int     `default:"10" help:"Starts of each kind."`
	Partners int     `default:"20" help:"Partners, with two endpoints each."`
	Rate     float64 `default:"120" help:"Messages a second."`
	Seeds    int     `default:"1000" help:"Seeds in the emulator; the ten-minute outage runs with a hundredth of them."`
	JSON     string  `placeholder:"FILE" help:"Also write the figures to this file."`
	Exe      string  `kong:"-"`
}

// DirectoryFigures holds the measured figures.
type DirectoryFigures struct {
	Machine            string             `json:"machine"`
	FirstMs            map[string]float64 `json:"first_delivery_ms"` // from the start of the process, median
	FirstMaxMs         map[string]float64 `json:"first_delivery_most_ms"`
	Drained            int                `json:"drained"`             // endpoints that left while the directory was down
	CallsAfterTakeover int                `json:"forbidden"`           // calls to them later than 1 s after takeover
	Outage             map[string]Outage  `json:"outage"`              // with and without learned state
	FolderBytes        int64              `json:"folder_bytes"`        // list and learned state, maximum
	JournalShare       float64            `json:"learnt_write_share"`  // share of the journal's writes
	ByteShare          float64            `json:"learnt_byte_share"`   // share of the journal's bytes
	ListWrites         float64            `json:"list_writes"`         // in the run
	TenMinutesG        map[string]float64 `json:"ten_minutes_g"`       // in the emulator, mean
	OneMinuteG         map[string]float64 `json:"a_minute_g"`          // in the emulator, mean
	RestartInOutageG   map[string]float64 `json:"restart_in_outage_g"` // in the emulator, mean
	BrokenRules        map[string]int     `json:"broken_rules"`        // in the emulator, by scenario
	Seeds              map[string]int     `json:"seeds"`
}

// Outage holds the figures of a courier that is killed in the middle of a partner outage.
type Outage struct {
	RecoverMs float64 `json:"recover_ms"` // from ready to 90% of the earlier delivery rate
	Lost      int     `json:"lost_calls"` // calls to silent partners in the 5 s after the restart
	Delivered int     `json:"delivered"`  // by available partners in these 5 s
}

// Run measures all parts.
func (o Directory) Run(out io.Writer) (*DirectoryFigures, error) {
	f := &DirectoryFigures{
		Machine: describeMachine(), FirstMs: map[string]float64{}, FirstMaxMs: map[string]float64{}, Outage: map[string]Outage{},
		TenMinutesG: map[string]float64{}, OneMinuteG: map[string]float64{}, RestartInOutageG: map[string]float64{}, BrokenRules: map[string]int{}, Seeds: map[string]int{},
	}
	fmt.Fprintln(out, f.Machine)
	for _, step := range []func(io.Writer, *DirectoryFigures) error{o.measureStarts, o.measureTakeover, o.measureOutages, o.runEmulated} {
		if err := step(out, f); err != nil {
			return nil, err
		}
	}
	return f, writeFigures(o.JSON, f)
}

// directoryTestbed is a set of partners with a directory and a courier's state directory.
type directoryTestbed struct {
	*rig.Environment
	dir string
}

func (o Directory) newTestbed() (*directoryTestbed, error) {
	dir, err := os.MkdirTemp("", "snowjunction-directory-")
	if err != nil {
		return nil, err
	}
	var specs []standin.Spec
	for d := range o.Partners {
		specs = append(specs, standin.Spec{
			Destination: uint32(d + 1), Endpoints: 2,
			Profile: partner.Profile{Latency: 20 * time.Millisecond, Limit: 60, ReportsLimit: true, RetryAfterShare: 1},
		})
	}
	k, err := rig.NewEnvironment(dir, specs)
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return &directoryTestbed{k, dir}, nil
}

func (t *directoryTestbed) close() {
	t.Close()
	os.RemoveAll(t.dir)
}

func (t *directoryTestbed) startCourier(exe string, file map[string]any) (*rig.Courier, *load.Client, error) {
	c, err := rig.Start(exe, rig.Config{
		Dir: t.dir, Discovery: t.Directory.Addr(), Settings: rig.LargeSettings(48, 1000, 1000), MemoryMB: 64, Sockets: 512, OperatorDirectory: file,
	})
	if err != nil {
		return nil, nil, err
	}
	return c, load.New(c.Addr, ""), nil
}

// sendMessages submits messages, spread over the partners, until done is closed.
func (o Directory) sendMessages(client *load.Client, name string, done <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / o.Rate))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-t.C:
			}
			m := load.Message{ID: fmt.Sprintf("%s%d", name, n), Class: "status", Tenant: "town", Destination: uint32(n%o.Partners + 1), TTL: 8 * time.Second}
			wg.Go(func() { _, _, _ = client.Submit(m) })
		}
	})
	return &wg
}

func (t *directoryTestbed) delivered(match func(dest uint32) bool) (n int) {
	t.Farm.Each(func(d uint32, p *partner.Partner) {
		if match(d) {
			n += p.Counts.Delivered
		}
	})
	return n
}

func allDestinations(uint32) bool { return true }

// measureStarts measures the time from the start of a process to its first delivery.
func (o Directory) measureStarts(out io.Writer, f *DirectoryFigures) error {
	t, err := o.newTestbed()
	if err != nil {
		return err
	}
	defer t.close()
	warmUp := func() error { // a previous run that leaves a list
		c, client, err := t.startCourier(o.Exe, nil)
		if err != nil {
			return err
		}
		defer c.Kill()
		defer client.Close()
		for d := range o.Partners {
			if err := t.awaitFirstDelivery(client, fmt.Sprintf("warm%d", d), uint32(d+1)); err != nil {
				return err
			}
		}
		time.Sleep(500 * time.Millisecond)
		return nil
	}
	if err := warmUp(); err != nil {
		return err
	}
	for _, kind := range []string{"directory up", "directory down, list kept"} {
		t.Directory.SetSilent(kind != "directory up")
		histogram := newLatencyHistogram()
		for n := range o.Starts {
			startedAt := time.Now()
			c, client, err := t.startCourier(o.Exe, nil)
			if err != nil {
				return err
			}
			err = t.awaitFirstDelivery(client, fmt.Sprintf("%s%d", kind[len(kind)-2:], n), uint32(n%o.Partners+1))
			histogram.Add(time.Since(startedAt))
			client.Close()
			c.Kill()
			if err != nil {
				return err
			}
		}
		f.FirstMs[kind], f.FirstMaxMs[kind] = histogram.PercentileMs(50), histogram.MaxMs()
		fmt.Fprintf(out, "first delivery after the start of the process, %s: median %.1f ms, maximum %.1f ms of %d\n", kind, histogram.PercentileMs(50), histogram.MaxMs(), o.Starts)
	}
	return nil
}

// awaitFirstDelivery submits a message until it is accepted, and waits for its delivery.
func (t *directoryTestbed) awaitFirstDelivery(client *load.Client, id string, destination uint32) error {
	delivered, accepted := false, false
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if !accepted {
			v, _, _ := client.Submit(load.Message{ID: id, Class: "status", Tenant: "town", Destination: destination, TTL: 8 * time.Second})
			if accepted = v == load.Accepted; !accepted {
				continue
			}
		}
		if _ = t.Farm.With(destination, func(p *partner.Partner) { delivered = p.WasDelivered(id) }); delivered {
			return nil
		}
	}
	return fmt.Errorf("message %s was not delivered", id)
}

// measureTakeover removes half the endpoints while the directory is down during a restart, and
// counts the calls that they get later than 1 s after the directory is back.
func (o Directory) measureTakeover(out io.Writer, f *DirectoryFigures) error {
	t, err := o.newTestbed()
	if err != nil {
		return err
	}
	defer t.close()
	c, client, err := t.startCourier(o.Exe, nil)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	wg := o.sendMessages(client, "a", done)
	time.Sleep(5 * time.Second)
	t.Directory.SetSilent(true)
	time.Sleep(200 * time.Millisecond)
	c.Kill()
	close(done)
	wg.Wait()
	client.Close()
	if c, client, err = t.startCourier(o.Exe, nil); err != nil {
		return err
	}
	defer c.Kill()
	defer client.Close()
	done = make(chan struct{})
	wg = o.sendMessages(client, "b", done)
	time.Sleep(3 * time.Second)
	// By now one of each partner's two endpoints is draining or gone; the directory reports it
	// late.
	list := standin.List(t.Farm.Endpoints())
	var remaining []standin.Instance
	for i, x := range list {
		switch i % 4 {
		case 0:
			x.Lifecycle = "Terminating"
			remaining = append(remaining, x)
		case 2:
			continue // removed from the list
		default:
			remaining = append(remaining, x)
		}
	}
	generation := t.Directory.Replace(remaining)
	t.Directory.SetSilent(false)
	for deadline := time.Now().Add(10 * time.Second); t.Directory.LastWatchedGeneration() < generation; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("the courier did not confirm the new list: %s", c.Tail())
		}
	}
	for i, x := range list { // the stand-in counts calls from here on, after a grace period of 1 s
		if i%4 == 0 || i%4 == 2 {
			t.Farm.MarkDraining(x.HostPort)
			f.Drained++
		}
	}
	time.Sleep(5 * time.Second)
	close(done)
	wg.Wait()
	t.Farm.Each(func(_ uint32, p *partner.Partner) { f.CallsAfterTakeover += p.Counts.AfterDrain })
	line, err := c.Counters(false)
	if err != nil {
		return err
	}
	f.JournalShare = rig.NumberAt(line, "learnt", "writes") / max(rig.NumberAt(line, "learnt", "journal_writes"), 1)
	f.ByteShare = rig.NumberAt(line, "learnt", "bytes") / max(rig.NumberAt(line, "learnt", "journal_bytes"), 1)
	f.ListWrites = rig.NumberAt(line, "directory", "written")
	if f.FolderBytes, err = folderBytes(filepath.Join(t.dir, "state"), "journal-"); err != nil {
		return err
	}
	fmt.Fprintf(out, "takeover: %d endpoints left, %d calls to them later than 1 s after the courier confirmed the new list\n", f.Drained, f.CallsAfterTakeover)
	fmt.Fprintf(out, "learned state: %.0f writes, %.2f%% of the journal's %.0f, and %.2f%% of its bytes; the list written %.0f times; %d bytes on disk beside the journal\n",
		rig.NumberAt(line, "learnt", "writes"), 100*f.JournalShare, rig.NumberAt(line, "learnt", "journal_writes"), 100*f.ByteShare, f.ListWrites, f.FolderBytes)
	return nil
}

// folderBytes returns the disk usage of the files of a directory in blocks of 512 bytes, without
// the files with a name prefix.
func folderBytes(dir, excludedPrefix string) (total int64, err error) {
	err = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || len(d.Name()) > len(excludedPrefix) && d.Name()[:len(excludedPrefix)] == excludedPrefix {
			return err
		}
		i, err := d.Info()
		if err == nil {
			total += (i.Size() + 511) / 512 * 512
		}
		return err
	})
	return total, err
}

// measureOutages kills a courier while a quarter of the partners are down, and measures its first
// five seconds after the restart.
func (o Directory) measureOutages(out io.Writer, f *DirectoryFigures) error {
	for _, kind := range []string{"nothing kept", "learnt state kept"} {
		x, err := o.measureOutage(kind == "learnt state kept")
		if err != nil {
			return err
		}
		f.Outage[kind] = x
		fmt.Fprintf(out, "killed during an outage of a quarter of the partners, %s: back to 90%% of the rate after %.0f ms; %d calls lost to silent partners and %d delivered by the others in 5 s\n",
			kind, x.RecoverMs, x.Lost, x.Delivered)
	}
	return nil
}

func (o Directory) measureOutage(keepLearned bool) (x Outage, err error) {
	t, err := o.newTestbed()
	if err != nil {
		return x, err
	}
	defer t.close()
	file := map[string]any{"learn": keepLearned}
	c, client, err := t.startCourier(o.Exe, file)
	if err != nil {
		return x, err
	}
	done := make(chan struct{})
	wg := o.sendMessages(client, "a", done)
	time.Sleep(4 * time.Second)
	silent := func(d uint32) bool { return d%4 == 1 }
	available := func(d uint32) bool { return !silent(d) }
	t.Farm.Each(func(d uint32, p *partner.Partner) {
		if silent(d) {
			p.Add(partner.Fault{Kind: partner.Silent, From: t.Farm.Now(), Until: t.Farm.Now() + time.Hour})
		}
	})
	time.Sleep(4 * time.Second)
	deliveredBefore := t.delivered(available)
	time.Sleep(2 * time.Second)
	rate := float64(t.delivered(available)-deliveredBefore) / 2
	c.Kill()
	close(done)
	wg.Wait()
	client.Close()
	calls := func() (n int) {
		for _, e := range t.Farm.Endpoints() {
			if silent(e.Destination) {
				n += t.Farm.Calls(e.Name)
			}
		}
		return n
	}
	callsBefore := calls()
	if c, client, err = t.startCourier(o.Exe, file); err != nil {
		return x, err
	}
	defer c.Kill()
	defer client.Close()
	done = make(chan struct{})
	restartedAt, deliveredBefore := time.Now(), t.delivered(available)
	wg = o.sendMessages(client, "b", done)
	const window = 250 * time.Millisecond
	for windowStart, last := time.Now(), deliveredBefore; time.Since(windowStart) < 5*time.Second; {
		time.Sleep(window)
		now := t.delivered(available)
		if x.RecoverMs == 0 && float64(now-last) >= 0.9*rate*window.Seconds() {
			x.RecoverMs = float64(time.Since(restartedAt).Milliseconds())
		}
		last = now
	}
	close(done)
	wg.Wait()
	x.Lost, x.Delivered = calls()-callsBefore, t.delivered(available)-deliveredBefore
	return x, nil
}

// runEmulated runs the emulator's scenarios with and without kept state.
func (o Directory) runEmulated(out io.Writer, f *DirectoryFigures) error {
	for _, x := range []struct {
		scenario string
		seeds    int
		to       map[string]float64
		ways     []variant
	}{
		{"restart-in-silence", max(o.Seeds/100, 1), f.TenMinutesG, []variant{
			{"no list kept", func(s *emulate.Scenario) { s.Kept.List, s.Kept.Weigh, s.Kept.Learnt = false, false, false }},
			{"list kept", func(s *emulate.Scenario) { s.Kept.Weigh, s.Kept.Learnt = false, false }},
			{"list kept and weighed", func(s *emulate.Scenario) { s.Kept.Learnt = false }},
			{"list weighed, learnt state", func(*emulate.Scenario) {}},
			{"directory up", func(s *emulate.Scenario) { s.Directory.Down = nil }},
		}},
		{"restart-in-silence, a minute by an old list", o.Seeds, f.OneMinuteG, []variant{
			{"no list kept", shortOutage(func(s *emulate.Scenario) { s.Kept.List, s.Kept.Weigh, s.Kept.Learnt = false, false, false })},
			{"list kept", shortOutage(func(s *emulate.Scenario) { s.Kept.Weigh, s.Kept.Learnt = false, false })},
			{"list weighed, learnt state", shortOutage(func(*emulate.Scenario) {})},
		}},
		{"restart-in-outage", o.Seeds, f.RestartInOutageG, []variant{
			{"nothing kept", func(s *emulate.Scenario) { s.Kept.Learnt = false }},
			{"learnt state", func(*emulate.Scenario) {}},
			{"no restart", func(s *emulate.Scenario) { s.Crashes = nil }},
		}},
	} {
		for _, variant := range x.ways {
			scenario, _, _ := strings.Cut(x.scenario, ",")
			meanG, p99, broken, err := runSeeds(scenario, x.seeds, variant.change)
			if err != nil {
				return err
			}
			name := x.scenario + ", " + variant.name
			x.to[variant.name], f.BrokenRules[name], f.Seeds[name] = meanG, broken, x.seeds
			fmt.Fprintf(out, "emulated %s: G %.3f, p99 %.0f ms, %d rules broken, %d seeds\n", name, meanG, p99, broken, x.seeds)
		}
	}
	return nil
}

// shortOutage returns a scenario change: a short directory outage in which half the endpoints are
// replaced and every courier restarts, with a list that counts as old.
func shortOutage(change func(s *emulate.Scenario)) func(s *emulate.Scenario) {
	return func(s *emulate.Scenario) {
		s.Seconds, s.Kept.FreshS = 60, 1
		s.Directory.Down = []emulate.Span{{At: 8, For: 40}}
		s.Drains[0].At, s.Drains[0].Over = 10, 10
		s.Crashes[0].At, s.Crashes[0].Over = 16, 6
		change(s)
	}
}

// variant is a named change to a scenario.
type variant struct {
	name   string
	change func(s *emulate.Scenario)
}

// runSeeds runs a scenario with many seeds on all cores.
func runSeeds(scenario string, seeds int, change func(*emulate.Scenario)) (g, p99 float64, broken int, err error) {
	s, err := emulate.Load(scenario)
	if err != nil {
		return 0, 0, 0, err
	}
	change(s)
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := range next {
				r, e := emulate.Run(s, emulate.Options{Policy: "module", Seed: seed, Rules: true})
				mu.Lock()
				if e != nil {
					err = e
				} else {
					g += r.G / float64(seeds)
					p99 += r.P99Ms / float64(seeds)
					broken += r.Violations()
				}
				mu.Unlock()
			}
		})
	}
	for n := range seeds {
		next <- uint64(n + 1)
	}
	close(next)
	wg.Wait()
	return g, p99, broken, err
}
