package main

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"snowjunction/internal/scenario"
)

// startWithConsole starts a courier with the console address, which scripts call console.
func startWithConsole(t *testing.T) *scenario.Runner {
	c := prepare(t)
	c.Peers = map[string]any{"console": "127.0.0.1:0"}
	require.NoError(t, c.Start())
	m, err := c.Await(`msg="second address" .*listen=(\S+)`)
	require.NoError(t, err)
	c.Runner.Define("console", m[1])
	return c.Runner
}

// The telemetry counts a message from acceptance to its final result, and an attempt once it is sent.
func TestConsoleTelemetry(t *testing.T) {
	p := startWithConsole(t)
	p.Define("n", `"order":0,"status":`)
	p.Run(`
		console dial q
		q send "readyz\n"
		q expect "done\n"
		q expect EOF
		client dial c
		c send "$ADDm1$STATUSx\r\n"
		c expect "+OK\r\n"
		target accept t
		t expect "...\r\n\r\nx"
		console dial q
		q send "telemetry\n"
		q expect "{\"fulfilled\":{$n0},\"throttled\":{$n0},\"faulted\":{$n0},\"relayed\":1,\"open_requests\":1,\"registry_entries\":2,\"out_of_rotation\":0}\nend\n"
		q expect EOF
		t send "$ok"
		c send "$ADDm2$STATUSx\r\n"
		c expect "+OK\r\n"
		t expect "...\r\n\r\nx"
		console dial q
		q send "telemetry\r\n"
		q expect "{\"fulfilled\":{$n1},"
		q expect "...\"relayed\":2,\"open_requests\":1,"
	`)
}

// An invalid call gets an error line and its connection is closed. Silent console connections,
// however many, block neither other calls nor clients.
func TestConsoleBadCalls(t *testing.T) {
	p := startWithConsole(t)
	for bad, want := range map[string]string{
		`"restart\n"`: "unknown call", `"readyz now\n"`: "unknown call", `"\n"`: "a call is wanted", `"a b c\n"`: "at most one argument",
		`"telem\x00etry\n"`: "printable",
	} {
		p.Run(`
			console dial q
			q send ` + bad + `
			q expect "error "
			q expect "...` + want + `"
			q expect "...\n"
			q expect EOF
		`)
	}
	for range 40 {
		p.Run(`
			console dial silent
			silent send "tele"
		`)
	}
	p.Run(`
		console dial q
		q send "readyz\n"
		q expect "done\n"
		client dial c
		c send "*1\r\n$4\r\nPING\r\n"
		c expect "+PONG\r\n"
		courier wait "kind=console"
		courier wait "code=spared"
	`)
}

// If the console address cannot be bound, the start fails with one line.
func TestConsoleAddressInUse(t *testing.T) {
	c := scenario.NewCourier(t)
	c.Peers = map[string]any{"console": c.Runner.Server("taken")}
	require.Error(t, c.Start())
	require.Regexp(t, `snowjunction: listen for console: .*in use`, c.Log())
}

// An excluded endpoint gets no calls, even after a kill and a list with it as Ready, until it is
// included again. Then the waiting messages are sent.
func TestExcludedOutlastsKill(t *testing.T) {
	c := prepare(t)
	c.Peers = map[string]any{"console": "127.0.0.1:0"}
	begin := func() {
		require.NoError(t, c.Start())
		m, err := c.Await(`msg="second address" .*listen=(\S+)`)
		require.NoError(t, err)
		c.Runner.Define("console", m[1])
	}
	begin()
	for call, want := range map[string]string{
		"exclude s-2": "error no such endpoint", "include s-2": "error no such endpoint", "exclude": "error the endpoint's id is wanted",
		"include s-1": "done",
	} {
		c.Runner.Run("console dial q\nq send \"" + call + "\\n\"\nq expect \"" + want + "\\n\"\nq expect EOF")
	}
	c.Runner.Run(`
		console dial q
		q send "exclude s-1\n"
		q expect "done\n"
		client dial c
		c send "$ADDm1$STATUSx\r\n"
		c expect "+OK\r\n"
		courier wait kill
	`)
	begin()
	defineList(c.Runner, `{"generation":9,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"`+c.Targets[0].Addr+
		`","zone":"a","machineType":"k","cell":7,"lifecycle":"Ready","weight":1,"startedAtMs":0}]}`)
	c.Runner.Run(`
		discovery accept d
		discovery accept d
		d expect "...\r\n\r\n"
		d send "HTTP/1.1 200 OK\r\nContent-Length: $size\r\n\r\n$list"
		d expect "GET /discovery/hosts?after=9"
		client dial c
		c send "$ADDm2$STATUSy\r\n"
		c expect "+OK\r\n"
		console dial q
		q send "telemetry\n"
		q expect "...\"relayed\":0,\"open_requests\":2,\"registry_entries\":1,\"out_of_rotation\":1}\nend\n"
		console dial q
		q send "include s-1\n"
		q expect "done\n"
		target accept t
		t expect "POST /inbox HTTP/1.1\r\n"
	`)
}

// A caller that closes its sending side after its call, as a shell pipe does, gets a reply. If it
// closes it in the middle of a call, the connection is closed without a reply.
func TestHalfClosedCaller(t *testing.T) {
	p := startWithConsole(t)
	for call, want := range map[string]string{"exclude s-1\n": "done\n", "readyz\n": "done\n", "exclude": ""} {
		c, err := net.DialTimeout("tcp", p.Name("console"), scenario.EventTimeout)
		require.NoError(t, err)
		_, err = c.Write([]byte(call))
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, want, string(got))
		c.Close()
	}
}
