package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"snowjunction/internal/front/platform"
	"snowjunction/internal/latency"
	"snowjunction/internal/rig"
	"snowjunction/internal/scale"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

const (
	shardsMost   = 8 // loops that hollow couriers share
	holdWithin   = 15 * time.Minute
	realsAtOnce  = 8
	tellEvery    = 10 * time.Second
	greetWithin  = 2 * time.Minute
	lookAgain    = 200 * time.Millisecond
	tellNotes    = 500_000
	downFor      = time.Second // a courier that is restarted, at least
	realSockets  = 1024
	realMemoryMB = 128 // as the fleet to come allows
)

// force follows how changes of the list come into force.
type force struct {
	mu      sync.Mutex
	changes []told
	held    map[string]uint64 // generation, by a watcher's address
	hist    *latency.Histogram
	heard   int64
}

type told struct {
	generation  uint64
	at          time.Time
	destination uint32
}

// watched takes a watch, which says what is held of the destinations that it concerns.
func (f *force) watched(from string, generation uint64, concerns func(destination uint32) bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	was, ok := f.held[from]
	f.held[from] = generation
	if !ok || generation <= was {
		return
	}
	for _, c := range f.changes {
		if c.generation > was && c.generation <= generation && concerns(c.destination) {
			f.hist.Add(now.Sub(c.at))
			f.heard++
		}
	}
}

// change tells a change.
func (t *fleet) change(n int) {
	t.force.mu.Lock()
	defer t.force.mu.Unlock()
	x := &t.list[n]
	x.Weight++
	at := time.Now()
	t.force.changes = append(t.force.changes, told{t.directory.Change(*x), at, x.Cell})
}

func (t *fleet) member(n int) map[string]any {
	return rig.Member(t.settings, n, t.plan.Couriers, t.plan.Zone(n), t.zones)
}

// start starts all couriers and waits until each holds the list.
func (t *fleet) start() error {
	p := t.plan
	if hollow := p.Couriers - p.Real; hollow > 0 {
		n := min(shardsMost, runtime.GOMAXPROCS(0), hollow)
		for range n {
			s, err := newShard(t.machine.Files) // its table goes by descriptors, of which the process has others, too
			if err != nil {
				return err
			}
			t.shards = append(t.shards, s)
		}
	}
	all, failed := newStarts(), make(chan error, p.Couriers)
	ended := make(chan struct{})
	defer close(ended)
	t.work.Go(func() { t.follow(ended) })
	reals := make(chan struct{}, realsAtOnce)
	var wg sync.WaitGroup
	for n := range p.Couriers {
		if p.IsReal(n) {
			wg.Go(func() {
				reals <- struct{}{}
				defer func() { <-reals }()
				failed <- t.startReal(n)
			})
			continue
		}
		t.calm()
		s, held := t.shards[n%len(t.shards)], all.one()
		h, err := newHollow(&t.wires, s, n, t.member(n), held)
		if err != nil {
			return err
		}
		t.hollow[n] = h
		s.on(func() { err = h.begin() })
		if err != nil {
			return err
		}
	}
	wg.Wait()
	for range p.Real {
		if err := <-failed; err != nil {
			return err
		}
	}
	if err := all.wait(holdWithin); err != nil {
		return err
	}
	for limit := time.Now().Add(holdWithin); t.watchers() < p.Couriers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d couriers watch the list after %v", t.watchers(), p.Couriers, holdWithin)
		}
	}
	return nil
}

// greeted waits until hardly a datagram goes any more.
func (t *fleet) greeted() {
	begun := time.Now()
	for last := int64(-1); time.Since(begun) < greetWithin; {
		t.sleep(lookAgain)
		t.calm()
		told := t.told.Load()
		if last >= 0 && told-last <= int64(t.plan.Couriers)/10 {
			return
		}
		if last/tellNotes != told/tellNotes {
			fmt.Fprintf(os.Stderr, "%.0f s: %d datagrams, %d of them greetings\n", time.Since(begun).Seconds(), told, t.greetings.Load())
		}
		last = told
	}
}

// calm waits until what couriers have brought up to now has been looked at.
func (t *fleet) calm() {
	for _, s := range t.shards {
		s.on(func() {})
	}
}

// follow tells now and then how many couriers hold the list.
func (t *fleet) follow(ended chan struct{}) {
	clock := time.NewTicker(tellEvery)
	defer clock.Stop()
	for begun := time.Now(); ; {
		select {
		case <-ended:
			return
		case <-t.ending:
			return
		case <-clock.C:
			fmt.Fprintf(os.Stderr, "%.0f s: %d of %d couriers hold the list\n", time.Since(begun).Seconds(), t.watchers(), t.plan.Couriers)
		}
	}
}

