// Package core accepts messages, passes them to the decision module (package snowjunction) and
// executes the actions that it returns. It knows no wire protocol: fronts submit messages, create
// targets and are notified of final results.
//
// A flow is one message in progress. It passes through a chain of stages, each in its own file:
//
//	takein   turns a listener's request into a flow, or rejects it as malformed
//	admit    plug-ins, capacity and the module's first decision; then the journal, then +OK
//	route    target groups: the endpoints that the module can choose from
//	send     records an attempt and sends it
//	relay    passes the attempt's result to the journal and the module
//	book     records the final result and notifies the front
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
	"snowjunction/internal/confidence"
	"snowjunction/internal/exclusions"
	"snowjunction/internal/handover"
	"snowjunction/internal/idempotency"
	"snowjunction/internal/idlestate"
	"snowjunction/internal/learnedstate"
	"snowjunction/internal/plausibility"
	"snowjunction/internal/store"
)

// Journal stores accepted messages and their progress.
type Journal interface {
	// HasRoom reports whether a message with this many bytes of text and body fits.
	HasRoom(bytes int) bool
	// Accept records an accepted message and assigns its sequence number.
	Accept(m *store.Message) error
	// RecordAttempt records that an attempt is about to be sent.
	RecordAttempt(m *store.Message, at time.Time) error
	// RecordOutcome records the outcome of the attempt in flight. left is the time of its first byte, or
	// zero if none was sent.
	RecordOutcome(m *store.Message, mayHaveRun bool, left time.Time) error
	// RecordFinalState records a message's final result.
	RecordFinalState(m *store.Message, s store.State, after time.Duration, at time.Time) error
	// Settle records that the sender knows the final result.
	Settle(m *store.Message) error
	// Rewrite records a message again after it has changed because of another message.
	Rewrite(m *store.Message) error
	// Written returns how much this process has written.
	Written() store.Written
}

// Front is the protocol side of the courier. It creates targets and is notified of final results.
type Front interface {
	// Target returns the target for an endpoint that the front has listed.
	Target(e Entry) Target
	// Ended reports the final result of a message that came through this front. The front calls
	// Settled once the sender knows of it.
	Ended(m *store.Message)
}

// Plugins are hooks called at fixed points of a flow. No call blocks: a call returns false if no
// plug-in handles it; otherwise done is called exactly once, possibly before the call returns and
// always within the plug-ins' time budgets.
type Plugins interface {
	// Admit decides whether a flow may be accepted, and if not, after what delay the client may
	// retry.
	Admit(m *store.Message, done func(pass bool, after time.Duration)) bool
	// Shape returns additions to a request.
	Shape(m *store.Message, to Entry, done func(Shape)) bool
	// Read interprets an answer.
	Read(m *store.Message, to Entry, r Result, done func(Result)) bool
	// ReadsAnswers reports whether any plug-in interprets answers to a message.
	ReadsAnswers(m *store.Message) bool
	// Ended notifies the plug-ins of a final result.
	Ended(m *store.Message)
}

// Fleet sends to the other couriers of the fleet.
type Fleet interface {
	// Send sends peer messages to the courier with the given number. Delivery is best effort.
	Send(peer int, notes []snowjunction.PeerMessage)
}

// Shape holds additions to a request. They have been validated.
type Shape struct {
	Headers       []HeaderField
	Suffix, Query string // appended to the path and the query
	Body          []byte // replaces the message's body if HasBody is set
	HasBody       bool
	BufferAnswer  bool // buffer the whole answer before interpreting it, unless it takes too long
}

// HeaderField is one header field of a request or an answer.
type HeaderField struct{ Name, Value string }

// Config configures a Core.
type Config struct {
	Loop          *Loop
	Log           *slog.Logger
	Journal       Journal
	Settings      snowjunction.Settings
	Plugins       Plugins // nil means none
	Fronts        []Front
	Dormancy      *idlestate.Config // nil means the defaults
	SnapshotStore SnapshotStore     // nil keeps snapshots in memory only
	LearnedStore  LearnedStore      // nil means that learned state is lost when the process ends
	// Directories holds the trust bounds by front number. The lists of fronts without an entry are
	// always trusted.
	Directories map[int]Directory
	// ListedShare returns the share of all destinations that a front lists, greater than 0. Nil
	// means that each front lists all.
	ListedShare    func(front int) float64
	Fleet          Fleet           // nil if the courier runs alone
	MaxDecisionAge time.Duration   // maximum age of a send decision on execution; 0 means 50 ms
	Exclusions     Exclusions      // nil means that operators cannot exclude endpoints
	OnListChange   func(front int) // if not nil, called when a front's list changes or is confirmed
}

