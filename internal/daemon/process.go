package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"snowjunction/internal/core"
	"snowjunction/internal/describe"
	"snowjunction/internal/front/console"
	"snowjunction/internal/handover"
	"snowjunction/internal/net"
)

// process holds the state that outlives the couriers of one process: after a failed handover the
// process continues with a new courier.
type process struct {
	opts Options
	log  *slog.Logger
	api  *describe.API
	life *describe.Lifecycle

	files      files // in force: those of the start with what reloads have applied since
	stateDir   string
	startSteps *startTimer    // of the first courier's start; nil once it is ready
	ownerSince time.Time      // when this process became the folder's owner
	lock       *handover.Lock // nil if the folder cannot be locked here, or another process owns it
	// Counters and figures of the previous courier of this process.
	previousCounts  *core.Counts
	previousFigures core.Figures

	signals signalQueue
}

const (
	ownerPollInterval     = 50 * time.Millisecond  // between checks of the folder's owner
	waitLogInterval       = 5 * time.Second        // between log lines about why this process waits
	maxServeAfterHandover = 10 * time.Second       // after a handover, if this process is not told to end
	lockPollInterval      = 100 * time.Millisecond // between checks of the lock after a handover
	successorTimeout      = 800 * time.Millisecond // for the successor's frames, while no process decides
	maxReclaimTries       = 25                     // attempts to take the lock back before giving up
)

// Run runs the courier until it ends. An error, always one line, means that it could not start.
func Run(opts Options) error {
	// Register first: an earlier signal would end the process immediately.
	signals := opts.Signals
	if signals == nil {
		notified := make(chan os.Signal, 4)
		signal.Notify(notified, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP)
		signals = notified
	}
	steps := newStartTimer(time.Now())
	f, err := readAll(opts.Env, nil, nil)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(f.cfg.Limits.MemoryMB<<20) * heapShare))
	p := &process{opts: opts, files: f, stateDir: f.cfg.StateDir, startSteps: steps, log: opts.Logger().With("courier", f.cfg.Name)}
	if p.api, p.life, err = descriptions(f.push); err != nil {
		return err
	}
	go func() {
		for s := range signals {
			p.signals.add(s)
		}
	}()
	p.stepDone("files")
	c, err := p.prepare()
	if err != nil {
		return err
	}
	p.stepDone("plugins")
	state, err := p.acquireFolder()
	p.stepDone("lock")
	if err != nil || state == nil && p.signals.terminationPending() {
		c.plugins.Close()
		return err
	}
	for {
		left, err := c.build(state)
		if err == nil {
			err = c.start(left, state)
		}
		if err != nil {
			if c.journal != nil {
				c.journal.Close()
			}
			return err
		}
		state = nil
		p.signals.setWake(func() { c.loop.Post(c.takeSignals) })
		c.loop.Run()
		p.signals.setWake(nil)
		c.close()
		if c.handoverState == nil {
			p.lock.Close()
			return nil
		}
		n := c.core.Counts()
		p.previousCounts, p.previousFigures = &n, c.core.Figures(platformFrontNumber)
		if p.sendHandover(c.link, c.handoverState) {
			state, p.ownerSince = c.handoverState, time.Now()
		} else {
			c.handoverState.Close()
			consoleConns, consoleFD := c.consoleConns, c.consoleFD
			c = &courier{consoleFD: -1} // release the old courier: its memory adds to the new owner's
			if !p.serveAfterHandover(consoleConns, consoleFD) {
				return nil
			}
		}
		consoleConns, consoleFD := c.consoleConns, c.consoleFD
		if c, err = p.prepare(); err != nil {
			return err
		}
		if c.consoleConns = consoleConns; consoleFD >= 0 && state != nil {
			state.Listeners = append(state.Listeners, handover.Listener{Kind: console.ListenerKind, FD: consoleFD})
		}
	}
}

// stepDone records a step of the start.
func (p *process) stepDone(step string) {
	if p.startSteps != nil {
		p.startSteps.stepDone(step, time.Now())
	}
}

// acquireFolder returns once this process owns the folder: the folder was free, or its owner handed
// it over with its state. Otherwise it waits, and logs why, until the process is told to end.
func (p *process) acquireFolder() (*handover.State, error) {
	dir := p.stateDir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("open the journal: %w", err)
	}
	lastLogged, lastReason, ownerSeen := time.Time{}, "", false
	for !p.signals.terminationPending() {
		lock, err := handover.Acquire(dir)
		if err == nil {
			p.lock = lock
			return nil, nil
		}
		if !errors.Is(err, handover.ErrOwned) {
			p.log.Warn("cannot lock the folder; make sure that no other process uses it", "err", err)
			return nil, nil
		}
		if !ownerSeen {
			if err := p.prepareTakeover(); err != nil {
				return nil, err // fail before the owner gives up anything
			}
			ownerSeen = true
		}
		state, err := p.requestHandover(dir)
		if err == nil {
			return state, nil
		}
		if now := time.Now(); now.Sub(lastLogged) >= waitLogInterval || err.Error() != lastReason {
			lastLogged, lastReason = now, err.Error()
			p.log.Warn("waits for the folder's owner to end", "why", lastReason)
		}
		time.Sleep(ownerPollInterval)
	}
	return nil, nil
}

