package resp

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// replies parses in, fed in pieces of the given size, until an error.
func replies(in string, size int) (got []string, err error) {
	var p ReplyParser
	for at := 0; at < len(in); at += size {
		p.Feed([]byte(in[at:min(at+size, len(in))]))
		for {
			r, err := p.Next()
			if err != nil {
				return got, err
			}
			if r == nil {
				break
			}
			got = append(got, string(r))
		}
	}
	return got, nil
}

func TestRepliesInPiecesOfAnySize(t *testing.T) {
	want := []string{"+OK\r\n", "-BUSY 40\r\n", "$4\r\na\r\nb\r\n", "$0\r\n\r\n", "+\r\n", "+" + strings.Repeat("x", MaxReplyLineBytes-1) + "\r\n"}
	all := strings.Join(want, "")
	for size := 1; size <= len(all); size++ {
		got, err := replies(all, size)
		require.NoError(t, err)
		require.Equal(t, want, got, "pieces of %d", size)
	}
}

func TestInvalidReplies(t *testing.T) {
	for in, want := range map[string]error{
		"HTTP/1.1 200 OK\r\n": ErrInvalidReply,
		":1\r\n":              ErrInvalidReply,
		"*1\r\n$1\r\na\r\n":   ErrInvalidReply,
		"\r\n":                ErrInvalidReply,
		"+OK\n":               ErrInvalidReply,
		"+O\rK\r\n":           ErrInvalidReply,
		"$-1\r\n":             ErrLength,
		"$+1\r\n":             ErrLength,
		"$\r\n":               ErrLength,
		"$1\r\nabc":           ErrInvalidReply,
		"$4097\r\n":           ErrReplyTooBig,
		"$" + strings.Repeat("1", maxLengthLine+2):               ErrReplyTooBig,
		"+" + strings.Repeat("x", MaxReplyLineBytes) + "\r\n":    ErrReplyTooBig,
		"-" + strings.Repeat("x", MaxReplyLineBytes+1):           ErrReplyTooBig,
		"+OK\r\n-" + strings.Repeat("x", 2*MaxReplyLineBytes):    ErrReplyTooBig,
		"$4\r\n" + strings.Repeat("x", 2*MaxReplyBulkBytes):      ErrInvalidReply,
		"+" + strings.Repeat("x", MaxReplyLineBytes-1) + "y\r\n": ErrReplyTooBig,
	} {
		for _, size := range []int{1, 7, len(in)} {
			_, err := replies(in, size)
			assert.ErrorIs(t, err, want, "%.40q in pieces of %d", in, size)
		}
	}
	var p ReplyParser
	p.Feed([]byte("?"))
	_, err := p.Next()
	require.Error(t, err)
	p.Feed([]byte("+OK\r\n"))
	_, err = p.Next()
	assert.Error(t, err, "input after an error is ignored")
}

func TestCommandRoundTrip(t *testing.T) {
	args := [][]byte{[]byte("OUT.ADD"), []byte("5"), {}, []byte("a\r\n$1")}
	var p Parser
	p.Feed(Command(args...))
	got, err := p.Next()
	require.NoError(t, err)
	assert.Equal(t, args, got)
	assert.True(t, p.Idle())
}

// The replies do not depend on the sizes of the pieces, are a prefix of the stream, and the parser
// buffers no more than a reply and a piece.
func FuzzReplies(f *testing.F) {
	f.Add([]byte("+OK\r\n-BUSY 40\r\n$2\r\nhi\r\n"), 3)
	f.Add([]byte("$-1\r\n"), 1)
	f.Add([]byte("$3\r\nab\r\n\r\n+"), 2)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		size = max(1, size%64)
		whole, wholeErr := replies(string(b), max(1, len(b)))
		got, err := replies(string(b), size)
		if !bytes.HasPrefix(b, []byte(strings.Join(got, ""))) || strings.Join(got, "") != strings.Join(whole, "") || (err == nil) != (wholeErr == nil) {
			t.Fatalf("%q, %v in pieces; %q, %v at once", got, err, whole, wholeErr)
		}
		var p ReplyParser
		for at := 0; at < len(b); at += size {
			p.Feed(b[at:min(at+size, len(b))])
			for {
				if r, err := p.Next(); r == nil || err != nil {
					break
				}
			}
			if p.err != nil {
				return
			}
			if len(p.buf) > max(MaxReplyLineBytes, MaxReplyBulkBytes+maxLengthLine)+size+2 {
				t.Fatalf("%d bytes kept", len(p.buf))
			}
		}
	})
}
