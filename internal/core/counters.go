package core

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/store"
)

// Counters count the courier's work. They are for reporting only and influence no decision.
type Counters struct {
	In                   uint64 // well-formed messages received
	Malformed            uint64 // requests answered with an error
	Accepted             uint64 // accepted
	Refused              uint64 // fixed responses
	RefusedByPlugin      uint64 // refused by a plug-in
	RefusedCrowded       uint64 // refused because too many destinations are loaded or have binding state
	ClientGone           uint64 // accepted, but the client had disconnected
	Restored             uint64 // recovered from the journal at start
	RestoredUntried      uint64 // restored without an earlier attempt
	UntriedAttempted     uint64 // untried messages attempted since
	UntriedAbandoned     uint64 // untried messages that ended without an attempt
	LearnedRestored      uint64 // destinations with learned state of a previous process run
	Sent                 uint64 // attempts sent
	Unsent               uint64 // attempts not sent after all
	Late                 uint64 // successes after the message's final result
	Overdue              uint64 // successes after the deadline, counted as failed
	Delivered            uint64
	Withdrawn            uint64
	Failed               uint64
	Returned             uint64
	PeerMessagesSent     uint64 // messages sent to the fleet
	PeerMessagesReceived uint64 // messages received from other couriers
	PeerMessagesInvalid  uint64 // messages from other couriers that could not be decoded
	Forwarded            uint64 // messages answered by another courier
	ForwardedBytes       uint64 // of commands sent to other couriers
	Moved                uint64 // messages of other couriers whose list is not held here
	ForwardFailed        uint64 // forwarding attempts that certainly had no effect
	ForwardUnknown       uint64 // forwarded messages with an unknown result
	Unrouted             uint64 // messages refused because no responsible courier was reachable
	Results              [snowjunction.NotSent + 1]uint64

	lastFlow uint32
}

