package snowjunction

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"snowjunction/internal/lease"
)

// Courier makes the decisions of one courier. It is not safe for concurrent use.
type Courier struct {
	settings           Settings
	tuning             Tuning
	rng                *rand.Rand
	now                time.Duration
	sweepAt            time.Duration // no pending request is due before
	actions            []Action
	endpoints          map[EndpointID]*endpoint
	destinations       map[DestinationID]*destination
	destinationOrder   []*destination // in order of creation
	listedDestinations int            // number of listed destinations, loaded or not
	goneEndpoints      []*endpoint    // removed from the list, oldest first
	requests           map[RequestID]*request
	classes            []class    // the configured classes and one for an index out of range
	pending            []*request // without a final answer, oldest first
	keyQueues          map[uint64]*keyQueue
	emptyKeyQueues     []uint64      // keys whose queue is empty
	tenantQuotas       []tokenBucket // by tenant
	openCalls          int           // slots in use
	roundCalls         map[*endpoint]*call
	timerAt            time.Duration // expiry of the timer that is set; zero if none
	timerToken         uint64
	watching           bool
	watchAt            time.Duration
	retryGap           []time.Duration // initial call gap after a rejection, by kind
	smallTableUntil    []time.Duration // by kind: connection tables are assumed to be small until then
	candidateBuffer    []*endpoint
	sendOptions        []sendOption
	wakeAt             time.Duration  // next moment at which time alone may change a decision
	active             []*destination // those with requests or open calls
	idleFailures       slidingSum     // failures on connections that had been idle
	idleSuccesses      slidingSum     // successes on connections idle for at least idleFailureAge
	idleFailureAge     time.Duration  // shortest idle time after which a connection failed
	minTargetLatency   time.Duration  // shortest target latency of the classes
	leaseOwners        *lease.OwnerView
	quotaLedgers       map[DestinationID]*lease.QuotaLedger // of destinations whose lease owner this is
	announced          bool                                 // this courier has announced itself to the fleet
	lastPeerAt         time.Duration                        // last message from another courier
	requestedLedgers   []DestinationID                      // keys of quotaLedgers with unanswered grant requests
	outbox             []SendPeerMessages                   // peer messages to be sent
}

// New returns a Courier, or an error that names an invalid setting.
func New(s Settings) (*Courier, error) {
	switch {
	case len(s.Classes) == 0:
		return nil, errors.New("settings: no classes")
	case s.Slots < 1:
		return nil, errors.New("settings: slots must be positive")
	case s.Tick <= 0:
		return nil, errors.New("settings: tick must be positive")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return nil, fmt.Errorf("settings: class %d (%s): deadline must be positive", i, c.Name)
		}
	}
	s.Fleet = max(1, s.Fleet)
	if s.ConnectTimeout <= 0 {
		s.ConnectTimeout = time.Second
	}
	c := &Courier{
		settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)),
		endpoints: map[EndpointID]*endpoint{}, destinations: map[DestinationID]*destination{},
		requests: map[RequestID]*request{}, keyQueues: map[uint64]*keyQueue{},
		tenantQuotas: make([]tokenBucket, len(s.Tenants)), roundCalls: map[*endpoint]*call{},
		smallTableUntil:  make([]time.Duration, max(1, len(s.Kinds))),
		minTargetLatency: s.Classes[0].TargetLatency,
	}
	if c.tuning = StandardTuning(); s.Tuning != nil {
		c.tuning = *s.Tuning
	}
	for i, cl := range s.Classes {
		c.minTargetLatency = max(min(c.minTargetLatency, cl.TargetLatency), s.Tick)
		c.classes = append(c.classes, class{cl, i})
	}
	unknown := c.classes[len(c.classes)-1]
	unknown.Effect = Unsafe
	c.classes = append(c.classes, unknown)
	for range c.smallTableUntil {
		c.retryGap = append(c.retryGap, c.minTargetLatency)
	}
	c.leaseOwners, c.quotaLedgers = lease.NewOwnerView(s.Fleet, s.Number), map[DestinationID]*lease.QuotaLedger{}
	c.idleFailures.window, c.idleSuccesses.window = idleFailureWindows*retryBudgetWindow,
		idleFailureWindows*retryBudgetWindow
	return c, nil
}

