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

func TestPackingOrder(t *testing.T) {
	size, part := scheduling.NewResources(4, 0, 8), scheduling.NewResources(2, 0, 4)
	for _, row := range []struct {
		name          string
		better, worse MachineSummary
	}{
		{"one that is up", MachineSummary{ID: 1}, MachineSummary{Booting: true}},
		{"spot instance", MachineSummary{ID: 1, Spot: true}, MachineSummary{}},
		{"one that stays for a service", MachineSummary{ID: 1, RunsService: true}, MachineSummary{}},
		{"one in use", MachineSummary{ID: 1, Size: size, Free: part}, MachineSummary{Size: part, Free: part}},
		{"fuller one", MachineSummary{ID: 1, Size: size, Free: part}, MachineSummary{Size: size.Plus(part), Free: size}},
		{"lower index", MachineSummary{ID: 1}, MachineSummary{ID: 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			if !packsBetter(&row.better, &row.worse) {
				t.Errorf("expected %+v to be preferred to %+v", row.better, row.worse)
			}
			if packsBetter(&row.worse, &row.better) {
				t.Errorf("expected %+v not to be preferred to %+v", row.worse, row.better)
			}
		})
	}
}

func TestPlaceByPreemption(t *testing.T) {
	usage := func(priority int, cpus float64) Usage {
		return Usage{Claim: scheduling.Claim{Priority: priority}, Size: scheduling.NewResources(cpus, 0, 1)}
	}
	const priority = 2
	for _, row := range []struct {
		name     string
		machines []MachineSummary
		expected scheduling.MachineIndex // NotLaunched: none
	}{
		{"lower priority", []MachineSummary{{Usages: []Usage{usage(1, 4)}}, {Usages: []Usage{usage(0, 4)}}}, 1},
		{"fewer victims", []MachineSummary{{Usages: []Usage{usage(0, 2), usage(0, 2)}}, {Usages: []Usage{usage(0, 4)}}}, 1},
		{"two victims rather than a higher one", []MachineSummary{{Usages: []Usage{usage(1, 4)}}, {Usages: []Usage{usage(0, 2), usage(0, 2)}}}, 1},
		{"one that stays for a service", []MachineSummary{{Usages: []Usage{usage(0, 4)}}, {RunsService: true, Usages: []Usage{usage(0, 4)}}}, 1},
		{"lower index", []MachineSummary{{Usages: []Usage{usage(0, 4)}}, {Usages: []Usage{usage(0, 4)}}}, 0},
		{"not while booting", []MachineSummary{{Booting: true, Usages: []Usage{usage(0, 4)}}, {Usages: []Usage{usage(1, 4)}}}, 1},
		{"not of equal priority", []MachineSummary{{Usages: []Usage{usage(priority, 4)}}}, NotLaunched},
		{"not enough", []MachineSummary{{Usages: []Usage{usage(0, 2), usage(priority, 2)}}}, NotLaunched},
	} {
		t.Run(row.name, func(t *testing.T) {
			var machines []*MachineSummary
			for i := range row.machines {
				row.machines[i].ID = scheduling.MachineIndex(i)
				machines = append(machines, &row.machines[i])
			}
			chosen := PlaceByPreemption(machines, anyMachine, scheduling.NewResources(4, 0, 1), scheduling.Claim{Priority: priority})
			got := NotLaunched
			if chosen != nil {
				got = chosen.ID
			}
			if got != row.expected {
				t.Errorf("expected machine %d, got %d", row.expected, got)
			}
		})
	}
}
