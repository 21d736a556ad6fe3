package guard

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
)

const ms = time.Millisecond

func TestCheckReading(t *testing.T) {
	ok, failed, reset := Reading{Outcome: snowjunction.OK}, Reading{Outcome: snowjunction.Error}, Reading{Outcome: snowjunction.Reset}
	rejected, delayed := Reading{Outcome: snowjunction.Rejected}, Reading{Outcome: snowjunction.Rejected, RetryAfter: 500 * ms}
	wait := func(v float64) Interpretation { return Interpretation{HasWait: true, WaitMs: v} }
	for _, tc := range []struct {
		name  string
		known Reading
		said  Interpretation
		want  Reading
		rules []Rule
	}{
		{"no output", ok, Interpretation{}, ok, nil},
		{"success turned into a failure", ok, Interpretation{Outcome: "error"}, failed, nil},
		{"with a delay", ok, Interpretation{Outcome: "error", HasWait: true, WaitMs: 200}, Reading{snowjunction.Error, 200 * ms}, nil},
		{"status 500 turned into never ran", failed, Interpretation{Outcome: "full"}, failed, []Rule{RuleOutcome}},
		{"status 200 turned into a rejection", ok, Interpretation{Outcome: "full"}, ok, []Rule{RuleOutcome}},
		{"failure turned into a success", failed, Interpretation{Outcome: "ok"}, failed, []Rule{RuleOutcome}},
		{"reset turned into a success", reset, Interpretation{Outcome: "ok"}, reset, []Rule{RuleOutcome}},
		{"rejection turned into may have run", delayed, Interpretation{Outcome: "error"}, delayed, []Rule{RuleOutcome}},
		{"rejection turned into a success", rejected, Interpretation{Outcome: "ok"}, rejected, []Rule{RuleOutcome}},
		{"unknown outcome", failed, Interpretation{Outcome: "moot"}, failed, []Rule{RuleOutcome}},
		{"delay where the partner sent none", rejected, wait(700), Reading{snowjunction.Rejected, 700 * ms}, nil},
		{"longer delay", delayed, wait(700), Reading{snowjunction.Rejected, 700 * ms}, nil},
		{"shorter delay", delayed, wait(100), delayed, []Rule{RuleWait}},
		{"zero delay", delayed, wait(0), delayed, []Rule{RuleWait}},
		{"negative delay", delayed, wait(-1), delayed, []Rule{RuleWait}},
		{"delay of ten years", rejected, wait(10 * 365 * 24 * 3600e3), Reading{snowjunction.Rejected, MaxWait}, []Rule{RuleWait}},
		{"not a number", delayed, wait(math.NaN()), delayed, []Rule{RuleNumber}},
		{"infinite delay", delayed, wait(math.Inf(1)), delayed, []Rule{RuleNumber}},
		{"delay with a success", ok, wait(100), ok, []Rule{RuleWait}},
		{"delay after an error", failed, wait(100), Reading{snowjunction.Error, 100 * ms}, nil},
	} {
		got, rules := CheckReading(tc.known, tc.said)
		assert.Equal(t, tc.want, got, tc.name)
		assert.Equal(t, tc.rules, rules, tc.name)
	}
}

// For any plug-in output, the resulting reading is at least as safe as the known one.
func TestCheckReadingIsNeverLessSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := Reading{Outcome: snowjunction.Outcome(rapid.IntRange(0, int(snowjunction.NotSent)).Draw(t, "known"))}
		if known.Outcome == snowjunction.Rejected {
			known.RetryAfter = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "told")) * ms
		}
		s := Interpretation{
			Outcome: rapid.SampledFrom([]string{"", "ok", "error", "full", "moot", "x"}).Draw(t, "outcome"),
			HasWait: rapid.Bool().Draw(t, "has"), WaitMs: rapid.Float64().Draw(t, "wait"),
		}
		got, rules := CheckReading(known, s)
		require.True(t, got.Outcome == known.Outcome || known.Outcome == snowjunction.OK && got.Outcome == snowjunction.Error)
		require.GreaterOrEqual(t, got.RetryAfter, known.RetryAfter)
		require.LessOrEqual(t, got.RetryAfter, max(known.RetryAfter, MaxWait))
		if got == known && s.Outcome != "" && s.Outcome != "error" && !(s.Outcome == "ok" && known.Outcome == snowjunction.OK) &&
			!(s.Outcome == "full" && known.Outcome == snowjunction.Rejected) {
			require.NotEmpty(t, rules, "ignored output is counted as a correction")
		}
	})
}

