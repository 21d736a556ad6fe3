// Package platform is the front for the platform. It accepts messages from RESP2 clients, calls
// targets over HTTP/1.1, watches the target group at the discovery agent, and sends a notice for
// each message that ends without a delivery.
package platform

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/backoff"
	"snowjunction/internal/confidence"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/front"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/store"
)

// Config holds the front's dependencies and settings.
type Config struct {
	Loop          *core.Loop
	Engine        *net.Engine
	Log           *slog.Logger
	FrontIndex    int    // index of this front in the core
	Listen        string // address to listen on; empty means that the front does not listen
	Discovery     string
	Names         config.Names
	ReportColumns []string // names of the values of a load report
	Settings      snowjunction.Settings
	Lists         ListLimits
	OnStep        func(Step) // called at each step of the start; may be nil
	// MaxIncompleteBytes limits what the incomplete commands of all clients hold together. Zero means no
	// limit.
	MaxIncompleteBytes int
	// MaxIncompleteAnswerBytes limits what the incomplete answers of all targets hold together. Zero means
	// no limit.
	MaxIncompleteAnswerBytes int
	// AnswerSettleTime replaces how long a connection to a target rests between an answer and the next
	// call. Zero keeps it.
	AnswerSettleTime time.Duration
	// Router assigns destinations to couriers. If nil, this courier lists and calls all
	// destinations.
	Router *partition.Router
}

// Step is a step of a front's start.
type Step int

// The steps in the order in which they happen. The first two are reported before Start
// returns.
const (
	Listening  Step = iota
	ListLoaded      // the saved list, if any, is loaded
	Ready           // messages are accepted from now on
)

// ListLimits bounds the size of a list from discovery.
type ListLimits struct {
	Bytes, Entries int
}

// DefaultListLimits are the limits used if the configuration sets none. A list of this many entries
// takes about 5 MB of memory.
var DefaultListLimits = ListLimits{Bytes: 16 << 20, Entries: 65536}

// Front is the front for the platform. It belongs to the loop's goroutine.
type Front struct {
	Config
	core            *core.Core
	addr            string
	ready           bool
	draining        bool
	clients         map[*client]bool
	targets         map[*target]bool
	discovery       discovery
	notices         noticeQueue
	forwarder       forwarder
	requestCount    uint64 // submitted by clients
	incompleteBytes int    // held by the incomplete commands of all clients
	answers         front.AnswerBudget
	createdAt       time.Time
	activeSweep     *tableSweep // nil if no entries have to be removed from the table
	lingerTimer     *core.Timer // runs while partitions that are no longer owned are still served
}

// routerTime returns the time on the router's clock, which starts at zero with the front.
func (f *Front) routerTime() time.Duration { return f.Loop.Now().Sub(f.createdAt) }

// PartitionFigures returns figures about the partitions. It returns false if destinations are not
// partitioned.
func (f *Front) PartitionFigures() (partition.Stats, bool) {
	if f.Router == nil {
		return partition.Stats{}, false
	}
	return f.Router.Stats(f.routerTime()), true
}

// Ready reports whether the front accepts messages.
func (f *Front) Ready() bool { return f.ready && !f.draining }

// New returns a front that is not started yet.
func New(cfg Config) *Front {
	if cfg.Lists == (ListLimits{}) {
		cfg.Lists = DefaultListLimits
	}
	f := &Front{Config: cfg, clients: map[*client]bool{}, targets: map[*target]bool{}, createdAt: cfg.Loop.Now()}
	f.answers.MaxBytes = cfg.MaxIncompleteAnswerBytes
	f.discovery.front = f
	f.discovery.backoff = backoff.New(cfg.Settings.Fleet, cfg.Settings.Seed).WithGrace(cfg.Settings.DrainGrace)
	f.notices.front = f
	f.forwarder = newForwarder(f)
	f.Engine.AddIdleEvictor(f.closeOldestIdleTarget)
	f.Engine.AddIdleEvictor(f.forwarder.closeOldestIdle)
	return f
}

// The kinds of the connections to the discovery agent.
const (
	WatchKind  = "discovery"
	NoticeKind = "notices"
)

// readyAfter is how long a courier without a saved list waits for discovery before it reports
// ready.
const readyAfter = 2 * time.Second

