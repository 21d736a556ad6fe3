package handover

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"snowjunction/internal/record"
)

var noon = time.Unix(1772366400, 5)

// fullState returns a handover state with all fields set and descriptors of its own.
func fullState(t testing.TB) *State {
	fd := func() int {
		f, err := os.Open(os.DevNull)
		require.NoError(t, err)
		defer f.Close()
		n, err := DupDescriptor(int(f.Fd()))
		require.NoError(t, err)
		return n
	}
	conn := func(bytes string) Conn {
		return Conn{FD: fd(), Peer: "127.0.0.1:9", Since: noon, In: 7, Out: 5, Unprocessed: []byte(bytes)}
	}
	return &State{
		Listeners: []Listener{{"client", fd()}},
		Clients: []Client{
			{Conn: conn("*5\r\n$7\r\nOUT"), Served: true, Changed: noon, Replies: []Reply{
				{Request: &Request{ID: "m1", IdempotencyKey: "k", Key: 9, Class: "order", Tenant: "town", Destination: 7, Deadline: noon, Resubmitted: true, Forwarded: true, Order: 3, Body: []byte("x\x00y")}},
				{Text: []byte("+OK\r\n")},
			}},
			{Conn: conn(strings.Repeat("long", maxChunkBytes/3))},
		},
		Calls: []Call{{
			Conn: conn("HTTP/1.1 2"), Seq: 12, Endpoint: Endpoint{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Zone: 1, Kind: 2, Weight: 1.5},
			Began: noon, Deadline: noon.Add(time.Second), IdleTime: time.Millisecond, WantsWholeAnswer: true,
		}},
		Destinations: []DestinationState{{Destination: 7, At: noon, Snapshot: []byte("state"), Loaded: true}},
		Keys:         []Key{{Destination: 7, Text: "k", ID: "m0", At: noon, Until: noon.Add(time.Second)}},
		KeyPauses:    []KeyPause{{Key: 9, Until: noon}},
		List:         []byte("list"), ListConfirmed: true,
	}
}

func collectFrames(e *State) (out []Frame) {
	for f := range e.Frames {
		out = append(out, f)
	}
	return out
}

// A state of any size is decoded as it was encoded.
func TestStateRoundTrip(t *testing.T) {
	e := fullState(t)
	defer e.Close()
	var got Collector
	all := collectFrames(e)
	for i, f := range all {
		b := f.Encode()
		require.LessOrEqual(t, len(b), MaxPacketSize)
		d, err := Decode(b, f.FD)
		require.NoError(t, err)
		done, err := got.Add(d)
		require.NoError(t, err)
		require.Equal(t, i == len(all)-1, done)
	}
	assert.Equal(t, e, &got.State)
}

// Truncated and corrupt frames and those of other protocols or versions are rejected; so is a state
// with a missing or misplaced frame.
func TestInvalidFrames(t *testing.T) {
	good := Frame{Kind: KindHello, Text: "n0", FD: -1}.Encode()
	for at := range good {
		_, err := Decode(good[:at], -1)
		assert.ErrorIs(t, err, ErrFrame)
	}
	for what, b := range map[string][]byte{
		"bit":     append(append([]byte{}, good[:len(good)-1]...), good[len(good)-1]^1),
		"foreign": []byte("GET / HTTP/1.1\r\n\r\n"), "more": append(append([]byte{}, good...), 0),
		"kind": Frame{Kind: endOfKinds, FD: -1}.Encode(), "no descriptor": Frame{Kind: KindLock}.Encode(),
	} {
		_, err := Decode(b, -1)
		assert.ErrorIs(t, err, ErrFrame, what)
	}
	_, err := Decode(good, 5)
	assert.ErrorIs(t, err, ErrFrame, "an unexpected descriptor")
	other := append([]byte{}, good...)
	other[record.FrameSize] = Version + 1
	_, err = Decode(record.Seal(other), -1)
	assert.ErrorIs(t, err, ErrVersion)

	e := fullState(t)
	defer e.Close()
	all := collectFrames(e)
	for i := range all {
		var got Collector
		var err error
		for j, f := range all {
			if j != i && err == nil {
				_, err = got.Add(f)
			}
		}
		if i < len(all)-1 {
			assert.ErrorIs(t, err, ErrFrame, "without frame %d", i)
		}
	}
	var got Collector
	_, err = got.Add(Frame{Kind: KindUnprocessed, FD: -1})
	assert.ErrorIs(t, err, ErrFrame)
}

func FuzzDecode(f *testing.F) {
	e := fullState(f)
	defer e.Close()
	for _, x := range collectFrames(e) {
		f.Add(x.Encode(), x.FD >= 0)
	}
	f.Fuzz(func(t *testing.T, b []byte, carries bool) {
		fd := -1
		if carries {
			fd = 1 << 20
		}
		if x, err := Decode(b, fd); err == nil {
			var got Collector
			_, _ = got.Add(Frame{Kind: KindClient, FD: 1 << 20, body: appendTime(appendFlag(appendConn(nil, Conn{}), false), noon)})
			_, _ = got.Add(x)
		}
	})
}

// The lock is held at every moment of its transfer and is released with its last holder.
func TestLockIsHeldDuringTransfer(t *testing.T) {
	dir := t.TempDir()
	lock, err := Acquire(dir)
	require.NoError(t, err)
	locked := func() bool {
		l, err := Acquire(dir)
		l.Close()
		return errors.Is(err, ErrOwned)
	}
	received := make(chan *Lock)
	server, err := Open(dir, func(l *Link, f Frame, err error) {
		assert.NoError(t, err)
		received <- LockFromDescriptor(f.FD)
		l.Close()
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer server.Close()
	link, err := Dial(dir)
	require.NoError(t, err)
	defer link.Close()
	require.NoError(t, link.Send(Frame{Kind: KindLock, FD: lock.FD()}))
	lock.Close()
	assert.True(t, locked(), "in transit")
	other := <-received
	assert.True(t, locked(), "arrived")
	other.Close()
	assert.False(t, locked())
}

// Guards against descriptor leaks: descriptors received with an invalid packet are closed. An ended
// connection is reported as an error.
func TestInvalidPacketsLeakNoDescriptors(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("a-long-name", 12)) // longer than a socket path may be
	require.NoError(t, os.Mkdir(dir, 0o700))
	errs := make(chan error, 4)
	server, err := Open(dir, func(l *Link, _ Frame, _ error) { l.Close() }, func(err error) { errs <- err })
	require.NoError(t, err)
	defer server.Close()
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	link, err := Dial(dir)
	require.NoError(t, err)
	_, _, err = link.conn.WriteMsgUnix([]byte("rubbish"), unix.UnixRights(int(w.Fd())), nil)
	require.NoError(t, err)
	w.Close()
	assert.ErrorIs(t, <-errs, ErrFrame)
	_, err = r.Read(make([]byte, 1))
	assert.Error(t, err, "the other end must be closed")
	link.Close()
	link, err = Dial(dir)
	require.NoError(t, err)
	link.Close()
	assert.ErrorIs(t, <-errs, io.EOF)
}
