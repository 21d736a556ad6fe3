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

// Courier decides for one relay. It is not safe for concurrent use.
type Courier struct {
	s         Settings
	t         Tuning
	rng       *rand.Rand
	now       time.Duration
	sweepAt   time.Duration // no held request's time is up before
	out       []Action
	eps       map[EndpointID]*endpoint
	dests     map[DestinationID]*destination
	order     []*destination // in order of first sight
	listed    int            // destinations that there are, here and elsewhere
	left      []*endpoint    // gone ones, in order of their going
	reqs      map[RequestID]*request
	classes   []class    // and one for what is out of range
	held      []*request // not answered yet, in order of arrival
	lines     map[uint64]*line
	idle      []uint64 // keys whose lines are empty
	quotas    []bucket // of the tenants
	calls     int      // slots in use
	round     map[*endpoint]*call
	timerAt   time.Duration // the timer that is set; 0: none
	timer     uint64
	asked     bool
	askAt     time.Duration
	repeatGap []time.Duration // by kind
	small     []time.Duration // by kind: until then connection tables are taken for small
	scratch   []*endpoint
	offers    []offer
	due       time.Duration  // next moment at which time alone may change something
	active    []*destination // those with requests or calls to look after
	reaped    slider         // failures on connections that had been idle
	lasted    slider         // successes on such as old as the youngest that failed
	reapAge   time.Duration  // the age of that one
	prompt    time.Duration  // the shortest aim of the classes
	line      *lease.Line
	ledgers   map[DestinationID]*lease.Ledger // those that this courier keeps
	greeted   bool                            // the fleet has been told that this courier is there
	heardAt   time.Duration                   // another was heard last
	wished    []DestinationID                 // those of them that calls are wished for
	outbox    []Tell                          // notes to go
}

// New returns a courier, or an error that names the impossible setting.
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
		s: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)),
		eps: map[EndpointID]*endpoint{}, dests: map[DestinationID]*destination{},
		reqs: map[RequestID]*request{}, lines: map[uint64]*line{},
		quotas: make([]bucket, len(s.Tenants)), round: map[*endpoint]*call{},
		small: make([]time.Duration, max(1, len(s.Kinds))), prompt: s.Classes[0].Aim,
	}
	if c.t = StandardTuning(); s.Tuning != nil {
		c.t = *s.Tuning
	}
	for i, cl := range s.Classes {
		c.prompt = max(min(c.prompt, cl.Aim), s.Tick)
		c.classes = append(c.classes, class{cl, i})
	}
	unknown := c.classes[len(c.classes)-1]
	unknown.Effect = Unsafe
	c.classes = append(c.classes, unknown)
	for range c.small {
		c.repeatGap = append(c.repeatGap, c.prompt)
	}
	c.line, c.ledgers = lease.NewLine(s.Fleet, s.Number), map[DestinationID]*lease.Ledger{}
	c.reaped.span, c.lasted.span = reapMemory*ledgerSpan, reapMemory*ledgerSpan
	return c, nil
}

// Handle takes what happened up to now and returns what to do.
func (c *Courier) Handle(now time.Duration, events []Event) []Action {
	c.now, c.out, c.due = now, nil, 0
	clear(c.round)
	for _, ev := range events {
		switch ev := ev.(type) {
		case List:
			c.list(ev)
		case Sleep:
			c.sleep(ev)
		case Wake:
			c.awaken(ev)
		case Look:
			c.look(ev)
		case Request:
			c.take(ev)
		case WaitTold:
			if e := c.eps[ev.Endpoint]; e != nil {
				e.route.told(c.now + ev.Wait + c.s.Tick)
			}
		case AttemptEnded:
			c.ended(ev)
		case ProbeEnded:
			c.probed(ev)
		case Withdrawn:
			if r := c.reqs[ev.Request]; r != nil {
				c.finish(r)
			}
		case StreamStarted:
			if r := c.reqs[ev.Request]; r != nil {
				r.streaming = true
			}
		case Heard:
			c.heard(ev)
		case Rests:
			if c.lines[ev.Key] == nil {
				c.lines[ev.Key] = &line{rest: c.now + ev.For}
				c.idle = append(c.idle, ev.Key)
			}
		case Timer:
			if ev.Token == c.timer {
				c.timerAt = 0
			}
		}
	}
	c.decide()
	c.tell()
	c.rest()
	c.wake()
	return c.out
}

