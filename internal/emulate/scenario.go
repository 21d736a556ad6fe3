package emulate

import (
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"snowjunction"
	"snowjunction/internal/library"
	"snowjunction/internal/schema"
)

// Range is a minimum and a maximum between which a value is drawn.
type Range [2]float64

// Span is a time span: its start, measured from the start of the run, and its length, in seconds.
type Span struct {
	At  float64 `json:"at_s"`
	For float64 `json:"for_s"`
}

// Scenario describes a run. Its schema is internal/schema/emulate.schema.json;
// library/base.json has a value for every field that is not a list.
type Scenario struct {
	Name       string   `json:"name"`
	About      string   `json:"about"`
	Extends    []string `json:"extends,omitempty"`
	Seconds    float64  `json:"seconds"`
	Couriers   int      `json:"couriers"`
	TickMs     float64  `json:"tick_ms"`
	UnloadIdle bool     `json:"dormancy"` // couriers unload idle destinations
	Partners   struct {
		Count             int     `json:"count"`
		Active            int     `json:"active"` // partners that get traffic; zero means all
		Endpoints         Range   `json:"endpoints"`
		Skew              float64 `json:"skew"`     // exponent of the popularity (Zipf's law)
		LimitedShare      float64 `json:"limited"`  // share of the partners that have a limit
		WindowedShare     float64 `json:"spans"`    // share of the limits that count calls in a window
		WindowS           Range   `json:"span_s"`   // length of that window
		CountingShare     float64 `json:"counting"` // share of partners where refused calls use up the limit
		RetryAfterShare   float64 `json:"tells"`    // share of the refusals with a retry-after delay
		ReportShare       float64 `json:"reports"`  // share of the partners that report their limit
		RefreshMs         Range   `json:"refresh_ms"`
		MinRetryAfterS    Range   `json:"least_wait_s"` // minimum of the retry-after delay, whatever the limit
		Headroom          Range   `json:"headroom"`     // limit relative to its calls at full load
		MinLimit          float64 `json:"least_limit"`
		Capacity          Range   `json:"capacity"` // relative to the limit, or to its calls at full load
		LatencyMs         Range   `json:"latency_ms"`
		Queue             int     `json:"queue"`
		Errors            float64 `json:"errors"`
		ColdShare         float64 `json:"cold_share"`    // share of the capacity at the start of the recovery
		WarmUpS           float64 `json:"warm_s"`        // duration of the recovery
		CollapseMultiple  float64 `json:"fall_multiple"` // multiple of its capacity at which it collapses
		CollapseTimeS     float64 `json:"fall_s"`        // window in which calls count for a collapse
		CollapseSlack     float64 `json:"fall_slack"`    // calls allowed in addition
		CollapseRootSlack float64 `json:"fall_root"`     // further calls, times the root of those that the settings allow
	} `json:"partners"`
	Load struct {
		Full        float64 `json:"full"`    // messages per second at full load, to which limits are relative
		Level       float64 `json:"level"`   // offered load, relative to Full
		WaveDepth   float64 `json:"wave"`    // relative amplitude of a slow sine wave
		WavePeriodS float64 `json:"wave_s"`  // period of that wave
		OrderShare  float64 `json:"orders"`  // share of the messages that are orders with a key
		PerKey      float64 `json:"per_key"` // mean number of messages per key
		// KeyGapS is the mean time between two messages of a key.
		KeyGapS    float64 `json:"key_gap_s"`
		BurstShare float64 `json:"clumps"`  // share of messages that arrive in bursts
		BurstSizeS Range   `json:"clump_s"` // size of a burst, in seconds of the partner's rate
		Jumps      []struct {
			Span
			Times float64 `json:"times"`
		} `json:"jumps"`
		Hot []struct {
			Span
			Partners int     `json:"partners"`
			Share    float64 `json:"share"`
		} `json:"hot"`
	} `json:"load"`
	Tenants []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Over  float64 `json:"over"` // load it sends relative to its share; below one means one
	} `json:"tenants"`
	Clients struct {
		Retries         float64 `json:"retries"`
		HonorRetryAfter float64 `json:"heeds"` // share of the clients that respect the retry-after delay
		BackoffMs       Range   `json:"backoff_ms"`
	} `json:"clients"`
	Network struct {
		DelayMs      Range    `json:"delay_ms"`
		Handshake    float64  `json:"handshake"` // duration of a handshake, in round trips
		Loss         float64  `json:"loss"`      // share of the calls that are lost
		PeerMessages struct { // messages between couriers; disabled if there is no delay
			DelayMs Range   `json:"delay_ms"`
			Loss    float64 `json:"loss"`
			Down    []Span  `json:"down"` // spans in which none arrives
		} `json:"notes"`
		Partitions []struct {
			Span
			Share    float64 `json:"share"`    // share of the partners
			Couriers float64 `json:"couriers"` // share of the couriers; zero means all
		} `json:"partitions"`
	} `json:"network"`
	Directory struct {
		DelayS     Range   `json:"delay_s"`
		Down       []Span  `json:"down"`
		StaleShare float64 `json:"stale"` // share of the endpoints that are listed at the start but do not exist
		ReuseShare float64 `json:"reuse"` // share of the removed endpoints whose address another service uses
	} `json:"directory"`
	Faults []struct {
		Kind string `json:"kind"`
		Span
		Share         float64 `json:"share"`     // share of the partners
		Endpoints     float64 `json:"endpoints"` // share of each partner's endpoints; zero means all
		Calls         float64 `json:"calls"`     // share of the calls; zero means all
		Times         float64 `json:"times"`
		Cold          bool    `json:"cold"`
		FlapIntervalS float64 `json:"flap_s"` // alternately on and off for this time; zero means always on
	} `json:"faults"`
	Drains []struct {
		At    float64 `json:"at_s"`
		Over  float64 `json:"over_s"`
		Share float64 `json:"share"` // share of the endpoints, which new ones replace
	} `json:"drains"`
	Crashes []struct {
		At      float64 `json:"at_s"`
		Down    float64 `json:"down_s"`
		Share   float64 `json:"share"`  // share of the couriers; zero means one courier
		Over    float64 `json:"over_s"` // one after another within this time
		Journal bool    `json:"journal"`
	} `json:"crashes"`
	Settings struct {
		Slots     int     `json:"slots"` // zero means derived from the load
		Held      int     `json:"held"`  // zero means derived from the load
		Attempts  int     `json:"attempts"`
		SlotShare float64 `json:"slot_share"` // slots relative to those that full load keeps busy
	} `json:"settings"`
	// Kept selects what couriers keep on disk next to the journal.
	Kept struct {
		List   bool    `json:"list"`    // the directory's list, used at a start while the directory is down
		Weigh  bool    `json:"weigh"`   // rate the confidence in the list by its age and by call results
		FreshS float64 `json:"fresh_s"` // age after which a list is doubtful; zero means the default of couriers
		Learnt bool    `json:"learnt"`  // the learned state of the module
	} `json:"kept"`
	// Plugin is a plug-in of each courier, called for every message, one after another,
	// before the courier decides.
	Plugin struct {
		CallMs   Range   `json:"call_ms"`
		BudgetMs float64 `json:"budget_ms"` // a call that takes longer fails; zero means no plug-in
		Breaker  bool    `json:"breaker"`   // quarantine, with the default settings of couriers
		Hangs    []Span  `json:"hangs"`     // spans in which no call ends
	} `json:"plugin"`
	// Tuning overrides constants of the module, for experiments.
	Tuning struct {
		LedgerRatio      *float64 `json:"ledger_ratio"`
		LedgerFloor      *float64 `json:"ledger_floor"`
		MaxSlotShare     *float64 `json:"slots_share"`
		InitialPace      *float64 `json:"pace_start"`
		PaceAfterLoad    *float64 `json:"pace_woken"`
		ColdBudgetFactor *float64 `json:"cold_safety"`
	} `json:"tuning"`
}

