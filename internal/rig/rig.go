// Package rig starts the courier as a process of its own, with a configuration
// made for the occasion, and reads what it tells of itself: for demonstrations,
// measurements and tests.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"snowjunction/deploy"
	"snowjunction/internal/standin"
)

// Settings are those of a small deployment: class order is keyed and in order,
// class status safe. They are in the platform's form.
func Settings() map[string]any {
	class := func(name, semantics string, inOrder bool, aim, deadline, worth float64) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "key-scope": "all", "in-order": inOrder, "promise-ms": aim,
			"deadline-ms": deadline, "importance": worth, "late-share": 0.3, "window-ms": 5000,
		}
	}
	return map[string]any{
		"fleet-size": 1, "quantum-ms": 5, "dcs": []string{"a"}, "models": []string{"k"},
		"classes":     []any{class("order", "token", true, 3000, 20000, 1), class("status", "pure", false, 1500, 8000, 2)},
		"tenants":     []any{map[string]any{"name": "town", "quota-rps": 100}},
		"family-info": map[string]any{"bundle-max": []int{1}, "max-calls": 8, "routes-apart": []bool{false}, "late": "linear"},
		"limits": map[string]any{
			"cancelling": true, "conn-idle-ms": 15000, "connect-timeout-ms": 1500, "max-attempts": 6,
			"max-retry-after-ms": 3000, "most-held": 100, "retry-after": true, "streams-per-conn": 8,
		},
		"contract": map[string]any{
			"answer-slack-ms": 20, "cold-share": 0.2, "warm-up-ms": 14000, "fall-ms": 1500, "fall-multiple": 2,
			"order-settle-ms": 100, "stop-sending-within-ms": 1000,
		},
		"report": map[string]any{"columns": []string{"x0", "x1"}},
	}
}

// Large are Settings with so many slots, messages held, and messages a second in
// the one tenant's quota.
func Large(slots, held int, quota float64) map[string]any {
	s := Settings()
	s["family-info"].(map[string]any)["max-calls"] = slots
	s["limits"].(map[string]any)["most-held"] = held
	s["tenants"] = []any{map[string]any{"name": "town", "quota-rps": quota}}
	return s
}

// Config is what a courier is started with.
type Config struct {
	Dir       string // where its files go; it must exist
	Discovery string
	Settings  map[string]any
	MemoryMB  int
	Sockets   int
	DiskMB    float64            // 0: 3
	Known     []standin.Instance // nil: no list is known at the start
	Push      map[string]any     // the push front's file; nil: off
	Idle      map[string]any     // the file for idle destinations; nil: its defaults
	Plugins   map[string]any     // the plug-ins' file; nil: none

	OperatorDirectory map[string]any // the directory's file; nil: its defaults
	Partitions        map[string]any // the file of partitions; nil: off
	Listen            string         // where clients reach it; "": a port that is free
	Console           bool           // it has a second address

	Peers  []string // the fleet's addresses for notes, by number; nil: no notes
	Number int      // this courier's, in the settings too
	Seed   uint64   // 0: one that is always the same
	Traced bool     // it logs at level debug, and what befalls messages is kept
}

// Courier is a running courier.
type Courier struct {
	Addr, Push string    // where its fronts listen
	Console    string    // its second address; "": none
	Begun      time.Time // its process

	exe     string
	env     []string
	console bool
	traced  bool
	second  chan string

	cmd    *exec.Cmd
	mu     sync.Mutex
	tail   []string
	traces []standin.Trace
	counts chan map[string]any
	up     chan map[string]any
	ready  chan map[string]any

	replaced chan map[string]any
	again    chan map[string]any
	exited   chan error
}

const (
	// startWithin ends what hangs, as scenario.Limit does: it tells nothing of how long a start takes.
	startWithin = 90 * time.Second
	tailMost    = 50
)

