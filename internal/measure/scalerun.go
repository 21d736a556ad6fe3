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
	maxShards            = 8 // event loops that simulated couriers share
	startTimeout         = 15 * time.Minute
	concurrentRealStarts = 8
	progressInterval     = 10 * time.Second
	announceTimeout      = 2 * time.Minute
	announcePollInterval = 200 * time.Millisecond
	progressDatagrams    = 500_000
	restartDowntime      = time.Second // minimum downtime of a restarted courier
	realMaxSockets       = 1024
	realMemoryMB         = 128 // memory limit planned for the couriers of the fleet
)

// propagation measures how long list changes take to reach the couriers.
type propagation struct {
	mu            sync.Mutex
	changes       []listChange
	confirmed     map[string]uint64 // generation confirmed, by the watcher's address
	delays        *latency.Histogram
	confirmations int64
}

// listChange is a change of the directory's list, with the generation that contains it.
type listChange struct {
	generation  uint64
	at          time.Time
	destination uint32
}

// onWatch handles a watch request, which confirms the generation held for the watched destinations.
func (p *propagation) onWatch(from string, generation uint64, watches func(destination uint32) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, ok := p.confirmed[from]
	p.confirmed[from] = generation
	if !ok || generation <= previous {
		return
	}
	for _, c := range p.changes {
		if c.generation > previous && c.generation <= generation && watches(c.destination) {
			p.delays.Add(now.Sub(c.at))
			p.confirmations++
		}
	}
}

// changeEndpoint changes the weight of a listed endpoint and records the change.
func (t *fleet) changeEndpoint(n int) {
	t.propagation.mu.Lock()
	defer t.propagation.mu.Unlock()
	x := &t.list[n]
	x.Weight++
	at := time.Now()
	t.propagation.changes = append(t.propagation.changes, listChange{t.directory.Change(*x), at, x.Cell})
}

// memberSettings returns the settings of a courier.
func (t *fleet) memberSettings(n int) map[string]any {
	return rig.MemberSettings(t.settings, n, t.plan.Couriers, t.plan.Zone(n), t.zones)
}

// start starts all couriers and waits until each holds the list.
func (t *fleet) start() error {
	p := t.plan
	if simulated := p.Couriers - p.Real; simulated > 0 {
		n := min(maxShards, runtime.GOMAXPROCS(0), simulated)
		for range n {
			s, err := newShard(t.machine.Files) // the connection table is indexed by descriptor, and the process has other descriptors, too
			if err != nil {
				return err
			}
			t.shards = append(t.shards, s)
		}
	}
	limiter, results := newStartLimiter(), make(chan error, p.Couriers)
	ended := make(chan struct{})
	defer close(ended)
	t.tasks.Go(func() { t.reportProgress(ended) })
	realSlots := make(chan struct{}, concurrentRealStarts)
	var wg sync.WaitGroup
	for n := range p.Couriers {
		if p.IsReal(n) {
			wg.Go(func() {
				realSlots <- struct{}{}
				defer func() { <-realSlots }()
				results <- t.startReal(n)
			})
			continue
		}
		t.drainLoops()
		s, held := t.shards[n%len(t.shards)], limiter.acquire()
		courier, err := newSimulatedCourier(&t.sharedState, s, n, t.memberSettings(n), held)
		if err != nil {
			return err
		}
		t.simulated[n] = courier
		s.on(func() { err = courier.start() })
		if err != nil {
			return err
		}
	}
	wg.Wait()
	for range p.Real {
		if err := <-results; err != nil {
			return err
		}
	}
	if err := limiter.awaitAll(startTimeout); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); t.watchers() < p.Couriers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d couriers watch the list after %v", t.watchers(), p.Couriers, startTimeout)
		}
	}
	return nil
}

