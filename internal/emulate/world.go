// Package emulate plays couriers, clients, partners, a directory and the network
// in virtual time: a discrete-event emulator. It opens no socket, reads no clock
// and starts no goroutine; a seed decides everything, and the same seed plays the
// same run.
//
// The decisions are the real module's, or another policy's, through its public
// interface; partners are those of the stand-ins (package partner); the rules are
// minded by package rules, which shares no code with either.
package emulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/emulate/policy"
	"snowjunction/internal/emulate/rules"
	"snowjunction/internal/standin/partner"
)

type kind uint8

const (
	arrive   kind = iota // a message is due from the clients
	taken                // a message reaches a courier
	tick                 // a courier decides
	reach                // a call reaches its partner
	answer               // its answer reaches the courier
	timeout              // it has run out of its time
	timer                // a timer of the policy is due
	told                 // a courier hears of an endpoint
	drain                // an endpoint begins to drain
	gone                 // it is gone
	crash                // a courier dies
	back                 // it is there again
	sleep                // destinations may go to sleep
	asked                // a plug-in has been asked about a message
	spoken               // the directory answers a courier that began without it
	look                 // time may change what a courier believes
	learnDue             // what a courier has learnt may go to its disk
	noted                // a note reaches a courier
)

// world is a run.
type world struct {
	s     *Scenario
	q     queue
	now   time.Duration
	until time.Duration // messages come until then

	// Chances are drawn apart: what is done about messages does not move when the
	// next come, nor what becomes of them.
	traffic, reaction, network, fate *rand.Rand

	partners  []*place
	endpoints []endpoint
	couriers  []*courier
	messages  []message
	freed     []int32
	calls     []call
	freeCalls []int32
	classes   []snowjunction.Class
	quotas    []quota
	weights   []float64 // of the partners that get traffic, summed up
	pairs     []partition
	check     *rules.Checker
	ramp      *rules.Ramp
	res       Result
	serial    uint32
	keys      uint64
	notes     map[int32]snowjunction.PeerMessagesReceived // on their way
	keyed     [][]keyed                                   // by partner: its open keys, those first that rest longest
}

// place is a partner with where it stands in the world.
type place struct {
	*partner.Partner
	no       int32
	tenant   int
	rate     float64 // of its messages at full load
	eps      []int32
	vanished []Span
	parts    []part
	fell     int
	coming   int // calls on their way
}

// part is a fault of some of a partner's endpoints.
type part struct {
	kind        partner.Kind
	vanished    bool
	from, until time.Duration
	calls       float64 // share of them; 0: all
	eps         []int32
}

func (p *part) on(now time.Duration, ep int32) bool {
	return now >= p.from && now < p.until && slices.Contains(p.eps, ep)
}

type endpoint struct {
	dest  int32
	phase snowjunction.Phase // in truth
	// Once it is gone: its address is used again, by somebody who says that it is not
	// who was called, or does not.
	reused, says bool
}

// keyed is a key with messages to come, the next not before due.
type keyed struct {
	key  uint64
	left int
	due  time.Duration
}

type quota struct {
	rate, tokens float64
	at           time.Duration
}

type partition struct {
	from, until time.Duration
	partner     []bool
	courier     []bool
}

// message is one try of a client's.
type message struct {
	gen      uint32
	dest     int32
	courier  int32
	out      int32 // its call; -1: none
	serial   uint32
	class    uint8
	tenant   uint8
	tries    uint8 // of the client, before this
	attempts uint8
	open     bool
	ran      bool
	excess   bool
	key      uint64
	created  time.Duration // of the client's first try
	deadline time.Duration
	ranAt    time.Duration
}

type call struct {
	gen      uint32
	msg      int32
	msgGen   uint32
	courier  int32
	endpoint int32
	dest     int32
	attempt  int
	began    time.Duration
	kept     time.Duration
	reached  bool
	apart    bool // its endpoint answers, not its partner
	lost     bool // no answer comes, or the connection does not come up
	refused  bool // the connection is refused
	done     bool
	answer   partner.Answer
}

