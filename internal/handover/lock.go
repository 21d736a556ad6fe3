package handover

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// ErrOwned tells that another process owns the folder.
var ErrOwned = errors.New("another process owns the folder")

// Lock is the kernel's lock on a folder: whoever holds it owns what is in there. It ends with
// the last process that holds it.
type Lock struct{ file *os.File }

// Acquire takes the lock on a folder. ErrOwned tells that another process has it; any other error
// that there are no such locks here.
func Acquire(dir string) (*Lock, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("lock the folder: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrOwned
		}
		return nil, fmt.Errorf("lock the folder: %w", err)
	}
	return &Lock{f}, nil
}

// Received is the lock that came with a deed.
func Received(fd int) *Lock { return &Lock{os.NewFile(uintptr(fd), "folder")} }

// FD is its descriptor, which stays the lock's; -1: there is none.
func (l *Lock) FD() int {
	if l == nil {
		return -1
	}
	return int(l.file.Fd())
}

// Close lets go of it: where no other process holds a copy the folder is free.
func (l *Lock) Close() {
	if l != nil {
		l.file.Close()
	}
}
