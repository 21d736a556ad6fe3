package front_test

import (
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/store"
)

// heldBytes returns the size of the live heap.
func heldBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

const (
	floodBytes = 32 << 20
	heldLimit  = 2 << 20 // bytes that a courier may hold of a flood
)

// floodFrom writes a flood to a courier, and returns once all is written or the courier has closed the connection.
func (s *testCourier) floodFrom(c *testConn, head, repeated string) (sent int) {
	s.t.Helper()
	written := make(chan int)
	go func() { written <- writeRepeated(c, head, repeated, floodBytes) }()
	ended := false
	s.until("all is written or the courier closes the connection", func() bool {
		select {
		case sent = <-written:
			ended = true
		default:
		}
		return ended
	})
	return sent
}

// writeRepeated writes the head and then the repeated part until all is written or the connection breaks. It
// returns the number of bytes written.
func writeRepeated(c *testConn, head, repeated string, atMost int) int {
	sent, err := c.Write([]byte(head))
	for err == nil && sent < atMost {
		var n int
		n, err = c.Write([]byte(repeated))
		sent += n
	}
	return sent
}

// Guards against keeping all that an endless answer brings until it is given up, which took a courier over its
// memory (review/7).
func TestEndlessAnswerIsNotKept(t *testing.T) {
	interim := "HTTP/1.1 102 Processing\r\nX-Padding: " + strings.Repeat("x", 15_000) + "\r\n\r\n"
	chunkExtension := "1;" + strings.Repeat("x", 15_000) + "\r\na\r\n"
	chunkedHead := "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n"
	trailer := "X-Padding: " + strings.Repeat("x", 15_000) + "\r\n"
	for name, answer := range map[string]struct{ head, repeated string }{
		"interim responses": {"", interim},
		"chunk extensions":  {chunkedHead, chunkExtension},
		"trailers":          {chunkedHead + "0\r\n", trailer},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestCourier(t)
			target := s.front.Target(core.Entry{Name: "s-1", Addr: s.target.listener.Addr().String()})
			var result *core.Result
			target.Call(&store.Message{ID: "m1"}, core.Shape{}, 10*time.Second, always, func(r core.Result) { result = &r })
			s.until("the call arrives", func() bool { return s.target.with("m1") != nil })
			before := heldBytes()
			sent := s.floodFrom(s.target.at(0), answer.head, answer.repeated)
			assert.Less(t, heldBytes()-before, heldLimit, "after %d bytes", sent)
			s.after(500 * time.Millisecond)
			s.until("the call ends", func() bool { return result != nil })
			require.Equal(t, snowjunction.Reset, result.Outcome, "it may have run")
		})
	}
}

// Guards against reading an answer that never ends at full speed until it is given up: the courier closes its
// connection after a bounded number of bytes, without waiting for a timeout.
func TestEndlessAnswerIsEnded(t *testing.T) {
	chunkedHead := " OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, row := range map[string]struct {
		head, repeated string
		outcome        snowjunction.Outcome
	}{
		"interim responses":       {"", "HTTP/1.1 102 Processing\r\n\r\n", snowjunction.Reset},
		"large interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 10_000) + "\r\n\r\n", snowjunction.Reset},
		"chunk extensions":        {"HTTP/1.1 503" + chunkedHead, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", snowjunction.Reset},
		"trailers":                {"HTTP/1.1 503" + chunkedHead + "0\r\n", "A: b\r\n", snowjunction.Reset},
		"trailers of a 200":       {"HTTP/1.1 200" + chunkedHead + "0\r\n", "A: b\r\n", snowjunction.OK},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestCourier(t)
			target := s.front.Target(core.Entry{Name: "s-1", Addr: s.target.listener.Addr().String()})
			var result *core.Result
			target.Call(&store.Message{ID: "m1"}, core.Shape{}, 10*time.Second, always, func(r core.Result) { result = &r })
			s.until("the call arrives", func() bool { return s.target.with("m1") != nil })
			go writeRepeated(s.target.at(0), row.head, row.repeated, 64<<20)
			s.until("the connection is closed", func() bool { return len(s.closeCodes["target"]) > 0 })
			assert.Equal(t, []string{"protocol"}, s.closeCodes["target"])
			require.NotNil(t, result)
			assert.Equal(t, row.outcome, result.Outcome)
		})
	}
}

