//go:build wasip1

// Command hints is an example of a plug-in in Go, compiled to WebAssembly:
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o hints.wasm .
//
// It reads the retry-after delay from the body of a partner's response, for example
// {"busy":true,"free_in":"1500ms"}, and counts how often it found one.
package main

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
	"unsafe"
)

// call is the buffer that the host writes a call to. answer is the result, valid until the next call.
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
	var response struct {
		FreeIn string `json:"free_in"`
	}
	if json.Unmarshal(call[:size], &c) != nil || c.Status != 503 || json.Unmarshal(c.Answer, &response) != nil {
		return 0
	}
	wait, err := time.ParseDuration(strings.TrimSpace(response.FreeIn))
	if err != nil {
		return 0
	}
	count()
	answer, _ = json.Marshal(map[string]int64{"wait_ms": wait.Milliseconds()})
	return int64(uintptr(unsafe.Pointer(&answer[0])))<<32 | int64(len(answer))
}

func count() {
	key, buffer := []byte("hints"), make([]byte, 20)
	n := 0
	if size := recall(unsafe.Pointer(&key[0]), int32(len(key)), unsafe.Pointer(&buffer[0]), int32(len(buffer))); size > 0 {
		n, _ = strconv.Atoi(string(buffer[:size]))
	}
	value := []byte(strconv.Itoa(n + 1))
	keep(unsafe.Pointer(&key[0]), int32(len(key)), unsafe.Pointer(&value[0]), int32(len(value)))
}

func main() {}
