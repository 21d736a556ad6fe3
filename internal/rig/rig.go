// Package rig starts the courier as a separate process with a generated configuration and reads its
// log and its counters. It is used by the demonstration, by measurements and by tests.
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

// Settings returns the settings of a small deployment in the platform's format: messages of class
// order have an idempotency key and are delivered in order, those of class status are safe to
// repeat.
func Settings() map[string]any {
	class := func(name, semantics string, inOrder bool, targetMs, deadlineMs, value float64) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "key-scope": "all", "in-order": inOrder, "promise-ms": targetMs,
			"deadline-ms": deadlineMs, "importance": value, "late-share": 0.3, "window-ms": 5000,
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

// LargeSettings returns Settings with the given maximum number of concurrent calls (slots), maximum number
// of messages held, and quota of the only tenant in messages per second.
func LargeSettings(slots, held int, quota float64) map[string]any {
	s := Settings()
	s["family-info"].(map[string]any)["max-calls"] = slots
	s["limits"].(map[string]any)["most-held"] = held
	s["tenants"] = []any{map[string]any{"name": "town", "quota-rps": quota}}
	return s
}

// Config is the configuration of a courier to start.
type Config struct {
	Dir            string // existing folder for the courier's files
	Discovery      string // address of the directory
	Settings       map[string]any
	MemoryMB       int
	Sockets        int
	DiskMB         float64            // 0 means 3
	KnownInstances []standin.Instance // directory list known at the start; nil means none
	Push           map[string]any     // configuration file of the push front; nil disables it
	Idle           map[string]any     // configuration file for idle destinations; nil means the defaults
	Plugins        map[string]any     // configuration file for plug-ins; nil means none

	OperatorDirectory map[string]any // configuration file of the directory; nil means the defaults
	Partitions        map[string]any // configuration file of partitions; nil disables them
	Listen            string         // address of the RESP2 front; "" means a free port on loopback
	Console           bool           // listens on a second address for operators

	Peers  []string // peer message addresses of the fleet, by courier number; nil disables them
	Number int      // number of this courier, also in the settings
	Seed   uint64   // 0 means a fixed seed
	Traced bool     // logs at level debug and keeps the traces of messages
}

// Courier is a running courier process.
type Courier struct {
	Addr, Push string    // addresses of its fronts
	Console    string    // second address; "" means none
	StartedAt  time.Time // start of the process

	exe         string
	env         []string
	hasConsole  bool
	traced      bool
	consoleAddr chan string

	cmd      *exec.Cmd
	mu       sync.Mutex
	tail     []string
	traces   []standin.Trace
	counters chan map[string]any
	started  chan map[string]any
	ready    chan map[string]any

	pluginsReloaded chan map[string]any
	configReloaded  chan map[string]any
	exited          chan error
}

const (
	// startTimeout is a timeout for hangs, like scenario.Limit. It is no bound on the start time.
	startTimeout = 90 * time.Second
	maxTailLines = 50 // log lines
)

// Start starts the program at exe as a courier and waits until it listens. An error contains the
// last lines of its log.
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
	config := map[string]any{
		"name": fmt.Sprintf("n%d", cfg.Number), "listen": "127.0.0.1:0", "discovery": cfg.Discovery, "seed": fmt.Sprintf("%016x", cfg.Seed),
		"limits": map[string]any{"memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets, "disk_mb": 3}, "settings": cfg.Settings,
	}
	if cfg.KnownInstances != nil {
		config["known"] = map[string]any{"generation": 1, "reset": true, "instances": cfg.KnownInstances}
	}
	if cfg.DiskMB > 0 {
		config["limits"].(map[string]any)["disk_mb"] = cfg.DiskMB
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
		config["listen"] = cfg.Listen
	}
	if cfg.Peers != nil {
		config["peers"], config["peer_listen"] = cfg.Peers, cfg.Peers[cfg.Number]
	}
	if cfg.Console {
		config["console"] = "127.0.0.1:0"
	}
	configPath, err := write("config.json", config)
	pushPath, err2 := write("push.json", cfg.Push)
	idlePath, err3 := write("idle.json", cfg.Idle)
	pluginsPath, err4 := write("plugins.json", cfg.Plugins)
	directoryPath, err5 := write("directory.json", cfg.OperatorDirectory)
	partitionsPath, err6 := write("partitions.json", cfg.Partitions)
	if err := errors.Join(err, err2, err3, err4, err5, err6); err != nil {
		return nil, err
	}
	env := append(os.Environ(), "GW_CONFIG="+configPath, "GW_STATE="+state, "SNOWJUNCTION_PUSH="+pushPath, "SNOWJUNCTION_IDLE="+idlePath,
		"SNOWJUNCTION_PLUGINS="+pluginsPath, "SNOWJUNCTION_DIRECTORY="+directoryPath, "SNOWJUNCTION_PARTITIONS="+partitionsPath)
	if cfg.Traced {
		env = append(env, "SNOWJUNCTION_LOG_LEVEL=debug")
	}
	return launch(exe, env, cfg.Console, cfg.Traced)
}

// StartSecond starts a second process of the same courier with the same state folder.
func (c *Courier) StartSecond() (*Courier, error) {
	return launch(c.exe, c.env, c.hasConsole, c.traced)
}

// launch starts the process and waits until it listens.
func launch(exe string, env []string, console, traced bool) (*Courier, error) {
	courier := &Courier{
		cmd: exec.Command(exe, "run", "--log-format=json"), counters: make(chan map[string]any, 16),
		started: make(chan map[string]any, 1), ready: make(chan map[string]any, 1), pluginsReloaded: make(chan map[string]any, 1), configReloaded: make(chan map[string]any, 1), exited: make(chan error, 1),
		exe: exe, env: env, hasConsole: console, traced: traced, consoleAddr: make(chan string, 1),
	}
	courier.cmd.Env = env
	out, err := courier.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	courier.StartedAt = time.Now()
	if err := courier.cmd.Start(); err != nil {
		return nil, err
	}
	go courier.readLog(out)
	select {
	case line := <-courier.started:
		courier.Addr, _ = line["listen"].(string)
		courier.Push, _ = line["push"].(string)
		if console {
			courier.Console = <-courier.consoleAddr // logged right after "started"
		}
		return courier, nil
	case err := <-courier.exited:
		return nil, fmt.Errorf("the courier did not start: %v\n%s", err, courier.Tail())
	case <-time.After(startTimeout):
		_ = courier.cmd.Process.Kill()
		return nil, fmt.Errorf("the courier did not start within %v\n%s", startTimeout, courier.Tail())
	}
}

// readLog parses the log of the process and passes on the lines of interest.
func (c *Courier) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text := lines.Text()
		c.mu.Lock()
		c.tail = append(c.tail, text)
		c.tail = c.tail[max(0, len(c.tail)-maxTailLines):]
		c.mu.Unlock()
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		switch line["msg"] {
		case "started":
			select {
			case c.started <- line:
			default: // logged again when the process takes over its folder again
			}
		case "ready":
			select {
			case c.ready <- line:
			default:
			}
		case "second address":
			at, _ := line["listen"].(string)
			select {
			case c.consoleAddr <- at:
			default:
			}
		case "plug-ins replaced", "plug-ins not replaced":
			select {
			case c.pluginsReloaded <- line:
			default:
			}
		case "configuration read again", "configuration not read again":
			select {
			case c.configReloaded <- line:
			default:
			}
		case standin.TraceSent, standin.TraceRetryAfter, standin.TraceAttempt, standin.TraceFinalResult:
			if c.traced {
				t := standin.Trace{Kind: line["msg"].(string)}
				t.ID, _ = line["id"].(string)
				t.Outcome, _ = line["outcome"].(string)
				if t.Kind == standin.TraceFinalResult {
					t.Outcome, _ = line["as"].(string)
					t.Left = time.Duration(NumberAt(line, "left_ms")) * time.Millisecond
				}
				c.mu.Lock()
				c.traces = append(c.traces, t)
				c.mu.Unlock()
			}
		case "counters", "ended":
			select {
			case c.counters <- line:
			default:
			}
		}
	}
	c.exited <- c.cmd.Wait()
}

