// Package platform is the platform's front, a thin one: RESP2 clients hand
// messages in, targets are called by HTTP/1.1, discovery's target group is
// watched, and ends that are no delivery go out as notices.
package platform

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/backoff"
	"snowjunction/internal/belief"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/store"
)

// Config is what the front needs to know.
type Config struct {
	Loop      *core.Loop
	Engine    *net.Engine
	Log       *slog.Logger
	Number    int    // of this front in the core
	Listen    string // empty: messages come in otherwise, and nothing listens
	Discovery string
	Names     config.Names
	Columns   []string // of the load report
	Settings  snowjunction.Settings
	Lists     ListLimits
	Started   func(Step) // nil: nobody asks
	// Router divides the destinations among couriers; nil: this one lists and calls all.
	Router *partition.Router
}

// Step is one of a front's start.
type Step int

// The steps, in their order. The first two are told within Start.
const (
	Listening Step = iota
	Listed         // the known list is taken, if there is one
	Ready          // messages are taken from now on
)

// ListLimits bound a list that discovery may send.
type ListLimits struct {
	Bytes, Entries int
}

// DefaultLists are the bounds where no operator file names others: a list of
// so many entries takes about 5 MB.
var DefaultLists = ListLimits{Bytes: 16 << 20, Entries: 65536}

// Front is the platform's front.
type Front struct {
	Config
	core      *core.Core
	addr      string
	ready     bool
	draining  bool
	clients   map[*client]bool
	targets   map[*target]bool
	discovery discovery
	notices   notices
	forwards  forwards
	requests  uint64 // handed in by clients
	begun     time.Time
	sweeping  *sweep      // nil: nothing has to leave the table
	lingers   *core.Timer // runs while partitions that are no longer owned are served on
}

// since is the time on the router's clock.
func (f *Front) since() time.Duration { return f.Loop.Now().Sub(f.begun) }

// Divided is how things stand with the partitions; false: destinations are not divided.
func (f *Front) Divided() (partition.Figures, bool) {
	if f.Router == nil {
		return partition.Figures{}, false
	}
	return f.Router.Figures(f.since()), true
}

// Ready tells whether messages are taken.
func (f *Front) Ready() bool { return f.ready && !f.draining }

// New returns a front that does nothing yet.
func New(cfg Config) *Front {
	if cfg.Lists == (ListLimits{}) {
		cfg.Lists = DefaultLists
	}
	f := &Front{Config: cfg, clients: map[*client]bool{}, targets: map[*target]bool{}, begun: cfg.Loop.Now()}
	f.discovery.front = f
	f.discovery.backoff = backoff.New(cfg.Settings.Fleet, cfg.Settings.Seed).Within(cfg.Settings.DrainGrace)
	f.notices.front = f
	f.forwards = newForwards(f)
	f.Engine.SpareIdle(f.spareTarget)
	f.Engine.SpareIdle(f.forwards.spare)
	return f
}

// The kinds of the connections to the platform's agent.
const (
	WatchKind  = "discovery"
	NoticeKind = "notices"
)

// readyAfter bounds how long a courier that knows no target group waits for
// discovery before it calls itself ready.
const readyAfter = 2 * time.Second

// Begin is the list that the front starts with.
type Begin struct {
	config.List
	Source belief.Source
	Age    time.Duration // since the directory vouched for it; under 0: not known
	Watch  bool          // what is newer than its generation may be asked for
	// The list has all of these of so many partitions, in order; of 0: all of everything.
	Partitions int
	Of         []int
}

// Start listens, takes the target group as last known and watches it.
func (f *Front) Start(c *core.Core, known Begin) error {
	f.core = c
	if f.Listen != "" {
		addr, err := f.Engine.Listen(ListenerKind, f.Listen, f.accept, func() bool { return f.spareClient(true) })
		if err != nil {
			return err
		}
		f.addr = addr
		f.did(Listening)
		f.sweep()
	}
	known, held := f.listed(known)
	if known.Held {
		news, err := known.News()
		if err == nil {
			news.Full = true
			err = c.Begin(f.Number, news, known.Source, known.Age)
		}
		if err != nil { // it costs what is known, not the start
			f.Log.Warn("the known list cannot be taken", "err", err)
			known, held = Begin{}, nil
		}
	}
	if f.Router != nil {
		f.Router.Held(held)
	}
	f.did(Listed)
	if known.Held {
		f.becomeReady()
	} else {
		f.Loop.After(readyAfter, f.becomeReady)
	}
	f.discovery.generation, f.discovery.known, f.discovery.held = known.Generation, known.Held && known.Watch, known.Held
	f.discovery.agent = f.Discovery
	if first := f.discovery.backoff.Initial(); first > 0 && known.Held {
		f.discovery.limit = f.Loop.After(first, f.discovery.watch)
	} else {
		f.discovery.watch()
	}
	return nil
}

func (f *Front) did(s Step) {
	if f.Started != nil {
		f.Started(s)
	}
}

// becomeReady has messages taken from now on.
func (f *Front) becomeReady() {
	if !f.ready {
		f.ready = true
		f.did(Ready)
	}
}

// Move turns to the platform's new address: the watch begins anew there, and
// the notices that are owed go there, also those that were on their way.
func (f *Front) Move(discovery string) {
	if discovery == f.Discovery {
		return
	}
	f.Discovery = discovery
	f.core.Moved(f.Number)
	f.discovery.move()
	f.notices.again(net.Moved)
}

// Told is which list is held, and who has told it; false: none is.
func (f *Front) Told() (generation uint64, agent string, held bool) {
	return f.discovery.generation, f.discovery.agent, f.discovery.held
}

// Addr is the address that clients reach.
func (f *Front) Addr() string { return f.addr }

// Target makes the target of an endpoint.
func (f *Front) Target(e core.Entry) core.Target {
	t := &target{front: f, entry: e}
	f.targets[t] = true
	return t
}

// Ended has a notice sent unless the end needs none.
func (f *Front) Ended(m *store.Message) {
	if m.State == store.Failed || m.State == store.Returned {
		f.notices.add(m)
		return
	}
	f.core.Settled(m)
}

// Drain lets the clients go: idle connections end now, the others after their
// answers, so that the clients turn to other couriers.
func (f *Front) Drain() {
	f.draining = true
	for c := range f.clients {
		c.release()
	}
}

// Unanswered tells that the request of some client is being read, or waits for its answer.
func (f *Front) Unanswered() bool {
	for c := range f.clients {
		if c.unanswered() {
			return true
		}
	}
	return false
}

// Close ends all connections.
func (f *Front) Close() {
	f.lingers.Stop()
	for c := range f.clients {
		c.conn.Close(net.Shutdown)
	}
	f.discovery.close()
	f.notices.close()
	f.forwards.close()
}

// Quiet tells that no notice is on its way.
func (f *Front) Quiet() bool { return len(f.notices.queue) == 0 && f.notices.out == 0 }
