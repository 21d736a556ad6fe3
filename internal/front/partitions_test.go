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

const partitionCount = 8

const lingerTime = 10 * time.Second

// partitionedCourier is a courier that shares the partitions with another one.
type partitionedCourier struct {
	*testCourier
	router      *partition.Router
	both        *partition.Membership // this courier and the other
	own, others []int                 // partitions, while both are members
}

func members(t *testing.T, names ...string) *partition.Membership {
	var all []partition.Member
	for i, name := range names {
		all = append(all, partition.Member{Name: name, Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Region: "r"})
	}
	m, err := partition.New(partitionCount, 1, all)
	require.NoError(t, err)
	return m
}

// newPartitionedCourier returns a courier that is not started yet. It owns destination 7.
func newPartitionedCourier(t *testing.T, change ...func(*snowjunction.Settings)) *partitionedCourier {
	d := &partitionedCourier{both: members(t, "c1", "c2")}
	self, other := "c1", "c2"
	if !slices.Contains(d.both.Owned(self), partition.Of(7, partitionCount)) {
		self, other = other, self
	}
	d.own, d.others = d.both.Owned(self), d.both.Owned(other)
	require.GreaterOrEqual(t, len(d.own), 2)
	require.GreaterOrEqual(t, len(d.others), 2)
	d.router = partition.NewRouter(partition.Options{Self: self, ServeAfterLoss: lingerTime}, d.both, 0)
	d.testCourier = prepareTestCourier(t, net.Config{MaxConns: 64}, d.router, change...)
	return d
}

// alone returns the membership with only the courier that owns these partitions while both are
// members.
func (d *partitionedCourier) alone(owned []int) *partition.Membership {
	for _, x := range d.both.Members() {
		if slices.Equal(d.both.Owned(x.Name), owned) {
			return members(d.t, x.Name)
		}
	}
	panic("no member with these partitions")
}

