package partner

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

func begin(p *Partner, now time.Duration, id string) Response {
	c := Call{ID: id}
	a := p.Begin(now, c)
	p.End(now+a.Delay, c, a.Status == 200)
	return a
}

// A limit over fixed windows rejects calls beyond its count and accepts calls again in the next
// window. The peak is relative to the allowed count.
func TestFixedWindowLimit(t *testing.T) {
	p := New(Profile{Limit: 2, Window: time.Second, RetryAfterShare: 1, Latency: 80 * ms, ReportsLimit: true}, 1)
	assert.Equal(t, 200, begin(p, 100*ms, "a").Status)
	a := begin(p, 200*ms, "b")
	assert.Equal(t, Response{Status: 200, Delay: 80 * ms, RemainingShare: 0, Limit: 2}, a)
	refused := begin(p, 300*ms, "c")
	assert.Equal(t, 429, refused.Status)
	assert.Equal(t, 700*ms, refused.RetryAfter)
	assert.Equal(t, 200, begin(p, 1000*ms, "c").Status)
	assert.Equal(t, Counts{Calls: 4, Delivered: 3, Refused: 1, Peak: 1.5, OverLimit: 1}, p.Counts)
}

// If rejected calls count against the limit, a client that keeps calling gets nothing through, and
// the peak shows it.
func TestRejectedCallsCountAgainstLimit(t *testing.T) {
	p := New(Profile{Limit: 2, Window: time.Second, CountsRejected: true}, 1)
	for i := range 6 {
		begin(p, time.Duration(i)*10*ms, strconv.Itoa(i))
	}
	assert.Equal(t, 3.0, p.Counts.Peak)
	assert.Equal(t, 4, p.Counts.Refused)
}

func TestTokenBucketLimit(t *testing.T) {
	p := New(Profile{Limit: 4, Latency: ms}, 1)
	for i := range 40 { // 5 calls per second for 8 seconds
		begin(p, time.Duration(i)*200*ms, strconv.Itoa(i))
	}
	assert.InDelta(t, 33, p.Counts.Delivered, 1)
	assert.GreaterOrEqual(t, p.Counts.Peak, 1.0)
}

// Faults apply in order, to their share of the calls and during their time, and they combine.
func TestFaults(t *testing.T) {
	p := New(Profile{Latency: 80 * ms, RetryAfterShare: 1}, 7)
	p.Add(Fault{Kind: Slow, From: 0, Until: time.Hour, Factor: 3})
	p.Add(Fault{Kind: Error, From: time.Second, Until: 2 * time.Second, Share: 0.5})
	p.Add(Fault{Kind: Reject, From: time.Second, Until: 3 * time.Second})
	assert.Equal(t, Response{Status: 200, Delay: 240 * ms}, begin(p, 0, "a"))
	errors := 0
	for i := range 200 {
		if begin(p, time.Second+time.Duration(i)*ms, strconv.Itoa(i)).Status == 500 {
			errors++
		}
	}
	assert.InDelta(t, 100, errors, 25)
	shut := begin(p, 2500*ms, "b")
	assert.Equal(t, 429, shut.Status)
	assert.Equal(t, 500*ms, shut.RetryAfter, "until the fault ends")
	assert.Equal(t, 200, begin(p, 3*time.Second, "b").Status)
	p.Add(Fault{Kind: Silent, From: 0, Until: time.Hour})
	assert.Zero(t, begin(p, 4*time.Second, "c").Status)
}

// A cold partner withstands the load that matches its present capacity and collapses under far
// more.
func TestColdPartnerCollapsesUnderOverload(t *testing.T) {
	profile := Profile{Capacity: 10, Latency: 10 * ms, ColdShare: 0.2, WarmUp: 14 * time.Second, CollapseMultiple: 2, CollapseWindow: 1500 * ms}
	moderate, excessive := New(profile, 1), New(profile, 1)
	for _, p := range []*Partner{moderate, excessive} {
		p.Add(Fault{Kind: Silent, From: 0, Until: time.Second, Cold: true})
	}
	for i := range 20 {
		begin(moderate, time.Second+time.Duration(i)*500*ms, strconv.Itoa(i))
		begin(excessive, time.Second+time.Duration(i)*50*ms, strconv.Itoa(i))
	}
	assert.Zero(t, moderate.Counts.Collapses)
	assert.Equal(t, 1, excessive.Counts.Collapses)
	assert.Zero(t, begin(excessive, time.Minute, "x").Status, "a collapsed partner stays down")
}

