package controller

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
)

// Upgrades run under schedules of faults. No rule may be broken, and no record may be stored in an
// encoding that the level in force at that moment does not allow. After each schedule the upgrade
// must still be able to finish.
func TestUpgradesUnderFaults(t *testing.T) {
	t.Parallel()
	for _, x := range upgradeSchedules {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runUpgradeCluster(t, func(c *cluster) {
				c.runSchedule(7, 12, x.faults)
				c.awaitFinalLevel()
			})
		})
	}
}

// upgradeSchedules are the schedules of TestUpgradesUnderFaults.
var upgradeSchedules = []struct {
	name   string
	faults []fault
}{
	{"a controller without levels starts before, during and after finalization", []fault{
		{at: 1, kind: startWithoutLevels, target: 1, duration: 14},
		{at: 25, kind: finalizeUpgrade},
		{at: 25.1, kind: startWithoutLevels, target: 2, duration: 12},
		{at: 50, kind: startWithoutLevels, target: leaderNode, duration: 20},
	}},
	{"only controllers without levels after finalization", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 15, kind: startWithoutLevels, target: allNodes, duration: 25},
	}},
	{"a controller without levels starts while records are rewritten", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 6, kind: startWithoutLevels, target: leaderNode, duration: 15},
		{at: 7, kind: submitJobs, target: 6},
	}},
	{"a controller of the base level starts before and during finalization", []fault{
		{at: 1, kind: startWithBaseLevel, target: 0, duration: 10},
		{at: 25, kind: finalizeUpgrade},
		{at: 25.05, kind: startWithBaseLevel, target: 1, duration: 10},
		{at: 50, kind: startWithBaseLevel, target: leaderNode, duration: 15},
	}},
	{"controllers of the base level start after finalization", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 15, kind: startWithBaseLevel, target: leaderNode, duration: 15},
		{at: 45, kind: startWithBaseLevel, target: allNodes, duration: 20},
	}},
	{"aborted before finalization and started again", []fault{
		{at: 5, kind: abortUpgrade},
		{at: 15, kind: startWithoutLevels, target: 0, duration: 10},
		{at: 30, kind: finalizeUpgrade},
		{at: 40, kind: finalizeUpgrade},
	}},
	{"rolled back while records are rewritten", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 6, kind: abortUpgrade},
		{at: 12, kind: startWithoutLevels, target: allNodes, duration: 25},
		{at: 40, kind: submitJobs, target: 6},
	}},
	{"finalized, aborted and finalized again", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 15, kind: abortUpgrade},
		{at: 30, kind: finalizeUpgrade},
		{at: 35, kind: finalizeUpgrade},
		{at: 45, kind: abortUpgrade},
	}},
	{"finalized again during the rollback", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 14, kind: storeSlow, target: allNodes, duration: 10, share: 0.6},
		{at: 15, kind: abortUpgrade},
		{at: 15.8, kind: finalizeUpgrade},
	}},
	{"the leader is killed while the level changes", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 5.05, kind: killController, target: leaderNode, duration: 3},
		{at: 20, kind: finalizeUpgrade},
		{at: 20.15, kind: killController, target: leaderNode, duration: 0.3},
		{at: 35, kind: abortUpgrade},
		{at: 35.2, kind: killController, target: leaderNode, duration: 0.3},
	}},
	{"all controllers are killed just after a step", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 5.4, kind: killController, target: allNodes, duration: 0.5},
		{at: 25, kind: abortUpgrade},
		{at: 26.2, kind: killController, target: allNodes, duration: 13},
	}},
	{"two operators at once", []fault{
		{at: 5, kind: finalizeAndAbort},
		{at: 20, kind: finalizeAndAbort},
		{at: 35, kind: finalizeAndAbort},
		{at: 50, kind: finalizeAndAbort},
	}},
	{"responses to transactions are lost", []fault{
		{at: 0, kind: lostResponses, target: allNodes, duration: 60, share: 0.5},
		{at: 5, kind: finalizeUpgrade},
		{at: 20, kind: abortUpgrade},
		{at: 40, kind: finalizeUpgrade},
	}},
	{"late transactions", []fault{
		{at: 0, kind: lateTransactions, target: allNodes, duration: 60, share: 0.4},
		{at: 5, kind: finalizeUpgrade},
		{at: 15, kind: killController, target: leaderNode, duration: 4},
		{at: 25, kind: abortUpgrade},
		{at: 30, kind: killController, target: leaderNode, duration: 4},
	}},
	{"the leader is isolated while another controller changes the level", []fault{
		{at: 4, kind: storeAndPeersUnreachable, target: leaderNode, duration: 30},
		{at: 14, kind: finalizeUpgrade},
		{at: 25, kind: cancelJobs, target: 4},
		{at: 50, kind: storeAndPeersUnreachable, target: leaderNode, duration: 25},
		{at: 60, kind: abortUpgrade},
	}},
	{"outage of the key-value store at each step", []fault{
		{at: 4.9, kind: finalizeUpgrade},
		{at: 5, kind: storeDown, duration: 20},
		{at: 40, kind: abortUpgrade},
		{at: 40.3, kind: storeDown, duration: 40},
	}},
	{"limits are lowered during the upgrade", []fault{
		{at: 5, kind: finalizeUpgrade},
		{at: 6, kind: lowerLimits},
		{at: 7, kind: submitGangs, target: 3},
		{at: 25, kind: abortUpgrade},
		{at: 26, kind: submitGangs, target: 3},
	}},
	{"gangs are bound and machines are lent at each step", []fault{
		{at: 0, kind: submitGangs, target: 4},
		{at: 1, kind: finalizeUpgrade},
		{at: 10, kind: submitGangs, target: 4},
		{at: 10.3, kind: abortUpgrade},
		{at: 20, kind: submitGangs, target: 4},
		{at: 22, kind: finalizeUpgrade},
		{at: 24, kind: finalizeUpgrade},
	}},
	{"machines terminate or are isolated while lease keys change", []fault{
		{at: 5, kind: machinesIsolated, target: 3, duration: 25},
		{at: 5, kind: terminateMachines, target: 2},
		{at: 5.1, kind: finalizeUpgrade},
		{at: 20, kind: machinesNotReceiving, target: 3, duration: 20},
		{at: 21, kind: abortUpgrade},
		{at: 30, kind: cancelJobs, target: 4},
	}},
}

