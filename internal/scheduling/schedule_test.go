package scheduling

import (
	"slices"
	"testing"
)

// equalScore returns the same score for all machines.
func equalScore(MachineIndex, Resources) float64 { return 0 }

// newTestGroup returns a Pending group of tasks with the given numbers.
func newTestGroup(priority int, cpus float64, numbers ...int32) *AffinityGroup {
	group := &AffinityGroup{TaskSize: NewResources(cpus, 0, 1), Claim: Claim{Priority: priority}}
	for _, number := range numbers {
		group.Tasks = append(group.Tasks, TaskID{Number: number})
	}
	return group
}

// newTestPartition returns a partition with one machine of 4 CPUs.
func newTestPartition() *Partition {
	partition := NewPartition()
	partition.SetMachine(0, NewResources(4, 0, 8))
	return partition
}

func expectState(t *testing.T, name string, group *AffinityGroup, expected GroupState) {
	t.Helper()
	if group.State != expected {
		t.Fatalf("%s: expected state %v, got %v", name, expected, group.State)
	}
}

// A preempting group is allocated once all of its victims have ended, not earlier.
func TestPreemptingGroupWaitsForAllVictims(t *testing.T) {
	partition := newTestPartition()
	low, high := newTestGroup(0, 2, 0, 1), newTestGroup(2, 4, 2)
	partition.Schedule(low, equalScore)
	partition.Schedule(high, equalScore)
	expectState(t, "lower group", low, GroupAllocated)
	expectState(t, "higher group", high, GroupPreempting)
	if cell := partition.Cell(TaskID{Number: 0}); cell.State != CellReserving {
		t.Fatalf("victim's cell: expected state %v, got %v", CellReserving, cell.State)
	}
	if partition.Release(TaskID{Number: 0}) != nil {
		t.Fatal("expected no group to be allocated while a victim still runs")
	}
	if partition.Release(TaskID{Number: 1}) != high {
		t.Fatal("expected the higher group to be allocated after its last victim has ended")
	}
	expectState(t, "higher group after its last victim has ended", high, GroupAllocated)
}

// Cancelling the reservations of a preempting group returns the cells to its victims.
func TestCancelReservationsReturnsCells(t *testing.T) {
	partition := newTestPartition()
	partition.Schedule(newTestGroup(0, 3, 0), equalScore)
	high := newTestGroup(2, 4, 1)
	partition.Schedule(high, equalScore)
	partition.CancelReservations(high)
	expectState(t, "cancelled group", high, GroupPending)
	if cell := partition.Cell(TaskID{Number: 0}); cell.State != CellUsed {
		t.Fatalf("victim's cell: expected state %v, got %v", CellUsed, cell.State)
	}
	if expected := NewResources(1, 0, 7); partition.FreeResources(0) != expected {
		t.Fatalf("free resources: expected %v, got %v", expected, partition.FreeResources(0))
	}
}

// A group of higher priority than the one that holds a reservation overwrites it, and the
// former group becomes Pending. A group of equal priority doesn't.
func TestHigherGroupOverwritesReservation(t *testing.T) {
	partition := newTestPartition()
	partition.Schedule(newTestGroup(0, 4, 0), equalScore)
	middle, highest, equal := newTestGroup(1, 4, 1), newTestGroup(3, 4, 2), newTestGroup(3, 4, 3)
	partition.Schedule(middle, equalScore)
	partition.Schedule(highest, equalScore)
	expectState(t, "overwritten group", middle, GroupPending)
	expectState(t, "highest group", highest, GroupPreempting)
	if partition.Release(TaskID{Number: 0}) != highest {
		t.Fatal("expected the cell to be allocated to the highest group")
	}
	partition.Schedule(equal, equalScore)
	expectState(t, "group of equal priority", equal, GroupPending)
}

// Of the cells that may be preempted, those of lower weight are chosen first, then larger ones,
// then those allocated later. Among machines, the one with the lowest preemption cost is
// chosen.
func TestVictimSelection(t *testing.T) {
	type running struct {
		task    int32
		machine MachineIndex
		cpus    float64
		claim   Claim
	}
	for _, row := range []struct {
		name     string
		running  []running
		cpus     float64 // size of the preempting task
		expected int32   // number of a task that must be a victim
	}{
		{"lower priority", []running{{0, 0, 2, Claim{Priority: 1}}, {1, 0, 2, Claim{}}}, 2, 1},
		{"not guaranteed", []running{{0, 0, 2, Claim{Guaranteed: true}}, {1, 0, 2, Claim{}}}, 2, 1},
		{"larger cell", []running{{0, 0, 3, Claim{}}, {1, 0, 1, Claim{}}}, 1, 0},
		{"allocated last", []running{{0, 0, 2, Claim{}}, {1, 0, 2, Claim{}}}, 2, 1},
		{"two victims rather than one of higher priority", []running{{0, 0, 4, Claim{Priority: 1}}, {1, 1, 2, Claim{}}, {2, 1, 2, Claim{}}}, 4, 2},
		{"one victim rather than two", []running{{0, 0, 2, Claim{}}, {1, 0, 2, Claim{}}, {2, 1, 4, Claim{}}}, 4, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			partition := NewPartition()
			for _, r := range row.running {
				partition.SetMachine(r.machine, NewResources(4, 0, 8))
				partition.ApplyBinding(TaskID{Number: r.task}, r.machine, NewResources(r.cpus, 0, 1), r.claim)
			}
			preemptor := newTestGroup(3, row.cpus, 100)
			partition.Schedule(preemptor, equalScore)
			expectState(t, "preempting group", preemptor, GroupPreempting)
			if cell := partition.Cell(TaskID{Number: row.expected}); cell.State != CellReserving {
				t.Errorf("cell of task %d: expected state %v, got %v", row.expected, CellReserving, cell.State)
			}
		})
	}
}

// Among machines with the same score, the one with the lowest index is chosen.
func TestEqualScoresPreferLowerIndex(t *testing.T) {
	partition := NewPartition()
	for _, index := range []MachineIndex{2, 0, 1} {
		partition.SetMachine(index, NewResources(4, 0, 8))
	}
	group := newTestGroup(0, 4, 0, 1, 2)
	partition.Schedule(group, equalScore)
	if expected := []MachineIndex{0, 1, 2}; !slices.Equal(group.Machines, expected) {
		t.Errorf("expected machines %v, got %v", expected, group.Machines)
	}
}
