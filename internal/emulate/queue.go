package emulate

import "time"

// event is something that happens at a time. Of those at one time the one that
// was scheduled first happens first: a run depends on its seed alone.
type event struct {
	at         time.Duration
	seq        uint64
	kind       eventKind
	target     int32  // a courier, or a plan's place
	id         int32  // a call or message
	generation uint32 // of that, or a timer's token
}

// queue is a heap of events, four children a node: fewer and nearer steps than
// with two, and no boxing as in container/heap, which takes twice as long.
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