// Handle processes the events up to now and returns the actions to carry out.
func (c *Courier) Handle(now time.Duration, events []Event) []Action {
	c.now, c.actions, c.wakeAt = now, nil, 0
	clear(c.roundCalls)
	for _, ev := range events {
		switch ev := ev.(type) {
		case List:
			c.applyList(ev)
		case Unload:
			c.unload(ev)
		case Load:
			c.load(ev)
		case Inspect:
			c.inspect(ev)
		case Request:
			c.acceptRequest(ev)
		case RetryAfterReceived:
			if e := c.endpoints[ev.Endpoint]; e != nil {
				e.route.setRetryAfter(c.now + ev.RetryAfter + c.settings.Tick)
			}
		case AttemptEnded:
			c.attemptEnded(ev)
		case ProbeEnded:
			c.probeEnded(ev)
		case Withdrawn:
			if r := c.requests[ev.Request]; r != nil {
				c.finishRequest(r)
			}
		case StreamStarted:
			if r := c.requests[ev.Request]; r != nil {
				r.streaming = true
			}
		case PeerMessagesReceived:
			c.receiveFromPeer(ev)
		case KeySettling:
			if c.keyQueues[ev.Key] == nil {
				c.keyQueues[ev.Key] = &keyQueue{settleUntil: c.now + ev.For}
				c.emptyKeyQueues = append(c.emptyKeyQueues, ev.Key)
			}
		case Timer:
			if ev.Token == c.timerToken {
				c.timerAt = 0
			}
		}
	}
	c.decide()
	c.sendPeerMessages()
	c.deactivateIdle()
	c.scheduleTimer()
	return c.actions
}

// scheduleTimer requests a timer for wakeAt unless an earlier one is set.
func (c *Courier) scheduleTimer() {
	if c.wakeAt == 0 || c.timerAt > c.now && c.timerAt <= c.wakeAt {
		return
	}
	after := max(c.wakeAt-c.now, c.settings.Tick)
	c.timerToken++
	c.timerAt = c.now + after
	c.emit(SetTimer{Token: c.timerToken, After: after})
}

// closeIdleConns closes the idle connections to e, so that the next call opens a new one.
func (c *Courier) closeIdleConns(e *endpoint) {
	if len(e.idleConns) > 0 {
		c.emit(CloseIdle{Endpoint: e.ID})
		e.idleConns = nil
	}
}

// slidingSum is a sum of weights over a sliding window. It is stored in buckets.
type slidingSum struct {
	window  time.Duration
	buckets [10]float64
	head    int64 // number of the newest bucket
}

func (s *slidingSum) advance(now time.Duration) {
	step := s.window / time.Duration(len(s.buckets))
	n := int64(now / step)
	if n-s.head >= int64(len(s.buckets)) {
		s.buckets, s.head = [10]float64{}, n
	}
	for s.head < n {
		s.head++
		s.buckets[s.head%int64(len(s.buckets))] = 0
	}
}

func (s *slidingSum) add(now time.Duration, w float64) {
	s.advance(now)
	s.buckets[s.head%int64(len(s.buckets))] += w
}

func (s *slidingSum) sum(now time.Duration) (total float64) {
	s.advance(now)
	for _, b := range s.buckets {
		total += b
	}
	return total
}

// tokenBucket is a token bucket rate limiter. It starts full.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
	started  bool
}

// refill adds the tokens earned since the last call, up to capacity.
func (b *tokenBucket) refill(now time.Duration, rate, capacity float64) {
	b.tokens = math.Min(b.tokens+seconds(now-b.filledAt)*rate, capacity)
	if !b.started {
		b.tokens, b.started = capacity, true
	}
	b.filledAt = now
}

