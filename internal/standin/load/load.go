// Package load hands messages to a courier over both its fronts and keeps the
// record against which their ends are held: each that was taken on must have
// exactly one.
package load

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"snowjunction/internal/standin"
)

// Message is one to be handed in.
type Message struct {
	ID, Class, Tenant string
	Destination       uint32
	Key, Seq          uint64 // Key 0: none
	Keyed             bool   // it carries an idempotency key
	Left              time.Duration
	Push              bool // over HTTP/2, else RESP2
}

// Verdict is what the courier answered.
type Verdict int

// The verdicts.
const (
	Taken Verdict = iota
	Refused
	Failed  // answered with anything else
	Unheard // no answer: whether it was taken is not known
)

// Client hands messages in. It may be used by many goroutines.
type Client struct {
	// Within is how long it waits for an answer; 0: 5 s.
	Within time.Duration
	// Overdue tells whether a message that is delivered was told as failed rightly, as its time was
	// over first; nil: none was.
	Overdue func(dest uint32, id string) bool

	addr, push string
	http       *http.Client

	mu    sync.Mutex
	idle  []*conn
	Sent  []Message
	Heard map[string]Verdict
	ended map[string]string // by id: ends that the push front has told; it forgets them
}

type conn struct {
	net.Conn
	r *bufio.Reader
}

// New returns a client of the courier whose fronts listen at these addresses;
// push may be "".
func New(addr, push string) *Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &Client{
		addr: addr, push: push, Heard: map[string]Verdict{}, ended: map[string]string{},
		http: &http.Client{Transport: &http.Transport{Protocols: &p}},
	}
}

// answerWithin is how long a client waits for an answer; the platform's clients
// wait 400 ms, this one tells late from never.
const answerWithin = 5 * time.Second

func (c *Client) within() time.Duration { return cmp.Or(c.Within, answerWithin) }

// Close ends the client's connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.Close()
	}
	c.idle = nil
	c.http.CloseIdleConnections()
}

// Add hands a message in and returns what was answered, and with Refused after
// how long to come back.
func (c *Client) Add(m Message) (Verdict, time.Duration, error) {
	add := c.resp
	if m.Push {
		add = c.post
	}
	v, after, err := add(m)
	if err != nil {
		v = Unheard
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Sent = append(c.Sent, m)
	c.Heard[m.ID] = v
	return v, after, err
}

func (m Message) body(now time.Time) []byte { return standin.Body(m.Key, m.Seq, now.Add(m.Left)) }

// Command appends the message as a command of the platform's front (RESP2).
func (m Message) Command(b []byte, now time.Time) []byte {
	names := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%d", m.Class, m.Tenant, m.Left.Milliseconds(), m.Destination)
	if m.Keyed {
		names += ",k=" + m.ID
	}
	words := [...][]byte{[]byte("OUT.ADD"), fmt.Appendf(nil, "%016x", m.Key), []byte(m.ID), []byte(names), m.body(now)}
	b = fmt.Appendf(b, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n", len(w))
		b = append(append(b, w...), "\r\n"...)
	}
	return b
}

// Request is the message as a request of the push front: its path, what its headers
// say, by name, and its body.
func (m Message) Request(now time.Time) (path string, headers [][2]string, body []byte) {
	headers = [][2]string{
		{"ttl", strconv.Itoa(max(int(m.Left/time.Second), 1))}, {"message-id", m.ID}, {"message-class", m.Class}, {"tenant", m.Tenant},
	}
	if m.Key != 0 {
		headers = append(headers, [2]string{"order-key", fmt.Sprintf("%016x", m.Key)})
	}
	if m.Keyed {
		headers = append(headers, [2]string{"idempotency-key", m.ID})
	}
	return fmt.Sprintf("/push/%d", m.Destination), headers, m.body(now)
}

func (c *Client) resp(m Message) (v Verdict, after time.Duration, err error) {
	command := m.Command(nil, time.Now())
	for used := true; used; {
		var k *conn
		if k, used, err = c.take(); err != nil {
			return Unheard, 0, err
		}
		var line string
		if line, err = k.ask(command, c.within()); err == nil {
			c.give(k)
			v, after = Answer(line)
			return v, after, nil
		}
		k.Close()
		// The courier may end a connection between requests: one that crosses
		// that goes once more, on another.
	}
	return Unheard, 0, err
}

func (k *conn) ask(b []byte, within time.Duration) (string, error) {
	_ = k.SetDeadline(time.Now().Add(within))
	if _, err := k.Write(b); err != nil {
		return "", err
	}
	line, err := k.r.ReadString('\n')
	return strings.TrimSpace(line), err
}

// Answer reads a line of the platform's front: the verdict, and with Refused after
// how long to come back.
func Answer(line string) (Verdict, time.Duration) {
	switch {
	case strings.HasPrefix(line, "+"):
		return Taken, 0
	case strings.HasPrefix(line, "-BUSY"):
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		return Refused, time.Duration(ms) * time.Millisecond
	}
	return Failed, 0
}

// Status is what a status of the push front says.
func Status(code int) Verdict {
	switch code {
	case http.StatusCreated:
		return Taken
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused
	}
	return Failed
}

// take returns a connection, and whether it has been used before.
func (c *Client) take() (*conn, bool, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, true, nil
	}
	c.mu.Unlock()
	k, err := net.DialTimeout("tcp", c.addr, c.within())
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: k, r: bufio.NewReader(k)}, false, nil
}

