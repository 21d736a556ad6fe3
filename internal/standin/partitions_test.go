package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction/internal/partition"
)

type directoryAnswer struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Partitions int        `json:"partitions"`
	Instances  []Instance `json:"instances"`
}

func decodeAnswer(t require.TestingT, text []byte) (a directoryAnswer) {
	require.NoError(t, json.Unmarshal(text, &a))
	return a
}

func newFilter(t require.TestingT, partitions int, of []int) partitionFilter {
	var text []string
	for _, p := range of {
		text = append(text, fmt.Sprint(p))
	}
	p, err := parsePartitionFilter(url.Values{"partitions": {fmt.Sprint(partitions)}, "of": {strings.Join(text, ",")}})
	require.NoError(t, err)
	return p
}

// After any changes, a request for partitions returns what a scan of the whole list and of all
// changes finds. An index built before the changes gives the same result as one built after them.
func TestPartitionFilterMatchesFullScan(t *testing.T) {
	const partitions = 5
	rapid.Check(t, func(t *rapid.T) {
		d := &Directory{changed: make(chan struct{})}
		instance := func(t *rapid.T) Instance {
			return Instance{
				InstanceID: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name"),
				Cell:       rapid.Uint32Range(0, 12).Draw(t, "cell"), Lifecycle: rapid.SampledFrom([]string{"Ready", "Terminating", "Gone"}).Draw(t, "lifecycle"),
			}
		}
		d.Replace(nil)
		cells := []map[string]uint32{{}, {}} // by generation, then by instance ID
		var changes []change
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			if rapid.IntRange(0, 9).Draw(t, "asks") == 0 {
				d.changedSince(newFilter(t, partitions, nil), 0) // builds the index
			}
			x, at := instance(t), map[string]uint32{}
			for name, cell := range cells[len(cells)-1] {
				at[name] = cell
			}
			was, had := at[x.InstanceID]
			if at[x.InstanceID] = x.Cell; x.Lifecycle == "Gone" {
				delete(at, x.InstanceID)
			}
			cells = append(cells, at)
			changes = append(changes, change{d.Change(x), x, was, had})
		}
		of := rapid.SliceOfNDistinct(rapid.IntRange(0, partitions-1), 0, partitions, rapid.ID).Draw(t, "of")
		in := func(cell uint32) bool { return slices.Contains(of, partition.Of(cell, partitions)) }
		p := newFilter(t, partitions, of)
		wholeList := decodeAnswer(t, d.encodeAnswer(0, false, p))
		assert.Equal(t, [3]any{d.generation, true, partitions}, [3]any{wholeList.Generation, wholeList.Reset, wholeList.Partitions})
		var want []Instance
		for _, x := range d.list {
			if in(x.Cell) {
				want = append(want, x)
			}
		}
		assert.ElementsMatch(t, want, wholeList.Instances)
		after := rapid.Uint64Range(1, d.generation).Draw(t, "after")
		var expected []Instance
		for _, c := range changes {
			gone := c.instance.Lifecycle == "Gone"
			if c.generation > after && (c.wasListed && in(c.previousCell) || !(c.wasListed && gone) && in(c.instance.Cell)) {
				expected = append(expected, c.instance)
			}
		}
		assert.Equal(t, len(expected) > 0, d.hasNews(after, p))
		assert.Equal(t, lastChanges(expected), decodeAnswer(t, d.encodeAnswer(after, true, p)).Instances)
	})
}

