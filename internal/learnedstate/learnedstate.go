// Package learnedstate stores what the decision module has learned about its destinations in the state
// directory, for the courier's next process run: limits, pacing rates, outages and recoveries, the
// retry budget and latencies, as encoded snapshots.
//
// Records are appended to a segment as they change; the latest record of a destination counts. A
// full segment is followed by another that begins with all live records, and is removed once these
// are written. budget.go limits how much is written.
package learnedstate

import (
	"container/list"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"snowjunction/internal/record"
	"snowjunction/internal/sidefile"
)

// Version is the version of the records; the snapshots in them have their own.
const Version = 1

// Record is the state of a destination at a point in time.
type Record struct {
	Destination uint32
	At          time.Time // with millisecond precision
	Snapshot    []byte    // an encoded snapshot
}

// Options configure a Store.
type Options struct {
	Dir   string
	Bytes int // of all segments together
	Log   *slog.Logger
}

// The format of a record on disk, after the frame of package record: version, time in Unix
// milliseconds as a varint, destination as a uvarint, and the snapshot.
const (
	maxRecordBytes = 1 << 16
	segmentPrefix  = "learnt-"
)

// AppendRecord appends the encoded record to b.
func AppendRecord(b []byte, r Record) []byte {
	at := len(b)
	b = append(b, make([]byte, record.FrameSize)...)
	b = append(b, Version)
	b = binary.AppendVarint(b, r.At.UnixMilli())
	b = binary.AppendUvarint(b, uint64(r.Destination))
	b = append(b, r.Snapshot...)
	record.Seal(b[at:])
	return b
}

// ReadRecord decodes the record at the start of b and returns the rest of b. A record of an unknown
// version is skipped: ok is false, and there is no error.
func ReadRecord(b []byte) (r Record, ok bool, rest []byte, err error) {
	body, rest, err := record.Open(b, maxRecordBytes)
	if err != nil || body[0] != Version {
		return r, false, rest, err
	}
	f := record.Reader{Data: body[1:]}
	r.At, r.Destination = time.UnixMilli(f.Int()), uint32(f.Uint(math.MaxUint32))
	if f.Failed {
		return Record{}, false, nil, record.ErrDamaged
	}
	r.Snapshot = slices.Clone(f.Data)
	return r, true, rest, nil
}

// Load reads the records in a directory: the latest record of each destination, in the order of
// writing. onError is called for files and parts of files that cannot be read; these are omitted.
func Load(dir string, onError func(file string, err error)) []Record {
	files, err := sidefile.Files(dir, segmentPrefix)
	if err != nil {
		onError(dir, err)
		return nil
	}
	var all []Record
	for _, name := range files {
		b, err := readSegment(name)
		if err != nil {
			onError(filepath.Base(name), err)
			continue
		}
		for size := len(b); len(b) > 0; {
			r, ok, rest, err := ReadRecord(b)
			if err != nil {
				onError(filepath.Base(name), fmt.Errorf("%w at %d: %d bytes are skipped", err, size-len(b), len(b)))
				break
			}
			if b = rest; ok {
				all = append(all, r)
			}
		}
	}
	last := map[uint32]int{}
	for i, r := range all {
		last[r.Destination] = i
	}
	out := all[:0]
	for i, r := range all {
		if last[r.Destination] == i {
			out = append(out, r)
		}
	}
	return out
}

// maxSegmentBytes is the largest segment in bytes that Load reads.
const maxSegmentBytes = 64 << 20

func readSegment(path string) ([]byte, error) {
	if i, err := os.Stat(path); err != nil {
		return nil, err
	} else if i.Size() > maxSegmentBytes {
		return nil, fmt.Errorf("file of %d bytes is too large", i.Size())
	}
	return os.ReadFile(path)
}

// Store writes records in the background. Its callers never wait for the disk.
type Store struct {
	options    Options
	maxSegment int // maximum size of one segment in bytes
	// segmentNumber is the number of the current segment.
	segmentNumber uint64
	segment       *os.File
	segmentSize   int
	records       *list.List               // of Record, the oldest first; the next segment begins with these
	byDestination map[uint32]*list.Element // elements of records by destination
	liveBytes     int                      // bytes on disk of all records

	writer *sidefile.Writer[[]Record]

	mu     sync.Mutex
	counts Counts
}

// Counts are the totals of a Store since it was opened.
type Counts struct {
	Writes, Bytes, Records, Failed uint64
	Dropped                        uint64 // records dropped for lack of room
}

// maxLiveShare is the maximum share of live records in a segment, so that each new segment has room
// for more.
const maxLiveShare = 0.7

