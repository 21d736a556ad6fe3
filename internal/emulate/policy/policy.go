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

// Truth is what only an oracle may see.
type Truth interface {
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
func New(name string, s snowjunction.Settings, truth Truth) (Policy, error) {
	if name == "module" {
		return snowjunction.New(s)
	}
	b := &plain{
		s: s, rng: rand.New(rand.NewPCG(s.Seed, 77)), reqs: map[snowjunction.RequestID]*request{},
		eps: map[snowjunction.EndpointID]*endpoint{}, dests: map[snowjunction.DestinationID]*dest{}, keys: map[uint64]*line{},
	}
	switch name {
	case "one-try":
		b.tries = 1
	case "blind":
		b.tries, b.backoff = 4, 400*time.Millisecond
	case "bucket":
		b.tries, b.backoff, b.bucket = 4, 400*time.Millisecond, true
	case "adaptive":
		b.tries, b.backoff, b.adaptive = 4, 400*time.Millisecond, true
	case "oracle":
		b.tries, b.truth = s.MaxAttempts, truth
	default:
		return nil, fmt.Errorf("no policy %q: there are %v", name, Names())
	}
	return b, nil
}

// plain keeps the rules of order, of repeats, of told waits and of drains, as any
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
type plain struct {
	s        snowjunction.Settings
	rng      *rand.Rand
	now      time.Duration
	out      []snowjunction.Action
	tries    int
	backoff  time.Duration
	bucket   bool
	adaptive bool
	truth    Truth

	calls int
	reqs  map[snowjunction.RequestID]*request
	queue []*request // not out, in order of arrival
	eps   map[snowjunction.EndpointID]*endpoint
	dests map[snowjunction.DestinationID]*dest
	keys  map[uint64]*line
	timer uint64
	due   time.Duration
}

type request struct {
	id       snowjunction.RequestID
	d        *dest
	class    snowjunction.Class
	key      uint64
	deadline time.Duration
	after    time.Duration // not sent before
	attempts int
	out      *endpoint
	ran      bool
	ranAt    time.Duration
	over     bool
}

type endpoint struct {
	snowjunction.Endpoint
	calls int
}

type dest struct {
	id     snowjunction.DestinationID
	eps    []*endpoint
	calls  int
	wait   time.Duration
	limit  float64
	tokens float64
	filled time.Duration
	window float64
	fresh  int // calls of this turn
}

type line struct {
	queue []*request
	rest  time.Duration
}

func (p *plain) dest(id snowjunction.DestinationID) *dest {
	d := p.dests[id]
	if d == nil {
		d = &dest{id: id, window: 2, tokens: 1}
		p.dests[id] = d
	}
	return d
}

// Handle decides.
func (p *plain) Handle(now time.Duration, events []snowjunction.Event) []snowjunction.Action {
	p.now, p.out, p.due = now, nil, 0
	for _, ev := range events {
		switch ev := ev.(type) {
		case snowjunction.List:
			p.list(ev)
		case snowjunction.Load:
			p.list(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: ev.Endpoints})
		case snowjunction.Unload:
			p.sleep(ev.Destination)
		case snowjunction.Request:
			p.take(ev)
		case snowjunction.AttemptEnded:
			p.ended(ev)
		case snowjunction.Withdrawn:
			if r := p.reqs[ev.Request]; r != nil {
				p.finish(r)
			}
		}
	}
	p.send()
	if len(p.keys) > 4*len(p.reqs)+1024 {
		for k, l := range p.keys {
			if len(l.queue) == 0 && now >= l.rest {
				delete(p.keys, k)
			}
		}
	}
	if p.due > 0 {
		p.timer++
		p.out = append(p.out, snowjunction.SetTimer{Token: p.timer, After: max(p.due-now, p.s.Tick)})
	}
	return p.out
}

func (p *plain) soon(at time.Duration) {
	if p.due == 0 || at < p.due {
		p.due = at
	}
}

func (p *plain) list(ev snowjunction.List) {
	if ev.Kind == snowjunction.ListFailed {
		return
	}
	if ev.Kind != snowjunction.ListDelta {
		for _, e := range p.eps {
			e.Phase = snowjunction.Gone
		}
	}
	for _, x := range ev.Endpoints {
		e := p.eps[x.ID]
		if e == nil {
			e = &endpoint{}
			p.eps[x.ID] = e
			d := p.dest(x.Destination)
			d.eps = append(d.eps, e)
		}
		e.Endpoint = x
	}
}

// sleep forgets a destination that has nothing to do; there is nothing to keep
// but a told wait.
func (p *plain) sleep(id snowjunction.DestinationID) {
	d := p.dests[id]
	busy := d == nil || d.calls > 0 || p.now < d.wait
	for _, r := range p.reqs {
		busy = busy || r.d == d
	}
	if busy {
		p.out = append(p.out, snowjunction.Unloaded{Destination: id, Busy: true})
		return
	}
	for _, e := range d.eps {
		delete(p.eps, e.ID)
	}
	delete(p.dests, id)
	p.out = append(p.out, snowjunction.Unloaded{Destination: id, Snapshot: &snowjunction.DestinationSnapshot{}})
}

func (p *plain) take(ev snowjunction.Request) {
	r := &request{
		id: ev.ID, d: p.dest(ev.Destination), class: p.s.Classes[ev.Class], deadline: p.now + ev.Deadline,
		attempts: ev.Attempts, ran: ev.MayHaveRun, ranAt: p.now - ev.SinceRun,
	}
	p.reqs[r.id] = r
	if r.class.InOrder && ev.Key != 0 {
		r.key = ev.Key
		l := p.keys[r.key]
		if l == nil {
			l = &line{}
			p.keys[r.key] = l
		}
		l.queue = append(l.queue, r)
	}
	p.queue = append(p.queue, r)
}

