package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/partition"
	"snowjunction/internal/rig"
	"snowjunction/internal/scenario"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
)

const (
	partitionCount   = 64 // number of partitions
	destinationCount = 12 // number of destinations; their ids start at 1
)

// partitionedFleet is a fleet of couriers that divide the destinations. Each has its own directory,
// which lists every destination at an address used only by that courier. The address of a call
// shows which courier made it.
type partitionedFleet struct {
	t            *testing.T
	copies       int
	addrs        []string
	couriers     []*rig.Courier
	dirs         []*standin.Directory
	files        []string // partition files, by courier
	configs      []rig.Config
	callDuration time.Duration // duration of a call

	mu         sync.Mutex
	verdicts   map[string]load.Verdict // verdict by message id
	deliveries map[string]map[int]int  // answered calls by message id and courier
	callCount  map[int]int             // calls by courier
}

// newPartitionedFleet starts couriers of one region. The first members of them are members; copies is
// the number of owners per partition.
func newPartitionedFleet(t *testing.T, couriers, members, copies int) *partitionedFleet {
	t.Setenv(scenario.RunAsCourierEnv, "1")
	s := &partitionedFleet{t: t, copies: copies, verdicts: map[string]load.Verdict{}, deliveries: map[string]map[int]int{}, callCount: map[int]int{}}
	// The couriers listen on addresses of a private 127.x.y block, at a port that the test reserves
	// on 127.0.0.1, so that no other program uses them.
	portHolder, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { portHolder.Close() })
	_, port, err := net.SplitHostPort(portHolder.Addr().String())
	require.NoError(t, err)
	block := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))
	for n := range couriers {
		s.addrs = append(s.addrs, fmt.Sprintf("%s.%d:%s", block, n+1, port))
	}
	for n := range couriers {
		s.dirs = append(s.dirs, s.directory(n))
		settings := rig.LargeSettings(48, 1000, 1000)
		cfg := rig.Config{
			Dir: t.TempDir(), Discovery: s.dirs[n].Addr(), Settings: settings, MemoryMB: 192, Sockets: 512, Number: n,
			Listen: s.addrs[n], Partitions: s.file(members),
		}
		s.configs = append(s.configs, cfg)
		s.files = append(s.files, filepath.Join(cfg.Dir, "partitions.json"))
		s.couriers = append(s.couriers, nil)
		s.start(n)
	}
	t.Cleanup(func() {
		for n, c := range s.couriers {
			if t.Failed() {
				t.Logf("the log of n%d:\n%s", n, c.Tail())
			}
			c.Kill()
		}
	})
	s.untilListed(members)
	return s
}

// directory serves the targets of all destinations for one courier and returns the directory that
// lists them.
func (s *partitionedFleet) directory(n int) *standin.Directory {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.callCount[n]++
		slow := s.callDuration
		s.mu.Unlock()
		time.Sleep(slow)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.deliveries[id] == nil {
			s.deliveries[id] = map[int]int{}
		}
		s.deliveries[id][n]++
	})}
	s.t.Cleanup(func() { server.Close() })
	var list []standin.Instance
	for d := range destinationCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err)
		go func() { _ = server.Serve(l) }()
		list = append(list, standin.List([]standin.Endpoint{{Name: fmt.Sprintf("p%d", d+1), Addr: l.Addr().String(), Destination: uint32(d + 1)}})...)
	}
	dir, err := standin.NewDirectory(list)
	require.NoError(s.t, err)
	s.t.Cleanup(dir.Close)
	return dir
}

// member returns the membership entry of a courier.
func (s *partitionedFleet) member(n int) partition.Member {
	return partition.Member{Name: fmt.Sprintf("n%d", n), Addr: s.addrs[n], Region: "r"}
}

// membership returns the expected membership for the given number of members.
func (s *partitionedFleet) membership(members int) *partition.Membership {
	var all []partition.Member
	for n := range members {
		all = append(all, s.member(n))
	}
	m, err := partition.New(partitionCount, s.copies, all)
	require.NoError(s.t, err)
	return m
}

// file returns the operator file for the given number of members.
func (s *partitionedFleet) file(members int) map[string]any {
	all := []any{}
	for n := range members {
		x := s.member(n)
		all = append(all, map[string]any{"name": x.Name, "addr": x.Addr, "region": x.Region})
	}
	return map[string]any{"enabled": true, "partitions": partitionCount, "copies": s.copies, "members": all, "linger_s": 2}
}

