package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// CountFittingTasks counts as many tasks as PlaceWithoutPreemption places, and takes no room.
func TestCountFittingTasksMatchesPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := drawMachines(t)
		zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		inZone := func(machine *MachineSummary) bool { return machine.Zone == zone }
		size, count := drawCPUs(t, "task cpus", 1, 5), rapid.IntRange(0, 30).Draw(t, "count")
		room := CountFittingTasks(machines, inZone, size, count)
		placed := 0
		for _, tasks := range PlaceWithoutPreemption(machines, inZone, size, count) {
			placed += tasks
		}
		if room != placed {
			t.Fatalf("expected room for the %d tasks that were placed afterwards, got %d", placed, room)
		}
	})
}

// SelectMachines takes the first machines, no more than are needed or allowed.
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
		name           string
		tasks, limit   int
		taken, lacking int
	}{
		{name: "none is needed", tasks: 0, limit: 4, taken: 0, lacking: 0},
		{name: "enough room already", tasks: -2, limit: 4, taken: 0, lacking: -2},
		{name: "whole machines", tasks: 4, limit: 4, taken: 2, lacking: 0},
		{name: "the last one in part", tasks: 5, limit: 4, taken: 3, lacking: 0},
		{name: "too few machines", tasks: 11, limit: 9, taken: 4, lacking: 3},
		{name: "too low a limit", tasks: 8, limit: 3, taken: 3, lacking: 2},
		{name: "no machine is allowed", tasks: 1, limit: -1, taken: 0, lacking: 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			taken, lacking := SelectMachines(machines, row.tasks, row.limit, twoEach)
			if len(taken) != row.taken || lacking != row.lacking {
				t.Errorf("expected %d machines and %d tasks without room, got %d and %d", row.taken, row.lacking, len(taken), lacking)
			}
			for i, machine := range taken {
				if machine != machines[i] {
					t.Errorf("expected machine %d as number %d, got %d", i, i, machine.Index)
				}
			}
		})
	}
}
