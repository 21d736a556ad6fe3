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

// Timeouts.
const (
	StepTimeout  = 2 * time.Second        // for the peer's next frame
	QueryTimeout = 400 * time.Millisecond // for the owner's answer to a query
)

const socketName = "handover.sock"

// Link is a connection between two couriers of one folder. It is not safe for concurrent use.
type Link struct {
	conn *net.UnixConn
	buf  []byte
	oob  []byte
}

func newLink(c *net.UnixConn) *Link { return &Link{conn: c} }

// Send sends a frame and a copy of its descriptor.
func (l *Link) Send(f Frame) error {
	var rights []byte
	if f.FD >= 0 {
		rights = unix.UnixRights(f.FD)
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(StepTimeout)); err != nil {
		return fmt.Errorf("handover link: %w", err)
	}
	if _, _, err := l.conn.WriteMsgUnix(f.Encode(), rights, nil); err != nil {
		return fmt.Errorf("handover link: %w", err)
	}
	return nil
}

// Receive waits up to the given time for a frame. The caller owns its descriptor.
func (l *Link) Receive(within time.Duration) (Frame, error) {
	if l.buf == nil {
		l.buf, l.oob = make([]byte, MaxPacketSize+1), make([]byte, 256)
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return Frame{}, fmt.Errorf("handover link: %w", err)
	}
	n, oobn, flags, _, err := l.conn.ReadMsgUnix(l.buf, l.oob)
	if err != nil {
		return Frame{}, fmt.Errorf("handover link: %w", err)
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
		err = fmt.Errorf("%w: truncated", ErrFrame)
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

// Close closes the connection.
func (l *Link) Close() { l.conn.Close() }

// Close closes all descriptors of the handover state.
func (e *State) Close() {
	e.EachDescriptor(func(fd *int) {
		if *fd >= 0 {
			unix.Close(*fd)
			*fd = -1
		}
	})
}

// DupDescriptor duplicates a descriptor with close-on-exec set.
func DupDescriptor(fd int) (int, error) {
	n, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("duplicate a descriptor: %w", err)
	}
	return n, nil
}

// address returns the address of a folder's socket. A path that is too long for the kernel is
// reached through a descriptor of the folder, which release closes.
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

// Dial connects to the owner of a folder.
func Dial(dir string) (*Link, error) {
	addr, release, err := address(dir)
	if err != nil {
		return nil, fmt.Errorf("connect to the folder's owner: %w", err)
	}
	defer release()
	c, err := net.DialUnix("unixpacket", nil, addr)
	if err != nil {
		return nil, fmt.Errorf("connect to the folder's owner: %w", err)
	}
	return newLink(c), nil
}

// Server accepts handover requests for a folder.
type Server struct {
	l    *net.UnixListener
	path string
}

// maxConnections limits the connections that are served at the same time.
const maxConnections = 8

// Open starts a Server for a folder that the caller owns and removes the socket of an earlier
// owner. handle is called for each connection with its first frame, on a goroutine of its own, and
// must close the link. onError is called for frames that cannot be read.
func Open(dir string, handle func(*Link, Frame, error), onError func(error)) (*Server, error) {
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
		slots := make(chan struct{}, maxConnections)
		for {
			c, err := l.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				link := newLink(c)
				f, err := link.Receive(StepTimeout)
				if err != nil && !errors.Is(err, ErrVersion) {
					onError(err)
					link.Close()
					return
				}
				handle(link, f, err)
			}()
		}
	}()
	return &Server{l, path}, nil
}

// Close stops the server. The socket file stays in the folder until the next owner replaces it.
func (d *Server) Close() {
	if d != nil {
		d.l.Close()
	}
}
