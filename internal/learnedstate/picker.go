package learnedstate

import (
	"slices"
	"time"

	"snowjunction"
)

// Limits of what is written: the number of destinations per batch, each batch being one write, and
// shares of the journal's writes and bytes.
const (
	maxPicked     = 32
	maxAtStop     = 4096 // at a planned stop
	writesShare   = 0.02
	bytesShare    = 0.10
	minWriteBytes = 256 // bytes that must be available before a write is started
)

// PickInterval is the interval at which to call Pick while Waiting returns true.
const PickInterval = 250 * time.Millisecond

// Journal is the number of writes and bytes that the journal has written.
type Journal struct{ Writes, Bytes uint64 }

// Picker decides which destinations' states are written, and when. It does no I/O, reads no clock
// and starts no goroutine. The caller requests the states of the picked destinations from the
// decision module and passes back every answer; Flush ends each round.
type Picker struct {
	Unchanged uint64 // states that were not written again because they had changed too little

	budget      Budget
	changed     []uint32 // in the order of change
	queued      map[uint32]bool
	written     map[uint32]Mark // last written mark of each loaded destination
	pending     int             // answers that are still missing
	plannedStop bool            // planned stop: one write, whatever the budget allows
	batch       []Record
	room        int // bytes that the batch may still take
}

// NewPicker returns an empty Picker.
func NewPicker() *Picker {
	return &Picker{
		budget: Budget{Writes: writesShare, Bytes: bytesShare, MinAvailable: minWriteBytes},
		queued: map[uint32]bool{}, written: map[uint32]Mark{},
	}
}

// MarkChanged records that a destination's state may have changed.
func (p *Picker) MarkChanged(d uint32) {
	if !p.queued[d] {
		p.queued[d] = true
		p.changed = append(p.changed, d)
	}
}

// Waiting reports whether destinations wait to be picked.
func (p *Picker) Waiting() bool { return len(p.changed) > 0 }

// Pick returns the destinations whose state to request now, as far as the budget allows.
func (p *Picker) Pick(j Journal) []uint32 {
	if _, ok := p.budget.Allow(j); !ok || p.pending > 0 {
		return nil
	}
	n := min(len(p.changed), maxPicked)
	picked := slices.Clone(p.changed[:n])
	p.changed = slices.Delete(p.changed, 0, n)
	for _, d := range picked {
		delete(p.queued, d)
	}
	p.pending = n
	return picked
}

// PickAll returns the loaded destinations whose state to request at a planned stop.
func (p *Picker) PickAll(loaded []uint32) []uint32 {
	p.plannedStop = true
	loaded = loaded[:min(len(loaded), maxAtStop)]
	p.pending += len(loaded)
	return loaded
}

// HandleState handles the state of a destination that was requested, or nil if there is none or it was
// not requested after all. A state that differs little from the last written one is not written
// again, and one without room waits.
func (p *Picker) HandleState(d uint32, s *snowjunction.DestinationSnapshot, at time.Time, encode func(*snowjunction.DestinationSnapshot) []byte, j Journal) {
	p.pending = max(p.pending-1, 0)
	if s == nil {
		return
	}
	m := MarkOf(s, at)
	if was, ok := p.written[d]; ok && !p.plannedStop && !m.Differs(was) {
		p.Unchanged++
		return
	}
	if !p.add(Record{d, at, encode(s)}, j) {
		p.MarkChanged(d)
		return
	}
	p.written[d] = m
}

// AddUnloaded adds the snapshot of a destination that was unloaded, if there is room.
func (p *Picker) AddUnloaded(d uint32, at time.Time, encoded []byte, j Journal) {
	delete(p.written, d)
	p.add(Record{d, at, encoded}, j)
}

func (p *Picker) add(r Record, j Journal) bool {
	if !p.plannedStop {
		if len(p.batch) == 0 {
			room, ok := p.budget.Allow(j)
			if !ok {
				return false
			}
			p.room = room
		}
		if p.room -= sizeOf(r); p.room < 0 {
			return false
		}
	}
	p.batch = append(p.batch, r)
	return true
}

// Flush returns the records to write together, if any.
func (p *Picker) Flush() []Record {
	if p.pending == 0 {
		p.plannedStop = false
	}
	if len(p.batch) == 0 {
		return nil
	}
	size := 0
	for _, r := range p.batch {
		size += sizeOf(r)
	}
	p.budget.Spend(size)
	batch := p.batch
	p.batch = nil
	return batch
}
