// Package hook runs plug-ins: Starlark scripts that look at each message
// before it is admitted. A script defines
//
//	def admit(flow):
//
// which gets the message's fields and returns None to let it pass, or the
// number of milliseconds after which its client may come back, for a fixed
// response. A script can reach nothing but what it is given.
package hook

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"snowjunction/internal/store"
)

const (
	stepsMost = 50_000    // of one call, and of reading a script
	afterMost = time.Hour // longer is taken for a mistake
)

// Hooks are the scripts of a folder, run in the order of their names.
type Hooks struct {
	log     *slog.Logger
	scripts []script
	Failed  uint64 // calls that ended in an error or ran over their steps
}

type script struct {
	name  string
	admit *starlark.Function
}

// Load reads the scripts, *.star, of a folder.
func Load(dir string, log *slog.Logger) (*Hooks, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.star"))
	if err != nil {
		return nil, fmt.Errorf("plug-ins: %w", err)
	}
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("plug-ins: %w", err)
	}
	slices.Sort(names)
	h := &Hooks{log: log}
	for _, name := range names {
		globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, thread(name, log), name, nil, nil)
		if err != nil {
			return nil, fmt.Errorf("plug-in: %w", err)
		}
		admit, ok := globals["admit"].(*starlark.Function)
		if !ok || admit.NumParams() != 1 {
			return nil, fmt.Errorf("plug-in %s: it must define admit(flow)", name)
		}
		globals.Freeze()
		h.scripts = append(h.scripts, script{filepath.Base(name), admit})
	}
	return h, nil
}

func thread(name string, log *slog.Logger) *starlark.Thread {
	t := &starlark.Thread{Name: name, Print: func(_ *starlark.Thread, text string) {
		log.Info("plug-in prints", "script", filepath.Base(name), "text", text)
	}}
	t.SetMaxExecutionSteps(stepsMost)
	return t
}

// Admit asks the scripts in turn, up to the first that gives a fixed response.
// One that fails is logged and counted, and lets the message pass.
func (h *Hooks) Admit(m *store.Message, left time.Duration) (pass bool, after time.Duration) {
	var flow *starlarkstruct.Struct
	for _, s := range h.scripts {
		if flow == nil {
			flow = fields(m, left)
		}
		v, err := starlark.Call(thread(s.name, h.log), s.admit, starlark.Tuple{flow}, nil)
		if err == nil {
			pass, after, err = verdict(v)
		}
		if err != nil {
			h.Failed++
			h.log.Warn("plug-in failed, the message passes", "script", s.name, "id", m.ID, "err", err)
			continue
		}
		if !pass {
			return false, after
		}
	}
	return true, 0
}

func verdict(v starlark.Value) (pass bool, after time.Duration, err error) {
	if v == starlark.None {
		return true, 0, nil
	}
	ms, err := starlark.AsInt32(v)
	after = time.Duration(ms) * time.Millisecond
	if err != nil || after < 0 || after > afterMost {
		return true, 0, fmt.Errorf("admit returned %s: None or a number of milliseconds is wanted", v)
	}
	return false, after, nil
}

func fields(m *store.Message, left time.Duration) *starlarkstruct.Struct {
	return starlarkstruct.FromStringDict(starlarkstruct.Default, starlark.StringDict{
		"id":              starlark.String(m.ID),
		"idempotency_key": starlark.String(m.IdempotencyKey),
		"key":             starlark.String(strconv.FormatUint(m.Key, 16)),
		"class_name":      starlark.String(m.Class),
		"tenant":          starlark.String(m.Tenant),
		"destination":     starlark.MakeUint64(uint64(m.Destination)),
		"left_ms":         starlark.MakeInt64(left.Milliseconds()),
		"again":           starlark.Bool(m.Again),
		"body":            starlark.Bytes(m.Body),
	})
}
