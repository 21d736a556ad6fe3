package net

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against peers that do not read what they are sent and together take the courier over its memory: past
// the limit the one with the most unread is closed, and the others go on.
func TestUnsentBytesAreLimited(t *testing.T) {
	const chunk, limit = 16 << 10, 1 << 20
	b := newTestEngine(t, 10)
	b.engine.cfg.MaxUnsentBytes = limit
	handlers := []*recorder{{}, {}, {}}
	var conns []*Conn
	for _, h := range handlers {
		c, _, _ := b.pair(h)
		conns = append(conns, c)
	}
	fill := func(c *Conn, unsent int) {
		for c.unsentBytes() < unsent {
			require.True(t, c.Write(make([]byte, chunk)))
		}
	}
	fill(conns[0], 300_000)
	fill(conns[1], 400_000)
	fill(conns[2], 300_000)
	require.False(t, conns[1].slow, "there is room")
	for !conns[1].slow {
		require.True(t, conns[2].Write(make([]byte, chunk)))
		require.LessOrEqual(t, conns[2].unsentBytes(), 400_000+chunk)
	}
	assert.Empty(t, handlers[1].code, "its handler is not told within a write")
	b.until(func() bool { return handlers[1].code != "" })
	assert.Equal(t, SlowPeer, handlers[1].code)
	assert.Empty(t, handlers[0].code)
	assert.Empty(t, handlers[2].code)
	total, _ := b.engine.sumUnsent()
	assert.LessOrEqual(t, total, limit)
}

// A peer that reads is sent everything, however much that is.
func TestUnsentBytesOfReaderAreSent(t *testing.T) {
	const chunk, chunks = 16 << 10, 1000
	b := newTestEngine(t, 10)
	b.engine.cfg.MaxUnsentBytes = 512 << 10
	c, peer, _ := b.pair(&recorder{})
	read := make(chan int)
	go func() {
		n := 0
		for buf := make([]byte, chunk); n < chunk*chunks; {
			k, err := peer.Read(buf)
			if n += k; err != nil {
				break
			}
		}
		read <- n
	}()
	for range chunks {
		for c.unsentBytes() > 256<<10 { // the peer is read on another goroutine
			runtime.Gosched()
		}
		require.True(t, c.Write(make([]byte, chunk)))
	}
	assert.Equal(t, chunk*chunks, <-read)
}
