// Package core takes messages in, lets the decision module decide about them,
// and carries its decisions out. It knows no wire: fronts hand it messages and
// targets, and hear of ends.
//
// A flow, one message on its way, passes a chain of units, each in its file:
//
//	takein   a listener's request becomes a flow, or is refused as malformed
//	admit    hooks, room and the module's first look; then the journal, then +OK
//	route    target groups: which endpoints there are, for the module
//	send     an attempt is recorded and leaves
//	relay    its result goes back to the module
//	book     the end is recorded and told
//
// All of it runs on the goroutine of a Loop.
package core

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/belief"
	"snowjunction/internal/distrust"
	"snowjunction/internal/dormancy"
	"snowjunction/internal/exclusions"
	"snowjunction/internal/handover"
	"snowjunction/internal/idempotency"
	"snowjunction/internal/learnt"
	"snowjunction/internal/store"
)

// Journal is where the core keeps what it has taken on.
type Journal interface {
	Room(bytes int) bool
	Take(m *store.Message) error
	Sent(m *store.Message, at time.Time) error
	Came(m *store.Message, mayHaveRun bool, left time.Time) error
	Ended(m *store.Message, s store.State, after time.Duration, at time.Time) error
	Settle(m *store.Message) error
	Copy(m *store.Message) error
	Written() store.Written
}

// Front is a wire's own side: it brings targets and hears of ends.
type Front interface {
	// Target makes the target of an endpoint that the front has listed.
	Target(e Entry) Target
	// Ended tells the end of a message that the front has taken in. Once
	// those who handed it in know, the front calls Settled.
	Ended(m *store.Message)
}

// Plugins are asked at some moments of a flow's way. None of the calls waits:
// each returns false if no plug-in is to be asked, else done is called once,
// perhaps at once, within the plug-ins' budgets.
type Plugins interface {
	// Admit tells whether a flow may be taken on, or after how long to come back.
	Admit(m *store.Message, done func(pass bool, after time.Duration)) bool
	// Shape adds to a request.
	Shape(m *store.Message, to Entry, done func(Shape)) bool
	// Read tells what an answer means.
	Read(m *store.Message, to Entry, r Result, done func(Result)) bool
	// Reads tells whether answers to a message are read by any.
	Reads(m *store.Message) bool
	// Ended tells of an end.
	Ended(m *store.Message)
}

// Fleet is the other couriers.
type Fleet interface {
	// Tell tells one of them, by its number. What cannot be sent is lost.
	Tell(peer int, notes []snowjunction.Note)
}

// Shape is what is added to a request. It has passed the guard.
type Shape struct {
	Headers       []HeaderField
	Suffix, Query string // of the path
	Body          []byte // with HasBody: in place of the message's
	HasBody       bool
	Whole         bool // its answer is to come whole before it counts, if it does soon
}

// HeaderField is a header of a request or an answer.
type HeaderField struct{ Name, Value string }

// Config is what a core is made of.
type Config struct {
	Loop     *Loop
	Log      *slog.Logger
	Journal  Journal
	Settings snowjunction.Settings
	Plugins  Plugins // nil: none
	Fronts   []Front
	Dormancy *dormancy.Config // nil: its defaults
	Beyond   Beyond           // nil: mementos live in memory only
	Learnt   Learnt           // nil: what is learnt ends with the process
	// Directories are those of the fronts, by number, whose lists may be old or wrong;
	// what another front lists is true.
	Directories map[int]Directory
	// ListedShare is which part of all destinations a front lists, over 0; nil: each lists all.
	ListedShare func(front int) float64
	Fleet       Fleet           // nil: there is none, or nothing can be told to it
	ParkMost    time.Duration   // how old a decision to send may be when it goes; 0: 50 ms
	Exclusions  Exclusions      // nil: no endpoint can be taken out by hand
	Heard       func(front int) // nil, or called after news of a front's list, and when its directory has vouched for it
}

