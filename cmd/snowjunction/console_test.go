package main

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"snowjunction/internal/scenario"
)

// second starts a courier with a second address, which it names.
func second(t *testing.T) *scenario.Play {
	c := prepare(t)
	c.Peers = map[string]any{"console": "127.0.0.1:0"}
	require.NoError(t, c.Start())
	m, err := c.Await(`msg="second address" .*listen=(\S+)`)
	require.NoError(t, err)
	c.Play.Let("console", m[1])
	return c.Play
}

// Counts follow a message from its taking to its end; attempts count when they leave.
func TestSecondAddress(t *testing.T) {
	p := second(t)
	p.Let("n", `"order":0,"status":`)
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

// What is no call gets an error line and a close; callers that stay silent, however many,
// keep out neither another call nor a client.
func TestSecondAddressBadCalls(t *testing.T) {
	p := second(t)
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

// An address that cannot be bound ends the start with one line.
func TestSecondAddressTaken(t *testing.T) {
	c := scenario.NewCourier(t)
	c.Peers = map[string]any{"console": c.Play.Server("taken")}
	require.Error(t, c.Start())
	require.Regexp(t, `snowjunction: listen for console: .*in use`, c.Log())
}

// An endpoint that is taken out gets nothing, across a kill and lists that say the contrary,
// until it is called back; then what waits for it goes.
func TestExcludedOutlastsKill(t *testing.T) {
	c := prepare(t)
	c.Peers = map[string]any{"console": "127.0.0.1:0"}
	begin := func() {
		require.NoError(t, c.Start())
		m, err := c.Await(`msg="second address" .*listen=(\S+)`)
		require.NoError(t, err)
		c.Play.Let("console", m[1])
	}
	begin()
	for call, want := range map[string]string{
		"exclude s-2": "error no such endpoint", "include s-2": "error no such endpoint", "exclude": "error the endpoint's id is wanted",
		"include s-1": "done",
	} {
		c.Play.Run("console dial q\nq send \"" + call + "\\n\"\nq expect \"" + want + "\\n\"\nq expect EOF")
	}
	c.Play.Run(`
		console dial q
		q send "exclude s-1\n"
		q expect "done\n"
		client dial c
		c send "$ADDm1$STATUSx\r\n"
		c expect "+OK\r\n"
		courier wait kill
	`)
	begin()
	letList(c.Play, `{"generation":9,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"`+c.Targets[0].Addr+
		`","zone":"a","machineType":"k","cell":7,"lifecycle":"Ready","weight":1,"startedAtMs":0}]}`)
	c.Play.Run(`
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

// A caller that ends its sending side behind its call, as a pipe does, is answered all the same;
// one that does so before is let go.
func TestHalfClosedCaller(t *testing.T) {
	p := second(t)
	for call, want := range map[string]string{"exclude s-1\n": "done\n", "readyz\n": "done\n", "exclude": ""} {
		c, err := net.DialTimeout("tcp", p.Name("console"), scenario.Limit)
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
