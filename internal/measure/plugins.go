package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"snowjunction/internal/plugin/host"
	"snowjunction/internal/plugin/manifest"
	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Plugins holds the options for measuring plug-ins.
type Plugins struct {
	Calls  int           `default:"2000" help:"Calls to each hook of each engine."`
	For    time.Duration `default:"6s" help:"Duration of the load for each set of plug-ins."`
	Lanes  int           `default:"20" help:"Concurrent clients."`
	Wasm   string        `placeholder:"FILE" help:"A WebAssembly plug-in that serves every hook; built with go if not given."`
	Source string        `default:"internal/measure/module" help:"Source directory from which it is built."`
	JSON   string        `placeholder:"FILE" help:"Write the figures to this file."`
	Exe    string        `kong:"-"`
}

// PluginFigures holds the measured figures.
type PluginFigures struct {
	Machine string              `json:"machine"`
	Calls   map[string]CallCost `json:"calls"`         // by engine and hook
	Host    map[string]int64    `json:"host_resident"` // bytes, by engine
	Courier map[string]int64    `json:"courier_resident"`
	Loads   map[string]LoadCost `json:"loads"`

	LoopingThroughputRatio float64 `json:"looping_throughput_ratio"` // throughput of flows without the looping plug-in, relative to a run without plug-ins
	ReloadMs               float64 `json:"reload_ms"`
	Lost                   int     `json:"lost"` // messages without exactly one final result over the reload
}

// CallCost is the duration of one call as seen by the courier.
type CallCost struct {
	MedianUs float64 `json:"median_us"`
	P99Us    float64 `json:"p99_us"`
}

// LoadCost holds the figures that clients see.
type LoadCost struct {
	PerSecond float64 `json:"per_second"`
	OthersPS  float64 `json:"others_per_second"` // of destinations without the looping plug-in
	P99Ms     float64 `json:"p99_ms"`            // of the answer to a submitted message
	OthersP99 float64 `json:"others_p99_ms"`
	Open      int     `json:"open"`
	Doubled   int     `json:"doubled"`
	Unheard   int     `json:"unheard"`
}

var allHooks = []manifest.Hook{manifest.Admit, manifest.Shape, manifest.Read, manifest.Ended}

const allHooksScript = `
def admit(call):
    return None
def shape(call):
    return {"headers": {"X-Seen": call.id}}
def read(call):
    hint = call.headers.get("retry-later")
    return {"wait_ms": int(hint) * 1000} if hint != None and hint.isdigit() else None
def ended(call):
    return None
`

const loopingScript = `
def forever(call):
    for i in range(1000000000):
        pass
admit = forever
shape = forever
read = forever
ended = forever
`

func starlarkPlugin(name, code string, hooks []manifest.Hook, destinations ...uint32) *manifest.Manifest {
	m := &manifest.Manifest{
		Name: name, Version: "1", Protocol: 1, Engine: "starlark", Code: "p.star", Hooks: hooks, Source: []byte(code),
		Sees: manifest.FlowFilter{Destinations: destinations}, Budget: manifest.Budget{TimeMs: 10, Steps: 100_000_000, MemoryMB: 16, BodyBytes: 4096},
	}
	m.Touches.Headers = true
	return m
}

// writePlugin writes a plug-in into a directory.
func writePlugin(folder string, m *manifest.Manifest) error {
	dir := filepath.Join(folder, m.Name)
	b, err := json.Marshal(m)
	if err == nil {
		err = os.MkdirAll(dir, 0o700)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "manifest.json"), b, 0o600)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, m.Code), m.Source, 0o600)
	}
	return err
}

