// Package groups stores target groups: the endpoints listed by a front. It does no I/O, reads no
// clock and starts no goroutine.
//
// A Table is compact: each endpoint takes about 82 bytes without pointers, and the cost of a change
// does not depend on the table's size. No other state is needed for a destination that no flow has
// called for.
package groups

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"net/netip"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"snowjunction"
)

// Entry is one endpoint as a front lists it.
type Entry struct {
	Name        string // unique within its front
	Addr        string // host:port
	Destination snowjunction.DestinationID
	Zone, Kind  int
	Phase       snowjunction.Phase
	Weight      float64
}

// Errors of invalid lists.
var (
	ErrDuplicate = errors.New("named twice")
	ErrAddress   = errors.New("two endpoints at one address")
)

// Table holds the endpoints of one front.
type Table struct {
	chunks       [][]entry
	n            int
	destinations int
	ready        int    // number of Ready endpoints
	readySum     uint64 // combined hash of the names of Ready endpoints
	names        index  // all endpoints by name
	addrs        index  // Ready endpoints by address
	firstOfDest  index  // the first endpoint of each destination
	longNames    map[uint32]string
	otherAddrs   map[uint32]string
}

// entry is one endpoint in 56 bytes. The endpoints of a destination form a ring in listing order.
type entry struct {
	weight     float64
	dest       uint32
	next, prev uint32
	addr       [4]byte // IPv4; other addresses are in Table.otherAddrs
	port       uint16
	zone, kind uint16
	phase      uint8
	nameLen    uint8 // longNameMark if the name is in Table.longNames
	name       [maxInlineName]byte
}

const (
	maxInlineName = 24
	longNameMark  = 0xff
	otherAddrPort = 0 // marks entries in Table.otherAddrs; no listed IPv4 address has port 0
	chunkSize     = 512
	maxNumber     = 0xffff
)

// New returns an empty table.
func New() *Table { return &Table{} }

// Len returns the number of endpoints.
func (t *Table) Len() int { return t.n }

// Ready returns the number of Ready endpoints.
func (t *Table) Ready() int { return t.ready }

// ReadyHash returns an order-independent hash of the names of Ready endpoints.
func (t *Table) ReadyHash() uint64 { return t.readySum }

// countReady updates the count and the hash when a Ready endpoint is added (by is 1) or removed (by
// is -1).
func (t *Table) countReady(nameHash uint64, by int) {
	t.ready += by
	t.readySum ^= nameHash * 0x9e3779b97f4a7c15 // keeps XOR sums of a few names from cancelling out
}

// Destinations returns the number of destinations that have endpoints.
func (t *Table) Destinations() int { return t.destinations }

// Bytes returns the approximate memory use of the table.
func (t *Table) Bytes() int {
	n := t.names.bytes() + t.addrs.bytes() + t.firstOfDest.bytes() + len(t.chunks)*chunkSize*int(unsafe.Sizeof(entry{}))
	for _, s := range t.longNames {
		n += len(s) + 32
	}
	for _, s := range t.otherAddrs {
		n += len(s) + 32
	}
	return n
}

func (t *Table) at(ref uint32) *entry { return &t.chunks[ref/chunkSize][ref%chunkSize] }

func (t *Table) nameOf(ref uint32) string {
	e := t.at(ref)
	if e.nameLen == longNameMark {
		return t.longNames[ref]
	}
	return string(e.name[:e.nameLen])
}

func (t *Table) nameHash(ref uint32) uint64 {
	e := t.at(ref)
	if e.nameLen == longNameMark {
		return xxhash.Sum64String(t.longNames[ref])
	}
	return xxhash.Sum64(e.name[:e.nameLen])
}

func (t *Table) hasName(ref uint32, name string) bool {
	e := t.at(ref)
	if e.nameLen == longNameMark {
		return t.longNames[ref] == name
	}
	return string(e.name[:e.nameLen]) == name
}

func destHash(d uint32) uint64 {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], d)
	return xxhash.Sum64(b[:])
}

func (t *Table) destHashAt(ref uint32) uint64 { return destHash(t.at(ref).dest) }

func (t *Table) addrHash(ref uint32) uint64 {
	e := t.at(ref)
	if e.port == otherAddrPort {
		return xxhash.Sum64String(t.otherAddrs[ref])
	}
	var b [6]byte
	copy(b[:], e.addr[:])
	binary.LittleEndian.PutUint16(b[4:], e.port)
	return xxhash.Sum64(b[:])
}

func (t *Table) addrOf(ref uint32) string {
	e := t.at(ref)
	if e.port == otherAddrPort {
		return t.otherAddrs[ref]
	}
	return netip.AddrPortFrom(netip.AddrFrom4(e.addr), e.port).String()
}

