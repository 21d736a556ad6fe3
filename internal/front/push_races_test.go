package front_test

import (
	"bytes"
	"errors"
	"io"
	stdnet "net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/describe"
	"snowjunction/internal/front/push"
	"snowjunction/internal/net"
	"snowjunction/internal/store"
)

// frames is the bytes of what write has x/net's framer write.
func frames(t *testing.T, write func(f *http2.Framer) error) string {
	var b bytes.Buffer
	require.NoError(t, write(http2.NewFramer(&b, nil)))
	return b.String()
}

func settings(t *testing.T) string {
	return frames(t, func(f *http2.Framer) error { return f.WriteSettings() })
}

func goAway(t *testing.T, last uint32) string {
	return frames(t, func(f *http2.Framer) error { return f.WriteGoAway(last, http2.ErrCodeNo, nil) })
}

// headers are the frame of a header list, of names and values.
func headers(t *testing.T, stream uint32, end bool, fields ...string) string {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for i := 0; i < len(fields); i += 2 {
		require.NoError(t, enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1], Sensitive: true}))
	}
	return frames(t, func(f *http2.Framer) error {
		return f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndStream: end, EndHeaders: true})
	})
}

// A connection that its endpoint has ended, or is about to, gets no call of the push front's:
// nothing has left, whatever the class, also where that came while the attempt was recorded.
func TestIdlePushConnectionThatIsNoneAnyMore(t *testing.T) {
	for name, way := range map[string]struct {
		calls     int // that are out on it meanwhile
		meanwhile func(t *testing.T, e *end)
		recording bool // it comes while the second call's attempt is recorded
	}{
		"its end":                          {meanwhile: func(t *testing.T, e *end) { e.finish(t) }},
		"a GOAWAY and its end":             {meanwhile: func(t *testing.T, e *end) { e.say(t, goAway(t, 1)); e.finish(t) }},
		"its end with a call out":          {meanwhile: func(t *testing.T, e *end) { e.finish(t) }, calls: 1},
		"its end as the call is recorded":  {meanwhile: func(t *testing.T, e *end) { e.finish(t) }, recording: true},
		"its end so, and with a call out":  {meanwhile: func(t *testing.T, e *end) { e.finish(t) }, recording: true, calls: 1},
		"a GOAWAY and its end, so as well": {meanwhile: func(t *testing.T, e *end) { e.say(t, goAway(t, 1)); e.finish(t) }, recording: true},
	} {
		t.Run(name, func(t *testing.T) {
			loop, fronts := both(t)
			p := newPeer(t)
			target := fronts["push"].Target(core.Entry{Name: "s-1", Addr: p.l.Addr().String()})
			results := map[string]core.Result{}
			call := func(id string, may func() bool) core.Call {
				return target.Call(&store.Message{ID: id, Body: []byte(id)}, core.Shape{}, 10*time.Second, may, func(r core.Result) { results[id] = r })
			}
			until := func(what string, come func() bool) {
				t.Helper()
				limit := time.Now().Add(20 * time.Second)
				loop.RunUntil(func() bool { return come() || time.Now().After(limit) })
				require.True(t, come(), what)
			}
			call("first", always)
			until("the first call comes", func() bool { return p.took(0, "first", 1) })
			p.at(0).say(t, settings(t)+headers(t, 1, true, ":status", "200"))
			until("and is answered", func() bool { return len(results) == 1 })
			if way.calls > 0 {
				call("other", always)
				until("another is out", func() bool { return p.took(0, "other", 1) })
			}
			may := always
			if way.recording {
				may = func() bool { way.meanwhile(t, p.at(0)); return true }
			} else {
				way.meanwhile(t, p.at(0))
			}
			second := call("second", may)
			if way.recording {
				assert.False(t, second.Left())
				until("it has not left", func() bool { _, there := results["second"]; return there })
				assert.Equal(t, snowjunction.Moot, results["second"].Outcome)
				second = call("second", always)
			}
			until("it comes on another connection", func() bool { return p.took(1, "second", 1) })
			assert.True(t, second.Left())
			assert.False(t, p.took(0, "second", 1))
		})
	}
}

// pushSite is a core with the push front listening. Its loop turns only while the test waits.
type pushSite struct {
	*site
	push *push.Front
}

