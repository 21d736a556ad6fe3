package push

import (
	"snowjunction/internal/net"
	"snowjunction/internal/proto/h2"
)

// countIncomplete updates the bytes that the client's incomplete requests hold, and their total.
func (c *client) countIncomplete() {
	n := 0
	if c.conn.Up() {
		n = c.h2.BufferedInput()
	}
	c.front.incompleteBytes += n - c.incompleteBytes
	c.incompleteBytes = n
}

// limitIncomplete closes connections with incomplete requests, the longest stalled first, until the total
// is within MaxIncompleteBytes.
func (f *Front) limitIncomplete() {
	for f.MaxIncompleteBytes > 0 && f.incompleteBytes > f.MaxIncompleteBytes {
		var oldest *client
		oldestSince := f.Loop.Now()
		for c := range f.clients {
			if c.incompleteBytes == 0 {
				continue
			}
			since, stalled := c.h2.StalledSince()
			if !stalled { // it is owed an answer as well
				since = f.Loop.Now()
			}
			if oldest == nil || since.Before(oldestSince) {
				oldest, oldestSince = c, since
			}
		}
		if oldest == nil {
			return
		}
		oldest.h2.Abort(h2.EnhanceYourCalm, "too many incomplete requests")
		oldest.conn.Write(oldest.h2.Output())
		oldest.closeConn(net.Evicted)
	}
}