// Discarded changes are removed from the indexes too.
func TestOldChangesAreDiscardedFromIndexes(t *testing.T) {
	d := &Directory{changed: make(chan struct{})}
	d.Replace(nil)
	p := newFilter(t, 2, []int{0, 1})
	d.changedSince(p, 0)
	var all []Instance
	for i := range maxChanges {
		all = append(all, Instance{InstanceID: "a", Cell: uint32(i % 3), Lifecycle: "Ready"})
	}
	d.Change(all...)
	d.Change(all[:3]...)
	kept := 0
	for _, n := range d.indexes[0].changes {
		kept += len(n)
	}
	assert.LessOrEqual(t, kept, 2*maxChanges, "a change affects at most two partitions")
	assert.Equal(t, slices.Min([]int{d.indexes[0].changes[0][0], d.indexes[0].changes[1][0]}), d.discardedChanges)
	assert.Len(t, decodeAnswer(t, d.encodeAnswer(2, true, p)).Instances, 1)
	assert.True(t, decodeAnswer(t, d.encodeAnswer(1, true, p)).Reset)
}

// A watch of partitions returns when one of them has changed, or at its timeout.
func TestWatchOfPartitions(t *testing.T) {
	const partitions = 64
	own, other := uint32(1), uint32(2)
	require.NotEqual(t, partition.Of(own, partitions), partition.Of(other, partitions))
	list := List([]Endpoint{{"a", "127.0.0.1:1", own, false}, {"b", "127.0.0.1:2", other, false}})
	d, err := NewDirectory(list)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	base := "http://" + d.Addr() + "/discovery/hosts"
	query := fmt.Sprintf("partitions=%d&of=%d", partitions, partition.Of(own, partitions))
	c := newTestClient(t, false)
	assert.NotContains(t, get(t, c, base+"?"+query), `"instanceId":"b"`)
	assert.Contains(t, get(t, c, base+"?"+query), `"partitions":64`)
	assert.NotContains(t, get(t, c, base), `"partitions"`)
	assert.Contains(t, get(t, c, base+"?partitions=64&of="), `"instances":[]`, "a courier without partitions receives an empty list")

	waiting := make(chan string, 1)
	go func() { waiting <- get(t, newTestClient(t, false), base+"?after=1&wait_ms=20000&"+query) }()
	for d.LastWatchedGeneration() < 1 {
		time.Sleep(time.Millisecond)
	}
	list[1].Lifecycle = "Terminating"
	d.Change(list[1])
	assert.Contains(t, get(t, c, base+"?after=1&wait_ms=1&"+query), `"generation":2,"instances":[],"partitions":64`, "at the timeout")
	select {
	case text := <-waiting:
		t.Fatalf("the watch returned for a change in another partition: %s", text)
	default:
	}
	list[0].Cell = other // the entry leaves the partition, whose watchers must be notified
	d.Change(list[0])
	assert.Contains(t, <-waiting, `"instanceId":"a"`)

	assert.Contains(t, get(t, c, base+"?after=9&wait_ms=20000&"+query), `"reset":true`, "a generation of another directory")
	d.SetPartitionSupport(false)
	assert.Contains(t, get(t, c, base+"?"+query), `"instanceId":"b"`)
	assert.NotContains(t, get(t, c, base+"?"+query), `"partitions"`)
	assert.Contains(t, get(t, c, base+"?partitions=x&of=y"), "200 ", "ignored parameters are not validated")
	d.SetPartitionSupport(true)
	for _, bad := range []string{
		"partitions=64", "of=1", "partitions=0&of=", "partitions=65537&of=1", "partitions=x&of=1", "partitions=64&of=64",
		"partitions=64&of=1,,2", "partitions=64&of=-1", "partitions=64&of=1&of=2", "partitions=64&partitions=64&of=1",
	} {
		assert.Contains(t, get(t, c, base+"?"+bad), "400 ", bad)
		assert.Contains(t, get(t, c, base+"?after=1&wait_ms=1&"+bad), "400 ", bad)
	}
}

