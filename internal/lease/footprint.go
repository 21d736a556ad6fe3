package lease

import "unsafe"

// mapEntryWords is the approximate size, in machine words, of a map entry with an integer key.
const mapEntryWords = 3

// Bytes returns the memory size of the ledger in bytes, without allocator overhead.
func (l *QuotaLedger) Bytes() int {
	word := int(unsafe.Sizeof(uintptr(0)))
	n := int(unsafe.Sizeof(*l)) + word*(cap(l.requests)+mapEntryWords*len(l.byPeer)+mapEntryWords*len(l.failingSince))
	return n + len(l.requests)*int(unsafe.Sizeof(request{}))
}

// Bytes returns the memory size of the fleet view in bytes, without allocator overhead.
func (l *OwnerView) Bytes() int {
	word := int(unsafe.Sizeof(uintptr(0)))
	return int(unsafe.Sizeof(*l)) + word*mapEntryWords*len(l.unreachableUntil)
}