func newPushSite(t *testing.T) *pushSite {
	s := &pushSite{site: &site{t: t}}
	journal := s.begin(net.Config{MaxConns: 64})
	read := func(name string) []byte {
		text, err := os.ReadFile(filepath.Join("../../deploy", name))
		require.NoError(t, err)
		return text
	}
	api, err := describe.OpenAPI("openapi.json", read("openapi.json"))
	require.NoError(t, err)
	life, err := describe.AsyncAPI("asyncapi.json", read("asyncapi.json"))
	require.NoError(t, err)
	settings := snowjunction.Settings{
		Seed: 1, Fleet: 1, Tick: 5 * time.Millisecond, Slots: 8, MaxHeld: 10, MaxAttempts: 6, MaxRetry: 3 * time.Second,
		ConnectTimeout: time.Second, Kinds: []snowjunction.Kind{{BundleMax: 1}},
		Classes: []snowjunction.Class{{Name: "status", Aim: time.Second, Deadline: 8 * time.Second, Worth: 2}},
	}
	s.push = push.New(push.Config{
		Loop: s.loop, Engine: s.engine, Log: log, API: api, Life: life, Settings: settings,
		Push: &config.Push{Listen: "127.0.0.1:0", MaxConns: 8, TargetConns: 4, Retain: time.Minute},
	})
	s.core, err = core.New(core.Config{Loop: s.loop, Log: log, Journal: journal, Settings: settings, Fronts: []core.Front{s.push}})
	require.NoError(t, err)
	require.NoError(t, s.push.Start(s.core, nil))
	t.Cleanup(s.push.Close)
	return s
}

// client connects a client of the push front that has been answered once, on stream 1.
func (s *pushSite) client() *end {
	s.t.Helper()
	c, err := stdnet.Dial("tcp", s.push.Addr())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	p := &peer{}
	e := &end{TCPConn: c.(*stdnet.TCPConn), p: p}
	p.conns = append(p.conns, e)
	go e.read()
	e.say(s.t, http2.ClientPreface+settings(s.t)+headers(s.t, 1, true, ":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/nothing"))
	s.until("a client is answered", func() bool { return e.told(s.t, 1) != "" })
	return e
}

// told is what a client has been told of a stream: its status, "refused", or "not taken" if it
// is above the last of a GOAWAY; "": nothing yet.
func (e *end) told(t *testing.T, stream uint32) (what string) {
	e.p.mu.Lock()
	f := http2.NewFramer(nil, bytes.NewReader(bytes.Clone(e.got)))
	e.p.mu.Unlock()
	f.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	for {
		x, err := f.ReadFrame()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return what
		}
		require.NoError(t, err)
		switch x := x.(type) {
		case *http2.MetaHeadersFrame:
			if x.StreamID == stream {
				return x.PseudoValue("status")
			}
		case *http2.RSTStreamFrame:
			if x.StreamID == stream {
				return "refused"
			}
		case *http2.GoAwayFrame:
			if x.LastStreamID < stream {
				return "not taken"
			}
		}
	}
}

// Requests that have come to the push front when the courier begins to end are answered, or
// named by a GOAWAY as not taken, whatever has been read of them; then their connections end,
// and not by a reset, which might overtake that.
func TestPushRequestsThatCrossTheEnd(t *testing.T) {
	head := headers(t, 3, false, ":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/push/7",
		"message-id", "m1", "message-class", "status", "ttl", "3")
	whole := head + frames(t, func(f *http2.Framer) error { return f.WriteData(3, true, []byte("some body")) })
	for name, way := range map[string]struct {
		read int
		late bool // the rest comes once the end has begun
		told string
	}{
		"not read":                      {told: "not taken"},
		"a byte of its frames":          {read: 1, told: "not taken"},
		"half of its head":              {read: len(head) / 2, told: "not taken"},
		"half of its head, late":        {read: len(head) / 2, late: true, told: "not taken"},
		"read but for a body":           {read: len(head), told: "503"},
		"read but for a body, late":     {read: len(head), late: true, told: "503"},
		"read but for a byte of it":     {read: len(whole) - 1, told: "503"},
		"read but for a byte, and late": {read: len(whole) - 1, late: true, told: "503"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPushSite(t)
			c := s.client()
			if way.read > 0 {
				c.say(t, whole[:way.read])
				s.until("a part is read", s.push.Unanswered)
				s.settlePush()
			}
			if !way.late {
				c.say(t, whole[way.read:])
			}
			s.core.Drain()
			s.push.Drain()
			require.True(t, s.push.Unanswered(), "the process waits for that")
			if way.late {
				c.say(t, whole[way.read:])
			}
			s.until("it is ended", func() bool { return c.p.ended(0) })
			assert.Equal(t, io.EOF, c.err, "not by a reset")
			assert.Equal(t, way.told, c.told(t, 3))
			assert.False(t, s.push.Unanswered())
		})
	}
}

// settlePush has all that has been said so far read.
func (s *pushSite) settlePush() {
	c := s.client()
	c.Close()
}