// Cached responses are separate for each request, and their total size is limited.
func TestResponseCacheIsBounded(t *testing.T) {
	d := &Directory{changed: make(chan struct{})}
	var list []Instance
	for i := range 2000 {
		list = append(list, Instance{InstanceID: fmt.Sprint(i), HostPort: strings.Repeat("x", 1000), Cell: uint32(i), Lifecycle: "Ready"})
	}
	d.Replace(list)
	wholeList := d.encodeAnswer(0, false, partitionFilter{})
	for n := range 40 {
		a := decodeAnswer(t, d.encodeAnswer(0, false, newFilter(t, 40, []int{n, (n + 1) % 40})))
		for _, x := range a.Instances {
			require.Contains(t, []int{n, (n + 1) % 40}, partition.Of(x.Cell, 40))
		}
		d.encodeAnswer(0, false, newFilter(t, 50+n, []int{n})) // with other numbers of partitions
		d.encodeAnswer(uint64(n), true, partitionFilter{})
		size := -len(wholeList)
		for _, b := range d.cache {
			size += len(b)
		}
		require.LessOrEqual(t, size, maxCacheBytes)
		require.LessOrEqual(t, len(d.indexes), maxIndexes)
	}
	assert.Same(t, &wholeList[0], &d.encodeAnswer(0, false, partitionFilter{})[0], "the whole list stays cached")
}

// Measures the bytes of the response, header included, that a courier receives at its first start
// and at a restart ten minutes later, and the bytes of its request.
func BenchmarkEncodedPartitions(b *testing.B) {
	const (
		couriers, regions, copies = 3400, 3, 1
		destinations, each        = 1_300_000, 2
		partitions                = 16384
		changes                   = 3300 * 10 / (24 * 60) // in 10 minutes, at 3300 a day
		sampled                   = 200
	)
	var members []partition.Member
	for i := range couriers {
		members = append(members, partition.Member{Name: fmt.Sprintf("c%d", i), Addr: fmt.Sprintf("10.0.%d.%d:6379", i>>8, i&255), Region: fmt.Sprintf("r%d", i%regions)})
	}
	m, err := partition.New(partitions, copies, members)
	require.NoError(b, err)
	entry := func(i int) Instance {
		return Instance{
			InstanceID: fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1), HostPort: fmt.Sprintf("10.%d.%d.%d:6379", i>>16&255, i>>8&255, i&255),
			Zone: "a", MachineType: "m2", Cell: uint32(i / each), Lifecycle: "Ready", Weight: 1,
		}
	}
	var list []Instance
	for i := range destinations * each {
		list = append(list, entry(i))
	}
	d, err := NewDirectory(list)
	require.NoError(b, err)
	b.Cleanup(d.Close)
	c := &http.Client{}
	request := func(courier int, watch string) (out, in int) {
		var of []string
		for _, p := range m.Owned(members[courier].Name) {
			of = append(of, fmt.Sprint(p))
		}
		sent, got := d.traffic.out.Load(), d.traffic.in.Load()
		a, err := c.Get(fmt.Sprintf("http://%s/discovery/hosts?%spartitions=%d&of=%s", d.Addr(), watch, partitions, strings.Join(of, ",")))
		require.NoError(b, err)
		require.NoError(b, json.NewDecoder(a.Body).Decode(&directoryAnswer{}))
		_ = a.Body.Close()
		return int(d.traffic.out.Load() - sent), int(d.traffic.in.Load() - got)
	}
	request(0, "")
	var whole, largest, restart, requested int
	for b.Loop() {
		whole, largest, restart, requested = 0, 0, 0, 0
		for i := range sampled {
			n, in := request(i*couriers/sampled, "")
			whole, largest, requested = whole+n, max(largest, n), requested+in
		}
		before := d.generation
		for i := range changes {
			x := entry(i * 104729 % len(list))
			x.Lifecycle = "Terminating"
			d.Change(x)
		}
		for i := range sampled {
			n, _ := request(i*couriers/sampled, fmt.Sprintf("after=%d&wait_ms=1&", before))
			restart += n
		}
	}
	b.ReportMetric(float64(whole)/sampled, "B/part")
	b.ReportMetric(float64(largest), "B/part-most")
	b.ReportMetric(float64(restart)/sampled, "B/restart")
	b.ReportMetric(float64(requested)/sampled, "B/ask")
}