// owners returns the numbers of a destination's owners in order of preference.
func (s *partitionedFleet) owners(dest, members int) (out []int) {
	for _, o := range s.membership(members).Owners(partition.Of(uint32(dest), partitionCount), "r") {
		out = append(out, slices.Index(s.addrs, o.Addr))
	}
	return out
}

// destinationOwnedBy returns a destination whose first owner is courier n.
func (s *partitionedFleet) destinationOwnedBy(n, members int) int {
	for d := 1; d <= destinationCount; d++ {
		if s.owners(d, members)[0] == n {
			return d
		}
	}
	require.FailNow(s.t, "courier owns no destination")
	return 0
}

func (s *partitionedFleet) start(n int) {
	c, err := rig.Start(os.Args[0], s.configs[n])
	require.NoError(s.t, err)
	s.couriers[n] = c
}

func (s *partitionedFleet) until(what string, ok func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(scenario.EventTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		require.True(s.t, time.Now().Before(limit), "not in time: %s", what)
	}
}

func (s *partitionedFleet) counter(n int, path ...string) int {
	line, err := s.couriers[n].Counters(false)
	require.NoError(s.t, err)
	return int(rig.NumberAt(line, path...))
}

// untilListed waits until each courier holds exactly the list entries of the destinations that it
// owns.
func (s *partitionedFleet) untilListed(members int) {
	s.t.Helper()
	for n := range s.couriers {
		want := 0
		for d := 1; d <= destinationCount; d++ {
			if slices.Contains(s.owners(d, members), n) {
				want++
			}
		}
		s.until(fmt.Sprintf("n%d lists %d", n, want), func() bool { return s.counter(n, "idle", "listed") == want })
	}
}

// submit submits a message to a courier, resubmits it while it is refused, and returns the last
// verdict. Each submission uses a new connection: on a reused one, a client may take a missing
// reply for a request that was never sent, and send it again.
func (s *partitionedFleet) submit(n, dest int, id, class string) (v load.Verdict) {
	m := load.Message{ID: id, Class: class, Tenant: "town", Destination: uint32(dest), TTL: 8 * time.Second, HasIdempotencyKey: class == "order"}
	v = load.Rejected
	for limit := time.Now().Add(scenario.EventTimeout); v == load.Rejected && time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		c := load.New(s.addrs[n], "")
		v, _, _ = c.Submit(m)
		c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[id] = v
	return v
}

// deliveredBy returns the couriers that have delivered a message.
func (s *partitionedFleet) deliveredBy(id string) (out []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.deliveries[id] {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// checkResults waits for the final result of each accepted message and checks that there is only
// one: no two couriers have delivered it, and no delivered message has a notice.
func (s *partitionedFleet) checkResults() {
	s.t.Helper()
	notices := func(id string) (n int) {
		for _, d := range s.dirs {
			n += len(d.Notices()[id])
		}
		return n
	}
	s.mu.Lock()
	verdicts := maps.Clone(s.verdicts)
	s.mu.Unlock()
	for id, v := range verdicts {
		if v == load.Accepted {
			s.until("the final result of "+id, func() bool { return len(s.deliveredBy(id))+notices(id) > 0 })
		}
		assert.LessOrEqual(s.t, len(s.deliveredBy(id)), 1, "%s: two couriers have delivered it", id)
		if v != load.NoResponse {
			assert.LessOrEqual(s.t, len(s.deliveredBy(id))+min(1, notices(id)), 1, "%s: two final results", id)
		}
		if v == load.Rejected || v == load.Failed {
			assert.Empty(s.t, s.deliveredBy(id), "%s: delivered although not accepted", id)
		}
	}
}

// deliveredIDs returns the delivered messages whose streams have one of these prefixes.
func (s *partitionedFleet) deliveredIDs(prefixes ...string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.deliveries {
		if slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(id, p+"-") }) {
			out = append(out, id)
		}
	}
	return out
}

// calls returns the number of calls made by a courier.
func (s *partitionedFleet) calls(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount[n]
}

