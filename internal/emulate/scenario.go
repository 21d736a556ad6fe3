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

// Range is a least and a most value, between which one is drawn.
type Range [2]float64

// Span is a time from the start, and a length, in seconds.
type Span struct {
	At  float64 `json:"at_s"`
	For float64 `json:"for_s"`
}

// Scenario is what a run plays. Its form is internal/schema/emulate.schema.json;
// library/base.json has a value for all that is not a list.
type Scenario struct {
	Name     string   `json:"name"`
	About    string   `json:"about"`
	Extends  []string `json:"extends,omitempty"`
	Seconds  float64  `json:"seconds"`
	Couriers int      `json:"couriers"`
	TickMs   float64  `json:"tick_ms"`
	Dormancy bool     `json:"dormancy"`
	Partners struct {
		Count        int     `json:"count"`
		Active       int     `json:"active"` // that get traffic; 0: all
		Endpoints    Range   `json:"endpoints"`
		Skew         float64 `json:"skew"` // of popularity, as in Zipf's law
		Limited      float64 `json:"limited"`
		Spans        float64 `json:"spans"` // share of the limits that are counts in a span
		SpanS        Range   `json:"span_s"`
		Counting     float64 `json:"counting"`
		Tells        float64 `json:"tells"`
		Reports      float64 `json:"reports"`
		RefreshMs    Range   `json:"refresh_ms"`
		LeastWaitS   Range   `json:"least_wait_s"` // told waits are at least so long, whatever the limit says
		Headroom     Range   `json:"headroom"`     // limit over its calls at full load
		LeastLimit   float64 `json:"least_limit"`
		Capacity     Range   `json:"capacity"` // over the limit, or over its calls at full load
		LatencyMs    Range   `json:"latency_ms"`
		Queue        int     `json:"queue"`
		Errors       float64 `json:"errors"`
		ColdShare    float64 `json:"cold_share"`
		WarmS        float64 `json:"warm_s"`
		FallMultiple float64 `json:"fall_multiple"`
		FallS        float64 `json:"fall_s"`
		FallSlack    float64 `json:"fall_slack"` // calls
		FallRoot     float64 `json:"fall_root"`  // times the root of what the settings allow, besides
	} `json:"partners"`
	Load struct {
		Full   float64 `json:"full"`  // messages a second that limits are measured by
		Level  float64 `json:"level"` // of it, that come
		Wave   float64 `json:"wave"`  // depth of a slow wave
		WaveS  float64 `json:"wave_s"`
		Orders float64 `json:"orders"`
		PerKey float64 `json:"per_key"` // messages of a key
		// KeyGapS is how long after one of its messages a key's next one comes, on
		// the average.
		KeyGapS float64 `json:"key_gap_s"`
		Clumps  float64 `json:"clumps"`  // share of messages that come in clumps
		ClumpS  Range   `json:"clump_s"` // of the partner's rate, at once
		Jumps   []struct {
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
		Over  float64 `json:"over"` // times its share that it sends; 0: as much
	} `json:"tenants"`
	Clients struct {
		Retries   float64 `json:"retries"`
		Heeds     float64 `json:"heeds"`
		BackoffMs Range   `json:"backoff_ms"`
	} `json:"clients"`
	Network struct {
		DelayMs   Range    `json:"delay_ms"`
		Handshake float64  `json:"handshake"` // round trips
		Loss      float64  `json:"loss"`      // of calls
		Notes     struct { // between couriers; without a delay there are none
			DelayMs Range   `json:"delay_ms"`
			Loss    float64 `json:"loss"`
			Down    []Span  `json:"down"` // none arrives
		} `json:"notes"`
		Partitions []struct {
			Span
			Share    float64 `json:"share"`    // of the partners
			Couriers float64 `json:"couriers"` // share of the couriers; 0: all
		} `json:"partitions"`
	} `json:"network"`
	Directory struct {
		DelayS Range   `json:"delay_s"`
		Down   []Span  `json:"down"`
		Stale  float64 `json:"stale"` // share of endpoints that are gone though listed at the start
		Reuse  float64 `json:"reuse"` // share of gone endpoints whose address somebody else uses
	} `json:"directory"`
	Faults []struct {
		Kind string `json:"kind"`
		Span
		Share     float64 `json:"share"`     // of the partners
		Endpoints float64 `json:"endpoints"` // share of each one's endpoints; 0: all
		Calls     float64 `json:"calls"`     // share of the calls; 0: all
		Times     float64 `json:"times"`
		Cold      bool    `json:"cold"`
		FlapS     float64 `json:"flap_s"` // on and off for so long in turn; 0: on
	} `json:"faults"`
	Drains []struct {
		At    float64 `json:"at_s"`
		Over  float64 `json:"over_s"`
		Share float64 `json:"share"` // of the endpoints, replaced by new ones
	} `json:"drains"`
	Crashes []struct {
		At      float64 `json:"at_s"`
		Down    float64 `json:"down_s"`
		Share   float64 `json:"share"`  // of the couriers; 0: one
		Over    float64 `json:"over_s"` // one after another in so long
		Journal bool    `json:"journal"`
	} `json:"crashes"`
	Settings struct {
		Slots     int     `json:"slots"`      // 0: by the load
		Held      int     `json:"held"`       // 0: by the load
		Attempts  int     `json:"attempts"`   //
		SlotShare float64 `json:"slot_share"` // slots over what full load keeps busy
	} `json:"settings"`
	// Kept is what couriers keep on their disks beside their journals.
	Kept struct {
		List   bool    `json:"list"`    // the directory's list: a start while that is silent uses it
		Weigh  bool    `json:"weigh"`   // weighed by its age and by what calls show
		FreshS float64 `json:"fresh_s"` // an older list is doubtful; 0: as couriers have it
		Learnt bool    `json:"learnt"`  // what the module has learnt
	} `json:"kept"`
	// Plugin is a plug-in of each courier that is asked about every message, one
	// after another, before the courier decides.
	Plugin struct {
		CallMs   Range   `json:"call_ms"`
		BudgetMs float64 `json:"budget_ms"` // a call that takes longer has failed; 0: there is no plug-in
		Breaker  bool    `json:"breaker"`   // quarantine, as couriers have it
		Hangs    []Span  `json:"hangs"`     // no call ends
	} `json:"plugin"`
	// Tuning alters constants of the module, for experiments.
	Tuning struct {
		LedgerRatio *float64 `json:"ledger_ratio"`
		LedgerFloor *float64 `json:"ledger_floor"`
		SlotsShare  *float64 `json:"slots_share"`
		PaceStart   *float64 `json:"pace_start"`
		PaceWoken   *float64 `json:"pace_woken"`
		ColdSafety  *float64 `json:"cold_safety"`
	} `json:"tuning"`
}

// tuning is what the module is to use; nil: its own.
func (s *Scenario) tuning() *snowjunction.Tuning {
	t, changed := snowjunction.StandardTuning(), false
	for _, x := range []struct {
		to   *float64
		from *float64
	}{
		{&t.RetryRatio, s.Tuning.LedgerRatio}, {&t.RetryFloor, s.Tuning.LedgerFloor}, {&t.MaxSlotShare, s.Tuning.SlotsShare},
		{&t.InitialPace, s.Tuning.PaceStart}, {&t.PaceAfterLoad, s.Tuning.PaceWoken}, {&t.ColdBudgetFactor, s.Tuning.ColdSafety},
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

// Library is the scenarios that ship.
var Library = library.Set{FS: libraryFiles, Kind: "scenario"}

// Load reads a scenario: one of the library's by its name, or a file. What it
// extends, and base before all, is read first; each overlay is merged into that
// (RFC 7396).
func Load(name string, overlays ...string) (*Scenario, error) {
	text, err := Text("", name, overlays...)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Text is the whole scenario as JSON, for those who change it further. Files' names
// start from a folder.
func Text(folder, name string, overlays ...string) ([]byte, error) {
	text, err := mergeScenario([]byte("{}"), "base", folder, nil)
	for _, n := range append([]string{name}, overlays...) {
		if err == nil && n != "base" {
			text, err = mergeScenario(text, n, folder, nil)
		}
	}
	return text, err
}

// Parse reads a scenario that is whole.
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

// check finds what a schema cannot.
func (s *Scenario) check(name string) error {
	bad := func(pointer, what string) error { return fmt.Errorf("scenario %s: %s: %s", name, pointer, what) }
	for _, x := range []struct {
		pointer string
		r       Range
	}{
		{"/partners/endpoints", s.Partners.Endpoints},
		{"/partners/span_s", s.Partners.SpanS},
		{"/partners/refresh_ms", s.Partners.RefreshMs},
		{"/partners/least_wait_s", s.Partners.LeastWaitS},
		{"/partners/headroom", s.Partners.Headroom},
		{"/partners/capacity", s.Partners.Capacity},
		{"/partners/latency_ms", s.Partners.LatencyMs},
		{"/load/clump_s", s.Load.ClumpS},
		{"/plugin/call_ms", s.Plugin.CallMs},
		{"/clients/backoff_ms", s.Clients.BackoffMs},
		{"/network/delay_ms", s.Network.DelayMs},
		{"/network/notes/delay_ms", s.Network.Notes.DelayMs},
		{"/directory/delay_s", s.Directory.DelayS},
	} {
		if x.r[0] > x.r[1] {
			return bad(x.pointer, "the least is over the most")
		}
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Share
	}
	for i, f := range s.Faults {
		if f.Kind == "cut" && (f.Times <= 0 || f.Times >= 1) {
			return bad(fmt.Sprintf("/faults/%d/times", i), "a limit is cut to a part of it")
		}
		if f.Kind != "cut" && f.Times > 0 && f.Times < 1 {
			return bad(fmt.Sprintf("/faults/%d/times", i), "1 at least is wanted")
		}
		if f.Endpoints > 0 && (f.Kind == "slow" || f.Kind == "cut" || f.Cold) {
			return bad(fmt.Sprintf("/faults/%d/endpoints", i), "a partner is slow, has its limit cut, or comes back cold, as a whole")
		}
	}
	switch {
	case s.Partners.Endpoints[0] < 1:
		return bad("/partners/endpoints/0", "one at least is wanted")
	case s.Partners.LatencyMs[0] <= 0:
		return bad("/partners/latency_ms/0", "over 0 is wanted")
	case s.Partners.Active > s.Partners.Count:
		return bad("/partners/active", "more than there are")
	case total < 0.99 || total > 1.01:
		return bad("/tenants", "their shares must be 1 together")
	}
	return nil
}

const maxExtends = 16

// mergeScenario merges a scenario, and what it extends before it, into text. from is the
// folder in which a file's own names are looked for.
func mergeScenario(text []byte, name, from string, seen []string) ([]byte, error) {
	if slices.Contains(seen, name) || len(seen) > maxExtends {
		return nil, fmt.Errorf("scenario %s extends itself, by %s", name, strings.Join(seen, ", "))
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
