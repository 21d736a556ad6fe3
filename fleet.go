package snowjunction

import (
	"maps"
	"math"
	"slices"
	"time"

	"snowjunction/internal/lease"
)

// Where many couriers share a destination's limit, one of them keeps the account of it
// (internal/lease) and the others ask that one before they call. A courier alone keeps
// to a pace of its own, as in small fleets.

const (
	coldPooled   = 0.9                    // of the calls that make a cold destination fall over, from the whole fleet
	shareLeased  = 0.15                   // as shareLeast: below it, a limit is shared out by its keeper
	unlimited    = 3                      // answers without a word of a limit, after which there is none
	freeOver     = 0.5                    // share of the limit left, over which a refusal is not the limit's
	failingEvery = 2 * time.Second        // a courier whose calls fail says so again
	returnSpread = 300 * time.Millisecond // in which all call a destination that has returned
	greetMost    = 1024
	limitNews    = 250 * time.Millisecond // for which a told limit is news, as long as a grant is good
	ledgersMost  = 4096                   // kept at once; those not asked for ledgerIdle go first
	ledgerIdle   = time.Minute
	rankUnit     = 100 // of Note.Rank: a message's worth of one
)

// leased is what this courier may call of a route whose limit the fleet shares; nil:
// it needs no leave.
func (c *Courier) leased(r *route) *lease.Holder {
	if !c.s.Notes || r.dest.kind.RoutesApart || !c.thin(r, shareLeased) || r.limit <= 0 && r.dest.served.sum(c.now) > unlimited {
		return nil
	}
	if r.lease == nil {
		r.lease = &lease.Holder{}
	}
	return r.lease
}

// thin tells that the even share of r's limit is less than so many calls, over the fleet,
// in the shortest aim: too few to be a courier's pace. A limit that is not known yet is
// taken for the mean destination's part of the quotas.
func (c *Courier) thin(r *route, least float64) bool {
	return c.evenShare(r)*seconds(c.prompt) < least*float64(c.s.Fleet)
}

// lost tells whether r's limit is the fleet's to share and no keeper of it answers. All
// couriers may be lost at once, as where none hears another. Together they may then call
// what they called before, so each begins with the pace at which it was served of late:
// its part of the limit as the keeper shared it out. Their first calls are spread, as
// each would else make one at once.
func (c *Courier) lost(r *route, share float64) bool {
	if h := c.leased(r); h == nil || !h.Lost(c.line) {
		r.lostPace = 0
		return false
	}
	if r.lostPace == 0 {
		known := min(ledgerSpan, max(c.now-r.dest.since, c.prompt))
		r.lostPace = math.Max(share*paceFloor, r.dest.served.sum(c.now)/seconds(known))
		r.pace, r.wanting = r.lostPace, false
		r.bucket = bucket{tokens: c.rng.Float64(), at: c.now, begun: true}
	}
	return true
}

// inTurn tells whether this courier may call r now, for all that the fleet does.
func (c *Courier) inTurn(r *route) bool {
	h := c.leased(r)
	return h == nil || h.May(c.now)
}

// addedUp tells whether r's keeper adds up what the fleet sends it: it knows a limit.
func (c *Courier) addedUp(r *route) bool {
	h := c.leased(r)
	return h != nil && r.limit > 0 && !h.Lost(c.line)
}

// whoSaw is how many couriers are taken to have seen e's outage, where the fleet is allowed
// so many calls to it in the fall time: the number that is likely by what was seen here or,
// where a first call of each courier would be more than it stands, the most that it may be.
func (c *Courier) whoSaw(e *endpoint, capacity, allowed float64) float64 {
	out := e.downFor
	if e.state != cold {
		out = c.now - e.failedAt
	}
	fleet := float64(c.s.Fleet)
	if fleet > lease.Stands(allowed) && !c.addedUp(e.route) {
		out = max(out, e.outage(c.now))
	}
	return lease.Saw(fleet, capacity, out)
}

// called counts a call of this courier's own.
func (c *Courier) called(r *route) {
	if h := c.leased(r); h != nil {
		h.Called()
	}
}

