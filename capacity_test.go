package snowjunction

import (
	"fmt"
	"testing"
	"time"

	"snowjunction/internal/gauge"
)

// The planned fleet, see docs/CAPACITY.md.
const (
	plannedFleet           = 3_400
	plannedDestinations    = 1_300_000
	plannedEventsPerSecond = 7_900_000
)

func newPlannedMember(b *testing.B, number int) *Courier {
	c, err := New(Settings{
		Fleet: plannedFleet, Number: number, PeerMessages: true, Tick: time.Millisecond, Slots: 4096, MaxAttempts: 6,
		Classes: []Class{{Effect: Safe, TargetLatency: 1500 * time.Millisecond, Deadline: 8 * time.Second, Value: 2, LateValueShare: 0.1}},
		Tenants: []Tenant{{Quota: plannedEventsPerSecond}}, Report: []ReportField{AllowanceLeft, LimitRate}, ConnectTimeout: 1500 * time.Millisecond,
		ColdShare: 0.2, CollapseMultiple: 2, WarmUp: 14 * time.Second, CollapseTime: 1500 * time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}
	return c
}

func twoEndpoints(d DestinationID) []Endpoint {
	return []Endpoint{{ID: EndpointID(2*d + 1), Destination: d, Phase: Ready, Weight: 1}, {ID: EndpointID(2*d + 2), Destination: d, Phase: Ready, Weight: 1}}
}

// BenchmarkKeeper measures a lease owner's cost of a grant request and its grant. The courier owns an
// even part of the leases and gets requests at the rate of their events.
func BenchmarkKeeper(b *testing.B) {
	const n = 20_000
	c := newPlannedMember(b, 5)
	var owned []DestinationID
	for d := range DestinationID(plannedDestinations) {
		if c.leaseOwners.PreferredOwner(uint32(d)) == 5 {
			owned = append(owned, d)
		}
	}
	now, i, grants := time.Second, 0, 0
	gauge.CPUPerItem(b, n, "ask", func() {
		for range n {
			now += time.Second * plannedFleet / plannedEventsPerSecond
			note := PeerMessage{Destination: owned[i%len(owned)], RequestsGrant: true, Calls: 1, Rank: 150, Limit: 12}
			for _, a := range c.Handle(now, []Event{PeerMessagesReceived{Peer: 6 + i%3000, Messages: []PeerMessage{note}}}) {
				if t, ok := a.(SendPeerMessages); ok && len(t.Messages) > 0 {
					grants++
				}
			}
			i++
		}
	})
	if grants < b.N*n*9/10 {
		b.Fatalf("%d grants for %d requests", grants, b.N*n)
	}
	b.ReportMetric(float64(len(owned)), "accounts")
}

// BenchmarkAwakeDestination measures the memory of a loaded destination with two endpoints, after a
// call to each of them and with one message waiting.
func BenchmarkAwakeDestination(b *testing.B) {
	const n = 4096
	gauge.HeapPerItem(b, n, "destination", func() any {
		c := newPlannedMember(b, 5)
		c.settings.PeerMessages = false
		id := RequestID(0)
		for round := range 2 {
			for d := range DestinationID(n) {
				now := time.Second + time.Duration(n*round+int(d))*time.Millisecond
				var events []Event
				if round == 0 {
					events = append(events, Load{Destination: d, Endpoints: twoEndpoints(d), Destinations: plannedDestinations})
				}
				id++
				for _, a := range c.Handle(now, append(events, Request{ID: id, Destination: d, Deadline: 8 * time.Second})) {
					if s, ok := a.(Send); ok {
						c.Handle(now+time.Millisecond/2, []Event{AttemptEnded{
							Request: s.Request, Endpoint: s.Endpoint, Took: 200 * time.Microsecond, Done: true, Report: []float64{0.8, 12},
						}})
					}
				}
			}
		}
		return c
	})
}

// courierWithPending returns a courier with messages spread over destinations, none of which may be
// called within a minute.
func courierWithPending(b *testing.B, messages, destinations int) *Courier {
	c := newPlannedMember(b, 5)
	c.settings.PeerMessages = false
	now := time.Second
	for d := range DestinationID(destinations) {
		c.Handle(now, []Event{Load{Destination: d, Endpoints: twoEndpoints(d), Destinations: plannedDestinations}})
		c.destinationFor(d).routes[0].retryAfterUntil = now + time.Hour
		c.destinationFor(d).routes[0].waitUntil = now + time.Hour
	}
	for i := range messages {
		c.addRequest(&request{id: RequestID(i + 1), class: c.classAt(0), dest: c.destinationFor(DestinationID(i % destinations)), targetAt: now + time.Hour, deadline: now + 2*time.Hour})
	}
	c.Handle(now, nil)
	if len(c.pending) != messages {
		b.Fatalf("%d pending, want %d", len(c.pending), messages)
	}
	return c
}

// BenchmarkHeldRequest measures the memory of a waiting message, without its destination.
func BenchmarkHeldRequest(b *testing.B) {
	const n = 100_000
	gauge.HeapPerItem(b, n, "event", func() any { return courierWithPending(b, n, 100) })
}

// BenchmarkTurn measures a call of Handle without events, per destination with waiting messages and
// per message.
func BenchmarkTurn(b *testing.B) {
	for _, x := range []struct{ messages, destinations int }{{100, 100}, {1_000, 1_000}, {4_000, 4_000}, {40_000, 4_000}, {1_000, 1}, {100_000, 1}} {
		b.Run(fmt.Sprintf("messages=%d/destinations=%d", x.messages, x.destinations), func(b *testing.B) {
			c, now := courierWithPending(b, x.messages, x.destinations), time.Second
			gauge.CPUPerItem(b, 100, "turn", func() {
				for range 100 {
					now += time.Millisecond
					c.Handle(now, nil)
				}
			})
		})
	}
}

// BenchmarkEndAmongHeld measures the end of one message while many are pending.
func BenchmarkEndAmongHeld(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := courierWithPending(b, n, 1_000)
			i := 0
			gauge.CPUPerItem(b, 100, "event", func() {
				for range 100 {
					r := c.pending[(i*7919)%len(c.pending)]
					c.finishRequest(r)
					c.addRequest(&request{id: r.id, class: r.class, dest: r.dest, targetAt: r.targetAt, deadline: r.deadline})
					i++
				}
			})
		})
	}
}

