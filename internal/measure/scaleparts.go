package measure

import (
	"fmt"
	"io"
	"maps"
	"text/tabwriter"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/partition"
	"snowjunction/internal/rig"
	"snowjunction/internal/scale"
)

// linger is how long a courier serves destinations that it no longer owns. The membership does
// not change during a run.
const linger = 30 * time.Second

// newMembership returns the partition membership of a run, or nil without partitions.
func newMembership(p scale.Plan, addrs []string) (*partition.Membership, error) {
	if p.Partitions == 0 {
		return nil, nil
	}
	return partition.New(p.Partitions, p.Copies, p.Members(addrs))
}

// clientAddr returns the address on which a courier listens for clients and forwarding couriers.
// Empty means any address for a real courier and no listener for a simulated one.
func (w *sharedState) clientAddr(n int) string {
	if w.members == nil {
		return ""
	}
	return w.addrs[n]
}

// partitions returns the partition settings of real couriers, or nil without partitions.
func (t *fleet) partitions() map[string]any {
	if t.members == nil {
		return nil
	}
	var all []any
	for _, m := range t.members.Members() {
		all = append(all, map[string]any{"name": m.Name, "addr": m.Addr, "region": m.Region, "zone": m.Zone})
	}
	return map[string]any{"enabled": true, "partitions": t.plan.Partitions, "copies": t.plan.Copies, "members": all, "linger_s": linger.Seconds()}
}

// newRouter returns the router of a newly started courier, which holds no list yet.
func (c *simulatedCourier) newRouter() *partition.Router {
	if c.members == nil {
		return nil
	}
	return partition.NewRouter(platform.RouterOptions(c.settings, scale.MemberName(c.number), "", linger), c.members, 0)
}

// submit submits a message as a client would, but without a connection.
func (c *simulatedCourier) submit(r core.Request) {
	_ = c.front.Submit(r, func([]byte) {}) // the request is well-formed
}

// totalForwarded returns the forwarding counters over all process runs of the courier.
func (c *simulatedCourier) totalForwarded() map[string]float64 {
	if !c.running {
		return c.pastForwarded
	}
	return addCounters(c.pastForwarded, c.currentForwarded())
}

func addCounters(a, b map[string]float64) map[string]float64 {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]float64{}
	}
	for name, v := range b {
		out[name] += v
	}
	return out
}

// directoryAddress returns the address at which a courier reaches the directory. A real courier has
// an address of its own throughout the run, because it would not keep a list from another address;
// a simulated one has its own address once it has been restarted.
func (t *fleet) directoryAddress(n int) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.directoryAddrs[n]
	if d == nil && (t.restartedCouriers[n] || t.plan.IsReal(n)) {
		var err error
		if d, err = t.directory.OpenDedicatedAddress(); err != nil {
			return "", err
		}
		t.directoryAddrs[n] = d
	}
	if d == nil {
		return t.discovery, nil
	}
	return d.Addr, nil
}

// markRestarted records that a killed courier will be restarted.
func (t *fleet) markRestarted(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.restartedCouriers[n] = true; t.directoryAddrs[n] != nil {
		t.directoryAddrs[n].ResetStart()
	}
}

// fillRestarted fills in how many bytes the directory sent to restarted couriers.
func (t *fleet) fillRestarted(f *StartTraffic) {
	t.mu.Lock()
	defer t.mu.Unlock()
	simulated, real := 0.0, 0.0
	for n := range t.restartedCouriers {
		d := t.directoryAddrs[n]
		if d == nil {
			continue
		}
		if t.plan.IsReal(n) {
			real += float64(d.StartBytes())
			f.RestartedReal++
		} else {
			simulated += float64(d.StartBytes())
			f.RestartedSimulated++
		}
	}
	f.RestartedSimulatedBytes, f.RestartedRealBytes = simulated/float64(max(1, f.RestartedSimulated)), real/float64(max(1, f.RestartedReal))
}

// affectedPairs returns the number of pairs of a list change and a courier that it affects.
func (t *fleet) affectedPairs() (n int) {
	for _, c := range t.propagation.changes {
		if t.members == nil {
			n += t.plan.Couriers
		} else {
			n += len(t.members.Owners(partition.Of(c.destination, t.plan.Partitions), ""))
		}
	}
	return n
}

func (t *fleet) forwardFigures(n int, each func(name string) float64, open float64) *ForwardFigures {
	if t.members == nil {
		return nil
	}
	f := &ForwardFigures{
		Submitted: each("handed"), Forwarded: each("forwarded"), Bytes: each("forward_bytes"), Moved: each("moved"),
		NoOwner: each("no_owner"), Unanswered: each("lost"), Open: open / float64(n),
	}
	if f.Submitted > 0 {
		f.Share = f.Forwarded / f.Submitted
	}
	return f
}

func (f *ScaleFigures) printParts(out io.Writer) {
	fmt.Fprintf(out, "the list of one courier: %.0f bytes received at the start, %.3g times the budget of %d", f.Start.Bytes, f.Start.BudgetRatio, scale.StartBudget)
	for _, x := range []struct {
		name string
		c    *CourierFigures
	}{{"real", f.Real}, {"simulated", f.Simulated}} {
		if x.c != nil {
			fmt.Fprintf(out, "; %s: %.0f entries held in %.0f bytes", x.name, x.c.ListEntries, x.c.ListBytes)
		}
	}
	fmt.Fprintln(out)
	if f.Start.RestartedSimulated+f.Start.RestartedReal > 0 {
		fmt.Fprintf(out, "received by a restarted courier: %.0f bytes (%d simulated ones, without stored state), %.0f bytes (%d real ones, with stored state)\n",
			f.Start.RestartedSimulatedBytes, f.Start.RestartedSimulated, f.Start.RestartedRealBytes, f.Start.RestartedReal)
	}
	if f.Plan.Partitions == 0 {
		return
	}
	fmt.Fprintf(out, "%d partitions, %d copies in each region\n", f.Plan.Partitions, f.Plan.Copies)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "per courier and second\tsubmitted\tforwarded\tshare\tB forwarded\tMOVED\tBUSY, no owner\tno answer\tconnections")
	for _, x := range []struct {
		name string
		c    *CourierFigures
	}{{"courier, real", f.Real}, {"courier, simulated", f.Simulated}} {
		if x.c != nil && x.c.Forwarding != nil {
			n := x.c.Forwarding
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.1f\t%.3f\t%.3f\t%.3f\t%.2f\n", x.name, n.Submitted, n.Forwarded, n.Share, n.Bytes, n.Moved, n.NoOwner, n.Unanswered, n.Open)
		}
	}
	w.Flush()
}

// forwardCounterNames maps the figures of forwarding to their names in the counters line.
var forwardCounterNames = map[string]string{
	"forwarded": "forwarded", "forward_bytes": "forwarded_bytes", "moved": "moved", "no_owner": "unrouted", "lost": "unknown",
}

// forwardCounters returns the forwarding figures of a counters line.
func forwardCounters(line map[string]any) map[string]float64 {
	out := map[string]float64{}
	for name, key := range forwardCounterNames {
		out[name] = rig.NumberAt(line, "n", key)
	}
	return out
}

// currentForwarded returns the forwarding counters of the current process run.
func (c *simulatedCourier) currentForwarded() map[string]float64 {
	n := c.core.Counters
	return map[string]float64{
		"forwarded": float64(n.Forwarded), "forward_bytes": float64(n.ForwardedBytes), "moved": float64(n.Moved),
		"no_owner": float64(n.Unrouted), "lost": float64(n.ForwardUnknown),
	}
}
