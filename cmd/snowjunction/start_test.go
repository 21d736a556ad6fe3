package main

import (
	"io"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/daemon"
	"snowjunction/internal/measure"
	"snowjunction/internal/scenario"
)

// The log has one line per start, with the duration of each step in order and what was restored.
func TestStartLogsSteps(t *testing.T) {
	c := prepare(t)
	ready := `msg=ready .*`
	for _, step := range daemon.StartSteps {
		ready += ` steps_ms\.` + step + `=[0-9.]+`
	}
	for _, restored := range []string{"0", "1"} {
		require.NoError(t, c.Start())
		_, err := c.Await(ready + ` restored=` + restored + ` endpoints=2`)
		require.NoError(t, err)
		c.Runner.Run(`
			client dial c
			c send "*1\r\n$4\r\nPING\r\n"
			c expect "+PONG\r\n"
			c send "$ADDm` + restored + `$STATUSx\r\n"
			c expect "+OK\r\n"
		`)
		assert.Equal(t, 1, strings.Count(c.Log(), "msg=ready "))
		c.Runner.Run(`courier wait kill`)
	}
}

// A short run of measure start: each process is counted, reports each step, and restores all that
// was stored for it.
func TestMeasureStart(t *testing.T) {
	t.Setenv(scenario.RunAsCourierEnv, "1")
	o := measure.Start{Starts: 1, AtOnce: 2, Entries: 60, DiskMB: 1, MemoryMB: 64, Exe: os.Args[0]}
	require.NoError(t, o.Validate())
	f, err := o.Run(io.Discard)
	require.NoError(t, err)
	assert.Equal(t, 4*(1+2), f.Processes)
	assert.Equal(t, 60, f.OnDisk)
	assert.Greater(t, f.Restored, 500)
	assert.Equal(t, append(append([]string{"exec"}, daemon.StartSteps...), "pong", "whole"), f.Steps)
	assert.Len(t, f.Ms, 4*2)
	for kind, steps := range f.Ms {
		assert.Len(t, steps, len(f.Steps), kind)
	}
}
