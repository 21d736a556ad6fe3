package daemon

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/store"
)

// newPartitionedCourier returns a courier of a fleet of two with the parts that newRouter and
// adoptMembership need.
func newPartitionedCourier(t *testing.T, log *bytes.Buffer) *courier {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	p := &config.Partitions{Enabled: true, Partitions: 32, Copies: 1, Linger: 30 * time.Second, Members: []partition.Member{
		{Name: "n0", Addr: "127.0.0.1:1"}, {Name: "n1", Addr: "127.0.0.1:2"},
	}}
	m, err := p.Membership("n0", nil)
	require.NoError(t, err)
	return &courier{
		log: slog.New(slog.NewTextHandler(log, nil)), loop: core.NewLoop(func() time.Time { return now }),
		process: &process{files: files{partitions: p, membership: m}},
		cfg: &config.Config{Name: "n0", Settings: snowjunction.Settings{OrderSettle: 100 * time.Millisecond, Classes: []snowjunction.Class{
			{Name: "order", InOrder: true, Deadline: 4 * time.Second}, {Name: "long", InOrder: true, Deadline: 9 * time.Second},
			{Name: "any", Deadline: time.Hour},
		}}},
	}
}

// Messages that an earlier process left in the journal stay with this courier: their partitions are
// listed whoever owns them, and the next message of their ordering keys waits here, while those of
// other keys go to the owner.
func TestRestoredMessagesStayWithCourier(t *testing.T) {
	var log bytes.Buffer
	c := newPartitionedCourier(t, &log)
	m := c.process.files.membership
	var theirs []uint32 // destinations in different partitions
	for _, p := range m.Owned("n1") {
		for d := uint32(0); ; d++ {
			if partition.Of(d, 32) == p {
				theirs = append(theirs, d)
				break
			}
		}
	}
	require.GreaterOrEqual(t, len(theirs), 3)
	msg := func(d uint32, class string, key uint64, state store.State) *store.Message {
		return &store.Message{Destination: d, Class: class, Key: key, Deadline: c.loop.Now().Add(2 * time.Second), State: state}
	}
	assert.Equal(t, partition.Options{Self: "n0", ServeAfterLoss: 30 * time.Second, MaxDeadline: 9 * time.Second, DeadlineMargin: 500 * time.Millisecond},
		platform.RouterOptions(c.cfg.Settings, c.cfg.Name, c.process.files.partitions.Region, c.process.files.partitions.Linger))
	r := c.newRouter([]*store.Message{
		msg(theirs[0], "order", 7, store.Open), msg(theirs[1], "any", 8, store.Open), msg(theirs[2], "order", 9, store.Failed),
	})
	assert.Equal(t, "n0", r.Membership().Members()[0].Name)
	assert.True(t, r.Lists(theirs[0]))
	assert.True(t, r.Lists(theirs[1]))
	assert.False(t, r.Lists(theirs[2]), "the message has ended")
	route := func(d uint32, key uint64, now time.Duration) partition.Action {
		return r.Route(partition.Message{Destination: d, Key: key}, nil, now).Action
	}
	assert.Equal(t, partition.Busy, route(theirs[0], 7, 2499*time.Millisecond), "for the message's time and the pause of the key")
	assert.Equal(t, partition.Forward, route(theirs[0], 7, 2500*time.Millisecond))
	assert.Equal(t, partition.Forward, route(theirs[1], 8, 0), "the class is not ordered")
	assert.Equal(t, partition.Forward, route(theirs[2], 9, 0))
	assert.Contains(t, log.String(), "msg=partitions members=2 partitions=32 copies=1 own=")
}

// A new membership is adopted while its numbers of partitions and copies are unchanged; the
// resulting ownership is logged.
func TestAdoptMembership(t *testing.T) {
	var log bytes.Buffer
	c := newPartitionedCourier(t, &log)
	var err error
	c.engine, err = net.New(net.Config{Post: c.loop.Post, Log: c.log, MaxConns: 8})
	require.NoError(t, err)
	t.Cleanup(c.engine.Stop)
	c.platform = platform.New(platform.Config{Loop: c.loop, Engine: c.engine, Log: c.log})
	assert.Nil(t, c.currentMembership())
	c.adoptMembership(c.process.files.membership)
	assert.Nil(t, c.currentMembership(), "partitioning stays disabled until a restart")
	c.platform.Router = c.newRouter(nil)
	first := c.currentMembership()
	require.NotNil(t, first)
	partitions := *c.process.files.partitions
	same, err := partitions.Membership("n0", first)
	require.NoError(t, err)
	c.adoptMembership(same)
	assert.Same(t, first, c.currentMembership(), "the members are unchanged")
	c.adoptMembership(nil)
	assert.Same(t, first, c.currentMembership(), "partitioning stays enabled until a restart")
	partitions.Partitions = 64
	other, err := partitions.Membership("n0", first)
	require.NoError(t, err)
	c.adoptMembership(other)
	assert.Same(t, first, c.currentMembership(), "the change requires a restart")
	partitions.Partitions, partitions.Members = 32, partitions.Members[1:]
	without, err := partitions.Membership("n0", first)
	require.NoError(t, err)
	c.adoptMembership(without)
	assert.Same(t, without, c.currentMembership())
	assert.Same(t, without, c.process.files.membership)
	assert.Contains(t, log.String(), `level=WARN msg="no member of the partitions: it owns none and forwards all" members=1`)
}
