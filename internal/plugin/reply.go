package plugin

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"math"
	"slices"

	"snowjunction/internal/plugin/guard"
	"snowjunction/internal/plugin/host"
	"snowjunction/internal/plugin/manifest"
)

// reply is what a plug-in says, read. A plug-in may say a lot: reading it, and
// holding a shape to what is allowed, is done on the goroutine that reads the pipe.
type reply struct {
	host.Answer
	refuses bool    // admit: with
	afterMs float64 // when to come back; NaN: no number
	word    guard.Said
	shape   guard.Shape
	rules   []guard.Rule // that the shape broke
}

func newReply(a host.Answer, allowed guard.Allowed) *reply {
	r := &reply{Answer: a}
	if a.Out == nil {
		return r
	}
	switch a.Hook {
	case manifest.Admit:
		r.admit()
	case manifest.Shape:
		r.shaped(allowed)
	case manifest.Read:
		r.read()
	}
	return r
}

// out is the answer as it came; nil: there is none.
func (r *reply) out() json.RawMessage {
	if r == nil {
		return nil
	}
	return r.Out
}

func (r *reply) admit() {
	var said struct {
		AfterMs json.RawMessage `json:"after_ms"`
	}
	if json.Unmarshal(r.Out, &said) == nil && said.AfterMs != nil {
		r.refuses, r.afterMs = true, number(said.AfterMs)
	}
}

func (r *reply) shaped(allowed guard.Allowed) {
	var said struct {
		Headers map[string]string `json:"headers"`
		Suffix  string            `json:"path_suffix"`
		Query   string            `json:"query"`
		Body    *string           `json:"body"`
	}
	if json.Unmarshal(r.Out, &said) != nil {
		r.rules = []guard.Rule{guard.Header}
		return
	}
	x := guard.Shape{Suffix: said.Suffix, Query: said.Query}
	for _, name := range slices.Sorted(maps.Keys(said.Headers)) {
		x.Headers = append(x.Headers, guard.HeaderField{Name: name, Value: said.Headers[name]})
	}
	if said.Body != nil {
		b, err := base64.StdEncoding.DecodeString(*said.Body)
		x.Body, x.HasBody = b, err == nil
		if err != nil {
			r.rules = append(r.rules, guard.Body)
		}
	}
	var rules []guard.Rule
	r.shape, rules = guard.Shaped(x, allowed)
	r.rules = append(r.rules, rules...)
}

func (r *reply) read() {
	var said struct {
		Outcome json.RawMessage `json:"outcome"`
		WaitMs  json.RawMessage `json:"wait_ms"`
	}
	if json.Unmarshal(r.Out, &said) != nil {
		return
	}
	if said.Outcome != nil && json.Unmarshal(said.Outcome, &r.word.Outcome) != nil {
		r.word.Outcome = "?"
	}
	if r.word.HasWait = said.WaitMs != nil; r.word.HasWait {
		r.word.WaitMs = number(said.WaitMs)
	}
}

// number reads a number; what is none is NaN.
func number(text json.RawMessage) float64 {
	var v float64
	if json.Unmarshal(text, &v) != nil {
		return math.NaN()
	}
	return v
}