// awaitAnnouncements waits until the announcements have ended and few datagrams are sent.
func (t *fleet) awaitAnnouncements() {
	startedAt := time.Now()
	for last := int64(-1); time.Since(startedAt) < announceTimeout; {
		t.sleep(announcePollInterval)
		t.drainLoops()
		sent := t.sentDatagrams.Load()
		if last >= 0 && sent-last <= int64(t.plan.Couriers)/10 {
			return
		}
		if last/progressDatagrams != sent/progressDatagrams {
			fmt.Fprintf(os.Stderr, "%.0f s: %d datagrams, %d of them announcements\n", time.Since(startedAt).Seconds(), sent, t.announcements.Load())
		}
		last = sent
	}
}

// drainLoops waits until every loop has processed the events queued so far.
func (t *fleet) drainLoops() {
	for _, s := range t.shards {
		s.on(func() {})
	}
}

// reportProgress prints regularly how many couriers hold the list.
func (t *fleet) reportProgress(ended chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for startedAt := time.Now(); ; {
		select {
		case <-ended:
			return
		case <-t.stopping:
			return
		case <-ticker.C:
			fmt.Fprintf(os.Stderr, "%.0f s: %d of %d couriers hold the list\n", time.Since(startedAt).Seconds(), t.watchers(), t.plan.Couriers)
		}
	}
}

// watchers returns the number of addresses that have watched the list.
func (t *fleet) watchers() int {
	t.propagation.mu.Lock()
	defer t.propagation.mu.Unlock()
	return len(t.propagation.confirmed)
}

// realCourier returns a real courier, or nil if it has not been started. Couriers restart
// concurrently, and each restart changes the map.
func (t *fleet) realCourier(n int) *realCourier {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.real[n]
}

// startReal starts the process of a real courier, or restarts it.
func (t *fleet) startReal(n int) error {
	m := t.realCourier(n)
	if m == nil {
		m = &realCourier{number: n, dir: filepath.Join(t.dir, fmt.Sprint(n)), pastCounters: map[string]float64{}}
	}
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	discovery, err := t.directoryAddress(n)
	if err != nil {
		return err
	}
	c, err := rig.Start(t.exe, rig.Config{
		Dir: m.dir, Discovery: discovery, Listen: t.clientAddr(n), Partitions: t.partitions(), Settings: t.memberSettings(n), MemoryMB: realMemoryMB, Sockets: realMaxSockets,
		Peers: t.addrs, Number: n, Seed: courierSeed(t.plan, n),
		Idle: map[string]any{"list_mb": t.lists.Bytes>>20 + 1, "list_entries": t.lists.Entries},
	})
	if err != nil {
		return err
	}
	t.mu.Lock()
	m.courier, m.client = c, load.New(c.Addr, "")
	t.real[n] = m
	t.mu.Unlock()
	return nil
}

// startTraffic starts the traffic of all couriers. The first courier makes all others announce
// themselves to up to 1,024 peers each. startTraffic waits for that before it starts the rest:
// otherwise the load on the loops would make couriers receive messages late and announce themselves
// again.
func (t *fleet) startTraffic() {
	first := true
	for n := range t.plan.Couriers {
		courier := t.simulated[n]
		if courier == nil {
			continue
		}
		courier.shard.on(func() {
			courier.hasTraffic = true
			if first {
				courier.scheduleAfter(0)
			} else {
				courier.scheduleNext()
			}
		})
		if first {
			t.awaitAnnouncements()
		}
		first = false
	}
	for _, m := range t.real {
		t.tasks.Go(func() { t.submitMessages(m) })
	}
}

// submitMessages submits messages to a real courier.
func (t *fleet) submitMessages(m *realCourier) {
	arrivals := t.plan.Arrivals(m.number, t.plan.Listening(t.machine))
	if t.allowed != nil {
		arrivals = t.plan.ArrivalsAt(m.number, t.allowed)
	}
	at := time.Now()
	for serial := 1; ; serial++ {
		after, destination, keyed := arrivals.Next()
		if at = at.Add(after); !t.sleep(time.Until(at)) {
			return
		}
		t.mu.Lock()
		client := m.client
		t.mu.Unlock()
		x := newMessage(m.number, serial, destination, keyed)
		t.tasks.Go(func() {
			if v, _, _ := client.Submit(x); v != load.NoResponse {
				t.submitted.Add(1)
			}
		})
	}
}

