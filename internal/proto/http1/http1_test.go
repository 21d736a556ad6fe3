package http1

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const threeResponses = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Server-Load: x0=1\r\n\r\nabc" +
	"HTTP/1.1 100 Continue\r\n\r\n" +
	"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nA: b\r\n\r\n" +
	"HTTP/1.1 204 No Content\r\n\r\n"

func TestResponsesInPiecesOfAnySize(t *testing.T) {
	for size := 1; size <= len(threeResponses); size++ {
		p := Parser{MaxBodyBytes: 10}
		var got []*Response
		for at := 0; at < len(threeResponses); at += size {
			p.Feed([]byte(threeResponses[at:min(at+size, len(threeResponses))]))
			for {
				r, err := p.Next()
				require.NoError(t, err)
				if r == nil {
					break
				}
				got = append(got, r)
			}
		}
		require.Len(t, got, 3)
		assert.Equal(t, "abc", string(got[0].Body))
		assert.Equal(t, "x0=1", got[0].Header("x-server-LOAD"))
		assert.Equal(t, "hello", string(got[1].Body))
		assert.True(t, got[1].Close)
		assert.Equal(t, 204, got[2].Status)
		assert.False(t, p.HasPartialResponse())
	}
}

func TestBodyUntilEndOfStream(t *testing.T) {
	p := Parser{MaxBodyBytes: 10}
	p.Feed([]byte("HTTP/1.0 200 OK\r\n\r\nabc"))
	r, err := p.Next()
	require.NoError(t, err)
	require.Nil(t, r)
	r = p.End()
	require.NotNil(t, r)
	assert.Equal(t, "abc", string(r.Body))
	assert.True(t, r.Close)
}

// The status counts once the status line is complete, even if the rest of the response is missing.
func TestStatusOfTruncatedResponse(t *testing.T) {
	for in, want := range map[string]int{
		"":                            0,
		"HTTP/1.1 20":                 0,
		"HTTP/1.1 200 OK":             0,
		"HTTP/1.1 200 OK\r\n":         200,
		"HTTP/1.1 100 Continue\r\n":   0,
		"HTTP/1.1 429 No\r\nA: b\r\n": 429,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab":          200,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent": 200,
	} {
		p := Parser{MaxBodyBytes: 10}
		p.Feed([]byte(in))
		_, err := p.Next()
		require.NoError(t, err, in)
		assert.Equal(t, want, p.Status(), in)
		assert.Nil(t, p.End(), "%s: the end of the stream does not complete it", in)
	}
}

func TestMalformed(t *testing.T) {
	for in, want := range map[string]error{
		"SSH-2.0":                                                          ErrSyntax,
		"HTTP/2 200 OK\r\n\r\n":                                            ErrSyntax,
		"HTTP/1.1 20 OK\r\n\r\n":                                           ErrSyntax,
		"HTTP/1.1 200 OK\r\nbad\r\n\r\n":                                   ErrSyntax,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n":                    ErrSyntax,
		"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n":                    ErrTooBig,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n":               ErrSyntax,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":      ErrSyntax,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n": ErrSyntax,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHeadBytes):       ErrTooBig,
	} {
		p := Parser{MaxBodyBytes: 10}
		p.Feed([]byte(in))
		_, err := p.Next()
		assert.ErrorIs(t, err, want, "%.60q", in)
	}
}

func TestRequest(t *testing.T) {
	assert.Equal(t, "POST /inbox HTTP/1.1\r\nHost: h\r\nA: b\r\nContent-Length: 2\r\n\r\nhi",
		string(Request("POST", "/inbox", "h", []byte("hi"), "A", "b")))
	assert.Equal(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", string(Request("GET", "/", "h", nil)))
}

func FuzzParser(f *testing.F) {
	f.Add([]byte(threeResponses), 5)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		size = max(1, size%512)
		p := Parser{MaxBodyBytes: 1000}
		for at := 0; at < len(b); at += size {
			p.Feed(b[at:min(at+size, len(b))])
			for {
				r, err := p.Next()
				if err != nil {
					return
				}
				if r == nil {
					break
				}
				if len(r.Body) > p.MaxBodyBytes {
					t.Fatalf("a body of %d bytes", len(r.Body))
				}
			}
			if len(p.buf) > maxHeadBytes+1024 {
				t.Fatalf("%d bytes kept", len(p.buf))
			}
		}
	})
}

// Bodies of status 200 are passed to the sink as they arrive, with or without a content length, and
// may exceed the limit. The limit applies to all other responses.
func TestSink(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, head := range []string{"Content-Length: 300\r\n\r\n" + long, "Transfer-Encoding: chunked\r\n\r\n12c\r\n" + long + "\r\n0\r\n\r\n"} {
		var got []byte
		p := Parser{MaxBodyBytes: 100, Sink: func(b []byte) error {
			got = append(got, b...)
			return nil
		}}
		for _, c := range []byte("HTTP/1.1 200 OK\r\n" + head) {
			p.Feed([]byte{c})
			r, err := p.Next()
			require.NoError(t, err)
			if r != nil {
				assert.Empty(t, r.Body)
				assert.Equal(t, long, string(got))
				got = nil
			}
		}
		assert.Nil(t, got, "the response is complete")
		p.Feed([]byte("HTTP/1.1 500 No\r\n" + head))
		_, err := p.Next()
		assert.ErrorIs(t, err, ErrTooBig)
	}
	sinkError := errors.New("sink failed")
	p := Parser{Sink: func([]byte) error { return sinkError }}
	p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx"))
	_, err := p.Next()
	assert.ErrorIs(t, err, sinkError)
}

// What is neither the head nor the body of a response is limited, so that no response is endless. The limit is
// for each response, and not reached by an honest one.
func TestOverheadLimit(t *testing.T) {
	padding := strings.Repeat("x", 1000)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	end := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for in, want := range map[string]error{
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + end:                                         nil,
		strings.Repeat(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 500)+end, 5):                        nil,
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 700) + end:                                         ErrTooBig,
		strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: "+padding+"\r\n\r\n", 15) + end:                    nil,
		strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: "+padding+"\r\n\r\n", 17) + end:                    ErrTooBig,
		"HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", maxHeadBytes-100) + "\r\n\r\n" + end:      nil,
		chunked + strings.Repeat("1\r\na\r\n", 20_000) + "0\r\n\r\n":                                         nil,
		chunked + strings.Repeat("000001;n=v\r\na\r\n", 20_000) + "0\r\n\r\n":                                nil,
		chunked + strings.Repeat("1;"+padding+"\r\na\r\n", 17) + "0\r\n\r\n":                                 ErrTooBig,
		chunked + "1\r\na\r\n0\r\n" + strings.Repeat("A: "+padding+"\r\n", 15) + "\r\n":                      nil,
		chunked + "1\r\na\r\n0\r\n" + strings.Repeat("A: b\r\n", 3000) + "\r\n":                              ErrTooBig,
		chunked + strings.Repeat("1\r\na\r\n", 20_000) + "0\r\n" + strings.Repeat("A: b\r\n", 3000) + "\r\n": ErrTooBig,
	} {
		p := Parser{MaxBodyBytes: 20_000}
		p.Feed([]byte(in))
		var err error
		for r := new(Response); r != nil && err == nil; {
			r, err = p.Next()
		}
		assert.ErrorIs(t, err, want, "%.80q", in)
		assert.False(t, err == nil && p.HasPartialResponse(), "%.80q", in)
	}
}
