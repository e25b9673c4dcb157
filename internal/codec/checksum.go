package codec

import (
	"crypto/subtle"
	"encoding/binary"

	"golang.org/x/crypto/blake2b"
)

// ChecksumSize is the size of a keyed checksum in bytes.
const ChecksumSize = 16

// Checksum is a keyed BLAKE2b-128 over the name, the form and the content of a value.
// The domain keeps checksums of different kinds of values apart. It finds damaged and
// misplaced values; it is no signature, since the domain is no secret.
func Checksum(domain, name string, form uint8, content []byte) [ChecksumSize]byte {
	hash, err := blake2b.New(ChecksumSize, []byte(domain))
	if err != nil {
		panic("codec: domain of a checksum is too long: " + domain) // a constant of ours
	}
	head := binary.AppendUvarint(nil, uint64(len(name)))
	head = append(head, name...)
	head = append(head, form)
	_, _ = hash.Write(head)
	_, _ = hash.Write(content)
	var sum [ChecksumSize]byte
	hash.Sum(sum[:0])
	return sum
}

// ChecksumMatches tells whether sum is the checksum of the value.
func ChecksumMatches(sum []byte, domain, name string, form uint8, content []byte) bool {
	want := Checksum(domain, name, form, content)
	return subtle.ConstantTimeCompare(sum, want[:]) == 1
}
