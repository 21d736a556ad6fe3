package main

import (
	"os"
	"syscall"
	"time"
)

func init() { cases["failed-upgrade"] = failedUpgrade }

// failedUpgrade: a new configuration moves discovery; later an upgrade begins, and its new process
// is killed while it takes over. The process that serves on has to keep to the new configuration.
func failedUpgrade(g *rig) {
	m := g.newMoves()
	consoles := []string{g.freeAddr(), g.freeAddr()}
	old := m.courier("old", consoles[0])
	g.need(g.waitReady(m.listen, 30*time.Second), "the courier is not ready")
	m.send("before", 1, 5)
	time.Sleep(time.Second)
	m.move(old)
	time.Sleep(6 * time.Second)
	m.send("moved", 1, 5)

	// An upgrade: the same command, configuration, state and clients' address.
	seen := old.lines()
	next := m.courier("new", consoles[1])
	if g.trouble && os.Getenv("KILL") == "late" { // after its yes, before the old one's SIGTERM
		g.need(g.waitYes(consoles[1], 6*time.Second), "the new process is not ready")
		next.signal(syscall.SIGKILL)
	} else if g.trouble {
		g.need(old.logged("handing over", seen, 6*time.Second), "no handover began")
		next.signal(syscall.SIGKILL)
	} else {
		g.need(g.waitYes(consoles[1], 6*time.Second), "the new process is not ready")
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(3 * time.Second)
	g.need(g.waitReady(m.listen, 10*time.Second), "nobody serves after the upgrade")
	time.Sleep(5 * time.Second)
	m.shutTwo()
}
