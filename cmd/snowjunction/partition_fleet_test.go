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
	partsOf   = 64 // partitions
	partsDest = 12 // destinations, from 1 on
)

// parted is couriers that divide the destinations. Each has a directory of its own, which lists
// every destination at an address that is that courier's: so it shows who has delivered what.
type parted struct {
	t        *testing.T
	copies   int
	addrs    []string
	couriers []*rig.Courier
	dirs     []*standin.Directory
	files    []string // of partitions, by courier
	configs  []rig.Config
	slow     time.Duration // that a call takes

	mu    sync.Mutex
	heard map[string]load.Verdict // by message
	seen  map[string]map[int]int  // by message and courier: calls answered
	come  map[int]int             // by courier: calls
}

// newParted starts so many couriers of one region, with so many copies; of these the first
// members are members.
func newParted(t *testing.T, couriers, members, copies int) *parted {
	t.Setenv(scenario.RunAs, "1")
	s := &parted{t: t, copies: copies, heard: map[string]load.Verdict{}, seen: map[string]map[int]int{}, come: map[int]int{}}
	// Addresses of which others do not know: the port is held at another one.
	hold, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { hold.Close() })
	_, port, err := net.SplitHostPort(hold.Addr().String())
	require.NoError(t, err)
	block := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))
	for n := range couriers {
		s.addrs = append(s.addrs, fmt.Sprintf("%s.%d:%s", block, n+1, port))
	}
	for n := range couriers {
		s.dirs = append(s.dirs, s.directory(n))
		settings := rig.Large(48, 1000, 1000)
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
	s.lists(members)
	return s
}

// directory lists all destinations for one courier.
func (s *parted) directory(n int) *standin.Directory {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.come[n]++
		slow := s.slow
		s.mu.Unlock()
		time.Sleep(slow)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.seen[id] == nil {
			s.seen[id] = map[int]int{}
		}
		s.seen[id][n]++
	})}
	s.t.Cleanup(func() { server.Close() })
	var list []standin.Instance
	for d := range partsDest {
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

// member is a courier as a member.
func (s *parted) member(n int) partition.Member {
	return partition.Member{Name: fmt.Sprintf("n%d", n), Addr: s.addrs[n], Region: "r"}
}

// membership is what couriers with that many members should go by.
func (s *parted) membership(members int) *partition.Membership {
	var all []partition.Member
	for n := range members {
		all = append(all, s.member(n))
	}
	m, err := partition.New(partsOf, s.copies, all)
	require.NoError(s.t, err)
	return m
}

// file is the operator file for that many members.
func (s *parted) file(members int) map[string]any {
	all := []any{}
	for n := range members {
		x := s.member(n)
		all = append(all, map[string]any{"name": x.Name, "addr": x.Addr, "region": x.Region})
	}
	return map[string]any{"enabled": true, "partitions": partsOf, "copies": s.copies, "members": all, "linger_s": 2}
}

// owners are the numbers of a destination's owners.
func (s *parted) owners(dest, members int) (out []int) {
	for _, o := range s.membership(members).Owners(partition.Of(uint32(dest), partsOf), "r") {
		out = append(out, slices.Index(s.addrs, o.Addr))
	}
	return out
}

// owned is a destination whose first owner is that courier.
func (s *parted) owned(n, members int) int {
	for d := 1; d <= partsDest; d++ {
		if s.owners(d, members)[0] == n {
			return d
		}
	}
	require.FailNow(s.t, "it owns nothing")
	return 0
}

func (s *parted) start(n int) {
	c, err := rig.Start(os.Args[0], s.configs[n])
	require.NoError(s.t, err)
	s.couriers[n] = c
}

func (s *parted) until(what string, ok func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(scenario.Limit); !ok(); time.Sleep(5 * time.Millisecond) {
		require.True(s.t, time.Now().Before(limit), "not in time: %s", what)
	}
}

func (s *parted) counter(n int, path ...string) int {
	line, err := s.couriers[n].Counters(false)
	require.NoError(s.t, err)
	return int(rig.Number(line, path...))
}

// lists waits until each courier holds what it owns, and no more.
func (s *parted) lists(members int) {
	s.t.Helper()
	for n := range s.couriers {
		want := 0
		for d := 1; d <= partsDest; d++ {
			if slices.Contains(s.owners(d, members), n) {
				want++
			}
		}
		s.until(fmt.Sprintf("n%d lists %d", n, want), func() bool { return s.counter(n, "idle", "listed") == want })
	}
}

// add hands a message in at a courier, again while it is refused, and returns the last verdict.
// Each time it is on a connection of its own: on one that was used before a client could think
// that an answer that does not come was never asked for, and ask again.
func (s *parted) add(n, dest int, id, class string) (v load.Verdict) {
	m := load.Message{ID: id, Class: class, Tenant: "town", Destination: uint32(dest), Left: 8 * time.Second, Keyed: class == "order"}
	v = load.Refused
	for limit := time.Now().Add(scenario.Limit); v == load.Refused && time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		c := load.New(s.addrs[n], "")
		v, _, _ = c.Add(m)
		c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[id] = v
	return v
}

// by are the couriers that have delivered a message.
func (s *parted) by(id string) (out []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.seen[id] {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// ended waits until each message that was taken has its end, and holds that it has one alone: no
// two couriers have delivered it, and no notice tells of another.
func (s *parted) ended() {
	s.t.Helper()
	notices := func(id string) (n int) {
		for _, d := range s.dirs {
			n += len(d.Notices()[id])
		}
		return n
	}
	s.mu.Lock()
	heard := maps.Clone(s.heard)
	s.mu.Unlock()
	for id, v := range heard {
		if v == load.Taken {
			s.until("the end of "+id, func() bool { return len(s.by(id))+notices(id) > 0 })
		}
		assert.LessOrEqual(s.t, len(s.by(id)), 1, "%s: two couriers have delivered it", id)
		if v != load.Unheard {
			assert.LessOrEqual(s.t, len(s.by(id))+min(1, notices(id)), 1, "%s: two ends", id)
		}
		if v == load.Refused || v == load.Failed {
			assert.Empty(s.t, s.by(id), "%s: it was not taken", id)
		}
	}
}

// ids are the messages of these streams that have been delivered.
func (s *parted) ids(prefixes ...string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.seen {
		if slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(id, p+"-") }) {
			out = append(out, id)
		}
	}
	return out
}

// calls are how many have come from a courier.
func (s *parted) calls(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.come[n]
}

// Handed to any courier, a message is delivered once, by the courier that owns its destination.
func TestPartitionsOwnersDeliver(t *testing.T) {
	s := newParted(t, 3, 3, 1)
	away, all := make([]int, 3), 0
	for n := range 3 {
		for d := 1; d <= partsDest; d++ {
			for _, class := range []string{"status", "order"} {
				id := fmt.Sprintf("%s-%d-%d", class, n, d)
				require.Equal(t, load.Taken, s.add(n, d, id, class), id)
				s.until(id, func() bool { return len(s.by(id)) > 0 })
				owner := s.owners(d, 3)[0]
				assert.Equal(t, []int{owner}, s.by(id))
				all++
				if owner != n {
					away[n]++
				}
			}
		}
	}
	s.ended()
	calls := 0
	for n := range 3 {
		assert.Positive(t, away[n])
		assert.Equal(t, away[n], s.counter(n, "n", "forwarded"), "n%d", n)
		assert.Zero(t, s.counter(n, "n", "moved"))
		calls += s.calls(n)
	}
	assert.Equal(t, all, calls, "each is called for once")
}

// stream hands messages in at a courier, one after the other, until it is told to stop, and
// returns how many.
func (s *parted) stream(n, dest int, prefix string) (stop func() int) {
	end, out := make(chan struct{}), make(chan int)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				out <- i
				return
			default:
				s.add(n, dest, fmt.Sprintf("%s-%d", prefix, i), "status")
			}
		}
	}()
	return sync.OnceValue(func() int {
		close(end)
		return <-out
	})
}

