package snowjunction

import (
	"testing"
	"time"
)

// newLoadedCourier returns a courier with one destination of two endpoints and one open call.
func newLoadedCourier(t *testing.T) *Courier {
	t.Helper()
	s := unloadSettings()
	c, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(0, []Event{Load{Destination: 1, Endpoints: []Endpoint{
		{ID: 1, Destination: 1, Phase: Ready}, {ID: 2, Destination: 1, Phase: Ready},
	}}, Request{ID: 1, Destination: 1, Class: 1, Deadline: 8 * time.Second}})
	return c
}

func unloadSettings() Settings {
	return Settings{
		Seed: 1, Fleet: 1, Tick: 5 * time.Millisecond, Slots: 8, MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: 3 * time.Second,
		ConnectTimeout: time.Second, WarmUp: 14 * time.Second, ColdShare: 0.2, CollapseMultiple: 2, CollapseTime: 1500 * time.Millisecond,
		Report: []ReportField{AllowanceLeft, LimitRate},
		Classes: []Class{
			{Name: "order", Effect: Keyed, Window: 5 * time.Second, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 1, InOrder: true},
			{Name: "status", TargetLatency: 1500 * time.Millisecond, Deadline: 8 * time.Second, Value: 2, LateValueShare: .1},
		},
	}
}

func unloadResult(t *testing.T, actions []Action) Unloaded {
	t.Helper()
	for _, a := range actions {
		if a, ok := a.(Unloaded); ok {
			return a
		}
	}
	t.Fatal("no answer to the unload")
	return Unloaded{}
}

// A destination with an open call stays loaded. One without is removed completely and its snapshot
// returned.
func TestUnloadReturnsSnapshot(t *testing.T) {
	c := newLoadedCourier(t)
	if a := unloadResult(t, c.Handle(10*time.Millisecond, []Event{Unload{1}})); !a.Busy || a.Snapshot != nil {
		t.Errorf("with an open call: %+v", a)
	}
	c.Handle(200*time.Millisecond, []Event{AttemptEnded{
		Request: 1, Endpoint: 1, Outcome: OK, Took: 200 * time.Millisecond, Report: []float64{.5, 4}, Done: true,
	}})
	a := unloadResult(t, c.Handle(time.Second, []Event{Unload{1}}))
	if a.Busy || a.Snapshot == nil || len(a.Snapshot.Routes) != 1 || len(a.Snapshot.Endpoints) != 2 {
		t.Fatalf("%+v", a)
	}
	if r := a.Snapshot.Routes[0]; r.Limit != 4 || a.Snapshot.Latency == 0 || a.Snapshot.FirstAttempts != 1 {
		t.Errorf("%+v", a.Snapshot)
	}
	if len(c.destinations)+len(c.endpoints)+len(c.destinationOrder)+len(c.active)+len(c.requests)+len(c.pending) != 0 {
		t.Errorf("left after the unload: %d %d %d %d", len(c.destinations), len(c.endpoints), len(c.destinationOrder), len(c.active))
	}
	if a := unloadResult(t, c.Handle(2*time.Second, []Event{Unload{1}})); a.Busy || a.Snapshot != nil {
		t.Errorf("unknown destination: %+v", a)
	}
}

// A retry-after delay continues while the destination is unloaded, even if its endpoints change.
func TestRetryAfterDelaySurvivesUnload(t *testing.T) {
	for name, ids := range map[string][2]EndpointID{"same": {1, 2}, "replaced": {7, 8}} {
		c := newLoadedCourier(t)
		c.Handle(100*time.Millisecond, []Event{AttemptEnded{
			Request: 1, Endpoint: 1, Outcome: Rejected, Took: 100 * time.Millisecond, RetryAfter: 5 * time.Second, Report: []float64{0, 4},
		}, Withdrawn{1}})
		a := unloadResult(t, c.Handle(200*time.Millisecond, []Event{Unload{1}}))
		if a.Snapshot == nil {
			t.Fatalf("%s: %+v", name, a)
		}
		at := 2 * time.Second
		events := []Event{Load{
			Destination: 1, Snapshot: a.Snapshot, UnloadedFor: at - 200*time.Millisecond,
			Endpoints: []Endpoint{{ID: ids[0], Destination: 1, Phase: Ready}, {ID: ids[1], Destination: 1, Phase: Ready}},
		}, Request{ID: 2, Destination: 1, Class: 1, Deadline: 8 * time.Second}}
		for ; at < 5*time.Second; at += 50 * time.Millisecond {
			if n := sends(c.Handle(at, events)); len(n) > 0 {
				t.Fatalf("%s: sent at %v, the delay ends at 5.1 s", name, at)
			}
			events = nil
		}
		sent := 0
		for ; at < 8*time.Second && sent == 0; at += 50 * time.Millisecond {
			sent = len(sends(c.Handle(at, nil)))
		}
		if sent != 1 {
			t.Errorf("%s: %d sent after the delay", name, sent)
		}
	}
}

