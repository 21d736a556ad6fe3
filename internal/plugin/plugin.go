// Package plugin is the courier's side of plug-ins. Each has a host process; its
// calls go there one after another. A flow waits for an answer within the
// plug-in's budget and goes on without it after that, and everything that comes
// back passes the guard.
//
// A Set belongs to the loop's goroutine.
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

// Config is what a set needs to know.
type Config struct {
	Loop    *core.Loop
	Log     *slog.Logger
	Command []string // that starts a host process
	Breaker breaker.Config

	// Bodies are the destinations to which a plug-in may send another body, if its
	// manifest says so too.
	Bodies []uint32

	StartWithin  time.Duration // for a host to be ready; 0: a minute
	SampleWithin time.Duration // for a sample to be answered; 0: 5 s
	AnswerWithin time.Duration // for a call, in place of its plug-in's budget; 0: that
}

// Set is the plug-ins that are loaded, in the order in which they are asked.
type Set struct {
	cfg   Config
	begun time.Time
	plugs []*plug
	sees  map[manifest.Hook]bool
	last  uint64
}

// plug is a plug-in at work.
type plug struct {
	set     *Set
	m       *manifest.Manifest
	proc    *process // nil: none runs
	ready   bool
	breaker *breaker.Breaker
	memory  *engine.Memory
	out     *call // in the host
	queue   []*call
	counts  Counts
	fixed   map[guard.Rule]uint64
	told    time.Duration // when corrections were logged last
	untold  int           // corrections since
	retired bool          // it ends once its calls have: another version serves
	recall  bool          // the host's memory is not the one that counts
	again   time.Duration // after which its host was started again last
	lastWhy string
	onUp    func(err string)
}

// Counts are a plug-in's.
type Counts struct {
	Calls, Answered, Failed, Late, Passed, Crashed, Corrected uint64
}

// call is one question to one plug-in.
type call struct {
	id     uint64
	hook   manifest.Hook
	text   json.RawMessage
	ticket breaker.Ticket
	within time.Duration
	done   func(*reply) // nil: without an answer; called once
	limit  *core.Timer
	sent   bool
	over   bool // nobody waits for it any more
}

// queueMost bounds the calls that wait for one plug-in.
const queueMost = 256

// overtime is how long after its budget a host may still be at a call: it ends
// that itself, unless it cannot any more.
const overtime = 100 * time.Millisecond

// New returns a set without plug-ins.
func New(cfg Config) *Set {
	if cfg.Breaker == (breaker.Config{}) {
		cfg.Breaker = breaker.Default
	}
	if cfg.SampleWithin <= 0 {
		cfg.SampleWithin = sampleWithin
	}
	s := &Set{cfg: cfg, begun: cfg.Loop.Now(), sees: map[manifest.Hook]bool{}}
	s.AllowStart(cfg.StartWithin)
	return s
}

func (s *Set) now() time.Duration { return s.cfg.Loop.Now().Sub(s.begun) }

// Replace puts other plug-ins in the place of those loaded, all or none: they
// take over once each of them is ready and makes of its samples what it should.
// Those that have not changed stay. done is called once; an error says why
// nothing has changed.
func (s *Set) Replace(list []*manifest.Manifest, done func(err string)) {
	next, waiting, failed := []*plug{}, 0, ""
	finish := func() {
		if waiting > 0 {
			return
		}
		if failed != "" {
			for _, p := range next {
				if !slices.Contains(s.plugs, p) {
					p.retire()
				}
			}
			done(failed)
			return
		}
		// What a plug-in remembers survives, and nothing of what its samples have
		// had it remember.
		for _, x := range next {
			if !slices.Contains(s.plugs, x) {
				x.memory, x.recall = engine.NewMemory(s.remembered(x.m.Name)), true
			}
		}
		for _, p := range s.plugs {
			if !slices.Contains(next, p) {
				p.retire()
			}
		}
		s.plugs = next
		s.sees = map[manifest.Hook]bool{}
		for _, p := range next {
			for _, h := range p.m.Hooks {
				s.sees[h] = true
			}
		}
		done("")
	}
	var fresh []*plug
	for _, m := range list {
		if p := s.same(m); p != nil {
			next = append(next, p)
			continue
		}
		p := &plug{set: s, m: m, breaker: breaker.New(s.cfg.Breaker), memory: engine.NewMemory(nil), fixed: map[guard.Rule]uint64{}}
		next, fresh = append(next, p), append(fresh, p)
		waiting++
	}
	if waiting == 0 {
		finish()
		return
	}
	for _, p := range fresh {
		p.onUp = func(err string) {
			p.onUp = nil
			if waiting--; err != "" && failed == "" {
				failed = "plug-in " + p.m.Name + ": " + err
			}
			finish()
		}
		p.start()
	}
}

