package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"snowjunction/internal/describe"
	"snowjunction/internal/scenario"
)

// gateway is a courier with the push front on, and an independent HTTP/2
// client of it.
type gateway struct {
	t *testing.T
	*scenario.Courier
	http    *http.Client
	pushDir string
}

// pushTarget is an entry of the push front's file.
type pushTarget struct {
	Name  string `json:"instanceId"`
	Addr  string `json:"hostPort"`
	Cell  int    `json:"cell"`
	State string `json:"lifecycle"`
	Zone  string `json:"zone"`
	Kind  string `json:"machineType"`
}

func newGateway(t *testing.T, targets ...pushTarget) *gateway {
	g := &gateway{t: t, Courier: scenario.NewCourier(t)}
	g.http = &http.Client{Timeout: scenario.Limit, Transport: &http2.Transport{
		AllowHTTP: true,
		DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		},
	}}
	t.Cleanup(g.http.CloseIdleConnections)
	g.write(targets)
	g.Env = []string{"SNOWJUNCTION_PUSH=" + filepath.Join(g.Dir(), "push.json")}
	return g
}

func (g *gateway) write(targets []pushTarget) {
	deploy, err := filepath.Abs("../../deploy")
	require.NoError(g.t, err)
	b, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:0", "openapi": filepath.Join(deploy, "openapi.json"),
		"asyncapi": filepath.Join(deploy, "asyncapi.json"), "targets": targets, "hooks": g.pushDir,
	})
	require.NoError(g.t, err)
	require.NoError(g.t, os.WriteFile(filepath.Join(g.Dir(), "push.json"), b, 0o600))
}

func ready(name, addr string, cell int) pushTarget {
	return pushTarget{name, addr, cell, "Ready", "a", "k"}
}

