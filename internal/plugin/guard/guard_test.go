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

func TestRead(t *testing.T) {
	ok, failed, lost := Reading{Outcome: snowjunction.OK}, Reading{Outcome: snowjunction.Error}, Reading{Outcome: snowjunction.Reset}
	full, told := Reading{Outcome: snowjunction.Rejected}, Reading{Outcome: snowjunction.Rejected, Wait: 500 * ms}
	wait := func(v float64) Said { return Said{HasWait: true, WaitMs: v} }
	for _, tc := range []struct {
		name  string
		known Reading
		said  Said
		want  Reading
		rules []Rule
	}{
		{"nothing said", ok, Said{}, ok, nil},
		{"a success that is none", ok, Said{Outcome: "error"}, failed, nil},
		{"and is to be waited for", ok, Said{Outcome: "error", HasWait: true, WaitMs: 200}, Reading{snowjunction.Error, 200 * ms}, nil},
		{"never ran, says it, to a 500", failed, Said{Outcome: "full"}, failed, []Rule{Outcome}},
		{"deliver again, says it, to a 200", ok, Said{Outcome: "full"}, ok, []Rule{Outcome}},
		{"a failure that is none, says it", failed, Said{Outcome: "ok"}, failed, []Rule{Outcome}},
		{"nor a reset", lost, Said{Outcome: "ok"}, lost, []Rule{Outcome}},
		{"a refusal that may have run", told, Said{Outcome: "error"}, told, []Rule{Outcome}},
		{"a refusal that went well", full, Said{Outcome: "ok"}, full, []Rule{Outcome}},
		{"an outcome of its own", failed, Said{Outcome: "moot"}, failed, []Rule{Outcome}},
		{"a wait where none was told", full, wait(700), Reading{snowjunction.Rejected, 700 * ms}, nil},
		{"a longer one", told, wait(700), Reading{snowjunction.Rejected, 700 * ms}, nil},
		{"a shorter one", told, wait(100), told, []Rule{Wait}},
		{"none at all", told, wait(0), told, []Rule{Wait}},
		{"-1", told, wait(-1), told, []Rule{Wait}},
		{"ten years", full, wait(10 * 365 * 24 * 3600e3), Reading{snowjunction.Rejected, WaitMost}, []Rule{Wait}},
		{"not a number", told, wait(math.NaN()), told, []Rule{Number}},
		{"for ever", told, wait(math.Inf(1)), told, []Rule{Number}},
		{"a wait with a delivery", ok, wait(100), ok, []Rule{Wait}},
		{"a wait after an error", failed, wait(100), Reading{snowjunction.Error, 100 * ms}, nil},
	} {
		got, rules := Read(tc.known, tc.said)
		assert.Equal(t, tc.want, got, tc.name)
		assert.Equal(t, tc.rules, rules, tc.name)
	}
}

// Whatever is said, a reading is never less safe than what is known.
func TestReadIsNeverLessSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := Reading{Outcome: snowjunction.Outcome(rapid.IntRange(0, int(snowjunction.NotSent)).Draw(t, "known"))}
		if known.Outcome == snowjunction.Rejected {
			known.Wait = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "told")) * ms
		}
		s := Said{
			Outcome: rapid.SampledFrom([]string{"", "ok", "error", "full", "moot", "x"}).Draw(t, "outcome"),
			HasWait: rapid.Bool().Draw(t, "has"), WaitMs: rapid.Float64().Draw(t, "wait"),
		}
		got, rules := Read(known, s)
		require.True(t, got.Outcome == known.Outcome || known.Outcome == snowjunction.OK && got.Outcome == snowjunction.Error)
		require.GreaterOrEqual(t, got.Wait, known.Wait)
		require.LessOrEqual(t, got.Wait, max(known.Wait, WaitMost))
		if got == known && s.Outcome != "" && s.Outcome != "error" && !(s.Outcome == "ok" && known.Outcome == snowjunction.OK) &&
			!(s.Outcome == "full" && known.Outcome == snowjunction.Rejected) {
			require.NotEmpty(t, rules, "what is not taken is counted")
		}
	})
}

func TestShaped(t *testing.T) {
	all := Allowed{Headers: true, Path: true, Body: true}
	many := []HeaderField{}
	for i := range 10000 {
		many = append(many, HeaderField{fmt.Sprintf("X-%d", i), "v"})
	}
	for _, tc := range []struct {
		name  string
		in    Shape
		allow Allowed
		want  Shape
		rules []Rule
	}{
		{"plain", Shape{Headers: []HeaderField{{"X-Partner", "kitchen 7"}}, Suffix: "v2/orders", Query: "a=1&b=%20"}, all,
			Shape{Headers: []HeaderField{{"X-Partner", "kitchen 7"}}, Suffix: "v2/orders", Query: "a=1&b=%20"}, nil},
		{"line breaks", Shape{Headers: []HeaderField{{"X-A", "b\r\nX-Request-ID: other"}, {"X\n", "v"}, {"X-B", "c"}}}, all,
			Shape{Headers: []HeaderField{{"X-B", "c"}}}, []Rule{Header}},
		{"ten thousand", Shape{Headers: many}, all, Shape{Headers: many[:HeadersMost]}, []Rule{Header}},
		{"the protocol's own", Shape{Headers: []HeaderField{{"X-ReQuest-ID", "x"}, {"idempotency-key", "x"}, {"Content-Length", "0"}, {":path", "/"}, {"Host", "x"}}}, all,
			Shape{}, []Rule{Header}},
		{"twice", Shape{Headers: []HeaderField{{"X-A", "1"}, {"x-a", "2"}}}, all, Shape{Headers: []HeaderField{{"X-A", "1"}}}, []Rule{Header}},
		{"too long", Shape{Headers: []HeaderField{{"X-A", strings.Repeat("v", ValueMost+1)}, {strings.Repeat("n", NameMost+1), "v"}}}, all, Shape{}, []Rule{Header}},
		{"another place", Shape{Suffix: "../other"}, all, Shape{}, []Rule{Path}},
		{"a line in the path", Shape{Suffix: "a b"}, all, Shape{}, []Rule{Path}},
		{"a fragment", Shape{Query: "a#b"}, all, Shape{}, []Rule{Path}},
		{"a long path", Shape{Suffix: strings.Repeat("a", PathMost+1)}, all, Shape{}, []Rule{Path}},
		{"a body", Shape{Body: []byte("x"), HasBody: true}, all, Shape{Body: []byte("x"), HasBody: true}, nil},
		{"a huge body", Shape{Body: make([]byte, BodyMost+1), HasBody: true}, all, Shape{}, []Rule{Body}},
		{"nothing allowed", Shape{Headers: []HeaderField{{"X-A", "1"}}, Suffix: "a", Body: []byte("x"), HasBody: true}, Allowed{}, Shape{}, []Rule{Header, Path, Body}},
	} {
		got, rules := Shaped(tc.in, tc.allow)
		assert.Equal(t, tc.want, got, tc.name)
		assert.Equal(t, tc.rules, rules, tc.name)
	}
}

func TestAdmit(t *testing.T) {
	for v, want := range map[float64]time.Duration{0: 0, 1500: 1500 * ms, -1: 0, 1e15: AfterMost, math.Inf(1): 0} {
		got, rules := Admit(v)
		assert.Equal(t, want, got, "%v", v)
		assert.Equal(t, want == 0 && v != 0 || v > 1e9, len(rules) > 0, "%v", v)
	}
	_, rules := Admit(math.NaN())
	assert.Equal(t, []Rule{Number}, rules)
}
