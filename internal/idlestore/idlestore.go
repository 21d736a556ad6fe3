// Package idlestore stores snapshots of unloaded destinations beyond memory, in a bbolt file whose
// path and size an operator file sets.
//
// One goroutine does all reading and writing, so callers never wait. The file only holds learned
// state that can be lost. A damaged file is moved aside, an unusable one loses its contents, and
// entries that are added faster than they can be written are dropped.
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

// Options configure a Store.
type Options struct {
	Path     string
	MaxBytes int64         // approximate size of the file; the oldest entries are dropped first
	MaxAge   time.Duration // older entries are dropped when the store is opened
	Post     func(func())  // runs the callbacks of Take
	Log      *slog.Logger
	Now      func() time.Time
}

// Store is an open store.
type Store struct {
	options  Options
	db       *bbolt.DB
	requests chan any
	done     chan struct{}

	mu      sync.Mutex
	stored  map[uint32]struct{}
	dropped uint64
	failed  bool
}

type putRequest struct {
	dest    uint32
	at      time.Time
	encoded []byte
}

type takeRequest struct {
	dest uint32
	done func(text []byte, at time.Time, ok bool)
}

var (
	snapshotBucket = []byte("mementos") // destination -> checksum, time in ms, snapshot
	ageBucket      = []byte("ages")     // time in ms, destination -> empty
)

const (
	queueCapacity = 4096
	maxBatch      = 512
	entryBytes    = 256 // approximate bytes of file per entry
)

// Open opens the store, or creates it. A file that is not a store, or is damaged, is renamed with
// the suffix .damaged. On an error the caller continues without a store.
func Open(o Options) (*Store, error) {
	s, err := open(o)
	if errors.Is(err, errLocked) {
		return nil, err
	}
	if err != nil {
		o.Log.Warn("idle store cannot be used; renaming the file and starting with an empty one", "path", o.Path, "err", err)
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
	s = &Store{options: o, requests: make(chan any, queueCapacity), done: make(chan struct{}), stored: map[uint32]struct{}{}}
	err = recoverPanic(func() error {
		// The free list is kept in the file: without it bbolt searches for free pages on its own
		// goroutine, where a damaged page would end the process.
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
		_ = recoverPanic(s.db.Close)
	}
	return s, err
}

// recoverPanic turns a panic into an error. bbolt panics on damaged pages, and reading the mapping
// of a truncated file causes a fault.
func recoverPanic(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("idle store is damaged: %v", r)
		}
	}()
	return f()
}

// load creates the buckets, drops entries that are too old and records which destinations have an
// entry.
func (s *Store) load() error {
	oldest := s.options.Now().Add(-s.options.MaxAge)
	return s.db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(snapshotBucket)
		if err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(ageBucket); err != nil {
			return err
		}
		if err := s.prune(tx, func(at time.Time, _ int) bool { return at.Before(oldest) }); err != nil {
			return err
		}
		return m.ForEach(func(k, v []byte) error {
			if _, _, ok := decode(k, v); ok {
				s.stored[binary.BigEndian.Uint32(k)] = struct{}{}
			}
			return nil
		})
	})
}

// prune drops the oldest entries while old returns true; n is the number of entries.
func (s *Store) prune(tx *bbolt.Tx, old func(at time.Time, n int) bool) error {
	m, a, n := tx.Bucket(snapshotBucket), tx.Bucket(ageBucket), s.Len()
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
			delete(s.stored, binary.BigEndian.Uint32(k[8:]))
			n = len(s.stored)
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
	binary.BigEndian.PutUint64(b, checksum(k, b[8:]))
	return b
}

func checksum(k, b []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(k)
	_, _ = d.Write(b)
	return d.Sum64()
}

