package core

// Figures are what staff is told, under the names that their page gives: counts since the
// process began, by class, and how things stand now.
type Figures struct {
	Fulfilled     map[string]uint64 `json:"fulfilled"` // delivered
	Throttled     map[string]uint64 `json:"throttled"` // refused at the door, or handed back
	Faulted       map[string]uint64 `json:"faulted"`   // failed
	Relayed       uint64            `json:"relayed"`   // attempts written whole to endpoints
	Open          int               `json:"open_requests"`
	Entries       int               `json:"registry_entries"`
	OutOfRotation int               `json:"out_of_rotation"` // listed endpoints that are avoided
}

// tally counts one class's messages, each at the stage that owns the event.
type tally struct{ fulfilled, throttled, faulted uint64 }

// of is the tally of a flow's class.
func (c *Core) of(f *flow) *tally {
	no, ok := c.classes[f.msg.Class]
	if !ok {
		no = len(c.tallies) - 1
	}
	return &c.tallies[no]
}

// Figures tells what has been counted, and the endpoints of a front's list.
func (c *Core) Figures(front int) Figures {
	x := Figures{
		Fulfilled: map[string]uint64{}, Throttled: map[string]uint64{}, Faulted: map[string]uint64{},
		Open: c.held - len(c.fresh), Entries: c.routes.tables[front].Len(), OutOfRotation: c.courier.Avoided() + c.excluded(front), Relayed: c.relayed,
	}
	for i, cl := range c.Settings.Classes {
		t := c.tallies[i]
		x.Fulfilled[cl.Name], x.Throttled[cl.Name] = t.fulfilled, t.throttled
		x.Faulted[cl.Name] = t.faulted
	}
	return x
}