// watchers is how many connections have watched the list.
func (t *fleet) watchers() int {
	t.force.mu.Lock()
	defer t.force.mu.Unlock()
	return len(t.force.held)
}

// startReal starts a process, again if it has been there.
func (t *fleet) startReal(n int) error {
	t.mu.Lock()
	m := t.real[n]
	t.mu.Unlock()
	if m == nil {
		m = &member{number: n, dir: filepath.Join(t.dir, fmt.Sprint(n)), past: map[string]float64{}}
	}
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	discovery, err := t.door(n)
	if err != nil {
		return err
	}
	c, err := rig.Start(t.exe, rig.Config{
		Dir: m.dir, Discovery: discovery, Listen: t.clients(n), Partitions: t.partitions(), Settings: t.member(n), MemoryMB: realMemoryMB, Sockets: realSockets,
		Peers: t.each, Number: n, Seed: courierSeed(t.plan, n),
		Idle: map[string]any{"list_mb": t.lists.Bytes>>20 + 1, "list_entries": t.lists.Entries},
	})
	if err != nil {
		return err
	}
	t.mu.Lock()
	m.c, m.client = c, load.New(c.Addr, "")
	t.real[n] = m
	t.mu.Unlock()
	return nil
}

// flow has messages come to all couriers. The first has all greet up to 1,024 others each:
// that is over before the rest come, or what it takes of the loops' time would have couriers
// hear late, and greet again.
func (t *fleet) flow() {
	first := true
	for n := range t.plan.Couriers {
		h := t.hollow[n]
		if h == nil {
			continue
		}
		h.shard.on(func() {
			h.flows = true
			if first {
				h.arrive(0)
			} else {
				h.next()
			}
		})
		if first {
			t.greeted()
		}
		first = false
	}
	for _, m := range t.real {
		t.work.Go(func() { t.traffic(m) })
	}
}

// traffic hands a real courier its messages.
func (t *fleet) traffic(m *member) {
	a := t.plan.Arrivals(m.number, t.plan.Listening(t.machine))
	if t.may != nil {
		a = t.plan.ArrivalsAt(m.number, t.may)
	}
	at := time.Now()
	for serial := 1; ; serial++ {
		after, dest, keyed := a.Next()
		if at = at.Add(after); !t.sleep(time.Until(at)) {
			return
		}
		t.mu.Lock()
		client := m.client
		t.mu.Unlock()
		x := message(m.number, serial, dest, keyed)
		t.work.Go(func() {
			if v, _, _ := client.Add(x); v != load.Unheard {
				t.handed.Add(1)
			}
		})
	}
}

// restart kills a courier and starts it again. A hollow one has kept nothing.
func (t *fleet) restart(n int) error {
	if h := t.hollow[n]; h != nil {
		h.shard.on(h.end)
		t.starts(n)
		if !t.sleep(downFor) {
			return nil
		}
		var err error
		h.shard.on(func() {
			if h.discovery, err = t.door(n); err == nil {
				err = h.begin()
			}
		})
		return err
	}
	m := t.real[n]
	line, err := m.c.Counters(false)
	if err != nil {
		return err
	}
	for _, name := range datagramNames {
		m.past[name] += rig.Number(line, "datagrams", name)
	}
	for name, v := range forwardedBy(line) {
		m.past[name] += v
	}
	if d, err := m.c.CPU(); err == nil {
		m.past["cpu"] += d.Seconds()
	}
	m.c.Kill()
	t.starts(n)
	if !t.sleep(downFor) {
		return nil
	}
	return t.startReal(n)
}

var datagramNames = []string{"sent", "sent_bytes", "received", "received_bytes", "strange", "oversize", "crowded"}

// reading is what all couriers have counted up to a moment.
type reading struct {
	at                  time.Time
	hollow, real        map[string]float64
	asks, grants        part
	state, accounts     float64 // of hollow couriers, at that moment
	accountBytes        float64
	realState           float64
	realHeap, realRSS   float64
	handed, unread, cut float64
	greetings           float64
	dir                 standin.Traffic
	partners            partner.Counts
}