// Core owns the decision module, the flows and the target groups.
type Core struct {
	Config
	Counters Counters

	courier               *snowjunction.Courier
	start                 time.Time
	lastHandled           time.Time // last call of the module
	handleTimer           *Timer
	events                []snowjunction.Event
	flows                 map[snowjunction.RequestID]*flow
	flowsByRef            map[messageRef]*flow // open flows by front and message id
	awaitingAdmission     []*flow              // flows whose clients have no answer yet
	retryAfterReceived    map[uint32]bool      // destinations with a retry-after delay since the last call
	pluginQueues          map[uint64][]*flow   // by ordering key: flows behind one that waits for a plug-in
	openFlows             int
	awaitingPlugins       int // flows that wait for a plug-in; not yet in openFlows
	openCalls             int
	routes                routes
	awaitingSettlement    map[uint64][]*flow // by ordering key: flows that wait for earlier ends to be settled
	heldBack              map[uint64][]*flow // by ordering key: flows that the module has not received yet, see keyorder.go
	unsettledEnds         map[uint64]int     // by ordering key: number of unsettled ends
	classes               map[string]int
	tenants               map[string]int
	draining              bool
	frozen                bool
	suspended             bool                         // no decisions, because another process takes over
	adoptedCalls          map[uint64]handover.Call     // by message number: calls taken over from another process
	pendingExclusions     map[string]*pendingExclusion // by endpoint name
	unwrittenExclusions   int                          // exclusion changes that are not on disk yet
	paused                bool                         // the first decisions wait until the directory confirms its list
	idleTracker           *idlestate.Tracker
	updates               listUpdates
	directories           []*directory // by front; nil means that its list is always trusted
	picker                *learnedstate.Picker
	learnedTimer          *Timer // fires when learned state may be written next
	idleTimer             *Timer // fires when destinations may be unloaded next
	attemptedKeys         *idempotency.Tracker
	flowsByIdempotencyKey map[idempotency.Key][]*flow        // open, or with a call in flight, by idempotency key
	endedBefore           map[idempotency.Key]*store.Message // of a previous run, that may have run; cleared by Restore
	attemptsSent          uint64                             // attempts sent to endpoints
	exclusionSet          *exclusions.Set
	tallies               []tally // by class; the last is for unknown classes
	onIdle                func()  // called when the core is frozen and no call is in flight
}

// flow is one message in progress.
type flow struct {
	msg            *store.Message
	id             snowjunction.RequestID
	class          *snowjunction.Class
	answer         AnswerFunc // nil once the client has its answer
	attempt        *attempt   // the attempt in progress, if any
	needsAdmission bool       // the module has not decided about it yet
	ended          bool
	untried        bool           // restored from the journal and not attempted since
	adoptedCall    *handover.Call // an attempt in flight that was taken over from another process
}

// New returns a core. Fronts are numbered in the order of cfg.Fronts.
func New(cfg Config) (*Core, error) {
	// Requests take time to arrive, and the endpoint applies the rules. A key's hold begins only
	// when the earlier request has arrived there. A window begins when the first attempt leaves
	// here, and a retry has to arrive there within it.
	cfg.Settings.OrderSettle += settleSlack
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes) // do not change the caller's slice
	for i := range cfg.Settings.Classes {
		if c := &cfg.Settings.Classes[i]; c.Effect == snowjunction.Keyed {
			c.Window = max(c.Window-windowSlack, 0)
		}
	}
	cfg.MaxDecisionAge = cmp.Or(cfg.MaxDecisionAge, maxDecisionAge)
	// No front sends probes: the module would wait forever for the result of one and send nothing
	// to the endpoint meanwhile. With probes disabled a message serves as the trial call.
	cfg.Settings.Probes = false
	courier, err := snowjunction.New(cfg.Settings)
	if err != nil {
		return nil, err
	}
	dormancyConfig := idlestate.Default(cfg.Settings)
	if cfg.Dormancy != nil {
		dormancyConfig = *cfg.Dormancy
	}
	c := &Core{
		Config: cfg, idleTracker: idlestate.New(dormancyConfig), courier: courier, start: cfg.Loop.Now(),
		flows: map[snowjunction.RequestID]*flow{}, flowsByRef: map[messageRef]*flow{},
		retryAfterReceived: map[uint32]bool{}, pluginQueues: map[uint64][]*flow{}, heldBack: map[uint64][]*flow{}, awaitingSettlement: map[uint64][]*flow{}, unsettledEnds: map[uint64]int{},
		classes: map[string]int{}, tenants: map[string]int{},
		routes: newRoutes(len(cfg.Fronts)), picker: learnedstate.NewPicker(),
		attemptedKeys: idempotency.New(maxIdempotencyKeys), flowsByIdempotencyKey: map[idempotency.Key][]*flow{}, endedBefore: map[idempotency.Key]*store.Message{}, tallies: make([]tally, len(cfg.Settings.Classes)+1),
		directories: make([]*directory, len(cfg.Fronts)), exclusionSet: exclusions.New(cfg.Settings.WarmUp), pendingExclusions: map[string]*pendingExclusion{},
	}
	for front, d := range cfg.Directories {
		c.directories[front] = &directory{confidence: confidence.New(d.Confidence), plausibility: plausibility.New(d.Plausibility)}
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
	settleSlack        = 60 * time.Millisecond
	windowSlack        = 60 * time.Millisecond
	maxIdempotencyKeys = 8192 // keys remembered for the length of their windows
)

