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

// Instance is an entry of the directory's list.
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

// List returns the endpoints as directory entries, all with lifecycle Ready.
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

// Directory serves a list of endpoints and receives notices, with the platform's protocol.
type Directory struct {
	mu                sync.Mutex
	server            *http.Server
	addr              string
	generation        uint64
	list              []Instance
	positions         map[string]int    // position in list by instance ID
	changes           []change          // oldest first
	discardedChanges  int               // number of older changes that were discarded
	indexes           []*partitionIndex // one per number of partitions, the most recently used first
	ignoresPartitions bool              // ignores the request parameters that name partitions
	oldestKnown       uint64            // all changes after this generation are kept
	changed           chan struct{}     // closed at each change
	fixedResponse     []byte            // response to every request instead of the list; nil means none
	silent            bool
	lastWatched       uint64 // highest generation named by a watch
	notices           map[string][]Notice
	noticesReceived   int
	serving           sync.WaitGroup
	onWatch           func(from string, generation uint64, concerns func(destination uint32) bool)
	cache             map[cacheKey][]byte // cached responses of generation cacheGeneration
	cacheGeneration   uint64
	cacheBytes        int // bytes of the cached responses other than the whole list
	traffic           trafficCounter
}

// cacheKey identifies a cached response of one generation.
type cacheKey struct {
	full  bool
	after uint64
	parts string // the partitions, as text; empty means all
}

// maxCacheBytes limits the bytes of cached responses, not counting the whole list.
const maxCacheBytes = 16 << 20

// change is a changed entry, with the previous state of the entry.
type change struct {
	generation   uint64
	instance     Instance
	previousCell uint32 // valid if wasListed
	wasListed    bool   // whether the entry was listed before
}

// Notice reports a final result other than a delivery.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMs int64  `json:"after_ms"`
}

// maxChanges is the number of changes kept. A client that has missed more receives the whole list.
const maxChanges = 1 << 17

// NewDirectory starts a directory on a loopback address.
func NewDirectory(list []Instance) (*Directory, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open the directory: %w", err)
	}
	d := &Directory{addr: l.Addr().String(), changed: make(chan struct{}), notices: map[string][]Notice{}}
	d.Replace(list)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.handleHosts)
	mux.HandleFunc("POST /v1/outcomes", d.handleOutcomes)
	d.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second, ConnContext: withDedicatedAddress}
	d.serving.Go(func() { _ = d.server.Serve(d.traffic.countBytes(l)) })
	return d, nil
}

// Addr returns the address that the directory listens on.
func (d *Directory) Addr() string { return d.addr }

// Close stops the directory and closes its connections.
func (d *Directory) Close() {
	_ = d.server.Close()
	d.serving.Wait()
}

// Replace replaces the list and returns the new generation. Watchers receive the whole list.
func (d *Directory) Replace(list []Instance) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.positions, d.changes = append([]Instance(nil), list...), map[string]int{}, nil
	d.discardedChanges, d.indexes = 0, nil
	for i, x := range d.list {
		d.positions[x.InstanceID] = i
	}
	d.generation++
	d.oldestKnown = d.generation
	d.notifyWatchers()
	return d.generation
}

// Change publishes changed entries as one generation, which it returns. Entries with lifecycle Gone
// are removed from the list.
func (d *Directory) Change(entries ...Instance) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, x := range entries {
		i, ok := d.positions[x.InstanceID]
		c := change{generation: d.generation, instance: x, wasListed: ok}
		if ok {
			c.previousCell = d.list[i].Cell
		}
		switch {
		case x.Lifecycle == "Gone" && ok:
			last := len(d.list) - 1
			for _, n := range d.indexes {
				n.remove(c.previousCell, i, d.list[last].Cell)
			}
			d.list[i] = d.list[last]
			d.positions[d.list[i].InstanceID] = i
			d.list = d.list[:last]
			delete(d.positions, x.InstanceID)
		case x.Lifecycle == "Gone":
		case ok:
			for _, n := range d.indexes {
				n.move(c.previousCell, x.Cell, i)
			}
			d.list[i] = x
		default:
			for _, n := range d.indexes {
				n.add(x.Cell, len(d.list))
			}
			d.positions[x.InstanceID] = len(d.list)
			d.list = append(d.list, x)
		}
		for _, n := range d.indexes {
			n.recordChange(c, d.discardedChanges+len(d.changes))
		}
		d.changes = append(d.changes, c)
	}
	if excess := len(d.changes) - maxChanges; excess > 0 {
		d.oldestKnown = d.changes[excess-1].generation
		for _, c := range d.changes[:excess] {
			for _, n := range d.indexes {
				n.discardChange(c)
			}
		}
		d.changes, d.discardedChanges = append([]change(nil), d.changes[excess:]...), d.discardedChanges+excess
	}
	d.notifyWatchers()
	return d.generation
}

