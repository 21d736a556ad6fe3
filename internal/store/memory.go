package store

// Memory is a journal that ends with its process: it numbers messages and keeps account of
// their progress as a Journal does, and writes nothing.
type Memory struct{ Journal }

// Room tells that any message fits in.
func (*Memory) Room(int) bool { return true }

// Take numbers a new message.
func (m *Memory) Take(x *Message) error {
	m.next++
	x.Seq = m.next
	return nil
}
