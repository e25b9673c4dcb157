package scheduling

import (
	"slices"
	"testing"
)

// anyMachine rates all machines alike.
func equalScore(MachineIndex, Resources) float64 { return 0 }

// newTestGroup returns a Pending group of tasks with these numbers.
func newTestGroup(priority int, cpus float64, numbers ...int32) *AffinityGroup {
	group := &AffinityGroup{TaskSize: NewResources(cpus, 0, 1), Claim: Claim{Priority: priority}}
	for _, number := range numbers {
		group.Tasks = append(group.Tasks, TaskID{Number: number})
	}
	return group
}

// newTestPartition returns a partition with one machine of four CPUs.
func newTestPartition() *Partition {
	partition := NewPartition()
	partition.SetMachine(0, NewResources(4, 0, 8))
	return partition
}

func expectState(t *testing.T, name string, group *AffinityGroup, expected GroupState) {
	t.Helper()
	if group.State != expected {
		t.Fatalf("%s: expected %v, got %v", name, expected, group.State)
	}
}

// A preempting group waits until every victim has ended, and then gets all its cells.
func TestPreemptingGroupWaitsForAllVictims(t *testing.T) {
	partition := newTestPartition()
	low, high := newTestGroup(0, 2, 0, 1), newTestGroup(2, 4, 2)
	partition.Schedule(low, equalScore)
	partition.Schedule(high, equalScore)
	expectState(t, "lower group", low, GroupAllocated)
	expectState(t, "higher group", high, GroupPreempting)
	if cell := partition.Cell(TaskID{Number: 0}); cell.State != CellReserving {
		t.Fatalf("victim's cell: expected %v, got %v", CellReserving, cell.State)
	}
	if partition.Release(TaskID{Number: 0}) != nil {
		t.Fatal("expected no group to be allocated while a victim still runs")
	}
	if partition.Release(TaskID{Number: 1}) != high {
		t.Fatal("expected the higher group to be allocated after its last victim")
	}
	expectState(t, "higher group after its last victim", high, GroupAllocated)
}

// Cancelling a preempting group returns the cells to its victims.
func TestCancelReservationsReturnsCells(t *testing.T) {
	partition := newTestPartition()
	partition.Schedule(newTestGroup(0, 3, 0), equalScore)
	high := newTestGroup(2, 4, 1)
	partition.Schedule(high, equalScore)
	partition.CancelReservations(high)
	expectState(t, "cancelled group", high, GroupPending)
	if cell := partition.Cell(TaskID{Number: 0}); cell.State != CellUsed {
		t.Fatalf("victim's cell: expected %v, got %v", CellUsed, cell.State)
	}
	if expected := NewResources(1, 0, 7); partition.FreeResources(0) != expected {
		t.Fatalf("free room: expected %v, got %v", expected, partition.FreeResources(0))
	}
}

// A still higher group overwrites a reservation: the group that made it is Pending again.
// One of equal priority doesn't.
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

// Of the cells that may be preempted, those of the lowest weight are, then larger ones,
// then those allocated last. Machines are compared by what that costs.
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
		cpus     float64 // that the preempting group asks for
		expected int32   // a task that is to be a victim
	}{
		{"lower priority", []running{{0, 0, 2, Claim{Priority: 1}}, {1, 0, 2, Claim{}}}, 2, 1},
		{"not guaranteed", []running{{0, 0, 2, Claim{Guaranteed: true}}, {1, 0, 2, Claim{}}}, 2, 1},
		{"larger cell", []running{{0, 0, 3, Claim{}}, {1, 0, 1, Claim{}}}, 1, 0},
		{"allocated last", []running{{0, 0, 2, Claim{}}, {1, 0, 2, Claim{}}}, 2, 1},
		{"two rather than a higher one", []running{{0, 0, 4, Claim{Priority: 1}}, {1, 1, 2, Claim{}}, {2, 1, 2, Claim{}}}, 4, 2},
		{"one rather than two", []running{{0, 0, 2, Claim{}}, {1, 0, 2, Claim{}}, {2, 1, 4, Claim{}}}, 4, 2},
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
				t.Errorf("cell of task %d: expected %v, got %v", row.expected, CellReserving, cell.State)
			}
		})
	}
}

// Of machines with the same score the one with the lowest index is chosen.
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
