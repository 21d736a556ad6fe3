// Package idlestore keeps mementos of destinations that sleep beyond memory, in
// a bbolt file that an operator file names and bounds.
//
// A goroutine of its own does all reading and writing: whoever hands something
// over never waits. What it holds is knowledge and nothing more. A file that is
// damaged is set aside, one that cannot be used costs what was in it, and when
// more is handed over than can be written some of it is dropped.
package idlestore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// Options name and bound a store.
type Options struct {
	Path   string
	Bytes  int64         // of the file, about: the oldest go first
	Forget time.Duration // older ones are dropped at the start
	Post   func(func())  // runs what Take answers
	Log    *slog.Logger
	Now    func() time.Time
}

// Store is an open store.
type Store struct {
	o    Options
	db   *bbolt.DB
	work chan any
	done chan struct{}

	mu      sync.Mutex
	has     map[uint32]struct{}
	dropped uint64
	broken  bool
}

type put struct {
	dest uint32
	at   time.Time
	text []byte
}

type take struct {
	dest uint32
	done func(text []byte, at time.Time, ok bool)
}

var (
	mementos = []byte("mementos") // destination -> checksum, time in ms, memento
	ages     = []byte("ages")     // time in ms, destination -> nothing
)

const (
	queueMost = 4096
	batchMost = 512
	entryCost = 256 // bytes of file for one, about
)

// Open opens the store, or makes one. A file that is no store, or a damaged
// one, is set aside under the same name with .damaged behind it. An error means
// that there is none: the caller goes on without.
func Open(o Options) (*Store, error) {
	s, err := open(o)
	if errors.Is(err, errLocked) {
		return nil, err
	}
	if err != nil {
		o.Log.Warn("idle store set aside", "path", o.Path, "err", err)
		if err := os.Rename(o.Path, o.Path+".damaged"); err != nil {
			return nil, fmt.Errorf("idle store: %w", err)
		}
		if s, err = open(o); err != nil {
			return nil, err
		}
	}
	go s.run()
	return s, nil
}

var errLocked = errors.New("idle store: another process has it open")

func open(o Options) (s *Store, err error) {
	s = &Store{o: o, work: make(chan any, queueMost), done: make(chan struct{}), has: map[uint32]struct{}{}}
	err = guarded(func() error {
		// The list of free pages is kept in the file: without it bbolt looks for
		// them on a goroutine of its own, where a damaged page ends the process.
		db, err := bbolt.Open(o.Path, 0o600, &bbolt.Options{
			Timeout: time.Second, NoSync: true, FreelistType: bbolt.FreelistMapType,
		})
		if err != nil {
			return err
		}
		s.db = db
		return s.load()
	})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, errLocked
	}
	if err != nil && s.db != nil {
		_ = guarded(s.db.Close)
	}
	return s, err
}

// guarded turns a panic into an error. bbolt panics on damaged pages, and a
// file that is cut short faults where its mapping is read.
func guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("idle store is damaged: %v", r)
		}
	}()
	return f()
}

// load makes the buckets, drops what is too old and notes what there is.
func (s *Store) load() error {
	oldest := s.o.Now().Add(-s.o.Forget)
	return s.db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(mementos)
		if err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(ages); err != nil {
			return err
		}
		if err := s.prune(tx, func(at time.Time, _ int) bool { return at.Before(oldest) }); err != nil {
			return err
		}
		return m.ForEach(func(k, v []byte) error {
			if _, _, ok := decode(k, v); ok {
				s.has[binary.BigEndian.Uint32(k)] = struct{}{}
			}
			return nil
		})
	})
}

// prune drops the oldest while old says so; n is how many there are.
func (s *Store) prune(tx *bbolt.Tx, old func(at time.Time, n int) bool) error {
	m, a, n := tx.Bucket(mementos), tx.Bucket(ages), s.Len()
	c := a.Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.First() {
		if len(k) == 12 && !old(time.UnixMilli(int64(binary.BigEndian.Uint64(k))), n) {
			return nil
		}
		if len(k) == 12 {
			if err := m.Delete(k[8:]); err != nil {
				return err
			}
			s.mu.Lock()
			delete(s.has, binary.BigEndian.Uint32(k[8:]))
			n = len(s.has)
			s.mu.Unlock()
		}
		if err := a.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func encode(k []byte, at time.Time, text []byte) []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 8, 16+len(text)), uint64(at.UnixMilli()))
	b = append(b, text...)
	binary.BigEndian.PutUint64(b, sum(k, b[8:]))
	return b
}