func (g *gateway) do(method, path string, body string, headers ...string) (*http.Response, string) {
	g.t.Helper()
	r, err := http.NewRequest(method, "http://"+g.Play.Name("push")+path, strings.NewReader(body))
	require.NoError(g.t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := g.http.Do(r)
	require.NoError(g.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(g.t, err)
	g.described(method, path, resp, b)
	return resp, string(b)
}

// described holds every answer that a test gets to the deployed documents: its
// status, the headers that it must have, and the fields of a message's life.
func (g *gateway) described(method, path string, resp *http.Response, body []byte) {
	text, err := os.ReadFile("../../deploy/openapi.json")
	require.NoError(g.t, err)
	doc, err := fastjson.ParseBytes(text)
	require.NoError(g.t, err)
	api, err := describe.OpenAPI("openapi.json", text)
	require.NoError(g.t, err)
	for _, op := range []*describe.Operation{&api.Submit, &api.Status} {
		if _, ok := op.Match(path); !ok || op.Method != method {
			continue
		}
		assert.Contains(g.t, op.Statuses, resp.StatusCode, "%s %s", method, path)
		item := map[bool]string{true: "/push/{destination}", false: "/message/{id}"}[op == &api.Submit]
		answer := doc.Get("paths", item, strings.ToLower(method), "responses", fmt.Sprint(resp.StatusCode))
		if ref := string(answer.GetStringBytes("$ref")); ref != "" {
			answer = doc.Get(strings.Split(strings.TrimPrefix(ref, "#/"), "/")...)
		}
		answer.GetObject("headers").Visit(func(name []byte, h *fastjson.Value) {
			if h.GetBool("required") {
				assert.NotEmpty(g.t, resp.Header.Get(string(name)), "%s of %d", name, resp.StatusCode)
			}
		})
	}
	if resp.StatusCode != 200 {
		return
	}
	text, err = os.ReadFile("../../deploy/asyncapi.json")
	require.NoError(g.t, err)
	life, err := describe.AsyncAPI("asyncapi.json", text)
	require.NoError(g.t, err)
	v, err := fastjson.ParseBytes(body)
	require.NoError(g.t, err)
	notice := life.Ended
	if state := string(v.GetStringBytes("state")); state == life.Taken.States[0] {
		notice = life.Taken
	} else {
		assert.Contains(g.t, life.Ended.States, state)
	}
	v.GetObject().Visit(func(key []byte, _ *fastjson.Value) { assert.Contains(g.t, notice.Fields, string(key)) })
	for _, field := range notice.Fields {
		assert.True(g.t, field == "after_ms" || v.Exists(field), "%s is promised: %s", field, body)
	}
}

// post hands a message in and returns its location.
func (g *gateway) post(id, class, key, body string, dest int) string {
	g.t.Helper()
	headers := []string{"TTL", "8", "Message-Id", id, "Message-Class", class, "Tenant", "town"}
	if class == "order" {
		headers = append(headers, "Order-Key", key, "Idempotency-Key", "idem-"+id)
	}
	resp, text := g.do("POST", fmt.Sprint("/push/", dest), body, headers...)
	require.Equal(g.t, 201, resp.StatusCode, text)
	return resp.Header.Get("Location")
}

// end waits for a message's end and returns its state.
func (g *gateway) end(location string) string {
	g.t.Helper()
	resp, text := g.do("GET", location, "", "Prefer", "wait=20")
	require.Equal(g.t, 200, resp.StatusCode, text)
	var life struct{ ID, State, At string }
	require.NoError(g.t, json.Unmarshal([]byte(text), &life))
	return life.State
}

// partner is a stand-in for a partner's system behind either kind of target.
// It notes what it is called with and checks that no message is out twice.
type partner struct {
	t      *testing.T
	mu     sync.Mutex
	order  []string // ids, as their calls began
	bodies map[string]string
	out    map[string]int
	keys   map[string]int
	answer func(id string) int // status
}

func newPartner(t *testing.T) *partner {
	return &partner{t: t, bodies: map[string]string{}, out: map[string]int{}, keys: map[string]int{}}
}

func (p *partner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-ID")
	body, _ := io.ReadAll(r.Body)
	key, _, _ := strings.Cut(string(body), ":") // the tests' bodies are KEY:TEXT
	p.mu.Lock()
	p.order, p.bodies[id] = append(p.order, id), string(body)
	p.out[id]++
	p.keys[key]++
	assert.Equal(p.t, 1, p.out[id], "attempts out of %s", id)
	if key != "" {
		assert.Equal(p.t, 1, p.keys[key], "messages out of key %s", key)
	}
	answer := p.answer
	p.mu.Unlock()
	status := 200
	if answer != nil {
		status = answer(id)
	}
	p.mu.Lock()
	p.out[id]--
	p.keys[key]--
	p.mu.Unlock()
	w.WriteHeader(status)
}

// seen returns the ids called so far that begin with prefix.
func (p *partner) seen(prefix string) (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.order {
		if strings.HasPrefix(id, prefix) {
			out = append(out, id)
		}
	}
	return out
}

// serveH2 serves a stand-in server of the play with x/net's HTTP/2.
func serveH2(l net.Listener, h http.Handler) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go (&http2.Server{}).ServeConn(c, &http2.ServeConnOpts{Handler: h})
		}
	}()
}

