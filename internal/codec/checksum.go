package codec

import (
	"crypto/subtle"
	"encoding/binary"

	"golang.org/x/crypto/blake2b"
)

// ChecksumSize is the size of a keyed checksum in bytes.
const ChecksumSize = 16

// Checksum returns a keyed BLAKE2b-128 hash of the name, the encoding and the content of a
// value. The domain, a constant of at most 64 bytes, keeps checksums of different kinds of
// values apart. It finds damaged and misplaced values; it is no signature, since the domain is
// no secret.
func Checksum(domain, name string, encoding uint8, content []byte) [ChecksumSize]byte {
	hash, err := blake2b.New(ChecksumSize, []byte(domain))
	if err != nil {
		panic("codec: domain of a checksum is too long: " + domain) // a constant of ours
	}
	header := binary.AppendUvarint(nil, uint64(len(name)))
	header = append(header, name...)
	header = append(header, encoding)
	// Write of a hash.Hash never returns an error.
	_, _ = hash.Write(header)
	_, _ = hash.Write(content)
	var sum [ChecksumSize]byte
	hash.Sum(sum[:0])
	return sum
}

// ChecksumMatches tells whether sum is the checksum of a value.
func ChecksumMatches(sum []byte, domain, name string, encoding uint8, content []byte) bool {
	want := Checksum(domain, name, encoding, content)
	return subtle.ConstantTimeCompare(sum, want[:]) == 1
}
