package lease

import (
	"fmt"
	"testing"
	"time"

	"snowjunction/internal/gauge"
)

const accounts = 100_000

// The share of the accounts that another courier keeps once one has joined a fleet, of
// those whose first keeper one courier's restart silences, and of those without a keeper in
// line as a zone of six is lost: with numbers that run through one zone after another, and
// dealt out in turn.
func BenchmarkKeepers(b *testing.B) {
	for _, fleet := range []int{20, 80, 320, 3_400} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			before, after := NewLine(fleet, 0), NewLine(fleet+1, 0)
			var moved, restarted, runs, dealt float64
			for b.Loop() {
				moved, restarted, runs, dealt = 0, 0, 0, 0
				for dest := range uint32(accounts) {
					first := before.First(dest)
					moved += share(first != after.First(dest))
					restarted += share(first == 1)
					runs += share(nobody(fleet, first, func(p int) bool { return p*6/fleet == 3 }))
					dealt += share(nobody(fleet, first, func(p int) bool { return p%6 == 3 }))
				}
			}
			b.ReportMetric(moved, "moved-by-one-more/account")
			b.ReportMetric(restarted, "of-one-courier/account")
			b.ReportMetric(runs, "zone-lost-runs/account")
			b.ReportMetric(dealt, "zone-lost-dealt/account")
		})
	}
}

func share(is bool) float64 {
	if is {
		return 1.0 / accounts
	}
	return 0
}

// nobody tells that all in line after a first keeper are lost.
func nobody(fleet, first int, lost func(int) bool) bool {
	for i := range min(keepersMost, fleet) {
		if !lost((first + i) % fleet) {
			return false
		}
	}
	return true
}

// What an account holds that twelve couriers have asked of late, as a keeper's heap sees it
// once all have been served, and with a hundred and twenty that said that their calls fail.
func BenchmarkAccount(b *testing.B) {
	const n = 4_000
	for _, failing := range []int{0, 120} {
		b.Run(fmt.Sprintf("failing=%d", failing), func(b *testing.B) {
			gauge.Held(b, n, "account", func() any {
				kept := map[uint32]*Ledger{}
				for dest := range uint32(n) {
					l := NewLedger(Slow{Share: 0.2, Over: 1.8, Warm: 14 * time.Second, Least: 425})
					l.Report(0, 12)
					for p := range 12 {
						at := time.Duration(p) * time.Second
						l.Ask(at, p, 1, 100, 0)
						l.Grants(at)
					}
					for p := range failing {
						l.Failing(12*time.Second, p)
					}
					kept[dest] = l
				}
				return kept
			})
		})
	}
}
