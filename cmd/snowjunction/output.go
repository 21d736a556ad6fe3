package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
)

// printNames prints a table of names with their descriptions.
func printNames(names []string, describe func(name string) (string, error)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, name := range names {
		text, err := describe(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\n", name, text)
	}
	return w.Flush()
}

// writeJSON writes v as indented JSON to a file, or to standard output if the path is "-". It does
// nothing if the path is empty.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// newProgressLine returns a function that replaces the current line of standard error by a progress
// message. The function does nothing unless standard error is a terminal.
func newProgressLine() func(format string, args ...any) {
	if i, err := os.Stderr.Stat(); err != nil || i.Mode()&os.ModeCharDevice == 0 {
		return func(string, ...any) {}
	}
	return func(format string, args ...any) { fmt.Fprintf(os.Stderr, "\r\x1b[K"+format, args...) }
}
