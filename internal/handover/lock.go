package handover

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// ErrOwned is returned by Acquire if another process holds the lock.
var ErrOwned = errors.New("another process owns the folder")

// Lock is a kernel lock (flock) on a folder. Its holder owns the folder's content. The kernel
// releases it with the last descriptor that refers to it.
type Lock struct{ file *os.File }

// Acquire takes the lock on a folder. It returns ErrOwned if another process holds it; any other
// error means that the folder cannot be locked here.
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

// LockFromDescriptor returns the lock whose descriptor was received in a KindLock frame.
func LockFromDescriptor(fd int) *Lock { return &Lock{os.NewFile(uintptr(fd), "folder")} }

// FD returns the lock's descriptor, which the lock continues to own, or -1 for a nil lock.
func (l *Lock) FD() int {
	if l == nil {
		return -1
	}
	return int(l.file.Fd())
}

// Close closes this copy of the lock. The folder is free if no other process holds a copy.
func (l *Lock) Close() {
	if l != nil {
		l.file.Close()
	}
}
