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
	world         *world
	number        int32
	options       Options
	seed          uint64
	policy        policy.Policy
	settings      snowjunction.Settings
	startedAt     time.Duration // of this life
	run           uint32
	up            bool
	inbox         []snowjunction.Event
	tickScheduled bool // a tick is scheduled
	lastTick      time.Duration
	held          []heldMessage // what it owes an end, and some that have one
	listedPhases  []snowjunction.Phase
	warmConns     map[int32]time.Duration // endpoints with a warm connection, since when

	idleTracker     *idlestate.Tracker // with dormancy
	loaded          map[int32]int      // destinations that the policy knows, and their messages
	unloadScheduled bool

	saved savedState // on its disk

	pluginBreaker *breaker.Breaker
	pluginCalls   map[uint32]pluginCall // by a message's serial
	pluginFreeAt  time.Duration         // the plug-in is busy until then
}

// pluginCall is a call of a plug-in that is out, or a message that waits behind one.
type pluginCall struct {
	ticket    breaker.Ticket
	called    bool // the plug-in is asked, else it is left out
	succeeded bool
}

// heldMessage is a message, as long as its number is not another's.
type heldMessage struct {
	id     int32
	serial uint32
}

// message is the message of a hold, nil if it is over.
func (c *courier) message(h heldMessage) *message {
	m := &c.world.messages[h.id]
	if m.courier != c.number || m.serial != h.serial || !m.pending && m.call < 0 {
		return nil
	}
	return m
}

// start begins a life, with what the journal has kept.
func (c *courier) start() (err error) {
	w := c.world
	c.run++
	c.seed += 7919
	c.settings = w.settings(c.seed)
	c.settings.Number, c.settings.PeerMessages = int(c.number), w.scenario.Network.Notes.DelayMs[1] > 0
	if c.options.Change != nil {
		c.options.Change(&c.settings)
	}
	if c.options.New != nil {
		c.policy, err = c.options.New(c.settings, w)
	} else {
		c.policy, err = policy.New(c.options.Policy, c.settings, w)
	}
	if err != nil {
		return err
	}
	c.up, c.tickScheduled, c.inbox, c.startedAt, c.lastTick = true, false, nil, w.now, w.now-c.settings.Tick
	clear(c.warmConns)
	c.pluginBreaker, c.pluginCalls, c.pluginFreeAt = breaker.New(breaker.Default), map[uint32]pluginCall{}, w.now
	if w.checker != nil && c.run > 1 {
		w.checker.Restarted(w.now, c.number)
	}
	c.restoreSaved()
	var list []snowjunction.Endpoint
	for id := range w.endpoints {
		e := &w.endpoints[id]
		if w.now == 0 || c.run == 1 { // at first everything is listed
			c.listedPhases[id] = snowjunction.Ready
		}
		if c.listedPhases[id] == snowjunction.Gone {
			continue
		}
		if c.saved.noList {
			continue
		}
		if w.checker != nil {
			w.checker.Listed(w.now, c.number, int32(id), e.dest, c.listedPhases[id] == snowjunction.Ready)
		}
		if !w.scenario.Dormancy {
			list = append(list, c.listEntry(int32(id)))
		}
	}
	if w.scenario.Dormancy {
		cfg := idlestate.Default(c.settings)
		cfg.CautiousFirst = true
		c.idleTracker, c.loaded, c.unloadScheduled = idlestate.New(cfg), map[int32]int{}, false
		c.restoreDestinations()
	} else {
		for _, ev := range c.restoreDestinations() {
			c.post(ev)
		}
		c.post(snowjunction.List{Kind: snowjunction.ListFull, Endpoints: list})
	}
	held := c.held
	c.held = nil
	for _, h := range held { // in the order of taking
		if m := c.message(h); m != nil && m.pending {
			c.held = append(c.held, h)
			c.request(h.id)
		}
	}
	return nil
}

func (c *courier) listEntry(id int32) snowjunction.Endpoint {
	return c.withConfidence(snowjunction.Endpoint{
		ID: snowjunction.EndpointID(id + 1), Destination: snowjunction.DestinationID(c.world.endpoints[id].dest), Phase: c.listedPhases[id], Weight: 1,
	}, id)
}

