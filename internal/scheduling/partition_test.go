package scheduling

import (
	"testing"

	"pgregory.net/rapid"
)

// rebuiltMachineCount is the number of machines in the partitions that are rebuilt.
const rebuiltMachineCount = MachineIndex(3)

// storedBinding holds what a controller stores of an allocated task.
type storedBinding struct {
	machine MachineIndex
	size    Resources
	claim   Claim
}

// drawPartition schedules random groups and releases some of their tasks.
func drawPartition(t *rapid.T) (*Partition, []*AffinityGroup) {
	partition := NewPartition()
	for index := range rebuiltMachineCount {
		partition.SetMachine(index, testMachineSize)
	}
	var groups []*AffinityGroup
	for i := range int32(rapid.IntRange(1, 25).Draw(t, "groups")) {
		priority := rapid.IntRange(0, 3).Draw(t, "priority")
		cpus := float64(rapid.IntRange(1, 5).Draw(t, "cpus"))
		group := newTestGroup(priority, cpus, 2*i, 2*i+1)
		partition.Schedule(group, equalScore)
		groups = append(groups, group)
		if rapid.Bool().Draw(t, "end a task") {
			if running := partition.AllocatedTasks(); len(running) > 0 {
				partition.Release(running[0])
			}
		}
	}
	return partition, groups
}

// storedBindings returns the bindings of the running tasks of Allocated groups.
func storedBindings(partition *Partition, groups []*AffinityGroup) map[TaskID]storedBinding {
	stored := map[TaskID]storedBinding{}
	for _, group := range groups {
		for i, task := range group.Tasks {
			if group.State == GroupAllocated && partition.Cell(task) != nil {
				stored[task] = storedBinding{group.Machines[i], group.TaskSize, group.Claim}
			}
		}
	}
	return stored
}

// After a failover, the persistent states are sufficient: the cells rebuilt from the stored
// bindings alone equal the former ones, except for reservations, which are volatile.
func TestRebuildFromBindings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, groups := drawPartition(t)
		rebuilt := NewPartition()
		for task, binding := range storedBindings(before, groups) {
			rebuilt.ApplyBinding(task, binding.machine, binding.size, binding.claim)
		}
		for index := range rebuiltMachineCount {
			rebuilt.SetMachine(index, testMachineSize)
		}
		if err := rebuilt.CheckInvariants(); err != nil {
			t.Fatal(err)
		}
		if len(rebuilt.AllocatedTasks()) != len(before.AllocatedTasks()) {
			t.Fatalf("expected %d allocated tasks, got %d", len(before.AllocatedTasks()), len(rebuilt.AllocatedTasks()))
		}
		for _, group := range groups {
			before.CancelReservations(group) // Preempting groups become Pending after a failover (ec)
		}
		for index := range rebuiltMachineCount {
			if rebuilt.FreeResources(index) != before.FreeResources(index) {
				t.Fatalf("machine %d: expected free resources %v, got %v", index, before.FreeResources(index), rebuilt.FreeResources(index))
			}
		}
	})
}
