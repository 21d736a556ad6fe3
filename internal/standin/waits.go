package standin

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"snowjunction/internal/standin/partner"
)

// Trace is what a courier has logged, at level debug, of something that befell a message.
type Trace struct {
	What    string // TraceLeaves, TraceTold, TraceAttempt or TraceEnd
	ID      string
	Outcome string        // of an attempt that is over; of an end, how the message ends
	Left    time.Duration // at an end: what is left of the message's time
}

// What traces tell of.
const (
	TraceLeaves  = "leaves"       // a call has left
	TraceTold    = "told to wait" // its answer, with a wait, has been read
	TraceAttempt = "attempt"      // it is over
	TraceEnd     = "end"          // the message is
)

var traced = regexp.MustCompile(`(?m)^.*msg=(leaves|"told to wait"|attempt|end) .*?id=(\S+) (?:.*outcome=(\S+)|.* as=(\S+) left_ms=(\S+))?.*$`)

// Traces are those in a courier's log of the form text, in their order.
func Traces(log string) (list []Trace) {
	for _, m := range traced.FindAllStringSubmatch(log, -1) {
		t := Trace{What: m[1], ID: m[2], Outcome: m[3] + m[4]}
		ms, _ := strconv.Atoi(m[5])
		t.Left = time.Duration(ms) * time.Millisecond
		if t.What == `"`+TraceTold+`"` {
			t.What = TraceTold
		}
		list = append(list, t)
	}
	return list
}

// BrokenWait is a call that was sent in a told wait, or a told wait that nobody has read.
type BrokenWait struct {
	Destination uint32
	Why         string
	Unread      bool // so far: the courier may read it yet
}

func (b BrokenWait) String() string { return fmt.Sprintf("destination %d: %s", b.Destination, b.Why) }

// BrokenWaits names the calls that left though the courier had read that their partner wants none
// for a while. What a partner sees late may have left before: it is held against the order of the
// courier's own lines, which is that of its decisions, whatever time either side takes. No wait of
// a partner's may go unread, but where its attempt was given up.
func BrokenWaits(taken []Taken, traces []Trace) (wrong []BrokenWait) {
	left, told, unread := map[string][]int{}, map[string][]int{}, map[string]int{} // places among the traces, by id
	for at, t := range traces {
		switch t.What {
		case TraceLeaves:
			left[t.ID] = append(left[t.ID], at)
		case TraceTold:
			told[t.ID] = append(told[t.ID], at)
		case TraceAttempt:
			if t.Outcome == "timed_out" || t.Outcome == "cancelled" {
				unread[t.ID]++
			}
		}
	}
	type wait struct {
		until time.Duration
		read  int // its trace's place
	}
	waits, came, refused := map[uint32][]wait{}, map[string]int{}, map[string]int{}
	for _, c := range taken {
		came[c.ID]++
		for _, w := range waits[c.Destination] {
			before := 0
			for _, at := range left[c.ID] {
				if at < w.read {
					before++
				}
			}
			if c.At < w.until && came[c.ID] > before {
				wrong = append(wrong, BrokenWait{
					Destination: c.Destination, Why: fmt.Sprintf("%s at %v, call %d, in a wait until %v", c.ID, c.At, came[c.ID], w.until),
				})
			}
		}
		if c.Wait == 0 {
			continue
		}
		n := refused[c.ID]
		refused[c.ID]++
		switch {
		case n < len(told[c.ID]):
			waits[c.Destination] = append(waits[c.Destination], wait{c.At + c.Wait, told[c.ID][n]})
		case unread[c.ID] == 0:
			wrong = append(wrong, BrokenWait{
				Destination: c.Destination, Why: fmt.Sprintf("the wait told to %s at %v is not read", c.ID, c.At), Unread: true,
			})
		}
	}
	return wrong
}

// overdueLeft is how much of a message's time may be left, by the courier's clock, when it is over for
// its client (core's handInSlack).
const overdueLeft = 10 * time.Millisecond

// Overdue tells which messages of a partner's that are delivered were rightly told as failed: their
// time was over when that was told, their one end, and the partner gave its answer, or the courier heard
// it, only then. One that was told as failed before, or whose answer was there before, is none.
func (f *Farm) Overdue(traces []Trace) func(destination uint32, id string) bool {
	ends, told, heard, before := map[string]int{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, t := range traces {
		switch {
		case t.What == TraceEnd:
			ends[t.ID]++
			told[t.ID] = t.Outcome == "failed" && t.Left < overdueLeft
		case t.What == TraceAttempt && t.Outcome == "ok": // an answer that comes too late is traced behind the end
			heard[t.ID] = ends[t.ID] > 0
			before[t.ID] = before[t.ID] || ends[t.ID] == 0
		}
	}
	return func(destination uint32, id string) (over bool) {
		if ends[id] != 1 || !told[id] || before[id] {
			return false
		}
		late := false
		_ = f.With(destination, func(p *partner.Partner) { late = p.Late(id) })
		return late || heard[id]
	}
}
