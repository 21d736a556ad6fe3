package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"snowjunction"
	"snowjunction/internal/core"
)

func TestResult(t *testing.T) {
	columns := []string{"x0", "x1"}
	for _, tc := range []struct {
		status  int
		headers map[string]string
		want    core.Result
	}{
		{200, nil, core.Result{Outcome: snowjunction.OK}},
		{200, map[string]string{HeaderServerLoad: "x1=25, x0=0.4"}, core.Result{Report: []float64{0.4, 25}}},
		{200, map[string]string{HeaderServerLoad: "x0=0.4"}, core.Result{}},
		{200, map[string]string{HeaderServerLoad: "x0=0.4,x1=NaN"}, core.Result{}},
		{200, map[string]string{HeaderServerLoad: "rubbish"}, core.Result{}},
		{429, nil, core.Result{Outcome: snowjunction.Rejected}},
		{429, map[string]string{HeaderRateLimitWait: "250"}, core.Result{Outcome: snowjunction.Rejected, RetryAfter: 250 * time.Millisecond}},
		{429, map[string]string{HeaderRateLimitWait: "-1"}, core.Result{Outcome: snowjunction.Rejected}},
		{429, map[string]string{HeaderRateLimitWait: "1e300"}, core.Result{Outcome: snowjunction.Rejected}},
		{503, nil, core.Result{Outcome: snowjunction.Rejected}},
		{503, map[string]string{HeaderOverSlots: "1"}, core.Result{Outcome: snowjunction.NotSent}},
		{504, nil, core.Result{Outcome: snowjunction.NotSent}},
		{410, nil, core.Result{Outcome: snowjunction.NotSent, Unwanted: true}},
		{500, nil, core.Result{Outcome: snowjunction.Error}},
		{418, nil, core.Result{Outcome: snowjunction.Error}},
	} {
		got := ResultFromAnswer(tc.status, func(name string) string { return tc.headers[name] }, columns)
		assert.Equal(t, tc.want, got, "%d %v", tc.status, tc.headers)
	}
}