// Each violation of a sender's obligation is counted, and nothing else is.
func TestSenderViolations(t *testing.T) {
	p := New(Profile{RetryAfterShare: 1, Limit: 1, Window: time.Second}, 1)
	a, b := Call{ID: "a", Key: 9, Seq: 1}, Call{ID: "b", Key: 9, Seq: 2}
	p.Begin(0, a)
	p.End(ms, a, true)
	p.Begin(time.Second, b)
	p.End(time.Second+ms, b, true)
	assert.Zero(t, p.Counts.OutOfOrder+p.Counts.Duplicates+p.Counts.DuringRetryAfter)
	p.Begin(1500*ms, a) // a duplicate, out of order, rejected with a retry-after delay
	assert.Equal(t, [3]int{1, 1, 0}, [3]int{p.Counts.Duplicates, p.Counts.OutOfOrder, p.Counts.DuringRetryAfter})
	p.Begin(1550*ms, Call{ID: "c"})
	assert.Zero(t, p.Counts.DuringRetryAfter, "a call in flight when the delay was sent does not count")
	p.Begin(1700*ms, Call{ID: "d", Key: 9, Seq: 3})
	assert.Equal(t, 1, p.Counts.DuringRetryAfter)
	assert.Equal(t, 2, p.Counts.OutOfOrder, "concurrent with another call of its key")
}

// A duplicate of an abandoned attempt is allowed for a limited time, in the order of its key.
func TestDuplicateOfAbandonedAttemptAllowed(t *testing.T) {
	p := New(Profile{}, 1)
	p.DuplicateGrace = time.Second
	a := Call{ID: "a", Key: 9, Seq: 1}
	p.Begin(0, a)
	p.Begin(500*ms, a)
	assert.Equal(t, [2]int{}, [2]int{p.Counts.Duplicates, p.Counts.OutOfOrder})
	p.Begin(1500*ms, a)
	p.Begin(1500*ms, Call{ID: "b", Key: 9, Seq: 2})
	assert.Equal(t, [2]int{1, 2}, [2]int{p.Counts.Duplicates, p.Counts.OutOfOrder})
}

// A call whose response was never written may be repeated, one in flight may not. Lateness is
// determined by the deadline in the call.
func TestDeliveredOnceWritten(t *testing.T) {
	p := New(Profile{}, 1)
	a := Call{ID: "a", Due: time.Second}
	p.Begin(0, a)
	p.End(ms, a, false)
	p.Begin(2*ms, a)
	assert.Zero(t, p.Counts.Duplicates)
	p.Begin(3*ms, a)
	assert.Equal(t, 1, p.Counts.Duplicates)
	p.End(2*time.Second, a, true)
	assert.Equal(t, [2]int{1, 1}, [2]int{p.Counts.Delivered, p.Counts.Late})
	assert.True(t, p.WasDelivered("a"))
	assert.True(t, p.DeliveredLate("a"))
	p.Begin(2*time.Second, Call{ID: "b", Due: 3 * time.Second})
	p.End(3*time.Second, Call{ID: "b", Due: 3 * time.Second}, true)
	assert.True(t, p.WasDelivered("b"))
	assert.False(t, p.DeliveredLate("b"))
}

// After an outage a partner withstands the allowed number of calls plus the slack of its profile
// (CollapseSlack and CollapseRootSlack). ColdAllowance returns the allowed number while the partner
// is cold and has not collapsed.
func TestCollapseBeyondSlack(t *testing.T) {
	const back = 10 * time.Second
	for _, tc := range []struct {
		slack, root float64
		most        int // calls that it withstands, with 9 allowed
	}{{0, 0, 10}, {4, 0, 13}, {2, 2, 17}} {
		p := New(Profile{
			Capacity: 15, ColdShare: 0.2, WarmUp: 1000 * time.Hour, CollapseMultiple: 2, CollapseWindow: 1500 * time.Millisecond, CollapseSlack: tc.slack, CollapseRootSlack: tc.root,
		}, 1)
		p.Add(Fault{Kind: Silent, Until: back, Cold: true})
		_, cold := p.ColdAllowance(back - 1)
		assert.False(t, cold)
		assert.True(t, p.InOutage(back-1))
		for i := range tc.most {
			now := back + time.Duration(i)*time.Millisecond
			allowed, cold := p.ColdAllowance(now)
			assert.True(t, cold)
			assert.InDelta(t, 9, allowed, 0.001)
			p.Begin(now, Call{ID: strconv.Itoa(i)})
		}
		assert.Zero(t, p.Counts.Collapses, "%+v", tc)
		p.Begin(back+time.Second, Call{ID: "one more"})
		assert.Equal(t, 1, p.Counts.Collapses, "%+v", tc)
		_, cold = p.ColdAllowance(back + time.Second)
		assert.False(t, cold)
		assert.True(t, p.InOutage(back+time.Second))
	}
}
