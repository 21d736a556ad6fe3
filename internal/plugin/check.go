package plugin

import (
	"io"
	"log/slog"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/plugin/breaker"
	"snowjunction/internal/plugin/engine"
	"snowjunction/internal/plugin/guard"
	"snowjunction/internal/plugin/host"
	"snowjunction/internal/plugin/manifest"
)

// Try starts the host of a plug-in, makes the calls in turn, and stops the host. A non-empty why
// means that the plug-in cannot be loaded.
func Try(command []string, m *manifest.Manifest, log io.Writer, calls ...host.Call) (answers []host.Answer, why string) {
	loop := core.NewLoop(time.Now)
	s := New(Config{Loop: loop, HostCommand: command, Log: slog.New(slog.NewTextHandler(log, nil))})
	p := &instance{set: s, manifest: m, breaker: breaker.New(breaker.DefaultConfig), memory: engine.NewKeyValueStore(nil), corrections: map[guard.Rule]uint64{}}
	samples := m.Samples
	m.Samples = nil
	defer func() { m.Samples = samples }()
	up := false
	p.onStarted = func(err string) { why, up = err, true; p.onStarted = nil }
	p.start()
	loop.RunUntil(func() bool { return up })
	for _, c := range calls {
		if why != "" {
			break
		}
		done := false
		x := &call{hook: c.Hook, input: c.Input, done: func(r *reply) {
			a := host.Answer{Output: r.output()}
			if r == nil {
				a.Error = p.lastError
			}
			answers, done = append(answers, a), true
		}}
		p.enqueue(x, s.cfg.SampleTimeout)
		loop.RunUntil(func() bool { return done })
	}
	p.retire()
	loop.RunUntil(func() bool { return p.process == nil })
	return answers, why
}

// Check runs the samples of a plug-in. It returns a line for each sample whose answer differs from
// the expected one.
func Check(command []string, m *manifest.Manifest) (mistakes []string) {
	var calls []host.Call
	for _, x := range m.Samples {
		calls = append(calls, host.Call{Hook: x.Hook, Input: x.Call})
	}
	answers, why := Try(command, m, io.Discard, calls...)
	if why != "" {
		return []string{why}
	}
	for i, a := range answers {
		x := m.Samples[i]
		if a.Error != "" {
			mistakes = append(mistakes, "sample "+x.Name+": "+a.Error)
		} else if why := Difference(x.Expected, a.Output); why != "" {
			mistakes = append(mistakes, "sample "+x.Name+": "+why)
		}
	}
	return mistakes
}
