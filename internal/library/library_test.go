package library

import (
	"os"
	"path/filepath"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Embedded documents take precedence over files; paths in a file are resolved against its folder.
func TestRead(t *testing.T) {
	s := Set{fstest.MapFS{"library/b.json": {Data: []byte("1")}, "library/a.json": {Data: []byte("2")}, "other.json": {}}, "tale"}
	assert.Equal(t, []string{"a", "b"}, s.Names())
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "c"), []byte("3"), 0o600))
	for _, tc := range []struct{ name, from, text, folder string }{
		{"a", "x", "2", "x"}, {"c", dir, "3", dir}, {filepath.Join(dir, "c"), "x", "3", dir},
	} {
		text, folder, err := s.Read(tc.name, tc.from)
		require.NoError(t, err)
		assert.Equal(t, [2]string{tc.text, tc.folder}, [2]string{string(text), folder})
	}
	_, _, err := s.Read("d", dir)
	assert.EqualError(t, err, "no tale d: valid names are a, b, or the path of a file")
}
