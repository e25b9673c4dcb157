package record

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"

	"eiderhitch/internal/codec"
	"eiderhitch/internal/wire"
)

// Encoding is a stored encoding of a task group. The numbers are the feature levels that bring
// them.
type Encoding uint8

const (
	// unknownEncoding is that of a value that is not a task group in any encoding.
	unknownEncoding Encoding = 0
	// PlainJSON is JSON.
	PlainJSON Encoding = 1
	// Checksummed is binary, with a checksum.
	Checksummed Encoding = 2
)

const (
	// groupChecksumDomain keeps groups' checksums apart from those of other values.
	groupChecksumDomain = "eiderhitch task group"
	// headerBytes is what stands before the content of a checksummed value: encoding and
	// checksum.
	headerBytes = 1 + codec.ChecksumSize
)

// Errors of stored groups.
var (
	// ErrChecksum says that a value is damaged, or was written for another key.
	ErrChecksum = errors.New("checksum does not match: the value is damaged or stands at a wrong key")
	// ErrUnknownEncoding says that this version does not know a value's encoding.
	ErrUnknownEncoding = errors.New("form is not known")
)

// EncodedGroup is an encoded group that still lacks the key that it is for.
type EncodedGroup struct {
	encoding Encoding
	content  []byte
}

// Encode encodes a group, to be stored under the key that At is given. A group that Checksummed
// can't hold is encoded as PlainJSON: Content.Encoding tells.
func (g *TaskGroup) Encode(encoding Encoding) EncodedGroup {
	if encoding == PlainJSON || !g.canEncodeBinary() {
		return EncodedGroup{encoding: PlainJSON, content: JSON(g)}
	}
	return EncodedGroup{encoding: encoding, content: g.appendBinary(nil)}
}

// Encoding returns the encoding that was used.
func (c EncodedGroup) Encoding() Encoding { return c.encoding }

// Size returns how many bytes the stored value has.
func (c EncodedGroup) Size() int {
	if c.encoding == PlainJSON {
		return len(c.content)
	}
	return base64.RawStdEncoding.EncodedLen(headerBytes+len(c.content)) + len(`""`)
}

// ValueForKey returns the value that is stored at a key.
func (c EncodedGroup) ValueForKey(key string) json.RawMessage {
	if c.encoding == PlainJSON {
		return c.content
	}
	checksum := codec.Checksum(groupChecksumDomain, key, uint8(c.encoding), c.content)
	value := make([]byte, 0, headerBytes+len(c.content))
	value = append(value, byte(c.encoding))
	value = append(value, checksum[:]...)
	value = append(value, c.content...)
	quoted := make([]byte, 0, c.Size())
	quoted = append(quoted, '"')
	quoted = base64.RawStdEncoding.AppendEncode(quoted, value)
	return append(quoted, '"')
}

// EncodingOf returns a stored value's encoding without decoding it; 0: it has none.
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

// encodingOfString returns the encoding that a JSON string's first two characters of base64
// name.
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

// DecodeTaskGroup decodes the value that is stored at a key, in whatever encoding. It returns
// the encoding as far as it is known, even with an error.
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

// verifyContent returns the content of a checksummed value, a JSON string.
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