// destinationIn returns the nth destination of a partition.
func destinationIn(p, n int) (dest uint32) {
	for dest = 1; ; dest++ {
		if partition.Of(dest, partitionCount) == p {
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

// listAnswer returns an answer of the directory; restricted says whether it selected the
// partitions.
func listAnswer(generation int, reset, restricted bool, entries ...string) string {
	restriction := ""
	if restricted {
		restriction = fmt.Sprintf(`"partitions":%d,`, partitionCount)
	}
	return httpAnswer("200 OK", fmt.Sprintf(`{"generation":%d,"reset":%v,%s"instances":[%s]}`, generation, reset, restriction, strings.Join(entries, ",")))
}

func partitionQuery(parts []int) string {
	return fmt.Sprintf("partitions=%d&of=%s", partitionCount, strings.Trim(strings.ReplaceAll(fmt.Sprint(parts), " ", ","), "[]"))
}

// requestPath waits for the nth request on a connection, from 1, and returns the rest of its path.
func (s *testCourier) requestPath(conn, n int) string {
	s.t.Helper()
	s.until("the request arrives", func() bool { return s.discovery.hasReceived(conn, "\r\n\r\n", n) })
	head, _, _ := strings.Cut(strings.Split(s.discovery.receivedOn(conn), "\r\n\r\n")[n-1], " HTTP/1.1\r\n")
	rest, found := strings.CutPrefix(head, "GET /discovery/hosts")
	require.True(s.t, found, head)
	return rest
}

// receivedOn returns what was received on the connection with that number.
func (p *fakeServer) receivedOn(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.conns[i].received)
}

// tableNames returns the names in the table.
func (s *testCourier) tableNames() (out []string) {
	for e := range s.core.Table(0).EntriesFrom(0) {
		out = append(out, e.Name)
	}
	slices.Sort(out)
	return out
}

// routeForwarded returns how a message forwarded by another courier is routed.
func (d *partitionedCourier) routeForwarded(dest uint32) partition.Action {
	return d.router.Route(partition.Message{Destination: dest, Forwarded: true}, nil, 0).Action
}

// startedCourier returns a courier that has read the first generation of its list: one endpoint in
// each of its partitions.
func startedCourier(t *testing.T, change ...func(*snowjunction.Settings)) *partitionedCourier {
	d := newPartitionedCourier(t, change...)
	d.start(platform.InitialList{})
	require.Equal(t, "?"+partitionQuery(d.own), d.requestPath(0, 1))
	var entries []string
	for _, p := range d.own {
		entries = append(entries, instance(fmt.Sprintf("p%d", p), destinationIn(p, 0), "Ready"))
	}
	d.discovery.at(0).send(t, listAnswer(1, true, true, entries...))
	require.Contains(t, d.requestPath(0, 2), "?after=1&wait_ms=")
	return d
}

// A courier must name its partitions in every request. It must keep only the entries of these, and
// only these count towards the limit, whatever the directory sends.
func TestStartReadsOwnPartitions(t *testing.T) {
	for name, restricted := range map[string]bool{"restricted": true, "unrestricted": false} {
		t.Run(name, func(t *testing.T) {
			d := newPartitionedCourier(t)
			d.front.Lists.Entries = len(d.own)
			d.start(platform.InitialList{})
			require.Equal(t, "?"+partitionQuery(d.own), d.requestPath(0, 1))
			var entries, want []string
			for p := range partitionCount {
				if own := slices.Contains(d.own, p); own || !restricted {
					entries = append(entries, instance(fmt.Sprintf("p%d", p), destinationIn(p, 0), "Ready"))
					if own {
						want = append(want, fmt.Sprintf("p%d", p))
					}
				}
			}
			entries = append(entries, `{"instanceId":"gone","lifecycle":"Gone"}`)
			assert.Equal(t, partition.Moved, d.routeForwarded(destinationIn(d.own[0], 0)), "not before the list arrives")
			d.discovery.at(0).send(t, listAnswer(5, true, restricted, entries...))
			assert.Contains(t, d.requestPath(0, 2), "?after=5&wait_ms=")
			assert.Contains(t, d.requestPath(0, 2), "&"+partitionQuery(d.own))
			assert.Equal(t, want, d.tableNames())
			assert.Equal(t, partition.Local, d.routeForwarded(destinationIn(d.own[0], 0)))
			assert.Equal(t, partition.Moved, d.routeForwarded(destinationIn(d.others[0], 0)))
			assert.Empty(t, d.discoveryCloseCodes)
		})
	}
}

// A list over the limit must be rejected with a router as well.
func TestListOverLimitWithRouter(t *testing.T) {
	d := newPartitionedCourier(t)
	d.front.Lists.Entries = 1
	d.start(platform.InitialList{})
	d.requestPath(0, 1)
	d.discovery.at(0).send(t, listAnswer(5, true, true, instance("a", destinationIn(d.own[0], 0), "Ready"), instance("b", destinationIn(d.own[1], 0), "Ready")))
	d.until("the list is rejected", func() bool { return len(d.discoveryCloseCodes) > 0 })
	assert.Empty(t, d.tableNames())
}

// Changes of own partitions must be applied, others not. A removal may lack its destination, and an
// endpoint that moves to another courier's destination must be removed.
func TestChangesOfOwnPartitions(t *testing.T) {
	a, b := func(d *partitionedCourier) uint32 { return destinationIn(d.own[0], 0) }, func(d *partitionedCourier) uint32 { return destinationIn(d.own[1], 0) }
	for name, row := range map[string]struct {
		changes func(d *partitionedCourier) []string
		gone    func(d *partitionedCourier) []string
		drains  bool // the first endpoint
	}{
		"drains": {changes: func(d *partitionedCourier) []string { return []string{instance(d.ownName(0), a(d), "Terminating")} }, drains: true},
		"gone without a destination": {
			changes: func(d *partitionedCourier) []string {
				return []string{`{"instanceId":"` + d.ownName(0) + `","lifecycle":"Gone"}`, `{"instanceId":"other","lifecycle":"Gone"}`}
			},
			gone: func(d *partitionedCourier) []string { return []string{d.ownName(0)} },
		},
		"moves away": {
			changes: func(d *partitionedCourier) []string {
				return []string{instance(d.ownName(1), destinationIn(d.others[0], 0), "Ready")}
			},
			gone: func(d *partitionedCourier) []string { return []string{d.ownName(1)} },
		},
		"moves away and drains": {
			changes: func(d *partitionedCourier) []string {
				return []string{instance(d.ownName(1), destinationIn(d.others[0], 0), "Terminating")}
			},
			gone: func(d *partitionedCourier) []string { return []string{d.ownName(1)} },
		},
		"other courier's partitions": {changes: func(d *partitionedCourier) []string {
			return []string{instance("x", destinationIn(d.others[0], 0), "Ready"), instance("y", destinationIn(d.others[1], 0), "Terminating")}
		}},
		"moves within": {changes: func(d *partitionedCourier) []string {
			return []string{instanceAt(d.ownName(1), destinationIn(d.own[0], 1), "Ready", fmt.Sprintf("127.0.0.2:%d", b(d)))}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := startedCourier(t)
			want := d.tableNames()
			d.discovery.at(0).send(t, listAnswer(2, false, false, row.changes(d)...))
			assert.Contains(t, d.requestPath(0, 3), "?after=2&")
			if row.gone != nil {
				want = slices.DeleteFunc(want, func(n string) bool { return slices.Contains(row.gone(d), n) })
			}
			assert.Equal(t, want, d.tableNames())
			if e, held := d.core.Table(0).Get(d.ownName(0)); held {
				assert.Equal(t, row.drains, e.Phase == snowjunction.Draining)
			}
		})
	}
}

func (d *partitionedCourier) ownName(i int) string { return fmt.Sprintf("p%d", d.own[i]) }

// Guards against accepting an answer that names an endpoint twice because the second entry is
// dropped or turned into a removal. It must be rejected as without a router.
func TestDuplicateEntry(t *testing.T) {
	for name, second := range map[string]func(d *partitionedCourier) string{
		"gone":                      func(*partitionedCourier) string { return `{"instanceId":"new","lifecycle":"Gone"}` },
		"other courier's partition": func(d *partitionedCourier) string { return instance("new", destinationIn(d.others[0], 0), "Ready") },
	} {
		t.Run(name, func(t *testing.T) {
			d := startedCourier(t)
			held := d.tableNames()
			d.discovery.at(0).send(t, listAnswer(2, false, false, instance("new", destinationIn(d.own[0], 1), "Ready"), second(d)))
			d.until("the list is rejected", func() bool { return len(d.discoveryCloseCodes) > 0 })
			assert.Equal(t, held, d.tableNames())
		})
	}
}

// Guards against treating endpoints that moved to another courier's destination as missing from a
// full list.
func TestFullListAfterMoves(t *testing.T) {
	d := startedCourier(t)
	var entries []string
	for _, p := range d.own {
		entries = append(entries, instance(fmt.Sprintf("p%d", p), destinationIn(d.others[0], p), "Ready"))
	}
	d.discovery.at(0).send(t, listAnswer(2, true, false, entries...))
	d.requestPath(0, 3)
	assert.Empty(t, d.tableNames())
	assert.Empty(t, d.core.Conditions(0))
}

// A gained partition must only be served once its list has arrived. Changes between that list and
// the next watch must not be lost, because the watch continues from the previous generation.
func TestGainedPartitions(t *testing.T) {
	d := startedCourier(t)
	d.front.AdoptMembership(d.alone(d.own))
	wanted := d.router.AwaitingList()
	require.Equal(t, d.others, wanted)
	first := wanted[:1]
	d.discovery.at(0).send(t, listAnswer(1, false, true))
	require.Equal(t, "?"+partitionQuery(first), d.requestPath(0, 3), "requested on the watch's connection")
	assert.Equal(t, partition.Moved, d.routeForwarded(destinationIn(first[0], 0)))
	d.discovery.at(0).send(t, listAnswer(3, true, true, instance("new", destinationIn(first[0], 0), "Ready"), instance("late", destinationIn(first[0], 1), "Ready")))
	all := d.router.Listed()
	require.Equal(t, "?after=1&wait_ms=1&"+partitionQuery(all), d.requestPath(0, 4), "watches from the previous generation, without a wait")
	assert.Equal(t, partition.Local, d.routeForwarded(destinationIn(first[0], 0)))
	assert.Equal(t, partition.Moved, d.routeForwarded(destinationIn(wanted[1], 0)))
	assert.Subset(t, d.tableNames(), []string{"new", "late", d.ownName(0)})
	d.discovery.at(0).send(t, listAnswer(4, false, true, instance(d.ownName(0), destinationIn(d.own[0], 0), "Terminating"), `{"instanceId":"late","lifecycle":"Gone"}`))
	rest := d.requestPath(0, 5)
	assert.NotContains(t, d.tableNames(), "late")
	e, _ := d.core.Table(0).Get(d.ownName(0))
	assert.Equal(t, snowjunction.Draining, e.Phase)
	require.Equal(t, "?"+partitionQuery(wanted[1:min(len(wanted), 5)]), rest, "requests more partitions after a short answer")
	d.discovery.at(0).send(t, listAnswer(4, true, false)) // an unrestricted answer covers everything
	assert.Contains(t, d.requestPath(0, 6), "?after=4&wait_ms=1&"+partitionQuery(all))
	assert.Empty(t, d.router.AwaitingList())
	d.discovery.at(0).send(t, listAnswer(4, false, true))
	assert.NotContains(t, d.requestPath(0, 7), "wait_ms=1&", "waits when no partition is wanted")
	assert.Empty(t, d.core.Conditions(0), "merged lists are not checked as a full list")
}

// An unrestricted answer must count for all wanted partitions at once.
func TestGainFromUnrestrictedDirectory(t *testing.T) {
	d := startedCourier(t)
	d.front.AdoptMembership(d.alone(d.own))
	d.discovery.at(0).send(t, listAnswer(1, false, false))
	require.Equal(t, "?"+partitionQuery(d.others[:1]), d.requestPath(0, 3))
	var entries []string
	for p := range partitionCount {
		entries = append(entries, instance(fmt.Sprintf("p%d", p), destinationIn(p, 0), "Ready"))
	}
	d.discovery.at(0).send(t, listAnswer(2, true, false, entries...))
	assert.Contains(t, d.requestPath(0, 4), "?after=1&wait_ms=1&")
	assert.Empty(t, d.router.AwaitingList())
	assert.Len(t, d.tableNames(), partitionCount)
}

// Guards against delaying changes after a reconnect: the first request on a connection must be a
// watch.
func TestFirstRequestIsWatch(t *testing.T) {
	for name, end := range map[string]func(d *partitionedCourier){
		"reset": func(d *partitionedCourier) { d.discovery.at(0).halfClose(t) },
		"connection closes": func(d *partitionedCourier) {
			d.discovery.at(0).send(t, strings.Replace(listAnswer(1, false, true), "OK\r\n", "OK\r\nConnection: close\r\n", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startedCourier(t)
			d.front.AdoptMembership(d.alone(d.own))
			end(d)
			d.until("the connection is closed", func() bool { return len(d.discoveryCloseCodes) > 0 })
			d.after(time.Second / 2)
			require.Equal(t, "?after=1&wait_ms=1&"+partitionQuery(d.router.Listed()), d.requestPath(1, 1))
			d.discovery.at(1).send(t, listAnswer(1, false, true))
			require.Equal(t, "?"+partitionQuery(d.others[:1]), d.requestPath(1, 2))
		})
	}
}

// If the list of gained partitions conflicts with the current one, the full list must be requested.
func TestConflictingGain(t *testing.T) {
	for name, say := range map[string]func(d *partitionedCourier) string{
		"an older generation": func(d *partitionedCourier) string { return listAnswer(0, true, true) },
		"an address in use": func(d *partitionedCourier) string {
			return listAnswer(3, true, true, instanceAt("new", destinationIn(d.others[0], 0), "Ready", fmt.Sprintf("127.0.0.2:%d", destinationIn(d.own[0], 0))))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startedCourier(t)
			d.front.AdoptMembership(d.alone(d.own))
			d.discovery.at(0).send(t, listAnswer(1, false, true))
			d.requestPath(0, 3)
			held := d.tableNames()
			d.discovery.at(0).send(t, say(d))
			assert.Equal(t, "?"+partitionQuery(d.router.Listed()), d.requestPath(0, 4), "requests all listed partitions at once")
			assert.Equal(t, held, d.tableNames())
			assert.Equal(t, d.others, d.router.AwaitingList())
			d.discovery.at(0).send(t, listAnswer(2, true, true, instance("new", destinationIn(d.others[0], 0), "Ready")))
			assert.Contains(t, d.requestPath(0, 5), "?after=2&")
			assert.Empty(t, d.router.AwaitingList())
		})
	}
}

// An answer with a different number of partitions must change nothing.
func TestOtherPartitionCount(t *testing.T) {
	d := startedCourier(t)
	held := d.tableNames()
	d.discovery.at(0).send(t, httpAnswer("200 OK", `{"generation":2,"reset":true,"partitions":9,"instances":[]}`))
	d.until("the list is rejected", func() bool { return len(d.discoveryCloseCodes) > 0 })
	assert.Equal(t, held, d.tableNames())
}

// Guards against taking a list as complete if the membership changed while it arrived: partitions
// that were listed after the request, or lost and gained again, must be requested again.
func TestAdoptDuringList(t *testing.T) {
	d := newPartitionedCourier(t)
	d.start(platform.InitialList{List: config.List{Present: true, Full: true, Generation: 1}, PartitionCount: partitionCount}) // of no partitions
	require.Equal(t, "?"+partitionQuery(d.own), d.requestPath(0, 1))
	body := listAnswer(1, true, false, instance("a", destinationIn(d.own[0], 0), "Ready"), instance("b", destinationIn(d.others[0], 0), "Ready"), instance("c", destinationIn(d.own[1], 0), "Ready"))
	cut := strings.Index(body, `{"instanceId":"c"`)
	d.discovery.at(0).send(t, body[:cut])
	d.settle()
	d.front.AdoptMembership(d.alone(d.others)) // no list is loaded yet, so lost partitions are removed at once
	d.front.AdoptMembership(d.alone(d.own))
	d.discovery.at(0).send(t, body[cut:])
	assert.Contains(t, d.requestPath(0, 2), "?after=1&wait_ms=1&"+partitionQuery(d.router.Listed()), "a sweep is in progress")
	assert.Equal(t, partition.Moved, d.routeForwarded(destinationIn(d.own[0], 0)), "the list was read in part before the partition was lost")
	assert.Equal(t, partition.Moved, d.routeForwarded(destinationIn(d.others[0], 0)), "entries read before the partition was gained are dropped")
	assert.Empty(t, d.tableNames(), "the entries are swept out")
	d.discovery.at(0).send(t, listAnswer(1, false, true))
	assert.Equal(t, "?"+partitionQuery([]int{0}), d.requestPath(0, 3))
}

// A lost partition must linger: its changes are applied and it is served. Then its entries leave
// the table, unless messages are still in flight.
func TestLostPartitionsLinger(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprint("used ", used), func(t *testing.T) {
			d := newPartitionedCourier(t)
			initial := platform.InitialList{Watchable: true, List: config.List{Present: true, Full: true, Generation: 1, Targets: d.initialEntries()}}
			for _, p := range d.own {
				for i := range 1500 { // more than one batch
					initial.Targets = append(initial.Targets, core.Entry{
						Name: fmt.Sprintf("p%d-%d", p, i), Addr: fmt.Sprintf("127.1.%d.%d:%d", i>>8, i&255, p+1),
						Destination: snowjunction.DestinationID(destinationIn(p, i%3)), Weight: 1, Phase: snowjunction.Ready,
					})
				}
			}
			initial.Targets = slices.DeleteFunc(initial.Targets, func(e core.Entry) bool { return e.Destination == 7 && e.Name != "s-1" })
			d.start(initial)
			assert.Contains(t, d.requestPath(0, 1), "?after=1&wait_ms=1&"+partitionQuery(d.own))
			assert.Empty(t, d.router.AwaitingList(), "the saved list is complete")
			d.front.AdoptMembership(d.alone(d.others))
			d.discovery.at(0).send(t, listAnswer(1, false, true))
			assert.Contains(t, d.requestPath(0, 2), "&"+partitionQuery(d.own), "lost partitions are still listed")
			name := fmt.Sprintf("p%d-0", d.own[0])
			e, held := d.core.Table(0).Get(name)
			require.True(t, held)
			d.discovery.at(0).send(t, listAnswer(2, false, true, instanceAt(name, uint32(e.Destination), "Terminating", e.Addr)))
			d.requestPath(0, 3)
			e, _ = d.core.Table(0).Get(name)
			assert.Equal(t, snowjunction.Draining, e.Phase, "draining endpoints are still updated")
			assert.Equal(t, partition.Local, d.routeForwarded(7))
			requests := 3
			advanceAndAnswer := func(by time.Duration) (path string) { // and the directory reports no changes
				d.after(by)
				d.discovery.at(0).send(t, listAnswer(2, false, true))
				requests++
				return d.requestPath(0, requests)
			}
			for range lingerTime/time.Second - 1 {
				advanceAndAnswer(time.Second)
			}
			assert.Equal(t, len(initial.Targets), d.core.Table(0).Len())
			if used {
				d.startFlow() // takes 5 ms
				advanceAndAnswer(995 * time.Millisecond)
				assert.Contains(t, advanceAndAnswer(0), "&"+partitionQuery([]int{partition.Of(7, partitionCount)}))
				assert.Contains(t, d.tableNames(), "s-1")
				assert.Equal(t, partition.Local, d.routeForwarded(7))
				d.target.at(0).send(t, httpAnswer("200 OK", ""))
				d.until("the message is delivered", func() bool { return d.core.Held() == 0 })
			}
			d.after(time.Second)
			assert.Zero(t, d.core.Table(0).Len(), "regardless of the directory")
			advanceAndAnswer(0)
			assert.Contains(t, advanceAndAnswer(0), "&"+partitionQuery(nil))
			assert.Zero(t, d.core.Table(0).Len())
			assert.Equal(t, partition.Moved, d.routeForwarded(7))
			assert.False(t, d.router.ExpiryPending())
			assert.Empty(t, d.core.Conditions(0))
		})
	}
}

