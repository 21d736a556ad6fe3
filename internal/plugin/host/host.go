// Package host is the process in which one plug-in runs, and what passes between
// it and the courier: frames, each a length of four bytes, big-endian, and JSON.
//
// The first frame names the plug-in, with its code and what it remembers; the
// host answers once it is ready. Then each call gets one answer, in order.
package host

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"

	"snowjunction/internal/plugin/engine"
	"snowjunction/internal/plugin/manifest"
)

// Hello is the first frame.
type Hello struct {
	Manifest *manifest.Manifest `json:"manifest"`
	Code     []byte             `json:"code"`
	Memory   map[string]string  `json:"memory,omitempty"`
	Within   time.Duration      `json:"within"` // it may take so long to be ready
}

// Call is a call's frame.
type Call struct {
	ID   uint64          `json:"id"`
	Hook manifest.Hook   `json:"hook"`
	Call json.RawMessage `json:"call"`

	Within time.Duration `json:"within"` // it may take so long: mostly the plug-in's budget

	// With Recall, Memory takes the place of what the plug-in remembers.
	Recall bool              `json:"recall,omitempty"`
	Memory map[string]string `json:"memory,omitempty"`
}

// Answer is the answer's frame; that to Hello has the ID 0.
type Answer struct {
	ID      uint64            `json:"id"`
	Hook    manifest.Hook     `json:"hook,omitempty"` // of the call
	Out     json.RawMessage   `json:"out,omitempty"`
	Error   string            `json:"error,omitempty"`
	Reason  string            `json:"reason,omitempty"` // time, steps, trap or form
	Changes map[string]string `json:"changes,omitempty"`
	Log     []string          `json:"log,omitempty"`
}

// FrameMost bounds a frame: a module's code has to go into one.
const FrameMost = 32 << 20

// ErrFrame tells of a frame that cannot be read.
var ErrFrame = errors.New("not a frame")

// Write writes a frame.
func Write(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > FrameMost {
		return fmt.Errorf("%w: over %d bytes", ErrFrame, FrameMost)
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...))
	return err
}

// Read reads a frame of at most so many bytes.
func Read(r io.Reader, most int, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(most) {
		return fmt.Errorf("%w: %d bytes, at most %d are taken", ErrFrame, n, most)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return nil
}

// A call may have the heap grow by its budget's memory beyond heapOwn; that is
// looked at every watchEvery. What is allocated faster meets the system's bound, which
// has to leave room for what only counts there, such as 8 MB of stack a thread.
const (
	heapOwn    = 48 << 20
	systemOwn  = 256 << 20
	watchEvery = 2 * time.Millisecond
)

// logMost bounds the lines that one call may log.
const logMost = 4

// talker is what the plug-in's code reaches.
type talker struct {
	*engine.Memory
	log []string
}

func (t *talker) Log(text string) {
	if len(t.log) < logMost {
		t.log = append(t.log, text[:min(len(text), engine.ValueMost)])
	}
}

// Serve is the host process: it ends when in does.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReader(in)
	var hello Hello
	if err := Read(r, FrameMost, &hello); err != nil {
		return err
	}
	m := hello.Manifest
	if m == nil {
		return fmt.Errorf("%w: no manifest", ErrFrame)
	}
	m.Text = hello.Code
	confine(m.Budget.MemoryMB)
	t := &talker{Memory: engine.NewMemory(hello.Memory)}
	e, err := engine.Open(m, t, hello.Within)
	if err != nil {
		return Write(out, Answer{Error: err.Error()})
	}
	defer e.Close()
	if err := Write(out, Answer{Log: t.log}); err != nil {
		return err
	}
	for {
		var c Call
		if err := Read(r, FrameMost, &c); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		t.log = nil
		if c.Recall {
			t.Memory = engine.NewMemory(c.Memory)
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.Within)
		watch := watchHeap(uint64(m.Budget.MemoryMB)<<20 + heapOwn)
		text, err := e.Call(ctx, c.Hook, c.Call)
		watch.Stop()
		cancel()
		a := Answer{ID: c.ID, Hook: c.Hook, Out: text, Changes: t.Changes(), Log: t.log}
		if err == nil && !json.Valid(text) {
			err = engine.ErrForm
		}
		if err != nil {
			a.Out, a.Error, a.Reason = nil, err.Error(), reason(err)
		}
		if err := Write(out, a); err != nil {
			return err
		}
	}
}

func reason(err error) string {
	for name, of := range map[string]error{"time": engine.ErrTime, "steps": engine.ErrSteps, "form": engine.ErrForm} {
		if errors.Is(err, of) {
			return name
		}
	}
	return "trap"
}

// rlimitData bounds the private memory that a process may write to (Linux).
const rlimitData = 2

// confine bounds the process's memory, files and priority. What the system does
// not allow is left: the courier ends a host that runs over its time anyway.
func confine(memoryMB int) {
	most := uint64(memoryMB)<<20 + systemOwn + mapped()
	runtime.GOMAXPROCS(2) // one to look at the heap
	debug.SetMemoryLimit(int64(memoryMB)<<20 + heapOwn)
	_ = syscall.Setrlimit(rlimitData, &syscall.Rlimit{Cur: most, Max: most})
	_ = syscall.Setrlimit(syscall.RLIMIT_CORE, &syscall.Rlimit{})
	_ = syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{})
	_ = syscall.Setpriority(syscall.PRIO_PROCESS, 0, 10)
}

// mapped is the private memory that the process may write to already (Linux): the
// system's bound counts it, and a race detector maps a lot.
func mapped() uint64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 6 {
		return 0
	}
	pages, _ := strconv.ParseUint(f[5], 10, 64)
	return pages * uint64(os.Getpagesize())
}

// watchHeap ends the process where a call has the heap grow too much, until the
// timer is stopped. Calls are mostly over before it looks.
func watchHeap(most uint64) *time.Timer {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	var t *time.Timer
	t = time.AfterFunc(watchEvery, func() {
		if metrics.Read(heap); heap[0].Value.Uint64() > most {
			os.Exit(exitMemory)
		}
		t.Reset(watchEvery)
	})
	return t
}

// exitMemory is the exit code of a host whose plug-in took too much memory.
const exitMemory = 9
