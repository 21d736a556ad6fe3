package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"snowjunction/internal/core"
	"snowjunction/internal/dircache"
	"snowjunction/internal/front/console"
	"snowjunction/internal/handover"
	"snowjunction/internal/learnedstate"
	"snowjunction/internal/net"
)

const (
	unmovableTimeout     = 500 * time.Millisecond // for calls that cannot be handed over
	quiesceTimeout       = 150 * time.Millisecond // for other work, while decisions stand still
	quiescePollInterval  = 2 * time.Millisecond   // between checks whether they are done
	haltTimeout          = time.Second            // for the engine to stop
	ownerQueryTimeout    = 500 * time.Millisecond // for a query of a caller at the second address
	maxHandoverListBytes = 16 << 20               // bytes of the directory's list that are handed over at most
)

// openHandover starts accepting handover requests. If that is not possible, this process runs
// without.
func (c *courier) openHandover() {
	if c.process.lock == nil {
		return
	}
	var err error
	c.handoverServer, err = handover.Open(c.cfg.StateDir, c.handleHandover, func(err error) {
		c.log.Warn("a handover was refused", "err", err)
	})
	if err != nil {
		c.log.Warn("no handovers: another process has to wait until this one ends", "err", err)
	}
}

// handleHandover handles a connection of another process, given its first frame.
func (c *courier) handleHandover(link *handover.Link, f handover.Frame, err error) {
	reply := func(k handover.Kind, text string) {
		_ = link.Send(handover.Frame{Kind: k, Text: text, FD: -1})
		link.Close()
	}
	switch {
	case err != nil: // another version: the new process must replace this one, without a handover
		c.log.Warn("a handover was refused: this process ends and the other starts without its state", "err", err)
		reply(handover.KindRefusal, fmt.Sprintf("this process speaks version %d: it ends", handover.Version))
		c.process.signals.add(syscall.SIGTERM)
	case f.Kind == handover.KindHello:
		c.loop.Post(func() {
			if c.draining || c.handingOver {
				go reply(handover.KindRefusal, "it ends")
				return
			}
			c.startHandover(link)
		})
	case f.Kind == handover.KindQuery:
		answer := make(chan string, 1)
		c.loop.Post(func() { c.answerQuery(f.Text, func(text string) { answer <- text }) })
		select {
		case text := <-answer:
			reply(handover.KindAnswer, text)
		case <-time.After(handover.QueryTimeout):
			link.Close()
		}
	default:
		c.log.Warn("a handover was refused", "err", handover.ErrFrame, "kind", f.Kind)
		link.Close()
	}
}

// answerQuery answers a request that a process forwards for its clients after it has handed over.
func (c *courier) answerQuery(text string, done func(string)) {
	if c.handingOver {
		return // the client's process asks the next owner again
	}
	command, id, _ := strings.Cut(text, " ")
	switch command {
	case "exclude", "include":
		c.core.Exclude(platformFrontNumber, id, command == "exclude", func(err error) {
			if err != nil {
				done("error " + err.Error())
				return
			}
			done("done")
		})
	case "telemetry":
		b, err := json.Marshal(c.core.Figures(platformFrontNumber))
		if err != nil {
			b = nil
		}
		done(string(b))
	case "reload":
		c.reload(func(string) {})
		done("done")
	default:
		done("error unknown call")
	}
}

// startHandover begins a handover. Calls that cannot be handed over are awaited first, and no more of
// them are made. All else goes on meanwhile: messages are accepted, sent and ended.
func (c *courier) startHandover(link *handover.Link) {
	c.handingOver, c.link = true, link
	c.log.Info("handing over", "held", c.core.Held(), "connections", c.engine.OpenCount())
	c.push.PauseCalls()
	c.awaitQuiet(unmovableTimeout, func() bool { return c.core.UnmovableCalls() == 0 }, c.stopDecisions)
}

// stopDecisions stops decisions, waits until work in progress can be continued by another process, and
// collects the state.
func (c *courier) stopDecisions() {
	c.core.Suspend()
	c.platform.PauseOutgoing()
	c.push.Drain()
	if c.console != nil {
		c.console.PauseCalls()
	}
	c.engine.StopAccepting(func(fds map[string]int) {
		quiet := func() bool {
			return c.core.HandoverPending() == 0 && c.platform.OutgoingIdle() && !c.reloads.unfinished()
		}
		c.awaitQuiet(quiesceTimeout, quiet, func() {
			if unready := c.core.HandoverPending(); unready > 0 || !c.platform.OutgoingIdle() {
				c.log.Warn("not everything was finished before the handover", "calls", unready, "notices", !c.platform.OutgoingIdle())
			}
			c.collectState(fds)
		})
	})
}

