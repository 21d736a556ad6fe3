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

// module is a WebAssembly module that implements the plug-in protocol. It exports
// its memory, alloc(size) -> address, and call_HOOK(address, size) -> address<<32 |
// size for each hook. It may import from "snowjunction": log(address, size),
// recall(key, size, to, most) -> size or -1, keep(key, size, value, size) -> 1
// or 0. WASI is provided only as far as the start-up of a language runtime needs it:
// constant clocks, no files, no arguments, and output that is discarded.
type module struct {
	manifest     *manifest.Manifest
	host         Host
	startTimeout time.Duration // limit for creating an instance
	runtime      wazero.Runtime
	compiled     wazero.CompiledModule
	instance     api.Module // nil if it has to be created again
}

func openWasm(m *manifest.Manifest, h Host, startTimeout time.Duration) (Engine, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	w := &module{manifest: m, host: h, startTimeout: startTimeout}
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
		NewFunctionBuilder().WithFunc(w.getValue).Export("recall").
		NewFunctionBuilder().WithFunc(w.setValue).Export("keep").
		Instantiate(ctx)
	if err != nil {
		return fail(err)
	}
	if w.compiled, err = w.runtime.CompileModule(ctx, m.Source); err != nil {
		return fail(err)
	}
	exports := w.compiled.ExportedFunctions()
	names := []string{"alloc"}
	for _, hook := range m.Hooks {
		names = append(names, "call_"+string(hook))
	}
	for _, name := range names {
		if exports[name] == nil {
			return fail(fmt.Errorf("the module must export %s", name))
		}
	}
	if err := w.instantiate(ctx); err != nil {
		return fail(err)
	}
	return w, nil
}

// instantiate creates a new instance. The memory of an earlier instance is lost.
func (w *module) instantiate(ctx context.Context) (err error) {
	w.instance, err = w.runtime.InstantiateModule(ctx, w.compiled, wazero.NewModuleConfig().
		WithName("").WithStartFunctions("_initialize"))
	return err
}

// Call implements Engine.
func (w *module) Call(ctx context.Context, h manifest.Hook, call []byte) (out []byte, err error) {
	if w.instance == nil {
		// Creating the instance does not count against the time limit of the call.
		startCtx, cancel := context.WithTimeout(context.Background(), w.startTimeout)
		err := w.instantiate(startCtx)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrTrap, err)
		}
	}
	defer func() {
		if err != nil { // the state of the instance is unknown after an error
			_ = w.instance.Close(context.Background())
			w.instance = nil
		}
	}()
	failed := func(err error) ([]byte, error) {
		if ctx.Err() != nil {
			return nil, ErrTimeLimit
		}
		return nil, fmt.Errorf("%w: %.200s", ErrTrap, err)
	}
	results, err := w.instance.ExportedFunction("alloc").Call(ctx, uint64(len(call)))
	if err != nil {
		return failed(err)
	}
	address := uint32(results[0])
	if !w.instance.Memory().Write(address, call) {
		return nil, fmt.Errorf("%w: alloc returned an invalid address", ErrInvalidAnswer)
	}
	results, err = w.instance.ExportedFunction("call_"+string(h)).Call(ctx, uint64(address), uint64(len(call)))
	if err != nil {
		return failed(err)
	}
	size := uint32(results[0])
	if size > maxAnswerBytes {
		return nil, fmt.Errorf("%w: over %d bytes", ErrInvalidAnswer, maxAnswerBytes)
	}
	b, ok := w.instance.Memory().Read(uint32(results[0]>>32), size)
	if !ok {
		return nil, fmt.Errorf("%w: the answer is outside the module's memory", ErrInvalidAnswer)
	}
	if size == 0 {
		return []byte("{}"), nil
	}
	return append([]byte(nil), b...), nil
}

// Close implements Engine.
func (w *module) Close() { _ = w.runtime.Close(context.Background()) }

// readString reads a string of at most maxBytes bytes from the memory of the module.
func readString(m api.Module, address, size uint32, maxBytes int) (string, bool) {
	if size > uint32(maxBytes) {
		return "", false
	}
	b, ok := m.Memory().Read(address, size)
	return string(b), ok
}

// log is the host function "log".
func (w *module) log(_ context.Context, m api.Module, address, size uint32) {
	if s, ok := readString(m, address, size, MaxValueBytes); ok {
		w.host.Log(s)
	}
}

// getValue is the host function "recall": it copies the value of a key to the address to.
func (w *module) getValue(_ context.Context, m api.Module, key, keySize, to, maxBytes uint32) int32 {
	k, ok := readString(m, key, keySize, MaxKeyBytes)
	v, exists := w.host.Get(k)
	if !ok || !exists || uint32(len(v)) > maxBytes || !m.Memory().WriteString(to, v) {
		return -1
	}
	return int32(len(v))
}

// setValue is the host function "keep": it stores a value.
func (w *module) setValue(_ context.Context, m api.Module, key, keySize, value, valueSize uint32) int32 {
	k, ok := readString(m, key, keySize, MaxKeyBytes)
	v, ok2 := readString(m, value, valueSize, MaxValueBytes)
	if ok && ok2 && w.host.Set(k, v) {
		return 1
	}
	return 0
}
