package rig

import "maps"

// MemberSettings returns a copy of the settings s for one courier of a fleet: its number, the fleet's size,
// its zone and all zones. The courier is allowed to send peer messages.
func MemberSettings(s map[string]any, number, fleet, zone int, zones []string) map[string]any {
	s = maps.Clone(s)
	limits := maps.Clone(s["limits"].(map[string]any))
	limits["may-tell"] = true
	s["limits"], s["fleet-size"], s["my-number"], s["zone"], s["dcs"] = limits, fleet, number, zone, zones
	return s
}
