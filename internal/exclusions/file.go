package exclusions

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"snowjunction/internal/aside"
)

// fileName is that of the file in the folder that lasts.
const fileName = "excluded"

// Room is what the file may take of the folder, with the one that replaces it.
func Room() int64 { return 2 * (Bytes/aside.Block + 1) * aside.Block }

// Read reads what an earlier life has left in a folder. A part that is torn is told of,
// the rest is kept.
func Read(dir string, into *Set, log *slog.Logger) {
	path := filepath.Join(dir, fileName)
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		log.Warn("what is out cannot be read", "file", path, "err", err)
		return
	}
	if lost := into.Decode(b); lost > 0 {
		log.Warn("what is out cannot be read whole", "file", path, "lost_bytes", lost, "out", into.Names())
	}
}

// File keeps the set in a folder, on a goroutine of its own.
type File struct{ writer aside.Writer[write] }

// write is the newest text, and who waits for it or an earlier one.
type write struct {
	text []byte
	done []func(error)
}

// Open returns the file in a folder.
func Open(dir string, log *slog.Logger) *File {
	f := &File{}
	f.writer = aside.Writer[write]{
		Log: log, What: "what is out",
		Merge: func(waiting, come write) write { return write{come.text, append(waiting.done, come.done...)} },
		Write: func(w write) error {
			err := save(filepath.Join(dir, fileName), w.text)
			for _, done := range w.done {
				done(err)
			}
			return err
		},
	}
	return f
}

// Put has the set written. done is called once it lasts, or with why it does not, on
// another goroutine; after Close it is not called.
func (f *File) Put(text []byte, done func(error)) {
	f.writer.Put(write{text, []func(error){done}})
}

// Close waits until what was put is written.
func (f *File) Close() { f.writer.Close() }

func save(path string, text []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("write what is out: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("write what is out: %w", err)
	}
	return nil
}
