// Package codec provides the building blocks of the handwritten binary formats: varints,
// length-prefixed strings, prefix-compressed strings, bytes and checksums. Its Reader remembers
// the first error, so that callers need to check for errors only once.
package codec

import "encoding/binary"

// MaxString is the maximum length of an encoded string in bytes. Longer strings are truncated when
// they are written and rejected when they are read.
const MaxString = 1 << 10

// AppendString appends the length of s and then s, truncated to MaxString bytes.
func AppendString(buf []byte, s string) []byte {
	s = s[:min(len(s), MaxString)]
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}

// AppendPrefixCompressed appends s, truncated to MaxString bytes, as the length of the prefix that
// it shares with the previous string, followed by the rest as a string. This saves space because
// consecutive names and addresses in a list mostly differ only at their ends.
func AppendPrefixCompressed(buf []byte, previous, s string) []byte {
	s = s[:min(len(s), MaxString)]
	prefixBytes := 0
	for prefixBytes < min(len(previous), len(s)) && previous[prefixBytes] == s[prefixBytes] {
		prefixBytes++
	}
	buf = binary.AppendUvarint(buf, uint64(prefixBytes))
	return AppendString(buf, s[prefixBytes:])
}

// Reader reads values from a buffer in the order in which they were appended. A malformed value is
// read as zero, and the values that are read after it are undefined: callers must check
// IsMalformed or IsComplete before they use the results. The buffer must not be modified while it
// is read.
type Reader struct {
	buf       []byte
	malformed bool
}

// NewReader returns a Reader that reads from the start of buf.
func NewReader(buf []byte) *Reader { return &Reader{buf: buf} }

// IsMalformed reports whether a malformed value has been read.
func (r *Reader) IsMalformed() bool { return r.malformed }

// IsComplete reports whether the whole buffer has been read and no value was malformed.
func (r *Reader) IsComplete() bool { return !r.malformed && len(r.buf) == 0 }

// Uvarint reads an unsigned varint.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// Varint reads a signed varint.
func (r *Reader) Varint() int64 {
	v, n := binary.Varint(r.buf)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// Text reads a string that AppendString wrote. A string longer than MaxString is malformed.
func (r *Reader) Text() string {
	n := r.Uvarint()
	if r.malformed || n > MaxString || n > uint64(len(r.buf)) {
		r.malformed = true
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}

// PrefixCompressed reads a string that AppendPrefixCompressed wrote with the same previous string.
func (r *Reader) PrefixCompressed(previous string) string {
	prefixBytes := r.Uvarint()
	if r.malformed || prefixBytes > uint64(len(previous)) {
		r.malformed = true
		return ""
	}
	s := previous[:prefixBytes] + r.Text()
	if len(s) > MaxString {
		r.malformed = true
		return ""
	}
	return s
}

// Byte reads one byte.
func (r *Reader) Byte() uint8 {
	if len(r.buf) == 0 {
		r.malformed = true
		return 0
	}
	b := r.buf[0]
	r.buf = r.buf[1:]
	return b
}

// Count reads the number of elements that follow, each of which takes at least elementBytes bytes.
// A count that exceeds what the rest of the buffer can hold is malformed, so that damaged input
// can't cause a large allocation.
func (r *Reader) Count(elementBytes int) int {
	n := r.Uvarint()
	if r.malformed || n > uint64(len(r.buf)/elementBytes) {
		r.malformed = true
		return 0
	}
	return int(n)
}