// take removes one token. It returns false if there is none.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// callHistory is a list of call times with weights, oldest first.
type callHistory struct {
	times   []time.Duration
	weights []float64
}

func (t *callHistory) add(now time.Duration, w float64) {
	t.times, t.weights = append(t.times, now), append(t.weights, w)
}

// remove subtracts up to w from the weight that was added at that time.
func (t *callHistory) remove(at time.Duration, w float64) {
	for i := len(t.times) - 1; i >= 0 && w > 0 && t.times[i] >= at; i-- {
		if t.times[i] == at {
			taken := math.Min(w, t.weights[i])
			t.weights[i] -= taken
			w -= taken
		}
	}
}

// dropBefore removes the entries before from.
func (t *callHistory) dropBefore(from time.Duration) {
	for len(t.times) > 0 && t.times[0] < from {
		t.times, t.weights = t.times[1:], t.weights[1:]
	}
}

// sumSince removes the entries before from and returns the sum of the others.
func (t *callHistory) sumSince(from time.Duration) (total float64) {
	t.dropBefore(from)
	for _, w := range t.weights {
		total += w
	}
	return total
}

// sendOption is a request that may be sent, with its endpoint.
type sendOption struct {
	request      *request
	endpoint     *endpoint
	valuePerSlot float64 // value per slot and second
}

// call is an open call with the requests that it carries.
type call struct {
	endpoint        *endpoint
	sentAt          time.Duration
	size            int           // requests sent with it
	pendingOutcomes int           // requests of it without an outcome
	recorded        bool          // its first outcome has been counted
	shortTimeout    bool          // its timeout is too short to be conclusive
	connIdle        time.Duration // idle time of its connection; zero if new
}

// class is a Class with its index in Settings.Classes.
type class struct {
	Class
	index int
}

// classAt returns the class with index no. An index out of range yields the last class with effect
// Unsafe, as nothing is known about the request.
func (c *Courier) classAt(no int) *class {
	if no < 0 || no >= len(c.settings.Classes) {
		return &c.classes[len(c.settings.Classes)]
	}
	return &c.classes[no]
}

// addRequest adds a new request to the queues of its destination and of its key.
func (c *Courier) addRequest(r *request) {
	if r.key != 0 {
		l := c.keyQueues[r.key]
		if l == nil {
			l = &keyQueue{}
			c.keyQueues[r.key] = l
		}
		l.queue = append(l.queue, r)
	}
	c.requests[r.id] = r
	c.pending = append(c.pending, r)
	c.enqueue(r)
}

// openCall opens a call to e and takes a slot for it.
func (c *Courier) openCall(e *endpoint) *call {
	b := &call{endpoint: e, sentAt: c.now}
	c.roundCalls[e] = b
	e.calls = append(e.calls, b)
	c.openCalls++
	e.route.dest.openCalls++
	return b
}

// resumeAttempt restores the open attempt of a request that was sent by a previous process run. It
// returns false if there is none.
func (c *Courier) resumeAttempt(r *request, ev Request) bool {
	e := c.endpoints[ev.OpenEndpoint]
	if ev.OpenEndpoint == 0 || e == nil || e.route.dest != r.dest {
		return false
	}
	b := c.openCall(e)
	delete(c.roundCalls, e) // no request can join a call that has been sent
	b.sentAt, b.size, b.pendingOutcomes = c.now-ev.OpenFor, 1, 1
	r.call = b
	r.dest.queue = remove(r.dest.queue, r)
	return true
}

// SettlingKeys calls f with each key in its settling delay and the rest of that delay.
func (c *Courier) SettlingKeys(f func(key uint64, left time.Duration)) {
	for key, l := range c.keyQueues {
		if l.settleUntil > c.now {
			f(key, l.settleUntil-c.now)
		}
	}
}

