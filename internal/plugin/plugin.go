// Package plugin implements the courier's side of plug-ins. Each plug-in has a host
// process, which gets one call at a time. A flow waits for an answer up to the time
// limit in the plug-in's budget and then continues without it. All answers are
// checked by package guard.
//
// A Set may be used by the goroutine of its event loop only.
package plugin

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/plugin/breaker"
	"snowjunction/internal/plugin/engine"
	"snowjunction/internal/plugin/guard"
	"snowjunction/internal/plugin/host"
	"snowjunction/internal/plugin/manifest"
	"snowjunction/internal/store"
)

// Config configures a Set.
type Config struct {
	Loop        *core.Loop
	Log         *slog.Logger
	HostCommand []string // command line that starts a host process
	Breaker     breaker.Config

	// BodyDestinations are the destinations for which a plug-in may replace the body, provided that its
	// manifest allows it too.
	BodyDestinations []uint32

	StartTimeout  time.Duration // time limit for starting a host; zero means one minute
	SampleTimeout time.Duration // time limit for answering a sample; zero means 5 s
	AnswerTimeout time.Duration // time limit of a call; zero means the time in the plug-in's budget
}

// Set is the set of loaded plug-ins, in the order in which they are called.
type Set struct {
	cfg        Config
	startedAt  time.Time
	instances  []*instance
	starting   []*instance // of the replacement in progress
	served     map[manifest.Hook]bool
	lastCallID uint64
}

// instance is a loaded plug-in.
type instance struct {
	set                 *Set
	manifest            *manifest.Manifest
	process             *process // nil if no process runs
	ready               bool
	breaker             *breaker.Breaker
	memory              *engine.KeyValueStore
	inFlight            *call // call in progress in the host
	queue               []*call
	counts              Counts
	corrections         map[guard.Rule]uint64
	correctionsLoggedAt time.Duration // when corrections were last logged
	unloggedCorrections int           // corrections since then
	retired             bool          // replaced or removed; ends when its calls have ended
	replaceMemory       bool          // the next call has to replace the host's stored values
	restartDelay        time.Duration // delay before the last restart of its host
	lastError           string
	onStarted           func(err string)
}

// Counts holds the counters of a plug-in.
type Counts struct {
	Calls, Answered, Failed, Late, Passed, Crashed, Corrected uint64
}

// call is one call of a hook of one plug-in.
type call struct {
	id        uint64
	hook      manifest.Hook
	input     json.RawMessage
	ticket    breaker.Ticket
	timeLimit time.Duration
	done      func(*reply) // called once, with nil if there is no answer
	timer     *core.Timer
	sent      bool
	finished  bool // done has been called
}

// maxQueuedCalls limits the calls that wait for one plug-in.
const maxQueuedCalls = 256

// killGrace is how long after the time limit of a call its host process is killed if it has not
// ended the call itself.
const killGrace = 100 * time.Millisecond

// New returns an empty set.
func New(cfg Config) *Set {
	if cfg.Breaker == (breaker.Config{}) {
		cfg.Breaker = breaker.DefaultConfig
	}
	if cfg.SampleTimeout <= 0 {
		cfg.SampleTimeout = defaultSampleTimeout
	}
	s := &Set{cfg: cfg, startedAt: cfg.Loop.Now(), served: map[manifest.Hook]bool{}}
	s.SetStartTimeout(cfg.StartTimeout)
	return s
}

func (s *Set) now() time.Duration { return s.cfg.Loop.Now().Sub(s.startedAt) }

