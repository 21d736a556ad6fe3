package daemon

import (
	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/notes"
)

// peerSender is the other couriers, told by datagrams.
type peerSender struct{ socket *net.Datagrams }

// Tell sends notes to one of them.
func (f peerSender) Tell(peer int, items []snowjunction.Note) {
	for _, b := range notes.Write(items) {
		f.socket.Send(peer, b)
	}
}

// openPeerSocket opens the way to the other couriers, where the configuration names one and the
// operator file allows it. What cannot be opened costs the notes, not the start.
func (c *courier) openPeerSocket(cfg *core.Config) {
	p := c.cfg.Peers
	if !c.fleet.Notes || !p.Enabled() {
		return
	}
	socket, err := net.Exchange(p.Listen, net.NewPeers(p.Addrs), notes.Most, c.loop.Post, c.log, c.handlePeerMessage)
	if err != nil {
		c.log.Warn("no notes between couriers", "err", err)
		return
	}
	c.datagrams = socket
	cfg.Fleet, cfg.Settings.Notes = peerSender{socket}, true
	c.log.Info("notes between couriers", "listen", socket.Addr(), "peers", len(p.Addrs))
}

// handlePeerMessage reads what a peer has told. What cannot be read is dropped.
func (c *courier) handlePeerMessage(peer int, b []byte) {
	if peer == c.cfg.Settings.Number {
		return
	}
	items, err := notes.Read(b)
	if err != nil {
		c.core.Counters.Unread++
		return
	}
	c.core.Noted(peer, items)
}

// datagramCounts is what has gone to and fro between couriers.
func (c *courier) datagramCounts() (n net.DatagramCounts) {
	if c.datagrams != nil {
		n = c.datagrams.Counts()
	}
	return n
}
