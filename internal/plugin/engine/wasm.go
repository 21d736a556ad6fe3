package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"snowjunction/internal/plugin/manifest"
)

// module is a WebAssembly module, by the plug-in protocol: it exports its
// memory, alloc(size) -> address, and call_HOOK(address, size) -> address<<32 |
// size for each hook. It may import from "snowjunction": log(address, size),
// recall(key, size, to, most) -> size or -1, keep(key, size, value, size) -> 1
// or 0. Of WASI it gets what a language's start-up needs: clocks that stand
// still, no files, no arguments, output that goes nowhere.
type module struct {
	m       *manifest.Manifest
	host    Host
	within  time.Duration // for an instance to be made
	runtime wazero.Runtime
	code    wazero.CompiledModule
	inst    api.Module // nil: to be made anew
}

func openWasm(m *manifest.Manifest, h Host, within time.Duration) (Engine, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	w := &module{m: m, host: h, within: within}
	w.runtime = wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().
		WithMemoryLimitPages(uint32(m.Budget.MemoryMB)*16).WithCloseOnContextDone(true))
	fail := func(err error) (Engine, error) {
		w.Close()
		return nil, fmt.Errorf("%s: %w", m.Code, err)
	}
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, w.runtime); err != nil {
		return fail(err)
	}
	_, err := w.runtime.NewHostModuleBuilder("snowjunction").
		NewFunctionBuilder().WithFunc(w.log).Export("log").
		NewFunctionBuilder().WithFunc(w.recall).Export("recall").
		NewFunctionBuilder().WithFunc(w.keep).Export("keep").
		Instantiate(ctx)
	if err != nil {
		return fail(err)
	}
	if w.code, err = w.runtime.CompileModule(ctx, m.Text); err != nil {
		return fail(err)
	}
	exports := w.code.ExportedFunctions()
	names := []string{"alloc"}
	for _, hook := range m.Hooks {
		names = append(names, "call_"+string(hook))
	}
	for _, name := range names {
		if exports[name] == nil {
			return fail(fmt.Errorf("it must export %s", name))
		}
	}
	if err := w.start(ctx); err != nil {
		return fail(err)
	}
	return w, nil
}

// start makes an instance: what an earlier one held is gone.
func (w *module) start(ctx context.Context) (err error) {
	w.inst, err = w.runtime.InstantiateModule(ctx, w.code, wazero.NewModuleConfig().
		WithName("").WithStartFunctions("_initialize"))
	return err
}

func (w *module) Call(ctx context.Context, h manifest.Hook, call []byte) (out []byte, err error) {
	if w.inst == nil {
		// What it takes to begin anew is not the call's fault.
		begin, cancel := context.WithTimeout(context.Background(), w.within)
		err := w.start(begin)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrTrap, err)
		}
	}
	defer func() {
		if err != nil { // it may be anything now
			_ = w.inst.Close(context.Background())
			w.inst = nil
		}
	}()
	failed := func(err error) ([]byte, error) {
		if ctx.Err() != nil {
			return nil, ErrTime
		}
		return nil, fmt.Errorf("%w: %.200s", ErrTrap, err)
	}
	r, err := w.inst.ExportedFunction("alloc").Call(ctx, uint64(len(call)))
	if err != nil {
		return failed(err)
	}
	at := uint32(r[0])
	if !w.inst.Memory().Write(at, call) {
		return nil, fmt.Errorf("%w: alloc returns no address", ErrForm)
	}
	r, err = w.inst.ExportedFunction("call_"+string(h)).Call(ctx, uint64(at), uint64(len(call)))
	if err != nil {
		return failed(err)
	}
	size := uint32(r[0])
	if size > answerMost {
		return nil, fmt.Errorf("%w: over %d bytes", ErrForm, answerMost)
	}
	b, ok := w.inst.Memory().Read(uint32(r[0]>>32), size)
	if !ok {
		return nil, fmt.Errorf("%w: the answer lies outside of its memory", ErrForm)
	}
	if size == 0 {
		return []byte("{}"), nil
	}
	return append([]byte(nil), b...), nil
}

func (w *module) Close() { _ = w.runtime.Close(context.Background()) }

func text(m api.Module, at, size uint32, most int) (string, bool) {
	if size > uint32(most) {
		return "", false
	}
	b, ok := m.Memory().Read(at, size)
	return string(b), ok
}

func (w *module) log(_ context.Context, m api.Module, at, size uint32) {
	if s, ok := text(m, at, size, ValueMost); ok {
		w.host.Log(s)
	}
}

func (w *module) recall(_ context.Context, m api.Module, key, keySize, to, most uint32) int32 {
	k, ok := text(m, key, keySize, KeyMost)
	v, has := w.host.Get(k)
	if !ok || !has || uint32(len(v)) > most || !m.Memory().WriteString(to, v) {
		return -1
	}
	return int32(len(v))
}

func (w *module) keep(_ context.Context, m api.Module, key, keySize, value, valueSize uint32) int32 {
	k, ok := text(m, key, keySize, KeyMost)
	v, ok2 := text(m, value, valueSize, ValueMost)
	if ok && ok2 && w.host.Set(k, v) {
		return 1
	}
	return 0
}
