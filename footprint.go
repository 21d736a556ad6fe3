package snowjunction

import size "unsafe" // renamed because the tests have a constant named unsafe

// Footprint is the memory use of a Courier. Bytes are computed from the sizes of its data
// structures, without allocator overhead.
type Footprint struct {
	Destinations, Endpoints, Requests int
	StateBytes                        int // of these three
	QuotaLedgers                      int // quota ledgers kept as a lease owner
	QuotaLedgerBytes                  int
}

const mapEntryWords = 3 // pointer, key and control bytes, at seven eighths full at most

// Footprint returns the present memory use. It changes no state.
func (c *Courier) Footprint() Footprint {
	word := int(size.Sizeof(uintptr(0)))
	f := Footprint{
		Destinations: len(c.destinations), Endpoints: len(c.endpoints), Requests: len(c.requests),
		QuotaLedgers: len(c.quotaLedgers),
	}
	for _, d := range c.destinationOrder {
		f.StateBytes += int(size.Sizeof(*d)) +
			word*(mapEntryWords+cap(d.queue)+cap(d.endpoints)+cap(d.routes))
		for _, r := range d.routes {
			f.StateBytes += int(size.Sizeof(*r)) + 2*word*cap(r.coldCalls.times) + word*cap(r.endpoints)
			if r.lease != nil {
				f.StateBytes += int(size.Sizeof(*r.lease))
			}
		}
		for _, e := range d.endpoints {
			f.StateBytes += int(size.Sizeof(*e)) +
				word*(mapEntryWords+cap(e.calls)+cap(e.idleConns)+cap(e.classFailedAt))
		}
	}
	for _, r := range c.requests {
		f.StateBytes += int(size.Sizeof(*r)) + word*mapEntryWords
	}
	for _, l := range c.quotaLedgers {
		f.QuotaLedgerBytes += l.Bytes() + word*mapEntryWords
	}
	f.StateBytes += c.leaseOwners.Bytes()
	return f
}
