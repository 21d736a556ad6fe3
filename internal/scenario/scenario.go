// Package scenario runs the scripts of the network tests.
//
// Each line of a script names an actor, an action and an argument:
//
//	SERVER accept WHO      accepts the next connection to a simulated server and names it WHO
//	ADDRESS dial WHO       connects to an address defined with Define and names the connection WHO
//	WHO send TEXT          sends TEXT, which may be quoted as in Go
//	WHO expect TEXT        the next bytes must be TEXT; "...TEXT" skips everything before it
//	WHO expect EOF         the connection must end without further data
//	WHO close
//	ADDRESS h2dial WHO     as dial, over HTTP/2, like SERVER h2accept WHO; see h2Conn
//	THING wait WORD        runs a step that the test defined with DefineStep
//
// $name is replaced by the value defined with Define. No line waits for a fixed time: each waits for
// its event, and fails if the event does not occur within EventTimeout.
package scenario

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// EventTimeout is the timeout for an event, after which the test fails.
const EventTimeout = 90 * time.Second

// Runner runs scripts. It owns their servers, connections and variables.
type Runner struct {
	T         *testing.T
	variables map[string]string
	servers   map[string]net.Listener
	conns     map[string]actor
	steps     map[string]func(word string) error
}

// New returns a play without servers and connections.
func New(t *testing.T) *Runner {
	return &Runner{
		T: t, variables: map[string]string{}, servers: map[string]net.Listener{},
		conns: map[string]actor{}, steps: map[string]func(string) error{},
	}
}

// Server starts a listener on loopback, defines its address under name, and returns the address.
func (p *Runner) Server(name string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(p.T, err)
	p.T.Cleanup(func() { l.Close() })
	p.servers[name] = l
	p.Define(name, l.Addr().String())
	return l.Addr().String()
}

// Listener returns the listener of a server, for tests that accept its connections themselves.
func (p *Runner) Listener(name string) net.Listener { return p.servers[name] }

// Define defines a variable.
func (p *Runner) Define(name, value string) { p.variables[name] = value }

// Name returns the value of a variable.
func (p *Runner) Name(name string) string { return p.variables[name] }

// DefineStep defines a step: the line THING wait WORD calls it with WORD.
func (p *Runner) DefineStep(thing string, step func(word string) error) { p.steps[thing] = step }

// Run executes a script. The first line that fails ends the test.
func (p *Runner) Run(script string) {
	p.T.Helper()
	for i, line := range strings.Split(script, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		err := p.runLine(line)
		require.NoError(p.T, err, "line %d: %s", i+1, line)
	}
}

// runLine executes one line of a script.
func (p *Runner) runLine(line string) error {
	who, rest, _ := strings.Cut(line, " ")
	verb, arg, _ := strings.Cut(strings.TrimSpace(rest), " ")
	if arg = strings.TrimSpace(arg); strings.HasPrefix(arg, `"`) {
		text, err := strconv.Unquote(arg)
		if err != nil {
			return fmt.Errorf("argument %s: %w", arg, err)
		}
		arg = text
	}
	for name, value := range p.variables {
		arg = strings.ReplaceAll(arg, "$"+name, value)
	}
	switch verb {
	case "wait":
		if p.steps[who] == nil {
			return fmt.Errorf("no step is defined for %s", who)
		}
		return p.steps[who](arg)
	case "accept", "h2accept":
		l, ok := p.servers[who].(*net.TCPListener)
		if !ok {
			return fmt.Errorf("unknown server %s", who)
		}
		if err := l.SetDeadline(time.Now().Add(EventTimeout)); err != nil {
			return err
		}
		c, err := l.Accept()
		return p.register(arg, c, err, verb)
	case "dial", "h2dial":
		c, err := net.DialTimeout("tcp", p.variables[who], EventTimeout)
		return p.register(arg, c, err, verb)
	}
	a := p.conns[who]
	if a == nil {
		return fmt.Errorf("unknown connection %s", who)
	}
	switch verb {
	case "send":
		return a.send(arg)
	case "expect":
		return a.expect(arg)
	case "close":
		return a.close()
	}
	return fmt.Errorf("unknown action %s", verb)
}

// register registers a connection under a name, unless err is set.
func (p *Runner) register(who string, c net.Conn, err error, verb string) error {
	if err != nil {
		return err
	}
	p.T.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(EventTimeout)); err != nil {
		return err
	}
	p.conns[who] = &plainConn{conn: c}
	if strings.HasPrefix(verb, "h2") {
		p.conns[who], err = newH2Conn(c, verb == "h2accept")
	}
	return err
}

// actor is one end of a connection.
type actor interface {
	send(text string) error
	expect(text string) error
	close() error
}

// plainConn is an end of a plain TCP connection, with the data received but not yet expected.
type plainConn struct {
	conn     net.Conn
	received []byte
}

func (a *plainConn) send(text string) error {
	_, err := a.conn.Write([]byte(text))
	return err
}

func (a *plainConn) close() error { return a.conn.Close() }

func (a *plainConn) expect(text string) error {
	if text == "EOF" {
		if err := a.readMore(); err == nil || len(a.received) > 0 {
			return fmt.Errorf("got %q instead of the end of the connection", a.received)
		}
		return nil
	}
	skipBefore := strings.HasPrefix(text, "...")
	want := []byte(strings.TrimPrefix(text, "..."))
	for {
		if at := bytes.Index(a.received, want); at >= 0 && (skipBefore || at == 0) {
			a.received = a.received[at+len(want):]
			return nil
		}
		if !skipBefore && !bytes.HasPrefix(want, a.received) {
			return fmt.Errorf("got %q", a.received)
		}
		if err := a.readMore(); err != nil {
			return fmt.Errorf("got %q, then %w", a.received, err)
		}
	}
}

// readMore reads further data.
func (a *plainConn) readMore() error {
	b := make([]byte, 16<<10)
	n, err := a.conn.Read(b)
	a.received = append(a.received, b[:n]...)
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
