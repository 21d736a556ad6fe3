package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["stalled-clients"] = stalledClients }

// stalledCount is how many clients stop in the middle of a request.
const stalledCount = 100

// badClientLimit is what a bad client is owed an error or a close within.
const badClientLimit = 3050 * time.Millisecond

// h2c is cleartext HTTP/2 with prior knowledge.
func h2c() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

// stalledClients: clients of the push front stop in the middle of a request and stay. Other clients
// ask for the ends of their messages.
func stalledClients(g *rig) {
	p := g.newPartners()
	d := g.newDiscovery("first", 41, []instance{ready("s-one", p.endpoint(g, "s-one"), 1)})
	listen, push, state, cfg, pushFile := g.freeAddr(), g.freeAddr(), filepath.Join(g.tmp, "state"), filepath.Join(g.tmp, "config.json"), filepath.Join(g.tmp, "push.json")
	g.writeJSON(cfg, config(listen, d.addr, d.whole()))
	// The push front's file is the deploy folder's, with an address.
	g.writeJSON(pushFile, map[string]any{
		"listen": push, "max_connections": 64, "retain_s": 300, "target_connections": 4, "connection_age_s": 0, "targets": []any{},
		"openapi": filepath.Join(g.root, "deploy", "openapi.json"), "asyncapi": filepath.Join(g.root, "deploy", "asyncapi.json"),
	})
	g.start("courier", "GW_CONFIG="+cfg, "GW_STATE="+state, "GW_NAME=n0", "SNOWJUNCTION_PUSH="+pushFile)
	if !g.waitReady(listen, 30*time.Second) {
		panic(couldNotRun{fmt.Errorf("the courier is not ready")})
	}
	// ask sends one request on a connection of its own. status is 0 if it was not answered.
	ask := func(within time.Duration, method, path, id string, body io.Reader) (status int, text string) {
		t := &http.Transport{Protocols: h2c()}
		defer t.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, method, "http://"+push+path, body)
		if method == "POST" {
			for name, value := range map[string]string{"TTL": "12", "Message-Id": id, "Message-Class": "status", "Tenant": "city-takeaway"} {
				req.Header.Set(name, value)
			}
		}
		r, err := (&http.Client{Transport: t}).Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer r.Body.Close()
		b, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(b)
	}
	type taken struct {
		id       string
		deadline time.Time
		told     string
	}
	var all []*taken
	for i := range 20 {
		id := fmt.Sprintf("m%d", i)
		sent := time.Now()
		status, text := ask(400*time.Millisecond, "POST", "/push/1", id, strings.NewReader("body of "+id))
		g.rec.f("client: POST %s answered %d %s", id, status, text)
		if status == 201 {
			all = append(all, &taken{id: id, deadline: sent.Add(12 * time.Second)})
		}
	}
	if len(all) < 15 {
		panic(couldNotRun{fmt.Errorf("only %d messages were taken on", len(all))})
	}

	// Clients begin a request and send no more of it. One that is turned away comes again.
	var mu sync.Mutex
	ends, longHeld := 0, 0 // ends of their connections, and of those after their time
	stop := make(chan struct{})
	defer close(stop)
	if g.trouble {
		for i := range stalledCount {
			go func() {
				for try := 0; ; try++ {
					r, w := io.Pipe()
					go func() { _, _ = w.Write([]byte("half a body")) }()
					began := time.Now()
					status, text := ask(100*time.Second, "POST", "/push/1", fmt.Sprintf("stalled%d-%d", i, try), r)
					took := time.Since(began)
					mu.Lock()
					if ends++; took > badClientLimit {
						longHeld++
					}
					mu.Unlock()
					if try == 0 {
						g.rec.f("stalled client %d: %d %s after %v", i, status, text, took.Round(time.Millisecond))
					}
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
				}
			}()
		}
	}
	time.Sleep(4 * time.Second) // by now each of them should have an error or a close

	// The senders ask for the ends of their messages, each on a new connection, and go on asking.
	var asking sync.WaitGroup
	for i, m := range all {
		asking.Add(1)
		go func() {
			defer asking.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for tries := 1; time.Now().Before(m.deadline.Add(lostSlack)); tries++ {
				status, text := ask(400*time.Millisecond, "GET", "/message/"+m.id, "", nil)
				var answer struct{ State string }
				if status == 200 && json.Unmarshal([]byte(text), &answer) == nil && answer.State != "taken" {
					m.told = answer.State
					g.rec.f("client: GET %s, try %d: %s", m.id, tries, text)
					return
				}
				if tries%20 == 1 {
					g.rec.f("client: GET %s, try %d: %d %s", m.id, tries, status, text)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	asking.Wait()
	told := 0
	for _, m := range all {
		if m.told != "" {
			told++
			continue
		}
		g.breakRule("lost: %s was taken on, its sender asked for its end until %v after its time and was not answered (delivered: %v)", m.id, lostSlack, p.delivered(m.id))
	}
	mu.Lock()
	g.rec.f("taken on %d, told their end %d; connections of stalled clients that ended at the door %d, later than %v %d", len(all), told, ends-longHeld, badClientLimit, longHeld)
	mu.Unlock()
}