// Replace replaces the loaded plug-ins by those in list, all or none: the new ones take over
// once each of them is loaded and answers its samples as expected. Unchanged plug-ins keep
// running. done is called once, with an error text if nothing has changed, or else with "".
func (s *Set) Replace(list []*manifest.Manifest, done func(err string)) {
	next, waiting, failed := []*instance{}, 0, ""
	finish := func() {
		if waiting > 0 {
			return
		}
		s.starting = nil
		if failed != "" {
			for _, p := range next {
				if !slices.Contains(s.instances, p) {
					p.retire()
				}
			}
			done(failed)
			return
		}
		// The stored values of a plug-in are kept. Values stored during its samples are dropped.
		for _, x := range next {
			if !slices.Contains(s.instances, x) {
				x.memory, x.replaceMemory = engine.NewKeyValueStore(s.storedValues(x.manifest.Name)), true
			}
		}
		for _, p := range s.instances {
			if !slices.Contains(next, p) {
				p.retire()
			}
		}
		s.instances = next
		s.served = map[manifest.Hook]bool{}
		for _, p := range next {
			for _, h := range p.manifest.Hooks {
				s.served[h] = true
			}
		}
		done("")
	}
	var fresh []*instance
	for _, m := range list {
		if p := s.findUnchanged(m); p != nil {
			next = append(next, p)
			continue
		}
		p := &instance{set: s, manifest: m, breaker: breaker.New(s.cfg.Breaker), memory: engine.NewKeyValueStore(nil), corrections: map[guard.Rule]uint64{}}
		next, fresh = append(next, p), append(fresh, p)
		waiting++
	}
	if waiting == 0 {
		finish()
		return
	}
	s.starting = fresh
	for _, p := range fresh {
		p.onStarted = func(err string) {
			p.onStarted = nil
			if waiting--; err != "" && failed == "" {
				failed = "plug-in " + p.manifest.Name + ": " + err
			}
			finish()
		}
		p.start()
	}
}

// findUnchanged returns the loaded plug-in whose manifest and code equal those of m, or nil.
func (s *Set) findUnchanged(m *manifest.Manifest) *instance {
	a, _ := json.Marshal(m)
	for _, p := range s.instances {
		b, _ := json.Marshal(p.manifest)
		if string(a) == string(b) && string(p.manifest.Source) == string(m.Source) {
			return p
		}
	}
	return nil
}

// storedValues returns the stored values of the loaded plug-in with the given name.
func (s *Set) storedValues(name string) map[string]string {
	for _, p := range s.instances {
		if p.manifest.Name == name {
			return p.memory.Values
		}
	}
	return nil
}

// SetBodyDestinations sets the destinations for which plug-ins may replace the body.
func (s *Set) SetBodyDestinations(destinations []uint32) { s.cfg.BodyDestinations = destinations }

// SetStartTimeout sets the time limit for starting hosts; zero means one minute.
func (s *Set) SetStartTimeout(timeout time.Duration) {
	s.cfg.StartTimeout = cmp.Or(timeout, defaultStartTimeout)
}

// Close kills all host processes and unloads the plug-ins.
func (s *Set) Close() {
	for _, p := range slices.Concat(s.instances, s.starting) {
		p.retire()
		if p.process != nil {
			p.process.kill()
		}
	}
	s.instances, s.starting, s.served = nil, nil, map[manifest.Hook]bool{}
}

// retire ends the plug-in when its remaining calls have ended.
func (p *instance) retire() {
	p.retired = true
	if p.inFlight == nil && len(p.queue) == 0 && p.process != nil {
		p.process.kill()
	}
}

// start starts the host process.
func (p *instance) start() {
	p.ready = false
	var proc *process
	timeout := p.set.cfg.StartTimeout
	hello := host.Hello{Manifest: p.manifest, Code: p.manifest.Source, Memory: maps.Clone(p.memory.Values), StartTimeout: timeout}
	proc = startProcess(p.set.cfg.HostCommand, hello, p.set.cfg.Loop.Post,
		func(a host.Answer, err error) {
			if err == nil && a.Error == "" {
				p.hostReady(proc)
				return
			}
			reason := a.Error
			if reason == "" {
				reason = "the host process does not start: " + err.Error()
			}
			proc.kill()
			if p.onStarted != nil {
				p.onStarted(reason)
			} else {
				p.set.cfg.Log.Warn("plug-in restart failed", "plugin", p.manifest.Name, "err", reason)
			}
		},
		func(r *reply) {
			if p.process == proc {
				p.handleAnswer(r)
			}
		},
		func() { p.hostExited(proc) })
	p.process = proc
	p.set.cfg.Loop.After(timeout, func() {
		if p.process == proc && !p.ready {
			reason := fmt.Sprintf("the host process is not ready within %v", timeout)
			if p.onStarted != nil {
				p.onStarted(reason)
			} else {
				p.set.cfg.Log.Warn("plug-in restart failed", "plugin", p.manifest.Name, "err", reason)
			}
			proc.kill()
		}
	})
}

