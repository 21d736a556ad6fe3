package core

import "snowjunction"

// Flows of an ordering key reach the module in the order in which they were registered, because the module
// queues a key's messages in the order of their events. A flow whose destination is still being loaded
// holds back the later ones of its key, whatever their destinations.

// orderKey returns the flow's ordering key, or zero if its class keeps no order.
func (f *flow) orderKey() uint64 {
	if !f.class.InOrder {
		return 0
	}
	return f.msg.Key
}

// submitInOrder passes a registered flow to the module once its destination is loaded and no earlier flow of
// its key is held back.
func (c *Core) submitInOrder(f *flow) {
	g := c.hold(f)
	if g.loading {
		g.parked = append(g.parked, f)
	}
	key := f.orderKey()
	switch heldBack := c.heldBack[key]; {
	case key != 0 && (g.loading || len(heldBack) > 0):
		c.heldBack[key] = append(heldBack, f)
	case !g.loading:
		c.submit(f)
	}
}

// submitParked passes on a flow whose destination has been loaded, and the later ones of its key that it has
// held back. If earlier flows of its key hold it back, it follows these.
func (c *Core) submitParked(f *flow) {
	key := f.orderKey()
	if key == 0 {
		c.submit(f)
		return
	}
	for len(c.heldBack[key]) > 0 {
		first := c.heldBack[key][0]
		if c.isLoading(first) {
			return
		}
		c.heldBack[key] = c.heldBack[key][1:]
		c.submit(first)
	}
	delete(c.heldBack, key)
}

// isLoading reports whether a flow waits for its destination.
func (c *Core) isLoading(f *flow) bool {
	g := c.routes.loaded[snowjunction.DestinationID(f.msg.Destination)]
	return !f.ended && g != nil && g.loading
}