// Core owns the courier, the flows and the target groups.
type Core struct {
	Config
	Counters Counters

	courier  *snowjunction.Courier
	start    time.Time
	handled  time.Time // when the module was last asked
	due      *Timer
	events   []snowjunction.Event
	flows    map[snowjunction.RequestID]*flow
	ids      map[name]*flow     // by front and the id handed in, until they are over
	fresh    []*flow            // not answered yet
	waitTold map[uint32]bool    // destinations that have told a wait since the module was asked last
	asking   map[uint64][]*flow // by key: flows that wait as a plug-in is asked about an earlier one
	held     int
	asked    int // flows that wait for plug-ins, and are not held yet
	calls    int
	routes   routes
	owing    map[uint64][]*flow // by key: flows whose turn waits for the settling of an end
	unknown  map[uint64]int     // by key: ends that are not settled
	classes  map[string]int
	tenants  map[string]int
	draining bool
	frozen   bool
	hushed   bool                     // another process of this courier is to decide
	going    map[uint64]handover.Call // by their messages' numbers: calls that have been taken over
	wishes   map[string]*wish         // by endpoint: what is to last
	outs     int                      // changes to what is out by hand that are yet to last
	paused   bool                     // the first decisions wait for the directory's word
	book     *dormancy.Book
	updates  updates
	dirs     []*directory // by front; nil: what it lists is true
	picker   *learnt.Picker
	learning *Timer // until something learnt may be written
	resting  *Timer // until destinations may go to sleep
	ran      *idempotency.Book
	keys     map[idempotency.Key][]*flow        // held, or with an attempt out, by idempotency key
	before   map[idempotency.Key]*store.Message // of an earlier process that are over, and may have run; until Restore
	relayed  uint64                             // attempts whose bytes have left, or leave
	out      *exclusions.Set
	tallies  []tally // by class, and one for what is of none
	idle     func()  // called once frozen and no call is out
}

// flow is one message on its way.
type flow struct {
	msg     *store.Message
	id      snowjunction.RequestID
	class   *snowjunction.Class
	answer  AnswerFunc // nil once answered
	attempt *attempt   // the one that is out
	fresh   bool       // the module is yet to look at it for the first time
	ended   bool
	untried bool           // as a restart found it, and still
	going   *handover.Call // another process of this courier has made its attempt
}

// New returns a core. Its fronts are numbered as given.
func New(cfg Config) (*Core, error) {
	// On sockets what was sent takes a while to arrive, and the rules' clocks
	// run at the other end: the key's rest begins there and its window here.
	cfg.Settings.OrderSettle += settleSlack
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes) // the caller's stay as they were read
	for i := range cfg.Settings.Classes {
		if c := &cfg.Settings.Classes[i]; c.Effect == snowjunction.Keyed {
			c.Window = max(c.Window-windowSlack, 0)
		}
	}
	cfg.ParkMost = cmp.Or(cfg.ParkMost, parkMost)
	// No front makes probes: the module would wait for the end of one for good, and send nothing
	// to the endpoint meanwhile. Without them a message is the trial.
	cfg.Settings.Probes = false
	courier, err := snowjunction.New(cfg.Settings)
	if err != nil {
		return nil, err
	}
	sleep := dormancy.Default(cfg.Settings)
	if cfg.Dormancy != nil {
		sleep = *cfg.Dormancy
	}
	c := &Core{
		Config: cfg, book: dormancy.New(sleep), courier: courier, start: cfg.Loop.Now(),
		flows: map[snowjunction.RequestID]*flow{}, ids: map[name]*flow{},
		waitTold: map[uint32]bool{}, asking: map[uint64][]*flow{}, owing: map[uint64][]*flow{}, unknown: map[uint64]int{},
		classes: map[string]int{}, tenants: map[string]int{},
		routes: newRoutes(len(cfg.Fronts)), picker: learnt.NewPicker(),
		ran: idempotency.New(idempotencyKeysMost), keys: map[idempotency.Key][]*flow{}, before: map[idempotency.Key]*store.Message{}, tallies: make([]tally, len(cfg.Settings.Classes)+1),
		dirs: make([]*directory, len(cfg.Fronts)), out: exclusions.New(cfg.Settings.WarmUp), wishes: map[string]*wish{},
	}
	for front, d := range cfg.Directories {
		c.dirs[front] = &directory{book: belief.New(d.Belief), judge: distrust.New(d.Trust)}
	}
	for i, cl := range cfg.Settings.Classes {
		c.classes[cl.Name] = i
	}
	for i, t := range cfg.Settings.Tenants {
		c.tenants[t.Name] = i
	}
	return c, nil
}

