package platform

import (
	"bytes"
	"container/list"
	"slices"
	"strconv"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/proto/resp"
	"snowjunction/internal/store"
)

// ForwardKind is the kind of the connections on which messages go to the couriers that own them.
const ForwardKind = "forward"

const (
	// patience is a client's own, from its command to its answer.
	patience = 400 * time.Millisecond
	// dialWithin leaves time for another owner, where one is silent. Farther than that none could
	// answer in time.
	dialWithin = patience / 2
	// restFor is how long a connection may sit idle and still be used: the other side ends it
	// after idleMost, and a command that crosses that has no outcome.
	restFor = 5 * time.Second
	// forwardShare of all connections may be to other couriers, and half of these to one.
	forwardShare = 0.25
	// forwardAgain is when a client may come back whose message had no connection to go on.
	forwardAgain = 200 * time.Millisecond
)

// forwards are the messages that are on their way to other couriers, and the connections there.
type forwards struct {
	front  *Front
	hops   map[*hop]bool     // all connections
	toward map[string]int    // of these, by address
	idle   map[string][]*hop // of these, by address; the last used at the end
	out    int               // messages that have begun their way and have no answer
	queued int               // messages that wait to begin it
	held   bool              // no further message begins it
	turns  map[uint64]*turn
	rested *list.List  // the idle ones of all addresses, the one that has been idle for longest first
	expiry *core.Timer // while any connection is idle
}

// turn keeps a key's messages in their order until it is known which courier has the last one:
// on two connections they could overtake each other.
type turn struct {
	here  int // being taken in by this courier, which keeps their order itself
	out   *forward
	queue []*forward
}

// forward is a message on its way to the courier that takes it, this one or another.
type forward struct {
	front  *Front
	r      core.Request
	m      partition.Message
	until  time.Time // its time is over
	tried  []string
	to     partition.Member
	hop    *hop // that carries it; nil: none
	begun  bool // it is being forwarded
	queued bool // it waits for that
	here   bool // the core answers
	limit  *core.Timer
	answer func(text []byte) bool // nil: answered, or nobody waits
}

// hop is a connection to another courier. It carries one command at a time.
type hop struct {
	front   *Front
	addr    string
	conn    *net.Conn
	parser  resp.ReplyParser
	carries *forward // nil: it is idle
	sent    bool     // its bytes may have left
	used    time.Time
	rest    *list.Element // among those that are idle; nil: it is not
	limit   *core.Timer   // while it comes up
}

func newForwards(f *Front) forwards {
	return forwards{
		front: f, hops: map[*hop]bool{}, toward: map[string]int{}, idle: map[string][]*hop{}, rested: list.New(), turns: map[uint64]*turn{},
	}
}

// HandIn does what a client's command does, without a connection: the message is taken in here
// or forwarded, and answer is called once, with the text that a client is sent, perhaps within
// the call. A text of nil says that the outcome is not known: a client's connection is closed
// then. An error says what is wrong with the message, which gets no other answer.
func (f *Front) HandIn(r core.Request, answer func(text []byte)) error {
	_, err := f.handIn(r, func(text []byte) bool {
		answer(text)
		return true
	})
	return err
}

// handIn is HandIn for those who may go before the answer. answer tells whether it was heard.
func (f *Front) handIn(r core.Request, answer func(text []byte) bool) (*forward, error) {
	if f.Router == nil || !f.core.Taking() {
		return nil, f.takeIn(r, answer)
	}
	class, err := f.core.Check(r)
	if err != nil {
		f.core.Counters.Malformed++
		return nil, err
	}
	w := &forward{
		front: f, r: r, until: f.Loop.Now().Add(r.Left), answer: answer,
		m: partition.Message{Destination: r.Destination, Forwarded: r.Forwarded, Left: r.Left},
	}
	if class.InOrder && !r.Forwarded { // what others forward comes in their order
		w.m.Key = r.Key
	}
	if w.m.Key == 0 {
		w.route()
	} else {
		t := f.forwards.turns[r.Key]
		if t == nil {
			t = &turn{}
			f.forwards.turns[r.Key] = t
		}
		t.queue = append(t.queue, w)
		f.forwards.next(r.Key)
	}
	if w.answer == nil || w.here {
		return w, nil
	}
	w.limit = f.Loop.After(patience, w.expire)
	if !w.begun { // behind others of its key, or in a handover: as many as may be out
		w.queued = true
		if f.forwards.queued++; f.forwards.queued > f.forwards.most() {
			w.refuse(forwardAgain)
		}
	}
	return w, nil
}