// startFlow sends a message to destination 7.
func (d *partitionedCourier) startFlow() {
	d.t.Helper()
	c := d.client()
	c.send(d.t, addCommand("m1", "debit", 19*time.Second))
	d.until("the message is read", func() bool { return d.core.Counters.In == 1 })
	d.after(5 * time.Millisecond)
	d.until("the message is sent", func() bool { return d.target.hasReceived(0, "m1", 1) })
}

// Guards against reusing old entries of a partition that was lost, and gained again when its
// entries were being removed. They must be read again, because changes in between were not
// received.
func TestGainDuringSweep(t *testing.T) {
	d := startedCourier(t)
	d.front.AdoptMembership(d.alone(d.others))
	requests := 2
	advanceAndAnswer := func(by time.Duration) string {
		d.after(by)
		d.discovery.at(0).send(t, listAnswer(1, false, true))
		requests++
		return d.requestPath(0, requests)
	}
	for range lingerTime/time.Second - 1 {
		advanceAndAnswer(time.Second)
	}
	advanceAndAnswer(time.Second / 2)
	adopted := false
	d.loop.After(time.Second/2, func() { // due with the check that ends the lingering, after it and before the first batch
		assert.Empty(t, d.router.Listed())
		assert.Len(t, d.tableNames(), len(d.own))
		d.front.AdoptMembership(d.both)
		adopted = true
	})
	assert.Equal(t, "?after=1&wait_ms=1&"+partitionQuery(d.own), advanceAndAnswer(time.Second/2), "the sweep completes first")
	require.True(t, adopted)
	assert.Equal(t, "?"+partitionQuery(d.own[:1]), advanceAndAnswer(0))
	assert.Empty(t, d.tableNames())
	d.discovery.at(0).send(t, listAnswer(2, true, true, instance("young", destinationIn(d.own[0], 0), "Ready")))
	assert.Contains(t, d.requestPath(0, requests+1), "?after=1&wait_ms=1&"+partitionQuery(d.own))
	assert.Equal(t, []string{"young"}, d.tableNames())
}