// InitialList is the list that the front starts with.
type InitialList struct {
	config.List
	Source    confidence.Source
	Age       time.Duration // since the directory confirmed it; negative if unknown
	Watchable bool          // changes after its generation may be requested
	// The partitions for which the list is complete, sorted, and their total number. A total of
	// zero means that the list is complete for all destinations.
	PartitionCount     int
	CompletePartitions []int
}

// Start starts to listen, loads the saved list and starts to watch the target group.
func (f *Front) Start(c *core.Core, initial InitialList) error {
	f.core = c
	if f.Listen != "" {
		addr, err := f.Engine.Listen(ListenerKind, f.Listen, f.accept, func() bool { return f.evictClient(true) })
		if err != nil {
			return err
		}
		f.addr = addr
		f.reportStep(Listening)
		f.closeIdleClients()
	}
	initial, heldPartitions := f.restrictToListed(initial)
	if initial.Present {
		list, err := initial.GroupList()
		if err == nil {
			list.Full = true
			err = c.SetInitialList(f.FrontIndex, list, initial.Source, initial.Age)
		}
		if err != nil { // a bad saved list must not prevent the start
			f.Log.Warn("cannot use the saved list; starting without a list", "err", err)
			initial, heldPartitions = InitialList{}, nil
		}
	}
	if f.Router != nil {
		f.Router.MarkListReceived(heldPartitions)
		// The previous process run may have left messages of partitions that are no longer owned.
		f.scheduleLingerCheck()
	}
	f.reportStep(ListLoaded)
	if initial.Present {
		f.markReady()
	} else {
		f.Loop.After(readyAfter, f.markReady)
	}
	f.discovery.generation, f.discovery.incremental, f.discovery.hasList = initial.Generation, initial.Present && initial.Watchable, initial.Present
	f.discovery.agent = f.Discovery
	if firstDelay := f.discovery.backoff.InitialDelay(); firstDelay > 0 && initial.Present {
		f.discovery.timer = f.Loop.After(firstDelay, f.discovery.watch)
	} else {
		f.discovery.watch()
	}
	return nil
}

func (f *Front) reportStep(s Step) {
	if f.OnStep != nil {
		f.OnStep(s)
	}
}

// markReady makes the front accept messages from now on.
func (f *Front) markReady() {
	if !f.ready {
		f.ready = true
		f.reportStep(Ready)
	}
}

// MoveDiscovery switches to a new discovery address. The watch starts again there, and all pending notices
// are sent there, including those that were in flight.
func (f *Front) MoveDiscovery(discovery string) {
	if discovery == f.Discovery {
		return
	}
	f.Discovery = discovery
	f.core.DirectoryAgentChanged(f.FrontIndex)
	f.discovery.restart()
	f.notices.retryLater(net.Moved)
}

// CurrentList returns the generation of the current list and the agent that sent it. It returns false if
// there is no list.
func (f *Front) CurrentList() (generation uint64, agent string, held bool) {
	return f.discovery.generation, f.discovery.agent, f.discovery.hasList
}

// Addr returns the address that clients connect to.
func (f *Front) Addr() string { return f.addr }

// Target returns the target for an endpoint.
func (f *Front) Target(e core.Entry) core.Target {
	t := &target{front: f, entry: e}
	f.targets[t] = true
	return t
}

// Ended sends a notice if the final result of the message requires one.
func (f *Front) Ended(m *store.Message) {
	if m.State == store.Failed || m.State == store.Returned {
		f.notices.add(m)
		return
	}
	f.core.Settled(m)
}

// Drain closes idle client connections now and the others after their answers, so that the clients
// switch to other couriers.
func (f *Front) Drain() {
	f.draining = true
	for c := range f.clients {
		c.closeIfIdle()
	}
}

// HasUnanswered reports whether any client's request is being read or waits for its answer.
func (f *Front) HasUnanswered() bool {
	for c := range f.clients {
		if c.unanswered() {
			return true
		}
	}
	return false
}

// Close closes all connections.
func (f *Front) Close() {
	f.lingerTimer.Stop()
	for c := range f.clients {
		c.conn.Close(net.Shutdown)
	}
	f.discovery.close()
	f.notices.close()
	f.forwarder.close()
}

// NoticesSettled reports whether no notice is queued or in flight.
func (f *Front) NoticesSettled() bool { return len(f.notices.queue) == 0 && f.notices.inFlight == 0 }
