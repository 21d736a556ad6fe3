package store

import "time"

// entryKind is what a message is kept for.
type entryKind int

const (
	unsettledEntry  entryKind = iota // its submitter is owed the final state
	retainedEntry                    // its final state can be queried
	rememberedEntry                  // an attempt of it constrains other messages
	entryKinds
)

// entry is a message that the journal keeps. size is that of its record, and of a settled message's once a
// later process has copied it.
type entry struct {
	message *Message
	segment *segment
	size    int64
	kind    entryKind
}

// room returns the bytes that an entry takes of the journal's space.
func (e *entry) room() int64 {
	if e.kind == unsettledEntry {
		return e.size + progressReserve
	}
	return e.size
}

// addSize adds an entry's room to the total of its kind (sign 1) or subtracts it (sign -1).
func (j *Journal) addSize(e *entry, sign int64) { j.sizes[e.kind] += sign * e.room() }

// keepSettled keeps a settled message as the given kind, without its body. The room of the body is free at
// once: compaction does not copy it.
func (j *Journal) keepSettled(e *entry, kind entryKind) {
	j.addSize(e, -1)
	e.message.Body = nil
	e.kind, e.size = kind, settledSize(e.message)
	j.addSize(e, 1)
}

// settledSize returns the size of a settled message's record in a later process: an attempt that is in flight
// may have run by then.
func settledSize(m *Message) int64 {
	later := *m
	if later.InFlight {
		markMayHaveRun(&later)
	}
	return int64(len(encode(&later)))
}

// resizeSettled updates the room of a settled message whose progress has changed.
func (j *Journal) resizeSettled(seq uint64) {
	if e := j.live[seq]; e != nil && e.kind != unsettledEntry {
		j.keepSettled(e, e.kind)
	}
}

// HasRoom reports whether a message whose text fields and body have this many bytes fits. Settled messages
// give way to it.
func (j *Journal) HasRoom(bytes int) bool {
	return j.sizes[unsettledEntry]+int64(bytes)+2*progressReserve <= int64(float64(j.maxBytes)*maxLiveShare)
}

// exceedsLimit reports whether all messages together take more than the journal may keep.
func (j *Journal) exceedsLimit() bool {
	total := int64(0)
	for _, size := range j.sizes {
		total += size
	}
	return float64(total) > float64(j.maxBytes)*(maxLiveShare+settledShare)
}

// isRetained reports whether a settled message's final state can still be queried.
func (j *Journal) isRetained(m *Message) bool { return m.Origin != 0 && j.retain > 0 }

// retainState retains the final state of a settled message.
func (j *Journal) retainState(seq uint64) {
	j.keepSettled(j.live[seq], retainedEntry)
	j.retained = append(j.retained, seq)
}

// expireRetained stops retaining settled messages whose retention time has passed.
func (j *Journal) expireRetained(now time.Time) {
	for len(j.retained) > 0 {
		e := j.live[j.retained[0]]
		if e != nil && len(j.retained) <= maxRetained && now.Sub(e.message.EndedAt) < j.retain {
			return
		}
		j.dropOldestRetained()
	}
}

// dropOldestRetained stops retaining the message that has been settled for longest.
func (j *Journal) dropOldestRetained() {
	j.remember(j.retained[0])
	j.retained = j.retained[1:]
}

// remember keeps a settled message if it is still relevant, and forgets it otherwise.
func (j *Journal) remember(seq uint64) {
	e := j.live[seq]
	if e == nil || e.kind == rememberedEntry {
		return
	}
	if !j.isRelevant(e.message) {
		j.forget(seq)
		return
	}
	j.keepSettled(e, rememberedEntry)
	j.remembered = append(j.remembered, seq)
}

// isRelevant reports whether an attempt of a settled message that may have run still constrains
// other messages.
func (j *Journal) isRelevant(m *Message) bool {
	return j.rememberUntil != nil && (m.MayHaveRun || m.InFlight) && j.rememberUntil(m).After(j.lastTime)
}

// evictSettled forgets settled messages, oldest first, until the others are within the limits: first final
// states that can be queried, then remembered messages, which other messages depend on. Remembered messages
// that are no longer relevant are forgotten in any case.
func (j *Journal) evictSettled() {
	for len(j.retained) > 0 && j.exceedsLimit() {
		j.dropOldestRetained()
	}
	for len(j.remembered) > 0 {
		e := j.live[j.remembered[0]]
		if e != nil && len(j.remembered) <= maxRemembered && !j.exceedsLimit() && j.isRelevant(e.message) {
			return
		}
		j.forget(j.remembered[0])
		j.remembered = j.remembered[1:]
	}
}