// Guards against a full list that arrives during a sweep being checked against entries that it
// correctly leaves out.
func TestFullListDuringSweep(t *testing.T) {
	d := startedCourier(t)
	d.front.AdoptMembership(d.alone(d.others))
	arrived := false
	d.loop.After(lingerTime, func() { // before the check that ends the lingering; the list arrives right after that
		d.now = d.now.Add(1)
		posted := d.posted.Load()
		d.discovery.at(0).send(t, listAnswer(2, true, true))
		for d.posted.Load() == posted {
			runtime.Gosched()
		}
		arrived = true
	})
	requests := 2
	for range lingerTime / time.Second {
		d.after(time.Second)
		if !arrived {
			d.discovery.at(0).send(t, listAnswer(1, false, true))
		}
		requests++
		d.requestPath(0, requests)
	}
	require.True(t, arrived)
	assert.Empty(t, d.tableNames())
	assert.Empty(t, d.core.Conditions(0))
}

// A directory that restarts its generations must be asked for the full list of all partitions.
func TestGenerationGoesBack(t *testing.T) {
	for _, reset := range []bool{true, false} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			d := startedCourier(t)
			d.discovery.at(0).send(t, listAnswer(9, false, true))
			require.Contains(t, d.requestPath(0, 3), "?after=9&")
			d.discovery.at(0).send(t, listAnswer(2, reset, true, instance(d.ownName(0), destinationIn(d.own[0], 0), "Terminating"), instance(d.ownName(1), destinationIn(d.own[1], 0), "Ready")))
			if !reset {
				require.Equal(t, "?"+partitionQuery(d.own), d.requestPath(0, 4))
				e, _ := d.core.Table(0).Get(d.ownName(0))
				assert.Equal(t, snowjunction.Draining, e.Phase, "draining endpoints are applied")
				d.discovery.at(0).send(t, listAnswer(2, true, true, instance(d.ownName(1), destinationIn(d.own[1], 0), "Ready")))
				assert.Contains(t, d.requestPath(0, 5), "?after=2&")
			} else {
				assert.Contains(t, d.requestPath(0, 4), "?after=2&")
			}
			assert.Empty(t, d.router.AwaitingList())
		})
	}
}