// defaultStartTimeout covers loading the code, which includes compiling a WebAssembly module.
const defaultStartTimeout = time.Minute

// hostReady starts sending calls to a loaded plug-in. A new plug-in has to answer its samples first.
func (p *instance) hostReady(proc *process) {
	if p.process != proc {
		return
	}
	p.ready = true
	if p.onStarted == nil {
		p.sendNext()
		return
	}
	p.runSample(0)
}

// runSample calls the plug-in with sample i and then with the following ones.
func (p *instance) runSample(i int) {
	if i == len(p.manifest.Samples) {
		p.onStarted("")
		return
	}
	x := p.manifest.Samples[i]
	p.enqueue(&call{hook: x.Hook, input: x.Call, done: func(r *reply) {
		why := Difference(x.Expected, r.output())
		if r == nil {
			why += ": " + p.lastError
		}
		switch {
		case p.onStarted == nil:
		case why != "":
			p.onStarted("sample " + x.Name + ": " + why)
		default:
			p.runSample(i + 1)
		}
	}}, p.set.cfg.SampleTimeout)
}

// defaultSampleTimeout is long and independent of the plug-in's budget: a sample checks the answer,
// not its latency.
const defaultSampleTimeout = 5 * time.Second

// Difference describes the difference between the expected and the actual answer, or returns "" if
// they are equal.
func Difference(want, out json.RawMessage) string {
	if out == nil {
		return "no answer"
	}
	var a, b any
	if json.Unmarshal(want, &a) != nil || json.Unmarshal(out, &b) != nil {
		return "not JSON: " + string(out)
	}
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	if string(x) != string(y) {
		return "wanted " + string(x) + ", got " + string(y)
	}
	return ""
}

// hostExited ends the call that was in progress in a host that has exited, and restarts the host
// unless the plug-in is new or retired.
func (p *instance) hostExited(proc *process) {
	if p.process != proc {
		return
	}
	p.process, p.ready = nil, false
	if p.inFlight != nil {
		p.counts.Crashed++
		p.completeCall(p.inFlight, nil, "the host process has exited")
	}
	if p.onStarted != nil {
		p.onStarted("the host process has exited")
		return
	}
	if p.retired {
		for _, c := range p.queue {
			p.skipCall(c)
		}
		p.queue = nil
		return
	}
	p.restartDelay = min(max(2*p.restartDelay, minRestartDelay), maxRestartDelay)
	p.set.cfg.Loop.After(p.restartDelay, func() {
		if p.process == nil && !p.retired {
			p.start()
		}
	})
}

// A host that exits is restarted after a delay, which doubles until a call has been answered, so
// that a host that exits at once is not restarted continuously.
const (
	minRestartDelay = 20 * time.Millisecond
	maxRestartDelay = 5 * time.Second
)

// request calls a hook of the plug-in. done is called once, possibly before request returns, with
// nil if there is no answer.
func (p *instance) request(h manifest.Hook, v any, done func(*reply)) {
	ticket, ok := p.breaker.Allow(p.set.now())
	if !ok || len(p.queue) >= maxQueuedCalls || p.process == nil || !p.ready && len(p.queue) > 0 {
		if ok {
			p.breaker.Release(ticket)
		}
		p.counts.Passed++
		done(nil)
		return
	}
	text, err := json.Marshal(v)
	if err != nil {
		p.counts.Passed++
		p.breaker.Release(ticket)
		done(nil)
		return
	}
	p.enqueue(&call{hook: h, input: text, ticket: ticket, done: done}, cmp.Or(p.set.cfg.AnswerTimeout, p.manifest.Budget.TimeLimit()))
}

// enqueue queues a call and starts its time limit.
func (p *instance) enqueue(c *call, timeLimit time.Duration) {
	p.set.lastCallID++
	c.id, c.timeLimit = p.set.lastCallID, timeLimit
	p.counts.Calls++
	c.timer = p.set.cfg.Loop.After(timeLimit, func() { p.expire(c) })
	p.queue = append(p.queue, c)
	p.sendNext()
}

