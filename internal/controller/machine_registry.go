package controller

import (
	"iter"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// machineRegistry holds all machines by name and by index, the machine types, the partitions,
// and the machines on loan or terminated.
type machineRegistry struct {
	machineTypes   map[string]*wire.MachineType
	machines       map[string]*machine
	machineByIndex []*machine
	partitions     []*partition // the last one is the leader's partition of machines on loan
	loans          map[string]*machineLoan
	// terminatedMachines is the set of machines that are known to be terminated because a
	// stored tombstone names them.
	terminatedMachines map[string]bool
	tombstones         map[string]tombstone
}

func newMachineRegistry() *machineRegistry {
	return &machineRegistry{
		machines:           map[string]*machine{},
		loans:              map[string]*machineLoan{},
		terminatedMachines: map[string]bool{},
		tombstones:         map[string]tombstone{},
	}
}

// allGroups iterates over the task groups of all partitions.
func (r *machineRegistry) allGroups() iter.Seq[*taskGroup] {
	return func(yield func(*taskGroup) bool) {
		for _, p := range r.partitions {
			for _, group := range p.groups {
				if !yield(group) {
					return
				}
			}
		}
	}
}

// moveGroupToPartition moves a task group to the list of another partition, or removes it from
// its list if to is noPartition.
func (r *machineRegistry) moveGroupToPartition(group *taskGroup, to int) {
	if group.listPosition > 0 {
		if group.partition == to {
			return
		}
		r.partitions[group.partition].removeGroup(group)
	}
	if to != noPartition {
		r.partitions[to].addGroup(group)
	}
}

// noPartition is the partition index of a task group that is not stored.
const noPartition = -1

// getOrAddMachine returns the machine with the given name and adds it if it is unknown.
func (r *machineRegistry) getOrAddMachine(name string) *machine {
	m := r.machines[name]
	if m != nil {
		return m
	}
	m = &machine{
		name:           name,
		index:          scheduling.MachineIndex(len(r.machineByIndex)),
		hashPartition:  hashPartitionIndex(name, r.loanPartition()),
		terminated:     r.terminatedMachines[name],
		cachedImages:   map[string]bool{},
		fetchStartedAt: map[string]time.Time{},
		failedJobs:     map[string]time.Time{},
	}
	m.partition = r.partitionOfMachine(m)
	r.machines[name] = m
	r.machineByIndex = append(r.machineByIndex, m)
	r.addMachineToPartition(m)
	return m
}

// setMachineSize sets the machine's size in the cells of its partition, if this controller owns
// the partition, the machine has sent a heartbeat and its type is known.
func (r *machineRegistry) setMachineSize(m *machine) {
	p := r.partitions[m.partition]
	machineType := r.machineTypes[m.machineType]
	if p.token == 0 || machineType == nil || m.terminated || m.heartbeatAt.IsZero() {
		return
	}
	p.cells.SetMachine(m.index, scheduling.NewResources(machineType.CPUs, machineType.GPUs, machineType.RAMGB))
}

// partitionOfMachine returns the index of the partition that the machine belongs to according
// to the stored records.
func (r *machineRegistry) partitionOfMachine(m *machine) int {
	if loan := r.loans[m.name]; loan != nil && loan.Acknowledged {
		return r.loanPartition()
	}
	return m.hashPartition
}

// addMachineToPartition adds a machine to the list of its partition unless it is already there.
func (r *machineRegistry) addMachineToPartition(m *machine) {
	if !m.inPartitionList {
		m.inPartitionList = true
		p := r.partitions[m.partition]
		p.machines = append(p.machines, m)
	}
}