// wake asks for a timer for the next moment at which time alone may change
// something, unless one is set for before.
func (c *Courier) wake() {
	if c.due == 0 || c.timerAt > c.now && c.timerAt <= c.due {
		return
	}
	after := max(c.due-c.now, c.s.Tick)
	c.timer++
	c.timerAt = c.now + after
	c.do(SetTimer{Token: c.timer, After: after})
}

// dropIdle closes idle connections, so that the next call opens a new one.
func (c *Courier) dropIdle(e *endpoint) {
	if len(e.idle) > 0 {
		c.do(CloseIdle{Endpoint: e.ID})
		e.idle = nil
	}
}

// slider sums weights over a sliding window, in buckets.
type slider struct {
	span    time.Duration
	buckets [10]float64
	head    int64 // number of the newest bucket
}

func (s *slider) advance(now time.Duration) {
	step := s.span / time.Duration(len(s.buckets))
	n := int64(now / step)
	if n-s.head >= int64(len(s.buckets)) {
		s.buckets, s.head = [10]float64{}, n
	}
	for s.head < n {
		s.head++
		s.buckets[s.head%int64(len(s.buckets))] = 0
	}
}

func (s *slider) add(now time.Duration, w float64) {
	s.advance(now)
	s.buckets[s.head%int64(len(s.buckets))] += w
}

func (s *slider) sum(now time.Duration) (total float64) {
	s.advance(now)
	for _, b := range s.buckets {
		total += b
	}
	return total
}

// bucket earns tokens with time. It starts full.
type bucket struct {
	tokens float64
	at     time.Duration
	begun  bool
}

