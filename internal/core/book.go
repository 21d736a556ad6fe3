package core

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/store"
)

// Counters count what the courier does. They are its alone: nothing in the
// program depends on them.
type Counters struct {
	In             uint64 // well-formed messages handed in
	Malformed      uint64 // requests answered with an error
	Taken          uint64 // taken on
	Refused        uint64 // fixed responses
	Hooked         uint64 // of these, by a plug-in
	Crowded        uint64 // of the refused: too many destinations are awake or bind
	Gone           uint64 // taken on, but the client had gone
	Restored       uint64 // taken up from the journal at the start
	Untried        uint64 // of these, without an attempt before
	Tried          uint64 // of the untried, sent since
	GivenUp        uint64 // of the untried, ended without being sent
	Recalled       uint64 // destinations of which an earlier life has left something
	Sent           uint64 // attempts that left
	Unsent         uint64 // attempts that did not leave after all
	Late           uint64 // successes after the message's end
	Overdue        uint64 // successes after its time, which count as failed
	Delivered      uint64
	Withdrawn      uint64
	Failed         uint64
	Returned       uint64
	Told           uint64 // notes to the fleet
	Noted          uint64 // notes of other couriers
	Unread         uint64 // those that could not be read
	Forwarded      uint64 // messages that another courier has answered
	ForwardedBytes uint64 // of commands that have left for others
	Moved          uint64 // messages of other couriers, of which no list is held here
	Vain           uint64 // tries to forward a message that surely came to nothing
	Unknown        uint64 // forwarded messages of which it is not known what became
	Unrouted       uint64 // messages refused as no courier that may have them could be reached
	Results        [snowjunction.Moot + 1]uint64

	serial uint32
}

