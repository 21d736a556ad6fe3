package emulate

import (
	"math"
	"sort"
	"time"
)

// arrivalRate returns the rate of first tries at a time, in messages per second.
func (w *world) arrivalRate(at time.Duration) float64 {
	l, t := &w.scenario.Load, at.Seconds()
	r := l.Full * l.Level
	if l.WaveDepth > 0 {
		r *= 1 + l.WaveDepth*math.Sin(2*math.Pi*t/l.WavePeriodS)
	}
	for _, j := range l.Jumps {
		if t >= j.At && t < j.At+j.For {
			r *= j.Times
		}
	}
	return r
}

// maxArrivalRate returns an upper bound of arrivalRate, in messages per second.
func (w *world) maxArrivalRate() float64 {
	l := &w.scenario.Load
	r := l.Full * l.Level * (1 + l.WaveDepth)
	times := 1.0
	for _, j := range l.Jumps {
		times = math.Max(times, j.Times)
	}
	return r * times * times
}

// nextArrival draws the time of the next arrival: a Poisson process whose rate
// changes over time, sampled by thinning. A burst counts as one arrival.
func (w *world) nextArrival() time.Duration {
	maxRate := w.maxArrivalRate() / w.meanArrivalSize()
	at := w.now
	for {
		at += seconds(w.trafficRNG.ExpFloat64() / math.Max(maxRate, 1e-9))
		if at >= w.arrivalsUntil || w.trafficRNG.Float64()*maxRate <= w.arrivalRate(at)/w.meanArrivalSize() {
			return at
		}
	}
}

// meanArrivalSize returns the mean number of messages per arrival.
func (w *world) meanArrivalSize() float64 {
	if w.scenario.Load.BurstShare <= 0 {
		return 1
	}
	size := w.meanBurstSize()
	share := w.scenario.Load.BurstShare / size // approximate share of the arrivals
	return 1 - share + share*size
}

// meanBurstSize returns the mean number of messages in a burst.
func (w *world) meanBurstSize() float64 {
	l := &w.scenario.Load
	return math.Max(1, (l.BurstSizeS[0]+l.BurstSizeS[1])/2*l.Full*l.Level/float64(max(1, len(w.cumulativeWeights))))
}

// handleArrival creates a message, or a burst of them, and schedules the next arrival.
func (w *world) handleArrival() {
	if w.now >= w.arrivalsUntil {
		return
	}
	dest := w.pickPartner()
	n := 1
	if w.scenario.Load.BurstShare > 0 && w.trafficRNG.Float64() < w.scenario.Load.BurstShare/w.meanBurstSize() {
		n = max(1, int(math.Round(w.partners[dest].fullLoadRate*w.scenario.Load.Level*uniform(w.trafficRNG, w.scenario.Load.BurstSizeS))))
	}
	for range n {
		w.createMessage(dest)
	}
	w.queue.push(event{at: w.nextArrival(), kind: clientArrival})
}

// pickPartner draws a partner with a probability equal to its share of the traffic.
func (w *world) pickPartner() int32 {
	t := w.now.Seconds()
	for _, h := range w.scenario.Load.Hot {
		if t >= h.At && t < h.At+h.For && w.trafficRNG.Float64() < h.Share {
			return int32(w.trafficRNG.IntN(min(h.Partners, len(w.cumulativeWeights))))
		}
	}
	x := w.trafficRNG.Float64() * w.cumulativeWeights[len(w.cumulativeWeights)-1]
	return int32(min(sort.SearchFloat64s(w.cumulativeWeights, x), len(w.cumulativeWeights)-1))
}

// createMessage creates a message to a partner as a client's first try, charges its
// tenant's quota and submits it.
func (w *world) createMessage(dest int32) {
	class := 1
	if w.trafficRNG.Float64() < w.scenario.Load.OrderShare {
		class = 0
	}
	m := message{
		dest: dest, call: -1, class: uint8(class), tenant: uint8(w.partners[dest].tenant),
		created: w.now, deadline: w.now + w.classes[class].Deadline,
	}
	if class == 0 {
		m.key = w.nextKey(dest)
	}
	q := &w.quotas[m.tenant]
	q.tokens = math.Min(q.tokens+(w.now-q.refilledAt).Seconds()*q.rate, 2*q.rate)
	q.refilledAt = w.now
	if q.tokens < 1 {
		m.overQuota = true
	} else {
		q.tokens--
	}
	w.result.addRequested(&m, w.messageValue(&m))
	w.submit(m, w.now+clientDelay)
}

