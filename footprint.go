package snowjunction

import size "unsafe" // the tests have an unsafe of their own

// Footprint is what a courier holds. Bytes are reckoned from the sizes of what it is made
// of, without what the allocator adds.
type Footprint struct {
	Destinations, Endpoints, Requests int
	BooksBytes                        int // of these
	Accounts                          int // that it keeps for the fleet
	AccountBytes                      int
}

const wordsOfMapEntry = 3 // pointer, key and control bytes, at seven eighths full at most

// Footprint tells what this courier holds. It changes nothing.
func (c *Courier) Footprint() Footprint {
	word := int(size.Sizeof(uintptr(0)))
	f := Footprint{Destinations: len(c.dests), Endpoints: len(c.eps), Requests: len(c.reqs), Accounts: len(c.ledgers)}
	for _, d := range c.order {
		f.BooksBytes += int(size.Sizeof(*d)) + word*(wordsOfMapEntry+cap(d.queue)+cap(d.eps)+cap(d.routes))
		for _, r := range d.routes {
			f.BooksBytes += int(size.Sizeof(*r)) + 2*word*cap(r.coldSends.at) + word*cap(r.eps)
			if r.lease != nil {
				f.BooksBytes += int(size.Sizeof(*r.lease))
			}
		}
		for _, e := range d.eps {
			f.BooksBytes += int(size.Sizeof(*e)) + word*(wordsOfMapEntry+cap(e.calls)+cap(e.idle)+cap(e.soured))
		}
	}
	for _, r := range c.reqs {
		f.BooksBytes += int(size.Sizeof(*r)) + word*wordsOfMapEntry
	}
	for _, l := range c.ledgers {
		f.AccountBytes += l.Bytes() + word*wordsOfMapEntry
	}
	f.BooksBytes += c.line.Bytes()
	return f
}
