package scheduling

import (
	"testing"

	"pgregory.net/rapid"
)

// partitionModel applies random events to a partition. rapid calls its exported methods in
// random order.
type partitionModel struct {
	partition    *Partition
	machineCount int
	nextTask     int32
	groups       []*AffinityGroup
}

// testMachineSize is the size of all machines in generated partitions.
var testMachineSize = NewResources(8, 0, 16)

func newPartitionModel(t *rapid.T) *partitionModel {
	model := &partitionModel{
		partition:    NewPartition(),
		machineCount: rapid.IntRange(1, 4).Draw(t, "machines"),
	}
	for index := range model.machineCount {
		model.partition.SetMachine(MachineIndex(index), testMachineSize)
	}
	return model
}

// runningTasks returns the tasks that hold a cell, in the order of their numbers.
func (m *partitionModel) runningTasks() []TaskID {
	var running []TaskID
	for number := range m.nextTask {
		task := TaskID{Number: number}
		if m.partition.Cell(task) != nil {
			running = append(running, task)
		}
	}
	return running
}

// ScheduleGroup adds a group and schedules it.
func (m *partitionModel) ScheduleGroup(t *rapid.T) {
	group := &AffinityGroup{
		TaskSize: NewResources(float64(rapid.IntRange(1, 5).Draw(t, "cpus")), 0, 1),
		Claim: Claim{
			Priority:   rapid.IntRange(0, 3).Draw(t, "priority"),
			Guaranteed: rapid.Bool().Draw(t, "guaranteed"),
			Team:       TeamIndex(rapid.IntRange(0, 2).Draw(t, "team")),
		},
	}
	for range rapid.IntRange(1, 4).Draw(t, "tasks") {
		group.Tasks = append(group.Tasks, TaskID{Number: m.nextTask})
		m.nextTask++
	}
	m.partition.Schedule(group, equalScore)
	m.groups = append(m.groups, group)
	started := 0
	for _, task := range group.Tasks {
		if m.partition.Cell(task) != nil {
			started++
		}
	}
	if started != 0 && started != len(group.Tasks) {
		t.Fatalf("expected all %d tasks of a gang or none to hold cells, got %d", len(group.Tasks), started)
	}
}

// ReleaseTask releases the cell of a random running task.
func (m *partitionModel) ReleaseTask(t *rapid.T) {
	running := m.runningTasks()
	if len(running) == 0 {
		return
	}
	group := m.partition.Release(rapid.SampledFrom(running).Draw(t, "task"))
	if group != nil && group.State != GroupAllocated {
		t.Fatalf("expected the group that Release returns to be Allocated, got %v", group.State)
	}
}

// CancelReservations cancels the reservations of a random group, which may have none.
func (m *partitionModel) CancelReservations(t *rapid.T) {
	if len(m.groups) > 0 {
		m.partition.CancelReservations(rapid.SampledFrom(m.groups).Draw(t, "group"))
	}
}

// LoseMachine releases all tasks of a random machine and replaces it with an empty one.
func (m *partitionModel) LoseMachine(t *rapid.T) {
	index := MachineIndex(rapid.IntRange(0, m.machineCount-1).Draw(t, "machine"))
	for _, task := range m.runningTasks() {
		if m.partition.Cell(task).Machine == index {
			m.partition.Release(task)
		}
	}
	m.partition.RemoveMachine(index)
	m.partition.SetMachine(index, testMachineSize)
}

// Check verifies the invariants. rapid calls it after every event.
func (m *partitionModel) Check(t *rapid.T) {
	if err := m.partition.CheckInvariants(); err != nil {
		t.Fatal(err)
	}
	for index, machine := range m.partition.machines {
		if !machine.freeResources.Contains(Resources{}) {
			t.Fatalf("machine %d: expected no negative free resources, got %v", index, machine.freeResources)
		}
	}
}

// The invariants hold after any sequence of scheduled groups, ends of tasks, cancellations
// and lost machines: no cell is owned twice, no machine is overcommitted, and cells are
// reserved only by claims that may preempt the claims of their tasks.
func TestInvariantsHoldAfterRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newPartitionModel(t)))
	})
}
