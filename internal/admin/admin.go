// Package admin is the courier's local door for operators: a Unix socket that
// only its owner may open. A request is a line of JSON, {"do":"WORD"}, and so is
// its answer; many may come on one connection.
package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Request is a line that asks for something.
type Request struct {
	Do string `json:"do"`
}

// Reply is its answer.
type Reply struct {
	Error string `json:"error,omitempty"`
	Value any    `json:"value,omitempty"`
}

// Do carries a request out: it calls done once, on whatever goroutine.
type Do func(r Request, done func(Reply))

// Socket is an open door.
type Socket struct {
	path string
	l    net.Listener
	do   Do
	mu   sync.Mutex
	open map[net.Conn]bool
}

const (
	connsMost  = 8
	lineMost   = 4096
	idleWithin = 30 * time.Second
	doWithin   = 60 * time.Second
)

// Listen opens the door at a path. A socket that a process has left there is
// replaced; one that is served, or anything else, is not.
func Listen(path string, do Do) (*Socket, error) {
	if i, err := os.Lstat(path); err == nil {
		if i.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("admin socket: %s is there and no socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("admin socket: %s is served by another process", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin socket: %w", err)
		}
	}
	old := syscall.Umask(0o177) // never open to others, not even for a moment
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	s := &Socket{path: path, l: l, do: do, open: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Close shuts the door.
func (s *Socket) Close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

func (s *Socket) accept() {
	for {
		c, err := s.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		full := len(s.open) >= connsMost
		if !full {
			s.open[c] = true
		}
		s.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

func (s *Socket) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 0, 512), lineMost)
	for {
		_ = c.SetDeadline(time.Now().Add(idleWithin))
		if !lines.Scan() {
			return
		}
		var r Request
		reply := Reply{}
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			reply.Error = "a line of JSON is wanted: " + err.Error()
		} else {
			got := make(chan Reply, 1)
			s.do(r, func(x Reply) {
				select {
				case got <- x:
				default:
				}
			})
			select {
			case reply = <-got:
			case <-time.After(doWithin):
				reply.Error = "no answer in time"
			}
		}
		b, err := json.Marshal(reply)
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(idleWithin))
		if _, err := c.Write(append(b, '\n')); err != nil {
			return
		}
	}
}

// Ask asks at a door and returns what is answered, as JSON.
func Ask(path, do string) (json.RawMessage, error) {
	c, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(doWithin))
	if err := json.NewEncoder(c).Encode(Request{do}); err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	var r struct {
		Error string          `json:"error"`
		Value json.RawMessage `json:"value"`
	}
	if err := json.NewDecoder(c).Decode(&r); err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	if r.Error != "" {
		return nil, errors.New(r.Error)
	}
	return r.Value, nil
}
