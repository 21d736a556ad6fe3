package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/scenario"
)

// membersFile returns an operator file that divides partitions among the named couriers.
func membersFile(t *testing.T, partitions int, names ...string) []byte {
	var all []any
	for i, name := range names {
		all = append(all, map[string]any{"name": name, "addr": fmt.Sprintf("127.0.0.1:%d", i+1), "region": "r" + fmt.Sprint(i%2)})
	}
	b, err := json.Marshal(map[string]any{"enabled": true, "partitions": partitions, "members": all})
	require.NoError(t, err)
	return b
}

// SIGHUP applies changed members and logs settings that need a restart. If the file is invalid, the
// current members stay.
func TestMembersReloaded(t *testing.T) {
	c := scenario.NewCourier(t)
	path := filepath.Join(c.Dir(), "partitions.json")
	c.Env = append(c.Env, "SNOWJUNCTION_PARTITIONS="+path)
	write := func(b []byte) { require.NoError(t, os.WriteFile(path, b, 0o600)) }
	await := func(pattern string) {
		t.Helper()
		_, err := c.Await(pattern)
		require.NoError(t, err)
	}
	write(membersFile(t, 64, "n0", "n1"))
	require.NoError(t, c.Start())
	assert.Contains(t, c.Log(), "msg=partitions courier=n0 members=2 partitions=64 copies=1 own=64")
	require.NoError(t, c.Signal(syscall.SIGUSR1))
	await(`msg=counters .* partitions.owned=64 partitions.listed=64 partitions.wanted=[0-9]+ partitions.pins=0 partitions.unreached=0`)

	write(membersFile(t, 64, "n0", "n1", "n2", "n3"))
	c.Runner.Run(`courier wait hup`)
	await(`msg=partitions .*members=4 partitions=64 copies=1 own=[123]?[0-9]\n`)
	await(`configuration read again`)

	write(membersFile(t, 32, "n0", "n1"))
	c.Runner.Run(`courier wait hup`)
	await(`these wait for a restart.* values=\[partitions\]`)
	await(`configuration read again`)

	write(membersFile(t, 64, "n1", "n1"))
	c.Runner.Run(`courier wait hup`)
	await(`configuration not read again.*partitions.json: /members/1/name: .*n1.* is the name of /members/0 too`)

	write(membersFile(t, 64, "n1"))
	c.Runner.Run(`courier wait hup`)
	await(`no member of the partitions: it owns none and forwards all.* members=1`)
	await(`configuration read again`)
	assert.Equal(t, 2, strings.Count(c.Log(), "msg=partitions "), "no other change was applied")
}

// While partitions are disabled, nothing is logged about them. Enabling them needs a restart.
func TestPartitionsNeedRestart(t *testing.T) {
	c := scenario.NewCourier(t)
	path := filepath.Join(c.Dir(), "partitions.json")
	c.Env = append(c.Env, "SNOWJUNCTION_PARTITIONS="+path)
	require.NoError(t, c.Start())
	c.Runner.Run(`
		courier wait hup
		courier wait "configuration read again"
	`)
	require.NoError(t, c.Signal(syscall.SIGUSR1))
	_, err := c.Await(`msg=counters .*\n`)
	require.NoError(t, err)
	assert.NotContains(t, c.Log(), "partition")
	require.NoError(t, os.WriteFile(path, membersFile(t, 64, "n0"), 0o600))
	c.Runner.Run(`
		courier wait hup
		courier wait "values=[partitions]"
		courier wait "configuration read again"
	`)
	assert.NotContains(t, c.Log(), "msg=partitions")
}

// check prints the partition settings; start and check report a mistake in one line.
func TestPartitionsChecked(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "partitions.json")
	env := []string{"GW_CONFIG=../../example/config.json", "GW_NAME=n0", "GW_STATE=" + dir, "SNOWJUNCTION_PUSH=../../deploy/push.json",
		"SNOWJUNCTION_PARTITIONS=" + path}
	for _, tc := range []struct {
		text []byte
		code int
		want string
	}{
		{[]byte(`{"enabled": false}`), 0, "no mistakes\n"},
		{membersFile(t, 64, "n0", "n1"), 0, path + ": members=2 regions=2 partitions=64 copies=1; n0 owns 64\n"},
		{membersFile(t, 64, "a", "b", "c"), 0, path + ": members=3 regions=2 partitions=64 copies=1; n0 owns 0\nno mistakes\n"},
		{membersFile(t, 4096, "n0"), exitMistake, path + `: /partitions: 4096 is too large for so few members: "n0" would own 4096, over 1024` + "\n"},
		{[]byte(`{"enabled": true}`), exitMistake, path + ": /members: none, and /enabled is true\n"},
		{[]byte(`{"copies": 9, "colour": "red"}`), exitMistake, path + ": /copies: "},
	} {
		require.NoError(t, os.WriteFile(path, tc.text, 0o600))
		out, code := command(t, env, "check")
		assert.Equal(t, tc.code, code, out)
		assert.Contains(t, out, tc.want)
		if code != 0 {
			out, code := command(t, env)
			assert.Equal(t, exitFailed, code)
			assert.True(t, strings.HasPrefix(out, "snowjunction: "+path+": "), out)
			assert.Equal(t, 1, strings.Count(out, "\n"), "one line: %s", out)
		}
	}
}
