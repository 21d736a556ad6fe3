// Package skeleton writes a new plug-in that passes its own samples.
package skeleton

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

const manifest = `{
  "name": "NAME",
  "version": "0.1.0",
  "protocol": 1,
  "about": "Reads the wait that a partner tells in a header of its own.",
  "engine": "starlark",
  "code": "plugin.star",
  "hooks": ["read"],
  "sees": {"destinations": [], "classes": [], "tenants": []},
  "budget": {"time_ms": 10, "steps": 200000, "memory_mb": 16, "body_bytes": 4096}
}
`

const code = `# NAME: what the plug-in makes of answers. docs/plugins.md has the protocol.

def read(call):
    """Retry-Later names seconds: they are this partner's own wait hint."""
    hint = call.headers.get("retry-later")
    if hint == None or not hint.isdigit():
        return None
    return {"wait_ms": int(hint) * 1000}
`

const told = `{
  "hook": "read",
  "call": {"id": "m1", "class_name": "status", "tenant": "town", "destination": 7, "status": 503,
           "headers": {"retry-later": "2"}},
  "want": {"wait_ms": 2000}
}
`

const silent = `{
  "hook": "read",
  "call": {"id": "m2", "class_name": "status", "tenant": "town", "destination": 7, "status": 503, "headers": {}},
  "want": {}
}
`

var name = regexp.MustCompile("^[a-z][a-z0-9-]{0,31}$")

// Write makes a folder with a plug-in of its name. It overwrites nothing.
func Write(dir string) error {
	base := filepath.Base(filepath.Clean(dir))
	if !name.MatchString(base) {
		return fmt.Errorf("%q is no name for a plug-in: small letters, digits and '-' are wanted, a letter first", base)
	}
	if err := os.MkdirAll(filepath.Join(dir, "samples"), 0o755); err != nil {
		return err
	}
	for file, text := range map[string]string{
		"manifest.json": manifest, "plugin.star": code, "samples/told.json": told, "samples/silent.json": silent,
	} {
		f, err := os.OpenFile(filepath.Join(dir, file), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return err
		}
		_, err = f.WriteString(strings.ReplaceAll(text, "NAME", base))
		if err2 := f.Close(); err == nil {
			err = err2
		}
		if err != nil {
			return err
		}
	}
	return nil
}
