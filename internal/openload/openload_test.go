package openload

import (
	"context"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/sink"
)

func mix() Mix {
	return Mix{
		Rate: 2000, Duration: 300 * time.Millisecond, PushShare: 0.5, OrderShare: 0.7, MessagesPerKey: 3, Skew: 0.8, RESPDestinations: []uint32{1, 2, 3}, PushDestinations: []uint32{4, 5},
		Tenant: "town", Seed: 1, Deadline: 20 * time.Second,
	}
}

func openSink(t *testing.T) *sink.Sink {
	s, err := sink.New()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func options(server *sink.Sink) Options {
	return Options{Mix: mix(), RespAddr: server.Resp, PushAddr: server.Push, Conns: 2, Pipeline: 16, Settle: time.Minute}
}

// Every message gets one response, over both fronts, and is counted once.
func TestEachMessageCountedOnce(t *testing.T) {
	s := openSink(t)
	o := options(s)
	var mu sync.Mutex
	verdictCounts := map[string]int{}
	o.OnVerdict = func(m load.Message, v load.Verdict) {
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, load.Accepted, v)
		verdictCounts[m.ID]++
	}
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	assert.Equal(t, r.Due, r.Sent)
	assert.Len(t, verdictCounts, r.Due)
	assert.Equal(t, r.Due, s.Accepted())
	require.Len(t, r.Fronts, 2)
	sum := int64(0)
	for _, f := range r.Fronts {
		assert.Equal(t, f.Latency.N, int64(f.Accepted))
		assert.Positive(t, f.Accepted)
		sum += f.Latency.N
	}
	n := int64(0)
	for _, b := range r.Histogram {
		n += b.Count
	}
	assert.Equal(t, sum, n, "the histogram must contain all messages")
}

