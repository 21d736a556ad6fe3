package emulate

import (
	"time"

	"snowjunction"
	"snowjunction/internal/emulate/policy"
	"snowjunction/internal/idlestate"
	"snowjunction/internal/plugin/breaker"
	"snowjunction/internal/standin/partner"
)

// courier hosts a policy.
type courier struct {
	w       *world
	no      int32
	o       Options
	seed    uint64
	pol     policy.Policy
	s       snowjunction.Settings
	began   time.Duration // of this life
	life    uint32
	up      bool
	inbox   []snowjunction.Event
	due     bool // a tick is scheduled
	handled time.Duration
	held    []hold // what it owes an end, and some that have one
	view    []snowjunction.Phase
	used    map[int32]time.Duration // endpoints with a warm connection, since when

	book    *idlestate.Tracker // with dormancy
	awake   map[int32]int      // destinations that the policy knows, and their messages
	resting bool

	kept kept // on its disk

	quarantine *breaker.Breaker
	asking     map[uint32]question // by a message's serial
	free       time.Duration       // the plug-in is busy until then
}

// question is a call of a plug-in that is out, or a message that waits behind one.
type question struct {
	ticket breaker.Ticket
	out    bool // the plug-in is asked, else it is left out
	ok     bool
}

// hold is a message, as long as its number is not another's.
type hold struct {
	id     int32
	serial uint32
}

// message is the message of a hold, nil if it is over.
func (c *courier) message(h hold) *message {
	m := &c.w.messages[h.id]
	if m.courier != c.no || m.serial != h.serial || !m.open && m.out < 0 {
		return nil
	}
	return m
}

// start begins a life, with what the journal has kept.
func (c *courier) start() (err error) {
	w := c.w
	c.life++
	c.seed += 7919
	c.s = w.settings(c.seed)
	c.s.Number, c.s.PeerMessages = int(c.no), w.s.Network.Notes.DelayMs[1] > 0
	if c.o.Change != nil {
		c.o.Change(&c.s)
	}
	if c.o.New != nil {
		c.pol, err = c.o.New(c.s, w)
	} else {
		c.pol, err = policy.New(c.o.Policy, c.s, w)
	}
	if err != nil {
		return err
	}
	c.up, c.due, c.inbox, c.began, c.handled = true, false, nil, w.now, w.now-c.s.Tick
	clear(c.used)
	c.quarantine, c.asking, c.free = breaker.New(breaker.Default), map[uint32]question{}, w.now
	if w.check != nil && c.life > 1 {
		w.check.Back(w.now, c.no)
	}
	c.recall()
	var list []snowjunction.Endpoint
	for id := range w.endpoints {
		e := &w.endpoints[id]
		if w.now == 0 || c.life == 1 { // at first everything is listed
			c.view[id] = snowjunction.Ready
		}
		if c.view[id] == snowjunction.Gone {
			continue
		}
		if c.kept.blind {
			continue
		}
		if w.check != nil {
			w.check.Listed(w.now, c.no, int32(id), e.dest, c.view[id] == snowjunction.Ready)
		}
		if !w.s.Dormancy {
			list = append(list, c.entry(int32(id)))
		}
	}
	if w.s.Dormancy {
		cfg := idlestate.Default(c.s)
		cfg.CautiousFirst = true
		c.book, c.awake, c.resting = idlestate.New(cfg), map[int32]int{}, false
		c.recalled()
	} else {
		for _, ev := range c.recalled() {
			c.post(ev)
		}
		c.post(snowjunction.List{Kind: snowjunction.ListFull, Endpoints: list})
	}
	held := c.held
	c.held = nil
	for _, h := range held { // in the order of taking
		if m := c.message(h); m != nil && m.open {
			c.held = append(c.held, h)
			c.request(h.id)
		}
	}
	return nil
}

func (c *courier) entry(id int32) snowjunction.Endpoint {
	return c.believed(snowjunction.Endpoint{
		ID: snowjunction.EndpointID(id + 1), Destination: snowjunction.DestinationID(c.w.endpoints[id].dest), Phase: c.view[id], Weight: 1,
	}, id)
}

