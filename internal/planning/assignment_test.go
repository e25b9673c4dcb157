package planning

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

func drawAssignment(t *rapid.T) *Assignment {
	filter, _ := drawOfferFilter(t, "a")
	return &Assignment{
		TaskSize:      drawCPUs(t, "task cpus", 1, 5),
		Count:         rapid.IntRange(1, 40).Draw(t, "count"),
		Claim:         drawClaim(t, "claim"),
		QuotaLimited:  rapid.Bool().Draw(t, "quota short"),
		Force:         rapid.Bool().Draw(t, "forced"),
		AllowsMachine: func(machine *MachineSummary) bool { return filter(machine.offer()) },
	}
}

// freeCapacity returns how many tasks fit into the free resources of each partition.
func (a *Assignment) freeCapacity(machines []*MachineSummary) []int {
	capacity := make([]int, testPartitions)
	for _, machine := range machines {
		if a.AllowsMachine(machine) {
			capacity[machine.Partition] += machine.FreeResources.CountFitting(a.TaskSize, unlimited)
		}
	}
	return capacity
}

// preemptibleCapacity returns how many tasks fit into each partition at most, if all tasks that the
// claim may preempt are preempted.
func (a *Assignment) preemptibleCapacity(machines []*MachineSummary) []int {
	preempted := CloneSummaries(machines)
	for _, machine := range preempted {
		for _, usage := range machine.Usages {
			if a.Claim.CanPreempt(usage.Claim) {
				machine.FreeResources = machine.FreeResources.Plus(usage.Size)
			}
		}
	}
	return a.freeCapacity(preempted)
}

// maxTasks returns the most tasks that SplitAmongPartitions may assign to a partition with the given
// capacity and tasks ahead.
func (a *Assignment) maxTasks(capacity, ahead int) int {
	most := capacity
	if a.Force {
		most = max(most, a.Count)
	}
	if !a.QuotaLimited {
		most += max(ahead, 0) + MinTasksPerPartition
	}
	return most
}

func sum(numbers []int) int {
	total := 0
	for _, number := range numbers {
		total += number
	}
	return total
}

// SplitAmongPartitions assigns no more tasks than requested, only to partitions with an allowed
// machine, and preempts only what the claim may. Unless tasks are forced, a partition gets no more
// tasks beyond its capacity than are permitted ahead plus those of one task group, and none if the
// quota is limited. The same input gives the same result.
func TestSplitAmongPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines, assignment := drawMachines(t), drawAssignment(t)
		ahead := make([]int, testPartitions)
		for partition := range ahead {
			ahead[partition] = rapid.IntRange(-5, 10).Draw(t, "ahead")
		}
		capacity, aheadBefore := assignment.preemptibleCapacity(machines), slices.Clone(ahead)
		machinesAgain, aheadAgain := CloneSummaries(machines), slices.Clone(ahead)
		assigned := assignment.SplitAmongPartitions(machines, ahead)
		if again := assignment.SplitAmongPartitions(machinesAgain, aheadAgain); !cmp.Equal(assigned, again) {
			t.Fatalf("expected the same result for the same input, got %v and %v", assigned, again)
		}
		anyAllowed := false
		for partition, count := range assigned {
			allowed := assignment.allowsPartition(machines, partition)
			anyAllowed = anyAllowed || allowed
			if most := assignment.maxTasks(capacity[partition], aheadBefore[partition]); count > most {
				t.Fatalf("partition %d with capacity for %d tasks: expected at most %d tasks to be assigned, got %d", partition, capacity[partition], most, count)
			}
			if count > 0 && !allowed {
				t.Fatalf("partition %d has no allowed machine: expected no tasks to be assigned, got %d", partition, count)
			}
		}
		if assignment.Force && anyAllowed && sum(assigned) == 0 {
			t.Fatal("expected forced tasks to be assigned, got none")
		}
		if sum(assigned) > assignment.Count {
			t.Fatalf("expected at most %d tasks to be assigned, got %d", assignment.Count, sum(assigned))
		}
		expectNoOvercommit(t, machines)
	})
}

func expectNoOvercommit(t *rapid.T, machines []*MachineSummary) {
	t.Helper()
	for _, machine := range machines {
		if !machine.FreeResources.Contains(scheduling.Resources{}) {
			t.Fatalf("machine %d: expected no negative free resources, got %v", machine.Index, machine.FreeResources)
		}
	}
}

// ChoosePartition chooses a partition that can hold the whole gang. If it finds none, it leaves
// the machines unchanged. It always finds one if the free resources of a partition suffice.
func TestChoosePartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines, assignment := drawMachines(t), drawAssignment(t)
		assignment.Count = rapid.IntRange(1, 8).Draw(t, "gang size")
		for _, machine := range machines {
			machine.sortUsagesForPreemption() // since ChoosePartition may change the order of usages
		}
		before, free, capacity := CloneSummaries(machines), assignment.freeCapacity(machines), assignment.preemptibleCapacity(machines)
		partition, found := assignment.ChoosePartition(machines, testPartitions)
		if found && capacity[partition] < assignment.Count {
			t.Fatalf("expected a partition with capacity for %d tasks, got partition %d with capacity for %d", assignment.Count, partition, capacity[partition])
		}
		if !found && !cmp.Equal(before, CloneSummaries(machines), cmp.AllowUnexported(MachineSummary{})) {
			t.Fatal("expected the machines to be unchanged if no partition is found")
		}
		if !found && slices.Max(free) >= assignment.Count {
			t.Fatalf("expected a partition for a gang of %d tasks, as the partitions have free capacity for %v", assignment.Count, free)
		}
		expectOnlyVictimsMissing(t, assignment.Claim, before, machines)
	})
}

