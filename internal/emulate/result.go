package emulate

import (
	"math"
	"time"

	"snowjunction"
	"snowjunction/internal/emulate/rules"
	"snowjunction/internal/latency"
)

// messageResult is the final result of a message.
type messageResult int

const (
	delivered messageResult = iota
	refused
	failed
	lost        // its courier crashed without a journal
	resultCount // number of the results above
)

// Result holds the figures of a run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Tries              int     `json:"tries"` // first tries of clients
	Retries            int     `json:"retries"`
	Sends              int     `json:"sends"`
	Delivered          int     `json:"delivered"`
	Refused            int     `json:"refused"`
	Failed             int     `json:"failed"`
	Lost               int     `json:"lost"`
	Late               int     `json:"late"`      // delivered after the target latency
	SuccessAfterResult int     `json:"after_end"` // successful calls of messages that already had their final result
	P50Ms              float64 `json:"p50_ms"`    // from the client's first try to the delivery
	P99Ms              float64 `json:"p99_ms"`

	Rejected   int `json:"turned_away"` // calls that partners rejected
	Errors     int `json:"errors"`
	TimedOut   int `json:"timed_out"`
	Resets     int `json:"resets"`
	Unreached  int `json:"unreached"`
	Handshakes int `json:"handshakes"`
	Collapses  int `json:"fell"` // collapses of recovering partners
	// Collapses of recovering partners after more than N + 2*sqrt(N) + 2 calls (rules.RampCounter),
	// those that violate the rule, and the maximum of the calls as a multiple of that bound.
	RampCollapses  int     `json:"ramp_fell,omitempty"`
	RampViolations int     `json:"ramp_broken,omitempty"`
	RampPeak       float64 `json:"ramp_peak,omitempty"`

	PeerMessages int `json:"notes,omitempty"` // messages sent between couriers
	PluginCalls  int `json:"plugin_asked,omitempty"`
	PluginSkips  int `json:"plugin_skipped,omitempty"` // calls skipped because the plug-in was in quarantine

	RestoredDestinations int `json:"recalled,omitempty"`  // destinations restored from state of a previous process run
	LearnedWrites        int `json:"learnt,omitempty"`    // writes of learned state
	RefutedEndpoints     int `json:"refuted,omitempty"`   // endpoints taken for removed because of call results
	ReusedAddressCalls   int `json:"strangers,omitempty"` // calls that reached another service at the address of a removed endpoint

	// G is the earned value as a share of the requested value, weighted: 40% for the whole
	// run, 30% for its worst 10 s, 20% for the worst class, 10% for the worst tenant.
	G           float64 `json:"g"`
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`

	Events int                `json:"events"`
	Rules  map[rules.Rule]int `json:"rules,omitempty"`
	First  []rules.Violation  `json:"first_breaches,omitempty"`

	classes   []snowjunction.Class
	outcomes  [snowjunction.NotSent + 1]int
	results   [resultCount]int
	latency   *latency.Histogram
	perSecond []valueTotals // by the second of the first try
	perClass  []valueTotals
	perTenant []valueTotals
}

// valueTotals sums the value of the messages requested and delivered.
type valueTotals struct{ requested, earned float64 }

// share returns the earned share of the requested value, or 1 if none was requested.
func (a valueTotals) share() float64 {
	if a.requested == 0 {
		return 1
	}
	return a.earned / a.requested
}

// newResult returns an empty result for a run.
func newResult(s *Scenario, o Options, classes []snowjunction.Class) Result {
	return Result{
		Scenario: s.Name, Policy: o.Policy, Seed: o.Seed, classes: classes, latency: latency.New(time.Minute, 2),
		perSecond: make([]valueTotals, int(math.Ceil(s.Seconds))+1), perClass: make([]valueTotals, len(classes)), perTenant: make([]valueTotals, len(s.Tenants)),
	}
}

// addRequested counts a first try and its value.
func (r *Result) addRequested(m *message, value float64) {
	r.Tries++
	r.perSecond[int(m.created/time.Second)].requested += value
	r.perClass[m.class].requested += value
	if !m.overQuota { // only messages within the quota count for the tenant
		r.perTenant[m.tenant].requested += value
	}
}

// addDelivered counts the value of a delivery and the time since the first try.
func (r *Result) addDelivered(m *message, value float64, took time.Duration) {
	r.perSecond[int(m.created/time.Second)].earned += value
	r.perClass[m.class].earned += value
	if !m.overQuota {
		r.perTenant[m.tenant].earned += value
	}
	r.latency.Add(took)
}

// windowSeconds is the length of the windows of which WorstWindow is the worst.
const windowSeconds = 10

// summarize computes the figures of the finished run.
func (w *world) summarize() {
	r := &w.result
	if w.checker != nil {
		w.checker.RunEnded(w.now)
		r.Rules, r.First = w.checker.Counts, w.checker.First
	}
	r.Delivered, r.Refused, r.Failed, r.Lost = r.results[delivered], r.results[refused], r.results[failed], r.results[lost]
	r.Errors, r.TimedOut = r.outcomes[snowjunction.Error], r.outcomes[snowjunction.TimedOut]
	r.Resets, r.Unreached = r.outcomes[snowjunction.Reset], r.outcomes[snowjunction.ConnectFailed]
	for _, p := range w.partners {
		r.Collapses += p.Counts.Collapses
	}
	r.RampPeak = w.ramp.Peak()
	r.P50Ms, r.P99Ms = r.latency.PercentileMs(50), r.latency.PercentileMs(99)
	whole := valueTotals{}
	for _, x := range r.perSecond {
		whole.requested, whole.earned = whole.requested+x.requested, whole.earned+x.earned
	}
	r.Whole, r.WorstWindow, r.WorstClass, r.WorstTenant = whole.share(), 1, 1, 1
	for i := 0; i+windowSeconds <= len(r.perSecond)-1; i++ {
		x := valueTotals{}
		for _, y := range r.perSecond[i : i+windowSeconds] {
			x.requested, x.earned = x.requested+y.requested, x.earned+y.earned
		}
		r.WorstWindow = math.Min(r.WorstWindow, x.share())
	}
	if len(r.perSecond)-1 < windowSeconds {
		r.WorstWindow = r.Whole
	}
	for _, x := range r.perClass {
		r.WorstClass = math.Min(r.WorstClass, x.share())
	}
	for _, x := range r.perTenant {
		r.WorstTenant = math.Min(r.WorstTenant, x.share())
	}
	r.G = 0.4*r.Whole + 0.3*r.WorstWindow + 0.2*r.WorstClass + 0.1*r.WorstTenant
}

// Violations returns the number of rule violations.
func (r *Result) Violations() (n int) {
	for _, x := range r.Rules {
		n += x
	}
	return n
}

// Measure is a named figure of a run.
type Measure struct {
	Name  string
	Value float64
}

// Measures returns the figures of a run that experiments compare. Shares are relative to
// the clients' first tries.
func (r *Result) Measures() []Measure {
	share := func(n int) float64 { return float64(n) / float64(max(r.Tries, 1)) }
	return []Measure{
		{"g", r.G}, {"whole", r.Whole}, {"worst_window", r.WorstWindow}, {"worst_class", r.WorstClass}, {"worst_tenant", r.WorstTenant},
		{"tries", float64(r.Tries)}, {"sends_per_try", share(r.Sends)}, {"client_retries_per_try", share(r.Retries)},
		{"delivered", share(r.Delivered)}, {"late", share(r.Late)}, {"refused", share(r.Refused)}, {"failed", share(r.Failed)}, {"lost", share(r.Lost)},
		{"turned_away", share(r.Rejected)}, {"errors", share(r.Errors)}, {"timed_out", share(r.TimedOut)}, {"resets", share(r.Resets)},
		{"unreached", share(r.Unreached)}, {"handshakes", share(r.Handshakes)}, {"fell", float64(r.Collapses)}, {"broken", float64(r.Violations())},
		{"ramp_past", indicator(r.RampCollapses > 0)}, {"ramp_broken", indicator(r.RampViolations > 0)}, {"ramp_peak", r.RampPeak},
		{"plugin_asked", share(r.PluginCalls)}, {"plugin_skipped", share(r.PluginSkips)}, {"p50_ms", r.P50Ms}, {"p99_ms", r.P99Ms}, {"events", float64(r.Events)},
	}
}

// indicator returns 1 if the condition holds, otherwise 0.
func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// MeasureNames returns the names of all measures, in order.
func MeasureNames() (names []string) {
	for _, m := range (&Result{}).Measures() {
		names = append(names, m.Name)
	}
	return names
}
