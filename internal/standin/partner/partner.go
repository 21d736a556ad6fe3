// Package partner models a partner system: a destination with a rate limit, a queue, a capacity,
// scripted faults and a record of the calls that it received. The model does no I/O, reads no
// clock and starts no goroutine. The caller passes in all times, which are durations since the
// start of the caller's clock; this allows use over sockets and in simulated time.
package partner

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Profile describes the normal behavior of a partner, without faults.
type Profile struct {
	Limit           float64       // rate limit for all couriers together, in calls per second; 0 means no limit
	Window          time.Duration // length of the limit's fixed windows; 0 means a token bucket
	CountsRejected  bool          // whether rejected calls count against the limit
	RetryAfterShare float64       // share of the rejections that carry a retry-after delay
	ReportsLimit    bool          // whether responses report the limit and the remaining share of it
	MaxReportAge    time.Duration // maximum age of a report
	MinRetryAfter   time.Duration // minimum retry-after delay

	Capacity float64       // calls per second that it can serve; 0 means unlimited
	Latency  time.Duration // of a call without contention
	Queue    int           // maximum concurrent calls; 0 means unlimited

	ColdShare         float64       // share of the capacity available right after recovery
	WarmUp            time.Duration // time after recovery until the full capacity is available
	CollapseMultiple  float64       // overload threshold while cold, as a multiple of the present capacity
	CollapseWindow    time.Duration // sliding window in which the overload is measured; the collapse is permanent
	CollapseSlack     float64       // calls allowed beyond the threshold, since a burst may be in flight; 0 means one
	CollapseRootSlack float64       // further calls allowed, as a multiple of the square root of the threshold
}

// Kind is a kind of fault.
type Kind int

// The kinds of fault. Error, Reject, Reset and Silent affect a share of the calls; Slow
// increases the latency of all calls.
const (
	Error  Kind = iota // status 500 after a short delay; the call may have run
	Reject             // rejected, possibly with a retry-after delay until the end of the fault
	Reset              // the connection is reset after the call has been read
	Silent             // no response
	Slow
	ReducedLimit // the rate limit is reduced
)

// Fault is a failure mode in force between two times. A partner may have several at once: they
// are evaluated in the order in which they were added, and the first that applies to a call
// decides its response. Slow and ReducedLimit faults are cumulative instead.
type Fault struct {
	Kind        Kind
	From, Until time.Duration
	Share       float64 // share of the calls affected; 0 means all
	Factor      float64 // factor on the latency (Slow) or on the limit (ReducedLimit)
	Cold        bool    // the partner recovers cold from the fault, with reduced capacity
}

// Call is a delivery attempt that a partner receives.
type Call struct {
	ID  string
	Key uint64        // ordering key: its messages come one at a time and in order; 0 means no key
	Seq uint64        // sequence number within the key
	Due time.Duration // deadline, after which a delivery counts as late; 0 means no deadline
}

// Response is a partner's response to a call.
type Response struct {
	Status         int           // HTTP status; 0 means that no response is ever sent
	Reset          bool          // the connection is reset
	Delay          time.Duration // delay before the response
	RetryAfter     time.Duration // retry-after delay of a response with status 429
	RemainingShare float64       // reported share of the limit that remains
	Limit          float64       // reported limit in calls per second; 0 means no report
}

// Counts holds a partner's counters.
type Counts struct {
	Calls, Delivered, Refused, Failed int
	Late                              int     // deliveries after their deadline
	Duplicates                        int     `json:"Copies"` // calls with a message that was delivered already or is in flight
	OutOfOrder                        int     // calls that overtook another of their key or ran concurrently with it
	DuringRetryAfter                  int     `json:"InWait"` // calls that arrived during a retry-after delay
	Peak                              float64 // highest call count in a window, as a multiple of what the limit allowed
	OverLimit                         int     `json:"Over"`    // calls beyond the limit
	Collapses                         int     `json:"Fell"`    // collapses under overload
	AfterDrain                        int     `json:"Drained"` // calls to an endpoint more than a second after it was listed as draining
}

