package peer

import (
	"encoding/binary"

	"eiderhitch/internal/codec"
)

// Status is the state of a controller that it sends to its peers.
type Status struct {
	// Node is the controller's name.
	Node string
	// ProcessID is chosen at random when the process starts. It distinguishes a restarted
	// controller from its previous process, which has the same name and whose last frames may
	// arrive late.
	ProcessID string
	// ReplicaIsFresh is set if the controller's replica of the key-value store is up to date.
	ReplicaIsFresh bool
	// CanTakePartitions is set if the controller may take over partitions, because its replica is
	// up to date and workers can reach it.
	CanTakePartitions bool
	Partitions        []uint64 // indexes of the partitions that the controller owns
	Machines          []Machine
	// DrainingMachines names the machines that accept no new tasks because the leader is about to
	// terminate them.
	DrainingMachines []string
}

// Machine describes a machine to the peers of its partition's owner. Flags combines the Flag
// constants.
type Machine struct {
	Name, Addr, Type, Zone string
	Incarnation            uint64
	Flags                  uint8
}

// Flags of a machine. The numbers are sent to other versions of the program.
const (
	// FlagReachable is set while the machine's heartbeats arrive.
	FlagReachable = 1 << iota
	// FlagTerminationNotice is set if the cloud has announced that it will terminate the machine.
	FlagTerminationNotice
	// FlagCordoned is set if tasks of several jobs failed on the machine. No task is placed on it.
	FlagCordoned
	// FlagUnreachable is set if the machine neither sends heartbeats nor answers its owner, while
	// the owner does receive heartbeats from other machines.
	FlagUnreachable
	// FlagSpot is set if the machine is a spot instance.
	FlagSpot
	// FlagAwaitingFirstHeartbeat is set if no heartbeat of the machine has arrived since its owner
	// took over its partition.
	FlagAwaitingFirstHeartbeat
)

// Flags of a status. The numbers are sent to other versions of the program.
const (
	statusFlagReplicaIsFresh = 1 << iota
	statusFlagCanTakePartitions
)

const (
	// minMachineBytes is the smallest encoded size of a machine in any frame version.
	minMachineBytes = 6
	// minElementBytes is the smallest encoded size of a number or a string.
	minElementBytes = 1
)

// appendController appends the fields that describe the controller itself.
func appendController(buf []byte, status *Status) []byte {
	buf = codec.AppendString(buf, status.Node)
	buf = codec.AppendString(buf, status.ProcessID)
	var flags uint8
	if status.ReplicaIsFresh {
		flags |= statusFlagReplicaIsFresh
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

// appendPlainMachines appends the machines and the draining machines in the format of PlainFrame.
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

// appendCompressedMachines appends the machines and the draining machines in the format of
// ChecksummedFrame, with prefix-compressed strings.
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

// readController reads the fields that appendController appended.
func readController(reader *codec.Reader) *Status {
	status := &Status{Node: reader.Text(), ProcessID: reader.Text()}
	flags := reader.Byte()
	status.ReplicaIsFresh, status.CanTakePartitions = flags&statusFlagReplicaIsFresh != 0, flags&statusFlagCanTakePartitions != 0
	for range reader.Count(minElementBytes) {
		status.Partitions = append(status.Partitions, reader.Uvarint())
	}
	return status
}

// readPlainMachines reads the machines that appendPlainMachines appended into status.
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

// readCompressedMachines reads the machines that appendCompressedMachines appended into status.
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
