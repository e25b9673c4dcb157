package record

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"

	"eiderhitch/internal/codec"
	"eiderhitch/internal/wire"
)

// Encoding is a stored encoding of a task group. Its number is the feature level from which
// controllers may write it. The zero value stands for an unknown encoding.
type Encoding uint8

const (
	// unknownEncoding is returned for a value that is not a task group in any encoding.
	unknownEncoding Encoding = 0
	// PlainJSON is a JSON object without a checksum. All versions can read it.
	PlainJSON Encoding = 1
	// Checksummed is a binary format with a checksum, stored as base64 in a JSON string.
	Checksummed Encoding = 2
)

const (
	// groupChecksumDomain separates the checksums of task groups from those of other kinds of
	// values.
	groupChecksumDomain = "eiderhitch task group"
	// headerBytes is the size of a checksummed value's header: the encoding and the checksum.
	headerBytes = 1 + codec.ChecksumSize
)

// Errors of DecodeTaskGroup.
var (
	// ErrChecksum means that a value is damaged or was written for another key.
	ErrChecksum = errors.New("checksum does not match: the value is damaged or stored under the wrong key")
	// ErrUnknownEncoding means that this version does not know the value's encoding.
	ErrUnknownEncoding = errors.New("unknown encoding")
)

// EncodedGroup is an encoded task group. ValueForKey completes it to the value that is stored under
// a key, since the checksum covers the key.
type EncodedGroup struct {
	encoding Encoding
	content  []byte
}

// Encode encodes a group in the given encoding. A group that Checksummed can't hold is encoded as
// PlainJSON; EncodedGroup.Encoding returns the encoding that was used.
func (g *TaskGroup) Encode(encoding Encoding) EncodedGroup {
	if encoding == PlainJSON || !g.canEncodeBinary() {
		return EncodedGroup{encoding: PlainJSON, content: JSON(g)}
	}
	return EncodedGroup{encoding: encoding, content: g.appendBinary(nil)}
}

// Encoding returns the encoding that was used.
func (g EncodedGroup) Encoding() Encoding { return g.encoding }

// Size returns the size of the stored value in bytes.
func (g EncodedGroup) Size() int {
	if g.encoding == PlainJSON {
		return len(g.content)
	}
	return base64.RawStdEncoding.EncodedLen(headerBytes+len(g.content)) + len(`""`)
}

// ValueForKey returns the value to store under a key.
func (g EncodedGroup) ValueForKey(key string) json.RawMessage {
	if g.encoding == PlainJSON {
		return g.content
	}
	checksum := codec.Checksum(groupChecksumDomain, key, uint8(g.encoding), g.content)
	value := make([]byte, 0, headerBytes+len(g.content))
	value = append(value, byte(g.encoding))
	value = append(value, checksum[:]...)
	value = append(value, g.content...)
	quoted := make([]byte, 0, g.Size())
	quoted = append(quoted, '"')
	quoted = base64.RawStdEncoding.AppendEncode(quoted, value)
	return append(quoted, '"')
}

// EncodingOf returns the encoding of a stored value without decoding or verifying it. It returns
// 0 if the value is not a task group in any encoding.
func EncodingOf(raw []byte) Encoding {
	if len(raw) == 0 {
		return unknownEncoding
	}
	switch raw[0] {
	case '{':
		return PlainJSON
	case '"':
		return encodingOfString(raw)
	default:
		return unknownEncoding
	}
}

// encodingOfString returns the encoding of a JSON string, which holds it in the first byte of its
// base64 content. The first two base64 characters suffice to decode that byte.
func encodingOfString(raw []byte) Encoding {
	const first, end = 1, 3
	if len(raw) <= end {
		return unknownEncoding
	}
	var header [2]byte
	if _, err := base64.RawStdEncoding.Decode(header[:], raw[first:end]); err != nil {
		return unknownEncoding
	}
	return Encoding(header[0])
}

// DecodeTaskGroup decodes the value that is stored under a key, in any known encoding. It returns
// the encoding even with an error, as far as it could be determined.
func DecodeTaskGroup(key string, raw []byte) (*TaskGroup, Encoding, error) {
	switch encoding := EncodingOf(raw); encoding {
	case PlainJSON:
		group := &TaskGroup{}
		if err := wire.Decode(raw, group); err != nil {
			return nil, PlainJSON, err
		}
		return group, PlainJSON, nil
	case Checksummed:
		content, err := verifyContent(key, raw)
		if err != nil {
			return nil, Checksummed, err
		}
		group, err := decodeBinary(content)
		return group, Checksummed, err
	default:
		return nil, encoding, fmt.Errorf("%w: %d", ErrUnknownEncoding, encoding)
	}
}

// verifyContent decodes the JSON string of a checksummed value and returns its content, or
// ErrChecksum if the value is malformed or its checksum does not match.
func verifyContent(key string, raw []byte) ([]byte, error) {
	if raw[len(raw)-1] != '"' {
		return nil, ErrChecksum
	}
	value, err := base64.RawStdEncoding.AppendDecode(nil, raw[1:len(raw)-1])
	if err != nil || len(value) < headerBytes {
		return nil, ErrChecksum
	}
	checksum, content := value[1:headerBytes], value[headerBytes:]
	if !codec.ChecksumMatches(checksum, groupChecksumDomain, key, uint8(Checksummed), content) {
		return nil, ErrChecksum
	}
	return content, nil
}
