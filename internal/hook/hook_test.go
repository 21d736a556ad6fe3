package hook

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/store"
)

func scripts(t *testing.T, sources ...string) (*Hooks, *bytes.Buffer, error) {
	dir, log := t.TempDir(), &bytes.Buffer{}
	for i, s := range sources {
		name := filepath.Join(dir, string(rune('a'+i))+".star")
		require.NoError(t, os.WriteFile(name, []byte(s), 0o600))
	}
	h, err := Load(dir, slog.New(slog.NewTextHandler(log, nil)))
	return h, log, err
}

func TestAdmit(t *testing.T) {
	for name, tc := range map[string]struct {
		sources []string
		pass    bool
		after   time.Duration
		failed  uint64
		log     string
	}{
		"none":     {nil, true, 0, 0, ""},
		"passes":   {[]string{"def admit(flow):\n  return None"}, true, 0, 0, ""},
		"refuses":  {[]string{"def admit(flow):\n  if flow.tenant == 'town' and flow.destination == 7: return 250"}, false, 250 * time.Millisecond, 0, ""},
		"at once":  {[]string{"def admit(flow): return 0"}, false, 0, 0, ""},
		"the body": {[]string{"def admit(flow):\n  return 5 if flow.body == b'hi' and flow.left_ms == 900 else None"}, false, 5 * time.Millisecond, 0, ""},
		"second":   {[]string{"def admit(flow): return None", "def admit(flow): return 9"}, false, 9 * time.Millisecond, 0, ""},
		"error":    {[]string{"def admit(flow): return flow.nothing", "def admit(flow): return 9"}, false, 9 * time.Millisecond, 1, "nothing"},
		"overrun":  {[]string{"def admit(flow):\n  for i in range(1000000000): pass"}, true, 0, 1, "too many steps"},
		"nonsense": {[]string{"def admit(flow): return 'x'"}, true, 0, 1, "is wanted"},
		"negative": {[]string{"def admit(flow): return -1"}, true, 0, 1, "is wanted"},
	} {
		h, log, err := scripts(t, tc.sources...)
		require.NoError(t, err, name)
		pass, after := h.Admit(&store.Message{ID: "m", Tenant: "town", Destination: 7, Body: []byte("hi")}, 900*time.Millisecond)
		assert.Equal(t, tc.pass, pass, name)
		assert.Equal(t, tc.after, after, name)
		assert.Equal(t, tc.failed, h.Failed, name)
		assert.Contains(t, log.String(), tc.log, name)
	}
}

func TestLoadErrors(t *testing.T) {
	for source, want := range map[string]string{
		"def admit(":                       "got end of file",
		"x = 1":                            "must define admit(flow)",
		"def admit(a, b): pass":            "must define admit(flow)",
		"open('/etc/passwd')":              "undefined: open",
		"load('os.star', 'x')":             "load not implemented",
		"x = [i for i in range(10000000)]": "too many steps",
	} {
		_, _, err := scripts(t, source)
		assert.ErrorContains(t, err, want, source)
	}
	_, err := Load(filepath.Join(t.TempDir(), "none"), slog.Default())
	assert.Error(t, err)
}
