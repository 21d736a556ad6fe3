package daemon

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/dircache"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/plausibility"
	"snowjunction/internal/standin"
	"snowjunction/internal/store"
)

// testRun is one run of a courier with a real directory server.
type testRun struct {
	t      *testing.T
	loop   *core.Loop
	core   *core.Core
	front  *platform.Front
	router *partition.Router
	cache  *dircache.Cache
	stop   func()
}

// startRun starts a run on a folder.
func startRun(t *testing.T, dir, discovery string, m *partition.Membership) *testRun {
	log := slog.New(slog.DiscardHandler)
	r := &testRun{t: t, loop: core.NewLoop(time.Now), router: partition.NewRouter(partition.Options{Self: "c0", ServeAfterLoss: time.Second}, m, 0)}
	engine, err := net.New(net.Config{Post: r.loop.Post, Log: log, MaxConns: 64})
	require.NoError(t, err)
	journal, _, err := store.Load(store.Options{Dir: t.TempDir(), Bytes: 3e6, Log: log})
	require.NoError(t, err)
	settings := snowjunction.Settings{
		Seed: 1, Fleet: 1, Tick: 5 * time.Millisecond, Slots: 8, MaxHeld: 10, MaxAttempts: 6, MaxRetryAfter: 3 * time.Second,
		ConnectTimeout: time.Second, DrainGrace: time.Second, Kinds: []snowjunction.Kind{{BundleMax: 1}},
		Classes: []snowjunction.Class{{Name: "status", TargetLatency: time.Second, Deadline: 20 * time.Second, Value: 2}},
	}
	names := config.Names{Zones: map[string]int{"a": 0}, Kinds: map[string]int{"k": 0}}
	r.front = platform.New(platform.Config{Loop: r.loop, Engine: engine, Log: log, Discovery: discovery, Names: names, Settings: settings, Router: r.router})
	cached := dircache.Load(dir, func(file string, err error) { t.Error(file, err) })
	if cached != nil {
		cached.Renumber(names.Zones, names.Kinds)
	}
	r.cache, err = dircache.Open(dircache.Options{Dir: dir, Bytes: 1 << 20, Generations: 1, Log: log})
	require.NoError(t, err)
	k := &listKeeper{loop: r.loop, front: r.front, cache: r.cache, names: names, maxBytes: 1 << 20, freshFor: time.Hour, refreshInterval: time.Hour}
	r.core, err = core.New(core.Config{
		Loop: r.loop, Log: log, Journal: journal, Settings: settings, Fronts: []core.Front{platformFrontNumber: r.front},
		Directories:  map[int]core.Directory{platformFrontNumber: {Confidence: confidence.Default(), Plausibility: plausibility.Default()}},
		OnListChange: func(int) { k.core = r.core; k.changed() },
		ListedShare:  func(int) float64 { return r.router.Share() },
	})
	require.NoError(t, err)
	require.NoError(t, r.front.Start(r.core, chooseStartList(cached, config.List{}, discovery, time.Now())))
	r.stop = func() {
		r.front.Close()
		engine.Stop()
		r.cache.Close()
		journal.Close()
	}
	return r
}

func (r *testRun) until(what string, condition func() bool) {
	r.t.Helper()
	limit := time.Now().Add(20 * time.Second)
	r.loop.RunUntil(func() bool { return condition() || time.Now().After(limit) })
	require.True(r.t, condition(), what)
}

// awaitList waits until the complete list of a generation is held and on disk, and ends the run.
func (r *testRun) awaitList(dir string, generation uint64) {
	r.t.Helper()
	r.until("the list", func() bool {
		g, _, held := r.front.CurrentList()
		return held && g == generation && len(r.router.AwaitingList()) == 0
	})
	r.until("the list on disk", func() bool {
		files, err := dircache.Files(dir)
		if err != nil || len(files) == 0 {
			return false
		}
		s, err := dircache.Read(files[0])
		return err == nil && s.Generation == generation && slices.Equal(s.Covered, r.router.Listed())
	})
	r.stop()
}

