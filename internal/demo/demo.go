// Package demo implements the demonstration command. It runs simulated partners with faults, a
// directory and a courier on loopback, submits a few hundred messages over both fronts, and reports
// the final results of all messages.
package demo

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Options configures a run.
type Options struct {
	Exe      string // program to run as the courier
	Messages int
	Over     time.Duration // period over which the messages are submitted
	Seed     uint64
	Out      io.Writer // receives the report
}

// settleTimeout is the timeout for the last messages to get their final results and for the courier
// to read the last responses. Messages of class order expire after 20 s; the rest is allowance for
// a busy machine.
const settleTimeout = 90 * time.Second

// role is a partner and its name in the report.
type role struct {
	name string
	spec standin.Spec
}

// demoRoles returns the partners of the demonstration.
func demoRoles(seed uint64) []role {
	base := partner.Profile{
		Latency: 40 * time.Millisecond, Capacity: 60, Queue: 40, RetryAfterShare: 0.8, ReportsLimit: true, MaxReportAge: 200 * time.Millisecond,
		ColdShare: 0.2, WarmUp: 14 * time.Second, CollapseMultiple: 2, CollapseWindow: 1500 * time.Millisecond,
	}
	changed := func(change func(p *partner.Profile)) partner.Profile {
		p := base
		if change != nil {
			change(&p)
		}
		return p
	}
	roles := []role{
		{"no faults, HTTP/1.1", standin.Spec{Endpoints: 2, Profile: base}},
		{"no faults, HTTP/2", standin.Spec{Endpoints: 2, HTTP2: true, Profile: base}},
		{"limit of 6 per second", standin.Spec{Endpoints: 1, Profile: changed(func(p *partner.Profile) { p.Limit = 6 })}},
		{"limit of 8 in each second", standin.Spec{Endpoints: 2, HTTP2: true, Profile: changed(func(p *partner.Profile) {
			p.Limit, p.Window, p.CountsRejected = 8, time.Second, true
		})}},
		{"errors for 3 s", standin.Spec{Endpoints: 2, Profile: base}},
		{"rejects for 3 s", standin.Spec{Endpoints: 2, HTTP2: true, Profile: base}},
		{"resets for 3 s", standin.Spec{Endpoints: 2, Profile: base}},
		{"silent for 3 s, recovers cold", standin.Spec{Endpoints: 1, Profile: base}},
		{"one endpoint drained", standin.Spec{Endpoints: 2, Profile: base}},
	}
	for i := range roles {
		roles[i].spec.Destination, roles[i].spec.Seed = uint32(i+1), seed+uint64(i)
	}
	return roles
}

// addFaults adds the faults of the demonstration to the partners. They start at the time from and
// last 3 s.
func addFaults(f *standin.Farm, from time.Duration) error {
	for destination, x := range map[uint32]partner.Fault{
		5: {Kind: partner.Error, Share: 0.4},
		6: {Kind: partner.Reject},
		7: {Kind: partner.Reset, Share: 0.5},
		8: {Kind: partner.Silent, Cold: true},
	} {
		x.From, x.Until = from, from+3*time.Second
		if err := f.With(destination, func(p *partner.Partner) { p.Add(x) }); err != nil {
			return err
		}
	}
	return nil
}