func decode(k, v []byte) (text []byte, at time.Time, ok bool) {
	if len(k) != 4 || len(v) < 16 || binary.BigEndian.Uint64(v) != checksum(k, v[8:]) {
		return nil, time.Time{}, false
	}
	return append([]byte(nil), v[16:]...), time.UnixMilli(int64(binary.BigEndian.Uint64(v[8:]))), true
}

// Has reports whether there is a snapshot of a destination.
func (s *Store) Has(dest uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.stored[dest]
	return ok && !s.failed
}

// Len returns the number of snapshots.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stored)
}

// Dropped returns the number of snapshots that could not be written.
func (s *Store) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Put queues a snapshot for writing. It never waits.
func (s *Store) Put(dest uint32, at time.Time, text []byte) {
	select {
	case s.requests <- putRequest{dest, at, text}:
		s.mu.Lock()
		s.stored[dest] = struct{}{}
		s.mu.Unlock()
	default:
		s.mu.Lock()
		s.dropped++
		s.mu.Unlock()
	}
}

// Take requests a snapshot. done is posted with it, or with ok false if there is none. Take never
// waits: if the queue is full it returns false, and done is not called.
func (s *Store) Take(dest uint32, done func(text []byte, at time.Time, ok bool)) bool {
	select {
	case s.requests <- takeRequest{dest, done}:
		return true
	default:
		return false
	}
}

// Close writes the queued snapshots and closes the file.
func (s *Store) Close() {
	close(s.requests)
	<-s.done
}

func (s *Store) run() {
	defer close(s.done)
	for first := range s.requests {
		batch := []any{first}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case x, ok := <-s.requests:
				if more = ok; ok {
					batch = append(batch, x)
				}
			default:
				more = false
			}
		}
		s.process(batch)
	}
	_ = recoverPanic(s.db.Close)
}

// process processes a batch in order: consecutive writes share a transaction.
func (s *Store) process(batch []any) {
	for len(batch) > 0 {
		var puts []putRequest
		for len(batch) > 0 {
			p, ok := batch[0].(putRequest)
			if !ok {
				break
			}
			puts, batch = append(puts, p), batch[1:]
		}
		if len(puts) > 0 {
			s.withFile(func() error { return s.write(puts) })
		}
		if len(batch) > 0 {
			t := batch[0].(takeRequest)
			batch = batch[1:]
			var text []byte
			var at time.Time
			var ok bool
			s.withFile(func() error {
				return s.db.View(func(tx *bbolt.Tx) error {
					k := key(t.dest)
					text, at, ok = decode(k, tx.Bucket(snapshotBucket).Get(k))
					return nil
				})
			})
			s.options.Post(func() { t.done(text, at, ok) })
		}
	}
}

// withFile runs an operation on the file. After a failure the store holds nothing until the next
// start.
func (s *Store) withFile(f func() error) {
	s.mu.Lock()
	failed := s.failed
	s.mu.Unlock()
	if failed {
		return
	}
	if err := recoverPanic(f); err != nil {
		s.options.Log.Warn("idle store failed; not used until the next start", "path", s.options.Path, "err", err)
		s.mu.Lock()
		s.failed = true
		s.mu.Unlock()
	}
}

func key(dest uint32) []byte { return binary.BigEndian.AppendUint32(nil, dest) }

func (s *Store) write(puts []putRequest) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		m, a := tx.Bucket(snapshotBucket), tx.Bucket(ageBucket)
		for _, p := range puts {
			k := key(p.dest)
			if _, at, ok := decode(k, m.Get(k)); ok {
				if err := a.Delete(ageKey(at, k)); err != nil {
					return err
				}
			}
			if err := m.Put(k, encode(k, p.at, p.encoded)); err != nil {
				return err
			}
			if err := a.Put(ageKey(p.at, k), nil); err != nil {
				return err
			}
		}
		most := int(s.options.MaxBytes / entryBytes)
		return s.prune(tx, func(_ time.Time, n int) bool { return n > most })
	})
}

func ageKey(at time.Time, k []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(at.UnixMilli())), k...)
}