// queueEvent passes ev to the module at the next tick, together with all other events until then.
func (c *Core) queueEvent(ev snowjunction.Event) {
	c.events = append(c.events, ev)
	if c.handleTimer == nil && !c.frozen && !c.paused && !c.suspended {
		c.handleTimer = c.Loop.After(c.lastHandled.Add(c.Settings.Tick).Sub(c.Loop.Now()), c.handle)
	}
}

// Pause delays the module's first decisions until a front's directory confirms its list, for at
// most the given time. Without it, messages of a previous process run could be sent to endpoints
// that have since left the list.
func (c *Core) Pause(timeout time.Duration) {
	c.paused = true
	c.Loop.After(timeout, c.resume)
}

func (c *Core) resume() {
	if !c.paused {
		return
	}
	c.paused = false
	if len(c.events) > 0 && c.handleTimer == nil && !c.frozen && !c.suspended {
		c.handleTimer = c.Loop.After(0, c.handle)
	}
}

// handle calls the module, at most once per tick, and executes the actions that it returns.
func (c *Core) handle() {
	c.handleTimer = nil
	if c.frozen || c.suspended {
		return
	}
	c.lastHandled = c.Loop.Now()
	events := c.refreshTimes(c.events)
	c.events = nil
	clear(c.retryAfterReceived)
	for _, a := range c.courier.Handle(c.lastHandled.Sub(c.start), events) {
		c.execute(a)
	}
	c.flushSnapshots()
	c.acceptAdmitted()
}

// ReceivePeerMessages handles messages from the courier with the given number.
func (c *Core) ReceivePeerMessages(peer int, notes []snowjunction.PeerMessage) {
	c.Counters.PeerMessagesReceived++
	c.queueEvent(snowjunction.PeerMessagesReceived{Peer: peer, Messages: notes})
}

func (c *Core) execute(action snowjunction.Action) {
	switch action := action.(type) {
	case snowjunction.Send:
		c.send(action)
	case snowjunction.Refuse:
		c.abandon(action.Request, store.Returned, action.RetryAfter)
	case snowjunction.Fail:
		c.abandon(action.Request, store.Failed, 0)
	case snowjunction.Cancel:
		c.cancel(action)
	case snowjunction.SetTimer:
		c.Loop.After(action.After, func() { c.queueEvent(snowjunction.Timer{Token: action.Token}) })
	case snowjunction.CloseIdle:
		if t := c.routes.byID[action.Endpoint]; t != nil && t.target != nil {
			t.target.CloseIdle()
		}
	case snowjunction.Log:
		c.Log.Info("decision", "text", action.Text)
	case snowjunction.Unloaded:
		c.unloaded(action)
	case snowjunction.Inspected:
		c.receiveSnapshot(action)
	case snowjunction.SendPeerMessages:
		if c.Fleet != nil {
			c.Counters.PeerMessagesSent++
			c.Fleet.Send(action.Peer, action.Messages)
		}
	case snowjunction.Watch: // fronts watch their lists on their own
	default:
		c.Log.Error("unknown action from the decision module", "action", fmt.Sprintf("%T", action))
	}
}

// Drain stops accepting messages. New ones get a fixed response.
func (c *Core) Drain() {
	c.draining = true
	c.saveAll()
}

// Freeze stops all decisions. Open messages stay in the journal. idle is called once no call is in
// flight.
func (c *Core) Freeze(idle func()) {
	c.frozen, c.onIdle, c.paused = true, idle, false
	c.handleTimer.Stop()
	c.handleTimer = nil
	for _, f := range c.awaitingAdmission { // not yet seen by the module
		c.refuse(f, 0)
	}
	c.awaitingAdmission = nil
	for _, g := range c.routes.loaded {
		for _, f := range g.parked {
			c.refuse(f, 0)
		}
	}
	for _, flows := range c.heldBack {
		for _, f := range flows {
			if !c.isLoading(f) { // the others are refused as parked flows
				c.refuse(f, 0)
			}
		}
	}
	c.checkIdle()
}

func (c *Core) checkIdle() {
	if c.frozen && c.openCalls == 0 && c.onIdle != nil {
		idle := c.onIdle
		c.onIdle = nil
		idle()
	}
}

// Held returns the number of flows without a final result.
func (c *Core) Held() int { return c.openFlows }
