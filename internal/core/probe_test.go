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
			submitted, answered := 0, 0
			submitAndAnswer := func(up bool) {
				b.submit(fmt.Sprint("m", submitted), "status", 0)
				submitted++
				b.advance(100 * ms)
				for ; answered < len(b.calls); answered++ {
					if x := b.calls[answered]; up {
						x.done(Result{Outcome: snowjunction.OK})
					} else {
						x.done(Result{Outcome: snowjunction.TimedOut})
					}
				}
			}
			for range 50 {
				submitAndAnswer(false)
			}
			for range 600 {
				submitAndAnswer(true)
			}
			b.advance(time.Second)
			require.NotEmpty(t, b.ended)
			assert.Equal(t, store.Delivered, b.ended[len(b.ended)-1].State)
		})
	}
}
