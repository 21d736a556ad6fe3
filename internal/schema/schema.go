// Package schema holds the JSON Schemas of the operator files and checks files
// against them. It does no I/O.
//
// The schemas are draft 2020-12 (https://json-schema.org), checked by
// santhosh-tekuri/jsonschema. Checking happens at start, at SIGHUP and in the
// check command; nothing of it stays in memory between.
package schema

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed *.schema.json
var files embed.FS

// Names are the schemas that there are, in order.
func Names() []string {
	var names []string
	entries, _ := files.ReadDir(".")
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".schema.json"))
	}
	return names
}

// Text is the schema of that name.
func Text(name string) ([]byte, error) {
	b, err := files.ReadFile(name + ".schema.json")
	if err != nil {
		return nil, fmt.Errorf("no schema named %q", name)
	}
	return b, nil
}

// Mistakes are what is wrong with a file: one line each, which begins with the
// JSON pointer of the place.
type Mistakes []string

// Error joins the lines.
func (m Mistakes) Error() string { return strings.Join(m, "; ") }

// Check holds text against the schema of that name. Its error is Mistakes
// where the text is JSON that the schema does not allow.
func Check(name string, text []byte) error {
	b, err := Text(name)
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("schema %s: %w", name, err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		return fmt.Errorf("schema %s: %w", name, err)
	}
	s, err := c.Compile(name)
	if err != nil {
		return fmt.Errorf("schema %s: %w", name, err)
	}
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	var wrong *jsonschema.ValidationError
	if err := s.Validate(v); errors.As(err, &wrong) {
		var m Mistakes
		collect(wrong, &m)
		slices.Sort(m)
		return slices.Compact(m)
	} else if err != nil {
		return err
	}
	return nil
}

var english = message.NewPrinter(language.English)

// collect gathers the innermost mistakes: the outer ones only lead to them.
func collect(e *jsonschema.ValidationError, m *Mistakes) {
	if len(e.Causes) == 0 {
		at := ""
		for _, step := range e.InstanceLocation {
			at += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(step)
		}
		if at == "" {
			at = "/"
		}
		*m = append(*m, at+": "+e.ErrorKind.LocalizedString(english))
		return
	}
	for _, cause := range e.Causes {
		collect(cause, m)
	}
}
