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
	numbers map[netip.AddrPort]int
	each    []netip.AddrPort
	log     *slog.Logger
	pending atomic.Int32
	failed  bool // the last one could not be sent, which has been logged
}

// datagramsPending bounds those that have been read and not been looked at.
const datagramsPending = 1024

// Datagram is told of what a peer, by its number, has sent. b is its to keep.
type Datagram func(peer int, b []byte)

// Exchange opens the socket at listen. Each are the peers' addresses by number. Datagrams
// over most bytes, and from anybody else, are dropped.
func Exchange(listen string, each []string, most int, post func(func()), log *slog.Logger, got Datagram) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	d := &Datagrams{numbers: map[netip.AddrPort]int{}, log: log}
	for i, a := range each {
		p, err := netip.ParseAddrPort(a)
		if err == nil {
			d.numbers[p] = i
		}
		d.each = append(d.each, p) // one that is none cannot be told anything
	}
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
		peer, known := d.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known || n > most || d.pending.Load() >= datagramsPending {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		d.pending.Add(1)
		post(func() {
			d.pending.Add(-1)
			got(peer, b)
		})
	}
}

// Send sends one datagram to a peer, by its number.
func (d *Datagrams) Send(peer int, b []byte) {
	if peer < 0 || peer >= len(d.each) || !d.each[peer].IsValid() {
		return
	}
	_, err := d.conn.WriteToUDPAddrPort(b, d.each[peer])
	if err != nil && !d.failed && !errors.Is(err, stdnet.ErrClosed) {
		d.log.Warn("a note could not be sent", "to", d.each[peer], "err", err)
	}
	d.failed = err != nil
}

// Addr is where it listens.
func (d *Datagrams) Addr() string { return d.conn.LocalAddr().String() }

// Close ends it.
func (d *Datagrams) Close() { d.conn.Close() }
