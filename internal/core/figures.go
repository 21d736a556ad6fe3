package core

// Figures are the numbers on the operators' page, under its names: counts by class since the
// process started, and current sizes.
type Figures struct {
	Fulfilled map[string]uint64 `json:"fulfilled"` // delivered
	Throttled map[string]uint64 `json:"throttled"` // refused on submission, or returned
	Faulted   map[string]uint64 `json:"faulted"`   // failed
	Relayed   uint64            `json:"relayed"`   // attempts sent completely to endpoints
	Open      int               `json:"open_requests"`
	Entries   int               `json:"registry_entries"`
	// OutOfRotation counts listed endpoints with an open circuit breaker or excluded by an operator.
	OutOfRotation int `json:"out_of_rotation"`
}

// tally counts the messages of one class; refused includes returned ones. Each field is incremented
// where the event is decided.
type tally struct{ delivered, refused, failed uint64 }

// tallyOf returns the tally of a flow's class.
func (c *Core) tallyOf(f *flow) *tally {
	classIndex, ok := c.classes[f.msg.Class]
	if !ok {
		classIndex = len(c.tallies) - 1
	}
	return &c.tallies[classIndex]
}

// Figures returns the current numbers; the endpoints are those of the given front's list.
func (c *Core) Figures(front int) Figures {
	x := Figures{
		Fulfilled: map[string]uint64{}, Throttled: map[string]uint64{}, Faulted: map[string]uint64{},
		Open: c.openFlows - len(c.awaitingAdmission), Entries: c.routes.tables[front].Len(), OutOfRotation: c.courier.OpenBreakers() + c.excludedCount(front), Relayed: c.attemptsSent,
	}
	for i, cl := range c.Settings.Classes {
		t := c.tallies[i]
		x.Fulfilled[cl.Name], x.Throttled[cl.Name] = t.delivered, t.refused
		x.Faulted[cl.Name] = t.failed
	}
	return x
}
