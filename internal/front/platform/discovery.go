package platform

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction/internal/backoff"
	"snowjunction/internal/core"
	"snowjunction/internal/groups"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/http1"
	"snowjunction/internal/proto/listing"
)

// discovery watches the target group. One watch is always open: the next
// follows its answer at once.
type discovery struct {
	front      *Front
	generation uint64
	known      bool   // what is newer than generation can be asked for
	held       bool   // a list is held
	agent      string // who has told it
	conn       *net.Conn
	parser     http1.Parser
	limit      *core.Timer
	closed     bool
	reader     *listing.Reader // of the answer that comes
	news       *groups.List
	watching   bool      // the answer that comes is to a watch
	since      time.Time // the last step began: what the directory had to tell before is held
	backoff    *backoff.Backoff
	parts      partitions
}

// askNow is the wait of a watch that is to be answered at once.
const askNow = time.Millisecond

// watch asks for what is newer than the list held, on the connection there is
// or a new one.
func (d *discovery) watch() {
	if d.closed {
		return
	}
	if d.conn == nil {
		d.parser = http1.Parser{MaxBody: maxAnswer, Sink: d.piece}
		d.conn = d.front.Engine.Dial(WatchKind, d.front.Discovery, d)
		if d.parts.mayGain = false; !d.parts.gained {
			d.since = d.front.Loop.Now()
		}
		d.await(backoff.ConnectTimeout, net.DialTimeout)
		return
	}
	d.ask()
}

// await gives the connection up after a time. Each step has its own: a watch
// may be silent for long, but a connection that does not come up would leave
// the courier without a list for as long.
func (d *discovery) await(t time.Duration, code net.Code) {
	d.limit.Stop()
	d.limit = d.front.Loop.After(t, func() {
		d.heed()
		d.later(code, d.backoff.TimedOut(d.ago()))
	})
}

// ago is how long ago the last step began.
func (d *discovery) ago() time.Duration { return d.front.Loop.Now().Sub(d.since) }

func (d *discovery) ask() {
	d.expect()
	path := "/discovery/hosts"
	of := d.next()
	limit := d.backoff.AskTimeout()
	if d.parts.gained { // one step with the ask before: what is news has waited since then
		limit -= d.ago()
	} else {
		d.since = d.front.Loop.Now()
	}
	d.await(min(backoff.AnswerTimeout, limit), net.CallTimeout)
	d.watching = d.known && !d.parts.gaining
	switch {
	case d.watching:
		wait := d.backoff.WatchWait()
		if _, _, live := d.front.core.Word(d.front.Number); !live {
			wait = askNow // an agent that is up says so, though nothing may be new
		}
		if again := d.front.core.Recheck(d.front.Number); again > 0 {
			wait = min(wait, again)
		}
		if d.hurries() {
			wait = askNow
		}
		d.await(limit, net.CallTimeout)
		path += "?after=" + strconv.FormatUint(d.generation, 10) +
			"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
		if of != "" {
			path += "&" + of
		}
	case of != "":
		path += "?" + of
	}
	d.parts.gained = false
	d.conn.Write(http1.Request("GET", path, d.front.Discovery, nil))
}

// Opened asks on a new connection.
func (d *discovery) Opened() { d.ask() }

// Closed begins anew.
func (d *discovery) Closed(net.Code) {
	d.conn = nil
	d.heed()
	d.later(net.PeerClosed, d.backoff.Disconnected(d.ago()))
}

// heed takes from an answer that will not come whole what it has said of endpoints that drain or
// go: what has been written is told.
func (d *discovery) heed() {
	if d.news != nil && len(d.news.Leaving) > 0 {
		d.front.core.Heed(d.front.Number, d.news)
	}
}

// later gives the connection up and watches anew after a pause.
func (d *discovery) later(code net.Code, pause time.Duration) {
	if d.conn != nil {
		d.conn.Close(code)
		d.conn = nil
	}
	d.news, d.parts.gained = nil, false
	d.limit.Stop()
	d.limit = d.front.Loop.After(pause, d.watch)
}

