package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/rig"
	"snowjunction/internal/scenario"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// testbed is a courier with simulated partners and a directory.
type testbed struct {
	*scenario.Courier
	t         *testing.T
	partners  *standin.Farm
	directory *standin.Directory
	list      []standin.Instance
	client    *load.Client
	idleFile  string
	timeLeft  time.Duration // time to deliver that messages get
}

// newTestbed starts partners, which answer quickly, and a courier whose only list is the directory's.
// The operator file for idle destinations gets the settings in idle.
func newTestbed(t *testing.T, partners int, idle map[string]any) *testbed {
	return newTestbedWith(t, partners, idle, func(*testbed) {}, false)
}

// newTestbedWith runs before prior to the start of the courier. With push, every other partner speaks
// HTTP/2 and is a target of the push front.
func newTestbedWith(t *testing.T, partners int, idle map[string]any, before func(*testbed), push bool) *testbed {
	s := &testbed{Courier: scenario.NewCourier(t), t: t, timeLeft: 8 * time.Second}
	var specs []standin.Spec
	for i := range partners {
		specs = append(specs, standin.Spec{Destination: uint32(i + 1), Endpoints: 2, HTTP2: push && i%2 == 1, Profile: partner.Profile{
			Limit: 50, ReportsLimit: true, Latency: 5 * time.Millisecond, RetryAfterShare: 1,
		}})
	}
	var err error
	s.partners, err = standin.NewFarm(specs)
	require.NoError(t, err)
	t.Cleanup(s.partners.Close)
	var pushed []standin.Endpoint
	for _, e := range s.partners.Endpoints() {
		if e.HTTP2 {
			pushed = append(pushed, e)
		} else {
			s.list = append(s.list, standin.List([]standin.Endpoint{e})...)
		}
	}
	if push {
		file, err := rig.PushConfig(s.Dir(), standin.List(pushed))
		require.NoError(t, err)
		b, err := json.Marshal(file)
		require.NoError(t, err)
		path := filepath.Join(s.Dir(), "push.json")
		require.NoError(t, os.WriteFile(path, b, 0o600))
		s.Env = append(s.Env, "SNOWJUNCTION_PUSH="+path)
	}
	s.directory, err = standin.NewDirectory(s.list)
	require.NoError(t, err)
	t.Cleanup(s.directory.Close)
	s.Runner.Define("discovery", s.directory.Addr())
	s.idleFile = filepath.Join(s.Dir(), "idle.json")
	s.configure(idle)
	s.Env = append(s.Env, "SNOWJUNCTION_IDLE="+s.idleFile)
	before(s)
	s.start()
	return s
}

func (s *testbed) configure(idle map[string]any) {
	b, err := json.Marshal(idle)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(s.idleFile, b, 0o600))
}

func (s *testbed) start() {
	require.NoError(s.t, s.Start())
	s.client = load.New(s.Runner.Name("client"), s.Runner.Name("push"))
	s.client.Timeout = scenario.EventTimeout
	s.t.Cleanup(s.client.Close)
	g := s.directory.Replace(s.list) // the list in the configuration is empty and has generation 1
	s.until("the list", func() bool { return s.directory.LastWatchedGeneration() >= g })
}

// until polls ok until it returns true and fails the test after scenario.Limit.
func (s *testbed) until(what string, ok func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(scenario.EventTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		require.True(s.t, time.Now().Before(limit), "not in time: %s", what)
	}
}

func (s *testbed) seen(dest uint32, id string) (seen bool) {
	_ = s.partners.With(dest, func(p *partner.Partner) { seen = p.WasDelivered(id) })
	return seen
}

func (s *testbed) submit(dest uint32, id string) load.Verdict {
	v, _, err := s.client.Submit(load.Message{ID: id, Class: "status", Tenant: "town", Destination: dest, TTL: s.timeLeft})
	require.NoError(s.t, err)
	return v
}

// deliver submits a message and waits until the partner has received it.
func (s *testbed) deliver(dest uint32, id string) {
	s.t.Helper()
	require.Equal(s.t, load.Accepted, s.submit(dest, id), id)
	s.until(id, func() bool { return s.seen(dest, id) })
}

// idleInstances returns the endpoints of n partners, two each, which no test calls.
func idleInstances(from, n int) (list []standin.Instance) {
	for i := range 2 * n {
		list = append(list, standin.Instance{
			InstanceID: fmt.Sprintf("idle-%d", from+i), HostPort: fmt.Sprintf("127.%d.%d.%d:9", 1+i>>16, i>>8&255, i&255),
			Zone: "a", MachineType: "k", Cell: uint32(1000 + from + i/2), Lifecycle: "Ready", Weight: 1,
		})
	}
	return list
}

// counter makes the courier log its counters and returns the value of one.
func (s *testbed) counter(name string) string {
	require.NoError(s.t, s.Signal(syscall.SIGUSR1))
	m, err := s.Await(`msg=counters .* ` + name + `=(\S+)`)
	require.NoError(s.t, err)
	return m[1]
}