// Add adds the counters of x. Peak becomes the higher of the two.
func (n *Counts) Add(x Counts) {
	n.Calls, n.Delivered, n.Refused, n.Failed = n.Calls+x.Calls, n.Delivered+x.Delivered, n.Refused+x.Refused, n.Failed+x.Failed
	n.Late, n.Duplicates, n.OutOfOrder, n.DuringRetryAfter = n.Late+x.Late, n.Duplicates+x.Duplicates, n.OutOfOrder+x.OutOfOrder, n.DuringRetryAfter+x.DuringRetryAfter
	n.OverLimit, n.Collapses, n.AfterDrain, n.Peak = n.OverLimit+x.OverLimit, n.Collapses+x.Collapses, n.AfterDrain+x.AfterDrain, max(n.Peak, x.Peak)
}

// Violations returns the number of rule violations by the caller that the partner can detect.
func (n Counts) Violations() int {
	return n.Duplicates + n.OutOfOrder + n.DuringRetryAfter + n.Collapses + n.AfterDrain
}

// Partner simulates one partner system. It is not safe for concurrent use.
type Partner struct {
	Profile    Profile
	Counts     Counts
	SkipChecks bool // skips the checks of the sender's obligations, which the caller does itself
	// DuplicateGrace is how long after a call a duplicate of its message is allowed: an attempt that the
	// sender abandoned may have run without its knowledge. Zero means never.
	DuplicateGrace time.Duration
	rng            *rand.Rand
	faults         []Fault
	uncutLimit     float64 // the limit without ReducedLimit faults; 0 until the first of them

	tokens           float64         // in the token bucket
	refilledAt       time.Duration   // time of the last refill
	window           int64           // index of the current fixed window
	windowCalls      int             // calls in the window that count against the limit
	windowArrivals   int             // all calls in the window
	recentArrivals   []time.Duration // arrival times of recent calls, for Peak
	recentWork       []time.Duration // arrival times of recent calls that used capacity, to detect overload
	busyUntil        time.Duration   // the simulated server is busy until then
	inFlight         int             // calls in flight
	coldSince        time.Duration
	cold             bool
	collapsed        bool
	retryAfterUntil  time.Duration // end of the latest retry-after delay
	retryAfterSentAt time.Duration // when that delay was sent
	report           Response
	reportAt         time.Duration
	reported         bool

	deliveredByID map[string]bool          // false while in flight, true once delivered
	deliveredLate map[string]bool          // IDs of messages delivered late
	startedAt     map[string]time.Duration // by message ID, if DuplicateGrace is set
	keys          map[uint64]keyState      // by ordering key
}

type keyState struct {
	lastSeq  uint64 // highest sequence number that has started
	inFlight int    // calls in flight
}

// New returns a partner that draws its random numbers from seed.
func New(p Profile, seed uint64) *Partner {
	return &Partner{
		Profile: p, rng: rand.New(rand.NewPCG(seed, 0x5fa9)), deliveredByID: map[string]bool{}, deliveredLate: map[string]bool{}, startedAt: map[string]time.Duration{}, keys: map[uint64]keyState{},
	}
}

// Add adds a fault.
func (p *Partner) Add(f Fault) { p.faults = append(p.faults, f) }

// MakeCold makes the partner cold at the given time. Its capacity grows linearly from then on.
func (p *Partner) MakeCold(now time.Duration) { p.cold, p.coldSince = true, now }

// capacityShare returns the share of the capacity that is available now.
func (p *Partner) capacityShare(now time.Duration) float64 {
	for _, f := range p.faults {
		if f.Cold && now >= f.Until && (!p.cold || f.Until > p.coldSince) && now-f.Until < p.Profile.WarmUp {
			p.cold, p.coldSince = true, f.Until
		}
	}
	if !p.cold || p.Profile.WarmUp <= 0 || now-p.coldSince >= p.Profile.WarmUp {
		return 1
	}
	elapsed := float64(now-p.coldSince) / float64(p.Profile.WarmUp)
	return p.Profile.ColdShare + (1-p.Profile.ColdShare)*math.Max(elapsed, 0)
}

// windowLimit returns the number of calls that the limit allows in a window, and the window's
// length. A token bucket allows its burst, half a second of calls and at least one, on top of the
// calls of a second.
func (p *Partner) windowLimit() (float64, time.Duration) {
	if p.Profile.Window > 0 {
		return math.Max(1, math.Floor(p.Profile.Limit*p.Profile.Window.Seconds())), p.Profile.Window
	}
	return p.Profile.Limit + p.burst(), time.Second
}

