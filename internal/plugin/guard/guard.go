// Package guard checks all output of plug-ins. It does no I/O and reads no clock. It
// compares the output with what is known without the plug-in, and accepts only
// changes that are at least as safe.
//
// The rules, by which corrections are counted:
//
//	outcome   a plug-in may turn a success into a failure that may have run. It may
//	          not turn "may have run" into "never ran", a failure into a success,
//	          or a rejection into an outcome that is retried sooner
//	wait      a plug-in may set a retry-after delay if the partner sent none, or
//	          lengthen it up to MaxWait. It may not shorten it
//	header    no headers owned by the protocol, no line breaks, and limits on the
//	          number and the length of headers
//	path      a suffix and a query of a restricted character set and length
//	body      a body may be replaced only if allowed, and up to a size limit
//	number    values that are not finite numbers are ignored
package guard

import (
	"math"
	"strings"
	"time"

	"snowjunction"
)

// Rule identifies the rule by which output was corrected.
type Rule string

// The rules.
const (
	RuleOutcome Rule = "outcome"
	RuleWait    Rule = "wait"
	RuleHeader  Rule = "header"
	RulePath    Rule = "path"
	RuleBody    Rule = "body"
	RuleNumber  Rule = "number"
)

// Limits of the output of a plug-in. Lengths are in bytes.
const (
	MaxWait             = 10 * time.Minute
	MaxRetryAfter       = time.Hour
	MaxHeaders          = 16
	MaxHeaderNameBytes  = 64
	MaxHeaderValueBytes = 1024
	MaxPathBytes        = 512
	MaxBodyBytes        = 64 << 10
)

// Reading is the outcome of an attempt, as known from the protocol or as interpreted
// by a plug-in.
type Reading struct {
	Outcome    snowjunction.Outcome
	RetryAfter time.Duration // retry-after delay; zero means none
}

// mayHaveRun reports whether an attempt with the outcome may have run at the endpoint.
func mayHaveRun(o snowjunction.Outcome) bool {
	switch o {
	case snowjunction.Rejected, snowjunction.ConnectFailed, snowjunction.NotSent:
		return false
	}
	return true
}

// Interpretation is a plug-in's interpretation of an answer. Omitted values remain unchanged.
type Interpretation struct {
	Outcome string  // "", ok, error or full
	WaitMs  float64 // valid if HasWait is set
	HasWait bool
}

// CheckReading merges a plug-in's interpretation of an answer into the reading known from
// the protocol. The result obeys all rules; corrections lists the rules that were violated.
func CheckReading(known Reading, in Interpretation) (r Reading, corrections []Rule) {
	r = known
	correct := func(rule Rule) { corrections = append(corrections, rule) }
	switch in.Outcome {
	case "":
	case "ok":
		if known.Outcome != snowjunction.OK {
			correct(RuleOutcome)
		}
	case "error":
		switch {
		case known.Outcome == snowjunction.OK:
			r.Outcome = snowjunction.Error
		case !mayHaveRun(known.Outcome):
			// An attempt counted as "may have run" would be retried without the delay that
			// follows a rejection.
			correct(RuleOutcome)
		}
	case "full":
		if known.Outcome != snowjunction.Rejected {
			correct(RuleOutcome)
		}
	default:
		correct(RuleOutcome)
	}
	if !in.HasWait {
		return r, corrections
	}
	switch {
	case math.IsNaN(in.WaitMs) || math.IsInf(in.WaitMs, 0):
		correct(RuleNumber)
		return r, corrections
	case r.Outcome == snowjunction.OK:
		correct(RuleWait) // a delivered message has no retry-after delay
		return r, corrections
	}
	wait := time.Duration(math.Min(math.Max(in.WaitMs, 0), float64(MaxWait/time.Millisecond)) * float64(time.Millisecond))
	if in.WaitMs < 0 || in.WaitMs > float64(MaxWait/time.Millisecond) {
		correct(RuleWait)
	}
	if wait < known.RetryAfter {
		if in.WaitMs >= 0 {
			correct(RuleWait)
		}
		wait = known.RetryAfter
	}
	r.RetryAfter = wait
	return r, corrections
}

