package h2

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// request returns a client with one open request, and its server.
func request(t *testing.T, limits Limits) (p *peer, stream uint32) {
	p = newPeer(t, NewClient(limits))
	_, err := p.feed()
	require.NoError(t, err)
	stream, err = p.c.Request([]Field{{Name: ":method", Value: "GET"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/a"}}, nil)
	require.NoError(t, err)
	return p, stream
}

// Guards against interim responses without end before an answer: its stream is reset, and if they go on the
// connection ends.
func TestInterimResponsesAreLimited(t *testing.T) {
	for name, fields := range map[string][]string{
		"short": {":status", "102"},
		"long":  {":status", "103", "link", strings.Repeat("x", 300)},
	} {
		p, stream := request(t, testLimits)
		p.headers(stream, false, fields...)
		events, err := p.feed()
		require.NoError(t, err, name)
		assert.Empty(t, events, "%s: a few are no fault", name)
		for range 30 {
			p.headers(stream, false, fields...)
		}
		events, err = p.feed()
		require.NoError(t, err, name)
		assert.Equal(t, []Event{Reset{Stream: stream, Code: ProtocolError}}, events, name)
		for range 1000 {
			p.headers(stream, false, fields...)
		}
		_, err = p.feed()
		var failed *ConnError
		require.ErrorAs(t, err, &failed, name)
		assert.Equal(t, EnhanceYourCalm, failed.Code, name)
	}
}

// Guards against frames that acknowledge what was not sent, without end.
func TestUnsolicitedAcknowledgementsAreLimited(t *testing.T) {
	for name, send := range map[string]func(p *peer) error{
		"SETTINGS": func(p *peer) error { return p.WriteSettingsAck() },
		"PING":     func(p *peer) error { return p.WritePing(true, [8]byte{}) },
	} {
		p := newPeer(t, NewServer(testLimits))
		require.NoError(t, p.WriteSettingsAck())
		_, err := p.feed()
		require.NoError(t, err)
		for range 300 {
			require.NoError(t, send(p))
		}
		_, err = p.feed()
		var failed *ConnError
		require.ErrorAs(t, err, &failed, name)
		assert.Equal(t, EnhanceYourCalm, failed.Code, name)
	}
}

// An answer with interim responses is whole, and late frames of a call that was given up do not end the
// connection.
func TestInterimResponsesBeforeAnswer(t *testing.T) {
	p, stream := request(t, testLimits)
	for range 3 {
		p.headers(stream, false, ":status", "103", "link", "</a>")
	}
	p.headers(stream, true, ":status", "200")
	events, err := p.feed()
	require.NoError(t, err)
	require.Len(t, events, 2)
	assert.Equal(t, "200", Get(events[1].(Message).Fields, ":status"))
	for range 500 {
		late, err := p.c.Request([]Field{{Name: ":method", Value: "GET"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/a"}}, nil)
		require.NoError(t, err)
		p.c.Reset(late, Cancel)
		p.now = p.now.Add(100 * time.Millisecond)
		p.headers(late, false, ":status", "200")
		require.NoError(t, p.Framer.WriteData(late, true, []byte("x")))
		_, err = p.feed()
		require.NoError(t, err)
	}
	assert.False(t, p.c.PeerSentGoAway())
}