// delivered is how many messages of a stream have been delivered.
func (s *parted) delivered(prefix string) int { return len(s.ids(prefix)) }

// An only owner is killed while messages come. What it had taken is delivered after its restart,
// and by nobody else; meanwhile its messages are refused.
func TestPartitionsOwnerKilled(t *testing.T) {
	s := newParted(t, 3, 3, 1)
	dest, other := s.owned(1, 3), s.owned(2, 3)
	s.mu.Lock()
	s.slow = 20 * time.Millisecond // so that some are held
	s.mu.Unlock()
	stop, stop2 := s.stream(0, dest, "a"), s.stream(2, dest, "b")
	s.until("messages come", func() bool { return s.delivered("a") > 3 && s.delivered("b") > 3 })
	s.couriers[1].Kill()
	refused := s.counter(0, "n", "unrouted")
	s.until("messages are refused", func() bool { return s.counter(0, "n", "unrouted") > refused })
	require.Equal(t, load.Taken, s.add(0, other, "other", "status"), "another owner's are not touched by that")
	before := s.delivered("a")
	s.start(1)
	s.until("messages come again", func() bool { return s.delivered("a") > before+3 })
	stop()
	stop2()
	s.ended()
	for _, id := range s.ids("a", "b") {
		assert.Equal(t, []int{1}, s.by(id))
	}
}

// others is a destination that the last of three couriers does not own, and its owners.
func (s *parted) others() (dest int, owners []int) {
	for d := 1; d <= partsDest; d++ {
		if o := s.owners(d, 3); !slices.Contains(o, 2) {
			return d, o
		}
	}
	require.FailNow(s.t, "n2 owns all")
	return 0, nil
}

