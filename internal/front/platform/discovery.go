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

// discovery watches the target group. A watch (long poll) is always open: the next one follows the
// answer at once.
type discovery struct {
	front       *Front
	generation  uint64
	incremental bool   // changes after generation may be requested
	hasList     bool   // there is a list
	agent       string // address of the agent that sent it
	conn        *net.Conn
	parser      http1.Parser
	timer       *core.Timer
	closed      bool
	reader      *listing.Reader // reads the current answer
	incoming    *groups.List
	watching    bool      // the current request is a watch
	stepStart   time.Time // start of the current step; the list covers everything before it
	backoff     *backoff.Backoff
	partitions  partitionState
}

// immediateWait is the wait of a watch that is to be answered at once.
const immediateWait = time.Millisecond

// watch requests the changes since the current list, on the open connection or a new one.
func (d *discovery) watch() {
	if d.closed {
		return
	}
	if d.hasSurplus() {
		d.retryAfter(net.Unsolicited, d.backoff.Disconnected(d.stepAge()))
		return
	}
	if d.conn == nil {
		d.parser = http1.Parser{MaxBodyBytes: maxAnswerBytes, DiscardBody: true, Sink: d.readBody}
		d.conn = d.front.Engine.Dial(WatchKind, d.front.Discovery, d)
		if d.partitions.mayGain = false; !d.partitions.gained {
			d.stepStart = d.front.Loop.Now()
		}
		d.setTimeout(backoff.ConnectTimeout, net.DialTimeout)
		return
	}
	d.request()
}

// hasSurplus reports whether more has arrived than the answer to the last request. The rest would be taken
// for the answer to the next one.
func (d *discovery) hasSurplus() bool {
	if d.conn == nil {
		return false
	}
	return d.parser.HasPartialResponse() || d.conn.HasUnread()
}

// setTimeout closes the connection after a time. Each step has its own timeout: a watch may be
// silent for long, but a connection that does not open would leave the courier without a list for
// as long.
func (d *discovery) setTimeout(t time.Duration, code net.Code) {
	d.timer.Stop()
	d.timer = d.front.Loop.After(t, func() {
		d.applyLeaving()
		d.retryAfter(code, d.backoff.TimedOut(d.stepAge()))
	})
}

// stepAge returns the time since the current step began.
func (d *discovery) stepAge() time.Duration { return d.front.Loop.Now().Sub(d.stepStart) }

// request sends a watch or a request for a full list on the open connection.
func (d *discovery) request() {
	d.prepareReader()
	path := "/discovery/hosts"
	partitionQuery := d.nextQuery()
	limit := d.backoff.AskTimeout()
	if d.partitions.gained { // one step with the previous request, for which changes have waited too
		limit -= d.stepAge()
	} else {
		d.stepStart = d.front.Loop.Now()
	}
	d.setTimeout(min(backoff.AnswerTimeout, limit), net.CallTimeout)
	d.watching = d.incremental && !d.partitions.gaining
	switch {
	case d.watching:
		wait := d.backoff.WatchWait()
		if _, _, live := d.front.core.ListStatus(d.front.FrontIndex); !live {
			wait = immediateWait // a live agent answers at once even without changes
		}
		if recheck := d.front.core.RecheckInterval(d.front.FrontIndex); recheck > 0 {
			wait = min(wait, recheck)
		}
		if d.pollNow() {
			wait = immediateWait
		}
		d.setTimeout(limit, net.CallTimeout)
		path += "?after=" + strconv.FormatUint(d.generation, 10) +
			"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
		if partitionQuery != "" {
			path += "&" + partitionQuery
		}
	case partitionQuery != "":
		path += "?" + partitionQuery
	}
	d.partitions.gained = false
	d.conn.Write(http1.Request("GET", path, d.front.Discovery, nil))
}

// Opened sends a request on a new connection.
func (d *discovery) Opened() { d.request() }

// Closed reconnects after a pause.
func (d *discovery) Closed(net.Code) {
	d.conn = nil
	d.applyLeaving()
	d.retryAfter(net.PeerClosed, d.backoff.Disconnected(d.stepAge()))
}

// applyLeaving applies the draining and removed endpoints of an incomplete answer: whatever the
// agent has written counts.
func (d *discovery) applyLeaving() {
	if d.incoming != nil && len(d.incoming.Leaving) > 0 {
		d.front.core.ApplyLeaving(d.front.FrontIndex, d.incoming)
	}
}

// retryAfter closes the connection and watches again after a pause.
func (d *discovery) retryAfter(code net.Code, pause time.Duration) {
	if d.conn != nil {
		d.conn.Close(code)
		d.conn = nil
	}
	d.incoming, d.partitions.gained = nil, false
	d.timer.Stop()
	d.timer = d.front.Loop.After(pause, d.watch)
}

