package snowjunction

import (
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
	ledgersMost  = 4096 // kept at once; those not asked for ledgerIdle go first
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
	limit := r.limit
	if limit <= 0 {
		limit = c.leastRate() / leastPart
	}
	return limit/float64(c.s.Fleet)*seconds(c.prompt) < least*float64(c.s.Fleet)
}

// inTurn tells whether this courier may call r now, for all that the fleet does.
func (c *Courier) inTurn(r *route) bool {
	h := c.leased(r)
	return h == nil || h.May(c.now)
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

// reported takes what an answer has told of r's limit.
func (c *Courier) reported(r *route, values int) {
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
		r.news.Failing = !r.failing || c.now >= r.failToldAt+failingEvery
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
	if !c.greeted { // who has passed this courier over while it was down asks it again: else two would keep an account
		c.greeted = true
		for p := range min(c.s.Fleet, greetMost) {
			if p != c.s.Number {
				c.do(Tell{Peer: p})
			}
		}
	}
	out := map[int][]Note{}
	var peers []int
	note := func(peer int, n Note) {
		if peer == c.s.Number {
			c.kept(peer, n)
			return
		}
		if len(out[peer]) == 0 {
			peers = append(peers, peer)
		}
		out[peer] = append(out[peer], n)
	}
	for _, d := range c.active {
		if len(d.routes) == 0 || d.routes[0].lease == nil {
			continue
		}
		r := d.routes[0]
		n, top := c.wishes(d)
		peer, back, ask, next := r.lease.Ask(c.now, uint32(d.id), n, top, c.line)
		if next > 0 {
			c.soon(max(next, c.now+c.s.Tick))
		}
		news := r.news
		news.Destination = d.id
		switch {
		case ask:
			news.Asks, news.Calls, news.Rank, news.Back = true, n, top, back
			if peer+1 != r.toldTo && news.Limit == 0 { // it may have come up a moment ago
				news.Limit = r.limit
			}
		case news.Refused > 0 || news.Failing || news.Serves || news.Limit > 0 && math.Max(news.Limit/r.toldLimit, r.toldLimit/news.Limit) > limitJump:
			ok := false
			if peer, ok = c.line.Keeper(uint32(d.id), c.now); !ok {
				continue
			}
		default:
			continue
		}
		if news.Limit > 0 {
			r.toldLimit, r.toldTo = news.Limit, peer+1
		}
		if r.news = (Note{}); news.Failing {
			r.failToldAt = c.now
		}
		note(peer, news)
	}
	c.grant(note)
	for _, p := range peers {
		c.do(Tell{Peer: p, Notes: out[p]})
	}
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

// heard takes what another courier tells: the keeper of an account, or one that asks.
func (c *Courier) heard(ev Heard) {
	c.line.Heard(ev.Peer)
	for _, n := range ev.Notes {
		if !n.Grants {
			c.kept(ev.Peer, n)
			continue
		}
		if d := c.dests[n.Destination]; n.Serves && d != nil && len(d.routes) > 0 {
			c.returned(d.routes[0])
			continue
		}
		if d := c.dests[n.Destination]; d != nil && len(d.routes) > 0 && d.routes[0].lease != nil {
			h := d.routes[0].lease
			if n.Cold {
				h.Pooled(c.now)
			}
			if n.Calls > 0 {
				h.Granted(c.now, ev.Peer, n.Calls)
			} else {
				h.Queued(c.now, ev.Peer)
			}
		}
	}
}

// kept books what a courier has told of a destination whose account this one keeps.
func (c *Courier) kept(peer int, n Note) {
	l := c.ledgers[n.Destination]
	if l == nil {
		if len(c.ledgers) >= ledgersMost {
			c.keeping = slices.DeleteFunc(c.keeping, func(id DestinationID) bool {
				old := c.now-c.ledgers[id].Used() > ledgerIdle
				if old {
					delete(c.ledgers, id)
				}
				return old
			})
			if len(c.ledgers) >= ledgersMost {
				return
			}
		}
		l = lease.NewLedger(lease.Slow{
			Share: c.s.ColdShare, Over: coldPooled * c.s.FallMultiple, Warm: c.s.WarmUp, Least: max(3, c.s.Fleet/8),
		})
		c.ledgers[n.Destination] = l
		c.keeping = append(c.keeping, n.Destination)
	}
	l.Report(c.now, n.Limit)
	if n.Failing {
		l.Failing(c.now, peer)
	}
	if n.Serves {
		for _, p := range l.Serves(c.now) {
			c.opened = append(c.opened, wish{p, n.Destination})
		}
	}
	if n.Refused > 0 {
		l.Refused(c.now)
	}
	if n.Asks {
		l.Ask(c.now, peer, n.Calls, n.Rank, n.Back)
		if n.Calls > 0 && peer != c.s.Number {
			c.wishing = append(c.wishing, wish{peer, n.Destination})
		}
	}
}

// wish is one that has come and is yet to be answered.
type wish struct {
	peer int
	dest DestinationID
}

// grant hands out what the accounts kept here allow. A wish that waits is told so, once
// each time it comes: who hears nothing takes this courier for dead.
func (c *Courier) grant(note func(peer int, n Note)) {
	granted := map[wish]bool{}
	for _, id := range c.keeping {
		l := c.ledgers[id]
		for _, g := range l.Grants(c.now) {
			granted[wish{g.Peer, id}] = true
			if g.Peer != c.s.Number {
				note(g.Peer, Note{Destination: id, Grants: true, Calls: g.Calls, Cold: l.Cold(c.now)})
			} else if d := c.dests[id]; d != nil && len(d.routes) > 0 && d.routes[0].lease != nil {
				if l.Cold(c.now) {
					d.routes[0].lease.Pooled(c.now)
				}
				d.routes[0].lease.Granted(c.now, g.Peer, g.Calls)
				c.soon(c.now + c.s.Tick)
			}
		}
		if at := l.Next(c.now); at > 0 {
			c.soon(max(at, c.now+c.s.Tick))
		}
	}
	for _, w := range c.opened {
		if d := c.dests[w.dest]; w.peer != c.s.Number {
			note(w.peer, Note{Destination: w.dest, Grants: true, Serves: true})
		} else if d != nil && len(d.routes) > 0 {
			c.returned(d.routes[0])
		}
	}
	c.opened = c.opened[:0]
	for _, w := range c.wishing {
		if !granted[w] {
			note(w.peer, Note{Destination: w.dest, Grants: true, Cold: c.ledgers[w.dest].Cold(c.now)})
		}
	}
	c.wishing = c.wishing[:0]
}
