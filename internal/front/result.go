// Package front holds what the fronts have in common: how a target's answer maps to a result.
package front

import (
	"strconv"
	"strings"
	"time"

	"snowjunction"
	"snowjunction/internal/core"
)

// The headers of a call and of its answer, in any case, and the path of a call.
const (
	HeaderRequestID      = "X-Request-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "X-Timeout-Ms"
	HeaderRateLimitWait  = "X-RateLimit-Wait-Ms"
	HeaderOverSlots      = "X-Over-Slots"
	HeaderServerLoad     = "X-Server-Load"
	InboxPath            = "/inbox"
)

// maxReportValue is the largest accepted value of a load report. It keeps calculations with these
// values finite.
const maxReportValue = 1e9

const maxRetryAfter = 24 * time.Hour // a longer retry-after delay is taken for a mistake

// ResultFromAnswer maps a target's answer to a result. Columns are the names of the values in its load
// report.
func ResultFromAnswer(status int, get func(string) string, columns []string) core.Result {
	result := core.Result{Report: parseReport(get(HeaderServerLoad), columns)}
	switch status {
	case 200:
		result.Outcome = snowjunction.OK
	case 429:
		result.Outcome = snowjunction.Rejected
		ms, err := strconv.ParseFloat(get(HeaderRateLimitWait), 64)
		if err == nil && ms > 0 && ms < float64(maxRetryAfter.Milliseconds()) {
			result.RetryAfter = time.Duration(ms * float64(time.Millisecond))
		}
	case 503:
		result.Outcome = snowjunction.Rejected
		if get(HeaderOverSlots) == "1" { // not sent: this courier's slots were taken
			result.Outcome = snowjunction.NotSent
		}
	case 504: // all attempts were made; the final result is still to be reported
		result.Outcome = snowjunction.NotSent
	case 410:
		result.Outcome, result.Unwanted = snowjunction.NotSent, true
	case 421: // RFC 9110, 15.5.20: the server is not responsible for this host
		result.Outcome, result.WrongEndpoint = snowjunction.Error, true
	default:
		result.Outcome = snowjunction.Error
	}
	return result
}

// parseReport parses a load report such as x0=0.4,x1=25. It returns nil unless the report has valid
// values for all columns.
func parseReport(text string, columns []string) []float64 {
	if text == "" || len(columns) == 0 {
		return nil
	}
	values := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxReportValue) {
			return nil
		}
		values[name] = v
	}
	out := make([]float64, len(columns))
	for i, name := range columns {
		v, ok := values[name]
		if !ok {
			return nil
		}
		out[i] = v
	}
	return out
}
