package admin

import (
	"bufio"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func open(t *testing.T, path string) *Server {
	s, err := Listen(path, func(r Request, done func(Reply)) {
		if r.Command != "echo" {
			done(Reply{Error: "no " + r.Command})
			return
		}
		done(Reply{Value: []int{1}})
		done(Reply{Value: "again"}) // a second reply is ignored
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func TestRequests(t *testing.T) {
	path := filepath.Join(t.TempDir(), "door")
	s := open(t, path)
	i, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), i.Mode().Perm())
	v, err := Call(path, "echo")
	require.NoError(t, err)
	assert.Equal(t, "[1]", string(v))
	_, err = Call(path, "dance")
	assert.EqualError(t, err, "no dance")
	_, err = Listen(path, nil)
	assert.ErrorContains(t, err, "in use by another process")

	c, err := net.Dial("unix", path)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("nonsense\n{\"do\":\"echo\"}\n"))
	require.NoError(t, err)
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, line, "must be one line of JSON")
	line, err = r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "{\"value\":[1]}\n", line)
	_, err = c.Write([]byte(strings.Repeat("x", maxLineBytes+1)))
	require.NoError(t, err)
	_, err = r.ReadString('\n')
	assert.Error(t, err, "a line that is too long closes the connection")
	s.Close()
	_, err = Call(path, "echo")
	assert.Error(t, err)
}

// A stale socket of an ended process is replaced; a regular file is not.
func TestStaleSocketIsReplaced(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "door")
	l, err := net.Listen("unix", path)
	require.NoError(t, err)
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	open(t, path)
	_, err = Call(path, "echo")
	assert.NoError(t, err)
	file := filepath.Join(dir, "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err = Listen(file, nil)
	assert.ErrorContains(t, err, "not a socket")
}
