// Package policy has the decision policies of the emulator: the real module and, for
// comparison, simpler baselines. None reads a clock or does I/O.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"snowjunction"
)

// Policy decides for one courier, with the interface of the module.
type Policy interface {
	Handle(now time.Duration, events []snowjunction.Event) []snowjunction.Action
}

// GroundTruth is the actual state of the simulation, which only the oracle may read.
type GroundTruth interface {
	// Room reports whether a destination would accept a call now, after the calls in
	// transit and the given number of further ones. If not, wait is the time until it may.
	Room(dest snowjunction.DestinationID, more int) (ok bool, wait time.Duration)
	// Works reports whether an endpoint would answer; one that drains or fails does not.
	Works(e snowjunction.EndpointID) bool
}

// Names returns the names of the policies.
func Names() []string { return []string{"module", "one-try", "blind", "bucket", "adaptive", "oracle"} }

// New returns the policy with the given name. Only the oracle uses truth.
func New(name string, s snowjunction.Settings, truth GroundTruth) (Policy, error) {
	if name == "module" {
		return snowjunction.New(s)
	}
	b := &baseline{
		settings: s, rng: rand.New(rand.NewPCG(s.Seed, 77)), requests: map[snowjunction.RequestID]*request{},
		endpoints: map[snowjunction.EndpointID]*endpoint{}, destinations: map[snowjunction.DestinationID]*dest{}, keys: map[uint64]*keyQueue{},
	}
	switch name {
	case "one-try":
		b.maxAttempts = 1
	case "blind":
		b.maxAttempts, b.backoff = 4, 400*time.Millisecond
	case "bucket":
		b.maxAttempts, b.backoff, b.tokenBucket = 4, 400*time.Millisecond, true
	case "adaptive":
		b.maxAttempts, b.backoff, b.adaptive = 4, 400*time.Millisecond, true
	case "oracle":
		b.maxAttempts, b.truth = s.MaxAttempts, truth
	default:
		return nil, fmt.Errorf("no policy %q: known policies are %v", name, Names())
	}
	return b, nil
}

// baseline follows the rules that bind every policy (order of a key, safe retries,
// retry-after delays, drains) and sends in the order of arrival. Beyond that it does
// only what its name says:
//
//	one-try   one attempt per message
//	blind     up to three retries, with exponential backoff from 400 ms and jitter
//	bucket    as blind, with a token bucket per destination at an even share of the
//	          limit that the destination reports
//	adaptive  as blind, with a concurrency window per destination that grows by one
//	          per round and halves on a failure
//	oracle    knows which endpoints work and which destinations have capacity, and
//	          retries until no attempts are left
type baseline struct {
	settings    snowjunction.Settings
	rng         *rand.Rand
	now         time.Duration
	actions     []snowjunction.Action
	maxAttempts int
	backoff     time.Duration
	tokenBucket bool
	adaptive    bool
	truth       GroundTruth

	callsInFlight int
	requests      map[snowjunction.RequestID]*request
	pending       []*request // without a call in flight, in order of arrival
	endpoints     map[snowjunction.EndpointID]*endpoint
	destinations  map[snowjunction.DestinationID]*dest
	keys          map[uint64]*keyQueue
	lastTimer     uint64
	timerAt       time.Duration
}

// request is a message that the policy holds.
type request struct {
	id           snowjunction.RequestID
	dest         *dest
	class        snowjunction.Class
	key          uint64
	deadline     time.Duration
	notBefore    time.Duration // earliest time of the next attempt
	attempts     int
	endpoint     *endpoint
	mayHaveRun   bool
	mayHaveRunAt time.Duration
	finished     bool
}

// endpoint is a listed endpoint with its calls in flight.
type endpoint struct {
	snowjunction.Endpoint
	calls int
}

// dest is the state of a destination.
type dest struct {
	id              snowjunction.DestinationID
	endpoints       []*endpoint
	calls           int
	retryAfterUntil time.Duration
	limit           float64
	tokens          float64
	refilledAt      time.Duration
	window          float64
	sentThisTurn    int // calls sent in this call of Handle
}

// keyQueue holds the messages of a key in order. settledAt is the time until which an earlier
// attempt may still run.
type keyQueue struct {
	queue     []*request
	settledAt time.Duration
}

// destination returns the state of a destination, created if necessary.
func (p *baseline) destination(id snowjunction.DestinationID) *dest {
	d := p.destinations[id]
	if d == nil {
		d = &dest{id: id, window: 2, tokens: 1}
		p.destinations[id] = d
	}
	return d
}

