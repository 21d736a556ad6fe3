// Package peermsg encodes and decodes the messages that the couriers of a fleet send each other. It
// does no I/O. A message is a format byte, followed by an item for each destination:
//
//	uvarint  destination
//	byte     flags
//	byte     calls requested or granted, with flag 1 (request) or 2 (grant)
//	byte     rank, with flag 1
//	varint   calls returned, with flag 4
//	uvarint  calls rejected, with flag 8
//	uvarint  limit in tenths of a call per second, with flag 16
//	flag 32  the sender's calls fail
//	flag 64  a call was answered again
//	flag 128 grants are limited to the capacity of a cold destination; with flag 1, the limit is
//	         not new
package peermsg

import (
	"encoding/binary"
	"errors"
	"math"

	"snowjunction"
	"snowjunction/internal/record"
)

// MaxBytes is the maximum size of a message in bytes.
const MaxBytes = 256

const (
	// formatVersion is the format byte; the following constants are the flags of an item.
	formatVersion  = 1
	flagRequest    = 1
	flagGrant      = 2
	flagReturned   = 4
	flagRejected   = 8
	flagLimit      = 16
	flagFailing    = 32
	flagRecovered  = 64
	flagCold       = 128 // with grants
	flagStaleLimit = 128 // with asks

	maxCalls     = 255
	maxReturned  = 1000
	maxLimit     = 1e6 // calls per second
	maxItemBytes = 5 + 1 + 2 + 2 + 2 + 4
)

// Errors returned by Decode.
var (
	ErrFormat = errors.New("peer message has an unknown format")
	ErrItem   = errors.New("peer message is truncated or has a value out of range")
)

// Encode encodes items as one or more messages. Without items it returns one empty message, which
// tells the receiver that the sender is alive.
func Encode(items []snowjunction.PeerMessage) (out [][]byte) {
	b := []byte{formatVersion}
	for _, n := range items {
		if len(b)+maxItemBytes > MaxBytes {
			out, b = append(out, b), []byte{formatVersion}
		}
		b = appendItem(b, n)
	}
	if len(b) > 1 || len(out) == 0 {
		out = append(out, b)
	}
	return out
}

func appendItem(b []byte, n snowjunction.PeerMessage) []byte {
	b = binary.AppendUvarint(b, uint64(n.Destination))
	at := len(b)
	b = append(b, 0)
	flag := func(set bool, f byte) bool {
		if set {
			b[at] |= f
		}
		return set
	}
	flag(n.Unreachable, flagFailing)
	flag(n.Recovered, flagRecovered)
	flag(n.Cold && !n.RequestsGrant, flagCold)
	flag(n.OldLimit && n.RequestsGrant, flagStaleLimit)
	if flag(n.RequestsGrant, flagRequest) || flag(n.IsGrant, flagGrant) {
		b = append(b, byte(min(max(n.Calls, 0), maxCalls)))
	}
	if n.RequestsGrant {
		b = append(b, byte(min(max(n.Rank, 0), 255)))
	}
	if flag(n.ReturnedCalls != 0, flagReturned) {
		b = binary.AppendVarint(b, int64(min(max(n.ReturnedCalls, -maxReturned), maxReturned)))
	}
	if flag(n.RejectedCalls > 0, flagRejected) {
		b = binary.AppendUvarint(b, uint64(min(n.RejectedCalls, maxReturned)))
	}
	if flag(n.Limit > 0, flagLimit) {
		b = binary.AppendUvarint(b, uint64(math.Round(10*math.Min(n.Limit, maxLimit))))
	}
	return b
}

// Decode decodes a message. A message with any invalid item is rejected as a whole.
func Decode(b []byte) (items []snowjunction.PeerMessage, err error) {
	if len(b) == 0 || len(b) > MaxBytes || b[0] != formatVersion {
		return nil, ErrFormat
	}
	for r := (record.Reader{Data: b[1:]}); len(r.Data) > 0; {
		n := snowjunction.PeerMessage{Destination: snowjunction.DestinationID(r.Uint(math.MaxUint32))}
		flags := r.Byte()
		n.RequestsGrant, n.IsGrant = flags&flagRequest != 0, flags&flagGrant != 0
		n.Unreachable, n.Recovered = flags&flagFailing != 0, flags&flagRecovered != 0
		n.Cold, n.OldLimit = !n.RequestsGrant && flags&flagCold != 0, n.RequestsGrant && flags&flagStaleLimit != 0
		if n.RequestsGrant || n.IsGrant {
			n.Calls = int(r.Byte())
		}
		if n.RequestsGrant {
			n.Rank = int(r.Byte())
		}
		if flags&flagReturned != 0 {
			v := r.Int()
			r.Failed = r.Failed || v < -maxReturned || v > maxReturned
			n.ReturnedCalls = int(v)
		}
		if flags&flagRejected != 0 {
			n.RejectedCalls = int(r.Uint(maxReturned))
		}
		if flags&flagLimit != 0 {
			n.Limit = float64(r.Uint(maxLimit*10)) / 10
		}
		if r.Failed || n.RequestsGrant && n.IsGrant {
			return nil, ErrItem
		}
		items = append(items, n)
	}
	return items, nil
}