// sendNext sends the first queued call if the host is idle.
func (p *instance) sendNext() {
	for p.ready && p.inFlight == nil && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		if c.finished {
			continue
		}
		c.sent = true
		p.inFlight = c
		x := host.Call{ID: c.id, Hook: c.hook, Input: c.input, TimeLimit: c.timeLimit, ReplaceMemory: p.replaceMemory}
		if p.replaceMemory {
			x.Memory, p.replaceMemory = maps.Clone(p.memory.Values), false
		}
		if !p.process.send(x) {
			p.process.kill()
		}
	}
	if p.retired && p.inFlight == nil && len(p.queue) == 0 && p.process != nil {
		p.process.kill()
	}
}

// expire ends a call that has exceeded its time limit. A host that does not end the call within
// killGrace is killed.
func (p *instance) expire(c *call) {
	if c.finished {
		return
	}
	p.counts.Late++
	if !c.sent { // queued behind other calls: not counted as a failure of the plug-in
		p.skipCall(c)
		return
	}
	p.failCall(c, "time limit exceeded")
	proc := p.process
	p.set.cfg.Loop.After(killGrace, func() {
		if p.inFlight == c && p.process == proc && proc != nil {
			proc.kill()
		}
	})
}

// handleAnswer handles an answer from the host.
func (p *instance) handleAnswer(r *reply) {
	c := p.inFlight
	if c == nil || c.id != r.ID || c.hook != r.Hook {
		p.process.kill() // the answer does not match the call
		return
	}
	for k, v := range r.Changes {
		p.memory.Set(k, v)
	}
	p.memory.Changes() // reset the list of changes, which the courier does not use
	for _, line := range r.Log[:min(len(r.Log), 4)] {
		p.set.cfg.Log.Info("plug-in output", "plugin", p.manifest.Name, "text", line)
	}
	p.completeCall(c, r, r.Error)
}

// completeCall ends the call in progress and sends the next one.
func (p *instance) completeCall(c *call, r *reply, reason string) {
	p.inFlight = nil
	if !c.finished {
		if reason != "" {
			p.failCall(c, reason)
		} else {
			p.counts.Answered++
			p.restartDelay = 0
			p.recordResult(c, true)
			p.finishCall(c, r)
		}
	}
	p.sendNext()
}

// failCall ends a call as failed.
func (p *instance) failCall(c *call, reason string) {
	p.counts.Failed++
	p.lastError = reason
	p.set.cfg.Log.Warn("plug-in call failed; continuing without its answer", "plugin", p.manifest.Name, "hook", c.hook, "err", reason)
	p.recordResult(c, false)
	p.finishCall(c, nil)
}

// skipCall ends a call that was not sent.
func (p *instance) skipCall(c *call) {
	if !c.finished {
		p.counts.Passed++
		p.breaker.Release(c.ticket)
		p.finishCall(c, nil)
	}
}

// finishCall passes the reply to the call's done function.
func (p *instance) finishCall(c *call, r *reply) {
	c.finished = true
	c.timer.Stop()
	c.done(r)
}

// recordResult passes the result of a call to the circuit breaker.
func (p *instance) recordResult(c *call, ok bool) {
	now := p.set.now()
	if p.onStarted == nil && p.breaker.Record(now, c.ticket, ok) {
		p.set.cfg.Log.Info("plug-in quarantine", "plugin", p.manifest.Name, "state", p.breaker.State(now).String(),
			"until_s", math.Round((p.breaker.OpenUntil()-now).Seconds()*10)/10)
	}
}

// countCorrections counts the corrections made by the guard and logs them at most once a minute.
func (p *instance) countCorrections(rules []guard.Rule) {
	if len(rules) == 0 {
		return
	}
	for _, r := range rules {
		p.counts.Corrected++
		p.corrections[r]++
	}
	p.unloggedCorrections += len(rules)
	if now := p.set.now(); p.correctionsLoggedAt == 0 || now-p.correctionsLoggedAt >= time.Minute {
		p.correctionsLoggedAt = max(now, 1)
		p.set.cfg.Log.Warn("plug-in output corrected", "plugin", p.manifest.Name, "rules", rules, "since", p.unloggedCorrections)
		p.unloggedCorrections = 0
	}
}

