// Package peer is what controllers tell each other, in a binary format written
// by hand: every controller sends its status to each sibling.
//
// A frame is the magic "EH", a version byte, a kind byte, the payload's length
// (4 bytes, big endian) and the payload. Numbers are unsigned varints, strings
// a length and their bytes. In version 3 a checksum stands before the content, and
// a machine's strings are coded by what they share with those of the one before.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"eiderhitch/internal/codec"
)

// Version is a version of the format; a peer speaking an unknown one is refused by name.
type Version uint8

const (
	// PlainFrame is understood by all versions of the program.
	PlainFrame Version = 2
	// ChecksummedFrame has a checksum and is smaller. It comes with feature level 2.
	ChecksummedFrame Version = 3
)

const (
	kindStatus = 1
	headerSize = 8
	// maxPayload bounds a frame: a status of ten thousand machines with long names.
	maxPayload = 1 << 20
	// checksumDomain keeps frames' checksums apart from those of other values.
	checksumDomain = "eiderhitch status frame"
)

// Flags of a machine.
const (
	// Reachable: reports are arriving.
	Reachable = 1 << iota
	// TerminationNotice: the cloud is about to take it.
	TerminationNotice
	// Cordoned: tasks of several jobs failed on it.
	Cordoned
	// Unreachable: it neither reports nor answers its owner, who hears others.
	Unreachable
	// Spot machine.
	Spot
	// NotHeardYet: it has not reported since its owner took it over.
	NotHeardYet
)

// Machine is what an owner knows of one of its machines.
type Machine struct {
	Name, Addr, Type, Zone string
	Incarnation            uint64
	Flags                  uint8
}

// Status is what one controller tells the others.
type Status struct {
	Node string
	// ProcessID is drawn at the process's start: a restarted controller has the name
	// of its former self, whose frames may still come late.
	ProcessID string
	// Fresh: its replica of the state service is current.
	Fresh bool
	// Eligible: it would take parts over (it is fresh and workers reach it).
	Eligible   bool
	Partitions []uint64
	Machines   []Machine
	// Draining: machines on which nothing should be placed any more, since the
	// leader wants to return them.
	Draining []string
}

// Errors of frames.
var (
	// ErrVersion says that the peer speaks another version.
	ErrVersion = errors.New("mesh: peer speaks another version")
	// ErrChecksum says that a frame is damaged.
	ErrChecksum = errors.New("mesh: checksum of a frame does not match")
)

// AppendStatus appends a frame with s to buf.
func AppendStatus(buf []byte, s *Status, version Version) []byte {
	start := len(buf)
	buf = append(buf, 'E', 'H', byte(version), kindStatus, 0, 0, 0, 0)
	if version == ChecksummedFrame {
		var none [codec.ChecksumSize]byte
		buf = append(buf, none[:]...)
	}
	content := len(buf)
	buf = appendHead(buf, s)
	if version == ChecksummedFrame {
		buf = appendMachinesBySuffix(buf, s)
	} else {
		buf = appendMachines(buf, s)
	}
	if version == ChecksummedFrame {
		sum := codec.Checksum(checksumDomain, "", byte(version), buf[content:])
		copy(buf[content-codec.ChecksumSize:], sum[:])
	}
	binary.BigEndian.PutUint32(buf[start+4:], uint32(len(buf)-start-headerSize))
	return buf
}

// appendHead appends what a controller tells about itself.
func appendHead(buf []byte, s *Status) []byte {
	buf = codec.AppendString(buf, s.Node)
	buf = codec.AppendString(buf, s.ProcessID)
	var flags uint8
	if s.Fresh {
		flags |= flagFresh
	}
	if s.Eligible {
		flags |= flagAble
	}
	buf = append(buf, flags)
	buf = binary.AppendUvarint(buf, uint64(len(s.Partitions)))
	for _, p := range s.Partitions {
		buf = binary.AppendUvarint(buf, p)
	}
	return buf
}

// Flags of a status.
const (
	flagFresh = 1 << iota
	flagAble
)

