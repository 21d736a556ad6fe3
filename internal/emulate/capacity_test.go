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

// peerMessageCounts counts the messages between couriers.
type peerMessageCounts struct {
	announcements, datagrams, bytes, requests, grants, unreachable, limits int
}

// countingPolicy counts the peer messages of a policy.
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
		encoded := make([]snowjunction.PeerMessage, len(t.Messages))
		for i, x := range t.Messages {
			c.counts.count(x)
			encoded[i] = x
			encoded[i].Destination += 1_000_000 // encoded in as many bytes as most numbers of a large fleet
		}
		for _, b := range peermsg.Encode(encoded) {
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

// seedsPerSize is the number of seeds of each fleet size.
const seedsPerSize = 2

// ipAndUDPHeaderBytes is the size of the IP and UDP headers of a datagram.
const ipAndUDPHeaderBytes = 28

// reportPeerMessages runs a scenario and reports its peer messages: per client message, and the
// announcements per courier.
func reportPeerMessages(b *testing.B, s *Scenario) (n peerMessageCounts) {
	messages, delivered := 0, 0
	for b.Loop() {
		for seed := range uint64(seedsPerSize) {
			r, err := Run(s, Options{Seed: seed + 1, NewPolicy: func(s snowjunction.Settings, t policy.GroundTruth) (policy.Policy, error) {
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

// Peer messages of a few busy destinations with a growing number of couriers and growing load. The
// full load, and with it the limits, grows with the factor; level is the load relative to it.
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

// The planned large fleet has 382 destinations per courier, of which the benchmark has a tenth. Each
// destination has 6.1 events per second in total: the more couriers there are, the more rarely each
// of them calls it.
const (
	destinationsPerCourier = 38
	eventsPerDestination   = 6.1
)

func sparseScenario(b *testing.B, couriers int, limited, downShare float64) *Scenario {
	file := filepath.Join(b.TempDir(), "overlay.json")
	text := `{}`
	if downShare > 0 {
		text = fmt.Sprintf(`{"faults": [{"kind": "silent", "at_s": 0, "for_s": 100, "share": %g}]}`, downShare)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	s, err := Load("growing-fleet", file)
	if err != nil {
		b.Fatal(err)
	}
	s.Couriers, s.Seconds, s.UnloadIdle = couriers, 5, true
	s.Partners.Count, s.Partners.LimitedShare = couriers*destinationsPerCourier, limited
	s.Partners.Skew, s.Load.Level = 0, 0.75
	s.Load.Full = float64(s.Partners.Count) * eventsPerDestination / s.Load.Level
	return s
}

// Peer messages where many destinations have few events each.
func BenchmarkPeerMessagesWithManyDestinations(b *testing.B) {
	for _, couriers := range []int{10, 20, 40, 80} {
		for _, limited := range []float64{0, 1} {
			b.Run(fmt.Sprintf("couriers=%d/limited=%g", couriers, limited), func(b *testing.B) {
				reportPeerMessages(b, sparseScenario(b, couriers, limited, 0))
			})
		}
	}
}

// Peer messages per second for each destination that is down (1% of all), compared with a run
// without any. If the slots are derived from the load, calls without a response take the slots of
// other calls, whose grants then lapse and are requested again.
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
