package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/store"
)

// If the settings allow probes, which no front can send, an endpoint that was down must still be
// tried by a message. Otherwise it would never be used again.
func TestEndpointRecoversWithProbesEnabled(t *testing.T) {
	for _, probes := range []bool{false, true} {
		t.Run(fmt.Sprint(probes), func(t *testing.T) {
			b := newHarness(t, func(s *snowjunction.Settings) { s.Probes = probes })
			handed, done := 0, 0
			turn := func(up bool) {
				b.add(fmt.Sprint("m", handed), "status", 0)
				handed++
				b.step(100 * ms)
				for ; done < len(b.calls); done++ {
					if x := b.calls[done]; up {
						x.done(Result{Outcome: snowjunction.OK})
					} else {
						x.done(Result{Outcome: snowjunction.TimedOut})
					}
				}
			}
			for range 50 {
				turn(false)
			}
			for range 600 {
				turn(true)
			}
			b.step(time.Second)
			require.NotEmpty(t, b.ended)
			assert.Equal(t, store.Delivered, b.ended[len(b.ended)-1].State)
		})
	}
}