// CheckAdmit limits the retry-after delay in milliseconds that a plug-in sets for the client of
// a refused message.
func CheckAdmit(ms float64) (after time.Duration, corrections []Rule) {
	switch {
	case math.IsNaN(ms) || math.IsInf(ms, 0):
		return 0, []Rule{RuleNumber}
	case ms < 0:
		return 0, []Rule{RuleWait}
	case ms > float64(MaxRetryAfter/time.Millisecond):
		return MaxRetryAfter, []Rule{RuleWait}
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// HeaderField is a header added by a plug-in.
type HeaderField struct{ Name, Value string }

// Shape holds a plug-in's changes to a request.
type Shape struct {
	Headers []HeaderField
	Suffix  string // appended to the path
	Query   string
	Body    []byte
	HasBody bool
}

// Permissions holds the parts of a request that a plug-in may change.
type Permissions struct {
	Headers, Path, Body bool
}

// protocolHeaders lists the headers owned by the protocols. A plug-in that set one could
// change the meaning of a call or where it ends.
var protocolHeaders = map[string]bool{
	"x-request-id": true, "idempotency-key": true, "x-timeout-ms": true, "content-length": true,
	"transfer-encoding": true, "host": true, "connection": true, "keep-alive": true, "upgrade": true, "te": true,
	"trailer": true, "proxy-connection": true, "proxy-authorization": true, "expect": true, "content-encoding": true,
	"x-over-slots": true, "x-server-load": true, "x-ratelimit-wait-ms": true, "order-key": true, "message-id": true,
	"message-class": true, "tenant": true, "ttl": true, "http2-settings": true, "date": true,
}

// CheckShape removes the changes that a plug-in may not make.
func CheckShape(s Shape, allowed Permissions) (out Shape, corrections []Rule) {
	violated := map[Rule]bool{}
	seen := map[string]bool{}
	for _, h := range s.Headers {
		name := strings.ToLower(h.Name)
		if !allowed.Headers || len(out.Headers) >= MaxHeaders || protocolHeaders[name] || seen[name] || !isToken(h.Name) || !isHeaderValue(h.Value) {
			violated[RuleHeader] = true
			continue
		}
		seen[name] = true
		out.Headers = append(out.Headers, h)
	}
	if s.Suffix != "" || s.Query != "" {
		if allowed.Path && consistsOf(s.Suffix, "/-._~") && consistsOf(s.Query, "-._~=&%+") && !strings.Contains("/"+s.Suffix+"/", "/../") &&
			!strings.Contains("/"+s.Suffix+"/", "/./") && len(s.Suffix)+len(s.Query) <= MaxPathBytes {
			out.Suffix, out.Query = s.Suffix, s.Query
		} else {
			violated[RulePath] = true
		}
	}
	if s.HasBody {
		if allowed.Body && len(s.Body) <= MaxBodyBytes {
			out.Body, out.HasBody = s.Body, true
		} else {
			violated[RuleBody] = true
		}
	}
	for _, r := range []Rule{RuleHeader, RulePath, RuleBody} {
		if violated[r] {
			corrections = append(corrections, r)
		}
	}
	return out, corrections
}

// isToken reports whether s is a valid header name (RFC 9110, section 5.6.2) of allowed length.
func isToken(s string) bool {
	if s == "" || len(s) > MaxHeaderNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if !isAlphanumeric(c) && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

// isHeaderValue reports whether s is a valid header value: printable ASCII of allowed length,
// without leading or trailing white space.
func isHeaderValue(s string) bool {
	if len(s) > MaxHeaderValueBytes || strings.TrimSpace(s) != s {
		return false
	}
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

func consistsOf(s, otherChars string) bool {
	for _, c := range []byte(s) {
		if !isAlphanumeric(c) && !strings.ContainsRune(otherChars, rune(c)) {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
