package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memory }

// endless is an endpoint some of whose answers never end: 1xx answers come before them, one after another, and
// the final one does not come. The others are good.
type endless struct {
	play    *play
	addr    string
	spoilt  func(n int64) bool // whether the n-th call is answered so
	calls   atomic.Int64
	written atomic.Int64
	flood   []byte
}

func (p *play) newEndless(spoilt func(n int64) bool, flood []byte) *endless {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err)
	e := &endless{play: p, addr: l.Addr().String(), spoilt: spoilt, flood: flood}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endless) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-ID")
		_, _ = bufio.NewReader(r.Body).WriteTo(&bytes.Buffer{})
		n := e.calls.Add(1)
		if !e.spoilt(n) {
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		e.play.note("call %s: an answer that does not end begins", id)
		began, sent := time.Now(), int64(0)
		for {
			k, err := conn.Write(e.flood)
			sent += int64(k)
			e.written.Add(int64(k))
			if err != nil {
				e.play.note("call %s: the courier ended the connection after %v and %d MB", id, time.Since(began).Round(time.Millisecond), sent>>20)
				return
			}
		}
	}
}

// memory hands in ten messages a second for a partner that spoils one answer of four, at a courier with 64 MB.
func memory(p *play) {
	const mb = 64
	head := "HTTP/1.1 102 Processing\r\nX-Padding: " + strings.Repeat("0123456789", 1500) + "\r\n\r\n"
	flood := bytes.Repeat([]byte(head), 16)
	e := p.newEndless(func(n int64) bool { return p.trouble && n%4 == 0 }, flood)
	f := p.newPlatform([]instance{{InstanceID: "kitchen", HostPort: e.addr, Zone: "a", MachineType: "k", Cell: 1, Lifecycle: "Ready", Weight: 1}})
	c := p.newCourier("n0", f.addr, settings(1, 0))
	c.config["limits"].(object)["memory_mb"] = mb
	c.start()
	most := int64(0)
	for n := range 40 {
		p.handIn(c, message{id: fmt.Sprintf("m%d", n), class: "status", dest: 1, time: 8 * time.Second, body: "x"})
		time.Sleep(100 * time.Millisecond)
		if m := c.peakMemory(); m > most {
			most = m
			p.note("largest resident size so far: %d MB", m>>20)
		}
	}
	time.Sleep(time.Second)
	most = max(most, c.peakMemory())
	p.note("largest resident size: %d MB of %d MB", most>>20, mb)
	if !c.alive() {
		p.breach("the courier has crashed")
	}
	if most > int64(mb)<<20 {
		p.breach("the courier used %d MB; over %d MB it is killed", most>>20, mb)
	}
}
