package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// PlaceInFreeRoom never gives a machine more tasks than it holds, and places as many as
// fit and are asked for.
func TestPlaceInFreeRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*MachineSummary
		for i := range rapid.IntRange(0, 5).Draw(t, "machines") {
			size := scheduling.NewResources(float64(rapid.IntRange(0, 16).Draw(t, "machine cpus")), 0, 64)
			spot := rapid.Bool().Draw(t, "spot")
			machines = append(machines, &MachineSummary{ID: scheduling.MachineIndex(i), Size: size, Free: size, Spot: spot})
		}
		size, count := drawCPUs(t, "task cpus", 1, 5), rapid.IntRange(0, 40).Draw(t, "count")
		fitting, placed := 0, 0
		for _, machine := range machines {
			fitting += machine.Free.CountFitting(size, count)
		}
		for machine, tasks := range PlaceInFreeRoom(machines, anyMachine, size, count) {
			placed += tasks
			if machine.Free.Plus(size.Times(tasks)) != machine.Size {
				t.Fatalf("%d tasks on a machine of %v leave %v", tasks, machine.Size, machine.Free)
			}
		}
		expectNoOvercommit(t, machines)
		if placed != min(fitting, count) {
			t.Fatalf("expected %d of %d tasks to be placed, got %d", min(fitting, count), count, placed)
		}
	})
}
