package partition

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation simulates couriers with different views, some of which cannot reach each other.
type simulation struct {
	t          *rapid.T
	now        time.Duration
	members    []Member
	views      []*Membership
	routers    map[string]*Router
	dead       map[string]bool
	regionsCut bool                         // no region reaches another
	accepted   map[string][]acceptedMessage // by the courier that holds the messages
}

// acceptedMessage is a message that a courier has accepted.
type acceptedMessage struct {
	client    string // the courier that the client sent it to
	key       uint64
	partition int
	until     time.Duration
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: longAfterStart, members: fleet(9, 3, 2), routers: map[string]*Router{}, dead: map[string]bool{}, accepted: map[string][]acceptedMessage{}}
	copies := rapid.IntRange(1, 2).Draw(t, "copies")
	for range 3 {
		gone := rapid.SliceOfN(rapid.IntRange(0, 8), 0, 4).Draw(t, "gone")
		var some []Member
		for i, x := range w.members {
			if !slices.Contains(gone, i) {
				some = append(some, x)
			}
		}
		w.views = append(w.views, membership(t, partitionCount, copies, some))
	}
	for _, name := range append(names(w.members), "x") {
		r := NewRouter(Options{Self: name, Region: "r0", ServeAfterLoss: serveAfterLoss, MaxDeadline: maxDeadline, MaxPins: 6}, w.anyView(), 0)
		r.MarkListReceived(r.AwaitingList())
		w.routers[name] = r
	}
	return w
}

func (w *simulation) anyView() *Membership { return rapid.SampledFrom(w.views).Draw(w.t, "view") }

func (w *simulation) anyCourier() string {
	return rapid.SampledFrom(append(names(w.members), "x")).Draw(w.t, "courier")
}

func (w *simulation) reaches(a, b string) bool {
	return !w.dead[b] && (!w.regionsCut || w.routers[a].region == w.routers[b].region)
}

func (w *simulation) step() {
	switch rapid.IntRange(0, 11).Draw(w.t, "step") {
	case 0:
		w.routers[w.anyCourier()].SetMembership(w.anyView(), w.now)
	case 1:
		r := w.routers[w.anyCourier()]
		want := r.AwaitingList()
		r.MarkListReceived(want[:rapid.IntRange(0, len(want)).Draw(w.t, "come")])
	case 2:
		w.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 5 * time.Second, serveAfterLoss}).Draw(w.t, "time")
	case 3:
		name := w.anyCourier()
		r := w.routers[name]
		for _, p := range r.Expire(w.now, func(p int) bool { return w.holdsMessage(name, p) }) {
			require.False(w.t, w.holdsMessage(name, p), "%d was dropped while in use", p)
			require.NotContains(w.t, r.membership.Owned(name), p)
		}
	case 4:
		name := w.anyCourier()
		w.dead[name] = !w.dead[name]
	case 5:
		w.regionsCut = !w.regionsCut
	default:
		w.send()
	}
}

func (w *simulation) holdsMessage(name string, p int) bool {
	return slices.ContainsFunc(w.accepted[name], func(x acceptedMessage) bool { return x.partition == p && x.until > w.now })
}

// send submits a message of a client to a courier, and forwards it as the couriers decide.
func (w *simulation) send() {
	x := w.anyCourier()
	if w.dead[x] {
		return
	}
	r := w.routers[x]
	m := Message{Destination: uint32(rapid.IntRange(0, 20).Draw(w.t, "destination")), Remaining: maxDeadline}
	if m.Key = uint64(rapid.IntRange(0, 8).Draw(w.t, "key")); m.Key != 0 {
		m.Destination = uint32(m.Key)
		m.Remaining = time.Duration(rapid.IntRange(1, 12).Draw(w.t, "left")) * time.Second
	}
	p := Of(m.Destination, partitionCount)
	maxTries := len(r.membership.Owners(p, ""))
	if r.previous != nil {
		maxTries += len(r.previous.Owners(p, ""))
	}
	var tried []string
	for {
		require.LessOrEqual(w.t, len(tried), maxTries, "%v", tried)
		route := r.Route(m, tried, w.now)
		switch route.Action {
		case Busy:
			require.Positive(w.t, route.After)
			return
		case Local:
			w.accept(x, x, m)
			r.RecordAccepted(m, x, w.now)
			return
		case Moved:
			require.Fail(w.t, "a client's message is never answered MOVED")
		}
		y := route.To.Name
		require.NotEqual(w.t, x, y, "forwarded to itself")
		require.NotContains(w.t, tried, y, "tried twice")
		tried = append(tried, y)
		if !w.reaches(x, y) {
			r.MarkUnreachable(y, w.now)
			continue
		}
		result := rapid.SampledFrom([]string{"answered", "busy", "silent", "lost"}).Draw(w.t, "fate")
		forwarded := m
		forwarded.Forwarded = true
		received := w.routers[y].Route(forwarded, nil, w.now)
		require.Contains(w.t, []Action{Local, Moved}, received.Action, "never forwarded again")
		switch {
		case result == "lost": // the request was sent and got no answer: the client's connection is closed
			r.RecordAccepted(m, y, w.now)
			return
		case received.Action == Moved:
			r.MarkReachable(y)
			continue
		case result == "busy":
			r.MarkReachable(y)
			return
		}
		w.accept(y, x, m)
		r.RecordAccepted(m, y, w.now)
		return
	}
}

// accept has a courier accept a message. The courier must list its destination, and no other
// courier may still hold an earlier message of the same client and key.
func (w *simulation) accept(by, client string, m Message) {
	p := Of(m.Destination, partitionCount)
	require.True(w.t, w.routers[by].Lists(m.Destination), "%s accepts a message that it does not list", by)
	require.Contains(w.t, w.routers[by].Listed(), p)
	require.NotContains(w.t, w.routers[by].AwaitingList(), p, "served before its list was received")
	for other, holds := range w.accepted {
		for _, h := range holds {
			if m.Key != 0 && other != by && h.key == m.Key && h.client == client {
				require.LessOrEqual(w.t, h.until, w.now, "%s accepts a message of key %d while %s may hold the previous one", by, m.Key, other)
			}
		}
	}
	w.accepted[by] = append(w.accepted[by], acceptedMessage{client, m.Key, p, w.now + m.Remaining})
}

// For any views of the couriers and any connectivity: a client's message ends at one courier, with
// BUSY, or with an unknown result, after each owner of both views was tried at most once. Forwarded
// messages are not forwarded again, the order of keys is kept, partitions are only served with
// their list, and no partition in use is dropped.
func TestRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.step()
		}
	})
}