// A retry-after delay also continues while the destination has no endpoints.
func TestRetryAfterDelaySurvivesWithoutEndpoints(t *testing.T) {
	c := newLoadedCourier(t)
	c.Handle(100*time.Millisecond, []Event{AttemptEnded{Request: 1, Endpoint: 1, Outcome: Rejected, Took: time.Millisecond, RetryAfter: 5 * time.Second}, Withdrawn{1}})
	a := unloadResult(t, c.Handle(200*time.Millisecond, []Event{Unload{1}}))
	c.Handle(time.Second, []Event{Load{Destination: 1, Snapshot: a.Snapshot, UnloadedFor: 800 * time.Millisecond},
		Request{ID: 2, Destination: 1, Class: 1, Deadline: 8 * time.Second}})
	if n := len(sends(c.Handle(1100*time.Millisecond, []Event{List{Kind: ListDelta, Endpoints: []Endpoint{{ID: 9, Destination: 1, Phase: Ready}}}}))); n != 0 {
		t.Error("sent during the delay to an endpoint that was listed later")
	}
}

// Retries made before an unload still count against the budget after a load, within the window.
func TestRetryBudgetSurvivesUnload(t *testing.T) {
	c := newLoadedCourier(t)
	c.destinations[1].retries.add(0, 5)
	c.Handle(100*time.Millisecond, []Event{AttemptEnded{Request: 1, Endpoint: 1, Outcome: OK, Took: time.Millisecond, Done: true}})
	a := unloadResult(t, c.Handle(200*time.Millisecond, []Event{Unload{1}}))
	if a.Snapshot.Retries != 5 {
		t.Fatalf("%+v", a.Snapshot)
	}
	c.Handle(5*time.Second, []Event{Load{Destination: 1, Snapshot: a.Snapshot, UnloadedFor: 5 * time.Second}})
	if got := c.destinations[1].retries.sum(c.now); got != 5 {
		t.Errorf("retries: %v", got)
	}
	if got := c.destinations[1].firstAttempts.sum(c.now); got > 0.6 {
		t.Errorf("first attempts count longer than in a loaded destination: %v", got)
	}
	unloadResult(t, c.Handle(6*time.Second, []Event{Unload{1}}))
	c.Handle(30*time.Second, []Event{Load{Destination: 1, Snapshot: a.Snapshot, UnloadedFor: 24 * time.Second}})
	if got := c.destinations[1].retries.sum(c.now); got != 0 {
		t.Errorf("retries from before the window: %v", got)
	}
}

// An outage at the unload is still an outage after the load: one trial is sent, and only a request
// that may be lost.
func TestOutageSurvivesUnload(t *testing.T) {
	c := newLoadedCourier(t)
	c.Handle(2*time.Second, []Event{AttemptEnded{Request: 1, Endpoint: 1, Outcome: TimedOut, Took: 2 * time.Second}, Withdrawn{1}})
	for _, e := range c.endpoints {
		c.setHealth(e, down, "", "")
	}
	a := unloadResult(t, c.Handle(3*time.Second, []Event{Unload{1}}))
	events := []Event{Load{
		Destination: 1, Snapshot: a.Snapshot, UnloadedFor: time.Minute,
		Endpoints: []Endpoint{{ID: 1, Destination: 1, Phase: Ready}, {ID: 2, Destination: 1, Phase: Ready}},
	}}
	for i := range RequestID(6) {
		events = append(events, Request{ID: 10 + i, Destination: 1, Class: 1, Deadline: 8 * time.Second})
	}
	if n := len(sends(c.Handle(63*time.Second, events))); n != 1 {
		t.Errorf("%d sent to a destination that was down", n)
	}
}

// deliverBacklog loads a destination with n queued requests. It accepts limit calls in each span and
// answers after latency. The results are the highest number of calls in a span, the number of
// rejections, and the time of the last delivery.
func deliverBacklog(t *testing.T, state *DestinationSnapshot, caution CautiousStart, n, limit int, span, latency time.Duration) (peak, refused int, last time.Duration) {
	t.Helper()
	s := unloadSettings()
	s.Slots = 32
	c, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{Load{
		Destination: 1, Snapshot: state, UnloadedFor: time.Hour, CautiousStart: caution,
		Endpoints: []Endpoint{{ID: 1, Destination: 1, Phase: Ready}},
	}}
	for i := range n {
		events = append(events, Request{ID: RequestID(i + 1), Destination: 1, Class: 0, Deadline: 20 * time.Second})
	}
	type out struct {
		at time.Duration
		ev AttemptEnded
	}
	var inFlight []out
	attempts, spans, delivered := map[RequestID]int{}, map[int64]int{}, 0
	for now := time.Duration(0); now < 20*time.Second && delivered < n; now += s.Tick {
		for len(inFlight) > 0 && inFlight[0].at <= now {
			inFlight[0].ev.Took = latency
			events, inFlight = append(events, inFlight[0].ev), inFlight[1:]
		}
		for _, a := range c.Handle(now, events) {
			send, ok := a.(Send)
			if !ok {
				continue
			}
			in := int64(now / span)
			spans[in]++
			peak = max(peak, spans[in])
			ev := AttemptEnded{
				Request: send.Request, Endpoint: 1, Attempt: attempts[send.Request], Outcome: OK, Done: true,
				Report: []float64{max(0, 1-float64(spans[in])/float64(limit)), float64(limit) / span.Seconds()},
			}
			if spans[in] > limit {
				ev.Outcome, ev.Done = Rejected, false
				refused++
			} else {
				delivered++
				last = now + latency
			}
			attempts[send.Request]++
			inFlight = append(inFlight, out{now + latency, ev})
		}
		events = nil
	}
	if delivered < n {
		t.Errorf("%d of %d delivered in 20 s", delivered, n)
	}
	return peak, refused, last
}

