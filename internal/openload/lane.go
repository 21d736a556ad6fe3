package openload

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"snowjunction/internal/proto/h2"
	"snowjunction/internal/standin/load"
)

// inFlight is a message in flight on a connection.
type inFlight struct {
	timedMessage
	sentAt time.Duration // since the start of the run
}

// queue is a FIFO queue. Removed items are compacted lazily, so that removal copies little.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int { return len(q.items) - q.head }

func (q *queue[T]) all() []T { return q.items[q.head:] }

func (q *queue[T]) push(x T) { q.items = append(q.items, x) }

// remove removes the first n items.
func (q *queue[T]) remove(n int) {
	clear(q.items[q.head : q.head+n])
	if q.head += n; q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}

// lane submits messages to a front over one connection, which it replaces when it is lost. Messages
// wait in an unbounded queue while the connection has no room, and keep their due times.
type lane struct {
	addr        string
	front       Front
	maxInFlight int // messages
	now         func() time.Duration
	onVerdict   func(load.Message, load.Verdict)

	mu       sync.Mutex
	stats    *statistics
	queue    queue[timedMessage]
	writable chan struct{} // signals that there may be something to write
	stopped  bool
	conn     net.Conn

	pipelined queue[inFlight]     // RESP2: in flight, in the order of the responses
	h2        *h2.Conn            // HTTP/2: protocol state of the connection
	streams   map[uint32]inFlight // HTTP/2: in flight, by stream ID
	reader    sync.WaitGroup
}

func newLane(addr string, front Front, maxInFlight int, now func() time.Duration, onVerdict func(load.Message, load.Verdict)) *lane {
	return &lane{addr: addr, front: front, maxInFlight: maxInFlight, now: now, onVerdict: onVerdict, stats: newStatistics(), writable: make(chan struct{}, 1), streams: map[uint32]inFlight{}}
}

// signalWriter wakes up the writer without blocking.
func (l *lane) signalWriter() {
	select {
	case l.writable <- struct{}{}:
	default:
	}
}

// enqueue adds a message to the queue and wakes up the writer.
func (l *lane) enqueue(x timedMessage) {
	l.mu.Lock()
	l.queue.push(x)
	l.mu.Unlock()
	l.signalWriter()
}

// isIdle reports whether no message is queued or in flight.
func (l *lane) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.len() == 0 && l.pipelined.len() == 0 && len(l.streams) == 0
}

// stop ends the lane. Messages still queued or in flight end without a response.
func (l *lane) stop() {
	l.mu.Lock()
	l.stopped = true
	if l.conn != nil {
		l.conn.Close()
	}
	l.mu.Unlock()
	l.signalWriter()
}

// isStopped reports whether stop was called.
func (l *lane) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

const (
	dialTimeout    = 2 * time.Second
	dialRetryDelay = 50 * time.Millisecond // after a failed dial
	maxWriteBytes  = 64 << 10              // threshold in bytes at which a write is not filled further
)

