package emulate

import (
	"math"
	"sort"
	"time"
)

// rate is that of first tries at a time, in messages a second.
func (w *world) rate(at time.Duration) float64 {
	l, t := &w.s.Load, at.Seconds()
	r := l.Full * l.Level
	if l.Wave > 0 {
		r *= 1 + l.Wave*math.Sin(2*math.Pi*t/l.WaveS)
	}
	for _, j := range l.Jumps {
		if t >= j.At && t < j.At+j.For {
			r *= j.Times
		}
	}
	return r
}

// most bounds rate.
func (w *world) most() float64 {
	l := &w.s.Load
	r := l.Full * l.Level * (1 + l.Wave)
	times := 1.0
	for _, j := range l.Jumps {
		times = math.Max(times, j.Times)
	}
	return r * times * times
}

// nextArrival draws when clients hand in next: a Poisson process whose rate
// changes, by thinning. A clump counts as one arrival of it.
func (w *world) nextArrival() time.Duration {
	most := w.most() / w.clumping()
	at := w.now
	for {
		at += seconds(w.traffic.ExpFloat64() / math.Max(most, 1e-9))
		if at >= w.until || w.traffic.Float64()*most <= w.rate(at)/w.clumping() {
			return at
		}
	}
}

// clumping is how many messages an arrival has on the average.
func (w *world) clumping() float64 {
	if w.s.Load.Clumps <= 0 {
		return 1
	}
	size := w.clumpMean()
	share := w.s.Load.Clumps / size // of the arrivals, nearly
	return 1 - share + share*size
}

func (w *world) clumpMean() float64 {
	l := &w.s.Load
	return math.Max(1, (l.ClumpS[0]+l.ClumpS[1])/2*l.Full*l.Level/float64(max(1, len(w.weights))))
}

// arrive has clients hand in a message, or a clump of them.
func (w *world) arrive() {
	if w.now >= w.until {
		return
	}
	dest := w.pick()
	n := 1
	if w.s.Load.Clumps > 0 && w.traffic.Float64() < w.s.Load.Clumps/w.clumpMean() {
		n = max(1, int(math.Round(w.partners[dest].rate*w.s.Load.Level*draw(w.traffic, w.s.Load.ClumpS))))
	}
	for range n {
		w.handIn(dest)
	}
	w.q.push(event{at: w.nextArrival(), kind: arrive})
}

// pick draws a partner by its share of the traffic.
func (w *world) pick() int32 {
	t := w.now.Seconds()
	for _, h := range w.s.Load.Hot {
		if t >= h.At && t < h.At+h.For && w.traffic.Float64() < h.Share {
			return int32(w.traffic.IntN(min(h.Partners, len(w.weights))))
		}
	}
	x := w.traffic.Float64() * w.weights[len(w.weights)-1]
	return int32(min(sort.SearchFloat64s(w.weights, x), len(w.weights)-1))
}

func (w *world) handIn(dest int32) {
	class := 1
	if w.traffic.Float64() < w.s.Load.Orders {
		class = 0
	}
	m := message{
		dest: dest, out: -1, class: uint8(class), tenant: uint8(w.partners[dest].tenant),
		created: w.now, deadline: w.now + w.classes[class].Deadline,
	}
	if class == 0 {
		m.key = w.keyFor(dest)
	}
	q := &w.quotas[m.tenant]
	q.tokens = math.Min(q.tokens+(w.now-q.at).Seconds()*q.rate, 2*q.rate)
	q.at = w.now
	if q.tokens < 1 {
		m.excess = true
	} else {
		q.tokens--
	}
	w.res.asked(&m, w.worth(&m))
	w.hand(m, w.now+handIn)
}

