package scenario

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snowjunction/internal/rig"
)

// RunAsCourierEnv is the environment variable that makes the test binary of the courier's command run as the
// courier.
const RunAsCourierEnv = "RUN_COURIER"

// Target is an entry of the directory list in the courier's configuration.
type Target struct {
	Name, Addr string
	Cell       int
}

// Courier is the program under test: a separate process with a state folder that persists across
// restarts. Its steps are kill, term, hup, start and exit. Any other text is awaited in the log.
type Courier struct {
	Runner     *Runner
	Settings   map[string]any
	Limits     map[string]any
	Targets    []Target
	Env        []string
	Peers      map[string]any // settings for peer messages, merged into the configuration
	LogTimeout time.Duration  // timeout for a log line; 0 means EventTimeout

	dir, stateDir string
	cmd           *exec.Cmd
	exited        chan error
	mu            sync.Mutex
	log           bytes.Buffer
	logGrown      chan struct{}
	logRead       int // bytes of the log consumed by Await
}

// NewCourier prepares a courier whose directory is the server discovery of a new play.
func NewCourier(t *testing.T, targets ...Target) *Courier {
	p := New(t)
	p.Server("discovery")
	c := &Courier{
		Runner: p, Settings: rig.Settings(), Targets: targets, dir: t.TempDir(),
		Limits: map[string]any{"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
	}
	// The simulated directory does not answer. A request to it waits as long as this grace time allows,
	// so with a long one the courier sends no further request within a test.
	c.Settings["contract"].(map[string]any)["stop-sending-within-ms"] = 60000
	c.stateDir = filepath.Join(c.dir, "state")
	require.NoError(t, os.Mkdir(c.stateDir, 0o700))
	p.DefineStep("courier", c.runStep)
	t.Cleanup(func() {
		c.Stop(syscall.SIGKILL)
		if t.Failed() {
			t.Logf("the courier's log:\n%s", c.Log())
		}
	})
	return c
}

// ExtendTimeouts sets the times of all classes to EventTimeout, so that no call, message or window
// expires on a busy machine while a script waits for its next event.
func (c *Courier) ExtendTimeouts() {
	for _, class := range c.Settings["classes"].([]any) {
		for _, name := range []string{"promise-ms", "deadline-ms", "window-ms"} {
			class.(map[string]any)[name] = EventTimeout.Milliseconds()
		}
	}
}

// SecondProcess prepares a second process of the same courier with the same state folder and configuration.
// Scripts refer to it by name.
func (c *Courier) SecondProcess(name string) *Courier {
	n := &Courier{
		Runner: c.Runner, Settings: c.Settings, Limits: c.Limits, Targets: c.Targets, Env: c.Env, Peers: c.Peers,
		dir: c.dir, stateDir: c.stateDir,
	}
	c.Runner.DefineStep(name, n.runStep)
	c.Runner.T.Cleanup(func() {
		n.Stop(syscall.SIGKILL)
		if c.Runner.T.Failed() {
			c.Runner.T.Logf("the log of %s:\n%s", name, n.Log())
		}
	})
	return n
}

// Dir returns the folder of the courier's configuration.
func (c *Courier) Dir() string { return c.dir }

// State returns the courier's state folder.
func (c *Courier) State() string { return c.stateDir }

// runStep executes the step of a script line.
func (c *Courier) runStep(word string) error {
	switch word {
	case "start":
		return c.Start()
	case "kill":
		return c.Stop(syscall.SIGKILL)
	case "term":
		return c.Signal(syscall.SIGTERM)
	case "hup":
		return c.reconfigure()
	case "exit":
		return c.waitForExit()
	}
	_, err := c.Await(regexp.QuoteMeta(word))
	return err
}

// reconfigure writes the configuration with the test's changes and sends SIGHUP.
func (c *Courier) reconfigure() error {
	if _, err := c.Config(); err != nil {
		return err
	}
	return c.Signal(syscall.SIGHUP)
}

// Config writes the courier's configuration and returns its path.
func (c *Courier) Config() (string, error) {
	instances := []any{}
	for _, t := range c.Targets {
		instances = append(instances, map[string]any{
			"instanceId": t.Name, "hostPort": t.Addr, "zone": "a", "machineType": "k", "cell": t.Cell,
			"lifecycle": "Ready", "weight": 1, "startedAtMs": 0,
		})
	}
	config := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": c.Runner.variables["discovery"], "seed": "8c1f30d27a5be964",
		"limits": c.Limits, "settings": c.Settings,
		"known": map[string]any{"generation": 1, "reset": true, "instances": instances},
	}
	maps.Copy(config, c.Peers)
	b, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.dir, "config.json")
	return path, os.WriteFile(path, b, 0o600)
}

