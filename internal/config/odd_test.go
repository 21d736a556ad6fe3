package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
)

// The module starts with unusual but valid settings, sends a message of each class at most once
// while the outcome of that attempt is unknown, and ends each message once.
func TestUnusualSettings(t *testing.T) {
	for name, text := range map[string]string{
		"one class, no tenants":                 `"classes": [{"name": "only", "semantics": "pure", "deadline-ms": 4000, "promise-ms": 1000, "importance": 1}]`,
		"no keyed class":                        `"classes": [{"name": "a", "semantics": "side_effect", "deadline-ms": 4000}, {"name": "b", "semantics": "pure", "deadline-ms": 900}]`,
		"a deadline under the connect time-out": `"classes": [{"name": "a", "semantics": "side_effect", "deadline-ms": 300, "promise-ms": 5000, "in-order": true}]`,
		"a window under the slack":              `"classes": [{"name": "a", "semantics": "token", "key-scope": "all", "window-ms": 20, "deadline-ms": 4000, "in-order": true}]`,
		"a window of a zone and no zones":       `"classes": [{"name": "a", "semantics": "token", "key-scope": "zone", "window-ms": 2000, "deadline-ms": 4000}]`,
		"five classes that are worth nothing":   `"classes": [{"name": "a", "deadline-ms": 1}, {"name": "b", "deadline-ms": 2}, {"name": "c", "deadline-ms": 3}, {"name": "d", "deadline-ms": 4}, {"name": "e", "deadline-ms": 5}]`,
	} {
		t.Run(name, func(t *testing.T) {
			s, err := ParseSettings(1, []byte(`{"quantum-ms": 5, "family-info": {"max-calls": 4}, "limits": {"connect-timeout-ms": 1000}, `+text+`}`))
			require.NoError(t, err)
			c, err := snowjunction.New(s)
			require.NoError(t, err)
			events := []snowjunction.Event{snowjunction.List{Endpoints: []snowjunction.Endpoint{{ID: 1, Destination: 7, Phase: snowjunction.Ready}}}}
			for i, class := range s.Classes {
				events = append(events, snowjunction.Request{ID: snowjunction.RequestID(i + 1), Destination: 7, Class: i, Tenant: -1, Key: 5, Deadline: class.Deadline})
			}
			sends, ends := map[snowjunction.RequestID]int{}, map[snowjunction.RequestID]int{}
			for now := time.Duration(0); now < 6*time.Second; now += 5 * time.Millisecond {
				for _, a := range c.Handle(now, events) {
					switch a := a.(type) {
					case snowjunction.Send:
						sends[a.Request]++
					case snowjunction.Refuse:
						ends[a.Request]++
					case snowjunction.Fail:
						ends[a.Request]++
					}
				}
				events = nil
			}
			for i := range s.Classes {
				id := snowjunction.RequestID(i + 1)
				assert.LessOrEqual(t, sends[id], 1, "class %d", i)
				assert.Equal(t, 1, ends[id], "class %d ends once, in time, without an answer", i)
			}
		})
	}
	for name, text := range map[string]string{"no classes": `"x": 1`, "no deadline": `"classes": [{"name": "a"}]`, "no slots": `"family-info": {"max-calls": -1}, "classes": [{"name": "a", "deadline-ms": 1}]`} {
		s, err := ParseSettings(1, []byte(fmt.Sprintf(`{"quantum-ms": 5, %s}`, text)))
		if err == nil {
			_, err = snowjunction.New(s)
		}
		assert.ErrorContains(t, err, "settings", name)
	}
}
