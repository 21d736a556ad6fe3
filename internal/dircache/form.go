// Package dircache keeps the target group on disk for a start while the directory is unavailable. A
// snapshot is one file, written completely under a temporary name and then renamed, so that a file
// under its final name is complete. It carries a checksum because disks can corrupt data.
//
// form.go defines the encoding, without I/O; dircache.go handles the files.
package dircache

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"snowjunction"
	"snowjunction/internal/groups"
	"snowjunction/internal/partition"
	"snowjunction/internal/record"
)

// Snapshot format versions. Writer uses the first for a list of all destinations and the second for
// a list of some partitions; Decode reads both.
const (
	Version           = 1
	VersionPartitions = 2 // includes the partitions that the list covers
)

// ErrInvalid is wrapped by all errors about the content of a snapshot.
var ErrInvalid = errors.New("invalid directory snapshot")

var magic = [5]byte{'S', 'J', 'D', 'I', 'R'}

// checksumSize is the size of the checksum at the end: xxHash64 of all preceding bytes, big-endian.
const checksumSize = 8

// Limits that Decode enforces.
const (
	maxNameBytes = 256  // bytes of a name or an address
	maxNames     = 4096 // zones or kinds
	maxEntries   = 1 << 22
)

// Head is the metadata of a snapshot.
type Head struct {
	ConfirmedAt time.Time // when the directory last confirmed the list, with millisecond precision
	Generation  uint64
	Agent       string   // address of the directory agent that sent the list
	Partial     bool     // the snapshot does not contain all entries
	Zones       []string // zone names by number
	Kinds       []string // names of target kinds by number
	// Partitions is the total number of partitions; the next field lists those that the list covers
	// completely. Zero means that the list covers all destinations.
	Partitions int
	Covered    []int // ascending, without duplicates
}

// Writer encodes a snapshot entry by entry.
type Writer struct {
	buf         []byte
	flagsOffset int // offset of the flags byte
	countOffset int // offset of the number of entries
	entries     uint32
	maxBytes    int
	partial     bool
}

// NewWriter starts a snapshot of at most maxBytes bytes.
func NewWriter(h Head, maxBytes int) *Writer {
	w := &Writer{buf: append(magic[:5:5], Version), maxBytes: maxBytes - checksumSize}
	w.buf = binary.AppendVarint(w.buf, h.ConfirmedAt.UnixMilli())
	w.buf = binary.AppendUvarint(w.buf, h.Generation)
	w.text(h.Agent)
	for _, names := range [][]string{h.Zones, h.Kinds} {
		w.buf = binary.AppendUvarint(w.buf, uint64(len(names)))
		for _, n := range names {
			w.text(n)
		}
	}
	if h.Partitions > 0 {
		w.buf[len(magic)] = VersionPartitions
		w.buf = binary.AppendUvarint(w.buf, uint64(h.Partitions))
		w.buf = binary.AppendUvarint(w.buf, uint64(len(h.Covered)))
		next := 0
		for _, p := range h.Covered { // delta-encoded: the number of partitions skipped before it
			w.buf = binary.AppendUvarint(w.buf, uint64(p-next))
			next = p + 1
		}
	}
	w.flagsOffset = len(w.buf)
	w.buf = append(w.buf, 0)
	w.countOffset = len(w.buf)
	w.buf = append(w.buf, 0, 0, 0, 0)
	return w
}

func (w *Writer) text(s string) { w.buf = record.AppendText(w.buf, s) }

// Add appends an entry. It returns false if the entry does not fit; the snapshot is then Partial.
func (w *Writer) Add(e groups.Entry) bool {
	at := len(w.buf)
	w.text(e.Name)
	w.text(e.Addr)
	w.buf = binary.AppendUvarint(w.buf, uint64(e.Destination))
	w.buf = binary.AppendUvarint(w.buf, uint64(max(e.Zone, 0)))
	w.buf = binary.AppendUvarint(w.buf, uint64(max(e.Kind, 0)))
	w.buf = append(w.buf, byte(e.Phase))
	w.buf = binary.BigEndian.AppendUint64(w.buf, math.Float64bits(e.Weight))
	if len(w.buf) > w.maxBytes || len(e.Name) > maxNameBytes || len(e.Addr) > maxNameBytes {
		w.buf, w.partial = w.buf[:at], true
		return false
	}
	w.entries++
	return true
}

// Skip marks the snapshot as Partial because the caller left out an entry.
func (w *Writer) Skip() { w.partial = true }

