package front_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
)

const partitionsOf = 8

const linger = 10 * time.Second

// divided is a site whose courier shares the partitions with another.
type divided struct {
	*site
	router      *partition.Router
	both        *partition.Membership // of this courier and the other
	mine, alien []int                 // partitions, while both are there
}

func members(t *testing.T, names ...string) *partition.Membership {
	var all []partition.Member
	for i, name := range names {
		all = append(all, partition.Member{Name: name, Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Region: "r"})
	}
	m, err := partition.New(partitionsOf, 1, all)
	require.NoError(t, err)
	return m
}

// newDivided is one that has not started yet. Destination 7 is this courier's.
func newDivided(t *testing.T, change ...func(*snowjunction.Settings)) *divided {
	d := &divided{both: members(t, "c1", "c2")}
	self, other := "c1", "c2"
	if !slices.Contains(d.both.Owned(self), partition.Of(7, partitionsOf)) {
		self, other = other, self
	}
	d.mine, d.alien = d.both.Owned(self), d.both.Owned(other)
	require.GreaterOrEqual(t, len(d.mine), 2)
	require.GreaterOrEqual(t, len(d.alien), 2)
	d.router = partition.NewRouter(partition.Options{Self: self, Linger: linger}, d.both, 0)
	d.site = prepared(t, net.Config{MaxConns: 64}, d.router, change...)
	return d
}

// alone is the membership without the other courier, without this one where its name is the other's.
func (d *divided) alone(of []int) *partition.Membership {
	for _, x := range d.both.Members() {
		if slices.Equal(d.both.Owned(x.Name), of) {
			return members(d.t, x.Name)
		}
	}
	panic("no such member")
}

// in is the nth destination of a partition.
func in(p, n int) (dest uint32) {
	for dest = 1; ; dest++ {
		if partition.Of(dest, partitionsOf) == p {
			if n--; n < 0 {
				return dest
			}
		}
	}
}

func instance(name string, dest uint32, lifecycle string) string {
	return instanceAt(name, dest, lifecycle, fmt.Sprintf("127.0.0.2:%d", dest))
}

