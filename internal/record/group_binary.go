package record

import (
	"encoding/binary"
	"errors"
	"math"

	"eiderhitch/internal/codec"
)

const (
	// maxTasks bounds what a damaged count can ask for; a job has at most 100,000 tasks.
	maxTasks = 1 << 17
	// flagGuaranteed is the flag of TaskGroup.Guaranteed.
	flagGuaranteed = 1
	// minLocationBytes and minTaskBytes are the least that one takes in the content.
	minLocationBytes = 5
	minTaskBytes     = 3
)

// errMalformedBinary says that the content makes no sense although its checksum matches.
var errMalformedBinary = errors.New("content is malformed")

// location is where a task is bound. Several tasks of a group often share one; the zero value
// is for tasks that are not bound.
type machineLocation struct {
	machine, addr string
	incarnation   uint64
}

func (b *Binding) location() machineLocation {
	return machineLocation{b.Machine, b.Addr, b.Incarnation}
}

// canEncodeBinary tells whether the content can hold all of the group. One with names longer than
// any cloud gives can't be held.
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

// appendBinary appends the content of the checksummed encoding: the group's fields, the
// locations that tasks are bound to, and the tasks, each with the distance of its number from
// the one before and its location's index, from 1; 0: not bound.
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

// locations returns the locations that tasks are bound to, in order, and the index of each.
func (g *TaskGroup) locations() ([]machineLocation, map[machineLocation]uint64) {
	var locations []machineLocation
	index := map[machineLocation]uint64{}
	for i := range g.Tasks {
		l := g.Tasks[i].location()
		if _, known := index[l]; !known && l != (machineLocation{}) {
			locations = append(locations, l)
			index[l] = uint64(len(locations))
		}
	}
	return locations, index
}

func appendLocations(buf []byte, locations []machineLocation) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(locations)))
	previous := machineLocation{}
	for _, l := range locations {
		buf = codec.AppendPrefixCompressed(buf, previous.machine, l.machine)
		buf = codec.AppendPrefixCompressed(buf, previous.addr, l.addr)
		buf = binary.AppendUvarint(buf, l.incarnation)
		previous = l
	}
	return buf
}

func (g *TaskGroup) appendTasks(buf []byte, index map[machineLocation]uint64) []byte {
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

// decodeBinary decodes what appendBinary wrote.
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

// readLocations returns the locations by index; the first one is for tasks that are not bound.
func readLocations(r *codec.Reader) []machineLocation {
	locations := make([]machineLocation, 1, 1+r.Count(minLocationBytes))
	for i := range cap(locations) - 1 {
		previous := &locations[i]
		locations = append(locations, machineLocation{machine: r.PrefixCompressed(previous.machine), addr: r.PrefixCompressed(previous.addr), incarnation: r.Uvarint()})
	}
	return locations
}

// readTasks returns the tasks; false: they are malformed.
func readTasks(r *codec.Reader, locations []machineLocation) ([]Binding, bool) {
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