func (b *bucket) fill(now time.Duration, rate, most float64) {
	b.tokens = math.Min(b.tokens+seconds(now-b.at)*rate, most)
	if !b.begun {
		b.tokens, b.begun = most, true
	}
	b.at = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// trail holds weighted moments, oldest first.
type trail struct {
	at []time.Duration
	w  []float64
}

func (t *trail) add(now time.Duration, w float64) {
	t.at, t.w = append(t.at, now), append(t.w, w)
}

// undo takes back what was added at that moment.
func (t *trail) undo(at time.Duration, w float64) {
	for i := len(t.at) - 1; i >= 0 && w > 0 && t.at[i] >= at; i-- {
		if t.at[i] == at {
			taken := math.Min(w, t.w[i])
			t.w[i] -= taken
			w -= taken
		}
	}
}

// drop forgets what lies before from.
func (t *trail) drop(from time.Duration) {
	for len(t.at) > 0 && t.at[0] < from {
		t.at, t.w = t.at[1:], t.w[1:]
	}
}

// since drops what lies before from and sums the rest.
func (t *trail) since(from time.Duration) (total float64) {
	t.drop(from)
	for _, w := range t.w {
		total += w
	}
	return total
}

// offer is a request that might go, and where to.
type offer struct {
	r     *request
	on    *endpoint
	worth float64 // per slot
}

// call is one call that is out, with the requests it carries.
type call struct {
	ep     *endpoint
	sent   time.Duration
	size   int           // requests sent with it
	left   int           // outcomes still due
	judged bool          // its fate has been counted
	cut    bool          // its time-out is too short to tell anything
	idled  time.Duration // how long its connection was idle; 0: a new one
}

// class is a class of requests with its number.
type class struct {
	Class
	no int
}

// class returns the class of that number. Nothing is known of one out of
// range: it is taken for the last, unsafe.
func (c *Courier) class(no int) *class {
	if no < 0 || no >= len(c.s.Classes) {
		return &c.classes[len(c.s.Classes)]
	}
	return &c.classes[no]
}

// hold files a new request in its queue and its key's line.
func (c *Courier) hold(r *request) {
	if r.key != 0 {
		l := c.lines[r.key]
		if l == nil {
			l = &line{}
			c.lines[r.key] = l
		}
		l.queue = append(l.queue, r)
	}
	c.reqs[r.id] = r
	c.held = append(c.held, r)
	c.enqueue(r)
}

// open starts a call to e.
func (c *Courier) open(e *endpoint) *call {
	b := &call{ep: e, sent: c.now}
	c.round[e] = b
	e.calls = append(e.calls, b)
	c.calls++
	e.route.dest.calls++
	return b
}

// goesOn takes up a request whose attempt is out still, and tells whether it is one.
func (c *Courier) goesOn(r *request, ev Request) bool {
	e := c.eps[ev.OutOn]
	if ev.OutOn == 0 || e == nil || e.route.dest != r.dest {
		return false
	}
	b := c.open(e)
	delete(c.round, e) // nothing joins what has left
	b.sent, b.size, b.left = c.now-ev.OutFor, 1, 1
	r.call = b
	r.dest.queue = remove(r.dest.queue, r)
	return true
}

// Resting calls f with the keys that rest, and for how long.
func (c *Courier) Resting(f func(key uint64, left time.Duration)) {
	for key, l := range c.lines {
		if l.rest > c.now {
			f(key, l.rest-c.now)
		}
	}
}

// Stands tells whether an attempt that is out, but of which no byte has left yet,
// may still leave at now. A connection may take a second and more to come up: since
// the decision its message's window or time may have ended, or the destination have
// told a wait or begun to drain. It changes nothing.
func (c *Courier) Stands(now time.Duration, id RequestID) bool {
	r := c.reqs[id]
	if r == nil || r.call == nil || r.over {
		return false
	}
	e := r.call.ep
	return e.Phase == Ready && now >= e.route.toldUntil && now < c.last(r)
}

// Avoided is how many listed endpoints get nothing now but a trial.
func (c *Courier) Avoided() (n int) {
	for _, d := range c.order {
		for _, e := range d.eps {
			if e.Phase == Ready && e.state == down {
				n++
			}
		}
	}
	return n
}

// closeCall counts an outcome of a call; the last frees its slot.
func (c *Courier) closeCall(b *call) {
	if b.left--; b.left == 0 {
		b.ep.calls = remove(b.ep.calls, b)
		c.calls--
		b.ep.route.dest.calls--
	}
}

// request is one message from its arrival to its last outcome.
type request struct {
	id        RequestID
	class     *class
	dest      *destination
	key       uint64
	over      bool // answered
	excess    bool // above its tenant's quota
	aimAt     time.Duration
	deadline  time.Duration
	attempts  int
	call      *call // the attempt that is out, if any
	streaming bool  // its answer has begun: no deadline runs any longer
	ran       bool  // an attempt may have run
	ranAt     time.Duration
	ranOn     *endpoint
}

// line is the requests of one key in the order taken.
type line struct {
	queue []*request
	rest  time.Duration // nothing goes before this
}

// health is the state of an endpoint; turn moves it.
type health int

const (
	up   health = iota // serves
	down               // failed: held, and asked
	cold               // back from an outage: slow start
)

// endpoint is one address of a destination.
type endpoint struct {
	Endpoint
	route    *route
	calls    []*call
	idle     []time.Duration // when each idle connection was last used
	latency  float64         // smoothed, in seconds
	lastOK   time.Duration
	fails    int // strikes in a row
	state    health
	since    time.Duration // its state was entered
	failedAt time.Duration // first strike in the row
	downFor  time.Duration // of the last outage seen here
	outFor   time.Duration // the longest that it may have been (outage)
	goneAt   time.Duration // it left the list
	vouched  bool          // while closed: a request sent as a trial is not lost
	backoff  time.Duration
	trialAt  time.Duration
	trying   *call           // the last request sent as a trial
	soured   []time.Duration // by class: its last failure, if no success followed
}

// enter changes e's state. Where all of its route was well it is the begin of an outage:
// calls in an earlier one say nothing of it.
func (e *endpoint) enter(to health, now time.Duration) {
	if e.route.notUp() == 0 {
		e.route.spread.Reset()
	}
	e.state, e.since = to, now
}

// outage is how long e may have been out, for all that is known here: another courier may
// have seen it begin right after the last answer to this one.
func (e *endpoint) outage(now time.Duration) time.Duration {
	if e.state == cold {
		return max(e.downFor, e.outFor)
	}
	return now - max(e.lastOK, e.route.dest.since)
}

// route is what has a limit, a pace and waits of its own: all endpoints of
// a destination together or, where routes are apart, each alone.
type route struct {
	dest         *destination
	eps          []*endpoint
	waitUntil    time.Duration
	toldUntil    time.Duration // as waitUntil, as far as it has told it: this binds
	pauseUntil   time.Duration // as waitUntil, after a failure to connect: nobody has told it
	carefulUntil time.Duration // it has slept: its pace stays under the even share
	limit        float64       // calls a second from all couriers; 0: none known
	left         float64       // share of it last reported left
	gap          time.Duration // least time between calls while it refuses, in large fleets
	pace         float64       // this courier's own calls a second
	lostPace     float64       // that with which it began as no keeper answered any more
	bucket       bucket
	wanting      bool // a request waited for a token
	fullAt       time.Duration
	fulls        int // refusals in a row, as episodes
	trialOut     int
	coldSends    trail         // calls to endpoints that were not well
	spread       lease.Spread  // the same, where this courier's part is under a call in the fall time
	lease        *lease.Holder // what this courier may call of it, where the fleet shares its limit
	news         Note          // what its keeper is yet to be told
	toldLimit    float64
	toldTo       int           // the number after that of the keeper that has been told it
	reportedAt   time.Duration // an answer told of its limit
	failing      bool          // calls have failed to reach it, and none has been answered since
	failToldAt   time.Duration
}

// coldCall counts a call to an endpoint that was not well.
func (r *route) coldCall(now time.Duration, weight float64) {
	r.coldSends.add(now, weight)
	r.spread.Called(now)
}

// shutUntil is when the next call may go, for all that it has told or shown.
// told notes a wait that r has told.
func (r *route) told(until time.Duration) {
	r.toldUntil = max(r.toldUntil, until)
	r.waitUntil = max(r.waitUntil, r.toldUntil)
}

func (r *route) shutUntil() time.Duration { return max(r.waitUntil, r.pauseUntil) }

// evenShare is one courier's part of a route's limit.
func (c *Courier) evenShare(r *route) float64 { return c.bears(r) / float64(c.s.Fleet) }

// paceTop is the pace from which a refusal cuts, at the most.
func (c *Courier) paceTop(r *route) float64 {
	return math.Max(r.lostPace, c.evenShare(r)*c.t.PaceStart)
}

// bears is a route's limit, in calls a second: until it is known, the mean
// destination's part of the quotas.
func (c *Courier) bears(r *route) float64 {
	if r.limit <= 0 {
		return c.leastRate() / leastPart
	}
	return r.limit
}

// notUp is the part of a route's listed endpoints that is down or cold.
func (r *route) notUp() float64 {
	n, all := 0.0, 0.0
	for _, e := range r.eps {
		if e.Phase == Ready {
			all++
			if e.state != up {
				n++
			}
		}
	}
	return n / math.Max(1, all)
}

// destination has the queue, the ledger and the delay window.
type destination struct {
	id      DestinationID
	kind    Kind
	kindNo  int
	routes  []*route
	eps     []*endpoint
	queue   []*request
	first   slider        // deposits: first sends
	repeats slider        // withdrawals
	served  slider        // successes
	since   time.Duration // these are counted
	window  float64
	calls   int
	recent  float64 // smoothed latency, in seconds
	best    float64 // best recent latency
	peak    float64 // most successes a second over a window
	listed  bool    // among those with work
}

// safeWaits tells that a request which may be repeated at will is queued and not
// held back by its key, where one of eps is doubtful: else nobody asks.
func (d *destination) safeWaits(eps []*endpoint) bool {
	doubtful := func(e *endpoint) bool { return e.Doubtful }
	safe := func(r *request) bool { return r.class.Effect == Safe && r.key == 0 }
	return slices.ContainsFunc(eps, doubtful) && slices.ContainsFunc(d.queue, safe)
}

// when is times where the condition holds, else 1.
func when(holds bool, times float64) float64 {
	if holds {
		return times
	}
	return 1
}

// remove takes x out of list, keeping the order.
func remove[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// leastRate is what a destination of which nothing is known is taken to bear:
// after a restart in an outage, it would else be asked once in many seconds.
func (c *Courier) leastRate() float64 {
	total := 0.0
	for _, t := range c.s.Tenants {
		total += t.Quota
	}
	part := leastPart * total / float64(max(1, c.listed, len(c.order)))
	return math.Max(part, 1/seconds(max(c.s.FallTime, c.s.Tick)))
}

// jitter spreads d by a quarter either way, so that couriers fall out of step.
func (c *Courier) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*c.rng.Float64()))
}

