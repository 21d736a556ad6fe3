// Package store keeps the journal of accepted messages in the state folder, which outlives the
// process.
//
// The journal is a sequence of append-only segment files of checksummed records. Once the segments
// use too much space, the records still needed from the oldest segment are copied to the newest one
// and the oldest is deleted. Segments are only ever deleted from the front, so a record is never
// kept without the later records that supersede it.
//
// A settled message is retained, without its body, as long as its final state can be queried. It is
// remembered, without its body, as long as an attempt that may have run constrains other messages: those with
// the same idempotency key, and the next one of the same ordering key. Both are copied by compaction like any
// other and are evicted when the space is needed, so that the space for new messages depends on unsettled
// messages alone (room.go).
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

// ErrFull is returned if a message does not fit into the journal.
var ErrFull = errors.New("the journal is full")

// Shares of the disk space and size limits of the journal.
const (
	usableShare     = 0.92     // share of Options.Bytes that is used; leaves room for block rounding and the folder
	segmentShare    = 1.0 / 16 // of maxBytes: a larger segment is followed by a new one
	compactionShare = 0.75     // of maxBytes: above this the oldest segment is compacted
	maxLiveShare    = 0.55     // of maxBytes: limit for unsettled messages, so that compaction frees space
	blockSize       = 512      // bytes; file sizes are rounded up to this
	progressReserve = 256      // bytes reserved per message for the records of its progress
	maxRemembered   = 8192     // number of settled messages that are remembered
	settledShare    = 1.0 / 8  // of maxBytes, on top of maxLiveShare: limit for all messages
)

// Journal is the on-disk store of accepted messages. It is not safe for concurrent use.
type Journal struct {
	dir           string
	log           *slog.Logger
	maxBytes      int64 // disk space that the segments may use
	segments      []*segment
	file          *os.File
	nextSeq       uint64 // sequence number of the next message
	live          map[uint64]*entry
	sizes         [entryKinds]int64 // bytes that the entries of each kind take, see entry.room
	retain        time.Duration
	rememberUntil func(*Message) time.Time
	retained      []uint64  // settled messages whose final state can still be queried, oldest first
	remembered    []uint64  // sequence numbers of remembered settled messages, oldest first
	lastTime      time.Time // time of the last record that carries one
	written       Written
}

type segment struct {
	no   int
	size int64
	seqs map[uint64]bool // live messages whose kindAccepted record is in this segment
}

// Options configures a Journal.
type Options struct {
	Dir    string
	Bytes  int64         // disk space that the journal may use
	Retain time.Duration // how long a settled message's final state can be queried, if its Origin is not 0
	Log    *slog.Logger

	// RememberUntil returns the time until which a settled message is remembered whose attempt may have run
	// or may still be running. If nil, no settled message is remembered.
	RememberUntil func(m *Message) time.Time

	// StillInFlight reports whether the attempt of the message with this sequence number that is in flight
	// continues in this process. If nil, none does.
	StillInFlight func(seq uint64) bool
}

// SettledMayHaveRun returns the remembered and retained settled messages with an attempt that may have run. A
// client may resubmit one under another ID; the deduplication window is then that of the first
// attempt.
func (j *Journal) SettledMayHaveRun() (out []*Message) {
	for _, seq := range slices.Concat(j.remembered, j.retained) {
		if e := j.live[seq]; e != nil && (e.message.MayHaveRun || e.message.InFlight) {
			out = append(out, e.message)
		}
	}
	return out
}

// maxRetained limits the number of settled messages whose final state is retained.
const maxRetained = 2048

// Written counts the records and bytes written since the journal was loaded.
type Written struct{ Records, Bytes uint64 }

// Written returns how much has been written since Load.
func (j *Journal) Written() Written { return j.written }

// Load opens the journal and replays it. It returns the unsettled messages and the retained settled
// ones, in the order in which they were accepted.
func Load(opts Options) (*Journal, []*Message, error) {
	j := &Journal{
		dir: opts.Dir, log: opts.Log, maxBytes: int64(float64(opts.Bytes) * usableShare), retain: opts.Retain, rememberUntil: opts.RememberUntil,
		live: map[uint64]*entry{}, nextSeq: 1,
	}
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("open the journal: %w", err)
	}
	names, err := filepath.Glob(filepath.Join(opts.Dir, "journal-*"))
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
	var messages []*Message
	for _, e := range j.live {
		messages = append(messages, e.message)
	}
	slices.SortFunc(messages, func(a, b *Message) int { return int(int64(a.Seq) - int64(b.Seq)) })
	unsettled := messages[:0]
	for _, m := range messages {
		if m.Settled && !j.isRetained(m) {
			j.remember(m.Seq)
		} else if unsettled = append(unsettled, m); m.Settled {
			j.retainState(m.Seq)
		}
		// The previous process ended with the attempt in flight: it may have run.
		if m.InFlight && (opts.StillInFlight == nil || !opts.StillInFlight(m.Seq)) {
			markMayHaveRun(m)
		}
	}
	j.evictSettled()
	return j, unsettled, nil
}

