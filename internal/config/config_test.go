package config

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"

	"snowjunction"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"memory_mb":100,"sockets":200,"disk_mb":1.5},
	"known":{"generation":0,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"b",
		"machineType":"k","cell":3,"lifecycle":"Ready","weight":2}]},
	"settings":{"dcs":["a","b"],"models":["j","k"],"report":{"columns":["x0","q"]},"classes":[{"name":"c","deadline-ms":5}]}}`

func env(name string) string { return map[string]string{"GW_STATE": "state"}[name] }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), env)
	require.NoError(t, err)
	assert.Equal(t, Limits{MemoryMB: 100, Sockets: 200, DiskMB: 1.5}, c.Limits)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Settings.Seed)
	assert.Equal(t, []string{"x0", "q"}, c.ReportColumns)
	assert.True(t, c.InitialList.Present, "generation 0 is a valid list")
	require.Len(t, c.InitialList.Targets, 1)
	e := c.InitialList.Targets[0]
	assert.Equal(t, [3]int{1, 1, 3}, [3]int{e.Zone, e.Kind, int(e.Destination)})
	assert.Equal(t, snowjunction.Ready, e.Phase)
	assert.Equal(t, 5*time.Millisecond, c.Settings.Classes[0].Deadline)
}

func TestParseErrors(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`{"name"`, `{"name`, "JSON"},
		{`127.0.0.1:6379`, `nowhere`, `listen: "nowhere"`},
		{`127.0.0.1:8500`, ``, `discovery: ""`},
		{`8c1f30d27a5be964`, `xyz`, `seed: "xyz"`},
		{`"settings":{`, `"settings":[],"x":{`, `settings: missing`},
		{`"generation":0,`, ``, `known: no generation`},
		{`"cell":3`, `"cell":-3`, `instances[0]: cell`},
		{`"cell":3`, `"cell":4294967296`, `instances[0]: cell`},
		{`"cell":3,`, ``, `instances[0]: no cell`},
		{`"weight":2`, `"weight":"heavy"`, `instances[0]: weight`},
		{`"127.0.0.1:1"`, `"x"`, `instances[0]: hostPort`},
		{`"instanceId":"s-1",`, ``, `instances[0]: no instanceId`},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, tc.old, tc.new, 1)), env)
		assert.ErrorContains(t, err, tc.want)
	}
	_, err := Parse([]byte(validConfig), func(string) string { return "" })
	assert.ErrorContains(t, err, "GW_STATE")
}

// cutKnown finds the known list at any position and takes nothing else for it.
func TestCutKnown(t *testing.T) {
	const list = `{"generation":7,"reset":true,"instances":[]}`
	for text, want := range map[string]string{
		`{"known":` + list + `,"x":1}`:                         `{"known":null,"x":1}`,
		`{"x":[{"known":{}},"known"], "known" : ` + list + `}`: `{"x":[{"known":{}},"known"], "known" : null}`,
		`{"x":"\"known\":{","y":"}\\","known":` + list + `}`:   `{"x":"\"known\":{","y":"}\\","known":null}`,
		`{"x":"known","known":null}`:                           ``,
		`{"known":[` + list + `]}`:                             ``,
		`{"known":{"generation":7`:                             ``,
		`{"known"`:                                             ``,
		`"known":{}`:                                           ``,
		``:                                                     ``,
	} {
		rest, known := cutKnown([]byte(text))
		if want == "" {
			assert.Equal(t, text, string(rest))
			assert.Nil(t, known, text)
			continue
		}
		assert.Equal(t, want, string(rest))
		assert.Equal(t, list, string(known), text)
	}
}

// Guards against parsing a long list as one JSON value, which takes ten times its text in memory
// and most of the time of a start. The memory beyond the text and the entries must not grow with
// the list.
func TestParseLongKnownListMemory(t *testing.T) {
	const n = 20000
	var list strings.Builder
	for i := range n {
		fmt.Fprintf(&list, `,{"instanceId":"s-%08d","hostPort":"127.0.0.1:1","zone":"b","machineType":"k","cell":%d,"lifecycle":"Ready","weight":1,"startedAtMs":0}`, i, i)
	}
	text := []byte(strings.Replace(validConfig, `"instances":[`, `"instances":[`+list.String()[1:]+`,`, 1))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	c, err := Parse(text, env)
	runtime.ReadMemStats(&after)
	require.NoError(t, err)
	assert.Len(t, c.InitialList.Targets, n+1)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(6*len(text)))
}

// A reload names the changes that it cannot apply. The discovery address, the list and the seed are
// not among them.
func TestDiffers(t *testing.T) {
	c, err := Parse([]byte(validConfig), env)
	require.NoError(t, err)
	moved := strings.NewReplacer("8500", "8501", "8c1f", "9c1f", `"cell":3`, `"cell":4`).Replace(validConfig)
	other, err := Parse([]byte(moved), env)
	require.NoError(t, err)
	assert.Empty(t, c.DifferingSections(other))
	other, err = Parse([]byte(strings.NewReplacer("6379", "6380", `"deadline-ms":5`, `"deadline-ms":6`).Replace(validConfig)), env)
	require.NoError(t, err)
	assert.Equal(t, []string{"listen", "settings"}, c.DifferingSections(other))
}

