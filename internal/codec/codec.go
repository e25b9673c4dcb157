// Package codec has the building blocks of the handwritten binary formats: unsigned
// varints, length-prefixed strings and bytes, and a reader that remembers the first error.
package codec

import "encoding/binary"

// MaxString bounds a string's length on both sides.
const MaxString = 1 << 10

// AppendString appends s, cut to MaxString, with its length.
func AppendString(buf []byte, s string) []byte {
	s = s[:min(len(s), MaxString)]
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}

// AppendSuffix appends s as what it shares with the string before it and the rest. Names
// and addresses in a list mostly differ at their ends alone.
func AppendSuffix(buf []byte, before, s string) []byte {
	s = s[:min(len(s), MaxString)]
	shared := 0
	for shared < min(len(before), len(s)) && before[shared] == s[shared] {
		shared++
	}
	buf = binary.AppendUvarint(buf, uint64(shared))
	return AppendString(buf, s[shared:])
}

// Reader takes values off a buffer. After a malformed value all further ones are zero;
// Done tells whether everything was well formed.
type Reader struct {
	buf []byte
	bad bool
}

// NewReader returns a reader of buf.
func NewReader(buf []byte) *Reader { return &Reader{buf: buf} }

// Bad tells whether something malformed was read.
func (r *Reader) Bad() bool { return r.bad }

// Done tells whether all was well formed and nothing is left.
func (r *Reader) Done() bool { return !r.bad && len(r.buf) == 0 }

// Uvarint reads an unsigned varint.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// Varint reads a signed varint.
func (r *Reader) Varint() int64 {
	v, n := binary.Varint(r.buf)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// Text reads a string.
func (r *Reader) Text() string {
	n := r.Uvarint()
	if r.bad || n > MaxString || n > uint64(len(r.buf)) {
		r.bad = true
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}

// Suffix reads a string that AppendSuffix wrote after the string before it.
func (r *Reader) Suffix(before string) string {
	shared := r.Uvarint()
	if r.bad || shared > uint64(len(before)) {
		r.bad = true
		return ""
	}
	s := before[:shared] + r.Text()
	if len(s) > MaxString {
		r.bad = true
		return ""
	}
	return s
}

// Byte reads one byte.
func (r *Reader) Byte() uint8 {
	if len(r.buf) == 0 {
		r.bad = true
		return 0
	}
	b := r.buf[0]
	r.buf = r.buf[1:]
	return b
}

// Count reads a number of elements of at least least bytes each, so that a malformed
// count can't ask for more memory than the buffer accounts for.
func (r *Reader) Count(least int) int {
	n := r.Uvarint()
	if r.bad || n > uint64(len(r.buf)/least) {
		r.bad = true
		return 0
	}
	return int(n)
}
