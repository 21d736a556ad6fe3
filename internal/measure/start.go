package measure

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"snowjunction"
	"snowjunction/internal/daemon"
	"snowjunction/internal/dircache"
	"snowjunction/internal/groups"
	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/store"
)

// Start holds the options for measuring process starts step by step, with a state directory as
// full as it may be.
type Start struct {
	Starts   int     `default:"10" help:"Starts of each kind, in sequence."`
	AtOnce   int     `default:"10" help:"Concurrent starts, all on one core; 0 means none."`
	Entries  int     `default:"65536" help:"Endpoints listed, in the configuration and, as far as it fits, on disk."`
	DiskMB   float64 `default:"3" help:"Size limit of the state directory in MB."`
	Journal  bool    `help:"Give the space to the journal; the list on disk gets its default size."`
	MemoryMB int     `default:"192" help:"A courier's memory limit."`
	JSON     string  `placeholder:"FILE" help:"Also write the figures to this file."`
	Exe      string  `kong:"-"`
}

// Validate returns an error that names the first option out of range.
func (o Start) Validate() error {
	switch {
	case o.Starts < 1 || o.Starts > 1000:
		return fmt.Errorf("--starts: %d is not from 1 to 1000", o.Starts)
	case o.AtOnce < 0 || o.AtOnce > 200:
		return fmt.Errorf("--at-once: %d is not from 0 to 200", o.AtOnce)
	case o.Entries < 1 || o.Entries > 65536:
		return fmt.Errorf("--entries: %d is not from 1 to 65536", o.Entries)
	case o.DiskMB < 1 || o.DiskMB > 1000:
		return fmt.Errorf("--disk-mb: %v is not from 1 to 1000", o.DiskMB)
	case o.MemoryMB < 32 || o.MemoryMB > 4096:
		return fmt.Errorf("--memory-mb: %d is not from 32 to 4096", o.MemoryMB)
	}
	return nil
}

// Steps in addition to the courier's own: from the start of the process to its first step, and from
// the end of its last step to the first +PONG that a client reads.
const (
	execStep = "exec"
	pongStep = "pong"
)

// StartFigures holds the measured figures.
type StartFigures struct {
	Machine   string                          `json:"machine"`
	Restored  int                             `json:"restored"` // messages in the journal
	Journal   int64                           `json:"journal_bytes"`
	OnDisk    int                             `json:"endpoints_on_disk"`
	Listed    int                             `json:"endpoints_listed"`
	Steps     []string                        `json:"steps"` // in order, followed by the whole start
	Ms        map[string]map[string]Quantiles `json:"ms"`    // by kind of start and step
	Late      int                             `json:"over_10_s"`
	Processes int                             `json:"processes"`
}

// Quantiles holds quantiles of a duration, in milliseconds.
type Quantiles struct {
	Median float64 `json:"median"`
	P90    float64 `json:"p90"`
	Worst  float64 `json:"worst"`
}

const wholeStep = "whole"

// directoryStates are the states of the directory during a start, by name, with a function to open
// each.
var directoryStates = []struct {
	name string
	open func(list []standin.Instance) (addr string, closer func(), err error)
}{
	{"directory up", func(list []standin.Instance) (string, func(), error) { return openDirectory(list, false) }},
	{"directory refuses", openRefusing},
	{"directory silent", func(list []standin.Instance) (string, func(), error) { return openDirectory(list, true) }},
	{"directory drips", openDripping},
}

func openDirectory(list []standin.Instance, down bool) (string, func(), error) {
	d, err := standin.NewDirectory(list)
	if err != nil {
		return "", nil, err
	}
	d.SetSilent(down)
	return d.Addr(), d.Close, nil
}

func openRefusing([]standin.Instance) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	return l.Addr().String(), func() {}, l.Close()
}

// openDripping opens a directory that sends one byte of its answer every 100 ms.
func openDripping([]standin.Instance) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{")
				for ; err == nil; time.Sleep(100 * time.Millisecond) {
					_, err = io.WriteString(c, " ")
				}
			}()
		}
	}()
	return l.Addr().String(), func() { l.Close() }, nil
}