func (t *Table) entry(ref uint32) Entry {
	e := t.at(ref)
	return Entry{
		Name: t.nameOf(ref), Addr: t.addrOf(ref), Destination: snowjunction.DestinationID(e.dest),
		Zone: int(e.zone), Kind: int(e.kind), Phase: snowjunction.Phase(e.phase), Weight: e.weight,
	}
}

func (t *Table) find(name string) (uint32, bool) {
	return t.names.find(xxhash.Sum64String(name), func(ref uint32) bool { return t.hasName(ref, name) })
}

// Get returns the endpoint with the given name.
func (t *Table) Get(name string) (Entry, bool) {
	ref, ok := t.find(name)
	if !ok {
		return Entry{}, false
	}
	return t.entry(ref), true
}

func (t *Table) firstOf(d snowjunction.DestinationID) (uint32, bool) {
	return t.firstOfDest.find(destHash(uint32(d)), func(ref uint32) bool { return t.at(ref).dest == uint32(d) })
}

// HasDestination reports whether a destination has endpoints, in any phase.
func (t *Table) HasDestination(destination snowjunction.DestinationID) bool {
	_, ok := t.firstOf(destination)
	return ok
}

// ByDestination yields the endpoints of a destination in listing order. The table must not change during the
// iteration.
func (t *Table) ByDestination(destination snowjunction.DestinationID) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		first, ok := t.firstOf(destination)
		for ref := first; ok; {
			if !yield(t.entry(ref)) {
				return
			}
			ref = t.at(ref).next
			ok = ref != first
		}
	}
}

// Nth returns the nth endpoint in the order of EntriesFrom.
func (t *Table) Nth(n int) Entry { return t.entry(uint32(n)) }

// EntriesFrom yields the endpoints from the nth on. They are in listing order as long as none has been
// removed.
func (t *Table) EntriesFrom(n int) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for ; n < t.n; n++ {
			if !yield(t.entry(uint32(n))) {
				return
			}
		}
	}
}

// DestinationsFrom yields the destination of each entry from the nth up to, not including, the mth.
// A destination can occur several times.
func (t *Table) DestinationsFrom(n, m int) iter.Seq[snowjunction.DestinationID] {
	return func(yield func(snowjunction.DestinationID) bool) {
		for ; n < min(m, t.n); n++ {
			if !yield(snowjunction.DestinationID(t.at(uint32(n)).dest)) {
				return
			}
		}
	}
}

// Set adds an endpoint or replaces the one with the same name, which it then returns.
func (t *Table) Set(e Entry) (old Entry, replaced bool) {
	old, replaced = t.Remove(e.Name)
	ref := uint32(t.n)
	if t.n%chunkSize == 0 {
		t.chunks = append(t.chunks, make([]entry, chunkSize))
	}
	t.n++
	slot := t.at(ref)
	*slot = entry{
		weight: e.Weight, dest: uint32(e.Destination), next: ref, prev: ref, phase: uint8(e.Phase),
		zone: uint16(min(e.Zone, maxNumber)), kind: uint16(min(e.Kind, maxNumber)),
	}
	if len(e.Name) > maxInlineName {
		slot.nameLen = longNameMark
		t.longNames = put(t.longNames, ref, e.Name)
	} else {
		slot.nameLen = uint8(copy(slot.name[:], e.Name))
	}
	if a, err := netip.ParseAddrPort(e.Addr); err == nil && a.Addr().Is4() && a.Port() != otherAddrPort {
		slot.addr, slot.port = a.Addr().As4(), a.Port()
	} else {
		t.otherAddrs = put(t.otherAddrs, ref, e.Addr)
	}
	hash := t.nameHash(ref)
	t.names.insert(hash, ref, t.nameHash)
	if e.Phase == snowjunction.Ready {
		t.countReady(hash, 1)
		t.addrs.insert(t.addrHash(ref), ref, t.addrHash)
	}
	if first, ok := t.firstOf(e.Destination); ok {
		last := t.at(first).prev
		slot.next, slot.prev = first, last
		t.at(last).next, t.at(first).prev = ref, ref
	} else {
		t.firstOfDest.insert(destHash(slot.dest), ref, t.destHashAt)
		t.destinations++
	}
	return old, replaced
}

func put(m map[uint32]string, ref uint32, s string) map[uint32]string {
	if m == nil {
		m = map[uint32]string{}
	}
	m[ref] = s
	return m
}

