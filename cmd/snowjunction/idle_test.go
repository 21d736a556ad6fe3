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

// stage is a courier with stand-in partners and a directory.
type stage struct {
	*scenario.Courier
	t         *testing.T
	farm      *standin.Farm
	directory *standin.Directory
	list      []standin.Instance
	client    *load.Client
	idle      string
	left      time.Duration // that messages have
}

// newStage starts partners, which answer quickly, and a courier that listens to
// the directory alone. What idle says goes into the file for idle destinations.
func newStage(t *testing.T, partners int, idle map[string]any) *stage {
	return newStageWith(t, partners, idle, func(*stage) {}, false)
}

// newStageWith has more done before the courier starts; with push, every other
// partner speaks HTTP/2 and stands behind the push front.
func newStageWith(t *testing.T, partners int, idle map[string]any, before func(*stage), push bool) *stage {
	s := &stage{Courier: scenario.NewCourier(t), t: t, left: 8 * time.Second}
	var specs []standin.Spec
	for i := range partners {
		specs = append(specs, standin.Spec{Destination: uint32(i + 1), Endpoints: 2, HTTP2: push && i%2 == 1, Profile: partner.Profile{
			Limit: 50, Report: true, Latency: 5 * time.Millisecond, Tells: 1,
		}})
	}
	var err error
	s.farm, err = standin.NewFarm(specs)
	require.NoError(t, err)
	t.Cleanup(s.farm.Close)
	var pushed []standin.Endpoint
	for _, e := range s.farm.Endpoints() {
		if e.HTTP2 {
			pushed = append(pushed, e)
		} else {
			s.list = append(s.list, standin.List([]standin.Endpoint{e})...)
		}
	}
	if push {
		file, err := rig.PushFile(s.Dir(), standin.List(pushed))
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
	s.Play.Let("discovery", s.directory.Addr())
	s.idle = filepath.Join(s.Dir(), "idle.json")
	s.configure(idle)
	s.Env = append(s.Env, "SNOWJUNCTION_IDLE="+s.idle)
	before(s)
	s.start()
	return s
}

func (s *stage) configure(idle map[string]any) {
	b, err := json.Marshal(idle)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(s.idle, b, 0o600))
}

func (s *stage) start() {
	require.NoError(s.t, s.Start())
	s.client = load.New(s.Play.Name("client"), s.Play.Name("push"))
	s.client.Within = scenario.Limit
	s.t.Cleanup(s.client.Close)
	g := s.directory.Replace(s.list) // the configuration's list is empty, and of the first generation
	s.until("the list", func() bool { return s.directory.Heard() >= g })
}

// until waits for something that is to come.
func (s *stage) until(what string, ok func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(scenario.Limit); !ok(); time.Sleep(5 * time.Millisecond) {
		require.True(s.t, time.Now().Before(limit), "not in time: %s", what)
	}
}

func (s *stage) seen(dest uint32, id string) (seen bool) {
	_ = s.farm.With(dest, func(p *partner.Partner) { seen = p.Seen(id) })
	return seen
}

func (s *stage) add(dest uint32, id string) load.Verdict {
	v, _, err := s.client.Add(load.Message{ID: id, Class: "status", Tenant: "town", Destination: dest, Left: s.left})
	require.NoError(s.t, err)
	return v
}

// deliver hands a message in and waits for it at the partner.
func (s *stage) deliver(dest uint32, id string) {
	s.t.Helper()
	require.Equal(s.t, load.Taken, s.add(dest, id), id)
	s.until(id, func() bool { return s.seen(dest, id) })
}

// idleListed are endpoints that nobody will call: n partners of two.
func idleListed(from, n int) (list []standin.Instance) {
	for i := range 2 * n {
		list = append(list, standin.Instance{
			InstanceID: fmt.Sprintf("idle-%d", from+i), HostPort: fmt.Sprintf("127.%d.%d.%d:9", 1+i>>16, i>>8&255, i&255),
			Zone: "a", MachineType: "k", Cell: uint32(1000 + from + i/2), Lifecycle: "Ready", Weight: 1,
		})
	}
	return list
}

// counters asks the courier and returns the value of a counter.
func (s *stage) counters(name string) string {
	require.NoError(s.t, s.Signal(syscall.SIGUSR1))
	m, err := s.Await(`msg=counters .* ` + name + `=(\S+)`)
	require.NoError(s.t, err)
	return m[1]
}