// same is the loaded plug-in that m describes unchanged, if any.
func (s *Set) same(m *manifest.Manifest) *plug {
	a, _ := json.Marshal(m)
	for _, p := range s.plugs {
		b, _ := json.Marshal(p.m)
		if string(a) == string(b) && string(p.m.Text) == string(m.Text) {
			return p
		}
	}
	return nil
}

func (s *Set) remembered(name string) map[string]string {
	for _, p := range s.plugs {
		if p.m.Name == name {
			return p.memory.Values
		}
	}
	return nil
}

// AllowBodies names the destinations to which plug-ins may send other bodies.
func (s *Set) AllowBodies(destinations []uint32) { s.cfg.Bodies = destinations }

// AllowStart says how long hosts may take to be ready from now on; 0: a minute.
func (s *Set) AllowStart(within time.Duration) { s.cfg.StartWithin = cmp.Or(within, startWithin) }

// Close ends all host processes.
func (s *Set) Close() {
	for _, p := range s.plugs {
		p.retire()
		if p.proc != nil {
			p.proc.kill()
		}
	}
	s.plugs, s.sees = nil, map[manifest.Hook]bool{}
}

// retire lets the calls that a plug-in has begun end, and then the plug-in.
func (p *plug) retire() {
	p.retired = true
	if p.out == nil && len(p.queue) == 0 && p.proc != nil {
		p.proc.kill()
	}
}

func (p *plug) start() {
	p.ready = false
	var self *process
	within := p.set.cfg.StartWithin
	hello := host.Hello{Manifest: p.m, Code: p.m.Text, Memory: maps.Clone(p.memory.Values), Within: within}
	self = startProcess(p.set.cfg.Command, hello, p.set.cfg.Loop.Post,
		func(a host.Answer, err error) {
			if err == nil && a.Error == "" {
				p.up(self)
				return
			}
			why := a.Error
			if why == "" {
				why = "its host does not start: " + err.Error()
			}
			self.kill()
			if p.onUp != nil {
				p.onUp(why)
			} else {
				p.set.cfg.Log.Warn("plug-in cannot start again", "plugin", p.m.Name, "err", why)
			}
		},
		func(r *reply) {
			if p.proc == self {
				p.answer(r)
			}
		},
		func() { p.gone(self) })
	p.proc = self
	p.set.cfg.Loop.After(within, func() {
		if p.proc == self && !p.ready {
			why := fmt.Sprintf("its host is not ready within %v", within)
			if p.onUp != nil {
				p.onUp(why)
			} else {
				p.set.cfg.Log.Warn("plug-in cannot start again", "plugin", p.m.Name, "err", why)
			}
			self.kill()
		}
	})
}

// startWithin is how long a host may take to be ready: a module is compiled then.
const startWithin = time.Minute

// up begins the work of a host that is ready, with the samples if it is new.
func (p *plug) up(self *process) {
	if p.proc != self {
		return
	}
	p.ready = true
	if p.onUp == nil {
		p.next()
		return
	}
	p.sample(0)
}

// sample has the plug-in answer its sample cases in turn.
func (p *plug) sample(i int) {
	if i == len(p.m.Samples) {
		p.onUp("")
		return
	}
	x := p.m.Samples[i]
	p.push(&call{hook: x.Hook, text: x.Call, done: func(r *reply) {
		why := Differs(x.Want, r.out())
		if r == nil {
			why += ": " + p.lastWhy
		}
		switch {
		case p.onUp == nil:
		case why != "":
			p.onUp("sample " + x.Name + ": " + why)
		default:
			p.sample(i + 1)
		}
	}}, p.set.cfg.SampleWithin)
}

