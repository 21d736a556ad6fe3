package daemon

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/dircache"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/handover"
	"snowjunction/internal/learnedstate"
)

// chooseStartList returns the list to start with: the newer of the one kept on disk and the one in
// the configuration. Both carry generations of the same directory; if these are equal the kept list
// is used, because its age is known. A kept list from another agent, which may count generations
// independently, is still used, but the next list is requested in full.
func chooseStartList(cached *dircache.Snapshot, configured config.List, agent string, now time.Time) platform.InitialList {
	if cached == nil || configured.Present && configured.Generation > cached.Generation {
		if !configured.Present {
			return platform.InitialList{}
		}
		return platform.InitialList{List: configured, Source: confidence.Configured, Watchable: true}
	}
	age := now.Sub(cached.ConfirmedAt)
	if age < -clockTolerance { // the clock was set back: the age is unknown
		age = -1
	} else {
		age = max(age, 0)
	}
	return platform.InitialList{
		List:   config.List{Present: true, Generation: cached.Generation, Full: true, Targets: cached.Entries},
		Source: confidence.Cached, Age: age, Watchable: !cached.Partial && cached.Agent == agent,
		PartitionCount: cached.Partitions, CompletePartitions: cached.Covered,
	}
}

// clockTolerance is how far a clock may appear to be set back without affecting the age of a list.
const clockTolerance = time.Second

// listKeeper writes the platform's list to disk when it changes, and periodically while the
// directory confirms it.
type listKeeper struct {
	loop            *core.Loop
	core            *core.Core
	front           *platform.Front
	cache           *dircache.Cache
	names           config.Names
	maxBytes        int
	freshFor        time.Duration // an older list is treated as old
	refreshInterval time.Duration // between writes of an unchanged list that the directory still confirms

	writeTimer   *core.Timer
	refreshTimer *core.Timer
	version      int // version of the list, incremented by changes
	startedAt    time.Time
	abandoned    int           // consecutive snapshots abandoned because the list changed meanwhile
	lastDuration time.Duration // loop time spent on the last snapshot
}

// minWriteInterval is the minimum time between two snapshots. The first change after that time is
// written at once, so that the next process run knows which endpoints are draining.
const minWriteInterval = 200 * time.Millisecond

// writeDutyFactor is the minimum pause after a snapshot as a multiple of the time it took, so that
// a long list that changes all the time does not keep the loop busy.
const writeDutyFactor = 20

// changed schedules a write because the list has changed or was confirmed after a silence.
func (k *listKeeper) changed() {
	k.version++
	if k.writeTimer == nil {
		k.writeTimer = k.loop.After(max(0, k.startedAt.Add(max(minWriteInterval, writeDutyFactor*k.lastDuration)).Sub(k.loop.Now())), func() {
			k.writeTimer = nil
			k.write()
		})
	}
}

// write encodes the list in slices, so that a long list does not block the loop. If the list
// changes meanwhile, encoding starts over.
func (k *listKeeper) write() {
	generation, agent, known := k.front.CurrentList()
	if !known {
		return
	}
	k.startedAt = k.loop.Now()
	version := k.version
	confirmedAt := k.loop.Now()
	if source, age, live := k.core.ListStatus(platformFrontNumber); !live {
		if version == 1 {
			return // the list of the start: it is already on disk, or its age is unknown
		}
		if source == confidence.Configured {
			age = max(age, k.freshFor)
		}
		confirmedAt = confirmedAt.Add(-age)
	}
	partitions, of := k.front.LoadedPartitions()
	w := dircache.NewWriter(dircache.Head{
		ConfirmedAt: confirmedAt, Generation: generation, Agent: agent, Zones: dircache.Names(k.names.Zones), Kinds: dircache.Names(k.names.Kinds),
		Partitions: partitions, Covered: of,
	}, k.maxBytes)
	// Entries of loaded destinations come first, in case not all entries fit.
	position, unloadedPass, spent := 0, false, time.Duration(0)
	step := func() (more bool) {
		sliceStart := k.loop.Now()
		defer func() { spent += k.loop.Now().Sub(sliceStart) }()
		if version != k.version {
			k.lastDuration = max(k.lastDuration, spent)
			k.abandoned++
			k.changed()
			return false
		}
		table := k.core.Table(platformFrontNumber)
		n := 0
		for e := range table.EntriesFrom(position) {
			if awake := k.core.Loaded(e.Destination); awake != unloadedPass && (e.Phase == snowjunction.Ready || e.Phase == snowjunction.Draining) {
				w.Add(e)
			}
			position++
			if n++; n == entriesPerSlice {
				return true
			}
		}
		if !unloadedPass {
			position, unloadedPass = 0, true
			return true
		}
		k.cache.Put(w.Bytes())
		k.lastDuration, k.abandoned = spent, 0
		k.refreshTimer.Stop()
		k.refreshTimer = k.loop.After(k.refreshInterval, k.refresh)
		return false
	}
	if k.abandoned < maxAbandoned {
		k.loop.RunSliced(step)
		return
	}
	for step() { // in one go, as the list changes too often for slices
	}
}

