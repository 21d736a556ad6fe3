// Package push is the front for HTTP/2 push gateways, modelled on Web Push (RFC 8030): clients POST
// messages and GET their status, and targets are called over HTTP/2. Both use the same core as the
// platform front. Connections are cleartext HTTP/2 with prior knowledge.
package push

import (
	"fmt"
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/describe"
	"snowjunction/internal/front"
	"snowjunction/internal/groups"
	"snowjunction/internal/h2pool"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/h2"
	"snowjunction/internal/store"
)

// Config holds the front's dependencies and settings.
type Config struct {
	Loop          *core.Loop
	Engine        *net.Engine
	Log           *slog.Logger
	FrontIndex    int // index of this front in the core
	Push          *config.Push
	API           *describe.API
	Lifecycle     *describe.Lifecycle
	ReportColumns []string // names of the values of a load report
	Settings      snowjunction.Settings
	// MaxIncompleteBytes limits what the incomplete requests of all clients hold together. Zero means no
	// limit.
	MaxIncompleteBytes int
	// MaxIncompleteAnswerBytes limits what the incomplete answers of all targets hold together. Zero means
	// no limit.
	MaxIncompleteAnswerBytes int
}

// Front is the push front. It belongs to the loop's goroutine.
type Front struct {
	Config
	core            *core.Core
	addr            string
	draining        bool
	callsPaused     bool // a handover is in progress: no more calls
	incompleteBytes int  // held by the incomplete requests of all clients
	answers         front.AnswerBudget
	clients         map[*client]bool
	messages        map[string]*store.Message // by id, until forgotten
	ended           []*store.Message          // ended messages, in the order in which they ended
	waiting         map[string][]*waiter      // GETs that wait for the final state, by message id
	gone            map[string]bool           // ids of ended messages that are forgotten, at most maxGoneIDs
	goneOrder       []string                  // the keys of gone, oldest first
	topics          map[topic]string          // id of the last message accepted with a topic, until it ends
	topicOf         map[string]topic          // the reverse of topics
}

// topic identifies the messages that replace each other (RFC 8030, 5.4).
type topic struct {
	destination uint32
	tenant      string
	name        string
}

// replace withdraws the message that the one just accepted replaces by its topic, unless an attempt
// of it is in flight. It does so on the next turn of the loop, because it is called from within the
// core's answer.
func (f *Front) replace(t topic, id string) {
	if t.name == "" {
		return
	}
	old, there := f.topics[t]
	f.topics[t], f.topicOf[id] = id, t
	if there && old != id {
		delete(f.topicOf, old)
		f.Loop.Post(func() { f.core.Delete(f.FrontIndex, old) })
	}
}

// poolConfig returns the limits of the connections to one target.
func (f *Front) poolConfig() h2pool.Config {
	return h2pool.Config{
		MaxConnections: f.Push.TargetConns, MaxAge: f.Push.ConnAge, // config sets a default; under 1 counts as 1
		IdleTimeout: time.Duration(float64(f.Settings.ConnIdle) * reuseShare),
	}
}

// maxGoneIDs bounds how many forgotten ids are answered with 410 rather than 404.
const maxGoneIDs = 1024

// rememberGone records that a message has ended and its state is no longer kept.
func (f *Front) rememberGone(id string) {
	if len(f.goneOrder) >= maxGoneIDs {
		delete(f.gone, f.goneOrder[0])
		f.goneOrder = f.goneOrder[1:]
	}
	f.gone[id] = true
	f.goneOrder = append(f.goneOrder, id)
}

// maxKept bounds how many ended messages can be queried.
const maxKept = 2048

// New returns a front that is not started yet.
func New(cfg Config) *Front {
	return &Front{
		Config: cfg, answers: front.AnswerBudget{MaxBytes: cfg.MaxIncompleteAnswerBytes},
		clients: map[*client]bool{}, messages: map[string]*store.Message{},
		waiting: map[string][]*waiter{}, gone: map[string]bool{}, topics: map[topic]string{}, topicOf: map[string]topic{},
	}
}

