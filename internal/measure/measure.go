// Package measure runs the courier in a process of its own against stand-in
// partners in others and reports what it costs. Its runs take minutes and are no
// tests.
package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// machine tells where the figures come from.
func machine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

// save writes figures as JSON; path "": nowhere.
func save(path string, figures any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// times are durations between a microsecond and a minute, to three digits.
type times struct{ *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(1, time.Minute.Microseconds(), 3)} }

func (t times) add(d time.Duration) {
	_ = t.RecordValue(min(max(d.Microseconds(), 1), t.HighestTrackableValue()))
}

// us is the percentile in microseconds.
func (t times) us(percentile float64) float64 { return float64(t.ValueAtQuantile(percentile)) }