// SetFixedResponse makes raw the response to every request, until it is called with nil.
func (d *Directory) SetFixedResponse(raw []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fixedResponse = raw
	d.notifyWatchers()
}

// SetSilent makes the directory leave requests for the list unanswered. It still receives notices.
func (d *Directory) SetSilent(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = down
	d.notifyWatchers()
}

// notifyWatchers wakes up the pending watches.
func (d *Directory) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// LastWatchedGeneration returns the highest generation that a courier has named in a watch.
func (d *Directory) LastWatchedGeneration() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastWatched
}

// Notices returns the notices received, by message ID.
func (d *Directory) Notices() map[string][]Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]Notice{}
	for id, n := range d.notices {
		out[id] = append([]Notice(nil), n...)
	}
	return out
}

// handleHosts handles requests for the list, including long polls (watches).
func (d *Directory) handleHosts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.mu.Lock()
	ignores := d.ignoresPartitions
	d.mu.Unlock()
	var filter partitionFilter
	if !ignores {
		var err error
		if filter, err = parsePartitionFilter(q); err != nil {
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
		d.lastWatched = max(d.lastWatched, after)
		onWatch := d.onWatch
		d.mu.Unlock()
		if onWatch != nil {
			onWatch(connectionName(r), after, filter.covers)
		}
	}
	d.traffic.calls.Add(1)
	countRequest(r, watching)
	for expired := false; ; {
		d.mu.Lock()
		changed, silent, fixed := d.changed, d.silent, d.fixedResponse
		var text []byte
		if !silent && fixed == nil && (!watching || expired || d.hasNews(after, filter)) {
			startedAt := time.Now()
			text = d.encodeAnswer(after, watching, filter)
			d.traffic.answering.Add(int64(time.Since(startedAt)))
		}
		d.mu.Unlock()
		if fixed != nil && !silent {
			text = fixed
		}
		if text != nil {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			startedAt := time.Now()
			_, _ = w.Write(text)
			d.traffic.answering.Add(int64(time.Since(startedAt)))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired, timeout = true, nil
		case <-r.Context().Done():
			return
		}
	}
}

// hasNews reports whether there is something to send to a watch of a client at generation after.
func (d *Directory) hasNews(after uint64, filter partitionFilter) bool {
	if filter.partitions == 0 || after < d.oldestKnown || after > d.generation {
		return after != d.generation
	}
	return d.changedSince(filter, after)
}

// encodeAnswer returns the encoded changes since generation after, or the whole list if those are
// not kept or the request is not a watch.
func (d *Directory) encodeAnswer(after uint64, watching bool, filter partitionFilter) []byte {
	full := !watching || after < d.oldestKnown || after > d.generation
	key := cacheKey{full: full, parts: filter.key}
	if !full {
		key.after = after
	}
	if d.cacheGeneration != d.generation {
		d.cache, d.cacheGeneration, d.cacheBytes = map[cacheKey][]byte{}, d.generation, 0
	}
	if b, ok := d.cache[key]; ok {
		return b
	}
	list := []Instance{}
	switch {
	case full && filter.partitions > 0:
		list = d.entriesOf(filter)
	case full:
		list = d.list
	case filter.partitions > 0:
		list = lastChanges(d.changesOf(filter, after))
	default:
		for _, c := range d.changes {
			if c.generation > after {
				list = append(list, c.instance)
			}
		}
		list = lastChanges(list)
	}
	response := map[string]any{"generation": d.generation, "reset": full, "instances": list}
	if filter.partitions > 0 {
		response["partitions"] = filter.partitions
	}
	b, _ := json.Marshal(response)
	wholeList := cacheKey{full: true}
	if key != wholeList {
		if d.cacheBytes += len(b); d.cacheBytes > maxCacheBytes {
			kept, ok := d.cache[wholeList]
			d.cache, d.cacheBytes = map[cacheKey][]byte{}, len(b)
			if ok {
				d.cache[wholeList] = kept
			}
		}
	}
	d.cache[key] = b
	return b
}

// lastChanges returns the last change of each entry, in order.
func lastChanges(list []Instance) []Instance {
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

// handleOutcomes receives notices, one JSON object per line.
func (d *Directory) handleOutcomes(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(io.LimitReader(r.Body, 1<<20))
	var notices []Notice
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var n Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil || n.ID == "" {
			http.Error(w, "malformed notice", http.StatusBadRequest)
			return
		}
		notices = append(notices, n)
	}
	d.mu.Lock()
	for _, n := range notices {
		d.notices[n.ID] = append(d.notices[n.ID], n)
		d.noticesReceived++
	}
	d.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
