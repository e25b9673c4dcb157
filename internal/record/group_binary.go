package record

import (
	"encoding/binary"
	"errors"
	"math"

	"eiderhitch/internal/codec"
)

const (
	// maxTasks limits the counts that are read from a record, which may be damaged. It exceeds
	// wire.MaxTasks, the 100,000 tasks that a job may have.
	maxTasks = 1 << 17
	// flagGuaranteed is the bit that holds TaskGroup.Guaranteed.
	flagGuaranteed = 1
	// minLocationBytes and minTaskBytes are the smallest encoded sizes of a location and of a
	// task.
	minLocationBytes = 5
	minTaskBytes     = 3
)

// errMalformedBinary means that the content can't be decoded although its checksum matches.
var errMalformedBinary = errors.New("content is malformed")

// location is the machine that a task is bound to. Several tasks of a group often share one, so
// the content holds each location once. The zero value stands for tasks that are not bound.
type location struct {
	machine, addr string
	incarnation   uint64
}

func (b *Binding) location() location { return location{b.Machine, b.Addr, b.Incarnation} }

// canEncodeBinary reports whether the binary content can hold the whole group. It can't if a
// number is out of range or a name or address is longer than codec.MaxString, which exceeds the
// names that clouds give.
func (g *TaskGroup) canEncodeBinary() bool {
	if g.Partition < 0 || g.DoneTasks < 0 || g.Throttle < 0 || g.DoneTasks > maxTasks || g.Throttle > maxTasks || len(g.Zone) > codec.MaxString {
		return false
	}
	for i := range g.Tasks {
		if len(g.Tasks[i].Machine) > codec.MaxString || len(g.Tasks[i].Addr) > codec.MaxString {
			return false
		}
	}
	return true
}

// appendBinary appends the content of the checksummed encoding: the group's fields, the locations
// that tasks are bound to, and the tasks, which refer to the locations by index.
func (g *TaskGroup) appendBinary(buf []byte) []byte {
	var flags uint8
	if g.Guaranteed {
		flags |= flagGuaranteed
	}
	buf = binary.AppendUvarint(buf, uint64(g.Partition))
	buf = append(buf, flags)
	buf = codec.AppendString(buf, g.Zone)
	buf = binary.AppendUvarint(buf, uint64(g.DoneTasks))
	buf = binary.AppendUvarint(buf, uint64(g.Throttle))
	locations, index := g.locations()
	buf = appendLocations(buf, locations)
	return g.appendTasks(buf, index)
}

// locations returns the distinct locations that tasks are bound to, in the order of the tasks,
// and the index of each. Indexes start at 1, since 0 stands for tasks that are not bound.
func (g *TaskGroup) locations() ([]location, map[location]uint64) {
	var locations []location
	index := map[location]uint64{}
	for i := range g.Tasks {
		l := g.Tasks[i].location()
		if _, known := index[l]; !known && l != (location{}) {
			locations = append(locations, l)
			index[l] = uint64(len(locations))
		}
	}
	return locations, index
}

// appendLocations appends the locations. Names and addresses are compressed by the prefix that
// they share with those of the previous location.
func appendLocations(buf []byte, locations []location) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(locations)))
	previous := location{}
	for _, l := range locations {
		buf = codec.AppendPrefixCompressed(buf, previous.machine, l.machine)
		buf = codec.AppendPrefixCompressed(buf, previous.addr, l.addr)
		buf = binary.AppendUvarint(buf, l.incarnation)
		previous = l
	}
	return buf
}

// appendTasks appends the tasks. A task's number is encoded as its difference from the previous
// one, and its location as an index; 0 means that the task is not bound.
func (g *TaskGroup) appendTasks(buf []byte, index map[location]uint64) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(g.Tasks)))
	previous := int32(0)
	for i := range g.Tasks {
		task := &g.Tasks[i]
		buf = binary.AppendVarint(buf, int64(task.Task)-int64(previous))
		buf = binary.AppendUvarint(buf, task.Attempt)
		buf = binary.AppendUvarint(buf, index[task.location()])
		previous = task.Task
	}
	return buf
}

// decodeBinary decodes content that appendBinary wrote.
func decodeBinary(content []byte) (*TaskGroup, error) {
	r := codec.NewReader(content)
	g := &TaskGroup{Partition: int(min(r.Uvarint(), math.MaxInt32))}
	g.Guaranteed = r.Byte()&flagGuaranteed != 0
	g.Zone = r.Text()
	g.DoneTasks = int(min(r.Uvarint(), maxTasks))
	g.Throttle = int(min(r.Uvarint(), maxTasks))
	var ok bool
	if g.Tasks, ok = readTasks(r, readLocations(r)); !ok || !r.IsComplete() {
		return nil, errMalformedBinary
	}
	return g, nil
}

// readLocations reads the locations and returns them by index. The first one is the zero value,
// for tasks that are not bound.
func readLocations(r *codec.Reader) []location {
	locations := make([]location, 1, 1+r.Count(minLocationBytes))
	for i := range cap(locations) - 1 {
		previous := &locations[i]
		locations = append(locations, location{machine: r.PrefixCompressed(previous.machine), addr: r.PrefixCompressed(previous.addr), incarnation: r.Uvarint()})
	}
	return locations
}

// readTasks reads the tasks and looks up their locations. It returns false if they are
// malformed.
func readTasks(r *codec.Reader, locations []location) ([]Binding, bool) {
	tasks := make([]Binding, 0, r.Count(minTaskBytes))
	number := int64(0)
	for range cap(tasks) {
		number += r.Varint()
		task := Binding{Task: int32(number), Attempt: r.Uvarint()}
		index := r.Uvarint()
		if r.IsMalformed() || index >= uint64(len(locations)) || int64(task.Task) != number {
			return nil, false
		}
		l := locations[index]
		task.Machine, task.Addr, task.Incarnation = l.machine, l.addr, l.incarnation
		tasks = append(tasks, task)
	}
	return tasks, true
}