// Handle processes the events and returns the actions.
func (p *baseline) Handle(now time.Duration, events []snowjunction.Event) []snowjunction.Action {
	p.now, p.actions, p.timerAt = now, nil, 0
	for _, ev := range events {
		switch ev := ev.(type) {
		case snowjunction.List:
			p.applyList(ev)
		case snowjunction.Load:
			p.applyList(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: ev.Endpoints})
		case snowjunction.Unload:
			p.unload(ev.Destination)
		case snowjunction.Request:
			p.accept(ev)
		case snowjunction.AttemptEnded:
			p.attemptEnded(ev)
		case snowjunction.Withdrawn:
			if r := p.requests[ev.Request]; r != nil {
				p.finish(r)
			}
		}
	}
	p.send()
	if len(p.keys) > 4*len(p.requests)+1024 {
		for k, l := range p.keys {
			if len(l.queue) == 0 && now >= l.settledAt {
				delete(p.keys, k)
			}
		}
	}
	if p.timerAt > 0 {
		p.lastTimer++
		p.actions = append(p.actions, snowjunction.SetTimer{Token: p.lastTimer, After: max(p.timerAt-now, p.settings.Tick)})
	}
	return p.actions
}

// requestTimer makes sure that Handle is called again at a time.
func (p *baseline) requestTimer(at time.Duration) {
	if p.timerAt == 0 || at < p.timerAt {
		p.timerAt = at
	}
}

// applyList applies an endpoint list; a list that is no delta replaces the old one.
func (p *baseline) applyList(ev snowjunction.List) {
	if ev.Kind == snowjunction.ListFailed {
		return
	}
	if ev.Kind != snowjunction.ListDelta {
		for _, e := range p.endpoints {
			e.Phase = snowjunction.Gone
		}
	}
	for _, x := range ev.Endpoints {
		e := p.endpoints[x.ID]
		if e == nil {
			e = &endpoint{}
			p.endpoints[x.ID] = e
			d := p.destination(x.Destination)
			d.endpoints = append(d.endpoints, e)
		}
		e.Endpoint = x
	}
}

// unload removes an idle destination. Its only state is a retry-after delay, during
// which it counts as busy.
func (p *baseline) unload(id snowjunction.DestinationID) {
	d := p.destinations[id]
	busy := d == nil || d.calls > 0 || p.now < d.retryAfterUntil
	for _, r := range p.requests {
		busy = busy || r.dest == d
	}
	if busy {
		p.actions = append(p.actions, snowjunction.Unloaded{Destination: id, Busy: true})
		return
	}
	for _, e := range d.endpoints {
		delete(p.endpoints, e.ID)
	}
	delete(p.destinations, id)
	p.actions = append(p.actions, snowjunction.Unloaded{Destination: id, Snapshot: &snowjunction.DestinationSnapshot{}})
}

// accept takes a new request into the queues.
func (p *baseline) accept(ev snowjunction.Request) {
	r := &request{
		id: ev.ID, dest: p.destination(ev.Destination), class: p.settings.Classes[ev.Class], deadline: p.now + ev.Deadline,
		attempts: ev.Attempts, mayHaveRun: ev.MayHaveRun, mayHaveRunAt: p.now - ev.SinceRun,
	}
	p.requests[r.id] = r
	if r.class.InOrder && ev.Key != 0 {
		r.key = ev.Key
		l := p.keys[r.key]
		if l == nil {
			l = &keyQueue{}
			p.keys[r.key] = l
		}
		l.queue = append(l.queue, r)
	}
	p.pending = append(p.pending, r)
}

// lastSendTime returns the time until which an attempt of r may start.
func (p *baseline) lastSendTime(r *request) time.Duration {
	latest := r.deadline - 2*p.settings.Tick
	if r.mayHaveRun && r.class.Effect == snowjunction.Keyed {
		latest = min(latest, r.mayHaveRunAt+r.class.Window-2*p.settings.Tick)
	}
	return latest
}

// send starts the attempts that are allowed now, in order of arrival.
func (p *baseline) send() {
	for _, r := range p.pending {
		r.dest.sentThisTurn = 0
	}
	kept := p.pending[:0]
	for _, r := range p.pending {
		switch {
		case r.finished:
		case p.now >= p.lastSendTime(r):
			p.abandon(r)
		case p.callsInFlight < p.settings.Slots && p.try(r):
		default:
			p.requestTimer(p.lastSendTime(r))
			kept = append(kept, r)
		}
	}
	p.pending = kept
}