// Guards against taking an interim response that comes in two parts for the beginning of the answer: an honest
// call that took longer than an answer's rest may take was given up, and sent again though it ran.
func TestInterimResponseDoesNotBeginAnswer(t *testing.T) {
	s := newTestCourier(t)
	target := s.front.Target(core.Entry{Name: "s-1", Addr: s.target.listener.Addr().String()})
	var result *core.Result
	target.Call(&store.Message{ID: "m1"}, core.Shape{}, 10*time.Second, always, func(r core.Result) { result = &r })
	s.until("the call arrives", func() bool { return s.target.with("m1") != nil })
	target0 := s.target.at(0)
	for _, part := range []string{"HTTP/1.1 102 Proc", "essing\r\n\r\n"} {
		target0.send(t, part)
		s.settle()
	}
	s.after(2 * time.Second)
	require.Nil(t, result, "the call goes on")
	target0.send(t, "HTTP/1.1 503 Bu")
	s.settle()
	s.after(400 * time.Millisecond)
	require.Nil(t, result, "the rest of the answer has its time")
	target0.send(t, "sy\r\nContent-Length: 0\r\n\r\n")
	s.until("the call ends", func() bool { return result != nil })
	assert.Equal(t, snowjunction.Rejected, result.Outcome)
}

// Guards against keeping complete answers that discovery sends without having been asked: one was read at a time,
// and the others were kept without a limit, to be taken for the answers to later requests.
func TestSurplusFromDiscoveryIsNotKept(t *testing.T) {
	answer := httpAnswer("200 OK", `{"generation":2,"reset":false,"instances":[]}`)
	s := newTestCourier(t)
	s.until("the list is watched", func() bool { return s.discovery.hasReceived(0, discoveryPath, 1) })
	before := heldBytes()
	sent := s.floodFrom(s.discovery.at(0), "", strings.Repeat(answer, 1000))
	assert.Less(t, heldBytes()-before, heldLimit, "after %d bytes", sent)
	s.until("the connection is closed", func() bool { return len(s.discoveryCloseCodes) > 0 })
	assert.Equal(t, []string{"unsolicited"}, s.discoveryCloseCodes)
	s.after(50 * time.Millisecond)
	s.until("the list is watched again", func() bool { return s.discovery.hasReceived(1, discoveryPath+"?after=2", 1) })
}

// Guards against the same from an HTTP/2 target: the call ends as one that may have run, and another call on its
// connection goes on unless the flood goes on.
func TestEndlessAnswerOnStreamIsEnded(t *testing.T) {
	s := newPushTestCourier(t)
	server := newFakeServer(t)
	target := s.push.Target(core.Entry{Name: "s-1", Addr: server.listener.Addr().String()})
	results := map[string]core.Result{}
	for _, id := range []string{"m1", "m2"} {
		target.Call(&store.Message{ID: id, Body: []byte(id)}, core.Shape{}, 10*time.Second, always, func(r core.Result) { results[id] = r })
	}
	s.until("both calls arrive", func() bool { return server.hasReceived(0, "m1", 1) && server.hasReceived(0, "m2", 1) })
	interim := headersFrame(t, 1, false, ":status", "103", "link", strings.Repeat("x", 1000))
	server.at(0).send(t, settingsFrame(t)+strings.Repeat(interim, 20))
	s.until("the call ends", func() bool { return len(results) > 0 })
	assert.Equal(t, snowjunction.Reset, results["m1"].Outcome)
	server.at(0).send(t, headersFrame(t, 3, true, ":status", "200"))
	s.until("the other call ends", func() bool { return len(results) == 2 })
	assert.Equal(t, snowjunction.OK, results["m2"].Outcome)
	go writeRepeated(server.at(0), "", strings.Repeat(interim, 16), 64<<20)
	s.until("the connection is closed", func() bool { return slices.Contains(s.closeCodes["push target"], "protocol") })
}

// Guards against keeping what a client sends that is no command, for as long as it sends.
func TestFloodOfEmptyCommandsIsNotKept(t *testing.T) {
	s := newTestCourier(t)
	c := s.client()
	before := heldBytes()
	sent := s.floodFrom(c, "*", "0\r\n"+strings.Repeat("*0\r\n", 16<<10)+"*")
	assert.Less(t, heldBytes()-before, heldLimit, "after %d bytes", sent)
	s.until("the client is told", func() bool { return slices.Contains(s.closeCodes["client"], "finished") })
}