const (
	handIn  = 800 * time.Microsecond // between client and courier
	idleFor = 15 * time.Second       // of a connection
	connect = 1500 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func draw(r *rand.Rand, x Range) float64 { return x[0] + (x[1]-x[0])*r.Float64() }

// Options of a run.
type Options struct {
	Policy string
	Seed   uint64
	Rules  bool // check them after each event
	// Change alters the settings that couriers get, for experiments.
	Change func(*snowjunction.Settings)
	// New makes a policy that has no name here; nil: Policy names one.
	New func(s snowjunction.Settings, t policy.Truth) (policy.Policy, error)
	// Progress, if it is set, hears now and then how far the run is.
	Progress func(at, of time.Duration, events int)
}

// Run plays a scenario and returns what came of it.
func Run(s *Scenario, o Options) (*Result, error) {
	w, err := play(s, o)
	if err != nil {
		return nil, err
	}
	return &w.res, nil
}

func play(s *Scenario, o Options) (*world, error) {
	w := &world{
		s: s, until: seconds(s.Seconds),
		traffic: rand.New(rand.NewPCG(o.Seed, 1)), reaction: rand.New(rand.NewPCG(o.Seed, 5)),
		network: rand.New(rand.NewPCG(o.Seed, 2)), fate: rand.New(rand.NewPCG(o.Seed, 3)),
	}
	w.classes = []snowjunction.Class{
		{Name: "order", Effect: snowjunction.Keyed, Window: 5 * time.Second, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 1, LateValueShare: 0.3, InOrder: true},
		{Name: "status", Effect: snowjunction.Safe, TargetLatency: 1500 * time.Millisecond, Deadline: 8 * time.Second, Value: 2, LateValueShare: 0.1},
	}
	w.res = newResult(s, o, w.classes)
	if o.Rules {
		w.check = rules.New(rules.Config{
			Classes:  []rules.Class{{Window: 5 * time.Second, InOrder: true}, {Again: true}},
			Attempts: s.Settings.Attempts, Grace: time.Second, Rest: 100 * time.Millisecond,
			Back: 1500 * time.Millisecond, Slack: 20*time.Millisecond + 2*seconds(s.TickMs/1000),
		})
	}
	w.ramp = rules.NewRamp(seconds(s.Partners.FallS))
	w.notes = map[int32]snowjunction.PeerMessagesReceived{}
	w.makePartners(o.Seed)
	if err := w.makeCouriers(o); err != nil {
		return nil, err
	}
	w.plan()
	w.run(o)
	w.finish()
	return w, nil
}

// makePartners draws partners and their endpoints.
func (w *world) makePartners(seed uint64) {
	p := w.s.Partners
	r := rand.New(rand.NewPCG(seed, 4))
	active := p.Active
	if active == 0 {
		active = p.Count
	}
	weights := make([]float64, p.Count)
	total := 0.0
	for i := range active {
		weights[i] = math.Pow(float64(i+1), -p.Skew)
		total += weights[i]
	}
	tenants := make([]float64, len(w.s.Tenants)) // what of their share is given out
	for i := range p.Count {
		rate := weights[i] / total * w.s.Load.Full
		span := time.Duration(0)
		limit := math.Max(rate*draw(r, p.Headroom), p.LeastLimit)
		if r.Float64() < p.Spans {
			span = seconds(math.Round(2*draw(r, p.SpanS)) / 2)
		}
		capacity := limit * draw(r, p.Capacity)
		if r.Float64() >= p.Limited {
			limit, span = 0, 0
		}
		f := partner.Profile{
			Limit: limit, Span: span, Counting: r.Float64() < p.Counting, Tells: p.Tells, Report: r.Float64() < p.Reports,
			Refresh: seconds(draw(r, p.RefreshMs) / 1000), Capacity: capacity, Latency: seconds(draw(r, p.LatencyMs) / 1000), LeastWait: seconds(draw(r, p.LeastWaitS)),
			Queue: p.Queue, ColdShare: p.ColdShare, WarmUp: seconds(p.WarmS), FallMultiple: p.FallMultiple, FallTime: seconds(p.FallS), FallSlack: p.FallSlack, FallRoot: p.FallRoot,
		}
		x := &place{Partner: partner.New(f, r.Uint64()), no: int32(i), rate: rate}
		x.Blind = true
		if p.Errors > 0 {
			x.Add(partner.Fault{Kind: partner.Error, Until: time.Duration(math.MaxInt64), Share: p.Errors})
		}
		for t := range tenants { // the tenant whose share is filled least
			if tenants[t]/w.s.Tenants[t].Share < tenants[x.tenant]/w.s.Tenants[x.tenant].Share {
				x.tenant = t
			}
		}
		tenants[x.tenant] += rate
		for range int(math.Round(draw(r, p.Endpoints))) {
			x.eps = append(x.eps, int32(len(w.endpoints)))
			w.endpoints = append(w.endpoints, endpoint{dest: int32(i), phase: snowjunction.Ready})
		}
		w.partners = append(w.partners, x)
	}
	sum := 0.0
	for i := range active {
		t := w.s.Tenants[w.partners[i].tenant]
		sum += weights[i] * math.Max(t.Over, 1)
		w.weights = append(w.weights, sum)
	}
	for _, t := range w.s.Tenants {
		w.quotas = append(w.quotas, quota{rate: t.Share * w.s.Load.Full, tokens: t.Share * w.s.Load.Full * 2})
	}
	w.keyed = make([][]keyed, p.Count)
}

// settings are those of one courier.
func (w *world) settings(seed uint64) snowjunction.Settings {
	s, share := w.s, w.s.Load.Full/float64(w.s.Couriers)
	latency := (s.Partners.LatencyMs[0] + s.Partners.LatencyMs[1]) / 2000
	out := snowjunction.Settings{
		Seed: seed, Fleet: s.Couriers, Tick: seconds(s.TickMs / 1000), Zones: 1, Classes: w.classes,
		Kinds: []snowjunction.Kind{{BundleMax: 1}}, Slots: s.Settings.Slots, MaxHeld: s.Settings.Held, MaxAttempts: s.Settings.Attempts,
		OverQuotaValueShare: 0.05, Report: []snowjunction.ReportField{snowjunction.AllowanceLeft, snowjunction.LimitRate},
		Cancelling: true, RetryAfter: true, MaxRetryAfter: 3 * time.Second, ConnIdle: idleFor, ConnectTimeout: connect, StreamsPerConn: 8,
		OrderSettle: 100 * time.Millisecond, DrainGrace: time.Second, AnswerSlack: 20 * time.Millisecond,
		ColdShare: s.Partners.ColdShare, WarmUp: seconds(s.Partners.WarmS), CollapseMultiple: s.Partners.FallMultiple, CollapseTime: seconds(s.Partners.FallS),
		Tuning: s.tuning(),
	}
	if out.Slots == 0 {
		out.Slots = max(3, int(math.Ceil(share*latency*s.Settings.SlotShare)))
	}
	if out.MaxHeld == 0 {
		out.MaxHeld = max(16, int(share*8))
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, snowjunction.Tenant{Name: t.Name, Quota: t.Share * s.Load.Full})
	}
	return out
}

