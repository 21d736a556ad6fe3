package main

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["looping-plugin"] = loopingPlugin }

// plugin writes the folder of a plug-in with one hook, whose code loads at once or loops forever
// while it is loaded.
func (g *rig) plugin(folder string, loops bool) {
	initialize := []byte{0x02, 0x00, 0x0b} // no locals, end
	if loops {
		initialize = []byte{0x07, 0x00, 0x03, 0x40, 0x0c, 0x00, 0x0b, 0x0b} // loop, br 0, end, end
	}
	section := func(id byte, b []byte) []byte { return append([]byte{id, byte(len(b))}, b...) }
	export := func(name string, kind, index byte) []byte {
		return append(append([]byte{byte(len(name))}, name...), kind, index)
	}
	exports := []byte{4}
	exports = append(exports, export("memory", 2, 0)...)
	exports = append(exports, export("_initialize", 0, 0)...)
	exports = append(exports, export("alloc", 0, 1)...)
	exports = append(exports, export("call_ended", 0, 2)...)
	code := append([]byte{3}, initialize...)
	code = append(code, 0x04, 0x00, 0x41, 0x08, 0x0b) // alloc: i32.const 8
	code = append(code, 0x04, 0x00, 0x42, 0x00, 0x0b) // call_ended: i64.const 0, which says nothing
	module := []byte{0x00, 0x61, 0x73, 0x6d, 0x01, 0x00, 0x00, 0x00}
	module = append(module, section(1, []byte{3, 0x60, 0, 0, 0x60, 1, 0x7f, 1, 0x7f, 0x60, 2, 0x7f, 0x7f, 1, 0x7e})...)
	module = append(module, section(3, []byte{3, 0, 1, 2})...)
	module = append(module, section(5, []byte{1, 0, 1})...)
	module = append(module, section(7, exports)...)
	module = append(module, section(10, code)...)
	g.must(os.MkdirAll(folder, 0o700))
	g.must(os.WriteFile(filepath.Join(folder, "code.wasm"), module, 0o600))
	g.writeJSON(filepath.Join(folder, "manifest.json"), map[string]any{
		"name": "counts", "version": "1.0.0", "protocol": 1, "engine": "wasm", "code": "code.wasm", "hooks": []string{"ended"},
	})
}

// loopingPlugin: a plug-in that loops forever while it is loaded comes with one new configuration;
// the next one, some seconds later, moves discovery.
func loopingPlugin(g *rig) {
	m := g.newMoves()
	folder, plugins := filepath.Join(g.tmp, "plugins"), filepath.Join(g.tmp, "plugins.json")
	g.must(os.MkdirAll(folder, 0o700))
	g.writeJSON(plugins, map[string]any{"folder": folder})
	courier := m.courier("courier", g.freeAddr(), "SNOWJUNCTION_PLUGINS="+plugins)
	g.need(g.waitReady(m.listen, 30*time.Second), "the courier is not ready")
	time.Sleep(time.Second)
	m.send("before", 1, 5)

	// The first new configuration brings the plug-in.
	g.plugin(filepath.Join(folder, "counts"), g.trouble)
	courier.signal(syscall.SIGHUP)
	time.Sleep(3 * time.Second)
	m.send("loads", 1, 5)

	// The second one moves discovery.
	m.move(courier)
	time.Sleep(6 * time.Second)
	m.shutTwo()
}
