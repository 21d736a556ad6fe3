package console

import "snowjunction/internal/handover"

// ListenerKind is the kind of the front's listener in a handover.
const ListenerKind = "console"

// Hush leaves the calls that arrive from now on to the process that takes over their connections.
func (f *Front) Hush() { f.paused = true }

// Hand detaches the callers' connections from the engine. The returned function adds the bytes
// received on them; call it after the engine has stopped.
func (f *Front) Hand() func() []handover.Conn {
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
			out[i].Bytes = append(c.received, c.conn.Rest()...)
		}
		return out
	}
}

// TakeOver continues with the callers of the previous process.
func (f *Front) TakeOver(callers []handover.Conn) {
	for _, x := range callers {
		c := &caller{front: f}
		if c.conn = f.Engine.Adopt(ListenerKind, true, x, c); c.conn != nil {
			f.addCaller(c)
			c.Data(x.Bytes)
		}
	}
}
