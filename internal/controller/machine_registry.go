package controller

import (
	"iter"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// machineRegistry has the machines by name and by index, their types, the partitions that they
// are in, and which of them are on loan or terminated.
type machineRegistry struct {
	machineTypes   map[string]*wire.MachineType
	machines       map[string]*machine
	machineByIndex []*machine
	partitions     []*partition // the last one is the leader's, of machines on loan
	loans          map[string]*machineLoan
	// terminated are the machines that surely are, as long as a tombstone says so.
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

// allGroups goes through all task groups there are.
func (c *machineRegistry) allGroups() iter.Seq[*taskGroup] {
	return func(yield func(*taskGroup) bool) {
		for _, p := range c.partitions {
			for _, group := range p.groups {
				if !yield(group) {
					return
				}
			}
		}
	}
}

// moveToPartition moves a task group to another partition's list, or to none.
func (c *machineRegistry) moveToPartition(group *taskGroup, to int) {
	if group.listPosition > 0 {
		if group.partition == to {
			return
		}
		c.partitions[group.partition].removeGroup(group)
	}
	if to != noPartition {
		c.partitions[to].addGroup(group)
	}
}

// noPartition is the partition of a task group that is not stored.
const noPartition = -1

// getOrAddMachine returns the machine of a name, which is made known if it is not yet.
func (c *machineRegistry) getOrAddMachine(name string) *machine {
	m := c.machines[name]
	if m != nil {
		return m
	}
	m = &machine{
		name:           name,
		index:          scheduling.MachineIndex(len(c.machineByIndex)),
		hashPartition:  hashPartitionIndex(name, c.loanPartition()),
		terminated:     c.terminatedMachines[name],
		cachedImages:   map[string]bool{},
		fetchStartedAt: map[string]time.Time{},
		failedJobs:     map[string]time.Time{},
	}
	m.partition = c.partitionOfMachine(m)
	c.machines[name] = m
	c.machineByIndex = append(c.machineByIndex, m)
	c.addToPartition(m)
	return m
}

// setMachineSize makes a machine's cells known to its partition once its type is known.
func (c *machineRegistry) setMachineSize(m *machine) {
	p := c.partitions[m.partition]
	machineType := c.machineTypes[m.machineType]
	if p.token == 0 || machineType == nil || m.terminated || m.heartbeatAt.IsZero() {
		return
	}
	p.cells.SetMachine(m.index, scheduling.NewResources(machineType.CPUs, machineType.GPUs, machineType.RAMGB))
}

// partitionOfMachine is the partition that a machine is in by the records.
func (c *machineRegistry) partitionOfMachine(m *machine) int {
	if loan := c.loans[m.name]; loan != nil && loan.Acknowledged {
		return c.loanPartition()
	}
	return m.hashPartition
}

// addToPartition puts a machine among those of its partition.
func (c *machineRegistry) addToPartition(m *machine) {
	if !m.inPartitionList {
		m.inPartitionList = true
		p := c.partitions[m.partition]
		p.machines = append(p.machines, m)
	}
}
