// Package push is the front for HTTP/2 push gateways, modelled on Web Push
// (RFC 8030): clients POST messages and GET what became of them, and targets
// are called over HTTP/2. Both go through the same core as the platform's.
// Connections are cleartext HTTP/2 with prior knowledge.
package push

import (
	"fmt"
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/describe"
	"snowjunction/internal/groups"
	"snowjunction/internal/h2pool"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/h2"
	"snowjunction/internal/store"
)

// Config is what the front needs to know.
type Config struct {
	Loop     *core.Loop
	Engine   *net.Engine
	Log      *slog.Logger
	Number   int // of this front in the core
	Push     *config.Push
	API      *describe.API
	Life     *describe.Life
	Columns  []string // of the load report
	Settings snowjunction.Settings
}

// Front is the push front.
type Front struct {
	Config
	core     *core.Core
	addr     string
	draining bool
	clients  map[*client]bool
	messages map[string]*store.Message // by id, until forgotten
	kept     []*store.Message          // ended ones, in order of their end
	waiting  map[string][]*waiter      // by id, of GETs that wait for the end
	gone     map[string]bool           // ids whose ends were kept and are forgotten, the last goneMost
	goneList []string                  // of these, the oldest first
	topics   map[topic]string          // the id of the last message taken with a topic, until it ends
	topicOf  map[string]topic          // and back
}

// topic is what a message replaces another by (RFC 8030, 5.4).
type topic struct {
	destination uint32
	tenant      string
	name        string
}

// replace withdraws the message that the one just taken with that topic replaces, where
// none of that is out, on the next turn: not within the core's own answer.
func (f *Front) replace(t topic, id string) {
	if t.name == "" {
		return
	}
	old, there := f.topics[t]
	f.topics[t], f.topicOf[id] = id, t
	if there && old != id {
		delete(f.topicOf, old)
		f.Loop.Post(func() { f.core.Delete(f.Number, old) })
	}
}

// pool is how the connections to one target are bounded.
func (f *Front) pool() h2pool.Config {
	return h2pool.Config{
		Most: f.Push.TargetConns, Age: f.Push.ConnAge, // config gives the default; under 1 is 1
		Idle: time.Duration(float64(f.Settings.ConnIdle) * reuseWithin),
	}
}

// goneMost bounds how many forgotten ids are answered 410 rather than 404.
const goneMost = 1024

// forgot remembers that an id's end was told and is no longer kept.
func (f *Front) forgot(id string) {
	if len(f.goneList) >= goneMost {
		delete(f.gone, f.goneList[0])
		f.goneList = f.goneList[1:]
	}
	f.gone[id] = true
	f.goneList = append(f.goneList, id)
}

// keptMost bounds how many ended messages can be asked about.
const keptMost = 2048

// New returns a front that does nothing yet.
func New(cfg Config) *Front {
	return &Front{
		Config: cfg, clients: map[*client]bool{}, messages: map[string]*store.Message{},
		waiting: map[string][]*waiter{}, gone: map[string]bool{}, topics: map[topic]string{}, topicOf: map[string]topic{},
	}
}

// Start listens, where the front's file says so, and lists its targets.
func (f *Front) Start(c *core.Core, restored []*store.Message) error {
	f.core = c
	for _, m := range restored {
		if int(m.Origin) == f.Number {
			f.messages[m.ID] = m
			if m.Settled {
				f.keep(m)
			}
		}
	}
	if err := f.Relist(f.Push.Targets); err != nil {
		return err
	}
	if f.Push.Listen == "" {
		return nil
	}
	addr, err := f.Engine.Listen(ListenerKind, f.Push.Listen, f.accept, f.spareClient)
	f.addr = addr
	return err
}

// ListenerKind is the front's listener, in a handover.
const ListenerKind = "push client"

// Addr is the address that clients reach; "": none.
func (f *Front) Addr() string { return f.addr }

// Relist takes the front's targets anew. Where they cannot be taken those held
// stay.
func (f *Front) Relist(targets []core.Entry) error {
	news, err := groups.ListOf(true, true, targets)
	if err == nil {
		err = f.core.Listed(f.Number, news)
	}
	if err != nil {
		return fmt.Errorf("the push front's targets: %w", err)
	}
	return nil
}

// Target makes the target of an endpoint.
func (f *Front) Target(e core.Entry) core.Target { return &target{front: f, entry: e} }

// Ended lets those know who wait for the end. Whoever asks later is told as
// long as it is kept.
func (f *Front) Ended(m *store.Message) {
	f.core.Settled(m)
	if t, ok := f.topicOf[m.ID]; ok {
		delete(f.topicOf, m.ID)
		delete(f.topics, t)
	}
	f.keep(m)
	waiters := f.waiting[m.ID]
	delete(f.waiting, m.ID)
	for _, w := range waiters {
		w.timer.Stop()
		w.client.status(w.stream, m, w.wait)
		w.client.write()
	}
}

func (f *Front) keep(m *store.Message) {
	f.kept = append(f.kept, m)
	f.expire()
}

// expire forgets the ends that have been kept for long enough.
func (f *Front) expire() {
	for len(f.kept) > 0 {
		m := f.kept[0]
		if len(f.kept) <= keptMost && f.Loop.Now().Sub(m.EndedAt) < f.Push.Retain {
			return
		}
		if f.messages[m.ID] == m {
			delete(f.messages, m.ID)
			f.forgot(m.ID)
		}
		f.kept = f.kept[1:]
	}
}

// Drain has the clients turn elsewhere: their streams are answered, further
// ones are not taken.
func (f *Front) Drain() {
	f.draining = true
	for _, list := range f.waiting {
		for _, w := range list {
			w.timer.Stop()
			w.client.status(w.stream, f.messages[w.id], w.wait)
		}
	}
	f.waiting = map[string][]*waiter{}
	for c := range f.clients {
		c.h2.GoAway()
		c.write()
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
	for c := range f.clients {
		c.conn.Close(net.Shutdown)
	}
}

// limits are those of both sides of the front.
func limits(body int) h2.Limits {
	return h2.Limits{Streams: 100, HeaderBytes: 16 << 10, Body: body, Buffered: 1 << 20}
}

// idleAfter ends a client's connection without streams, spareAfter where its
// place is needed.
const (
	idleAfter  = 2 * time.Minute
	spareAfter = 2 * time.Second
)
