package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// outcome returns what the parser makes of the stream: its responses, and the error that ends them or the
// state in which they stop.
func outcome(p *Parser, stream string) string {
	out := ""
	p.Feed([]byte(stream))
	for {
		r, err := p.Next()
		if err != nil {
			return out + err.Error()
		}
		if r == nil {
			return out + fmt.Sprint(p.HasPartialResponse(), p.Status(), p.End() != nil)
		}
		out += fmt.Sprintf("%d %v %q\n", r.Status, r.Close, r.Body)
		r.EachHeader(func(name, value string) {
			if !strings.EqualFold(name, "Content-Length") { // of a body that is discarded only the rest is announced
				out += fmt.Sprintf("%q %q\n", name, value)
			}
		})
	}
}

// resume parses a part of a stream, and the rest with a new parser that is given what the first one kept.
func resume(stream string, split int, discard bool) (whole, resumed string, kept int) {
	newParser := func() *Parser { return &Parser{MaxBodyBytes: 1000, DiscardBody: discard} }
	whole = outcome(newParser(), stream)
	first := newParser()
	first.Feed([]byte(stream[:split]))
	for {
		r, err := first.Next()
		if err != nil {
			return whole, whole, 0 // there is nothing to resume
		}
		if r == nil {
			break
		}
		stream, split = stream[consumed(stream):], split-consumed(stream)
		whole = outcome(newParser(), stream)
	}
	unparsed := first.Unparsed()
	return whole, outcome(newParser(), string(unparsed)+stream[split:]), len(unparsed)
}

// consumed returns how many bytes of a stream its first response takes.
func consumed(stream string) int {
	p := Parser{MaxBodyBytes: 1000}
	for i := range stream {
		p.Feed([]byte{stream[i]})
		if r, _ := p.Next(); r != nil {
			return i + 1
		}
	}
	return len(stream)
}

// A call that is handed over within its answer gets the same answer as one that is not, from wherever the
// answer is split.
func TestUnparsedRestoresParser(t *testing.T) {
	for _, stream := range []string{
		threeResponses,
		"HTTP/1.1 200 OK\r\nContent-Length:3\r\n\r\nabc",
		"HTTP/1.0 503 Busy\r\nA:\r\n\r\nuntil the end",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\ncontent-length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n10;x\r\n0123456789abcdef\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab",
		"HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n",
	} {
		for split := range len(stream) + 1 {
			for _, discard := range []bool{false, true} {
				whole, resumed, _ := resume(stream, split, discard)
				require.Equal(t, whole, resumed, "%q, split at %d, discard %v", stream, split, discard)
			}
		}
	}
}

// Interim responses that have ended, chunk extensions and trailers are not kept, and neither is a body that is
// discarded.
func TestUnparsedSize(t *testing.T) {
	padding := strings.Repeat("x", 500)
	body := "Transfer-Encoding: chunked\r\n\r\n1f4\r\n" + padding + "\r\n"
	for stream, most := range map[string]int{
		strings.Repeat("HTTP/1.1 102 Processing\r\nA: "+padding+"\r\n\r\n", 3):                                  0,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+padding+"\r\na\r\n", 20):  100,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: "+padding+"\r\n", 20): 100,
		"HTTP/1.1 200 OK\r\nA: " + padding + "\r\nContent-Length: 600\r\n\r\n" + padding:                        1100,
		"HTTP/1.1 200 OK\r\n" + body + strings.Repeat("1\r\na\r\n", 100):                                        700,
	} {
		_, _, kept := resume(stream, len(stream), false)
		assert.LessOrEqual(t, kept, most, "%.80q", stream)
	}
	_, _, kept := resume("HTTP/1.1 200 OK\r\n"+body, len("HTTP/1.1 200 OK\r\n"+body), true)
	assert.LessOrEqual(t, kept, 100)
}

func FuzzUnparsed(f *testing.F) {
	f.Add(threeResponses, 100, false)
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 60, true)
	f.Fuzz(func(t *testing.T, stream string, split int, discard bool) {
		split = min(max(split, 0), len(stream))
		if whole, resumed, _ := resume(stream, split, discard); whole != resumed {
			t.Fatalf("%q split at %d, discard %v:\n%s\nin place of\n%s", stream, split, discard, resumed, whole)
		}
	})
}
