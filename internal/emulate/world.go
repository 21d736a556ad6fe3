// Package emulate is a discrete-event emulator: it simulates couriers, clients,
// partners, a directory and the network in virtual time. It opens no socket, reads
// no clock and starts no goroutine. All randomness comes from the seed, and the same
// seed gives the same run.
//
// The decisions come from the real decision module, or from another policy, through
// its public interface. The partners are those of the stand-ins (package partner).
// Package rules checks the rules; it shares no code with either.
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

// eventKind selects the handler of an event.
type eventKind uint8

const (
	clientArrival       eventKind = iota // clients create a message or a burst of them
	messageReceived                      // a message reaches a courier
	courierTick                          // a courier runs its policy
	callReceived                         // a call arrives at its partner
	responseReceived                     // a response arrives at the courier
	callTimeout                          // the time limit of a call has passed
	policyTimer                          // a timer of the policy expires
	listingReceived                      // a courier receives a directory update of an endpoint
	endpointDrain                        // an endpoint begins to drain
	endpointRemoval                      // a drained endpoint is removed
	courierCrash                         // a courier crashes
	courierRestart                       // a crashed courier restarts
	idleCheck                            // idle destinations may be unloaded
	pluginDone                           // a plug-in call for a message has ended
	directoryBack                        // the directory responds to a courier that started without it
	confidenceCheck                      // the confidence in endpoints may have changed with time
	learnedStateDue                      // learned state may be written to disk
	peerMessageReceived                  // a peer message arrives at a courier
)

// world is the state of a run.
type world struct {
	scenario      *Scenario
	queue         queue
	now           time.Duration
	arrivalsUntil time.Duration // clients create messages until this time

	// The random streams are separate, so that the decisions about messages change
	// neither the arrivals nor the faults.
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
	cumulativeWeights []float64 // of the partners that get traffic
	partitions        []partition
	checker           *rules.Checker
	ramp              *rules.RampCounter
	result            Result
	lastSerial        uint32
	lastKey           uint64
	peerMessages      map[int32]snowjunction.PeerMessagesReceived // in transit, by number
	openKeys          [][]openKey                                 // by partner, in the order of their use, least recent first
}

// partnerState is a partner with its state in the run.
type partnerState struct {
	*partner.Partner
	number         int32
	tenant         int
	fullLoadRate   float64 // messages per second at full load
	endpoints      []int32
	unreachable    []Span
	endpointFaults []endpointFault
	collapses      int
	incoming       int // calls in transit to it
}

// endpointFault is a fault of some endpoints of a partner.
type endpointFault struct {
	kind        partner.Kind
	unreachable bool
	from, until time.Duration
	callShare   float64 // share of the calls that fail; zero means all
	endpoints   []int32
}

// active reports whether the fault applies to an endpoint now.
func (p *endpointFault) active(now time.Duration, ep int32) bool {
	return now >= p.from && now < p.until && slices.Contains(p.endpoints, ep)
}

// endpoint is an endpoint of a partner.
type endpoint struct {
	dest  int32
	phase snowjunction.Phase // the actual phase, which the directory announces with a delay
	// After its removal: another service uses its address, and whether that service
	// rejects calls as misdirected (status 421).
	addressReused, saysMisdirected bool
}

// openKey is an ordering key with messages to come, the next one not before nextAt.
type openKey struct {
	key       uint64
	remaining int
	nextAt    time.Duration
}

// tenantQuota is the token bucket of a tenant; rate is in messages per second.
type tenantQuota struct {
	rate, tokens float64
	refilledAt   time.Duration
}

// partition is a time span in which some couriers cannot reach some partners.
type partition struct {
	from, until time.Duration
	partner     []bool
	courier     []bool
}

// message is one try of a client.
type message struct {
	generation   uint32
	dest         int32
	courier      int32
	call         int32 // index of its call in flight, or -1
	serial       uint32
	class        uint8
	tenant       uint8
	clientTries  uint8 // earlier tries of the client
	attempts     uint8
	pending      bool
	mayHaveRun   bool
	overQuota    bool
	key          uint64
	created      time.Duration // time of the client's first try
	deadline     time.Duration
	mayHaveRunAt time.Duration
}

// call is a delivery attempt in flight.
type call struct {
	generation        uint32
	message           int32
	messageGeneration uint32
	courier           int32
	endpoint          int32
	dest              int32
	attempt           int
	startedAt         time.Duration
	connIdle          time.Duration // how long its connection was idle; zero means a new connection
	reached           bool
	endpointAnswers   bool // its endpoint answers, and the partner does not see the call
	lost              bool // no response arrives, or the connection is not established
	refused           bool // the connection is refused
	done              bool
	answer            partner.Response
}