// sampleWithin is generous, and no matter of the plug-in's budget: a sample shows what is said, not
// how fast.
const sampleWithin = 5 * time.Second

// Differs says how an answer is other than wanted; "": it is not.
func Differs(want, out json.RawMessage) string {
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

// gone ends the call that was in a host that has ended, and starts another host
// where the plug-in goes on.
func (p *plug) gone(self *process) {
	if p.proc != self {
		return
	}
	p.proc, p.ready = nil, false
	if p.out != nil {
		p.counts.Crashed++
		p.end(p.out, nil, "its host has ended")
	}
	if p.onUp != nil {
		p.onUp("its host has ended")
		return
	}
	if p.retired {
		for _, c := range p.queue {
			p.pass(c)
		}
		p.queue = nil
		return
	}
	p.again = min(max(2*p.again, restartAfter), restartMost)
	p.set.cfg.Loop.After(p.again, func() {
		if p.proc == nil && !p.retired {
			p.start()
		}
	})
}

// A host that ends is started again after a while, which doubles until a call has
// been answered: one that ends at once is not started all the time.
const (
	restartAfter = 20 * time.Millisecond
	restartMost  = 5 * time.Second
)

// ask puts a question to a plug-in. done is called once, perhaps within ask,
// with nil where there is no answer.
func (p *plug) ask(h manifest.Hook, v any, done func(*reply)) {
	ticket, ok := p.breaker.Allow(p.set.now())
	if !ok || len(p.queue) >= queueMost || p.proc == nil || !p.ready && len(p.queue) > 0 {
		if ok {
			p.breaker.Undo(ticket)
		}
		p.counts.Passed++
		done(nil)
		return
	}
	text, err := json.Marshal(v)
	if err != nil {
		p.counts.Passed++
		p.breaker.Undo(ticket)
		done(nil)
		return
	}
	p.push(&call{hook: h, text: text, ticket: ticket, done: done}, cmp.Or(p.set.cfg.AnswerWithin, p.m.Budget.Time()))
}

func (p *plug) push(c *call, within time.Duration) {
	p.set.last++
	c.id, c.within = p.set.last, within
	p.counts.Calls++
	c.limit = p.set.cfg.Loop.After(within, func() { p.late(c) })
	p.queue = append(p.queue, c)
	p.next()
}

// next sends the first call that waits, if the host is free.
func (p *plug) next() {
	for p.ready && p.out == nil && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		if c.over {
			continue
		}
		c.sent = true
		p.out = c
		x := host.Call{ID: c.id, Hook: c.hook, Call: c.text, Within: c.within, Recall: p.recall}
		if p.recall {
			x.Memory, p.recall = maps.Clone(p.memory.Values), false
		}
		if !p.proc.send(x) {
			p.proc.kill()
		}
	}
	if p.retired && p.out == nil && len(p.queue) == 0 && p.proc != nil {
		p.proc.kill()
	}
}

// late goes on without a call that has run out of its budget. A host that stays
// at it is ended a moment later.
func (p *plug) late(c *call) {
	if c.over {
		return
	}
	p.counts.Late++
	if !c.sent { // others took the time: that is not this call's fault
		p.pass(c)
		return
	}
	p.fail(c, "over its time")
	proc := p.proc
	p.set.cfg.Loop.After(overtime, func() {
		if p.out == c && p.proc == proc && proc != nil {
			proc.kill()
		}
	})
}

// answer takes what the host says.
func (p *plug) answer(r *reply) {
	c := p.out
	if c == nil || c.id != r.ID || c.hook != r.Hook {
		p.proc.kill() // it answers what was not asked
		return
	}
	for k, v := range r.Changes {
		p.memory.Set(k, v)
	}
	p.memory.Changes() // they are nobody's here
	for _, line := range r.Log[:min(len(r.Log), 4)] {
		p.set.cfg.Log.Info("plug-in prints", "plugin", p.m.Name, "text", line)
	}
	p.end(c, r, r.Error)
}

