package listing

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"snowjunction/internal/gauge"
)

// BenchmarkReadLongList measures the CPU time per entry of a long list.
func BenchmarkReadLongList(b *testing.B) {
	const n = 100_000
	var text strings.Builder
	text.WriteString(`{"generation":1,"reset":true,"instances":[`)
	for i := range n {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"instanceId":"s-%08x","hostPort":"10.1.%d.%d:6379","zone":"a","machineType":"m2","cell":%d,"lifecycle":"Ready","weight":1,"startedAtMs":0}`, i, i>>8&255, i&255, i/2)
	}
	text.WriteString(`]}`)
	all := []byte(text.String())
	gauge.CPUPerItem(b, n, "entry", func() {
		r := &Reader{MaxBytes: 1 << 30, MaxEntries: 1 << 30, OnEntry: func(*fastjson.Value) error { return nil }}
		if err := errors.Join(r.Feed(all), r.End()); err != nil {
			b.Fatal(err)
		}
	})
}
