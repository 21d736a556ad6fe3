package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

// lostSlack is the slack of the rule on lost messages: 300 ms after the time is up, and every limit
// is 50 ms longer.
const lostSlack = 350 * time.Millisecond

// moves is the setting of the cases in which a new configuration moves discovery: two discovery
// agents, two partners and one courier, which starts with the first agent.
type moves struct {
	*rig
	partners      *partners
	first, second *discovery
	listen        string
	config        string // path of the configuration
	env           []string
	client        *client
	all           []message
}

func (g *rig) newMoves() *moves {
	p := g.newPartners()
	list := []instance{ready("s-one", p.endpoint(g, "s-one"), 1), ready("s-two", p.endpoint(g, "s-two"), 2)}
	m := &moves{rig: g, partners: p, first: g.newDiscovery("first", 41, list), second: g.newDiscovery("second", 41, list), listen: g.freeAddr(), config: filepath.Join(g.tmp, "config.json")}
	m.env = []string{"GW_CONFIG=" + m.config, "GW_STATE=" + filepath.Join(g.tmp, "state"), "GW_NAME=n0"}
	m.client = &client{rec: g.rec, addr: m.listen}
	g.writeJSON(m.config, config(m.listen, m.first.addr, m.first.whole()))
	return m
}

// courier starts a process of the courier with a second address, and more variables.
func (m *moves) courier(name, console string, more ...string) *proc {
	return m.start(name, append(append([]string{"GW_CONSOLE=" + console}, more...), m.env...)...)
}

// move replaces the configuration by one with the second agent's address and sends SIGHUP. The first
// agent takes no new connections then, and closes the open ones after 1.5 s.
func (m *moves) move(to *proc) {
	m.writeJSON(m.config, config(m.listen, m.second.addr, m.second.whole()))
	to.signal(syscall.SIGHUP)
	m.first.leave()
}

// send hands n messages in, with 4 s each.
func (m *moves) send(name string, dest, n int) {
	for i := range n {
		m.all = append(m.all, m.client.add(fmt.Sprintf("%s%d", name, i), "status", dest, 4*time.Second))
		time.Sleep(100 * time.Millisecond)
	}
}

// shutTwo shuts partner two, which refuses all calls then, sends to both partners and checks that
// each message ends: what is not delivered is owed a notice.
func (m *moves) shutTwo() {
	m.rec.f("partner two is shut")
	m.partners.mu.Lock()
	m.partners.shut["s-two"] = true
	m.partners.mu.Unlock()
	m.client.close()
	for i := range 10 {
		m.send(fmt.Sprintf("one%d-", i), 1, 1)
		m.send(fmt.Sprintf("two%d-", i), 2, 1)
	}
	time.Sleep(5 * time.Second)
	taken, delivered, noticed := 0, 0, 0
	for _, x := range m.all {
		if x.answer == "" || x.answer[0] == '-' {
			continue
		}
		taken++
		if m.partners.delivered(x.id) {
			delivered++
			continue
		}
		if m.first.noticedInTime(x) || m.second.noticedInTime(x) {
			noticed++
			continue
		}
		m.breakRule("lost: %s was taken on, not delivered, and no notice came until %v after its time", x.id, lostSlack)
	}
	m.rec.f("taken on %d, delivered %d, ended by a notice in time %d", taken, delivered, noticed)
	if taken < len(m.all)/2 {
		panic(couldNotRun{fmt.Errorf("only %d of %d messages were taken on", taken, len(m.all))})
	}
}

// noticedInTime reports whether a notice ended the message in time.
func (d *discovery) noticedInTime(x message) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, told := d.notices[x.id]
	return told && !n.at.After(x.deadline.Add(lostSlack))
}

func (g *rig) need(ok bool, what string) {
	if !ok {
		panic(couldNotRun{fmt.Errorf("%s", what)})
	}
}