// end frees the host and ends its call.
func (p *plug) end(c *call, r *reply, why string) {
	p.out = nil
	if !c.over {
		if why != "" {
			p.fail(c, why)
		} else {
			p.counts.Answered++
			p.again = 0
			p.judge(c, true)
			p.finish(c, r)
		}
	}
	p.next()
}

func (p *plug) fail(c *call, why string) {
	p.counts.Failed++
	p.lastWhy = why
	p.set.cfg.Log.Warn("plug-in failed, the flow goes on without it", "plugin", p.m.Name, "hook", c.hook, "err", why)
	p.judge(c, false)
	p.finish(c, nil)
}

// pass goes on without having asked.
func (p *plug) pass(c *call) {
	if !c.over {
		p.counts.Passed++
		p.breaker.Undo(c.ticket)
		p.finish(c, nil)
	}
}

func (p *plug) finish(c *call, r *reply) {
	c.over = true
	c.limit.Stop()
	c.done(r)
}

func (p *plug) judge(c *call, ok bool) {
	now := p.set.now()
	if p.onUp == nil && p.breaker.Done(now, c.ticket, ok) {
		p.set.cfg.Log.Info("plug-in quarantine", "plugin", p.m.Name, "state", p.breaker.State(now).String(),
			"until_s", math.Round((p.breaker.Until()-now).Seconds()*10)/10)
	}
}

// correct books what the guard has corrected; a line a minute tells of it.
func (p *plug) correct(rules []guard.Rule) {
	if len(rules) == 0 {
		return
	}
	for _, r := range rules {
		p.counts.Corrected++
		p.fixed[r]++
	}
	p.untold += len(rules)
	if now := p.set.now(); p.told == 0 || now-p.told >= time.Minute {
		p.told = max(now, 1)
		p.set.cfg.Log.Warn("plug-in corrected", "plugin", p.m.Name, "rules", rules, "since", p.untold)
		p.untold = 0
	}
}