// A courier that starts with a saved list must request the changes since that list, and the full
// list of partitions that it lacks.
func TestStartWithSavedList(t *testing.T) {
	entries := func(d *partitionedCourier) (out []core.Entry) {
		for p := range partitionCount {
			out = append(out, core.Entry{Name: fmt.Sprintf("p%d", p), Addr: fmt.Sprintf("127.0.0.2:%d", p+1), Destination: snowjunction.DestinationID(destinationIn(p, 0)), Weight: 1, Phase: snowjunction.Ready})
		}
		return out
	}
	for name, row := range map[string]struct {
		partitions int
		of         func(d *partitionedCourier) []int
		gains      func(d *partitionedCourier) []int
		fullList   bool
	}{
		"complete":                   {},
		"own partitions":             {partitionCount, func(d *partitionedCourier) []int { return d.own }, nil, false},
		"other courier's partitions": {partitionCount, func(d *partitionedCourier) []int { return d.others }, func(d *partitionedCourier) []int { return d.own }, false},
		"some own partitions":        {partitionCount, func(d *partitionedCourier) []int { return d.own[1:] }, func(d *partitionedCourier) []int { return d.own[:1] }, false},
		"other partition count":      {partitionCount * 2, func(d *partitionedCourier) []int { return d.own }, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newPartitionedCourier(t)
			initial := platform.InitialList{Watchable: true, List: config.List{Present: true, Full: true, Generation: 5, Targets: entries(d)}, PartitionCount: row.partitions}
			if row.of != nil {
				initial.CompletePartitions = row.of(d)
			}
			d.start(initial)
			if row.fullList {
				assert.Equal(t, "?"+partitionQuery(d.own), d.requestPath(0, 1))
				assert.Empty(t, d.tableNames())
				return
			}
			var gains []int
			if row.gains != nil {
				gains = row.gains(d)
			}
			assert.Equal(t, gains, d.router.AwaitingList())
			assert.Len(t, d.tableNames(), len(d.own)-len(gains))
			require.Equal(t, "?after=5&wait_ms=1&"+partitionQuery(d.own), d.requestPath(0, 1))
			d.discovery.at(0).send(t, listAnswer(5, false, true))
			if gains == nil {
				require.Contains(t, d.requestPath(0, 2), "?after=5&wait_ms=2")
			} else {
				require.Equal(t, "?"+partitionQuery(gains[:1]), d.requestPath(0, 2))
			}
		})
	}
}