// Run runs the demonstration and prints the report. It returns an error if a message does not have
// exactly one final result, or if a rule was violated.
func Run(o Options) error {
	dir, err := os.MkdirTemp("", "snowjunction-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	roles := demoRoles(o.Seed)
	var specs []standin.Spec
	for _, r := range roles {
		specs = append(specs, r.spec)
	}
	environment, err := rig.NewEnvironment(dir, specs)
	if err != nil {
		return err
	}
	defer environment.Close()
	farm, directory := environment.Farm, environment.Directory
	farm.RecordCalls()
	courier, err := rig.Start(o.Exe, rig.Config{
		Dir: dir, Discovery: directory.Addr(), Settings: rig.LargeSettings(32, 400, 100), MemoryMB: 64, Sockets: 512, Push: environment.Push,
		Traced: true,
	})
	if err != nil {
		return err
	}
	defer courier.Kill()
	fmt.Fprintf(o.Out, "courier on %s (RESP2) and %s (HTTP/2), %d partners, directory on %s\n",
		courier.Addr, courier.Push, len(roles), directory.Addr())
	for _, r := range roles { // a stalled partner may receive a duplicate: both classes allow retries for this long
		if err := farm.With(r.spec.Destination, func(p *partner.Partner) { p.DuplicateGrace = 5 * time.Second }); err != nil {
			return err
		}
	}
	if err := addFaults(farm, farm.Now()+o.Over/4); err != nil {
		return err
	}
	drainTimer := time.AfterFunc(o.Over/2, func() { environment.Drain("p9-0") })
	defer drainTimer.Stop()
	client := load.New(courier.Addr, courier.Push)
	client.Timeout = settleTimeout // a response that is missing after this never comes
	defer client.Close()
	submitMessages(client, o, len(roles))
	environment.Settle(client, settleTimeout)
	waits, err := brokenWaits(farm, courier.Traces, settleTimeout)
	if err != nil {
		return err
	}
	traces, err := courier.Traces()
	if err != nil {
		return err
	}
	client.Overdue = farm.Overdue(traces)
	return report(o.Out, roles, farm, client, environment.Delivered, directory.Notices(), waits)
}

// brokenWaits returns the violations of retry-after delays, by the order in which the courier read
// and sent: how late either side sees the other depends on the machine. It retries until all delays
// have been read or the time within has passed, since the response to an attempt whose message
// already has its final result may still be in transit.
func brokenWaits(farm *standin.Farm, traces func() ([]standin.Trace, error), within time.Duration) ([]standin.RetryAfterViolation, error) {
	for limit := time.Now().Add(within); ; time.Sleep(200 * time.Millisecond) {
		recorded := farm.RecordedCalls()
		read, err := traces()
		if err != nil {
			return nil, err
		}
		broken := standin.RetryAfterViolations(recorded, read)
		unread := slices.ContainsFunc(broken, func(b standin.RetryAfterViolation) bool { return b.Unread })
		if !unread || time.Now().After(limit) {
			return broken, nil
		}
	}
}

// submitMessages simulates the clients. Half of the messages have ordering keys, each key's messages
// are submitted one after another, and a few messages come in a burst. A rejected message is
// submitted once more, after the requested delay.
func submitMessages(client *load.Client, o Options, partners int) {
	const lanes = 24
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	var wg sync.WaitGroup
	perLane := o.Messages / lanes
	for lane := range lanes {
		laneRNG := rand.New(rand.NewPCG(rng.Uint64(), uint64(lane)))
		count := perLane
		if lane < o.Messages%lanes {
			count++
		}
		wg.Go(func() { submitLane(client, o, laneRNG, lane, count, partners) })
	}
	wg.Wait()
}

// submitLane submits count messages to one partner, over one front and with at most one key.
func submitLane(client *load.Client, o Options, rng *rand.Rand, lane, count, partners int) {
	m := load.Message{Tenant: "town", Destination: uint32(lane%partners + 1), Push: lane%3 == 2}
	m.Class, m.TTL = "status", 8*time.Second
	if lane%2 == 0 {
		m.Class, m.TTL, m.HasIdempotencyKey, m.Key = "order", 20*time.Second, true, uint64(lane+1)
	}
	pause := o.Over / time.Duration(max(count, 1))
	for n := range count {
		if !(lane%8 == 0 && n > 0 && n < 6) { // in some lanes the first messages come as a burst
			time.Sleep(time.Duration(float64(pause) * (0.5 + rng.Float64())))
		}
		m.ID, m.Seq = fmt.Sprintf("m%d-%d", lane, n), uint64(2*n+1)
		if v, after, _ := client.Submit(m); v == load.Rejected {
			time.Sleep(max(after, 50*time.Millisecond))
			m.ID, m.Seq = m.ID+"r", m.Seq+1
			_, _, _ = client.Submit(m)
		}
	}
}

// report prints the results per partner and returns an error if any message or rule failed.
func report(out io.Writer, roles []role, farm *standin.Farm, client *load.Client, delivered func(uint32, string) bool, notices map[string][]standin.Notice, waits []standin.RetryAfterViolation) error {
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "partner\tsubmitted\taccepted\trejected\terrors\tno response\tdelivered\treturned\tfailed\tno result\tmany results\toverdue\tcalls\tlate\tduplicates\tout of order\tduring retry-after\tcollapses\tafter drain")
	var totalEnds load.Results
	row := func(name string, e load.Results, n partner.Counts) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, e.Handed, e.Taken, e.Refused,
			e.Failed, e.Unheard, e.Delivered, e.Returned, e.Given, e.Open, e.Doubled, e.Overdue, n.Calls, n.Late, n.Duplicates, n.OutOfOrder, n.DuringRetryAfter, n.Collapses, n.AfterDrain)
	}
	var totalCounts partner.Counts
	for _, r := range roles {
		e := client.CountResults(delivered, notices, func(m load.Message) bool { return m.Destination == r.spec.Destination })
		var n partner.Counts
		if err := farm.With(r.spec.Destination, func(p *partner.Partner) { n = p.Counts }); err != nil {
			return err
		}
		n.DuringRetryAfter = 0 // replaced: by the partner's clock it also counts calls that were in transit for long
		for _, x := range waits {
			if x.Destination == r.spec.Destination {
				n.DuringRetryAfter++
			}
		}
		row(r.name, e, n)
		totalEnds.Add(e)
		totalCounts.Add(n)
	}
	row("all", totalEnds, totalCounts)
	if err := table.Flush(); err != nil {
		return err
	}
	for _, x := range waits {
		fmt.Fprintln(out, x)
	}
	switch {
	case totalEnds.Open+totalEnds.Doubled+totalEnds.Unheard > 0:
		return fmt.Errorf("%d messages have no final result, %d more than one, %d no response", totalEnds.Open, totalEnds.Doubled, totalEnds.Unheard)
	case totalCounts.Violations() > 0:
		return fmt.Errorf("%d rule violations", totalCounts.Violations())
	case totalEnds.Delivered == 0:
		return fmt.Errorf("no message was delivered")
	}
	fmt.Fprintln(out, "every message has its one answer, and every one taken on its one end")
	return nil
}
