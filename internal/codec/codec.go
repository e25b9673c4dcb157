// Package codec has the building blocks of the handwritten binary formats: varints,
// length-prefixed strings, bytes, checksums, and a reader that remembers the first error.
package codec

import "encoding/binary"

// MaxString bounds a string's length in bytes: of both writers and readers.
const MaxString = 1 << 10

// AppendString appends s, cut to MaxString, with its length.
func AppendString(buf []byte, s string) []byte {
	s = s[:min(len(s), MaxString)]
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}

// AppendPrefixCompressed appends s, cut to MaxString, as the length of the prefix that it shares with the
// previous string and the rest. Names and addresses in a list mostly differ at their ends
// alone.
func AppendPrefixCompressed(buf []byte, previous, s string) []byte {
	s = s[:min(len(s), MaxString)]
	prefixBytes := 0
	for prefixBytes < min(len(previous), len(s)) && previous[prefixBytes] == s[prefixBytes] {
		prefixBytes++
	}
	buf = binary.AppendUvarint(buf, uint64(prefixBytes))
	return AppendString(buf, s[prefixBytes:])
}

// Reader takes values off a buffer. After a malformed value all further ones are zero;
// Complete tells whether everything was well formed. The buffer must not be modified meanwhile.
type Reader struct {
	buf       []byte
	malformed bool
}

// NewReader returns a reader of buf.
func NewReader(buf []byte) *Reader { return &Reader{buf: buf} }

// Malformed tells whether something malformed was read.
func (r *Reader) IsMalformed() bool { return r.malformed }

// Complete tells whether all was well formed and nothing is left.
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

// Text reads a string.
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

// Suffix reads a string that AppendPrefixCompressed wrote after the previous string.
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

// Count reads a number of elements of at least elementBytes each, so that a malformed count
// can't ask for more memory than the buffer accounts for.
func (r *Reader) Count(elementBytes int) int {
	n := r.Uvarint()
	if r.malformed || n > uint64(len(r.buf)/elementBytes) {
		r.malformed = true
		return 0
	}
	return int(n)
}
