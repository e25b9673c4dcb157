package scheduling

import (
	"fmt"
	"testing"
)

// newBusyPartition returns a partition of machines with 16 CPUs. Tasks of 2 CPUs and priority 1
// use all CPUs, except on every tenth machine, which is free.
func newBusyPartition(machines int) *Partition {
	partition := NewPartition()
	nextTask := int32(0)
	for index := range MachineIndex(machines) {
		partition.SetMachine(index, NewResources(16, 0, 64))
		for i := 0; i < 8 && index%10 != 0; i++ {
			partition.ApplyBinding(TaskID{Number: nextTask}, index, NewResources(2, 0, 1), Claim{Priority: 1})
			nextTask++
		}
	}
	return partition
}

// benchmarkSchedule schedules groups of eight tasks with the given CPUs and priority in
// partitions of several sizes, and undoes each result.
func benchmarkSchedule(b *testing.B, cpus float64, priority int, score ScoreFunc, undo func(*Partition, *AffinityGroup)) {
	tasks := make([]TaskID, 8)
	for i := range tasks {
		tasks[i] = TaskID{Group: 1, Number: int32(i)}
	}
	for _, machines := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			partition := newBusyPartition(machines)
			for b.Loop() {
				group := &AffinityGroup{Tasks: tasks, TaskSize: NewResources(cpus, 0, 1), Claim: Claim{Priority: priority}}
				partition.Schedule(group, score)
				if group.State == GroupPending {
					b.Fatal("expected the group to be Allocated or Preempting, got Pending")
				}
				undo(partition, group)
			}
		})
	}
}

func BenchmarkScheduleWithoutPreemption(b *testing.B) {
	fullestFirst := func(_ MachineIndex, free Resources) float64 { return float64(free.CPU) }
	benchmarkSchedule(b, 2, 1, fullestFirst, func(partition *Partition, group *AffinityGroup) {
		for _, task := range group.Tasks {
			partition.Release(task)
		}
	})
}

func BenchmarkScheduleByPreemption(b *testing.B) {
	onlyFullMachines := func(index MachineIndex, _ Resources) float64 { return float64(index%10) - 1 }
	benchmarkSchedule(b, 6, 2, onlyFullMachines, (*Partition).CancelReservations)
}