// takeIn hands a message to this courier's own core.
func (f *Front) takeIn(r core.Request, answer func(text []byte) bool) error {
	return f.core.TakeIn(r, func(x core.Answer, _ *store.Message) bool { return answer(render(x)) })
}

// next has a key's waiting messages go on, as far as their order allows.
func (p *forwards) next(key uint64) {
	t := p.turns[key]
	if t == nil {
		return
	}
	for t.out == nil && len(t.queue) > 0 {
		w := t.queue[0]
		t.queue = t.queue[1:]
		if t.here > 0 {
			w.take()
			continue
		}
		t.out = w
		w.route()
	}
	if t.out == nil && t.here == 0 && len(t.queue) == 0 && p.turns[key] == t {
		delete(p.turns, key)
	}
}

// route finds the message's next way. Nothing of it has left.
func (w *forward) route() {
	f := w.front
	if f.forwards.held && !w.begun {
		return // it is handed over, or given up
	}
	if w.m.Left = w.until.Sub(f.Loop.Now()); w.m.Left <= 0 {
		w.finish(render(core.Answer{Verdict: core.Failed}))
		return
	}
	if !f.core.Taking() {
		w.take()
		return
	}
	switch x := f.Router.Route(w.m, w.tried, f.since()); x.Way {
	case partition.Here:
		w.take()
	case partition.Forward:
		w.send(x.To)
	case partition.Moved:
		f.core.Counters.Moved++
		w.finish(resp.Error("MOVED"))
	default:
		w.refuse(x.After)
	}
}

// refuse answers that the message may be handed in again.
func (w *forward) refuse(after time.Duration) {
	w.front.core.Counters.Unrouted++
	w.finish(render(core.Answer{Verdict: core.Fixed, After: after}))
}

// take has this courier take the message in.
func (w *forward) take() {
	f := w.front
	w.rest()
	w.here = true
	t := f.forwards.turns[w.m.Key]
	if w.m.Key != 0 {
		if t.out == w {
			t.out = nil
		}
		t.here++
	}
	leave := func() {
		if w.m.Key != 0 {
			t.here--
			f.forwards.next(w.m.Key)
		}
	}
	if w.r.Left = w.until.Sub(f.Loop.Now()); w.r.Left <= 0 {
		w.say(render(core.Answer{Verdict: core.Failed}))
		leave()
		return
	}
	err := f.core.TakeIn(w.r, func(x core.Answer, _ *store.Message) bool {
		if x.Verdict == core.Taken {
			w.m.Left = w.until.Sub(f.Loop.Now())
			f.Router.Took(w.m, f.Router.Self(), f.since())
		}
		heard := w.say(render(x))
		leave()
		return heard
	})
	if err != nil { // it has been checked: no other is known
		w.say(resp.Error("ERR " + err.Error()))
		leave()
	}
}

// say answers, once, and tells whether that was heard.
func (w *forward) say(text []byte) bool {
	answer := w.answer
	w.answer = nil
	return answer != nil && answer(text)
}

// begin counts that the message's way to others has begun.
func (w *forward) begin() {
	if w.begun {
		return
	}
	if w.begun = true; w.queued {
		w.queued = false
		w.front.forwards.queued--
	}
	w.front.forwards.out++
}

// rest ends that way.
func (w *forward) rest() {
	w.limit.Stop()
	w.begin()
	w.hop, w.begun = nil, false
	w.front.forwards.out--
}

// finish answers and has the next of its key go on.
func (w *forward) finish(text []byte) {
	w.rest()
	w.say(text)
	w.leave()
}

// leave takes the message out of its key's order.
func (w *forward) leave() {
	p := &w.front.forwards
	if t := p.turns[w.m.Key]; w.m.Key != 0 && t != nil {
		if t.out == w {
			t.out = nil
		}
		t.queue = slices.DeleteFunc(t.queue, func(x *forward) bool { return x == w })
		p.next(w.m.Key)
	}
}