// flow is what every hook sees of a message.
type flow struct {
	ID             string `json:"id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Key            string `json:"key,omitempty"`
	Class          string `json:"class_name"`
	Tenant         string `json:"tenant"`
	Destination    uint32 `json:"destination"`
	Again          bool   `json:"again"`
	Attempts       int    `json:"attempts"`
	LeftMs         int64  `json:"left_ms"`
	Body           string `json:"body,omitempty"` // base64, as far as it is shown
}

func (s *Set) flow(m *store.Message, p *plug) flow {
	f := flow{
		ID: m.ID, IdempotencyKey: m.IdempotencyKey, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination,
		Again: m.Resubmitted, Attempts: m.Attempts, LeftMs: m.Deadline.Sub(s.cfg.Loop.Now()).Milliseconds(),
	}
	if m.Key != 0 {
		f.Key = fmt.Sprintf("%016x", m.Key)
	}
	f.Body = base64.StdEncoding.EncodeToString(m.Body[:min(len(m.Body), p.m.Budget.BodyBytes)])
	return f
}

// chain asks the plug-ins that serve a hook and see the message, in turn, until
// each returns true. It returns false if none does: end is not called then.
func (s *Set) chain(h manifest.Hook, m *store.Message, each func(p *plug, next func(more bool)), end func()) bool {
	if !s.sees[h] {
		return false
	}
	var list []*plug
	for _, p := range s.plugs {
		if p.m.Has(h) && p.m.Sees.Flow(m.Destination, m.Class, m.Tenant) {
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

// Admit asks whether a message may be taken on. It returns false if no plug-in
// is to be asked; else done is called once, perhaps at once.
func (s *Set) Admit(m *store.Message, done func(pass bool, after time.Duration)) bool {
	pass, after := true, time.Duration(0)
	return s.chain(manifest.Admit, m, func(p *plug, next func(bool)) {
		p.ask(manifest.Admit, s.flow(m, p), func(r *reply) {
			if r != nil && r.refuses {
				var rules []guard.Rule
				after, rules = guard.Admit(r.afterMs)
				p.correct(rules)
				pass = false
			}
			next(pass)
		})
	}, func() { done(pass, after) })
}

// Shape asks what to add to a request, as Admit does.
func (s *Set) Shape(m *store.Message, to core.Entry, done func(core.Shape)) bool {
	shape := core.Shape{}
	return s.chain(manifest.Shape, m, func(p *plug, next func(bool)) {
		p.ask(manifest.Shape, struct {
			flow
			Endpoint string `json:"endpoint"`
		}{s.flow(m, p), to.Name}, func(r *reply) {
			if r != nil {
				p.correct(r.rules)
				if r.shape.HasBody && !slices.Contains(s.cfg.Bodies, m.Destination) {
					r.shape.Body, r.shape.HasBody = nil, false
					p.correct([]guard.Rule{guard.Body})
				}
				merge(&shape, r.shape)
			}
			next(true)
		})
	}, func() { done(shape) })
}

// merge adds what a later plug-in shapes: the first word on a header, a path or
// a body stands.
func merge(to *core.Shape, x guard.Shape) {
	for _, h := range x.Headers {
		there := slices.ContainsFunc(to.Headers, func(y core.HeaderField) bool { return strings.EqualFold(h.Name, y.Name) })
		if !there && len(to.Headers) < guard.HeadersMost {
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

// ReadsAnswers tells whether any plug-in reads the answers to a message.
func (s *Set) ReadsAnswers(m *store.Message) bool {
	return s.sees[manifest.Read] && slices.ContainsFunc(s.plugs, func(p *plug) bool {
		return p.m.Has(manifest.Read) && p.m.Sees.Flow(m.Destination, m.Class, m.Tenant)
	})
}

// Read asks what an answer means, as Admit does.
func (s *Set) Read(m *store.Message, to core.Entry, r core.Result, done func(core.Result)) bool {
	if r.Answer == nil {
		return false // there is nothing to read
	}
	return s.chain(manifest.Read, m, func(p *plug, next func(bool)) {
		headers := map[string]string{}
		for i, h := range r.Answer.Headers {
			if i == headersShown {
				break
			}
			headers[strings.ToLower(h.Name)] = h.Value
		}
		p.ask(manifest.Read, struct {
			flow
			Endpoint string            `json:"endpoint"`
			Status   int               `json:"status"`
			Headers  map[string]string `json:"headers"`
			Answer   string            `json:"answer,omitempty"` // base64, as far as it is shown
		}{
			s.flow(m, p), to.Name, r.Answer.Status, headers,
			base64.StdEncoding.EncodeToString(r.Answer.Body[:min(len(r.Answer.Body), p.m.Budget.BodyBytes)]),
		}, func(x *reply) {
			if x != nil {
				got, rules := guard.Read(guard.Reading{Outcome: r.Outcome, Wait: r.RetryAfter}, x.word)
				p.correct(rules)
				r.Outcome, r.RetryAfter = got.Outcome, got.Wait
			}
			next(true)
		})
	}, func() { done(r) })
}

// headersShown bounds the headers of an answer that a plug-in is shown.
const headersShown = 64

// Ended tells the plug-ins that want to know. Nothing waits for them.
func (s *Set) Ended(m *store.Message) {
	s.chain(manifest.Ended, m, func(p *plug, next func(bool)) {
		p.ask(manifest.Ended, struct {
			flow
			State string `json:"state"`
		}{s.flow(m, p), m.State.String()}, func(*reply) {})
		next(true)
	}, func() {})
}

// Status is what is told of a plug-in.
type Status struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Engine  string `json:"engine"`
	State   string `json:"state"`
	Counts
	Rules map[guard.Rule]uint64 `json:"rules,omitempty"`
}

// List tells of the plug-ins, in the order in which they are asked.
func (s *Set) List() []Status {
	var list []Status
	for _, p := range s.plugs {
		list = append(list, Status{
			Name: p.m.Name, Version: p.m.Version, Engine: p.m.Engine, State: p.breaker.State(s.now()).String(),
			Counts: p.counts, Rules: maps.Clone(p.fixed),
		})
	}
	return list
}

// LogValue puts their counters in one line of the log.
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