// try starts an attempt of r if it is allowed now, and reports whether it did.
func (p *baseline) try(r *request) bool {
	if r.key != 0 {
		l := p.keys[r.key]
		if l.queue[0] != r {
			return false
		}
		if p.now < l.settledAt && r.attempts == 0 {
			p.requestTimer(l.settledAt)
			return false
		}
	}
	d := r.dest
	if until := max(r.notBefore, d.retryAfterUntil); p.now < until {
		p.requestTimer(until)
		return false
	}
	if float64(d.calls) >= math.Floor(0.75*float64(p.settings.Slots)) || p.adaptive && float64(d.calls) >= math.Floor(d.window) {
		return false
	}
	if p.tokenBucket && d.limit > 0 && !p.takeToken(d) {
		return false
	}
	if p.truth != nil {
		if ok, wait := p.truth.Room(d.id, d.sentThisTurn); !ok {
			p.requestTimer(p.now + max(wait, p.settings.Tick))
			return false
		}
	}
	var target *endpoint
	for _, e := range d.endpoints {
		if e.Phase != snowjunction.Ready || p.truth != nil && !p.truth.Works(e.ID) {
			continue
		}
		if target == nil || e.calls < target.calls {
			target = e
		}
	}
	if target == nil {
		if p.truth != nil {
			p.requestTimer(p.now + 4*p.settings.Tick)
		}
		return false
	}
	r.attempts++
	r.endpoint = target
	target.calls++
	d.sentThisTurn++
	d.calls++
	p.callsInFlight++
	timeout := min(max(time.Duration(0.6*float64(r.class.TargetLatency)), p.settings.ConnectTimeout), r.deadline-p.now)
	p.actions = append(p.actions, snowjunction.Send{Request: r.id, Endpoint: target.ID, Timeout: timeout})
	return true
}

// takeToken takes a token of a destination if there is one. Tokens accrue at an even share of
// the limit.
func (p *baseline) takeToken(d *dest) bool {
	rate := d.limit / float64(max(1, p.settings.Fleet))
	d.tokens = math.Min(d.tokens+(p.now-d.refilledAt).Seconds()*rate, math.Max(1, rate/2))
	d.refilledAt = p.now
	if d.tokens < 1 {
		p.requestTimer(p.now + time.Duration((1-d.tokens)/rate*float64(time.Second)))
		return false
	}
	d.tokens--
	return true
}

// attemptEnded updates the state by the outcome of an attempt, then finishes, abandons or
// retries the request.
func (p *baseline) attemptEnded(ev snowjunction.AttemptEnded) {
	r := p.requests[ev.Request]
	if r == nil || r.endpoint == nil || ev.Attempt != r.attempts-1 {
		return
	}
	r.endpoint.calls--
	r.dest.calls--
	p.callsInFlight--
	r.endpoint = nil
	for i, v := range ev.Report {
		if i < len(p.settings.Report) && p.settings.Report[i] == snowjunction.LimitRate && v > 0 {
			r.dest.limit = v
		}
	}
	if ev.Outcome == snowjunction.Rejected && ev.RetryAfter > 0 {
		r.dest.retryAfterUntil = max(r.dest.retryAfterUntil, p.now+ev.RetryAfter+p.settings.Tick)
	}
	if ev.Outcome == snowjunction.OK {
		r.dest.window = math.Min(r.dest.window+1/r.dest.window, float64(p.settings.Slots))
	} else {
		r.dest.window = math.Max(1, r.dest.window/2)
	}
	unsure := ev.Outcome == snowjunction.TimedOut || ev.Outcome == snowjunction.Reset || ev.Outcome == snowjunction.Cancelled
	if (unsure || ev.Outcome == snowjunction.Error) && !r.mayHaveRun {
		r.mayHaveRun, r.mayHaveRunAt = true, p.now-ev.Took
	}
	if r.key != 0 && unsure {
		p.keys[r.key].settledAt = p.now + p.settings.OrderSettle
	}
	if ev.Done || r.finished {
		p.finish(r)
		return
	}
	retrySafe := !r.mayHaveRun || r.class.Effect != snowjunction.Unsafe
	if r.attempts >= p.maxAttempts || !retrySafe || p.now >= p.lastSendTime(r) {
		p.abandon(r)
		return
	}
	if p.backoff > 0 {
		r.notBefore = p.now + time.Duration(float64(p.backoff<<(r.attempts-1))*(0.5+p.rng.Float64()))
	}
	p.pending = append(p.pending, r)
}

// abandon gives the request its final result without a delivery: refused, for the oracle and if
// a retry by the client is safe, otherwise failed.
func (p *baseline) abandon(r *request) {
	retrySafe := !r.mayHaveRun || r.class.Effect == snowjunction.Safe || r.class.Effect == snowjunction.Keyed && p.now < r.mayHaveRunAt+r.class.Window
	if p.truth != nil && retrySafe && p.now+p.settings.Tick < r.deadline {
		p.actions = append(p.actions, snowjunction.Refuse{Request: r.id})
	} else {
		p.actions = append(p.actions, snowjunction.Fail{Request: r.id})
	}
	p.finish(r)
}

// finish removes a request once it has no attempt in flight.
func (p *baseline) finish(r *request) {
	r.finished = true
	if r.endpoint != nil {
		return
	}
	delete(p.requests, r.id)
	if l := p.keys[r.key]; r.key != 0 && l != nil {
		for i, x := range l.queue {
			if x == r {
				l.queue = append(l.queue[:i], l.queue[i+1:]...)
				break
			}
		}
		if len(l.queue) == 0 && p.now >= l.settledAt {
			delete(p.keys, r.key)
		}
	}
}
