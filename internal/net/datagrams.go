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

// Datagrams is a UDP socket for messages between the couriers of a fleet. Its reader only posts
// work to the loop's goroutine. It never blocks: datagrams that cannot be sent or processed in time
// are dropped.
type Datagrams struct {
	conn       *stdnet.UDPConn
	peers      *Peers
	log        *slog.Logger
	pending    atomic.Int32
	sendFailed bool // the last send failed and was logged

	sent, sentBytes, received, receivedBytes, unknownSender, oversize, overflow atomic.Uint64
}

// DatagramCounts counts datagrams since the socket was opened. Bytes exclude headers.
type DatagramCounts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64 // and passed to the handler
	UnknownSender           uint64 // dropped: unknown sender address
	Oversize                uint64 // dropped: over the size limit
	Overflow                uint64 // dropped: too many unprocessed datagrams
}

// LogValue returns the counts as a log group.
func (n DatagramCounts) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("sent", n.Sent), slog.Uint64("sent_bytes", n.SentBytes), slog.Uint64("received", n.Received),
		slog.Uint64("received_bytes", n.ReceivedBytes), slog.Uint64("strange", n.UnknownSender),
		slog.Uint64("oversize", n.Oversize), slog.Uint64("crowded", n.Overflow),
	)
}

// Peers is the address table of a fleet's couriers, by courier number. It is immutable and may be
// shared.
type Peers struct {
	numbers map[netip.AddrPort]int
	addrs   []netip.AddrPort
}

// NewPeers parses the peers' addresses, ordered by number. Nothing can be sent to a peer whose
// address is invalid.
func NewPeers(each []string) *Peers {
	peers := &Peers{numbers: map[netip.AddrPort]int{}}
	for i, a := range each {
		addr, err := netip.ParseAddrPort(a)
		if err == nil {
			peers.numbers[addr] = i
		}
		peers.addrs = append(peers.addrs, addr)
	}
	return peers
}

// maxPendingDatagrams limits the datagrams that are read and not yet processed.
const maxPendingDatagrams = 1024

// DatagramHandler is called with each datagram and the number of the peer that sent it. The handler
// owns b.
type DatagramHandler func(peer int, b []byte)

// ListenDatagrams opens the socket at listen. Datagrams over maxSize bytes and those of unknown senders
// are dropped.
func ListenDatagrams(listen string, peers *Peers, maxSize int, post func(func()), log *slog.Logger, handler DatagramHandler) (*Datagrams, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peer messages: %w", err)
	}
	d := &Datagrams{peers: peers, log: log}
	if d.conn, err = stdnet.ListenUDP("udp4", stdnet.UDPAddrFromAddrPort(addr)); err != nil {
		return nil, fmt.Errorf("listen for peer messages: %w", err)
	}
	go d.read(d.conn, time.Sleep, maxSize, post, handler)
	return d, nil
}

// readRetryDelay is the pause after a read error, which keeps a persistent error from using up the
// CPU.
const readRetryDelay = 10 * time.Millisecond

// datagramReader is the part of a UDP socket that read needs.
type datagramReader interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
}

func (d *Datagrams) read(conn datagramReader, sleep func(time.Duration), maxSize int, post func(func()), handler DatagramHandler) {
	buf := make([]byte, maxSize+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, stdnet.ErrClosed) {
			return
		}
		if err != nil {
			sleep(readRetryDelay)
			continue
		}
		peer, known := d.peers.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if dropped := d.drop(known, n > maxSize); dropped {
			continue
		}
		d.received.Add(1)
		d.receivedBytes.Add(uint64(n))
		b := append([]byte(nil), buf[:n]...)
		d.pending.Add(1)
		post(func() {
			d.pending.Add(-1)
			handler(peer, b)
		})
	}
}

// drop reports whether a datagram is dropped, and counts the reason.
func (d *Datagrams) drop(known, oversize bool) bool {
	switch {
	case !known:
		d.unknownSender.Add(1)
	case oversize:
		d.oversize.Add(1)
	case d.pending.Load() >= maxPendingDatagrams:
		d.overflow.Add(1)
	default:
		return false
	}
	return true
}

// Counts returns the current counts. It is safe for concurrent use.
func (d *Datagrams) Counts() DatagramCounts {
	return DatagramCounts{
		Sent: d.sent.Load(), SentBytes: d.sentBytes.Load(), Received: d.received.Load(), ReceivedBytes: d.receivedBytes.Load(),
		UnknownSender: d.unknownSender.Load(), Oversize: d.oversize.Load(), Overflow: d.overflow.Load(),
	}
}

// Send sends one datagram to the peer with this number.
func (d *Datagrams) Send(peer int, b []byte) {
	if peer < 0 || peer >= len(d.peers.addrs) || !d.peers.addrs[peer].IsValid() {
		return
	}
	_, err := d.conn.WriteToUDPAddrPort(b, d.peers.addrs[peer])
	if err == nil {
		d.sent.Add(1)
		d.sentBytes.Add(uint64(len(b)))
	}
	if err != nil && !d.sendFailed && !errors.Is(err, stdnet.ErrClosed) {
		d.log.Warn("cannot send a peer message", "to", d.peers.addrs[peer], "err", err)
	}
	d.sendFailed = err != nil
}

// Addr returns the local address.
func (d *Datagrams) Addr() string { return d.conn.LocalAddr().String() }

// Close closes the socket.
func (d *Datagrams) Close() { d.conn.Close() }
