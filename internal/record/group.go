package record

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"eiderhitch/internal/codec"
	"eiderhitch/internal/wire"
)

// Encoding is a stored form of a task group. The numbers are the feature levels that bring
// them.
type Encoding uint8

const (
	// PlainJSON is JSON.
	PlainJSON Encoding = 1
	// Checksummed is binary, with a checksum.
	Checksummed Encoding = 2
)

// groupDomain keeps groups' checksums apart from those of other values.
const groupDomain = "eiderhitch task group"

// headSize is what stands before the content of a checked value: form and checksum.
const headSize = 1 + codec.ChecksumSize

// mostTasks bounds what a damaged count can ask for; a job has at most 100,000 tasks.
const mostTasks = 1 << 17

// Errors of stored groups.
var (
	// ErrChecksum: the value is damaged, or was written for another key.
	ErrChecksum = errors.New("checksum does not match: the value is damaged or stands at a wrong key")
	// ErrUnknownEncoding: it is in a form that this version does not know.
	ErrUnknownEncoding = errors.New("form is not known")
)

// Content is an encoded group that still lacks the key it is for.
type Content struct {
	form Encoding
	raw  []byte
}

// Encode is a group in a form. It is stored under the key that At names.
func (g *TaskGroup) Encode(form Encoding) Content {
	if form == PlainJSON || !g.encodable() {
		return Content{form: PlainJSON, raw: JSON(g)}
	}
	return Content{form: form, raw: g.appendContent(nil)}
}

// encodable tells whether the checked form holds all of the group. One with names longer
// than any cloud gives stays in the plain form, which every version reads.
func (g *TaskGroup) encodable() bool {
	if g.Partition < 0 || g.Done < 0 || g.Throttle < 0 || g.Done > mostTasks || g.Throttle > mostTasks || len(g.Zone) > codec.MaxString {
		return false
	}
	for i := range g.Tasks {
		if len(g.Tasks[i].Machine) > codec.MaxString || len(g.Tasks[i].Addr) > codec.MaxString {
			return false
		}
	}
	return true
}

// Encoding is the form that the group was encoded in.
func (c Content) Encoding() Encoding { return c.form }

// Size is how large the stored value is.
func (c Content) Size() int {
	if c.form == PlainJSON {
		return len(c.raw)
	}
	return base64.RawStdEncoding.EncodedLen(headSize+len(c.raw)) + len(`""`)
}

// At is the value that is stored at a key.
func (c Content) At(key string) json.RawMessage {
	if c.form == PlainJSON {
		return c.raw
	}
	sum := codec.Checksum(groupDomain, key, uint8(c.form), c.raw)
	value := make([]byte, 0, headSize+len(c.raw))
	value = append(value, byte(c.form))
	value = append(value, sum[:]...)
	value = append(value, c.raw...)
	out := make([]byte, 0, c.Size())
	out = append(out, '"')
	out = base64.RawStdEncoding.AppendEncode(out, value)
	return append(out, '"')
}

// EncodingOf tells a stored value's form without reading it; 0: it is none.
func EncodingOf(raw []byte) Encoding {
	if len(raw) == 0 {
		return 0
	}
	switch raw[0] {
	case '{':
		return PlainJSON
	case '"':
		var head [2]byte
		if len(raw) < 4 {
			return 0
		}
		if _, err := base64.RawStdEncoding.Decode(head[:], raw[1:3]); err != nil {
			return 0
		}
		return Encoding(head[0])
	}
	return 0
}