// With ten thousand partners listed and ten in use, messages are delivered while the list arrives,
// and no state is created for the idle ones.
func TestTenThousandPartners(t *testing.T) {
	s := newTestbed(t, 10, map[string]any{})
	s.deliver(1, "before")
	all := append(append([]standin.Instance(nil), s.list...), idleInstances(0, 9990)...)
	generation := s.directory.Replace(all)
	for i := 0; s.directory.LastWatchedGeneration() < generation || i < 50; i++ {
		s.deliver(uint32(i%10+1), fmt.Sprintf("m%d", i))
		require.Less(t, i, 5000, "the list is never accepted")
	}
	assert.Equal(t, "10000", s.counter("idle.destinations"))
	assert.Equal(t, "10", s.counter("idle.awake"))
	for round := range 3 { // back to the short list and up again, by full lists and by changes
		g := s.directory.Replace(s.list)
		s.until("the short list", func() bool { return s.directory.LastWatchedGeneration() >= g })
		s.deliver(3, fmt.Sprintf("short%d", round))
		g = s.directory.Change(idleInstances(round*4000, 2000)...)
		s.until("the change", func() bool { return s.directory.LastWatchedGeneration() >= g })
		s.deliver(4, fmt.Sprintf("long%d", round))
		assert.Equal(t, "2010", s.counter("idle.destinations"))
	}
}

// An invalid list is logged, and the current list stays in use, except that endpoints listed as
// draining before the invalid entry get no more calls. No message is lost, and the next valid list is
// accepted.
func TestInvalidLists(t *testing.T) {
	s := newTestbed(t, 3, map[string]any{"list_mb": 1, "list_entries": 5000})
	list := func(generation int, entries ...string) []byte {
		return fmt.Appendf(nil, `{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
	}
	entry := func(id, addr, cell, lifecycle, weight string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"k","cell":%s,"lifecycle":%q,"weight":%s,"startedAtMs":0}`,
			id, addr, cell, lifecycle, weight)
	}
	var long []string
	for i := range 5001 {
		long = append(long, entry(fmt.Sprint(i), fmt.Sprintf("127.1.%d.%d:1", i>>8, i&255), "1", "Ready", "1"))
	}
	a, b := entry("x", "127.0.0.1:1", "1", "Ready", "1"), entry("y", "127.0.0.1:1", "2", "Ready", "1")
	n := 0
	for name, tc := range map[string]struct {
		text []byte
		want string
	}{
		"duplicate names": {list(100, a, entry("x", "127.0.0.1:2", "1", "Ready", "1")), "named twice"},
		"one address":     {list(100, a, b), "two endpoints at one address"},
		"no cell":         {list(100, strings.Replace(a, `"cell":1,`, "", 1)), "cell"},
		"weight":          {list(100, entry("x", "127.0.0.1:1", "1", "Ready", `"heavy"`)), "weight"},
		"no list":         {[]byte(`<html>`), "not a list"},
		"cut short":       {[]byte(`{"generation":100,"instances":[`), "too early"},
		"too many":        {list(100, long...), "too big"},
		"64 MB":           {[]byte(`{"generation":100,"instances":[` + strings.Repeat(" ", 64<<20)), "too big"},
	} {
		s.directory.SetFixedResponse(tc.text)
		_, err := s.Await(`cannot be read.*` + tc.want)
		require.NoError(t, err, name)
		for d := uint32(1); d <= 3; d++ {
			n++
			s.deliver(d, fmt.Sprintf("m%d", n))
		}
		s.directory.SetFixedResponse(nil)
		g := s.directory.Replace(s.list)
		s.until("a good list", func() bool { return s.directory.LastWatchedGeneration() >= g })
	}
	// A list with a draining endpoint, followed by an invalid entry.
	draining := s.list[0]
	s.directory.SetFixedResponse(list(100, entry(draining.InstanceID, draining.HostPort, "1", "Terminating", "1"), entry("x", "127.0.0.1:1", `"no"`, "Ready", "1")))
	_, err := s.Await(`code=drained`)
	require.NoError(t, err, "the idle connection of the draining endpoint is closed")
	s.directory.SetFixedResponse(nil)
	g := s.directory.Replace(s.list[2:])
	s.until("a good list", func() bool { return s.directory.LastWatchedGeneration() >= g })
	s.deliver(2, "last")
}

// Idle partners are unloaded and their snapshots written to the store, from which a restarted courier
// loads them. A damaged store file loses the snapshots and nothing else.
func TestUnloadedStateInStore(t *testing.T) {
	s := newTestbed(t, 3, map[string]any{"sleep_after_s": 0.05, "store": "idle.db"})
	for d := uint32(1); d <= 3; d++ {
		s.deliver(d, fmt.Sprintf("a%d", d))
	}
	s.until("all partners are unloaded", func() bool { return s.counter("idle.mementos") == "3" })
	s.until("all snapshots are in the store", func() bool { return s.counter("idle.beyond") == "3" })
	require.NoError(t, s.Stop(syscall.SIGTERM))
	s.start()
	s.deliver(1, "b1")
	assert.Equal(t, "1", s.counter("idle.known"), "its snapshot came from the store")
	require.NoError(t, s.Stop(syscall.SIGKILL))
	require.NoError(t, os.WriteFile(filepath.Join(s.Dir(), "idle.db"), []byte("damaged"), 0o600))
	s.start()
	_, err := os.Stat(filepath.Join(s.Dir(), "idle.db.damaged"))
	assert.NoError(t, err)
	s.deliver(1, "c1")
	s.configure(map[string]any{"sleep_after_s": "soon"})
	_, code := command(t, append(s.Env, "GW_STATE="+s.State(), "GW_CONFIG="+filepath.Join(s.Dir(), "config.json")), "check")
	assert.Equal(t, exitMistake, code)
}
