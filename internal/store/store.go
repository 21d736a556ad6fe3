// Package store keeps the journal of what the courier has taken on, in the
// folder that outlasts its process.
//
// The journal is a row of append-only segments of checksummed records. Once
// they take too much room the oldest goes, after what is still live in it has
// been copied to the newest. Only a prefix of the row is ever removed, so no
// record outlives one that takes it back.
//
// A settled message is remembered, without its body, for as long as what may have run of it
// binds others: those of its idempotency key, and the next of its key. It is copied as any
// other, and gives way where the room is needed.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"snowjunction/internal/record"
)

// ErrFull tells that a message does not fit in.
var ErrFull = errors.New("the journal is full")

// The shares of the disk's room.
const (
	useOf     = 0.92 // of it, for what rounding and the folder itself may take
	segmentOf = 1.0 / 16
	compactAt = 0.75    // of the use: from here on the oldest segment goes
	liveMost  = 0.55    // of the use: more is not taken on, so that compaction gains
	block     = 512     // files count in these
	progress  = 256     // bytes to reserve for what becomes of a message
	pastMost  = 8192    // settled messages that are remembered
	pastOf    = 1.0 / 8 // of the use, beyond liveMost: with these the remembered give way
)

// Journal is the store. It is not safe for concurrent use.
type Journal struct {
	dir      string
	log      *slog.Logger
	most     int64 // bytes in use at most
	segments []*segment
	file     *os.File
	next     uint64 // the next message's number
	live     map[uint64]*entry
	liveSize int64
	retain   time.Duration
	until    func(*Message) time.Time
	retained []uint64  // settled messages whose end can still be asked for, oldest first
	past     []uint64  // settled messages that are remembered, oldest first
	pastSize int64     // of their records; liveSize is without it
	at       time.Time // of the last record that tells it
	written  Written
}

type segment struct {
	no   int
	size int64
	seqs map[uint64]bool // live messages whose whole record lies here
}

type entry struct {
	msg  *Message
	seg  *segment
	size int64
	past bool
}

// Options set a journal's bounds.
type Options struct {
	Dir    string
	Bytes  int64         // that the folder may hold
	Retain time.Duration // how long a settled message's end is kept, if Keep says so
	Log    *slog.Logger

	// Until tells until when a settled message is to be remembered of which an attempt may have
	// run, and may be running if Out says so. nil: none is.
	Until func(m *Message) time.Time

	// Goes tells of a message, by its number, that the attempt which is out goes on in this
	// process; nil: none does.
	Goes func(seq uint64) bool
}

// Ran are the settled messages that are remembered, or kept, of which an attempt may have run.
// A client may hand one in again under another id, and its window is that of the first.
func (j *Journal) Ran() (out []*Message) {
	for _, seq := range slices.Concat(j.past, j.retained) {
		if e := j.live[seq]; e != nil && (e.msg.Ran || e.msg.Out) {
			out = append(out, e.msg)
		}
	}
	return out
}

// retainMost bounds how many settled messages are kept.
const retainMost = 2048

// Written is how much has been written in this life.
type Written struct{ Records, Bytes uint64 }

// Written tells how much has been written.
func (j *Journal) Written() Written { return j.written }

// Load opens the journal and returns what it still owes an end or a word of
// one, and the retained, in order of taking.
func Load(o Options) (*Journal, []*Message, error) {
	j := &Journal{
		dir: o.Dir, log: o.Log, most: int64(float64(o.Bytes) * useOf), retain: o.Retain, until: o.Until,
		live: map[uint64]*entry{}, next: 1,
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("open the journal: %w", err)
	}
	names, err := filepath.Glob(filepath.Join(o.Dir, "journal-*"))
	if err != nil {
		return nil, nil, fmt.Errorf("open the journal: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		var no int
		if _, err := fmt.Sscanf(filepath.Base(name), "journal-%d", &no); err != nil {
			continue
		}
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, fmt.Errorf("open the journal: %w", err)
		}
		s := &segment{no: no, size: int64(len(b)), seqs: map[uint64]bool{}}
		j.segments = append(j.segments, s)
		j.replay(s, b)
	}
	if err := j.roll(); err != nil {
		return nil, nil, fmt.Errorf("open the journal: %w", err)
	}
	var out []*Message
	for _, e := range j.live {
		out = append(out, e.msg)
	}
	slices.SortFunc(out, func(a, b *Message) int { return int(int64(a.Seq) - int64(b.Seq)) })
	owed := out[:0]
	for _, m := range out {
		if m.Settled && !j.keeps(m) {
			j.pass(m.Seq)
		} else if owed = append(owed, m); m.Settled {
			j.retained = append(j.retained, m.Seq)
		}
		if m.Out && (o.Goes == nil || !o.Goes(m.Seq)) { // the process ended with it out: it may have run
			j.ran(m)
		}
	}
	j.shed()
	return j, owed, nil
}

