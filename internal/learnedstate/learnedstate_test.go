package learnedstate

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
	"snowjunction/internal/record"
	"snowjunction/internal/sidefile"
)

func open(t require.TestingT, dir string, bytes int, known []Record) *Store {
	s, err := Open(Options{Dir: dir, Bytes: bytes, Log: slog.New(slog.DiscardHandler)}, known)
	require.NoError(t, err)
	return s
}

func newRecord(dest, ms int, text string) Record {
	return Record{uint32(dest), time.UnixMilli(int64(ms)), []byte(text)}
}

func load(t assert.TestingT, dir string) (out map[uint32]string) {
	out = map[uint32]string{}
	for _, r := range Load(dir, func(file string, err error) { assert.NoError(t, err, file) }) {
		out[r.Destination] = string(r.Snapshot)
	}
	return out
}

// size returns the disk space that the files of a directory take.
func size(t require.TestingT, dir string) (n int) {
	names, err := sidefile.Files(dir, segmentPrefix)
	require.NoError(t, err)
	for _, name := range names {
		i, err := os.Stat(name)
		require.NoError(t, err)
		n += int(i.Size()+sidefile.BlockSize-1) / sidefile.BlockSize * sidefile.BlockSize
	}
	return n
}

// For any records and any number of process runs, the latest record of each destination is stored
// as far as there is room, and the directory stays within its limit.
func TestRecordsSurviveRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "learnt")
		require.NoError(t, err)
		defer os.RemoveAll(dir)
		const bound = 8 << 10
		model, ms := map[uint32]string{}, 0
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			known := Load(dir, func(file string, err error) { assert.NoError(t, err, file) })
			s := open(t, dir, bound, known)
			for range rapid.IntRange(0, 30).Draw(t, "batches") {
				var batch []Record
				for range rapid.IntRange(1, 6).Draw(t, "records") {
					ms++
					r := newRecord(rapid.IntRange(0, 15).Draw(t, "dest"), ms, fmt.Sprintf("%d %s", ms, bytes.Repeat([]byte("x"), rapid.IntRange(0, 60).Draw(t, "len"))))
					batch = append(batch, r)
					model[r.Destination] = string(r.Snapshot)
				}
				s.Put(batch)
			}
			s.Close()
			require.Equal(t, model, load(t, dir))
			require.LessOrEqual(t, size(t, dir), bound)
		}
	})
}

// If there is not enough room, the latest records are kept.
func TestOldestRecordsAreDropped(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 4<<10, nil)
	for i := range 500 {
		s.Put([]Record{newRecord(i, i, "0123456789012345678901234567890123456789")})
	}
	s.Close()
	got := load(t, dir)
	assert.Contains(t, got, uint32(499))
	assert.NotContains(t, got, uint32(0))
	assert.Greater(t, len(got), 10)
	assert.LessOrEqual(t, size(t, dir), 4<<10)
	assert.NotZero(t, s.Counts().Dropped)
}

// A truncated write only loses its own records; damage, or a record of a later version, loses only
// what it affects.
func TestDamage(t *testing.T) {
	var b []byte
	for i := range 3 {
		b = AppendRecord(b, newRecord(i, i, "text"))
	}
	one := len(b) / 3
	for name, tc := range map[string]struct {
		change func(b []byte) []byte
		want   int
		wrong  int
	}{
		"whole":     {func(b []byte) []byte { return b }, 3, 0},
		"cut short": {func(b []byte) []byte { return b[:len(b)-2] }, 2, 1},
		"a bit":     {func(b []byte) []byte { b[one+record.FrameSize+2] ^= 1; return b }, 1, 1},
		"length":    {func(b []byte) []byte { b[one+3] = 0xff; return b }, 1, 1},
		"empty":     {func([]byte) []byte { return nil }, 0, 0},
		"future": {func(b []byte) []byte {
			x := AppendRecord(nil, newRecord(7, 7, "new"))
			x[record.FrameSize] = Version + 1
			record.Seal(x)
			return append(x, b...)
		}, 3, 0},
	} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, segmentPrefix+"000000000001"), tc.change(bytes.Clone(b)), 0o600))
		wrong := 0
		known := Load(dir, func(string, error) { wrong++ })
		assert.Len(t, known, tc.want, name)
		assert.Equal(t, tc.wrong, wrong, name)
		s := open(t, dir, 8<<10, known)
		s.Put([]Record{newRecord(9, 9, "goes on")})
		s.Close()
		assert.Len(t, load(t, dir), tc.want+1, name)
	}
}

