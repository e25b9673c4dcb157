package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// generatedScheduleCount is the number of generated schedules that the test runs. The default is
// small; a long search for faults sets a larger one.
var generatedScheduleCount = flag.Int("combinations", 24, "number of generated fault schedules to run")

// firstSeed is the seed of the first generated schedule; the others follow consecutively.
var firstSeed = flag.Uint64("first-seed", 1, "seed of the first generated schedule")

// generatorSeed is the second part of the seed for drawing schedules. It differs from scheduleSeed,
// so that schedules and the actions of users in them are drawn independently.
const generatorSeed = 3

// faultTemplates are the faults that schedules are drawn from, with the durations that are scaled
// randomly. Faults that are listed twice are drawn more often.
var faultTemplates = []fault{
	{kind: cloudDown, duration: 40},
	{kind: noCapacity, duration: 60},
	{kind: storeDown, duration: 45},
	{kind: storeRefuses, duration: 20},
	{kind: storeUnresponsive, duration: 15},
	{kind: storeSlow, duration: 30, share: 0.3},
	{kind: lateTransactions, target: allNodes, duration: 40, share: 0.3},
	{kind: lostResponses, target: allNodes, duration: 40, share: 0.3},
	{kind: lateCommands, target: allNodes, duration: 30, share: 0.3},
	{kind: agentsUnreachable, duration: 20},
	{kind: peersUnreachable, duration: 30},
	{kind: peersUnreachable, target: allNodes, duration: 30},
	{kind: storeAndPeersUnreachable, duration: 40},
	{kind: killController, duration: 0.3},
	{kind: killController, duration: 6},
	{kind: killController, target: allNodes, duration: 0.5},
	{kind: killController, target: allNodes, duration: 14},
	{kind: isolateZone, duration: 25},
	{kind: machinesNotReceiving, target: 2, duration: 25},
	{kind: machinesNotSending, target: 2, duration: 25},
	{kind: machinesHang, target: 2, duration: 8},
	{kind: machinesHang, target: 2, duration: 30},
	{kind: machinesIsolated, target: 2, duration: 20},
	{kind: tasksFail, target: 1, duration: 20},
	{kind: terminateMachines, target: 2},
	{kind: restartMachines, target: 2},
	{kind: cancelJobs, target: 3},
	{kind: cancelJobs, target: 3},
	{kind: cancelAsMachinesHang, target: 3, duration: 7},
	{kind: raceCompletion, duration: 40, share: 0.4},
	{kind: queryAllControllers, duration: 40},
	{kind: unusualRequests, duration: 30},
	{kind: copyHeartbeats, duration: 40, share: 0.3},
	{kind: copyHeartbeatsLate, duration: 40, share: 0.3},
	{kind: submitJobs, target: 6},
	{kind: submitJobs, target: 6},
	{kind: submitGangs, target: 4},
	{kind: submitGangs, target: 4},
	{kind: submitUrgentArray, target: 20},
	{kind: lowerLimits},
}

// No rule may be broken under randomly generated schedules of faults. A failing seed prints its
// schedule, which can then be added to TestFaultCombinations.
func TestGeneratedFaultSchedules(t *testing.T) {
	runGenerated(t, uint64(*generatedScheduleCount), generateSchedule, runGeneratedFaults)
}

// generatedJobs is the number of random jobs that most generated schedules begin with.
const generatedJobs = 10

// runGeneratedFaults runs a generated schedule against a new cluster that executes random jobs.
func runGeneratedFaults(t *testing.T, seed uint64, faults []fault) {
	runFaults(t, seed, generatedJobs, faults)
}

// runGenerated runs the schedules that generate returns for count seeds from firstSeed on, each as a
// parallel subtest with the name of its seed.
func runGenerated(t *testing.T, count uint64, generate func(seed uint64) []fault, run func(t *testing.T, seed uint64, faults []fault)) {
	t.Helper()
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			faults := generate(seed)
			logScheduleOnFailure(t, seed, faults)
			run(t, seed, faults)
		})
	}
}

// logScheduleOnFailure logs a schedule when the test ends, if it has failed.
func logScheduleOnFailure(t *testing.T, seed uint64, faults []fault) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: %v", seed, faults)
		}
	})
}

// repeatTemplates are the repeats of requests that schedules with repeats are drawn from, with the
// durations that are scaled randomly. They are no part of faultTemplates, so that the schedules of
// TestGeneratedFaultSchedules stay the same.
var repeatTemplates = []fault{
	{kind: repeatedCommands, target: allNodes, duration: 80, share: 0.5},
	{kind: repeatedTransactions, target: allNodes, duration: 80, share: 0.2},
	{kind: repeatedLeaseRequests, target: allNodes, duration: 80, share: 0.3},
	{kind: repeatedCloudRequests, target: allNodes, duration: 80, share: 0.5},
	{kind: repeatedHeartbeats, duration: 60, share: 0.2},
	{kind: repeatedUserRequests, duration: 80, share: 0.3},
	{kind: repeatedFrames, target: allNodes, duration: 80, share: 0.1},
}

// repeatSeed is the second part of the seed for drawing repeats.
const repeatSeed = 17

// repeatScheduleCount returns the number of generated schedules for each test that repeats requests,
// half of generatedScheduleCount.
func repeatScheduleCount() uint64 { return uint64(*generatedScheduleCount+1) / 2 }

// No rule may be broken either if requests that were carried out are repeated under a schedule of
// TestGeneratedFaultSchedules. A long search: see CONTRIBUTING.md.
func TestGeneratedRepeats(t *testing.T) {
	generate := func(seed uint64) []fault {
		faults := append(generateSchedule(seed), generateRepeats(seed)...)
		sortByTime(faults)
		return faults
	}
	runGenerated(t, repeatScheduleCount(), generate, runGeneratedFaults)
}

// generateRepeats draws repeats of at least one kind of request. The same seed gives the same ones.
func generateRepeats(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, repeatSeed))
	var repeats []fault
	certain := rng.IntN(len(repeatTemplates))
	for i, f := range repeatTemplates {
		if drawn := rng.IntN(2) == 0; !drawn && i != certain {
			continue
		}
		f.at = float64(rng.IntN(200)) / 10
		f.duration *= 0.4 + 0.8*rng.Float64()
		repeats = append(repeats, f)
	}
	return repeats
}

// generateSchedule draws a schedule of 7 to 12 faults. The same seed gives the same schedule.
func generateSchedule(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, generatorSeed))
	var faults []fault
	for range 7 + rng.IntN(6) {
		f := faultTemplates[rng.IntN(len(faultTemplates))]
		f.at = float64(rng.IntN(600)) / 10
		f.duration *= 0.4 + 0.8*rng.Float64()
		if f.targetsOneController() && f.target != allNodes {
			f.target = drawController(rng)
		}
		faults = append(faults, f)
	}
	sortByTime(faults)
	return faults
}

// targetsOneController reports whether a fault has one controller as its target.
func (f fault) targetsOneController() bool {
	switch f.kind {
	case storeRefuses, storeUnresponsive, storeSlow, agentsUnreachable, peersUnreachable, storeAndPeersUnreachable, killController:
		return true
	}
	return false
}

// drawController draws leaderNode or the index of one of three controllers.
func drawController(rng *rand.Rand) int { return rng.IntN(4) + leaderNode }

// sortByTime sorts faults by the time at which they begin.
func sortByTime(faults []fault) {
	slices.SortStableFunc(faults, func(x, y fault) int { return compareTimes(x.at, y.at) })
}
