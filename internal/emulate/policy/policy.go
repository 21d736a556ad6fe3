// Package policy has what a courier may decide by in the emulator: the real module
// and, for comparison, simpler ways. None reads a clock or does I/O.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"snowjunction"
)

// Policy decides for one courier, as the module does.
type Policy interface {
	Handle(now time.Duration, events []snowjunction.Event) []snowjunction.Action
}

// GroundTruth is what only an oracle may see.
type GroundTruth interface {
	// Room tells whether a destination would take a call now, after the calls on
	// their way and so many more, and if not, when it may; an endpoint that drains or
	// fails takes none.
	Room(dest snowjunction.DestinationID, more int) (ok bool, wait time.Duration)
	// Works tells whether an endpoint would answer.
	Works(e snowjunction.EndpointID) bool
}

// Names are the policies that there are.
func Names() []string { return []string{"module", "one-try", "blind", "bucket", "adaptive", "oracle"} }

// New returns a policy of that name. Only the oracle uses truth.
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
		return nil, fmt.Errorf("no policy %q: there are %v", name, Names())
	}
	return b, nil
}

// baseline keeps the rules of order, of repeats, of told waits and of drains, as any
// policy must, sends in the order of arrival and does nothing clever beside what
// its name says:
//
//	one-try   one attempt each
//	blind     up to three more, after 100, 200, 400 ms and chance
//	bucket    the same, with a token bucket per destination at its told limit's even
//	          share
//	adaptive  the same, with a window per destination that grows by one a round and
//	          halves on a failure
//	oracle    sees which endpoints work and where there is room, and tries again
//	          until its attempts are spent
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
	pending       []*request // not out, in order of arrival
	endpoints     map[snowjunction.EndpointID]*endpoint
	destinations  map[snowjunction.DestinationID]*dest
	keys          map[uint64]*keyQueue
	lastTimer     uint64
	timerAt       time.Duration
}

type request struct {
	id           snowjunction.RequestID
	dest         *dest
	class        snowjunction.Class
	key          uint64
	deadline     time.Duration
	notBefore    time.Duration // not sent before
	attempts     int
	endpoint     *endpoint
	mayHaveRun   bool
	mayHaveRunAt time.Duration
	finished     bool
}

type endpoint struct {
	snowjunction.Endpoint
	calls int
}

type dest struct {
	id              snowjunction.DestinationID
	endpoints       []*endpoint
	calls           int
	retryAfterUntil time.Duration
	limit           float64
	tokens          float64
	refilledAt      time.Duration
	window          float64
	sentThisTurn    int // calls of this turn
}

type keyQueue struct {
	queue     []*request
	settledAt time.Duration
}

func (p *baseline) destination(id snowjunction.DestinationID) *dest {
	d := p.destinations[id]
	if d == nil {
		d = &dest{id: id, window: 2, tokens: 1}
		p.destinations[id] = d
	}
	return d
}

// Handle decides.
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

func (p *baseline) requestTimer(at time.Duration) {
	if p.timerAt == 0 || at < p.timerAt {
		p.timerAt = at
	}
}

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

// unload forgets a destination that has nothing to do; there is nothing to keep
// but a told wait.
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

// lastSendTime is when r may still be sent.
func (p *baseline) lastSendTime(r *request) time.Duration {
	last := r.deadline - 2*p.settings.Tick
	if r.mayHaveRun && r.class.Effect == snowjunction.Keyed {
		last = min(last, r.mayHaveRunAt+r.class.Window-2*p.settings.Tick)
	}
	return last
}

// send lets go what may, in order of arrival.
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
	var to *endpoint
	for _, e := range d.endpoints {
		if e.Phase != snowjunction.Ready || p.truth != nil && !p.truth.Works(e.ID) {
			continue
		}
		if to == nil || e.calls < to.calls {
			to = e
		}
	}
	if to == nil {
		if p.truth != nil {
			p.requestTimer(p.now + 4*p.settings.Tick)
		}
		return false
	}
	r.attempts++
	r.endpoint = to
	to.calls++
	d.sentThisTurn++
	d.calls++
	p.callsInFlight++
	timeout := min(max(time.Duration(0.6*float64(r.class.TargetLatency)), p.settings.ConnectTimeout), r.deadline-p.now)
	p.actions = append(p.actions, snowjunction.Send{Request: r.id, Endpoint: to.ID, Timeout: timeout})
	return true
}

// takeToken takes one of a destination's, which earns its limit's even share.
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
	harmless := !r.mayHaveRun || r.class.Effect != snowjunction.Unsafe
	if r.attempts >= p.maxAttempts || !harmless || p.now >= p.lastSendTime(r) {
		p.abandon(r)
		return
	}
	if p.backoff > 0 {
		r.notBefore = p.now + time.Duration(float64(p.backoff<<(r.attempts-1))*(0.5+p.rng.Float64()))
	}
	p.pending = append(p.pending, r)
}

func (p *baseline) abandon(r *request) {
	harmless := !r.mayHaveRun || r.class.Effect == snowjunction.Safe || r.class.Effect == snowjunction.Keyed && p.now < r.mayHaveRunAt+r.class.Window
	if p.truth != nil && harmless && p.now+p.settings.Tick < r.deadline {
		p.actions = append(p.actions, snowjunction.Refuse{Request: r.id})
	} else {
		p.actions = append(p.actions, snowjunction.Fail{Request: r.id})
	}
	p.finish(r)
}

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
