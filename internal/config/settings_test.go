package config

import (
	"math"
	"testing"
	"time"
)

func TestMillis(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		1.5: 1500 * time.Microsecond, -2: -2 * time.Millisecond, math.NaN(): 0, math.Inf(1): 0,
	} {
		if got := Millis(ms); got != want {
			t.Errorf("Millis(%v) = %v, want %v", ms, got, want)
		}
	}
}

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(4, []byte(`{"fleet-size": 3, "quantum-ms": 5, "unknown": [1],
		"classes": [{"name": "a", "semantics": "token", "key-scope": "zone", "window-ms": 10000, "deadline-ms": 16000},
			{"name": "b", "semantics": "never seen"}],
		"family-info": {"bundle-max": [20, 0], "routes-apart": [false, true], "max-calls": 9, "late": "halving"},
		"limits": {"probes": true, "most-held": 185}, "report": {"columns": ["x0", "qps", "x1"]},
		"weights": "nominal", "contract": {"fall-ms": 1500, "order-settle-ms": 250}}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Seed != 4 || s.Fleet != 3 || s.Tick != 5*time.Millisecond || s.Slots != 9 || !s.ValueHalves || !s.Probes ||
		s.MaxHeld != 185 || !s.WeightsAreLimits || s.CollapseTime != 1500*time.Millisecond ||
		s.OrderSettle != 250*time.Millisecond {
		t.Errorf("settings: %+v", s)
	}
	if len(s.Kinds) != 2 || s.Kinds[0].BundleMax != 20 || s.Kinds[1].BundleMax != 1 || !s.Kinds[1].LimitPerEndpoint {
		t.Errorf("kinds: %+v", s.Kinds)
	}
	if s.Classes[0].Window != 10*time.Second || s.Classes[0].Group == 0 || s.Classes[1].Effect == 0 {
		t.Errorf("classes: %+v", s.Classes)
	}
	if len(s.Report) != 3 || s.Report[0] == s.Report[1] || s.Report[2] == s.Report[0] {
		t.Errorf("report: %v", s.Report)
	}
	if _, err := ParseSettings(0, []byte("no json")); err == nil {
		t.Error("text that is not JSON: no error")
	}
}