func (t *fleet) read(collect bool) (r reading, err error) {
	r = reading{hollow: map[string]float64{}, real: map[string]float64{}, at: time.Now()}
	for _, s := range t.shards {
		r.hollow["cpu"] += s.cpu().Seconds()
		s.on(func() {
			r.hollow["open"] += float64(s.engine.OpenByKind()[platform.ForwardKind])
			for _, h := range t.hollow {
				if h.shard == s {
					r.add(h, collect)
				}
			}
		})
	}
	for _, m := range t.real {
		line, err := m.c.Counters(collect)
		if err != nil {
			return r, err
		}
		for _, name := range datagramNames {
			r.real[name] += m.past[name] + rig.Number(line, "datagrams", name)
		}
		cpu, err := m.c.CPU()
		if err != nil {
			return r, err
		}
		r.real["cpu"] += m.past["cpu"] + cpu.Seconds()
		for name, v := range forwardedBy(line) {
			r.real[name] += m.past[name] + v
		}
		r.real["open"] += rig.Number(line, "kinds", platform.ForwardKind)
		r.real["entries"] += rig.Number(line, "idle", "listed")
		r.real["list"] += rig.Number(line, "idle", "table_bytes")
		r.unread += rig.Number(line, "n", "unread")
		r.realState += rig.Number(line, "state", "carried_bytes") + rig.Number(line, "state", "account_bytes")
		r.realHeap += rig.Number(line, "heap")
		if rss, err := m.c.Resident(); err == nil {
			r.realRSS += float64(rss)
		}
	}
	r.real["handed"] = float64(t.handed.Load())
	r.handed += r.real["handed"]
	r.cut, r.greetings, r.dir = float64(t.cut.Load()), float64(t.greetings.Load()), t.directory.Traffic()
	t.farm.Each(func(_ uint32, p *partner.Partner) { r.partners.Add(p.Counts) })
	return r, nil
}

// add adds what a hollow courier has counted; it is called on its loop.
func (r *reading) add(h *hollow, footprint bool) {
	n := h.past
	if h.alive {
		n = sum(n, h.socket.Counts())
		r.unread += float64(h.core.Counters.PeerMessagesInvalid)
	}
	r.unread += float64(h.unread)
	for name, v := range map[string]uint64{
		"sent": n.Sent, "sent_bytes": n.SentBytes, "received": n.Received, "received_bytes": n.ReceivedBytes,
		"strange": n.UnknownSender, "oversize": n.Oversize, "crowded": n.Overflow,
	} {
		r.hollow[name] += float64(v)
	}
	r.asks, r.grants = r.asks.plus(h.asks, 1), r.grants.plus(h.grants, 1)
	r.handed += float64(h.serial)
	r.hollow["handed"] += float64(h.serial)
	for name, v := range h.forwarded() {
		r.hollow[name] += v
	}
	if footprint {
		f := h.core.Footprint()
		r.hollow["list"] += float64(f.ListBytes)
		r.hollow["entries"] += float64(f.ListEntries)
		r.state += float64(f.Carried())
		r.accounts += float64(f.QuotaLedgers)
		r.accountBytes += float64(f.QuotaLedgerBytes)
	}
}

func (p part) plus(x part, times float64) part {
	return part{
		p.Sent + times*x.Sent, p.SentBytes + times*x.SentBytes, p.Received + times*x.Received, p.ReceivedBytes + times*x.ReceivedBytes,
	}
}

// measure has the run's events happen and fills in what they came to.
func (t *fleet) measure(f *ScaleFigures, heapBefore float64) error {
	from, err := t.read(false)
	if err != nil {
		return err
	}
	wrong := make(chan error, t.plan.Restarts)
	var events sync.WaitGroup
	at := func(m scale.Event, do func()) {
		events.Go(func() {
			if t.sleep(time.Until(from.at.Add(m.At))) {
				do()
			}
		})
	}
	for _, m := range t.plan.ChangeEvents() {
		at(m, func() { t.change(m.Index) })
	}
	for _, m := range t.plan.CutEvents() {
		at(m, func() {
			t.parted.Store(int64(m.Index) + 1)
			t.sleep(m.Duration)
			t.parted.Store(0)
		})
	}
	for _, m := range t.plan.RestartEvents() {
		at(m, func() { wrong <- t.restart(m.Index) })
	}
	t.sleep(time.Until(from.at.Add(span(t.plan.Seconds))))
	events.Wait()
	close(wrong)
	for err := range wrong {
		if err != nil {
			return err
		}
	}
	to, err := t.read(true)
	if err != nil {
		return err
	}
	t.fill(f, from, to)
	if n := t.plan.Couriers - t.plan.Real; n > 0 {
		f.HeapBytes = (heapNow() - heapBefore) / float64(n)
	}
	return nil
}