// A stall of the server must count for all messages due during the stall, including those that could
// not be sent. A closed loop would not count them.
func TestStallCountsForAllDueMessages(t *testing.T) {
	for _, share := range []float64{0, 1} {
		s := openSink(t)
		o := options(s)
		o.Even, o.Mix.PushShare = true, share
		s.Hold()
		var end time.Duration // end of the stall
		o.Progress = func(at time.Duration, due int) {
			if due == 600 { // the last message has been passed to a lane
				end = at
				s.Release()
			}
		}
		r, err := Run(context.Background(), o)
		require.NoError(t, err)
		require.Len(t, r.Fronts, 1)
		f := r.Fronts[0]
		assert.Equal(t, 600, f.Accepted)
		// The message due in the middle of the 300 ms waited for the rest of the stall.
		assert.GreaterOrEqual(t, f.Latency.P50, 0.99*ms(end-151*time.Millisecond))
		assert.GreaterOrEqual(t, f.Latency.Max, 0.99*ms(end-time.Millisecond))
		assert.GreaterOrEqual(t, r.SendDelay.P50, 0.99*ms(end-170*time.Millisecond), "most messages could not be sent, with 32 in flight")
		assert.Less(t, f.ServiceTime.P50, f.Latency.P50, "latency measured from sending does not show the stall")
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// When connections are lost, their messages in flight end as NoResponse, and all others are sent over
// new connections.
func TestLostConnections(t *testing.T) {
	for _, share := range []float64{0, 1} {
		s := openSink(t)
		o := options(s)
		o.Mix.PushShare = share
		var once sync.Once
		o.OnVerdict = func(load.Message, load.Verdict) {
			once.Do(s.CloseConnections)
		}
		r, err := Run(context.Background(), o)
		require.NoError(t, err)
		f := r.Fronts[0]
		assert.Equal(t, r.Due, f.Accepted+f.NoResponse)
		assert.LessOrEqual(t, f.NoResponse, 2*16)
		assert.Positive(t, r.LostConnections)
	}
}

// Without a server, and with a server that never responds, all messages end as NoResponse.
func TestNoServerAndNoResponses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	o := Options{Mix: mix(), RespAddr: addr, PushAddr: addr, Conns: 1, Pipeline: 4}
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	assert.Zero(t, r.Sent)
	assert.Equal(t, r.Due, r.Fronts[0].NoResponse+r.Fronts[1].NoResponse)

	s := openSink(t)
	s.Hold()
	o = options(s)
	o.Settle = 0
	r, err = Run(context.Background(), o)
	require.NoError(t, err)
	assert.Equal(t, r.Due, r.Fronts[0].NoResponse+r.Fronts[1].NoResponse)
	assert.Positive(t, r.Sent)
}

// A cancelled run reports on the messages passed to lanes until then.
func TestCancelledRun(t *testing.T) {
	s := openSink(t)
	o := options(s)
	o.Duration = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	o.OnVerdict = func(load.Message, load.Verdict) { cancel() }
	r, err := Run(ctx, o)
	require.NoError(t, err)
	assert.Positive(t, r.Due)
	assert.Equal(t, int64(r.Due), r.Fronts[0].Latency.N+r.Fronts[1].Latency.N)
}

// The generated messages match the mix, have sequence numbers in order and distinct IDs, and are
// equal for equal seeds.
func TestMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := mix()
		m.Rate, m.Duration = 300, 2*time.Second
		m.PushShare = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "push")
		m.OrderShare = rapid.SampledFrom([]float64{0, 0.6, 1}).Draw(t, "orders")
		m.Even = rapid.Bool().Draw(t, "even")
		m.Seed = rapid.Uint64().Draw(t, "seed")
		first, err := newGenerator(m)
		require.NoError(t, err)
		second, _ := newGenerator(m)
		last, seqs, ids := time.Duration(0), map[uint64]uint64{}, map[string]bool{}
		n, push, orders := 0.0, 0.0, 0.0
		for {
			x, ok := first.next()
			y, _ := second.next()
			assert.Equal(t, x, y)
			if !ok {
				break
			}
			assert.GreaterOrEqual(t, x.dueAt, last)
			assert.False(t, ids[x.ID])
			last, ids[x.ID] = x.dueAt, true
			n++
			list := m.RESPDestinations
			if x.Message.Push {
				push++
				list = m.PushDestinations
			}
			assert.Contains(t, list, x.Destination)
			if x.Class == "order" {
				orders++
				assert.Equal(t, seqs[x.Key]+1, x.Seq)
				assert.True(t, x.HasIdempotencyKey)
				seqs[x.Key] = x.Seq
			} else {
				assert.Zero(t, x.Key)
			}
		}
		within := func(got, want float64) { // within six standard deviations
			assert.InDelta(t, want, got, 6*math.Sqrt(max(want, 1)))
		}
		within(n, 600)
		within(push, m.PushShare*n)
		within(orders, m.OrderShare*n)
	})
}

func TestInvalidOptions(t *testing.T) {
	s := openSink(t)
	for want, change := range map[string]func(*Options){
		"rate":        func(o *Options) { o.Rate = 0 },
		"time":        func(o *Options) { o.Duration = 0 },
		"shares":      func(o *Options) { o.OrderShare = 1.5 },
		"key":         func(o *Options) { o.MessagesPerKey = 0 },
		"skew":        func(o *Options) { o.Skew = -1 },
		"destination": func(o *Options) { o.PushDestinations = nil },
		"connection":  func(o *Options) { o.Conns = 0 },
	} {
		o := options(s)
		change(&o)
		_, err := Run(context.Background(), o)
		assert.ErrorContains(t, err, want)
	}
}

// The queue keeps the order of its items for any sequence of additions and removals.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue[int]
		var model []int
		for i := range 200 {
			if n := rapid.IntRange(-4, 4).Draw(t, "n"); n >= 0 {
				for k := range n {
					q.push(i*10 + k)
					model = append(model, i*10+k)
				}
			} else {
				n = min(-n, len(model))
				q.remove(n)
				model = model[n:]
			}
			assert.Equal(t, len(model), q.len())
			if len(model) > 0 {
				assert.Equal(t, model, q.all())
			}
		}
	})
}