// awaitQuiet calls then once quiet returns true, or after the timeout.
func (c *courier) awaitQuiet(timeout time.Duration, quiet func() bool, then func()) {
	limit := c.loop.Now().Add(timeout)
	var poll func()
	poll = func() {
		if quiet() || !c.loop.Now().Before(limit) {
			then()
			return
		}
		c.loop.After(quiescePollInterval, poll)
	}
	poll()
}

// collectState collects the handover state, detaches its connections from this process and ends the
// loop.
func (c *courier) collectState(fds map[string]int) {
	e := &handover.State{}
	c.consoleFD = -1
	for kind, fd := range fds {
		if kind == console.ListenerKind {
			c.consoleFD = fd
			continue
		}
		e.Listeners = append(e.Listeners, handover.Listener{Kind: kind, FD: fd})
	}
	_, _, e.ListConfirmed = c.core.ListStatus(platformFrontNumber)
	e.List = c.encodeList()
	takeCalls, takeClients := c.core.HandOver(), c.platform.DetachClients()
	takeConsoleConns := func() []handover.Conn { return nil }
	if c.console != nil {
		takeConsoleConns = c.console.DetachCallers()
	}
	c.platform.Close()
	c.push.Close()
	halted := false
	done := func() {
		if halted {
			return
		}
		halted = true
		e.Clients, c.consoleConns = takeClients(), takeConsoleConns()
		takeCalls(e)
		if c.reloads.unfinished() { // the next owner may have read its files before this reload
			c.process.signals.add(syscall.SIGHUP)
		}
		c.handoverState = e
		c.loop.End()
	}
	c.engine.Halt(done)
	c.loop.After(haltTimeout, func() {
		c.log.Error("the network engine does not stop: data that it has read may be lost")
		done()
	})
}

// encodeList returns the directory's list, encoded as on disk.
func (c *courier) encodeList() []byte {
	generation, agent, known := c.platform.CurrentList()
	if !known {
		return nil
	}
	confirmedAt := c.loop.Now()
	if _, age, live := c.core.ListStatus(platformFrontNumber); !live {
		confirmedAt = confirmedAt.Add(-age)
	}
	partitions, of := c.platform.LoadedPartitions()
	w := dircache.NewWriter(dircache.Head{
		ConfirmedAt: confirmedAt, Generation: generation, Agent: agent, Zones: dircache.Names(c.cfg.Names.Zones), Kinds: dircache.Names(c.cfg.Names.Kinds),
		Partitions: partitions, Covered: of,
	}, maxHandoverListBytes)
	for e := range c.core.Table(platformFrontNumber).EntriesFrom(0) {
		w.Add(e)
	}
	b := w.Bytes()
	if c.cache != nil && len(b) <= c.directoryConfig.CacheBytes {
		c.cache.Put(b)
	}
	return b
}

// close closes all components. State kept next to the journal is written before it returns.
func (c *courier) close() {
	if c.handoverState == nil {
		c.platform.Close()
		c.push.Close()
	}
	c.handoverServer.Close()
	if c.datagrams != nil {
		c.datagrams.Close()
	}
	if c.adminSocket != nil {
		c.adminSocket.Close()
	}
	c.plugins.Close()
	if c.idleStore != nil {
		c.idleStore.Close()
	}
	if c.cache != nil {
		c.cache.Close()
	}
	if c.learnedStore != nil {
		if c.handoverState != nil {
			c.learnedStore.Put(c.loadedDestinations())
		}
		c.learnedStore.Close()
	}
	c.exclusionFile.Close()
	c.journal.Close()
	c.logCounters("ended")
}

// loadedDestinations returns the state of loaded destinations that is handed over, as a fallback
// for an ordinary restart if both processes die.
func (c *courier) loadedDestinations() (out []learnedstate.Record) {
	for _, k := range c.handoverState.Destinations {
		if k.Loaded {
			out = append(out, learnedstate.Record{Destination: k.Destination, At: k.At, Snapshot: k.Snapshot})
		}
	}
	return out
}

// closeAbandonedCalls closes the calls that were taken over and whose result is no longer needed.
func (c *courier) closeAbandonedCalls() {
	for _, x := range c.core.UnclaimedCalls() {
		if x.FD >= 0 {
			_ = unix.Close(x.FD)
		}
	}
}

