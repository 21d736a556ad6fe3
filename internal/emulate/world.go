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

type eventKind uint8

const (
	clientArrival       eventKind = iota // a message is due from the clients
	messageReceived                      // a message reaches a courier
	courierTick                          // a courier decides
	callReceived                         // a call reaches its partner
	responseReceived                     // its answer reaches the courier
	callTimeout                          // it has run out of its time
	policyTimer                          // a timer of the policy is due
	listingReceived                      // a courier hears of an endpoint
	endpointDrain                        // an endpoint begins to drain
	endpointRemoval                      // it is gone
	courierCrash                         // a courier dies
	courierRestart                       // it is there again
	idleCheck                            // destinations may go to sleep
	pluginDone                           // a plug-in has been asked about a message
	directoryBack                        // the directory answers a courier that began without it
	confidenceCheck                      // time may change what a courier believes
	learnedStateDue                      // what a courier has learnt may go to its disk
	peerMessageReceived                  // a note reaches a courier
)

// world is a run.
type world struct {
	scenario      *Scenario
	queue         queue
	now           time.Duration
	arrivalsUntil time.Duration // messages come until then

	// Chances are drawn apart: what is done about messages does not move when the
	// next come, nor what becomes of them.
	trafficRNG, reactionRNG, networkRNG, faultRNG *rand.Rand

	partners          []*partnerState
	endpoints         []endpoint
	couriers          []*courier
	messages          []message
	freeMessages      []int32
	calls             []call
	freeCalls         []int32
	classes           []snowjunction.Class
	quotas            []tenantQuota
	cumulativeWeights []float64 // of the partners that get traffic, summed up
	partitions        []partition
	checker           *rules.Checker
	ramp              *rules.Ramp
	result            Result
	lastSerial        uint32
	lastKey           uint64
	peerMessages      map[int32]snowjunction.PeerMessagesReceived // on their way
	openKeys          [][]openKey                                 // by partner: its open keys, those first that rest longest
}

// partnerState is a partner with where it stands in the world.
type partnerState struct {
	*partner.Partner
	number         int32
	tenant         int
	fullLoadRate   float64 // of its messages at full load
	endpoints      []int32
	unreachable    []Span
	endpointFaults []endpointFault
	collapses      int
	incoming       int // calls on their way
}

// endpointFault is a fault of some of a partner's endpoints.
type endpointFault struct {
	kind        partner.Kind
	unreachable bool
	from, until time.Duration
	callShare   float64 // share of them; 0: all
	endpoints   []int32
}

func (p *endpointFault) active(now time.Duration, ep int32) bool {
	return now >= p.from && now < p.until && slices.Contains(p.endpoints, ep)
}

type endpoint struct {
	dest  int32
	phase snowjunction.Phase // in truth
	// Once it is gone: its address is used again, by somebody who says that it is not
	// who was called, or does not.
	addressReused, saysMisdirected bool
}

// openKey is a key with messages to come, the next not before due.
type openKey struct {
	key       uint64
	remaining int
	nextAt    time.Duration
}

type tenantQuota struct {
	rate, tokens float64
	refilledAt   time.Duration
}

type partition struct {
	from, until time.Duration
	partner     []bool
	courier     []bool
}

// message is one try of a client's.
type message struct {
	generation   uint32
	dest         int32
	courier      int32
	call         int32 // its call; -1: none
	serial       uint32
	class        uint8
	tenant       uint8
	clientTries  uint8 // of the client, before this
	attempts     uint8
	pending      bool
	mayHaveRun   bool
	overQuota    bool
	key          uint64
	created      time.Duration // of the client's first try
	deadline     time.Duration
	mayHaveRunAt time.Duration
}

type call struct {
	generation        uint32
	message           int32
	messageGeneration uint32
	courier           int32
	endpoint          int32
	dest              int32
	attempt           int
	startedAt         time.Duration
	connIdle          time.Duration
	reached           bool
	endpointAnswers   bool // its endpoint answers, not its partner
	lost              bool // no answer comes, or the connection does not come up
	refused           bool // the connection is refused
	done              bool
	answer            partner.Answer
}

