// Package daemon runs the courier as a process: it reads the configuration, connects the core, the
// journal, the network engine and the fronts, and handles signals and handovers. Decisions are made
// by the core.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"

	"snowjunction/internal/admin"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/describe"
	"snowjunction/internal/dircache"
	"snowjunction/internal/exclusions"
	"snowjunction/internal/front/console"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/front/push"
	"snowjunction/internal/handover"
	"snowjunction/internal/idlestore"
	"snowjunction/internal/learnedstate"
	"snowjunction/internal/net"
	"snowjunction/internal/plugin"
	"snowjunction/internal/store"
)

const (
	heapShare             = 0.6  // share of the machine's memory; the folder's files need memory too
	incompleteShare       = 0.1  // share of the machine's memory for the incomplete requests of a front's clients
	incompleteAnswerShare = 0.05 // share of the machine's memory for the incomplete answers of a front's targets
	unsentShare           = 0.1  // share of the machine's memory for what peers leave unread
	reservedDescriptors   = 32   // file descriptors besides connections: journal, log, epoll, listeners
)

// Times of a planned stop: decisions continue for a while, calls in flight are awaited, and the
// process ends before the platform would kill it.
const (
	drainListenTime   = 500 * time.Millisecond  // listeners stay open
	drainPollInterval = 20 * time.Millisecond   // between checks whether draining is complete
	directoryTimeout  = 80 * time.Millisecond   // for the directory's answer at a start; its agent is local
	drainDecideTime   = 2400 * time.Millisecond // the platform always waits 3.7 s: serve held messages
	drainTimeout      = 3400 * time.Millisecond // the process ends
)

// Numbers of the fronts. They are stored in the journal.
const (
	platformFrontNumber = iota
	pushFrontNumber
)

// courier holds the components of one courier.
type courier struct {
	cfg             *config.Config
	env             func(string) string
	log             *slog.Logger
	loop            *core.Loop
	journal         *store.Journal
	engine          *net.Engine
	core            *core.Core
	plugins         *plugin.Set
	idle            *config.Idle
	directoryConfig *config.Directory
	startList       platform.InitialList
	learnedRecords  []learnedstate.Record
	cache           *dircache.Cache     // nil if the list is not kept on disk
	learnedStore    *learnedstate.Store // nil if learned state is not kept on disk
	idleStore       *idlestore.Store    // nil if disabled
	exclusionFile   *exclusions.File
	fleet           *config.Fleet
	datagrams       *net.Datagrams // nil if peer messages are disabled

	process          *process
	console          *console.Front   // nil if disabled
	consoleConns     []handover.Conn  // connections to the second address, from an earlier courier of this process
	handoverServer   *handover.Server // nil if no process can take over
	draining         bool             // planned stop in progress
	decisionsStopped bool             // decisions have stopped and no call is in flight
	handingOver      bool             // handover to another process in progress
	link             *handover.Link   // to that process
	handoverState    *handover.State
	consoleFD        int // socket of the second address once it is handed over, else -1

	adminPath   string        // path of the admin socket; empty if there is none
	adminSocket *admin.Server // nil if disabled
	reloads     reloader
	platform    *platform.Front
	push        *push.Front
}

// Options are the settings from the command line and the environment.
type Options struct {
	Env       func(string) string // lookup of environment variables, like os.Getenv
	Log       io.Writer           // destination of log lines
	LogFormat string              // "text" or "json"; empty means text
	LogLevel  slog.Level
	Host      []string // command that starts a plug-in's host
	// PluginBudget replaces the time budgets of plug-ins: how long flows wait for a plug-in and
	// decisions for their plug-ins. Zero keeps the budgets. It is for tests that do not depend on
	// time.
	PluginBudget time.Duration
	// AnswerSettleTime replaces how long a connection to an HTTP/1.1 target rests between an answer and
	// the next call. Zero keeps it. It is for tests that do not depend on time.
	AnswerSettleTime time.Duration
	Signals          <-chan os.Signal // if nil, the signals of the process
}

// Logger returns a logger with the configured format and level.
func (o Options) Logger() *slog.Logger {
	opts := &slog.HandlerOptions{Level: o.LogLevel}
	if o.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(o.Log, opts))
	}
	return slog.New(slog.NewTextHandler(o.Log, opts))
}

