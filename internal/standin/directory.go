package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Instance is an entry of the list that a directory tells.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        uint32  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// List puts endpoints in the directory's form, all Ready.
func List(ends []Endpoint) []Instance {
	var out []Instance
	for _, e := range ends {
		out = append(out, Instance{
			InstanceID: e.Name, HostPort: e.Addr, Zone: "a", MachineType: "k", Cell: e.Destination,
			Lifecycle: "Ready", Weight: 1,
		})
	}
	return out
}

// Directory lists endpoints and takes notices, by the platform's protocol.
type Directory struct {
	mu         sync.Mutex
	server     *http.Server
	addr       string
	generation uint64
	list       []Instance
	at         map[string]int // place in list by name
	changes    []change       // the youngest at the end
	dropped    int            // changes before those
	indexes    []*index       // by number of partitions, the last used first
	ignores    bool           // parameters that name partitions
	floor      uint64         // changes since then are known
	grown      chan struct{}  // closed at each change
	raw        []byte         // what is answered instead, if anything
	down       bool
	heard      uint64 // the generation that a watch has named last
	notices    map[string][]Notice
	told       int
	started    sync.WaitGroup
	watched    func(from string, generation uint64, concerns func(destination uint32) bool)
	texts      map[textKey][]byte // answers at textsAt
	textsAt    uint64
	textsSize  int // bytes of those that are not the whole list
	traffic    traffic
}

// textKey tells answers of one generation apart.
type textKey struct {
	full  bool
	after uint64
	parts string // of which partitions; empty: of all
}

// textsMost bounds the bytes of answers that are kept besides the whole list.
const textsMost = 16 << 20

type change struct {
	generation uint64
	instance   Instance
	was        uint32 // the cell that its entry had
	had        bool   // it was listed
}

// Notice is an end that is no delivery.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMs int64  `json:"after_ms"`
}

// changesMost is how many changes are kept: who has missed more gets the whole
// list.
const changesMost = 1 << 17

// NewDirectory starts a directory on a loopback address.
func NewDirectory(list []Instance) (*Directory, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open the directory: %w", err)
	}
	d := &Directory{addr: l.Addr().String(), grown: make(chan struct{}), notices: map[string][]Notice{}}
	d.Replace(list)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.hosts)
	mux.HandleFunc("POST /v1/outcomes", d.outcomes)
	d.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second, ConnContext: behind}
	d.started.Go(func() { _ = d.server.Serve(d.traffic.listen(l)) })
	return d, nil
}

// Addr is where it listens.
func (d *Directory) Addr() string { return d.addr }

// Close ends it.
func (d *Directory) Close() {
	_ = d.server.Close()
	d.started.Wait()
}

// Replace puts another list in the place of the one told: watchers get it whole.
func (d *Directory) Replace(list []Instance) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.at, d.changes = append([]Instance(nil), list...), map[string]int{}, nil
	d.dropped, d.indexes = 0, nil
	for i, x := range d.list {
		d.at[x.InstanceID] = i
	}
	d.generation++
	d.floor = d.generation
	d.wake()
	return d.generation
}

// Change tells changed entries; those that are Gone leave the list.
func (d *Directory) Change(entries ...Instance) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, x := range entries {
		i, ok := d.at[x.InstanceID]
		c := change{generation: d.generation, instance: x, had: ok}
		if ok {
			c.was = d.list[i].Cell
		}
		switch {
		case x.Lifecycle == "Gone" && ok:
			last := len(d.list) - 1
			for _, n := range d.indexes {
				n.take(c.was, i, d.list[last].Cell)
			}
			d.list[i] = d.list[last]
			d.at[d.list[i].InstanceID] = i
			d.list = d.list[:last]
			delete(d.at, x.InstanceID)
		case x.Lifecycle == "Gone":
		case ok:
			for _, n := range d.indexes {
				n.move(c.was, x.Cell, i)
			}
			d.list[i] = x
		default:
			for _, n := range d.indexes {
				n.add(x.Cell, len(d.list))
			}
			d.at[x.InstanceID] = len(d.list)
			d.list = append(d.list, x)
		}
		for _, n := range d.indexes {
			n.change(c, d.dropped+len(d.changes))
		}
		d.changes = append(d.changes, c)
	}
	if over := len(d.changes) - changesMost; over > 0 {
		d.floor = d.changes[over-1].generation
		for _, c := range d.changes[:over] {
			for _, n := range d.indexes {
				n.drop(c)
			}
		}
		d.changes, d.dropped = append([]change(nil), d.changes[over:]...), d.dropped+over
	}
	d.wake()
	return d.generation
}

