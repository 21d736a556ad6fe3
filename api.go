// Package snowjunction makes the decisions of a courier: a relay that hands
// messages to destinations nobody on its side controls.
//
// A Courier is fed events and answers with actions. It reads no clock, opens
// no connection and starts no goroutine: the program around it does the I/O.
package snowjunction

import "time"

// Identifiers are opaque: nothing is to be read into their values.
type (
	RequestID     uint32
	EndpointID    uint32
	DestinationID uint32
)

// Settings is what a courier is told once, at its start.
type Settings struct {
	Seed   uint64        // source of this courier's randomness
	Fleet  int           // couriers of this tier, this one included
	Number int           // of this courier among them
	Tick   time.Duration // shortest time between two calls of Handle
	Zone   int           // this courier's zone
	Zones  int           // number of zones

	Classes []Class
	Tenants []Tenant
	Kinds   []Kind // kinds of destination

	Slots            int     // calls that may be out at once
	MaxHeld          int     // requests that may be held; 0: no bound
	MaxAttempts      int     // attempts for one request; 0: no bound
	OverShareWorth   float64 // worth of a request over its tenant's quota, as a share
	Halving          bool    // worth halves with each further aim, instead of falling evenly
	WeightsAreLimits bool    // Endpoint.Weight is the destination's limit in calls a second
	AskForList       bool    // the endpoint list is told only to couriers that ask
	Report           []ReportField

	Probes      bool          // Probe may be used
	Cancelling  bool          // Cancel may be used
	ParallelTry bool          // a request may have two attempts out
	RetryAfter  bool          // clients are told how long to stay away
	MaxRetry    time.Duration // the longest such time a client honours

	ConnIdle       time.Duration // idle connections close after this
	ConnectTimeout time.Duration // an unmade connection fails after this
	StreamsPerConn int           // calls one connection carries at once

	AskWithin    time.Duration // a courier that must ask has to ask this often
	OrderSettle  time.Duration // rest of a key after an attempt that may still run
	DrainGrace   time.Duration // time allowed to stop sending to a draining endpoint
	AnswerSlack  time.Duration // how late a final answer still counts
	ColdShare    float64       // least share of its capacity a returning destination has
	WarmUp       time.Duration // it has all of its capacity after this
	FallMultiple float64       // sent more than this many times its present capacity
	FallTime     time.Duration // for this long, it falls over

	Notes bool // couriers can tell each other things

	Tuning *Tuning // nil: the module's own
}

// Tuning are constants of the module that experiments vary; courier.go has their
// values and reasons.
type Tuning struct {
	LedgerRatio float64 // repeats over first sends to a destination, sliding window
	LedgerFloor float64 // repeats that are free, over the slots
	SlotsShare  float64 // calls to one destination stay under it, over the slots
	PaceStart   float64 // calls to a route at first, over its even share of the limit
	PaceWoken   float64 // the same, to a destination woken a moment ago
	ColdSafety  float64 // of the calls that make a cold destination fall over
}

// StandardTuning is what the module uses if Settings say nothing.
func StandardTuning() Tuning {
	return Tuning{
		LedgerRatio: ledgerRatio, LedgerFloor: ledgerFloor, SlotsShare: capShare,
		PaceStart: paceStart, PaceWoken: paceCareful, ColdSafety: coldSafety,
	}
}

// Effect tells whether a request may be repeated.
type Effect int

// The effects.
const (
	Safe   Effect = iota // repeats do no harm
	Keyed                // the destination drops repeats for Class.Window
	Unsafe               // must never take effect twice
)

// Group tells which endpoints of a destination drop a keyed repeat.
type Group int

// The groups.
const (
	GroupAll      Group = iota // all endpoints of the destination
	GroupZone                  // those of the zone first sent to
	GroupEndpoint              // the very same endpoint
)

// Class is a class of requests.
type Class struct {
	Name       string
	Effect     Effect
	Group      Group         // for Keyed
	Window     time.Duration // for Keyed: how long repeats are dropped
	Aim        time.Duration // answered within this, a request earns all its worth
	AimStretch float64       // the aim grows by this multiple of the request's own work
	Deadline   time.Duration // after this it earns nothing
	Worth      float64
	LateShare  float64 // share of the worth left at the deadline
	InOrder    bool    // requests of one key run one at a time, in order
}

// Tenant is a party with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all couriers
}

// Kind is a kind of destination.
type Kind struct {
	BundleMax   int  // requests that one call carries at most
	RoutesApart bool // each endpoint has its own limit, pace and outages
}