// flow is the part of a hook's input that describes the message.
type flow struct {
	ID             string `json:"id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Key            string `json:"key,omitempty"`
	Class          string `json:"class_name"`
	Tenant         string `json:"tenant"`
	Destination    uint32 `json:"destination"`
	Resubmitted    bool   `json:"again"`
	Attempts       int    `json:"attempts"`
	LeftMs         int64  `json:"left_ms"`
	Body           string `json:"body,omitempty"` // base64, truncated to the budget's BodyBytes
}

// flow returns the input of a hook for a message.
func (s *Set) flow(m *store.Message, p *instance) flow {
	f := flow{
		ID: m.ID, IdempotencyKey: m.IdempotencyKey, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination,
		Resubmitted: m.Resubmitted, Attempts: m.Attempts, LeftMs: m.Deadline.Sub(s.cfg.Loop.Now()).Milliseconds(),
	}
	if m.Key != 0 {
		f.Key = fmt.Sprintf("%016x", m.Key)
	}
	f.Body = base64.StdEncoding.EncodeToString(m.Body[:min(len(m.Body), p.manifest.Budget.BodyBytes)])
	return f
}

// callChain calls each in turn for the plug-ins that serve the hook and match the message. each
// passes false to next to skip the remaining plug-ins. end is called last. callChain returns
// false, without calling end, if there are no such plug-ins.
func (s *Set) callChain(h manifest.Hook, m *store.Message, each func(p *instance, next func(more bool)), end func()) bool {
	if !s.served[h] {
		return false
	}
	var list []*instance
	for _, p := range s.instances {
		if p.manifest.Has(h) && p.manifest.Sees.Matches(m.Destination, m.Class, m.Tenant) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return false
	}
	var step func(i int)
	step = func(i int) {
		if i == len(list) {
			end()
			return
		}
		each(list[i], func(more bool) {
			if more {
				step(i + 1)
			} else {
				end()
			}
		})
	}
	step(0)
	return true
}

// Admit asks the plug-ins whether a message may be accepted. It returns false if no plug-in
// applies. Otherwise done is called once, possibly before Admit returns, with the result and
// the retry-after delay for the client of a refused message.
func (s *Set) Admit(m *store.Message, done func(pass bool, after time.Duration)) bool {
	pass, after := true, time.Duration(0)
	return s.callChain(manifest.Admit, m, func(p *instance, next func(bool)) {
		p.request(manifest.Admit, s.flow(m, p), func(r *reply) {
			if r != nil && r.refuses {
				var rules []guard.Rule
				after, rules = guard.CheckAdmit(r.afterMs)
				p.countCorrections(rules)
				pass = false
			}
			next(pass)
		})
	}, func() { done(pass, after) })
}

// Shape asks the plug-ins for changes to a request. The return value is as for Admit.
func (s *Set) Shape(m *store.Message, to core.Entry, done func(core.Shape)) bool {
	shape := core.Shape{}
	return s.callChain(manifest.Shape, m, func(p *instance, next func(bool)) {
		p.request(manifest.Shape, struct {
			flow
			Endpoint string `json:"endpoint"`
		}{s.flow(m, p), to.Name}, func(r *reply) {
			if r != nil {
				p.countCorrections(r.rules)
				if r.shape.HasBody && !slices.Contains(s.cfg.BodyDestinations, m.Destination) {
					r.shape.Body, r.shape.HasBody = nil, false
					p.countCorrections([]guard.Rule{guard.RuleBody})
				}
				merge(&shape, r.shape)
			}
			next(true)
		})
	}, func() { done(shape) })
}

// merge adds the changes of a later plug-in. The first plug-in that sets a header, the path or the
// body takes precedence.
func merge(to *core.Shape, x guard.Shape) {
	for _, h := range x.Headers {
		there := slices.ContainsFunc(to.Headers, func(y core.HeaderField) bool { return strings.EqualFold(h.Name, y.Name) })
		if !there && len(to.Headers) < guard.MaxHeaders {
			to.Headers = append(to.Headers, core.HeaderField{Name: h.Name, Value: h.Value})
		}
	}
	if to.Suffix == "" && to.Query == "" {
		to.Suffix, to.Query = x.Suffix, x.Query
	}
	if !to.HasBody && x.HasBody {
		to.Body, to.HasBody = x.Body, true
	}
}

// ReadsAnswers reports whether any plug-in interprets the answers to a message.
func (s *Set) ReadsAnswers(m *store.Message) bool {
	return s.served[manifest.Read] && slices.ContainsFunc(s.instances, func(p *instance) bool {
		return p.manifest.Has(manifest.Read) && p.manifest.Sees.Matches(m.Destination, m.Class, m.Tenant)
	})
}

// Read asks the plug-ins to interpret an answer. The return value is as for Admit.
func (s *Set) Read(m *store.Message, to core.Entry, r core.Result, done func(core.Result)) bool {
	if r.Answer == nil {
		return false // no answer was received
	}
	return s.callChain(manifest.Read, m, func(p *instance, next func(bool)) {
		headers := map[string]string{}
		for i, h := range r.Answer.Headers {
			if i == maxHeadersShown {
				break
			}
			headers[strings.ToLower(h.Name)] = h.Value
		}
		p.request(manifest.Read, struct {
			flow
			Endpoint string            `json:"endpoint"`
			Status   int               `json:"status"`
			Headers  map[string]string `json:"headers"`
			Answer   string            `json:"answer,omitempty"` // base64, truncated to the budget's BodyBytes
		}{
			s.flow(m, p), to.Name, r.Answer.Status, headers,
			base64.StdEncoding.EncodeToString(r.Answer.Body[:min(len(r.Answer.Body), p.manifest.Budget.BodyBytes)]),
		}, func(x *reply) {
			if x != nil {
				got, rules := guard.CheckReading(guard.Reading{Outcome: r.Outcome, RetryAfter: r.RetryAfter}, x.interpretation)
				p.countCorrections(rules)
				r.Outcome, r.RetryAfter = got.Outcome, got.RetryAfter
			}
			next(true)
		})
	}, func() { done(r) })
}

// maxHeadersShown limits the headers of an answer that are passed to a plug-in.
const maxHeadersShown = 64

// Ended notifies the plug-ins of a message's final state. It does not wait for them.
func (s *Set) Ended(m *store.Message) {
	s.callChain(manifest.Ended, m, func(p *instance, next func(bool)) {
		p.request(manifest.Ended, struct {
			flow
			State string `json:"state"`
		}{s.flow(m, p), m.State.String()}, func(*reply) {})
		next(true)
	}, func() {})
}

// Status is the state of a plug-in as reported to operators.
type Status struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Engine  string `json:"engine"`
	State   string `json:"state"`
	Counts
	Rules map[guard.Rule]uint64 `json:"rules,omitempty"`
}

// List returns the status of the plug-ins in the order in which they are called.
func (s *Set) List() []Status {
	var list []Status
	for _, p := range s.instances {
		list = append(list, Status{
			Name: p.manifest.Name, Version: p.manifest.Version, Engine: p.manifest.Engine, State: p.breaker.State(s.now()).String(),
			Counts: p.counts, Rules: maps.Clone(p.corrections),
		})
	}
	return list
}

// LogValue returns the state and the counters of all plug-ins as one log value.
func (s *Set) LogValue() slog.Value {
	var attrs []slog.Attr
	for _, x := range s.List() {
		c := x.Counts
		attrs = append(attrs, slog.Group(x.Name, slog.String("state", x.State), slog.Uint64("calls", c.Calls),
			slog.Uint64("answered", c.Answered), slog.Uint64("failed", c.Failed), slog.Uint64("late", c.Late),
			slog.Uint64("passed", c.Passed), slog.Uint64("crashed", c.Crashed), slog.Uint64("corrected", c.Corrected)))
	}
	return slog.GroupValue(attrs...)
}