// after is how long an answer asks to stay away, in whole seconds; 0: it does not say.
func after(r *http1.Response) time.Duration {
	n, err := strconv.ParseUint(r.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// move begins anew at another address. Its agent may count generations on its
// own, so the whole list is asked for; the one held stays until it comes.
func (d *discovery) move() {
	if d.closed {
		return
	}
	d.known, d.parts.gained = false, false
	d.backoff.Reset() // another agent: what the old one refused says nothing of it
	if d.conn != nil {
		d.conn.Close(net.Moved)
		d.conn = nil
	}
	d.limit.Stop()
	d.watch()
}

// expect makes ready for an answer.
func (d *discovery) expect() {
	news := groups.NewList(false)
	size, entries := d.bounds()
	d.news = news
	d.reader = &listing.Reader{MaxSize: size, MaxList: entries, Entry: func(v *fastjson.Value) error {
		e, err := d.front.Names.Target(v)
		if err != nil || !d.lists(&e, news) {
			return err
		}
		if err := d.room(news); err != nil {
			return err
		}
		return news.Add(e)
	}}
}

// piece reads a part of an answer's body. However long the list is, what is
// read of it lies in a table of its own until it has come whole.
func (d *discovery) piece(b []byte) error { return d.reader.Feed(b) }

// Data reads an answer and watches on.
func (d *discovery) Data(b []byte) {
	d.parser.Feed(b)
	r, err := d.parser.Next()
	switch {
	case err != nil:
		d.refuse(err)
		return
	case r == nil:
		if d.reader.Size() > 0 { // it comes: what is long may take long, but not for ever
			d.await(d.backoff.RestOfAnswer(d.ago(), d.reader.Size()), net.CallTimeout)
		}
		return
	}
	if r.Close {
		d.conn.Close(net.Finished)
		d.conn = nil
	}
	if r.Status != 200 {
		pause := d.backoff.Refused(after(r), d.ago())
		d.front.Log.Warn("discovery answers with an error", "status", r.Status, "pause_ms", pause.Milliseconds())
		d.later(net.Finished, pause)
		return
	}
	d.front.Log.Debug("discovery answers", "generation", d.reader.Generation, "full", d.reader.Full, "entries", d.reader.Entries)
	err = d.reader.End()
	if err == nil {
		err = d.fits()
	}
	if err != nil {
		d.refuse(err)
		return
	}
	d.news.Full = d.reader.Full
	if (!d.news.Full && d.watching || d.parts.gaining) && d.reader.Generation < d.generation {
		// Changes to an older list than the one held: what they name as leaving is
		// heeded, and the whole list is asked for.
		d.front.Log.Warn("discovery's list goes back", "generation", d.reader.Generation, "held", d.generation)
		d.front.core.Heed(d.front.Number, d.news)
		d.known, d.parts.gained = false, d.parts.gaining
		d.watch()
		return
	}
	if d.parts.gaining {
		d.gain()
		return
	}
	if d.news.Full && d.front.sweeping != nil {
		d.front.sweepNow()
	}
	if err := d.front.core.Listed(d.front.Number, d.news); err != nil {
		d.refuse(err)
		return
	}
	d.came(d.news.Full || !d.watching)
	d.backoff.Reset()
	d.news = nil
	d.generation, d.known, d.held, d.agent = d.reader.Generation, true, true, d.front.Discovery
	d.front.core.Spoken(d.front.Number)
	if d.watching && d.front.core.Recheck(d.front.Number) > 0 {
		d.known = false // the whole list again: what it leaves out is in doubt
	}
	d.front.becomeReady()
	d.watch()
}

// refuse leaves a list that cannot be taken: the one held stays, but for what
// the other says of endpoints that drain or go. The whole list is asked for
// next, less and less often while that is no better.
func (d *discovery) refuse(err error) {
	d.front.Log.Warn("discovery's list cannot be read", "err", err, "entries", d.reader.Entries, "bytes", d.reader.Size())
	d.front.core.Refused(d.front.Number, d.news, err)
	d.known = false
	d.later(net.Protocol, d.backoff.Unreadable(d.ago()))
}

func (d *discovery) close() {
	d.closed = true
	d.limit.Stop()
	if d.conn != nil {
		d.conn.Close(net.Shutdown)
	}
}
