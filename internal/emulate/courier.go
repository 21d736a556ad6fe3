package emulate

import (
	"time"

	"snowjunction"
	"snowjunction/internal/emulate/policy"
	"snowjunction/internal/idlestate"
	"snowjunction/internal/plugin/breaker"
	"snowjunction/internal/standin/partner"
)

// courier is a simulated courier: it runs a policy, makes its calls and keeps its messages.
type courier struct {
	world         *world
	number        int32
	options       Options
	seed          uint64
	policy        policy.Policy
	settings      snowjunction.Settings
	startedAt     time.Duration // start of this process run
	run           uint32
	up            bool
	inbox         []snowjunction.Event
	tickScheduled bool // a tick is in the queue
	lastTick      time.Duration
	held          []heldMessage // accepted messages, some of which have their final result already
	listedPhases  []snowjunction.Phase
	warmConns     map[int32]time.Duration // endpoints with an open connection, and when it was last used

	idleTracker     *idlestate.Tracker // set if the scenario has dormancy
	loaded          map[int32]int      // loaded destinations, and how many pending messages each has
	unloadScheduled bool

	saved savedState // what its disk holds

	pluginBreaker *breaker.Breaker
	pluginCalls   map[uint32]pluginCall // by the message's serial number
	pluginFreeAt  time.Duration         // the plug-in is busy until this time
}

// pluginCall is a plug-in call in flight, or a message that waits behind one without a call.
type pluginCall struct {
	ticket    breaker.Ticket
	called    bool // false if the breaker skips the plug-in
	succeeded bool
}

// heldMessage refers to a message; the serial number tells whether the slot has been reused.
type heldMessage struct {
	id     int32
	serial uint32
}

// message returns the message that h refers to, or nil if it has finished.
func (c *courier) message(h heldMessage) *message {
	m := &c.world.messages[h.id]
	if m.courier != c.number || m.serial != h.serial || !m.pending && m.call < 0 {
		return nil
	}
	return m
}