func TestCheckShape(t *testing.T) {
	all := Permissions{Headers: true, Path: true, Body: true}
	many := []HeaderField{}
	for i := range 10000 {
		many = append(many, HeaderField{fmt.Sprintf("X-%d", i), "v"})
	}
	for _, tc := range []struct {
		name  string
		in    Shape
		allow Permissions
		want  Shape
		rules []Rule
	}{
		{"valid", Shape{Headers: []HeaderField{{"X-Partner", "kitchen 7"}}, Suffix: "v2/orders", Query: "a=1&b=%20"}, all,
			Shape{Headers: []HeaderField{{"X-Partner", "kitchen 7"}}, Suffix: "v2/orders", Query: "a=1&b=%20"}, nil},
		{"line breaks", Shape{Headers: []HeaderField{{"X-A", "b\r\nX-Request-ID: other"}, {"X\n", "v"}, {"X-B", "c"}}}, all,
			Shape{Headers: []HeaderField{{"X-B", "c"}}}, []Rule{RuleHeader}},
		{"ten thousand headers", Shape{Headers: many}, all, Shape{Headers: many[:MaxHeaders]}, []Rule{RuleHeader}},
		{"protocol headers", Shape{Headers: []HeaderField{{"X-ReQuest-ID", "x"}, {"idempotency-key", "x"}, {"Content-Length", "0"}, {":path", "/"}, {"Host", "x"}}}, all,
			Shape{}, []Rule{RuleHeader}},
		{"duplicate header", Shape{Headers: []HeaderField{{"X-A", "1"}, {"x-a", "2"}}}, all, Shape{Headers: []HeaderField{{"X-A", "1"}}}, []Rule{RuleHeader}},
		{"too long name and value", Shape{Headers: []HeaderField{{"X-A", strings.Repeat("v", MaxHeaderValueBytes+1)}, {strings.Repeat("n", MaxHeaderNameBytes+1), "v"}}}, all, Shape{}, []Rule{RuleHeader}},
		{"parent directory in the path", Shape{Suffix: "../other"}, all, Shape{}, []Rule{RulePath}},
		{"space in the path", Shape{Suffix: "a b"}, all, Shape{}, []Rule{RulePath}},
		{"fragment in the query", Shape{Query: "a#b"}, all, Shape{}, []Rule{RulePath}},
		{"too long path", Shape{Suffix: strings.Repeat("a", MaxPathBytes+1)}, all, Shape{}, []Rule{RulePath}},
		{"body", Shape{Body: []byte("x"), HasBody: true}, all, Shape{Body: []byte("x"), HasBody: true}, nil},
		{"too long body", Shape{Body: make([]byte, MaxBodyBytes+1), HasBody: true}, all, Shape{}, []Rule{RuleBody}},
		{"nothing allowed", Shape{Headers: []HeaderField{{"X-A", "1"}}, Suffix: "a", Body: []byte("x"), HasBody: true}, Permissions{}, Shape{}, []Rule{RuleHeader, RulePath, RuleBody}},
	} {
		got, rules := CheckShape(tc.in, tc.allow)
		assert.Equal(t, tc.want, got, tc.name)
		assert.Equal(t, tc.rules, rules, tc.name)
	}
}

func TestCheckAdmit(t *testing.T) {
	for v, want := range map[float64]time.Duration{0: 0, 1500: 1500 * ms, -1: 0, 1e15: MaxRetryAfter, math.Inf(1): 0} {
		got, rules := CheckAdmit(v)
		assert.Equal(t, want, got, "%v", v)
		assert.Equal(t, want == 0 && v != 0 || v > 1e9, len(rules) > 0, "%v", v)
	}
	_, rules := CheckAdmit(math.NaN())
	assert.Equal(t, []Rule{RuleNumber}, rules)
}
