package codec

import (
	"crypto/subtle"
	"encoding/binary"

	"golang.org/x/crypto/blake2b"
)

// ChecksumSize is the size of a keyed checksum in bytes.
const ChecksumSize = 16

// Checksum returns the BLAKE2b-128 hash of a value's name, encoding and content, keyed with a
// domain. The domain separates the checksums of different kinds of values; it is a constant of at
// most 64 bytes, and Checksum panics if it is longer. The checksum detects values that are damaged
// or stored under the wrong name. It is not a signature, since the domain is not secret.
func Checksum(domain, name string, encoding uint8, content []byte) [ChecksumSize]byte {
	hash, err := blake2b.New(ChecksumSize, []byte(domain))
	if err != nil {
		panic("codec: checksum domain is longer than 64 bytes: " + domain) // domains are constants of the program
	}
	header := binary.AppendUvarint(nil, uint64(len(name)))
	header = append(header, name...)
	header = append(header, encoding)
	// The Write method of a hash.Hash never returns an error.
	_, _ = hash.Write(header)
	_, _ = hash.Write(content)
	var sum [ChecksumSize]byte
	hash.Sum(sum[:0])
	return sum
}

// ChecksumMatches reports whether sum is the checksum of a value, as Checksum returns it.
func ChecksumMatches(sum []byte, domain, name string, encoding uint8, content []byte) bool {
	want := Checksum(domain, name, encoding, content)
	return subtle.ConstantTimeCompare(sum, want[:]) == 1
}