// start begins a process run with the messages that the journal has kept.
func (c *courier) start() (err error) {
	w := c.world
	c.run++
	c.seed += 7919
	c.settings = w.settings(c.seed)
	c.settings.Number, c.settings.PeerMessages = int(c.number), w.scenario.Network.PeerMessages.DelayMs[1] > 0
	if c.options.ChangeSettings != nil {
		c.options.ChangeSettings(&c.settings)
	}
	if c.options.NewPolicy != nil {
		c.policy, err = c.options.NewPolicy(c.settings, w)
	} else {
		c.policy, err = policy.New(c.options.Policy, c.settings, w)
	}
	if err != nil {
		return err
	}
	c.up, c.tickScheduled, c.inbox, c.startedAt, c.lastTick = true, false, nil, w.now, w.now-c.settings.Tick
	clear(c.warmConns)
	c.pluginBreaker, c.pluginCalls, c.pluginFreeAt = breaker.New(breaker.DefaultConfig), map[uint32]pluginCall{}, w.now
	if w.checker != nil && c.run > 1 {
		w.checker.Restarted(w.now, c.number)
	}
	c.restoreSaved()
	var list []snowjunction.Endpoint
	for id := range w.endpoints {
		e := &w.endpoints[id]
		if w.now == 0 || c.run == 1 { // the first list names every endpoint
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
		if !w.scenario.UnloadIdle {
			list = append(list, c.listEntry(int32(id)))
		}
	}
	if w.scenario.UnloadIdle {
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
	for _, h := range held { // in the order of acceptance
		if m := c.message(h); m != nil && m.pending {
			c.held = append(c.held, h)
			c.request(h.id)
		}
	}
	return nil
}

// listEntry returns the directory entry of an endpoint as this courier sees it. Endpoint IDs
// are the indexes plus one.
func (c *courier) listEntry(id int32) snowjunction.Endpoint {
	return c.withConfidence(snowjunction.Endpoint{
		ID: snowjunction.EndpointID(id + 1), Destination: snowjunction.DestinationID(c.world.endpoints[id].dest), Phase: c.listedPhases[id], Weight: 1,
	}, id)
}

// crash ends a process run. Without a journal the held messages are lost.
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

// post queues an event for the next tick of the policy.
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

// request posts a held message to the policy.
func (c *courier) request(id int32) {
	w := c.world
	m := &w.messages[id]
	if c.saved.noList { // without an endpoint list the message is refused at once
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

// tick passes the queued events to the policy and executes the returned actions.
func (c *courier) tick(run uint32) {
	if !c.up || !c.tickScheduled || run != c.run {
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

// sendPeerMessage schedules a message between couriers; it may be lost.
func (w *world) sendPeerMessage(from int32, a snowjunction.SendPeerMessages) {
	w.result.PeerMessages++
	n := &w.scenario.Network.PeerMessages
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

// finish records the final result of a message and frees what it used.
func (c *courier) finish(id int32, result messageResult, after time.Duration) {
	w := c.world
	if m := &w.messages[id]; !m.pending || m.courier != c.number {
		if w.checker != nil {
			w.checker.Finished(w.now, id)
		}
		return
	}
	w.finishMessage(id, result)
	c.saved.journalWrites += 2
	c.release(id)
	if result == refused {
		w.retryRefused(id, after)
	}
	w.freeMessage(id)
}

// askPlugin calls the plug-in for a message, if the scenario has one, before the policy gets
// the message. Messages keep their order, including those that skip the plug-in.
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

// pluginAnswered continues with a message after its plug-in call.
func (c *courier) pluginAnswered(id int32, serial uint32) {
	q, ok := c.pluginCalls[serial]
	if !ok {
		return // from the previous process run; the journal has resubmitted the message
	}
	delete(c.pluginCalls, serial)
	if q.called && c.world.scenario.Plugin.Breaker {
		c.pluginBreaker.Record(c.world.now, q.ticket, q.succeeded)
	}
	if m := &c.world.messages[id]; m.serial != serial || !m.pending {
		return
	}
	c.request(id)
}

// send starts a delivery attempt.
func (c *courier) send(a snowjunction.Send) {
	w := c.world
	id, ep := int32(a.Request), int32(a.Endpoint)-1
	m := &w.messages[id]
	if w.checker != nil {
		w.checker.Sent(w.now, c.number, id, ep)
	}
	if m.call >= 0 || !m.pending {
		return // the checker has reported the violation
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

// newCall stores a call, in a free slot if there is one, and returns its index.
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

// freeCall releases the slot of a call; its pending events no longer match the generation.
func (w *world) freeCall(id int32) {
	w.calls[id].generation++
	w.freeCalls = append(w.freeCalls, id)
}

// handleCall handles the arrival of a call at its partner.
func (w *world) handleCall(id int32, gen uint32) {
	x := &w.calls[id]
	if x.generation != gen {
		return
	}
	if x.refused {
		x.answer = partner.Response{Status: -1}
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
	if p.Counts.Collapses > p.collapses {
		p.collapses = p.Counts.Collapses
		if w.checker != nil {
			w.checker.Collapsed(w.now, x.dest)
		}
	}
	if x.answer.Status == 0 && !x.answer.Reset {
		return // no response: the call will time out
	}
	w.queue.push(event{at: w.now + x.answer.Delay + w.networkDelay(), kind: responseReceived, id: id, generation: gen})
}

// endCall reports the end of a call to the partner that has begun it.
func (w *world) endCall(x *call, delivered bool) {
	if x.reached && !x.endpointAnswers {
		w.partners[x.dest].End(w.now, partner.Call{}, delivered)
	}
}

// endpointFault returns the answer of an endpoint that has a fault of its own. It returns false
// if the partner answers.
func (w *world) endpointFault(p *partnerState, ep int32) (partner.Response, bool) {
	for i := range p.endpointFaults {
		f := &p.endpointFaults[i]
		if f.unreachable || !f.active(w.now, ep) || f.callShare > 0 && w.networkRNG.Float64() >= f.callShare {
			continue
		}
		answer := partner.Response{Delay: p.Profile.Latency / 4}
		switch f.kind {
		case partner.Error:
			answer.Status = 500
		case partner.Reject:
			answer.Status = 503
		case partner.Reset:
			answer.Reset = true
		case partner.Silent:
			return partner.Response{}, true
		default:
			continue
		}
		return answer, true
	}
	return partner.Response{}, false
}

// handleResponse handles the arrival of a response at the courier.
func (w *world) handleResponse(id int32, gen uint32) {
	x := &w.calls[id]
	if x.generation != gen {
		return
	}
	c, a := w.couriers[x.courier], x.answer
	w.endCall(x, a.Status == 200)
	outcome := snowjunction.Error
	switch {
	case a.Status == -1:
		outcome = snowjunction.ConnectFailed
	case a.Reset:
		outcome = snowjunction.Reset
	case a.Status == 200:
		outcome = snowjunction.OK
	case a.Status == 429, a.Status == 503:
		outcome = snowjunction.Rejected
		w.result.Rejected++
	}
	if outcome == snowjunction.Reset || outcome == snowjunction.ConnectFailed {
		delete(c.warmConns, x.endpoint)
	} else {
		c.warmConns[x.endpoint] = w.now
	}
	c.recordEvidence(x.endpoint, outcome, a.Status == 421)
	c.attemptEnded(id, outcome)
}

// handleTimeout handles a call whose time limit has passed.
func (w *world) handleTimeout(id int32, gen uint32) {
	x := &w.calls[id]
	if x.generation != gen {
		return
	}
	c := w.couriers[x.courier]
	w.endCall(x, false)
	delete(c.warmConns, x.endpoint)
	outcome := snowjunction.TimedOut
	if !x.reached && x.connIdle == 0 { // the connection was never established, so nothing has run
		outcome = snowjunction.ConnectFailed
	}
	c.recordEvidence(x.endpoint, outcome, false)
	c.attemptEnded(id, outcome)
}

// attemptEnded posts the outcome of a call to the policy.
func (c *courier) attemptEnded(id int32, outcome snowjunction.Outcome) {
	w := c.world
	x := w.calls[id]
	w.freeCall(id)
	m := &w.messages[x.message]
	m.call = -1
	w.result.outcomes[outcome]++
	c.saved.journalWrites++
	c.markChanged(x.dest)
	if outcome != snowjunction.OK {
		w.recordRampFailure(c.number, x.dest)
	}
	unsure := outcome == snowjunction.TimedOut || outcome == snowjunction.Reset || outcome == snowjunction.Cancelled
	ran := unsure || outcome == snowjunction.Error
	if ran && !m.mayHaveRun {
		m.mayHaveRun, m.mayHaveRunAt = true, x.startedAt
	}
	if w.checker != nil {
		wait := time.Duration(0)
		if outcome == snowjunction.Rejected {
			wait = x.answer.RetryAfter
		}
		w.checker.AttemptEnded(w.now, c.number, x.message, ran, unsure, wait)
	}
	ev := snowjunction.AttemptEnded{
		Request: snowjunction.RequestID(x.message), Endpoint: snowjunction.EndpointID(x.endpoint + 1), Attempt: x.attempt, Outcome: outcome,
		Took: w.now - x.startedAt, ConnIdle: x.connIdle, NewConn: x.connIdle == 0,
	}
	if outcome == snowjunction.Rejected {
		ev.RetryAfter = x.answer.RetryAfter
	}
	if x.answer.Limit > 0 {
		ev.Report = []float64{x.answer.RemainingShare, x.answer.Limit}
	}
	switch {
	case outcome == snowjunction.OK && m.pending:
		w.finishMessage(x.message, delivered)
		ev.Done = true
		c.release(x.message)
	case outcome == snowjunction.OK:
		w.result.SuccessAfterResult++
		ev.Done = true
	}
	c.post(ev)
	if !m.pending {
		// The slot can be reused from here on: the policy reacts to this event in its
		// next tick, before it can get another message with the same number.
		w.freeMessage(x.message)
	}
}

// handleListing applies a directory update of an endpoint.
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

// loadDestination counts a pending message of a destination and loads the destination into the
// policy if it is unloaded.
func (c *courier) loadDestination(d int32) {
	if _, ok := c.loaded[d]; ok {
		c.loaded[d]++
		c.idleTracker.Busy(snowjunction.DestinationID(d))
		return
	}
	c.loaded[d] = 1
	c.post(c.loadEvent(d, c.idleTracker.Load(snowjunction.DestinationID(d), c.world.now-c.startedAt)))
}

// release removes a finished message from the count of its destination, which becomes idle
// without pending messages.
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

// unloadDue asks the policy to unload the destination that has been idle long enough, if there
// is one, and schedules the next check.
func (c *courier) unloadDue(run uint32) {
	if run != c.run || !c.up {
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

// handleUnloaded stores the snapshot of an unloaded destination. A destination that is busy or
// has a new message stays loaded.
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