// replay reads one segment up to its end or the first damaged record: a write
// cut short leaves one, and what lies behind it cannot be told from noise.
func (j *Journal) replay(s *segment, b []byte) {
	for at := 0; at < len(b); {
		payload, _, err := record.Open(b[at:], maxRecord)
		if err == nil {
			err = j.apply(s, payload)
		}
		if err != nil {
			j.log.Warn("journal cut short", "segment", s.no, "at", at, "lost", len(b)-at)
			return
		}
		at += record.Frame + len(payload)
	}
}

func (j *Journal) apply(s *segment, payload []byte) error {
	r := &reader{record.Reader{B: payload}}
	k, seq := kind(r.Byte()), r.uint()
	if !r.Bad {
		j.next = max(j.next, seq+1) // also of messages dropped with an older segment
	}
	if k == taken {
		m := decode(seq, r)
		if r.Bad {
			return record.ErrDamaged
		}
		j.forget(seq) // a copy made by compaction replaces the first
		j.keep(m, s, int64(record.Frame+len(payload)))
		return nil
	}
	e := j.live[seq]
	at, n, after := r.time(), r.Byte(), time.Duration(r.Int())
	if r.Bad || k < sent || k > settled {
		return record.ErrDamaged
	}
	if e == nil {
		return nil // its message was dropped with an older segment
	}
	j.change(e.msg, k, at, n, after)
	if m := e.msg; m.Settled {
		if m.Body = nil; !m.Ran && !m.Out && !j.keeps(m) {
			j.forget(seq)
		}
	}
	return nil
}

// change is what a record does to its message, when written and when read.
func (j *Journal) change(m *Message, k kind, at time.Time, n byte, after time.Duration) {
	if !at.IsZero() {
		j.at = at
	}
	switch k {
	case sent:
		if m.Out { // the process ended with the one before out, and its heir has written nothing of that
			j.ran(m)
		}
		m.Attempts, m.Out, m.OutSince = m.Attempts+1, true, at
	case came:
		if n != 0 {
			if !at.IsZero() {
				m.OutSince = at
			}
			j.ran(m)
		}
		m.Out = false
	case ended:
		m.State, m.After, m.EndedAt = State(n), after, at
	case settled:
		m.Settled = true
	}
}

func (j *Journal) ran(m *Message) {
	if m.Out = false; !m.Ran {
		m.Ran, m.RanSince = true, m.OutSince
	}
}

// keeps tells whether a settled message's end can still be asked for.
func (j *Journal) keeps(m *Message) bool { return m.Origin != 0 && j.retain > 0 }

func (j *Journal) keep(m *Message, s *segment, size int64) {
	j.live[m.Seq] = &entry{msg: m, seg: s, size: size}
	s.seqs[m.Seq] = true
	j.count(j.live[m.Seq], 1)
}

func (j *Journal) forget(seq uint64) {
	if e := j.live[seq]; e != nil {
		delete(j.live, seq)
		delete(e.seg.seqs, seq)
		j.count(e, -1)
	}
}

// count adds an entry's size to what its kind takes, or takes it off.
func (j *Journal) count(e *entry, sign int64) {
	if e.past {
		j.pastSize += sign * e.size
	} else {
		j.liveSize += sign * (e.size + progress)
	}
}

// pass has a settled message remembered, if it is to be, or forgotten.
func (j *Journal) pass(seq uint64) {
	e := j.live[seq]
	if e == nil || e.past {
		return
	}
	if !j.binds(e.msg) {
		j.forget(seq)
		return
	}
	j.count(e, -1)
	e.msg.Body = nil
	e.past, e.size = true, int64(len(encode(e.msg)))
	j.count(e, 1)
	j.past = append(j.past, seq)
}

// binds tells whether what may have run of a settled message still binds others.
func (j *Journal) binds(m *Message) bool {
	return j.until != nil && (m.Ran || m.Out) && j.until(m).After(j.at)
}

// shed forgets remembered messages from the oldest on: what binds nobody any more, and what
// there is no room for.
func (j *Journal) shed() {
	for len(j.past) > 0 {
		e := j.live[j.past[0]]
		fits := len(j.past) <= pastMost && float64(j.liveSize+j.pastSize) <= float64(j.most)*(liveMost+pastOf)
		if e != nil && fits && j.binds(e.msg) {
			return
		}
		j.forget(j.past[0])
		j.past = j.past[1:]
	}
}

// Room tells whether a message with so many bytes of text and body fits in.
func (j *Journal) Room(bytes int) bool {
	return j.liveSize+int64(bytes)+2*progress <= int64(float64(j.most)*liveMost)
}

// Take writes a new message and numbers it.
func (j *Journal) Take(m *Message) error {
	if !j.Room(len(m.Body) + len(m.ID) + len(m.IdempotencyKey)) {
		return ErrFull
	}
	m.Seq = j.next
	b := encode(m)
	if err := j.write(b); err != nil {
		return err
	}
	j.next++
	j.keep(m, j.newest(), int64(len(b)))
	j.shed()
	return nil
}

