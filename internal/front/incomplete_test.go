package front_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"snowjunction/internal/proto/h2"
	"snowjunction/internal/proto/resp"
)

// Guards against clients that stop within commands and together take the courier over its memory: at the
// limit the one that has been at it for longest is ended with an error, and others go on.
func TestIncompleteCommandsAreLimited(t *testing.T) {
	s := newTestCourier(t)
	command := addCommand("m1", "debit", time.Second)
	part := len(command) - 1
	parser := resp.Parser{}
	parser.Feed([]byte(command[:part]))
	_, err := parser.Next()
	require.NoError(t, err)
	s.front.MaxIncompleteBytes = 2 * parser.Buffered()
	var clients []*testConn
	for range 3 {
		s.now = s.now.Add(time.Millisecond)
		c := s.client()
		clients = append(clients, c)
		c.send(t, command[:part])
		s.settle()
	}
	s.until("the first is ended", func() bool { return clients[0].server.connClosed(0) })
	assert.True(t, clients[0].server.hasReceived(0, "-ERR too many incomplete commands\r\n", 1))
	clients[2].send(t, command[part:])
	s.until("the last is read", func() bool { return s.core.Counters.In == 1 })
	s.now = s.now.Add(time.Millisecond)
	c := s.client()
	c.send(t, command[:part])
	s.settle()
	assert.False(t, clients[1].server.connClosed(0), "there is room for two again")
	assert.False(t, c.server.connClosed(0))
}

// heldOfRequest returns how many bytes the push front holds of an incomplete request that follows a
// connection's first one.
func heldOfRequest(t *testing.T, part string) int {
	server := h2.NewServer(h2.Limits{MaxStreams: 100, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, MaxBufferedBytes: 1 << 20})
	_, err := server.Feed(time.Now(), []byte(http2.ClientPreface+settingsFrame(t)+part))
	require.NoError(t, err)
	return server.BufferedInput()
}

// Guards against the same with requests of the push front: their bodies, and their header lists.
func TestIncompletePushRequestsAreLimited(t *testing.T) {
	body := func(end bool, size int) string {
		return encodeFrames(t, func(f *http2.Framer) error { return f.WriteData(3, end, make([]byte, size)) })
	}
	longHead := headersFrame(t, 3, false, ":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/push/7",
		"message-id", "m1", "message-class", "status", "ttl", "3", "padding", strings.Repeat("x", 10_000))
	for name, row := range map[string]struct {
		part string
		held int // at least
	}{
		"bodies":       {submitHead(t) + body(false, 1000), 1000},
		"header lists": {longHead, 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPushTestCourier(t)
			held := heldOfRequest(t, row.part)
			require.GreaterOrEqual(t, held, row.held, "all that is held is counted")
			s.push.MaxIncompleteBytes = 2 * held
			var clients []*testConn
			for range 3 {
				s.now = s.now.Add(time.Millisecond)
				c := s.client()
				clients = append(clients, c)
				c.send(t, row.part)
				s.settlePush()
			}
			s.until("the first is ended", func() bool { return clients[0].server.connClosed(0) })
			clients[2].send(t, body(true, 1000))
			s.until("the last is answered", func() bool {
				s.now = s.now.Add(time.Millisecond)
				return clients[2].streamResult(t, 3) != ""
			})
			assert.False(t, clients[1].server.connClosed(0), "there is room for two")
		})
	}
}