func (w *world) makeCouriers(o Options) error {
	for no := range w.s.Couriers {
		c := &courier{w: w, no: int32(no), o: o, seed: o.Seed*1000003 + uint64(no), used: map[int32]time.Duration{}}
		c.view = make([]snowjunction.Phase, len(w.endpoints))
		w.couriers = append(w.couriers, c)
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// plan schedules what is to happen whatever is done.
func (w *world) plan() {
	for _, f := range w.s.Faults {
		k, ok := map[string]partner.Kind{
			"errors": partner.Error, "shut": partner.Shut, "silent": partner.Silent, "reset": partner.Reset, "slow": partner.Slow, "cut": partner.Cut,
		}[f.Kind]
		for _, i := range w.some(f.Share, len(w.partners)) {
			x := w.partners[i]
			spans := []Span{f.Span}
			if f.FlapS > 0 {
				spans = nil
				for at := f.At; at < f.At+f.For; at += 2 * f.FlapS {
					spans = append(spans, Span{at, math.Min(f.FlapS, f.At+f.For-at)})
				}
			}
			for n, span := range spans {
				if f.Endpoints > 0 {
					struck := part{kind: k, vanished: !ok, from: seconds(span.At), until: seconds(span.At + span.For), calls: f.Calls}
					for _, e := range w.some(f.Endpoints, len(x.eps)) {
						struck.eps = append(struck.eps, x.eps[e])
					}
					x.parts = append(x.parts, struck)
					continue
				}
				cold := f.Cold && n == len(spans)-1
				if !ok { // it vanishes: nothing reaches it
					x.vanished = append(x.vanished, span)
					if cold {
						x.Add(partner.Fault{Kind: partner.Silent, From: seconds(span.At), Until: seconds(span.At + span.For), Cold: true})
					}
					continue
				}
				times := f.Times
				if k == partner.Slow {
					times = math.Max(times, 1)
				}
				x.Add(partner.Fault{
					Kind: k, From: seconds(span.At), Until: seconds(span.At + span.For), Share: f.Calls, Times: times, Cold: cold,
				})
			}
		}
	}
	for _, p := range w.s.Network.Partitions {
		x := partition{seconds(p.At), seconds(p.At + p.For), make([]bool, len(w.partners)), make([]bool, len(w.couriers))}
		for _, i := range w.some(p.Share, len(w.partners)) {
			x.partner[i] = true
		}
		share := p.Couriers
		if share == 0 {
			share = 1
		}
		for _, i := range w.some(share, len(w.couriers)) {
			x.courier[i] = true
		}
		w.pairs = append(w.pairs, x)
	}
	for _, d := range w.s.Drains {
		for _, i := range w.some(d.Share, len(w.endpoints)) {
			w.q.push(event{at: seconds(d.At + d.Over*w.fate.Float64()), kind: drain, id: int32(i)})
		}
	}
	for _, i := range w.some(w.s.Directory.Stale, len(w.endpoints)) {
		w.leaves(int32(i))
		w.tell(int32(i), snowjunction.Gone)
	}
	for _, c := range w.s.Crashes {
		which := w.some(c.Share, len(w.couriers))
		if c.Share == 0 {
			which = which[:0]
			which = append(which, w.fate.IntN(len(w.couriers)))
		}
		for n, i := range which {
			at := seconds(c.At + c.Over*float64(n)/float64(len(which)))
			gen := uint32(0)
			if c.Journal {
				gen = 1
			}
			w.q.push(event{at: at, kind: crash, who: int32(i), id: int32(c.Down * 1000), gen: gen})
		}
	}
	w.q.push(event{at: w.nextArrival(), kind: arrive})
}

// some draws a share of n, in order; of a share over 0 at least one.
func (w *world) some(share float64, n int) []int {
	k := int(math.Round(share * float64(n)))
	if share > 0 {
		k = max(k, 1)
	}
	list := w.fate.Perm(n)[:min(k, n)]
	slices.Sort(list)
	return list
}

// progressEvery is how many events go by between two reports of progress.
const progressEvery = 1 << 16

func (w *world) run(o Options) {
	end := w.until + 25*time.Second // the last messages' deadlines are over by then
	for len(w.q.heap) > 0 {
		e := w.q.pop()
		if e.at > end {
			return
		}
		w.now = e.at
		w.res.Events++
		if o.Progress != nil && w.res.Events%progressEvery == 0 {
			o.Progress(w.now, end, w.res.Events)
		}
		switch e.kind {
		case arrive:
			w.arrive()
		case taken:
			w.taken(e.id, e.gen)
		case tick:
			w.couriers[e.who].tick(uint32(e.id))
		case reach:
			w.partners[e.who].coming-- // its call may be over by now
			w.reach(e.id, e.gen)
		case answer:
			w.answered(e.id, e.gen)
		case timeout:
			w.expired(e.id, e.gen)
		case timer:
			c := w.couriers[e.who]
			if c.life == uint32(e.id) {
				c.post(snowjunction.Timer{Token: uint64(e.gen)})
			}
		case told:
			w.couriers[e.who].hear(e.id, snowjunction.Phase(e.gen))
		case noted:
			w.couriers[e.who].post(w.notes[e.id])
			delete(w.notes, e.id)
		case drain:
			w.drain(e.id)
		case gone:
			w.leaves(e.id)
			w.tell(e.id, snowjunction.Gone)
		case crash:
			w.couriers[e.who].crash(e.gen == 1)
			w.q.push(event{at: w.now + time.Duration(e.id)*time.Millisecond, kind: back, who: e.who})
		case back:
			if err := w.couriers[e.who].start(); err != nil {
				panic(fmt.Sprintf("the policy was made once before: %v", err))
			}
		case asked:
			w.couriers[e.who].asked(e.id, e.gen)
		case sleep:
			w.couriers[e.who].rest(uint32(e.id))
		case spoken:
			w.couriers[e.who].spoken(uint32(e.id))
		case look:
			if c := w.couriers[e.who]; c.life == uint32(e.id) {
				c.look()
			}
		case learnDue:
			w.couriers[e.who].learnNow(uint32(e.id))
		}
	}
}

// load counts a call that reaches a partner by what a cold one stands.
func (w *world) load(p *place, courier int32) {
	allowed, cold := p.Cold(w.now)
	if !cold {
		if !p.Out(w.now) {
			w.ramp.Warm(p.no)
		}
		return
	}
	falls, breaks := w.ramp.Call(w.now, courier, p.no, allowed)
	if falls {
		w.res.RampFell++
	}
	if breaks {
		w.res.RampBroken++
		if w.check != nil {
			w.check.Pushed(w.now, p.no)
		}
	}
}

// failed tells the ramp's counter of a call that has failed in an outage or after it.
func (w *world) failed(courier, dest int32) {
	p := w.partners[dest]
	if _, cold := p.Cold(w.now); cold || p.Out(w.now) {
		w.ramp.Failed(courier, dest)
	}
}

// leaves is the end of an endpoint.
func (w *world) leaves(id int32) {
	e := &w.endpoints[id]
	e.phase = snowjunction.Gone
	if reuse := w.s.Directory.Reuse; reuse > 0 {
		e.reused, e.says = w.fate.Float64() < reuse, w.fate.Float64() < 0.5
	}
}

// drain begins the end of an endpoint, which another replaces.
func (w *world) drain(id int32) {
	e := &w.endpoints[id]
	if e.phase != snowjunction.Ready {
		return
	}
	e.phase = snowjunction.Draining
	w.tell(id, snowjunction.Draining)
	w.q.push(event{at: w.now + 8*time.Second, kind: gone, id: id})
	fresh := int32(len(w.endpoints))
	dest := e.dest
	w.endpoints = append(w.endpoints, endpoint{dest: dest, phase: snowjunction.Ready})
	w.partners[dest].eps = append(w.partners[dest].eps, fresh)
	for _, c := range w.couriers {
		c.view = append(c.view, snowjunction.Gone)
	}
	w.tell(fresh, snowjunction.Ready)
}

// tell has the directory tell every courier, late, and later still while it is
// down.
func (w *world) tell(id int32, p snowjunction.Phase) {
	for _, c := range w.couriers {
		at := w.now + seconds(draw(w.fate, w.s.Directory.DelayS))
		for _, d := range w.s.Directory.Down {
			if at >= seconds(d.At) && at < seconds(d.At+d.For) {
				at = seconds(d.At+d.For) + seconds(0.5*w.fate.Float64())
			}
		}
		w.q.push(event{at: at, kind: told, who: c.no, id: id, gen: uint32(p)})
	}
}

// delay is of one way.
func (w *world) delay() time.Duration { return seconds(draw(w.network, w.s.Network.DelayMs) / 1000) }

// cut tells that nothing passes between a courier and an endpoint of a partner;
// ep -1: any.
func (w *world) cut(courier, dest, ep int32) bool {
	for i := range w.partners[dest].parts {
		if p := &w.partners[dest].parts[i]; p.vanished && p.on(w.now, ep) {
			return true
		}
	}
	for _, s := range w.partners[dest].vanished {
		if w.now >= seconds(s.At) && w.now < seconds(s.At+s.For) {
			return true
		}
	}
	for i := range w.pairs {
		p := &w.pairs[i]
		if w.now >= p.from && w.now < p.until && p.partner[dest] && p.courier[courier] {
			return true
		}
	}
	return false
}

// Room and Works are the truth that an oracle sees.
func (w *world) Room(d snowjunction.DestinationID, more int) (bool, time.Duration) {
	if w.cut(0, int32(d), -1) {
		return false, 100 * time.Millisecond
	}
	p := w.partners[d]
	return p.Room(w.now, p.coming+more)
}

// Works tells whether an endpoint would answer.
func (w *world) Works(e snowjunction.EndpointID) bool {
	id := int32(e) - 1
	for i := range w.partners[w.endpoints[id].dest].parts {
		if p := &w.partners[w.endpoints[id].dest].parts[i]; p.calls == 0 && p.on(w.now, id) {
			return false
		}
	}
	return w.endpoints[id].phase == snowjunction.Ready
}

var _ policy.Truth = (*world)(nil)