func instanceAt(name string, dest uint32, lifecycle, addr string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"cell":%d,"lifecycle":%q,"zone":"a","machineType":"k"}`, name, addr, dest, lifecycle)
}

// told is an answer of the directory; restricted says that it has picked the partitions.
func told(generation int, reset, restricted bool, entries ...string) string {
	said := ""
	if restricted {
		said = fmt.Sprintf(`"partitions":%d,`, partitionsOf)
	}
	return answer("200 OK", fmt.Sprintf(`{"generation":%d,"reset":%v,%s"instances":[%s]}`, generation, reset, said, strings.Join(entries, ",")))
}

func of(parts []int) string {
	return fmt.Sprintf("partitions=%d&of=%s", partitionsOf, strings.Trim(strings.ReplaceAll(fmt.Sprint(parts), " ", ","), "[]"))
}

// asked waits for the nth ask on a connection, from 1, and returns what follows its path.
func (s *site) asked(conn, n int) string {
	s.t.Helper()
	s.until("the ask comes", func() bool { return s.discovery.took(conn, "\r\n\r\n", n) })
	head, _, _ := strings.Cut(strings.Split(s.discovery.sent(conn), "\r\n\r\n")[n-1], " HTTP/1.1\r\n")
	rest, is := strings.CutPrefix(head, "GET /discovery/hosts")
	require.True(s.t, is, head)
	return rest
}

// sent is what has come on the connection of that number.
func (p *peer) sent(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.conns[i].got)
}

// holds are the names in the table.
func (s *site) holds() (out []string) {
	for e := range s.core.Table(0).From(0) {
		out = append(out, e.Name)
	}
	slices.Sort(out)
	return out
}

// way is where a message that another courier has forwarded goes.
func (d *divided) way(dest uint32) partition.Way {
	return d.router.Route(partition.Message{Destination: dest, Forwarded: true}, nil, 0).Way
}

// started has read its part at the first generation: an endpoint of each of its partitions.
func started(t *testing.T, change ...func(*snowjunction.Settings)) *divided {
	d := newDivided(t, change...)
	d.start(platform.Begin{})
	require.Equal(t, "?"+of(d.mine), d.asked(0, 1))
	var entries []string
	for _, p := range d.mine {
		entries = append(entries, instance(fmt.Sprintf("p%d", p), in(p, 0), "Ready"))
	}
	d.discovery.at(0).say(t, told(1, true, true, entries...))
	require.Contains(t, d.asked(0, 2), "?after=1&wait_ms=")
	return d
}

// A courier names its partitions in every ask. Whatever the directory sends, it keeps its part
// alone, and that counts against the bound.
func TestPartIsReadAtStart(t *testing.T) {
	for name, restricted := range map[string]bool{"restricted": true, "a directory that ignores that": false} {
		t.Run(name, func(t *testing.T) {
			d := newDivided(t)
			d.front.Lists.Entries = len(d.mine)
			d.start(platform.Begin{})
			require.Equal(t, "?"+of(d.mine), d.asked(0, 1))
			var entries, want []string
			for p := range partitionsOf {
				if own := slices.Contains(d.mine, p); own || !restricted {
					entries = append(entries, instance(fmt.Sprintf("p%d", p), in(p, 0), "Ready"))
					if own {
						want = append(want, fmt.Sprintf("p%d", p))
					}
				}
			}
			entries = append(entries, `{"instanceId":"gone","lifecycle":"Gone"}`)
			assert.Equal(t, partition.Moved, d.way(in(d.mine[0], 0)), "not before it has come")
			d.discovery.at(0).say(t, told(5, true, restricted, entries...))
			assert.Contains(t, d.asked(0, 2), "?after=5&wait_ms=")
			assert.Contains(t, d.asked(0, 2), "&"+of(d.mine))
			assert.Equal(t, want, d.holds())
			assert.Equal(t, partition.Here, d.way(in(d.mine[0], 0)))
			assert.Equal(t, partition.Moved, d.way(in(d.alien[0], 0)))
			assert.Empty(t, d.ends)
		})
	}
}

// What is over the bound is refused with a router too.
func TestPartOverTheBound(t *testing.T) {
	d := newDivided(t)
	d.front.Lists.Entries = 1
	d.start(platform.Begin{})
	d.asked(0, 1)
	d.discovery.at(0).say(t, told(5, true, true, instance("a", in(d.mine[0], 0), "Ready"), instance("b", in(d.mine[1], 0), "Ready")))
	d.until("it is refused", func() bool { return len(d.ends) > 0 })
	assert.Empty(t, d.holds())
}

// Changes of own partitions are heard, others not. One that is gone need not say of which
// destination it was; one that moves to a destination of others leaves.
func TestChangesOfThePart(t *testing.T) {
	a, b := func(d *divided) uint32 { return in(d.mine[0], 0) }, func(d *divided) uint32 { return in(d.mine[1], 0) }
	for name, row := range map[string]struct {
		changes func(d *divided) []string
		gone    func(d *divided) []string
		drains  bool // the first that is held
	}{
		"drains": {changes: func(d *divided) []string { return []string{instance(d.name(0), a(d), "Terminating")} }, drains: true},
		"gone without a cell": {
			changes: func(d *divided) []string {
				return []string{`{"instanceId":"` + d.name(0) + `","lifecycle":"Gone"}`, `{"instanceId":"other","lifecycle":"Gone"}`}
			},
			gone: func(d *divided) []string { return []string{d.name(0)} },
		},
		"moves away": {
			changes: func(d *divided) []string { return []string{instance(d.name(1), in(d.alien[0], 0), "Ready")} },
			gone:    func(d *divided) []string { return []string{d.name(1)} },
		},
		"moves away and drains": {
			changes: func(d *divided) []string { return []string{instance(d.name(1), in(d.alien[0], 0), "Terminating")} },
			gone:    func(d *divided) []string { return []string{d.name(1)} },
		},
		"of others": {changes: func(d *divided) []string {
			return []string{instance("x", in(d.alien[0], 0), "Ready"), instance("y", in(d.alien[1], 0), "Terminating")}
		}},
		"moves within": {changes: func(d *divided) []string {
			return []string{instanceAt(d.name(1), in(d.mine[0], 1), "Ready", fmt.Sprintf("127.0.0.2:%d", b(d)))}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := started(t)
			want := d.holds()
			d.discovery.at(0).say(t, told(2, false, false, row.changes(d)...))
			assert.Contains(t, d.asked(0, 3), "?after=2&")
			if row.gone != nil {
				want = slices.DeleteFunc(want, func(n string) bool { return slices.Contains(row.gone(d), n) })
			}
			assert.Equal(t, want, d.holds())
			if e, held := d.core.Table(0).Get(d.name(0)); held {
				assert.Equal(t, row.drains, e.Phase == snowjunction.Draining)
			}
		})
	}
}

func (d *divided) name(i int) string { return fmt.Sprintf("p%d", d.mine[i]) }

// An answer that names an endpoint twice, the second time as one that is gone or of others, is
// refused as it always was.
func TestNamedTwice(t *testing.T) {
	for name, second := range map[string]func(d *divided) string{
		"gone":      func(*divided) string { return `{"instanceId":"new","lifecycle":"Gone"}` },
		"of others": func(d *divided) string { return instance("new", in(d.alien[0], 0), "Ready") },
	} {
		t.Run(name, func(t *testing.T) {
			d := started(t)
			held := d.holds()
			d.discovery.at(0).say(t, told(2, false, false, instance("new", in(d.mine[0], 1), "Ready"), second(d)))
			d.until("it is refused", func() bool { return len(d.ends) > 0 })
			assert.Equal(t, held, d.holds())
		})
	}
}

// An endpoint that has moved to a destination of others is no endpoint that a full list has lost.
func TestFullListAfterMoves(t *testing.T) {
	d := started(t)
	var entries []string
	for _, p := range d.mine {
		entries = append(entries, instance(fmt.Sprintf("p%d", p), in(d.alien[0], p), "Ready"))
	}
	d.discovery.at(0).say(t, told(2, true, false, entries...))
	d.asked(0, 3)
	assert.Empty(t, d.holds())
	assert.Empty(t, d.core.Conditions(0))
}

// A partition that is gained is served only once its list has come. What is told of it, and of
// the others, between that and the next watch is not lost, as the watch goes on from the
// generation before.
func TestGain(t *testing.T) {
	d := started(t)
	d.front.Adopt(d.alone(d.mine))
	lists := d.router.Wanted()
	require.Equal(t, d.alien, lists)
	first := lists[:1]
	d.discovery.at(0).say(t, told(1, false, true))
	require.Equal(t, "?"+of(first), d.asked(0, 3), "asked for on the watch's connection")
	assert.Equal(t, partition.Moved, d.way(in(first[0], 0)))
	d.discovery.at(0).say(t, told(3, true, true, instance("new", in(first[0], 0), "Ready"), instance("late", in(first[0], 1), "Ready")))
	all := d.router.Listed()
	require.Equal(t, "?after=1&wait_ms=1&"+of(all), d.asked(0, 4), "on from the generation before, at once")
	assert.Equal(t, partition.Here, d.way(in(first[0], 0)))
	assert.Equal(t, partition.Moved, d.way(in(lists[1], 0)))
	assert.Subset(t, d.holds(), []string{"new", "late", d.name(0)})
	d.discovery.at(0).say(t, told(4, false, true, instance(d.name(0), in(d.mine[0], 0), "Terminating"), `{"instanceId":"late","lifecycle":"Gone"}`))
	rest := d.asked(0, 5)
	assert.NotContains(t, d.holds(), "late")
	e, _ := d.core.Table(0).Get(d.name(0))
	assert.Equal(t, snowjunction.Draining, e.Phase)
	require.Equal(t, "?"+of(lists[1:min(len(lists), 5)]), rest, "the first was short: more at once")
	d.discovery.at(0).say(t, told(4, true, false)) // a directory that does not restrict has told all
	assert.Contains(t, d.asked(0, 6), "?after=4&wait_ms=1&"+of(all))
	assert.Empty(t, d.router.Wanted())
	d.discovery.at(0).say(t, told(4, false, true))
	assert.NotContains(t, d.asked(0, 7), "wait_ms=1&", "nothing is wanted: it waits")
	assert.Empty(t, d.core.Conditions(0), "what is merged is not judged as a full list")
}

// A directory that ignores the parameters has told of all that is wanted with the first answer.
func TestGainFromADirectoryThatTellsAll(t *testing.T) {
	d := started(t)
	d.front.Adopt(d.alone(d.mine))
	d.discovery.at(0).say(t, told(1, false, false))
	require.Equal(t, "?"+of(d.alien[:1]), d.asked(0, 3))
	var entries []string
	for p := range partitionsOf {
		entries = append(entries, instance(fmt.Sprintf("p%d", p), in(p, 0), "Ready"))
	}
	d.discovery.at(0).say(t, told(2, true, false, entries...))
	assert.Contains(t, d.asked(0, 4), "?after=1&wait_ms=1&")
	assert.Empty(t, d.router.Wanted())
	assert.Len(t, d.holds(), partitionsOf)
}

// The first ask on a connection is a watch: what is news has waited.
func TestGainAfterTheWatch(t *testing.T) {
	for name, end := range map[string]func(d *divided){
		"broken": func(d *divided) { d.discovery.at(0).finish(t) },
		"the last on its connection": func(d *divided) {
			d.discovery.at(0).say(t, strings.Replace(told(1, false, true), "OK\r\n", "OK\r\nConnection: close\r\n", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := started(t)
			d.front.Adopt(d.alone(d.mine))
			end(d)
			d.until("the connection ends", func() bool { return len(d.ends) > 0 })
			d.after(time.Second / 2)
			require.Equal(t, "?after=1&wait_ms=1&"+of(d.router.Listed()), d.asked(1, 1))
			d.discovery.at(1).say(t, told(1, false, true))
			require.Equal(t, "?"+of(d.alien[:1]), d.asked(1, 2))
		})
	}
}

// A gain that cannot be taken as changes has the whole list asked for.
func TestGainThatDoesNotFit(t *testing.T) {
	for name, say := range map[string]func(d *divided) string{
		"an older generation": func(d *divided) string { return told(0, true, true) },
		"an address that is held": func(d *divided) string {
			return told(3, true, true, instanceAt("new", in(d.alien[0], 0), "Ready", fmt.Sprintf("127.0.0.2:%d", in(d.mine[0], 0))))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := started(t)
			d.front.Adopt(d.alone(d.mine))
			d.discovery.at(0).say(t, told(1, false, true))
			d.asked(0, 3)
			held := d.holds()
			d.discovery.at(0).say(t, say(d))
			assert.Equal(t, "?"+of(d.router.Listed()), d.asked(0, 4), "all that is listed, at once")
			assert.Equal(t, held, d.holds())
			assert.Equal(t, d.alien, d.router.Wanted())
			d.discovery.at(0).say(t, told(2, true, true, instance("new", in(d.alien[0], 0), "Ready")))
			assert.Contains(t, d.asked(0, 5), "?after=2&")
			assert.Empty(t, d.router.Wanted())
		})
	}
}

// An answer that is restricted to another number of partitions changes nothing.
func TestPartOfAnotherNumber(t *testing.T) {
	d := started(t)
	held := d.holds()
	d.discovery.at(0).say(t, answer("200 OK", `{"generation":2,"reset":true,"partitions":9,"instances":[]}`))
	d.until("it is refused", func() bool { return len(d.ends) > 0 })
	assert.Equal(t, held, d.holds())
}

// A membership that comes while the whole list does: what is listed since then is not whole, and
// what has been lost and gained meanwhile is not either.
func TestAdoptWhileTheListComes(t *testing.T) {
	d := newDivided(t)
	d.start(platform.Begin{List: config.List{Held: true, Full: true, Generation: 1}, Partitions: partitionsOf}) // of none
	require.Equal(t, "?"+of(d.mine), d.asked(0, 1))
	body := told(1, true, false, instance("a", in(d.mine[0], 0), "Ready"), instance("b", in(d.alien[0], 0), "Ready"), instance("c", in(d.mine[1], 0), "Ready"))
	cut := strings.Index(body, `{"instanceId":"c"`)
	d.discovery.at(0).say(t, body[:cut])
	d.settle()
	d.front.Adopt(d.alone(d.alien)) // nothing is held yet: what is lost goes at once
	d.front.Adopt(d.alone(d.mine))
	d.discovery.at(0).say(t, body[cut:])
	assert.Contains(t, d.asked(0, 2), "?after=1&wait_ms=1&"+of(d.router.Listed()), "a sweep comes first")
	assert.Equal(t, partition.Moved, d.way(in(d.mine[0], 0)), "a part of its list was read before it was lost")
	assert.Equal(t, partition.Moved, d.way(in(d.alien[0], 0)), "what was read of it before it was gained is dropped")
	assert.Empty(t, d.holds(), "and swept out")
	d.discovery.at(0).say(t, told(1, false, true))
	assert.Equal(t, "?"+of([]int{0}), d.asked(0, 3))
}

// A partition that is lost lingers: its changes are heard, and it is served. Then it leaves the
// table, unless flows are on their way.
func TestLoss(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprint("used ", used), func(t *testing.T) {
			d := newDivided(t)
			known := platform.Begin{Watch: true, List: config.List{Held: true, Full: true, Generation: 1, Targets: d.known()}}
			for _, p := range d.mine {
				for i := range 1500 { // more than one slice
					known.Targets = append(known.Targets, core.Entry{
						Name: fmt.Sprintf("p%d-%d", p, i), Addr: fmt.Sprintf("127.1.%d.%d:%d", i>>8, i&255, p+1),
						Destination: snowjunction.DestinationID(in(p, i%3)), Weight: 1, Phase: snowjunction.Ready,
					})
				}
			}
			known.Targets = slices.DeleteFunc(known.Targets, func(e core.Entry) bool { return e.Destination == 7 && e.Name != "s-1" })
			d.start(known)
			assert.Contains(t, d.asked(0, 1), "?after=1&wait_ms=1&"+of(d.mine))
			assert.Empty(t, d.router.Wanted(), "the known list is of all")
			d.front.Adopt(d.alone(d.alien))
			d.discovery.at(0).say(t, told(1, false, true))
			assert.Contains(t, d.asked(0, 2), "&"+of(d.mine), "they are still listed")
			name := fmt.Sprintf("p%d-0", d.mine[0])
			e, held := d.core.Table(0).Get(name)
			require.True(t, held)
			d.discovery.at(0).say(t, told(2, false, true, instanceAt(name, uint32(e.Destination), "Terminating", e.Addr)))
			d.asked(0, 3)
			e, _ = d.core.Table(0).Get(name)
			assert.Equal(t, snowjunction.Draining, e.Phase, "what drains meanwhile is heard")
			assert.Equal(t, partition.Here, d.way(7))
			asks := 3
			goes := func(by time.Duration) (asked string) { // and the directory has nothing new
				d.after(by)
				d.discovery.at(0).say(t, told(2, false, true))
				asks++
				return d.asked(0, asks)
			}
			for range linger/time.Second - 1 {
				goes(time.Second)
			}
			assert.Equal(t, len(known.Targets), d.core.Table(0).Len())
			if used {
				d.flow() // takes 5 ms
				goes(995 * time.Millisecond)
				assert.Contains(t, goes(0), "&"+of([]int{partition.Of(7, partitionsOf)}))
				assert.Contains(t, d.holds(), "s-1")
				assert.Equal(t, partition.Here, d.way(7))
				d.target.at(0).say(t, answer("200 OK", ""))
				d.until("it is delivered", func() bool { return d.core.Held() == 0 })
			}
			d.after(time.Second)
			assert.Zero(t, d.core.Table(0).Len(), "whatever the directory says")
			goes(0)
			assert.Contains(t, goes(0), "&"+of(nil))
			assert.Zero(t, d.core.Table(0).Len())
			assert.Equal(t, partition.Moved, d.way(7))
			assert.False(t, d.router.Lingers())
			assert.Empty(t, d.core.Conditions(0))
		})
	}
}

// flow has a message on its way to destination 7.
func (d *divided) flow() {
	d.t.Helper()
	c := d.client()
	c.say(d.t, add("m1", "debit", 19*time.Second))
	d.until("it is read", func() bool { return d.core.Counters.In == 1 })
	d.after(5 * time.Millisecond)
	d.until("and sent", func() bool { return d.target.took(0, "m1", 1) })
}

// Partitions that are lost, and gained again when their entries begin to leave, are read anew: what
// is held of them is old, as nobody has told of its changes for a moment.
func TestGainedWhileItIsSwept(t *testing.T) {
	d := started(t)
	d.front.Adopt(d.alone(d.alien))
	asks := 2
	goes := func(by time.Duration) string {
		d.after(by)
		d.discovery.at(0).say(t, told(1, false, true))
		asks++
		return d.asked(0, asks)
	}
	for range linger/time.Second - 1 {
		goes(time.Second)
	}
	goes(time.Second / 2)
	adopted := false
	d.loop.After(time.Second/2, func() { // due with the look that ends the lingering, after it and before the first slice
		assert.Empty(t, d.router.Listed())
		assert.Len(t, d.holds(), len(d.mine))
		d.front.Adopt(d.both)
		adopted = true
	})
	assert.Equal(t, "?after=1&wait_ms=1&"+of(d.mine), goes(time.Second/2), "the sweep ends first")
	require.True(t, adopted)
	assert.Equal(t, "?"+of(d.mine[:1]), goes(0))
	assert.Empty(t, d.holds())
	d.discovery.at(0).say(t, told(2, true, true, instance("young", in(d.mine[0], 0), "Ready")))
	assert.Contains(t, d.asked(0, asks+1), "?after=1&wait_ms=1&"+of(d.mine))
	assert.Equal(t, []string{"young"}, d.holds())
}

// A full list that comes while entries are swept out is not judged by those that it rightly has not.
func TestFullListWhileItIsSwept(t *testing.T) {
	d := started(t)
	d.front.Adopt(d.alone(d.alien))
	came := false
	d.loop.After(linger, func() { // before the look that ends the lingering, which the list comes right behind
		d.now = d.now.Add(1)
		posted := d.posted.Load()
		d.discovery.at(0).say(t, told(2, true, true))
		for d.posted.Load() == posted {
			runtime.Gosched()
		}
		came = true
	})
	asks := 2
	for range linger / time.Second {
		d.after(time.Second)
		if !came {
			d.discovery.at(0).say(t, told(1, false, true))
		}
		asks++
		d.asked(0, asks)
	}
	require.True(t, came)
	assert.Empty(t, d.holds())
	assert.Empty(t, d.core.Conditions(0))
}

// A directory that counts anew tells its whole list of all partitions.
func TestGenerationGoesBack(t *testing.T) {
	for _, reset := range []bool{true, false} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			d := started(t)
			d.discovery.at(0).say(t, told(9, false, true))
			require.Contains(t, d.asked(0, 3), "?after=9&")
			d.discovery.at(0).say(t, told(2, reset, true, instance(d.name(0), in(d.mine[0], 0), "Terminating"), instance(d.name(1), in(d.mine[1], 0), "Ready")))
			if !reset {
				require.Equal(t, "?"+of(d.mine), d.asked(0, 4))
				e, _ := d.core.Table(0).Get(d.name(0))
				assert.Equal(t, snowjunction.Draining, e.Phase, "what it says of drains is heeded")
				d.discovery.at(0).say(t, told(2, true, true, instance(d.name(1), in(d.mine[1], 0), "Ready")))
				assert.Contains(t, d.asked(0, 5), "?after=2&")
			} else {
				assert.Contains(t, d.asked(0, 4), "?after=2&")
			}
			assert.Empty(t, d.router.Wanted())
		})
	}
}

// A courier that starts with a list asks for what is newer than that, and whole for what the list
// has not.
func TestStartsWithAPart(t *testing.T) {
	entries := func(d *divided) (out []core.Entry) {
		for p := range partitionsOf {
			out = append(out, core.Entry{Name: fmt.Sprintf("p%d", p), Addr: fmt.Sprintf("127.0.0.2:%d", p+1), Destination: snowjunction.DestinationID(in(p, 0)), Weight: 1, Phase: snowjunction.Ready})
		}
		return out
	}
	for name, row := range map[string]struct {
		partitions int
		of         func(d *divided) []int
		gains      func(d *divided) []int
		whole      bool
	}{
		"of all":            {},
		"of its own":        {partitionsOf, func(d *divided) []int { return d.mine }, nil, false},
		"another view":      {partitionsOf, func(d *divided) []int { return d.alien }, func(d *divided) []int { return d.mine }, false},
		"a part of its own": {partitionsOf, func(d *divided) []int { return d.mine[1:] }, func(d *divided) []int { return d.mine[:1] }, false},
		"another number":    {partitionsOf * 2, func(d *divided) []int { return d.mine }, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDivided(t)
			known := platform.Begin{Watch: true, List: config.List{Held: true, Full: true, Generation: 5, Targets: entries(d)}, Partitions: row.partitions}
			if row.of != nil {
				known.Of = row.of(d)
			}
			d.start(known)
			if row.whole {
				assert.Equal(t, "?"+of(d.mine), d.asked(0, 1))
				assert.Empty(t, d.holds())
				return
			}
			var gains []int
			if row.gains != nil {
				gains = row.gains(d)
			}
			assert.Equal(t, gains, d.router.Wanted())
			assert.Len(t, d.holds(), len(d.mine)-len(gains))
			require.Equal(t, "?after=5&wait_ms=1&"+of(d.mine), d.asked(0, 1))
			d.discovery.at(0).say(t, told(5, false, true))
			if gains == nil {
				require.Contains(t, d.asked(0, 2), "?after=5&wait_ms=2")
			} else {
				require.Equal(t, "?"+of(gains[:1]), d.asked(0, 2))
			}
		})
	}
}

// Without a router the requests are what they have always been.
func TestRequestsWithoutRouter(t *testing.T) {
	s := prepared(t, net.Config{MaxConns: 64}, nil)
	s.start(platform.Begin{})
	want := func(path string) string {
		return "GET /discovery/hosts" + path + " HTTP/1.1\r\nHost: " + s.discovery.l.Addr().String() + "\r\n\r\n"
	}
	s.asked(0, 1)
	s.discovery.at(0).say(t, answer("200 OK", `{"generation":5,"reset":true,"partitions":"x","instances":[`+instance("a", 3, "Ready")+`]}`))
	s.asked(0, 2)
	s.discovery.at(0).say(t, answer("200 OK", `{"generation":6,"reset":false,"instances":[]}`))
	s.asked(0, 3)
	assert.Equal(t, want("")+want("?after=5&wait_ms=2500")+want("?after=6&wait_ms=2500"), s.discovery.sent(0))
	assert.Equal(t, []string{"a"}, s.holds())
}

// With a router, and also while partitions are wanted, news are heard in the same time: the first
// ask on a connection is never for those.
func TestHeardInTimeWithPartitions(t *testing.T) {
	rows := [][]string{{"refused", "silent", "drips"}, {"drips", "unreadable", "refused", "broken"}, {"unreadable", "not up", "silent"}}
	for _, row := range rows {
		for _, fleet := range []int{1, 300} {
			for _, wanting := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, fleet of %d, wanting %v", strings.Join(row, ", "), fleet, wanting), func(t *testing.T) {
					o := dividedOutage(t, fleet)
					if wanting {
						o.front.Adopt(o.d.alone(o.d.mine))
					}
					for _, name := range row {
						failures[name](o.outage)
					}
					o.heard()
				})
			}
		}
	}
}

type partedOutage struct {
	*outage
	d *divided
}

func dividedOutage(t *testing.T, fleet int) *partedOutage {
	d := newDivided(t, func(s *snowjunction.Settings) { s.Fleet = fleet })
	d.start(platform.Begin{Watch: true, List: config.List{Held: true, Full: true, Generation: 1, Targets: d.known()}})
	return &partedOutage{&outage{site: d.site, since: d.now}, d}
}

// News that wait behind a gain are heard in time, whatever becomes of the gain and of the watch
// that follows it.
func TestHeardBehindAGain(t *testing.T) {
	for name, end := range map[string]func(o *partedOutage, e *end){
		"silent": func(o *partedOutage, _ *end) { o.pass(heardWithin, func() bool { return !o.open() }) },
		"broken": func(o *partedOutage, e *end) { require.NoError(o.t, e.SetLinger(0)); e.Close(); o.ended(0) },
		"refused late": func(o *partedOutage, e *end) {
			o.after(lateAnswer)
			e.say(o.t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			o.ended(0)
		},
		"late, then silent": func(o *partedOutage, e *end) {
			o.after(lateAnswer)
			e.say(o.t, told(2, true, true))
			o.site.asked(0, 3)
			o.pass(heardWithin, func() bool { return !o.open() })
		},
		"late and the last, then silent": func(o *partedOutage, e *end) {
			o.after(lateAnswer)
			text := told(2, true, true)
			e.say(o.t, strings.Replace(text, "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", 1))
			o.site.asked(1, 1)
			o.conn = 2
			o.pass(heardWithin, func() bool { return !o.open() })
		},
	} {
		for _, fleet := range []int{1, 300} {
			t.Run(fmt.Sprintf("%s, fleet of %d", name, fleet), func(t *testing.T) {
				o := dividedOutage(t, fleet)
				e := o.outage.asked()
				o.front.Adopt(o.d.alone(o.d.mine))
				e.say(t, told(1, false, true))
				require.Equal(t, "?"+of(o.d.alien[:1]), o.site.asked(0, 2))
				o.since = o.now // the watch before has been answered: what is news waits from here on
				since := o.since
				end(o, e)
				require.False(t, o.open())
				reach := o.now
				next := o.outage.asked()
				assert.Contains(t, o.discovery.sent(o.conn-1), "?after=1&", "a watch comes first")
				o.after(lateAnswer)
				next.say(t, told(3, false, true, instanceAt("s-1", 7, "Terminating", o.target.l.Addr().String())))
				o.until("the change is heard", func() bool { e, _ := o.core.Table(0).Get("s-1"); return e.Phase == snowjunction.Draining })
				assert.LessOrEqual(t, o.now.Sub(since)+lateUp, heardWithin, "%v until the step ended", reach.Sub(since))
			})
		}
	}
}
