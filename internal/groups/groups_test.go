package groups

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
)

func endpointAt(name, addr string, dest int) Entry {
	return Entry{Name: name, Addr: addr, Destination: snowjunction.DestinationID(dest), Phase: snowjunction.Ready, Weight: 1}
}

// After any sequence of Set and Remove the table has the same content as a map, with each
// destination's endpoints in listing order.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := New(), map[string]Entry{}
		order := []string{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			name := fmt.Sprintf("s-%d", rapid.IntRange(0, 60).Draw(t, "name"))
			if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
				name += strings.Repeat("x", 30)
			}
			was, had := model[name]
			order = remove(order, name)
			if rapid.Bool().Draw(t, "remove") {
				old, ok := table.Remove(name)
				require.Equal(t, had, ok)
				require.Equal(t, was, old)
				delete(model, name)
				continue
			}
			e := Entry{
				Name: name, Addr: fmt.Sprintf("127.0.0.%d:%d", rapid.IntRange(1, 9).Draw(t, "host"), rapid.IntRange(1, 65535).Draw(t, "port")),
				Destination: snowjunction.DestinationID(rapid.IntRange(0, 20).Draw(t, "dest")), Zone: rapid.IntRange(0, 3).Draw(t, "zone"),
				Kind: 1, Phase: snowjunction.Phase(rapid.IntRange(1, 2).Draw(t, "phase")), Weight: rapid.Float64Range(0, 9).Draw(t, "weight"),
			}
			if rapid.IntRange(0, 9).Draw(t, "six") == 0 {
				e.Addr = fmt.Sprintf("[::1]:%d", rapid.IntRange(1, 65535).Draw(t, "port6"))
			}
			old, ok := table.Set(e)
			require.Equal(t, had, ok)
			require.Equal(t, was, old)
			model[name] = e
			order = append(order, name)
		}
		require.Equal(t, len(model), table.Len())
		dests := map[snowjunction.DestinationID][]Entry{}
		for _, name := range order {
			e := model[name]
			got, ok := table.Get(name)
			require.True(t, ok)
			require.Equal(t, e, got)
			dests[e.Destination] = append(dests[e.Destination], e)
			at, ok := table.NameAt(e.Addr)
			require.True(t, ok || e.Phase != snowjunction.Ready)
			if ok {
				require.Equal(t, e.Addr, model[at].Addr)
				require.Equal(t, snowjunction.Ready, model[at].Phase)
			}
		}
		require.Equal(t, len(dests), table.Destinations())
		for d, want := range dests {
			var got []Entry
			for e := range table.ByDestination(d) {
				got = append(got, e)
			}
			require.Equal(t, want, got)
		}
		n := 0
		for range table.EntriesFrom(0) {
			n++
		}
		require.Equal(t, len(model), n)
	})
}

func remove(list []string, name string) []string {
	for i, x := range list {
		if x == name {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// An ambiguous list is refused. Its draining and gone entries are recorded nevertheless.
func TestInvalidLists(t *testing.T) {
	l, err := ListOf(true, false, []Entry{endpointAt("a", "127.0.0.1:1", 1), endpointAt("a", "127.0.0.1:2", 1)})
	assert.ErrorIs(t, err, ErrDuplicate)
	assert.Equal(t, 1, l.Entries.Len())
	_, err = ListOf(true, false, []Entry{endpointAt("a", "127.0.0.1:1", 1), endpointAt("b", "127.0.0.1:1", 2)})
	assert.ErrorIs(t, err, ErrAddress)
	_, err = ListOf(true, true, []Entry{endpointAt("a", "127.0.0.1:1", 1), endpointAt("b", "127.0.0.1:1", 2)})
	assert.NoError(t, err, "a gateway serves several endpoints at one address")
	gone := endpointAt("a", "127.0.0.1:1", 1)
	gone.Phase = snowjunction.Draining
	l, err = ListOf(true, false, []Entry{gone, endpointAt("b", "127.0.0.1:1", 2)})
	assert.NoError(t, err, "a draining endpoint may share its address with its successor")
	assert.Equal(t, []string{"a"}, l.Leaving)
}

// A change that assigns an address to another endpoint is valid if it also takes it from the former
// one, in any order.
func TestFits(t *testing.T) {
	table, err := ListOf(true, false, []Entry{endpointAt("a", "127.0.0.1:1", 1), endpointAt("b", "127.0.0.1:2", 1)})
	require.NoError(t, err)
	changes := func(entries ...Entry) *List {
		l, err := ListOf(false, false, entries)
		require.NoError(t, err)
		return l
	}
	gone := endpointAt("a", "127.0.0.1:1", 1)
	gone.Phase = snowjunction.Gone
	assert.ErrorIs(t, table.Entries.CheckChanges(changes(endpointAt("c", "127.0.0.1:1", 2))), ErrAddress)
	assert.NoError(t, table.Entries.CheckChanges(changes(endpointAt("c", "127.0.0.1:1", 2), gone)))
	assert.NoError(t, table.Entries.CheckChanges(changes(endpointAt("a", "127.0.0.1:1", 2))), "its own address")
	assert.NoError(t, table.Entries.CheckChanges(changes(endpointAt("a", "127.0.0.1:2", 1), endpointAt("b", "127.0.0.1:1", 1))), "two endpoints swap their addresses")
}

// A table that grows and shrinks, by changes or by full lists, frees its memory.
func TestTableFreesMemory(t *testing.T) {
	table := New()
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	grow := func(round int) {
		for i := range 20000 {
			table.Set(endpointAt(fmt.Sprintf("r%d-%d", round, i), fmt.Sprintf("127.%d.%d.%d:80", round+1, i>>8, i&255), i/2))
		}
	}
	shrink := func(round int) {
		for i := range 19990 {
			_, ok := table.Remove(fmt.Sprintf("r%d-%d", round, i))
			require.True(t, ok)
		}
		for i := 19990; i < 20000; i++ {
			table.Remove(fmt.Sprintf("r%d-%d", round, i))
		}
	}
	before := heap()
	grow(0)
	full := heap() - before
	assert.Less(t, full, int64(20000*100), "less than 100 bytes per endpoint")
	assert.InDelta(t, full, table.Bytes(), float64(full)/4, "Bytes is close to the measured size")
	shrink(0)
	for round := 1; round < 10; round++ {
		grow(round)
		shrink(round)
	}
	assert.Zero(t, table.Len())
	assert.Less(t, heap()-before, full/20)
	runtime.KeepAlive(table)
}

func BenchmarkSet(b *testing.B) {
	for _, n := range []int{20, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := New()
			for i := range n {
				table.Set(endpointAt(fmt.Sprintf("s-%d", i), fmt.Sprintf("127.0.%d.%d:80", i>>8, i&255), i/2))
			}
			e := endpointAt("s-7", "127.0.0.7:80", 3)
			b.ReportAllocs()
			for b.Loop() {
				table.Set(e)
			}
		})
	}
}