func (c *Client) give(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

func (c *Client) post(m Message) (Verdict, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.within())
	defer cancel()
	path, headers, body := m.Request(time.Now())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.push+path, bytes.NewReader(body))
	if err != nil {
		return Unheard, 0, err
	}
	for _, h := range headers {
		r.Header.Set(h[0], h[1])
	}
	a, err := c.http.Do(r)
	if err != nil {
		return Unheard, 0, err
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	v := Status(a.StatusCode)
	if v != Refused {
		return v, 0, nil
	}
	wait, _ := strconv.Atoi(a.Header.Get("Retry-After"))
	return v, time.Duration(wait) * time.Second, nil
}

// pushState is what the push front tells of a message's life; "": nothing.
func (c *Client) pushState(id string) (state string) {
	c.mu.Lock()
	state = c.ended[id]
	c.mu.Unlock()
	if state != "" {
		return state
	}
	defer func() {
		if state != "" && state != "taken" {
			c.mu.Lock()
			c.ended[id] = state
			c.mu.Unlock()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), c.within())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.push+"/message/"+id, nil)
	if err != nil {
		return ""
	}
	a, err := c.http.Do(r)
	if err != nil {
		return ""
	}
	defer a.Body.Close()
	var body struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(a.Body).Decode(&body)
	return body.State
}

// Ends is the account of what became of the messages.
type Ends struct {
	Handed, Taken, Refused, Failed, Unheard int
	Delivered, Returned, Given              int // ends of those taken; Given: failed by notice
	Open                                    int // taken and without an end
	Doubled                                 int // taken and with more than one
	Overdue                                 int // of Given: delivered as well, too late
}

// Add sums up.
func (e *Ends) Add(x Ends) {
	for _, p := range []struct {
		to *int
		v  int
	}{
		{&e.Handed, x.Handed}, {&e.Taken, x.Taken}, {&e.Refused, x.Refused}, {&e.Failed, x.Failed},
		{&e.Unheard, x.Unheard}, {&e.Delivered, x.Delivered}, {&e.Returned, x.Returned}, {&e.Given, x.Given},
		{&e.Open, x.Open}, {&e.Doubled, x.Doubled}, {&e.Overdue, x.Overdue},
	} {
		*p.to += p.v
	}
}

// Account holds every message handed in against its ends: delivered tells
// whether a partner has delivered it, notices are the directory's. Messages that
// keep fits are counted; nil: all.
func (c *Client) Account(delivered func(dest uint32, id string) bool, notices map[string][]standin.Notice, keep func(Message) bool) (e Ends) {
	c.mu.Lock()
	sent := append([]Message(nil), c.Sent...)
	heard := map[string]Verdict{}
	for id, v := range c.Heard {
		heard[id] = v
	}
	c.mu.Unlock()
	for _, m := range sent {
		if keep != nil && !keep(m) {
			continue
		}
		e.Handed++
		switch heard[m.ID] {
		case Refused:
			e.Refused++
			continue
		case Failed:
			e.Failed++
			continue
		case Unheard:
			e.Unheard++
			continue
		}
		e.Taken++
		done := delivered(m.Destination, m.ID)
		state, torn := "", false
		if m.Push {
			if s := c.pushState(m.ID); s == "failed" || s == "returned" {
				state = s
			}
		} else if n := notices[m.ID]; len(n) > 0 {
			state = n[0].State
			for _, x := range n[1:] {
				if x.State != state {
					torn = true
				}
			}
		}
		switch {
		case !torn && done && state == "failed" && c.Overdue != nil && c.Overdue(m.Destination, m.ID):
			e.Given++
			e.Overdue++
		case torn || done && state != "":
			e.Doubled++
		case done:
			e.Delivered++
		case state == "returned":
			e.Returned++
		case state == "failed":
			e.Given++
		default:
			e.Open++
		}
	}
	return e
}