// Start restores messages of the previous process run, lists the targets, and listens if an address
// is configured.
func (f *Front) Start(c *core.Core, restored []*store.Message) error {
	f.core = c
	for _, m := range restored {
		if int(m.Origin) == f.FrontIndex {
			f.messages[m.ID] = m
			if m.Settled {
				f.addEnded(m)
			}
		}
	}
	if err := f.SetTargets(f.Push.Targets); err != nil {
		return err
	}
	if f.Push.Listen == "" {
		return nil
	}
	addr, err := f.Engine.Listen(ListenerKind, f.Push.Listen, f.accept, f.evictClient)
	f.addr = addr
	return err
}

// ListenerKind is the kind of the front's listener in a handover.
const ListenerKind = "push client"

// Addr returns the address that clients connect to; "" if the front does not listen.
func (f *Front) Addr() string { return f.addr }

// SetTargets replaces the front's targets. If the new ones are rejected, the current ones stay in use.
func (f *Front) SetTargets(targets []core.Entry) error {
	list, err := groups.ListOf(true, true, targets)
	if err == nil {
		err = f.core.UpdateList(f.FrontIndex, list)
	}
	if err != nil {
		return fmt.Errorf("cannot use the push targets: %w", err)
	}
	return nil
}

// Target returns the target for an endpoint.
func (f *Front) Target(e core.Entry) core.Target { return &target{front: f, entry: e} }

// Ended answers the clients that wait for the message to end. Its state can be queried until it is
// forgotten.
func (f *Front) Ended(m *store.Message) {
	f.core.Settled(m)
	if t, ok := f.topicOf[m.ID]; ok {
		delete(f.topicOf, m.ID)
		delete(f.topics, t)
	}
	f.addEnded(m)
	waiters := f.waiting[m.ID]
	delete(f.waiting, m.ID)
	for _, w := range waiters {
		w.timer.Stop()
		w.client.respondStatus(w.stream, m, w.wait)
		w.client.write()
	}
}

// addEnded keeps an ended message so that its state can be queried.
func (f *Front) addEnded(m *store.Message) {
	f.ended = append(f.ended, m)
	f.forgetExpired()
}

// forgetExpired forgets the ended messages whose retention time is over.
func (f *Front) forgetExpired() {
	for len(f.ended) > 0 {
		m := f.ended[0]
		if len(f.ended) <= maxKept && f.Loop.Now().Sub(m.EndedAt) < f.Push.Retain {
			return
		}
		if f.messages[m.ID] == m {
			delete(f.messages, m.ID)
			f.rememberGone(m.ID)
		}
		f.ended = f.ended[1:]
	}
}

// PauseCalls stops calls to targets: those that are not sent yet wait on their connections.
func (f *Front) PauseCalls() { f.callsPaused = true }

// Drain makes the clients switch to other couriers: open streams are answered, and new ones are not
// accepted.
func (f *Front) Drain() {
	f.draining = true
	for _, list := range f.waiting {
		for _, w := range list {
			w.timer.Stop()
			w.client.respondStatus(w.stream, f.messages[w.id], w.wait)
		}
	}
	f.waiting = map[string][]*waiter{}
	for c := range f.clients {
		c.h2.GoAway()
		c.write()
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
	for c := range f.clients {
		c.conn.Close(net.Shutdown)
	}
}

// h2Limits returns the HTTP/2 limits for both sides of the front.
func h2Limits(maxBody int) h2.Limits {
	return h2.Limits{MaxStreams: 100, MaxHeaderBytes: 16 << 10, MaxBodyBytes: maxBody, MaxBufferedBytes: 1 << 20}
}

// serverLimits returns the limits for clients: those of h2Limits, and the timeouts of their requests.
func serverLimits(maxBody int) h2.Limits {
	limits := h2Limits(maxBody)
	limits.MaxStall, limits.MaxTransfer = clientStallTimeout, clientTransferTimeout
	return limits
}

// A client connection without streams is closed after clientIdleTimeout, or after evictableAfter if
// its place is needed. A request or an answer is stalled while the client makes no progress with it. It is
// ended after clientStallTimeout without progress, or clientTransferTimeout in all. If its place is
// needed, a connection that has been stalled for stalledEvictableAfter is closed.
const (
	clientIdleTimeout     = 2 * time.Minute
	evictableAfter        = 2 * time.Second
	clientStallTimeout    = 2 * time.Second
	clientTransferTimeout = 30 * time.Second
	stalledEvictableAfter = 250 * time.Millisecond
)
