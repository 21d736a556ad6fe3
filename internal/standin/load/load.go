// Package load submits messages to a courier over both its fronts and records the responses, so
// that the final results can be checked: each accepted message must have exactly one.
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

// Message is a message to submit.
type Message struct {
	ID, Class, Tenant string
	Destination       uint32
	Key, Seq          uint64        // ordering key and sequence number; key 0 means none
	HasIdempotencyKey bool          // whether it carries an idempotency key
	TTL               time.Duration // time to live
	Push              bool          // submitted over HTTP/2 instead of RESP2
}

// Verdict is the courier's response to a submission.
type Verdict int

// The responses.
const (
	Accepted Verdict = iota
	Rejected
	Failed     // any other response
	NoResponse // no response: whether the message was accepted is unknown
)

// Client submits messages. It is safe for concurrent use.
type Client struct {
	// Timeout is the timeout for a response. Zero means 5 s.
	Timeout time.Duration
	// Overdue reports whether a delivered message was also rightly reported as failed, because its
	// deadline passed first. Nil means that no message was.
	Overdue func(dest uint32, id string) bool

	addr, push string
	http       *http.Client

	mu          sync.Mutex
	idle        []*conn
	Sent        []Message
	Verdicts    map[string]Verdict // by message ID
	finalStates map[string]string  // by message ID: final states read from the push front, which expires them
}

type conn struct {
	net.Conn
	r *bufio.Reader
}

// New returns a client of the courier whose RESP2 front listens at addr and whose push front
// listens at push, which may be empty.
func New(addr, push string) *Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &Client{
		addr: addr, push: push, Verdicts: map[string]Verdict{}, finalStates: map[string]string{},
		http: &http.Client{Transport: &http.Transport{Protocols: &p}},
	}
}

// defaultTimeout is the default timeout for a response. The platform's clients wait 400 ms; this one
// waits longer, to distinguish a late response from a missing one.
const defaultTimeout = 5 * time.Second

func (c *Client) timeout() time.Duration { return cmp.Or(c.Timeout, defaultTimeout) }

// Close closes the client's connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.Close()
	}
	c.idle = nil
	c.http.CloseIdleConnections()
}

