package daemon

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/belief"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/dircache"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/handover"
	"snowjunction/internal/learnt"
)

// startList is the list to start with: the younger of the one kept on disk and the
// configuration's. Both count generations of one directory; of equals the kept one is
// as young, and its age is known. Another agent may count on its own, so that only the
// list can be used then, and what is newer is asked for whole.
func startList(kept *dircache.Snapshot, known config.List, agent string, now time.Time) platform.Begin {
	if kept == nil || known.Held && known.Generation > kept.Generation {
		if !known.Held {
			return platform.Begin{}
		}
		return platform.Begin{List: known, Source: belief.Known, Watch: true}
	}
	age := now.Sub(kept.Told)
	if age < -clockSlack { // the clock was set back: how old it is cannot be known
		age = -1
	} else {
		age = max(age, 0)
	}
	return platform.Begin{
		List:   config.List{Held: true, Generation: kept.Generation, Full: true, Targets: kept.Entries},
		Source: belief.Cached, Age: age, Watch: !kept.Partial && kept.Agent == agent,
		Partitions: kept.Partitions, Of: kept.Of,
	}
}

// clockSlack is how far a clock may seem set back without being.
const clockSlack = time.Second

// keeper has the platform's list kept on disk as it changes, and now and then while
// the directory vouches for it.
type keeper struct {
	loop  *core.Loop
	core  *core.Core
	front *platform.Front
	cache *dircache.Cache
	names config.Names
	most  int
	fresh time.Duration // an older list counts as old
	every time.Duration // between writes that tell nothing but that the list is still true

	due     *core.Timer
	again   *core.Timer
	version int // of the list
	begun   time.Time
	tries   int           // snapshots given up in a row, as the list changed meanwhile
	took    time.Duration // of the loop's time, for the last snapshot
}

// keepPause is the least time between two snapshots. The first change after a pause
// is written at once: a draining endpoint must be known as one in the next life.
const keepPause = 200 * time.Millisecond

// keepRest is how many times as long as a snapshot takes nothing is done for the next:
// a long list that changes all the time must not keep the loop busy.
const keepRest = 20

// heard tells that the list has changed, or has been vouched for after a silence.
func (k *keeper) heard() {
	k.version++
	if k.due == nil {
		k.due = k.loop.After(max(0, k.begun.Add(max(keepPause, keepRest*k.took)).Sub(k.loop.Now())), func() {
			k.due = nil
			k.keep()
		})
	}
}

// keep writes the list down in slices, so that a long one holds nobody up. Where it
// changes meanwhile, that is begun anew.
func (k *keeper) keep() {
	gen, agent, known := k.front.Told()
	if !known {
		return
	}
	k.begun = k.loop.Now()
	version := k.version
	told := k.loop.Now()
	if source, age, live := k.core.Word(platformFront); !live {
		if version == 1 {
			return // the list of the start: it is on disk, or of no known age
		}
		if source == belief.Known {
			age = max(age, k.fresh)
		}
		told = told.Add(-age)
	}
	partitions, of := k.front.Holds()
	w := dircache.NewWriter(dircache.Head{
		Told: told, Generation: gen, Agent: agent, Zones: dircache.Names(k.names.Zones), Kinds: dircache.Names(k.names.Kinds),
		Partitions: partitions, Of: of,
	}, k.most)
	// Those in use come first, where not all have room.
	at, second, spent := 0, false, time.Duration(0)
	step := func() (more bool) {
		begun := k.loop.Now()
		defer func() { spent += k.loop.Now().Sub(begun) }()
		if version != k.version {
			k.took = max(k.took, spent)
			k.tries++
			k.heard()
			return false
		}
		table := k.core.Table(platformFront)
		n := 0
		for e := range table.From(at) {
			if awake := k.core.Awake(e.Destination); awake != second && (e.Phase == snowjunction.Ready || e.Phase == snowjunction.Draining) {
				w.Add(e)
			}
			at++
			if n++; n == keepSlice {
				return true
			}
		}
		if !second {
			at, second = 0, true
			return true
		}
		k.cache.Put(w.Bytes())
		k.took, k.tries = spent, 0
		k.again.Stop()
		k.again = k.loop.After(k.every, k.vouched)
		return false
	}
	if k.tries < keepTries {
		k.loop.Slices(step)
		return
	}
	for step() { // in one go: it changes too often for slices
	}
}

