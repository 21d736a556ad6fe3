package daemon

import (
	"log/slog"
	"time"
)

// Steps are those of a start, in their order; a start that has nothing to do in one leaves it at
// next to nothing. The time until a courier is ready is their sum.
var Steps = []string{
	"files",     // configuration and operator files are read
	"plugins",   // their host is up
	"lock",      // this process owns the folder
	"address",   // the clients' addresses are bound: who connects now waits
	"journal",   // it is read
	"list",      // the list kept on disk is read
	"learnt",    // what was learnt of destinations is read
	"module",    // decision module and stores are up
	"listener",  // clients are heard
	"endpoints", // the list is taken up
	"restored",  // messages of the journal are taken up
	"ready",     // a PING is answered +PONG; without a list, the directory was waited for
}

// startTimer is the account of a start's steps.
type startTimer struct {
	startedAt, last time.Time
	durations       map[string]time.Duration
}

func newStartTimer(begun time.Time) *startTimer {
	return &startTimer{startedAt: begun, last: begun, durations: map[string]time.Duration{}}
}

// stepDone counts the time since the step before to this one.
func (s *startTimer) stepDone(step string, now time.Time) {
	s.durations[step] += now.Sub(s.last)
	s.last = now
}

// LogValue has the steps in their order, in milliseconds.
func (s *startTimer) LogValue() slog.Value {
	var out []slog.Attr
	for _, step := range Steps {
		out = append(out, slog.Float64(step, float64(s.durations[step].Microseconds())/1000))
	}
	return slog.GroupValue(out...)
}