// restart kills a courier and starts it again. A simulated one loses all state.
func (t *fleet) restart(n int) error {
	if courier := t.simulated[n]; courier != nil {
		courier.shard.on(courier.kill)
		t.markRestarted(n)
		if !t.sleep(restartDowntime) {
			return nil
		}
		var err error
		courier.shard.on(func() {
			if courier.discovery, err = t.directoryAddress(n); err == nil {
				err = courier.start()
			}
		})
		return err
	}
	m := t.realCourier(n)
	line, err := m.courier.Counters(false)
	if err != nil {
		return err
	}
	for _, name := range datagramCounterNames {
		m.pastCounters[name] += rig.NumberAt(line, "datagrams", name)
	}
	for name, v := range forwardCounters(line) {
		m.pastCounters[name] += v
	}
	if d, err := m.courier.CPU(); err == nil {
		m.pastCounters["cpu"] += d.Seconds()
	}
	m.courier.Kill()
	t.markRestarted(n)
	if !t.sleep(restartDowntime) {
		return nil
	}
	return t.startReal(n)
}

// datagramCounterNames are the datagram counters in a counters line.
var datagramCounterNames = []string{"sent", "sent_bytes", "received", "received_bytes", "strange", "oversize", "crowded"}

// reading is a snapshot of the counters of all couriers.
type reading struct {
	at                           time.Time
	simulated, real              map[string]float64
	requestTraffic, ownerTraffic roleTraffic
	state, accounts              float64 // of simulated couriers, at that moment
	accountBytes                 float64
	realState                    float64
	realHeap, realRSS            float64
	submitted, invalid, cut      float64
	announcements                float64
	directory                    standin.Traffic
	partners                     partner.Counts
}

// readCounters reads the counters of all couriers, partners and the directory. collect also runs a
// garbage collection in real couriers and reads the size of the state.
func (t *fleet) readCounters(collect bool) (r reading, err error) {
	r = reading{simulated: map[string]float64{}, real: map[string]float64{}, at: time.Now()}
	for _, s := range t.shards {
		r.simulated["cpu"] += s.cpu().Seconds()
		s.on(func() {
			r.simulated["open"] += float64(s.engine.OpenByKind()[platform.ForwardKind])
			for _, courier := range t.simulated {
				if courier.shard == s {
					r.addSimulated(courier, collect)
				}
			}
		})
	}
	for _, m := range t.real {
		line, err := m.courier.Counters(collect)
		if err != nil {
			return r, err
		}
		for _, name := range datagramCounterNames {
			r.real[name] += m.pastCounters[name] + rig.NumberAt(line, "datagrams", name)
		}
		cpu, err := m.courier.CPU()
		if err != nil {
			return r, err
		}
		r.real["cpu"] += m.pastCounters["cpu"] + cpu.Seconds()
		for name, v := range forwardCounters(line) {
			r.real[name] += m.pastCounters[name] + v
		}
		r.real["open"] += rig.NumberAt(line, "kinds", platform.ForwardKind)
		r.real["entries"] += rig.NumberAt(line, "idle", "listed")
		r.real["list"] += rig.NumberAt(line, "idle", "table_bytes")
		r.invalid += rig.NumberAt(line, "n", "unread")
		r.realState += rig.NumberAt(line, "state", "carried_bytes") + rig.NumberAt(line, "state", "account_bytes")
		r.realHeap += rig.NumberAt(line, "heap")
		if rss, err := m.courier.Resident(); err == nil {
			r.realRSS += float64(rss)
		}
	}
	r.real["handed"] = float64(t.submitted.Load())
	r.submitted += r.real["handed"]
	r.cut, r.announcements, r.directory = float64(t.cutDatagrams.Load()), float64(t.announcements.Load()), t.directory.Traffic()
	t.farm.Each(func(_ uint32, p *partner.Partner) { r.partners.Add(p.Counts) })
	return r, nil
}

