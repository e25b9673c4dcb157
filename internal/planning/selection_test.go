package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// CountFittingTasks counts as many tasks as PlaceWithoutPreemption places, and leaves the machines
// unchanged.
func TestCountFittingTasksMatchesPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := drawMachines(t)
		zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		inZone := func(machine *MachineSummary) bool { return machine.Zone == zone }
		size, count := drawCPUs(t, "task cpus", 1, 5), rapid.IntRange(0, 30).Draw(t, "count")
		capacity := CountFittingTasks(machines, inZone, size, count)
		placed := 0
		for _, tasks := range PlaceWithoutPreemption(machines, inZone, size, count) {
			placed += tasks
		}
		if capacity != placed {
			t.Fatalf("expected capacity for the %d tasks that PlaceWithoutPreemption placed, got %d", placed, capacity)
		}
	})
}

// SelectMachines selects the first machines, no more than are needed and no more than the limit.
func TestSelectMachines(t *testing.T) {
	size := scheduling.NewResources(4, 0, 0)
	var machines []*MachineSummary
	for i := range 4 {
		machines = append(machines, &MachineSummary{Index: scheduling.MachineIndex(i), Size: size})
	}
	twoEach := func(machine *MachineSummary, limit int) int {
		return machine.Size.CountFitting(scheduling.NewResources(2, 0, 0), limit)
	}
	for _, row := range []struct {
		name              string
		tasks, limit      int
		selected, lacking int
	}{
		{name: "no machine is needed", tasks: 0, limit: 4, selected: 0, lacking: 0},
		{name: "more than enough capacity", tasks: -2, limit: 4, selected: 0, lacking: -2},
		{name: "machines filled completely", tasks: 4, limit: 4, selected: 2, lacking: 0},
		{name: "last machine filled partially", tasks: 5, limit: 4, selected: 3, lacking: 0},
		{name: "too few machines", tasks: 11, limit: 9, selected: 4, lacking: 3},
		{name: "limit too low", tasks: 8, limit: 3, selected: 3, lacking: 2},
		{name: "negative limit", tasks: 1, limit: -1, selected: 0, lacking: 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			selected, lacking := SelectMachines(machines, row.tasks, row.limit, twoEach)
			if len(selected) != row.selected || lacking != row.lacking {
				t.Errorf("expected %d machines and %d lacking tasks, got %d and %d", row.selected, row.lacking, len(selected), lacking)
			}
			for i, machine := range selected {
				if machine != machines[i] {
					t.Errorf("expected machine %d at position %d, got %d", i, i, machine.Index)
				}
			}
		})
	}
}