// retryAfterHeader returns the delay of a Retry-After header in whole seconds; zero if it has none.
func retryAfterHeader(r *http1.Response) time.Duration {
	n, err := strconv.ParseUint(r.Header("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// restart starts again at another address. The agent there may have its own generation numbers, so
// the full list is requested; the current list stays in use until that arrives.
func (d *discovery) restart() {
	if d.closed {
		return
	}
	d.incremental, d.partitions.gained = false, false
	d.backoff.Reset() // a different agent: the old one's refusals do not count for it
	if d.conn != nil {
		d.conn.Close(net.Moved)
		d.conn = nil
	}
	d.timer.Stop()
	d.watch()
}

// prepareReader sets up the reader for the next answer.
func (d *discovery) prepareReader() {
	list := groups.NewList(false)
	size, entries := d.readerLimits()
	d.incoming = list
	d.reader = &listing.Reader{MaxBytes: size, MaxEntries: entries, OnEntry: func(v *fastjson.Value) error {
		e, err := d.front.Names.Target(v)
		if err != nil || !d.keepEntry(&e, list) {
			return err
		}
		if err := d.checkRoom(list); err != nil {
			return err
		}
		return list.Add(e)
	}}
}

// readBody reads a part of an answer's body. Entries go to a separate list until the answer is
// complete.
func (d *discovery) readBody(b []byte) error { return d.reader.Feed(b) }

// Data reads an answer and watches again.
func (d *discovery) Data(b []byte) {
	d.parser.Feed(b)
	r, err := d.parser.Next()
	switch {
	case err != nil:
		d.rejectList(err)
		return
	case r == nil:
		if d.reader.ReceivedBytes() > 0 { // data is arriving: a long list may take long, but not forever
			d.setTimeout(d.backoff.AnswerTimeLeft(d.stepAge(), d.reader.ReceivedBytes()), net.CallTimeout)
		}
		return
	}
	if r.Close {
		d.conn.Close(net.Finished)
		d.conn = nil
	}
	if r.Status != 200 {
		pause := d.backoff.Rejected(retryAfterHeader(r), d.stepAge())
		d.front.Log.Warn("discovery answers with an error", "status", r.Status, "pause_ms", pause.Milliseconds())
		d.retryAfter(net.Finished, pause)
		return
	}
	d.front.Log.Debug("received an answer from discovery", "generation", d.reader.Generation, "full", d.reader.Complete, "entries", d.reader.Entries)
	err = d.reader.End()
	if err == nil {
		err = d.checkPartitions()
	}
	if err != nil {
		d.rejectList(err)
		return
	}
	d.incoming.Full = d.reader.Complete
	if (!d.incoming.Full && d.watching || d.partitions.gaining) && d.reader.Generation < d.generation {
		// These are changes to an older list than the current one: draining and removed endpoints
		// are applied, and the full list is requested.
		d.front.Log.Warn("discovery's list goes back", "generation", d.reader.Generation, "held", d.generation)
		d.front.core.ApplyLeaving(d.front.FrontIndex, d.incoming)
		d.incremental, d.partitions.gained = false, d.partitions.gaining
		d.watch()
		return
	}
	if d.partitions.gaining {
		d.mergeGained()
		return
	}
	if d.incoming.Full && d.front.activeSweep != nil {
		d.front.finishSweep()
	}
	if err := d.front.core.UpdateList(d.front.FrontIndex, d.incoming); err != nil {
		d.rejectList(err)
		return
	}
	d.listReceived(d.incoming.Full || !d.watching)
	d.backoff.Reset()
	d.incoming = nil
	d.generation, d.incremental, d.hasList, d.agent = d.reader.Generation, true, true, d.front.Discovery
	d.front.core.DirectoryConfirmed(d.front.FrontIndex)
	if d.watching && d.front.core.RecheckInterval(d.front.FrontIndex) > 0 {
		d.incremental = false // request the full list, to recheck the entries left out here
	}
	d.front.markReady()
	d.watch()
}

// rejectList rejects a list. The current list stays in use, but the draining and removed endpoints
// of the rejected one are applied. The full list is requested next, with growing pauses while the
// lists remain invalid.
func (d *discovery) rejectList(err error) {
	d.front.Log.Warn("discovery's list cannot be read", "err", err, "entries", d.reader.Entries, "bytes", d.reader.ReceivedBytes())
	d.front.core.RejectList(d.front.FrontIndex, d.incoming, err)
	d.incremental = false
	d.retryAfter(net.Protocol, d.backoff.Unreadable(d.stepAge()))
}

func (d *discovery) close() {
	d.closed = true
	d.timer.Stop()
	if d.conn != nil {
		d.conn.Close(net.Shutdown)
	}
}