// crash ends a life. Without a journal what it held is lost.
func (c *courier) crash(journal bool) {
	if !c.up {
		return
	}
	w := c.w
	c.up = false
	if w.check != nil {
		w.check.Died(w.now, c.no)
	}
	if !w.s.Kept.Learnt {
		w.ramp.Forgot(c.no)
	}
	for _, h := range c.held {
		id, m := h.id, c.message(h)
		if m == nil {
			continue
		}
		if m.out >= 0 {
			x := &w.calls[m.out]
			w.over(x, false)
			if !m.ran {
				m.ran, m.ranAt = true, x.began
			}
			w.freeCall(m.out)
			m.out = -1
			if !m.open {
				w.free(id)
				continue
			}
		}
		if m.open && !journal {
			w.ended(id, lost)
			w.free(id)
		}
	}
	if !journal {
		c.held = c.held[:0]
	}
}

// post hands the policy an event at its next tick.
func (c *courier) post(ev snowjunction.Event) {
	if !c.up {
		return
	}
	c.inbox = append(c.inbox, ev)
	if !c.due {
		c.due = true
		c.w.q.push(event{at: max(c.w.now, c.handled+c.s.Tick), kind: tick, who: c.no, id: int32(c.life)})
	}
}

func (c *courier) request(id int32) {
	w := c.w
	m := &w.messages[id]
	if c.kept.blind { // no list names its destination: it is refused at once
		c.final(id, refused, blindAfter)
		return
	}
	c.kept.journal++
	if c.book != nil {
		c.wake(m.dest)
	}
	ev := snowjunction.Request{
		ID: snowjunction.RequestID(id), Destination: snowjunction.DestinationID(m.dest), Class: int(m.class), Tenant: int(m.tenant),
		Key: m.key, Deadline: m.deadline - w.now, Resubmitted: m.tries > 0, Attempts: int(m.attempts), MayHaveRun: m.ran,
	}
	if m.ran {
		ev.SinceRun = w.now - m.ranAt
	}
	c.post(ev)
}

// tick has the policy decide, and does what it says.
func (c *courier) tick(life uint32) {
	if !c.up || !c.due || life != c.life {
		return
	}
	w := c.w
	c.due, c.handled = false, w.now
	events := c.inbox
	c.inbox = nil
	for _, a := range c.pol.Handle(w.now-c.began, events) {
		switch a := a.(type) {
		case snowjunction.Send:
			c.send(a)
		case snowjunction.Refuse:
			c.final(int32(a.Request), refused, a.RetryAfter)
		case snowjunction.Fail:
			c.final(int32(a.Request), failed, 0)
		case snowjunction.SetTimer:
			w.q.push(event{at: w.now + a.After, kind: timer, who: c.no, id: int32(c.life), gen: uint32(a.Token)})
		case snowjunction.CloseIdle:
			delete(c.used, int32(a.Endpoint)-1)
		case snowjunction.SendPeerMessages:
			w.note(c.no, a)
		case snowjunction.Unloaded:
			c.asleep(a)
		case snowjunction.Inspected:
			c.seen(a)
		}
	}
	c.learned()
	if len(c.held) > 64 && len(c.held) > 4*c.s.MaxHeld {
		kept := c.held[:0]
		for _, h := range c.held {
			if c.message(h) != nil {
				kept = append(kept, h)
			}
		}
		c.held = kept
	}
}

// note sends a note on its way to another courier, where it may not arrive.
func (w *world) note(from int32, a snowjunction.SendPeerMessages) {
	w.res.Notes++
	n := &w.s.Network.Notes
	for _, d := range n.Down {
		if at := w.now; at >= seconds(d.At) && at < seconds(d.At+d.For) {
			return
		}
	}
	if a.Peer < 0 || a.Peer >= len(w.couriers) || w.network.Float64() < n.Loss {
		return
	}
	id := int32(w.res.Notes)
	w.notes[id] = snowjunction.PeerMessagesReceived{Peer: int(from), Messages: a.Messages}
	w.q.push(event{at: w.now + seconds(draw(w.network, n.DelayMs)/1000), kind: noted, who: int32(a.Peer), id: id})
}

