package console

import "snowjunction/internal/handover"

// ListenerKind is the kind of the front's listener in a handover.
const ListenerKind = "console"

// PauseCalls leaves the calls that arrive from now on to the process that takes over their connections.
func (f *Front) PauseCalls() { f.paused = true }

// DetachCallers detaches the callers' connections from the engine. The returned function adds the bytes
// received on them; call it after the engine has stopped.
func (f *Front) DetachCallers() func() []handover.Conn {
	var handed []*caller
	var out []handover.Conn
	for _, c := range append([]*caller(nil), f.callers...) {
		if conn, ok := c.conn.Detach(); ok {
			c.remove()
			handed, out = append(handed, c), append(out, conn)
		}
	}
	return func() []handover.Conn {
		for i, c := range handed {
			out[i].Unprocessed = append(c.received, c.conn.Leftover()...)
		}
		return out
	}
}

// AdoptCallers continues with the callers of the previous process.
func (f *Front) AdoptCallers(callers []handover.Conn) {
	for _, x := range callers {
		c := &caller{front: f}
		if c.conn = f.Engine.Adopt(ListenerKind, true, x, c); c.conn != nil {
			f.addCaller(c)
			c.Data(x.Unprocessed)
		}
	}
}
