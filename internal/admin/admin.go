// Package admin serves and calls the admin socket: a Unix socket on which operators send commands
// to a running courier. Only the user that owns the socket can connect. A request is one line of
// JSON, {"do":"COMMAND"}, and its reply is one line of JSON as well. A connection can carry many
// requests, one at a time.
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

// Request is one command sent to the admin socket.
type Request struct {
	Command string `json:"do"`
}

// Reply is the response to a Request. Error is empty on success.
type Reply struct {
	Error string `json:"error,omitempty"`
	Value any    `json:"value,omitempty"`
}

// Handler executes a request. It calls done once, from any goroutine.
type Handler func(r Request, done func(Reply))

// Server is a listening admin socket and its open connections.
type Server struct {
	path     string
	listener net.Listener
	handle   Handler
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Limits of the admin socket.
const (
	maxConns       = 8
	maxLineBytes   = 4096
	idleTimeout    = 30 * time.Second
	commandTimeout = 60 * time.Second
)

// Listen opens the admin socket at path. A stale socket of an ended process is replaced. Listen
// returns an error if another process serves the socket or if path is not a socket.
func Listen(path string, handle Handler) (*Server, error) {
	if i, err := os.Lstat(path); err == nil {
		if i.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("admin socket: %s exists and is not a socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("admin socket: %s is in use by another process", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin socket: %w", err)
		}
	}
	old := syscall.Umask(0o177) // the socket is created with mode 0600, so other users can never connect
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	s := &Server{path: path, listener: l, handle: handle, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// accept serves connections until the listener is closed. Connections over maxConns are closed at
// once.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		atCapacity := len(s.conns) >= maxConns
		if !atCapacity {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if atCapacity {
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

// serve handles the requests of a connection, one at a time.
func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 0, 512), maxLineBytes)
	for {
		_ = c.SetDeadline(time.Now().Add(idleTimeout))
		if !lines.Scan() {
			return
		}
		var r Request
		reply := Reply{}
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			reply.Error = "the request must be one line of JSON: " + err.Error()
		} else {
			replies := make(chan Reply, 1)
			s.handle(r, func(x Reply) {
				select {
				case replies <- x:
				default:
				}
			})
			select {
			case reply = <-replies:
			case <-time.After(commandTimeout):
				reply.Error = "the courier did not reply in time"
			}
		}
		b, err := json.Marshal(reply)
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(idleTimeout))
		if _, err := c.Write(append(b, '\n')); err != nil {
			return
		}
	}
}

// Call sends a command to the admin socket at path and returns the value of the reply as JSON.
func Call(path, command string) (json.RawMessage, error) {
	c, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(commandTimeout))
	if err := json.NewEncoder(c).Encode(Request{command}); err != nil {
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