// final gives a message its answer.
func (c *courier) final(id int32, how fate, after time.Duration) {
	w := c.w
	if m := &w.messages[id]; !m.open || m.courier != c.no {
		if w.check != nil {
			w.check.Ended(w.now, id)
		}
		return
	}
	w.ended(id, how)
	c.kept.journal += 2
	c.release(id)
	if how == refused {
		w.refused(id, after)
	}
	w.free(id)
}

// admit has the plug-in asked about a message, if there is one, and then the policy
// told of it. Messages keep their order, also those that are not asked about.
func (c *courier) admit(id int32) {
	w := c.w
	p := &w.s.Plugin
	if p.BudgetMs == 0 {
		c.request(id)
		return
	}
	q, took := question{out: true}, time.Duration(0)
	if p.Breaker {
		q.ticket, q.out = c.quarantine.Allow(w.now)
	}
	if q.out {
		budget := seconds(p.BudgetMs / 1000)
		took = seconds(draw(w.reaction, p.CallMs) / 1000)
		for _, h := range p.Hangs {
			if start := max(c.free, w.now); start >= seconds(h.At) && start < seconds(h.At+h.For) {
				took = budget + 1
			}
		}
		q.ok = took <= budget
		took = min(took, budget)
		w.res.Asked++
	} else {
		w.res.Skipped++
	}
	c.free = max(c.free, w.now) + took
	m := &w.messages[id]
	c.asking[m.serial] = q
	w.q.push(event{at: c.free, kind: asked, who: c.no, id: id, gen: m.serial})
}

// asked goes on with a message that a plug-in was asked about.
func (c *courier) asked(id int32, serial uint32) {
	q, ok := c.asking[serial]
	if !ok {
		return // of an earlier life, which the journal has handed in again
	}
	delete(c.asking, serial)
	if q.out && c.w.s.Plugin.Breaker {
		c.quarantine.Done(c.w.now, q.ticket, q.ok)
	}
	if m := &c.w.messages[id]; m.serial != serial || !m.open {
		return
	}
	c.request(id)
}

// send makes an attempt.
func (c *courier) send(a snowjunction.Send) {
	w := c.w
	id, ep := int32(a.Request), int32(a.Endpoint)-1
	m := &w.messages[id]
	if w.check != nil {
		w.check.Sent(w.now, c.no, id, ep)
	}
	if m.out >= 0 || !m.open {
		return // the checker has seen it
	}
	x := call{
		msg: id, msgGen: m.gen, courier: c.no, endpoint: ep, dest: w.endpoints[ep].dest, attempt: int(m.attempts), began: w.now,
	}
	m.attempts++
	c.kept.journal++
	w.res.Sends++
	at := w.now + w.delay()
	if since, ok := c.used[ep]; ok && w.now-since < idleFor {
		x.kept = max(w.now-since, 1)
	} else {
		at += 2 * time.Duration(w.s.Network.Handshake*float64(w.delay()))
		w.res.Handshakes++
	}
	switch {
	case w.cut(c.no, x.dest, ep):
		x.lost = true
	case w.endpoints[ep].phase == snowjunction.Gone && !w.endpoints[ep].reused:
		x.refused = true
	case w.s.Network.Loss > 0 && w.network.Float64() < w.s.Network.Loss:
		x.lost, x.reached = true, false
	}
	n := w.newCall(x)
	m.out = n
	gen := w.calls[n].gen
	limit := w.now + a.Timeout
	if x.lost && x.kept == 0 {
		limit = min(limit, w.now+connect)
	}
	if !x.lost {
		w.q.push(event{at: at, kind: reach, who: x.dest, id: n, gen: gen})
		w.partners[x.dest].coming++
	}
	w.q.push(event{at: limit, kind: timeout, id: n, gen: gen})
}