// The requests waiting at a load do not push the destination over its limit, even if the limit has
// changed since, and are delivered nearly as fast as the limit allows.
func TestBacklogAfterLoadStaysWithinLimit(t *testing.T) {
	caution := CautiousStart{Window: 1, Cold: true, ReducedPaceFor: 14 * time.Second}
	known := func(limit float64) *DestinationSnapshot {
		return &DestinationSnapshot{Latency: .2, BestLatency: .2, PeakRate: limit, Window: 8, Routes: []RouteSnapshot{{Limit: limit, LimitLeft: 1}}, Endpoints: []EndpointSnapshot{{ID: 1}}}
	}
	for _, tc := range []struct {
		name    string
		state   *DestinationSnapshot
		caution CautiousStart
		limit   int
		span    time.Duration
	}{
		{"limit unchanged", known(4), caution, 4, time.Second},
		{"cut to a third", known(12), caution, 4, time.Second},
		{"cut to a tenth", known(20), caution, 2, time.Second},
		{"limit raised", known(2), caution, 6, time.Second},
		{"long spans", known(6), caution, 12, 2 * time.Second},
		{"nothing known", nil, CautiousStart{Window: 1, ReducedPaceFor: 14 * time.Second}, 3, time.Second},
	} {
		rate := float64(tc.limit) / tc.span.Seconds()
		n := int(3 * rate)
		most, refused, last := deliverBacklog(t, tc.state, tc.caution, n, tc.limit, tc.span, 200*time.Millisecond)
		if most > tc.limit || refused > 0 {
			t.Errorf("%s: %d calls in a span, %d allowed; %d refused", tc.name, most, tc.limit, refused)
		}
		if last > 12*time.Second {
			t.Errorf("%s: the requests of three seconds at the limit took %v", tc.name, last)
		}
	}
	// Without a cautious start the same requests exceed the limit, so the test can fail.
	if most, _, _ := deliverBacklog(t, known(12), CautiousStart{}, 12, 4, time.Second, 200*time.Millisecond); most <= 4 {
		t.Errorf("without a cautious start %d calls in a span: the test cannot fail", most)
	}
}

// Inspecting a destination returns the snapshot that an unload would and changes nothing: the same
// events lead to the same actions with and without it.
func TestInspectHasNoEffect(t *testing.T) {
	run := func(inspect bool) (out []Action, seen *DestinationSnapshot) {
		c := newLoadedCourier(t)
		for i := range 40 {
			now := time.Duration(i+1) * 10 * time.Millisecond
			var events []Event
			if i%4 == 0 {
				events = append(events, Request{ID: RequestID(i + 10), Destination: 1, Class: i / 4 % 2, Deadline: 8 * time.Second})
			}
			if inspect {
				events = append(events, Inspect{1}, Inspect{99})
			}
			for _, a := range c.Handle(now, events) {
				if s, ok := a.(Inspected); ok {
					if s.Destination == 1 {
						seen = s.Snapshot
					} else if s.Snapshot != nil {
						t.Error("a snapshot of an unknown destination")
					}
					continue
				}
				out = append(out, a)
			}
		}
		return out, seen
	}
	with, seen := run(true)
	without, _ := run(false)
	want(t, "actions", with, without)
	if seen == nil || len(seen.Endpoints) != 2 || len(seen.Routes) != 1 {
		t.Errorf("seen: %+v", seen)
	}
}

// The call gap that a kind learned from rejected retries is restored with a destination of this kind,
// unless the kind has learned another one since.
func TestRetryGapOfKindIsRestored(t *testing.T) {
	c := newLoadedCourier(t)
	c.retryGap[0], c.smallTableUntil[0] = 9*time.Second, 30*time.Second
	c.Handle(time.Second, []Event{AttemptEnded{Request: 1, Endpoint: 1, Outcome: OK, Took: 100 * time.Millisecond, Done: true}})
	s := unloadResult(t, c.Handle(2*time.Second, []Event{Unload{1}})).Snapshot
	want(t, "gap", s.RetryGap, c.retryGap[0])
	other := newLoadedCourier(t)
	other.Handle(time.Second, []Event{Load{Destination: 2, Snapshot: s, UnloadedFor: time.Second}})
	want(t, "gap", other.retryGap[0], s.RetryGap)
	want(t, "small tables", other.smallTableUntil[0], s.SmallTableFor) // one second loaded, one second unloaded
	s.RetryGap = 5 * time.Second
	other.Handle(time.Second, []Event{Load{Destination: 3, Snapshot: s}})
	want(t, "restored although a newer gap was learned", other.retryGap[0] == s.RetryGap, false)
}
