package main

import (
	"os"
	"path/filepath"
	"time"
)

func init() { cases["reload-in-upgrade"] = reloadInUpgrade }

// reloadInUpgrade: a new configuration moves discovery while an upgrade's new process still loads
// its plug-in; the running process is sent SIGHUP.
func reloadInUpgrade(g *rig) {
	m := g.newMoves()
	folder, plugins := filepath.Join(g.tmp, "plugins"), filepath.Join(g.tmp, "plugins.json")
	for _, from := range []string{filepath.Join("example", "plugins-wasm", "hints"), filepath.Join("review", "bin", "hints")} {
		g.must(os.CopyFS(filepath.Join(folder, "hints"), os.DirFS(filepath.Join(g.root, from))))
	}
	g.writeJSON(plugins, map[string]any{"folder": folder})
	consoles := []string{g.freeAddr(), g.freeAddr()}
	began := time.Now()
	old := m.courier("old", consoles[0], "SNOWJUNCTION_PLUGINS="+plugins)
	g.need(g.waitYes(consoles[0], 30*time.Second), "the courier is not ready")
	took := time.Since(began)
	g.rec.f("the first start took %v", took.Round(time.Millisecond))
	time.Sleep(2 * time.Second)
	m.send("before", 1, 5)

	// An upgrade begins; halfway through its start, discovery moves.
	if g.trouble {
		m.courier("new", consoles[1], "SNOWJUNCTION_PLUGINS="+plugins)
		time.Sleep(took / 2)
	}
	m.move(old)
	if g.trouble {
		g.need(g.waitYes(consoles[1], 30*time.Second), "the new process is not ready")
		old.signal(15)
	}
	time.Sleep(8 * time.Second)
	m.shutTwo()
}
