package net

import (
	"errors"
	"log/slog"
	stdnet "net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Datagrams are delivered to the given peer with the number of their sender; oversized ones and
// those of unknown senders are dropped.
func TestDatagrams(t *testing.T) {
	free := func() string {
		c, err := stdnet.ListenPacket("udp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	each := []string{free(), free(), "nowhere"}
	type got struct {
		peer int
		text string
	}
	received := make(chan got, 8)
	open := func(i int) *Datagrams {
		d, err := ListenDatagrams(each[i], NewPeers(each), 4, func(f func()) { f() }, slog.New(slog.DiscardHandler), func(peer int, b []byte) {
			received <- got{peer, string(b)}
		})
		require.NoError(t, err)
		t.Cleanup(d.Close)
		return d
	}
	a, b := open(0), open(1)
	stranger, err := stdnet.Dial("udp4", b.Addr())
	require.NoError(t, err)
	defer stranger.Close()
	_, err = stranger.Write([]byte("bad"))
	require.NoError(t, err)
	a.Send(1, []byte("too long"))
	a.Send(2, []byte("lost"))
	a.Send(7, []byte("lost"))
	a.Send(-1, []byte("lost"))
	a.Send(1, []byte("good"))
	assert.Equal(t, got{0, "good"}, <-received)
	b.Send(0, []byte("back"))
	assert.Equal(t, got{1, "back"}, <-received)
	n := b.Counts()
	assert.Equal(t, DatagramCounts{Sent: 1, SentBytes: 4, Received: 1, ReceivedBytes: 4, UnknownSender: 1, Oversize: 1}, n)
	assert.Equal(t, DatagramCounts{Sent: 2, SentBytes: 12, Received: 1, ReceivedBytes: 4}, a.Counts())
	_, err = ListenDatagrams("nowhere", NewPeers(each), 4, nil, nil, nil)
	require.Error(t, err)
	_, err = ListenDatagrams(each[0], NewPeers(each), 4, nil, nil, nil)
	require.Error(t, err, "the address is in use")
}

// failingReader returns an error from each read and is closed after the last one.
type failingReader struct{ reads, most int }

func (b *failingReader) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	if b.reads++; b.reads > b.most {
		return 0, netip.AddrPort{}, stdnet.ErrClosed
	}
	return 0, netip.AddrPort{}, errors.New("out of memory")
}

// Guards against a busy loop on a socket whose reads keep failing: the reader pauses after each
// error.
func TestFailingReadsAreThrottled(t *testing.T) {
	conn, pauses := &failingReader{most: 5}, 0
	(&Datagrams{}).read(conn, func(d time.Duration) {
		assert.Equal(t, readRetryDelay, d)
		pauses++
		assert.Equal(t, pauses, conn.reads, "one pause for each read")
	}, 4, nil, nil)
	assert.Equal(t, conn.most, pauses)
}
