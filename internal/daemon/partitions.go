package daemon

import (
	"slices"

	"snowjunction/internal/front/platform"
	"snowjunction/internal/partition"
	"snowjunction/internal/store"
)

// newRouter makes the router of messages, where the operator file divides the destinations among
// couriers: nil else. What an earlier process left in the journal stays this courier's.
func (c *courier) newRouter(left []*store.Message) *partition.Router {
	p, m := c.process.files.partitions, c.process.files.membership
	if m == nil {
		return nil
	}
	inOrder := map[string]bool{}
	for _, class := range c.cfg.Settings.Classes {
		inOrder[class.Name] = class.InOrder
	}
	r := partition.NewRouter(platform.Routing(c.cfg.Settings, c.cfg.Name, p.Region, p.Linger), m, 0)
	for _, msg := range left {
		if msg.State != store.Open {
			continue
		}
		r.Keep(partition.Of(msg.Destination, m.Partitions()))
		if inOrder[msg.Class] {
			r.Took(partition.Message{Destination: msg.Destination, Key: msg.Key, Left: msg.Deadline.Sub(c.loop.Now())}, c.cfg.Name, 0)
		}
	}
	c.logOwnership(m)
	return r
}

// currentMembership is the one that holds; nil: destinations are not divided.
func (c *courier) currentMembership() *partition.Membership {
	if r := c.platform.Router; r != nil {
		return r.Membership()
	}
	return nil
}

// adoptMembership takes another membership, where one holds and it divides as that one does: else it waits
// for a restart.
func (c *courier) adoptMembership(m *partition.Membership) {
	holds := c.currentMembership()
	if m == nil || holds == nil || m.Partitions() != holds.Partitions() || m.Copies() != holds.Copies() ||
		slices.Equal(m.Members(), holds.Members()) {
		return
	}
	c.platform.Adopt(m)
	c.process.files.membership = m // for the next courier of this process
	c.logOwnership(m)
}

// logOwnership tells what this courier's part of a membership is.
func (c *courier) logOwnership(m *partition.Membership) {
	if _, member := m.Member(c.cfg.Name); !member {
		c.log.Warn("no member of the partitions: it owns none and forwards all", "members", len(m.Members()))
		return
	}
	c.log.Info("partitions", "members", len(m.Members()), "partitions", m.Partitions(), "copies", m.Copies(),
		"own", len(m.Owned(c.cfg.Name)))
}
