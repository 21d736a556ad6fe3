// Package schema contains the JSON Schemas of the operator files and validates files against them.
// It does no I/O.
//
// The schemas are draft 2020-12 (https://json-schema.org), checked by santhosh-tekuri/jsonschema.
// They are compiled for each check (at start, at SIGHUP and in the check command) and not kept in
// memory.
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

// Names returns the names of all schemas in alphabetical order.
func Names() []string {
	var names []string
	entries, _ := files.ReadDir(".")
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".schema.json"))
	}
	return names
}

// Text returns the JSON Schema of that name.
func Text(name string) ([]byte, error) {
	b, err := files.ReadFile(name + ".schema.json")
	if err != nil {
		return nil, fmt.Errorf("no schema named %q", name)
	}
	return b, nil
}

// Mistakes lists the violations in a file, one line each, starting with the JSON pointer of the
// place.
type Mistakes []string

// Error joins the lines.
func (m Mistakes) Error() string { return strings.Join(m, "; ") }

// Check validates text against the schema of that name. Its error is of type Mistakes if text is
// JSON that violates the schema.
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
		collectMistakes(wrong, &m)
		slices.Sort(m)
		return slices.Compact(m)
	} else if err != nil {
		return err
	}
	return nil
}

var english = message.NewPrinter(language.English)

// collectMistakes appends the innermost validation errors; the outer ones only lead to them.
func collectMistakes(e *jsonschema.ValidationError, mistakes *Mistakes) {
	if len(e.Causes) == 0 {
		at := ""
		for _, step := range e.InstanceLocation {
			at += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(step)
		}
		if at == "" {
			at = "/"
		}
		*mistakes = append(*mistakes, at+": "+e.ErrorKind.LocalizedString(english))
		return
	}
	for _, cause := range e.Causes {
		collectMistakes(cause, mistakes)
	}
}
