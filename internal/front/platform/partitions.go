package platform

import "snowjunction/internal/partition"

// Adopt takes another membership.
func (f *Front) Adopt(m *partition.Membership) { f.Router.Adopt(m, f.since()) }