// What has left for an owner that gives no answer has no answer: it is neither refused nor handed
// to the other owner, which would deliver it a second time. Later ones the other owner takes.
func TestPartitionsOwnerSilent(t *testing.T) {
	s := newParted(t, 3, 3, 2)
	dest, owners := s.others()
	require.Equal(t, load.Taken, s.add(2, dest, "before", "status"))
	s.until("it comes", func() bool { return len(s.by("before")) > 0 })
	assert.Equal(t, owners[:1], s.by("before"))
	first := s.couriers[owners[0]]
	require.NoError(t, first.Pause())
	assert.Equal(t, load.Unheard, s.add(2, dest, "silent", "status"))
	assert.Empty(t, s.by("silent"))
	id := ""
	for n := 0; id == "" || s.heard[id] == load.Unheard; n++ { // it is passed over, for a while each time
		require.Less(t, n, 50, "the other owner never takes over")
		id = fmt.Sprint("other-", n)
		s.add(2, dest, id, "status")
	}
	s.until(id, func() bool { return len(s.by(id)) > 0 })
	assert.Equal(t, owners[1:], s.by(id))
	require.NoError(t, first.Resume())
	s.until("the first is back", func() bool {
		s.add(2, dest, fmt.Sprint("after-", time.Now().UnixNano()), "status")
		return s.calls(owners[0]) > 1
	})
	s.ended()
}

// With two copies the other owner takes over at once, and what the first had taken it still
// delivers itself.
func TestPartitionsOtherOwner(t *testing.T) {
	s := newParted(t, 3, 3, 2)
	dest, owners := s.others()
	s.mu.Lock()
	s.slow = 20 * time.Millisecond
	s.mu.Unlock()
	stop := s.stream(2, dest, "a")
	s.until("messages come", func() bool { return s.delivered("a") > 3 })
	assert.Zero(t, s.calls(owners[1]), "the first owner gets them")
	s.couriers[owners[0]].Kill()
	s.until("the other owner takes over", func() bool { return s.calls(owners[1]) > 3 })
	s.start(owners[0])
	before := s.calls(owners[0])
	s.until("the first is back", func() bool { return s.calls(owners[0]) > before+3 })
	stop()
	s.ended()
}

// write puts a file of partitions in the place of a courier's and has the courier read it.
func (s *parted) write(n int, file any) error {
	b, raw := file.([]byte)
	if !raw {
		var err error
		b, err = json.Marshal(file)
		require.NoError(s.t, err)
	}
	require.NoError(s.t, os.WriteFile(s.files[n], b, 0o600))
	return s.couriers[n].Hup()
}

// The members are replaced on one courier after the other while messages come: at times there are
// two views of who owns what, and each message has one end all the same.
func TestPartitionsMembersReplaced(t *testing.T) {
	s := newParted(t, 3, 3, 1)
	var stops []func() int
	for n := range 3 {
		for d := 1; d <= partsDest; d += 3 {
			stops = append(stops, s.stream(n, d+n, fmt.Sprintf("m%d%d", n, d)))
		}
	}
	for round, members := range []int{2, 3} { // one goes, and is back
		for n := range 3 {
			require.NoError(t, s.write(n, s.file(members)))
			id := fmt.Sprintf("m%d1", n)
			before := s.delivered(id)
			s.until("messages come", func() bool { return s.delivered(id) > before+2 })
		}
		s.lists(members) // what is no longer owned has lingered
		require.Equal(t, load.Taken, s.add(0, s.owned(1, members), fmt.Sprint("round", round), "status"))
	}
	for _, stop := range stops {
		assert.Positive(t, stop())
	}
	s.ended()
}

// A bad file at SIGHUP is told of, and the members held stay. A courier that is no member
// forwards all. A bad file at a start is one line.
func TestPartitionsFile(t *testing.T) {
	s := newParted(t, 3, 2, 1) // the last is no member
	check := func(round string) {
		for n := range 3 {
			for d := 1; d <= partsDest; d++ {
				id := fmt.Sprintf("%s-%d-%d", round, n, d)
				require.Equal(t, load.Taken, s.add(n, d, id, "status"))
				s.until(id, func() bool { return len(s.by(id)) > 0 })
				assert.Equal(t, s.owners(d, 2)[:1], s.by(id))
			}
		}
	}
	check("first")
	assert.Equal(t, partsDest, s.counter(2, "n", "forwarded"))
	assert.Zero(t, s.counter(2, "idle", "listed"))
	twice := s.file(2)
	twice["members"] = append(twice["members"].([]any), twice["members"].([]any)[0])
	for name, file := range map[string]any{"text": []byte("{"), "number": map[string]any{"partitions": "many"}, "twice": twice} {
		assert.ErrorContains(t, s.write(0, file), "partitions.json", name)
		assert.ErrorContains(t, s.write(2, file), "partitions.json", name)
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
