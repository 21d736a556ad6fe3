package core

import (
	"errors"
	"time"

	"snowjunction/internal/exclusions"
)

// Exclusions keeps what is out by hand for the next life. Put does not wait; done is called
// on whatever goroutine once text lasts, or with why it does not.
type Exclusions interface {
	Put(text []byte, done func(error))
}

// What Exclude may say.
var (
	ErrUnknown = errors.New("no such endpoint")
	errNoPlace = errors.New("nothing can be taken out here")
)

// wish is what is to become of an endpoint, while that is written.
type wish struct {
	pending int
	lasts   bool // it is out in what has been written
}

// RecallOut takes what an earlier life has left out by hand, before any list.
func (c *Core) RecallOut(s *exclusions.Set) {
	if c.out = s; len(s.Names()) > 0 {
		c.Log.Info("out by hand", "endpoints", s.Names())
	}
}

// outOf tells whether an endpoint is out by hand, or else for how long it was if it has come
// back a while ago. Only the first front's endpoints can be.
func (c *Core) outOf(front int, name string) (out bool, was time.Duration) {
	if front != 0 {
		return false, 0
	}
	return c.out.Out(name), c.out.Cold(name, c.Loop.Now())
}

// Exclude takes an endpoint of a front out by hand, or lets it serve again. It holds from
// now on; done is called once it lasts, on the loop's goroutine, or with why it does not:
// once nothing more is to be written of it, the endpoint is as it was written last.
func (c *Core) Exclude(front int, name string, out bool, done func(error)) {
	e, listed := c.routes.tables[front].Get(name)
	was := c.out.Out(name)
	switch {
	case c.Exclusions == nil || front != 0:
		done(errNoPlace)
		return
	case !listed && !was:
		done(ErrUnknown)
		return
	}
	change := func(out bool) error {
		if out {
			if err := c.out.Exclude(name, c.Loop.Now()); err != nil {
				return err
			}
		} else {
			c.out.Include(name, c.Loop.Now())
		}
		if e, listed := c.routes.tables[front].Get(name); listed {
			if g := c.routes.awake[e.Destination]; g != nil && !g.waiting {
				c.changed(c.member(g, front, e))
			}
		}
		return nil
	}
	if err := change(out); err != nil {
		done(err)
		return
	}
	c.Log.Info("by hand", "endpoint", name, "out", out, "was", was, "destination", e.Destination)
	c.outs++
	w := c.wishes[name]
	if w == nil {
		w = &wish{lasts: was}
		c.wishes[name] = w
	}
	w.pending++
	c.Exclusions.Put(c.out.Encode(c.Loop.Now()), func(err error) {
		c.Loop.Post(func() {
			c.outs--
			if w.pending--; err == nil {
				w.lasts = out
			}
			if w.pending == 0 {
				if delete(c.wishes, name); c.out.Out(name) != w.lasts {
					_ = change(w.lasts)
				}
			}
			done(err)
		})
	})
}

// excluded is how many endpoints of a front's list are out by hand. One that drains or has
// failed as well counts once.
func (c *Core) excluded(front int) (n int) {
	for _, name := range c.out.Names() {
		if _, listed := c.routes.tables[front].Get(name); listed && front == 0 {
			n++
		}
	}
	return n
}
