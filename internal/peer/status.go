package peer

import (
	"encoding/binary"

	"eiderhitch/internal/codec"
)

// Status is what one controller tells its peers.
type Status struct {
	Node string
	// ProcessID is drawn at the start of the process: a restarted controller has the name of
	// its former self, whose frames may still come late.
	ProcessID string
	// Fresh: its replica of the key-value store is current.
	ReplicaIsCurrent bool
	// Eligible: it may take partitions over, since it is fresh and workers reach it.
	CanTakePartitions bool
	Partitions        []uint64 // that it owns
	Machines          []Machine
	// Draining are the machines on which nothing may be placed any more, since the leader
	// is about to return them.
	DrainingMachines []string
}

// Machine is what the owner of a partition knows of one of its machines.
type Machine struct {
	Name, Addr, Type, Zone string
	Incarnation            uint64
	Flags                  uint8
}

// Flags of a machine.
const (
	// Reachable: heartbeats are arriving.
	FlagReachable = 1 << iota
	// FlagTerminationNotice: the cloud is about to take the machine.
	FlagTerminationNotice
	// Cordoned: tasks of several jobs failed on it; nothing is placed there.
	FlagCordoned
	// Unreachable: it neither sends heartbeats nor answers its owner, who hears from others.
	FlagUnreachable
	// Spot: it is a spot instance.
	FlagSpot
	// FlagNoHeartbeatYet: no heartbeat has come since its owner took its partition over.
	FlagNoHeartbeatYet
)

// Flags of a status.
const (
	statusFlagReplicaIsCurrent = 1 << iota
	statusFlagCanTakePartitions
)

const (
	// minMachineBytes is the least that a machine takes in any version.
	minMachineBytes = 6
	// minElementBytes is the least that a number or a string takes.
	minElementBytes = 1
)

// appendController appends what a controller tells about itself.
func appendController(buf []byte, status *Status) []byte {
	buf = codec.AppendString(buf, status.Node)
	buf = codec.AppendString(buf, status.ProcessID)
	var flags uint8
	if status.ReplicaIsCurrent {
		flags |= statusFlagReplicaIsCurrent
	}
	if status.CanTakePartitions {
		flags |= statusFlagCanTakePartitions
	}
	buf = append(buf, flags)
	buf = binary.AppendUvarint(buf, uint64(len(status.Partitions)))
	for _, p := range status.Partitions {
		buf = binary.AppendUvarint(buf, p)
	}
	return buf
}

// appendPlainMachines appends the machines as PlainFrame has them.
func appendPlainMachines(buf []byte, status *Status) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(status.Machines)))
	for i := range status.Machines {
		m := &status.Machines[i]
		buf = codec.AppendString(buf, m.Name)
		buf = codec.AppendString(buf, m.Addr)
		buf = codec.AppendString(buf, m.Type)
		buf = codec.AppendString(buf, m.Zone)
		buf = binary.AppendUvarint(buf, m.Incarnation)
		buf = append(buf, m.Flags)
	}
	buf = binary.AppendUvarint(buf, uint64(len(status.DrainingMachines)))
	for _, name := range status.DrainingMachines {
		buf = codec.AppendString(buf, name)
	}
	return buf
}

// appendCompressedMachines appends the machines as ChecksummedFrame has them.
func appendCompressedMachines(buf []byte, status *Status) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(status.Machines)))
	previous := &Machine{}
	for i := range status.Machines {
		m := &status.Machines[i]
		buf = codec.AppendPrefixCompressed(buf, previous.Name, m.Name)
		buf = codec.AppendPrefixCompressed(buf, previous.Addr, m.Addr)
		buf = codec.AppendPrefixCompressed(buf, previous.Type, m.Type)
		buf = codec.AppendPrefixCompressed(buf, previous.Zone, m.Zone)
		buf = binary.AppendUvarint(buf, m.Incarnation)
		buf = append(buf, m.Flags)
		previous = m
	}
	buf = binary.AppendUvarint(buf, uint64(len(status.DrainingMachines)))
	previousName := ""
	for _, name := range status.DrainingMachines {
		buf = codec.AppendPrefixCompressed(buf, previousName, name)
		previousName = name
	}
	return buf
}

// readController reads what appendController appended.
func readController(reader *codec.Reader) *Status {
	status := &Status{Node: reader.Text(), ProcessID: reader.Text()}
	flags := reader.Byte()
	status.ReplicaIsCurrent, status.CanTakePartitions = flags&statusFlagReplicaIsCurrent != 0, flags&statusFlagCanTakePartitions != 0
	for range reader.Count(minElementBytes) {
		status.Partitions = append(status.Partitions, reader.Uvarint())
	}
	return status
}

// readPlainMachines reads what appendPlainMachines appended.
func readPlainMachines(reader *codec.Reader, status *Status) {
	for range reader.Count(minMachineBytes) {
		status.Machines = append(status.Machines, Machine{Name: reader.Text(), Addr: reader.Text(), Type: reader.Text(), Zone: reader.Text(),
			Incarnation: reader.Uvarint(), Flags: reader.Byte()})
		if reader.IsMalformed() {
			return
		}
	}
	for range reader.Count(minElementBytes) {
		status.DrainingMachines = append(status.DrainingMachines, reader.Text())
	}
}

// readCompressedMachines reads what appendCompressedMachines appended.
func readCompressedMachines(reader *codec.Reader, status *Status) {
	previous := Machine{}
	for range reader.Count(minMachineBytes) {
		previous = Machine{Name: reader.PrefixCompressed(previous.Name), Addr: reader.PrefixCompressed(previous.Addr), Type: reader.PrefixCompressed(previous.Type), Zone: reader.PrefixCompressed(previous.Zone),
			Incarnation: reader.Uvarint(), Flags: reader.Byte()}
		if reader.IsMalformed() {
			return
		}
		status.Machines = append(status.Machines, previous)
	}
	previousName := ""
	for range reader.Count(minElementBytes) {
		previousName = reader.PrefixCompressed(previousName)
		status.DrainingMachines = append(status.DrainingMachines, previousName)
	}
}