// Ready waits until the courier logs that it is ready, and returns that line.
func (c *Courier) Ready() (map[string]any, error) {
	select {
	case line := <-c.ready:
		return line, nil
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("the courier was not ready within %v\n%s", startTimeout, c.Tail())
	}
}

// Tail returns the last lines of the log.
func (c *Courier) Tail() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.tail, "\n")
}

// Traces returns the traces of messages in the courier's log, in order. It first requests the
// counters, so that all earlier log lines have been read.
func (c *Courier) Traces() ([]standin.Trace, error) {
	if _, err := c.Counters(false); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.traces), nil
}

// Counters requests the courier's counters. If collect is set, the courier collects garbage first,
// so that its heap and resident memory show only what is in use.
func (c *Courier) Counters(collect bool) (map[string]any, error) {
	s := syscall.SIGUSR1
	if collect {
		s = syscall.SIGUSR2
	}
	if err := c.cmd.Process.Signal(s); err != nil {
		return nil, err
	}
	select {
	case line := <-c.counters:
		return line, nil
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("the courier did not log its counters\n%s", c.Tail())
	}
}

// NumberAt returns the number at a path in the result of Counters, or 0 if there is none.
func NumberAt(line map[string]any, path ...string) float64 {
	var value any = line
	for _, key := range path {
		m, _ := value.(map[string]any)
		value = m[key]
	}
	n, _ := value.(float64)
	return n
}