// MayStillSend reports whether an open attempt of which no byte has been sent yet may still be sent at
// now. Setting up a connection may take more than a second: meanwhile the deduplication window or
// the deadline of the message may have ended, or the destination may have named a retry-after delay
// or begun to drain. The call changes no state.
func (c *Courier) MayStillSend(now time.Duration, id RequestID) bool {
	r := c.requests[id]
	if r == nil || r.call == nil || r.answered {
		return false
	}
	e := r.call.endpoint
	return e.Phase == Ready && now >= e.route.retryAfterUntil && now < c.latestSend(r)
}

// OpenBreakers returns the number of listed endpoints that get trial calls only.
func (c *Courier) OpenBreakers() (n int) {
	for _, d := range c.destinationOrder {
		for _, e := range d.endpoints {
			if e.Phase == Ready && e.state == down {
				n++
			}
		}
	}
	return n
}

// closeCall records an outcome of a call. The last one frees its slot.
func (c *Courier) closeCall(b *call) {
	if b.pendingOutcomes--; b.pendingOutcomes == 0 {
		b.endpoint.calls = remove(b.endpoint.calls, b)
		c.openCalls--
		b.endpoint.route.dest.openCalls--
	}
}

// request is a message from its acceptance to its last outcome.
type request struct {
	id          RequestID
	class       *class
	dest        *destination
	key         uint64
	answered    bool // has its final answer
	overQuota   bool // above its tenant's quota
	targetAt    time.Duration
	deadline    time.Duration
	attempts    int
	call        *call // the open attempt, if any
	streaming   bool  // its answer has begun, so its deadline no longer applies
	mayHaveRun  bool  // an attempt may have been executed
	ranAt       time.Duration
	ranEndpoint *endpoint
}

// keyQueue holds the requests of one key in the order of their acceptance.
type keyQueue struct {
	queue       []*request
	settleUntil time.Duration // nothing is sent before
}

// health is the health of an endpoint. setHealth changes it.
type health int

const (
	up   health = iota // the breaker is closed
	down               // the breaker is open: trial calls only
	cold               // recovering from an outage: slow start
)

// endpoint is one address of a destination.
type endpoint struct {
	Endpoint
	route         *route
	calls         []*call
	idleConns     []time.Duration // time of last use of each idle connection
	latency       float64         // smoothed, in seconds
	lastSuccessAt time.Duration
	failures      int // consecutive failures, weighted
	state         health
	stateSince    time.Duration // when state was entered
	failingSince  time.Duration // first of the consecutive failures
	lastOutage    time.Duration // length of the last outage seen by this courier
	maxOutage     time.Duration // its greatest possible length, see outageBound
	goneAt        time.Duration // when it was removed from the list
	trialSafe     bool          // while down: a trial request is not executed if it fails
	backoff       time.Duration
	trialAt       time.Duration
	trialCall     *call           // the last request sent as a trial
	classFailedAt []time.Duration // by class: the last failure without a later success
}

// setState changes e's state. If all endpoints of its route were up, a new outage begins, and calls
// during an earlier one no longer count.
func (e *endpoint) setState(to health, now time.Duration) {
	if e.route.unhealthyShare() == 0 {
		e.route.coldSpread.Reset()
	}
	e.state, e.stateSince = to, now
}

// succeededSince reports whether another call has succeeded since b was sent. A call that was taken over
// from another process was sent before this courier's clock began, where no success is known.
func (e *endpoint) succeededSince(b *call) bool {
	return e.lastSuccessAt > max(b.sentAt, 0)
}

// succeededShortlyBefore reports whether a call had succeeded within the given time when b was sent, or
// has since. Until the first success, this courier's start counts as one for its own calls.
func (e *endpoint) succeededShortlyBefore(b *call, within time.Duration) bool {
	takenOver := b.sentAt < 0
	if takenOver && e.lastSuccessAt == 0 {
		return false
	}
	return max(0, b.sentAt-e.lastSuccessAt) <= within
}

// outageBound returns the greatest possible length of e's outage. Another courier may have seen it
// begin right after the last answer to this one.
func (e *endpoint) outageBound(now time.Duration) time.Duration {
	if e.state == cold {
		return max(e.lastOutage, e.maxOutage)
	}
	return now - max(e.lastSuccessAt, e.route.dest.countingSince)
}

