// Package measure runs the courier in its own process against stand-in partners in other
// processes and reports its costs: memory, CPU, latency and traffic. The runs take minutes and are
// not tests.
package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"snowjunction/internal/latency"
)

// describeMachine describes the machine on which the figures were measured.
func describeMachine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

// writeFigures writes figures to a file as JSON. An empty path means no file.
func writeFigures(path string, figures any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// newLatencyHistogram returns a histogram of durations up to a minute, with three significant
// digits.
func newLatencyHistogram() *latency.Histogram { return latency.New(time.Minute, 3) }
