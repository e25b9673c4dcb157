package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// PlaceWithoutPreemption never places more tasks on a machine than fit, and places as many tasks as
// fit and are requested.
func TestPlaceWithoutPreemption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*MachineSummary
		for i := range rapid.IntRange(0, 5).Draw(t, "machines") {
			size := scheduling.NewResources(float64(rapid.IntRange(0, 16).Draw(t, "machine cpus")), 0, 64)
			spot := rapid.Bool().Draw(t, "spot")
			machines = append(machines, &MachineSummary{Index: scheduling.MachineIndex(i), Size: size, FreeResources: size, Spot: spot})
		}
		size, count := drawCPUs(t, "task cpus", 1, 5), rapid.IntRange(0, 40).Draw(t, "count")
		fitting, placed := 0, 0
		for _, machine := range machines {
			fitting += machine.FreeResources.CountFitting(size, count)
		}
		for machine, tasks := range PlaceWithoutPreemption(machines, anyMachine, size, count) {
			placed += tasks
			if machine.FreeResources.Plus(size.Times(tasks)) != machine.Size {
				t.Fatalf("%d tasks on a machine of %v: expected their sizes to be subtracted, got free resources %v", tasks, machine.Size, machine.FreeResources)
			}
		}
		expectNoOvercommit(t, machines)
		if placed != min(fitting, count) {
			t.Fatalf("expected %d of %d tasks to be placed, got %d", min(fitting, count), count, placed)
		}
	})
}

func TestPackingOrder(t *testing.T) {
	size, part := scheduling.NewResources(4, 0, 8), scheduling.NewResources(2, 0, 4)
	for _, row := range []struct {
		name          string
		better, worse MachineSummary
	}{
		{"machine that is up", MachineSummary{Index: 1}, MachineSummary{Booting: true}},
		{"spot instance", MachineSummary{Index: 1, Spot: true}, MachineSummary{}},
		{"machine with a service", MachineSummary{Index: 1, RunsServiceOrGang: true}, MachineSummary{}},
		{"machine in use", MachineSummary{Index: 1, Size: size, FreeResources: part}, MachineSummary{Size: part, FreeResources: part}},
		{"fuller machine", MachineSummary{Index: 1, Size: size, FreeResources: part}, MachineSummary{Size: size.Plus(part), FreeResources: size}},
		{"lower index", MachineSummary{Index: 1}, MachineSummary{Index: 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			if !isBetterFit(&row.better, &row.worse) {
				t.Errorf("expected %+v to be preferred to %+v", row.better, row.worse)
			}
			if isBetterFit(&row.worse, &row.better) {
				t.Errorf("expected %+v not to be preferred to %+v", row.worse, row.better)
			}
		})
	}
}

func TestPlaceByPreemption(t *testing.T) {
	usage := func(priority int, cpus float64) TaskUsage {
		return TaskUsage{Claim: scheduling.Claim{Priority: priority}, Size: scheduling.NewResources(cpus, 0, 1)}
	}
	const priority = 2
	for _, row := range []struct {
		name     string
		machines []MachineSummary
		expected scheduling.MachineIndex // UnassignedIndex if none
	}{
		{"lower priority", []MachineSummary{{Usages: []TaskUsage{usage(1, 4)}}, {Usages: []TaskUsage{usage(0, 4)}}}, 1},
		{"fewer victims", []MachineSummary{{Usages: []TaskUsage{usage(0, 2), usage(0, 2)}}, {Usages: []TaskUsage{usage(0, 4)}}}, 1},
		{"two victims rather than one of higher priority", []MachineSummary{{Usages: []TaskUsage{usage(1, 4)}}, {Usages: []TaskUsage{usage(0, 2), usage(0, 2)}}}, 1},
		{"machine with a service", []MachineSummary{{Usages: []TaskUsage{usage(0, 4)}}, {RunsServiceOrGang: true, Usages: []TaskUsage{usage(0, 4)}}}, 1},
		{"lower index", []MachineSummary{{Usages: []TaskUsage{usage(0, 4)}}, {Usages: []TaskUsage{usage(0, 4)}}}, 0},
		{"no booting machine", []MachineSummary{{Booting: true, Usages: []TaskUsage{usage(0, 4)}}, {Usages: []TaskUsage{usage(1, 4)}}}, 1},
		{"no victim of equal priority", []MachineSummary{{Usages: []TaskUsage{usage(priority, 4)}}}, UnassignedIndex},
		{"too few resources", []MachineSummary{{Usages: []TaskUsage{usage(0, 2), usage(priority, 2)}}}, UnassignedIndex},
	} {
		t.Run(row.name, func(t *testing.T) {
			var machines []*MachineSummary
			for i := range row.machines {
				row.machines[i].Index = scheduling.MachineIndex(i)
				machines = append(machines, &row.machines[i])
			}
			chosen := PlaceByPreemption(machines, anyMachine, scheduling.NewResources(4, 0, 1), scheduling.Claim{Priority: priority})
			got := UnassignedIndex
			if chosen != nil {
				got = chosen.Index
			}
			if got != row.expected {
				t.Errorf("expected machine %d, got %d", row.expected, got)
			}
		})
	}
}
