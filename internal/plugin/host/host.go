// Package host implements the host process, which runs one plug-in, and the protocol
// between it and the courier. The protocol consists of frames: a length of four
// bytes, big-endian, followed by JSON.
//
// The first frame contains the manifest of the plug-in, its code and its stored
// values. The host answers once the plug-in is loaded. It then answers each call
// with one frame, in order.
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

// Hello is the first frame from the courier to the host.
type Hello struct {
	Manifest     *manifest.Manifest `json:"manifest"`
	Code         []byte             `json:"code"`
	Memory       map[string]string  `json:"memory,omitempty"`
	StartTimeout time.Duration      `json:"within"` // time limit for loading the plug-in
}

// Call is the frame of a call.
type Call struct {
	ID    uint64          `json:"id"`
	Hook  manifest.Hook   `json:"hook"`
	Input json.RawMessage `json:"call"`

	TimeLimit time.Duration `json:"within"` // time limit of the call: usually the plug-in's budget

	// If ReplaceMemory is set, Memory replaces the stored values of the plug-in.
	ReplaceMemory bool              `json:"recall,omitempty"`
	Memory        map[string]string `json:"memory,omitempty"`
}

// Answer is the frame that answers a Call or, with the ID 0, Hello.
type Answer struct {
	ID      uint64            `json:"id"`
	Hook    manifest.Hook     `json:"hook,omitempty"` // of the call
	Output  json.RawMessage   `json:"out,omitempty"`
	Error   string            `json:"error,omitempty"`
	Reason  string            `json:"reason,omitempty"` // time, steps, trap or form
	Changes map[string]string `json:"changes,omitempty"`
	Log     []string          `json:"log,omitempty"`
}

// MaxFrameBytes limits the size of a frame in bytes. The code of a module must fit into one frame.
const MaxFrameBytes = 32 << 20

// ErrFrame is the error of a frame that is too long or cannot be decoded.
var ErrFrame = errors.New("invalid frame")

// Write writes a frame.
func Write(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > MaxFrameBytes {
		return fmt.Errorf("%w: over %d bytes", ErrFrame, MaxFrameBytes)
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...))
	return err
}

// Read reads a frame of at most maxBytes bytes into v.
func Read(r io.Reader, maxBytes int, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(maxBytes) {
		return fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrFrame, n, maxBytes)
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

// During a call the heap may grow to the plug-in's memory budget plus hostHeapBytes, which is
// checked every heapCheckInterval. Faster allocations are stopped by the operating system's limit.
// That limit has to leave room for memory that only it counts, such as 8 MB of stack per thread.
const (
	hostHeapBytes      = 48 << 20
	systemReserveBytes = 256 << 20
	heapCheckInterval  = 2 * time.Millisecond
)

// maxLogLines limits the lines that one call may log.
const maxLogLines = 4

// codeHost implements engine.Host for the code of the plug-in.
type codeHost struct {
	*engine.KeyValueStore
	log []string
}

// Log implements engine.Host. Lines beyond the limits are truncated or dropped.
func (t *codeHost) Log(text string) {
	if len(t.log) < maxLogLines {
		t.log = append(t.log, text[:min(len(text), engine.MaxValueBytes)])
	}
}

// Serve runs the host process. It returns when in ends.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReader(in)
	var hello Hello
	if err := Read(r, MaxFrameBytes, &hello); err != nil {
		return err
	}
	m := hello.Manifest
	if m == nil {
		return fmt.Errorf("%w: no manifest", ErrFrame)
	}
	m.Source = hello.Code
	limitResources(m.Budget.MemoryMB)
	t := &codeHost{KeyValueStore: engine.NewKeyValueStore(hello.Memory)}
	e, err := engine.Open(m, t, hello.StartTimeout)
	if err != nil {
		return Write(out, Answer{Error: err.Error()})
	}
	defer e.Close()
	if err := Write(out, Answer{Log: t.log}); err != nil {
		return err
	}
	for {
		var c Call
		if err := Read(r, MaxFrameBytes, &c); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		t.log = nil
		if c.ReplaceMemory {
			t.KeyValueStore = engine.NewKeyValueStore(c.Memory)
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.TimeLimit)
		watch := watchHeap(uint64(m.Budget.MemoryMB)<<20 + hostHeapBytes)
		text, err := e.Call(ctx, c.Hook, c.Input)
		watch.Stop()
		cancel()
		a := Answer{ID: c.ID, Hook: c.Hook, Output: text, Changes: t.Changes(), Log: t.log}
		if err == nil && !json.Valid(text) {
			err = engine.ErrInvalidAnswer
		}
		if err != nil {
			a.Output, a.Error, a.Reason = nil, err.Error(), reasonCode(err)
		}
		if err := Write(out, a); err != nil {
			return err
		}
	}
}

// reasonCode returns the value of Answer.Reason for an error of a call.
func reasonCode(err error) string {
	for name, target := range map[string]error{"time": engine.ErrTimeLimit, "steps": engine.ErrStepLimit, "form": engine.ErrInvalidAnswer} {
		if errors.Is(err, target) {
			return name
		}
	}
	return "trap"
}

// rlimitData is RLIMIT_DATA of Linux: the limit of the private writable memory of a process.
const rlimitData = 2

// limitResources limits the memory and file sizes of the process and lowers its priority. Limits that
// the system does not allow are skipped: the courier kills a host that exceeds its time limit anyway.
func limitResources(memoryMB int) {
	limit := uint64(memoryMB)<<20 + systemReserveBytes + privateMappedBytes()
	runtime.GOMAXPROCS(2) // the second thread checks the heap
	debug.SetMemoryLimit(int64(memoryMB)<<20 + hostHeapBytes)
	_ = syscall.Setrlimit(rlimitData, &syscall.Rlimit{Cur: limit, Max: limit})
	_ = syscall.Setrlimit(syscall.RLIMIT_CORE, &syscall.Rlimit{})
	_ = syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{})
	_ = syscall.Setpriority(syscall.PRIO_PROCESS, 0, 10)
}

// privateMappedBytes returns the size of the private writable memory that is already mapped (Linux).
// The system's limit includes it, and the race detector maps a large amount.
func privateMappedBytes() uint64 {
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

// watchHeap exits the process if the heap exceeds maxBytes. It checks until the returned timer
// is stopped. Most calls end before the first check.
func watchHeap(maxBytes uint64) *time.Timer {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	var t *time.Timer
	t = time.AfterFunc(heapCheckInterval, func() {
		if metrics.Read(heap); heap[0].Value.Uint64() > maxBytes {
			os.Exit(exitMemoryLimit)
		}
		t.Reset(heapCheckInterval)
	})
	return t
}

// exitMemoryLimit is the exit code of a host whose plug-in exceeded its memory budget.
const exitMemoryLimit = 9
