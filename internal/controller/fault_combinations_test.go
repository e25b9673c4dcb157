package controller

import (
	"cmp"
	"slices"
	"testing"
)

// defaultSeed is the seed of schedules without a seed of their own.
const defaultSeed = 7

// faultCombination is a schedule of overlapping faults.
type faultCombination struct {
	name        string
	initialJobs int    // number of jobs submitted before the first fault
	seed        uint64 // 0: defaultSeed
	faults      []fault
}

// Combinations of faults under which users have seen rules broken. docs/fault-combinations.md names
// the code that each one exercises.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	for _, x := range slices.Concat(clusterCombinations, gangCombinations, repeatCombinations) {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, cmp.Or(x.seed, defaultSeed), x.initialJobs, x.faults)
		})
	}
}

// clusterCombinations are the combinations for jobs of all kinds.
var clusterCombinations = []faultCombination{
	{
		name:        "cancelled while one controller's work changes hands",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: killController, target: 0, duration: 8},
			{at: 5.2, kind: cancelJobs, target: 4},
			{at: 6, kind: cancelJobs, target: 3},
			{at: 8, kind: cancelJobs, target: 3},
			{at: 9.5, kind: cancelJobs, target: 3},
		},
	},
	{
		name:        "late transactions after newer ones",
		initialJobs: 12,
		faults: []fault{
			{at: 0, kind: lateTransactions, target: allNodes, duration: 60, share: 0.3},
			{at: 5, kind: submitJobs, target: 6},
			{at: 12, kind: cancelJobs, target: 4},
			{at: 20, kind: killController, target: leaderNode, duration: 0.4},
			{at: 30, kind: submitJobs, target: 6},
			{at: 31, kind: cancelJobs, target: 4},
			{at: 40, kind: killController, target: 1, duration: 6},
		},
	},
	{
		name:        "cancellation, question and submission at the end",
		initialJobs: 16,
		faults: []fault{
			{at: 0, kind: raceCompletion, duration: 90, share: 0.5},
			{at: 10, kind: submitJobs, target: 10},
			{at: 25, kind: submitJobs, target: 10},
		},
	},
	{
		name:        "all nodes asked within milliseconds",
		initialJobs: 12,
		faults: []fault{
			{at: 0, kind: queryAllControllers, duration: 80},
			{at: 0, kind: raceCompletion, duration: 80, share: 0.4},
			{at: 5, kind: submitJobs, target: 8},
			{at: 10, kind: cancelJobs, target: 4},
			{at: 20, kind: killController, target: leaderNode, duration: 5},
			{at: 22, kind: submitJobs, target: 8},
			{at: 24, kind: cancelJobs, target: 6},
		},
	},
	{
		name:        "heartbeat kept until a new leader has acted",
		initialJobs: 12,
		faults: []fault{
			{at: 5, kind: saveHeartbeats},
			{at: 6, kind: killController, target: leaderNode, duration: 12},
			{at: 7, kind: terminateMachines, target: 2},
			{at: 14, kind: resendHeartbeats},
			{at: 25, kind: resendHeartbeats},
		},
	},
	{
		name:        "one-task jobs four a second",
		initialJobs: 4,
		faults: []fault{
			{at: 0, kind: submitOneTaskJobs, duration: 120},
			{at: 40, kind: killController, target: leaderNode, duration: 5},
			{at: 70, kind: queryAllControllers, duration: 20},
		},
	},
	{
		name:        "leader ends while machines can't be reached",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: machinesIsolated, target: 3, duration: 25},
			{at: 5, kind: machinesNotReceiving, target: 3, duration: 25},
			{at: 6, kind: killController, target: leaderNode, duration: 20},
			{at: 9, kind: cancelJobs, target: 3},
		},
	},
	{
		name:        "leader cut off with its agents",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: storeAndPeersUnreachable, target: leaderNode, duration: 60},
			{at: 12, kind: cancelJobs, target: 6},
			{at: 14, kind: cancelJobs, target: 3},
		},
	},
	{
		name:        "old heartbeat after newer ones",
		initialJobs: 12,
		faults: []fault{
			{at: 0, kind: copyHeartbeats, duration: 80, share: 0.5},
			{at: 0, kind: copyHeartbeatsLate, duration: 80, share: 0.3},
			{at: 10, kind: restartMachines, target: 2},
			{at: 20, kind: terminateMachines, target: 2},
			{at: 30, kind: killController, target: leaderNode, duration: 0.5},
			{at: 40, kind: restartMachines, target: 3},
		},
	},
	{
		name:        "commands held up",
		initialJobs: 12,
		faults: []fault{
			{at: 0, kind: lateCommands, target: allNodes, duration: 60, share: 0.6},
			{at: 5, kind: machinesHang, target: 3, duration: 6},
			{at: 15, kind: cancelJobs, target: 4},
			{at: 25, kind: machinesHang, target: 3, duration: 9},
			{at: 26, kind: cancelJobs, target: 4},
		},
	},
	{
		name:        "zone-bound jobs lose machines",
		initialJobs: 18,
		faults: []fault{
			{at: 8, kind: terminateMachines, target: 4},
			{at: 20, kind: terminateMachines, target: 4},
			{at: 30, kind: machinesIsolated, target: 3, duration: 20},
		},
	},
	{
		name:        "answers to transactions lost while others read",
		initialJobs: 12,
		faults: []fault{
			{at: 0, kind: lostResponses, target: allNodes, duration: 70, share: 0.4},
			{at: 0, kind: queryAllControllers, duration: 70},
			{at: 10, kind: submitJobs, target: 8},
			{at: 15, kind: cancelJobs, target: 5},
			{at: 30, kind: killController, target: leaderNode, duration: 5},
			{at: 35, kind: raceCompletion, duration: 30, share: 0.5},
		},
	},
	{
		name:        "teams at their limit, cancelled on cut and hung machines",
		initialJobs: 24,
		faults: []fault{
			{at: 10, kind: machinesIsolated, target: 3, duration: 30},
			{at: 10, kind: machinesHang, target: 3, duration: 9},
			{at: 11, kind: cancelJobs, target: 8},
			{at: 12, kind: killController, target: leaderNode, duration: 12},
			{at: 15, kind: submitJobs, target: 10},
		},
	},
	{
		name:        "new machines at once while writes lag, leader ends",
		initialJobs: 10,
		faults: []fault{
			{at: 0, kind: storeSlow, target: allNodes, duration: 50, share: 0.5},
			{at: 1, kind: submitJobs, target: 12},
			{at: 4, kind: killController, target: leaderNode, duration: 8},
			{at: 14, kind: terminateMachines, target: 3},
			{at: 16, kind: killController, target: leaderNode, duration: 0.3},
		},
	},
	{
		name:        "machines that reach no controller",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: machinesNotSending, target: 4, duration: 30},
			{at: 7, kind: killController, target: leaderNode, duration: 10},
			{at: 12, kind: cancelJobs, target: 4},
		},
	},
	{
		name:        "slow, then refused alone, then down for all",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: storeSlow, target: allNodes, duration: 10, share: 0.5},
			{at: 10, kind: storeRefuses, target: leaderNode, duration: 10},
			{at: 11, kind: cancelJobs, target: 6},
			{at: 13, kind: storeDown, duration: 45},
			{at: 14, kind: cancelJobs, target: 3},
		},
	},
	{
		name:        "failover and back, all end, one returns",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: killController, target: 0, duration: 8},
			{at: 20, kind: killController, target: 1, duration: 0.5},
			{at: 25, kind: killController, target: allNodes, duration: 0.3},
			{at: 25.2, kind: cancelJobs, target: 3},
			{at: 40, kind: killController, target: 0, duration: 30},
			{at: 41, kind: killController, target: 1, duration: 20},
			{at: 42, kind: killController, target: 2, duration: 0.8},
		},
	},
	{
		name:        "ten leaders in two minutes, also in an outage",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: killController, target: leaderNode, duration: 1},
			{at: 17, kind: killController, target: leaderNode, duration: 1},
			{at: 29, kind: killController, target: leaderNode, duration: 0.2},
			{at: 41, kind: killController, target: leaderNode, duration: 6},
			{at: 45, kind: storeDown, duration: 25},
			{at: 53, kind: killController, target: leaderNode, duration: 1},
			{at: 65, kind: killController, target: leaderNode, duration: 1},
			{at: 75, kind: cancelJobs, target: 4},
			{at: 77, kind: killController, target: leaderNode, duration: 1},
			{at: 89, kind: killController, target: leaderNode, duration: 5},
			{at: 101, kind: killController, target: leaderNode, duration: 1},
			{at: 113, kind: killController, target: leaderNode, duration: 1},
		},
	},
	{
		name:        "all away for longer than a lease",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: cancelJobs, target: 3},
			{at: 5.5, kind: killController, target: allNodes, duration: 15},
			{at: 40, kind: saveHeartbeats},
			{at: 41, kind: killController, target: allNodes, duration: 13},
			{at: 55, kind: resendHeartbeats},
		},
	},
	{
		name:        "few long tasks across a change of leader",
		initialJobs: 20,
		faults: []fault{
			{at: 10, kind: killController, target: leaderNode, duration: 9},
			{at: 30, kind: killController, target: leaderNode, duration: 0.4},
			{at: 40, kind: lateTransactions, target: allNodes, duration: 20, share: 0.3},
		},
	},
	{
		name:        "old heartbeats just as a leader begins",
		initialJobs: 12,
		faults: []fault{
			{at: 5, kind: saveHeartbeats},
			{at: 8, kind: restartMachines, target: 3},
			{at: 9, kind: killController, target: allNodes, duration: 0.5},
			{at: 9.6, kind: resendHeartbeats},
			{at: 11, kind: resendHeartbeats},
		},
	},
	{
		name:        "limit, change of leader, unreachable machines, cancellation",
		initialJobs: 24,
		faults: []fault{
			{at: 10, kind: machinesNotReceiving, target: 3, duration: 25},
			{at: 10, kind: machinesIsolated, target: 2, duration: 25},
			{at: 11, kind: killController, target: leaderNode, duration: 6},
			{at: 13, kind: cancelJobs, target: 6},
			{at: 14, kind: submitJobs, target: 8},
		},
	},
	{
		name:        "more work than room over slow links",
		initialJobs: 30,
		faults: []fault{
			{at: 0, kind: storeSlow, target: allNodes, duration: 60, share: 0.3},
			{at: 0, kind: lateCommands, target: allNodes, duration: 60, share: 0.3},
			{at: 10, kind: submitJobs, target: 20},
			{at: 20, kind: cancelJobs, target: 6},
		},
	},
	{
		name:        "cancelled as the leader is refused, then an outage",
		initialJobs: 14,
		faults: []fault{
			{at: 5, kind: storeRefuses, target: leaderNode, duration: 12},
			{at: 5, kind: cancelJobs, target: 6},
			{at: 6, kind: storeDown, duration: 45},
		},
	},
	{
		name:        "zone cut for longer than a lease",
		initialJobs: 16,
		faults: []fault{
			{at: 8, kind: isolateZone, duration: 25},
			{at: 9, kind: cancelJobs, target: 4},
			{at: 12, kind: killController, target: leaderNode, duration: 5},
			{at: 14, kind: cancelJobs, target: 3},
		},
	},
	{
		name:        "odd requests, restarts",
		initialJobs: 10,
		faults: []fault{
			{at: 0, kind: unusualRequests, duration: 70},
			{at: 10, kind: killController, target: leaderNode, duration: 4},
			{at: 20, kind: cancelJobs, target: 4},
			{at: 30, kind: killController, target: allNodes, duration: 1},
		},
	},
}