// route is a set of endpoints with a common rate limit, pacing rate and delays: all endpoints of a
// destination, or a single one if its kind has limits per endpoint.
type route struct {
	dest                  *destination
	endpoints             []*endpoint
	waitUntil             time.Duration
	retryAfterUntil       time.Duration // the part of waitUntil that the destination asked for; binding
	connectPauseUntil     time.Duration // like waitUntil, after a failure to connect
	cautiousUntil         time.Duration // loaded recently: the pacing rate stays below the even share
	limit                 float64       // calls per second for the whole fleet; zero if unknown
	limitLeft             float64       // share of the limit left, as last reported
	callGap               time.Duration // shortest time between calls while it rejects, in large fleets
	pacingRate            float64       // this courier's own calls per second
	ownerlessRate         float64       // initial pacingRate since no lease owner answers; zero if one does
	bucket                tokenBucket
	waitedForToken        bool // a request waited for a token
	rejectedAt            time.Duration
	rejections            int // consecutive rejections, counted in episodes
	openProbes            int
	coldCalls             callHistory        // calls to endpoints that were not healthy
	coldSpread            lease.Spread       // for shares below one call in the collapse time
	lease                 *lease.QuotaClient // nil unless the fleet shares the limit
	ownerReport           PeerMessage        // news for the lease owner
	reportedLimit         float64
	reportedTo            int           // index of the lease owner that got reportedLimit, plus one
	limitReportedAt       time.Duration // last limit report in an answer
	unreachable           bool          // calls have failed to reach it since the last answer
	unreachableReportedAt time.Duration
}

// countColdCall counts a call to an endpoint that was not healthy.
func (r *route) countColdCall(now time.Duration, weight float64) {
	r.coldCalls.add(now, weight)
	r.coldSpread.Called(now)
}

// startsEpisode reports whether the rejection of b starts a new episode: calls that were open together
// count as one. A call that was taken over precedes the zero time of a route without rejections.
func (r *route) startsEpisode(b *call) bool {
	return r.rejectedAt == 0 || b.sentAt >= r.rejectedAt
}

// setRetryAfter sets the end of a retry-after delay that the destination asked for.
func (r *route) setRetryAfter(until time.Duration) {
	r.retryAfterUntil = max(r.retryAfterUntil, until)
	r.waitUntil = max(r.waitUntil, r.retryAfterUntil)
}

// blockedUntil returns when the next call may be sent.
func (r *route) blockedUntil() time.Duration { return max(r.waitUntil, r.connectPauseUntil) }

// evenShare returns one courier's even share of r's limit, in calls per second.
func (c *Courier) evenShare(r *route) float64 { return c.assumedLimit(r) / float64(c.settings.Fleet) }

// maxPacingRate returns the upper bound of the pacing rate that a rejection reduces.
func (c *Courier) maxPacingRate(r *route) float64 {
	return math.Max(r.ownerlessRate, c.evenShare(r)*c.tuning.InitialPace)
}

// assumedLimit returns r's limit in calls per second. While it is unknown, that is the mean
// destination's part of the quotas.
func (c *Courier) assumedLimit(r *route) float64 {
	if r.limit <= 0 {
		return c.minAssumedRate() / unknownCapacityShare
	}
	return r.limit
}

// unhealthyShare returns the share of r's listed endpoints that is down or cold.
func (r *route) unhealthyShare() float64 {
	n, all := 0.0, 0.0
	for _, e := range r.endpoints {
		if e.Phase == Ready {
			all++
			if e.state != up {
				n++
			}
		}
	}
	return n / math.Max(1, all)
}