// Start starts the program at exe as a courier. An error holds the last lines
// of its log.
func Start(exe string, cfg Config) (*Courier, error) {
	state := filepath.Join(cfg.Dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	write := func(name string, v any) (string, error) {
		b, err := json.Marshal(v)
		if err != nil {
			return "", err
		}
		path := filepath.Join(cfg.Dir, name)
		return path, os.WriteFile(path, b, 0o600)
	}
	if cfg.Seed == 0 {
		cfg.Seed = 0x8c1f30d27a5be964
	}
	whole := map[string]any{
		"name": fmt.Sprintf("n%d", cfg.Number), "listen": "127.0.0.1:0", "discovery": cfg.Discovery, "seed": fmt.Sprintf("%016x", cfg.Seed),
		"limits": map[string]any{"memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets, "disk_mb": 3}, "settings": cfg.Settings,
	}
	if cfg.Known != nil {
		whole["known"] = map[string]any{"generation": 1, "reset": true, "instances": cfg.Known}
	}
	if cfg.DiskMB > 0 {
		whole["limits"].(map[string]any)["disk_mb"] = cfg.DiskMB
	}
	if cfg.Push == nil {
		cfg.Push = map[string]any{}
	}
	if cfg.Idle == nil {
		cfg.Idle = map[string]any{}
	}
	if cfg.Plugins == nil {
		cfg.Plugins = map[string]any{}
	}
	if cfg.OperatorDirectory == nil {
		cfg.OperatorDirectory = map[string]any{}
	}
	if cfg.Partitions == nil {
		cfg.Partitions = map[string]any{}
	}
	if cfg.Listen != "" {
		whole["listen"] = cfg.Listen
	}
	if cfg.Peers != nil {
		whole["peers"], whole["peer_listen"] = cfg.Peers, cfg.Peers[cfg.Number]
	}
	if cfg.Console {
		whole["console"] = "127.0.0.1:0"
	}
	config, err := write("config.json", whole)
	push, err2 := write("push.json", cfg.Push)
	idle, err3 := write("idle.json", cfg.Idle)
	plugins, err4 := write("plugins.json", cfg.Plugins)
	directory, err5 := write("directory.json", cfg.OperatorDirectory)
	partitions, err6 := write("partitions.json", cfg.Partitions)
	if err := errors.Join(err, err2, err3, err4, err5, err6); err != nil {
		return nil, err
	}
	env := append(os.Environ(), "GW_CONFIG="+config, "GW_STATE="+state, "SNOWJUNCTION_PUSH="+push, "SNOWJUNCTION_IDLE="+idle,
		"SNOWJUNCTION_PLUGINS="+plugins, "SNOWJUNCTION_DIRECTORY="+directory, "SNOWJUNCTION_PARTITIONS="+partitions)
	if cfg.Traced {
		env = append(env, "SNOWJUNCTION_LOG_LEVEL=debug")
	}
	return launch(exe, env, cfg.Console, cfg.Traced)
}

// Beside starts a second process of the same courier, over the same folder.
func (c *Courier) Beside() (*Courier, error) { return launch(c.exe, c.env, c.console, c.traced) }

func launch(exe string, env []string, console, traced bool) (*Courier, error) {
	c := &Courier{
		cmd: exec.Command(exe, "run", "--log-format=json"), counts: make(chan map[string]any, 16),
		up: make(chan map[string]any, 1), ready: make(chan map[string]any, 1), replaced: make(chan map[string]any, 1), again: make(chan map[string]any, 1), exited: make(chan error, 1),
		exe: exe, env: env, console: console, traced: traced, second: make(chan string, 1),
	}
	c.cmd.Env = env
	out, err := c.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	c.Begun = time.Now()
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go c.read(out)
	select {
	case line := <-c.up:
		c.Addr, _ = line["listen"].(string)
		c.Push, _ = line["push"].(string)
		if console {
			c.Console = <-c.second // the next line
		}
		return c, nil
	case err := <-c.exited:
		return nil, fmt.Errorf("the courier did not start: %v\n%s", err, c.Tail())
	case <-time.After(startWithin):
		_ = c.cmd.Process.Kill()
		return nil, fmt.Errorf("the courier did not start in %v\n%s", startWithin, c.Tail())
	}
}

func (c *Courier) read(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text := lines.Text()
		c.mu.Lock()
		c.tail = append(c.tail, text)
		c.tail = c.tail[max(0, len(c.tail)-tailMost):]
		c.mu.Unlock()
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		switch line["msg"] {
		case "started":
			select {
			case c.up <- line:
			default: // it owns its folder again
			}
		case "ready":
			select {
			case c.ready <- line:
			default:
			}
		case "second address":
			at, _ := line["listen"].(string)
			select {
			case c.second <- at:
			default:
			}
		case "plug-ins replaced", "plug-ins not replaced":
			select {
			case c.replaced <- line:
			default:
			}
		case "configuration read again", "configuration not read again":
			select {
			case c.again <- line:
			default:
			}
		case standin.TraceLeaves, standin.TraceTold, standin.TraceAttempt, standin.TraceEnd:
			if c.traced {
				t := standin.Trace{What: line["msg"].(string)}
				t.ID, _ = line["id"].(string)
				t.Outcome, _ = line["outcome"].(string)
				if t.What == standin.TraceEnd {
					t.Outcome, _ = line["as"].(string)
					t.Left = time.Duration(Number(line, "left_ms")) * time.Millisecond
				}
				c.mu.Lock()
				c.traces = append(c.traces, t)
				c.mu.Unlock()
			}
		case "counters", "ended":
			select {
			case c.counts <- line:
			default:
			}
		}
	}
	c.exited <- c.cmd.Wait()
}

// Ready waits until it says that it is ready, and returns that line.
func (c *Courier) Ready() (map[string]any, error) {
	select {
	case line := <-c.ready:
		return line, nil
	case <-time.After(startWithin):
		return nil, fmt.Errorf("the courier is not ready in %v\n%s", startWithin, c.Tail())
	}
}

// Tail is the last lines of its log.
func (c *Courier) Tail() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.tail, "\n")
}

