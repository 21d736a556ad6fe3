// Package skeleton creates the folder of a new plug-in, with a working example and its samples.
package skeleton

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

const manifestTemplate = `{
  "name": "NAME",
  "version": "0.1.0",
  "protocol": 1,
  "about": "Reads the retry-after delay from a partner-specific header.",
  "engine": "starlark",
  "code": "plugin.star",
  "hooks": ["read"],
  "sees": {"destinations": [], "classes": [], "tenants": []},
  "budget": {"time_ms": 10, "steps": 200000, "memory_mb": 16, "body_bytes": 4096}
}
`

const scriptTemplate = `# NAME: interprets answers. docs/plugins.md describes the protocol.

def read(call):
    """Retry-Later is this partner's header for the retry-after delay, in seconds."""
    hint = call.headers.get("retry-later")
    if hint == None or not hint.isdigit():
        return None
    return {"wait_ms": int(hint) * 1000}
`

const sampleWithDelay = `{
  "hook": "read",
  "call": {"id": "m1", "class_name": "status", "tenant": "town", "destination": 7, "status": 503,
           "headers": {"retry-later": "2"}},
  "want": {"wait_ms": 2000}
}
`

const sampleWithoutDelay = `{
  "hook": "read",
  "call": {"id": "m2", "class_name": "status", "tenant": "town", "destination": 7, "status": 503, "headers": {}},
  "want": {}
}
`

var validName = regexp.MustCompile("^[a-z][a-z0-9-]{0,31}$")

// Write creates the folder dir with a plug-in of the same name. It does not overwrite files.
func Write(dir string) error {
	base := filepath.Base(filepath.Clean(dir))
	if !validName.MatchString(base) {
		return fmt.Errorf("invalid plug-in name %q: expected lower-case letters, digits and '-', starting with a letter", base)
	}
	if err := os.MkdirAll(filepath.Join(dir, "samples"), 0o755); err != nil {
		return err
	}
	for file, text := range map[string]string{
		"manifest.json": manifestTemplate, "plugin.star": scriptTemplate, "samples/told.json": sampleWithDelay, "samples/silent.json": sampleWithoutDelay,
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