func (w *world) newCall(x call) int32 {
	if n := len(w.freeCalls); n > 0 {
		id := w.freeCalls[n-1]
		w.freeCalls = w.freeCalls[:n-1]
		x.gen = w.calls[id].gen + 1
		w.calls[id] = x
		return id
	}
	w.calls = append(w.calls, x)
	return int32(len(w.calls) - 1)
}

func (w *world) freeCall(id int32) {
	w.calls[id].gen++
	w.freeCalls = append(w.freeCalls, id)
}

// reach is a call at its partner.
func (w *world) reach(id int32, gen uint32) {
	x := &w.calls[id]
	if x.gen != gen {
		return
	}
	if x.refused {
		x.answer = partner.Answer{Status: -1}
		w.q.push(event{at: w.now + w.delay(), kind: answer, id: id, gen: gen})
		return
	}
	p := w.partners[x.dest]
	x.reached = true
	if w.endpoints[x.endpoint].phase == snowjunction.Gone {
		w.res.Strangers++
		x.answer, x.apart = w.elsewhere(x.endpoint)
	} else {
		x.answer, x.apart = w.part(p, x.endpoint)
	}
	if !x.apart {
		w.load(p, x.courier)
		x.answer = p.Begin(w.now, partner.Call{})
	}
	if p.Counts.Fell > p.fell {
		p.fell = p.Counts.Fell
		if w.check != nil {
			w.check.Fell(w.now, x.dest)
		}
	}
	if x.answer.Status == 0 && !x.answer.Reset {
		return // silence: its time will run out
	}
	w.q.push(event{at: w.now + x.answer.After + w.delay(), kind: answer, id: id, gen: gen})
}

// over tells a partner that a call which it has begun is over.
func (w *world) over(x *call, delivered bool) {
	if x.reached && !x.apart {
		w.partners[x.dest].End(w.now, partner.Call{}, delivered)
	}
}

// part is what an endpoint answers that fails while its partner does not.
func (w *world) part(p *place, ep int32) (partner.Answer, bool) {
	for i := range p.parts {
		f := &p.parts[i]
		if f.vanished || !f.on(w.now, ep) || f.calls > 0 && w.network.Float64() >= f.calls {
			continue
		}
		quick := partner.Answer{After: p.Profile.Latency / 4}
		switch f.kind {
		case partner.Error:
			quick.Status = 500
		case partner.Shut:
			quick.Status = 503
		case partner.Reset:
			quick.Reset = true
		case partner.Silent:
			return partner.Answer{}, true
		default:
			continue
		}
		return quick, true
	}
	return partner.Answer{}, false
}

// answered is the answer at the courier.
func (w *world) answered(id int32, gen uint32) {
	x := &w.calls[id]
	if x.gen != gen {
		return
	}
	c, a := w.couriers[x.courier], x.answer
	w.over(x, a.Status == 200)
	out := snowjunction.Error
	switch {
	case a.Status == -1:
		out = snowjunction.ConnectFailed
	case a.Reset:
		out = snowjunction.Reset
	case a.Status == 200:
		out = snowjunction.OK
	case a.Status == 429, a.Status == 503:
		out = snowjunction.Rejected
		w.res.TurnedAway++
	}
	if out == snowjunction.Reset || out == snowjunction.ConnectFailed {
		delete(c.used, x.endpoint)
	} else {
		c.used[x.endpoint] = w.now
	}
	c.evidence(x.endpoint, out, a.Status == 421)
	c.came(id, out)
}

// expired is a call that has run out of its time.
func (w *world) expired(id int32, gen uint32) {
	x := &w.calls[id]
	if x.gen != gen {
		return
	}
	c := w.couriers[x.courier]
	w.over(x, false)
	delete(c.used, x.endpoint)
	out := snowjunction.TimedOut
	if !x.reached && x.kept == 0 { // it never came up: nothing has run
		out = snowjunction.ConnectFailed
	}
	c.evidence(x.endpoint, out, false)
	c.came(id, out)
}

