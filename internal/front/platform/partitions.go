package platform

import "snowjunction/internal/partition"

// Divided is how things stand with the partitions; false: destinations are not divided.
func (f *Front) Divided() (partition.Figures, bool) {
	if f.Router == nil {
		return partition.Figures{}, false
	}
	return f.Router.Figures(f.since()), true
}

// Adopt takes another membership.
func (f *Front) Adopt(m *partition.Membership) { f.Router.Adopt(m, f.since()) }
