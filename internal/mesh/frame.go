// Package mesh is what controllers tell each other, in a binary format written
// by hand: every controller sends its status to each sibling.
//
// A frame is the magic "EH", a version byte, a kind byte, the payload's length
// (4 bytes, big endian) and the payload. Numbers are unsigned varints, strings
// a length and their bytes.
package mesh

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Version of the format; a peer speaking another one is refused by name.
const Version = 2

const (
	kindStatus = 1
	headerSize = 8
	// maxPayload bounds a frame: a status of some thousand machines.
	maxPayload = 1 << 20
	maxString  = 1 << 10
)

// Flags of a machine.
const (
	// Up: reports are arriving.
	Up = 1 << iota
	// Warned: the cloud is about to take it.
	Warned
	// Suspect: tasks of several jobs failed on it.
	Suspect
	// Silent: it neither reports nor answers its owner, who hears others.
	Silent
	// Spot machine.
	Spot
	// Unheard: it has not reported since its owner took it over.
	Unheard
)

// Machine is what an owner knows of one of its machines.
type Machine struct {
	Name, Addr, Type, Zone string
	Session                uint64
	Flags                  uint8
}

// Status is what one controller tells the others.
type Status struct {
	Node string
	// Boot is drawn at the process's start: a restarted controller has the name
	// of its former self, whose frames may still come late.
	Boot string
	// Fresh: its replica of the state service is current.
	Fresh bool
	// Able: it would take parts over (it is fresh and workers reach it).
	Able     bool
	Parts    []uint64
	Machines []Machine
	// Closing: machines on which nothing should be placed any more, since the
	// leader wants to return them.
	Closing []string
}

// ErrVersion says that the peer speaks another version.
var ErrVersion = errors.New("mesh: peer speaks another version")

// AppendStatus appends a frame with s to buf.
func AppendStatus(buf []byte, s *Status) []byte {
	start := len(buf)
	buf = append(buf, 'E', 'H', Version, kindStatus, 0, 0, 0, 0)
	buf = appendString(buf, s.Node)
	buf = appendString(buf, s.Boot)
	var flags uint8
	if s.Fresh {
		flags |= 1
	}
	if s.Able {
		flags |= 2
	}
	buf = append(buf, flags)
	buf = binary.AppendUvarint(buf, uint64(len(s.Parts)))
	for _, p := range s.Parts {
		buf = binary.AppendUvarint(buf, p)
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.Machines)))
	for i := range s.Machines {
		m := &s.Machines[i]
		buf = appendString(buf, m.Name)
		buf = appendString(buf, m.Addr)
		buf = appendString(buf, m.Type)
		buf = appendString(buf, m.Zone)
		buf = binary.AppendUvarint(buf, m.Session)
		buf = append(buf, m.Flags)
	}
	buf = binary.AppendUvarint(buf, uint64(len(s.Closing)))
	for _, name := range s.Closing {
		buf = appendString(buf, name)
	}
	binary.BigEndian.PutUint32(buf[start+4:], uint32(len(buf)-start-headerSize))
	return buf
}

func appendString(buf []byte, s string) []byte {
	s = s[:min(len(s), maxString)]
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
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
	if h[2] != Version {
		return nil, fmt.Errorf("%w: %d, we speak %d", ErrVersion, h[2], Version)
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
	return parseStatus(payload)
}

type reader struct {
	buf []byte
	bad bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *reader) text() string {
	n := r.number()
	if r.bad || n > maxString || n > uint64(len(r.buf)) {
		r.bad = true
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}

func (r *reader) byte() uint8 {
	if len(r.buf) == 0 {
		r.bad = true
		return 0
	}
	b := r.buf[0]
	r.buf = r.buf[1:]
	return b
}

// count reads a number of elements of at least least bytes each.
func (r *reader) count(least int) int {
	n := r.number()
	if r.bad || n > uint64(len(r.buf)/least) {
		r.bad = true
		return 0
	}
	return int(n)
}

func parseStatus(payload []byte) (*Status, error) {
	r := &reader{buf: payload}
	s := &Status{Node: r.text(), Boot: r.text()}
	flags := r.byte()
	s.Fresh, s.Able = flags&1 != 0, flags&2 != 0
	for range r.count(1) {
		s.Parts = append(s.Parts, r.number())
	}
	for range r.count(6) {
		s.Machines = append(s.Machines, Machine{Name: r.text(), Addr: r.text(), Type: r.text(), Zone: r.text(),
			Session: r.number(), Flags: r.byte()})
		if r.bad {
			break
		}
	}
	for range r.count(1) {
		s.Closing = append(s.Closing, r.text())
	}
	if r.bad || len(r.buf) != 0 {
		return nil, errors.New("mesh: malformed status")
	}
	return s, nil
}