func (o Plugins) module(dir string) (*manifest.Manifest, error) {
	path := o.Wasm
	if path == "" {
		path = filepath.Join(dir, "module.wasm")
		cmd := exec.Command("go", "build", "-buildmode=c-shared", "-o", path, ".")
		cmd.Dir = o.Source
		cmd.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
		if text, err := cmd.CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build the module (or name a module with --wasm): %w: %s", err, text)
		}
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m := &manifest.Manifest{
		Name: "wasm", Version: "1", Protocol: 1, Engine: "wasm", Code: "p.wasm", Hooks: allHooks, Source: b,
		Budget: manifest.Budget{TimeMs: 20, Steps: 1000, MemoryMB: 32, BodyBytes: 4096},
	}
	m.Touches.Headers = true
	return m, nil
}

// calls measures calls to a host process and returns its resident memory in bytes.
func (o Plugins) calls(m *manifest.Manifest, costs map[string]CallCost) (resident int64, err error) {
	cmd := exec.Command(o.Exe, "plugin-host")
	in, err := cmd.StdinPipe()
	if err != nil {
		return 0, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	defer func() {
		in.Close()
		_ = cmd.Wait()
	}()
	if err := host.Write(in, host.Hello{Manifest: m, Code: m.Source, StartTimeout: time.Minute}); err != nil {
		return 0, err
	}
	var a host.Answer
	if err := host.Read(out, 1<<20, &a); err != nil || a.Error != "" {
		return 0, fmt.Errorf("%s: %v %s", m.Name, err, a.Error)
	}
	text := json.RawMessage(`{"id":"m1","class_name":"status","tenant":"town","destination":7,"status":503,"headers":{"retry-later":"2"},"answer":"eyJidXN5Ijp0cnVlLCJmcmVlX2luIjoiMTUwMG1zIn0="}`)
	for _, h := range m.Hooks {
		durations := newLatencyHistogram()
		for i := range o.Calls {
			startedAt := time.Now()
			if err := host.Write(in, host.Call{ID: uint64(i + 1), Hook: h, Input: text, TimeLimit: m.Budget.TimeLimit()}); err != nil {
				return 0, err
			}
			var a host.Answer
			if err := host.Read(out, 1<<20, &a); err != nil || a.Error != "" {
				return 0, fmt.Errorf("%s %s: %v %s", m.Name, h, err, a.Error)
			}
			durations.Add(time.Since(startedAt))
		}
		costs[m.Engine+" "+string(h)] = CallCost{1000 * durations.PercentileMs(50), 1000 * durations.PercentileMs(99)}
	}
	return rig.Resident(cmd.Process.Pid)
}

const otherDestinations = 9 // destinations without the looping plug-in, of ten

// load runs clients against a courier with the given plug-ins. during runs halfway through.
func (o Plugins) load(list []*manifest.Manifest, during func(c *rig.Courier, folder string) error) (l LoadCost, resident int64, err error) {
	dir, err := os.MkdirTemp("", "snowjunction-measure-")
	if err != nil {
		return l, 0, err
	}
	defer os.RemoveAll(dir)
	folder := filepath.Join(dir, "plugins")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return l, 0, err
	}
	for _, m := range list {
		if err := writePlugin(folder, m); err != nil {
			return l, 0, err
		}
	}
	var specs []standin.Spec
	for d := range uint32(otherDestinations + 1) {
		specs = append(specs, standin.Spec{Destination: d + 1, Endpoints: 2, Profile: partner.Profile{Latency: 20 * time.Millisecond}})
	}
	kitchen, err := rig.NewEnvironment(dir, specs)
	if err != nil {
		return l, 0, err
	}
	defer kitchen.Close()
	c, err := rig.Start(o.Exe, rig.Config{
		Dir: dir, Discovery: kitchen.Directory.Addr(), Settings: rig.LargeSettings(64, 4000, 5000), MemoryMB: 192, Sockets: 1024,
		Plugins: map[string]any{"folder": folder},
	})
	if err != nil {
		return l, 0, err
	}
	defer c.Kill()
	client := load.New(c.Addr, "")
	defer client.Close()
	var mu sync.Mutex
	all, others := newLatencyHistogram(), newLatencyHistogram()
	var wg sync.WaitGroup
	startedAt := time.Now()
	for lane := range o.Lanes {
		wg.Go(func() {
			for n := 0; time.Since(startedAt) < o.For; n++ {
				d := uint32(lane%(otherDestinations+1) + 1)
				sentAt := time.Now()
				v, after, _ := client.Submit(load.Message{
					ID: fmt.Sprintf("l%d-%d", lane, n), Class: "status", Tenant: "town", TTL: 8 * time.Second, Destination: d,
				})
				elapsed := time.Since(sentAt)
				if v == load.Rejected {
					time.Sleep(max(after, 10*time.Millisecond))
					continue
				}
				mu.Lock()
				all.Add(elapsed)
				if d <= otherDestinations {
					others.Add(elapsed)
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	if during != nil {
		time.Sleep(o.For / 2)
		if err := during(c, folder); err != nil {
			return l, 0, err
		}
	}
	wg.Wait()
	l.PerSecond, l.OthersPS = float64(all.Count())/o.For.Seconds(), float64(others.Count())/o.For.Seconds()
	l.P99Ms, l.OthersP99 = all.PercentileMs(99), others.PercentileMs(99)
	account := kitchen.Settle(client, 10*time.Second)
	l.Open, l.Doubled, l.Unheard = account.Open, account.Doubled, account.Unheard
	resident, err = c.Resident()
	return l, resident, err
}

// Run measures and returns the figures.
func (o Plugins) Run(out io.Writer) (f PluginFigures, err error) {
	f = PluginFigures{
		Machine: describeMachine(),
		Calls:   map[string]CallCost{}, Host: map[string]int64{}, Courier: map[string]int64{}, Loads: map[string]LoadCost{},
	}
	dir, err := os.MkdirTemp("", "snowjunction-measure-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	script := starlarkPlugin("script", allHooksScript, allHooks)
	module, err := o.module(dir)
	if err != nil {
		return f, err
	}
	for _, m := range []*manifest.Manifest{script, module} {
		if f.Host[m.Engine], err = o.calls(m, f.Calls); err != nil {
			return f, err
		}
	}
	fmt.Fprintf(out, "calls %+v, hosts %+v\n", f.Calls, f.Host)
	loops := starlarkPlugin("loops", loopingScript, []manifest.Hook{manifest.Admit, manifest.Shape, manifest.Read}, otherDestinations+1)
	for _, x := range []struct {
		name string
		list []*manifest.Manifest
	}{{"none", nil}, {"starlark", []*manifest.Manifest{script}}, {"wasm", []*manifest.Manifest{module}}, {"looping", []*manifest.Manifest{loops}}} {
		if f.Loads[x.name], f.Courier[x.name], err = o.load(x.list, nil); err != nil {
			return f, err
		}
		fmt.Fprintf(out, "%s: %+v\n", x.name, f.Loads[x.name])
	}
	f.LoopingThroughputRatio = f.Loads["looping"].OthersPS / f.Loads["none"].OthersPS
	var reload LoadCost
	reload, _, err = o.load([]*manifest.Manifest{script}, func(c *rig.Courier, folder string) error {
		next := *script
		next.Version = "2"
		if err := writePlugin(folder, &next); err != nil {
			return err
		}
		startedAt := time.Now()
		if err := c.ReloadPlugins(); err != nil {
			return err
		}
		f.ReloadMs = float64(time.Since(startedAt).Microseconds()) / 1000
		return nil
	})
	if err != nil {
		return f, err
	}
	f.Loads["reload"] = reload
	f.Lost = reload.Open + reload.Doubled + reload.Unheard
	fmt.Fprintf(out, "reload in %.1f ms: %+v; looping ratio %.3f\n", f.ReloadMs, reload, f.LoopingThroughputRatio)
	return f, writeFigures(o.JSON, f)
}
