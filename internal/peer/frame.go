// Package peer exchanges status frames between controllers, in a handwritten binary format:
// every controller sends its status to each of its peers over TCP.
//
// A frame is the magic "EH", a version byte, a kind byte, the payload's length (4 bytes, big
// endian) and the payload. Numbers are unsigned varints, strings a length and their bytes. In
// version 3 a checksum stands before the content, and a machine's strings are encoded by the
// prefix that they share with those of the previous one.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"eiderhitch/internal/codec"
)

// Version is a version of the frame format. A frame of an unknown one is refused.
type Version uint8

const (
	// PlainFrame is understood by all versions of the program.
	PlainFrame Version = 2
	// ChecksummedFrame has a checksum and is smaller. Feature level 2 brings it.
	ChecksummedFrame Version = 3
)

// The header of a frame.
const (
	magic         = "EH"
	versionOffset = 2
	kindOffset    = 3
	lengthOffset  = 4
	headerBytes   = 8

	kindStatus = 1
)

const (
	// maxPayloadBytes bounds a frame: a status of ten thousand machines with long names.
	maxPayloadBytes = 1 << 20
	// checksumDomain keeps frames' checksums apart from those of other values.
	checksumDomain = "eiderhitch status frame"
)

// Errors of frames.
var (
	// ErrUnknownVersion says that a frame is of an unknown version.
	ErrUnknownVersion = errors.New("peer: unknown frame version")
	// ErrChecksum says that a frame is damaged.
	ErrChecksum = errors.New("peer: checksum of a frame does not match")

	errBadMagic  = errors.New("peer: not a frame")
	errMalformed = errors.New("peer: malformed status")
)

// AppendStatus appends a frame with a status to buf.
func AppendStatus(buf []byte, status *Status, version Version) []byte {
	start := len(buf)
	buf = append(buf, magic...)
	buf = append(buf, byte(version), kindStatus, 0, 0, 0, 0)
	if version == ChecksummedFrame {
		buf = appendChecksummed(buf, status)
	} else {
		buf = appendController(buf, status)
		buf = appendPlainMachines(buf, status)
	}
	binary.BigEndian.PutUint32(buf[start+lengthOffset:], uint32(len(buf)-start-headerBytes))
	return buf
}

// appendChecksummed appends a status with its checksum.
func appendChecksummed(buf []byte, status *Status) []byte {
	var checksum [codec.ChecksumSize]byte
	buf = append(buf, checksum[:]...)
	content := len(buf)
	buf = appendController(buf, status)
	buf = appendCompressedMachines(buf, status)
	checksum = codec.Checksum(checksumDomain, "", byte(ChecksummedFrame), buf[content:])
	copy(buf[content-codec.ChecksumSize:], checksum[:])
	return buf
}

// ReadStatus reads one frame. After an error the reader is not at the start of a frame any
// more.
func ReadStatus(reader io.Reader) (*Status, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	if string(header[:len(magic)]) != magic {
		return nil, errBadMagic
	}
	version := Version(header[versionOffset])
	if version != PlainFrame && version != ChecksummedFrame {
		return nil, fmt.Errorf("%w: %d, known are %d and %d", ErrUnknownVersion, version, PlainFrame, ChecksummedFrame)
	}
	if kind := header[kindOffset]; kind != kindStatus {
		return nil, fmt.Errorf("peer: unknown kind %d of a frame", kind)
	}
	length := binary.BigEndian.Uint32(header[lengthOffset:])
	if length > maxPayloadBytes {
		return nil, fmt.Errorf("peer: frame of %d bytes", length)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	return decodeStatus(payload, version)
}

// decodeStatus decodes the payload of a frame.
func decodeStatus(payload []byte, version Version) (*Status, error) {
	content := payload
	if version == ChecksummedFrame {
		if len(payload) < codec.ChecksumSize {
			return nil, errMalformed
		}
		content = payload[codec.ChecksumSize:]
		if !codec.ChecksumMatches(payload[:codec.ChecksumSize], checksumDomain, "", byte(version), content) {
			return nil, ErrChecksum
		}
	}
	reader := codec.NewReader(content)
	status := readController(reader)
	if version == ChecksummedFrame {
		readCompressedMachines(reader, status)
	} else {
		readPlainMachines(reader, status)
	}
	if !reader.IsComplete() {
		return nil, errMalformed
	}
	return status, nil
}
