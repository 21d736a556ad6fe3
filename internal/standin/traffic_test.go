package standin

import (
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/partition"
	"snowjunction/internal/standin/partner"
)

// A call without a network connection reaches the same partner as one over HTTP.
func TestCallWithoutConnection(t *testing.T) {
	f := newTestFarm(t, Spec{Destination: 4, Endpoints: 1, Profile: partner.Profile{Limit: 1.0 / 4096, Window: 1 << 42, RetryAfterShare: 1, ReportsLimit: true}})
	a, end, err := f.Begin(4, "a", nil)
	require.NoError(t, err)
	end(a.Status == 200)
	b, err := call(t, newTestClient(t, false), f.Endpoints()[0].Addr, "b", nil)
	require.NoError(t, err)
	assert.Equal(t, 200, a.Status)
	assert.Equal(t, 429, b.StatusCode, "the first call has used up the limit")
	c, end, err := f.Begin(4, "c", nil)
	require.NoError(t, err)
	end(false)
	assert.NotEmpty(t, Header(a, "X-Server-Load"))
	assert.Empty(t, Header(a, "X-RateLimit-Wait-Ms"))
	assert.NotEmpty(t, Header(c, "X-RateLimit-Wait-Ms"))
	assert.Empty(t, Header(c, "X-Other"))
	assert.Equal(t, partner.Counts{Calls: 3, Delivered: 1}, partner.Counts{Calls: f.Execute(Command{Do: "stats"}).Counts[4].Calls, Delivered: f.Execute(Command{Do: "stats"}).Counts[4].Delivered})
	_, _, err = f.Begin(5, "a", nil)
	assert.Error(t, err)
}

// A directory counts its traffic and reports each watch.
func TestDirectoryTraffic(t *testing.T) {
	d, err := NewDirectory(List([]Endpoint{{"a", "127.0.0.1:1", 1, false}}))
	require.NoError(t, err)
	t.Cleanup(d.Close)
	generations := make(chan uint64, 4)
	covered := make(chan []bool, 4)
	d.OnWatch(func(_ string, generation uint64, concerns func(uint32) bool) {
		generations <- generation
		covered <- []bool{concerns(1), concerns(2)}
	})
	c, url := newTestClient(t, false), "http://"+d.Addr()+"/discovery/hosts"
	first, second := get(t, c, url), get(t, c, url)
	assert.Equal(t, first, second, "the response is cached")
	n := d.Traffic()
	assert.EqualValues(t, 2, n.Calls)
	assert.Greater(t, n.Out, int64(2*len(first)-8))
	assert.Positive(t, n.In)
	assert.Greater(t, n.Bytes, len(first)-4)
	get(t, c, url+"?after=1&wait_ms=1")
	assert.EqualValues(t, 1, <-generations)
	assert.Equal(t, []bool{true, true}, <-covered)
	get(t, c, fmt.Sprintf("%s?after=1&wait_ms=1&partitions=1000&of=%d", url, partition.Of(2, 1000)))
	assert.EqualValues(t, 1, <-generations)
	assert.Equal(t, []bool{false, true}, <-covered, "the watch covers only the other destination's partition")
	x := List([]Endpoint{{"b", "127.0.0.1:2", 2, false}})[0]
	d.Change(x)
	assert.Contains(t, get(t, c, url), `"instanceId":"b"`, "a new generation invalidates the cached response")
}

// Watches from one local address through two addresses of the directory are reported as two
// connections.
func TestDedicatedAddressesAreSeparateConnections(t *testing.T) {
	d, err := NewDirectory(nil)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	seen := make(chan string, 2)
	d.OnWatch(func(from string, _ uint64, _ func(uint32) bool) { seen <- from })
	dedicated, err := d.OpenDedicatedAddress()
	require.NoError(t, err)
	reuse := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
	}
	local := net.Addr(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	for _, addr := range []string{d.Addr(), dedicated.Addr} {
		conn, err := (&net.Dialer{LocalAddr: local, Control: reuse}).Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		local = conn.LocalAddr()
		_, err = conn.Write([]byte("GET /discovery/hosts?after=1&wait_ms=1 HTTP/1.1\r\nHost: d\r\n\r\n"))
		require.NoError(t, err)
	}
	assert.NotEqual(t, <-seen, <-seen)
}

// Traffic through a dedicated address is counted there and at the directory. The start of its client
// ends with the watch that follows the first response.
func TestDedicatedAddressTraffic(t *testing.T) {
	d, err := NewDirectory(List([]Endpoint{{"a", "127.0.0.1:1", 1, false}}))
	require.NoError(t, err)
	t.Cleanup(d.Close)
	for _, first := range []string{"", "?after=1&wait_ms=1"} { // a client without and with a stored list
		dedicated, err := d.OpenDedicatedAddress()
		require.NoError(t, err)
		c, url := newTestClient(t, false), "http://"+dedicated.Addr+"/discovery/hosts"
		assert.Zero(t, dedicated.StartBytes())
		before := d.Traffic().Out
		text := get(t, c, url+first)
		started := dedicated.StartBytes()
		assert.Greater(t, started, int64(len(text)))
		assert.Equal(t, d.Traffic().Out-before, started)
		get(t, c, "http://"+d.Addr()+"/discovery/hosts")
		assert.Equal(t, started, dedicated.StartBytes(), "traffic of other clients does not count")
		for range 3 {
			get(t, c, url+"?after=1&wait_ms=1")
			assert.Equal(t, started, dedicated.StartBytes(), "later watches do not count")
		}
		dedicated.ResetStart()
		assert.Zero(t, dedicated.StartBytes())
		get(t, c, url+"?after=1&wait_ms=1")
		again := dedicated.StartBytes()
		assert.Positive(t, again)
		get(t, c, url)
		assert.Greater(t, dedicated.StartBytes(), again, "the start continues until a watch follows")
	}
}
