package measure

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"snowjunction/internal/plugin/manifest"
	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Hostile holds the options of the run with misbehaving plug-ins.
type Hostile struct {
	Messages int    `default:"10000" help:"Messages submitted, over both fronts."`
	Lanes    int    `default:"24" help:"Concurrent clients."`
	Exe      string `kong:"-"`
}

// misbehavingPlugins returns plug-ins that break the rules for plug-ins, each on its own
// destinations.
func misbehavingPlugins() []*manifest.Manifest {
	read, shape := []manifest.Hook{manifest.Read}, []manifest.Hook{manifest.Shape}
	list := []*manifest.Manifest{
		starlarkPlugin("loops", loopingScript, []manifest.Hook{manifest.Admit, manifest.Shape, manifest.Read, manifest.Ended}, 1),
		starlarkPlugin("grows", "def shape(call):\n    return {'headers': {'X-A': ('y' * (1 << 29))[:3]}}\n", shape, 2),
		starlarkPlugin("breaks", "def read(call):\n    return 1 // 0\n", read, 3),
		starlarkPlugin("lies", `
WAITS = [-1, 0, 315360000000, 'nan', None, [], 10]
def read(call):
    said = 'full' if call.status in (200, 500) else 'ok'
    return {'outcome': said, 'wait_ms': WAITS[len(call.id) % len(WAITS)]}
`, read, 4, 5),
		starlarkPlugin("floods", `
HEADERS = {'X-%d' % i: 'v' for i in range(10000)}
def shape(call):
    h = {'X-Request-ID': 'other', 'Content-Length': '0', 'X-A': 'b\r\nX-Request-ID: other', ':path': '/'}
    h.update(HEADERS)
    return {'headers': h, 'path_suffix': '../../other', 'query': 'a b', 'body': '%'}
`, shape, 6),
		starlarkPlugin("huge", "def read(call):\n    return {'outcome': 'x' * 1000000}\ndef ended(call):\n    return {'x': 'y' * 10000000}\n",
			[]manifest.Hook{manifest.Read, manifest.Ended}, 7),
	}
	loops, grows, floods := &list[0].Budget, &list[1].Budget, &list[4].Budget
	loops.TimeMs, grows.TimeMs, grows.MemoryMB, floods.TimeMs = 5, 40, 1, 40
	return list
}

// WriteHostilePlugins writes the misbehaving plug-ins into a directory.
func WriteHostilePlugins(folder string) error {
	for _, m := range misbehavingPlugins() {
		if err := writePlugin(folder, m); err != nil {
			return err
		}
	}
	return nil
}

// Run runs the plug-ins under load. It returns an error if a message has not exactly one final
// result or if a rule was broken.
func (o Hostile) Run(out io.Writer) error {
	dir, err := os.MkdirTemp("", "snowjunction-hostile-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	folder := filepath.Join(dir, "plugins")
	if err := WriteHostilePlugins(folder); err != nil {
		return err
	}
	var specs []standin.Spec
	for d := range uint32(9) {
		specs = append(specs, standin.Spec{
			Destination: d + 1, Endpoints: 2, HTTP2: d%2 == 1,
			Profile: partner.Profile{Latency: 5 * time.Millisecond, Limit: 400, ReportsLimit: true, RetryAfterShare: 1},
		})
	}
	kitchen, err := rig.NewEnvironment(dir, specs)
	if err != nil {
		return err
	}
	defer kitchen.Close()
	farm, directory := kitchen.Farm, kitchen.Directory
	c, err := rig.Start(o.Exe, rig.Config{
		Dir: dir, Discovery: directory.Addr(), Settings: rig.LargeSettings(64, 2000, 5000), MemoryMB: 192, Sockets: 1024, Push: kitchen.Push,
		Plugins: map[string]any{"folder": folder},
	})
	if err != nil {
		return err
	}
	defer c.Kill()
	for d, kind := range map[uint32]partner.Kind{4: partner.Error, 5: partner.Reject, 8: partner.Reset} {
		if err := farm.With(d, func(p *partner.Partner) {
			p.Add(partner.Fault{Kind: kind, Until: time.Hour, Share: 0.2})
		}); err != nil {
			return err
		}
	}
	client := load.New(c.Addr, c.Push)
	defer client.Close()
	var wg sync.WaitGroup
	submitted := make(chan struct{})
	for lane := range o.Lanes {
		wg.Go(func() {
			for n := range o.Messages / o.Lanes {
				m := load.Message{
					ID: fmt.Sprintf("h%d-%d", lane, n), Class: "status", Tenant: "town", Destination: uint32(lane%9 + 1),
					TTL: 3 * time.Second, Push: lane%3 == 0,
				}
				if lane%2 == 0 {
					m.Class, m.HasIdempotencyKey, m.Key, m.Seq = "order", true, uint64(lane+1), uint64(n+1)
				}
				if v, after, _ := client.Submit(m); v == load.Rejected {
					time.Sleep(min(max(after, 5*time.Millisecond), 50*time.Millisecond))
				}
			}
		})
	}
	drain := time.AfterFunc(time.Second, func() { kitchen.Drain("p9-0") })
	defer drain.Stop()
	// The push front discards final results after some time, so they are fetched during the run.
	polling := make(chan struct{})
	go func() {
		defer close(polling)
		for t := time.NewTicker(500 * time.Millisecond); ; {
			select {
			case <-t.C:
				kitchen.Settle(client, 0)
			case <-submitted:
				t.Stop()
				return
			}
		}
	}()
	wg.Wait()
	close(submitted)
	<-polling
	account := kitchen.Settle(client, 10*time.Second)
	for d := uint32(1); d <= 9; d++ {
		x := client.CountResults(kitchen.Delivered, directory.Notices(), func(m load.Message) bool { return m.Destination == d })
		fmt.Fprintf(out, "destination %d: %+v\n", d, x)
	}
	n := kitchen.Counts()
	resident, err := c.Resident()
	if err != nil {
		return fmt.Errorf("read the courier's resident memory: %w", err)
	}
	counters, err := c.Counters(false)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%+v\ncalls %d, copies %d, out of order %d, during a retry-after delay %d, after a drain %d; the courier uses %.1f MB\nplug-ins %v\n%v turns %v longest %v us\n",
		account, n.Calls, n.Duplicates, n.OutOfOrder, n.DuringRetryAfter, n.AfterDrain, float64(resident)/1e6, counters["plugins"], counters["n"], counters["turns"], counters["longest_turn_us"])
	if violations := account.Open + account.Doubled + account.Unheard + n.Violations(); violations > 0 {
		return fmt.Errorf("%d rule violations", violations)
	}
	return nil
}
