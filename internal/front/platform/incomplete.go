package platform

import "snowjunction/internal/proto/resp"

// countIncomplete updates the bytes that the client's incomplete command holds, and the total.
func (c *client) countIncomplete() {
	n := c.parser.Buffered()
	c.front.incompleteBytes += n - c.incompleteBytes
	c.incompleteBytes = n
}

// limitIncomplete drops incomplete commands, the oldest first, until the total is within
// MaxIncompleteBytes.
func (f *Front) limitIncomplete() {
	for f.MaxIncompleteBytes > 0 && f.incompleteBytes > f.MaxIncompleteBytes {
		var oldest *client
		for c := range f.clients {
			if c.incompleteBytes > 0 && (oldest == nil || c.lastActive.Before(oldest.lastActive)) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		oldest.dropIncomplete()
	}
}

// dropIncomplete drops the client's incomplete command with an error. The connection is closed once the
// commands before it are answered.
func (c *client) dropIncomplete() {
	c.parser = resp.Parser{}
	c.countIncomplete()
	c.reply(resp.Error("ERR too many incomplete commands"))
	c.closing = true
	c.flush()
}
