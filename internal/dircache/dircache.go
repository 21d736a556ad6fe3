package dircache

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"

	"snowjunction/internal/sidefile"
)

// Options configures a Cache.
type Options struct {
	Dir         string
	Bytes       int // maximum size of one snapshot
	Generations int // number of snapshots that are kept
	Log         *slog.Logger
}

// MaxDiskBytes returns the maximum disk space of a cache in bytes: its snapshots and the one being written.
func (o Options) MaxDiskBytes() int64 {
	return int64(o.Generations+1) * int64(o.Bytes+sidefile.BlockSize)
}

const (
	filePrefix  = "directory-"
	partialName = filePrefix + "new"
)

// Cache writes snapshots in the background; callers never wait for the disk.
type Cache struct {
	opts       Options
	lastNumber uint64 // number of the newest file
	writer     *sidefile.Writer[[]byte]

	written, bytes atomic.Uint64
}

// Counts counts the writes of a Cache.
type Counts struct {
	Written, Failed uint64
	Bytes           uint64
}

// Files returns the snapshots in a folder, newest first.
func Files(dir string) ([]string, error) {
	out, err := sidefile.Files(dir, filePrefix)
	slices.Reverse(out)
	return out, err
}

// Load reads the newest readable snapshot in a folder and reports errors in newer ones to onError.
// It returns nil if there is none, which is not an error.
func Load(dir string, onError func(file string, err error)) *Snapshot {
	files, err := Files(dir)
	if err != nil {
		onError(dir, err)
		return nil
	}
	for _, name := range files {
		s, err := Read(name)
		if err == nil {
			return s
		}
		onError(filepath.Base(name), err)
	}
	return nil
}

// maxFileBytes limits the size of a file that is read.
const maxFileBytes = 256 << 20

// Read reads and decodes a snapshot file.
func Read(path string) (*Snapshot, error) {
	if i, err := os.Stat(path); err != nil {
		return nil, err
	} else if i.Size() > maxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes exceed the size limit", ErrInvalid, i.Size())
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

// Open prepares a folder for writing. It removes a partially written file and the snapshots beyond
// the configured generations.
func Open(o Options) (*Cache, error) {
	c := &Cache{opts: o}
	c.writer = &sidefile.Writer[[]byte]{
		Merge: func(_, newest []byte) []byte { return newest }, Write: c.save, Log: o.Log, Subject: "the directory's list",
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("open the directory cache: %w", err)
	}
	if err := os.Remove(filepath.Join(o.Dir, partialName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("open the directory cache: %w", err)
	}
	files, err := Files(o.Dir)
	if err != nil {
		return nil, fmt.Errorf("open the directory cache: %w", err)
	}
	if len(files) > 0 {
		c.lastNumber = sidefile.Number(files[0], filePrefix)
	}
	return c, c.prune()
}

// Put schedules a snapshot to be written; it replaces one that is still waiting.
func (c *Cache) Put(b []byte) { c.writer.Put(b) }

// Close waits until the last snapshot that was put is written.
func (c *Cache) Close() { c.writer.Close() }

// Counts returns the current counts.
func (c *Cache) Counts() Counts {
	return Counts{Written: c.written.Load(), Failed: c.writer.Failed(), Bytes: c.bytes.Load()}
}

// save writes a snapshot to a temporary file, renames it to its final name and removes surplus
// snapshots.
func (c *Cache) save(b []byte) error {
	path := filepath.Join(c.opts.Dir, partialName)
	if err := os.WriteFile(path, b, 0o600); err != nil {
		_ = os.Remove(path)
		return err
	}
	c.lastNumber++
	if err := os.Rename(path, sidefile.Path(c.opts.Dir, filePrefix, c.lastNumber)); err != nil {
		_ = os.Remove(path)
		return err
	}
	c.written.Add(1)
	c.bytes.Add(uint64(len(b)))
	return c.prune()
}

func (c *Cache) prune() error {
	files, err := Files(c.opts.Dir)
	if err != nil {
		return err
	}
	for _, name := range files[min(len(files), max(c.opts.Generations, 1)):] {
		if err := os.Remove(name); err != nil {
			return err
		}
	}
	return nil
}
