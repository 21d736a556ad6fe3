package measure

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Upgrade holds the options for measuring upgrades.
type Upgrade struct {
	Upgrades int           `default:"20" help:"Number of upgrades."`
	Every    time.Duration `default:"500ms" help:"Time between two upgrades."`
	Lanes    int           `default:"24" help:"Concurrent clients, each with one message at a time."`
	MemoryMB int           `default:"64" help:"The courier's memory limit."`
	Sockets  int           `default:"384" help:"The courier's limit on file descriptors."`
	Exe      string        `kong:"-"`
}

// probe repeats one request, each time on a new connection, and records failures and delays.
type probe struct {
	longest  atomic.Int64 // nanoseconds between two answers, or from a request to its answer
	failed   atomic.Int64
	requests atomic.Int64
}

// record keeps the longest delay.
func (p *probe) record(d time.Duration) {
	for {
		longest := p.longest.Load()
		if int64(d) <= longest || p.longest.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// requestLine sends a line to an address on a new connection and reads one line.
func requestLine(addr, request string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte(request)); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

// awaitReady waits until a courier answers its readiness check positively.
func awaitReady(c *rig.Courier) {
	for {
		if answer, err := requestLine(c.Console, "readyz\n"); err == nil && answer == "done\n" {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Run upgrades the courier repeatedly under load. It returns an error if a message has not exactly
// one final result, a client got no answer, or a rule was broken.
func (o Upgrade) Run(out io.Writer) error {
	dir, err := os.MkdirTemp("", "snowjunction-upgrade-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var specs []standin.Spec
	for d := range uint32(6) {
		specs = append(specs, standin.Spec{
			Destination: d + 1, Endpoints: 2, Profile: partner.Profile{Latency: 15 * time.Millisecond, Limit: 400, ReportsLimit: true, RetryAfterShare: 1},
		})
	}
	kitchen, err := rig.NewEnvironment(dir, specs)
	if err != nil {
		return err
	}
	defer kitchen.Close()
	c, err := rig.Start(o.Exe, rig.Config{
		Dir: dir, Discovery: kitchen.Directory.Addr(), Settings: rig.LargeSettings(64, 2000, 5000), MemoryMB: o.MemoryMB, Sockets: o.Sockets, Console: true,
	})
	if err != nil {
		return err
	}
	var current atomic.Pointer[rig.Courier]
	current.Store(c)
	defer func() { current.Load().Kill() }()
	awaitReady(c)
	client := load.New(c.Addr, "")
	defer client.Close()

	var wg sync.WaitGroup
	stopped := make(chan struct{})
	running := func() bool {
		select {
		case <-stopped:
			return false
		default:
			return true
		}
	}
	for lane := range o.Lanes {
		wg.Go(func() {
			for n := 0; running(); n++ {
				m := load.Message{ID: fmt.Sprintf("u%d-%d", lane, n), Class: "status", Tenant: "town", Destination: uint32(lane%6 + 1), TTL: 8 * time.Second}
				if lane%2 == 0 {
					m.Class, m.HasIdempotencyKey, m.Key, m.Seq, m.TTL = "order", true, uint64(lane+1), uint64(n+1), 20*time.Second
				}
				if v, after, _ := client.Submit(m); v == load.Rejected {
					time.Sleep(min(max(after, 5*time.Millisecond), 50*time.Millisecond))
				}
			}
		})
	}
	var pings, telemetry probe
	wg.Go(func() { // longest time in which no client got an answer
		for last := time.Now(); running(); {
			pings.requests.Add(1)
			if text, err := requestLine(c.Addr, "*1\r\n$4\r\nPING\r\n"); err != nil || text != "+PONG\r\n" {
				pings.failed.Add(1)
				continue
			}
			pings.record(time.Since(last))
			last = time.Now()
		}
	})
	wg.Go(func() { // longest response time of the console, whichever process answers
		for ; running(); time.Sleep(2 * time.Millisecond) {
			telemetry.requests.Add(1)
			courier := current.Load()
			startedAt := time.Now()
			if _, err := requestLine(courier.Console, "telemetry\n"); err != nil && courier == current.Load() {
				telemetry.failed.Add(1)
			}
			telemetry.record(time.Since(startedAt))
		}
	})
	var readyTimes []time.Duration
	var memory int64
	descriptors := 0
	for range o.Upgrades {
		time.Sleep(o.Every)
		old := current.Load()
		sampled := make(chan struct{})
		var next atomic.Pointer[rig.Courier]
		go func() {
			defer close(sampled)
			for courier := time.Now(); time.Since(courier) < o.Every/2; time.Sleep(time.Millisecond) {
				bytes, _ := old.Resident()
				n := old.Descriptors()
				if x := next.Load(); x != nil {
					more, _ := x.Resident()
					bytes, n = bytes+more, n+x.Descriptors()
				}
				memory, descriptors = max(memory, bytes), max(descriptors, n)
			}
		}()
		startedAt := time.Now()
		x, err := old.StartSecond()
		if err != nil {
			return err
		}
		next.Store(x)
		awaitReady(x)
		readyTimes = append(readyTimes, time.Since(startedAt))
		current.Store(x)
		if err := old.Stop(); err != nil {
			return fmt.Errorf("stop the old process: %w", err)
		}
		<-sampled
	}
	close(stopped)
	wg.Wait()
	account := kitchen.Settle(client, 20*time.Second)
	n := kitchen.Counts()
	slices.Sort(readyTimes)
	fmt.Fprintf(out, "%d upgrades, %+v\ncalls %d, copies %d, out of order %d, during a retry-after delay %d\n", o.Upgrades, account, n.Calls, n.Duplicates, n.OutOfOrder, n.DuringRetryAfter)
	fmt.Fprintf(out, "from start to ready: median %v, longest %v\n", readyTimes[len(readyTimes)/2].Round(time.Millisecond), readyTimes[len(readyTimes)-1].Round(time.Millisecond))
	fmt.Fprintf(out, "longest time without an answer at the clients' address: %v; %d of %d calls failed\n",
		time.Duration(pings.longest.Load()).Round(time.Millisecond), pings.failed.Load(), pings.requests.Load())
	fmt.Fprintf(out, "longest answer of the console: %v; %d of %d calls unanswered\n",
		time.Duration(telemetry.longest.Load()).Round(time.Millisecond), telemetry.failed.Load(), telemetry.requests.Load())
	fmt.Fprintf(out, "both processes together: %.1f MB and %d file descriptors at most, sampled\n", float64(memory)/1e6, descriptors)
	if violations := account.Open + account.Doubled + account.Unheard + n.Violations() + int(pings.failed.Load()+telemetry.failed.Load()); violations > 0 {
		return fmt.Errorf("%d rule violations or failed calls", violations)
	}
	return nil
}
