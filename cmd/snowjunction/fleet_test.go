package main

import (
	"net"
	"strconv"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/peermsg"
	"snowjunction/internal/scenario"
)

// startInFleet starts one courier of a fleet of the given size, with a target for destination 7.
func startInFleet(t *testing.T, size any) *scenario.Courier {
	c := scenario.NewCourier(t)
	c.Settings["fleet-size"] = size
	c.Targets = []scenario.Target{{Name: "s-1", Addr: c.Runner.Server("target"), Cell: 7}}
	c.Runner.Define("ok", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	c.Runner.Define("busy", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	require.NoError(t, c.Start())
	return c
}

// A courier of a large fleet that the directory rejects pauses in proportion to the fleet size.
// Then it asks for changes since the list that it uses.
func TestDirectoryRejects(t *testing.T) {
	c := startInFleet(t, 80)
	last := 0
	for range 2 {
		c.Runner.Run(`
			discovery accept d
			d expect "GET /discovery/hosts?after=1&wait_ms=1 HTTP/1.1\r\n"
			d expect "...\r\n\r\n"
			d send "$busy"
			d expect EOF
		`)
		line, err := c.Await(`discovery answers with an error.* status=503 pause_ms=([0-9]+)`)
		require.NoError(t, err)
		pause, err := strconv.Atoi(line[1])
		require.NoError(t, err)
		assert.GreaterOrEqual(t, pause, 1000, "with shorter pauses, eighty couriers would keep the directory overloaded")
		assert.GreaterOrEqual(t, pause, last)
		last = pause
	}
	c.Runner.Run(`
		client dial c
		c send "*5\r\n$7\r\nOUT.ADD\r\n$16\r\n0000000000000000\r\n$2\r\nm1\r\n$29\r\nc=status,t=town,d=8000,dest=7\r\n$1\r\nx\r\n"
		c expect "+OK\r\n"
		target accept t
		t expect "...\r\n\r\nx"
		t send "$ok"
		discovery accept d
		d expect "GET /discovery/hosts?after=1&wait_ms=1 HTTP/1.1\r\n"
	`)
}

// A courier of a large fleet that restarts with messages in its journal while the directory rejects
// it delivers them by the stored list.
func TestStartWhileDirectoryRejects(t *testing.T) {
	c := startInFleet(t, 80)
	c.Runner.Run(`
		client dial c
		c send "*5\r\n$7\r\nOUT.ADD\r\n$16\r\n0000000000000000\r\n$2\r\nm1\r\n$29\r\nc=status,t=town,d=8000,dest=7\r\n$1\r\nx\r\n"
		c expect "+OK\r\n"
		target accept t
		t expect "...\r\n\r\nx"
		courier wait kill
		courier wait start
		target accept t
		t expect "...X-Request-ID: m1\r\n"
		t expect "...\r\n\r\nx"
		t send "$ok"
		discovery accept d
		d expect "...\r\n\r\n"
		d send "$busy"
		courier wait "status=503"
	`)
}

// A missing or invalid fleet size counts as a fleet of one courier.
func TestInvalidFleetSize(t *testing.T) {
	for _, size := range []any{nil, 0, -5, "many", 1} {
		startInFleet(t, size).Runner.Run(`
			discovery accept d
			d expect "...\r\n\r\n"
			d send "$busy"
			discovery accept d2
			d2 expect "GET /discovery/hosts?after=1&wait_ms=1 HTTP/1.1\r\n"
		`)
	}
}

// One courier of eighty requests a grant from the lease owner of a limit before it calls, and calls
// once it has the grant. Datagrams that cannot be decoded do no harm.
func TestRequestsGrant(t *testing.T) {
	leaseOwner, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { leaseOwner.Close() })
	own, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, own.Close())
	c := scenario.NewCourier(t)
	c.Settings["fleet-size"], c.Settings["my-number"] = 80, 79
	c.Settings["limits"].(map[string]any)["may-tell"] = true
	peers := make([]string, 80)
	for i := range peers {
		peers[i] = leaseOwner.LocalAddr().String() // the test owns all other addresses
	}
	peers[79] = own.LocalAddr().String()
	c.Peers = map[string]any{"peer_listen": peers[79], "peers": peers}
	c.Targets = []scenario.Target{{Name: "s-1", Addr: c.Runner.Server("target"), Cell: 7}}
	c.Runner.Define("ok", "HTTP/1.1 200 OK\r\nX-Server-Load: x0=0.8,x1=44\r\nContent-Length: 0\r\n\r\n")
	c.Runner.Define("ADD", "*5\r\n$7\r\nOUT.ADD\r\n$16\r\n0000000000000000\r\n$2\r\n")
	c.Runner.Define("STATUS", "\r\n$29\r\nc=status,t=town,d=8000,dest=7\r\n$1\r\n")
	require.NoError(t, c.Start())
	limits := make(chan float64, 64)
	go func() { // grants every request, among invalid datagrams
		buf := make([]byte, 512)
		for {
			n, from, err := leaseOwner.ReadFrom(buf)
			if err != nil {
				return
			}
			items, err := peermsg.Decode(buf[:n])
			if err != nil {
				items = nil
			}
			for _, x := range items {
				if x.Limit > 0 {
					limits <- x.Limit
				}
				if !x.RequestsGrant {
					continue
				}
				for _, b := range append([][]byte{nil, []byte("bad"), make([]byte, 4000)}, peermsg.Encode([]snowjunction.PeerMessage{{Destination: 7, IsGrant: true, Calls: 1}})...) {
					_, _ = leaseOwner.WriteTo(b, from)
				}
			}
		}
	}()
	c.Runner.Run(`
		client dial c
		c send "$ADDm1$STATUSx\r\n"
		c expect "+OK\r\n"
		target accept t
		t expect "...\r\n\r\nx"
		t send "$ok"
		c send "$ADDm2$STATUSy\r\n"
		c expect "+OK\r\n"
		t expect "...\r\n\r\ny"
		t send "$ok"
	`)
	assert.Equal(t, 44.0, <-limits)
	// Invalid datagrams and those of addresses that are not peers are counted.
	stranger, err := net.Dial("udp4", peers[79])
	require.NoError(t, err)
	defer stranger.Close()
	_, err = stranger.Write(peermsg.Encode([]snowjunction.PeerMessage{{Destination: 7, IsGrant: true, Calls: 9}})[0])
	require.NoError(t, err)
	for {
		require.NoError(t, c.Signal(syscall.SIGUSR1))
		line, err := c.Await(`counters .* n.unread=([0-9]+) .* datagrams.strange=([0-9]+) datagrams.oversize=([0-9]+)`)
		require.NoError(t, err)
		if line[1] >= "2" && line[2] == "1" && line[3] >= "1" { // some datagrams may still be on their way
			break
		}
	}
}
