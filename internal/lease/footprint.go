package lease

import "unsafe"

// words are those of an entry of a map with a number for its key, nearly.
const words = 3

// Bytes is what an account takes, without what the allocator adds.
func (l *Ledger) Bytes() int {
	word := int(unsafe.Sizeof(uintptr(0)))
	n := int(unsafe.Sizeof(*l)) + word*(cap(l.asks)+words*len(l.by)+words*len(l.shut))
	return n + len(l.asks)*int(unsafe.Sizeof(ask{}))
}

// Bytes is what a view of the fleet takes, without what the allocator adds.
func (l *Line) Bytes() int {
	word := int(unsafe.Sizeof(uintptr(0)))
	return int(unsafe.Sizeof(*l)) + word*words*len(l.passed)
}
