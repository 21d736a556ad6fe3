package console

import "snowjunction/internal/handover"

// ListenerKind is the front's listener, in a handover.
const ListenerKind = "console"

// Hush leaves the calls that come from now on to whoever goes on with their connections.
func (f *Front) Hush() { f.hushed = true }

// Hand takes the callers' connections from the engine. The function returned tells what has
// come on them, once the engine has come to a halt.
func (f *Front) Hand() func() []handover.Conn {
	var handed []*caller
	var out []handover.Conn
	for _, c := range append([]*caller(nil), f.callers...) {
		if conn, ok := c.conn.Detach(); ok {
			c.leave()
			handed, out = append(handed, c), append(out, conn)
		}
	}
	return func() []handover.Conn {
		for i, c := range handed {
			out[i].Bytes = append(c.read, c.conn.Rest()...)
		}
		return out
	}
}

// TakeOver goes on with callers.
func (f *Front) TakeOver(callers []handover.Conn) {
	for _, x := range callers {
		c := &caller{front: f}
		if c.conn = f.Engine.Adopt(ListenerKind, true, x, c); c.conn != nil {
			f.join(c)
			c.Data(x.Bytes)
		}
	}
}
