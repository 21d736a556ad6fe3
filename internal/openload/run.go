package openload

import (
	"context"
	"errors"
	"sync"
	"time"

	"snowjunction/internal/latency"
	"snowjunction/internal/standin/load"
)

// Options configures a run.
type Options struct {
	Mix
	RespAddr, PushAddr string
	Conns              int           // connections to each front
	Pipeline           int           // maximum number of messages in flight on a connection
	Settle             time.Duration // how long to wait for responses after the last message
	// Heard, if not nil, is called with the verdict on each message. Calls may be concurrent.
	OnVerdict func(load.Message, load.Verdict)
	// Progress, if not nil, is called about once a second and at the end with the elapsed time and
	// the number of messages passed to connections.
	Progress func(at time.Duration, due int)
}

// Run submits the messages of the mix and returns the results. If ctx is cancelled, the results
// cover the messages that were passed to connections until then.
func Run(ctx context.Context, o Options) (*Result, error) {
	source, err := newGenerator(o.Mix)
	if err != nil {
		return nil, err
	}
	if o.Conns < 1 || o.Pipeline < 1 {
		return nil, errors.New("at least one connection and one message per connection are required")
	}
	startedAt := time.Now()
	clock := func() time.Duration { return time.Since(startedAt) }
	var lanes [frontCount][]*lane
	var wg sync.WaitGroup
	for f, addr := range [...]string{o.RespAddr, o.PushAddr} {
		if f == int(Push) && o.Mix.PushShare == 0 || f == int(Resp) && o.Mix.PushShare == 1 {
			continue
		}
		for range o.Conns {
			l := newLane(addr, Front(f), o.Pipeline, clock, o.OnVerdict)
			lanes[f] = append(lanes[f], l)
			wg.Go(l.run)
		}
	}
	dispatched, pace := dispatch(ctx, source, lanes, clock, o.Progress)
	elapsed := clock()
	awaitResponses(ctx, lanes, o.Settle)
	total := newStatistics()
	for _, x := range lanes {
		for _, l := range x {
			l.stop()
		}
	}
	wg.Wait()
	for _, x := range lanes {
		for _, l := range x {
			total.merge(l.stats)
		}
	}
	return total.result(o.Mix, dispatched, pace, elapsed), nil
}

// dispatch passes each message to a lane when it is due. Messages of a key always go to the same
// lane, others to the lanes in turn. pace is the delay between due time and hand-over.
func dispatch(ctx context.Context, source *generator, lanes [frontCount][]*lane, clock func() time.Duration, progress func(time.Duration, int)) (due int, pace *latency.Histogram) {
	pace = newHistogram()
	nextLane, reportedAt := 0, time.Duration(0)
	for x, ok := source.next(); ok && ctx.Err() == nil; x, ok = source.next() {
		for now := clock(); now < x.dueAt; now = clock() {
			if progress != nil && now-reportedAt > time.Second {
				reportedAt = now
				progress(now, due)
			}
			time.Sleep(x.dueAt - now)
		}
		f := Resp
		if x.Message.Push {
			f = Push
		}
		n := nextLane
		if x.Key != 0 {
			n = int(x.Key % uint64(len(lanes[f])))
		}
		nextLane++
		lanes[f][n%len(lanes[f])].enqueue(x)
		pace.Add(clock() - x.dueAt)
		due++
	}
	if progress != nil {
		progress(clock(), due)
	}
	return due, pace
}

// awaitResponses waits until all responses have arrived, limit has passed, or ctx is
// cancelled.
func awaitResponses(ctx context.Context, lanes [frontCount][]*lane, limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for {
		busy := false
		for _, x := range lanes {
			for _, l := range x {
				busy = busy || !l.isIdle()
			}
		}
		if !busy {
			return
		}
		select {
		case <-poll.C:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