// keyFor is the key of the next order to a partner: one that has messages to come and
// has rested for its gap, else a new one.
func (w *world) keyFor(dest int32) uint64 {
	l, open := &w.s.Load, w.keyed[dest]
	k := keyed{}
	if len(open) > 0 && open[0].due <= w.now {
		k, open = open[0], open[1:]
	} else {
		w.keys++
		k = keyed{key: w.keys, left: 1 + int(w.traffic.ExpFloat64()*(l.PerKey-1))}
	}
	if k.left--; k.left > 0 {
		k.due = w.now + seconds(l.KeyGapS*(0.5+w.traffic.Float64()))
		open = append(open, k)
	}
	w.keyed[dest] = open
	return k.key
}

// worth is what a message earns in time.
func (w *world) worth(m *message) float64 {
	v := w.classes[m.class].Value
	if m.excess {
		v *= 0.05
	}
	return v
}

// hand sends a message on its way to a courier.
func (w *world) hand(m message, at time.Duration) {
	id := w.place(m)
	w.q.push(event{at: at, kind: taken, id: id, gen: w.messages[id].gen})
}

// place puts a message into the world and returns its number.
func (w *world) place(m message) int32 {
	m.open = true
	if n := len(w.freed); n > 0 {
		id := w.freed[n-1]
		w.freed = w.freed[:n-1]
		m.gen = w.messages[id].gen + 1
		w.messages[id] = m
		return id
	}
	w.messages = append(w.messages, m)
	return int32(len(w.messages) - 1)
}

// taken has a courier take a message on: the one of its key, or any.
func (w *world) taken(id int32, gen uint32) {
	m := &w.messages[id]
	if m.gen != gen {
		return
	}
	n := len(w.couriers)
	first := int(m.key % uint64(n))
	if m.key == 0 {
		first = w.reaction.IntN(n)
	}
	for i := range n {
		c := w.couriers[(first+i)%n]
		if !c.up {
			continue
		}
		m.courier = c.no
		w.serial++
		m.serial = w.serial
		c.held = append(c.held, hold{id, m.serial})
		if w.check != nil {
			w.check.Taken(w.now, c.no, id, m.dest, int(m.class), m.key, m.deadline)
		}
		c.admit(id)
		return
	}
	m.open = false
	w.refused(id, 0) // nobody is there: the client comes again
	w.free(id)
}

// ended is a message's final answer. delivered: at the time at which its courier
// hears of it.
func (w *world) ended(id int32, how fate) {
	m := &w.messages[id]
	m.open = false
	if w.check != nil {
		w.check.Ended(w.now, id)
	}
	w.res.ends[how]++
	if how != delivered {
		return
	}
	class := w.classes[m.class]
	v, late := w.worth(m), w.now-(m.created+class.TargetLatency)
	if late > 0 {
		w.res.Late++
		v *= math.Max(0, 1-(1-class.LateValueShare)*float64(late)/float64(class.Deadline-class.TargetLatency))
	}
	w.res.got(m, v, w.now-m.created)
}

// refused has the client of a message that was refused come again, perhaps.
func (w *world) refused(id int32, after time.Duration) {
	m := w.messages[id]
	c := &w.s.Clients
	again := c.Retries - float64(m.tries)
	if again <= 0 || again < 1 && w.reaction.Float64() >= again {
		return
	}
	wait := seconds(draw(w.reaction, c.BackoffMs) / 1000 * math.Exp2(float64(m.tries)))
	if after > 0 && w.reaction.Float64() < c.Heeds {
		wait = after
	}
	if at := w.now + wait + handIn; at < m.deadline {
		n := message{
			dest: m.dest, out: -1, class: m.class, tenant: m.tenant, tries: m.tries + 1, excess: m.excess, key: m.key,
			created: m.created, deadline: m.deadline,
		}
		w.res.Retries++
		w.hand(n, at)
	}
}

// free gives back a message that has its end and no call out.
func (w *world) free(id int32) {
	if m := &w.messages[id]; !m.open && m.out < 0 {
		w.freed = append(w.freed, id)
	}
}