// Guards against changed requests without a router.
func TestRequestsWithoutRouter(t *testing.T) {
	s := prepareTestCourier(t, net.Config{MaxConns: 64}, nil)
	s.start(platform.InitialList{})
	want := func(path string) string {
		return "GET /discovery/hosts" + path + " HTTP/1.1\r\nHost: " + s.discovery.listener.Addr().String() + "\r\n\r\n"
	}
	s.requestPath(0, 1)
	s.discovery.at(0).send(t, httpAnswer("200 OK", `{"generation":5,"reset":true,"partitions":"x","instances":[`+instance("a", 3, "Ready")+`]}`))
	s.requestPath(0, 2)
	s.discovery.at(0).send(t, httpAnswer("200 OK", `{"generation":6,"reset":false,"instances":[]}`))
	s.requestPath(0, 3)
	assert.Equal(t, want("")+want("?after=5&wait_ms=2500")+want("?after=6&wait_ms=2500"), s.discovery.receivedOn(0))
	assert.Equal(t, []string{"a"}, s.tableNames())
}

// Changes must arrive in time with a router as well, even while partitions are wanted: the first
// request on a connection is never for those.
func TestUpdateArrivesInTimeWithPartitions(t *testing.T) {
	rows := [][]string{{"refused", "stalled", "slow data"}, {"slow data", "malformed", "refused", "reset"}, {"malformed", "connect timeout", "stalled"}}
	for _, row := range rows {
		for _, fleet := range []int{1, 300} {
			for _, wanting := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, fleet of %d, wanting %v", strings.Join(row, ", "), fleet, wanting), func(t *testing.T) {
					o := newPartitionedOutage(t, fleet)
					if wanting {
						o.front.AdoptMembership(o.d.alone(o.d.own))
					}
					for _, name := range row {
						failures[name](o.discoveryOutage)
					}
					o.expectUpdate()
				})
			}
		}
	}
}