// serveAfterHandover answers at the second address after a handover, until the process is told to
// end or maxServeAfterHandover has passed. It returns true if the folder has no owner any more and
// this process owns it again.
func (p *process) serveAfterHandover(consoleConns []handover.Conn, consoleFD int) (owns bool) {
	loop := core.NewLoop(time.Now)
	engine, err := net.New(net.Config{Post: loop.Post, Log: p.log, MaxConns: reservedDescriptors})
	if err != nil {
		p.log.Error("ends immediately after the handover", "err", err)
		return false
	}
	var front *console.Front
	if consoleFD >= 0 {
		if err = engine.Inherit(console.ListenerKind, consoleFD); err == nil {
			front, err = console.Start(console.Config{
				Loop: loop, Engine: engine, Listen: p.files.cfg.Console, Ready: func() bool { return false },
				Figures:     func(done func(core.Figures)) { p.ownerFigures(loop, done) },
				SetExcluded: func(id string, out bool, done func(error)) { p.forwardExclusion(loop, id, out, done) },
			})
		}
		if err != nil {
			p.log.Error("the second address is closed after the handover", "err", err)
		} else {
			front.AdoptCallers(consoleConns)
		}
	}
	p.signals.setWake(func() {
		loop.Post(func() {
			for _, s := range p.signals.take() {
				switch s {
				case syscall.SIGHUP:
					go p.forwardReload()
				case syscall.SIGTERM, syscall.SIGINT:
					loop.End()
				}
			}
		})
	})
	loop.After(maxServeAfterHandover, loop.End)
	var pollLock func()
	pollLock = func() {
		if loop.Ended() {
			return
		}
		if lock, err := handover.Acquire(p.stateDir); err == nil {
			p.lock, owns = lock, true
			p.log.Warn("owns the folder again", "why", "the process that took it over is gone")
			loop.End()
			return
		}
		loop.After(lockPollInterval, pollLock)
	}
	loop.After(lockPollInterval, pollLock)
	loop.Post(debug.FreeOSMemory)
	loop.Run()
	p.signals.setWake(nil)
	if owns { // the process that is gone may have served with newer files than this one has read
		p.signals.add(syscall.SIGHUP)
	}
	halted := make(chan struct{})
	engine.Stop()
	engine.Halt(func() { close(halted) })
	limit := time.Now().Add(haltTimeout)
	loop.RunUntil(func() bool {
		select {
		case <-halted:
			return true
		default:
			return time.Now().After(limit)
		}
	})
	if !owns {
		p.log.Info("ended after the handover")
	}
	return owns
}

// queryOwner sends a request to the folder's owner and returns its answer. Without an answer it is retried
// until the timeout: the owner may change, and the next one does not listen immediately.
func (p *process) queryOwner(request string, timeout time.Duration) (string, error) {
	lastTry := time.Now().Add(timeout - ownerPollInterval)
	for {
		answer, err := p.askOwner(request)
		if err == nil || time.Now().After(lastTry) {
			return answer, err
		}
		time.Sleep(ownerPollInterval)
	}
}

// askOwner sends a request to the folder's owner once.
func (p *process) askOwner(request string) (string, error) {
	link, err := handover.Dial(p.stateDir)
	if err != nil {
		return "", err
	}
	defer link.Close()
	if err := link.Send(handover.Frame{Kind: handover.KindQuery, Text: request, FD: -1}); err != nil {
		return "", err
	}
	f, err := link.Receive(handover.QueryTimeout)
	if err == nil && f.Kind != handover.KindAnswer {
		err = handover.ErrFrame
	}
	return f.Text, err
}

// forwardReload tells the folder's owner to reload its files.
func (p *process) forwardReload() {
	if _, err := p.queryOwner("reload", maxServeAfterHandover); err != nil {
		p.log.Error("the owner was not told to read its configuration again", "err", err)
	}
}

// ownerFigures reports this process's final counts together with the owner's current state. Open
// messages are counted by the owner.
func (p *process) ownerFigures(loop *core.Loop, done func(core.Figures)) {
	figures := p.previousFigures
	figures.Open = 0
	go func() {
		text, err := p.queryOwner("telemetry", ownerQueryTimeout)
		var current core.Figures
		if err == nil {
			err = json.Unmarshal([]byte(text), &current)
		}
		if err == nil {
			figures.Entries, figures.OutOfRotation = current.Entries, current.OutOfRotation
		}
		loop.Post(func() { done(figures) })
	}()
}

func (p *process) forwardExclusion(loop *core.Loop, id string, out bool, done func(error)) {
	command := "include "
	if out {
		command = "exclude "
	}
	go func() {
		text, err := p.queryOwner(command+id, ownerQueryTimeout)
		if err != nil {
			err = errors.New("the owner does not answer")
		} else if why, bad := strings.CutPrefix(text, "error "); bad {
			err = errors.New(why)
		}
		loop.Post(func() { done(err) })
	}()
}