// Remove deletes an endpoint and returns it. The last entry moves to its place, so that a shrinking
// table frees memory.
func (t *Table) Remove(name string) (Entry, bool) {
	ref, ok := t.find(name)
	if !ok {
		return Entry{}, false
	}
	old, removed, hash := t.entry(ref), *t.at(ref), t.nameHash(ref)
	t.names.remove(hash, ref, t.nameHash)
	if removed.phase == uint8(snowjunction.Ready) {
		t.countReady(hash, -1)
		t.addrs.remove(t.addrHash(ref), ref, t.addrHash)
	}
	if first, _ := t.firstOf(old.Destination); first == ref {
		if removed.next == ref {
			t.firstOfDest.remove(destHash(removed.dest), ref, t.destHashAt)
			t.destinations--
		} else {
			t.firstOfDest.replace(destHash(removed.dest), ref, removed.next)
		}
	}
	t.at(removed.prev).next, t.at(removed.next).prev = removed.next, removed.prev
	delete(t.longNames, ref)
	delete(t.otherAddrs, ref)
	if last := uint32(t.n - 1); last != ref {
		t.move(last, ref)
	}
	t.n--
	*t.at(uint32(t.n)) = entry{}
	if t.n%chunkSize == 0 {
		t.chunks[len(t.chunks)-1] = nil
		t.chunks = t.chunks[:len(t.chunks)-1]
	}
	return old, true
}

// move copies the entry at from to the free slot to.
func (t *Table) move(from, to uint32) {
	nameHash, addrHash, source := t.nameHash(from), t.addrHash(from), t.at(from)
	t.names.replace(nameHash, from, to)
	if source.phase == uint8(snowjunction.Ready) {
		t.addrs.replace(addrHash, from, to)
	}
	t.firstOfDest.replace(destHash(source.dest), from, to) // no effect unless it is the first of its destination
	if s, ok := t.longNames[from]; ok {
		t.longNames[to] = s
		delete(t.longNames, from)
	}
	if s, ok := t.otherAddrs[from]; ok {
		t.otherAddrs[to] = s
		delete(t.otherAddrs, from)
	}
	target := t.at(to)
	*target = *source
	if source.next == from { // the only endpoint of its destination
		target.next, target.prev = to, to
		return
	}
	t.at(source.prev).next, t.at(source.next).prev = to, to
}

// NameAt returns the name of the Ready endpoint at an address.
func (t *Table) NameAt(addr string) (string, bool) {
	var hash uint64
	a, err := netip.ParseAddrPort(addr)
	ipv4 := err == nil && a.Addr().Is4() && a.Port() != otherAddrPort
	if ipv4 {
		b := a.Addr().As4()
		hash = xxhash.Sum64(binary.LittleEndian.AppendUint16(b[:], a.Port()))
	} else {
		hash = xxhash.Sum64String(addr)
	}
	ref, ok := t.addrs.find(hash, func(ref uint32) bool {
		e := t.at(ref)
		if ipv4 {
			return e.port == a.Port() && e.addr == a.Addr().As4()
		}
		return e.port == otherAddrPort && t.otherAddrs[ref] == addr
	})
	if !ok {
		return "", false
	}
	return t.nameOf(ref), true
}

// List is an update of a front's target group: the full list, or a set of changes in which a Gone
// entry removes an endpoint.
type List struct {
	Full    bool
	Shared  bool // several endpoints may share an address, as behind a gateway
	Entries *Table
	Leaving []string // names of entries that are Draining or Gone
}

// NewList returns an update without entries.
func NewList(full bool) *List { return &List{Full: full, Entries: New()} }

// Add adds an entry. It returns an error that wraps ErrDuplicate or ErrAddress if the update
// becomes invalid. Draining and Gone entries are recorded in Leaving even then.
func (l *List) Add(e Entry) error {
	if e.Phase != snowjunction.Ready {
		l.Leaving = append(l.Leaving, e.Name)
	}
	if _, ok := l.Entries.find(e.Name); ok {
		return fmt.Errorf("%q: %w", e.Name, ErrDuplicate)
	}
	if e.Phase == snowjunction.Ready && !l.Shared {
		if other, ok := l.Entries.NameAt(e.Addr); ok {
			return fmt.Errorf("%q and %q, %s: %w", other, e.Name, e.Addr, ErrAddress)
		}
	}
	l.Entries.Set(e)
	return nil
}

// ListOf returns an update with the given entries.
func ListOf(full, shared bool, entries []Entry) (*List, error) {
	l := NewList(full)
	l.Shared = shared
	for _, e := range entries {
		if err := l.Add(e); err != nil {
			return l, err
		}
	}
	return l, nil
}

// CheckChanges checks whether a set of changes can be applied to t: no two Ready endpoints may share an
// address afterwards. A full list without an error from Add always fits.
func (t *Table) CheckChanges(l *List) error {
	if l.Full || l.Shared {
		return nil
	}
	for e := range l.Entries.EntriesFrom(0) {
		if e.Phase != snowjunction.Ready {
			continue
		}
		other, ok := t.NameAt(e.Addr)
		if !ok || other == e.Name {
			continue
		}
		if moved, ok := l.Entries.Get(other); ok && (moved.Phase != snowjunction.Ready || moved.Addr != e.Addr) {
			continue
		}
		return fmt.Errorf("%q and %q, %s: %w", other, e.Name, e.Addr, ErrAddress)
	}
	return nil
}