// ReportField is a value that destinations tell in their answers.
type ReportField int

// The report fields a courier can use; others are skipped.
const (
	OtherField    ReportField = iota
	AllowanceLeft             // share of the limit that is left
	LimitRate                 // the limit in calls a second; 0: none
)

// Event is something that happened.
type Event interface{ event() }

// ListKind is a kind of List event.
type ListKind int

// The kinds of list news.
const (
	ListFull   ListKind = iota // the complete list
	ListCached                 // the complete list as last held, maybe stale
	ListFailed                 // asking failed or a subscription broke
	ListDelta                  // changed entries only
)

// Phase is an endpoint's standing in the list. It says nothing of health.
type Phase int

// The phases.
const (
	Gone Phase = iota
	Ready
	Draining
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID          EndpointID
	Destination DestinationID
	Zone        int
	Kind        int
	Phase       Phase
	Weight      float64

	// Doubtful: the word on it is old, and nothing has shown that it is still
	// there. One call at a time goes to it, where no better one is free.
	Doubtful bool

	// WasOut is how long it had been taken out by hand, where that ended a moment ago:
	// it has been restarted and is cold. 0: it was not.
	WasOut time.Duration
}

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK            Outcome = iota
	Error                 // answered with an error
	Full                  // turned away unseen
	TimedOut              // no answer in time
	ConnectFailed         // no connection
	Reset                 // the connection broke
	Cancelled             // called off
	Moot                  // not sent
)

// The events.
type (
	// List is news of the endpoint list.
	List struct {
		Kind      ListKind
		Endpoints []Endpoint

		// Destinations is how many are listed, where the program tells the
		// module only of those that requests have come for; 0: all are told.
		Destinations int
	}
	// Sleep has the module hand out what it knows of a destination that has
	// neither a request nor a call, and forget it. Asleep is the answer.
	Sleep struct{ Destination DestinationID }
	// Wake brings a destination back, before its first request: its endpoints
	// and what was handed out, weighed by its age.
	Wake struct {
		Destination  DestinationID
		Endpoints    []Endpoint
		State        *State        // nil: nothing is known of it
		Slept        time.Duration // since State was handed out
		Caution      Caution
		Destinations int // as in List
	}
	// Look has the module tell what it knows of a destination, which it goes on
	// knowing. Seen is the answer.
	Look struct{ Destination DestinationID }
	// Request is a message this courier now owes a final answer.
	Request struct {
		ID          RequestID
		Destination DestinationID
		Class       int
		Tenant      int
		Key         uint64        // for classes in order; 0: none
		Deadline    time.Duration // time left
		Work        time.Duration // expected work; 0: unknown
		Again       bool          // handed in before

		// What a restarted courier finds in its journal: the attempts of its
		// earlier life, and whether one may have run, and how long ago it left.
		Attempts int
		Ran      bool
		RanFor   time.Duration

		// The last of these attempts is out still, at OutOn, and left so long ago; 0: none is.
		OutOn  EndpointID
		OutFor time.Duration
	}
	// Rests tells of a key whose next message may not go for so long.
	Rests struct {
		Key uint64
		For time.Duration
	}
	// StreamStarted tells that an answer has begun to flow.
	StreamStarted struct {
		Request RequestID
		Attempt int
	}
	// WaitTold tells of a wait that an answer names before what becomes of its attempt is known:
	// it stands at once.
	WaitTold struct {
		Endpoint EndpointID
		Wait     time.Duration
	}
	// AttemptEnded is the one outcome of a Send.
	AttemptEnded struct {
		Request  RequestID
		Endpoint EndpointID
		Attempt  int
		Outcome  Outcome
		Took     time.Duration
		Wait     time.Duration // for Full: told wait; 0: none
		Done     bool          // the request is over
		Dialled  time.Duration // from its Send until its first byte could leave: its window runs from then
		Report   []float64     // in the order of Settings.Report

		// Where it is known what the call went on: a new connection, or one
		// that had been idle for so long. Neither: the module's guess stands.
		Fresh bool
		Kept  time.Duration
	}
	// ProbeEnded is the result of a Probe.
	ProbeEnded struct {
		Endpoint EndpointID
		Outcome  Outcome
		Took     time.Duration
		Report   []float64
	}
	// Withdrawn tells that nothing more is owed for a request.
	Withdrawn struct{ Request RequestID }
	// Heard is what another courier of the fleet has told. It may come late, out of
	// turn or never.
	Heard struct {
		Peer  int // its number
		Notes []Note
	}
	// Timer is a SetTimer come due.
	Timer struct{ Token uint64 }
)

