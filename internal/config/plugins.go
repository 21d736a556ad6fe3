package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/valyala/fastjson"

	"snowjunction/internal/schema"
)

// Plugins is the plug-ins' operator file.
type Plugins struct {
	Folder string // holds a folder for each; "": none
	Admin  string // path of the admin socket; "": none
}

// LoadPlugins reads the plug-ins' file. Paths in it start from its folder. A file
// that is not there means none.
func LoadPlugins(path string) (*Plugins, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return &Plugins{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the plug-ins' file: %w", err)
	}
	if err := schema.Check("plugins", b); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	beside := func(key string) string {
		if s := text(v, key); s != "" && !filepath.IsAbs(s) {
			return filepath.Join(filepath.Dir(path), s)
		}
		return text(v, key)
	}
	return &Plugins{Folder: beside("folder"), Admin: beside("admin")}, nil
}
