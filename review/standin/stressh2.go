package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// newH2Endpoint starts an HTTP/2 target.
func (w *world) newH2Endpoint(dest int, zone string) *sEndpoint {
	l, err := net.Listen("tcp", w.g.ip+":0")
	w.g.must(err)
	w.nEp++
	e := &sEndpoint{name: fmt.Sprintf("s-%04d", w.nEp), addr: l.Addr().String(), zone: zone, dest: dest, w: w, l: l, h2: true}
	w.eps = append(w.eps, e)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", func(rw http.ResponseWriter, r *http.Request) {
		first := time.Now()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c := &sCall{id: r.Header.Get("X-Request-Id"), k: r.Header.Get("Idempotency-Key"), ep: e, first: first, start: time.Now()}
		act, delay := w.began(c, string(body))
		select {
		case <-r.Context().Done():
			w.ended(c, 0, 0, true)
			return
		case <-time.After(delay):
		}
		switch act {
		case "ok":
			w.ended(c, 200, 0, false)
			rw.WriteHeader(200)
		case "error":
			w.ended(c, 500, 0, false)
			rw.WriteHeader(500)
		case "full":
			wait := time.Duration(300+w.rnd(1500)) * time.Millisecond
			w.ended(c, 429, wait, false)
			rw.Header().Set("X-RateLimit-Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
			rw.WriteHeader(429)
		case "shut":
			w.ended(c, 503, 0, false)
			rw.WriteHeader(503)
		case "reset", "close":
			w.ended(c, 0, 0, false)
			panic(http.ErrAbortHandler)
		case "half":
			w.ended(c, 200, 0, false)
			rw.Header().Set("Content-Length", "10")
			rw.WriteHeader(200)
			_, _ = rw.Write([]byte("abc"))
			rw.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		case "silent":
			<-r.Context().Done()
			w.ended(c, 0, 0, true)
		}
	})
	serve := func(l net.Listener) *http.Server {
		s := &http.Server{Handler: mux, Protocols: h2c(), HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 4}}
		go func() { _ = s.Serve(l) }()
		return s
	}
	s := serve(l)
	e.goAway = func() { // ends its connections gracefully and serves on
		old := s
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		go func() {
			defer cancel()
			_ = old.Shutdown(ctx)
		}()
		time.Sleep(5 * time.Millisecond)
		for range 50 {
			if l, err := net.Listen("tcp", e.addr); err == nil {
				s = serve(l)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return e
}

// handPush hands messages in over HTTP/2 and asks for their ends.
func (w *world) handPush(no int, base string) {
	hc := &http.Client{Transport: &http.Transport{Protocols: h2c()}}
	n := 0
	for !w.stopped() {
		w.mu.Lock()
		class := []string{"order", "status", "pay", "slip", "zoned"}[w.rng.IntN(5)]
		ttl := 2 + w.rng.IntN(4)
		n++
		m := &sMsg{id: fmt.Sprintf("h%03d-%05d", no, n), class: class, dest: w.rng.IntN(w.nDest), seq: n, epoch: w.epoch, push: true}
		if class == "order" || class == "slip" {
			m.key = uint64(no + 1000)
		}
		if class == "order" || class == "zoned" {
			m.k = fmt.Sprintf("kh%03d-%05d", no, n)
		}
		m.sent = time.Now()
		m.deadline = m.sent.Add(time.Duration(ttl) * time.Second)
		w.msgs[m.id] = m
		if m.key != 0 {
			w.order[m.key] = append(w.order[m.key], m)
		}
		cancelEarly := w.rng.IntN(25) == 0
		deleteIt := w.rng.IntN(12) == 0
		w.mu.Unlock()
		limit := 400 * time.Millisecond
		if cancelEarly {
			limit = time.Duration(w.rnd(6)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		req, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("%s/push/%d", base, m.dest), strings.NewReader("body of "+m.id))
		req.Header.Set("TTL", strconv.Itoa(ttl))
		req.Header.Set("Message-Id", m.id)
		req.Header.Set("Message-Class", class)
		req.Header.Set("Tenant", "city-takeaway")
		if m.key != 0 {
			req.Header.Set("Order-Key", fmt.Sprintf("%x", m.key))
		}
		if m.k != "" {
			req.Header.Set("Idempotency-Key", m.k)
		}
		answer := ""
		if r, err := hc.Do(req); err == nil {
			answer = strconv.Itoa(r.StatusCode)
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
		}
		cancel()
		w.mu.Lock()
		m.answered, m.answer = time.Now(), answer
		m.ok = answer == "201"
		m.gone = !m.ok
		w.mu.Unlock()
		w.g.rec.f("push client %s c=%s dest=%d ttl=%d key %x: %q", m.id, class, m.dest, ttl, m.key, answer)
		if m.ok {
			go w.follow(hc, base, m)
			if deleteIt {
				w.withdraw(hc, base, m)
			}
		}
		time.Sleep(time.Duration(20+w.rnd(500)) * time.Millisecond)
	}
}

// withdraw deletes a message. After a 204 nothing of it goes any more.
func (w *world) withdraw(hc *http.Client, base string, m *sMsg) {
	time.Sleep(time.Duration(w.rnd(800)) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "DELETE", base+"/message/"+m.id, nil)
	r, err := hc.Do(req)
	if err != nil {
		return
	}
	r.Body.Close()
	w.g.rec.f("push client deletes %s: %d", m.id, r.StatusCode)
	if r.StatusCode == 204 {
		w.mu.Lock()
		m.withdrawnAt = time.Now()
		w.mu.Unlock()
	}
}

// follow asks for the end of a message until it is told.
func (w *world) follow(hc *http.Client, base string, m *sMsg) {
	for time.Now().Before(m.deadline.Add(6 * time.Second)) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		req, _ := http.NewRequestWithContext(ctx, "GET", base+"/message/"+m.id, nil)
		if w.rnd(2) == 0 {
			req.Header.Set("Prefer", "wait=2")
		}
		r, err := hc.Do(req)
		if err == nil {
			var x struct{ ID, State string }
			b, rerr := io.ReadAll(r.Body)
			r.Body.Close()
			if rerr == nil && r.StatusCode == 200 && json.Unmarshal(b, &x) == nil {
				if x.ID != m.id {
					w.g.breakRule("foreign: asked for %s, told of %s", m.id, x.ID)
				}
				if x.State != "taken" {
					w.mu.Lock()
					m.told, m.toldAt = x.State, time.Now()
					w.mu.Unlock()
					w.g.rec.f("push client %s told %s", m.id, x.State)
					cancel()
					return
				}
			} else if rerr == nil && r.StatusCode != 200 && r.StatusCode != 503 {
				w.g.breakRule("lost: asked for %s, answered %d %s", m.id, r.StatusCode, b)
				cancel()
				return
			}
		}
		cancel()
		time.Sleep(time.Duration(20+w.rnd(150)) * time.Millisecond)
	}
}

// checkPush checks what push clients were told.
func (w *world) checkPush(m *sMsg, due time.Time) {
	delivered := false
	for _, c := range m.calls {
		delivered = delivered || c.status == 200
	}
	switch {
	case m.told == "":
		w.g.breakRule("lost: %s (%s) over HTTP/2 was told no end", m.id, m.class)
	case m.toldAt.After(due.Add(2500 * time.Millisecond)):
		w.g.breakRule("lost: %s (%s) over HTTP/2 was told %s %v after its time", m.id, m.class, m.told, m.toldAt.Sub(m.deadline))
	case m.told == "delivered" && !delivered:
		w.g.breakRule("wrong: %s was told delivered and no target answered 200", m.id)
	case m.told == "returned" && m.class == "pay" && len(m.calls) > 0:
		for _, c := range m.calls {
			if c.status != 429 && c.status != 503 {
				w.g.breakRule("wrong: %s (pay) was told returned after a call that may have run, status %d", m.id, c.status)
				break
			}
		}
	}
}