// Start starts the courier and defines the addresses of its fronts as $client and, if the push
// front is enabled, $push.
func (c *Courier) Start() error {
	if err := c.Launch(); err != nil {
		return err
	}
	m, err := c.Await(`msg=started .*listen=(\S+) push=(\S*)`)
	if err != nil {
		return err
	}
	c.Runner.Define("client", m[1])
	c.Runner.Define("push", strings.Trim(m[2], `"`))
	return nil
}

// Launch starts the process without waiting until it is up.
func (c *Courier) Launch() error {
	path, err := c.Config()
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), RunAsCourierEnv+"=1", "GW_CONFIG="+path, "GW_STATE="+c.stateDir), c.Env...)
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited, logGrown := make(chan error, 1), make(chan struct{}, 1)
	c.mu.Lock()
	c.cmd, c.exited, c.logGrown = cmd, exited, logGrown
	c.log.Reset()
	c.logRead = 0
	c.mu.Unlock()
	go func() {
		lines := bufio.NewReader(out)
		for {
			line, err := lines.ReadBytes('\n')
			c.mu.Lock()
			c.log.Write(line)
			c.mu.Unlock()
			if err != nil {
				break
			}
			select {
			case logGrown <- struct{}{}:
			default:
			}
		}
		exited <- cmd.Wait()
		close(logGrown)
	}()
	return nil
}

// Await waits for a match of pattern in the log after the previous match and returns its submatches.
func (c *Courier) Await(pattern string) ([]string, error) {
	re := regexp.MustCompile(pattern)
	limit := time.After(cmp.Or(c.LogTimeout, EventTimeout))
	for open := true; ; {
		c.mu.Lock()
		text := c.log.String()[c.logRead:]
		loc, m := re.FindStringIndex(text), re.FindStringSubmatch(text)
		if m != nil {
			c.logRead += loc[1]
		}
		c.mu.Unlock()
		if m != nil {
			return m, nil
		}
		if !open {
			return nil, fmt.Errorf("the courier ended without %q in its log", pattern)
		}
		select {
		case _, open = <-c.logGrown:
		case <-limit:
			return nil, fmt.Errorf("timeout while waiting for %q in the log", pattern)
		}
	}
}

// Log returns the log of the running courier.
func (c *Courier) Log() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.String()
}

// Children returns the ids of the running courier's child processes, such as the hosts of plug-ins.
func (c *Courier) Children() (ids []int, err error) {
	entries, err := os.ReadDir("/proc")
	for _, entry := range entries {
		id, err := strconv.Atoi(entry.Name())
		if err != nil { // not a process
			continue
		}
		if _, parent, ok := processStatus(id); ok && parent == c.cmd.Process.Pid {
			ids = append(ids, id)
		}
	}
	return ids, err
}

// IsRunning reports whether a process exists and has not ended.
func IsRunning(id int) bool {
	state, _, ok := processStatus(id)
	return ok && state != 'Z'
}

// processStatus returns the state of a process and its parent's id, as in proc(5). ok is false if there is no
// such process.
func processStatus(id int) (state byte, parent int, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, 0, false
	}
	_, fields, _ := strings.Cut(string(text), ") ") // behind the process's id and name
	_, err = fmt.Sscanf(fields, "%c %d", &state, &parent)
	return state, parent, err == nil
}

// Signal sends the courier a signal.
func (c *Courier) Signal(s syscall.Signal) error { return c.cmd.Process.Signal(s) }

// Stop sends a signal to end the courier and waits for its end. It does nothing if it is not running.
func (c *Courier) Stop(s syscall.Signal) error {
	if c.cmd == nil {
		return nil
	}
	_ = c.cmd.Process.Signal(s)
	_ = c.waitForExit()
	return nil
}

// waitForExit waits until the process ends and returns its exit error.
func (c *Courier) waitForExit() error {
	if c.cmd == nil {
		return nil
	}
	select {
	case err := <-c.exited:
		c.cmd = nil
		return err
	case <-time.After(EventTimeout):
		return fmt.Errorf("the courier did not end in time")
	}
}