// replay reads one segment up to its end or the first damaged record. An interrupted write leaves a
// damaged record, and the bytes after it cannot be told from noise.
func (j *Journal) replay(s *segment, b []byte) {
	for at := 0; at < len(b); {
		payload, _, err := record.Open(b[at:], maxRecordSize)
		if err == nil {
			err = j.apply(s, payload)
		}
		if err != nil {
			j.log.Warn("journal segment truncated at a damaged record", "segment", s.no, "at", at, "lost", len(b)-at)
			return
		}
		at += record.FrameSize + len(payload)
	}
}

func (j *Journal) apply(s *segment, payload []byte) error {
	r := &reader{record.Reader{Data: payload}}
	k, seq := recordKind(r.Byte()), r.uint()
	if !r.Failed {
		j.nextSeq = max(j.nextSeq, seq+1) // also for messages deleted with an older segment
	}
	if k == kindAccepted {
		m := decode(seq, r)
		if r.Failed {
			return record.ErrDamaged
		}
		j.forget(seq) // a copy made by compaction replaces the original
		j.track(m, s, int64(record.FrameSize+len(payload)))
		return nil
	}
	e := j.live[seq]
	at, n, after := r.time(), r.Byte(), time.Duration(r.Int())
	if r.Failed || k < kindSent || k > kindSettled {
		return record.ErrDamaged
	}
	if e == nil {
		return nil // the message was deleted with an older segment
	}
	j.applyChange(e.message, k, at, n, after)
	if m := e.message; m.Settled {
		if m.Body = nil; !m.MayHaveRun && !m.InFlight && !j.isRetained(m) {
			j.forget(seq)
		}
	}
	return nil
}

// applyChange applies a record to its message, both when the record is written and when it is
// replayed.
func (j *Journal) applyChange(m *Message, k recordKind, at time.Time, n byte, after time.Duration) {
	if !at.IsZero() {
		j.lastTime = at
	}
	switch k {
	case kindSent:
		if m.InFlight { // the previous process ended with an attempt in flight and its successor recorded no outcome
			markMayHaveRun(m)
		}
		m.Attempts, m.InFlight, m.InFlightSince = m.Attempts+1, true, at
	case kindOutcome:
		if n != 0 {
			if !at.IsZero() {
				m.InFlightSince = at
			}
			markMayHaveRun(m)
		}
		m.InFlight = false
	case kindEnded:
		m.State, m.RetryAfter, m.EndedAt = State(n), after, at
	case kindSettled:
		m.Settled = true
	}
}

// markMayHaveRun records that the attempt in flight has ended and may have run.
func markMayHaveRun(m *Message) {
	if m.InFlight = false; !m.MayHaveRun {
		m.MayHaveRun, m.MayHaveRunSince = true, m.InFlightSince
	}
}

// track adds a message whose record of this size was written to segment s.
func (j *Journal) track(m *Message, s *segment, size int64) {
	j.live[m.Seq] = &entry{message: m, segment: s, size: size}
	s.seqs[m.Seq] = true
	j.addSize(j.live[m.Seq], 1)
}

// forget removes a message from the index; its records are deleted with their segments.
func (j *Journal) forget(seq uint64) {
	if e := j.live[seq]; e != nil {
		delete(j.live, seq)
		delete(e.segment.seqs, seq)
		j.addSize(e, -1)
	}
}

// Accept assigns a sequence number to a new message and writes it. It returns ErrFull if the message
// does not fit.
func (j *Journal) Accept(m *Message) error {
	if !j.HasRoom(len(m.Body) + len(m.ID) + len(m.IdempotencyKey)) {
		return ErrFull
	}
	m.Seq = j.nextSeq
	b := encode(m)
	if err := j.write(b); err != nil {
		return err
	}
	j.nextSeq++
	j.track(m, j.newest(), int64(len(b)))
	j.evictSettled()
	return nil
}

