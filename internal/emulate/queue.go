package emulate

import "time"

// event is a scheduled event. Events at the same time are handled in the order of
// scheduling, so that a run depends on its seed alone.
type event struct {
	at         time.Duration
	seq        uint64
	kind       eventKind
	target     int32  // a courier, or the destination of a call
	id         int32  // by the kind: a call, message, endpoint, process run or downtime in ms
	generation uint32 // the generation of the call or message, or a timer's token, a phase or a flag
}

// queue is a 4-ary min-heap of events. It takes fewer steps, closer in memory, than a
// binary heap, and avoids the boxing of container/heap, which takes twice as long.
type queue struct {
	events  []event
	lastSeq uint64
}

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (q *queue) push(e event) {
	q.lastSeq++
	e.seq = q.lastSeq
	q.events = append(q.events, e)
	h, i := q.events, len(q.events)-1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

func (q *queue) pop() event {
	h := q.events
	top, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	q.events = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= len(h) {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, len(h)); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}