func (List) event()          {}
func (Sleep) event()         {}
func (Wake) event()          {}
func (Look) event()          {}
func (Request) event()       {}
func (StreamStarted) event() {}
func (WaitTold) event()      {}
func (AttemptEnded) event()  {}
func (ProbeEnded) event()    {}
func (Withdrawn) event()     {}
func (Timer) event()         {}
func (Rests) event()         {}
func (Heard) event()         {}

// Note is what one courier tells another of one destination: what it wishes, or what
// the other may call.
type Note struct {
	Destination DestinationID
	Asks        bool // the sender wishes to make Calls calls, the first of them worth Rank
	Grants      bool // the receiver may make Calls calls; 0: its wish waits
	Calls       int
	Rank        int     // up to 255
	Back        int     // granted calls that were not made, less those made without a grant
	Refused     int     // calls that were refused above the limit
	Failing     bool    // calls of the sender do not reach it
	Serves      bool    // it has answered one again; from a keeper: somebody else's
	Cold        bool    // from a keeper: it is back from an outage, and grants are what it bears
	Limit       float64 // as an answer has told it, in calls a second; 0: nothing new
	Old         bool    // with Asks: the limit is what the sender has known for a while
}

// Action is something to do now.
type Action interface{ action() }

// The actions.
type (
	// Send calls an endpoint with a request. Sends to one endpoint in one
	// answer of Handle share a call, as far as Kind.BundleMax allows.
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration
	}
	// Refuse is a final answer: trying again is harmless.
	Refuse struct {
		Request    RequestID
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request RequestID }
	// Cancel stops waiting for an attempt.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// Probe checks an endpoint.
	Probe struct{ Endpoint EndpointID }
	// CloseIdle closes idle connections to an endpoint.
	CloseIdle struct{ Endpoint EndpointID }
	// Watch asks for the changes of the endpoint list from now on.
	Watch struct{}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		Token uint64
		After time.Duration
	}
	// Asleep answers a Sleep. With Busy nothing was handed out or forgotten.
	Asleep struct {
		Destination DestinationID
		State       *State
		Busy        bool
	}
	// Seen answers a Look.
	Seen struct {
		Destination DestinationID
		State       *State // nil: nothing is known
	}
	// Tell tells another courier of the fleet, by its number.
	Tell struct {
		Peer  int
		Notes []Note
	}
	// Log is a line for on-call staff.
	Log struct{ Text string }
)

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (CloseIdle) action() {}
func (Watch) action()     {}
func (SetTimer) action()  {}
func (Asleep) action()    {}
func (Seen) action()      {}
func (Log) action()       {}
func (Tell) action()      {}

// State is what the module knows of a destination. All times are relative to
// the moment at which it was handed out, latencies are in seconds and rates in
// calls a second.
type State struct {
	Recent, Best float64 // latency: smoothed, and the best of late
	Peak         float64 // most successes a second
	Window       float64 // calls that may be out
	First        float64 // first sends in the ledger's window
	Repeats      float64 // repeats in it
	Served       float64 // successes in it
	// Of its kind, not its own: the gap that refused repeats have taught, and for how
	// long connection tables are still taken for small.
	RepeatGap     time.Duration
	Small         time.Duration
	Routes        []RouteState
	EndpointsSeen []EndpointState
}

// RouteState is the state of what has a limit of its own.
type RouteState struct {
	Limit, Left float64 // limit of all couriers, 0: none known; share of it left
	Pace        float64 // this courier's own
	Gap         time.Duration
	Wait        time.Duration // still to be kept; a told one binds
	Fulls       int
	FullAgo     time.Duration
	ColdSends   float64 // calls of late to endpoints that were not well
}

// Condition is how an endpoint does.
type Condition int

// The conditions.
const (
	Serving Condition = iota
	Held              // it failed and is asked now and then
	Warming           // back from an outage
)

// EndpointState is the state of one endpoint.
type EndpointState struct {
	ID        EndpointID
	Route     int // its number in State.Routes
	Latency   float64
	Condition Condition
	For       time.Duration // since when
	Failed    time.Duration // how long ago its failures began
	DownFor   time.Duration // length of the outage before
	Backoff   time.Duration
	Trial     time.Duration // until the next trial; negative: it is due
	Fails     int
	Vouched   bool
}

// Caution is how a destination is sent to after it has slept.
type Caution struct {
	Window  float64       // calls out to start with; 0: as known
	Cold    bool          // endpoints that served count as just back from an outage
	Careful time.Duration // the pace stays under the even share for so long
}