const (
	clientDelay     = 800 * time.Microsecond // one-way delay between client and courier
	connIdleTimeout = 15 * time.Second       // idle connections are closed after this time
	connectTimeout  = 1500 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// uniform draws a value of the range x.
func uniform(r *rand.Rand, x Range) float64 { return x[0] + (x[1]-x[0])*r.Float64() }

// Options are the options of a run.
type Options struct {
	Policy string
	Seed   uint64
	Rules  bool // check the rules after each event
	// ChangeSettings modifies the settings of the couriers, for experiments.
	ChangeSettings func(*snowjunction.Settings)
	// NewPolicy creates the policy. If it is nil, Policy names one.
	NewPolicy func(s snowjunction.Settings, t policy.GroundTruth) (policy.Policy, error)
	// Progress, if it is set, is called from time to time with the virtual time reached, its
	// end and the number of events.
	Progress func(at, of time.Duration, events int)
}

// Run simulates a scenario and returns its results.
func Run(s *Scenario, o Options) (*Result, error) {
	w, err := simulate(s, o)
	if err != nil {
		return nil, err
	}
	return &w.result, nil
}

// simulate runs a scenario and returns the final state.
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
	w.ramp = rules.NewRampCounter(seconds(s.Partners.CollapseTimeS))
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

// makePartners draws the partners and their endpoints.
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
	tenants := make([]float64, len(w.scenario.Tenants)) // load assigned to each tenant so far
	for i := range p.Count {
		rate := weights[i] / total * w.scenario.Load.Full
		span := time.Duration(0)
		limit := math.Max(rate*uniform(r, p.Headroom), p.MinLimit)
		if r.Float64() < p.WindowedShare {
			span = seconds(math.Round(2*uniform(r, p.WindowS)) / 2)
		}
		capacity := limit * uniform(r, p.Capacity)
		if r.Float64() >= p.LimitedShare {
			limit, span = 0, 0
		}
		f := partner.Profile{
			Limit: limit, Window: span, CountsRejected: r.Float64() < p.CountingShare, RetryAfterShare: p.RetryAfterShare, ReportsLimit: r.Float64() < p.ReportShare,
			MaxReportAge: seconds(uniform(r, p.RefreshMs) / 1000), Capacity: capacity, Latency: seconds(uniform(r, p.LatencyMs) / 1000), MinRetryAfter: seconds(uniform(r, p.MinRetryAfterS)),
			Queue: p.Queue, ColdShare: p.ColdShare, WarmUp: seconds(p.WarmUpS), CollapseMultiple: p.CollapseMultiple, CollapseWindow: seconds(p.CollapseTimeS), CollapseSlack: p.CollapseSlack, CollapseRootSlack: p.CollapseRootSlack,
		}
		x := &partnerState{Partner: partner.New(f, r.Uint64()), number: int32(i), fullLoadRate: rate}
		x.SkipChecks = true
		if p.Errors > 0 {
			x.Add(partner.Fault{Kind: partner.Error, Until: time.Duration(math.MaxInt64), Share: p.Errors})
		}
		for t := range tenants { // assign it to the tenant whose share is filled least
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

// settings returns the settings of one courier.
func (w *world) settings(seed uint64) snowjunction.Settings {
	s, share := w.scenario, w.scenario.Load.Full/float64(w.scenario.Couriers)
	latency := (s.Partners.LatencyMs[0] + s.Partners.LatencyMs[1]) / 2000
	out := snowjunction.Settings{
		Seed: seed, Fleet: s.Couriers, Tick: seconds(s.TickMs / 1000), Zones: 1, Classes: w.classes,
		Kinds: []snowjunction.Kind{{BundleMax: 1}}, Slots: s.Settings.Slots, MaxHeld: s.Settings.Held, MaxAttempts: s.Settings.Attempts,
		OverQuotaValueShare: 0.05, Report: []snowjunction.ReportField{snowjunction.AllowanceLeft, snowjunction.LimitRate},
		Cancelling: true, RetryAfter: true, MaxRetryAfter: 3 * time.Second, ConnIdle: connIdleTimeout, ConnectTimeout: connectTimeout, StreamsPerConn: 8,
		OrderSettle: 100 * time.Millisecond, DrainGrace: time.Second, AnswerSlack: 20 * time.Millisecond,
		ColdShare: s.Partners.ColdShare, WarmUp: seconds(s.Partners.WarmUpS), CollapseMultiple: s.Partners.CollapseMultiple, CollapseTime: seconds(s.Partners.CollapseTimeS),
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

// makeCouriers creates and starts the couriers.
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

// scheduleEvents schedules the events that do not depend on the policy: faults, partitions,
// drains, crashes and the first arrival.
func (w *world) scheduleEvents() {
	for _, f := range w.scenario.Faults {
		k, ok := map[string]partner.Kind{
			"errors": partner.Error, "shut": partner.Reject, "silent": partner.Silent, "reset": partner.Reset, "slow": partner.Slow, "cut": partner.ReducedLimit,
		}[f.Kind]
		for _, i := range w.sample(f.Share, len(w.partners)) {
			x := w.partners[i]
			spans := []Span{f.Span}
			if f.FlapIntervalS > 0 {
				spans = nil
				for at := f.At; at < f.At+f.For; at += 2 * f.FlapIntervalS {
					spans = append(spans, Span{at, math.Min(f.FlapIntervalS, f.At+f.For-at)})
				}
			}
			for n, span := range spans {
				if f.Endpoints > 0 {
					fault := endpointFault{kind: k, unreachable: !ok, from: seconds(span.At), until: seconds(span.At + span.For), callShare: f.Calls}
					for _, e := range w.sample(f.Endpoints, len(x.endpoints)) {
						fault.endpoints = append(fault.endpoints, x.endpoints[e])
					}
					x.endpointFaults = append(x.endpointFaults, fault)
					continue
				}
				cold := f.Cold && n == len(spans)-1
				if !ok { // "vanish": the partner is unreachable
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
					Kind: k, From: seconds(span.At), Until: seconds(span.At + span.For), Share: f.Calls, Factor: times, Cold: cold,
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
	for _, i := range w.sample(w.scenario.Directory.StaleShare, len(w.endpoints)) {
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

// sample draws a share of the numbers below n, in ascending order; if the share is positive, at
// least one.
func (w *world) sample(share float64, n int) []int {
	k := int(math.Round(share * float64(n)))
	if share > 0 {
		k = max(k, 1)
	}
	list := w.faultRNG.Perm(n)[:min(k, n)]
	slices.Sort(list)
	return list
}

// progressEvery is the number of events between two progress reports.
const progressEvery = 1 << 16

// run handles the events in order until the deadlines of all messages have passed.
func (w *world) run(o Options) {
	end := w.arrivalsUntil + 25*time.Second // after the deadlines of the last messages
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
			w.partners[e.target].incoming-- // the call itself may have timed out already
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
				panic(fmt.Sprintf("restart of a courier whose policy was created before: %v", err))
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

// countRampCall counts a call that reaches a partner against the bound of a recovering one.
func (w *world) countRampCall(p *partnerState, courier int32) {
	allowed, cold := p.ColdAllowance(w.now)
	if !cold {
		if !p.InOutage(w.now) {
			w.ramp.Reset(p.number)
		}
		return
	}
	collapses, violates := w.ramp.Call(w.now, courier, p.number, allowed)
	if collapses {
		w.result.RampCollapses++
	}
	if violates {
		w.result.RampViolations++
		if w.checker != nil {
			w.checker.CollapsedInRamp(w.now, p.number)
		}
	}
}

// recordRampFailure reports a call that failed during an outage or the recovery to the ramp
// counter.
func (w *world) recordRampFailure(courier, dest int32) {
	p := w.partners[dest]
	if _, cold := p.ColdAllowance(w.now); cold || p.InOutage(w.now) {
		w.ramp.Failed(courier, dest)
	}
}

// removeEndpoint marks an endpoint as gone and draws whether its address is reused.
func (w *world) removeEndpoint(id int32) {
	e := &w.endpoints[id]
	e.phase = snowjunction.Gone
	if reuse := w.scenario.Directory.ReuseShare; reuse > 0 {
		e.addressReused, e.saysMisdirected = w.faultRNG.Float64() < reuse, w.faultRNG.Float64() < 0.5
	}
}

// drainEndpoint starts the drain of an endpoint and adds its replacement.
func (w *world) drainEndpoint(id int32) {
	e := &w.endpoints[id]
	if e.phase != snowjunction.Ready {
		return
	}
	e.phase = snowjunction.Draining
	w.announce(id, snowjunction.Draining)
	w.queue.push(event{at: w.now + 8*time.Second, kind: endpointRemoval, id: id})
	replacement := int32(len(w.endpoints))
	dest := e.dest
	w.endpoints = append(w.endpoints, endpoint{dest: dest, phase: snowjunction.Ready})
	w.partners[dest].endpoints = append(w.partners[dest].endpoints, replacement)
	for _, c := range w.couriers {
		c.listedPhases = append(c.listedPhases, snowjunction.Gone)
	}
	w.announce(replacement, snowjunction.Ready)
}

// announce schedules the update of an endpoint at every courier, after the directory's
// delay, or after its outage if it is down then.
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

// networkDelay draws a one-way delay.
func (w *world) networkDelay() time.Duration {
	return seconds(uniform(w.networkRNG, w.scenario.Network.DelayMs) / 1000)
}

// unreachable reports whether a courier cannot reach an endpoint of a partner. With
// ep -1 only faults of the whole partner and partitions count.
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

// Room and Works implement policy.GroundTruth for the oracle.
func (w *world) Room(d snowjunction.DestinationID, more int) (bool, time.Duration) {
	if w.unreachable(0, int32(d), -1) {
		return false, 100 * time.Millisecond
	}
	p := w.partners[d]
	return p.WouldServe(w.now, p.incoming+more)
}

// Works reports whether an endpoint would answer.
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
