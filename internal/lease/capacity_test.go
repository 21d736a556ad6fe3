package lease

import (
	"fmt"
	"testing"
	"time"

	"snowjunction/internal/gauge"
)

const ledgers = 100_000

// BenchmarkKeepers measures three shares of the quota ledgers: those whose owner changes when one
// courier joins the fleet, those whose preferred owner is unreachable while one courier restarts,
// and those left without any candidate owner when one of six zones is lost. The last is measured
// with courier numbers assigned to zones in consecutive runs, and round robin.
func BenchmarkKeepers(b *testing.B) {
	for _, fleet := range []int{20, 80, 320, 3_400} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			before, after := NewOwnerView(fleet, 0), NewOwnerView(fleet+1, 0)
			var moved, restarted, runs, dealt float64
			for b.Loop() {
				moved, restarted, runs, dealt = 0, 0, 0, 0
				for dest := range uint32(ledgers) {
					first := before.PreferredOwner(dest)
					moved += fraction(first != after.PreferredOwner(dest))
					restarted += fraction(first == 1)
					runs += fraction(allLost(fleet, first, func(p int) bool { return p*6/fleet == 3 }))
					dealt += fraction(allLost(fleet, first, func(p int) bool { return p%6 == 3 }))
				}
			}
			b.ReportMetric(moved, "moved-by-one-more/account")
			b.ReportMetric(restarted, "of-one-courier/account")
			b.ReportMetric(runs, "zone-lost-runs/account")
			b.ReportMetric(dealt, "zone-lost-dealt/account")
		})
	}
}

func fraction(is bool) float64 {
	if is {
		return 1.0 / ledgers
	}
	return 0
}

// allLost reports whether all candidate owners, starting with the preferred one, are lost.
func allLost(fleet, first int, isLost func(int) bool) bool {
	for i := range min(maxCandidates, fleet) {
		if !isLost((first + i) % fleet) {
			return false
		}
	}
	return true
}

// BenchmarkAccount measures the heap size of one quota ledger after twelve couriers requested calls
// and all were granted, without and with 120 couriers that reported failing calls.
func BenchmarkAccount(b *testing.B) {
	const n = 4_000
	for _, failing := range []int{0, 120} {
		b.Run(fmt.Sprintf("failing=%d", failing), func(b *testing.B) {
			gauge.HeapPerItem(b, n, "account", func() any {
				ledgers := map[uint32]*QuotaLedger{}
				for dest := range uint32(n) {
					l := NewQuotaLedger(SlowStart{InitialShare: 0.2, LoadFactor: 1.8, WarmUp: 14 * time.Second, MinObservers: 425})
					l.Report(0, 12)
					for p := range 12 {
						at := time.Duration(p) * time.Second
						l.Request(at, p, 1, 100, 0)
						l.Grants(at)
					}
					for p := range failing {
						l.RecordFailing(12*time.Second, p)
					}
					ledgers[dest] = l
				}
				return ledgers
			})
		})
	}
}
