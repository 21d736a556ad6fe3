package standin

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/standin/partner"
)

// A call that was sent before the retry-after delay was read may arrive at any time. A call sent
// after it, including a retry of the rejected message, is reported, and so is a delay that was never
// read.
func TestBrokenWaits(t *testing.T) {
	line := func(what, id, more string) string {
		return "time=x level=DEBUG msg=" + what + " courier=n0 id=" + id + " dest=5" + more + "\n"
	}
	taken := []RecordedCall{
		{Destination: 5, ID: "a", At: 1, RetryAfter: time.Hour}, {Destination: 5, ID: "b", At: time.Minute}, {Destination: 6, ID: "c", At: time.Minute},
	}
	log := func(b string, more ...string) []Trace {
		return Traces(line("leaves", "a", "") + strings.Replace(b, "X", line(`"told to wait"`, "a", ""), 1) + line("leaves", "c", "") + strings.Join(more, ""))
	}
	b := line("leaves", "b", "")
	assert.Empty(t, RetryAfterViolations(taken, log(b+"X")))
	assert.Equal(t, []RetryAfterViolation{{5, "b at 1m0s, call 1, during a retry-after delay until 1h0m0.000000001s", false}}, RetryAfterViolations(taken, log("X"+b)))
	assert.Len(t, RetryAfterViolations(append(taken, RecordedCall{Destination: 5, ID: "a", At: time.Minute}), log(b+"X", line("leaves", "a", ""))), 1, "retry of the rejected message")
	assert.Empty(t, RetryAfterViolations(append(taken, RecordedCall{Destination: 5, ID: "a", At: 2 * time.Hour}), log(b+"X", line("leaves", "a", ""))))
	assert.Equal(t, []RetryAfterViolation{{5, "the retry-after delay sent for a at 1ns was not read", true}}, RetryAfterViolations(taken, log(b)))
	assert.Empty(t, RetryAfterViolations(taken, log(b, line("attempt", "a", " class=status outcome=timed_out took_ms=1"))), "the attempt was abandoned")
	assert.Len(t, RetryAfterViolations(taken, log(b, line("attempt", "a", " class=status outcome=full took_ms=1"))), 1)
}

// Each kind of trace is parsed, in order; other log lines are ignored.
func TestTraces(t *testing.T) {
	assert.Equal(t, []Trace{{TraceSent, "a", "", 0}, {TraceRetryAfter, "a", "", 0}, {TraceAttempt, "a", "full", 0}, {TraceFinalResult, "a", "failed", -4 * time.Millisecond}}, Traces(
		"time=x level=DEBUG msg=leaves courier=n0 id=a dest=5\n"+
			"time=x level=INFO msg=ready courier=n0 id=a dest=5\n"+
			"time=x level=DEBUG msg=\"told to wait\" courier=n0 id=a dest=5\n"+
			"time=x level=DEBUG msg=attempt courier=n0 id=a key=\"\" dest=5 outcome=full took_ms=1\n"+
			"time=x level=DEBUG msg=end courier=n0 id=a key=\"\" ran=true dest=2 class=status attempts=1 as=failed left_ms=-4 after_ms=0 held=46\n"))
}

// A message that was reported as failed and also delivered is overdue only if its deadline passed
// first.
func TestOverdue(t *testing.T) {
	f, err := NewFarm([]Spec{{Destination: 5}})
	require.NoError(t, err)
	defer f.Close()
	require.NoError(t, f.With(5, func(p *partner.Partner) {
		for id, at := range map[string]time.Duration{"late": 2, "in time": 1} {
			c := partner.Call{ID: id, Due: 1}
			p.Begin(0, c)
			p.End(at, c, true)
		}
	}))
	attempt := func(id, outcome string) Trace { return Trace{Kind: TraceAttempt, ID: id, Outcome: outcome} }
	end := func(id, as string, left time.Duration) Trace {
		return Trace{Kind: TraceFinalResult, ID: id, Outcome: as, Left: left * time.Millisecond}
	}
	for _, tc := range []struct {
		id     string
		traces []Trace
		want   bool
	}{
		{"late", []Trace{attempt("late", "timed_out"), end("late", "failed", -1)}, true},
		{"late", []Trace{end("late", "failed", 9), attempt("late", "timed_out")}, true},
		{"late", []Trace{end("late", "failed", 10), attempt("late", "timed_out")}, false}, // reported too early
		{"late", []Trace{end("late", "returned", -1)}, false},
		{"late", []Trace{end("late", "failed", -1), end("late", "failed", -1)}, false}, // reported twice
		{"late", []Trace{end("other", "failed", -1)}, false},
		{"late", nil, false},
		{"in time", []Trace{end("in time", "failed", 9), attempt("in time", "ok")}, true}, // the response was read too late
		{"in time", []Trace{end("in time", "failed", 900), attempt("in time", "ok")}, false},
		{"in time", []Trace{attempt("in time", "ok"), end("in time", "failed", -1)}, false}, // the response was read before
		{"in time", []Trace{attempt("in time", "timed_out"), end("in time", "failed", -1)}, false},
	} {
		assert.Equal(t, tc.want, f.Overdue(tc.traces)(5, tc.id), "%+v", tc)
	}
}