// A directory that accepts no further files loses new records only until it is usable again.
func TestNoRoom(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 4<<10, nil)
	require.NoError(t, os.Mkdir(filepath.Join(dir, segmentPrefix+"000000000002"), 0o700)) // the path of the next segment
	for i := range 200 {
		s.Put([]Record{newRecord(1, i, "0123456789012345678901234567890123456789")})
		for n := s.Counts(); n.Writes+n.Failed <= uint64(i); n = s.Counts() {
			time.Sleep(time.Millisecond / 10)
		}
	}
	assert.NotZero(t, s.Counts().Failed)
	require.NoError(t, os.Remove(filepath.Join(dir, segmentPrefix+"000000000002")))
	s.Put([]Record{newRecord(1, 1000, "last")})
	s.Close()
	assert.Equal(t, map[uint32]string{1: "last"}, load(t, dir))
}

// Writes stay within the shares of the journal, in number and in bytes.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Writes: 0.02, Bytes: 0.1, MinAvailable: 256}
		writes, size, mine, myBytes := uint64(0), uint64(0), 0, 0
		for range 300 {
			writes += uint64(rapid.IntRange(0, 40).Draw(t, "writes"))
			size += uint64(rapid.IntRange(0, 9000).Draw(t, "bytes"))
			if room, ok := b.Allow(Journal{writes, size}); ok {
				n := rapid.IntRange(1, room).Draw(t, "size")
				b.Spend(n)
				mine++
				myBytes += n
			}
			require.LessOrEqual(t, float64(mine), 0.02*float64(writes))
			require.LessOrEqual(t, float64(myBytes), 0.1*float64(size))
		}
	})
}

// A state with small changes is not written again until some time has passed; changes that a
// restart depends on are written at once.
func TestMarkDiffers(t *testing.T) {
	at := time.UnixMilli(1e12)
	state := func(change func(s *snowjunction.DestinationSnapshot)) Mark {
		s := &snowjunction.DestinationSnapshot{
			Latency: 0.2, Routes: []snowjunction.RouteSnapshot{{Limit: 10, PacingRate: 4}},
			Endpoints: []snowjunction.EndpointSnapshot{{}, {}},
		}
		change(s)
		return MarkOf(s, at.Add(time.Second))
	}
	was := MarkOf(&snowjunction.DestinationSnapshot{
		Latency: 0.2, Routes: []snowjunction.RouteSnapshot{{Limit: 10, PacingRate: 4}}, Endpoints: []snowjunction.EndpointSnapshot{{}, {}},
	}, at)
	assert.False(t, state(func(s *snowjunction.DestinationSnapshot) {
		s.Routes[0].PacingRate = 4.5
		s.Latency = 0.25
		s.Retries = 9
	}).Differs(was))
	for name, change := range map[string]func(s *snowjunction.DestinationSnapshot){
		"held":    func(s *snowjunction.DestinationSnapshot) { s.Endpoints[1].Condition = snowjunction.Down },
		"warming": func(s *snowjunction.DestinationSnapshot) { s.Endpoints[0].Condition = snowjunction.Recovering },
		"fails":   func(s *snowjunction.DestinationSnapshot) { s.Endpoints[0].Failures = 1 },
		"refused": func(s *snowjunction.DestinationSnapshot) { s.Routes[0].Rejections = 1 },
		"limit":   func(s *snowjunction.DestinationSnapshot) { s.Routes[0].Limit = 5 },
		"pace":    func(s *snowjunction.DestinationSnapshot) { s.Routes[0].PacingRate = 2 },
		"gap":     func(s *snowjunction.DestinationSnapshot) { s.Routes[0].CallGap = time.Second },
	} {
		assert.True(t, state(change).Differs(was), name)
	}
	m := state(func(*snowjunction.DestinationSnapshot) {})
	m.at = at.Add(maxMarkAge)
	assert.True(t, m.Differs(was))
}

