// Package snowjunction is the decision module of a courier, a daemon that delivers messages to
// destinations run by other parties.
//
// A Courier takes events and returns actions. It reads no clock, opens no connection and starts
// no goroutine: the program that embeds it performs all input and output.
package snowjunction

import "time"

// Identifiers are opaque: their values carry no meaning.
type (
	RequestID     uint32
	EndpointID    uint32
	DestinationID uint32
)

// Settings configures a Courier. It does not change after New.
type Settings struct {
	Seed   uint64        // seeds the courier's random number generator
	Fleet  int           // number of couriers in this fleet, including this one
	Number int           // index of this courier in the fleet
	Tick   time.Duration // shortest time between two calls of Handle
	Zone   int           // this courier's zone
	Zones  int           // number of zones

	Classes []Class
	Tenants []Tenant
	Kinds   []Kind // kinds of destination

	Slots               int     // maximum number of concurrent calls
	MaxHeld             int     // maximum number of requests held; zero means no limit
	MaxAttempts         int     // maximum number of attempts for one request; zero means no limit
	OverQuotaValueShare float64 // share of the value kept above the tenant's quota
	ValueHalves         bool    // value halves per further target latency, not linearly
	WeightsAreLimits    bool    // Endpoint.Weight is the destination's rate limit in calls per second
	SubscribeToList     bool    // the list is sent only to subscribers (Watch)
	Report              []ReportField

	Probes           bool          // the Probe action is available
	Cancelling       bool          // the Cancel action is available
	ParallelAttempts bool          // a request may have two concurrent attempts
	RetryAfter       bool          // Refuse carries a retry-after delay for the client
	MaxRetryAfter    time.Duration // longest retry-after delay that clients honour

	ConnIdle       time.Duration // idle connections are closed after this time
	ConnectTimeout time.Duration // a connection attempt fails after this time
	StreamsPerConn int           // maximum number of concurrent calls on one connection

	SubscribeWithin  time.Duration // longest time between two list subscriptions
	OrderSettle      time.Duration // delay of a key after an attempt that may still run
	DrainGrace       time.Duration // time allowed to stop sending to a draining endpoint
	AnswerSlack      time.Duration // time by which a final answer may be late
	ColdShare        float64       // share of its capacity that a recovering destination has at first
	WarmUp           time.Duration // time until it has its full capacity again
	CollapseMultiple float64       // it collapses above this multiple of its present capacity
	CollapseTime     time.Duration // sustained for this time

	PeerMessages bool // couriers of the fleet can exchange peer messages

	Tuning *Tuning // nil selects StandardTuning
}

// Tuning holds the constants that experiments vary. The standard values and their reasons are in
// courier.go.
type Tuning struct {
	RetryRatio       float64 // retry budget: retries per first attempt, in a sliding window
	RetryFloor       float64 // retry budget: retries always allowed in a window, per slot
	MaxSlotShare     float64 // upper bound on the calls to one destination, as a share of the slots
	InitialPace      float64 // initial pacing rate, over this courier's even share of the limit
	PaceAfterLoad    float64 // the same for a destination that was loaded recently
	ColdBudgetFactor float64 // used multiple of the calls that a cold destination is to withstand
}

// StandardTuning returns the values used if Settings.Tuning is nil.
func StandardTuning() Tuning {
	return Tuning{
		RetryRatio: retryRatio, RetryFloor: retryFloorPerSlot, MaxSlotShare: maxSlotShare,
		InitialPace: initialPaceShare, PaceAfterLoad: cautiousPaceShare, ColdBudgetFactor: coldBudgetFactor,
	}
}

// Effect states whether a request may be executed more than once.
type Effect int

// The effects.
const (
	Safe   Effect = iota // repeated execution is harmless
	Keyed                // the destination drops duplicates for Class.Window
	Unsafe               // must not be executed twice
)

// Group states which endpoints of a destination recognize the duplicate of a keyed request.
type Group int

