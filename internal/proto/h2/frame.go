// Package h2 implements HTTP/2 (RFC 9113) without I/O. A Conn takes the bytes received
// and returns whole messages, stream resets and GOAWAY notices. It buffers bytes to be
// sent until Output returns them. Framing, streams and flow control are implemented
// here; header compression uses the hpack package of golang.org/x/net.
package h2

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Preface is the connection preface, the first bytes that a client sends (section 3.4).
const Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// Code is an error code of RFC 9113, section 7.
type Code uint32

// Error codes used by this package.
const (
	NoError          Code = 0x0
	ProtocolError    Code = 0x1
	InternalError    Code = 0x2
	FlowControlError Code = 0x3
	StreamClosed     Code = 0x5
	FrameSizeError   Code = 0x6
	RefusedStream    Code = 0x7
	Cancel           Code = 0x8
	CompressionError Code = 0x9
	EnhanceYourCalm  Code = 0xb
)

// ConnError is a connection error (section 5.4.1). The GOAWAY frame for it is already in Output.
type ConnError struct {
	Code   Code
	Reason string
}

// Error returns the error code and the reason.
func (e *ConnError) Error() string {
	return fmt.Sprintf("HTTP/2 error %#x: %s", uint32(e.Code), e.Reason)
}

// ErrNoStream means that no further stream can be opened on the connection.
var ErrNoStream = errors.New("no further stream on this connection")

// frameType is the type of a frame (section 6).
type frameType byte

const (
	frameData         frameType = 0x0
	frameHeaders      frameType = 0x1
	framePriority     frameType = 0x2
	frameReset        frameType = 0x3
	frameSettings     frameType = 0x4
	framePush         frameType = 0x5
	framePing         frameType = 0x6
	frameGoAway       frameType = 0x7
	frameWindow       frameType = 0x8
	frameContinuation frameType = 0x9
)

// Frame flags (section 6).
const (
	flagEndStream  = 0x1
	flagAck        = 0x1
	flagEndHeaders = 0x4
	flagPadded     = 0x8
	flagPriority   = 0x20
)

// Settings (section 6.5.2).
const (
	settingTableSize   = 0x1
	settingPush        = 0x2
	settingMaxStreams  = 0x3
	settingWindow      = 0x4
	settingFrameSize   = 0x5
	settingHeaderBytes = 0x6
)

// Sizes in bytes.
const (
	frameHeaderSize = 9
	defaultWindow   = 65535
	maxWindow       = 1<<31 - 1
	minFrameSize    = 16384 // also the largest frame that we accept
	maxFrameSize    = 1<<24 - 1
)

// frame is a parsed frame (section 4.1).
type frame struct {
	kind    frameType
	flags   byte
	stream  uint32
	payload []byte
}

// has reports whether a flag is set.
func (f frame) has(flag byte) bool { return f.flags&flag != 0 }

// parseFrame parses the first frame of b. ok is false if the frame is incomplete.
func parseFrame(b []byte) (f frame, rest []byte, ok bool, err *ConnError) {
	if len(b) < frameHeaderSize {
		return f, b, false, nil
	}
	n := int(b[0])<<16 | int(b[1])<<8 | int(b[2])
	if n > minFrameSize {
		return f, b, false, &ConnError{FrameSizeError, "a frame over the size we take"}
	}
	if len(b) < frameHeaderSize+n {
		return f, b, false, nil
	}
	f = frame{frameType(b[3]), b[4], binary.BigEndian.Uint32(b[5:]) & maxWindow, b[frameHeaderSize : frameHeaderSize+n]}
	return f, b[frameHeaderSize+n:], true, nil
}

func appendFrame(b []byte, kind frameType, flags byte, stream uint32, payload []byte) []byte {
	n := len(payload)
	b = append(b, byte(n>>16), byte(n>>8), byte(n), byte(kind), flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

func appendSetting(b []byte, id uint16, value uint32) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(b, id), value)
}

// stripPadding returns the payload without padding and without the priority fields of HEADERS.
func stripPadding(f frame) ([]byte, *ConnError) {
	b, pad := f.payload, 0
	if f.has(flagPadded) {
		if len(b) == 0 {
			return nil, &ConnError{FrameSizeError, "padding without its length"}
		}
		pad, b = int(b[0]), b[1:]
	}
	if f.kind == frameHeaders && f.has(flagPriority) {
		if len(b) < 5 {
			return nil, &ConnError{FrameSizeError, "priority cut short"}
		}
		b = b[5:]
	}
	if pad > len(b) {
		return nil, &ConnError{ProtocolError, "more padding than payload"}
	}
	return b[:len(b)-pad], nil
}