const (
	settleSlack         = 60 * time.Millisecond
	windowSlack         = 60 * time.Millisecond
	idempotencyKeysMost = 8192 // idempotency keys that are remembered for their windows
)

// feed has the module asked about ev, with all else that comes before the
// next tick.
func (c *Core) feed(ev snowjunction.Event) {
	c.events = append(c.events, ev)
	if c.due == nil && !c.frozen && !c.paused && !c.hushed {
		c.due = c.Loop.After(c.handled.Add(c.Settings.Tick).Sub(c.Loop.Now()), c.handle)
	}
}

// Pause has the module's first decisions wait until a front's directory speaks, for so
// long at the most: what an earlier life has left would go to endpoints that may have
// left meanwhile.
func (c *Core) Pause(most time.Duration) {
	c.paused = true
	c.Loop.After(most, c.resume)
}

func (c *Core) resume() {
	if !c.paused {
		return
	}
	c.paused = false
	if len(c.events) > 0 && c.due == nil && !c.frozen && !c.hushed {
		c.due = c.Loop.After(0, c.handle)
	}
}

// handle lets the module decide, at most once a tick, and does what it says.
func (c *Core) handle() {
	c.due = nil
	if c.frozen || c.hushed {
		return
	}
	c.handled = c.Loop.Now()
	events := c.timely(c.events)
	c.events = nil
	clear(c.waitTold)
	for _, a := range c.courier.Handle(c.handled.Sub(c.start), events) {
		c.do(a)
	}
	c.learned()
	c.admitFresh()
}

// Noted takes what a courier of the fleet, by its number, has told.
func (c *Core) Noted(peer int, notes []snowjunction.Note) {
	c.Counters.Noted++
	c.feed(snowjunction.Heard{Peer: peer, Notes: notes})
}

func (c *Core) do(a snowjunction.Action) {
	switch a := a.(type) {
	case snowjunction.Send:
		c.send(a)
	case snowjunction.Refuse:
		c.giveUp(a.Request, store.Returned, a.RetryAfter)
	case snowjunction.Fail:
		c.giveUp(a.Request, store.Failed, 0)
	case snowjunction.Cancel:
		c.cancel(a)
	case snowjunction.SetTimer:
		c.Loop.After(a.After, func() { c.feed(snowjunction.Timer{Token: a.Token}) })
	case snowjunction.CloseIdle:
		if t := c.routes.byID[a.Endpoint]; t != nil && t.target != nil {
			t.target.CloseIdle()
		}
	case snowjunction.Log:
		c.Log.Info("decision", "text", a.Text)
	case snowjunction.Asleep:
		c.asleep(a)
	case snowjunction.Seen:
		c.seen(a)
	case snowjunction.Tell:
		if c.Fleet != nil {
			c.Counters.Told++
			c.Fleet.Tell(a.Peer, a.Notes)
		}
	case snowjunction.Watch: // the fronts watch their lists unasked
	default:
		c.Log.Error("the module asked for what this program does not do", "action", fmt.Sprintf("%T", a))
	}
}

// Drain stops the taking: what comes from now on gets a fixed response.
func (c *Core) Drain() {
	c.draining = true
	c.learnAll()
}

// Freeze stops deciding. What is held stays in the journal; idle is called
// once no call is out.
func (c *Core) Freeze(idle func()) {
	c.frozen, c.idle, c.paused = true, idle, false
	c.due.Stop()
	c.due = nil
	for _, f := range c.fresh { // not seen by the module yet
		c.refuse(f, 0)
	}
	c.fresh = nil
	for _, g := range c.routes.awake {
		for _, f := range g.parked {
			c.refuse(f, 0)
		}
	}
	c.checkIdle()
}

func (c *Core) checkIdle() {
	if c.frozen && c.calls == 0 && c.idle != nil {
		idle := c.idle
		c.idle = nil
		idle()
	}
}

// Held is the number of flows that have no end yet.
func (c *Core) Held() int { return c.held }