// destination holds the queue, retry budget and concurrency window of one destination.
type destination struct {
	id            DestinationID
	kind          Kind
	kindIndex     int
	routes        []*route
	endpoints     []*endpoint
	queue         []*request
	firstAttempts slidingSum // deposits of the retry budget
	retries       slidingSum // withdrawals from it
	successes     slidingSum
	countingSince time.Duration // start of these counts
	window        float64
	openCalls     int
	latency       float64 // smoothed, in seconds
	bestLatency   float64 // best recent latency, in seconds
	peakRate      float64 // highest success rate over a window, per second
	active        bool    // it is in Courier.active
}

// safeRequestWaiting reports whether a Safe request without a key is queued while one of eps is
// doubtful. Such requests try a doubtful endpoint first.
func (d *destination) safeRequestWaiting(eps []*endpoint) bool {
	doubtful := func(e *endpoint) bool { return e.Doubtful }
	safe := func(r *request) bool { return r.class.Effect == Safe && r.key == 0 }
	return slices.ContainsFunc(eps, doubtful) && slices.ContainsFunc(d.queue, safe)
}

// factorIf returns factor if holds is true, else 1.
func factorIf(holds bool, factor float64) float64 {
	if holds {
		return factor
	}
	return 1
}

// remove removes x from list and keeps the order.
func remove[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// minAssumedRate returns the calls per second that a destination about which nothing is known is
// assumed to withstand. Without this minimum, a destination that is down when the courier restarts
// would get a trial only once in many seconds.
func (c *Courier) minAssumedRate() float64 {
	total := 0.0
	for _, t := range c.settings.Tenants {
		total += t.Quota
	}
	part := unknownCapacityShare * total / float64(max(1, c.listedDestinations, len(c.destinationOrder)))
	return math.Max(part, 1/seconds(max(c.settings.CollapseTime, c.settings.Tick)))
}

// jitter varies d by up to a quarter either way, so that couriers do not act in step.
func (c *Courier) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*c.rng.Float64()))
}

func (c *Courier) emit(a Action) { c.actions = append(c.actions, a) }

func seconds(d time.Duration) float64 { return d.Seconds() }

func durationOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// addEndpoint adds a new endpoint to its destination's route or, if each has its own, to a new one.
func (c *Courier) addEndpoint(e *endpoint) {
	d := c.destinationFor(e.Destination)
	if e.Kind >= 0 && e.Kind < len(c.settings.Kinds) {
		d.kind, d.kindIndex = c.settings.Kinds[e.Kind], e.Kind
	}
	if len(d.routes) == 0 || d.kind.LimitPerEndpoint {
		d.routes = append(d.routes, &route{dest: d, limitLeft: 1})
	}
	e.route = d.routes[len(d.routes)-1]
	e.route.endpoints = append(e.route.endpoints, e)
	d.endpoints = append(d.endpoints, e)
	e.classFailedAt, e.ExcludedFor = make([]time.Duration, len(c.settings.Classes)), 0 // update sets it
}

// destinationFor returns the destination with this id and creates it if necessary.
func (c *Courier) destinationFor(id DestinationID) *destination {
	d := c.destinations[id]
	if d == nil {
		d = &destination{
			id: id, countingSince: c.now, kind: Kind{BundleMax: 1},
			window: math.Max(1, math.Floor(initialWindowShare*float64(c.settings.Slots))),
		}
		d.firstAttempts.window, d.retries.window, d.successes.window = retryBudgetWindow,
			retryBudgetWindow, retryBudgetWindow
		c.destinations[id] = d
		c.destinationOrder = append(c.destinationOrder, d)
	}
	return d
}

// finishRequest removes a request. With an attempt still open it keeps its place in its key queue.
func (c *Courier) finishRequest(r *request) {
	if !r.answered {
		r.answered = true
		c.pending = remove(c.pending, r)
		r.dest.queue = remove(r.dest.queue, r)
	}
	if r.call != nil {
		return
	}
	delete(c.requests, r.id)
	if l := c.keyQueues[r.key]; r.key != 0 && l != nil {
		l.queue = remove(l.queue, r)
		if len(l.queue) == 0 {
			c.emptyKeyQueues = append(c.emptyKeyQueues, r.key)
		}
	}
}

