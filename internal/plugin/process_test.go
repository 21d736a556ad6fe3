package plugin

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/plugin/host"
	"snowjunction/internal/plugin/manifest"
)

// Guards against a host whose answers are read faster than the loop takes them, which would pile up in memory:
// the host waits for the loop.
func TestAnswersOfHostAreLimited(t *testing.T) {
	const handled = 1000
	posted := make(chan func(), 100*handled)
	answers, exited := 0, false
	p := startProcess([]string{os.Args[0], "endless"}, host.Hello{Manifest: &manifest.Manifest{}}, func(f func()) { posted <- f },
		func(_ host.Answer, err error) { assert.NoError(t, err) }, func(*reply) { answers++ }, func() { exited = true })
	limit := time.After(testTimeout)
	next := func() {
		select {
		case f := <-posted:
			assert.LessOrEqual(t, len(posted), maxPendingAnswers, "besides this one")
			f()
		case <-limit:
			require.Fail(t, "no event in time")
		}
	}
	for answers < handled {
		next()
	}
	p.kill()
	for !exited {
		next()
	}
}