// Traces asks for its counters, so that what has come about before is there, and returns what it
// has logged of messages, in its order.
func (c *Courier) Traces() ([]standin.Trace, error) {
	if _, err := c.Counters(false); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.traces), nil
}

// Counters asks for its counters; collect has it collect its garbage before, so
// that its heap and resident memory tell what is in use.
func (c *Courier) Counters(collect bool) (map[string]any, error) {
	s := syscall.SIGUSR1
	if collect {
		s = syscall.SIGUSR2
	}
	if err := c.cmd.Process.Signal(s); err != nil {
		return nil, err
	}
	select {
	case line := <-c.counts:
		return line, nil
	case <-time.After(startWithin):
		return nil, fmt.Errorf("the courier tells no counters\n%s", c.Tail())
	}
}

// Number is a number in what Counters returns, by its path.
func Number(line map[string]any, path ...string) float64 {
	var v any = line
	for _, key := range path {
		m, _ := v.(map[string]any)
		v = m[key]
	}
	n, _ := v.(float64)
	return n
}

// Resident is its resident memory in bytes.
func (c *Courier) Resident() (int64, error) { return Resident(c.cmd.Process.Pid) }

// Reload sends SIGHUP and waits until the plug-ins have been replaced.
func (c *Courier) Reload() error {
	if err := c.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case line := <-c.replaced:
		if line["msg"] != "plug-ins replaced" {
			return fmt.Errorf("%v: %v", line["msg"], line["err"])
		}
		return nil
	case <-time.After(startWithin):
		return fmt.Errorf("the plug-ins are not replaced\n%s", c.Tail())
	}
}

// Hup sends SIGHUP and waits until the files have been read again. An error says why none of them
// changes anything.
func (c *Courier) Hup() error {
	if err := c.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case line := <-c.again:
		if line["msg"] != "configuration read again" {
			return fmt.Errorf("%v: %v", line["msg"], line["err"])
		}
		return nil
	case <-time.After(startWithin):
		return fmt.Errorf("the files are not read again\n%s", c.Tail())
	}
}

// Pause stops it in its tracks, and returns once none of its threads runs. Resume has it go on.
func (c *Courier) Pause() error {
	if err := c.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for limit := time.Now().Add(startWithin); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if c.stopped() {
			return nil
		}
	}
	return errors.New("it does not stop")
}

func (c *Courier) stopped() bool {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", c.cmd.Process.Pid))
	for _, path := range tasks {
		b, _ := os.ReadFile(path)
		_, state, _ := strings.Cut(string(b), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(tasks) > 0
}

// Resume has it go on.
func (c *Courier) Resume() error { return c.cmd.Process.Signal(syscall.SIGCONT) }

// Resident is the resident memory of a process in bytes.
func Resident(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no VmRSS")
}

// Descriptors is how many it holds; 0: it has ended.
func (c *Courier) Descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
	return len(list)
}

// CPU is the time that its threads have run.
func (c *Courier) CPU() (total time.Duration, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, path := range tasks {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		if f := strings.Fields(string(b)); len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64)
			total += time.Duration(ns)
		}
	}
	return total, nil
}

// Kill ends it as SIGKILL does.
func (c *Courier) Kill() {
	_ = c.cmd.Process.Kill()
	<-c.exited
}

// Stop ends it in order and returns how it ended.
func (c *Courier) Stop() error {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-c.exited:
		return err
	case <-time.After(startWithin):
		_ = c.cmd.Process.Kill()
		return errors.New("the courier did not end when told to")
	}
}

// PushFile makes the push front's file, with its documents beside it.
func PushFile(dir string, targets []standin.Instance) (map[string]any, error) {
	for name, text := range map[string][]byte{"openapi.json": deploy.OpenAPI, "asyncapi.json": deploy.AsyncAPI} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return nil, err
		}
	}
	return map[string]any{
		"listen": "127.0.0.1:0", "max_connections": 64, "retain_s": 300, "openapi": "openapi.json",
		"asyncapi": "asyncapi.json", "targets": targets,
	}, nil
}
