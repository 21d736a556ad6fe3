package load

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"snowjunction/internal/standin"
)

// Account must detect a message without a final result, a message with two, and results that
// contradict each other.
func TestAccount(t *testing.T) {
	c := New("", "")
	for id, v := range map[string]Verdict{
		"delivered": Accepted, "lost": Accepted, "both": Accepted, "given": Accepted, "returned": Accepted, "torn": Accepted, "repeated": Accepted,
		"refused": Rejected, "failed": Failed, "unheard": NoResponse,
	} {
		c.Sent = append(c.Sent, Message{ID: id, Destination: 1})
		c.Verdicts[id] = v
	}
	notice := func(id string, states ...string) (n []standin.Notice) {
		for _, s := range states {
			n = append(n, standin.Notice{ID: id, State: s})
		}
		return n
	}
	e := c.CountResults(func(_ uint32, id string) bool { return id == "delivered" || id == "both" }, map[string][]standin.Notice{
		"both": notice("both", "failed"), "given": notice("given", "failed"), "returned": notice("returned", "returned"),
		"torn": notice("torn", "failed", "returned"), "repeated": notice("repeated", "failed", "failed"),
	}, nil)
	assert.Equal(t, Results{
		Handed: 10, Taken: 7, Refused: 1, Failed: 1, Unheard: 1, Delivered: 1, Returned: 1, Given: 2, Open: 1, Doubled: 2,
	}, e)
	c.Overdue = func(_ uint32, id string) bool { return id != "none" }
	all := func(uint32, string) bool { return true }
	e = c.CountResults(all, map[string][]standin.Notice{"both": notice("both", "failed")}, nil)
	assert.Equal(t, [4]int{6, 1, 0, 1}, [4]int{e.Delivered, e.Given, e.Doubled, e.Overdue})
	e = c.CountResults(all, map[string][]standin.Notice{"returned": notice("returned", "returned"), "torn": notice("torn", "failed", "returned")}, nil)
	assert.Equal(t, [4]int{5, 0, 2, 0}, [4]int{e.Delivered, e.Given, e.Doubled, e.Overdue})
	c.Overdue = func(uint32, string) bool { return false }
	assert.Equal(t, 1, c.CountResults(all, map[string][]standin.Notice{"both": notice("both", "failed")}, nil).Doubled)
	assert.Equal(t, 1, c.CountResults(func(uint32, string) bool { return true }, nil, func(m Message) bool { return m.ID == "lost" }).Delivered)
}

func TestVerdicts(t *testing.T) {
	for line, want := range map[string]Verdict{"+OK": Accepted, "-BUSY": Rejected, "-BUSY 250": Rejected, "-ERR no": Failed, "$2": Failed} {
		v, retryAfter := ParseResponse(line)
		assert.Equal(t, want, v, line)
		assert.Equal(t, line == "-BUSY 250", retryAfter > 0)
	}
}
