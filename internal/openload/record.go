package openload

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"snowjunction/internal/latency"
	"snowjunction/internal/standin/load"
)

// Front is an interface through which a courier accepts messages.
type Front int

// The fronts.
const (
	Resp Front = iota
	Push
	frontCount
)

func (f Front) String() string { return [...]string{"RESP2", "HTTP/2"}[f] }

// newHistogram returns a histogram of durations up to ten minutes with three significant digits.
func newHistogram() *latency.Histogram { return latency.New(10*time.Minute, 3) }

// Quantiles summarizes latencies in milliseconds.
type Quantiles struct {
	N    int64   `json:"n"`
	Mean float64 `json:"mean_ms"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

func quantiles(h *latency.Histogram) Quantiles {
	return Quantiles{N: h.Count(), Mean: h.MeanMs(), P50: h.PercentileMs(50), P90: h.PercentileMs(90), P99: h.PercentileMs(99), P999: h.PercentileMs(99.9), Max: h.MaxMs()}
}

// statistics holds the measurements of one lane. Those of all lanes are merged at the end.
type statistics struct {
	verdicts        [frontCount][load.NoResponse + 1]int
	latency         [frontCount]*latency.Histogram // from due time to response
	serviceTime     [frontCount]*latency.Histogram // from sending to response, as a closed loop would measure it
	sendDelay       *latency.Histogram             // from due time to sending
	lostConnections int
}

func newStatistics() *statistics {
	r := &statistics{sendDelay: newHistogram()}
	for f := range frontCount {
		r.latency[f], r.serviceTime[f] = newHistogram(), newHistogram()
	}
	return r
}

// recordSent records that a message was sent.
func (r *statistics) recordSent(due, at time.Duration) { r.sendDelay.Add(at - due) }

// recordVerdict records the verdict, at the time at, on a message that was sent at sentAt.
func (r *statistics) recordVerdict(f Front, v load.Verdict, due, sentAt, at time.Duration) {
	r.verdicts[f][v]++
	r.latency[f].Add(at - due)
	if v != load.NoResponse {
		r.serviceTime[f].Add(at - sentAt)
	}
}

func (r *statistics) merge(x *statistics) {
	for f := range frontCount {
		for v, n := range x.verdicts[f] {
			r.verdicts[f][v] += n
		}
		r.latency[f].Merge(x.latency[f])
		r.serviceTime[f].Merge(x.serviceTime[f])
	}
	r.sendDelay.Merge(x.sendDelay)
	r.lostConnections += x.lostConnections
}

// FrontResult holds the results for the messages of one front.
type FrontResult struct {
	Front       string    `json:"front"`
	Accepted    int       `json:"taken"`
	Rejected    int       `json:"refused"`
	Failed      int       `json:"failed"`
	NoResponse  int       `json:"unheard"` // no response
	Latency     Quantiles `json:"latency"` // from due time to response, or until a message without response was abandoned
	ServiceTime Quantiles `json:"served"`  // from sending to response
}

// Result holds the results of a run.
type Result struct {
	Rate            float64          `json:"rate"` // requested messages per second
	Seconds         float64          `json:"seconds"`
	Due             int              `json:"due"`
	Sent            int              `json:"left"`
	LostConnections int              `json:"connections_broken"`
	SendDelay       Quantiles        `json:"lag"`       // from due time to sending
	Pace            Quantiles        `json:"pace"`      // from due time to hand-over to a connection: the generator's own delay
	SentRate        float64          `json:"left_rate"` // messages sent per second
	Fronts          []FrontResult    `json:"fronts"`
	Histogram       []latency.Bucket `json:"histogram"` // of the latencies of all fronts
}

func (r *statistics) result(m Mix, due int, pace *latency.Histogram, elapsed time.Duration) *Result {
	out := &Result{
		Rate: m.Rate, Seconds: m.Duration.Seconds(), Due: due, Sent: int(r.sendDelay.Count()), LostConnections: r.lostConnections,
		SendDelay: quantiles(r.sendDelay), Pace: quantiles(pace), SentRate: float64(r.sendDelay.Count()) / elapsed.Seconds(),
	}
	all := newHistogram()
	for f := range frontCount {
		v := r.verdicts[f]
		if x := quantiles(r.latency[f]); x.N > 0 {
			out.Fronts = append(out.Fronts, FrontResult{
				Front: f.String(), Accepted: v[load.Accepted], Rejected: v[load.Rejected], Failed: v[load.Failed], NoResponse: v[load.NoResponse],
				Latency: x, ServiceTime: quantiles(r.serviceTime[f]),
			})
		}
		all.Merge(r.latency[f])
	}
	out.Histogram = all.Buckets()
	return out
}

// KeptPace reports whether the load generator itself kept up with the rate, so that the reported
// latencies are the courier's.
func (r *Result) KeptPace() bool { return r.Pace.P99 <= maxPaceMs }

// maxPaceMs is the maximum 99th percentile, in milliseconds, of the delay with which messages are
// handed over to connections.
const maxPaceMs = 10

// Print writes the result as a table and a histogram in text form.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "front\taccepted\trejected\tfailed\tno response\tmean ms\tp50\tp90\tp99\tp99.9\tmax\tservice p50\tp99\t")
	for _, f := range r.Fronts {
		l := f.Latency
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t\n", f.Front, f.Accepted, f.Rejected, f.Failed, f.NoResponse,
			l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max, f.ServiceTime.P50, f.ServiceTime.P99)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d due in %.1f s (%.0f per second), %d sent (%.0f per second); send delay p50 %.2f, p99 %.2f, max %.1f ms; %d connections lost\n",
		r.Due, r.Seconds, r.Rate, r.Sent, r.SentRate, r.SendDelay.P50, r.SendDelay.P99, r.SendDelay.Max, r.LostConnections)
	for _, b := range r.Histogram {
		if b.Count > 0 {
			fmt.Fprintf(out, "%10.3f to %10.3f ms %9d\n", b.FromMs, b.ToMs, b.Count)
		}
	}
	if !r.KeptPace() {
		fmt.Fprintf(out, "the load generator itself was late: p99 %.2f ms\n", r.Pace.P99)
	}
	return nil
}