func (r *testRun) endpoints() (out []string) {
	for e := range r.core.Table(platformFrontNumber).EntriesFrom(0) {
		out = append(out, e.Name)
	}
	slices.Sort(out)
	return out
}

// A courier that restarts with its folder requests only what has changed in its partitions and the
// lists of partitions it has gained. Partitions it has lost are no longer in its list.
func TestRestartFetchesOnlyChanges(t *testing.T) {
	const (
		partitions    = 64
		destinations  = 4000
		maxWatchBytes = 1000 // limit on the bytes of a few watch answers, including headers
	)
	fleet := func(n int, without ...int) *partition.Membership {
		var all []partition.Member
		for i := range n {
			if !slices.Contains(without, i) {
				all = append(all, partition.Member{Name: fmt.Sprintf("c%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Region: "r"})
			}
		}
		m, err := partition.New(partitions, 1, all)
		require.NoError(t, err)
		return m
	}
	var endpoints []standin.Endpoint
	for i := range destinations {
		endpoints = append(endpoints, standin.Endpoint{Name: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("127.1.%d.%d:1", i>>8, i&255), Destination: uint32(i + 1)})
	}
	list := standin.List(endpoints)
	directory, err := standin.NewDirectory(list)
	require.NoError(t, err)
	t.Cleanup(directory.Close)
	dir := t.TempDir()
	all := fleet(8)
	ownedEndpoints := func(m *partition.Membership) (want []string) {
		for _, x := range list {
			if slices.Contains(m.Owned("c0"), partition.Of(x.Cell, partitions)) && x.Lifecycle != "Gone" {
				want = append(want, x.InstanceID)
			}
		}
		slices.Sort(want)
		return want
	}
	bytesSent := func() int64 { return directory.Traffic().Out }
	run := startRun(t, dir, directory.Addr(), all)
	run.awaitList(dir, 1)
	assert.Equal(t, ownedEndpoints(all), run.endpoints())
	fullBytes := bytesSent()
	require.Greater(t, fullBytes, int64(len(ownedEndpoints(all))*100))

	before := bytesSent()
	own := slices.IndexFunc(list, func(x standin.Instance) bool { return slices.Contains(ownedEndpoints(all), x.InstanceID) })
	other := slices.IndexFunc(list, func(x standin.Instance) bool { return !slices.Contains(ownedEndpoints(all), x.InstanceID) })
	list[own].Lifecycle, list[other].Lifecycle = "Gone", "Gone"
	directory.Change(list[own])
	generation := directory.Change(list[other])
	run = startRun(t, dir, directory.Addr(), all)
	assert.Empty(t, run.router.AwaitingList())
	run.awaitList(dir, generation)
	assert.Equal(t, ownedEndpoints(all), run.endpoints())
	restartBytes := bytesSent() - before
	assert.Less(t, restartBytes, int64(maxWatchBytes), "only its changes, no full list")

	before = bytesSent()
	fewer := fleet(8, 1, 2) // two members left: partitions are gained
	run = startRun(t, dir, directory.Addr(), fewer)
	gained := len(ownedEndpoints(fewer)) - len(ownedEndpoints(all))
	require.Positive(t, gained)
	run.awaitList(dir, generation)
	assert.Equal(t, ownedEndpoints(fewer), run.endpoints())
	gainBytes := bytesSent() - before
	assert.Less(t, gainBytes, int64(gained*200+10*maxWatchBytes), "only the gained partitions")

	before = bytesSent()
	more := fleet(24) // many members joined: partitions are lost
	run = startRun(t, dir, directory.Addr(), more)
	require.Subset(t, fewer.Owned("c0"), more.Owned("c0"))
	run.awaitList(dir, generation)
	assert.Equal(t, ownedEndpoints(more), run.endpoints())
	lossBytes := bytesSent() - before
	assert.Less(t, lossBytes, int64(maxWatchBytes))
	t.Logf("bytes sent by the directory: first start %d, restart %d, with %d destinations gained %d, with some lost %d", fullBytes, restartBytes, gained, gainBytes, lossBytes)
}
