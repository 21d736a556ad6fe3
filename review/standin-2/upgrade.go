package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { cases["wait-upgrade"] = waitUpgrade }

// upgradeOf returns a second process of a courier: the same configuration, folder and address, another second
// address.
func (c *courier) upgrade() *courier {
	n := &courier{play: c.play, name: c.name, listen: c.listen, env: c.env, state: c.state, config: object{}}
	for key, value := range c.config {
		n.config[key] = value
	}
	n.config["console"] = c.play.freeAddr()
	return n
}

// shutPartner is a partner system with one endpoint that is shut for a time, and tells callers until when.
type shutPartner struct {
	*endpoint
	shutUntil float64 // ms since the start of the case
}

// waitUpgrade has a courier call many partners, of which some are shut and say until when. The others sleep
// after their message. The courier is upgraded, and a further message for each shut partner is handed in.
func waitUpgrade(p *play) {
	const all, shut = 100, 12
	var partners []*shutPartner
	var list []instance
	for n := 1; n <= all; n++ {
		s := &shutPartner{}
		s.endpoint = p.newEndpoint("partner-"+strconv.Itoa(n), n, func(*incoming) (int, map[string]string) {
			if left := s.shutUntil - p.now(); left > 0 {
				return 429, map[string]string{"X-RateLimit-Wait-Ms": strconv.Itoa(int(left) + 1)}
			}
			return 200, nil
		})
		partners, list = append(partners, s), append(list, s.entry())
	}
	f := p.newPlatform(list)
	idle := p.writeJSON("idle.json", object{"sleep_after_s": 1, "memory_kb": 16})
	c := p.newCourier("n0", f.addr, settings(1, 0), "SNOWJUNCTION_IDLE="+idle)
	c.config["console"] = p.freeAddr()
	c.start()
	closed, others := partners[all-shut:], partners[:all-shut]
	opens := p.now() + 12000
	for _, s := range closed {
		s.shutUntil = opens
		p.handInUntilTaken(c, message{id: fmt.Sprintf("held-%d", s.dest), class: "order", key: uint64(s.dest), dest: s.dest, time: 12 * time.Second, token: fmt.Sprintf("t-%d", s.dest), body: "x"}, 5)
	}
	for _, s := range others {
		p.handInUntilTaken(c, message{id: fmt.Sprintf("once-%d", s.dest), class: "status", dest: s.dest, time: 8 * time.Second, body: "x"}, 5)
	}
	time.Sleep(4 * time.Second) // the others sleep
	if p.trouble {
		n := c.upgrade()
		n.start()
		time.Sleep(300 * time.Millisecond)
		c.signal(15)
		c = n
	}
	time.Sleep(2 * time.Second)
	for _, s := range closed {
		p.handInUntilTaken(c, message{id: fmt.Sprintf("more-%d", s.dest), class: "order", key: uint64(s.dest), dest: s.dest, time: 12 * time.Second, token: fmt.Sprintf("u-%d", s.dest), body: "x"}, 5)
	}
	time.Sleep(time.Duration(opens-p.now())*time.Millisecond + 2*time.Second)
	for _, s := range closed {
		told := 0.0
		for _, call := range s.received() {
			if told > 0 && call.began > told+150 && call.began < opens {
				p.breach("%s had told a wait until %.1f at %.1f; call %s began at %.1f", s.name, opens, told, call.id, call.began)
			}
			if call.status == 429 && told == 0 {
				told = call.over
			}
		}
	}
}