// effectiveLimit returns the limit in calls per second as enforced: the count of a fixed window is
// rounded down.
func (p *Partner) effectiveLimit() float64 {
	if p.Profile.Window > 0 {
		allowed, span := p.windowLimit()
		return allowed / span.Seconds()
	}
	return p.Profile.Limit
}

// burst returns the size of the token bucket.
func (p *Partner) burst() float64 { return math.Max(1, p.Profile.Limit/2) }

// Begin accepts a call and returns the response to it. The caller must call End once the
// response has been sent or abandoned.
func (p *Partner) Begin(now time.Duration, c Call) Response {
	p.Counts.Calls++
	p.inFlight++
	p.applyCuts(now)
	p.checkObligations(now, c)
	over := p.countAgainstLimit(now)
	answer := p.answer(now, c, over)
	if p.Profile.ReportsLimit && p.Profile.Limit > 0 && answer.Status != 0 {
		if !p.reported || now-p.reportAt >= p.Profile.MaxReportAge {
			p.reported, p.reportAt = true, now
			p.report = Response{RemainingShare: p.remainingShare(now), Limit: p.effectiveLimit()}
		}
		answer.RemainingShare, answer.Limit = p.report.RemainingShare, p.report.Limit
	}
	return answer
}

// applyCuts applies the ReducedLimit faults in force to the limit.
func (p *Partner) applyCuts(now time.Duration) {
	if !slices.ContainsFunc(p.faults, func(f Fault) bool { return f.Kind == ReducedLimit }) {
		return
	}
	if p.uncutLimit == 0 {
		p.uncutLimit = p.Profile.Limit
	}
	p.Profile.Limit = p.uncutLimit
	for _, f := range p.faults {
		if f.Kind == ReducedLimit && now >= f.From && now < f.Until {
			p.Profile.Limit *= f.Factor
		}
	}
}

// checkObligations checks the sender's obligations: no duplicates, ordering by key, and retry-after
// delays.
func (p *Partner) checkObligations(now time.Duration, c Call) {
	if p.SkipChecks {
		return
	}
	allowedDuplicate := false
	if _, ok := p.deliveredByID[c.ID]; ok {
		if allowedDuplicate = now-p.startedAt[c.ID] < p.DuplicateGrace; !allowedDuplicate {
			p.Counts.Duplicates++
		}
	} else {
		p.deliveredByID[c.ID] = false
		if p.DuplicateGrace > 0 {
			p.startedAt[c.ID] = now
		}
	}
	if c.Key != 0 {
		key := p.keys[c.Key]
		if !allowedDuplicate && key.inFlight > 0 || c.Seq < key.lastSeq {
			p.Counts.OutOfOrder++
		}
		key.lastSeq, key.inFlight = max(key.lastSeq, c.Seq), key.inFlight+1
		p.keys[c.Key] = key
	}
	if now < p.retryAfterUntil && now >= p.retryAfterSentAt+retryAfterGrace {
		p.Counts.DuringRetryAfter++
	}
}

// retryAfterGrace allows for calls that were in flight when the retry-after delay was sent.
const retryAfterGrace = 100 * time.Millisecond

// countAgainstLimit counts a call against the limit and reports whether it exceeds the limit.
func (p *Partner) countAgainstLimit(now time.Duration) (over bool) {
	if p.Profile.Limit <= 0 {
		return false
	}
	allowed, span := p.windowLimit()
	if p.Profile.Window > 0 {
		if n := int64(now / span); n != p.window {
			p.window, p.windowCalls, p.windowArrivals = n, 0, 0
		}
		p.windowArrivals++
		over = float64(p.windowCalls) >= allowed
		if !over || p.Profile.CountsRejected {
			p.windowCalls++
		}
		p.Counts.Peak = math.Max(p.Counts.Peak, float64(p.windowArrivals)/allowed)
	} else {
		if p.refilledAt == 0 {
			p.tokens = p.burst()
		} else {
			p.tokens = math.Min(p.tokens+(now-p.refilledAt).Seconds()*p.Profile.Limit, p.burst())
		}
		p.refilledAt = max(now, 1)
		over = p.tokens < 1
		if !over || p.Profile.CountsRejected {
			p.tokens = math.Max(p.tokens-1, -p.burst())
		}
		p.recentArrivals = append(since(p.recentArrivals, now-span), now)
		p.Counts.Peak = math.Max(p.Counts.Peak, float64(len(p.recentArrivals))/math.Floor(allowed))
	}
	if over {
		p.Counts.OverLimit++
	}
	return over
}

