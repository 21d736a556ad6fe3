// Package record implements the frame and field encoding of the records that this program keeps on
// disk. It does no I/O.
//
// A frame is the length of the payload and the CRC-32C of the payload, four bytes each,
// little-endian. Fields are single bytes, varints, and strings with a length prefix (uvarint).
package record

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// FrameSize is the size in bytes of the frame header in front of a payload.
const FrameSize = 8

// ErrDamaged is returned by Open if there is no complete, intact record.
var ErrDamaged = errors.New("damaged record")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Seal fills in the frame header at the start of b, which is followed by the payload, and returns
// b.
func Seal(b []byte) []byte {
	binary.LittleEndian.PutUint32(b, uint32(len(b)-FrameSize))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[FrameSize:], castagnoli))
	return b
}

// Open returns the payload of the record at the start of b, of at most maxPayload bytes, and the
// bytes after the record.
func Open(b []byte, maxPayload int) (payload, rest []byte, err error) {
	if len(b) < FrameSize {
		return nil, nil, ErrDamaged
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || uint64(n) > uint64(maxPayload) || int(n) > len(b)-FrameSize {
		return nil, nil, ErrDamaged
	}
	payload, rest = b[FrameSize:FrameSize+int(n)], b[FrameSize+int(n):]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, nil, ErrDamaged
	}
	return payload, rest, nil
}

// AppendText appends a string with its length prefix.
func AppendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Reader decodes fields from a byte slice. After the first field that is missing or over its limit,
// decoding has failed and all fields decode as zero values.
type Reader struct {
	Data   []byte
	Failed bool
}

// Take returns the next n bytes, or nil if decoding has failed.
func (r *Reader) Take(n int) []byte {
	if r.Failed || n < 0 || len(r.Data) < n {
		r.Failed = true
		return nil
	}
	b := r.Data[:n:n]
	r.Data = r.Data[n:]
	return b
}

// Byte decodes one byte.
func (r *Reader) Byte() byte {
	if b := r.Take(1); b != nil {
		return b[0]
	}
	return 0
}

// Uint decodes a uvarint of at most limit.
func (r *Reader) Uint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.Data)
	if r.Failed || n <= 0 || v > limit {
		r.Failed = true
		return 0
	}
	r.Data = r.Data[n:]
	return v
}

// Int decodes a signed varint.
func (r *Reader) Int() int64 {
	v, n := binary.Varint(r.Data)
	if r.Failed || n <= 0 {
		r.Failed = true
		return 0
	}
	r.Data = r.Data[n:]
	return v
}

// Text decodes a string of at most maxLen bytes.
func (r *Reader) Text(maxLen int) string { return string(r.Take(int(r.Uint(uint64(maxLen))))) }
