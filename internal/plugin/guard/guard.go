// Package guard is what everything passes that a plug-in says. It does no I/O
// and keeps no time: it holds a word against what is known without the plug-in,
// and lets it make things safer, never less safe.
//
// The rules, by which corrections are counted:
//
//	outcome   a reading may turn a success into a failure that may have run; it
//	          may not turn 'may have run' into 'never ran', nor any failure into
//	wait      a wait may be told where the partner told none, or longer than it
//	          told; not shorter, and at most WaitMost
//	          a success, nor a refusal into anything that is sent again sooner
//	header    no header that the protocol owns, none that breaks a line, few and
//	          short ones
//	path      a suffix and a query of plain characters, bounded
//	body      a transform only where it is allowed, and bounded
//	number    what is no number is none
package guard

import (
	"math"
	"strings"
	"time"

	"snowjunction"
)

// Rule names what was corrected.
type Rule string

// The rules.
const (
	Outcome Rule = "outcome"
	Wait    Rule = "wait"
	Header  Rule = "header"
	Path    Rule = "path"
	Body    Rule = "body"
	Number  Rule = "number"
)

// Bounds of what a plug-in may say.
const (
	WaitMost    = 10 * time.Minute
	AfterMost   = time.Hour
	HeadersMost = 16
	NameMost    = 64
	ValueMost   = 1024
	PathMost    = 512
	BodyMost    = 64 << 10
)

// Reading is what becomes of an attempt: known from the protocol, or as a
// plug-in reads it.
type Reading struct {
	Outcome snowjunction.Outcome
	Wait    time.Duration // with Full; 0: none
}

// ran tells that an attempt with that outcome may have run.
func ran(o snowjunction.Outcome) bool {
	switch o {
	case snowjunction.Rejected, snowjunction.ConnectFailed, snowjunction.NotSent:
		return false
	}
	return true
}

// Said is a plug-in's word on an answer. What it leaves out stays as it is.
type Said struct {
	Outcome string  // "", ok, error or full
	WaitMs  float64 // with HasWait
	HasWait bool
}

// Read holds a plug-in's word on an answer against what the protocol makes of
// it. Corrections are the rules that it broke; the reading keeps them all.
func Read(known Reading, s Said) (r Reading, corrections []Rule) {
	r = known
	correct := func(rule Rule) { corrections = append(corrections, rule) }
	switch s.Outcome {
	case "":
	case "ok":
		if known.Outcome != snowjunction.OK {
			correct(Outcome)
		}
	case "error":
		switch {
		case known.Outcome == snowjunction.OK:
			r.Outcome = snowjunction.Error
		case !ran(known.Outcome):
			// To count it as one that may have run would let it be repeated
			// without the rest that a refusal brings.
			correct(Outcome)
		}
	case "full":
		if known.Outcome != snowjunction.Rejected {
			correct(Outcome)
		}
	default:
		correct(Outcome)
	}
	if !s.HasWait {
		return r, corrections
	}
	switch {
	case math.IsNaN(s.WaitMs) || math.IsInf(s.WaitMs, 0):
		correct(Number)
		return r, corrections
	case r.Outcome == snowjunction.OK:
		correct(Wait) // a delivery tells no wait
		return r, corrections
	}
	wait := time.Duration(math.Min(math.Max(s.WaitMs, 0), float64(WaitMost/time.Millisecond)) * float64(time.Millisecond))
	if s.WaitMs < 0 || s.WaitMs > float64(WaitMost/time.Millisecond) {
		correct(Wait)
	}
	if wait < known.Wait {
		if s.WaitMs >= 0 {
			correct(Wait)
		}
		wait = known.Wait
	}
	r.Wait = wait
	return r, corrections
}

// Admit holds a plug-in's fixed response to its bounds: after how long a client
// may come back.
func Admit(ms float64) (after time.Duration, corrections []Rule) {
	switch {
	case math.IsNaN(ms) || math.IsInf(ms, 0):
		return 0, []Rule{Number}
	case ms < 0:
		return 0, []Rule{Wait}
	case ms > float64(AfterMost/time.Millisecond):
		return AfterMost, []Rule{Wait}
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// HeaderField is a header that a plug-in adds.
type HeaderField struct{ Name, Value string }

// Shape is what a plug-in makes of a request.
type Shape struct {
	Headers []HeaderField
	Suffix  string // of the path
	Query   string
	Body    []byte
	HasBody bool
}

// Allowed tells what a plug-in may touch in a request.
type Allowed struct {
	Headers, Path, Body bool
}

// owned are headers of the protocols: a plug-in that sets one could change what
// a call is, or where it ends.
var owned = map[string]bool{
	"x-request-id": true, "idempotency-key": true, "x-timeout-ms": true, "content-length": true,
	"transfer-encoding": true, "host": true, "connection": true, "keep-alive": true, "upgrade": true, "te": true,
	"trailer": true, "proxy-connection": true, "proxy-authorization": true, "expect": true, "content-encoding": true,
	"x-over-slots": true, "x-server-load": true, "x-ratelimit-wait-ms": true, "order-key": true, "message-id": true,
	"message-class": true, "tenant": true, "ttl": true, "http2-settings": true, "date": true,
}

// Shaped holds a plug-in's shape to what it may touch.
func Shaped(s Shape, a Allowed) (out Shape, corrections []Rule) {
	broken := map[Rule]bool{}
	seen := map[string]bool{}
	for _, h := range s.Headers {
		name := strings.ToLower(h.Name)
		if !a.Headers || len(out.Headers) >= HeadersMost || owned[name] || seen[name] || !token(h.Name) || !value(h.Value) {
			broken[Header] = true
			continue
		}
		seen[name] = true
		out.Headers = append(out.Headers, h)
	}
	if s.Suffix != "" || s.Query != "" {
		if a.Path && plain(s.Suffix, "/-._~") && plain(s.Query, "-._~=&%+") && !strings.Contains("/"+s.Suffix+"/", "/../") &&
			!strings.Contains("/"+s.Suffix+"/", "/./") && len(s.Suffix)+len(s.Query) <= PathMost {
			out.Suffix, out.Query = s.Suffix, s.Query
		} else {
			broken[Path] = true
		}
	}
	if s.HasBody {
		if a.Body && len(s.Body) <= BodyMost {
			out.Body, out.HasBody = s.Body, true
		} else {
			broken[Body] = true
		}
	}
	for _, r := range []Rule{Header, Path, Body} {
		if broken[r] {
			corrections = append(corrections, r)
		}
	}
	return out, corrections
}

// token tells whether s can be a header's name (RFC 9110, section 5.6.2).
func token(s string) bool {
	if s == "" || len(s) > NameMost {
		return false
	}
	for _, c := range []byte(s) {
		if !letter(c) && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

// value tells whether s can be a header's value: printable ASCII within its
// length, without blanks at its ends.
func value(s string) bool {
	if len(s) > ValueMost || strings.TrimSpace(s) != s {
		return false
	}
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

func plain(s, also string) bool {
	for _, c := range []byte(s) {
		if !letter(c) && !strings.ContainsRune(also, rune(c)) {
			return false
		}
	}
	return true
}

func letter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
