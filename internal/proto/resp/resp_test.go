package resp

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const twoCommands = "*2\r\n$4\r\nPING\r\n$3\r\na\r\n\r\n*1\r\n$0\r\n\r\n"

func TestCommandsInPiecesOfAnySize(t *testing.T) {
	for size := 1; size <= len(twoCommands); size++ {
		var p Parser
		var got [][][]byte
		for at := 0; at < len(twoCommands); at += size {
			p.Feed([]byte(twoCommands[at:min(at+size, len(twoCommands))]))
			for {
				args, err := p.Next()
				require.NoError(t, err)
				if args == nil {
					break
				}
				got = append(got, args)
			}
		}
		require.Equal(t, [][][]byte{{[]byte("PING"), []byte("a\r\n")}, {{}}}, got, "pieces of %d", size)
		assert.True(t, p.Idle())
	}
}

func TestMalformed(t *testing.T) {
	for in, want := range map[string]error{
		"PING\r\n":                    ErrSyntax,
		"*x\r\n":                      ErrLength,
		"*17\r\n":                     ErrTooBig,
		"*1\r\n$65537\r\n":            ErrTooBig,
		"*1\r\n$-1\r\n":               ErrLength,
		"*1\r\n+a\r\n":                ErrSyntax,
		"*1\r\n$1\r\nabc":             ErrSyntax,
		"*" + strings.Repeat("1", 40): ErrLength,
		"*1\n":                        ErrLength,
		"*2\r\n$65000\r\n" + strings.Repeat("x", 65000) + "\r\n$65000\r\n": ErrTooBig,
	} {
		var p Parser
		p.Feed([]byte(in))
		_, err := p.Next()
		assert.ErrorIs(t, err, want, "%.40q", in)
	}
}

func TestEncodedReplies(t *testing.T) {
	assert.Equal(t, "+OK\r\n", string(Simple("OK")))
	assert.Equal(t, "-ERR a  b\r\n", string(Error("ERR a\r\nb")), "line breaks are replaced")
	assert.Equal(t, "$2\r\nhi\r\n", string(Bulk([]byte("hi"))))
}

func FuzzParser(f *testing.F) {
	f.Add([]byte(twoCommands), 3)
	f.Add([]byte("*1\r\n$-1\r\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		size = max(1, size%64)
		var p Parser
		for at := 0; at < len(b); at += size {
			p.Feed(b[at:min(at+size, len(b))])
			for {
				args, err := p.Next()
				if err != nil {
					return
				}
				if args == nil {
					break
				}
				if len(args) > MaxArgs {
					t.Fatalf("%d arguments", len(args))
				}
			}
			if len(p.buf) > MaxCommandBytes+64 {
				t.Fatalf("%d bytes kept", len(p.buf))
			}
		}
	})
}

// Guards against an incomplete command that is held and not counted.
func TestBuffered(t *testing.T) {
	const command = "*2\r\n$4\r\nPING\r\n$3\r\nabc\r\n"
	p := Parser{}
	for i := range command {
		args, err := p.Next()
		require.NoError(t, err)
		require.Nil(t, args)
		held := p.Buffered()
		assert.LessOrEqual(t, held, i)
		assert.Equal(t, i >= len("*2\r\n$4\r\nPING\r\n"), held >= len("PING") && p.missingArgs == 1)
		p.Feed([]byte(command[i : i+1]))
	}
	args, err := p.Next()
	require.NoError(t, err)
	assert.Len(t, args, 2)
	assert.Zero(t, p.Buffered())
}

// Guards against empty arrays without end: they were ignored, so that their client got neither an error nor a
// close, and kept if the pieces in which they came ended within a line.
func TestEmptyArraysAreAnError(t *testing.T) {
	for _, in := range []string{"*0\r\n", "*-1\r\n"} {
		var p Parser
		p.Feed([]byte("*"))
		_, err := p.Next()
		require.NoError(t, err)
		flood := strings.Repeat(in, 4<<10)
		for n := 0; n < 10 && err == nil; n++ {
			p.Feed([]byte(flood[1:] + "*"))
			_, err = p.Next()
		}
		assert.Less(t, len(p.buf), 2*len(flood), "%q", in)
		p = Parser{}
		p.Feed([]byte(in))
		_, err = p.Next()
		assert.ErrorIs(t, err, ErrEmpty, "%q", in)
	}
}
