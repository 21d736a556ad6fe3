package partition

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world is couriers with views of their own, between some of which nothing passes.
type world struct {
	t       *rapid.T
	now     time.Duration
	members []Member
	views   []*Membership
	routers map[string]*Router
	dead    map[string]bool
	cut     bool              // no region reaches another
	holds   map[string][]held // by who holds
}

// held is a message that a courier has taken on.
type held struct {
	client string // the courier that a client handed it to
	key    uint64
	p      int
	until  time.Duration
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: late, members: fleet(9, 3, 2), routers: map[string]*Router{}, dead: map[string]bool{}, holds: map[string][]held{}}
	copies := rapid.IntRange(1, 2).Draw(t, "copies")
	for range 3 {
		gone := rapid.SliceOfN(rapid.IntRange(0, 8), 0, 4).Draw(t, "gone")
		var some []Member
		for i, x := range w.members {
			if !slices.Contains(gone, i) {
				some = append(some, x)
			}
		}
		w.views = append(w.views, membership(t, parts, copies, some))
	}
	for _, name := range append(names(w.members), "x") {
		r := NewRouter(Options{Self: name, Region: "r0", Linger: linger, Longest: longest, PinsMost: 6}, w.view(), 0)
		r.Held(r.Wanted())
		w.routers[name] = r
	}
	return w
}

func (w *world) view() *Membership { return rapid.SampledFrom(w.views).Draw(w.t, "view") }

func (w *world) one() string {
	return rapid.SampledFrom(append(names(w.members), "x")).Draw(w.t, "courier")
}

func (w *world) reaches(a, b string) bool {
	return !w.dead[b] && (!w.cut || w.routers[a].region == w.routers[b].region)
}

func (w *world) step() {
	switch rapid.IntRange(0, 11).Draw(w.t, "step") {
	case 0:
		w.routers[w.one()].Adopt(w.view(), w.now)
	case 1:
		r := w.routers[w.one()]
		want := r.Wanted()
		r.Held(want[:rapid.IntRange(0, len(want)).Draw(w.t, "come")])
	case 2:
		w.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 5 * time.Second, linger}).Draw(w.t, "time")
	case 3:
		name := w.one()
		r := w.routers[name]
		for _, p := range r.Expire(w.now, func(p int) bool { return w.holding(name, p) }) {
			require.False(w.t, w.holding(name, p), "%d has gone and is used", p)
			require.NotContains(w.t, r.m.Owned(name), p)
		}
	case 4:
		name := w.one()
		w.dead[name] = !w.dead[name]
	case 5:
		w.cut = !w.cut
	default:
		w.send()
	}
}

func (w *world) holding(name string, p int) bool {
	return slices.ContainsFunc(w.holds[name], func(x held) bool { return x.p == p && x.until > w.now })
}

// send has a client hand a message to a courier, and the couriers do with it what they do.
func (w *world) send() {
	x := w.one()
	if w.dead[x] {
		return
	}
	r := w.routers[x]
	m := Message{Destination: uint32(rapid.IntRange(0, 20).Draw(w.t, "destination")), Left: longest}
	if m.Key = uint64(rapid.IntRange(0, 8).Draw(w.t, "key")); m.Key != 0 {
		m.Destination = uint32(m.Key)
		m.Left = time.Duration(rapid.IntRange(1, 12).Draw(w.t, "left")) * time.Second
	}
	p := Of(m.Destination, parts)
	ways := len(r.m.Owners(p, ""))
	if r.before != nil {
		ways += len(r.before.Owners(p, ""))
	}
	var tried []string
	for {
		require.LessOrEqual(w.t, len(tried), ways, "%v", tried)
		way := r.Route(m, tried, w.now)
		switch way.Way {
		case Busy:
			require.Positive(w.t, way.After)
			return
		case Here:
			w.take(x, x, m)
			r.Took(m, x, w.now)
			return
		case Moved:
			require.Fail(w.t, "a client's message is never answered MOVED")
		}
		y := way.To.Name
		require.NotEqual(w.t, x, y, "forwarded to itself")
		require.NotContains(w.t, tried, y, "tried twice")
		tried = append(tried, y)
		if !w.reaches(x, y) {
			r.Unreached(y, w.now)
			continue
		}
		fate := rapid.SampledFrom([]string{"answered", "busy", "silent", "lost"}).Draw(w.t, "fate")
		forwarded := m
		forwarded.Forwarded = true
		at := w.routers[y].Route(forwarded, nil, w.now)
		require.Contains(w.t, []Way{Here, Moved}, at.Way, "never forwarded again")
		switch {
		case fate == "lost": // its bytes left, and nobody knows: the client's connection ends
			r.Took(m, y, w.now)
			return
		case at.Way == Moved:
			r.Reached(y)
			continue
		case fate == "busy":
			r.Reached(y)
			return
		}
		w.take(y, x, m)
		r.Took(m, y, w.now)
		return
	}
}

// take has a courier take a message on: it lists its destination, and nobody else may still hold
// one that the same client handed in before it for the same key.
func (w *world) take(by, client string, m Message) {
	p := Of(m.Destination, parts)
	require.True(w.t, w.routers[by].Lists(m.Destination), "%s takes what it does not list", by)
	require.Contains(w.t, w.routers[by].Listed(), p)
	require.NotContains(w.t, w.routers[by].Wanted(), p, "served before its list came")
	for other, holds := range w.holds {
		for _, h := range holds {
			if m.Key != 0 && other != by && h.key == m.Key && h.client == client {
				require.LessOrEqual(w.t, h.until, w.now, "%s takes a message of key %d while %s may hold the last", by, m.Key, other)
			}
		}
	}
	w.holds[by] = append(w.holds[by], held{client, m.Key, p, w.now + m.Left})
}

// Whatever couriers know of each other, and whoever reaches whom: a message that a client hands in
// ends with one courier, with BUSY, or unknown, after each owner of both views has been tried once
// at most; what was forwarded is not forwarded again; keys keep their order; nothing is served
// without its list, and nothing that is used is let go of.
func TestRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.step()
		}
	})
}
