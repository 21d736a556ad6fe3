package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// client is a client's connection to a courier, over RESP2.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { c.conn.Close() }

// command encodes a command as an array of bulk strings.
func command(args ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.Bytes()
}

func (c *client) send(args ...string) error {
	_, err := c.conn.Write(command(args...))
	return err
}

// reply reads one answer without its line end.
func (c *client) reply(within time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	line, err := c.in.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	if err != nil || !strings.HasPrefix(line, "$") {
		return line, err
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil {
		return "", err
	}
	b := make([]byte, n+2)
	for at := 0; at < len(b); {
		k, err := c.in.Read(b[at:])
		if err != nil {
			return "", err
		}
		at += k
	}
	return string(b[:n]), nil
}

// message is one that a client hands in.
type message struct {
	id, class string
	key       uint64
	dest      int
	time      time.Duration // until its deadline
	token     string        // idempotency key
	again     bool
	body      string
}

func (m message) args() []string {
	pairs := fmt.Sprintf("c=%s,t=town,d=%d,dest=%d", m.class, m.time.Milliseconds(), m.dest)
	if m.token != "" {
		pairs += ",k=" + m.token
	}
	if m.again {
		pairs += ",again=1"
	}
	return []string{"OUT.ADD", fmt.Sprintf("%016x", m.key), m.id, pairs, m.body}
}

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 400 * time.Millisecond

// handIn hands a message in on a connection of its own and records the answer; "closed" means that the
// connection ended without one, "silence" that none came in time, "no connection" that it did not come up.
func (p *play) handIn(c *courier, m message) string {
	answer := "no connection"
	if cl, err := dialClient(c.listen); err == nil {
		defer cl.close()
		if err = cl.send(m.args()...); err == nil {
			answer, err = cl.reply(clientTimeout)
		}
		if err != nil {
			answer = lost(err)
		}
	}
	p.note("client hands in %s (%s, key %x, dest %d) at %s: %s", m.id, m.class, m.key, m.dest, c.name, answer)
	return answer
}

func lost(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "silence"
	}
	return "closed"
}

// handInUntilTaken hands a message in again after each refusal and reports whether it was taken on.
func (p *play) handInUntilTaken(c *courier, m message, tries int) bool {
	id := m.id
	for n := range tries {
		if n > 0 {
			m.id = fmt.Sprintf("%s-%d", id, n) // each time a message is handed in, its id is new
		}
		if answer := p.handIn(c, m); answer == "+OK" {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