// remainingShare returns the remaining share of the limit.
func (p *Partner) remainingShare(now time.Duration) float64 {
	if p.Profile.Window > 0 {
		allowed, span := p.windowLimit()
		if int64(now/span) != p.window {
			return 1
		}
		return math.Max(0, 1-float64(p.windowCalls)/allowed)
	}
	return math.Max(0, p.tokens/p.burst())
}

// since returns the times in the sorted list that are not before from.
func since(list []time.Duration, from time.Duration) []time.Duration {
	n := 0
	for n < len(list) && list[n] < from {
		n++
	}
	return list[n:]
}

// answer decides the response to a call: faults first, then the limit, the queue and the capacity.
func (p *Partner) answer(now time.Duration, c Call, over bool) Response {
	slow := 1.0
	for _, f := range p.faults {
		if now < f.From || now >= f.Until {
			continue
		}
		if f.Kind == Slow {
			slow *= f.Factor
			continue
		}
		if f.Kind == ReducedLimit || f.Share > 0 && p.rng.Float64() >= f.Share {
			continue
		}
		switch f.Kind {
		case Error:
			p.Counts.Failed++
			return Response{Status: 500, Delay: p.Profile.Latency / 4}
		case Reject:
			return p.reject(now, f.Until)
		case Reset:
			p.Counts.Failed++
			return Response{Reset: true, Delay: p.Profile.Latency / 4}
		case Silent:
			p.Counts.Failed++
			return Response{}
		}
	}
	if p.collapsed {
		p.Counts.Failed++
		return Response{}
	}
	p.checkOverload(now)
	switch {
	case over && p.Profile.Window > 0:
		return p.reject(now, time.Duration(p.window+1)*p.Profile.Window)
	case over:
		return p.reject(now, now+time.Duration((1-p.tokens)/p.Profile.Limit*float64(time.Second)))
	case p.Profile.Queue > 0 && p.inFlight > p.Profile.Queue:
		return p.reject(now, 0)
	}
	duration := time.Duration(float64(p.Profile.Latency) * slow)
	if p.Profile.Capacity > 0 {
		perCall := time.Duration(float64(time.Second) / (p.Profile.Capacity * p.capacityShare(now)) * slow)
		p.busyUntil = max(p.busyUntil, now) + perCall
		duration = max(duration, p.busyUntil-now)
	}
	return Response{Status: 200, Delay: duration}
}

// ColdAllowance returns the number of calls that the partner withstands per CollapseWindow while
// it recovers from an outage. cold is false if the partner is warm, collapsed or in an outage.
func (p *Partner) ColdAllowance(now time.Duration) (allowed float64, cold bool) {
	f := p.Profile
	share := p.capacityShare(now)
	if f.CollapseMultiple <= 0 || f.Capacity <= 0 || share >= 1 || p.collapsed || p.InOutage(now) {
		return 0, false
	}
	return f.CollapseMultiple * share * f.Capacity * f.CollapseWindow.Seconds(), true
}

// InOutage reports whether the partner is in an outage from which it recovers cold, or has collapsed.
func (p *Partner) InOutage(now time.Duration) bool {
	return p.collapsed || slices.ContainsFunc(p.faults, func(f Fault) bool { return f.Cold && now >= f.From && now < f.Until })
}

// checkOverload makes a cold partner collapse if it receives far more calls than it can serve.
func (p *Partner) checkOverload(now time.Duration) {
	f := p.Profile
	if f.CollapseMultiple <= 0 || f.Capacity <= 0 || p.capacityShare(now) >= 1 {
		p.recentWork = p.recentWork[:0]
		return
	}
	p.recentWork = append(since(p.recentWork, now-f.CollapseWindow), now)
	allowed := f.CollapseMultiple * p.capacityShare(now) * f.Capacity * f.CollapseWindow.Seconds()
	if float64(len(p.recentWork)) > allowed+math.Max(f.CollapseSlack+f.CollapseRootSlack*math.Sqrt(allowed), 1) {
		p.collapsed = true
		p.Counts.Collapses++
	}
}

