//go:build wasip1

// A misbehaving plug-in. The id of the call selects the kind of misbehaviour.
package main

import (
	"encoding/json"
	"strings"
	"unsafe"
)

var call, answer []byte
var allocated [][]byte

//go:wasmexport alloc
func alloc(size int32) int32 {
	call = make([]byte, max(size, 1))
	return int32(uintptr(unsafe.Pointer(&call[0])))
}

func deep(n int) int { return deep(n+1) + 1 }

//go:wasmexport call_read
func callRead(_, size int32) int64 {
	var c struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(call[:size], &c)
	word, _, _ := strings.Cut(c.ID, "-")
	switch word {
	case "loop":
		for i := 0; ; i++ {
			answer = append(answer[:0], byte(i))
		}
	case "panic":
		panic("at will")
	case "deep":
		return int64(deep(0))
	case "grow":
		for {
			allocated = append(allocated, make([]byte, 1<<20))
		}
	case "outside":
		return 0x7fffffff<<32 | 100
	case "huge":
		return 1<<32 | 0x7fffffff
	case "nonsense":
		answer = []byte("no json")
	default:
		answer = []byte(`{"outcome":"` + word + `"}`)
	}
	return int64(uintptr(unsafe.Pointer(&answer[0])))<<32 | int64(len(answer))
}

func main() {}