var outcomes = [...]string{"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

func (n *Counters) result(o snowjunction.Outcome) {
	if int(o) < len(n.Results) {
		n.Results[o]++
	}
}

// LogValue returns the counters as log attributes.
func (n *Counters) LogValue() slog.Value {
	attrs := []slog.Attr{
		slog.Uint64("in", n.In), slog.Uint64("malformed", n.Malformed), slog.Uint64("taken", n.Accepted),
		slog.Uint64("refused", n.Refused), slog.Uint64("hooked", n.RefusedByPlugin), slog.Uint64("crowded", n.RefusedCrowded), slog.Uint64("gone", n.ClientGone),
		slog.Uint64("restored", n.Restored), slog.Uint64("sent", n.Sent), slog.Uint64("unsent", n.Unsent),
		slog.Uint64("late", n.Late), slog.Uint64("delivered", n.Delivered),
		slog.Uint64("withdrawn", n.Withdrawn), slog.Uint64("failed", n.Failed),
		slog.Uint64("returned", n.Returned), slog.Uint64("told", n.PeerMessagesSent), slog.Uint64("noted", n.PeerMessagesReceived), slog.Uint64("unread", n.PeerMessagesInvalid),
		slog.Uint64("overdue", n.Overdue),
		slog.Uint64("forwarded", n.Forwarded), slog.Uint64("forwarded_bytes", n.ForwardedBytes), slog.Uint64("moved", n.Moved), slog.Uint64("in_vain", n.ForwardFailed),
		slog.Uint64("unknown", n.ForwardUnknown), slog.Uint64("unrouted", n.Unrouted),
		slog.Uint64("untried", n.RestoredUntried), slog.Uint64("tried", n.UntriedAttempted), slog.Uint64("given_up", n.UntriedAbandoned),
	}
	for o, count := range n.Results {
		attrs = append(attrs, slog.Uint64(outcomes[o], count))
	}
	return slog.GroupValue(attrs...)
}

// abandon carries out the module's decision to give up a flow: as the answer if the client still
// waits for one, otherwise as the final result.
func (c *Core) abandon(id snowjunction.RequestID, state store.State, retryAfter time.Duration) {
	f := c.flows[id]
	if f == nil || f.ended {
		return
	}
	if state == store.Returned && !c.inWindow(f) { // not safe to resubmit, although the module thinks so
		state, retryAfter = store.Failed, 0
	}
	if f.answer == nil {
		c.finish(f, state, retryAfter)
		return
	}
	answer := f.answer
	f.answer = nil
	c.closeFlow(f)
	c.traceEnd(f, "refused", retryAfter)
	if state == store.Returned {
		c.Counters.Refused++
		c.tallyOf(f).refused++
		answer(Answer{Verdict: FixedResponse, RetryAfter: retryAfter}, nil)
	} else {
		c.Counters.Failed++
		c.tallyOf(f).failed++
		answer(Answer{Verdict: Failed}, nil)
	}
}

// finish records the final result of an accepted flow and reports it.
func (c *Core) finish(f *flow, state store.State, retryAfter time.Duration) {
	if !f.ended && f.id != 0 {
		c.closeFlow(f)
	}
	if err := c.Journal.RecordFinalState(f.msg, state, retryAfter, c.Loop.Now()); err != nil {
		c.Log.Error("journal", "err", err)
	}
	switch state {
	case store.Delivered:
		c.Counters.Delivered++
		c.tallyOf(f).delivered++
	case store.Withdrawn, store.Deleted:
		c.Counters.Withdrawn++
	case store.Failed:
		c.Counters.Failed++
		c.tallyOf(f).failed++
	case store.Returned:
		c.Counters.Returned++
		c.tallyOf(f).refused++
	}
	c.traceEnd(f, state.String(), retryAfter)
	if c.Plugins != nil {
		c.Plugins.Ended(f.msg)
	}
	c.notifyFront(f)
}

// notifyFront reports a final result to the front. The flow's key is blocked until that is settled.
func (c *Core) notifyFront(f *flow) {
	if f.class.InOrder && f.msg.Key != 0 {
		c.unsettledEnds[f.msg.Key]++
	}
	c.Fronts[f.msg.Origin].Ended(f.msg)
}

// Settled records that the sender of m knows the final result.
func (c *Core) Settled(m *store.Message) {
	if m.Settled {
		return
	}
	if err := c.Journal.Settle(m); err != nil {
		c.Log.Error("journal", "err", err)
	}
	unsettled, ok := c.unsettledEnds[m.Key]
	if classIndex, known := c.classes[m.Class]; !ok || !known || !c.Settings.Classes[classIndex].InOrder {
		return
	}
	if unsettled > 1 {
		c.unsettledEnds[m.Key] = unsettled - 1
		return
	}
	delete(c.unsettledEnds, m.Key)
	waiting := c.awaitingSettlement[m.Key]
	delete(c.awaitingSettlement, m.Key)
	for _, f := range waiting {
		if f.attempt != nil && f.attempt.call == nil {
			c.prepare(f.attempt)
		}
	}
}

// closeFlow removes a flow from the open flows.
func (c *Core) closeFlow(f *flow) {
	if f.ended {
		return
	}
	f.ended = true
	c.openFlows--
	c.countTried(f, false)
	if c.flowsByRef[f.ref()] == f {
		delete(c.flowsByRef, f.ref())
	}
	c.forget(f)
}

// forget removes a flow that is over and has no attempt in progress.
func (c *Core) forget(f *flow) {
	if f.ended && f.attempt == nil && c.flows[f.id] == f {
		delete(c.flows, f.id)
		c.release(f)
		c.unbindKey(f)
	}
}

func (f *flow) ref() messageRef { return messageRef{int(f.msg.Origin), f.msg.ID} }

// Deletion is the result of a request to delete a message.
type Deletion int

const (
	NotOpen  Deletion = iota // no such message is open
	InFlight                 // an attempt is in flight; the message may still be delivered
	Deleted                  // the end is in the journal; nothing more is sent
)

// Delete ends a message of a front at its sender's request, unless an attempt is in flight. An
// earlier attempt may have run. The end is in the journal before Delete returns, and the front is
// notified as of any final result.
func (c *Core) Delete(front int, id string) Deletion {
	f := c.flowsByRef[messageRef{front, id}]
	switch {
	case f == nil || f.ended || f.answer != nil || f.id == 0:
		return NotOpen
	case f.attempt != nil:
		return InFlight
	}
	c.withdraw(f)
	c.finish(f, store.Deleted, 0)
	return Deleted
}
