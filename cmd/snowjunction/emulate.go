package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"snowjunction/internal/emulate"
	"snowjunction/internal/emulate/policy"
)

// emulateCommand runs scenarios in the emulator and prints a table of results.
type emulateCommand struct {
	Scenario string   `arg:"" default:"lunch-rush" help:"Name of a built-in scenario, or a file; 'list' prints the built-in ones."`
	Overlay  []string `help:"Scenarios to merge into it, in this order."`
	Policy   []string `help:"Decision policies: ${policies}; all by default." placeholder:"NAME"`
	Seed     uint64   `default:"1" help:"The first seed."`
	Seeds    int      `default:"1" help:"Number of consecutive seeds."`
	NoRules  bool     `help:"Do not check the invariants after each event."`
	JSON     string   `placeholder:"FILE" help:"Output file for the results; '-' is standard output."`
}

func (e emulateCommand) Run() error {
	if e.Scenario == "list" {
		return printNames(emulate.Library.Names(), func(name string) (string, error) {
			s, err := emulate.Load(name)
			if err != nil {
				return "", err
			}
			return s.About, nil
		})
	}
	s, err := emulate.Load(e.Scenario, e.Overlay...)
	if err != nil {
		return err
	}
	if len(e.Policy) == 0 {
		e.Policy = policy.Names()
	}
	var results []*emulate.Result
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tseed\tG\twhole\tworst 10 s\tclass\ttenant\ttries\tdelivered\tlate\trefused\tfailed\tsends\tturned away\tp50 ms\tp99 ms\tfell\tbroken\tevents/s\t")
	violations := 0
	showProgress := newProgressLine()
	for _, p := range e.Policy {
		for n := range e.Seeds {
			started := time.Now()
			r, err := emulate.Run(s, emulate.Options{
				Policy: p, Seed: e.Seed + uint64(n), Rules: !e.NoRules,
				Progress: func(at, of time.Duration, events int) {
					showProgress("%s, seed %d: %.0f of %.0f s, %d events, %.0f a second", p, e.Seed+uint64(n), at.Seconds(), of.Seconds(),
						events, float64(events)/time.Since(started).Seconds())
				},
			})
			showProgress("")
			if err != nil {
				return err
			}
			results = append(results, r)
			if p == "module" {
				violations += r.Violations()
			}
			fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%.0f\t\n", p, r.Seed, r.G, r.Whole,
				r.WorstWindow, r.WorstClass, r.WorstTenant, r.Tries, r.Delivered, r.Late, r.Refused, r.Failed, r.Sends, r.Rejected,
				r.P50Ms, r.P99Ms, r.Collapses, r.Violations(), float64(r.Events)/time.Since(started).Seconds())
		}
	}
	if e.JSON != "-" {
		if err := w.Flush(); err != nil {
			return err
		}
		for _, r := range results {
			for _, b := range r.First[:min(len(r.First), 3)] {
				fmt.Printf("%s, seed %d, %.3f s, %s: %s\n", r.Policy, r.Seed, b.At.Seconds(), b.Rule, b.Text)
			}
		}
	}
	if err := writeJSON(e.JSON, results); err != nil {
		return err
	}
	if violations > 0 {
		return fmt.Errorf("the module violated invariants %d times", violations)
	}
	return nil
}

// policyNames lists the policies for the help text.
func policyNames() string { return strings.Join(policy.Names(), ", ") }
