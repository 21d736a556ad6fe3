// Package dircache keeps the target group on disk, for a start while the directory
// is down. A snapshot is one file: written whole beside the old ones, then renamed,
// so that a file under its final name is whole, and checksummed, as disks differ.
// form.go has the form, without I/O; dircache.go the files.
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

// The versions of a snapshot. Writer writes the first for a list of all destinations, the second
// for one of some partitions; Decode reads both.
const (
	Version      = 1
	VersionParts = 2 // it names the partitions
)

// ErrForm wraps what is wrong with a snapshot.
var ErrForm = errors.New("no directory snapshot")

var magic = [5]byte{'S', 'J', 'D', 'I', 'R'}

// sumLen is the checksum at the end: xxHash64 of all before, big-endian.
const sumLen = 8

// Bounds of what Decode takes.
const (
	nameMost    = 256  // bytes of a name or an address
	namesMost   = 4096 // zones or kinds
	entriesMost = 1 << 22
)

// Head is what a snapshot says of its list.
type Head struct {
	Told       time.Time // when the directory last vouched for it, to the millisecond
	Generation uint64
	Agent      string   // the address that told it
	Partial    bool     // not all of the list had room
	Zones      []string // their names, by number
	Kinds      []string
	// Of these of so many partitions the list is whole; 0 partitions: it is of all destinations.
	Partitions int
	Of         []int // in order, each once
}

// Writer makes a snapshot, entry by entry.
type Writer struct {
	b      []byte
	flags  int // where the flags stand
	count  int // where the number of entries stands
	n      uint32
	most   int
	partly bool
}

// NewWriter begins a snapshot of at most so many bytes.
func NewWriter(h Head, most int) *Writer {
	w := &Writer{b: append(magic[:5:5], Version), most: most - sumLen}
	w.b = binary.AppendVarint(w.b, h.Told.UnixMilli())
	w.b = binary.AppendUvarint(w.b, h.Generation)
	w.text(h.Agent)
	for _, names := range [][]string{h.Zones, h.Kinds} {
		w.b = binary.AppendUvarint(w.b, uint64(len(names)))
		for _, n := range names {
			w.text(n)
		}
	}
	if h.Partitions > 0 {
		w.b[len(magic)] = VersionParts
		w.b = binary.AppendUvarint(w.b, uint64(h.Partitions))
		w.b = binary.AppendUvarint(w.b, uint64(len(h.Of)))
		next := 0
		for _, p := range h.Of { // each by how many are left out before it
			w.b = binary.AppendUvarint(w.b, uint64(p-next))
			next = p + 1
		}
	}
	w.flags = len(w.b)
	w.b = append(w.b, 0)
	w.count = len(w.b)
	w.b = append(w.b, 0, 0, 0, 0)
	return w
}

func (w *Writer) text(s string) { w.b = record.AppendText(w.b, s) }

// Add adds an entry. It returns false where there is no room for it: the snapshot is
// Partial then.
func (w *Writer) Add(e groups.Entry) bool {
	at := len(w.b)
	w.text(e.Name)
	w.text(e.Addr)
	w.b = binary.AppendUvarint(w.b, uint64(e.Destination))
	w.b = binary.AppendUvarint(w.b, uint64(max(e.Zone, 0)))
	w.b = binary.AppendUvarint(w.b, uint64(max(e.Kind, 0)))
	w.b = append(w.b, byte(e.Phase))
	w.b = binary.BigEndian.AppendUint64(w.b, math.Float64bits(e.Weight))
	if len(w.b) > w.most || len(e.Name) > nameMost || len(e.Addr) > nameMost {
		w.b, w.partly = w.b[:at], true
		return false
	}
	w.n++
	return true
}

// Skip tells that an entry is left out.
func (w *Writer) Skip() { w.partly = true }

// Bytes ends the snapshot.
func (w *Writer) Bytes() []byte {
	if w.partly {
		w.b[w.flags] = 1
	}
	binary.BigEndian.PutUint32(w.b[w.count:], w.n)
	return seal(w.b)
}

func seal(b []byte) []byte { return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)) }

