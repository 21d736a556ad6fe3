package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of waits.
const (
	StepWithin = 2 * time.Second        // for the other side's next frame
	AskWithin  = 400 * time.Millisecond // for the owner to answer a call
)

const socketName = "handover.sock"

// Link is a connection between two couriers of one folder. It is not safe for concurrent use.
type Link struct {
	c   *net.UnixConn
	buf []byte
	oob []byte
}

func newLink(c *net.UnixConn) *Link { return &Link{c: c} }

// Send sends a frame, with a copy of its descriptor.
func (l *Link) Send(f Frame) error {
	var rights []byte
	if f.FD >= 0 {
		rights = unix.UnixRights(f.FD)
	}
	if err := l.c.SetWriteDeadline(time.Now().Add(StepWithin)); err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	if _, _, err := l.c.WriteMsgUnix(f.Encode(), rights, nil); err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return nil
}

// Receive waits so long for a frame. Its descriptor is the caller's.
func (l *Link) Receive(within time.Duration) (Frame, error) {
	if l.buf == nil {
		l.buf, l.oob = make([]byte, PacketMost+1), make([]byte, 256)
	}
	if err := l.c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return Frame{}, fmt.Errorf("hand over: %w", err)
	}
	n, oobn, flags, _, err := l.c.ReadMsgUnix(l.buf, l.oob)
	if err != nil {
		return Frame{}, fmt.Errorf("hand over: %w", err)
	}
	fds := descriptors(l.oob[:oobn])
	fd := -1
	if len(fds) == 1 {
		fd = fds[0]
	}
	f, err := Decode(append([]byte(nil), l.buf[:n]...), fd)
	if n == 0 {
		err = net.ErrClosed
	}
	if len(fds) > 1 || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		err = fmt.Errorf("%w: cut short", ErrFrame)
	}
	if err != nil {
		for _, fd := range fds {
			unix.Close(fd)
		}
		return Frame{}, err
	}
	return f, nil
}

func descriptors(oob []byte) (fds []int) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range messages {
		if got, err := unix.ParseUnixRights(&messages[i]); err == nil {
			fds = append(fds, got...)
		}
	}
	return fds
}

// Close ends the connection.
func (l *Link) Close() { l.c.Close() }

// Close closes all descriptors of an estate.
func (e *Estate) Close() {
	e.Each(func(fd *int) {
		if *fd >= 0 {
			unix.Close(*fd)
			*fd = -1
		}
	})
}

// Copy is another descriptor of what fd stands for, which no program started later inherits.
func Copy(fd int) (int, error) {
	n, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("copy a descriptor: %w", err)
	}
	return n, nil
}

// address is the socket of a folder. A path over what the kernel takes is reached by the
// folder's own descriptor, which release closes.
func address(dir string) (addr *net.UnixAddr, release func(), err error) {
	path := filepath.Join(dir, socketName)
	if len(path) < 100 {
		return &net.UnixAddr{Name: path, Net: "unixpacket"}, func() {}, nil
	}
	f, err := os.Open(dir)
	if err != nil {
		return nil, nil, err
	}
	return &net.UnixAddr{Name: fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), socketName), Net: "unixpacket"}, func() { f.Close() }, nil
}

// Dial reaches the owner of a folder.
func Dial(dir string) (*Link, error) {
	addr, release, err := address(dir)
	if err != nil {
		return nil, fmt.Errorf("reach the owner: %w", err)
	}
	defer release()
	c, err := net.DialUnix("unixpacket", nil, addr)
	if err != nil {
		return nil, fmt.Errorf("reach the owner: %w", err)
	}
	return newLink(c), nil
}

// Door is where the owner of a folder is asked.
type Door struct {
	l    *net.UnixListener
	path string
}

// doorMost bounds the connections that are served at once.
const doorMost = 8

// Open opens the door of a folder that the caller owns; what an earlier owner has left of it
// is removed. hello is called for each connection with its first frame, on a goroutine of its
// own, and closes the link. foreign is told of what cannot be read.
func Open(dir string, hello func(*Link, Frame, error), foreign func(error)) (*Door, error) {
	path := filepath.Join(dir, socketName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("listen for handovers: %w", err)
	}
	addr, release, err := address(dir)
	if err != nil {
		return nil, fmt.Errorf("listen for handovers: %w", err)
	}
	defer release()
	l, err := net.ListenUnix("unixpacket", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for handovers: %w", err)
	}
	l.SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("listen for handovers: %w", err)
	}
	go func() {
		room := make(chan struct{}, doorMost)
		for {
			c, err := l.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			room <- struct{}{}
			go func() {
				defer func() { <-room }()
				link := newLink(c)
				f, err := link.Receive(StepWithin)
				if err != nil && !errors.Is(err, ErrVersion) {
					foreign(err)
					link.Close()
					return
				}
				hello(link, f, err)
			}()
		}
	}()
	return &Door{l, path}, nil
}

// Close shuts the door. The socket stays in the folder for the next owner to replace.
func (d *Door) Close() {
	if d != nil {
		d.l.Close()
	}
}
