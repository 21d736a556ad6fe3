package engine

import (
	"context"
	"encoding/base64"
	"fmt"
	"strings"

	starjson "go.starlark.net/lib/json"
	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"snowjunction/internal/plugin/manifest"
)

// script is a Starlark script. It defines a function for each hook, which takes the
// call and returns None or a dict.
type script struct {
	manifest *manifest.Manifest
	host     Host
	hooks    map[manifest.Hook]*starlark.Function
}

func openStarlark(m *manifest.Manifest, h Host) (Engine, error) {
	s := &script{manifest: m, host: h, hooks: map[manifest.Hook]*starlark.Function{}}
	predeclared := starlark.StringDict{
		"json": starjson.Module,
		"recall": starlark.NewBuiltin("recall", func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			var key string
			if err := starlark.UnpackPositionalArgs(b.Name(), args, kwargs, 1, &key); err != nil {
				return nil, err
			}
			v, ok := h.Get(key)
			if !ok {
				return starlark.None, nil
			}
			return starlark.String(v), nil
		}),
		"keep": starlark.NewBuiltin("keep", func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			var key, value string
			if err := starlark.UnpackPositionalArgs(b.Name(), args, kwargs, 2, &key, &value); err != nil {
				return nil, err
			}
			return starlark.Bool(h.Set(key, value)), nil
		}),
	}
	thread := s.newThread(context.Background())
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, thread, m.Code, m.Source, predeclared)
	if err != nil {
		return nil, s.callError(context.Background(), err)
	}
	globals.Freeze()
	for _, hook := range m.Hooks {
		f, ok := globals[string(hook)].(*starlark.Function)
		if !ok || f.NumParams() != 1 {
			return nil, fmt.Errorf("%s: the script must define %s(call)", m.Code, hook)
		}
		s.hooks[hook] = f
	}
	return s, nil
}

// newThread returns a thread with the step limit of the budget, which is cancelled with ctx.
func (s *script) newThread(ctx context.Context) *starlark.Thread {
	t := &starlark.Thread{Name: s.manifest.Name, Print: func(_ *starlark.Thread, text string) { s.host.Log(text) }}
	t.SetMaxExecutionSteps(uint64(s.manifest.Budget.Steps))
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { t.Cancel("time") })
		t.SetLocal("stop", stop)
	}
	return t
}

// callError converts an error of the interpreter to one of the errors of package engine.
func (s *script) callError(ctx context.Context, err error) error {
	text := err.Error()
	switch {
	case ctx.Err() != nil:
		return ErrTimeLimit
	case strings.Contains(text, "too many steps"):
		return ErrStepLimit
	}
	if e, ok := err.(*starlark.EvalError); ok {
		text = e.Msg
	}
	return fmt.Errorf("%w: %s", ErrTrap, text)
}

// Call implements Engine.
func (s *script) Call(ctx context.Context, h manifest.Hook, call []byte) (out []byte, err error) {
	f := s.hooks[h]
	if f == nil {
		return nil, fmt.Errorf("%w: no hook %s", ErrInvalidAnswer, h)
	}
	t := s.newThread(ctx)
	defer func() {
		if stop, ok := t.Local("stop").(func() bool); ok {
			stop()
		}
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrTrap, r)
		}
	}()
	arg, err := starlark.Call(t, starjson.Module.Members["decode"], starlark.Tuple{starlark.String(call)}, nil)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	v, err := starlark.Call(t, f, starlark.Tuple{callStruct(arg)}, nil)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	switch v := v.(type) {
	case starlark.NoneType:
		return []byte("{}"), nil
	case *starlark.Dict:
		if b, ok, _ := v.Get(starlark.String("body")); ok {
			if raw, ok := b.(starlark.Bytes); ok {
				text := starlark.String(base64.StdEncoding.EncodeToString([]byte(raw)))
				if err := v.SetKey(starlark.String("body"), text); err != nil {
					return nil, fmt.Errorf("%w: %v", ErrInvalidAnswer, err)
				}
			}
		}
		text, err := starlark.Call(t, starjson.Module.Members["encode"], starlark.Tuple{v}, nil)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrInvalidAnswer, err)
		}
		if s, _ := starlark.AsString(text); len(s) <= maxAnswerBytes {
			return []byte(s), nil
		}
		return nil, fmt.Errorf("%w: over %d bytes", ErrInvalidAnswer, maxAnswerBytes)
	}
	return nil, fmt.Errorf("%w: %s returned a %s instead of None or a dict", ErrInvalidAnswer, h, v.Type())
}

// callStruct converts the call to a struct, with its body decoded to bytes.
func callStruct(v starlark.Value) starlark.Value {
	d, ok := v.(*starlark.Dict)
	if !ok {
		return v
	}
	members := starlark.StringDict{}
	for _, kv := range d.Items() {
		key, _ := starlark.AsString(kv[0])
		members[key] = kv[1]
		if text, ok := starlark.AsString(kv[1]); ok && key == "body" {
			if raw, err := base64.StdEncoding.DecodeString(text); err == nil {
				members[key] = starlark.Bytes(raw)
			}
		} else if ok && key == "answer" {
			if raw, err := base64.StdEncoding.DecodeString(text); err == nil {
				members["answer_text"] = starlark.String(raw)
			}
		}
	}
	return starlarkstruct.FromStringDict(starlarkstruct.Default, members)
}

// Close implements Engine.
func (s *script) Close() {}