// BenchmarkCarrier measures the cost of an event at the courier that delivers it, if each destination
// gets messages so rarely that it is loaded for one message, requests a grant, is called and unloaded
// again. Four thousand other destinations are loaded meanwhile.
func BenchmarkCarrier(b *testing.B) {
	const n, loaded = 20_000, 4_000
	c, now, i, sent := newPlannedMember(b, 5), time.Second, 0, 0
	gauge.CPUPerItem(b, n, "event", func() {
		for range n {
			now += time.Second * plannedFleet / plannedEventsPerSecond
			d, old := DestinationID(i*7919%plannedDestinations), DestinationID((i-loaded)*7919%plannedDestinations)
			var events []Event
			if i >= loaded {
				events = append(events, Unload{Destination: old})
			}
			i++
			events = append(events, Load{Destination: d, Endpoints: twoEndpoints(d), Destinations: plannedDestinations}, Request{ID: RequestID(i), Destination: d, Deadline: 8 * time.Second})
			for len(events) > 0 {
				actions := c.Handle(now, events)
				events = nil
				for _, a := range actions {
					switch a := a.(type) {
					case SendPeerMessages:
						for _, x := range a.Messages {
							if x.RequestsGrant && x.Calls > 0 {
								events = append(events, PeerMessagesReceived{Peer: a.Peer, Messages: []PeerMessage{{Destination: x.Destination, IsGrant: true, Calls: 1}}})
							}
						}
					case Send:
						sent++
						events = append(events, AttemptEnded{Request: a.Request, Endpoint: a.Endpoint, Took: time.Millisecond / 10, Done: true, Report: []float64{0.8, 12}})
					}
				}
			}
		}
	})
	if sent < b.N*n*99/100 {
		b.Fatalf("%d sent of %d", sent, b.N*n)
	}
}

// BenchmarkAsksWhileDown measures the grant requests of one event, up to its end, at a destination
// that is down. No other event of its courier goes there and each request is granted after 40 ms.
func BenchmarkAsksWhileDown(b *testing.B) {
	for _, deadline := range []time.Duration{8 * time.Second, 20 * time.Second} {
		b.Run(deadline.String(), func(b *testing.B) {
			var asks, failing, sends, slotSeconds, end float64
			for b.Loop() {
				asks, failing, sends, slotSeconds, end = 0, 0, 0, 0, 0
				c := newPlannedMember(b, 5)
				c.settings.Slots, c.classes[0].Deadline = 64, deadline
				c.Handle(time.Second, []Event{Load{Destination: 7, Endpoints: twoEndpoints(7), Destinations: plannedDestinations}})
				scheduled := map[time.Duration][]Event{2 * time.Second: {Request{ID: 1, Destination: 7, Deadline: deadline}}}
				for now := 2 * time.Second; now < 3*time.Second+deadline; now += time.Millisecond {
					events := scheduled[now]
					for _, a := range c.Handle(now, events) {
						switch a := a.(type) {
						case SendPeerMessages:
							for _, x := range a.Messages {
								asks, failing = asks+boolToFloat(x.RequestsGrant), failing+boolToFloat(x.Unreachable)
								if x.RequestsGrant && x.Calls > 0 {
									at := now + 40*time.Millisecond
									scheduled[at] = append(scheduled[at], PeerMessagesReceived{Peer: a.Peer, Messages: []PeerMessage{{Destination: 7, IsGrant: true, Calls: 1}}})
								}
							}
						case Send:
							at := (now + a.Timeout + time.Millisecond).Truncate(time.Millisecond)
							scheduled[at] = append(scheduled[at], AttemptEnded{Request: a.Request, Endpoint: a.Endpoint, Attempt: int(sends), Took: a.Timeout, Outcome: TimedOut})
							sends, slotSeconds = sends+1, slotSeconds+a.Timeout.Seconds()
						case Fail, Refuse:
							end = (now - 2*time.Second).Seconds()
						}
					}
				}
			}
			b.ReportMetric(asks, "asks/event")
			b.ReportMetric(failing, "failing/event")
			b.ReportMetric(sends, "calls/event")
			b.ReportMetric(slotSeconds, "slot-s/event")
			b.ReportMetric(end, "s-to-its-end")
		})
	}
}

func boolToFloat(is bool) float64 {
	if is {
		return 1
	}
	return 0
}