func sum(k, b []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(k)
	_, _ = d.Write(b)
	return d.Sum64()
}

func decode(k, v []byte) (text []byte, at time.Time, ok bool) {
	if len(k) != 4 || len(v) < 16 || binary.BigEndian.Uint64(v) != sum(k, v[8:]) {
		return nil, time.Time{}, false
	}
	return append([]byte(nil), v[16:]...), time.UnixMilli(int64(binary.BigEndian.Uint64(v[8:]))), true
}

// Has tells whether there is a memento of a destination.
func (s *Store) Has(dest uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.has[dest]
	return ok && !s.broken
}

// Len is the number of mementos, Dropped how many could not be written.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.has)
}

// Dropped is how many could not be written.
func (s *Store) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Put hands a memento over. It never waits.
func (s *Store) Put(dest uint32, at time.Time, text []byte) {
	select {
	case s.work <- put{dest, at, text}:
		s.mu.Lock()
		s.has[dest] = struct{}{}
		s.mu.Unlock()
	default:
		s.mu.Lock()
		s.dropped++
		s.mu.Unlock()
	}
}

// Take asks for a memento; done is posted with it, or with ok false. It never
// waits. done is not called where the store has too much to do: it returns
// false then.
func (s *Store) Take(dest uint32, done func(text []byte, at time.Time, ok bool)) bool {
	select {
	case s.work <- take{dest, done}:
		return true
	default:
		return false
	}
}

// Close writes what has been handed over and closes the file.
func (s *Store) Close() {
	close(s.work)
	<-s.done
}

func (s *Store) run() {
	defer close(s.done)
	for first := range s.work {
		batch := []any{first}
		for more := true; more && len(batch) < batchMost; {
			select {
			case x, ok := <-s.work:
				if more = ok; ok {
					batch = append(batch, x)
				}
			default:
				more = false
			}
		}
		s.do(batch)
	}
	_ = guarded(s.db.Close)
}

// do carries a batch out in order: writes in a row share a transaction.
func (s *Store) do(batch []any) {
	for len(batch) > 0 {
		var puts []put
		for len(batch) > 0 {
			p, ok := batch[0].(put)
			if !ok {
				break
			}
			puts, batch = append(puts, p), batch[1:]
		}
		if len(puts) > 0 {
			s.guard(func() error { return s.write(puts) })
		}
		if len(batch) > 0 {
			t := batch[0].(take)
			batch = batch[1:]
			var text []byte
			var at time.Time
			var ok bool
			s.guard(func() error {
				return s.db.View(func(tx *bbolt.Tx) error {
					k := key(t.dest)
					text, at, ok = decode(k, tx.Bucket(mementos).Get(k))
					return nil
				})
			})
			s.o.Post(func() { t.done(text, at, ok) })
		}
	}
}

// guard does something with the file. After a failure the store holds nothing
// any more until the next start.
func (s *Store) guard(f func() error) {
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if broken {
		return
	}
	if err := guarded(f); err != nil {
		s.o.Log.Warn("idle store given up until the next start", "path", s.o.Path, "err", err)
		s.mu.Lock()
		s.broken = true
		s.mu.Unlock()
	}
}

func key(dest uint32) []byte { return binary.BigEndian.AppendUint32(nil, dest) }

func (s *Store) write(puts []put) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		m, a := tx.Bucket(mementos), tx.Bucket(ages)
		for _, p := range puts {
			k := key(p.dest)
			if _, at, ok := decode(k, m.Get(k)); ok {
				if err := a.Delete(age(at, k)); err != nil {
					return err
				}
			}
			if err := m.Put(k, encode(k, p.at, p.text)); err != nil {
				return err
			}
			if err := a.Put(age(p.at, k), nil); err != nil {
				return err
			}
		}
		most := int(s.o.Bytes / entryCost)
		return s.prune(tx, func(_ time.Time, n int) bool { return n > most })
	})
}

func age(at time.Time, k []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(at.UnixMilli())), k...)
}
