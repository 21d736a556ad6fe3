package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an entry of discovery's list.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// platform is the agent on the courier's machine: discovery's list, and the notices.
type platform struct {
	play       *play
	addr       string
	mu         sync.Mutex
	generation uint64
	list       []instance
	changes    []change
	changed    chan struct{}
	notices    map[string]string // state by message id
}

type change struct {
	generation uint64
	entry      instance
}

func (p *play) newPlatform(list []instance) *platform {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err)
	f := &platform{play: p, addr: l.Addr().String(), generation: 1, list: list, changed: make(chan struct{}), notices: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", f.hosts)
	mux.HandleFunc("POST /v1/outcomes", f.outcomes)
	go func() { _ = http.Serve(l, mux) }()
	return f
}

// change publishes changed entries.
func (f *platform) change(entries ...instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	for _, e := range entries {
		f.changes = append(f.changes, change{f.generation, e})
		kept := f.list[:0:0]
		for _, x := range f.list {
			if x.InstanceID != e.InstanceID {
				kept = append(kept, x)
			}
		}
		if f.list = kept; e.Lifecycle != "Gone" {
			f.list = append(f.list, e)
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *platform) hosts(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	f.mu.Lock()
	for over := false; watch && after >= f.generation && !over; {
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			over = true
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
	}
	answer := object{"generation": f.generation, "reset": !watch, "instances": f.list}
	if watch {
		entries := []instance{}
		for _, c := range f.changes {
			if c.generation > after {
				entries = append(entries, c.entry)
			}
		}
		answer["instances"] = entries
	}
	b, _ := json.Marshal(answer)
	f.mu.Unlock()
	_, _ = w.Write(b)
}

func (f *platform) outcomes(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	for {
		var n struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		err := d.Decode(&n)
		if err == io.EOF {
			break
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f.play.note("notice: %s %s", n.ID, n.State)
		f.mu.Lock()
		f.notices[n.ID] = n.State
		f.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *platform) notice(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices[id]
}

// endpoint is an endpoint of a partner system over HTTP/1.1.
type endpoint struct {
	play *play
	name string
	dest int
	addr string
	// answer decides about a call: it may wait, and returns the status and further headers. A status of 0
	// ends the connection without an answer.
	answer func(c *incoming) (status int, headers map[string]string)

	mu    sync.Mutex
	calls []*incoming
}

// incoming is a call that an endpoint received, from its last byte on.
type incoming struct {
	id, token  string
	body       string
	began      float64 // ms since the start of the case
	over       float64 // 0 while it is out
	status     int
	clientGone <-chan struct{}
}

func (p *play) newEndpoint(name string, dest int, answer func(c *incoming) (int, map[string]string)) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err)
	e := &endpoint{play: p, name: name, dest: dest, addr: l.Addr().String(), answer: answer}
	go func() { _ = http.Serve(l, http.HandlerFunc(e.serve)) }()
	return e
}

func (e *endpoint) entry() instance {
	return instance{InstanceID: e.name, HostPort: e.addr, Zone: "a", MachineType: "k", Cell: e.dest, Lifecycle: "Ready", Weight: 1}
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/inbox" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := &incoming{id: r.Header.Get("X-Request-ID"), token: r.Header.Get("Idempotency-Key"), body: string(body), began: e.play.now(), clientGone: r.Context().Done()}
	e.mu.Lock()
	e.calls = append(e.calls, c)
	e.mu.Unlock()
	e.play.note("%s: call %s begins", e.name, c.id)
	status, headers := e.answer(c)
	e.mu.Lock()
	c.over, c.status = e.play.now(), status
	e.mu.Unlock()
	if status == 0 {
		e.play.note("%s: call %s ends without an answer", e.name, c.id)
		panic(http.ErrAbortHandler)
	}
	e.play.note("%s: call %s is answered %d", e.name, c.id, status)
	for name, value := range headers {
		w.Header().Set(name, value)
	}
	w.WriteHeader(status)
	fmt.Fprint(w, "done")
}

// received returns the calls so far.
func (e *endpoint) received() []incoming {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []incoming
	for _, c := range e.calls {
		out = append(out, *c)
	}
	return out
}

// after returns an answer of 200 after a time, also if the caller has gone: what has begun runs on.
func after(d time.Duration) func(*incoming) (int, map[string]string) {
	return func(*incoming) (int, map[string]string) {
		time.Sleep(d)
		return 200, nil
	}
}