// keepSlice is how many entries are written at once, keepTries after how many snapshots
// given up, as the list had changed meanwhile, one is written in one go.
const (
	keepSlice = 2048
	keepTries = 5
)

// vouched writes the list anew, if the directory still vouches for it.
func (k *keeper) vouched() {
	if _, _, live := k.core.Word(platformFront); live {
		k.heard()
		return
	}
	k.again = k.loop.After(k.every, k.vouched)
}

// keep reads what an earlier life has left beside its journal, and has this one leave
// the like. What cannot be read or written costs what is known, not the start.
func (c *courier) keep(cfg *core.Config, e *handover.Estate) {
	wrong := func(file string, err error) { c.log.Warn("not taken up", "file", file, "err", err) }
	var kept *dircache.Snapshot
	if e != nil && len(e.List) > 0 {
		var err error
		if kept, err = dircache.Decode(e.List); err != nil {
			wrong("the list handed over", err)
		}
	}
	if kept == nil && c.dir.Cache {
		kept = dircache.Load(c.cfg.StateDir, wrong)
	}
	c.process.did("list")
	if kept != nil {
		kept.Rename(c.cfg.Names.Zones, c.cfg.Names.Kinds)
	}
	if c.dir.Cache {
		cache, err := dircache.Open(dircache.Options{Dir: c.cfg.StateDir, Bytes: c.dir.CacheBytes, Generations: c.dir.Generations, Log: c.log})
		if err != nil {
			c.log.Warn("the directory's list is not kept", "err", err)
		} else {
			c.cache = cache
			k := &keeper{
				loop: c.loop, front: c.platform, cache: cache, names: c.cfg.Names, most: c.dir.CacheBytes,
				fresh: c.dir.Belief.Fresh, every: max(c.dir.Belief.Fresh/4, time.Second),
			}
			cfg.Heard = func(front int) {
				if k.core = c.core; front == platformFront {
					k.heard()
				}
			}
		}
	}
	c.begin = startList(kept, c.cfg.InitialList, c.cfg.Discovery, c.loop.Now())
	if b := c.begin; b.Held {
		c.log.Info("starting list", "source", b.Source.String(), "generation", b.Generation, "endpoints", len(b.Targets), "age", b.Age.Round(time.Millisecond))
	}
	if c.dir.Learn {
		c.recalled = learnt.Load(c.cfg.StateDir, wrong)
		store, err := learnt.Open(learnt.Options{Dir: c.cfg.StateDir, Bytes: c.dir.LearnBytes, Log: c.log}, c.recalled)
		if err != nil {
			c.log.Warn("what is learnt is not kept", "err", err)
		} else {
			c.learnt, cfg.Learnt = store, store
		}
	}
	c.process.did("learnt")
}

// directory tells of the list kept on disk.
func (c *courier) directory() slog.Value {
	var n dircache.Counts
	if c.cache != nil {
		n = c.cache.Counts()
	}
	source, age, live := c.core.Word(platformFront)
	return slog.GroupValue(
		slog.Bool("live", live), slog.String("source", source.String()), slog.Float64("word_age_s", age.Seconds()), slog.Uint64("written", n.Written), slog.Uint64("bytes", n.Bytes), slog.Uint64("failed", n.Failed),
	)
}

// Believed is what a running courier believes of its directory and its endpoints, as
// the admin socket tells it.
type Believed struct {
	Source     string             `json:"source"`
	Live       bool               `json:"live"`
	WordAgeS   float64            `json:"word_age_s"`
	Conditions map[string]float64 `json:"conditions"` // in which the directory is, for so many seconds
	Listed     int                `json:"listed"`
	Endpoints  []core.Believed    `json:"endpoints"` // up to believedMost
}

const believedMost = 10000

func (c *courier) believed() Believed {
	source, age, live := c.core.Word(platformFront)
	b := Believed{Source: source.String(), Live: live, WordAgeS: age.Seconds(), Conditions: c.core.Conditions(platformFront)}
	b.Endpoints, b.Listed = c.core.Beliefs(platformFront, believedMost)
	return b
}
