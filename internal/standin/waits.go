package standin

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"snowjunction/internal/standin/partner"
)

// Trace is an event of a message from a courier's log at level debug.
type Trace struct {
	Kind    string // TraceSent, TraceRetryAfter, TraceAttempt or TraceFinalResult
	ID      string
	Outcome string        // outcome of an attempt, or the final result of the message
	Left    time.Duration // with TraceFinalResult: time left until the message's deadline
}

// The kinds of trace. The values are log messages of the daemon.
const (
	TraceSent        = "leaves"       // an attempt was sent
	TraceRetryAfter  = "told to wait" // its response, with a retry-after delay, was read
	TraceAttempt     = "attempt"      // the attempt ended
	TraceFinalResult = "end"          // the message has its final result
)

var tracePattern = regexp.MustCompile(`(?m)^.*msg=(leaves|"told to wait"|attempt|end) .*?id=(\S+) (?:.*outcome=(\S+)|.* as=(\S+) left_ms=(\S+))?.*$`)

// Traces returns the traces in a courier's log of format text, in their order.
func Traces(log string) (list []Trace) {
	for _, m := range tracePattern.FindAllStringSubmatch(log, -1) {
		t := Trace{Kind: m[1], ID: m[2], Outcome: m[3] + m[4]}
		ms, _ := strconv.Atoi(m[5])
		t.Left = time.Duration(ms) * time.Millisecond
		if t.Kind == `"`+TraceRetryAfter+`"` {
			t.Kind = TraceRetryAfter
		}
		list = append(list, t)
	}
	return list
}

// RetryAfterViolation is a call that was sent during a retry-after delay, or a retry-after delay that the
// courier has not read.
type RetryAfterViolation struct {
	Destination uint32
	Reason      string
	Unread      bool // the delay has not been read yet, but may still be
}

func (b RetryAfterViolation) String() string {
	return fmt.Sprintf("destination %d: %s", b.Destination, b.Reason)
}

// RetryAfterViolations returns the calls that the courier sent after it had read a retry-after delay of
// their partner. A call that a partner sees late may have been sent before: the check therefore
// uses the order of the courier's own log lines, which is that of its decisions and does not depend
// on how long either side takes. Every retry-after delay must be read, unless its attempt was
// abandoned.
func RetryAfterViolations(taken []RecordedCall, traces []Trace) (broken []RetryAfterViolation) {
	sentAt, readAt, abandoned := map[string][]int{}, map[string][]int{}, map[string]int{} // positions in traces, by message ID
	for at, t := range traces {
		switch t.Kind {
		case TraceSent:
			sentAt[t.ID] = append(sentAt[t.ID], at)
		case TraceRetryAfter:
			readAt[t.ID] = append(readAt[t.ID], at)
		case TraceAttempt:
			if t.Outcome == "timed_out" || t.Outcome == "cancelled" {
				abandoned[t.ID]++
			}
		}
	}
	type wait struct {
		until time.Duration
		read  int // position of its trace
	}
	waits, arrivals, rejections := map[uint32][]wait{}, map[string]int{}, map[string]int{}
	for _, c := range taken {
		arrivals[c.ID]++
		for _, w := range waits[c.Destination] {
			before := 0
			for _, at := range sentAt[c.ID] {
				if at < w.read {
					before++
				}
			}
			if c.At < w.until && arrivals[c.ID] > before {
				broken = append(broken, RetryAfterViolation{
					Destination: c.Destination, Reason: fmt.Sprintf("%s at %v, call %d, during a retry-after delay until %v", c.ID, c.At, arrivals[c.ID], w.until),
				})
			}
		}
		if c.RetryAfter == 0 {
			continue
		}
		n := rejections[c.ID]
		rejections[c.ID]++
		switch {
		case n < len(readAt[c.ID]):
			waits[c.Destination] = append(waits[c.Destination], wait{c.At + c.RetryAfter, readAt[c.ID][n]})
		case abandoned[c.ID] == 0:
			broken = append(broken, RetryAfterViolation{
				Destination: c.Destination, Reason: fmt.Sprintf("the retry-after delay sent for %s at %v was not read", c.ID, c.At), Unread: true,
			})
		}
	}
	return broken
}

// expiredSlack is the time left, by the courier's clock, below which a message counts as expired for
// its client (submitSlack of package core).
const expiredSlack = 10 * time.Millisecond

// Overdue returns a function that reports whether a delivered message was rightly reported as
// failed: failed was its only final result, its deadline had passed at that time, and the partner
// sent its response, or the courier read it, only afterwards. A message that was reported as failed
// before its deadline, or whose response was read before, does not qualify.
func (f *Farm) Overdue(traces []Trace) func(destination uint32, id string) bool {
	finals, expired, readLate, readInTime := map[string]int{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, t := range traces {
		switch {
		case t.Kind == TraceFinalResult:
			finals[t.ID]++
			expired[t.ID] = t.Outcome == "failed" && t.Left < expiredSlack
		case t.Kind == TraceAttempt && t.Outcome == "ok": // for a late response it follows TraceFinalResult
			readLate[t.ID] = finals[t.ID] > 0
			readInTime[t.ID] = readInTime[t.ID] || finals[t.ID] == 0
		}
	}
	return func(destination uint32, id string) (overdue bool) {
		if finals[id] != 1 || !expired[id] || readInTime[id] {
			return false
		}
		late := false
		_ = f.With(destination, func(p *partner.Partner) { late = p.DeliveredLate(id) })
		return late || readLate[id]
	}
}
