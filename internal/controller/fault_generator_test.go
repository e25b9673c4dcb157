package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// combinations is how many generated schedules are played; a long search plays more.
var generatedScheduleCount = flag.Int("combinations", 24, "generated schedules of faults to play")

// firstSeed is where they begin.
var firstSeed = flag.Uint64("first-seed", 1, "seed of the first generated schedule")

// generatorSeed draws schedules, apart from what users do in them.
const generatorSeed = 3

// faultTemplates are the faults that a schedule is drawn from, with their usual durations;
// those that are there twice come more often.
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

// Generated schedules of faults: a seed that breaks a rule prints its schedule, so that
// it can become a row of TestFaultCombinations.
func TestGeneratedFaultSchedules(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+uint64(*generatedScheduleCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			faults := generateSchedule(seed)
			logScheduleOnFailure(t, seed, faults)
			const jobs = 10
			runFaults(t, seed, jobs, faults)
		})
	}
}

// logScheduleOnFailure prints a schedule if its test fails.
func logScheduleOnFailure(t *testing.T, seed uint64, faults []fault) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: %v", seed, faults)
		}
	})
}

// generateSchedule is the schedule of faults that follows from a seed.
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

// targetsOneController tells whether a fault's target is a controller.
func (f fault) targetsOneController() bool {
	switch f.kind {
	case storeRefuses, storeUnresponsive, storeSlow, agentsUnreachable, peersUnreachable, storeAndPeersUnreachable, killController:
		return true
	}
	return false
}

// drawController is the leader or one of three controllers.
func drawController(rng *rand.Rand) int { return rng.IntN(4) + leaderNode }

// sortByTime puts faults in the order in which they begin.
func sortByTime(faults []fault) {
	slices.SortStableFunc(faults, func(x, y fault) int { return compareTimes(x.at, y.at) })
}