// addSimulated adds the counters of a simulated courier. It has to run on the courier's loop.
func (r *reading) addSimulated(c *simulatedCourier, footprint bool) {
	n := c.pastDatagrams
	if c.running {
		n = addDatagramCounts(n, c.socket.Counts())
		r.invalid += float64(c.core.Counters.PeerMessagesInvalid)
	}
	r.invalid += float64(c.invalidMessages)
	for name, v := range map[string]uint64{
		"sent": n.Sent, "sent_bytes": n.SentBytes, "received": n.Received, "received_bytes": n.ReceivedBytes,
		"strange": n.UnknownSender, "oversize": n.Oversize, "crowded": n.Overflow,
	} {
		r.simulated[name] += float64(v)
	}
	r.requestTraffic, r.ownerTraffic = r.requestTraffic.plus(c.requestTraffic, 1), r.ownerTraffic.plus(c.ownerTraffic, 1)
	r.submitted += float64(c.serial)
	r.simulated["handed"] += float64(c.serial)
	for name, v := range c.totalForwarded() {
		r.simulated[name] += v
	}
	if footprint {
		f := c.core.Footprint()
		r.simulated["list"] += float64(f.ListBytes)
		r.simulated["entries"] += float64(f.ListEntries)
		r.state += float64(f.Carried())
		r.accounts += float64(f.QuotaLedgers)
		r.accountBytes += float64(f.QuotaLedgerBytes)
	}
}

// plus returns the sum of the traffic and a multiple of x.
func (t roleTraffic) plus(x roleTraffic, factor float64) roleTraffic {
	return roleTraffic{
		t.Sent + factor*x.Sent, t.SentBytes + factor*x.SentBytes, t.Received + factor*x.Received, t.ReceivedBytes + factor*x.ReceivedBytes,
	}
}

// measure runs the planned events and fills in the figures.
func (t *fleet) measure(f *ScaleFigures, heapBefore float64) error {
	from, err := t.readCounters(false)
	if err != nil {
		return err
	}
	errs := make(chan error, t.plan.Restarts)
	var events sync.WaitGroup
	schedule := func(m scale.Event, do func()) {
		events.Go(func() {
			if t.sleep(time.Until(from.at.Add(m.At))) {
				do()
			}
		})
	}
	for _, m := range t.plan.ChangeEvents() {
		schedule(m, func() { t.changeEndpoint(m.Index) })
	}
	for _, m := range t.plan.CutEvents() {
		schedule(m, func() {
			t.cutRegion.Store(int64(m.Index) + 1)
			t.sleep(m.Duration)
			t.cutRegion.Store(0)
		})
	}
	for _, m := range t.plan.RestartEvents() {
		schedule(m, func() { errs <- t.restart(m.Index) })
	}
	t.sleep(time.Until(from.at.Add(seconds(t.plan.Seconds))))
	events.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	to, err := t.readCounters(true)
	if err != nil {
		return err
	}
	t.fill(f, from, to)
	if n := t.plan.Couriers - t.plan.Real; n > 0 {
		f.HeapBytes = (liveHeap() - heapBefore) / float64(n)
	}
	return nil
}