// nextKey returns the key of the next order to a partner: an open key whose gap between
// messages has passed, otherwise a new key.
func (w *world) nextKey(dest int32) uint64 {
	l, open := &w.scenario.Load, w.openKeys[dest]
	k := openKey{}
	if len(open) > 0 && open[0].nextAt <= w.now {
		k, open = open[0], open[1:]
	} else {
		w.lastKey++
		k = openKey{key: w.lastKey, remaining: 1 + int(w.trafficRNG.ExpFloat64()*(l.PerKey-1))}
	}
	if k.remaining--; k.remaining > 0 {
		k.nextAt = w.now + seconds(l.KeyGapS*(0.5+w.trafficRNG.Float64()))
		open = append(open, k)
	}
	w.openKeys[dest] = open
	return k.key
}

// messageValue returns what a message earns if it is delivered within its target latency. A
// message over its tenant's quota earns a twentieth of that.
func (w *world) messageValue(m *message) float64 {
	v := w.classes[m.class].Value
	if m.overQuota {
		v *= 0.05
	}
	return v
}

// submit schedules the arrival of a message at a courier.
func (w *world) submit(m message, at time.Duration) {
	id := w.storeMessage(m)
	w.queue.push(event{at: at, kind: messageReceived, id: id, generation: w.messages[id].generation})
}

// storeMessage stores a message, in a free slot if there is one, and returns its index.
func (w *world) storeMessage(m message) int32 {
	m.pending = true
	if n := len(w.freeMessages); n > 0 {
		id := w.freeMessages[n-1]
		w.freeMessages = w.freeMessages[:n-1]
		m.generation = w.messages[id].generation + 1
		w.messages[id] = m
		return id
	}
	w.messages = append(w.messages, m)
	return int32(len(w.messages) - 1)
}

// acceptMessage assigns a message to a running courier: the one that its key maps to, or a
// random one if it has no key. If that courier is down, the next one accepts it.
func (w *world) acceptMessage(id int32, gen uint32) {
	m := &w.messages[id]
	if m.generation != gen {
		return
	}
	n := len(w.couriers)
	first := int(m.key % uint64(n))
	if m.key == 0 {
		first = w.reactionRNG.IntN(n)
	}
	for i := range n {
		c := w.couriers[(first+i)%n]
		if !c.up {
			continue
		}
		m.courier = c.number
		w.lastSerial++
		m.serial = w.lastSerial
		c.held = append(c.held, heldMessage{id, m.serial})
		if w.checker != nil {
			w.checker.Accepted(w.now, c.number, id, m.dest, int(m.class), m.key, m.deadline)
		}
		c.askPlugin(id)
		return
	}
	m.pending = false
	w.retryRefused(id, 0) // no courier is running: the client retries
	w.freeMessage(id)
}

// finishMessage records the final result of a message. A delivery counts at the time at
// which the courier receives the response.
func (w *world) finishMessage(id int32, result messageResult) {
	m := &w.messages[id]
	m.pending = false
	if w.checker != nil {
		w.checker.Finished(w.now, id)
	}
	w.result.results[result]++
	if result != delivered {
		return
	}
	class := w.classes[m.class]
	v, late := w.messageValue(m), w.now-(m.created+class.TargetLatency)
	if late > 0 {
		w.result.Late++
		v *= math.Max(0, 1-(1-class.LateValueShare)*float64(late)/float64(class.Deadline-class.TargetLatency))
	}
	w.result.addDelivered(m, v, w.now-m.created)
}

// retryRefused schedules a client retry of a refused message if the client still retries and
// the deadline allows it.
func (w *world) retryRefused(id int32, after time.Duration) {
	m := w.messages[id]
	c := &w.scenario.Clients
	remaining := c.Retries - float64(m.clientTries)
	if remaining <= 0 || remaining < 1 && w.reactionRNG.Float64() >= remaining {
		return
	}
	wait := seconds(uniform(w.reactionRNG, c.BackoffMs) / 1000 * math.Exp2(float64(m.clientTries)))
	if after > 0 && w.reactionRNG.Float64() < c.HonorRetryAfter {
		wait = after
	}
	if at := w.now + wait + clientDelay; at < m.deadline {
		n := message{
			dest: m.dest, call: -1, class: m.class, tenant: m.tenant, clientTries: m.clientTries + 1, overQuota: m.overQuota, key: m.key,
			created: m.created, deadline: m.deadline,
		}
		w.result.Retries++
		w.submit(n, at)
	}
}

// freeMessage releases the slot of a message that has its final result and no call in flight.
func (w *world) freeMessage(id int32) {
	if m := &w.messages[id]; !m.pending && m.call < 0 {
		w.freeMessages = append(w.freeMessages, id)
	}
}