// Ten thousand partners listed, ten of them awake: messages go on while the list
// comes, and nothing is made for the others.
func TestTenThousandPartners(t *testing.T) {
	s := newStage(t, 10, map[string]any{})
	s.deliver(1, "before")
	all := append(append([]standin.Instance(nil), s.list...), idleListed(0, 9990)...)
	generation := s.directory.Replace(all)
	for i := 0; s.directory.Heard() < generation || i < 50; i++ {
		s.deliver(uint32(i%10+1), fmt.Sprintf("m%d", i))
		require.Less(t, i, 5000, "the list is never taken")
	}
	assert.Equal(t, "10000", s.counters("idle.destinations"))
	assert.Equal(t, "10", s.counters("idle.awake"))
	for round := range 3 { // and back, and again, in full and by changes
		g := s.directory.Replace(s.list)
		s.until("the short list", func() bool { return s.directory.Heard() >= g })
		s.deliver(3, fmt.Sprintf("short%d", round))
		g = s.directory.Change(idleListed(round*4000, 2000)...)
		s.until("the change", func() bool { return s.directory.Heard() >= g })
		s.deliver(4, fmt.Sprintf("long%d", round))
		assert.Equal(t, "2010", s.counters("idle.destinations"))
	}
}

// A list that cannot be taken leaves a line and the list held; what it says of
// draining is heeded; nothing is lost, and a good one is taken again.
func TestListsThatCannotBeTaken(t *testing.T) {
	s := newStage(t, 3, map[string]any{"list_mb": 1, "list_entries": 5000})
	text := func(generation int, entries ...string) []byte {
		return fmt.Appendf(nil, `{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
	}
	one := func(id, addr, cell, lifecycle, weight string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"k","cell":%s,"lifecycle":%q,"weight":%s,"startedAtMs":0}`,
			id, addr, cell, lifecycle, weight)
	}
	var long []string
	for i := range 5001 {
		long = append(long, one(fmt.Sprint(i), fmt.Sprintf("127.1.%d.%d:1", i>>8, i&255), "1", "Ready", "1"))
	}
	a, b := one("x", "127.0.0.1:1", "1", "Ready", "1"), one("y", "127.0.0.1:1", "2", "Ready", "1")
	n := 0
	for name, tc := range map[string]struct {
		text []byte
		want string
	}{
		"duplicate names": {text(100, a, one("x", "127.0.0.1:2", "1", "Ready", "1")), "named twice"},
		"one address":     {text(100, a, b), "two endpoints at one address"},
		"no cell":         {text(100, strings.Replace(a, `"cell":1,`, "", 1)), "cell"},
		"weight":          {text(100, one("x", "127.0.0.1:1", "1", "Ready", `"heavy"`)), "weight"},
		"no list":         {[]byte(`<html>`), "not a list"},
		"cut short":       {[]byte(`{"generation":100,"instances":[`), "too early"},
		"too many":        {text(100, long...), "too big"},
		"64 MB":           {[]byte(`{"generation":100,"instances":[` + strings.Repeat(" ", 64<<20)), "too big"},
	} {
		s.directory.Say(tc.text)
		_, err := s.Await(`cannot be read.*` + tc.want)
		require.NoError(t, err, name)
		for d := uint32(1); d <= 3; d++ {
			n++
			s.deliver(d, fmt.Sprintf("m%d", n))
		}
		s.directory.Say(nil)
		g := s.directory.Replace(s.list)
		s.until("a good list", func() bool { return s.directory.Heard() >= g })
	}
	// One that drains, in a list that is spoilt behind it.
	drains := s.list[0]
	s.directory.Say(text(100, one(drains.InstanceID, drains.HostPort, "1", "Terminating", "1"), one("x", "127.0.0.1:1", `"no"`, "Ready", "1")))
	_, err := s.Await(`code=drained`)
	require.NoError(t, err, "its idle connection is ended")
	s.directory.Say(nil)
	g := s.directory.Replace(s.list[2:])
	s.until("a good list", func() bool { return s.directory.Heard() >= g })
	s.deliver(2, "last")
}

// Partners sleep, their memory is in the store, and a courier that is killed and
// starts again knows them; a store that is no store costs nothing but that.
func TestSleepBeyondMemory(t *testing.T) {
	s := newStage(t, 3, map[string]any{"sleep_after_s": 0.05, "store": "idle.db"})
	for d := uint32(1); d <= 3; d++ {
		s.deliver(d, fmt.Sprintf("a%d", d))
	}
	s.until("all asleep", func() bool { return s.counters("idle.mementos") == "3" })
	s.until("in the store", func() bool { return s.counters("idle.beyond") == "3" })
	require.NoError(t, s.Stop(syscall.SIGTERM))
	s.start()
	s.deliver(1, "b1")
	assert.Equal(t, "1", s.counters("idle.known"), "its memento came from the store")
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