// abandon ends the way of a message whose client has gone. The courier that it may have reached
// sees the connection end, as it would its own client's.
func (w *forward) abandon() {
	if w.answer == nil {
		return
	}
	w.answer = nil
	if w.here {
		return // the core hears of that as it answers
	}
	if h := w.hop; h != nil {
		if h.sent {
			w.took()
		}
		h.carries = nil
		h.end(net.ClientGone)
	}
	w.rest()
	w.leave()
}

// took has it remembered that the courier which the message went to may have taken it.
func (w *forward) took() {
	w.front.Router.Took(w.m, w.to.Name, w.front.since())
}

// expire gives the message up: its client does so now.
func (w *forward) expire() {
	if h := w.hop; h != nil {
		if h.sent { // who is silent to one would swallow the next too
			w.front.Router.Unreached(w.to.Name, w.front.since())
			h.lost(net.CallTimeout)
			return
		}
		h.carries = nil
		h.end(net.DialTimeout)
	}
	if !w.front.Loop.Now().Before(w.until) {
		w.finish(render(core.Answer{Verdict: core.Failed}))
		return
	}
	w.refuse(forwardAgain)
}

// vain goes on to another courier: the last one has surely not taken the message.
func (w *forward) vain() {
	w.front.core.Counters.Vain++
	w.hop = nil
	w.tried = append(w.tried, w.to.Name)
	w.route()
}

// send forwards the message on an idle connection, or a new one.
func (w *forward) send(to partition.Member) {
	f := w.front
	p := &f.forwards
	w.to = to
	w.begin()
	for h := p.fit(to.Addr); h != nil; h = p.fit(to.Addr) {
		if w.hop, h.carries = h, w; h.write() {
			return
		}
		h.carries, w.hop = nil, nil
		h.end(net.Stale)
	}
	most := p.most()
	if p.toward[to.Addr] >= most/2 {
		w.vain()
		return
	}
	if len(p.hops) >= most && !p.spare() {
		w.refuse(forwardAgain)
		return
	}
	h := &hop{front: f, addr: to.Addr, carries: w}
	w.hop = h
	p.hops[h] = true
	p.toward[to.Addr]++
	h.limit = f.Loop.After(dialWithin, h.silent)
	h.conn = f.Engine.Dial(ForwardKind, to.Addr, h)
}

// most is how many connections there may be to other couriers.
func (p *forwards) most() int { return max(2, int(forwardShare*float64(p.front.Engine.Most()))) }

// command is the client's, as another courier gets it.
func (w *forward) command(left time.Duration) []byte {
	r := &w.r
	names := "c=" + r.Class
	if r.Tenant != "" {
		names += ",t=" + r.Tenant
	}
	names += ",d=" + strconv.FormatFloat(float64(left.Microseconds())/1000, 'f', -1, 64) +
		",dest=" + strconv.FormatUint(uint64(r.Destination), 10)
	if r.IdempotencyKey != "" {
		names += ",k=" + r.IdempotencyKey
	}
	if r.Again {
		names += ",again=1"
	}
	names += ",fwd=1"
	return resp.Command([]byte("OUT.ADD"), strconv.AppendUint(nil, r.Key, 16), []byte(r.ID), []byte(names), r.Body)
}

// fit takes the idle connection to an address that was last used. One that its other side has
// ended, or sent something on, would swallow a command.
func (p *forwards) fit(addr string) *hop {
	for {
		all := p.idle[addr]
		if len(all) == 0 {
			return nil
		}
		h := all[len(all)-1]
		p.busy(h)
		if p.front.Loop.Now().Sub(h.used) >= restFor {
			h.end(net.Idle)
		} else if bytes, ended := h.conn.Look(); bytes || ended {
			h.end(net.Stale)
		} else {
			return h
		}
	}
}

// busy takes a connection out of the idle ones.
func (p *forwards) busy(h *hop) {
	if h.rest == nil {
		return
	}
	p.rested.Remove(h.rest)
	h.rest = nil
	all := slices.DeleteFunc(p.idle[h.addr], func(x *hop) bool { return x == h })
	if p.idle[h.addr] = all; len(all) == 0 {
		delete(p.idle, h.addr)
	}
}

// oldest is the connection that has been idle for longest; nil: none is.
func (p *forwards) oldest() *hop {
	if p.rested.Len() == 0 {
		return nil
	}
	return p.rested.Front().Value.(*hop)
}

// spare ends that connection, and tells whether there was one.
func (p *forwards) spare() bool {
	h := p.oldest()
	if h != nil {
		h.end(net.Spared)
	}
	return h != nil
}