// Open starts a segment with the known records and removes the older segments.
func Open(o Options, known []Record) (*Store, error) {
	s := &Store{
		options: o, maxSegment: o.Bytes/2 - sidefile.BlockSize, records: list.New(), byDestination: map[uint32]*list.Element{},
	}
	s.writer = &sidefile.Writer[[]Record]{
		Merge: func(waiting, come []Record) []Record { return append(waiting, come...) }, Write: s.write, Log: o.Log, Subject: "learned state",
	}
	if s.maxSegment < 1024 {
		return nil, fmt.Errorf("open learned state: %d bytes are not enough", o.Bytes)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("open learned state: %w", err)
	}
	old, err := sidefile.Files(o.Dir, segmentPrefix)
	if err != nil {
		return nil, fmt.Errorf("open learned state: %w", err)
	}
	if len(old) > 0 {
		s.segmentNumber = sidefile.Number(old[len(old)-1], segmentPrefix)
	}
	for _, r := range known {
		s.remember(r)
	}
	// If the records do not fit next to older, larger segments, these are removed first.
	total := 0
	for _, name := range old {
		if i, err := os.Stat(name); err == nil {
			total += int(i.Size())
		}
	}
	if total > o.Bytes-s.liveBytes-2*sidefile.BlockSize {
		for _, name := range old {
			if err := os.Remove(name); err != nil {
				return nil, fmt.Errorf("open learned state: %w", err)
			}
		}
	}
	if err := s.startSegment(); err != nil {
		return nil, fmt.Errorf("open learned state: %w", err)
	}
	return s, nil
}

// sizeOf returns the maximum size of a record on disk in bytes.
func sizeOf(r Record) int { return record.FrameSize + 16 + len(r.Snapshot) }

// remember keeps a record as the latest of its destination. If there is no room, it drops the
// oldest records and returns their number.
func (s *Store) remember(r Record) (dropped uint64) {
	if e := s.byDestination[r.Destination]; e != nil {
		s.liveBytes -= sizeOf(s.records.Remove(e).(Record))
	}
	s.byDestination[r.Destination] = s.records.PushBack(r)
	s.liveBytes += sizeOf(r)
	for s.liveBytes > int(maxLiveShare*float64(s.maxSegment)) {
		old := s.records.Remove(s.records.Front()).(Record)
		s.liveBytes -= sizeOf(old)
		delete(s.byDestination, old.Destination)
		dropped++
	}
	return dropped
}

// startSegment starts a segment with the live records, then removes all earlier segments.
func (s *Store) startSegment() error {
	var b []byte
	for e := s.records.Front(); e != nil; e = e.Next() {
		b = AppendRecord(b, e.Value.(Record))
	}
	path := sidefile.Path(s.options.Dir, segmentPrefix, s.segmentNumber+1)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		f.Close()
		_ = os.Remove(path) // the previous segment contains all of these records
		return err
	}
	if s.segment != nil {
		s.segment.Close()
	}
	s.segment, s.segmentSize, s.segmentNumber = f, len(b), s.segmentNumber+1
	old, err := sidefile.Files(s.options.Dir, segmentPrefix)
	for _, name := range old {
		if sidefile.Number(name, segmentPrefix) < s.segmentNumber {
			err = errors.Join(err, os.Remove(name))
		}
	}
	return err
}

// Put writes the given records together, in the background.
func (s *Store) Put(batch []Record) {
	if len(batch) > 0 {
		s.writer.Put(batch)
	}
}

// Counts returns the current totals.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts
	n.Failed = s.writer.Failed()
	return n
}

func (s *Store) write(batch []Record) error {
	var b []byte
	droppedRecords := uint64(0)
	for _, r := range batch {
		droppedRecords += s.remember(r)
		b = AppendRecord(b, r)
	}
	n, err := s.appendEncoded(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Dropped += droppedRecords; err == nil {
		s.counts.Writes++
		s.counts.Bytes += uint64(n)
		s.counts.Records += uint64(len(batch))
	}
	return err
}

// appendEncoded appends encoded records to the segment, or starts the next one, which contains
// them.
func (s *Store) appendEncoded(b []byte) (n int, err error) {
	if s.segmentSize+len(b) > s.maxSegment {
		return s.liveBytes, s.startSegment()
	}
	n, err = s.segment.Write(b)
	s.segmentSize += n
	if err != nil && n > 0 { // a partial record would hide all that is written after it
		err = errors.Join(err, s.startSegment())
	}
	return n, err
}

// Close waits until pending records are written.
func (s *Store) Close() {
	s.writer.Close()
	s.segment.Close()
}