// WouldServe reports whether a call that arrives now, after inTransit others, would be served. If
// not, it returns a delay after which one may be. It is meant for callers that may read the
// partner's internal state, such as an optimal baseline.
func (p *Partner) WouldServe(now time.Duration, inTransit int) (ok bool, wait time.Duration) {
	for _, f := range p.faults {
		if now >= f.From && now < f.Until && f.Kind != Slow && f.Kind != ReducedLimit && f.Share == 0 {
			return false, f.Until - now
		}
	}
	switch {
	case p.collapsed:
		return false, time.Hour
	case p.Profile.Queue > 0 && p.inFlight+inTransit >= p.Profile.Queue:
		return false, p.Profile.Latency / 4
	}
	if p.Profile.CollapseMultiple > 0 && p.Profile.Capacity > 0 {
		if share := p.capacityShare(now); share < 1 {
			n := 1 + inTransit
			for _, at := range p.recentWork {
				if at >= now-p.Profile.CollapseWindow {
					n++
				}
			}
			if float64(n) > p.Profile.CollapseMultiple*share*p.Profile.Capacity*p.Profile.CollapseWindow.Seconds()*0.9 {
				return false, p.Profile.CollapseWindow / 8
			}
		}
	}
	if p.Profile.Limit <= 0 {
		return true, 0
	}
	allowed, span := p.windowLimit()
	if p.Profile.Window > 0 {
		n, counted := int64(now/span), 0
		if n == p.window {
			counted = p.windowCalls
		}
		if float64(counted+inTransit) >= allowed {
			return false, time.Duration(n+1)*span - now
		}
		return true, 0
	}
	tokens := p.burst()
	if p.refilledAt > 0 {
		tokens = math.Min(p.tokens+(now-p.refilledAt).Seconds()*p.Profile.Limit, tokens)
	}
	if tokens -= float64(inTransit); tokens < 1 {
		return false, time.Duration((1 - tokens) / p.Profile.Limit * float64(time.Second))
	}
	return true, 0
}

// reject rejects a call. If the end of the condition is known (until is after now), a share of
// the rejections given by Profile.RetryAfterShare carries it as a retry-after delay.
func (p *Partner) reject(now, until time.Duration) Response {
	p.Counts.Refused++
	if until > now && p.rng.Float64() < p.Profile.RetryAfterShare {
		wait := max(until-now+time.Millisecond-1, p.Profile.MinRetryAfter).Truncate(time.Millisecond)
		if now+wait > p.retryAfterUntil {
			p.retryAfterUntil, p.retryAfterSentAt = now+wait, now
		}
		return Response{Status: 429, RetryAfter: wait, Delay: p.Profile.Latency / 8}
	}
	return Response{Status: 503, Delay: p.Profile.Latency / 8}
}

// End records the end of a call. delivered is whether a response with status 200 was written.
func (p *Partner) End(now time.Duration, c Call, delivered bool) {
	p.inFlight--
	if p.SkipChecks {
		if delivered {
			p.Counts.Delivered++
		}
		return
	}
	if key, ok := p.keys[c.Key]; ok && c.Key != 0 {
		key.inFlight--
		p.keys[c.Key] = key
	}
	switch {
	case delivered:
		if !p.deliveredByID[c.ID] {
			p.Counts.Delivered++
			if c.Due > 0 && now > c.Due {
				p.Counts.Late++
				p.deliveredLate[c.ID] = true
			}
		}
		p.deliveredByID[c.ID] = true
	case !p.deliveredByID[c.ID]:
		delete(p.deliveredByID, c.ID)
	}
}

// InFlight returns the number of calls in flight.
func (p *Partner) InFlight() int { return p.inFlight }

// DeliveredLate reports whether a message was delivered after its deadline.
func (p *Partner) DeliveredLate(id string) bool { return p.deliveredLate[id] }

// WasDelivered reports whether a message has been delivered.
func (p *Partner) WasDelivered(id string) bool { return p.deliveredByID[id] }
