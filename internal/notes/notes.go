// Package notes writes and reads what couriers of a fleet tell each other. It does no
// I/O. A note is a byte for its form, then an item for each destination:
//
//	uvarint  destination
//	byte     flags
//	byte     calls asked for or granted, with flag 1 (asks) or 2 (grants)
//	byte     rank, with flag 1
//	varint   calls given back, with flag 4
//	uvarint  calls refused, with flag 8
//	uvarint  limit in tenths of a call a second, with flag 16
//	flag 32  the sender's calls fail
//	flag 64  a call has been answered again
//	flag 128 grants are what a cold destination bears; with flag 1, the limit is no news
package notes

import (
	"encoding/binary"
	"errors"
	"math"

	"snowjunction"
	"snowjunction/internal/record"
)

// Most is the bytes that a note may have.
const Most = 256

const (
	form    = 1
	asks    = 1
	grants  = 2
	back    = 4
	refused = 8
	limit   = 16
	failing = 32
	serves  = 64
	cold    = 128 // with grants
	old     = 128 // with asks

	callsMost = 255
	backMost  = 1000
	limitMost = 1e6 // calls a second
	itemMost  = 5 + 1 + 2 + 2 + 2 + 4
)

// Errors of Read.
var (
	ErrForm = errors.New("a note of an unknown form")
	ErrItem = errors.New("a note that is cut off or has a figure out of range")
)

// Write returns as many notes as the items need, one at least: that which names nothing
// says that its sender is there.
func Write(items []snowjunction.Note) (out [][]byte) {
	b := []byte{form}
	for _, n := range items {
		if len(b)+itemMost > Most {
			out, b = append(out, b), []byte{form}
		}
		b = item(b, n)
	}
	if len(b) > 1 || len(out) == 0 {
		out = append(out, b)
	}
	return out
}

func item(b []byte, n snowjunction.Note) []byte {
	b = binary.AppendUvarint(b, uint64(n.Destination))
	at := len(b)
	b = append(b, 0)
	flag := func(holds bool, f byte) bool {
		if holds {
			b[at] |= f
		}
		return holds
	}
	flag(n.Failing, failing)
	flag(n.Serves, serves)
	flag(n.Cold && !n.Asks, cold)
	flag(n.Old && n.Asks, old)
	if flag(n.Asks, asks) || flag(n.Grants, grants) {
		b = append(b, byte(min(max(n.Calls, 0), callsMost)))
	}
	if n.Asks {
		b = append(b, byte(min(max(n.Rank, 0), 255)))
	}
	if flag(n.Back != 0, back) {
		b = binary.AppendVarint(b, int64(min(max(n.Back, -backMost), backMost)))
	}
	if flag(n.Refused > 0, refused) {
		b = binary.AppendUvarint(b, uint64(min(n.Refused, backMost)))
	}
	if flag(n.Limit > 0, limit) {
		b = binary.AppendUvarint(b, uint64(math.Round(10*math.Min(n.Limit, limitMost))))
	}
	return b
}

// Read returns a note's items. One that cannot be read whole is refused whole.
func Read(b []byte) (items []snowjunction.Note, err error) {
	if len(b) == 0 || len(b) > Most || b[0] != form {
		return nil, ErrForm
	}
	for r := (record.Reader{B: b[1:]}); len(r.B) > 0; {
		n := snowjunction.Note{Destination: snowjunction.DestinationID(r.Uint(math.MaxUint32))}
		flags := r.Byte()
		n.Asks, n.Grants = flags&asks != 0, flags&grants != 0
		n.Failing, n.Serves = flags&failing != 0, flags&serves != 0
		n.Cold, n.Old = !n.Asks && flags&cold != 0, n.Asks && flags&old != 0
		if n.Asks || n.Grants {
			n.Calls = int(r.Byte())
		}
		if n.Asks {
			n.Rank = int(r.Byte())
		}
		if flags&back != 0 {
			v := r.Int()
			r.Bad = r.Bad || v < -backMost || v > backMost
			n.Back = int(v)
		}
		if flags&refused != 0 {
			n.Refused = int(r.Uint(backMost))
		}
		if flags&limit != 0 {
			n.Limit = float64(r.Uint(limitMost*10)) / 10
		}
		if r.Bad || n.Asks && n.Grants {
			return nil, ErrItem
		}
		items = append(items, n)
	}
	return items, nil
}
