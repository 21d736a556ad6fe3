package net

// unsentBytes returns the number of bytes that were written and that the kernel has not accepted yet.
func (c *Conn) unsentBytes() int {
	if c.closed || c.nc == nil {
		return 0
	}
	return c.out - int(c.kernelWritten.Load())
}

// limitUnsent is called after a write to a connection. While peers that do not read leave more than MaxUnsentBytes
// unsent together, it closes the connection with the most.
func (e *Engine) limitUnsent(c *Conn) {
	if e.cfg.MaxUnsentBytes <= 0 || c.slow || c.unsentBytes() == 0 {
		return
	}
	e.unsent[c] = true
	for total, largest := e.sumUnsent(); total > e.cfg.MaxUnsentBytes; total, largest = e.sumUnsent() {
		e.closeSlow(largest)
	}
}

// sumUnsent returns the number of unsent bytes of all connections, and the connection with the most.
func (e *Engine) sumUnsent() (total int, largest *Conn) {
	most := 0
	for c := range e.unsent {
		n := c.unsentBytes()
		if n == 0 {
			delete(e.unsent, c)
			continue
		}
		if total += n; n > most {
			most, largest = n, c
		}
	}
	return total, largest
}

// closeSlow closes a connection whose peer reads too slowly. It does so later, because the connection's
// handler may be the one that is writing.
func (e *Engine) closeSlow(c *Conn) {
	delete(e.unsent, c)
	c.slow = true
	e.cfg.Post(func() {
		if !c.closed {
			c.remoteClosed(SlowPeer)
			_ = c.nc.Close()
		}
	})
}