// sweep ends the connections that have been idle for too long to be used.
func (p *forwards) sweep() {
	p.expiry = nil
	for h := p.oldest(); h != nil; h = p.oldest() {
		if left := restFor - p.front.Loop.Now().Sub(h.used); left > 0 {
			p.expiry = p.front.Loop.After(left, p.sweep)
			return
		}
		h.end(net.Idle)
	}
}

// drop ends all idle connections to an address.
func (p *forwards) drop(addr string) {
	for _, h := range slices.Clone(p.idle[addr]) {
		h.end(net.Dropped)
	}
}

func (p *forwards) close() {
	p.expiry.Stop()
	for h := range p.hops {
		h.limit.Stop()
		h.conn.Close(net.Shutdown)
	}
}

// forget takes a connection that has ended off the books.
func (h *hop) forget() {
	p := &h.front.forwards
	h.limit.Stop()
	if !p.hops[h] {
		return
	}
	delete(p.hops, h)
	if p.toward[h.addr]--; p.toward[h.addr] == 0 {
		delete(p.toward, h.addr)
	}
	p.busy(h)
}

func (h *hop) end(code net.Code) {
	h.forget()
	h.conn.Close(code)
}

// Opened lets the command go on a new connection.
func (h *hop) Opened() {
	h.limit.Stop()
	h.write() // else Closed follows
}

// write lets the command go, and tells whether the connection took it. One whose time is over
// does not go.
func (h *hop) write() bool {
	w := h.carries
	left := w.until.Sub(h.front.Loop.Now())
	if left < time.Microsecond {
		h.carries = nil
		h.rests()
		w.finish(render(core.Answer{Verdict: core.Failed}))
		return true
	}
	text := w.command(left)
	if h.sent = h.conn.Write(text); h.sent {
		h.front.core.Counters.ForwardedBytes += uint64(len(text))
	}
	return h.sent
}

// rests has the connection wait for the next command.
func (h *hop) rests() {
	p := &h.front.forwards
	h.sent, h.used = false, h.front.Loop.Now()
	p.idle[h.addr] = append(p.idle[h.addr], h)
	h.rest = p.rested.PushBack(h)
	if p.expiry == nil {
		p.expiry = h.front.Loop.After(restFor, p.sweep)
	}
}

// silent gives up a connection that does not come up.
func (h *hop) silent() {
	h.end(net.DialTimeout)
	h.unreached(net.DialTimeout)
}

func (h *hop) unreached(code net.Code) {
	w := h.carries
	h.carries = nil
	if code != net.Limit { // no room here: it says nothing of the other
		h.front.Router.Unreached(w.to.Name, h.front.since())
	}
	w.vain()
}

// Closed ends the way of the command that is out, if any.
func (h *hop) Closed(code net.Code) {
	h.forget()
	switch {
	case h.carries == nil:
	case h.sent:
		h.lost(code)
	default:
		h.unreached(code)
	}
}

// lost ends a connection whose command has left and gets no answer: what became of it is not
// known. What is idle to the same courier would only swallow further ones.
func (h *hop) lost(code net.Code) {
	w := h.carries
	h.carries = nil
	h.end(code)
	h.front.forwards.drop(h.addr)
	h.front.core.Counters.Unknown++
	w.took()
	w.finish(nil)
}

// Data reads the answer.
func (h *hop) Data(b []byte) {
	h.parser.Feed(b)
	w := h.carries
	if w == nil || !h.sent { // nothing was asked
		h.end(net.Protocol)
		return
	}
	reply, err := h.parser.Next()
	if reply == nil && err == nil {
		return
	}
	word, _, _ := bytes.Cut(bytes.TrimRight(reply, "\r\n"), []byte(" "))
	answer := string(word)
	if err != nil || answer != "+OK" && answer != "-BUSY" && answer != "-ERR" && answer != "-MOVED" {
		h.lost(net.Protocol)
		return
	}
	h.front.Router.Reached(w.to.Name)
	h.carries = nil
	if h.parser.Idle() {
		h.rests()
	} else { // more than was asked for
		h.end(net.Protocol)
	}
	if answer == "-MOVED" {
		w.vain()
		return
	}
	if answer == "+OK" {
		w.took()
	}
	h.front.core.Counters.Forwarded++
	w.finish(reply)
}
