package daemon

import (
	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/peermsg"
)

// peerSender sends messages to the other couriers by datagrams.
type peerSender struct{ socket *net.Datagrams }

// Send sends messages to a peer.
func (s peerSender) Send(peer int, items []snowjunction.PeerMessage) {
	for _, b := range peermsg.Encode(items) {
		s.socket.Send(peer, b)
	}
}

// openPeerSocket opens the socket for peer messages if the configuration has addresses and the
// operator file allows it. If the socket cannot be opened, the courier runs without peer messages.
func (c *courier) openPeerSocket(cfg *core.Config) {
	p := c.cfg.Peers
	if !c.fleet.Notes || !p.Enabled() {
		return
	}
	socket, err := net.ListenDatagrams(p.Listen, net.NewPeers(p.Addrs), peermsg.MaxBytes, c.loop.Post, c.log, c.handlePeerMessage)
	if err != nil {
		c.log.Warn("no notes between couriers", "err", err)
		return
	}
	c.datagrams = socket
	cfg.Fleet, cfg.Settings.PeerMessages = peerSender{socket}, true
	c.log.Info("notes between couriers", "listen", socket.Addr(), "peers", len(p.Addrs))
}

// handlePeerMessage processes a datagram from a peer. Invalid datagrams are counted and dropped.
func (c *courier) handlePeerMessage(peer int, b []byte) {
	if peer == c.cfg.Settings.Number {
		return
	}
	items, err := peermsg.Decode(b)
	if err != nil {
		c.core.Counters.PeerMessagesInvalid++
		return
	}
	c.core.ReceivePeerMessages(peer, items)
}

// datagramCounts returns the counts of datagrams exchanged with other couriers.
func (c *courier) datagramCounts() (n net.DatagramCounts) {
	if c.datagrams != nil {
		n = c.datagrams.Counts()
	}
	return n
}