// Copy writes a message anew: it has changed by what was found out of another.
func (j *Journal) Copy(m *Message) error {
	e := j.live[m.Seq]
	if e == nil {
		return nil
	}
	b := encode(m)
	if err := j.write(b); err != nil {
		return err
	}
	j.moved(e, int64(len(b)))
	return nil
}

// moved notes that an entry's record is the last one.
func (j *Journal) moved(e *entry, size int64) {
	delete(e.seg.seqs, e.msg.Seq)
	j.count(e, -1)
	e.seg, e.size = j.newest(), size
	j.count(e, 1)
	e.seg.seqs[e.msg.Seq] = true
}

// Sent writes that an attempt is about to leave.
func (j *Journal) Sent(m *Message, at time.Time) error { return j.note(m, sent, at, 0, 0) }

// Came writes the outcome of the attempt that was out, and when its first byte left, if it did:
// the disk may have taken a while after the moment that Sent was told.
func (j *Journal) Came(m *Message, mayHaveRun bool, left time.Time) error {
	n := byte(0)
	if mayHaveRun {
		n = 1
	}
	return j.note(m, came, left, n, 0)
}

// Ended writes a message's end.
func (j *Journal) Ended(m *Message, s State, after time.Duration, at time.Time) error {
	return j.note(m, ended, at, byte(s), after)
}

// Settle writes that a message's end is known where it must be.
func (j *Journal) Settle(m *Message) error {
	err := j.note(m, settled, time.Time{}, 0, 0)
	switch {
	case j.live[m.Seq] == nil:
	case j.keeps(m):
		m.Body = nil
		j.retained = append(j.retained, m.Seq)
		j.expire(m.EndedAt)
	default:
		j.pass(m.Seq)
	}
	j.shed()
	return err
}

// expire forgets the settled messages that have been kept for long enough.
func (j *Journal) expire(now time.Time) {
	for len(j.retained) > 0 {
		e := j.live[j.retained[0]]
		if e != nil && len(j.retained) <= retainMost && now.Sub(e.msg.EndedAt) < j.retain {
			return
		}
		j.pass(j.retained[0])
		j.retained = j.retained[1:]
	}
}

// note writes a change and makes it. The change is made also where the write
// fails: what is in memory stays true.
func (j *Journal) note(m *Message, k kind, at time.Time, n byte, after time.Duration) error {
	defer j.change(m, k, at, n, after)
	if j.live[m.Seq] == nil {
		return nil
	}
	b := appendTime(begin(k, m.Seq), at)
	return j.write(record.Seal(binary.AppendVarint(append(b, n), int64(after))))
}

func (j *Journal) newest() *segment { return j.segments[len(j.segments)-1] }

// Size is the room that the journal takes, in whole blocks.
func (j *Journal) Size() (total int64) {
	for _, s := range j.segments {
		total += (s.size + block - 1) / block * block
	}
	return total
}

// write appends a record, after making room for it.
func (j *Journal) write(b []byte) error {
	if j.newest().size > int64(float64(j.most)*segmentOf) {
		if err := j.roll(); err != nil {
			return err
		}
	}
	if len(j.segments) > 1 && j.Size() > int64(float64(j.most)*compactAt) {
		if err := j.compact(); err != nil {
			return fmt.Errorf("compact the journal: %w", err)
		}
	}
	return j.append(b)
}

func (j *Journal) append(b []byte) error {
	s := j.newest()
	n, err := j.file.Write(b)
	if s.size += int64(n); err == nil {
		j.written.Records++
		j.written.Bytes += uint64(n)
		return nil
	}
	// A part of a record would hide all that is written behind it.
	if n > 0 {
		if rerr := j.roll(); rerr != nil {
			return fmt.Errorf("write the journal: %w", errors.Join(err, rerr))
		}
	}
	return fmt.Errorf("write the journal: %w", err)
}

func (j *Journal) path(no int) string { return filepath.Join(j.dir, fmt.Sprintf("journal-%09d", no)) }

// roll begins a new segment.
func (j *Journal) roll() error {
	no := 1
	if len(j.segments) > 0 {
		no = j.newest().no + 1
	}
	f, err := os.OpenFile(j.path(no), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("begin a journal segment: %w", err)
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file = f
	j.segments = append(j.segments, &segment{no: no, seqs: map[uint64]bool{}})
	return nil
}

// compact copies what is live in the oldest segment and removes that.
func (j *Journal) compact() error {
	oldest := j.segments[0]
	for _, seq := range slices.Sorted(maps.Keys(oldest.seqs)) {
		e := j.live[seq]
		if e.past && !j.binds(e.msg) {
			j.forget(seq)
			continue
		}
		b := encode(e.msg)
		if err := j.append(b); err != nil {
			return err
		}
		j.moved(e, int64(len(b)))
	}
	if err := os.Remove(j.path(oldest.no)); err != nil {
		return err
	}
	j.segments = j.segments[1:]
	return nil
}

// Close ends the journal.
func (j *Journal) Close() error { return j.file.Close() }