// Either kind of client reaches either kind of target, under the same rules.
func TestMixedFronts(t *testing.T) {
	p := newPartner(t)
	g := newGateway(t)
	one, two := g.Play.Server("one"), g.Play.Server("two")
	serveH2(g.Play.Listener("two"), p)
	go http.Serve(g.Play.Listener("one"), p)
	g.Targets = []scenario.Target{{Name: "s-1", Addr: one, Cell: 7}}
	g.write([]pushTarget{ready("p-1", two, 7), ready("p-2", two, 8)})
	require.NoError(t, g.Start())

	const keys, each = 6, 6
	var clients sync.WaitGroup
	for k := range keys {
		clients.Go(func() {
			prefix := fmt.Sprintf("k%d-", k)
			c, err := net.Dial("tcp", g.Play.Name("client"))
			if !assert.NoError(t, err) {
				return
			}
			defer c.Close()
			for i := range each {
				id, dest, body := fmt.Sprint(prefix, i), 7+i%2, fmt.Sprintf("k%d:%d", k, i)
				if (k+i)%2 == 0 { // every key comes by both fronts, one after the other
					resp, text := g.do("POST", fmt.Sprint("/push/", dest), body, "TTL", "8", "Message-Id", id,
						"Message-Class", "order", "Tenant", "town", "Order-Key", fmt.Sprintf("%x", k+1), "Idempotency-Key", id)
					assert.Equal(t, 201, resp.StatusCode, text)
					continue
				}
				meta := fmt.Sprintf("c=order,t=town,d=8000,dest=%d,k=%s", dest, id)
				fmt.Fprintf(c, "*5\r\n$7\r\nOUT.ADD\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
					k+1, len(id), id, len(meta), meta, len(body), body)
				answer := make([]byte, 5)
				_, err := io.ReadFull(c, answer)
				assert.NoError(t, err)
				assert.Equal(t, "+OK\r\n", string(answer))
			}
		})
	}
	clients.Wait()
	for k := range keys {
		for i := range each {
			if id := fmt.Sprintf("k%d-%d", k, i); (k+i)%2 == 0 {
				assert.Equal(t, "delivered", g.end("/message/"+id))
			}
		}
	}
	// The last of each key may have come by RESP2: its delivery shows in the log.
	require.NoError(t, g.delivered(keys*each))
	for k := range keys {
		var want []string
		for i := range each {
			want = append(want, fmt.Sprintf("k%d-%d", k, i))
		}
		assert.Equal(t, want, p.seen(fmt.Sprintf("k%d-", k)), "the order of handing in")
	}
}

// delivered waits until the counters tell of so many deliveries.
func (g *gateway) delivered(n int) error {
	for range 2000 {
		if err := g.Signal(syscall.SIGUSR1); err != nil {
			return err
		}
		m, err := g.Await(`msg=counters .*n.delivered=(\d+)`)
		if err != nil {
			return err
		}
		if m[1] == fmt.Sprint(n) {
			return nil
		}
	}
	return fmt.Errorf("not %d deliveries", n)
}

func TestIdenticalAnswers(t *testing.T) {
	p := newPartner(t)
	p.answer = func(id string) int {
		if strings.HasPrefix(id, "fail") {
			return 500
		}
		return 200
	}
	g := newGateway(t)
	serveH2(g.Play.Listener(g.serve("two")), p)
	g.write([]pushTarget{ready("p-1", g.Play.Name("two"), 7)})
	require.NoError(t, g.Start())
	assert.Equal(t, "delivered", g.end(g.post("ok1", "status", "", ":x", 7)))
	for id, want := range map[string]string{"a": `unknown class`, "b": `unknown tenant`} {
		class, tenant := "nope", "town"
		if id == "b" {
			class, tenant = "status", "else"
		}
		resp, text := g.do("POST", "/push/7", "", "TTL", "8", "Message-Id", id, "Message-Class", class, "Tenant", tenant)
		assert.Equal(t, 400, resp.StatusCode)
		assert.Contains(t, text, want)
		meta := fmt.Sprintf("c=%s,t=%s,d=8000,dest=7", class, tenant)
		g.Play.Let("meta", fmt.Sprintf("$%d\r\n%s", len(meta), meta))
		g.Play.Let("want", want)
		g.Play.Run(`
			client dial c
			c send "*5\r\n$7\r\nOUT.ADD\r\n$16\r\n0000000000000000\r\n$1\r\na\r\n$meta\r\n$0\r\n\r\n"
			c expect "...$want"
			c expect "...\r\n"
		`)
	}
	// The same id again is the same message.
	assert.Equal(t, "/message/ok1", g.post("ok1", "status", "", ":x", 7))
	assert.Len(t, p.seen("ok1"), 1)
}

func (g *gateway) serve(name string) string {
	g.Play.Server(name)
	return name
}

