// Package main is the driver and the stand-ins of the review's cases: a discovery agent, partner
// endpoints and clients, written from the protocol pages. It has no dependency beyond the standard
// library.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) f(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// rig holds what a case needs: the record, a temporary folder and the processes it has started.
type rig struct {
	rec     *recorder
	root    string // of the repository
	ip      string // a loopback address of this run's own, so that no other program takes its ports
	tmp     string
	run     string // the deploy file's command of one courier
	trouble bool
	broken  []string
	procs   []*proc
}

// couldNotRun ends the case with exit code 2.
type couldNotRun struct{ err error }

func (g *rig) must(err error) {
	if err != nil {
		panic(couldNotRun{err})
	}
}

func (g *rig) breakRule(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	g.broken = append(g.broken, s)
	g.rec.f("BROKEN %s", s)
}

// newRig prepares a case that writes its record to a file two levels below the root. A folder in its
// place means record.txt in it.
func newRig(record string) (*rig, error) {
	if i, err := os.Stat(record); err == nil && i.IsDir() {
		record = filepath.Join(record, "record.txt")
	}
	root, err := filepath.Abs(filepath.Join(filepath.Dir(record), "..", ".."))
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()>>14&0x7f, os.Getpid()>>7&0x7f, 1+os.Getpid()&0x7f)
	return &rig{rec: &recorder{out: out, start: time.Now()}, root: root, ip: ip, tmp: tmp, run: string(m[1]), trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// finish ends all processes and returns the exit code.
func (g *rig) finish() int {
	for _, p := range g.procs {
		p.kill()
	}
	_ = os.RemoveAll(g.tmp)
	if len(g.broken) > 0 {
		g.rec.f("RESULT broken: %d findings", len(g.broken))
		return 1
	}
	g.rec.f("RESULT held")
	return 0
}

// freeAddr returns a loopback address that was free a moment ago.
func (g *rig) freeAddr() string {
	l, err := net.Listen("tcp", g.ip+":0")
	g.must(err)
	defer l.Close()
	return l.Addr().String()
}

// proc is a process of the project's own program.
type proc struct {
	name string
	cmd  *exec.Cmd
	rec  *recorder
	mu   sync.Mutex
	cond *sync.Cond
	log  []string
	done chan struct{}
	end  error
}

// start starts one courier with the deploy file's command.
func (g *rig) start(name string, env ...string) *proc {
	p := &proc{name: name, rec: g.rec, done: make(chan struct{})}
	p.cond = sync.NewCond(&p.mu)
	tmp := filepath.Join(g.tmp, "tmp-"+name)
	g.must(os.MkdirAll(tmp, 0o700))
	p.cmd = exec.Command("/bin/sh", "-c", g.run)
	p.cmd.Dir = g.root
	p.cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + tmp}, env...)...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	errPipe, err := p.cmd.StderrPipe()
	g.must(err)
	g.must(p.cmd.Start())
	g.procs = append(g.procs, p)
	g.rec.f("process %s started, pid %d", name, p.cmd.Process.Pid)
	go func() {
		s := bufio.NewScanner(errPipe)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			line := s.Text()
			if !strings.Contains(line, `msg="connection ended"`) {
				g.rec.f("log %s: %s", name, line)
			}
			p.mu.Lock()
			p.log = append(p.log, line)
			p.cond.Broadcast()
			p.mu.Unlock()
		}
		p.end = p.cmd.Wait()
		g.rec.f("process %s ended: %v", name, p.end)
		close(p.done)
		p.mu.Lock()
		p.cond.Broadcast()
		p.mu.Unlock()
	}()
	return p
}

// logged waits until the process has logged the text, from its nth line on.
func (p *proc) logged(text string, from int, within time.Duration) bool {
	limit := time.Now().Add(within)
	timer := time.AfterFunc(within, func() { p.mu.Lock(); p.cond.Broadcast(); p.mu.Unlock() })
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for _, l := range p.log[min(from, len(p.log)):] {
			if strings.Contains(l, text) {
				return true
			}
		}
		if !time.Now().Before(limit) || p.ended() {
			return false
		}
		p.cond.Wait()
	}
}

func (p *proc) lines() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.log)
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *proc) signal(s syscall.Signal) {
	p.rec.f("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and its group.
func (p *proc) kill() {
	if !p.ended() {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		select {
		case <-p.done:
		case <-time.After(3 * time.Second):
		}
	}
}

func mkdir(dir string) error { return os.MkdirAll(dir, 0o700) }

// writeJSON replaces a file in one step.
func (g *rig) writeJSON(path string, v any) {
	b, err := json.Marshal(v)
	g.must(err)
	g.must(os.WriteFile(path+".next", b, 0o600))
	g.must(os.Rename(path+".next", path))
}

// settings are those of a small deployment, with the classes of almaty-orders.
func settings() map[string]any {
	return map[string]any{
		"fleet-size": 1, "my-number": 0, "quantum-ms": 5, "dcs": []string{"almaty-dc1"}, "zone": 0, "models": []string{"chains", "couriers", "cafes"},
		"classes": []any{
			map[string]any{"name": "order", "semantics": "token", "key-scope": "all", "in-order": true, "promise-ms": 3000, "deadline-ms": 20000, "importance": 1, "late-share": 0.3, "window-ms": 5000},
			map[string]any{"name": "status", "semantics": "pure", "key-scope": "all", "promise-ms": 1500, "deadline-ms": 8000, "importance": 2, "late-share": 0.1, "window-ms": 5000},
		},
		"tenants":     []any{map[string]any{"name": "city-takeaway", "quota-rps": 30, "portion": 1}},
		"family-info": map[string]any{"bundle-max": []int{1, 1, 1}, "max-calls": 13, "routes-apart": []bool{false, false, false}, "late": "linear"},
		"limits": map[string]any{
			"cancelling": true, "conn-idle-ms": 15000, "connect-timeout-ms": 1500, "max-attempts": 6, "max-retry-after-ms": 3000,
			"may-tell": false, "most-held": 133, "parallel-tries": false, "probes": false, "retry-after": true, "streams-per-conn": 8,
		},
		"contract": map[string]any{
			"answer-slack-ms": 20, "ask-within-ms": 10000, "cold-share": 0.2, "fall-ms": 1500, "fall-multiple": 2,
			"order-settle-ms": 100, "stop-sending-within-ms": 1000, "warm-up-ms": 14000,
		},
		"registry-mode": "push", "report": map[string]any{"columns": []string{"x0", "x1"}, "how": "piggyback"},
		"over-share-worth": 0.05, "weights": "silent", "value-by": "request",
	}
}

// config is a courier's configuration in the deploy page's form.
func config(listen, discovery string, known map[string]any) map[string]any {
	c := map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": strconv.FormatUint(uint64(time.Now().UnixNano()), 16),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"settings": settings(),
	}
	if known != nil {
		c["known"] = known
	}
	return c
}

// cases are the cases by name; each file adds its own.
var cases = map[string]func(*rig){}

// main runs one case: its name and the file of its record.
func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	g, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := 2
	func() {
		defer func() {
			if r := recover(); r != nil {
				g.rec.f("COULD NOT RUN: %v", r)
				g.broken = nil
				g.finish()
			}
		}()
		play(g)
		code = g.finish()
	}()
	os.Exit(code)
}