// Run measures the starts with each state of the directory.
func (o Start) Run(out io.Writer) (*StartFigures, error) {
	f := &StartFigures{
		Machine: describeMachine(), Listed: o.Entries, Ms: map[string]map[string]Quantiles{},
		Steps: slices.Concat([]string{execStep}, daemon.StartSteps, []string{pongStep, wholeStep}),
	}
	fmt.Fprintln(out, f.Machine)
	dir, err := os.MkdirTemp("", "snowjunction-start-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var list []standin.Instance
	for i := range o.Entries { // no endpoint listens: calls to the restored messages' endpoints are refused
		list = append(list, standin.Instance{
			InstanceID: fmt.Sprintf("s-%08d", i), HostPort: fmt.Sprintf("127.0.%d.%d:9", i>>8, i&255), Zone: "a", MachineType: "k",
			Cell: uint32(i/2 + 1), Lifecycle: "Ready", Weight: 1,
		})
	}
	for _, kind := range directoryStates {
		addr, closer, err := kind.open(list)
		if err == nil {
			err = o.measureState(out, f, dir, kind.name, addr, list)
			closer()
		}
		if err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(out, "%d processes, %d not ready within 10 s; journal %d bytes with %d messages, %d of %d endpoints on disk\n",
		f.Processes, f.Late, f.Journal, f.Restored, f.OnDisk, f.Listed)
	return f, writeFigures(o.JSON, f)
}

// measureState measures starts in sequence and concurrent starts, with one state of the directory.
func (o Start) measureState(out io.Writer, f *StartFigures, dir, name, addr string, list []standin.Instance) error {
	sequential := map[string][]float64{}
	for n := range o.Starts {
		courierDir := filepath.Join(dir, fmt.Sprintf("%s-%d", name, n))
		if err := o.fillState(courierDir, addr, list, f); err != nil {
			return err
		}
		if err := o.measureOnce(courierDir, addr, list, sequential, f); err != nil {
			return err
		}
		os.RemoveAll(courierDir)
	}
	o.report(out, f, name+", one", sequential)
	if o.AtOnce == 0 {
		return nil
	}
	concurrent := map[string][]float64{}
	var courierDirs []string
	for n := range o.AtOnce {
		courierDir := filepath.Join(dir, fmt.Sprintf("%s-at-once-%d", name, n))
		if err := o.fillState(courierDir, addr, list, f); err != nil {
			return err
		}
		courierDirs = append(courierDirs, courierDir)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs error
	for _, courierDir := range courierDirs {
		wg.Go(func() {
			runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
			err := oneCore()       // inherited by the process
			durations := map[string][]float64{}
			if err == nil {
				var processFigures StartFigures
				err = o.measureOnce(courierDir, addr, list, durations, &processFigures)
				mu.Lock()
				f.Late, f.Processes = f.Late+processFigures.Late, f.Processes+processFigures.Processes
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			errs = errors.Join(errs, err)
			for step, ms := range durations {
				concurrent[step] = append(concurrent[step], ms...)
			}
		})
	}
	wg.Wait()
	if errs != nil {
		return errs
	}
	o.report(out, f, fmt.Sprintf("%s, %d at once on one core", name, o.AtOnce), concurrent)
	return nil
}

// oneCore restricts this thread to the first core that it may use.
func oneCore() error {
	var allowed, first unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	for n := range len(allowed) * 64 {
		if allowed.IsSet(n) {
			first.Set(n)
			break
		}
	}
	return unix.SchedSetaffinity(0, &first)
}

func (o Start) directorySettings() map[string]any {
	return map[string]any{"cache": true, "cache_kb": o.cacheKB(), "generations": 1}
}

// cacheKB returns the size limit of a list snapshot: room for the whole list, but at most what half
// of the directory allows for one snapshot, the next one being written, and the learned state.
func (o Start) cacheKB() int {
	const entry, learned, minimum = 44, 48, 48 // maximum bytes of an entry; KB of the learned state; default limit in KB
	if o.Journal {
		return minimum
	}
	return max(minimum, min(o.Entries*entry>>10+1, (int(o.DiskMB*1e6/2)>>10-learned)/2-2))
}

// fillState creates a state directory that is as full as it may be: a journal with pending and
// finished messages, and a list.
func (o Start) fillState(dir, directoryAddr string, list []standin.Instance, f *StartFigures) error {
	state := filepath.Join(dir, "state")
	cache, err := dircache.Open(dircache.Options{Dir: state, Bytes: o.cacheKB() << 10, Generations: 1, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	w := dircache.NewWriter(dircache.Head{ConfirmedAt: time.Now(), Generation: 2, Agent: directoryAddr, Zones: []string{"a"}, Kinds: []string{"k"}}, o.cacheKB()<<10)
	f.OnDisk = 0
	for _, x := range list {
		if w.Add(groups.Entry{Name: x.InstanceID, Addr: x.HostPort, Destination: snowjunction.DestinationID(x.Cell), Weight: 1, Phase: snowjunction.Ready}) {
			f.OnDisk++
		}
	}
	cache.Put(w.Bytes())
	cache.Close()
	journalBytes := int64(o.DiskMB*1e6) - int64(2*(o.cacheKB()<<10+512)) - 2*48<<10
	journal, _, err := store.Load(store.Options{Dir: state, Bytes: journalBytes, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	defer journal.Close()
	now := time.Now()
	message := func(n int) *store.Message {
		return &store.Message{
			ID: fmt.Sprintf("%016x", n), IdempotencyKey: fmt.Sprintf("%016x", n), Key: uint64(n%1000 + 1), Destination: uint32(n%max(1, o.Entries/2) + 1),
			Class: "order", Tenant: "town", Deadline: now.Add(10 * time.Minute), Body: []byte("a small body, as many messages as fit"),
		}
	}
	// Finished messages fill the journal as well, because their records have to be read at the
	// start.
	finished := 0
	for ; journal.Size() < int64(0.6*float64(journalBytes)); finished++ {
		m := message(finished)
		err := errors.Join(journal.Accept(m), journal.RecordAttempt(m, now), journal.RecordOutcome(m, true, now), journal.RecordFinalState(m, store.Delivered, 0, now), journal.Settle(m))
		if err != nil {
			return err
		}
	}
	pending := 0
	for ; ; pending++ {
		if err := journal.Accept(message(finished + pending)); errors.Is(err, store.ErrFull) {
			break
		} else if err != nil {
			return err
		}
	}
	f.Restored, f.Journal = pending, journal.Size()
	return nil
}

// measureOnce starts a process and adds the duration of each step.
func (o Start) measureOnce(dir, directoryAddr string, list []standin.Instance, durations map[string][]float64, f *StartFigures) error {
	c, err := rig.Start(o.Exe, rig.Config{
		Dir: dir, Discovery: directoryAddr, Settings: rig.LargeSettings(48, 100000, 1000), MemoryMB: o.MemoryMB, Sockets: 256, DiskMB: o.DiskMB,
		KnownInstances: list, OperatorDirectory: o.directorySettings(),
	})
	if err != nil {
		return err
	}
	defer c.Kill()
	startedAt := c.StartedAt
	if text, err := requestLine(c.Addr, "*1\r\n$4\r\nPING\r\n"); err != nil || text != "+PONG\r\n" {
		return fmt.Errorf("the courier answers %q, %v", text, err)
	}
	total := milliseconds(time.Since(startedAt))
	line, err := c.Ready()
	if err != nil {
		return err
	}
	readyAt, err := time.Parse(time.RFC3339Nano, fmt.Sprint(line["time"]))
	if err != nil {
		return err
	}
	courierMs := rig.NumberAt(line, "ms")
	add := func(step string, ms float64) { durations[step] = append(durations[step], ms) }
	for _, step := range daemon.StartSteps {
		add(step, rig.NumberAt(line, "steps_ms", step))
	}
	add(execStep, milliseconds(readyAt.Sub(startedAt))-courierMs)
	add(pongStep, total-milliseconds(readyAt.Sub(startedAt)))
	add(wholeStep, total)
	if f.Processes++; total > 10000 {
		f.Late++
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (o Start) report(out io.Writer, f *StartFigures, name string, durations map[string][]float64) {
	f.Ms[name] = map[string]Quantiles{}
	fmt.Fprintf(out, "%s: step, median, 0.9, worst of %d, ms\n", name, len(durations[wholeStep]))
	for _, step := range f.Steps {
		values := durations[step]
		slices.Sort(values)
		s := Quantiles{values[len(values)/2], values[(len(values)*9+9)/10-1], values[len(values)-1]}
		f.Ms[name][step] = s
		fmt.Fprintf(out, "  %-10s %9.1f %9.1f %9.1f\n", step, s.Median, s.P90, s.Worst)
	}
}
