package store

// Memory is a journal that is lost when its process ends. It numbers messages and tracks their
// progress as a Journal does, but writes nothing.
type Memory struct{ Journal }

// Room always returns true.
func (*Memory) Room(int) bool { return true }

// Take assigns a sequence number to a new message.
func (m *Memory) Take(x *Message) error {
	m.nextSeq++
	x.Seq = m.nextSeq
	return nil
}
