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

// linger is for how long a courier serves on what it no longer owns; in a run it is the same
// members all the while.
const linger = 30 * time.Second

// members is who owns what in a run; nil: each courier has all.
func members(p scale.Plan, addrs []string) (*partition.Membership, error) {
	if p.Partitions == 0 {
		return nil, nil
	}
	return partition.New(p.Partitions, p.Copies, p.Members(addrs))
}

// clients is where a courier listens for clients and for those that forward; "": where it likes,
// or not at all.
func (w *wires) clients(n int) string {
	if w.members == nil {
		return ""
	}
	return w.each[n]
}

// partitions is the operator file of real couriers; nil: off.
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

// router is a new life's: it holds no list yet.
func (h *hollow) router() *partition.Router {
	if h.members == nil {
		return nil
	}
	return partition.NewRouter(platform.RouterOptions(h.settings, scale.MemberName(h.number), "", linger), h.members, 0)
}

// handIn hands a message in as a client would, but for the connection.
func (h *hollow) handIn(r core.Request) {
	_ = h.front.Submit(r, func([]byte) {}) // it is well-formed
}

// forwarded is what it has forwarded in all its lives.
func (h *hollow) forwarded() map[string]float64 {
	if !h.alive {
		return h.passed
	}
	return sumOf(h.passed, h.forwardedNow())
}

func sumOf(a, b map[string]float64) map[string]float64 {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]float64{}
	}
	for name, v := range b {
		out[name] += v
	}
	return out
}

// door is the address at which a courier reaches the directory: a real one's is its own all the
// while, as a list that another address has told would not be kept, a hollow one's once it has been
// restarted.
func (t *fleet) door(n int) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.doors[n]
	if d == nil && (t.again[n] || t.plan.IsReal(n)) {
		var err error
		if d, err = t.directory.Door(); err != nil {
			return "", err
		}
		t.doors[n] = d
	}
	if d == nil {
		return t.discovery, nil
	}
	return d.Addr, nil
}

// starts notes that a courier, which has been killed, will start again.
func (t *fleet) starts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.again[n] = true; t.doors[n] != nil {
		t.doors[n].Again()
	}
}

// restarted fills in what restarted couriers have been told.
func (t *fleet) restarted(f *ToldFigures) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hollow, real := 0.0, 0.0
	for n := range t.again {
		d := t.doors[n]
		if d == nil {
			continue
		}
		if t.plan.IsReal(n) {
			real += float64(d.Started())
			f.AgainReal++
		} else {
			hollow += float64(d.Started())
			f.Again++
		}
	}
	f.Restarted, f.Real = hollow/float64(max(1, f.Again)), real/float64(max(1, f.AgainReal))
}

// concerned is how many couriers the changes concern, taken together.
func (t *fleet) concerned() (n int) {
	for _, c := range t.force.changes {
		if t.members == nil {
			n += t.plan.Couriers
		} else {
			n += len(t.members.Owners(partition.Of(c.destination, t.plan.Partitions), ""))
		}
	}
	return n
}

func (t *fleet) forwarding(n int, each func(name string) float64, open float64) *ForwardFigures {
	if t.members == nil {
		return nil
	}
	f := &ForwardFigures{
		Handed: each("handed"), Forwarded: each("forwarded"), Bytes: each("forward_bytes"), Moved: each("moved"),
		NoOwner: each("no_owner"), Lost: each("lost"), Open: open / float64(n),
	}
	if f.Handed > 0 {
		f.Share = f.Forwarded / f.Handed
	}
	return f
}

func (f *ScaleFigures) printParts(out io.Writer) {
	fmt.Fprintf(out, "the list, of one: %.0f bytes told at the start, %.3g times the %d that it may be told", f.Start.Bytes, f.Start.Over, scale.StartBudget)
	for _, x := range []struct {
		name string
		c    *CourierFigures
	}{{"real", f.Real}, {"hollow", f.Hollow}} {
		if x.c != nil {
			fmt.Fprintf(out, "; %s: %.0f entries held in %.0f bytes", x.name, x.c.ListEntries, x.c.ListBytes)
		}
	}
	fmt.Fprintln(out)
	if f.Start.Again+f.Start.AgainReal > 0 {
		fmt.Fprintf(out, "told to a restarted courier: %.0f bytes (%d hollow ones, with nothing kept), %.0f bytes (%d real ones, with their folder)\n",
			f.Start.Restarted, f.Start.Again, f.Start.Real, f.Start.AgainReal)
	}
	if f.Plan.Partitions == 0 {
		return
	}
	fmt.Fprintf(out, "%d partitions, %d copies in each region\n", f.Plan.Partitions, f.Plan.Copies)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "of one, a second\thanded in\tforwarded\tshare\tB forwarded\tMOVED\tBUSY, no owner\tno answer\tconnections")
	for _, x := range []struct {
		name string
		c    *CourierFigures
	}{{"courier, real", f.Real}, {"courier, hollow", f.Hollow}} {
		if x.c != nil && x.c.Forwarding != nil {
			n := x.c.Forwarding
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.1f\t%.3f\t%.3f\t%.3f\t%.2f\n", x.name, n.Handed, n.Forwarded, n.Share, n.Bytes, n.Moved, n.NoOwner, n.Lost, n.Open)
		}
	}
	w.Flush()
}

// forwardNames are the counters of forwarding, as the line of counters names them.
var forwardNames = map[string]string{
	"forwarded": "forwarded", "forward_bytes": "forwarded_bytes", "moved": "moved", "no_owner": "unrouted", "lost": "unknown",
}

// forwardedBy is what a line of counters says of forwarding.
func forwardedBy(line map[string]any) map[string]float64 {
	out := map[string]float64{}
	for name, key := range forwardNames {
		out[name] = rig.Number(line, "n", key)
	}
	return out
}

// forwardedNow is what its present life has forwarded.
func (h *hollow) forwardedNow() map[string]float64 {
	n := h.core.Counters
	return map[string]float64{
		"forwarded": float64(n.Forwarded), "forward_bytes": float64(n.ForwardedBytes), "moved": float64(n.Moved),
		"no_owner": float64(n.Unrouted), "lost": float64(n.ForwardUnknown),
	}
}