func TestPushBadInput(t *testing.T) {
	g := newGateway(t)
	require.NoError(t, g.Start())
	good := []string{"TTL", "8", "Message-Id", "m", "Message-Class", "status", "Tenant", "town"}
	for _, tc := range []struct {
		method, path, body string
		headers            []string
		status             int
	}{
		{"POST", "/push/7", "", nil, 400},
		{"POST", "/push/7", "", []string{"TTL", "0"}, 400},
		{"POST", "/push/7", "", []string{"TTL", "99999999999999999999"}, 400},
		{"POST", "/push/7", "", []string{"TTL", "8", "Message-Id", "a b", "Message-Class", "status", "Tenant", "town"}, 400},
		{"POST", "/push/7", "", append([]string{"Order-Key", "xyz"}, good...), 400},
		{"POST", "/push/99999999999", "", good, 400},
		{"POST", "/push/x", "", good, 400},
		{"POST", "/push/7", strings.Repeat("x", 65537), good, 413},
		{"GET", "/push/7", "", nil, 405},
		{"GET", "/message/none", "", nil, 404},
		{"GET", "/", "", nil, 404},
		{"DELETE", "/message/none", "", nil, 405},
	} {
		resp, text := g.do(tc.method, tc.path, tc.body, tc.headers...)
		assert.Equal(t, tc.status, resp.StatusCode, "%s %s %v: %s", tc.method, tc.path, tc.headers, text)
	}
}

// A GOAWAY in the middle of a clump: what is above its last stream never ran
// and goes again, on another connection; what is below is answered.
func TestGoAwayInAClump(t *testing.T) {
	g := newGateway(t)
	g.write([]pushTarget{ready("p-1", g.Play.Server("two"), 7)})
	require.NoError(t, g.Start())
	for i := range 4 {
		g.post(fmt.Sprint("m", i), "status", "", "x", 7)
	}
	l := g.Play.Listener("two")
	a := acceptH2(t, l)
	ids := map[uint32]string{}
	for range 4 {
		stream, id := a.request()
		ids[stream] = id
	}
	require.NoError(t, a.WriteGoAway(3, http2.ErrCodeNo, nil))
	a.respond(1, "200")
	a.respond(3, "200")
	assert.Equal(t, "delivered", g.end("/message/"+ids[1]))
	assert.Equal(t, "delivered", g.end("/message/"+ids[3]))
	b := acceptH2(t, l)
	again := map[string]bool{}
	for range 2 {
		stream, id := b.request()
		again[id] = true
		b.respond(stream, "200")
	}
	assert.Equal(t, map[string]bool{ids[5]: true, ids[7]: true}, again)
	assert.Equal(t, "delivered", g.end("/message/"+ids[5]))
	assert.Equal(t, "delivered", g.end("/message/"+ids[7]))
}

// A stream reset after the request left may have run: a safe message goes
// again, one at a time.
func TestResetAfterTheRequestLeft(t *testing.T) {
	g := newGateway(t)
	g.write([]pushTarget{ready("p-1", g.Play.Server("two"), 7)})
	require.NoError(t, g.Start())
	location := g.post("m1", "order", "a", "x", 7)
	a := acceptH2(t, g.Play.Listener("two"))
	stream, id := a.request()
	assert.Equal(t, "m1", id)
	require.NoError(t, a.WriteRSTStream(stream, http2.ErrCodeInternal))
	stream, id = a.request()
	assert.Equal(t, "m1", id, "keyed: within its window it may go again")
	a.respond(stream, "200")
	assert.Equal(t, "delivered", g.end(location))
}

// Restart: what was out goes again, what had ended can still be asked for.
func TestPushRestart(t *testing.T) {
	g := newGateway(t)
	g.write([]pushTarget{ready("p-1", g.Play.Server("two"), 7)})
	require.NoError(t, g.Start())
	l := g.Play.Listener("two")
	done, open := g.post("m0", "status", "", "x", 7), ""
	a := acceptH2(t, l)
	stream, _ := a.request()
	a.respond(stream, "200")
	assert.Equal(t, "delivered", g.end(done))
	open = g.post("m1", "order", "a", "y", 7)
	_, id := a.request()
	assert.Equal(t, "m1", id)
	require.NoError(t, g.Stop(syscall.SIGKILL))
	require.NoError(t, g.Start())
	assert.Equal(t, "delivered", g.end(done))
	b := acceptH2(t, l)
	stream, id = b.request()
	assert.Equal(t, "m1", id)
	b.respond(stream, "200")
	assert.Equal(t, "delivered", g.end(open))
}

