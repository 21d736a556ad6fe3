package net

import (
	"errors"
	"fmt"
	"log/slog"
	stdnet "net"
	"net/netip"
	"sync/atomic"
	"time"
)

// Datagrams is a socket for notes between the couriers of a fleet. Its reader only hands
// work to the loop's goroutine; nothing here waits for anybody, and what cannot be sent
// or looked at in time is lost.
type Datagrams struct {
	conn    *stdnet.UDPConn
	peers   *Peers
	log     *slog.Logger
	pending atomic.Int32
	failed  bool // the last one could not be sent, which has been logged

	sent, sentBytes, received, receivedBytes, strange, oversize, crowded atomic.Uint64
}

// DatagramCounts are since the socket was opened. Bytes are without headers.
type DatagramCounts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64 // and handed on
	Strange                 uint64 // dropped: from nobody's address
	Oversize                uint64 // dropped: too long
	Crowded                 uint64 // dropped: too many have not been looked at
}

// LogValue puts the counts in a line of the log.
func (n DatagramCounts) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("sent", n.Sent), slog.Uint64("sent_bytes", n.SentBytes), slog.Uint64("received", n.Received),
		slog.Uint64("received_bytes", n.ReceivedBytes), slog.Uint64("strange", n.Strange),
		slog.Uint64("oversize", n.Oversize), slog.Uint64("crowded", n.Crowded),
	)
}

// Peers are the couriers of a fleet by number. They may be shared, and do not change.
type Peers struct {
	numbers map[netip.AddrPort]int
	each    []netip.AddrPort
}

// NewPeers reads the peers' addresses by number. One that is none cannot be told anything.
func NewPeers(each []string) *Peers {
	x := &Peers{numbers: map[netip.AddrPort]int{}}
	for i, a := range each {
		p, err := netip.ParseAddrPort(a)
		if err == nil {
			x.numbers[p] = i
		}
		x.each = append(x.each, p)
	}
	return x
}

// datagramsPending bounds those that have been read and not been looked at.
const datagramsPending = 1024

// Datagram is told of what a peer, by its number, has sent. b is its to keep.
type Datagram func(peer int, b []byte)

// Exchange opens the socket at listen. Datagrams over most bytes, and from anybody but the
// peers, are dropped.
func Exchange(listen string, peers *Peers, most int, post func(func()), log *slog.Logger, got Datagram) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	d := &Datagrams{peers: peers, log: log}
	if d.conn, err = stdnet.ListenUDP("udp4", stdnet.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	go d.read(d.conn, time.Sleep, most, post, got)
	return d, nil
}

// readAgain is how long a reader rests after an error: one that lasts must not keep it busy.
const readAgain = 10 * time.Millisecond

// datagramReader is what read needs of a socket.
type datagramReader interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
}

func (d *Datagrams) read(conn datagramReader, rest func(time.Duration), most int, post func(func()), got Datagram) {
	buf := make([]byte, most+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, stdnet.ErrClosed) {
			return
		}
		if err != nil {
			rest(readAgain)
			continue
		}
		peer, known := d.peers.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if dropped := d.drop(known, n > most); dropped {
			continue
		}
		d.received.Add(1)
		d.receivedBytes.Add(uint64(n))
		b := append([]byte(nil), buf[:n]...)
		d.pending.Add(1)
		post(func() {
			d.pending.Add(-1)
			got(peer, b)
		})
	}
}

// drop tells whether what has been read is dropped, and counts why.
func (d *Datagrams) drop(known, oversize bool) bool {
	switch {
	case !known:
		d.strange.Add(1)
	case oversize:
		d.oversize.Add(1)
	case d.pending.Load() >= datagramsPending:
		d.crowded.Add(1)
	default:
		return false
	}
	return true
}

// Counts tells what has gone to and fro. Any goroutine may ask.
func (d *Datagrams) Counts() DatagramCounts {
	return DatagramCounts{
		Sent: d.sent.Load(), SentBytes: d.sentBytes.Load(), Received: d.received.Load(), ReceivedBytes: d.receivedBytes.Load(),
		Strange: d.strange.Load(), Oversize: d.oversize.Load(), Crowded: d.crowded.Load(),
	}
}

// Send sends one datagram to a peer, by its number.
func (d *Datagrams) Send(peer int, b []byte) {
	if peer < 0 || peer >= len(d.peers.each) || !d.peers.each[peer].IsValid() {
		return
	}
	_, err := d.conn.WriteToUDPAddrPort(b, d.peers.each[peer])
	if err == nil {
		d.sent.Add(1)
		d.sentBytes.Add(uint64(len(b)))
	}
	if err != nil && !d.failed && !errors.Is(err, stdnet.ErrClosed) {
		d.log.Warn("a note could not be sent", "to", d.peers.each[peer], "err", err)
	}
	d.failed = err != nil
}

// Addr is where it listens.
func (d *Datagrams) Addr() string { return d.conn.LocalAddr().String() }

// Close ends it.
func (d *Datagrams) Close() { d.conn.Close() }