// Say has every answer be this text, until it is nil again.
func (d *Directory) Say(raw []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raw = raw
	d.wake()
}

// Down has it stay silent, and take notices all the same.
func (d *Directory) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

func (d *Directory) wake() {
	close(d.grown)
	d.grown = make(chan struct{})
}

// Heard is the youngest generation that a courier has said it holds.
func (d *Directory) Heard() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heard
}

// Notices are the ends told, by message.
func (d *Directory) Notices() map[string][]Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]Notice{}
	for id, n := range d.notices {
		out[id] = append([]Notice(nil), n...)
	}
	return out
}

func (d *Directory) hosts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.mu.Lock()
	ignores := d.ignores
	d.mu.Unlock()
	var of parts
	if !ignores {
		var err error
		if of, err = askedParts(q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	after, watching := uint64(0), q.Has("after")
	var timeout <-chan time.Time
	if watching {
		after, _ = strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		t := time.NewTimer(time.Duration(min(max(ms, 0), 60000)) * time.Millisecond)
		defer t.Stop()
		timeout = t.C
		d.mu.Lock()
		d.heard = max(d.heard, after)
		watched := d.watched
		d.mu.Unlock()
		if watched != nil {
			watched(from(r), after, of.concerns)
		}
	}
	d.traffic.calls.Add(1)
	asked(r, watching)
	for late := false; ; {
		d.mu.Lock()
		grown, down, raw := d.grown, d.down, d.raw
		var text []byte
		if !down && raw == nil && (!watching || late || d.differs(after, of)) {
			begun := time.Now()
			text = d.answer(after, watching, of)
			d.traffic.answering.Add(int64(time.Since(begun)))
		}
		d.mu.Unlock()
		if raw != nil && !down {
			text = raw
		}
		if text != nil {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			begun := time.Now()
			_, _ = w.Write(text)
			d.traffic.answering.Add(int64(time.Since(begun)))
			return
		}
		select {
		case <-grown:
		case <-timeout:
			late, timeout = true, nil
		case <-r.Context().Done():
			return
		}
	}
}

// differs tells whether a watch from a generation on is answered at once.
func (d *Directory) differs(after uint64, of parts) bool {
	if of.partitions == 0 || after < d.floor || after > d.generation {
		return after != d.generation
	}
	return d.news(of, after)
}

// answer is what is newer than a generation, or everything.
func (d *Directory) answer(after uint64, watching bool, of parts) []byte {
	full := !watching || after < d.floor || after > d.generation
	key := textKey{full: full, parts: of.text}
	if !full {
		key.after = after
	}
	if d.textsAt != d.generation {
		d.texts, d.textsAt, d.textsSize = map[textKey][]byte{}, d.generation, 0
	}
	if b, ok := d.texts[key]; ok {
		return b
	}
	list := []Instance{}
	switch {
	case full && of.partitions > 0:
		list = d.part(of)
	case full:
		list = d.list
	case of.partitions > 0:
		list = youngest(d.changesOf(of, after))
	default:
		for _, c := range d.changes {
			if c.generation > after {
				list = append(list, c.instance)
			}
		}
		list = youngest(list)
	}
	said := map[string]any{"generation": d.generation, "reset": full, "instances": list}
	if of.partitions > 0 {
		said["partitions"] = of.partitions
	}
	b, _ := json.Marshal(said)
	whole := textKey{full: true}
	if key != whole {
		if d.textsSize += len(b); d.textsSize > textsMost {
			kept, ok := d.texts[whole]
			d.texts, d.textsSize = map[textKey][]byte{}, len(b)
			if ok {
				d.texts[whole] = kept
			}
		}
	}
	d.texts[key] = b
	return b
}

// youngest keeps the last change of each entry, in order.
func youngest(list []Instance) []Instance {
	last := map[string]int{}
	for i, x := range list {
		last[x.InstanceID] = i
	}
	out := []Instance{}
	for i, x := range list {
		if last[x.InstanceID] == i {
			out = append(out, x)
		}
	}
	return out
}

func (d *Directory) outcomes(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(io.LimitReader(r.Body, 1<<20))
	var notices []Notice
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var n Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil || n.ID == "" {
			http.Error(w, "a notice cannot be read", http.StatusBadRequest)
			return
		}
		notices = append(notices, n)
	}
	d.mu.Lock()
	for _, n := range notices {
		d.notices[n.ID] = append(d.notices[n.ID], n)
		d.told++
	}
	d.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