// prepareTakeover prepares this process to take over from the folder's owner. The owner may be told to
// reload its files until then, so this process reloads them as well once it owns the folder.
func (p *process) prepareTakeover() error {
	p.signals.add(syscall.SIGHUP)
	if addr := p.files.cfg.Console; addr != "" {
		return net.CheckAddress(console.ListenerKind, addr)
	}
	return nil
}

// requestHandover asks the owner for a handover.
func (p *process) requestHandover(dir string) (*handover.State, error) {
	link, err := handover.Dial(dir)
	if err != nil {
		return nil, err
	}
	defer link.Close()
	if err := link.Send(handover.Frame{Kind: handover.KindHello, Text: p.files.cfg.Name, FD: -1}); err != nil {
		return nil, err
	}
	var successor handover.Successor
	collector := handover.Collector{}
	for {
		f, err := link.Receive(handover.StepTimeout)
		event := handover.Broken
		switch {
		case err != nil:
		case f.Kind == handover.KindRefusal:
			err = fmt.Errorf("the owner does not hand over: %s", f.Text)
		case f.Kind == handover.KindLock:
			event = handover.GotLock
		default:
			var whole bool
			if whole, err = collector.Add(f); err == nil && !whole {
				continue
			}
			if err == nil {
				event = handover.GotState
			}
		}
		switch successor.On(event) {
		case handover.ConfirmState:
			if err := link.Send(handover.Frame{Kind: handover.KindReady, FD: -1}); err == nil {
				continue
			}
		case handover.TakeOwnership:
			p.lock, p.ownerSince = handover.LockFromDescriptor(f.FD), time.Now()
			// The lock has arrived even if the predecessor does not receive this frame.
			_ = link.Send(handover.Frame{Kind: handover.KindOwned, FD: -1})
			return &collector.State, nil
		}
		if f.Kind == handover.KindLock && err == nil {
			_ = unix.Close(f.FD)
		}
		collector.State.Close()
		if err == nil {
			err = handover.ErrFrame
		}
		return nil, err
	}
}

// sendHandover hands the state over. It returns true if this process remains the owner; the state
// is then still its own, except for descriptors that were closed meanwhile.
func (p *process) sendHandover(link *handover.Link, e *handover.State) bool {
	defer link.Close()
	var predecessor handover.Predecessor
	predecessor.On(handover.GotHello)
	event := handover.Quiesced
	for {
		switch predecessor.On(event) {
		case handover.SendState:
			event = p.sendState(link, e)
		case handover.SendLock:
			if err := link.Send(handover.Frame{Kind: handover.KindLock, FD: p.lock.FD()}); err != nil {
				p.log.Warn("not handed over", "step", "lock", "err", err)
				return true // the lock was not sent
			}
			p.lock.Close()
			p.lock = nil
			event = handover.Broken
			if f, err := link.Receive(successorTimeout); err == nil && f.Kind == handover.KindOwned {
				event = handover.GotOwned
			}
		case handover.Exit:
			p.log.Info("handed over", "clients", len(e.Clients), "calls", len(e.Calls))
			return false
		case handover.Reclaim:
			for range maxReclaimTries {
				lock, err := handover.Acquire(p.stateDir)
				if err == nil {
					p.lock = lock
					p.log.Warn("not handed over", "step", "taken", "why", "the other process is gone")
					return true
				}
				time.Sleep(lockPollInterval / 5)
			}
			p.log.Warn("handed over", "why", "another process owns the folder without having confirmed it")
			return false
		default:
			return true
		}
	}
}

// sendState sends the state and waits for its confirmation. If both processes together would exceed
// the descriptor limit, each descriptor is closed here once it is sent.
func (p *process) sendState(link *handover.Link, e *handover.State) handover.Event {
	n := 0
	e.EachDescriptor(func(*int) { n++ })
	var err error
	nearLimit := 2*n+2*reservedDescriptors > p.files.cfg.Limits.Sockets
	for f := range e.Frames {
		if err = link.Send(f); err != nil {
			break
		}
		if nearLimit && (f.Kind == handover.KindClient || f.Kind == handover.KindCall) {
			e.EachDescriptor(func(fd *int) {
				if *fd == f.FD {
					_ = unix.Close(*fd)
					*fd = -1
				}
			})
		}
	}
	if err == nil {
		var f handover.Frame
		if f, err = link.Receive(successorTimeout); err == nil && f.Kind == handover.KindReady {
			return handover.GotReady
		}
	}
	p.log.Warn("not handed over", "step", "estate", "err", err)
	return handover.Broken
}