// Snapshot is what Decode has read.
type Snapshot struct {
	Head
	Entries []groups.Entry // numbers of zones and kinds as in Head
}

type reader struct{ record.Reader }

func (r *reader) text() string { return r.Text(nameMost) }

func (r *reader) names() (out []string) {
	for n := r.Uint(namesMost); n > 0 && !r.Bad; n-- {
		out = append(out, r.text())
	}
	return out
}

// parts reads which partitions a list is whole of.
func (r *reader) parts() (partitions int, of []int) {
	partitions = int(r.Uint(partition.Most))
	next := 0
	for n := r.Uint(uint64(partitions)); n > 0 && !r.Bad; n-- {
		p := next + int(r.Uint(partition.Most))
		if r.Bad = r.Bad || p >= partitions; !r.Bad {
			of = append(of, p)
		}
		next = p + 1
	}
	if partitions == 0 {
		r.Bad = true
	}
	return partitions, of
}

// Decode reads a snapshot. Its errors wrap ErrForm.
func Decode(b []byte) (*Snapshot, error) {
	bad := func(what string) (*Snapshot, error) { return nil, fmt.Errorf("%w: %s", ErrForm, what) }
	switch {
	case len(b) == 0:
		return bad("it is empty")
	case len(b) < len(magic)+1+sumLen || [5]byte(b) != magic:
		return bad("it begins otherwise")
	case b[5] != Version && b[5] != VersionParts:
		return bad(fmt.Sprintf("version %d is not known", b[5]))
	}
	body := b[:len(b)-sumLen]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[len(body):]) {
		return bad("its checksum is wrong: it is damaged or cut short")
	}
	r, s := &reader{record.Reader{B: body[6:]}}, &Snapshot{}
	s.Told = time.UnixMilli(r.Int())
	s.Generation, s.Agent = r.Uint(math.MaxUint64), r.text()
	s.Zones, s.Kinds = r.names(), r.names()
	if b[5] == VersionParts {
		s.Partitions, s.Of = r.parts()
	}
	s.Partial = r.Byte() == 1
	count := r.Take(4)
	if r.Bad || binary.BigEndian.Uint32(count) > entriesMost {
		return bad("its head is spoilt")
	}
	for n := binary.BigEndian.Uint32(count); n > 0; n-- {
		e := groups.Entry{Name: r.text(), Addr: r.text()}
		e.Destination = snowjunction.DestinationID(r.Uint(math.MaxUint32))
		e.Zone, e.Kind = int(r.Uint(namesMost)), int(r.Uint(namesMost))
		e.Phase = snowjunction.Phase(r.Byte())
		if v := r.Take(8); len(v) == 8 {
			e.Weight = math.Float64frombits(binary.BigEndian.Uint64(v))
		}
		ready := e.Phase == snowjunction.Ready || e.Phase == snowjunction.Draining
		if r.Bad || !ready || math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) {
			return bad("an entry is spoilt")
		}
		s.Entries = append(s.Entries, e)
	}
	if len(r.B) > 0 {
		return bad("more follows than it says")
	}
	return s, nil
}

// Rename puts the numbers of another configuration's zones and kinds in the place of
// the snapshot's, by their names. One that is not known there comes after all.
func (s *Snapshot) Rename(zones, kinds map[string]int) {
	to := func(names []string, by map[string]int, no int) int {
		if no < len(names) {
			if n, ok := by[names[no]]; ok {
				return n
			}
		}
		return len(by)
	}
	for i := range s.Entries {
		e := &s.Entries[i]
		e.Zone, e.Kind = to(s.Zones, zones, e.Zone), to(s.Kinds, kinds, e.Kind)
	}
	s.Zones, s.Kinds = names(zones), names(kinds)
}

// names lists what is numbered, in order.
func names(by map[string]int) []string {
	out := make([]string, len(by))
	for name, n := range by {
		if n >= 0 && n < len(out) {
			out[n] = name
		}
	}
	return out
}

// Names lists the names of zones or kinds by their numbers, for a Head.
func Names(by map[string]int) []string { return names(by) }
