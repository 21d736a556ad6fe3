package manifest

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func writeFile(t *testing.T, path, text string) {
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

const validManifest = `{"name":"a","version":"1","protocol":1,"engine":"starlark","code":"p.star","hooks":["read"],"sees":{"destinations":[7]}}`

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "manifest.json"), validManifest)
	writeFile(t, filepath.Join(dir, "p.star"), "x")
	writeFile(t, filepath.Join(dir, "samples", "a.json"), `{"hook":"read","call":{},"want":{}}`)
	m, err := Load(dir)
	require.NoError(t, err)
	assert.Equal(t, Budget{DefaultTimeMs, DefaultSteps, DefaultMemoryMB, DefaultBodyBytes}, m.Budget)
	assert.Len(t, m.Samples, 1)
	assert.True(t, m.Sees.Matches(7, "order", "town"))
	assert.False(t, m.Sees.Matches(8, "order", "town"))
	assert.True(t, FlowFilter{}.Matches(8, "order", "town"))
	writeFile(t, filepath.Join(dir, "samples", "b.json"), `{"hook":"shape","call":{},"want":{}}`)
	_, err = Load(dir)
	assert.ErrorContains(t, err, `does not serve the hook "shape"`)
}

// Each invalid manifest results in an error that names the mistake.
func TestInvalidManifests(t *testing.T) {
	for text, want := range map[string]string{
		`{`: "not JSON",
		`{"name":"a","version":"1","protocol":2,"engine":"starlark","code":"p.star","hooks":["read"]}`:                       "/protocol",
		`{"name":"A b","version":"1","protocol":1,"engine":"starlark","code":"p.star","hooks":["read"]}`:                     "/name",
		`{"name":"a","version":"1","protocol":1,"engine":"starlark","code":"../p.star","hooks":["read"]}`:                    "/code",
		`{"name":"a","version":"1","protocol":1,"engine":"lua","code":"p","hooks":["read"]}`:                                 "/engine",
		`{"name":"a","version":"1","protocol":1,"engine":"wasm","code":"p.star","hooks":["end"]}`:                            "/hooks/0",
		`{"name":"a","version":"1","protocol":1,"engine":"wasm","code":"none","hooks":["read"]}`:                             "none",
		`{"name":"a","version":"1","protocol":1,"engine":"wasm","code":"p.star","hooks":["read"],"budget":{"time_ms":4000}}`: "/budget/time_ms",
	} {
		dir := t.TempDir()
		writeFile(t, filepath.Join(dir, "manifest.json"), text)
		writeFile(t, filepath.Join(dir, "p.star"), "x")
		_, err := Load(dir)
		assert.ErrorContains(t, err, want, text)
	}
	_, err := Load(t.TempDir())
	assert.ErrorContains(t, err, "manifest.json")
}

// Plug-ins are sorted by order, then by name. Duplicate names and invalid plug-ins are reported, and
// the valid ones are still returned.
func TestLoadAll(t *testing.T) {
	dir := t.TempDir()
	for name, order := range map[string]string{"b": "0", "c": "0", "a": "5"} {
		writeFile(t, filepath.Join(dir, name, "manifest.json"), `{"name":"`+name+`","version":"1","protocol":1,"engine":"starlark","code":"p.star","hooks":["read"],"order":`+order+`}`)
		writeFile(t, filepath.Join(dir, name, "p.star"), "x")
	}
	writeFile(t, filepath.Join(dir, "README"), "no plug-in")
	list, err := LoadAll(dir)
	require.NoError(t, err)
	var names []string
	for _, m := range list {
		names = append(names, m.Name)
	}
	assert.Equal(t, []string{"b", "c", "a"}, names)
	writeFile(t, filepath.Join(dir, "d", "manifest.json"), validManifest)
	writeFile(t, filepath.Join(dir, "d", "p.star"), "x")
	writeFile(t, filepath.Join(dir, "e", "manifest.json"), `{}`)
	list, err = LoadAll(dir)
	assert.Len(t, list, 3)
	assert.ErrorContains(t, err, "both contain a plug-in of this name")
	assert.ErrorContains(t, err, filepath.Join("e", "manifest.json"))
	_, err = LoadAll(filepath.Join(dir, "none"))
	assert.Error(t, err)
}