var outcomes = [...]string{"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

func (n *Counters) result(o snowjunction.Outcome) {
	if int(o) < len(n.Results) {
		n.Results[o]++
	}
}

// LogValue puts the counters in one line of the log.
func (n *Counters) LogValue() slog.Value {
	attrs := []slog.Attr{
		slog.Uint64("in", n.In), slog.Uint64("malformed", n.Malformed), slog.Uint64("taken", n.Taken),
		slog.Uint64("refused", n.Refused), slog.Uint64("hooked", n.Hooked), slog.Uint64("crowded", n.Crowded), slog.Uint64("gone", n.Gone),
		slog.Uint64("restored", n.Restored), slog.Uint64("sent", n.Sent), slog.Uint64("unsent", n.Unsent),
		slog.Uint64("late", n.Late), slog.Uint64("delivered", n.Delivered),
		slog.Uint64("withdrawn", n.Withdrawn), slog.Uint64("failed", n.Failed),
		slog.Uint64("returned", n.Returned), slog.Uint64("told", n.Told), slog.Uint64("noted", n.Noted), slog.Uint64("unread", n.Unread),
		slog.Uint64("overdue", n.Overdue),
		slog.Uint64("forwarded", n.Forwarded), slog.Uint64("forwarded_bytes", n.ForwardedBytes), slog.Uint64("moved", n.Moved), slog.Uint64("in_vain", n.Vain),
		slog.Uint64("unknown", n.Unknown), slog.Uint64("unrouted", n.Unrouted),
		slog.Uint64("untried", n.Untried), slog.Uint64("tried", n.Tried), slog.Uint64("given_up", n.GivenUp),
	}
	for o, count := range n.Results {
		attrs = append(attrs, slog.Uint64(outcomes[o], count))
	}
	return slog.GroupValue(attrs...)
}

// giveUp is the module's final answer: at once, to the client if it still
// waits for the first one, else as an end.
func (c *Core) giveUp(id snowjunction.RequestID, s store.State, after time.Duration) {
	f := c.flows[id]
	if f == nil || f.ended {
		return
	}
	if s == store.Returned && !c.inWindow(f) { // not harmless, as the module thinks it is
		s, after = store.Failed, 0
	}
	if f.answer == nil {
		c.end(f, s, after)
		return
	}
	answer := f.answer
	f.answer = nil
	c.drop(f)
	c.traceEnd(f, "refused", after)
	if s == store.Returned {
		c.Counters.Refused++
		c.of(f).throttled++
		answer(Answer{Verdict: Fixed, After: after}, nil)
	} else {
		c.Counters.Failed++
		c.of(f).faulted++
		answer(Answer{Verdict: Failed}, nil)
	}
}

// end books the end of a flow that was taken on and has it told.
func (c *Core) end(f *flow, s store.State, after time.Duration) {
	if !f.ended && f.id != 0 {
		c.drop(f)
	}
	if err := c.Journal.Ended(f.msg, s, after, c.Loop.Now()); err != nil {
		c.Log.Error("journal", "err", err)
	}
	switch s {
	case store.Delivered:
		c.Counters.Delivered++
		c.of(f).fulfilled++
	case store.Withdrawn, store.Deleted:
		c.Counters.Withdrawn++
	case store.Failed:
		c.Counters.Failed++
		c.of(f).faulted++
	case store.Returned:
		c.Counters.Returned++
		c.of(f).throttled++
	}
	c.traceEnd(f, s.String(), after)
	if c.Plugins != nil {
		c.Plugins.Ended(f.msg)
	}
	c.tell(f)
}

// tell lets the front know of an end; its key waits until that is settled.
func (c *Core) tell(f *flow) {
	if f.class.InOrder && f.msg.Key != 0 {
		c.unknown[f.msg.Key]++
	}
	c.Fronts[f.msg.Origin].Ended(f.msg)
}

// Settled tells that the end of m is known to whoever handed it in.
func (c *Core) Settled(m *store.Message) {
	if m.Settled {
		return
	}
	if err := c.Journal.Settle(m); err != nil {
		c.Log.Error("journal", "err", err)
	}
	n, ok := c.unknown[m.Key]
	if no, known := c.classes[m.Class]; !ok || !known || !c.Settings.Classes[no].InOrder {
		return
	}
	if n > 1 {
		c.unknown[m.Key] = n - 1
		return
	}
	delete(c.unknown, m.Key)
	waiting := c.owing[m.Key]
	delete(c.owing, m.Key)
	for _, f := range waiting {
		if f.attempt != nil && f.attempt.call == nil {
			c.leave(f.attempt)
		}
	}
}

// drop takes a flow off what is held.
func (c *Core) drop(f *flow) {
	if f.ended {
		return
	}
	f.ended = true
	c.held--
	c.tried(f, false)
	if c.ids[f.name()] == f {
		delete(c.ids, f.name())
	}
	c.forget(f)
}

// forget removes a flow that has its end and no attempt out.
func (c *Core) forget(f *flow) {
	if f.ended && f.attempt == nil && c.flows[f.id] == f {
		delete(c.flows, f.id)
		c.release(f)
		c.bind(f)
	}
}

func (f *flow) name() name { return name{int(f.msg.Origin), f.msg.ID} }

// Deletion is what became of a wish to delete a message.
type Deletion int

const (
	NotHeld Deletion = iota // no such message is owed an end here
	Out                     // an attempt is out: it may be delivered all the same
	Deleted                 // its end is written; nothing of it goes any more
)

// Delete ends a message of a front's that whoever handed it in no longer wants, unless
// an attempt of it is out. An earlier attempt may have run all the same. The end is in
// the journal before Delete returns, and the front is told of it as of any end.
func (c *Core) Delete(front int, id string) Deletion {
	f := c.ids[name{front, id}]
	switch {
	case f == nil || f.ended || f.answer != nil || f.id == 0:
		return NotHeld
	case f.attempt != nil:
		return Out
	}
	c.forgo(f)
	c.end(f, store.Deleted, 0)
	return Deleted
}