// Resident returns the resident memory of the process in bytes.
func (c *Courier) Resident() (int64, error) { return Resident(c.cmd.Process.Pid) }

// ReloadPlugins sends SIGHUP and waits until the plug-ins have been replaced. It fails if they were not.
func (c *Courier) ReloadPlugins() error {
	if err := c.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case line := <-c.pluginsReloaded:
		if line["msg"] != "plug-ins replaced" {
			return fmt.Errorf("%v: %v", line["msg"], line["err"])
		}
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("timeout while waiting for the plug-ins to be replaced\n%s", c.Tail())
	}
}

// ReloadConfig sends SIGHUP and waits until the configuration files have been reloaded. An error contains
// the reason why the courier rejected them.
func (c *Courier) ReloadConfig() error {
	if err := c.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case line := <-c.configReloaded:
		if line["msg"] != "configuration read again" {
			return fmt.Errorf("%v: %v", line["msg"], line["err"])
		}
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("timeout while waiting for the configuration to be reloaded\n%s", c.Tail())
	}
}

// Pause stops the process with SIGSTOP and returns once all of its threads are stopped.
func (c *Courier) Pause() error {
	if err := c.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if c.allThreadsStopped() {
			return nil
		}
	}
	return errors.New("the courier did not stop after SIGSTOP")
}

// allThreadsStopped reports whether all threads of the process are stopped.
func (c *Courier) allThreadsStopped() bool {
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

// Resume continues the process after Pause.
func (c *Courier) Resume() error { return c.cmd.Process.Signal(syscall.SIGCONT) }

// Resident returns the resident memory of a process in bytes.
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
	return 0, errors.New("no VmRSS line in the process status")
}

// Descriptors returns the number of open file descriptors, or 0 if the process has ended.
func (c *Courier) Descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
	return len(list)
}

// CPU returns the CPU time of all live threads of the process.
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

// Kill ends the process with SIGKILL and waits for it.
func (c *Courier) Kill() {
	_ = c.cmd.Process.Kill()
	<-c.exited
}

// Stop ends the process with SIGTERM and returns its exit error.
func (c *Courier) Stop() error {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-c.exited:
		return err
	case <-time.After(startTimeout):
		_ = c.cmd.Process.Kill()
		return errors.New("the courier did not end after SIGTERM")
	}
}

// PushConfig returns the configuration file of the push front and writes its documents to dir.
func PushConfig(dir string, targets []standin.Instance) (map[string]any, error) {
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
