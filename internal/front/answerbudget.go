package front

import "container/list"

// AnswerBudget limits what the incomplete answers of a front's targets hold together. The zero value is
// ready to use. It belongs to the loop's goroutine.
type AnswerBudget struct {
	MaxBytes int // zero means no limit
	total    int
	answers  list.List // of *AnswerMemory, the longest incomplete first
}

// AnswerMemory is what one incomplete answer holds. The zero value holds nothing.
type AnswerMemory struct {
	bytes   int
	drop    func() // gives the answer up
	element *list.Element
}

// Update records that an incomplete answer holds this many bytes. drop gives the answer up: it must release
// the answer's memory, and may be called by Enforce.
func (b *AnswerBudget) Update(m *AnswerMemory, bytes int, drop func()) {
	b.total += bytes - m.bytes
	m.bytes, m.drop = bytes, drop
	switch {
	case bytes == 0 && m.element != nil:
		b.answers.Remove(m.element)
		m.element = nil
	case bytes > 0 && m.element == nil:
		m.element = b.answers.PushBack(m)
	}
}

// Release records that an answer holds nothing any more.
func (b *AnswerBudget) Release(m *AnswerMemory) { b.Update(m, 0, nil) }

// Enforce gives up answers, the longest incomplete first, until the others are within the limit.
func (b *AnswerBudget) Enforce() {
	for b.MaxBytes > 0 && b.total > b.MaxBytes {
		oldest := b.answers.Front().Value.(*AnswerMemory)
		drop := oldest.drop
		b.Release(oldest)
		drop()
	}
}
