package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	trouble bool // the disruption is played
	dir     string
	run     string // command of one courier, from the deploy file
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	broken    []string
	processes map[*courier]bool
	ended     bool
}

func newPlay(record string) (*play, error) {
	run := os.Getenv("RUN")
	if run == "" {
		return nil, errors.New("RUN must be the command of one courier")
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", dir: dir, run: run, began: time.Now(), record: f, processes: map[*courier]bool{}}
	p.note("record: times in ms since the start; disruption played: %v", p.trouble)
	return p, nil
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteLocked(format, args...)
}

func (p *play) noteLocked(format string, args ...any) {
	fmt.Fprintf(p.record, "%9.1f  %s\n", p.now(), fmt.Sprintf(format, args...))
}

func (p *play) now() float64 { return float64(time.Since(p.began).Microseconds()) / 1000 }

// breach records that the rule of the case was broken.
func (p *play) breach(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
	p.noteLocked("BROKEN: %s", p.broken[len(p.broken)-1])
}

// cannotRun ends the case with status 2.
func (p *play) cannotRun(format string, args ...any) {
	p.note("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	p.cleanUp()
	os.Exit(2)
}

func (p *play) must(err error) {
	if err != nil {
		p.cannotRun("%v", err)
	}
}

// end prints the result and ends the program.
func (p *play) end() {
	p.cleanUp()
	if len(p.broken) == 0 {
		p.note("the rule held")
		fmt.Println("the rule held")
		os.Exit(0)
	}
	fmt.Printf("broken %d times, first: %s\n", len(p.broken), p.broken[0])
	os.Exit(1)
}

func (p *play) cleanUp() {
	p.mu.Lock()
	p.ended = true
	var left []*courier
	for c := range p.processes {
		left = append(left, c)
	}
	p.mu.Unlock()
	for _, c := range left {
		c.kill()
	}
	_ = os.RemoveAll(p.dir)
}

// freeAddr returns an address that is free at the moment.
func (p *play) freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err)
	defer l.Close()
	return l.Addr().String()
}

func (p *play) writeJSON(name string, v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	p.must(err)
	path := filepath.Join(p.dir, name)
	p.must(os.WriteFile(path, b, 0o600))
	return path
}

// object is a JSON object.
type object = map[string]any

// settings are those of a small deployment. Classes and limits can be changed by the caller.
func settings(fleet, number int) object {
	return object{
		"fleet-size": fleet, "my-number": number, "quantum-ms": 5, "dcs": []string{"a"}, "models": []string{"k"},
		"classes": []object{
			{"name": "order", "semantics": "token", "key-scope": "all", "in-order": true, "promise-ms": 3000,
				"deadline-ms": 12000, "importance": 1, "late-share": 0.3, "window-ms": 10000},
			{"name": "status", "semantics": "pure", "promise-ms": 1500, "deadline-ms": 8000, "importance": 2, "late-share": 0.1},
			{"name": "payment", "semantics": "side_effect", "promise-ms": 3000, "deadline-ms": 10000, "importance": 1, "late-share": 0.3},
		},
		"tenants":     []object{{"name": "town", "quota-rps": 200}},
		"family-info": object{"bundle-max": []int{1}, "max-calls": 12, "routes-apart": []bool{false}, "late": "linear"},
		"limits": object{"cancelling": true, "conn-idle-ms": 15000, "connect-timeout-ms": 1500, "max-attempts": 6,
			"max-retry-after-ms": 3000, "most-held": 200, "retry-after": true},
		"contract": object{"answer-slack-ms": 20, "cold-share": 0.2, "warm-up-ms": 14000, "fall-ms": 1500,
			"fall-multiple": 2, "order-settle-ms": 100, "stop-sending-within-ms": 1000},
	}
}

// courier is a courier process, over its restarts.
type courier struct {
	play   *play
	name   string
	listen string
	config object
	env    []string
	state  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newCourier prepares a courier; env are further variables.
func (p *play) newCourier(name, discovery string, settings object, env ...string) *courier {
	c := &courier{play: p, name: name, listen: p.freeAddr(), env: env, state: filepath.Join(p.dir, "state-"+name)}
	p.must(os.MkdirAll(c.state, 0o700))
	c.config = object{
		"name": name, "listen": c.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "settings": settings,
	}
	return c
}

// start starts the process and waits until it answers PING.
func (c *courier) start() {
	p := c.play
	path := p.writeJSON("config-"+c.name+".json", c.config)
	log, err := os.OpenFile(filepath.Join(p.dir, "log-"+c.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.must(err)
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		log, err = os.OpenFile(filepath.Join(keep, "log-"+c.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		p.must(err)
	}
	cmd := exec.Command("/bin/sh", "-c", p.run)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_STATE="+c.state, "TMPDIR="+p.dir)
	for _, name := range []string{"PUSH", "PLUGINS", "DIRECTORY", "FLEET", "PARTITIONS", "IDLE"} {
		cmd.Env = append(cmd.Env, "SNOWJUNCTION_"+name+"=") // the files of deploy
	}
	cmd.Env = append(cmd.Env, c.env...)
	cmd.Stdout, cmd.Stderr = log, log
	p.must(cmd.Start())
	log.Close()
	done := make(chan struct{})
	c.mu.Lock()
	c.cmd, c.done = cmd, done
	c.mu.Unlock()
	p.mu.Lock()
	p.processes[c] = true
	ended := p.ended
	p.mu.Unlock()
	if ended {
		c.kill()
	}
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	for range 400 {
		if reply, err := c.ping(); err == nil && reply == "+PONG" {
			p.note("courier %s is ready", c.name)
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	text, _ := os.ReadFile(filepath.Join(p.dir, "log-"+c.name))
	p.cannotRun("courier %s is not ready: %s", c.name, tail(string(text)))
}

func tail(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], " | ")
}

func (c *courier) ping() (string, error) {
	cl, err := dialClient(c.listen)
	if err != nil {
		return "", err
	}
	defer cl.close()
	if err := cl.send("PING"); err != nil {
		return "", err
	}
	return cl.reply(time.Second)
}

func (c *courier) pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return 0
	}
	return c.cmd.Process.Pid
}

// kill ends the process with SIGKILL.
func (c *courier) kill() {
	c.mu.Lock()
	cmd, done := c.cmd, c.done
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	c.play.note("courier %s: SIGKILL", c.name)
	_ = cmd.Process.Kill()
	<-done
	c.play.mu.Lock()
	delete(c.play.processes, c)
	c.play.mu.Unlock()
}

// alive reports whether the process still runs.
func (c *courier) alive() bool {
	c.mu.Lock()
	done := c.done
	c.mu.Unlock()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

func (c *courier) signal(s syscall.Signal) {
	c.mu.Lock()
	cmd := c.cmd
	c.mu.Unlock()
	c.play.note("courier %s: %v", c.name, s)
	_ = cmd.Process.Signal(s)
}

// peakMemory returns the process's largest resident size in bytes.
func (c *courier) peakMemory() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}
