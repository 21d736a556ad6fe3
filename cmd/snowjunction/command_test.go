package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/scenario"
)

// command runs the program with arguments and returns its output and exit code.
func command(t *testing.T, env []string, args ...string) (string, int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), scenario.RunAsCourierEnv+"=1"), env...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		require.IsType(t, &exec.ExitError{}, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func TestCommands(t *testing.T) {
	dir := t.TempDir()
	push := filepath.Join(dir, "push.json")
	require.NoError(t, os.WriteFile(push, []byte(`{"listen":7,"retain_s":"long"}`), 0o600))
	good := []string{"GW_CONFIG=../../example/config.json", "GW_STATE=" + dir, "SNOWJUNCTION_PUSH=../../deploy/push.json"}
	bad := append(good[:2:2], "SNOWJUNCTION_PUSH="+push)
	large := filepath.Join(dir, "directory.json")
	require.NoError(t, os.WriteFile(large, []byte(`{"cache_kb":1024}`), 0o600))
	full := append(good[:3:3], "SNOWJUNCTION_DIRECTORY="+large)
	for _, tc := range []struct {
		env  []string
		args []string
		code int
		want []string
	}{
		{nil, []string{"version"}, 0, []string{"snowjunction "}},
		{nil, []string{"--help"}, 0, []string{"Exit codes", "check", "GW_CONFIG"}},
		{nil, []string{"--bogus"}, exitUsage, []string{"unknown flag --bogus"}},
		{nil, []string{"measure", "start", "--starts=0"}, exitUsage, []string{"--starts: 0 is not from 1 to 1000\n"}},
		{nil, []string{"measure", "start", "--at-once=201"}, exitUsage, []string{"--at-once: 201 is not from 0 to 200\n"}},
		{nil, []string{"measure", "start", "--entries=65537"}, exitUsage, []string{"--entries: 65537 is not from 1 to 65536\n"}},
		{nil, []string{"measure", "start", "--disk-mb=0"}, exitUsage, []string{"--disk-mb: 0 is not from 1 to 1000\n"}},
		{nil, []string{"measure", "start", "--often"}, exitUsage, []string{"unknown flag --often"}},
		{nil, []string{"--log-level=loud"}, exitUsage, []string{"--log-level"}},
		{[]string{"GW_CONFIG="}, nil, exitFailed, []string{"GW_CONFIG is not set"}},
		{good, []string{"check"}, 0, []string{"no mistakes"}},
		{bad, []string{"check"}, exitMistake, []string{push + ": /listen: ", push + ": /retain_s: "}},
		{full, []string{"check"}, exitMistake, []string{large + ": /cache_kb, /generations, /learn_kb: "}},
		{full, nil, exitFailed, []string{"snowjunction: " + large + ": /cache_kb"}},
		{bad, nil, exitFailed, []string{"snowjunction: " + push + ": /listen: "}},
	} {
		out, code := command(t, tc.env, tc.args...)
		assert.Equal(t, tc.code, code, "%v: %s", tc.args, out)
		for _, want := range tc.want {
			assert.Contains(t, out, want, "%v", tc.args)
		}
	}
}

// The demo command exits with 0 only if every message has exactly one final result.
func TestDemo(t *testing.T) {
	out, code := command(t, nil, "demo", "--messages=120", "--over=2s")
	assert.Zero(t, code, out)
	assert.Contains(t, out, "every one taken on its one end")
}

// emulate, experiment and load run, and report wrong arguments with a plain message.
func TestEmulatorAndLoadCommands(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "e.json")
	require.NoError(t, os.WriteFile(file, []byte(`{
		"name": "e", "about": "", "scenario": "quiet", "with": {"seconds": 4}, "seeds": 2, "measures": ["g"],
		"axes": [{"name": "policy", "policies": ["module", "one-try"]}], "plots": [{"title": "", "x": "policy", "y": "g"}]
	}`), 0o600))
	out := filepath.Join(dir, "out")
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"emulate", "list"}, 0, "lunch-rush"},
		{[]string{"emulate", "nowhere"}, exitFailed, "no scenario nowhere"},
		{[]string{"emulate", "quiet", "--policy=module", "--json=-"}, 0, `"policy": "module"`},
		{[]string{"experiment", "list"}, 0, "ledger"},
		{[]string{"experiment", "nowhere"}, exitFailed, "no experiment nowhere"},
		{[]string{"experiment", file, "--out=" + out, "--jobs=2"}, 0, "one-try"},
		{[]string{"load"}, exitFailed, "no courier given"},
		{[]string{"load", "--sink", "--rig"}, exitFailed, "mutually exclusive"},
		{[]string{"load", "--sink", "--to=8-1"}, exitFailed, `"8-1" is not a list`},
		{[]string{"load", "--sink", "--rate=0"}, exitFailed, "the rate must be over 0"},
	} {
		text, code := command(t, nil, tc.args...)
		assert.Equal(t, tc.code, code, "%v: %s", tc.args, text)
		assert.Contains(t, text, tc.want, "%v", tc.args)
	}
	assert.FileExists(t, filepath.Join(out, "report.html"))
}