// prepare creates the components that do not need the state folder, including the plug-ins.
func (p *process) prepare() (*courier, error) {
	f := p.files
	c := &courier{
		process: p, cfg: f.cfg, env: p.opts.Env, idle: f.idle, directoryConfig: f.directory, fleet: f.fleet, adminPath: f.plugins.Admin,
		loop: core.NewLoop(time.Now), log: p.log,
	}
	c.plugins = plugin.New(plugin.Config{
		Loop: c.loop, Log: c.log, HostCommand: p.opts.Host, BodyDestinations: f.plugins.Bodies, StartTimeout: f.plugins.StartWithin,
		AnswerTimeout: p.opts.PluginBudget,
	})
	if len(f.manifests) > 0 {
		why, done := "", false
		c.plugins.Replace(f.manifests, func(err string) { why, done = err, true })
		if c.loop.RunUntil(func() bool { return done }); why != "" {
			return nil, errors.New(why)
		}
	}
	return c, nil
}

// build creates the other components, on a folder that this process owns. It takes ownership of the
// handover state e, which may be nil.
func (c *courier) build(e *handover.State) (messages []*store.Message, err error) {
	cfg, pushCfg := c.cfg, c.process.files.push
	if c.engine, err = net.New(net.Config{
		Post: c.loop.Post, Log: c.log, MaxConns: max(cfg.Limits.Sockets-reservedDescriptors, cfg.Limits.Sockets/2), Reserved: reservedConns(cfg),
		MaxUnsentBytes: memoryShare(cfg, unsentShare),
	}); err != nil {
		return nil, err
	}
	// Bind first: an address in use must fail the start before anything in the folder is changed.
	if err := c.bindListeners(e, pushCfg.Listen); err != nil {
		return nil, err
	}
	c.process.stepDone("address")
	inFlight := map[uint64]bool{}
	if e != nil {
		for _, x := range e.Calls {
			inFlight[x.Seq] = x.FD >= 0
		}
	}
	c.journal, messages, err = store.Load(store.Options{
		Dir: cfg.StateDir, Bytes: cfg.StateBytes() - c.directoryConfig.Room() - exclusions.DiskSpace(), Retain: pushCfg.Retain, Log: c.log,
		RememberUntil: core.Until(cfg.Settings),
		StillInFlight: func(seq uint64) bool { return inFlight[seq] },
	})
	if err != nil {
		return nil, err
	}
	c.process.stepDone("journal")
	c.platform = platform.New(platform.Config{
		Loop: c.loop, Engine: c.engine, Log: c.log, FrontIndex: platformFrontNumber, Listen: cfg.Listen,
		Discovery: cfg.Discovery, Names: cfg.Names, ReportColumns: cfg.ReportColumns, Settings: cfg.Settings,
		Lists: platform.ListLimits{Bytes: c.idle.ListBytes, Entries: c.idle.ListEntries}, OnStep: c.onPlatformStep,
		AnswerSettleTime: c.process.opts.AnswerSettleTime, MaxIncompleteBytes: memoryShare(cfg, incompleteShare),
		MaxIncompleteAnswerBytes: memoryShare(cfg, incompleteAnswerShare), Router: c.newRouter(messages),
	})
	c.push = push.New(push.Config{
		Loop: c.loop, Engine: c.engine, Log: c.log, FrontIndex: pushFrontNumber, Push: pushCfg, API: c.process.api, Lifecycle: c.process.life,
		ReportColumns: cfg.ReportColumns, Settings: cfg.Settings, MaxIncompleteBytes: memoryShare(cfg, incompleteShare),
		MaxIncompleteAnswerBytes: memoryShare(cfg, incompleteAnswerShare),
	})
	coreCfg := core.Config{
		Loop: c.loop, Log: c.log, Journal: c.journal, Settings: cfg.Settings,
		Fronts:   []core.Front{platformFrontNumber: c.platform, pushFrontNumber: c.push},
		Dormancy: &c.idle.Dormancy, Directories: map[int]core.Directory{platformFrontNumber: c.directoryConfig.Directory},
	}
	if r := c.platform.Router; r != nil {
		coreCfg.ListedShare = func(front int) float64 {
			if front == platformFrontNumber {
				return r.Share()
			}
			return 1
		}
	}
	c.openSideFiles(&coreCfg, e)
	c.exclusionFile = exclusions.Open(cfg.StateDir, c.log)
	coreCfg.Exclusions = c.exclusionFile
	if c.idle.StorePath != "" {
		c.idleStore, err = idlestore.Open(idlestore.Options{
			Path: c.idle.StorePath, MaxBytes: c.idle.StoreBytes, MaxAge: c.idle.Dormancy.MaxAge,
			Post: c.loop.Post, Log: c.log, Now: time.Now,
		})
		if err != nil { // the store is optional: continue without it
			c.log.Warn("no idle store", "err", err)
		} else {
			coreCfg.SnapshotStore = c.idleStore
		}
	}
	c.openPeerSocket(&coreCfg)
	coreCfg.Plugins, coreCfg.MaxDecisionAge = c.plugins, c.process.opts.PluginBudget
	if c.core, err = core.New(coreCfg); err == nil && c.process.previousCounts != nil {
		c.core.RestoreCounts(*c.process.previousCounts)
	}
	c.process.stepDone("module")
	return messages, err
}