// fill computes the figures of the measured seconds from the counters at their start and end.
func (t *fleet) fill(f *ScaleFigures, from, to reading) {
	f.Seconds = to.at.Sub(from.at).Seconds()
	rate := func(a, b float64) float64 { return (b - a) / f.Seconds }
	figures := func(n int, a, b map[string]float64) *CourierFigures {
		each := func(name string) float64 { return rate(a[name], b[name]) / float64(n) }
		return &CourierFigures{
			ListBytes: b["list"] / float64(n), ListEntries: b["entries"] / float64(n), Forwarding: t.forwardFigures(n, each, b["open"]),
			Couriers: n, Sent: each("sent"), SentBytes: each("sent_bytes"), Received: each("received"),
			ReceivedBytes: each("received_bytes"), CPU: each("cpu"),
		}
	}
	if n := t.plan.Real; n > 0 {
		f.Real = figures(n, from.real, to.real)
		f.Real.StateBytes, f.Real.HeapBytes, f.Real.ResidentBytes = to.realState/float64(n), to.realHeap/float64(n), to.realRSS/float64(n)
	}
	if n := float64(t.plan.Couriers - t.plan.Real); n > 0 {
		f.Simulated = figures(int(n), from.simulated, to.simulated)
		f.Simulated.StateBytes = (to.state + to.accountBytes) / n
		role := func(a, b roleTraffic) *RoleFigures {
			d := b.plus(a, -1)
			k := n * f.Seconds
			return &RoleFigures{Sent: d.Sent / k, SentBytes: d.SentBytes / k, Received: d.Received / k, ReceivedBytes: d.ReceivedBytes / k}
		}
		f.QuotaRequester, f.LeaseOwner = role(from.requestTraffic, to.requestTraffic), role(from.ownerTraffic, to.ownerTraffic)
		f.QuotaRequester.StateBytes, f.LeaseOwner.StateBytes, f.LeaseOwner.QuotaLedgers = to.state/n, to.accountBytes/n, to.accounts/n
	}
	f.Directory = DirectoryTraffic{
		StateBytes: float64(to.directory.Bytes), Calls: rate(float64(from.directory.Calls), float64(to.directory.Calls)),
		In: rate(float64(from.directory.In), float64(to.directory.In)), Out: rate(float64(from.directory.Out), float64(to.directory.Out)),
		Answering: rate(from.directory.Answering.Seconds(), to.directory.Answering.Seconds()), StartOut: f.Directory.StartOut,
	}
	both := func(r reading, name string) float64 { return r.simulated[name] + r.real[name] }
	sent := both(to, "sent") - both(from, "sent")
	received := both(to, "received") - both(from, "received")
	if sent > 0 {
		f.Lost = max(0, 1-received/sent)
	}
	f.Cut = rate(from.cut, to.cut)
	if f.Simulated != nil {
		f.Simulated.Announcements = rate(from.announcements, to.announcements) / float64(f.Simulated.Couriers)
		f.StartAnnouncements = from.announcements
	}
	f.Overflowed = both(to, "crowded")
	f.Dropped = both(to, "strange") + both(to, "oversize") + to.invalid
	f.Messages = rate(from.submitted, to.submitted)
	if f.Messages > 0 {
		announcements := to.announcements - from.announcements // an announcement is one byte
		f.DatagramsPerMessage = (sent - announcements) / f.Seconds / f.Messages
		f.BytesPerMessage = (both(to, "sent_bytes") - both(from, "sent_bytes") - announcements) / f.Seconds / f.Messages
	}
	f.Delivered = rate(float64(from.partners.Delivered), float64(to.partners.Delivered))
	f.Rejected = rate(float64(from.partners.Refused), float64(to.partners.Refused))
	t.fillRestarted(&f.Start)
	t.propagation.mu.Lock()
	defer t.propagation.mu.Unlock()
	h := t.propagation.delays
	f.Propagation = PropagationFigures{Changes: len(t.propagation.changes), Expected: t.affectedPairs(), Confirmed: t.propagation.confirmations}
	if t.propagation.confirmations > 0 {
		f.Propagation.MeanMs, f.Propagation.P90Ms, f.Propagation.P99Ms, f.Propagation.LastMs = h.MeanMs(), h.PercentileMs(90), h.PercentileMs(99), h.MaxMs()
	}
}

func (t *fleet) close() {
	close(t.stopping)
	for _, m := range t.real {
		m.courier.Kill()
	}
	t.tasks.Wait()
	for _, m := range t.real {
		m.client.Close()
	}
	for _, courier := range t.simulated {
		courier.shard.on(func() {
			if courier.running {
				courier.kill()
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
	if t.portHolder != nil {
		t.portHolder.Close()
	}
	os.RemoveAll(t.dir)
}