// awaitFinalLevel finalizes the upgrade from any state in which a schedule has left it. It waits
// until the highest level is final and stable and all records are in its encoding.
func (c *cluster) awaitFinalLevel() {
	c.t.Helper()
	isFinal := func() bool {
		s := c.storedRolloutState()
		return s.Level == rollout.SupportedLevels.High && s.Phase == rollout.PhaseStable && !s.OnHold
	}
	op := c.upgradeOperator()
	c.await("the level is final", 2*time.Minute, func() bool {
		if isFinal() {
			return true
		}
		_, _ = op.Submit(c.ctx, rollout.RequestFinalize)
		time.Sleep(2 * time.Second)
		return isFinal()
	})
	c.await("all records are in the encoding of the level", 2*time.Minute, func() bool { return c.countByEncoding()[record.PlainJSON] == 0 })
}

// generatedUpgradeScheduleCount is the number of generated schedules of upgrades that the test runs.
var generatedUpgradeScheduleCount = flag.Int("upgrades", 10, "number of generated schedules of upgrades and faults to run")

// upgradeGeneratorSeed is the second part of the seed for drawing schedules of upgrades. It differs
// from scheduleSeed, so that the actions of users are drawn independently.
const upgradeGeneratorSeed = 5

// Schedules are drawn from upgradeStepTemplates, the steps of upgrades, and upgradeFaultTemplates,
// the other faults, with the durations that are scaled randomly. Entries that are listed twice are
// drawn more often.
var (
	upgradeStepTemplates = []fault{
		{kind: finalizeUpgrade},
		{kind: finalizeUpgrade},
		{kind: abortUpgrade},
		{kind: finalizeAndAbort},
		{kind: startWithoutLevels, duration: 12},
		{kind: startWithoutLevels, duration: 12},
		{kind: startWithBaseLevel, duration: 12},
		{kind: startWithoutLevels, target: allNodes, duration: 20},
	}
	upgradeFaultTemplates = []fault{
		{kind: killController, duration: 0.3},
		{kind: killController, duration: 6},
		{kind: killController, target: allNodes, duration: 0.5},
		{kind: killController, target: allNodes, duration: 13},
		{kind: storeDown, duration: 30},
		{kind: storeRefuses, duration: 15},
		{kind: lateTransactions, target: allNodes, duration: 30, share: 0.3},
		{kind: lostResponses, target: allNodes, duration: 30, share: 0.3},
		{kind: storeSlow, target: allNodes, duration: 20, share: 0.4},
		{kind: storeAndPeersUnreachable, duration: 30},
		{kind: peersUnreachable, target: allNodes, duration: 30},
		{kind: machinesIsolated, target: 2, duration: 20},
		{kind: terminateMachines, target: 2},
		{kind: cancelJobs, target: 3},
		{kind: submitJobs, target: 5},
		{kind: submitGangs, target: 3},
		{kind: lateCommands, target: allNodes, duration: 30, share: 0.3},
		{kind: queryAllControllers, duration: 30},
	}
)

// No rule may be broken under randomly generated schedules of upgrade requests, restarts of
// controllers with other versions, and other faults.
func TestGeneratedUpgradeSchedules(t *testing.T) {
	runGenerated(t, uint64(*generatedUpgradeScheduleCount), generateUpgradeSchedule, func(t *testing.T, seed uint64, faults []fault) {
		runUpgradeCluster(t, func(c *cluster) {
			c.runSchedule(seed, generatedJobs, faults)
			c.awaitFinalLevel()
		})
	})
}

// generateUpgradeSchedule draws a schedule of 8 to 14 steps and faults. The same seed gives the same
// schedule.
func generateUpgradeSchedule(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, upgradeGeneratorSeed))
	var faults []fault
	for range 8 + rng.IntN(7) {
		f := upgradeFaultTemplates[rng.IntN(len(upgradeFaultTemplates))]
		if rng.IntN(2) == 0 {
			f = upgradeStepTemplates[rng.IntN(len(upgradeStepTemplates))]
		}
		f.at = float64(rng.IntN(700)) / 10
		f.duration *= 0.4 + 0.8*rng.Float64()
		if f.target == 0 {
			f.target = drawController(rng)
		}
		faults = append(faults, f)
	}
	sortByTime(faults)
	return faults
}
