package planning

import (
	"testing"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// Add returns no more CPUs than were free at any time in the window, and reports a window as
// covered only if the samples reach back for nine tenths of it.
func TestFreeHistory(t *testing.T) {
	const window = 10
	rapid.Check(t, func(t *rapid.T) {
		var history FreeCPUHistory
		var times []float64
		var free []int64
		now := 0.0
		for range 30 {
			now += rapid.Float64Range(0.1, 3).Draw(t, "step")
			times, free = append(times, now), append(free, rapid.Int64Range(-5, 50).Draw(t, "free"))
			least, covered := history.Add(now, free[len(free)-1], window)
			for i := range times {
				if now-times[i] <= window && free[i] < least {
					t.Fatalf("at %v s: expected at most %d, which were free at %v s, got %d", now, free[i], times[i], least)
				}
			}
			if covered && now-times[0] < 9 {
				t.Fatalf("expected a window of %d s not to be covered by samples of %v s", window, now-times[0])
			}
		}
	})
}

func TestHeadroom(t *testing.T) {
	for _, row := range []struct {
		name     string
		services int
		factor   float64
		expected int
	}{
		{"none", 0, 1, 0},
		{"square root", 16, 1, 4},
		{"rounded up", 10, 1, 4},
		{"factor", 16, 0.5, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := Headroom(row.services, row.factor); got != row.expected {
				t.Errorf("expected headroom for %d services, got %d", row.expected, got)
			}
		})
	}
}

func TestLeastUsedMachine(t *testing.T) {
	const priority, maxCPU = 2, 16_000
	machine := func(id scheduling.MachineIndex, cpus, used float64, usedPriority int) *MachineSummary {
		usage := TaskUsage{Claim: scheduling.Claim{Priority: usedPriority}, Size: scheduling.NewResources(used, 0, 1)}
		return &MachineSummary{Index: id, Size: scheduling.NewResources(cpus, 0, 64), Usages: []TaskUsage{usage}}
	}
	spot := machine(0, 16, 1, 1)
	spot.Spot = true
	const refused = 7
	for _, row := range []struct {
		name     string
		machines []*MachineSummary
		expected scheduling.MachineIndex // UnassignedIndex if none
	}{
		{"smallest share in use", []*MachineSummary{machine(0, 4, 2, 1), machine(1, 16, 4, 1)}, 1},
		{"first of equal shares", []*MachineSummary{machine(0, 4, 2, 1), machine(1, 8, 4, 1)}, 0},
		{"no spot instance", []*MachineSummary{spot, machine(1, 16, 4, 1)}, 1},
		{"no machine with too many CPUs", []*MachineSummary{machine(0, 17, 1, 1), machine(1, 16, 4, 1)}, 1},
		{"no machine that runs a task of the priority", []*MachineSummary{machine(0, 16, 1, priority), machine(1, 16, 4, 1)}, 1},
		{"no machine that the filter refuses", []*MachineSummary{machine(refused, 16, 1, 1)}, UnassignedIndex},
	} {
		t.Run(row.name, func(t *testing.T) {
			allowed := func(machine *MachineSummary) bool { return machine.Index != refused }
			got := UnassignedIndex
			if best := LeastUsedMachine(row.machines, maxCPU, priority, allowed); best != nil {
				got = best.Index
			}
			if got != row.expected {
				t.Errorf("expected machine %d, got %d", row.expected, got)
			}
		})
	}
}