// limited tells whether the fleet shares the limit of a route that has refused a call,
// and has its keeper told if the refusal was the limit's.
func (c *Courier) limited(r *route, wait time.Duration) bool {
	if c.leased(r) == nil {
		return false
	}
	// With much of it left, a queue or a table was full, or the endpoint drains.
	if wait > 0 || r.reportedAt != c.now || r.left <= freeOver {
		r.news.Refused++
	}
	return true
}

// reported takes what an answer has told of r's limit. What of it is left is left over by
// the whole fleet: a lost courier's next call may go so much sooner, or what one leaves
// that has nothing to send would be nobody's.
func (c *Courier) reported(r *route, values int) {
	if r.lostPace > 0 && values > 0 {
		r.bucket.tokens += math.Max(0, r.left-freeOver)
	}
	if values > 0 && r.limit > 0 {
		r.reportedAt, r.news.Limit = c.now, r.limit
	}
}

// serves follows whether calls reach r. Who sees it fail asks its keeper to be told of
// its return, and who sees it answer again tells that.
func (c *Courier) serves(r *route, o Outcome) {
	if c.leased(r) == nil {
		return
	}
	switch {
	case o == ConnectFailed || o == TimedOut:
		r.news.Failing = r.news.Failing || !r.failing || c.now >= r.failToldAt+failingEvery
		r.failing = true
	case r.failing && (o == OK || o == Full):
		r.failing, r.news.Serves = false, true
	}
}

// returned takes a keeper's word that another courier's call has been answered: pauses of
// this courier's own making end, a little spread, and closed endpoints are tried.
func (c *Courier) returned(r *route) {
	if !r.failing {
		return
	}
	r.failing = false
	at := c.now + time.Duration(c.rng.Float64()*float64(returnSpread))
	r.pauseUntil = min(r.pauseUntil, at)
	for _, e := range r.eps {
		e.trialAt = min(e.trialAt, at)
	}
	c.soon(at)
}

// tell asks the keepers for leave, and tells them what they cannot see themselves.
func (c *Courier) tell() {
	if !c.s.Notes {
		return
	}
	if !c.greeted { // who has passed this courier over while it was down or cut off asks it again: else two would keep an account
		c.greeted = true
		for p := range min(c.s.Fleet, greetMost) {
			if p != c.s.Number {
				c.do(Tell{Peer: p})
			}
		}
	}
	for _, d := range c.active {
		if len(d.routes) > 0 && d.routes[0].lease != nil {
			c.consult(d, d.routes[0])
		}
	}
	c.grant()
	for _, t := range c.outbox {
		c.do(t)
	}
	c.outbox = nil
}

// note puts a note where it goes out with the others for that courier; those for this
// one are heard at once.
func (c *Courier) note(peer int, n Note) {
	if peer == c.s.Number {
		c.hear(peer, n)
		return
	}
	for i := range c.outbox {
		if t := &c.outbox[i]; t.Peer == peer {
			t.Notes = append(t.Notes, n)
			return
		}
	}
	c.outbox = append(c.outbox, Tell{Peer: peer, Notes: []Note{n}})
}

// consult tells a destination's keeper what it is to know now.
func (c *Courier) consult(d *destination, r *route) {
	news := r.news
	news.Destination = d.id
	told := news.Refused > 0 || news.Failing || news.Serves ||
		news.Limit > 0 && math.Max(news.Limit/r.toldLimit, r.toldLimit/news.Limit) > limitJump
	peer, ok := 0, false
	if !r.lease.Idle() {
		n, top := c.wishes(d)
		var next time.Duration
		peer, news.Back, ok, next = r.lease.Ask(c.now, uint32(d.id), n, c.line)
		if next > 0 {
			c.soon(max(next, c.now+c.s.Tick))
		}
		if news.Asks = ok; ok {
			news.Calls, news.Rank = n, top
			if peer+1 != r.toldTo && news.Limit == 0 { // it may have come up a moment ago
				news.Limit = r.limit
			}
			news.Old = news.Limit > 0 && c.now-r.reportedAt > limitNews
		}
	}
	if !ok && told {
		peer, ok = c.line.Keeper(uint32(d.id), c.now)
	}
	if !ok {
		return
	}
	if news.Limit > 0 {
		r.toldLimit, r.toldTo = news.Limit, peer+1
	}
	if r.news = (Note{}); news.Failing {
		r.failToldAt = c.now
	}
	c.note(peer, news)
}

