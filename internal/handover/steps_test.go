package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// play is a handover between two processes with a lock between them. Either may die, the
// connection may break and any wait may end, at every step.
type play struct {
	elder            Elder
	younger          Younger
	elderUp, youngUp bool
	linked           bool
	lock             string  // who holds it: elder, flight, younger or nobody
	toElder, toYoung []Event // what is on its way
	elderOwns        bool
}

func newPlay() *play {
	return &play{elderUp: true, youngUp: true, linked: true, lock: "elder", elderOwns: true, toElder: []Event{GotHello}}
}

// cut ends the connection: a lock on its way is let go of by the kernel.
func (p *play) cut() {
	p.linked, p.toYoung = false, nil
	if p.lock == "flight" {
		p.lock = "nobody"
	}
	p.toElder = append(p.toElder, Broken)
	p.toYoung = append(p.toYoung, Broken)
}

func (p *play) elderOn(ev Event) {
	if !p.elderUp {
		return
	}
	send := func(ev Event) {
		if p.linked {
			p.toYoung = append(p.toYoung, ev)
		}
	}
	switch p.elder.On(ev) {
	case Hush:
		p.elderOn(Quiet)
	case Offer:
		send(GotEstate)
	case Deed:
		if p.linked {
			p.lock, p.elderOwns = "flight", false
			send(GotDeed)
		} else {
			p.elderOwns = true // it has not left
		}
	case Reclaim:
		if p.lock == "nobody" {
			p.lock, p.elderOwns = "elder", true
		}
	case Resume:
		p.elderOwns = true
	}
}

func (p *play) youngerOn(ev Event) {
	if !p.youngUp {
		return
	}
	if ev == GotDeed && p.lock == "flight" {
		p.lock = "younger"
	}
	send := func(ev Event) {
		if p.linked {
			p.toElder = append(p.toElder, ev)
		}
	}
	switch p.younger.On(ev) {
	case Answer:
		send(GotReady)
	case Own:
		send(GotTaken)
	case Fallback:
		if p.lock == "younger" {
			p.lock = "nobody"
		}
		if p.linked {
			p.cut()
		}
	}
}

// However a handover goes, never do both own, and whoever decides holds the lock.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"elder", "elder", "younger", "younger", "cut", "kill elder", "kill younger", "elder late", "younger late"}).Draw(t, "what") {
			case "elder":
				if len(p.toElder) > 0 {
					ev := p.toElder[0]
					p.toElder = p.toElder[1:]
					p.elderOn(ev)
				}
			case "younger":
				if len(p.toYoung) > 0 {
					ev := p.toYoung[0]
					p.toYoung = p.toYoung[1:]
					p.youngerOn(ev)
				}
			case "cut":
				if p.linked {
					p.cut()
				}
			case "kill elder":
				if p.elderUp {
					p.elderUp, p.elderOwns = false, false
					if p.lock == "elder" {
						p.lock = "nobody"
					}
				}
			case "kill younger":
				if p.youngUp {
					p.youngUp = false
					if p.lock == "younger" {
						p.lock = "nobody"
					}
					if p.linked {
						p.cut()
					}
				}
			case "elder late":
				if p.elder.at > asked {
					p.elderOn(Broken)
				}
			case "younger late":
				p.youngerOn(Broken)
			}
			if p.elderOwns && p.lock != "elder" {
				t.Fatalf("the elder decides, and the lock is with %s", p.lock)
			}
			if p.youngUp && p.younger.Owns() && p.lock != "younger" {
				t.Fatalf("the younger decides, and the lock is with %s", p.lock)
			}
		}
	})
}

// A handover without trouble takes these steps, and ends with the younger as the owner.
func TestSteps(t *testing.T) {
	p := newPlay()
	for len(p.toElder)+len(p.toYoung) > 0 {
		if len(p.toElder) > 0 {
			ev := p.toElder[0]
			p.toElder = p.toElder[1:]
			p.elderOn(ev)
		} else {
			ev := p.toYoung[0]
			p.toYoung = p.toYoung[1:]
			p.youngerOn(ev)
		}
	}
	assert.Equal(t, "younger", p.lock)
	assert.True(t, p.younger.Owns())
	assert.False(t, p.elderOwns)
	var other Elder
	assert.Equal(t, Refuse, other.On(GotOther))
	assert.Equal(t, Nothing, other.On(GotHello))
}