// trialCallOpen reports whether a request sent as a trial on r is still open.
func (c *Courier) trialCallOpen(r *route) bool {
	for _, e := range r.endpoints {
		if e.trialCall != nil && e.trialCall.pendingOutcomes > 0 {
			return true
		}
	}
	return false
}

// expireKeyQueues removes the key queues that are empty and whose settling delay is over.
func (c *Courier) expireKeyQueues() {
	kept := c.emptyKeyQueues[:0]
	for _, key := range c.emptyKeyQueues {
		switch l := c.keyQueues[key]; {
		case l == nil || len(l.queue) > 0:
		case c.now >= l.settleUntil:
			delete(c.keyQueues, key)
		default:
			kept = append(kept, key)
		}
	}
	c.emptyKeyQueues = kept
}

// logEndpoint emits a log line for operators.
func (c *Courier) logEndpoint(event string, e *endpoint, detail string) {
	c.emit(Log{Text: fmt.Sprintf("%s: destination %d endpoint %d %s", event, e.Destination, e.ID, detail)})
}

// enqueue adds r to its destination's queue and marks the destination active.
func (c *Courier) enqueue(r *request) {
	d := r.dest
	d.queue = append(d.queue, r)
	if !d.active {
		d.active = true
		c.active = append(c.active, d)
	}
}

// deactivateIdle removes destinations without requests and open calls from the active ones.
func (c *Courier) deactivateIdle() {
	kept := c.active[:0]
	for _, d := range c.active {
		if d.active = len(d.queue) > 0 || d.openCalls > 0; d.active {
			kept = append(kept, d)
		}
	}
	c.active = kept
}

// update applies a list entry. An endpoint whose exclusion by an operator has ended is cold,
// whatever its state was.
func (e *endpoint) update(entry Endpoint, now time.Duration) {
	restarted := entry.ExcludedFor > 0 && e.ExcludedFor == 0
	e.Phase, e.Weight, e.Doubtful, e.ExcludedFor = entry.Phase, entry.Weight, entry.Doubtful,
		entry.ExcludedFor
	if restarted {
		e.enterRecovery(now)
	}
}

// enterRecovery makes e cold after its exclusion by an operator.
func (e *endpoint) enterRecovery(now time.Duration) {
	e.setState(cold, now)
	e.lastOutage, e.failures = e.ExcludedFor, 0
}

// wakeBy makes sure that a timer expires at t at the latest.
func (c *Courier) wakeBy(t time.Duration) {
	if c.wakeAt == 0 || t < c.wakeAt {
		c.wakeAt = t
	}
}

// markGone marks an endpoint as removed from the list.
func (c *Courier) markGone(e *endpoint) {
	if e.Phase != Gone {
		e.Phase, e.goneAt = Gone, c.now
		c.goneEndpoints = append(c.goneEndpoints, e)
	}
}

// removeGone removes endpoints that left the list goneRetentionWindows ago. Each release of the
// targets brings new endpoints, so a courier that runs for weeks would otherwise keep them all.
func (c *Courier) removeGone() {
	for range len(c.goneEndpoints) {
		e := c.goneEndpoints[0]
		if c.now-e.goneAt < goneRetentionWindows*retryBudgetWindow {
			return
		}
		c.goneEndpoints = c.goneEndpoints[1:]
		switch {
		case e.Phase != Gone || c.endpoints[e.ID] != e: // listed again or unloaded
		case len(e.calls) > 0:
			c.goneEndpoints = append(c.goneEndpoints, e)
		default:
			c.removeEndpoint(e)
		}
	}
}

// removeEndpoint deletes e, and its route if it was the last endpoint of it.
func (c *Courier) removeEndpoint(e *endpoint) {
	r := e.route
	r.endpoints, r.dest.endpoints = remove(r.endpoints, e), remove(r.dest.endpoints, e)
	if len(r.endpoints) == 0 {
		r.dest.routes = remove(r.dest.routes, r)
	}
	delete(c.endpoints, e.ID)
}