// expectOnlyVictimsMissing checks that the only missing tasks are ones that the claim may preempt.
func expectOnlyVictimsMissing(t *rapid.T, claim scheduling.Claim, before, after []*MachineSummary) {
	t.Helper()
	for i, machine := range after {
		for _, usage := range before[i].Usages {
			if !claim.CanPreempt(usage.Claim) && !slices.Contains(machine.Usages, usage) {
				t.Fatalf("expected %v not to preempt %v", claim, usage.Claim)
			}
		}
	}
}

// Beyond the free capacity, small numbers of tasks are enlarged unless the quota is limited, and
// forced tasks go to the partition where most cells become free.
func TestSplitBeyondFreeCapacity(t *testing.T) {
	size := scheduling.NewResources(4, 0, 8)
	equalPriority := []TaskUsage{{Size: size}} // which can't be preempted
	for _, row := range []struct {
		name          string
		machines      []MachineSummary
		assignment    Assignment
		ahead         []int
		expected      []int
		expectedAhead []int
	}{
		{
			name:       "small number of tasks",
			machines:   []MachineSummary{{Partition: 1, Size: size, FreeResources: size}},
			assignment: Assignment{Count: 100},
			ahead:      []int{0, 0, 0}, expected: []int{0, MinTasksPerPartition, 0}, expectedAhead: []int{0, 4 - MinTasksPerPartition, 0},
		},
		{
			name:       "fewer tasks than the least number",
			machines:   []MachineSummary{{Partition: 1, Size: size, FreeResources: size}},
			assignment: Assignment{Count: 10},
			ahead:      []int{0, 0, 0}, expected: []int{0, 10, 0}, expectedAhead: []int{0, -6, 0},
		},
		{
			name:       "small number of tasks with a limited quota",
			machines:   []MachineSummary{{Partition: 1, Size: size, FreeResources: size}},
			assignment: Assignment{Count: 100, QuotaLimited: true},
			ahead:      []int{0, 5, 0}, expected: []int{0, 4, 0}, expectedAhead: []int{0, 5, 0},
		},
		{
			name:       "tasks ahead only in partitions with machines",
			machines:   []MachineSummary{{Partition: 0, Usages: equalPriority}, {Partition: 2, Usages: equalPriority}},
			assignment: Assignment{Count: 60},
			ahead:      []int{25, 25, 25}, expected: []int{25, 0, 25}, expectedAhead: []int{0, 25, 0},
		},
		{
			name:       "forced tasks where most cells become free",
			machines:   []MachineSummary{{Partition: 0, Usages: equalPriority}, {Partition: 2, Usages: equalPriority}},
			assignment: Assignment{Count: 10, Force: true},
			ahead:      []int{-3, 5, -1}, expected: []int{0, 0, 10}, expectedAhead: []int{-3, 5, -11},
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			var machines []*MachineSummary
			for i := range row.machines {
				machines = append(machines, &row.machines[i])
			}
			row.assignment.TaskSize, row.assignment.AllowsMachine = scheduling.NewResources(1, 0, 1), anyMachine
			if got := row.assignment.SplitAmongPartitions(machines, row.ahead); !slices.Equal(got, row.expected) {
				t.Errorf("expected tasks %v, got %v", row.expected, got)
			}
			if !slices.Equal(row.ahead, row.expectedAhead) {
				t.Errorf("expected the tasks ahead to become %v, got %v", row.expectedAhead, row.ahead)
			}
		})
	}
}

func TestMaxTasksAhead(t *testing.T) {
	for _, row := range []struct {
		name                             string
		bound                            int
		estimateS, turnaroundS, expected float64
	}{
		{"tasks that end within two turnaround times", 10, 100, 5, 1},
		{"at most half of the running tasks", 10, 10, 5, 5},
		{"very short tasks", 10, 0, 0.125, 2.5},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := MaxTasksAhead(row.bound, row.estimateS, row.turnaroundS); got != row.expected {
				t.Errorf("expected %v tasks, got %v", row.expected, got)
			}
		})
	}
}

// busyMachines returns machines of two types. A tenth of them is free; tasks of priority 1 use all
// CPUs of the others.
func busyMachines(count int) []*MachineSummary {
	machines := make([]*MachineSummary, count)
	for i := range machines {
		size := scheduling.NewResources(float64(4+12*(i%2)), 0, 64)
		machine := &MachineSummary{
			Index: scheduling.MachineIndex(i), Type: fmt.Sprint(i % 2), Zone: "a", Spot: i%3 == 0,
			Partition: i % 5, Size: size, FreeResources: size,
		}
		usage := TaskUsage{Claim: scheduling.Claim{Priority: 1}, Size: scheduling.NewResources(2, 0, 1)}
		for machine.FreeResources.CPU > 0 && i%10 != 0 {
			machine.FreeResources = machine.FreeResources.Minus(usage.Size)
			machine.Usages = append(machine.Usages, usage)
		}
		machines[i] = machine
	}
	return machines
}

// BenchmarkAssignment assigns an array and a service to fleets of several sizes.
func BenchmarkAssignment(b *testing.B) {
	for _, count := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			machines := busyMachines(count)
			for b.Loop() {
				trial := CloneSummaries(machines)
				assignment := Assignment{
					TaskSize: scheduling.NewResources(2, 0, 4), Count: 40, Claim: scheduling.Claim{Priority: 1},
					AllowsMachine: func(machine *MachineSummary) bool { return !machine.Booting },
				}
				assignment.SplitAmongPartitions(trial, make([]int, 5))
				assignment.Count, assignment.Claim.Priority = 1, 2
				assignment.ChoosePartition(trial, 5)
			}
		})
	}
}
