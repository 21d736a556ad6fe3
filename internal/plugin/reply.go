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

// reply is the parsed answer of a plug-in. Answers may be large, so they are parsed, and shapes
// are checked, on the goroutine that reads the pipe.
type reply struct {
	host.Answer
	refuses        bool    // admit: the message is refused
	afterMs        float64 // admit: retry-after delay in milliseconds; NaN if it is not a number
	interpretation guard.Interpretation
	shape          guard.Shape
	rules          []guard.Rule // rules violated by the shape
}

// newReply parses an answer. It removes changes to a request that the plug-in may not make.
func newReply(a host.Answer, allowed guard.Permissions) *reply {
	r := &reply{Answer: a}
	if a.Output == nil {
		return r
	}
	switch a.Hook {
	case manifest.Admit:
		r.parseAdmit()
	case manifest.Shape:
		r.parseShape(allowed)
	case manifest.Read:
		r.parseRead()
	}
	return r
}

// output returns the answer as received, or nil if there is none.
func (r *reply) output() json.RawMessage {
	if r == nil {
		return nil
	}
	return r.Output
}

func (r *reply) parseAdmit() {
	var parsed struct {
		AfterMs json.RawMessage `json:"after_ms"`
	}
	if json.Unmarshal(r.Output, &parsed) == nil && parsed.AfterMs != nil {
		r.refuses, r.afterMs = true, parseNumber(parsed.AfterMs)
	}
}

func (r *reply) parseShape(allowed guard.Permissions) {
	var parsed struct {
		Headers map[string]string `json:"headers"`
		Suffix  string            `json:"path_suffix"`
		Query   string            `json:"query"`
		Body    *string           `json:"body"`
	}
	if json.Unmarshal(r.Output, &parsed) != nil {
		r.rules = []guard.Rule{guard.RuleHeader}
		return
	}
	x := guard.Shape{Suffix: parsed.Suffix, Query: parsed.Query}
	for _, name := range slices.Sorted(maps.Keys(parsed.Headers)) {
		x.Headers = append(x.Headers, guard.HeaderField{Name: name, Value: parsed.Headers[name]})
	}
	if parsed.Body != nil {
		b, err := base64.StdEncoding.DecodeString(*parsed.Body)
		x.Body, x.HasBody = b, err == nil
		if err != nil {
			r.rules = append(r.rules, guard.RuleBody)
		}
	}
	var rules []guard.Rule
	r.shape, rules = guard.CheckShape(x, allowed)
	r.rules = append(r.rules, rules...)
}

func (r *reply) parseRead() {
	var parsed struct {
		Outcome json.RawMessage `json:"outcome"`
		WaitMs  json.RawMessage `json:"wait_ms"`
	}
	if json.Unmarshal(r.Output, &parsed) != nil {
		return
	}
	if parsed.Outcome != nil && json.Unmarshal(parsed.Outcome, &r.interpretation.Outcome) != nil {
		r.interpretation.Outcome = "?"
	}
	if r.interpretation.HasWait = parsed.WaitMs != nil; r.interpretation.HasWait {
		r.interpretation.WaitMs = parseNumber(parsed.WaitMs)
	}
}

// parseNumber parses a JSON number. It returns NaN for any other value.
func parseNumber(text json.RawMessage) float64 {
	var v float64
	if json.Unmarshal(text, &v) != nil {
		return math.NaN()
	}
	return v
}
