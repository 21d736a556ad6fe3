package net

import (
	"log/slog"
	stdnet "net"
	"testing"

	"snowjunction/internal/gauge"
)

// CPU time of the sender and the receiver together per datagram, one after another on loopback.
func BenchmarkDatagram(b *testing.B) {
	const n = 10_000
	free := func() string {
		c, err := stdnet.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	each := []string{free(), free()}
	received := make(chan struct{}, 1)
	for i := range each {
		d, err := ListenDatagrams(each[i], NewPeers(each), 256, func(f func()) { f() }, slog.New(slog.DiscardHandler), func(int, []byte) { received <- struct{}{} })
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(d.Close)
		if i == 1 {
			gauge.CPUPerItem(b, n, "datagram", func() {
				for range n {
					d.Send(0, []byte("8 bytes."))
					<-received
				}
			})
		}
	}
}
