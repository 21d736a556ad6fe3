package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/valyala/fastjson"

	"snowjunction/internal/schema"
)

// readOperatorFile reads an operator file and validates it against the schema of that name, which
// also names the file in errors. A file that does not exist is read as an empty object.
func readOperatorFile(path, schemaName string) (*fastjson.Value, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		b, err = []byte("{}"), nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the operator file %s: %w", schemaName, err)
	}
	if err := schema.Check(schemaName, b); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

// resolvePath returns the path in field key of an operator file. A relative path is resolved
// against the file's folder.
func resolvePath(path string, v *fastjson.Value, key string) string {
	if s := stringField(v, key); s != "" && !filepath.IsAbs(s) {
		return filepath.Join(filepath.Dir(path), s)
	}
	return stringField(v, key)
}
