// Package sink simulates a courier that accepts and discards every message at once, over both
// fronts, to measure the capacity of a load generator. Responses can be held back.
package sink

import (
	"net"
	"sync"
	"time"

	"snowjunction/internal/proto/h2"
	"snowjunction/internal/proto/resp"
)

// Sink is a running simulated courier.
type Sink struct {
	Resp, Push string // addresses of the fronts

	listeners []net.Listener
	mu        sync.Mutex
	hold      chan struct{} // closed by Release; nil while responses are not held
	conns     map[net.Conn]bool
	accepted  int
	wg        sync.WaitGroup
}

// New starts a sink on loopback addresses.
func New() (*Sink, error) {
	s := &Sink{conns: map[net.Conn]bool{}}
	for _, x := range []struct {
		addr  *string
		serve func(net.Conn)
	}{{&s.Resp, s.serveRESP}, {&s.Push, s.servePush}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		*x.addr = l.Addr().String()
		s.listeners = append(s.listeners, l)
		s.wg.Go(func() { s.accept(l, x.serve) })
	}
	return s, nil
}

// Hold delays all responses until Release.
func (s *Sink) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold == nil {
		s.hold = make(chan struct{})
	}
}

// Release sends the responses held back by Hold.
func (s *Sink) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold != nil {
		close(s.hold)
		s.hold = nil
	}
}

// CloseConnections closes all connections.
func (s *Sink) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Accepted returns the number of messages accepted.
func (s *Sink) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Close stops the sink and closes its connections.
func (s *Sink) Close() {
	for _, l := range s.listeners {
		l.Close()
	}
	s.Release()
	s.CloseConnections()
	s.wg.Wait()
}

func (s *Sink) accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			defer func() {
				c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
			serve(c)
		})
	}
}

// waitAndCount waits while responses are held, then counts n accepted messages.
func (s *Sink) waitAndCount(n int) {
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		<-hold
	}
	s.mu.Lock()
	s.accepted += n
	s.mu.Unlock()
}

func (s *Sink) serveRESP(c net.Conn) {
	var p resp.Parser
	b := make([]byte, 64<<10)
	var out []byte
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		p.Feed(b[:n])
		out = out[:0]
		for n = 0; ; n++ {
			args, err := p.Next()
			if err != nil {
				return
			}
			if args == nil {
				break
			}
			out = append(out, "+OK\r\n"...)
		}
		s.waitAndCount(n)
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

func (s *Sink) servePush(c net.Conn) {
	p := h2.NewServer(h2.Limits{MaxStreams: 256, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, MaxBufferedBytes: 4 << 20})
	b := make([]byte, 64<<10)
	created := []h2.Field{{Name: ":status", Value: "201"}}
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		events, err := p.Feed(time.Now(), b[:n])
		if err != nil {
			return
		}
		n = 0
		for _, e := range events {
			if m, ok := e.(h2.Message); ok {
				p.Respond(m.Stream, created, nil)
				n++
			}
		}
		if n > 0 {
			s.waitAndCount(n)
		}
		if _, err := c.Write(p.Output()); err != nil {
			return
		}
	}
}