func appendMachines(buf []byte, s *Status) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s.Machines)))
	for i := range s.Machines {
		m := &s.Machines[i]
		buf = codec.AppendString(buf, m.Name)
		buf = codec.AppendString(buf, m.Addr)
		buf = codec.AppendString(buf, m.Type)
		buf = codec.AppendString(buf, m.Zone)
		buf = binary.AppendUvarint(buf, m.Incarnation)
		buf = append(buf, m.Flags)
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.Draining)))
	for _, name := range s.Draining {
		buf = codec.AppendString(buf, name)
	}
	return buf
}

func appendMachinesBySuffix(buf []byte, s *Status) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s.Machines)))
	before := &Machine{}
	for i := range s.Machines {
		m := &s.Machines[i]
		buf = codec.AppendSuffix(buf, before.Name, m.Name)
		buf = codec.AppendSuffix(buf, before.Addr, m.Addr)
		buf = codec.AppendSuffix(buf, before.Type, m.Type)
		buf = codec.AppendSuffix(buf, before.Zone, m.Zone)
		buf = binary.AppendUvarint(buf, m.Incarnation)
		buf = append(buf, m.Flags)
		before = m
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.Draining)))
	last := ""
	for _, name := range s.Draining {
		buf = codec.AppendSuffix(buf, last, name)
		last = name
	}
	return buf
}

// ReadStatus reads one frame.
func ReadStatus(r io.Reader) (*Status, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	if h[0] != 'E' || h[1] != 'H' {
		return nil, errors.New("mesh: not a frame")
	}
	version := Version(h[2])
	if version != PlainFrame && version != ChecksummedFrame {
		return nil, fmt.Errorf("%w: %d, we speak %d and %d", ErrVersion, version, PlainFrame, ChecksummedFrame)
	}
	if h[3] != kindStatus {
		return nil, fmt.Errorf("mesh: unknown kind %d", h[3])
	}
	n := binary.BigEndian.Uint32(h[4:])
	if n > maxPayload {
		return nil, fmt.Errorf("mesh: frame of %d bytes", n)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	return parseStatus(payload, version)
}

// leastMachine is the least that a machine takes in any version.
const leastMachine = 6

var errMalformed = errors.New("mesh: malformed status")

func parseStatus(payload []byte, version Version) (*Status, error) {
	if version == ChecksummedFrame {
		if len(payload) < codec.ChecksumSize {
			return nil, errMalformed
		}
		sum, content := payload[:codec.ChecksumSize], payload[codec.ChecksumSize:]
		if !codec.ChecksumMatches(sum, checksumDomain, "", byte(version), content) {
			return nil, ErrChecksum
		}
		payload = content
	}
	r := codec.NewReader(payload)
	s := &Status{Node: r.Text(), ProcessID: r.Text()}
	flags := r.Byte()
	s.Fresh, s.Eligible = flags&flagFresh != 0, flags&flagAble != 0
	for range r.Count(1) {
		s.Partitions = append(s.Partitions, r.Uvarint())
	}
	if version == ChecksummedFrame {
		readMachinesBySuffix(r, s)
	} else {
		readMachines(r, s)
	}
	if !r.Done() {
		return nil, errMalformed
	}
	return s, nil
}

func readMachines(r *codec.Reader, s *Status) {
	for range r.Count(leastMachine) {
		s.Machines = append(s.Machines, Machine{Name: r.Text(), Addr: r.Text(), Type: r.Text(), Zone: r.Text(),
			Incarnation: r.Uvarint(), Flags: r.Byte()})
		if r.Bad() {
			return
		}
	}
	for range r.Count(1) {
		s.Draining = append(s.Draining, r.Text())
	}
}

func readMachinesBySuffix(r *codec.Reader, s *Status) {
	before := Machine{}
	for range r.Count(leastMachine) {
		before = Machine{Name: r.Suffix(before.Name), Addr: r.Suffix(before.Addr), Type: r.Suffix(before.Type), Zone: r.Suffix(before.Zone),
			Incarnation: r.Uvarint(), Flags: r.Byte()}
		if r.Bad() {
			return
		}
		s.Machines = append(s.Machines, before)
	}
	last := ""
	for range r.Count(1) {
		last = r.Suffix(last)
		s.Draining = append(s.Draining, last)
	}
}
