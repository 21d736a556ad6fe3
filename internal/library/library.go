// Package library loads JSON documents by name: documents embedded in the program, or files.
package library

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Set holds the embedded JSON documents of one kind.
type Set struct {
	FS   fs.FS  // has the documents in its folder "library"
	Kind string // name of the kind of document in error messages
}

// Names returns the names of the embedded documents in alphabetical order.
func (s Set) Names() (names []string) {
	paths, _ := fs.Glob(s.FS, "library/*.json") // no error is possible: the pattern is valid
	for _, p := range paths {
		names = append(names, strings.TrimSuffix(filepath.Base(p), ".json"))
	}
	return names
}

// Read reads the embedded document with the given name, or else the file at that path. A relative
// path is resolved against the folder from; empty means the working directory. Read also returns the
// folder against which paths in the document are resolved: the file's own folder, or from for an
// embedded document.
func (s Set) Read(name, baseFolder string) (text []byte, folder string, err error) {
	if text, err = fs.ReadFile(s.FS, "library/"+name+".json"); err == nil {
		return text, baseFolder, nil
	}
	path := name
	if !filepath.IsAbs(path) {
		path = filepath.Join(baseFolder, path)
	}
	if text, err = os.ReadFile(path); err != nil {
		return nil, "", fmt.Errorf("no %s %s: valid names are %s, or the path of a file", s.Kind, name, strings.Join(s.Names(), ", "))
	}
	return text, filepath.Dir(path), nil
}
