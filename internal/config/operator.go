package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/valyala/fastjson"

	"snowjunction/internal/schema"
)

// operatorFile reads an operator file and holds it against its schema; what names
// the file in errors. One that is not there says nothing.
func operatorFile(path, what string) (*fastjson.Value, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		b, err = []byte("{}"), nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the file of %s: %w", what, err)
	}
	if err := schema.Check(what, b); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

// beside is a path that an operator file gives: it starts from the file's folder.
func beside(path string, v *fastjson.Value, key string) string {
	if s := text(v, key); s != "" && !filepath.IsAbs(s) {
		return filepath.Join(filepath.Dir(path), s)
	}
	return text(v, key)
}