// Rewrite writes a message again after it was changed by information from another message.
func (j *Journal) Rewrite(m *Message) error {
	e := j.live[m.Seq]
	if e == nil {
		return nil
	}
	b := encode(m)
	if err := j.write(b); err != nil {
		return err
	}
	j.relocate(e, int64(len(b)))
	return nil
}

// relocate records that an entry's latest record is the last one written.
func (j *Journal) relocate(e *entry, size int64) {
	delete(e.segment.seqs, e.message.Seq)
	j.addSize(e, -1)
	e.segment, e.size = j.newest(), size
	j.addSize(e, 1)
	e.segment.seqs[e.message.Seq] = true
}

// RecordAttempt records that an attempt is about to be sent.
func (j *Journal) RecordAttempt(m *Message, at time.Time) error {
	return j.appendChange(m, kindSent, at, 0, 0)
}

// RecordOutcome records the outcome of the attempt in flight and, if its first byte left, when that was:
// writing the attempt's record may have delayed it.
func (j *Journal) RecordOutcome(m *Message, mayHaveRun bool, left time.Time) error {
	n := byte(0)
	if mayHaveRun {
		n = 1
	}
	return j.appendChange(m, kindOutcome, left, n, 0)
}

// RecordFinalState records a message's final state.
func (j *Journal) RecordFinalState(m *Message, s State, after time.Duration, at time.Time) error {
	return j.appendChange(m, kindEnded, at, byte(s), after)
}

// Settle records that the final state is known to the client that submitted the message.
func (j *Journal) Settle(m *Message) error {
	err := j.appendChange(m, kindSettled, time.Time{}, 0, 0)
	switch {
	case j.live[m.Seq] == nil:
	case j.isRetained(m):
		j.retainState(m.Seq)
		j.expireRetained(m.EndedAt)
	default:
		j.remember(m.Seq)
	}
	j.evictSettled()
	return err
}

// appendChange writes a change record and applies it. The change is applied even if the write
// fails, so that the state in memory stays correct.
func (j *Journal) appendChange(m *Message, k recordKind, at time.Time, n byte, after time.Duration) error {
	defer func() {
		j.applyChange(m, k, at, n, after)
		j.resizeSettled(m.Seq)
	}()
	if j.live[m.Seq] == nil {
		return nil
	}
	b := appendTime(newRecord(k, m.Seq), at)
	return j.write(record.Seal(binary.AppendVarint(append(b, n), int64(after))))
}

func (j *Journal) newest() *segment { return j.segments[len(j.segments)-1] }

// Size returns the disk space that the journal uses, in bytes, each segment rounded up to whole
// blocks.
func (j *Journal) Size() (total int64) {
	for _, s := range j.segments {
		total += (s.size + blockSize - 1) / blockSize * blockSize
	}
	return total
}

// write appends a record. It starts a new segment or compacts the oldest one first if necessary.
func (j *Journal) write(b []byte) error {
	if j.newest().size > int64(float64(j.maxBytes)*segmentShare) {
		if err := j.roll(); err != nil {
			return err
		}
	}
	if len(j.segments) > 1 && j.Size() > int64(float64(j.maxBytes)*compactionShare) {
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
	// A partial record would make the records after it unreadable.
	if n > 0 {
		if rerr := j.roll(); rerr != nil {
			return fmt.Errorf("write the journal: %w", errors.Join(err, rerr))
		}
	}
	return fmt.Errorf("write the journal: %w", err)
}

func (j *Journal) path(no int) string { return filepath.Join(j.dir, fmt.Sprintf("journal-%09d", no)) }

// roll starts a new segment.
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

// compact copies the live entries of the oldest segment to the newest and deletes the oldest.
func (j *Journal) compact() error {
	oldest := j.segments[0]
	for _, seq := range slices.Sorted(maps.Keys(oldest.seqs)) {
		e := j.live[seq]
		if e.kind == rememberedEntry && !j.isRelevant(e.message) {
			j.forget(seq)
			continue
		}
		b := encode(e.message)
		if err := j.append(b); err != nil {
			return err
		}
		j.relocate(e, int64(len(b)))
		j.resizeSettled(seq)
	}
	if err := os.Remove(j.path(oldest.no)); err != nil {
		return err
	}
	j.segments = j.segments[1:]
	return nil
}

// Close closes the journal's current segment.
func (j *Journal) Close() error { return j.file.Close() }
