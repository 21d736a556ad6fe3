package daemon

import (
	"slices"

	"snowjunction/internal/front/platform"
	"snowjunction/internal/partition"
	"snowjunction/internal/store"
)

// newRouter creates the message router if the operator file divides the destinations among
// couriers, else it returns nil. Messages that the previous process left in the journal stay with
// this courier.
func (c *courier) newRouter(messages []*store.Message) *partition.Router {
	p, m := c.process.files.partitions, c.process.files.membership
	if m == nil {
		return nil
	}
	inOrder := map[string]bool{}
	for _, class := range c.cfg.Settings.Classes {
		inOrder[class.Name] = class.InOrder
	}
	r := partition.NewRouter(platform.RouterOptions(c.cfg.Settings, c.cfg.Name, p.Region, p.Linger), m, 0)
	for _, msg := range messages {
		if msg.State != store.Open {
			continue
		}
		r.Retain(partition.Of(msg.Destination, m.Partitions()))
		if inOrder[msg.Class] {
			r.RecordAccepted(partition.Message{Destination: msg.Destination, Key: msg.Key, Remaining: msg.Deadline.Sub(c.loop.Now())}, c.cfg.Name, 0)
		}
	}
	c.logOwnership(m)
	return r
}

// currentMembership returns the current membership, or nil if destinations are not divided.
func (c *courier) currentMembership() *partition.Membership {
	if r := c.platform.Router; r != nil {
		return r.Membership()
	}
	return nil
}

// adoptMembership applies a new membership if it has the same numbers of partitions and copies as
// the current one. Other changes require a restart.
func (c *courier) adoptMembership(m *partition.Membership) {
	current := c.currentMembership()
	if m == nil || current == nil || m.Partitions() != current.Partitions() || m.Copies() != current.Copies() ||
		slices.Equal(m.Members(), current.Members()) {
		return
	}
	c.platform.AdoptMembership(m)
	c.process.files.membership = m // for the next courier of this process
	c.logOwnership(m)
}

// logOwnership logs which partitions of a membership this courier owns.
func (c *courier) logOwnership(m *partition.Membership) {
	if _, member := m.Member(c.cfg.Name); !member {
		c.log.Warn("no member of the partitions: it owns none and forwards all", "members", len(m.Members()))
		return
	}
	c.log.Info("partitions", "members", len(m.Members()), "partitions", m.Partitions(), "copies", m.Copies(),
		"own", len(m.Owned(c.cfg.Name)))
}