// last is when r may still be sent.
func (p *plain) last(r *request) time.Duration {
	last := r.deadline - 2*p.s.Tick
	if r.ran && r.class.Effect == snowjunction.Keyed {
		last = min(last, r.ranAt+r.class.Window-2*p.s.Tick)
	}
	return last
}

// send lets go what may, in order of arrival.
func (p *plain) send() {
	for _, r := range p.queue {
		r.d.fresh = 0
	}
	kept := p.queue[:0]
	for _, r := range p.queue {
		switch {
		case r.over:
		case p.now >= p.last(r):
			p.giveUp(r)
		case p.calls < p.s.Slots && p.try(r):
		default:
			p.soon(p.last(r))
			kept = append(kept, r)
		}
	}
	p.queue = kept
}

func (p *plain) try(r *request) bool {
	if r.key != 0 {
		l := p.keys[r.key]
		if l.queue[0] != r {
			return false
		}
		if p.now < l.rest && r.attempts == 0 {
			p.soon(l.rest)
			return false
		}
	}
	d := r.d
	if until := max(r.after, d.wait); p.now < until {
		p.soon(until)
		return false
	}
	if float64(d.calls) >= math.Floor(0.75*float64(p.s.Slots)) || p.adaptive && float64(d.calls) >= math.Floor(d.window) {
		return false
	}
	if p.bucket && d.limit > 0 && !p.token(d) {
		return false
	}
	if p.truth != nil {
		if ok, wait := p.truth.Room(d.id, d.fresh); !ok {
			p.soon(p.now + max(wait, p.s.Tick))
			return false
		}
	}
	var to *endpoint
	for _, e := range d.eps {
		if e.Phase != snowjunction.Ready || p.truth != nil && !p.truth.Works(e.ID) {
			continue
		}
		if to == nil || e.calls < to.calls {
			to = e
		}
	}
	if to == nil {
		if p.truth != nil {
			p.soon(p.now + 4*p.s.Tick)
		}
		return false
	}
	r.attempts++
	r.out = to
	to.calls++
	d.fresh++
	d.calls++
	p.calls++
	timeout := min(max(time.Duration(0.6*float64(r.class.TargetLatency)), p.s.ConnectTimeout), r.deadline-p.now)
	p.out = append(p.out, snowjunction.Send{Request: r.id, Endpoint: to.ID, Timeout: timeout})
	return true
}

// token takes one of a destination's, which earns its limit's even share.
func (p *plain) token(d *dest) bool {
	rate := d.limit / float64(max(1, p.s.Fleet))
	d.tokens = math.Min(d.tokens+(p.now-d.filled).Seconds()*rate, math.Max(1, rate/2))
	d.filled = p.now
	if d.tokens < 1 {
		p.soon(p.now + time.Duration((1-d.tokens)/rate*float64(time.Second)))
		return false
	}
	d.tokens--
	return true
}

func (p *plain) ended(ev snowjunction.AttemptEnded) {
	r := p.reqs[ev.Request]
	if r == nil || r.out == nil || ev.Attempt != r.attempts-1 {
		return
	}
	r.out.calls--
	r.d.calls--
	p.calls--
	r.out = nil
	for i, v := range ev.Report {
		if i < len(p.s.Report) && p.s.Report[i] == snowjunction.LimitRate && v > 0 {
			r.d.limit = v
		}
	}
	if ev.Outcome == snowjunction.Rejected && ev.RetryAfter > 0 {
		r.d.wait = max(r.d.wait, p.now+ev.RetryAfter+p.s.Tick)
	}
	if ev.Outcome == snowjunction.OK {
		r.d.window = math.Min(r.d.window+1/r.d.window, float64(p.s.Slots))
	} else {
		r.d.window = math.Max(1, r.d.window/2)
	}
	unsure := ev.Outcome == snowjunction.TimedOut || ev.Outcome == snowjunction.Reset || ev.Outcome == snowjunction.Cancelled
	if (unsure || ev.Outcome == snowjunction.Error) && !r.ran {
		r.ran, r.ranAt = true, p.now-ev.Took
	}
	if r.key != 0 && unsure {
		p.keys[r.key].rest = p.now + p.s.OrderSettle
	}
	if ev.Done || r.over {
		p.finish(r)
		return
	}
	harmless := !r.ran || r.class.Effect != snowjunction.Unsafe
	if r.attempts >= p.tries || !harmless || p.now >= p.last(r) {
		p.giveUp(r)
		return
	}
	if p.backoff > 0 {
		r.after = p.now + time.Duration(float64(p.backoff<<(r.attempts-1))*(0.5+p.rng.Float64()))
	}
	p.queue = append(p.queue, r)
}

func (p *plain) giveUp(r *request) {
	harmless := !r.ran || r.class.Effect == snowjunction.Safe || r.class.Effect == snowjunction.Keyed && p.now < r.ranAt+r.class.Window
	if p.truth != nil && harmless && p.now+p.s.Tick < r.deadline {
		p.out = append(p.out, snowjunction.Refuse{Request: r.id})
	} else {
		p.out = append(p.out, snowjunction.Fail{Request: r.id})
	}
	p.finish(r)
}

func (p *plain) finish(r *request) {
	r.over = true
	if r.out != nil {
		return
	}
	delete(p.reqs, r.id)
	if l := p.keys[r.key]; r.key != 0 && l != nil {
		for i, x := range l.queue {
			if x == r {
				l.queue = append(l.queue[:i], l.queue[i+1:]...)
				break
			}
		}
		if len(l.queue) == 0 && p.now >= l.rest {
			delete(p.keys, r.key)
		}
	}
}