// Submit submits a message and returns the courier's response and, for Refused, the delay before a
// retry. An error means that no response came (Unheard).
func (c *Client) Submit(m Message) (Verdict, time.Duration, error) {
	submit := c.submitRESP
	if m.Push {
		submit = c.submitPush
	}
	v, retryAfter, err := submit(m)
	if err != nil {
		v = NoResponse
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Sent = append(c.Sent, m)
	c.Verdicts[m.ID] = v
	return v, retryAfter, err
}

func (m Message) body(now time.Time) []byte { return standin.Body(m.Key, m.Seq, now.Add(m.TTL)) }

// Command appends the message as a RESP2 command of the platform's front.
func (m Message) Command(b []byte, now time.Time) []byte {
	names := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%d", m.Class, m.Tenant, m.TTL.Milliseconds(), m.Destination)
	if m.HasIdempotencyKey {
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

// Request returns the message as a request to the push front: the path, the headers as pairs of
// name and value, and the body.
func (m Message) Request(now time.Time) (path string, headers [][2]string, body []byte) {
	headers = [][2]string{
		{"ttl", strconv.Itoa(max(int(m.TTL/time.Second), 1))}, {"message-id", m.ID}, {"message-class", m.Class}, {"tenant", m.Tenant},
	}
	if m.Key != 0 {
		headers = append(headers, [2]string{"order-key", fmt.Sprintf("%016x", m.Key)})
	}
	if m.HasIdempotencyKey {
		headers = append(headers, [2]string{"idempotency-key", m.ID})
	}
	return fmt.Sprintf("/push/%d", m.Destination), headers, m.body(now)
}

func (c *Client) submitRESP(m Message) (v Verdict, retryAfter time.Duration, err error) {
	command := m.Command(nil, time.Now())
	for used := true; used; {
		var k *conn
		if k, used, err = c.acquire(); err != nil {
			return NoResponse, 0, err
		}
		var line string
		if line, err = k.roundTrip(command, c.timeout()); err == nil {
			c.release(k)
			v, retryAfter = ParseResponse(line)
			return v, retryAfter, nil
		}
		k.Close()
		// The courier may close an idle connection between requests: a request that races with
		// the close is sent again on another connection.
	}
	return NoResponse, 0, err
}

func (k *conn) roundTrip(b []byte, timeout time.Duration) (string, error) {
	_ = k.SetDeadline(time.Now().Add(timeout))
	if _, err := k.Write(b); err != nil {
		return "", err
	}
	line, err := k.r.ReadString('\n')
	return strings.TrimSpace(line), err
}

// ParseResponse parses a response line of the platform's front into a verdict and, for Refused, the
// delay before a retry.
func ParseResponse(line string) (Verdict, time.Duration) {
	switch {
	case strings.HasPrefix(line, "+"):
		return Accepted, 0
	case strings.HasPrefix(line, "-BUSY"):
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		return Rejected, time.Duration(ms) * time.Millisecond
	}
	return Failed, 0
}

// VerdictForStatus returns the verdict for an HTTP status of the push front.
func VerdictForStatus(code int) Verdict {
	switch code {
	case http.StatusCreated:
		return Accepted
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// acquire returns an idle or a new connection, and whether it has been used before.
func (c *Client) acquire() (*conn, bool, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, true, nil
	}
	c.mu.Unlock()
	k, err := net.DialTimeout("tcp", c.addr, c.timeout())
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: k, r: bufio.NewReader(k)}, false, nil
}

func (c *Client) release(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

func (c *Client) submitPush(m Message) (Verdict, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout())
	defer cancel()
	path, headers, body := m.Request(time.Now())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.push+path, bytes.NewReader(body))
	if err != nil {
		return NoResponse, 0, err
	}
	for _, h := range headers {
		r.Header.Set(h[0], h[1])
	}
	a, err := c.http.Do(r)
	if err != nil {
		return NoResponse, 0, err
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	v := VerdictForStatus(a.StatusCode)
	if v != Rejected {
		return v, 0, nil
	}
	wait, _ := strconv.Atoi(a.Header.Get("Retry-After"))
	return v, time.Duration(wait) * time.Second, nil
}

// pushState queries the push front for the state of a message. It returns "" if there is none.
func (c *Client) pushState(id string) (state string) {
	c.mu.Lock()
	state = c.finalStates[id]
	c.mu.Unlock()
	if state != "" {
		return state
	}
	defer func() {
		if state != "" && state != "taken" {
			c.mu.Lock()
			c.finalStates[id] = state
			c.mu.Unlock()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout())
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

// Results counts messages by the response to their submission and by their final result.
type Results struct {
	Handed, Taken, Refused, Failed, Unheard int
	Delivered, Returned, Given              int // final results of accepted messages; Given: reported as failed
	Open                                    int // accepted, without a final result
	Doubled                                 int // accepted, with more than one final result
	Overdue                                 int // of Given: also delivered, after the deadline
}

// Add adds the counters of x.
func (e *Results) Add(x Results) {
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

// CountResults compares every submitted message with its final results: delivered reports whether a
// partner received the message, and notices are those that the directory received. Only messages
// for which filter returns true are counted; a nil filter selects all.
func (c *Client) CountResults(delivered func(dest uint32, id string) bool, notices map[string][]standin.Notice, filter func(Message) bool) (e Results) {
	c.mu.Lock()
	sent := append([]Message(nil), c.Sent...)
	verdicts := map[string]Verdict{}
	for id, v := range c.Verdicts {
		verdicts[id] = v
	}
	c.mu.Unlock()
	for _, m := range sent {
		if filter != nil && !filter(m) {
			continue
		}
		e.Handed++
		switch verdicts[m.ID] {
		case Rejected:
			e.Refused++
			continue
		case Failed:
			e.Failed++
			continue
		case NoResponse:
			e.Unheard++
			continue
		}
		e.Taken++
		wasDelivered := delivered(m.Destination, m.ID)
		state, contradictory := "", false
		if m.Push {
			if s := c.pushState(m.ID); s == "failed" || s == "returned" {
				state = s
			}
		} else if n := notices[m.ID]; len(n) > 0 {
			state = n[0].State
			for _, x := range n[1:] {
				if x.State != state {
					contradictory = true
				}
			}
		}
		switch {
		case !contradictory && wasDelivered && state == "failed" && c.Overdue != nil && c.Overdue(m.Destination, m.ID):
			e.Given++
			e.Overdue++
		case contradictory || wasDelivered && state != "":
			e.Doubled++
		case wasDelivered:
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