// A target whose state or zone is unknown gets no new messages.
func TestListWithUnknownValues(t *testing.T) {
	n := Names{Zones: map[string]int{"a": 0}, Kinds: map[string]int{}}
	l, err := n.List([]byte(`{"generation":4,"reset":false,"instances":[
		{"instanceId":"x","lifecycle":"Gone"},
		{"instanceId":"y","lifecycle":"Resting","hostPort":"127.0.0.1:1","cell":1,"zone":"new"}]}`))
	require.NoError(t, err)
	assert.Equal(t, snowjunction.Gone, l.Targets[0].Phase)
	assert.Equal(t, snowjunction.Draining, l.Targets[1].Phase)
	assert.Equal(t, 1, l.Targets[1].Zone)
}

func TestLoadPush(t *testing.T) {
	dir := t.TempDir()
	p, err := LoadPush(filepath.Join(dir, "none.json"), Names{})
	require.NoError(t, err)
	assert.Empty(t, p.Listen, "no file: the front is disabled")
	path := filepath.Join(dir, "push.json")
	for text, want := range map[string]string{
		`{"listen":"x"}`:           "listen",
		`{"listen":"127.0.0.1:1"}`: "openapi and asyncapi",
		`{"targets":[{}]}`:         "/targets/0: missing property 'instanceId'",
		`{"listen":`:               "push.json",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadPush(path, Names{})
		assert.ErrorContains(t, err, want, text)
	}
	p, err = LoadPush("../../deploy/push.json", Names{})
	require.NoError(t, err)
	assert.Empty(t, p.Listen, "disabled in the shipped file")
	assert.Equal(t, filepath.FromSlash("../../deploy/openapi.json"), p.OpenAPI)
}

// Peer messages are sent only if the platform permits them and the addresses are valid; the
// operator file can disable them.
func TestPeers(t *testing.T) {
	parse := func(peerFields, permitted string) Peers {
		c, err := Parse([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
			"settings":{"my-number":1,"limits":{"may-tell":`+permitted+`}}`+peerFields+`}`), func(name string) string {
			return strings.TrimPrefix(name, "GW_CONSOLE")
		})
		require.NoError(t, err)
		assert.Equal(t, 1, c.Settings.Number)
		return c.Peers
	}
	both := `,"peer_listen":"127.0.0.1:3","peers":["127.0.0.1:4","127.0.0.1:5"]`
	assert.Equal(t, Peers{Listen: "127.0.0.1:3", Addrs: []string{"127.0.0.1:4", "127.0.0.1:5"}}, parse(both, "true"))
	assert.True(t, parse(both, "true").Enabled())
	for peerFields, permitted := range map[string]string{
		both: "false", `,"peer_listen":"x","peers":["127.0.0.1:4","127.0.0.1:5"]`: "true",
		`,"peer_listen":"127.0.0.1:3","peers":["127.0.0.1:4"]`: "true", `,"peers":7`: "true", ``: "true",
	} {
		assert.False(t, parse(peerFields, permitted).Enabled(), peerFields)
	}
	for text, want := range map[string]bool{`{}`: true, `{"notes":true}`: true, `{"notes":false}`: false} {
		path := filepath.Join(t.TempDir(), "fleet.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		f, err := LoadFleet(path)
		require.NoError(t, err)
		assert.Equal(t, want, f.Notes)
	}
}

// cutKnown accepts any input and, in a valid configuration, changes only the list.
func FuzzCutKnown(f *testing.F) {
	for _, text := range []string{validConfig, `{"known":{}}`, `{"known":{"a":"}\""},"b":[{"known":{}}]}`, `{"a":"known","known" : {`, `]}{"known":{}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		rest, known := cutKnown(b)
		if fastjson.ValidateBytes(b) != nil || known == nil {
			return
		}
		require.NoError(t, fastjson.ValidateBytes(rest))
		list, err := fastjson.ParseBytes(known)
		require.NoError(t, err)
		require.Equal(t, fastjson.TypeObject, list.Type())
		whole, err := fastjson.ParseBytes(b)
		require.NoError(t, err)
		require.Equal(t, string(whole.Get("known").MarshalTo(nil)), string(list.MarshalTo(nil)))
	})
}

// The start limit of plug-in hosts is read from the operator file.
func TestLoadPlugins(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plugins.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"folder":"all","start_s":300,"bodies":[7]}`), 0o600))
	p, err := LoadPlugins(path)
	require.NoError(t, err)
	assert.Equal(t, &Plugins{Folder: filepath.Join(filepath.Dir(path), "all"), Bodies: []uint32{7}, StartWithin: 5 * time.Minute}, p)
	require.NoError(t, os.WriteFile(path, []byte(`{"start_s":0}`), 0o600))
	_, err = LoadPlugins(path)
	assert.ErrorContains(t, err, "start_s")
}
