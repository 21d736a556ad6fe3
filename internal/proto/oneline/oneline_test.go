package oneline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCalls(t *testing.T) {
	long := strings.Repeat("x", MaxLineBytes)
	for in, want := range map[string]struct {
		call Call
		err  error
	}{
		"readyz\n":            {call: Call{Command: "readyz"}},
		"exclude s-1\r\nmore": {call: Call{"exclude", "s-1"}},
		" readyz \n":          {call: Call{Command: "readyz"}},
		long + "\r\n":         {call: Call{Command: long}},
		"\n":                  {err: ErrEmpty},
		"a b c\n":             {err: ErrTooManyWords},
		"re\x00dyz\n":         {err: ErrNotPrintable},
		long + "x\n":          {err: ErrTooLong},
		long + long:           {err: ErrTooLong},
	} {
		for _, step := range []int{1, 3, len(in)} { // received in pieces of different sizes
			var p Parser
			var got Call
			var ok bool
			var err error
			for at := 0; at < len(in) && !ok && err == nil; at += step {
				got, ok, err = p.Feed([]byte(in[at:min(at+step, len(in))]))
			}
			assert.Equal(t, want.err, err, "%.20q in %d", in, step)
			assert.Equal(t, want.call, got, "%.20q in %d", in, step)
		}
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte("exclude s-1\r\n"), 3)
	f.Fuzz(func(t *testing.T, b []byte, step int) {
		var p Parser
		for step = max(1, step); len(b) > 0; b = b[min(step, len(b)):] {
			c, ok, err := p.Feed(b[:min(step, len(b))])
			if len(p.buf) > 2*MaxLineBytes || ok && (err != nil || c.Command == "") || len(c.Command) > MaxLineBytes {
				t.Fatal(c, ok, err)
			}
		}
	})
}
