//go:build wasip1

// A plug-in in Go, compiled to WebAssembly:
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o hints.wasm .
//
// It reads the wait that a partner tells in its answer's body, as in
// {"busy":true,"free_in":"1500ms"}, and counts how often it has.
package main

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
	"unsafe"
)

// Memory that the host writes calls to, and answers lie in, until the next call.
var call, answer []byte

//go:wasmexport alloc
func alloc(size int32) int32 {
	call = make([]byte, max(size, 1))
	return int32(uintptr(unsafe.Pointer(&call[0])))
}

//go:wasmimport snowjunction recall
func recall(key unsafe.Pointer, keySize int32, to unsafe.Pointer, most int32) int32

//go:wasmimport snowjunction keep
func keep(key unsafe.Pointer, keySize int32, value unsafe.Pointer, valueSize int32) int32

//go:wasmexport call_read
func callRead(_, size int32) int64 {
	var c struct {
		Status int    `json:"status"`
		Answer []byte `json:"answer"`
	}
	var said struct {
		FreeIn string `json:"free_in"`
	}
	if json.Unmarshal(call[:size], &c) != nil || c.Status != 503 || json.Unmarshal(c.Answer, &said) != nil {
		return 0
	}
	wait, err := time.ParseDuration(strings.TrimSpace(said.FreeIn))
	if err != nil {
		return 0
	}
	count()
	answer, _ = json.Marshal(map[string]int64{"wait_ms": wait.Milliseconds()})
	return int64(uintptr(unsafe.Pointer(&answer[0])))<<32 | int64(len(answer))
}

func count() {
	key, room := []byte("hints"), make([]byte, 20)
	n := 0
	if size := recall(unsafe.Pointer(&key[0]), int32(len(key)), unsafe.Pointer(&room[0]), int32(len(room))); size > 0 {
		n, _ = strconv.Atoi(string(room[:size]))
	}
	value := []byte(strconv.Itoa(n + 1))
	keep(unsafe.Pointer(&key[0]), int32(len(key)), unsafe.Pointer(&value[0]), int32(len(value)))
}

func main() {}