// came hands the policy the outcome of a call.
func (c *courier) came(id int32, out snowjunction.Outcome) {
	w := c.w
	x := w.calls[id]
	w.freeCall(id)
	m := &w.messages[x.msg]
	m.out = -1
	w.res.outcomes[out]++
	c.kept.journal++
	c.learn(x.dest)
	if out != snowjunction.OK {
		w.failed(c.no, x.dest)
	}
	unsure := out == snowjunction.TimedOut || out == snowjunction.Reset || out == snowjunction.Cancelled
	ran := unsure || out == snowjunction.Error
	if ran && !m.ran {
		m.ran, m.ranAt = true, x.began
	}
	if w.check != nil {
		wait := time.Duration(0)
		if out == snowjunction.Rejected {
			wait = x.answer.Wait
		}
		w.check.Came(w.now, c.no, x.msg, ran, unsure, wait)
	}
	ev := snowjunction.AttemptEnded{
		Request: snowjunction.RequestID(x.msg), Endpoint: snowjunction.EndpointID(x.endpoint + 1), Attempt: x.attempt, Outcome: out,
		Took: w.now - x.began, ConnIdle: x.kept, NewConn: x.kept == 0,
	}
	if out == snowjunction.Rejected {
		ev.RetryAfter = x.answer.Wait
	}
	if x.answer.Limit > 0 {
		ev.Report = []float64{x.answer.Left, x.answer.Limit}
	}
	switch {
	case out == snowjunction.OK && m.open:
		w.ended(x.msg, delivered)
		ev.Done = true
		c.release(x.msg)
	case out == snowjunction.OK:
		w.res.AfterEnd++
		ev.Done = true
	}
	c.post(ev)
	if !m.open {
		// Its number is free once the policy has heard: what it answers with is
		// of this tick, and a message of the same number could not come before.
		w.free(x.msg)
	}
}

// hear takes news of an endpoint.
func (c *courier) hear(id int32, p snowjunction.Phase) {
	if c.view[id] == p || p == snowjunction.Ready && c.view[id] != snowjunction.Gone {
		return
	}
	c.view[id] = p
	if !c.up {
		return
	}
	dest := c.w.endpoints[id].dest
	if c.w.check != nil {
		c.w.check.Listed(c.w.now, c.no, id, dest, p == snowjunction.Ready)
	}
	if _, ok := c.awake[dest]; c.book == nil || ok {
		c.post(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: []snowjunction.Endpoint{c.entry(id)}, Destinations: len(c.w.partners)})
	}
}

// wake has the policy know a destination that a message calls for.
func (c *courier) wake(d int32) {
	if _, ok := c.awake[d]; ok {
		c.awake[d]++
		c.book.Busy(snowjunction.DestinationID(d))
		return
	}
	c.awake[d] = 1
	c.post(c.woken(d, c.book.Load(snowjunction.DestinationID(d), c.w.now-c.began)))
}

func (c *courier) release(id int32) {
	if c.book == nil {
		return
	}
	d := c.w.messages[id].dest
	if c.awake[d]--; c.awake[d] <= 0 {
		c.book.Idle(snowjunction.DestinationID(d), c.w.now-c.began)
		c.rest(c.life)
	}
}

func (c *courier) rest(life uint32) {
	if life != c.life || !c.up {
		return
	}
	d, due, wait := c.book.Due(c.w.now - c.began)
	if due {
		c.book.Busy(d)
		c.post(snowjunction.Unload{Destination: d})
		wait = c.s.Tick
	}
	if wait >= 0 && (due || !c.resting) {
		c.resting = true
		c.w.q.push(event{at: c.w.now + max(wait, c.s.Tick), kind: sleep, who: c.no, id: int32(c.life)})
	} else if !due {
		c.resting = false
	}
}

func (c *courier) asleep(a snowjunction.Unloaded) {
	d := int32(a.Destination)
	if a.Busy || a.Snapshot == nil || c.awake[d] > 0 {
		c.book.Idle(a.Destination, c.w.now-c.began)
		return
	}
	m := mementoOf(a.Snapshot)
	delete(c.awake, d)
	c.book.Unload(a.Destination, m, c.w.now-c.began)
}