func (t *fleet) fill(f *ScaleFigures, from, to reading) {
	f.Seconds = to.at.Sub(from.at).Seconds()
	rate := func(a, b float64) float64 { return (b - a) / f.Seconds }
	figures := func(n int, a, b map[string]float64) *CourierFigures {
		each := func(name string) float64 { return rate(a[name], b[name]) / float64(n) }
		return &CourierFigures{
			ListBytes: b["list"] / float64(n), ListEntries: b["entries"] / float64(n), Forwarding: t.forwarding(n, each, b["open"]),
			Couriers: n, Sent: each("sent"), SentBytes: each("sent_bytes"), Received: each("received"),
			ReceivedBytes: each("received_bytes"), CPU: each("cpu"),
		}
	}
	if n := t.plan.Real; n > 0 {
		f.Real = figures(n, from.real, to.real)
		f.Real.StateBytes, f.Real.HeapBytes, f.Real.ResidentBytes = to.realState/float64(n), to.realHeap/float64(n), to.realRSS/float64(n)
	}
	if n := float64(t.plan.Couriers - t.plan.Real); n > 0 {
		f.Hollow = figures(int(n), from.hollow, to.hollow)
		f.Hollow.StateBytes = (to.state + to.accountBytes) / n
		role := func(a, b part) *RoleFigures {
			d := b.plus(a, -1)
			k := n * f.Seconds
			return &RoleFigures{Sent: d.Sent / k, SentBytes: d.SentBytes / k, Received: d.Received / k, ReceivedBytes: d.ReceivedBytes / k}
		}
		f.Carrier, f.Keeper = role(from.asks, to.asks), role(from.grants, to.grants)
		f.Carrier.StateBytes, f.Keeper.StateBytes, f.Keeper.Accounts = to.state/n, to.accountBytes/n, to.accounts/n
	}
	f.Directory = DirectoryTraffic{
		StateBytes: float64(to.dir.Bytes), Calls: rate(float64(from.dir.Calls), float64(to.dir.Calls)),
		In: rate(float64(from.dir.In), float64(to.dir.In)), Out: rate(float64(from.dir.Out), float64(to.dir.Out)),
		Answering: rate(from.dir.Answering.Seconds(), to.dir.Answering.Seconds()), StartOut: f.Directory.StartOut,
	}
	both := func(r reading, name string) float64 { return r.hollow[name] + r.real[name] }
	gone := both(to, "sent") - both(from, "sent")
	come := both(to, "received") - both(from, "received")
	if gone > 0 {
		f.Lost = max(0, 1-come/gone)
	}
	f.Cut = rate(from.cut, to.cut)
	if f.Hollow != nil {
		f.Hollow.Greetings = rate(from.greetings, to.greetings) / float64(f.Hollow.Couriers)
		f.StartGreetings = from.greetings
	}
	f.Crowded = both(to, "crowded")
	f.Dropped = both(to, "strange") + both(to, "oversize") + to.unread
	f.Messages = rate(from.handed, to.handed)
	if f.Messages > 0 {
		hello := to.greetings - from.greetings // each is a byte
		f.Notes = (gone - hello) / f.Seconds / f.Messages
		f.NoteBytes = (both(to, "sent_bytes") - both(from, "sent_bytes") - hello) / f.Seconds / f.Messages
	}
	f.Delivered = rate(float64(from.partners.Delivered), float64(to.partners.Delivered))
	f.Refused = rate(float64(from.partners.Refused), float64(to.partners.Refused))
	t.restarted(&f.Start)
	t.force.mu.Lock()
	defer t.force.mu.Unlock()
	h := t.force.hist
	f.Force = ForceFigures{Changes: len(t.force.changes), Expect: t.concerned(), Heard: t.force.heard}
	if t.force.heard > 0 {
		f.Force.MeanMs, f.Force.P90Ms, f.Force.P99Ms, f.Force.LastMs = h.Mean(), h.Ms(90), h.Ms(99), h.Max()
	}
}

func (t *fleet) close() {
	close(t.ending)
	for _, m := range t.real {
		m.c.Kill()
	}
	t.work.Wait()
	for _, m := range t.real {
		m.client.Close()
	}
	for _, h := range t.hollow {
		h.shard.on(func() {
			if h.alive {
				h.end()
			}
		})
	}
	for _, s := range t.shards {
		s.close()
	}
	if t.directory != nil {
		t.directory.Close()
	}
	if t.farm != nil {
		t.farm.Close()
	}
	if t.place != nil {
		t.place.Close()
	}
	os.RemoveAll(t.dir)
}