// tuning returns the constants for the module, or nil for its own.
func (s *Scenario) tuning() *snowjunction.Tuning {
	t, changed := snowjunction.StandardTuning(), false
	for _, x := range []struct {
		to   *float64
		from *float64
	}{
		{&t.RetryRatio, s.Tuning.LedgerRatio}, {&t.RetryFloor, s.Tuning.LedgerFloor}, {&t.MaxSlotShare, s.Tuning.MaxSlotShare},
		{&t.InitialPace, s.Tuning.InitialPace}, {&t.PaceAfterLoad, s.Tuning.PaceAfterLoad}, {&t.ColdBudgetFactor, s.Tuning.ColdBudgetFactor},
	} {
		if x.from != nil {
			*x.to, changed = *x.from, true
		}
	}
	if !changed {
		return nil
	}
	return &t
}

//go:embed library/*.json
var libraryFiles embed.FS

// Library is the set of built-in scenarios.
var Library = library.Set{FS: libraryFiles, Kind: "scenario"}

// Load reads a scenario: one of the library by its name, or a file. The scenario
// "base" comes first, then those that it extends, then the scenario itself, then the
// overlays; each is merged into the result so far (JSON Merge Patch, RFC 7396).
func Load(name string, overlays ...string) (*Scenario, error) {
	text, err := Text("", name, overlays...)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Text returns the merged scenario as JSON, for callers that modify it further. File
// names are relative to folder.
func Text(folder, name string, overlays ...string) ([]byte, error) {
	text, err := mergeScenario([]byte("{}"), "base", folder, nil)
	for _, n := range append([]string{name}, overlays...) {
		if err == nil && n != "base" {
			text, err = mergeScenario(text, n, folder, nil)
		}
	}
	return text, err
}

// Parse decodes and validates a merged scenario.
func Parse(name string, text []byte) (*Scenario, error) {
	if err := schema.Check("emulate", text); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	s := &Scenario{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return s, s.check(name)
}

// check validates the constraints that the schema cannot express.
func (s *Scenario) check(name string) error {
	invalid := func(pointer, what string) error { return fmt.Errorf("scenario %s: %s: %s", name, pointer, what) }
	for _, x := range []struct {
		pointer string
		r       Range
	}{
		{"/partners/endpoints", s.Partners.Endpoints},
		{"/partners/span_s", s.Partners.WindowS},
		{"/partners/refresh_ms", s.Partners.RefreshMs},
		{"/partners/least_wait_s", s.Partners.MinRetryAfterS},
		{"/partners/headroom", s.Partners.Headroom},
		{"/partners/capacity", s.Partners.Capacity},
		{"/partners/latency_ms", s.Partners.LatencyMs},
		{"/load/clump_s", s.Load.BurstSizeS},
		{"/plugin/call_ms", s.Plugin.CallMs},
		{"/clients/backoff_ms", s.Clients.BackoffMs},
		{"/network/delay_ms", s.Network.DelayMs},
		{"/network/notes/delay_ms", s.Network.PeerMessages.DelayMs},
		{"/directory/delay_s", s.Directory.DelayS},
	} {
		if x.r[0] > x.r[1] {
			return invalid(x.pointer, "the minimum exceeds the maximum")
		}
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Share
	}
	for i, f := range s.Faults {
		if f.Kind == "cut" && (f.Times <= 0 || f.Times >= 1) {
			return invalid(fmt.Sprintf("/faults/%d/times", i), "must be over 0 and under 1 for a cut limit")
		}
		if f.Kind != "cut" && f.Times > 0 && f.Times < 1 {
			return invalid(fmt.Sprintf("/faults/%d/times", i), "must be at least 1")
		}
		if f.Endpoints > 0 && (f.Kind == "slow" || f.Kind == "cut" || f.Cold) {
			return invalid(fmt.Sprintf("/faults/%d/endpoints", i), "must be 0 for slow, cut and cold faults, which affect a partner as a whole")
		}
	}
	switch {
	case s.Partners.Endpoints[0] < 1:
		return invalid("/partners/endpoints/0", "must be at least 1")
	case s.Partners.LatencyMs[0] <= 0:
		return invalid("/partners/latency_ms/0", "must be over 0")
	case s.Partners.Active > s.Partners.Count:
		return invalid("/partners/active", "exceeds the number of partners")
	case total < 0.99 || total > 1.01:
		return invalid("/tenants", "the shares must add up to 1")
	}
	return nil
}

const maxExtends = 16

// mergeScenario merges the scenarios that a scenario extends, and then itself, into text.
// from is the folder that file names are relative to.
func mergeScenario(text []byte, name, from string, seen []string) ([]byte, error) {
	if slices.Contains(seen, name) || len(seen) > maxExtends {
		return nil, fmt.Errorf("scenario %s extends itself or too many others, through %s", name, strings.Join(seen, ", "))
	}
	b, from, err := Library.Read(name, from)
	if err != nil {
		return nil, err
	}
	if err := schema.Check("emulate", b); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	var own struct {
		Extends []string `json:"extends"`
	}
	if err := json.Unmarshal(b, &own); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	for _, base := range own.Extends {
		if text, err = mergeScenario(text, base, from, append(seen, name)); err != nil {
			return nil, err
		}
	}
	if text, err = jsonpatch.MergePatch(text, b); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return text, nil
}