// run connects and writes until the lane is stopped.
func (l *lane) run() {
	defer l.reader.Wait()
	var buf []byte
	for !l.isStopped() {
		if l.current() == nil && !l.dial() {
			continue
		}
		<-l.writable
		for {
			l.mu.Lock()
			conn := l.conn
			if conn != nil { // nil if the reader dropped it: messages filled in now would be lost
				buf = l.appendWritable(buf[:0])
			}
			l.mu.Unlock()
			if conn == nil || len(buf) == 0 {
				break
			}
			if _, err := conn.Write(buf); err != nil {
				l.dropConn(conn)
				break
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failInFlight()
	for _, x := range l.queue.all() {
		l.finish(inFlight{x, l.now()}, load.NoResponse)
	}
	l.queue.remove(l.queue.len())
}

// current returns the connection, or nil if there is none.
func (l *lane) current() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// dial opens a connection and starts its reader. It returns false if that failed.
func (l *lane) dial() bool {
	conn, err := net.DialTimeout("tcp", l.addr, dialTimeout)
	if err != nil {
		time.Sleep(dialRetryDelay)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		conn.Close()
		return false
	}
	l.conn = conn
	if l.front == Push {
		l.h2 = h2.NewClient(h2.Limits{MaxStreams: 1, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, MaxBufferedBytes: 1 << 20})
	}
	l.signalWriter()
	l.reader.Go(func() { l.readResponses(conn) })
	return true
}

// dropConn closes a connection. If it is the current one, its messages in flight end without a
// response.
func (l *lane) dropConn(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.conn = nil
	if !l.stopped {
		l.stats.lostConnections++
	}
	l.failInFlight()
	l.signalWriter()
}

// failInFlight ends all messages in flight without a response.
func (l *lane) failInFlight() {
	for _, f := range l.pipelined.all() {
		l.finish(f, load.NoResponse)
	}
	for _, f := range l.streams {
		l.finish(f, load.NoResponse)
	}
	l.pipelined.remove(l.pipelined.len())
	clear(l.streams)
}

// finish records the verdict on a message.
func (l *lane) finish(f inFlight, v load.Verdict) {
	l.stats.recordVerdict(l.front, v, f.dueAt, f.sentAt, l.now())
	if l.onVerdict != nil {
		l.onVerdict(f.Message, v)
	}
}

// appendWritable appends the data that can be written now: queued messages as far as there is room,
// and HTTP/2 frames.
func (l *lane) appendWritable(b []byte) []byte {
	n, now := 0, time.Now()
	for queued := l.queue.all(); n < len(queued) && len(b) < maxWriteBytes; n++ {
		f := inFlight{queued[n], l.now()}
		if l.front == Resp {
			if l.pipelined.len() >= l.maxInFlight {
				break
			}
			b = f.Command(b, now)
			l.pipelined.push(f)
		} else {
			if len(l.streams) >= l.maxInFlight || l.h2 == nil || !l.h2.CanOpenStream() {
				break
			}
			path, headers, body := f.Request(now)
			fields := []h2.Field{
				{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path}, {Name: ":authority", Value: l.addr},
				{Name: "content-length", Value: strconv.Itoa(len(body))},
			}
			for _, h := range headers {
				fields = append(fields, h2.Field{Name: h[0], Value: h[1]})
			}
			id, err := l.h2.Request(fields, body)
			if err != nil {
				break
			}
			l.streams[id] = f
		}
		l.stats.recordSent(f.dueAt, f.sentAt)
	}
	l.queue.remove(n)
	if l.front == Push && l.h2 != nil {
		b = append(b, l.h2.Output()...)
	}
	return b
}

// readResponses processes the responses on a connection until it ends.
func (l *lane) readResponses(conn net.Conn) {
	defer l.dropConn(conn)
	if l.front == Push {
		l.readPush(conn)
		return
	}
	r := bufio.NewReaderSize(conn, 32<<10)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		v, _ := load.ParseResponse(strings.TrimSpace(line))
		l.mu.Lock()
		if l.conn != conn || l.pipelined.len() == 0 {
			l.mu.Unlock()
			return
		}
		l.finish(l.pipelined.all()[0], v)
		l.pipelined.remove(1)
		queued := l.queue.len() > 0
		l.mu.Unlock()
		if queued {
			l.signalWriter()
		}
	}
}

// readPush processes the responses on an HTTP/2 connection until it ends.
func (l *lane) readPush(conn net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.conn != conn {
			l.mu.Unlock()
			return
		}
		events, err := l.h2.Feed(time.Now(), b[:n])
		done := err != nil
		for _, e := range events {
			switch e := e.(type) {
			case h2.Message:
				if f, ok := l.streams[e.Stream]; ok {
					delete(l.streams, e.Stream)
					code, _ := strconv.Atoi(h2.Get(e.Fields, ":status"))
					l.finish(f, load.VerdictForStatus(code))
				}
			case h2.Reset:
				if f, ok := l.streams[e.Stream]; ok {
					delete(l.streams, e.Stream)
					l.finish(f, load.NoResponse)
				}
			case h2.GoAwayReceived:
				done = done || len(l.streams) == 0
			}
		}
		done = done || l.h2.PeerSentGoAway() && len(l.streams) == 0
		l.mu.Unlock()
		l.signalWriter() // protocol frames may have to be written, too
		if done {
			return
		}
	}
}