// entriesPerSlice is the number of entries encoded per slice. After maxAbandoned abandoned
// snapshots in a row, a snapshot is encoded in one go.
const (
	entriesPerSlice = 2048
	maxAbandoned    = 5
)

// refresh writes the list again if the directory still confirms it.
func (k *listKeeper) refresh() {
	if _, _, live := k.core.ListStatus(platformFrontNumber); live {
		k.changed()
		return
	}
	k.refreshTimer = k.loop.After(k.refreshInterval, k.refresh)
}

// openSideFiles reads the state that an earlier process run left next to the journal, and opens it
// for writing. Errors are logged and cost only that state, not the start.
func (c *courier) openSideFiles(cfg *core.Config, e *handover.State) {
	warn := func(file string, err error) { c.log.Warn("cannot use a file", "file", file, "err", err) }
	var cached *dircache.Snapshot
	if e != nil && len(e.List) > 0 {
		var err error
		if cached, err = dircache.Decode(e.List); err != nil {
			warn("the list handed over", err)
		}
	}
	if cached == nil && c.directoryConfig.Cache {
		cached = dircache.Load(c.cfg.StateDir, warn)
	}
	c.process.stepDone("list")
	if cached != nil {
		cached.Renumber(c.cfg.Names.Zones, c.cfg.Names.Kinds)
	}
	if c.directoryConfig.Cache {
		cache, err := dircache.Open(dircache.Options{Dir: c.cfg.StateDir, Bytes: c.directoryConfig.CacheBytes, Generations: c.directoryConfig.Generations, Log: c.log})
		if err != nil {
			c.log.Warn("the directory's list is not kept", "err", err)
		} else {
			c.cache = cache
			k := &listKeeper{
				loop: c.loop, front: c.platform, cache: cache, names: c.cfg.Names, maxBytes: c.directoryConfig.CacheBytes,
				freshFor: c.directoryConfig.Confidence.FreshFor, refreshInterval: max(c.directoryConfig.Confidence.FreshFor/4, time.Second),
			}
			cfg.OnListChange = func(front int) {
				if k.core = c.core; front == platformFrontNumber {
					k.changed()
				}
			}
		}
	}
	c.startList = chooseStartList(cached, c.cfg.InitialList, c.cfg.Discovery, c.loop.Now())
	if b := c.startList; b.Present {
		c.log.Info("starting list", "source", b.Source.String(), "generation", b.Generation, "endpoints", len(b.Targets), "age", b.Age.Round(time.Millisecond))
	}
	if c.directoryConfig.Learn {
		c.learnedRecords = learnedstate.Load(c.cfg.StateDir, warn)
		store, err := learnedstate.Open(learnedstate.Options{Dir: c.cfg.StateDir, Bytes: c.directoryConfig.LearnBytes, Log: c.log}, c.learnedRecords)
		if err != nil {
			c.log.Warn("learned state is not kept", "err", err)
		} else {
			c.learnedStore, cfg.LearnedStore = store, store
		}
	}
	c.process.stepDone("learnt")
}

// directoryCounts returns the state of the directory and of the list kept on disk, for the log.
func (c *courier) directoryCounts() slog.Value {
	var n dircache.Counts
	if c.cache != nil {
		n = c.cache.Counts()
	}
	source, age, live := c.core.ListStatus(platformFrontNumber)
	return slog.GroupValue(
		slog.Bool("live", live), slog.String("source", source.String()), slog.Float64("word_age_s", age.Seconds()), slog.Uint64("written", n.Written), slog.Uint64("bytes", n.Bytes), slog.Uint64("failed", n.Failed),
	)
}

// DirectoryStatus is the courier's assessment of its directory and endpoints, as the admin socket reports
// it.
type DirectoryStatus struct {
	Source          string                    `json:"source"`
	Live            bool                      `json:"live"`
	ConfirmedAgeS   float64                   `json:"word_age_s"`
	Conditions      map[string]float64        `json:"conditions"` // conditions of the directory and their ages in seconds
	ListedEndpoints int                       `json:"listed"`
	Endpoints       []core.EndpointConfidence `json:"endpoints"` // limited to maxReportedEndpoints
}

const maxReportedEndpoints = 10000

func (c *courier) directoryStatus() DirectoryStatus {
	source, age, live := c.core.ListStatus(platformFrontNumber)
	b := DirectoryStatus{Source: source.String(), Live: live, ConfirmedAgeS: age.Seconds(), Conditions: c.core.Conditions(platformFrontNumber)}
	b.Endpoints, b.ListedEndpoints = c.core.EndpointConfidences(platformFrontNumber, maxReportedEndpoints)
	return b
}