// DecodeTaskGroup reads the value that is stored at a key, in whatever form.
func DecodeTaskGroup(key string, raw []byte) (*TaskGroup, Encoding, error) {
	if form := EncodingOf(raw); form != Checksummed {
		if form != PlainJSON {
			return nil, form, fmt.Errorf("%w: %d", ErrUnknownEncoding, form)
		}
		var g TaskGroup
		if err := wire.Decode(raw, &g); err != nil {
			return nil, PlainJSON, err
		}
		return &g, PlainJSON, nil
	}
	if raw[len(raw)-1] != '"' {
		return nil, Checksummed, ErrChecksum
	}
	value, err := base64.RawStdEncoding.AppendDecode(nil, raw[1:len(raw)-1])
	if err != nil || len(value) < headSize {
		return nil, Checksummed, ErrChecksum
	}
	sum, content := value[1:headSize], value[headSize:]
	if !codec.ChecksumMatches(sum, groupDomain, key, uint8(Checksummed), content) {
		return nil, Checksummed, ErrChecksum
	}
	g, err := parseContent(content)
	return g, Checksummed, err
}

const flagOwn = 1

// place is where a task is bound. Several tasks of a group often share one.
type place struct {
	machine, addr string
	session       uint64
}

// appendContent is the checked form's content: the group's fields, the places that tasks
// are bound to, and the tasks, each with the distance of its number from the one before.
func (g *TaskGroup) appendContent(buf []byte) []byte {
	var flags uint8
	if g.Guaranteed {
		flags |= flagOwn
	}
	buf = binary.AppendUvarint(buf, uint64(g.Partition))
	buf = append(buf, flags)
	buf = codec.AppendString(buf, g.Zone)
	buf = binary.AppendUvarint(buf, uint64(g.Done))
	buf = binary.AppendUvarint(buf, uint64(g.Throttle))
	index := map[place]uint64{} // 0 is for tasks that are not bound
	var places []place
	for i := range g.Tasks {
		p := g.Tasks[i].place()
		if _, known := index[p]; !known && p != (place{}) {
			places = append(places, p)
			index[p] = uint64(len(places))
		}
	}
	buf = binary.AppendUvarint(buf, uint64(len(places)))
	before := place{}
	for _, p := range places {
		buf = codec.AppendSuffix(buf, before.machine, p.machine)
		buf = codec.AppendSuffix(buf, before.addr, p.addr)
		buf = binary.AppendUvarint(buf, p.session)
		before = p
	}
	buf = binary.AppendUvarint(buf, uint64(len(g.Tasks)))
	last := int32(0)
	for i := range g.Tasks {
		t := &g.Tasks[i]
		buf = binary.AppendVarint(buf, int64(t.Task)-int64(last))
		buf = binary.AppendUvarint(buf, t.Attempt)
		buf = binary.AppendUvarint(buf, index[t.place()])
		last = t.Task
	}
	return buf
}

func (t *Binding) place() place { return place{t.Machine, t.Addr, t.Incarnation} }

// errContent: the checksum matches, and yet the content makes no sense.
var errContent = errors.New("content is malformed")

func parseContent(content []byte) (*TaskGroup, error) {
	r := codec.NewReader(content)
	g := &TaskGroup{Partition: int(min(r.Uvarint(), math.MaxInt32))}
	g.Guaranteed = r.Byte()&flagOwn != 0
	g.Zone = r.Text()
	g.Done = int(min(r.Uvarint(), mostTasks))
	g.Throttle = int(min(r.Uvarint(), mostTasks))
	places := make([]place, 1, 1+r.Count(5))
	for i := range cap(places) - 1 {
		before := &places[i]
		places = append(places, place{machine: r.Suffix(before.machine), addr: r.Suffix(before.addr), session: r.Uvarint()})
	}
	tasks := r.Count(3)
	g.Tasks = make([]Binding, 0, tasks)
	last := int64(0)
	for range tasks {
		last += r.Varint()
		t := Binding{Task: int32(last), Attempt: r.Uvarint()}
		at := r.Uvarint()
		if r.Bad() || at >= uint64(len(places)) || int64(t.Task) != last {
			return nil, errContent
		}
		t.Machine, t.Addr, t.Incarnation = places[at].machine, places[at].addr, places[at].session
		g.Tasks = append(g.Tasks, t)
	}
	if !r.Done() {
		return nil, errContent
	}
	return g, nil
}