// crash ends a life. Without a journal what it held is lost.
func (c *courier) crash(journal bool) {
	if !c.up {
		return
	}
	w := c.world
	c.up = false
	if w.checker != nil {
		w.checker.Crashed(w.now, c.number)
	}
	if !w.scenario.Kept.Learnt {
		w.ramp.CourierReset(c.number)
	}
	for _, h := range c.held {
		id, m := h.id, c.message(h)
		if m == nil {
			continue
		}
		if m.call >= 0 {
			x := &w.calls[m.call]
			w.endCall(x, false)
			if !m.mayHaveRun {
				m.mayHaveRun, m.mayHaveRunAt = true, x.startedAt
			}
			w.freeCall(m.call)
			m.call = -1
			if !m.pending {
				w.freeMessage(id)
				continue
			}
		}
		if m.pending && !journal {
			w.finishMessage(id, lost)
			w.freeMessage(id)
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
	if !c.tickScheduled {
		c.tickScheduled = true
		c.world.queue.push(event{at: max(c.world.now, c.lastTick+c.settings.Tick), kind: courierTick, target: c.number, id: int32(c.run)})
	}
}

func (c *courier) request(id int32) {
	w := c.world
	m := &w.messages[id]
	if c.saved.noList { // no list names its destination: it is refused at once
		c.finish(id, refused, noListRetryAfter)
		return
	}
	c.saved.journalWrites++
	if c.idleTracker != nil {
		c.loadDestination(m.dest)
	}
	ev := snowjunction.Request{
		ID: snowjunction.RequestID(id), Destination: snowjunction.DestinationID(m.dest), Class: int(m.class), Tenant: int(m.tenant),
		Key: m.key, Deadline: m.deadline - w.now, Resubmitted: m.clientTries > 0, Attempts: int(m.attempts), MayHaveRun: m.mayHaveRun,
	}
	if m.mayHaveRun {
		ev.SinceRun = w.now - m.mayHaveRunAt
	}
	c.post(ev)
}

// tick has the policy decide, and does what it says.
func (c *courier) tick(life uint32) {
	if !c.up || !c.tickScheduled || life != c.run {
		return
	}
	w := c.world
	c.tickScheduled, c.lastTick = false, w.now
	events := c.inbox
	c.inbox = nil
	for _, a := range c.policy.Handle(w.now-c.startedAt, events) {
		switch a := a.(type) {
		case snowjunction.Send:
			c.send(a)
		case snowjunction.Refuse:
			c.finish(int32(a.Request), refused, a.RetryAfter)
		case snowjunction.Fail:
			c.finish(int32(a.Request), failed, 0)
		case snowjunction.SetTimer:
			w.queue.push(event{at: w.now + a.After, kind: policyTimer, target: c.number, id: int32(c.run), generation: uint32(a.Token)})
		case snowjunction.CloseIdle:
			delete(c.warmConns, int32(a.Endpoint)-1)
		case snowjunction.SendPeerMessages:
			w.sendPeerMessage(c.number, a)
		case snowjunction.Unloaded:
			c.handleUnloaded(a)
		case snowjunction.Inspected:
			c.handleInspected(a)
		}
	}
	c.flushLearned()
	if len(c.held) > 64 && len(c.held) > 4*c.settings.MaxHeld {
		kept := c.held[:0]
		for _, h := range c.held {
			if c.message(h) != nil {
				kept = append(kept, h)
			}
		}
		c.held = kept
	}
}

// sendPeerMessage sends a note on its way to another courier, where it may not arrive.
func (w *world) sendPeerMessage(from int32, a snowjunction.SendPeerMessages) {
	w.result.PeerMessages++
	n := &w.scenario.Network.Notes
	for _, d := range n.Down {
		if at := w.now; at >= seconds(d.At) && at < seconds(d.At+d.For) {
			return
		}
	}
	if a.Peer < 0 || a.Peer >= len(w.couriers) || w.networkRNG.Float64() < n.Loss {
		return
	}
	id := int32(w.result.PeerMessages)
	w.peerMessages[id] = snowjunction.PeerMessagesReceived{Peer: int(from), Messages: a.Messages}
	w.queue.push(event{at: w.now + seconds(uniform(w.networkRNG, n.DelayMs)/1000), kind: peerMessageReceived, target: int32(a.Peer), id: id})
}

// finish gives a message its answer.
func (c *courier) finish(id int32, how messageResult, after time.Duration) {
	w := c.world
	if m := &w.messages[id]; !m.pending || m.courier != c.number {
		if w.checker != nil {
			w.checker.Finished(w.now, id)
		}
		return
	}
	w.finishMessage(id, how)
	c.saved.journalWrites += 2
	c.release(id)
	if how == refused {
		w.retryRefused(id, after)
	}
	w.freeMessage(id)
}

// askPlugin has the plug-in asked about a message, if there is one, and then the policy
// told of it. Messages keep their order, also those that are not asked about.
func (c *courier) askPlugin(id int32) {
	w := c.world
	p := &w.scenario.Plugin
	if p.BudgetMs == 0 {
		c.request(id)
		return
	}
	q, took := pluginCall{called: true}, time.Duration(0)
	if p.Breaker {
		q.ticket, q.called = c.pluginBreaker.Allow(w.now)
	}
	if q.called {
		budget := seconds(p.BudgetMs / 1000)
		took = seconds(uniform(w.reactionRNG, p.CallMs) / 1000)
		for _, h := range p.Hangs {
			if start := max(c.pluginFreeAt, w.now); start >= seconds(h.At) && start < seconds(h.At+h.For) {
				took = budget + 1
			}
		}
		q.succeeded = took <= budget
		took = min(took, budget)
		w.result.PluginCalls++
	} else {
		w.result.PluginSkips++
	}
	c.pluginFreeAt = max(c.pluginFreeAt, w.now) + took
	m := &w.messages[id]
	c.pluginCalls[m.serial] = q
	w.queue.push(event{at: c.pluginFreeAt, kind: pluginDone, target: c.number, id: id, generation: m.serial})
}

// pluginAnswered goes on with a message that a plug-in was asked about.
func (c *courier) pluginAnswered(id int32, serial uint32) {
	q, ok := c.pluginCalls[serial]
	if !ok {
		return // of an earlier life, which the journal has handed in again
	}
	delete(c.pluginCalls, serial)
	if q.called && c.world.scenario.Plugin.Breaker {
		c.pluginBreaker.Done(c.world.now, q.ticket, q.succeeded)
	}
	if m := &c.world.messages[id]; m.serial != serial || !m.pending {
		return
	}
	c.request(id)
}

// send makes an attempt.
func (c *courier) send(a snowjunction.Send) {
	w := c.world
	id, ep := int32(a.Request), int32(a.Endpoint)-1
	m := &w.messages[id]
	if w.checker != nil {
		w.checker.Sent(w.now, c.number, id, ep)
	}
	if m.call >= 0 || !m.pending {
		return // the checker has seen it
	}
	x := call{
		message: id, messageGeneration: m.generation, courier: c.number, endpoint: ep, dest: w.endpoints[ep].dest, attempt: int(m.attempts), startedAt: w.now,
	}
	m.attempts++
	c.saved.journalWrites++
	w.result.Sends++
	at := w.now + w.networkDelay()
	if since, ok := c.warmConns[ep]; ok && w.now-since < connIdleTimeout {
		x.connIdle = max(w.now-since, 1)
	} else {
		at += 2 * time.Duration(w.scenario.Network.Handshake*float64(w.networkDelay()))
		w.result.Handshakes++
	}
	switch {
	case w.unreachable(c.number, x.dest, ep):
		x.lost = true
	case w.endpoints[ep].phase == snowjunction.Gone && !w.endpoints[ep].addressReused:
		x.refused = true
	case w.scenario.Network.Loss > 0 && w.networkRNG.Float64() < w.scenario.Network.Loss:
		x.lost, x.reached = true, false
	}
	n := w.newCall(x)
	m.call = n
	gen := w.calls[n].generation
	limit := w.now + a.Timeout
	if x.lost && x.connIdle == 0 {
		limit = min(limit, w.now+connectTimeout)
	}
	if !x.lost {
		w.queue.push(event{at: at, kind: callReceived, target: x.dest, id: n, generation: gen})
		w.partners[x.dest].incoming++
	}
	w.queue.push(event{at: limit, kind: callTimeout, id: n, generation: gen})
}

func (w *world) newCall(x call) int32 {
	if n := len(w.freeCalls); n > 0 {
		id := w.freeCalls[n-1]
		w.freeCalls = w.freeCalls[:n-1]
		x.generation = w.calls[id].generation + 1
		w.calls[id] = x
		return id
	}
	w.calls = append(w.calls, x)
	return int32(len(w.calls) - 1)
}

func (w *world) freeCall(id int32) {
	w.calls[id].generation++
	w.freeCalls = append(w.freeCalls, id)
}

// handleCall is a call at its partner.
func (w *world) handleCall(id int32, gen uint32) {
	x := &w.calls[id]
	if x.generation != gen {
		return
	}
	if x.refused {
		x.answer = partner.Answer{Status: -1}
		w.queue.push(event{at: w.now + w.networkDelay(), kind: responseReceived, id: id, generation: gen})
		return
	}
	p := w.partners[x.dest]
	x.reached = true
	if w.endpoints[x.endpoint].phase == snowjunction.Gone {
		w.result.ReusedAddressCalls++
		x.answer, x.endpointAnswers = w.reusedAddress(x.endpoint)
	} else {
		x.answer, x.endpointAnswers = w.endpointFault(p, x.endpoint)
	}
	if !x.endpointAnswers {
		w.countRampCall(p, x.courier)
		x.answer = p.Begin(w.now, partner.Call{})
	}
	if p.Counts.Fell > p.collapses {
		p.collapses = p.Counts.Fell
		if w.checker != nil {
			w.checker.Collapsed(w.now, x.dest)
		}
	}
	if x.answer.Status == 0 && !x.answer.Reset {
		return // silence: its time will run out
	}
	w.queue.push(event{at: w.now + x.answer.After + w.networkDelay(), kind: responseReceived, id: id, generation: gen})
}

// endCall tells a partner that a call which it has begun is over.
func (w *world) endCall(x *call, delivered bool) {
	if x.reached && !x.endpointAnswers {
		w.partners[x.dest].End(w.now, partner.Call{}, delivered)
	}
}

// endpointFault is what an endpoint answers that fails while its partner does not.
func (w *world) endpointFault(p *partnerState, ep int32) (partner.Answer, bool) {
	for i := range p.endpointFaults {
		f := &p.endpointFaults[i]
		if f.unreachable || !f.active(w.now, ep) || f.callShare > 0 && w.networkRNG.Float64() >= f.callShare {
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

// handleResponse is the answer at the courier.
func (w *world) handleResponse(id int32, gen uint32) {
	x := &w.calls[id]
	if x.generation != gen {
		return
	}
	c, a := w.couriers[x.courier], x.answer
	w.endCall(x, a.Status == 200)
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
		w.result.TurnedAway++
	}
	if out == snowjunction.Reset || out == snowjunction.ConnectFailed {
		delete(c.warmConns, x.endpoint)
	} else {
		c.warmConns[x.endpoint] = w.now
	}
	c.recordEvidence(x.endpoint, out, a.Status == 421)
	c.attemptEnded(id, out)
}

// handleTimeout is a call that has run out of its time.
func (w *world) handleTimeout(id int32, gen uint32) {
	x := &w.calls[id]
	if x.generation != gen {
		return
	}
	c := w.couriers[x.courier]
	w.endCall(x, false)
	delete(c.warmConns, x.endpoint)
	out := snowjunction.TimedOut
	if !x.reached && x.connIdle == 0 { // it never came up: nothing has run
		out = snowjunction.ConnectFailed
	}
	c.recordEvidence(x.endpoint, out, false)
	c.attemptEnded(id, out)
}

// attemptEnded hands the policy the outcome of a call.
func (c *courier) attemptEnded(id int32, out snowjunction.Outcome) {
	w := c.world
	x := w.calls[id]
	w.freeCall(id)
	m := &w.messages[x.message]
	m.call = -1
	w.result.outcomes[out]++
	c.saved.journalWrites++
	c.markChanged(x.dest)
	if out != snowjunction.OK {
		w.recordRampFailure(c.number, x.dest)
	}
	unsure := out == snowjunction.TimedOut || out == snowjunction.Reset || out == snowjunction.Cancelled
	ran := unsure || out == snowjunction.Error
	if ran && !m.mayHaveRun {
		m.mayHaveRun, m.mayHaveRunAt = true, x.startedAt
	}
	if w.checker != nil {
		wait := time.Duration(0)
		if out == snowjunction.Rejected {
			wait = x.answer.Wait
		}
		w.checker.AttemptEnded(w.now, c.number, x.message, ran, unsure, wait)
	}
	ev := snowjunction.AttemptEnded{
		Request: snowjunction.RequestID(x.message), Endpoint: snowjunction.EndpointID(x.endpoint + 1), Attempt: x.attempt, Outcome: out,
		Took: w.now - x.startedAt, ConnIdle: x.connIdle, NewConn: x.connIdle == 0,
	}
	if out == snowjunction.Rejected {
		ev.RetryAfter = x.answer.Wait
	}
	if x.answer.Limit > 0 {
		ev.Report = []float64{x.answer.Left, x.answer.Limit}
	}
	switch {
	case out == snowjunction.OK && m.pending:
		w.finishMessage(x.message, delivered)
		ev.Done = true
		c.release(x.message)
	case out == snowjunction.OK:
		w.result.SuccessAfterResult++
		ev.Done = true
	}
	c.post(ev)
	if !m.pending {
		// Its number is free once the policy has heard: what it answers with is
		// of this tick, and a message of the same number could not come before.
		w.freeMessage(x.message)
	}
}

// handleListing takes news of an endpoint.
func (c *courier) handleListing(id int32, p snowjunction.Phase) {
	if c.listedPhases[id] == p || p == snowjunction.Ready && c.listedPhases[id] != snowjunction.Gone {
		return
	}
	c.listedPhases[id] = p
	if !c.up {
		return
	}
	dest := c.world.endpoints[id].dest
	if c.world.checker != nil {
		c.world.checker.Listed(c.world.now, c.number, id, dest, p == snowjunction.Ready)
	}
	if _, ok := c.loaded[dest]; c.idleTracker == nil || ok {
		c.post(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: []snowjunction.Endpoint{c.listEntry(id)}, Destinations: len(c.world.partners)})
	}
}

// loadDestination has the policy know a destination that a message calls for.
func (c *courier) loadDestination(d int32) {
	if _, ok := c.loaded[d]; ok {
		c.loaded[d]++
		c.idleTracker.Busy(snowjunction.DestinationID(d))
		return
	}
	c.loaded[d] = 1
	c.post(c.loadEvent(d, c.idleTracker.Load(snowjunction.DestinationID(d), c.world.now-c.startedAt)))
}

func (c *courier) release(id int32) {
	if c.idleTracker == nil {
		return
	}
	d := c.world.messages[id].dest
	if c.loaded[d]--; c.loaded[d] <= 0 {
		c.idleTracker.Idle(snowjunction.DestinationID(d), c.world.now-c.startedAt)
		c.unloadDue(c.run)
	}
}

func (c *courier) unloadDue(life uint32) {
	if life != c.run || !c.up {
		return
	}
	d, due, wait := c.idleTracker.Due(c.world.now - c.startedAt)
	if due {
		c.idleTracker.Busy(d)
		c.post(snowjunction.Unload{Destination: d})
		wait = c.settings.Tick
	}
	if wait >= 0 && (due || !c.unloadScheduled) {
		c.unloadScheduled = true
		c.world.queue.push(event{at: c.world.now + max(wait, c.settings.Tick), kind: idleCheck, target: c.number, id: int32(c.run)})
	} else if !due {
		c.unloadScheduled = false
	}
}

func (c *courier) handleUnloaded(a snowjunction.Unloaded) {
	d := int32(a.Destination)
	if a.Busy || a.Snapshot == nil || c.loaded[d] > 0 {
		c.idleTracker.Idle(a.Destination, c.world.now-c.startedAt)
		return
	}
	m := snapshotOf(a.Snapshot)
	delete(c.loaded, d)
	c.idleTracker.Unload(a.Destination, m, c.world.now-c.startedAt)
}