const (
	clientDelay     = 800 * time.Microsecond // between client and courier
	connIdleTimeout = 15 * time.Second       // of a connection
	connectTimeout  = 1500 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func uniform(r *rand.Rand, x Range) float64 { return x[0] + (x[1]-x[0])*r.Float64() }

// Options of a run.
type Options struct {
	Policy string
	Seed   uint64
	Rules  bool // check them after each event
	// Change alters the settings that couriers get, for experiments.
	Change func(*snowjunction.Settings)
	// New makes a policy that has no name here; nil: Policy names one.
	New func(s snowjunction.Settings, t policy.GroundTruth) (policy.Policy, error)
	// Progress, if it is set, hears now and then how far the run is.
	Progress func(at, of time.Duration, events int)
}

// Run plays a scenario and returns what came of it.
func Run(s *Scenario, o Options) (*Result, error) {
	w, err := simulate(s, o)
	if err != nil {
		return nil, err
	}
	return &w.result, nil
}

func simulate(s *Scenario, o Options) (*world, error) {
	w := &world{
		scenario: s, arrivalsUntil: seconds(s.Seconds),
		trafficRNG: rand.New(rand.NewPCG(o.Seed, 1)), reactionRNG: rand.New(rand.NewPCG(o.Seed, 5)),
		networkRNG: rand.New(rand.NewPCG(o.Seed, 2)), faultRNG: rand.New(rand.NewPCG(o.Seed, 3)),
	}
	w.classes = []snowjunction.Class{
		{Name: "order", Effect: snowjunction.Keyed, Window: 5 * time.Second, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 1, LateValueShare: 0.3, InOrder: true},
		{Name: "status", Effect: snowjunction.Safe, TargetLatency: 1500 * time.Millisecond, Deadline: 8 * time.Second, Value: 2, LateValueShare: 0.1},
	}
	w.result = newResult(s, o, w.classes)
	if o.Rules {
		w.checker = rules.New(rules.Config{
			Classes:  []rules.Class{{Window: 5 * time.Second, InOrder: true}, {Safe: true}},
			Attempts: s.Settings.Attempts, DrainGrace: time.Second, OrderSettle: 100 * time.Millisecond,
			RestartGrace: 1500 * time.Millisecond, ResultSlack: 20*time.Millisecond + 2*seconds(s.TickMs/1000),
		})
	}
	w.ramp = rules.NewRamp(seconds(s.Partners.FallS))
	w.peerMessages = map[int32]snowjunction.PeerMessagesReceived{}
	w.makePartners(o.Seed)
	if err := w.makeCouriers(o); err != nil {
		return nil, err
	}
	w.scheduleEvents()
	w.run(o)
	w.summarize()
	return w, nil
}

// makePartners draws partners and their endpoints.
func (w *world) makePartners(seed uint64) {
	p := w.scenario.Partners
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
	tenants := make([]float64, len(w.scenario.Tenants)) // what of their share is given out
	for i := range p.Count {
		rate := weights[i] / total * w.scenario.Load.Full
		span := time.Duration(0)
		limit := math.Max(rate*uniform(r, p.Headroom), p.LeastLimit)
		if r.Float64() < p.Spans {
			span = seconds(math.Round(2*uniform(r, p.SpanS)) / 2)
		}
		capacity := limit * uniform(r, p.Capacity)
		if r.Float64() >= p.Limited {
			limit, span = 0, 0
		}
		f := partner.Profile{
			Limit: limit, Span: span, Counting: r.Float64() < p.Counting, Tells: p.Tells, Report: r.Float64() < p.Reports,
			Refresh: seconds(uniform(r, p.RefreshMs) / 1000), Capacity: capacity, Latency: seconds(uniform(r, p.LatencyMs) / 1000), LeastWait: seconds(uniform(r, p.LeastWaitS)),
			Queue: p.Queue, ColdShare: p.ColdShare, WarmUp: seconds(p.WarmS), FallMultiple: p.FallMultiple, FallTime: seconds(p.FallS), FallSlack: p.FallSlack, FallRoot: p.FallRoot,
		}
		x := &partnerState{Partner: partner.New(f, r.Uint64()), number: int32(i), fullLoadRate: rate}
		x.Blind = true
		if p.Errors > 0 {
			x.Add(partner.Fault{Kind: partner.Error, Until: time.Duration(math.MaxInt64), Share: p.Errors})
		}
		for t := range tenants { // the tenant whose share is filled least
			if tenants[t]/w.scenario.Tenants[t].Share < tenants[x.tenant]/w.scenario.Tenants[x.tenant].Share {
				x.tenant = t
			}
		}
		tenants[x.tenant] += rate
		for range int(math.Round(uniform(r, p.Endpoints))) {
			x.endpoints = append(x.endpoints, int32(len(w.endpoints)))
			w.endpoints = append(w.endpoints, endpoint{dest: int32(i), phase: snowjunction.Ready})
		}
		w.partners = append(w.partners, x)
	}
	sum := 0.0
	for i := range active {
		t := w.scenario.Tenants[w.partners[i].tenant]
		sum += weights[i] * math.Max(t.Over, 1)
		w.cumulativeWeights = append(w.cumulativeWeights, sum)
	}
	for _, t := range w.scenario.Tenants {
		w.quotas = append(w.quotas, tenantQuota{rate: t.Share * w.scenario.Load.Full, tokens: t.Share * w.scenario.Load.Full * 2})
	}
	w.openKeys = make([][]openKey, p.Count)
}

// settings are those of one courier.
func (w *world) settings(seed uint64) snowjunction.Settings {
	s, share := w.scenario, w.scenario.Load.Full/float64(w.scenario.Couriers)
	latency := (s.Partners.LatencyMs[0] + s.Partners.LatencyMs[1]) / 2000
	out := snowjunction.Settings{
		Seed: seed, Fleet: s.Couriers, Tick: seconds(s.TickMs / 1000), Zones: 1, Classes: w.classes,
		Kinds: []snowjunction.Kind{{BundleMax: 1}}, Slots: s.Settings.Slots, MaxHeld: s.Settings.Held, MaxAttempts: s.Settings.Attempts,
		OverQuotaValueShare: 0.05, Report: []snowjunction.ReportField{snowjunction.AllowanceLeft, snowjunction.LimitRate},
		Cancelling: true, RetryAfter: true, MaxRetryAfter: 3 * time.Second, ConnIdle: connIdleTimeout, ConnectTimeout: connectTimeout, StreamsPerConn: 8,
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
	for no := range w.scenario.Couriers {
		c := &courier{world: w, number: int32(no), options: o, seed: o.Seed*1000003 + uint64(no), warmConns: map[int32]time.Duration{}}
		c.listedPhases = make([]snowjunction.Phase, len(w.endpoints))
		w.couriers = append(w.couriers, c)
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// scheduleEvents schedules what is to happen whatever is done.
func (w *world) scheduleEvents() {
	for _, f := range w.scenario.Faults {
		k, ok := map[string]partner.Kind{
			"errors": partner.Error, "shut": partner.Shut, "silent": partner.Silent, "reset": partner.Reset, "slow": partner.Slow, "cut": partner.Cut,
		}[f.Kind]
		for _, i := range w.sample(f.Share, len(w.partners)) {
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
					struck := endpointFault{kind: k, unreachable: !ok, from: seconds(span.At), until: seconds(span.At + span.For), callShare: f.Calls}
					for _, e := range w.sample(f.Endpoints, len(x.endpoints)) {
						struck.endpoints = append(struck.endpoints, x.endpoints[e])
					}
					x.endpointFaults = append(x.endpointFaults, struck)
					continue
				}
				cold := f.Cold && n == len(spans)-1
				if !ok { // it vanishes: nothing reaches it
					x.unreachable = append(x.unreachable, span)
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
	for _, p := range w.scenario.Network.Partitions {
		x := partition{seconds(p.At), seconds(p.At + p.For), make([]bool, len(w.partners)), make([]bool, len(w.couriers))}
		for _, i := range w.sample(p.Share, len(w.partners)) {
			x.partner[i] = true
		}
		share := p.Couriers
		if share == 0 {
			share = 1
		}
		for _, i := range w.sample(share, len(w.couriers)) {
			x.courier[i] = true
		}
		w.partitions = append(w.partitions, x)
	}
	for _, d := range w.scenario.Drains {
		for _, i := range w.sample(d.Share, len(w.endpoints)) {
			w.queue.push(event{at: seconds(d.At + d.Over*w.faultRNG.Float64()), kind: endpointDrain, id: int32(i)})
		}
	}
	for _, i := range w.sample(w.scenario.Directory.Stale, len(w.endpoints)) {
		w.removeEndpoint(int32(i))
		w.announce(int32(i), snowjunction.Gone)
	}
	for _, c := range w.scenario.Crashes {
		which := w.sample(c.Share, len(w.couriers))
		if c.Share == 0 {
			which = which[:0]
			which = append(which, w.faultRNG.IntN(len(w.couriers)))
		}
		for n, i := range which {
			at := seconds(c.At + c.Over*float64(n)/float64(len(which)))
			gen := uint32(0)
			if c.Journal {
				gen = 1
			}
			w.queue.push(event{at: at, kind: courierCrash, target: int32(i), id: int32(c.Down * 1000), generation: gen})
		}
	}
	w.queue.push(event{at: w.nextArrival(), kind: clientArrival})
}

// sample draws a share of n, in order; of a share over 0 at least one.
func (w *world) sample(share float64, n int) []int {
	k := int(math.Round(share * float64(n)))
	if share > 0 {
		k = max(k, 1)
	}
	list := w.faultRNG.Perm(n)[:min(k, n)]
	slices.Sort(list)
	return list
}

// progressEvery is how many events go by between two reports of progress.
const progressEvery = 1 << 16

func (w *world) run(o Options) {
	end := w.arrivalsUntil + 25*time.Second // the last messages' deadlines are over by then
	for len(w.queue.events) > 0 {
		e := w.queue.pop()
		if e.at > end {
			return
		}
		w.now = e.at
		w.result.Events++
		if o.Progress != nil && w.result.Events%progressEvery == 0 {
			o.Progress(w.now, end, w.result.Events)
		}
		switch e.kind {
		case clientArrival:
			w.handleArrival()
		case messageReceived:
			w.acceptMessage(e.id, e.generation)
		case courierTick:
			w.couriers[e.target].tick(uint32(e.id))
		case callReceived:
			w.partners[e.target].incoming-- // its call may be over by now
			w.handleCall(e.id, e.generation)
		case responseReceived:
			w.handleResponse(e.id, e.generation)
		case callTimeout:
			w.handleTimeout(e.id, e.generation)
		case policyTimer:
			c := w.couriers[e.target]
			if c.run == uint32(e.id) {
				c.post(snowjunction.Timer{Token: uint64(e.generation)})
			}
		case listingReceived:
			w.couriers[e.target].handleListing(e.id, snowjunction.Phase(e.generation))
		case peerMessageReceived:
			w.couriers[e.target].post(w.peerMessages[e.id])
			delete(w.peerMessages, e.id)
		case endpointDrain:
			w.drainEndpoint(e.id)
		case endpointRemoval:
			w.removeEndpoint(e.id)
			w.announce(e.id, snowjunction.Gone)
		case courierCrash:
			w.couriers[e.target].crash(e.generation == 1)
			w.queue.push(event{at: w.now + time.Duration(e.id)*time.Millisecond, kind: courierRestart, target: e.target})
		case courierRestart:
			if err := w.couriers[e.target].start(); err != nil {
				panic(fmt.Sprintf("the policy was made once before: %v", err))
			}
		case pluginDone:
			w.couriers[e.target].pluginAnswered(e.id, e.generation)
		case idleCheck:
			w.couriers[e.target].unloadDue(uint32(e.id))
		case directoryBack:
			w.couriers[e.target].directoryRecovered(uint32(e.id))
		case confidenceCheck:
			if c := w.couriers[e.target]; c.run == uint32(e.id) {
				c.updateConfidence()
			}
		case learnedStateDue:
			w.couriers[e.target].inspectChanged(uint32(e.id))
		}
	}
}

// countRampCall counts a call that reaches a partner by what a cold one stands.
func (w *world) countRampCall(p *partnerState, courier int32) {
	allowed, cold := p.Cold(w.now)
	if !cold {
		if !p.Out(w.now) {
			w.ramp.Reset(p.number)
		}
		return
	}
	falls, breaks := w.ramp.Call(w.now, courier, p.number, allowed)
	if falls {
		w.result.RampCollapses++
	}
	if breaks {
		w.result.RampViolations++
		if w.checker != nil {
			w.checker.CollapsedInRamp(w.now, p.number)
		}
	}
}

// recordRampFailure tells the ramp's counter of a call that has failed in an outage or after it.
func (w *world) recordRampFailure(courier, dest int32) {
	p := w.partners[dest]
	if _, cold := p.Cold(w.now); cold || p.Out(w.now) {
		w.ramp.Failed(courier, dest)
	}
}

// removeEndpoint is the end of an endpoint.
func (w *world) removeEndpoint(id int32) {
	e := &w.endpoints[id]
	e.phase = snowjunction.Gone
	if reuse := w.scenario.Directory.Reuse; reuse > 0 {
		e.addressReused, e.saysMisdirected = w.faultRNG.Float64() < reuse, w.faultRNG.Float64() < 0.5
	}
}

// drainEndpoint begins the end of an endpoint, which another replaces.
func (w *world) drainEndpoint(id int32) {
	e := &w.endpoints[id]
	if e.phase != snowjunction.Ready {
		return
	}
	e.phase = snowjunction.Draining
	w.announce(id, snowjunction.Draining)
	w.queue.push(event{at: w.now + 8*time.Second, kind: endpointRemoval, id: id})
	fresh := int32(len(w.endpoints))
	dest := e.dest
	w.endpoints = append(w.endpoints, endpoint{dest: dest, phase: snowjunction.Ready})
	w.partners[dest].endpoints = append(w.partners[dest].endpoints, fresh)
	for _, c := range w.couriers {
		c.listedPhases = append(c.listedPhases, snowjunction.Gone)
	}
	w.announce(fresh, snowjunction.Ready)
}

// announce has the directory tell every courier, late, and later still while it is
// down.
func (w *world) announce(id int32, p snowjunction.Phase) {
	for _, c := range w.couriers {
		at := w.now + seconds(uniform(w.faultRNG, w.scenario.Directory.DelayS))
		for _, d := range w.scenario.Directory.Down {
			if at >= seconds(d.At) && at < seconds(d.At+d.For) {
				at = seconds(d.At+d.For) + seconds(0.5*w.faultRNG.Float64())
			}
		}
		w.queue.push(event{at: at, kind: listingReceived, target: c.number, id: id, generation: uint32(p)})
	}
}

// networkDelay is of one way.
func (w *world) networkDelay() time.Duration {
	return seconds(uniform(w.networkRNG, w.scenario.Network.DelayMs) / 1000)
}

// unreachable tells that nothing passes between a courier and an endpoint of a partner;
// ep -1: any.
func (w *world) unreachable(courier, dest, ep int32) bool {
	for i := range w.partners[dest].endpointFaults {
		if p := &w.partners[dest].endpointFaults[i]; p.unreachable && p.active(w.now, ep) {
			return true
		}
	}
	for _, s := range w.partners[dest].unreachable {
		if w.now >= seconds(s.At) && w.now < seconds(s.At+s.For) {
			return true
		}
	}
	for i := range w.partitions {
		p := &w.partitions[i]
		if w.now >= p.from && w.now < p.until && p.partner[dest] && p.courier[courier] {
			return true
		}
	}
	return false
}

// Room and Works are the truth that an oracle sees.
func (w *world) Room(d snowjunction.DestinationID, more int) (bool, time.Duration) {
	if w.unreachable(0, int32(d), -1) {
		return false, 100 * time.Millisecond
	}
	p := w.partners[d]
	return p.Room(w.now, p.incoming+more)
}

// Works tells whether an endpoint would answer.
func (w *world) Works(e snowjunction.EndpointID) bool {
	id := int32(e) - 1
	for i := range w.partners[w.endpoints[id].dest].endpointFaults {
		if p := &w.partners[w.endpoints[id].dest].endpointFaults[i]; p.callShare == 0 && p.active(w.now, id) {
			return false
		}
	}
	return w.endpoints[id].phase == snowjunction.Ready
}

var _ policy.GroundTruth = (*world)(nil)
