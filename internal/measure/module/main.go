//go:build wasip1

// Command module is a WebAssembly plug-in that serves every hook with little work, to measure the
// cost of a call.
package main

import (
	"encoding/json"
	"strconv"
	"unsafe"
)

var call, answer []byte

//go:wasmexport alloc
func alloc(size int32) int32 {
	call = make([]byte, max(size, 1))
	return int32(uintptr(unsafe.Pointer(&call[0])))
}

func reply(v any) int64 {
	answer, _ = json.Marshal(v)
	return int64(uintptr(unsafe.Pointer(&answer[0])))<<32 | int64(len(answer))
}

type flow struct {
	ID      string            `json:"id"`
	Headers map[string]string `json:"headers"`
}

func read(size int32) (f flow) {
	_ = json.Unmarshal(call[:size], &f)
	return f
}

//go:wasmexport call_admit
func callAdmit(_, size int32) int64 {
	read(size)
	return 0
}

//go:wasmexport call_shape
func callShape(_, size int32) int64 {
	return reply(map[string]any{"headers": map[string]string{"X-Seen": read(size).ID}})
}

//go:wasmexport call_read
func callRead(_, size int32) int64 {
	seconds, err := strconv.Atoi(read(size).Headers["retry-later"])
	if err != nil {
		return 0
	}
	return reply(map[string]int{"wait_ms": seconds * 1000})
}

//go:wasmexport call_ended
func callEnded(_, size int32) int64 {
	read(size)
	return 0
}

func main() {}