// The groups.
const (
	GroupAll      Group = iota // all endpoints of the destination
	GroupZone                  // the endpoints in the zone of the first attempt
	GroupEndpoint              // only the endpoint of the first attempt
)

// Class describes one class of requests.
type Class struct {
	Name           string
	Effect         Effect
	Group          Group         // for Keyed
	Window         time.Duration // for Keyed: time for which the destination drops duplicates
	TargetLatency  time.Duration // target latency: a request answered within it has its full value
	TargetPerWork  float64       // the target latency grows by this multiple of Request.Work
	Deadline       time.Duration // a request answered later has no value
	Value          float64
	LateValueShare float64 // share of the value that remains at the deadline
	InOrder        bool    // requests with the same key are sent one at a time, in order
}

// Tenant is a client organization with a request quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all couriers
}

// Kind describes one kind of destination.
type Kind struct {
	BundleMax        int  // maximum number of requests in one call
	LimitPerEndpoint bool // each endpoint has a rate limit, pacing rate and outages of its own
}

// ReportField identifies a value that destinations report in their answers.
type ReportField int

// The report fields that a courier uses. It ignores all others.
const (
	OtherField    ReportField = iota
	AllowanceLeft             // share of the rate limit that is left
	LimitRate                 // rate limit in calls per second; zero means no limit
)

// Event is an input of Courier.Handle.
type Event interface{ event() }

// ListKind tells how a List event is to be read.
type ListKind int

// The kinds of List event.
const (
	ListFull   ListKind = iota // the complete list
	ListCached                 // the complete list from a cache, possibly stale
	ListFailed                 // the list request failed or the subscription broke
	ListDelta                  // changed entries only
)

// Phase is an endpoint's lifecycle state in the list. It does not describe its health.
type Phase int

// The phases.
const (
	Gone Phase = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	Destination DestinationID
	Zone        int
	Kind        int
	Phase       Phase
	Weight      float64

	// Doubtful marks an entry that is old and whose endpoint has not been seen working since.
	// It gets one call at a time, and only if no better endpoint is free.
	Doubtful bool

	// ExcludedFor is set on an endpoint that an operator excluded until a moment ago: it is the
	// length of the exclusion. Such an endpoint has been restarted and is cold. Zero means that
	// it was not excluded.
	ExcludedFor time.Duration
}

// Outcome is the result of an attempt or a probe.
type Outcome int

// The outcomes. A rejection, a failed connection and a request that was not sent prove that the
// request was not executed.
const (
	OK            Outcome = iota
	Error                 // answered with an error
	Rejected              // rejected before execution, for example by a rate limit
	TimedOut              // no answer in time
	ConnectFailed         // no connection
	Reset                 // the connection broke
	Cancelled             // cancelled by the courier
	NotSent               // not sent
)

