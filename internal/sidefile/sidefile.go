// Package sidefile writes side files next to the journal: state that is worth keeping but must not
// delay anything. Writes run on a goroutine of their own, into numbered files in the state folder.
package sidefile

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Writer performs writes one after another in the background.
type Writer[T any] struct {
	// Merge combines a value that waits for the current write to end with a newer one.
	Merge func(pending, next T) T
	// Write writes a value. It is called from one goroutine at a time.
	Write   func(T) error
	Log     *slog.Logger
	Subject string // subject of the log lines when writes start to fail ("... is not kept") and when they succeed again

	mu      sync.Mutex
	pending []T // at most one value
	busy    bool
	closed  bool
	failing bool
	failed  uint64
	done    chan struct{}
}

// Put schedules x to be written. It does not block; after Close it does nothing.
func (w *Writer[T]) Put(x T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if len(w.pending) > 0 {
		w.pending[0] = w.Merge(w.pending[0], x)
	} else {
		w.pending = append(w.pending, x)
	}
	if !w.busy {
		w.busy, w.done = true, make(chan struct{})
		go w.drain(w.done)
	}
}

func (w *Writer[T]) drain(done chan struct{}) {
	defer close(done)
	for {
		w.mu.Lock()
		if len(w.pending) == 0 {
			w.busy = false
			w.mu.Unlock()
			return
		}
		x := w.pending[0]
		w.pending = nil
		w.mu.Unlock()
		err := w.Write(x)
		w.mu.Lock()
		wasFailing := w.failing
		if w.failing = err != nil; err != nil {
			w.failed++
		}
		w.mu.Unlock()
		switch {
		case err != nil && !wasFailing:
			w.Log.Warn(w.Subject+" is not kept", "err", err)
		case err == nil && wasFailing:
			w.Log.Info(w.Subject + " is kept again")
		}
	}
}

// Failed returns the number of failed writes.
func (w *Writer[T]) Failed() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// Close waits until all values that were put are written.
func (w *Writer[T]) Close() {
	w.mu.Lock()
	w.closed = true
	busy, done := w.busy, w.done
	w.mu.Unlock()
	if busy {
		<-done
	}
}

// BlockSize is the unit, in bytes, to which file sizes are rounded up.
const BlockSize = 512

const numberDigits = 12

// Path returns the path of the file with this number.
func Path(dir, prefix string, no uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%0*d", prefix, numberDigits, no))
}

// Number returns the number of a file, or zero if path is not a numbered file with this prefix.
func Number(path, prefix string) uint64 {
	text, ok := strings.CutPrefix(filepath.Base(path), prefix)
	no, err := strconv.ParseUint(text, 10, 64)
	if !ok || err != nil || len(text) != numberDigits {
		return 0
	}
	return no
}

// Files returns the numbered files with this prefix in a folder, oldest first.
func Files(dir, prefix string) (out []string, err error) {
	found, err := filepath.Glob(filepath.Join(dir, prefix+"*"))
	for _, path := range found {
		if Number(path, prefix) > 0 {
			out = append(out, path)
		}
	}
	slices.Sort(out)
	return out, err
}