type partitionedOutage struct {
	*discoveryOutage
	d *partitionedCourier
}

func newPartitionedOutage(t *testing.T, fleet int) *partitionedOutage {
	d := newPartitionedCourier(t, func(s *snowjunction.Settings) { s.Fleet = fleet })
	d.start(platform.InitialList{Watchable: true, List: config.List{Present: true, Full: true, Generation: 1, Targets: d.initialEntries()}})
	return &partitionedOutage{&discoveryOutage{testCourier: d.testCourier, stepStart: d.now}, d}
}

// Changes that wait behind a request for gained partitions must arrive in time, however that
// request and the following watch end.
func TestUpdateArrivesInTimeDuringGain(t *testing.T) {
	for name, end := range map[string]func(o *partitionedOutage, e *testConn){
		"stalled": func(o *partitionedOutage, _ *testConn) { o.pass(updateBound, func() bool { return !o.connOpen() }) },
		"reset": func(o *partitionedOutage, e *testConn) {
			require.NoError(o.t, e.SetLinger(0))
			e.Close()
			o.waitClosed(0)
		},
		"late refusal": func(o *partitionedOutage, e *testConn) {
			o.after(slowAnswer)
			e.send(o.t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			o.waitClosed(0)
		},
		"late, then stalled": func(o *partitionedOutage, e *testConn) {
			o.after(slowAnswer)
			e.send(o.t, listAnswer(2, true, true))
			o.testCourier.requestPath(0, 3)
			o.pass(updateBound, func() bool { return !o.connOpen() })
		},
		"late with close, then stalled": func(o *partitionedOutage, e *testConn) {
			o.after(slowAnswer)
			text := listAnswer(2, true, true)
			e.send(o.t, strings.Replace(text, "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", 1))
			o.testCourier.requestPath(1, 1)
			o.connNumber = 2
			o.pass(updateBound, func() bool { return !o.connOpen() })
		},
	} {
		for _, fleet := range []int{1, 300} {
			t.Run(fmt.Sprintf("%s, fleet of %d", name, fleet), func(t *testing.T) {
				o := newPartitionedOutage(t, fleet)
				e := o.discoveryOutage.nextRequest()
				o.front.AdoptMembership(o.d.alone(o.d.own))
				e.send(t, listAnswer(1, false, true))
				require.Equal(t, "?"+partitionQuery(o.d.others[:1]), o.testCourier.requestPath(0, 2))
				o.stepStart = o.now // the previous watch was answered, so changes wait from here on
				since := o.stepStart
				end(o, e)
				require.False(t, o.connOpen())
				stepEnd := o.now
				next := o.discoveryOutage.nextRequest()
				assert.Contains(t, o.discovery.receivedOn(o.connNumber-1), "?after=1&", "the first request is a watch")
				o.after(slowAnswer)
				next.send(t, listAnswer(3, false, true, instanceAt("s-1", 7, "Terminating", o.target.listener.Addr().String())))
				o.until("the change is received", func() bool { e, _ := o.core.Table(0).Get("s-1"); return e.Phase == snowjunction.Draining })
				assert.LessOrEqual(t, o.now.Sub(since)+slowConnect, updateBound, "%v until the step ended", stepEnd.Sub(since))
			})
		}
	}
}