// The events.
type (
	// List brings news of the endpoint list.
	List struct {
		Kind      ListKind
		Endpoints []Endpoint

		// Destinations is the number of listed destinations if the program passes only those
		// that have had requests. Zero means that all are passed.
		Destinations int
	}
	// Unload unloads an idle destination: the module returns a snapshot of it and removes it.
	// A destination with queued requests or open calls stays. One action answers the event.
	Unload struct{ Destination DestinationID }
	// Load loads a destination before its first request, with its endpoints and the snapshot
	// that was taken when it was unloaded.
	Load struct {
		Destination   DestinationID
		Endpoints     []Endpoint
		Snapshot      *DestinationSnapshot // nil if nothing is known about the destination
		UnloadedFor   time.Duration        // time since the snapshot was taken
		CautiousStart CautiousStart
		Destinations  int // see List.Destinations
	}
	// Inspect asks for a snapshot of a destination without unloading it.
	Inspect struct{ Destination DestinationID }
	// Request is a message accepted by this courier, which has to give it a final answer.
	Request struct {
		ID          RequestID
		Destination DestinationID
		Class       int
		Tenant      int
		Key         uint64        // for classes with InOrder; zero means no key
		Deadline    time.Duration // time left
		Work        time.Duration // expected processing time; zero if unknown
		Resubmitted bool          // the client has submitted it before

		// What a restarted courier finds in its journal: the attempts made by previous process
		// runs, whether one of them may have been executed, and how long ago that one was sent.
		Attempts   int
		MayHaveRun bool
		SinceRun   time.Duration

		// If the last of these attempts is still open: its endpoint and the time since it was
		// sent. Zero means that there is no open attempt.
		OpenEndpoint EndpointID
		OpenFor      time.Duration
	}
	// KeySettling restores the settling delay of a key: no request of this key may be sent before it
	// has passed.
	KeySettling struct {
		Key uint64
		For time.Duration
	}
	// StreamStarted reports that a streamed answer has begun to arrive.
	StreamStarted struct {
		Request RequestID
		Attempt int
	}
	// RetryAfterReceived reports a retry-after delay that an answer named before the outcome of its
	// attempt is known. It takes effect at once.
	RetryAfterReceived struct {
		Endpoint   EndpointID
		RetryAfter time.Duration
	}
	// AttemptEnded reports the outcome of a Send. There is exactly one for each Send.
	AttemptEnded struct {
		Request    RequestID
		Endpoint   EndpointID
		Attempt    int
		Outcome    Outcome
		Took       time.Duration
		RetryAfter time.Duration // retry-after delay named by the destination; zero if none
		Done       bool          // the request has its final result
		SetupTook  time.Duration // time until the first byte could be sent; starts Class.Window
		Report     []float64     // values in the order of Settings.Report

		// The connection of the call, if known: new, or reused after an idle time. If
		// neither is set, the module's own assumption is used.
		NewConn  bool
		ConnIdle time.Duration
	}
	// ProbeEnded reports the result of a Probe.
	ProbeEnded struct {
		Endpoint EndpointID
		Outcome  Outcome
		Took     time.Duration
		Report   []float64
	}
	// Withdrawn reports that a request needs no final answer any more.
	Withdrawn struct{ Request RequestID }
	// PeerMessagesReceived brings messages from another courier of the fleet. They may arrive late, out of
	// order or not at all.
	PeerMessagesReceived struct {
		Peer     int // index of the sender
		Messages []PeerMessage
	}
	// Timer reports that the timer of a SetTimer action has expired.
	Timer struct{ Token uint64 }
)

func (List) event()                 {}
func (Unload) event()               {}
func (Load) event()                 {}
func (Inspect) event()              {}
func (Request) event()              {}
func (StreamStarted) event()        {}
func (RetryAfterReceived) event()   {}
func (AttemptEnded) event()         {}
func (ProbeEnded) event()           {}
func (Withdrawn) event()            {}
func (Timer) event()                {}
func (KeySettling) event()          {}
func (PeerMessagesReceived) event() {}

// PeerMessage is a peer message between two couriers about one destination. A lease owner is the courier
// that shares out the destination's rate limit to the fleet.
type PeerMessage struct {
	Destination   DestinationID
	RequestsGrant bool // requests a grant of Calls calls; Rank is the highest priority
	IsGrant       bool // grants Calls calls; with zero Calls the request is queued
	Calls         int
	Rank          int     // at most 255
	ReturnedCalls int     // unused granted calls that are returned, less calls made without a grant
	RejectedCalls int     // calls rejected because of the rate limit
	Unreachable   bool    // calls of the sender do not reach the destination
	Recovered     bool    // the destination answers again; from a lease owner: to another courier
	Cold          bool    // from a lease owner: it is recovering, grants are reduced
	Limit         float64 // reported rate limit in calls per second; zero if not new
	OldLimit      bool    // in a grant request: the limit was reported some time ago
}

// Action is an output of Courier.Handle, to be carried out at once.
type Action interface{ action() }

