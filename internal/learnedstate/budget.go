package learnedstate

// Budget limits what is written next to the journal to shares of the journal's own writes and
// bytes. It does no I/O.
type Budget struct {
	Writes float64 // share of the number of writes
	Bytes  float64 // share of the bytes
	// MinAvailable is the size in bytes that must be available before a write is started.
	MinAvailable int

	usedWrites, usedBytes uint64 // used so far
}

// Allow reports whether another write is allowed, and how many bytes it may have.
func (b *Budget) Allow(j Journal) (room int, ok bool) {
	if float64(b.usedWrites+1) > b.Writes*float64(j.Writes) {
		return 0, false
	}
	left := b.Bytes*float64(j.Bytes) - float64(b.usedBytes)
	if left < float64(b.MinAvailable) {
		return 0, false
	}
	return int(min(left, float64(1<<20))), true
}

// Spend records a write.
func (b *Budget) Spend(bytes int) {
	b.usedWrites++
	b.usedBytes += uint64(max(bytes, 0))
}
