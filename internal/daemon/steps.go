package daemon

import (
	"log/slog"
	"time"
)

// StartSteps are the steps of a start, in order. A step without work takes almost no time. Their sum is
// the time until a courier is ready.
var StartSteps = []string{
	"files",     // read the configuration and operator files
	"plugins",   // start the plug-ins' host
	"lock",      // become the folder's owner
	"address",   // bind the clients' addresses: new connections are queued from now on
	"journal",   // load the journal
	"list",      // read the list from disk
	"learnt",    // read the learned state of destinations
	"module",    // start the decision module and the stores
	"listener",  // accept clients
	"endpoints", // load the list into the module
	"restored",  // restore the messages of the journal
	"ready",     // a PING is answered with +PONG; without a list, this includes waiting for the directory
}

// startTimer measures the steps of a start.
type startTimer struct {
	startedAt, last time.Time
	durations       map[string]time.Duration
}

func newStartTimer(begun time.Time) *startTimer {
	return &startTimer{startedAt: begun, last: begun, durations: map[string]time.Duration{}}
}

// stepDone adds the time since the previous step to this one.
func (s *startTimer) stepDone(step string, now time.Time) {
	s.durations[step] += now.Sub(s.last)
	s.last = now
}

// LogValue returns the steps in order, in milliseconds.
func (s *startTimer) LogValue() slog.Value {
	var out []slog.Attr
	for _, step := range StartSteps {
		out = append(out, slog.Float64(step, float64(s.durations[step].Microseconds())/1000))
	}
	return slog.GroupValue(out...)
}