// A message submitted to any courier is delivered once, by the courier that owns its destination.
func TestPartitionsOwnersDeliver(t *testing.T) {
	s := newPartitionedFleet(t, 3, 3, 1)
	forwarded, all := make([]int, 3), 0
	for n := range 3 {
		for d := 1; d <= destinationCount; d++ {
			for _, class := range []string{"status", "order"} {
				id := fmt.Sprintf("%s-%d-%d", class, n, d)
				require.Equal(t, load.Accepted, s.submit(n, d, id, class), id)
				s.until(id, func() bool { return len(s.deliveredBy(id)) > 0 })
				owner := s.owners(d, 3)[0]
				assert.Equal(t, []int{owner}, s.deliveredBy(id))
				all++
				if owner != n {
					forwarded[n]++
				}
			}
		}
	}
	s.checkResults()
	calls := 0
	for n := range 3 {
		assert.Positive(t, forwarded[n])
		assert.Equal(t, forwarded[n], s.counter(n, "n", "forwarded"), "n%d", n)
		assert.Zero(t, s.counter(n, "n", "moved"))
		calls += s.calls(n)
	}
	assert.Equal(t, all, calls, "one call per message")
}

// stream submits messages to a courier, one after another, until stop is called. stop returns their
// number.
func (s *partitionedFleet) stream(n, dest int, prefix string) (stop func() int) {
	end, out := make(chan struct{}), make(chan int)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				out <- i
				return
			default:
				s.submit(n, dest, fmt.Sprintf("%s-%d", prefix, i), "status")
			}
		}
	}()
	return sync.OnceValue(func() int {
		close(end)
		return <-out
	})
}

// delivered returns the number of delivered messages of a stream.
func (s *partitionedFleet) delivered(prefix string) int { return len(s.deliveredIDs(prefix)) }

// The only owner of a destination is killed under load. Messages that it had accepted are delivered
// after its restart and by no other courier. In the meantime messages for it are refused.
func TestPartitionsOwnerKilled(t *testing.T) {
	s := newPartitionedFleet(t, 3, 3, 1)
	dest, other := s.destinationOwnedBy(1, 3), s.destinationOwnedBy(2, 3)
	s.mu.Lock()
	s.callDuration = 20 * time.Millisecond // so that the courier holds some messages
	s.mu.Unlock()
	stop, stop2 := s.stream(0, dest, "a"), s.stream(2, dest, "b")
	s.until("messages are delivered", func() bool { return s.delivered("a") > 3 && s.delivered("b") > 3 })
	s.couriers[1].Kill()
	refused := s.counter(0, "n", "unrouted")
	s.until("messages are refused", func() bool { return s.counter(0, "n", "unrouted") > refused })
	require.Equal(t, load.Accepted, s.submit(0, other, "other", "status"), "messages for another owner are still accepted")
	before := s.delivered("a")
	s.start(1)
	s.until("messages are delivered again", func() bool { return s.delivered("a") > before+3 })
	stop()
	stop2()
	s.checkResults()
	for _, id := range s.deliveredIDs("a", "b") {
		assert.Equal(t, []int{1}, s.deliveredBy(id))
	}
}

// destinationOwnedByOthers returns a destination that the last of three couriers does not own, and
// its owners.
func (s *partitionedFleet) destinationOwnedByOthers() (dest int, owners []int) {
	for d := 1; d <= destinationCount; d++ {
		if o := s.owners(d, 3); !slices.Contains(o, 2) {
			return d, o
		}
	}
	require.FailNow(s.t, "n2 owns all destinations")
	return 0, nil
}

// A message forwarded to an owner that does not reply gets no reply: it is neither refused nor
// forwarded to the other owner, which could deliver it a second time. Later messages go to the
// other owner.
func TestPartitionsOwnerSilent(t *testing.T) {
	s := newPartitionedFleet(t, 3, 3, 2)
	dest, owners := s.destinationOwnedByOthers()
	require.Equal(t, load.Accepted, s.submit(2, dest, "before", "status"))
	s.until("the message is delivered", func() bool { return len(s.deliveredBy("before")) > 0 })
	assert.Equal(t, owners[:1], s.deliveredBy("before"))
	first := s.couriers[owners[0]]
	require.NoError(t, first.Pause())
	assert.Equal(t, load.NoResponse, s.submit(2, dest, "silent", "status"))
	assert.Empty(t, s.deliveredBy("silent"))
	id := ""
	// After each failure the silent owner is skipped for a limited time.
	for n := 0; id == "" || s.verdicts[id] == load.NoResponse; n++ {
		require.Less(t, n, 50, "the other owner never takes over")
		id = fmt.Sprint("other-", n)
		s.submit(2, dest, id, "status")
	}
	s.until(id, func() bool { return len(s.deliveredBy(id)) > 0 })
	assert.Equal(t, owners[1:], s.deliveredBy(id))
	require.NoError(t, first.Resume())
	s.until("the first is back", func() bool {
		s.submit(2, dest, fmt.Sprint("after-", time.Now().UnixNano()), "status")
		return s.calls(owners[0]) > 1
	})
	s.checkResults()
}