// The actions.
type (
	// Send calls an endpoint with a request. Sends to one endpoint returned by the same call of
	// Handle share a call, up to Kind.BundleMax.
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration
	}
	// Refuse is a final answer which states that a retry by the client is harmless.
	Refuse struct {
		Request    RequestID
		RetryAfter time.Duration // zero means no advice
	}
	// Fail is a final answer that does not state whether the request was executed.
	Fail struct{ Request RequestID }
	// Cancel ends the wait for the outcome of an attempt.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// Probe checks an endpoint without a request.
	Probe struct{ Endpoint EndpointID }
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle struct{ Endpoint EndpointID }
	// Watch subscribes to the endpoint list.
	Watch struct{}
	// SetTimer requests a Timer event.
	SetTimer struct {
		Token uint64
		After time.Duration
	}
	// Unloaded answers the request to unload a destination. If Busy is set, the destination stays
	// loaded and there is no snapshot.
	Unloaded struct {
		Destination DestinationID
		Snapshot    *DestinationSnapshot
		Busy        bool
	}
	// Inspected answers the request for a snapshot.
	Inspected struct {
		Destination DestinationID
		Snapshot    *DestinationSnapshot // nil if nothing is known about the destination
	}
	// SendPeerMessages sends messages to another courier of the fleet. Peer is its index.
	SendPeerMessages struct {
		Peer     int
		Messages []PeerMessage
	}
	// Log is a log line for operators.
	Log struct{ Text string }
)

func (Send) action()             {}
func (Refuse) action()           {}
func (Fail) action()             {}
func (Cancel) action()           {}
func (Probe) action()            {}
func (CloseIdle) action()        {}
func (Watch) action()            {}
func (SetTimer) action()         {}
func (Unloaded) action()         {}
func (Inspected) action()        {}
func (Log) action()              {}
func (SendPeerMessages) action() {}

// DestinationSnapshot is a snapshot of what the module knows about a destination. Durations are relative to
// the moment at which it was taken, latencies are in seconds and rates in calls per second.
type DestinationSnapshot struct {
	Latency, BestLatency float64 // latency: smoothed, and lowest recent value
	PeakRate             float64 // highest rate of successes
	Window               float64 // concurrency window: maximum number of open calls
	FirstAttempts        float64 // first attempts in the window of the retry budget
	Retries              float64 // retries in that window
	Successes            float64 // successes in that window
	// Both belong to the kind of destination: the call gap learned from rejected retries, and
	// the time for which connection tables are still assumed to be small.
	RetryGap      time.Duration
	SmallTableFor time.Duration
	Routes        []RouteSnapshot
	Endpoints     []EndpointSnapshot
}

// RouteSnapshot is the snapshot of a route: the endpoints that share one rate limit.
type RouteSnapshot struct {
	Limit, LimitLeft float64 // limit for the whole fleet, zero if unknown; share of it that is left
	PacingRate       float64 // this courier's own pacing rate
	CallGap          time.Duration
	BlockedFor       time.Duration // time until the next call is allowed, including a retry-after delay
	Rejections       int
	SinceRejection   time.Duration
	ColdCalls        float64 // recent calls to endpoints that were not healthy
}

// Condition is the health of an endpoint.
type Condition int

// The conditions.
const (
	Serving    Condition = iota
	Down                 // failed: its circuit breaker is open and it gets trial calls only
	Recovering           // recovering from an outage, with slow start
)

// EndpointSnapshot is the snapshot of one endpoint.
type EndpointSnapshot struct {
	ID             EndpointID
	Route          int // index among the routes of the snapshot
	Latency        float64
	Condition      Condition
	SinceCondition time.Duration // time since Condition was entered
	SinceFailure   time.Duration // time since its failures began
	LastOutage     time.Duration // length of its last outage
	Backoff        time.Duration
	UntilTrial     time.Duration // time until the next trial; negative if overdue
	Failures       int
	TrialSafe      bool
}

// CautiousStart limits the calls to a destination after it has been loaded.
type CautiousStart struct {
	Window         float64       // initial concurrency window; zero keeps the window of the snapshot
	Cold           bool          // treat endpoints that served as recovering from an outage
	ReducedPaceFor time.Duration // time for which the pacing rate stays below the even share
}
