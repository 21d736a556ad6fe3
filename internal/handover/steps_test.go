package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// simulation is a handover between two processes and a lock. At every step either process may die,
// the connection may break and any wait may time out.
type simulation struct {
	predecessor                      Predecessor
	successor                        Successor
	predecessorAlive, successorAlive bool
	linked                           bool
	lock                             string  // "elder" (predecessor), "flight" (in transit), "younger" (successor), "nobody"
	toPredecessor, toSuccessor       []Event // events in transit
	predecessorOwns                  bool
}

func newSimulation() *simulation {
	return &simulation{predecessorAlive: true, successorAlive: true, linked: true, lock: "elder", predecessorOwns: true, toPredecessor: []Event{GotHello}}
}

// cut breaks the connection; the kernel releases a lock in transit.
func (p *simulation) cut() {
	p.linked, p.toSuccessor = false, nil
	if p.lock == "flight" {
		p.lock = "nobody"
	}
	p.toPredecessor = append(p.toPredecessor, Broken)
	p.toSuccessor = append(p.toSuccessor, Broken)
}

func (p *simulation) predecessorOn(ev Event) {
	if !p.predecessorAlive {
		return
	}
	emit := func(ev Event) {
		if p.linked {
			p.toSuccessor = append(p.toSuccessor, ev)
		}
	}
	switch p.predecessor.On(ev) {
	case Quiesce:
		p.predecessorOn(Quiesced)
	case SendState:
		emit(GotState)
	case SendLock:
		if p.linked {
			p.lock, p.predecessorOwns = "flight", false
			emit(GotLock)
		} else {
			p.predecessorOwns = true // the lock was not sent
		}
	case Reclaim:
		if p.lock == "nobody" {
			p.lock, p.predecessorOwns = "elder", true
		}
	case Resume:
		p.predecessorOwns = true
	}
}

func (p *simulation) successorOn(ev Event) {
	if !p.successorAlive {
		return
	}
	if ev == GotLock && p.lock == "flight" {
		p.lock = "younger"
	}
	send := func(ev Event) {
		if p.linked {
			p.toPredecessor = append(p.toPredecessor, ev)
		}
	}
	switch p.successor.On(ev) {
	case ConfirmState:
		send(GotReady)
	case TakeOwnership:
		send(GotOwned)
	case Fallback:
		if p.lock == "younger" {
			p.lock = "nobody"
		}
		if p.linked {
			p.cut()
		}
	}
}

// Whatever fails during a handover, at most one process owns the folder, and a process that decides
// holds the lock.
func TestAtMostOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimulation()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"elder", "elder", "younger", "younger", "cut", "kill elder", "kill younger", "elder late", "younger late"}).Draw(t, "what") {
			case "elder":
				if len(p.toPredecessor) > 0 {
					ev := p.toPredecessor[0]
					p.toPredecessor = p.toPredecessor[1:]
					p.predecessorOn(ev)
				}
			case "younger":
				if len(p.toSuccessor) > 0 {
					ev := p.toSuccessor[0]
					p.toSuccessor = p.toSuccessor[1:]
					p.successorOn(ev)
				}
			case "cut":
				if p.linked {
					p.cut()
				}
			case "kill elder":
				if p.predecessorAlive {
					p.predecessorAlive, p.predecessorOwns = false, false
					if p.lock == "elder" {
						p.lock = "nobody"
					}
				}
			case "kill younger":
				if p.successorAlive {
					p.successorAlive = false
					if p.lock == "younger" {
						p.lock = "nobody"
					}
					if p.linked {
						p.cut()
					}
				}
			case "elder late":
				if p.predecessor.phase > predecessorIdle {
					p.predecessorOn(Broken)
				}
			case "younger late":
				p.successorOn(Broken)
			}
			if p.predecessorOwns && p.lock != "elder" {
				t.Fatalf("the predecessor decides while the lock is held by %s", p.lock)
			}
			if p.successorAlive && p.successor.IsOwner() && p.lock != "younger" {
				t.Fatalf("the successor decides while the lock is held by %s", p.lock)
			}
		}
	})
}

// A handover without failures ends with the successor as the owner.
func TestHandoverWithoutFailure(t *testing.T) {
	p := newSimulation()
	for len(p.toPredecessor)+len(p.toSuccessor) > 0 {
		if len(p.toPredecessor) > 0 {
			ev := p.toPredecessor[0]
			p.toPredecessor = p.toPredecessor[1:]
			p.predecessorOn(ev)
		} else {
			ev := p.toSuccessor[0]
			p.toSuccessor = p.toSuccessor[1:]
			p.successorOn(ev)
		}
	}
	assert.Equal(t, "younger", p.lock)
	assert.True(t, p.successor.IsOwner())
	assert.False(t, p.predecessorOwns)
	var other Predecessor
	assert.Equal(t, Refuse, other.On(GotOtherVersion))
	assert.Equal(t, Nothing, other.On(GotHello))
}
