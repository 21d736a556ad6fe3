package core

import (
	"errors"
	"time"

	"snowjunction/internal/exclusions"
)

// Exclusions stores the exclusions made by operators across restarts. Put does not block; done is
// called on any goroutine once text is durable, or with the error.
type Exclusions interface {
	Put(text []byte, done func(error))
}

// Errors of Exclude.
var (
	ErrUnknown       = errors.New("no such endpoint")
	errNotExcludable = errors.New("nothing can be taken out here")
)

// pendingExclusion tracks an endpoint's exclusion while changes to it are being written.
type pendingExclusion struct {
	writes   int
	excluded bool // the last durable change excludes it
}

// RestoreExclusions restores the exclusions of a previous process run. It must be called before any list is
// set.
func (c *Core) RestoreExclusions(s *exclusions.Set) {
	if c.exclusionSet = s; len(s.Names()) > 0 {
		c.Log.Info("endpoints excluded by an operator", "endpoints", s.Names())
	}
}

// exclusionOf reports whether an operator has excluded an endpoint, or, if it was included again
// recently, how long it had been excluded. Only endpoints of the first front can be excluded.
func (c *Core) exclusionOf(front int, name string) (out bool, was time.Duration) {
	if front != 0 {
		return false, 0
	}
	return c.exclusionSet.Excluded(name), c.exclusionSet.WasExcludedFor(name, c.Loop.Now())
}

// Exclude excludes an endpoint of a front, or includes it again, on behalf of an operator. The
// change takes effect immediately. done is called on the loop's goroutine once it is durable, or
// with the error. When no write is pending any more, the endpoint is in the state that was last
// written successfully.
func (c *Core) Exclude(front int, name string, exclude bool, done func(error)) {
	e, listed := c.routes.tables[front].Get(name)
	wasExcluded := c.exclusionSet.Excluded(name)
	switch {
	case c.Exclusions == nil || front != 0:
		done(errNotExcludable)
		return
	case !listed && !wasExcluded:
		done(ErrUnknown)
		return
	}
	change := func(exclude bool) error {
		if exclude {
			if err := c.exclusionSet.Exclude(name, c.Loop.Now()); err != nil {
				return err
			}
		} else {
			c.exclusionSet.Include(name, c.Loop.Now())
		}
		if e, listed := c.routes.tables[front].Get(name); listed {
			if g := c.routes.loaded[e.Destination]; g != nil && !g.loading {
				c.queueEndpoints(c.updateEndpoint(g, front, e))
			}
		}
		return nil
	}
	if err := change(exclude); err != nil {
		done(err)
		return
	}
	c.Log.Info("operator changed an exclusion", "endpoint", name, "out", exclude, "was", wasExcluded, "destination", e.Destination)
	c.unwrittenExclusions++
	pending := c.pendingExclusions[name]
	if pending == nil {
		pending = &pendingExclusion{excluded: wasExcluded}
		c.pendingExclusions[name] = pending
	}
	pending.writes++
	c.Exclusions.Put(c.exclusionSet.Encode(c.Loop.Now()), func(err error) {
		c.Loop.Post(func() {
			c.unwrittenExclusions--
			if pending.writes--; err == nil {
				pending.excluded = exclude
			}
			if pending.writes == 0 {
				if delete(c.pendingExclusions, name); c.exclusionSet.Excluded(name) != pending.excluded {
					_ = change(pending.excluded)
				}
			}
			done(err)
		})
	})
}

// excludedCount returns the number of listed endpoints of a front that operators have excluded. One
// that drains or has failed as well counts once.
func (c *Core) excludedCount(front int) (n int) {
	for _, name := range c.exclusionSet.Names() {
		if _, listed := c.routes.tables[front].Get(name); listed && front == 0 {
			n++
		}
	}
	return n
}