// memoryShare returns a share of the machine's memory in bytes.
func memoryShare(cfg *config.Config, share float64) int {
	return int(float64(cfg.Limits.MemoryMB<<20) * share)
}

// reservedConns returns the connections that are reserved, whatever clients and targets need, for a
// courier's essential communication: the discovery watch, a notice and, with a second address, two
// connections there, so that one client is answered while another connects.
func reservedConns(cfg *config.Config) map[string]int {
	n := map[string]int{platform.WatchKind: 1, platform.NoticeKind: 1}
	if cfg.Console != "" {
		n[console.ListenerKind] = 2
	}
	return n
}

// bindListeners binds the clients' addresses, or continues to use the listeners that were handed
// over.
func (c *courier) bindListeners(e *handover.State, pushListen string) error {
	if e != nil {
		for i, l := range e.Listeners {
			if l.FD >= 0 {
				if err := c.engine.Inherit(l.Kind, l.FD); err != nil {
					c.log.Warn("cannot take over a listener", "kind", l.Kind, "err", err)
				}
				e.Listeners[i].FD = -1
			}
		}
	}
	if err := c.engine.Reserve(platform.ListenerKind, c.cfg.Listen); err != nil || pushListen == "" {
		return err
	}
	return c.engine.Reserve(push.ListenerKind, pushListen)
}

// descriptions reads the push front's API documents if the front is enabled.
func descriptions(p *config.Push) (*describe.API, *describe.Lifecycle, error) {
	if p.Listen == "" {
		return nil, nil, nil
	}
	text, err := os.ReadFile(p.OpenAPI)
	if err != nil {
		return nil, nil, fmt.Errorf("read the OpenAPI document: %w", err)
	}
	api, err := describe.OpenAPI(p.OpenAPI, text)
	if err != nil {
		return nil, nil, err
	}
	if text, err = os.ReadFile(p.AsyncAPI); err != nil {
		return nil, nil, fmt.Errorf("read the AsyncAPI document: %w", err)
	}
	life, err := describe.AsyncAPI(p.AsyncAPI, text)
	return api, life, err
}

// start opens the fronts and restores what the previous process left behind or handed over.
func (c *courier) start(messages []*store.Message, e *handover.State) error {
	if err := c.push.Start(c.core, messages); err != nil {
		return err
	}
	excluded := exclusions.New(c.cfg.Settings.WarmUp)
	exclusions.Read(c.cfg.StateDir, excluded, c.log)
	c.core.RestoreExclusions(excluded)
	if e != nil {
		c.core.TakeOver(e)
	} else {
		c.core.RestoreLearned(c.learnedRecords)
	}
	c.learnedRecords = nil
	c.core.RestoreSettled(c.journal.SettledMayHaveRun())
	if err := c.platform.Start(c.core, c.startList); err != nil {
		return err
	}
	if c.startList.Present && len(messages) > 0 && (e == nil || !e.ListConfirmed) {
		c.core.Pause(directoryTimeout)
	}
	c.core.Restore(messages) // before the loop runs, so that no new message comes first
	c.process.stepDone("restored")
	if e != nil {
		c.platform.AdoptClients(e.Clients)
		c.log.Info("taken over", "clients", len(e.Clients), "calls", len(e.Calls), "known", len(e.Destinations), "keys", len(e.Keys),
			"ms", time.Since(c.process.ownerSince).Milliseconds())
		c.closeAbandonedCalls()
	}
	consoleAddr := ""
	if c.cfg.Console != "" {
		var err error
		c.console, err = console.Start(console.Config{
			Loop: c.loop, Engine: c.engine, Listen: c.cfg.Console, Ready: c.platform.Ready,
			Figures: func(done func(core.Figures)) { done(c.core.Figures(platformFrontNumber)) },
			SetExcluded: func(id string, excluded bool, done func(error)) {
				c.core.Exclude(platformFrontNumber, id, excluded, done)
			},
		})
		if err != nil {
			return err
		}
		consoleAddr = c.console.Addr()
		c.console.AdoptCallers(c.consoleConns)
	}
	c.engine.CloseInherited()
	if err := c.openAdminSocket(); err != nil {
		return err
	}
	c.openHandover()
	c.log.Info("started", "listen", c.platform.Addr(), "push", c.push.Addr(), "restored", c.core.Counters.Restored)
	if consoleAddr != "" {
		c.log.Info("second address", "listen", consoleAddr)
	}
	return nil
}