// wishes is how many messages of d could go now, and what the first is worth.
func (c *Courier) wishes(d *destination) (n, top int) {
	for _, r := range d.queue {
		if r.key != 0 && c.lines[r.key].queue[0] != r {
			continue
		}
		n++
		top = max(top, min(255, int(rankUnit*c.rank(r))))
	}
	return n, top
}

// heard takes what another courier tells.
func (c *Courier) heard(ev Heard) {
	// A keeper that has heard nobody for as long as it takes to be passed over by all was
	// cut off: the others have gone to the next in line, each at another moment, and
	// would come back so. Until they all had, a limit would be granted several times.
	if c.now-c.heardAt >= lease.PassedFor && c.keepsFirst() {
		c.greeted = false
	}
	c.heardAt = c.now
	c.line.Heard(ev.Peer)
	for _, n := range ev.Notes {
		c.hear(ev.Peer, n)
	}
}

// keepsFirst tells whether this courier keeps an account that is first its own.
func (c *Courier) keepsFirst() bool {
	for id := range c.ledgers {
		if c.line.First(uint32(id)) == c.s.Number {
			return true
		}
	}
	return false
}

// hear takes one note: of a keeper, or of one that asks this courier as a keeper.
func (c *Courier) hear(peer int, n Note) {
	d := c.dests[n.Destination]
	switch {
	case !n.Grants:
		c.kept(peer, n)
	case d == nil || len(d.routes) == 0:
	case n.Serves:
		c.returned(d.routes[0])
	case d.routes[0].lease != nil:
		d.routes[0].lease.Granted(c.now, peer, n.Calls, n.Cold)
		if peer == c.s.Number { // this turn's calls have gone
			c.soon(c.now + c.s.Tick)
		}
	}
}

// kept books what a courier has told of a destination whose account this one keeps.
func (c *Courier) kept(peer int, n Note) {
	l := c.ledgers[n.Destination]
	if l == nil {
		if len(c.ledgers) >= ledgersMost {
			maps.DeleteFunc(c.ledgers, func(_ DestinationID, l *lease.Ledger) bool { return c.now-l.Used() > ledgerIdle })
		}
		if len(c.ledgers) >= ledgersMost {
			return
		}
		l = lease.NewLedger(lease.Slow{
			Share: c.s.ColdShare, Over: coldPooled * c.s.FallMultiple, Warm: c.s.WarmUp, Least: max(3, c.s.Fleet/8),
		})
		c.ledgers[n.Destination] = l
	}
	if n.Old {
		l.Known(c.now, n.Limit)
	} else {
		l.Report(c.now, n.Limit)
	}
	if n.Failing {
		l.Failing(c.now, peer)
	}
	if n.Serves {
		for _, p := range l.Serves(c.now) {
			c.note(p, Note{Destination: n.Destination, Grants: true, Serves: true})
		}
	}
	if n.Refused > 0 {
		l.Refused(c.now)
	}
	if n.Asks {
		l.Ask(c.now, peer, n.Calls, n.Rank, n.Back)
		if !slices.Contains(c.wished, n.Destination) {
			c.wished = append(c.wished, n.Destination)
		}
	}
}

// grant hands out what the accounts kept here allow to those that wait for it.
func (c *Courier) grant() {
	c.wished = slices.DeleteFunc(c.wished, func(id DestinationID) bool {
		l := c.ledgers[id]
		if l == nil {
			return true
		}
		for _, g := range l.Grants(c.now) {
			c.note(g.Peer, Note{Destination: id, Grants: true, Calls: g.Calls, Cold: l.Cold(c.now)})
		}
		at := l.Next(c.now)
		if at > 0 {
			c.soon(max(at, c.now+c.s.Tick))
		}
		return at == 0
	})
}
