package exclusions

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"snowjunction/internal/sidefile"
)

// fileName is the name of the file in the state directory.
const fileName = "excluded"

// DiskSpace returns the disk space in bytes that the file needs, including the copy that replaces it.
func DiskSpace() int64 { return 2 * (MaxBytes/sidefile.BlockSize + 1) * sidefile.BlockSize }

// Read adds the exclusions that a previous process run stored in a directory. Damaged records are
// logged, the others are kept.
func Read(dir string, into *Set, log *slog.Logger) {
	path := filepath.Join(dir, fileName)
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		log.Warn("exclusions cannot be read", "file", path, "err", err)
		return
	}
	if lost := into.Decode(b); lost > 0 {
		log.Warn("exclusions cannot be read completely", "file", path, "lost_bytes", lost, "out", into.Names())
	}
}

// File writes the set to a directory on its own goroutine.
type File struct{ writer sidefile.Writer[pendingWrite] }

// pendingWrite is the latest encoded set, and the callbacks of this and of earlier writes that it
// replaces.
type pendingWrite struct {
	encoded []byte
	done    []func(error)
}

// Open returns the file in a directory.
func Open(dir string, log *slog.Logger) *File {
	f := &File{}
	f.writer = sidefile.Writer[pendingWrite]{
		Log: log, Subject: "exclusions file",
		Merge: func(waiting, come pendingWrite) pendingWrite {
			return pendingWrite{come.encoded, append(waiting.done, come.done...)}
		},
		Write: func(w pendingWrite) error {
			err := writeFile(filepath.Join(dir, fileName), w.encoded)
			for _, done := range w.done {
				done(err)
			}
			return err
		},
	}
	return f
}

// Put writes the encoded set. done is called on another goroutine, without an error once the set is
// stored; it is not called after Close.
func (f *File) Put(text []byte, done func(error)) {
	f.writer.Put(pendingWrite{text, []func(error){done}})
}

// Close waits until pending writes are finished.
func (f *File) Close() { f.writer.Close() }

func writeFile(path string, text []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("write exclusions: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("write exclusions: %w", err)
	}
	return nil
}
