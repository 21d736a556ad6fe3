package listing

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

func newReader(got *[]string) *Reader {
	return &Reader{MaxBytes: 1 << 20, MaxEntries: 100, OnEntry: func(v *fastjson.Value) error {
		*got = append(*got, string(v.GetStringBytes("instanceId")))
		return nil
	}}
}

const validList = ` {"x" : {"deep":[1,{"y":"]}"}]}, "generation": 41, "reset":true ,"instances":[ {"instanceId":"a\"}]","n":[{}]},
	{"instanceId":"b"}] , "after":null}  `

// The result does not depend on the sizes of the pieces.
func TestPiecesOfAnySize(t *testing.T) {
	for size := 1; size <= len(validList); size++ {
		var got []string
		r := newReader(&got)
		for text := validList; text != ""; {
			n := min(size, len(text))
			require.NoError(t, r.Feed([]byte(text[:n])))
			text = text[n:]
		}
		require.NoError(t, r.End())
		assert.Equal(t, []string{`a"}]`, "b"}, got, "in pieces of %d", size)
		assert.Equal(t, [2]any{uint64(41), true}, [2]any{r.Generation, r.Complete})
		assert.Equal(t, 2, r.Entries)
	}
}

func TestInvalidLists(t *testing.T) {
	for text, want := range map[string]error{
		``:                                      ErrSyntax,
		`[]`:                                    ErrSyntax,
		`{"generation":1`:                       ErrSyntax,
		`{"generation":1}x`:                     ErrSyntax,
		`{"generation":1,}`:                     ErrSyntax,
		`{"generation":-1}`:                     ErrSyntax,
		`{"generation":"1"}`:                    ErrSyntax,
		`{"reset":true}`:                        ErrNoGeneration,
		`{"generation":1,"instances":{}}`:       ErrSyntax,
		`{"generation":1,"instances":[5]}`:      ErrSyntax,
		`{"generation":1,"instances":[{},]}`:    ErrSyntax,
		`{"generation":1,"instances":[{}{}]}`:   ErrSyntax,
		`{"generation":1,"instances":[{"a":}]}`: ErrSyntax,
		`{"generation":1,"instances":[],"instances":[]}`:             ErrSyntax,
		`{"generation":1,"x":` + strings.Repeat("[", 40):             ErrSyntax,
		`{"generation":1,"x":"` + strings.Repeat("x", 20<<10):        ErrTooBig,
		`{"` + strings.Repeat("k", 300) + `":1}`:                     ErrTooBig,
		`{"generation":1,"instances":[` + strings.Repeat("{},", 101): ErrTooBig,
		strings.Repeat(" ", 1<<20+1):                                 ErrTooBig,
	} {
		var got []string
		r := newReader(&got)
		err := r.Feed([]byte(text))
		if err == nil {
			err = r.End()
		}
		assert.ErrorIs(t, err, want, "%.60s", text)
		assert.ErrorIs(t, r.Feed([]byte("{}")), want, "the error is permanent")
	}
}

// An invalid number of partitions is not a parse error: the caller checks it.
func TestPartitions(t *testing.T) {
	for text, want := range map[string]int{"": 0, `,"partitions":16384`: 16384, `,"partitions":"7"`: -1, `,"partitions":0`: -1, `,"partitions":-7`: -1, `,"partitions":null`: -1} {
		r := newReader(&[]string{})
		require.NoError(t, r.Feed([]byte(`{"generation":1`+text+`,"instances":[]}`)))
		require.NoError(t, r.End())
		assert.Equal(t, want, r.TotalPartitions, text)
	}
}

// An error of Entry is returned with the index of the instance.
func TestEntryErrorNamesIndex(t *testing.T) {
	r := &Reader{MaxBytes: 1000, MaxEntries: 9, OnEntry: func(v *fastjson.Value) error {
		if !v.Exists("cell") {
			return errors.New("no cell")
		}
		return nil
	}}
	assert.EqualError(t, r.Feed([]byte(`{"generation":1,"instances":[{"cell":1},{}]}`)), "instances[1]: no cell")
}

// For any input, the reader does not panic, buffers at most one entry, and accepts only valid JSON.
func FuzzReader(f *testing.F) {
	f.Add([]byte(validList), 3)
	f.Add([]byte(`{"generation":1,"instances":[{"a":"\u00e9\\"}],"reset":false}`), 1)
	f.Add([]byte(`{"generation":1,"instances":null}`), 7)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(size, 1)
		n := 0
		r := &Reader{MaxBytes: 1 << 16, MaxEntries: 64, OnEntry: func(*fastjson.Value) error { n++; return nil }}
		for rest := text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			if r.Feed(rest[:min(size, len(rest))]) != nil {
				break
			}
			if len(r.buf) > maxValueBytes {
				t.Fatalf("%d bytes buffered", len(r.buf))
			}
		}
		if r.End() == nil {
			if err := fastjson.ValidateBytes(text); err != nil {
				t.Fatalf("accepted, but %v", err)
			}
			if n != r.Entries {
				t.Fatalf("%d entries passed to Entry, %d counted", n, r.Entries)
			}
		}
	})
}

func BenchmarkReader(b *testing.B) {
	var text strings.Builder
	text.WriteString(`{"generation":1,"reset":true,"instances":[`)
	for i := range 1000 {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"instanceId":"s-%d","hostPort":"127.0.0.1:%d","zone":"a","machineType":"k","cell":%d,"lifecycle":"Ready","weight":1,"startedAtMs":0}`, i, i+1, i)
	}
	text.WriteString(`]}`)
	all := []byte(text.String())
	b.SetBytes(int64(len(all)))
	b.ReportAllocs()
	for b.Loop() {
		r := &Reader{MaxBytes: 1 << 30, MaxEntries: 1 << 30, OnEntry: func(*fastjson.Value) error { return nil }}
		if err := errors.Join(r.Feed(all), r.End()); err != nil {
			b.Fatal(err)
		}
	}
}