func FuzzNext(f *testing.F) {
	f.Add(AppendRecord(nil, newRecord(1, 2, "text")), false)
	f.Add([]byte{9, 0, 0, 0}, true)
	f.Fuzz(func(t *testing.T, b []byte, sealed bool) {
		if sealed && len(b) > record.FrameSize {
			record.Seal(b)
		}
		r, ok, rest, err := ReadRecord(b)
		if err != nil {
			return
		}
		assert.Less(t, len(rest), len(b))
		if ok {
			again, ok, rest, err := ReadRecord(AppendRecord(nil, r))
			require.NoError(t, err)
			assert.True(t, ok)
			assert.Empty(t, rest)
			assert.Equal(t, r.Destination, again.Destination)
			assert.Equal(t, r.At.UnixMilli(), again.At.UnixMilli())
			assert.Equal(t, r.Snapshot, again.Snapshot)
		}
	})
}

// For any order of changes, requests, late answers and unloadings: no write exceeds the shares, no
// record is lost that has room, and records without room wait.
func TestPicker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, j := NewPicker(), Journal{}
		writes, size, at := 0, 0, time.UnixMilli(1e12)
		var requested []uint32 // requested and not answered
		waiting := map[uint32]bool{}
		encode := func(s *snowjunction.DestinationSnapshot) []byte { return make([]byte, 20+int(s.Latency*100)) }
		for range 200 {
			j.Writes += uint64(rapid.IntRange(0, 60).Draw(t, "writes"))
			j.Bytes += uint64(rapid.IntRange(0, 6000).Draw(t, "bytes"))
			at = at.Add(time.Second)
			switch d := uint32(rapid.IntRange(0, 40).Draw(t, "dest")); rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				p.MarkChanged(d)
				waiting[d] = true
			case 1:
				picked := p.Pick(j)
				require.True(t, len(requested) == 0 || len(picked) == 0, "only one round of requests at a time")
				for _, d := range picked {
					require.True(t, waiting[d])
					delete(waiting, d)
				}
				requested = append(requested, picked...)
			case 2:
				p.AddUnloaded(d, at, make([]byte, rapid.IntRange(20, 200).Draw(t, "text")), j)
			default:
				for _, d := range requested {
					var s *snowjunction.DestinationSnapshot
					if rapid.Bool().Draw(t, "known") {
						s = &snowjunction.DestinationSnapshot{Latency: float64(rapid.IntRange(1, 9).Draw(t, "recent"))}
					}
					before := len(p.batch)
					p.HandleState(d, s, at, encode, j)
					if waiting[d] = waiting[d] || p.queued[d]; s != nil && len(p.batch) == before {
						require.True(t, p.queued[d] || p.Unchanged > 0, "it waits, or had changed too little")
					}
				}
				requested = nil
			}
			if batch := p.Flush(); len(batch) > 0 {
				writes++
				for _, r := range batch {
					size += len(AppendRecord(nil, r))
				}
			}
			require.LessOrEqual(t, float64(writes), writesShare*float64(j.Writes))
			require.LessOrEqual(t, float64(size), bytesShare*float64(j.Bytes))
			require.Equal(t, len(p.changed) > 0, p.Waiting())
		}
	})
}

// At a planned stop, all loaded destinations go into one write, whatever the budget allows, and the
// next write respects the budget again.
func TestPlannedStop(t *testing.T) {
	p := NewPicker()
	for _, d := range p.PickAll([]uint32{1, 2, 3}) {
		p.HandleState(d, &snowjunction.DestinationSnapshot{}, time.UnixMilli(1), func(*snowjunction.DestinationSnapshot) []byte { return []byte("x") }, Journal{})
	}
	assert.Len(t, p.Flush(), 3)
	p.AddUnloaded(4, time.UnixMilli(2), []byte("x"), Journal{})
	assert.Empty(t, p.Flush())
}