// With two copies the other owner takes over at once when the first is killed. After its restart, the
// first delivers the messages that it had accepted.
func TestPartitionsOtherOwner(t *testing.T) {
	s := newPartitionedFleet(t, 3, 3, 2)
	dest, owners := s.destinationOwnedByOthers()
	s.mu.Lock()
	s.callDuration = 20 * time.Millisecond
	s.mu.Unlock()
	stop := s.stream(2, dest, "a")
	s.until("messages are delivered", func() bool { return s.delivered("a") > 3 })
	assert.Zero(t, s.calls(owners[1]), "only the first owner delivers")
	s.couriers[owners[0]].Kill()
	s.until("the other owner takes over", func() bool { return s.calls(owners[1]) > 3 })
	s.start(owners[0])
	before := s.calls(owners[0])
	s.until("the first is back", func() bool { return s.calls(owners[0]) > before+3 })
	stop()
	s.checkResults()
}

// reload replaces a courier's partition file and makes the courier reload it.
func (s *partitionedFleet) reload(n int, file any) error {
	b, raw := file.([]byte)
	if !raw {
		var err error
		b, err = json.Marshal(file)
		require.NoError(s.t, err)
	}
	require.NoError(s.t, os.WriteFile(s.files[n], b, 0o600))
	return s.couriers[n].ReloadConfig()
}

// The members are changed on one courier after another under load. Although couriers disagree on the
// owners for a time, each message has exactly one final result.
func TestPartitionsMembersReplaced(t *testing.T) {
	s := newPartitionedFleet(t, 3, 3, 1)
	var stops []func() int
	for n := range 3 {
		for d := 1; d <= destinationCount; d += 3 {
			stops = append(stops, s.stream(n, d+n, fmt.Sprintf("m%d%d", n, d)))
		}
	}
	for round, members := range []int{2, 3} { // remove one member, then add it again
		for n := range 3 {
			require.NoError(t, s.reload(n, s.file(members)))
			id := fmt.Sprintf("m%d1", n)
			before := s.delivered(id)
			s.until("messages are delivered", func() bool { return s.delivered(id) > before+2 })
		}
		s.untilListed(members) // entries that are no longer owned are removed after linger_s
		require.Equal(t, load.Accepted, s.submit(0, s.destinationOwnedBy(1, members), fmt.Sprint("round", round), "status"))
	}
	for _, stop := range stops {
		assert.Positive(t, stop())
	}
	s.checkResults()
}

// An invalid file at SIGHUP is reported and the current members stay. A courier that is not a member
// forwards everything. An invalid file at a start is reported in one line.
func TestPartitionsFile(t *testing.T) {
	s := newPartitionedFleet(t, 3, 2, 1) // the last courier is not a member
	check := func(round string) {
		for n := range 3 {
			for d := 1; d <= destinationCount; d++ {
				id := fmt.Sprintf("%s-%d-%d", round, n, d)
				require.Equal(t, load.Accepted, s.submit(n, d, id, "status"))
				s.until(id, func() bool { return len(s.deliveredBy(id)) > 0 })
				assert.Equal(t, s.owners(d, 2)[:1], s.deliveredBy(id))
			}
		}
	}
	check("first")
	assert.Equal(t, destinationCount, s.counter(2, "n", "forwarded"))
	assert.Zero(t, s.counter(2, "idle", "listed"))
	twice := s.file(2)
	twice["members"] = append(twice["members"].([]any), twice["members"].([]any)[0])
	for name, file := range map[string]any{"text": []byte("{"), "number": map[string]any{"partitions": "many"}, "twice": twice} {
		assert.ErrorContains(t, s.reload(0, file), "partitions.json", name)
		assert.ErrorContains(t, s.reload(2, file), "partitions.json", name)
		check(name)
	}
	c := scenario.NewCourier(t)
	path, err := c.Config()
	require.NoError(t, err)
	out, code := command(t, []string{"GW_CONFIG=" + path, "GW_STATE=" + c.State(), "SNOWJUNCTION_PARTITIONS=" + s.files[0]}, "run")
	assert.Equal(t, exitFailed, code)
	assert.Equal(t, 1, strings.Count(out, "\n"), out)
	assert.Contains(t, out, s.files[0])
}
