package measure

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"snowjunction/internal/emulate"
)

// Emulator holds the options for measuring the cost of the emulator's events.
type Emulator struct {
	Seconds  float64 `default:"30" help:"Virtual seconds of each run."`
	Couriers int     `default:"10" help:"Couriers, each with its own decision module."`
	Rate     float64 `default:"1500" help:"Messages a second."`
	Sizes    []int   `default:"100,1000,10000,100000" help:"Destinations."`
	Seed     uint64  `default:"1" help:"First seed."`
	JSON     string  `placeholder:"FILE" help:"Write the figures to this file as JSON."`
}

// EmulatorSize holds the figures of one number of destinations.
type EmulatorSize struct {
	Destinations        int     `json:"destinations"`
	Dormancy            bool    `json:"dormancy"`
	Events              int     `json:"events"`
	Seconds             float64 `json:"seconds"` // including setup
	Rate                float64 `json:"events_per_s"`
	MicrosPerEvent      float64 `json:"us_per_event"`
	Heap                float64 `json:"heap_mb"`    // maximum heap growth during the run, in MiB
	BytesPerDestination float64 `json:"bytes_each"` // heap growth per destination
	G                   float64 `json:"g"`
}

// EmulatorFigures holds the figures of all sizes.
type EmulatorFigures struct {
	Machine     string         `json:"machine"`
	Sizes       []EmulatorSize `json:"sizes"`
	SequentialS float64        `json:"alone_s"` // one run for each core, in sequence, in seconds
	ParallelS   float64        `json:"cores_s"` // the same runs in parallel, in seconds
	Speedup     float64        `json:"speed_up"`
}

func (m Emulator) scenario(size int, dormancy bool) (*emulate.Scenario, error) {
	s, err := emulate.Load("quiet")
	if err != nil {
		return nil, err
	}
	s.Seconds, s.Couriers, s.Partners.Count, s.UnloadIdle = m.Seconds, m.Couriers, size, dormancy
	s.Load.Full, s.Load.Level = m.Rate/loadLevel, loadLevel
	return s, nil
}

// loadLevel is the load as a share of full load, from which the scenario derives the limits.
const loadLevel = 0.75

func allocatedHeap() float64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

func (m Emulator) measureSize(size int, dormancy bool) (out EmulatorSize, err error) {
	s, err := m.scenario(size, dormancy)
	if err != nil {
		return out, err
	}
	runtime.GC()
	before, peak := allocatedHeap(), 0.0
	startedAt := time.Now()
	r, err := emulate.Run(s, emulate.Options{Policy: "module", Seed: m.Seed, Progress: func(time.Duration, time.Duration, int) { peak = max(peak, allocatedHeap()) }})
	if err != nil {
		return out, err
	}
	elapsed := time.Since(startedAt).Seconds()
	out = EmulatorSize{
		Destinations: size, Dormancy: dormancy, Events: r.Events, Seconds: elapsed, Rate: float64(r.Events) / elapsed,
		MicrosPerEvent: elapsed / float64(r.Events) * 1e6, Heap: max(peak-before, 0) / (1 << 20), G: r.G,
	}
	out.BytesPerDestination = out.Heap * (1 << 20) / float64(size)
	return out, nil
}

// Run measures each size on one core, then runs on all cores in parallel.
func (m Emulator) Run(out io.Writer) (EmulatorFigures, error) {
	f := EmulatorFigures{Machine: describeMachine()}
	cores := runtime.GOMAXPROCS(1)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "%s; %d couriers, %g messages a second for %g s\n", f.Machine, m.Couriers, m.Rate, m.Seconds)
	fmt.Fprintln(w, "destinations\tdormancy\tevents\tseconds\tevents/s\tus each\theap MB\tbytes a destination\tG\t")
	for _, size := range m.Sizes {
		for _, dormancy := range []bool{false, true} {
			x, err := m.measureSize(size, dormancy)
			if err != nil {
				return f, err
			}
			f.Sizes = append(f.Sizes, x)
			fmt.Fprintf(w, "%d\t%v\t%d\t%.2f\t%.0f\t%.2f\t%.0f\t%.0f\t%.3f\t\n", x.Destinations, x.Dormancy, x.Events, x.Seconds, x.Rate, x.MicrosPerEvent, x.Heap, x.BytesPerDestination, x.G)
		}
	}
	if err := w.Flush(); err != nil {
		return f, err
	}
	runtime.GOMAXPROCS(cores)
	s, err := m.scenario(1000, false)
	if err != nil {
		return f, err
	}
	errs := make([]error, cores)
	runOne := func(n int) {
		_, errs[n] = emulate.Run(s, emulate.Options{Policy: "module", Seed: m.Seed + uint64(n)})
	}
	startedAt := time.Now()
	for n := range cores {
		runOne(n)
	}
	if err := errors.Join(errs...); err != nil {
		return f, err
	}
	f.SequentialS = time.Since(startedAt).Seconds()
	startedAt = time.Now()
	var wg sync.WaitGroup
	for n := range cores {
		wg.Go(func() { runOne(n) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return f, err
	}
	f.ParallelS = time.Since(startedAt).Seconds()
	f.Speedup = f.SequentialS / f.ParallelS
	fmt.Fprintf(out, "%d runs of 1000 destinations: %.2f s in sequence, %.2f s in parallel, %.2f times as fast\n", cores, f.SequentialS, f.ParallelS, f.Speedup)
	return f, writeFigures(m.JSON, f)
}
