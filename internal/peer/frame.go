// Package peer exchanges status frames between controllers in a handwritten binary format. Every
// controller sends its status to each of its peers over TCP.
//
// A frame consists of the magic bytes "EH", a version byte, a kind byte, the payload's length (4
// bytes, big endian) and the payload. In the payload, numbers are unsigned varints, and a string is
// its length followed by its bytes. In version 3 a checksum precedes the content, and the strings
// of a machine are compressed by the prefix that they share with those of the previous machine.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"eiderhitch/internal/codec"
)

// Version is a version of the frame format. Frames of an unknown version are rejected.
type Version uint8

const (
	// PlainFrame has no checksum. All versions of the program can read it.
	PlainFrame Version = 2
	// ChecksummedFrame has a checksum and is smaller. It is sent from feature level 2 on.
	ChecksummedFrame Version = 3
)

// The layout of a frame's header. Offsets are in bytes from the start of the frame.
const (
	magic         = "EH"
	versionOffset = 2
	kindOffset    = 3
	lengthOffset  = 4
	headerBytes   = 8

	kindStatus = 1
)

const (
	// maxPayloadBytes is the maximum size of a frame's payload. It suffices for a status with ten
	// thousand machines with long names.
	maxPayloadBytes = 1 << 20
	// checksumDomain separates the checksums of frames from those of other kinds of values.
	checksumDomain = "eiderhitch status frame"
)

// Errors of ReadStatus.
var (
	// ErrUnknownVersion means that this version of the program does not know the frame's version.
	ErrUnknownVersion = errors.New("peer: unknown frame version")
	// ErrChecksum means that a frame is damaged.
	ErrChecksum = errors.New("peer: frame checksum does not match")

	errBadMagic  = errors.New("peer: frame does not start with the magic bytes")
	errMalformed = errors.New("peer: malformed status")
)

// AppendStatus appends a frame that holds a status, in a given version, to buf.
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

// appendChecksummed appends the payload of a ChecksummedFrame: the checksum and the status.
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

// ReadStatus reads one frame and returns its status. After an error the position of the reader is
// undefined, so no further frame can be read from it.
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
		return nil, fmt.Errorf("%w %d, supported versions are %d and %d", ErrUnknownVersion, version, PlainFrame, ChecksummedFrame)
	}
	if kind := header[kindOffset]; kind != kindStatus {
		return nil, fmt.Errorf("peer: unknown frame kind %d", kind)
	}
	length := binary.BigEndian.Uint32(header[lengthOffset:])
	if length > maxPayloadBytes {
		return nil, fmt.Errorf("peer: frame payload of %d bytes is too large", length)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	return decodeStatus(payload, version)
}

// decodeStatus verifies and decodes the payload of a frame.
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
