package front_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/front/push"
	"snowjunction/internal/net"
	"snowjunction/internal/store"
)

// incompleteAnswer is an answer whose end is missing.
type incompleteAnswer struct {
	front    string
	text     string // for a connection's first call
	rest     string // completes it; empty if another connection is not concerned
	heldPart int    // how many bytes of it are held, about
}

// incompleteAnswers returns an answer of each kind for both fronts.
func incompleteAnswers(t *testing.T) map[string]incompleteAnswer {
	const size = 10_000
	padding := strings.Repeat("x", size)
	settings := settingsFrame(t)
	longHead := headersFrame(t, 1, false, ":status", "503", "padding", padding)
	data := func(end bool) string {
		return encodeFrames(t, func(f *http2.Framer) error { return f.WriteData(1, end, []byte(padding)) })
	}
	return map[string]incompleteAnswer{
		"head, HTTP/1.1":       {"platform", "HTTP/1.1 503 Busy\r\nA: " + padding, "\r\nContent-Length: 0\r\n\r\n", size},
		"body, HTTP/1.1":       {"platform", "HTTP/1.1 503 Busy\r\nContent-Length: 10001\r\n\r\n" + padding, "x", size},
		"header list, HTTP/2":  {"push", settings + longHead, data(true), size},
		"body, HTTP/2":         {"push", settings + headersFrame(t, 1, false, ":status", "503") + data(false), data(true), size},
		"header block, HTTP/2": {"push", settings + longHead[:len(longHead)-1], longHead[len(longHead)-1:] + data(true), size},
	}
}

// newAnswerLimit returns a loop with its connections, and how one of the fronts calls targets whose incomplete
// answers may hold this many bytes together.
func newAnswerLimit(t *testing.T, frontName string, limit int) (*testCourier, func(core.Entry) core.Target) {
	s := &testCourier{t: t}
	s.setUp(net.Config{MaxConns: 64})
	if frontName == "platform" {
		return s, platform.New(platform.Config{Loop: s.loop, Engine: s.engine, Log: log, MaxIncompleteAnswerBytes: limit}).Target
	}
	return s, push.New(push.Config{
		Loop: s.loop, Engine: s.engine, Log: log, MaxIncompleteAnswerBytes: limit, Push: &config.Push{TargetConns: 1},
	}).Target
}

// Guards against targets that stop within their answers and together take the courier over its memory: past the
// limit the answer that has been incomplete for longest is given up, and the others go on.
func TestIncompleteAnswersAreLimited(t *testing.T) {
	for name, answer := range incompleteAnswers(t) {
		t.Run(name, func(t *testing.T) {
			s, target := newAnswerLimit(t, answer.front, 5*answer.heldPart/2)
			results := map[string]core.Result{}
			servers := map[string]*fakeServer{}
			for _, id := range []string{"m1", "m2", "m3"} {
				server := newFakeServer(t)
				servers[id] = server
				endpoint := target(core.Entry{Name: id, Addr: server.listener.Addr().String()})
				endpoint.Call(&store.Message{ID: id, Body: []byte(id)}, core.Shape{BufferAnswer: true}, 10*time.Second, always, func(r core.Result) { results[id] = r })
				s.until("the call arrives", func() bool { return server.hasReceived(0, id, 1) })
				before := s.posted.Load()
				server.at(0).send(t, answer.text)
				if id != "m3" {
					s.until("the answer is read in part", func() bool { return s.posted.Load() > before })
					require.Empty(t, results, "there is room for two")
				}
			}
			s.until("the first is given up", func() bool { return len(results) > 0 })
			assert.Equal(t, snowjunction.Reset, results["m1"].Outcome, "it may have run")
			for _, id := range []string{"m2", "m3"} {
				servers[id].at(0).send(t, answer.rest)
				s.until("the others are answered", func() bool { return results[id].Answer != nil })
				assert.Equal(t, 503, results[id].Answer.Status)
			}
		})
	}
}

// Guards against keeping bodies that no plug-in reads.
func TestUnreadBodiesAreNotKept(t *testing.T) {
	for name, answer := range incompleteAnswers(t) {
		if !strings.HasPrefix(name, "body") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			s, target := newAnswerLimit(t, answer.front, answer.heldPart/2)
			server := newFakeServer(t)
			var result *core.Result
			target(core.Entry{Name: "s-1", Addr: server.listener.Addr().String()}).
				Call(&store.Message{ID: "m1", Body: []byte("m1")}, core.Shape{}, 10*time.Second, always, func(r core.Result) { result = &r })
			s.until("the call arrives", func() bool { return server.hasReceived(0, "m1", 1) })
			before := s.posted.Load()
			server.at(0).send(t, answer.text)
			s.until("the answer is read in part", func() bool { return s.posted.Load() > before })
			server.at(0).send(t, answer.rest)
			s.until("the call is answered", func() bool { return result != nil })
			assert.Equal(t, snowjunction.Rejected, result.Outcome)
			assert.Nil(t, result.Answer)
		})
	}
}
