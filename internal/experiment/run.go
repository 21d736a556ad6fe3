package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"snowjunction/internal/emulate"
)

// Options are the options for running an experiment.
type Options struct {
	Out   string // directory of the results
	Build string // build identifier of the program
	Jobs  int    // number of concurrent runs
	Fresh bool   // discard existing results
	// Progress, if not nil, is called after each finished run.
	Progress func(done, of int)
}

// resultsFile has one JSON line for each run, in the order in which the runs finished.
const resultsFile = "runs.jsonl"

// Execute executes the runs that have no result in the output directory yet and returns all results
// in the plan's order. If the context is canceled, it returns the context's error and keeps the
// finished results.
func Execute(ctx context.Context, p *Plan, o Options) ([]map[string]float64, error) {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(o.Out, resultsFile)
	if o.Fresh {
		if err := os.RemoveAll(path); err != nil {
			return nil, err
		}
	}
	s, err := openResultStore(path, o.Build)
	if err != nil {
		return nil, err
	}
	defer s.close()
	var todo []Run
	seen := map[string]bool{}
	for _, r := range p.Runs {
		k := p.Key(r)
		if s.done[k] == nil && !seen[k] {
			todo = append(todo, r)
		}
		seen[k] = true
	}
	if err := p.play(ctx, s, todo, o); err != nil {
		return nil, err
	}
	all := make([]map[string]float64, len(p.Runs))
	for i, r := range p.Runs {
		all[i] = s.done[p.Key(r)]
	}
	return all, nil
}

// play distributes the runs over its workers. The results do not depend on the number of workers
// because runs share no state.
func (p *Plan) play(ctx context.Context, s *resultStore, todo []Run, o Options) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex // guards s and done
	done := len(p.Runs) - len(todo)
	next := make(chan Run)
	var wg sync.WaitGroup
	for range max(1, min(o.Jobs, len(todo))) {
		wg.Go(func() {
			for r := range next {
				res, err := emulate.Run(p.Scenarios[r.Cell], emulate.Options{Policy: r.Policy, Seed: r.Seed, Rules: p.File.Rules})
				if err != nil {
					cancel(fmt.Errorf("%s, seed %d: %w", r.Policy, r.Seed, err))
					return
				}
				result := result{Key: p.Key(r), Build: o.Build, Values: map[string]float64{}}
				for _, m := range res.Measures() {
					result.Values[m.Name] = m.Value
				}
				mu.Lock()
				if err = s.add(result); err == nil {
					done++
					if o.Progress != nil {
						o.Progress(done, len(p.Runs))
					}
				}
				mu.Unlock()
				if err != nil {
					cancel(err)
					return
				}
			}
		})
	}
hand:
	for _, r := range todo {
		select {
		case next <- r:
		case <-ctx.Done():
			break hand
		}
	}
	close(next)
	wg.Wait()
	return context.Cause(ctx)
}