func (c *Courier) do(a Action) { c.out = append(c.out, a) }

func seconds(d time.Duration) float64 { return d.Seconds() }

func span(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// place puts a new endpoint on its destination's route, or on one of its own.
func (c *Courier) place(e *endpoint) {
	d := c.destination(e.Destination)
	if e.Kind >= 0 && e.Kind < len(c.s.Kinds) {
		d.kind, d.kindNo = c.s.Kinds[e.Kind], e.Kind
	}
	if len(d.routes) == 0 || d.kind.RoutesApart {
		d.routes = append(d.routes, &route{dest: d, left: 1})
	}
	e.route = d.routes[len(d.routes)-1]
	e.route.eps = append(e.route.eps, e)
	d.eps = append(d.eps, e)
	e.soured, e.WasOut = make([]time.Duration, len(c.s.Classes)), 0 // update takes it
}

func (c *Courier) destination(id DestinationID) *destination {
	d := c.dests[id]
	if d == nil {
		d = &destination{id: id, since: c.now, kind: Kind{BundleMax: 1}, window: math.Max(1, math.Floor(startShare*float64(c.s.Slots)))}
		d.first.span, d.repeats.span, d.served.span = ledgerSpan, ledgerSpan, ledgerSpan
		c.dests[id] = d
		c.order = append(c.order, d)
	}
	return d
}

// finish forgets a request; one whose attempt is out keeps its key's turn.
func (c *Courier) finish(r *request) {
	if !r.over {
		r.over = true
		c.held = remove(c.held, r)
		r.dest.queue = remove(r.dest.queue, r)
	}
	if r.call != nil {
		return
	}
	delete(c.reqs, r.id)
	if l := c.lines[r.key]; r.key != 0 && l != nil {
		l.queue = remove(l.queue, r)
		if len(l.queue) == 0 {
			c.idle = append(c.idle, r.key)
		}
	}
}

// trialOn tells whether a request sent as a trial is still out.
func (c *Courier) trialOn(r *route) bool {
	for _, e := range r.eps {
		if e.trying != nil && e.trying.left > 0 {
			return true
		}
	}
	return false
}

// forgetLines drops the lines of keys that have nothing queued and are rested.
func (c *Courier) forgetLines() {
	kept := c.idle[:0]
	for _, key := range c.idle {
		switch l := c.lines[key]; {
		case l == nil || len(l.queue) > 0:
		case c.now >= l.rest:
			delete(c.lines, key)
		default:
			kept = append(kept, key)
		}
	}
	c.idle = kept
}

// log writes a line for on-call staff.
func (c *Courier) log(word string, e *endpoint, what string) {
	c.do(Log{Text: fmt.Sprintf("%s: destination %d endpoint %d %s", word, e.Destination, e.ID, what)})
}

// enqueue puts r in its destination's queue, and that among those to look after.
func (c *Courier) enqueue(r *request) {
	d := r.dest
	d.queue = append(d.queue, r)
	if !d.listed {
		d.listed = true
		c.active = append(c.active, d)
	}
}

// rest unlists the destinations with nothing queued and nothing out.
func (c *Courier) rest() {
	kept := c.active[:0]
	for _, d := range c.active {
		if d.listed = len(d.queue) > 0 || d.calls > 0; d.listed {
			kept = append(kept, d)
		}
	}
	c.active = kept
}

// update takes what the list says of an endpoint. One that comes back from having been out
// by hand is cold, whatever it was before.
func (e *endpoint) update(entry Endpoint, now time.Duration) {
	back := entry.WasOut > 0 && e.WasOut == 0
	e.Phase, e.Weight, e.Doubtful, e.WasOut = entry.Phase, entry.Weight, entry.Doubtful, entry.WasOut
	if back {
		e.returns(now)
	}
}

func (e *endpoint) returns(now time.Duration) {
	e.enter(cold, now)
	e.downFor, e.fails = e.WasOut, 0
}

// soon asks to be woken at t, if nothing comes before.
func (c *Courier) soon(t time.Duration) {
	if c.due == 0 || t < c.due {
		c.due = t
	}
}

// leave marks an endpoint as gone from the list.
func (c *Courier) leave(e *endpoint) {
	if e.Phase != Gone {
		e.Phase, e.goneAt = Gone, c.now
		c.left = append(c.left, e)
	}
}

// forgetGone drops endpoints that left the list long ago. Each release of the
// targets brings new ones: a courier that runs for weeks would keep them all.
func (c *Courier) forgetGone() {
	for range len(c.left) {
		e := c.left[0]
		if c.now-e.goneAt < goneMemory*ledgerSpan {
			return
		}
		c.left = c.left[1:]
		switch {
		case e.Phase != Gone || c.eps[e.ID] != e: // listed again, or asleep
		case len(e.calls) > 0:
			c.left = append(c.left, e)
		default:
			c.forget(e)
		}
	}
}

func (c *Courier) forget(e *endpoint) {
	r := e.route
	r.eps, r.dest.eps = remove(r.eps, e), remove(r.dest.eps, e)
	if len(r.eps) == 0 {
		r.dest.routes = remove(r.dest.routes, r)
	}
	delete(c.eps, e.ID)
}