// A target drained in the push front's file gets nothing new.
func TestPushDrain(t *testing.T) {
	p, q := newPartner(t), newPartner(t)
	g := newGateway(t)
	serveH2(g.Play.Listener(g.serve("two")), p)
	serveH2(g.Play.Listener(g.serve("three")), q)
	g.write([]pushTarget{ready("p-1", g.Play.Name("two"), 7)})
	require.NoError(t, g.Start())
	assert.Equal(t, "delivered", g.end(g.post("m0", "status", "", "x", 7)))
	g.write([]pushTarget{{"p-1", g.Play.Name("two"), 7, "Terminating", "a", "k"}, ready("p-2", g.Play.Name("three"), 7)})
	require.NoError(t, g.Signal(syscall.SIGHUP))
	g.Play.Run(`courier wait "targets read again"`)
	assert.Equal(t, "delivered", g.end(g.post("m1", "status", "", "x", 7)))
	assert.Equal(t, []string{"m0"}, p.seen("m"))
	assert.Equal(t, []string{"m1"}, q.seen("m"))
}

// The deadline ends a message that no target takes; a hook refuses another.
func TestDeadlineAndHook(t *testing.T) {
	g := newGateway(t)
	g.pushDir = t.TempDir()
	script := "def admit(flow):\n  return 2500 if flow.destination == 13 else None\n"
	require.NoError(t, os.WriteFile(filepath.Join(g.pushDir, "a.star"), []byte(script), 0o600))
	g.write(nil)
	require.NoError(t, g.Start())
	headers := []string{"TTL", "1", "Message-Id", "m", "Message-Class", "status", "Tenant", "town"}
	resp, text := g.do("POST", "/push/9", "", headers...)
	require.Equal(t, 201, resp.StatusCode, text)
	_, text = g.do("GET", resp.Header.Get("Location"), "")
	assert.Contains(t, text, `"taken"`, "without a wait the answer comes at once")
	assert.Contains(t, []string{"failed", "returned"}, g.end(resp.Header.Get("Location")))
	resp, text = g.do("POST", "/push/13", "", headers...)
	assert.Equal(t, 201, resp.StatusCode, "the same id is the same message: %s", text)
	headers[3] = "n"
	resp, text = g.do("POST", "/push/13", "", headers...)
	assert.Equal(t, 429, resp.StatusCode)
	assert.Equal(t, "3", resp.Header.Get("Retry-After"))
	assert.Contains(t, text, "2500 ms")
}

// h2peer is a stand-in target on bare frames.
type h2peer struct {
	*http2.Framer
	t   *testing.T
	enc *hpack.Encoder
	buf bytes.Buffer
}

func acceptH2(t *testing.T, l net.Listener) *h2peer {
	t.Helper()
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	preface := make([]byte, len(http2.ClientPreface))
	_, err = io.ReadFull(c, preface)
	require.NoError(t, err)
	require.Equal(t, http2.ClientPreface, string(preface))
	p := &h2peer{Framer: http2.NewFramer(c, c), t: t}
	p.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	p.enc = hpack.NewEncoder(&p.buf)
	require.NoError(t, p.WriteSettings())
	return p
}

// request returns the next whole request's stream and id.
func (p *h2peer) request() (uint32, string) {
	p.t.Helper()
	ids := map[uint32]string{}
	for {
		f, err := p.ReadFrame()
		require.NoError(p.t, err)
		ended := false
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			for _, h := range f.Fields {
				if h.Name == "x-request-id" {
					ids[f.StreamID] = h.Value
				}
			}
			ended = f.StreamEnded()
		case *http2.DataFrame:
			ended = f.StreamEnded()
		case *http2.SettingsFrame:
			if !f.IsAck() {
				require.NoError(p.t, p.WriteSettingsAck())
			}
		}
		if ended {
			stream := f.Header().StreamID
			return stream, ids[stream]
		}
	}
}

func (p *h2peer) respond(stream uint32, status string) {
	p.buf.Reset()
	require.NoError(p.t, p.enc.WriteField(hpack.HeaderField{Name: ":status", Value: status}))
	require.NoError(p.t, p.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: p.buf.Bytes(), EndStream: true, EndHeaders: true,
	}))
}