// onPlatformStep is called at the steps of the platform front's start. The last one is reported on
// the loop, after clients are told that the courier is ready; the durations of all steps are logged
// then.
func (c *courier) onPlatformStep(step platform.Step) {
	switch step {
	case platform.Listening:
		c.process.stepDone("listener")
	case platform.ListLoaded:
		c.process.stepDone("endpoints")
	case platform.Ready:
		c.loop.After(0, func() {
			if s := c.process.startSteps; s != nil {
				c.process.stepDone("ready")
				c.process.startSteps = nil
				c.log.Info("ready", "ms", float64(s.last.Sub(s.startedAt).Microseconds())/1000, "steps_ms", s,
					"restored", c.core.Counters.Restored, "endpoints", len(c.startList.Targets), "journal", c.journal.Size())
			}
		})
	}
}

// takeSignals handles the pending signals. During a handover they stay pending: they are for the next
// owner, or for the next courier of this process.
func (c *courier) takeSignals() {
	if c.handingOver {
		return
	}
	for _, s := range c.process.signals.take() {
		c.signal(s)
	}
}

func (c *courier) signal(s os.Signal) {
	switch s {
	case syscall.SIGUSR1:
		c.logCounters("counters")
	case syscall.SIGUSR2:
		runtime.GC()
		debug.FreeOSMemory()
		c.logCounters("counters")
	case syscall.SIGHUP:
		c.reload(func(string) {})
	default:
		c.drain()
	}
}

// openAdminSocket opens the admin socket if one is configured.
func (c *courier) openAdminSocket() (err error) {
	if c.adminPath == "" {
		return nil
	}
	c.adminSocket, err = admin.Listen(c.adminPath, func(r admin.Request, done func(admin.Reply)) {
		c.loop.Post(func() { c.handleAdminRequest(r, done) })
	})
	return err
}

// handleAdminRequest answers a request at the admin socket.
func (c *courier) handleAdminRequest(r admin.Request, done func(admin.Reply)) {
	switch r.Command {
	case "plugins":
		done(admin.Reply{Value: c.plugins.List()})
	case "reload":
		c.reload(func(why string) { done(admin.Reply{Error: why, Value: c.plugins.List()}) })
	case "directory":
		done(admin.Reply{Value: c.directoryStatus()})
	case "telemetry":
		done(admin.Reply{Value: c.core.Figures(platformFrontNumber)})
	default:
		done(admin.Reply{Error: fmt.Sprintf("unknown request %q: valid requests are directory, plugins, reload and telemetry", r.Command)})
	}
}

func (c *courier) logCounters(why string) {
	t := c.loop.Turns()
	values := []any{"n", &c.core.Counters, "held", c.core.Held(), "connections", c.engine.OpenCount(), "kinds", c.engine.OpenByKind(),
		"journal", c.journal.Size(), "plugins", c.plugins, "idle", c.core.DormancyStats(), "learnt", c.core.LearnedStats(), "directory", c.directoryCounts(),
		"datagrams", c.datagramCounts(), "state", c.core.Footprint(), "heap", liveHeapBytes(),
		"turns", t.Count, "longest_turn_us", t.Longest.Microseconds()}
	if f, divided := c.platform.PartitionFigures(); divided {
		values = append(values, slog.Group("partitions", "owned", f.Owned, "listed", f.Listed, "wanted", f.AwaitingList, "pins", f.Pins, "unreached", f.Unreachable))
	}
	c.log.Info(why, values...)
}

// liveHeapBytes returns the heap bytes in use after the last garbage collection.
func liveHeapBytes() uint64 {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}

// drain shuts the courier down in order: it accepts no new messages, lets clients go, finishes what
// it can and leaves the rest in the journal.
func (c *courier) drain() {
	c.draining = true
	c.log.Info("draining", "held", c.core.Held())
	c.core.Drain()
	c.platform.Drain()
	c.push.Drain()
	c.loop.After(drainListenTime, func() {
		c.engine.Stop()
		c.endIfDone()
	})
	spent := c.process.signals.sinceTermination()
	c.loop.After(drainDecideTime-spent, func() { c.core.Freeze(func() { c.decisionsStopped = true }) })
	c.loop.After(drainTimeout-spent, c.loop.End)
}

// endIfDone ends a draining courier that holds no more messages, or whose decisions have stopped
// with no call in flight. Clients may send until then, so it waits for partly read and unanswered
// requests and for unconfirmed notices.
func (c *courier) endIfDone() {
	done := c.core.Held() == 0 || c.decisionsStopped
	if done && c.platform.NoticesSettled() && !c.platform.HasUnanswered() && !c.push.HasUnanswered() {
		c.loop.End()
		return
	}
	c.loop.After(drainPollInterval, c.endIfDone)
}
