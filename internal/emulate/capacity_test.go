package emulate

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"snowjunction"
	"snowjunction/internal/emulate/policy"
	"snowjunction/internal/peermsg"
)

// peerMessageCounts counts what couriers tell each other.
type peerMessageCounts struct {
	announcements, datagrams, bytes, requests, grants, unreachable, limits int
}

// countingPolicy is a module whose notes are counted.
type countingPolicy struct {
	policy.Policy
	counts *peerMessageCounts
}

func (c countingPolicy) Handle(now time.Duration, events []snowjunction.Event) []snowjunction.Action {
	actions := c.Policy.Handle(now, events)
	for _, a := range actions {
		t, ok := a.(snowjunction.SendPeerMessages)
		if !ok {
			continue
		}
		if len(t.Messages) == 0 {
			c.counts.announcements++
			continue
		}
		far := make([]snowjunction.PeerMessage, len(t.Messages))
		for i, x := range t.Messages {
			c.counts.count(x)
			far[i] = x
			far[i].Destination += 1_000_000 // as long as most of the fleet to come have
		}
		for _, b := range peermsg.Encode(far) {
			c.counts.datagrams++
			c.counts.bytes += len(b)
		}
	}
	return actions
}

func (n *peerMessageCounts) count(x snowjunction.PeerMessage) {
	for to, is := range map[*int]bool{&n.requests: x.RequestsGrant, &n.grants: x.IsGrant && !x.Recovered, &n.unreachable: x.Unreachable, &n.limits: x.Limit > 0} {
		if is {
			*to++
		}
	}
}

// seeds of each size.
const seedsPerSize = 2

// ipAndUDPHeaderBytes are the bytes of a datagram's headers.
const ipAndUDPHeaderBytes = 28

// reportPeerMessages plays a scenario and reports its notes: for a message that clients handed in, and, of
// those that only say that a courier is there, for a courier.
func reportPeerMessages(b *testing.B, s *Scenario) (n peerMessageCounts) {
	messages, delivered := 0, 0
	for b.Loop() {
		for seed := range uint64(seedsPerSize) {
			r, err := Run(s, Options{Seed: seed + 1, New: func(s snowjunction.Settings, t policy.GroundTruth) (policy.Policy, error) {
				p, err := policy.New("module", s, t)
				return countingPolicy{p, &n}, err
			}})
			if err != nil {
				b.Fatal(err)
			}
			messages, delivered = messages+r.Tries, delivered+r.Delivered
		}
	}
	per := func(v int, what string) { b.ReportMetric(float64(v)/float64(messages), what+"/message") }
	per(n.datagrams, "notes")
	per(n.bytes, "B")
	per(n.bytes+ipAndUDPHeaderBytes*n.datagrams, "B-with-headers")
	per(n.requests, "asks")
	per(n.grants, "grants")
	per(n.limits, "limits")
	per(delivered, "delivered")
	b.ReportMetric(float64(n.announcements)/float64(b.N*seedsPerSize*s.Couriers), "greetings/courier")
	b.ReportMetric(0, "ns/op")
	return n
}

// The notes of a few busy destinations, as couriers and load grow. What full load is, and so
// the limits, grows with the factor; level is the load over it.
func BenchmarkPeerMessagesOfGrowingFleet(b *testing.B) {
	for _, couriers := range []int{20, 40, 80, 160, 320} {
		for _, factor := range []float64{1, 2, 4} {
			for _, level := range []float64{0.75, 1.1} {
				b.Run(fmt.Sprintf("couriers=%d/full=%g/level=%g", couriers, 500*factor, level), func(b *testing.B) {
					s, err := Load("growing-fleet")
					if err != nil {
						b.Fatal(err)
					}
					s.Couriers, s.Seconds, s.Load.Full, s.Load.Level = couriers, 10, 500*factor, level
					reportPeerMessages(b, s)
				})
			}
		}
	}
}

// The fleet to come has 382 destinations for each courier, here a tenth, and each of them has
// 6.1 events a second from all couriers: the more there are, the seldomer one courier meets it.
const (
	destinationsPerCourier = 38
	eventsPerDestination   = 6.1
)

func sparseScenario(b *testing.B, couriers int, limited, down float64) *Scenario {
	file := filepath.Join(b.TempDir(), "overlay.json")
	text := `{}`
	if down > 0 {
		text = fmt.Sprintf(`{"faults": [{"kind": "silent", "at_s": 0, "for_s": 100, "share": %g}]}`, down)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	s, err := Load("growing-fleet", file)
	if err != nil {
		b.Fatal(err)
	}
	s.Couriers, s.Seconds, s.Dormancy = couriers, 5, true
	s.Partners.Count, s.Partners.Limited = couriers*destinationsPerCourier, limited
	s.Partners.Skew, s.Load.Level = 0, 0.75
	s.Load.Full = float64(s.Partners.Count) * eventsPerDestination / s.Load.Level
	return s
}

// The notes where many destinations have few events each.
func BenchmarkPeerMessagesWithManyDestinations(b *testing.B) {
	for _, couriers := range []int{10, 20, 40, 80} {
		for _, limited := range []float64{0, 1} {
			b.Run(fmt.Sprintf("couriers=%d/limited=%g", couriers, limited), func(b *testing.B) {
				reportPeerMessages(b, sparseScenario(b, couriers, limited, 0))
			})
		}
	}
}

// What couriers say of destinations that are down, a hundredth of all, for each of them and
// second; beside the like without any. With slots by the load, calls that nobody answers
// take those of others, whose grants then lapse and are asked for again.
func BenchmarkPeerMessagesDuringOutages(b *testing.B) {
	for _, slots := range []int{0, 20_000} {
		for _, couriers := range []int{10, 20, 40} {
			for _, down := range []float64{0, 0.01} {
				b.Run(fmt.Sprintf("slots=%d/couriers=%d/down=%g", slots, couriers, down), func(b *testing.B) {
					s := sparseScenario(b, couriers, 1, down)
					s.Seconds, s.Settings.Slots = 12, slots
					n := reportPeerMessages(b, s)
					if down > 0 {
						seconds := down * float64(s.Partners.Count) * s.Seconds
						b.ReportMetric(float64(n.unreachable)/float64(b.N)/seedsPerSize/seconds, "failing/down-destination-s")
					}
				})
			}
		}
	}
}
