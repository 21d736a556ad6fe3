package rig

import "maps"

// Member are settings as the courier of that number in a fleet of so many is told them,
// with its zone among so many; it may tell the others notes.
func Member(s map[string]any, number, fleet, zone int, zones []string) map[string]any {
	s = maps.Clone(s)
	limits := maps.Clone(s["limits"].(map[string]any))
	limits["may-tell"] = true
	s["limits"], s["fleet-size"], s["my-number"], s["zone"], s["dcs"] = limits, fleet, number, zone, zones
	return s
}
