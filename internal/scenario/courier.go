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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snowjunction/internal/rig"
)

// RunAs tells the test binary of the courier's command to be the courier.
const RunAs = "RUN_COURIER"

// Target is an entry of the courier's list.
type Target struct {
	Name, Addr string
	Cell       int
}

// Courier is the program under test: a process of its own, with a folder that
// outlasts it. Its steps are: wait kill, term, hup, start, exit, and any
// text, which is then awaited in the log.
type Courier struct {
	Play     *Play
	Settings map[string]any
	Limits   map[string]any
	Targets  []Target
	Env      []string
	Peers    map[string]any // of the configuration, to reach other couriers
	Patience time.Duration  // for a line of the log; 0: Limit

	dir, state string
	cmd        *exec.Cmd
	exited     chan error
	mu         sync.Mutex
	log        bytes.Buffer
	grown      chan struct{}
	read       int // of the log, by Await
}

// NewCourier prepares a courier that reaches discovery, a server of the play.
func NewCourier(t *testing.T, targets ...Target) *Courier {
	p := New(t)
	p.Server("discovery")
	c := &Courier{
		Play: p, Settings: rig.Settings(), Targets: targets, dir: t.TempDir(),
		Limits: map[string]any{"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
	}
	// Of a stand-in that says nothing nobody asks again within a test: what waits for news does
	// so for as long as the grace lets it.
	c.Settings["contract"].(map[string]any)["stop-sending-within-ms"] = 60000
	c.state = filepath.Join(c.dir, "state")
	require.NoError(t, os.Mkdir(c.state, 0o700))
	p.On("courier", c.step)
	t.Cleanup(func() {
		c.Stop(syscall.SIGKILL)
		if t.Failed() {
			t.Logf("the courier's log:\n%s", c.Log())
		}
	})
	return c
}

// Unhurried gives the classes times that a test's steps do not reach on a busy machine: no call,
// message or window ends while a scenario waits for its next event.
func (c *Courier) Unhurried() {
	for _, class := range c.Settings["classes"].([]any) {
		for _, name := range []string{"promise-ms", "deadline-ms", "window-ms"} {
			class.(map[string]any)[name] = Limit.Milliseconds()
		}
	}
}

// Beside prepares a second process of the same courier, over the same folder and with the same
// configuration; its steps are the THING's of that name.
func (c *Courier) Beside(name string) *Courier {
	n := &Courier{
		Play: c.Play, Settings: c.Settings, Limits: c.Limits, Targets: c.Targets, Env: c.Env, Peers: c.Peers,
		dir: c.dir, state: c.state,
	}
	c.Play.On(name, n.step)
	c.Play.T.Cleanup(func() {
		n.Stop(syscall.SIGKILL)
		if c.Play.T.Failed() {
			c.Play.T.Logf("the log of %s:\n%s", name, n.Log())
		}
	})
	return n
}

// Dir is a folder of the courier's, beside the one that lasts.
func (c *Courier) Dir() string { return c.dir }

// State is the folder that lasts.
func (c *Courier) State() string { return c.state }

func (c *Courier) step(word string) error {
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
		return c.wait()
	}
	_, err := c.Await(regexp.QuoteMeta(word))
	return err
}

// reconfigure writes the configuration anew, with what the test has changed,
// and tells the courier.
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
	whole := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": c.Play.names["discovery"], "seed": "8c1f30d27a5be964",
		"limits": c.Limits, "settings": c.Settings,
		"known": map[string]any{"generation": 1, "reset": true, "instances": instances},
	}
	maps.Copy(whole, c.Peers)
	b, err := json.Marshal(whole)
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.dir, "config.json")
	return path, os.WriteFile(path, b, 0o600)
}

// Start starts the courier and names where it listens: $client and, with the
// push front on, $push.
func (c *Courier) Start() error {
	if err := c.Launch(); err != nil {
		return err
	}
	m, err := c.Await(`msg=started .*listen=(\S+) push=(\S*)`)
	if err != nil {
		return err
	}
	c.Play.Let("client", m[1])
	c.Play.Let("push", strings.Trim(m[2], `"`))
	return nil
}

// Launch starts the process and does not wait for what becomes of it.
func (c *Courier) Launch() error {
	path, err := c.Config()
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), RunAs+"=1", "GW_CONFIG="+path, "GW_STATE="+c.state), c.Env...)
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited, grown := make(chan error, 1), make(chan struct{}, 1)
	c.mu.Lock()
	c.cmd, c.exited, c.grown = cmd, exited, grown
	c.log.Reset()
	c.read = 0
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
			case grown <- struct{}{}:
			default:
			}
		}
		exited <- cmd.Wait()
		close(grown)
	}()
	return nil
}

// Await waits for a match in the log, after the last one awaited.
func (c *Courier) Await(pattern string) ([]string, error) {
	re := regexp.MustCompile(pattern)
	limit := time.After(cmp.Or(c.Patience, Limit))
	for open := true; ; {
		c.mu.Lock()
		text := c.log.String()[c.read:]
		loc, m := re.FindStringIndex(text), re.FindStringSubmatch(text)
		if m != nil {
			c.read += loc[1]
		}
		c.mu.Unlock()
		if m != nil {
			return m, nil
		}
		if !open {
			return nil, fmt.Errorf("the courier ended; no %q in its log", pattern)
		}
		select {
		case _, open = <-c.grown:
		case <-limit:
			return nil, fmt.Errorf("no %q in the log", pattern)
		}
	}
}

// Log is what the running courier has logged.
func (c *Courier) Log() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.String()
}

// Signal sends the courier a signal.
func (c *Courier) Signal(s syscall.Signal) error { return c.cmd.Process.Signal(s) }

// Stop ends the courier by a signal and waits for it.
func (c *Courier) Stop(s syscall.Signal) error {
	if c.cmd == nil {
		return nil
	}
	_ = c.cmd.Process.Signal(s)
	_ = c.wait()
	return nil
}

func (c *Courier) wait() error {
	if c.cmd == nil {
		return nil
	}
	select {
	case err := <-c.exited:
		c.cmd = nil
		return err
	case <-time.After(Limit):
		return fmt.Errorf("the courier does not end")
	}
}