// Bytes finishes the snapshot and returns it.
func (w *Writer) Bytes() []byte {
	if w.partial {
		w.buf[w.flagsOffset] = 1
	}
	binary.BigEndian.PutUint32(w.buf[w.countOffset:], w.entries)
	return seal(w.buf)
}

func seal(b []byte) []byte { return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)) }

// Snapshot is a decoded snapshot.
type Snapshot struct {
	Head
	Entries []groups.Entry // zones and kinds are numbered as in Head
}

type reader struct{ record.Reader }

func (r *reader) text() string { return r.Text(maxNameBytes) }

func (r *reader) names() (out []string) {
	for n := r.Uint(maxNames); n > 0 && !r.Failed; n-- {
		out = append(out, r.text())
	}
	return out
}

// partitions decodes the partitions that a list covers.
func (r *reader) partitions() (partitions int, of []int) {
	partitions = int(r.Uint(partition.MaxPartitions))
	next := 0
	for n := r.Uint(uint64(partitions)); n > 0 && !r.Failed; n-- {
		p := next + int(r.Uint(partition.MaxPartitions))
		if r.Failed = r.Failed || p >= partitions; !r.Failed {
			of = append(of, p)
		}
		next = p + 1
	}
	if partitions == 0 {
		r.Failed = true
	}
	return partitions, of
}

// Decode decodes a snapshot. An invalid one results in a wrapped format error.
func Decode(b []byte) (*Snapshot, error) {
	bad := func(what string) (*Snapshot, error) { return nil, fmt.Errorf("%w: %s", ErrInvalid, what) }
	switch {
	case len(b) == 0:
		return bad("it is empty")
	case len(b) < len(magic)+1+checksumSize || [5]byte(b) != magic:
		return bad("it begins otherwise")
	case b[5] != Version && b[5] != VersionPartitions:
		return bad(fmt.Sprintf("unknown version %d", b[5]))
	}
	body := b[:len(b)-checksumSize]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[len(body):]) {
		return bad("checksum mismatch: it is damaged or truncated")
	}
	r, s := &reader{record.Reader{Data: body[6:]}}, &Snapshot{}
	s.ConfirmedAt = time.UnixMilli(r.Int())
	s.Generation, s.Agent = r.Uint(math.MaxUint64), r.text()
	s.Zones, s.Kinds = r.names(), r.names()
	if b[5] == VersionPartitions {
		s.Partitions, s.Covered = r.partitions()
	}
	s.Partial = r.Byte() == 1
	count := r.Take(4)
	if r.Failed || binary.BigEndian.Uint32(count) > maxEntries {
		return bad("its header is invalid")
	}
	for n := binary.BigEndian.Uint32(count); n > 0; n-- {
		e := groups.Entry{Name: r.text(), Addr: r.text()}
		e.Destination = snowjunction.DestinationID(r.Uint(math.MaxUint32))
		e.Zone, e.Kind = int(r.Uint(maxNames)), int(r.Uint(maxNames))
		e.Phase = snowjunction.Phase(r.Byte())
		if v := r.Take(8); len(v) == 8 {
			e.Weight = math.Float64frombits(binary.BigEndian.Uint64(v))
		}
		ready := e.Phase == snowjunction.Ready || e.Phase == snowjunction.Draining
		if r.Failed || !ready || math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) {
			return bad("an entry is invalid")
		}
		s.Entries = append(s.Entries, e)
	}
	if len(r.Data) > 0 {
		return bad("there are bytes after the last entry")
	}
	return s, nil
}

// Renumber replaces the snapshot's zone and kind numbers with those of the given configuration,
// matched by name. An unknown name gets the number after the last.
func (s *Snapshot) Renumber(zones, kinds map[string]int) {
	newNumber := func(names []string, numbers map[string]int, no int) int {
		if no < len(names) {
			if n, ok := numbers[names[no]]; ok {
				return n
			}
		}
		return len(numbers)
	}
	for i := range s.Entries {
		e := &s.Entries[i]
		e.Zone, e.Kind = newNumber(s.Zones, zones, e.Zone), newNumber(s.Kinds, kinds, e.Kind)
	}
	s.Zones, s.Kinds = names(zones), names(kinds)
}

// names returns the names ordered by their numbers.
func names(numbers map[string]int) []string {
	out := make([]string, len(numbers))
	for name, n := range numbers {
		if n >= 0 && n < len(out) {
			out[n] = name
		}
	}
	return out
}

// Names returns the names of zones or kinds ordered by their numbers, for a Head.
func Names(numbers map[string]int) []string { return names(numbers) }
