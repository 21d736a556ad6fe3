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

// Notes go to the peer that is named and come with the number of the one that sent them;
// what is too long, or comes from anybody else, is dropped.
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
	come := make(chan got, 8)
	open := func(i int) *Datagrams {
		d, err := Exchange(each[i], NewPeers(each), 4, func(f func()) { f() }, slog.New(slog.DiscardHandler), func(peer int, b []byte) {
			come <- got{peer, string(b)}
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
	assert.Equal(t, got{0, "good"}, <-come)
	b.Send(0, []byte("back"))
	assert.Equal(t, got{1, "back"}, <-come)
	n := b.Counts()
	assert.Equal(t, DatagramCounts{Sent: 1, SentBytes: 4, Received: 1, ReceivedBytes: 4, Strange: 1, Oversize: 1}, n)
	assert.Equal(t, DatagramCounts{Sent: 2, SentBytes: 12, Received: 1, ReceivedBytes: 4}, a.Counts())
	_, err = Exchange("nowhere", NewPeers(each), 4, nil, nil, nil)
	require.Error(t, err)
	_, err = Exchange(each[0], NewPeers(each), 4, nil, nil, nil)
	require.Error(t, err, "somebody listens there")
}

// broken is a socket that has an error for each read, and is closed after the last.
type broken struct{ reads, most int }

func (b *broken) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	if b.reads++; b.reads > b.most {
		return 0, netip.AddrPort{}, stdnet.ErrClosed
	}
	return 0, netip.AddrPort{}, errors.New("no memory for it")
}

// A socket whose reads fail for long does not keep its reader busy: it rests between two.
func TestReadsThatFail(t *testing.T) {
	conn, rests := &broken{most: 5}, 0
	(&Datagrams{}).read(conn, func(d time.Duration) {
		assert.Equal(t, readAgain, d)
		rests++
		assert.Equal(t, rests, conn.reads, "one rest for each read")
	}, 4, nil, nil)
	assert.Equal(t, conn.most, rests)
}
