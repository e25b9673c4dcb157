package controller

import (
	"cmp"
	"testing"
)

// The combinations of faults that the users have seen rules broken in, as schedules; see
// docs/fault-combinations.md for the code that each is about.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	const on = 0.0 // seconds at which long faults begin
	const usualSeed = 7
	for _, x := range []struct {
		name   string
		jobs   int
		faults []fault
		seed   uint64 // 0: usualSeed
	}{
		{"cancelled while one controller's work changes hands", 14, []fault{{5, killController, 0, 8, 0}, {5.2, cancelJobs, 4, 0, 0}, {6, cancelJobs, 3, 0, 0}, {8, cancelJobs, 3, 0, 0}, {9.5, cancelJobs, 3, 0, 0}}, 0},
		{"late transactions after newer ones", 12, []fault{{on, lateWrites, allNodes, 60, 0.3}, {5, submitJobs, 6, 0, 0}, {12, cancelJobs, 4, 0, 0}, {20, killController, leaderNode, 0.4, 0}, {30, submitJobs, 6, 0, 0}, {31, cancelJobs, 4, 0, 0}, {40, killController, 1, 6, 0}}, 0},
		{"cancellation, question and submission at the end", 16, []fault{{on, raceCompletion, 0, 90, 0.5}, {10, submitJobs, 10, 0, 0}, {25, submitJobs, 10, 0, 0}}, 0},
		{"all nodes asked within milliseconds", 12, []fault{{on, queryAllControllers, 0, 80, 0}, {on, raceCompletion, 0, 80, 0.4}, {5, submitJobs, 8, 0, 0}, {10, cancelJobs, 4, 0, 0}, {20, killController, leaderNode, 5, 0}, {22, submitJobs, 8, 0, 0}, {24, cancelJobs, 6, 0, 0}}, 0},
		{"report kept until a new leader has acted", 12, []fault{{5, saveHeartbeats, 0, 0, 0}, {6, killController, leaderNode, 12, 0}, {7, terminateMachines, 2, 0, 0}, {14, resendHeartbeats, 0, 0, 0}, {25, resendHeartbeats, 0, 0, 0}}, 0},
		{"one-task jobs four a second", 4, []fault{{on, submitOneTaskJobs, 0, 120, 0}, {40, killController, leaderNode, 5, 0}, {70, queryAllControllers, 0, 20, 0}}, 0},
		{"leader ends while machines can't be reached", 14, []fault{{5, machinesIsolated, 3, 25, 0}, {5, machinesNotReceiving, 3, 25, 0}, {6, killController, leaderNode, 20, 0}, {9, cancelJobs, 3, 0, 0}}, 0},
		{"leader cut off with its workers", 14, []fault{{5, agentsAndUsersOnly, leaderNode, 60, 0}, {12, cancelJobs, 6, 0, 0}, {14, cancelJobs, 3, 0, 0}}, 0},
		{"old report after newer ones", 12, []fault{{on, copyHeartbeats, 0, 80, 0.5}, {on, copyHeartbeatsLate, 0, 80, 0.3}, {10, restartMachines, 2, 0, 0}, {20, terminateMachines, 2, 0, 0}, {30, killController, leaderNode, 0.5, 0}, {40, restartMachines, 3, 0, 0}}, 0},
		{"commands held up", 12, []fault{{on, lateCommands, allNodes, 60, 0.6}, {5, machinesHang, 3, 6, 0}, {15, cancelJobs, 4, 0, 0}, {25, machinesHang, 3, 9, 0}, {26, cancelJobs, 4, 0, 0}}, 0},
		{"zone-bound jobs lose machines", 18, []fault{{8, terminateMachines, 4, 0, 0}, {20, terminateMachines, 4, 0, 0}, {30, machinesIsolated, 3, 20, 0}}, 0},
		{"answers to transactions lost while others read", 12, []fault{{on, lostResponses, allNodes, 70, 0.4}, {on, queryAllControllers, 0, 70, 0}, {10, submitJobs, 8, 0, 0}, {15, cancelJobs, 5, 0, 0}, {30, killController, leaderNode, 5, 0}, {35, raceCompletion, 0, 30, 0.5}}, 0},
		{"teams at their limit, cancelled on cut and hung machines", 24, []fault{{10, machinesIsolated, 3, 30, 0}, {10, machinesHang, 3, 9, 0}, {11, cancelJobs, 8, 0, 0}, {12, killController, leaderNode, 12, 0}, {15, submitJobs, 10, 0, 0}}, 0},
		{"new machines at once while writes lag, leader ends", 10, []fault{{on, storeSlow, allNodes, 50, 0.5}, {1, submitJobs, 12, 0, 0}, {4, killController, leaderNode, 8, 0}, {14, terminateMachines, 3, 0, 0}, {16, killController, leaderNode, 0.3, 0}}, 0},
		{"mute machines", 14, []fault{{5, machinesNotSending, 4, 30, 0}, {7, killController, leaderNode, 10, 0}, {12, cancelJobs, 4, 0, 0}}, 0},
		{"slow, then refused alone, then down for all", 14, []fault{{on, storeSlow, allNodes, 10, 0.5}, {10, storeRefuses, leaderNode, 10, 0}, {11, cancelJobs, 6, 0, 0}, {13, storeDown, 0, 45, 0}, {14, cancelJobs, 3, 0, 0}}, 0},
		{"hand over and back, all end, one returns", 14, []fault{{5, killController, 0, 8, 0}, {20, killController, 1, 0.5, 0}, {25, killController, allNodes, 0.3, 0}, {25.2, cancelJobs, 3, 0, 0}, {40, killController, 0, 30, 0}, {41, killController, 1, 20, 0}, {42, killController, 2, 0.8, 0}}, 0},
		{"ten leaders in two minutes, also in an outage", 14, []fault{{5, killController, leaderNode, 1, 0}, {17, killController, leaderNode, 1, 0}, {29, killController, leaderNode, 0.2, 0}, {41, killController, leaderNode, 6, 0}, {45, storeDown, 0, 25, 0}, {53, killController, leaderNode, 1, 0}, {65, killController, leaderNode, 1, 0}, {75, cancelJobs, 4, 0, 0}, {77, killController, leaderNode, 1, 0}, {89, killController, leaderNode, 5, 0}, {101, killController, leaderNode, 1, 0}, {113, killController, leaderNode, 1, 0}}, 0},
		{"all away for longer than a lease", 14, []fault{{5, cancelJobs, 3, 0, 0}, {5.5, killController, allNodes, 15, 0}, {40, saveHeartbeats, 0, 0, 0}, {41, killController, allNodes, 13, 0}, {55, resendHeartbeats, 0, 0, 0}}, 0},
		{"few long tasks across a change of leader", 20, []fault{{10, killController, leaderNode, 9, 0}, {30, killController, leaderNode, 0.4, 0}, {40, lateWrites, allNodes, 20, 0.3}}, 0},
		{"old reports just as a leader begins", 12, []fault{{5, saveHeartbeats, 0, 0, 0}, {8, restartMachines, 3, 0, 0}, {9, killController, allNodes, 0.5, 0}, {9.6, resendHeartbeats, 0, 0, 0}, {11, resendHeartbeats, 0, 0, 0}}, 0},
		{"limit, change of leader, unreachable machines, cancellation", 24, []fault{{10, machinesNotReceiving, 3, 25, 0}, {10, machinesIsolated, 2, 25, 0}, {11, killController, leaderNode, 6, 0}, {13, cancelJobs, 6, 0, 0}, {14, submitJobs, 8, 0, 0}}, 0},
		{"more work than room over slow links", 30, []fault{{on, storeSlow, allNodes, 60, 0.3}, {on, lateCommands, allNodes, 60, 0.3}, {10, submitJobs, 20, 0, 0}, {20, cancelJobs, 6, 0, 0}}, 0},
		{"cancelled as the leader is refused, then an outage", 14, []fault{{5, storeRefuses, leaderNode, 12, 0}, {5, cancelJobs, 6, 0, 0}, {6, storeDown, 0, 45, 0}}, 0},
		{"zone cut for longer than a lease", 16, []fault{{8, isolateZone, 0, 25, 0}, {9, cancelJobs, 4, 0, 0}, {12, killController, leaderNode, 5, 0}, {14, cancelJobs, 3, 0, 0}}, 0},
		{"odd requests, restarts", 10, []fault{{on, oddRequests, 0, 70, 0}, {10, killController, leaderNode, 4, 0}, {20, cancelJobs, 4, 0, 0}, {30, killController, allNodes, 1, 0}}, 0},
		{"a gang dealt to a part that has lost its room", 10, []fault{{1.8, machinesIsolated, 2, 15.7, 0}, {24.8, copyHeartbeatsLate, 0, 41.5, 0.3}, {26.7, machinesHang, 2, 13.6, 0}, {31, queryAllControllers, 0, 38.8, 0}, {31.3, copyHeartbeats, 0, 42.5, 0.3}, {32.4, killController, allNodes, 0.5, 0}, {34.6, killController, allNodes, 0.5, 0}, {59.1, queryAllControllers, 0, 43.9, 0}}, 1004},
		{"gangs gather room one after the other beside small work", 10, []fault{{0.6, storeDown, 0, 50, 0}, {1.7, storeSlow, 0, 24.9, 0.3}, {4.2, cloudDown, 0, 40.8, 0}, {11.6, storeSlow, leaderNode, 29.9, 0.3}, {24.1, storeSlow, 1, 14.7, 0.3}, {25.5, submitJobs, 6, 0, 0}, {39.3, restartMachines, 2, 0, 0}, {52.2, isolateZone, 0, 25.9, 0}, {55.9, submitJobs, 6, 0, 0}}, 155},
		{"limits fall during a hand-over", 10, []fault{{on, submitGangs, 4, 0, 0}, {5, killController, 0, 6, 0}, {6, lowerLimits, 0, 0, 0}, {7, submitGangs, 3, 0, 0}, {14, killController, 1, 0.4, 0}, {20, cancelJobs, 4, 0, 0}}, 0},
		{"limits fall while gangs stop", 10, []fault{{on, submitGangs, 4, 0, 0}, {12, noCapacity, 0, 30, 0}, {12, submitUrgentArray, 40, 0, 0}, {13, lowerLimits, 0, 0, 0}, {14, killController, leaderNode, 5, 0}}, 0},
		{"machines die without notice during a rollout", 10, []fault{{on, submitGangs, 4, 0, 0}, {5, killController, 0, 2, 0}, {6, terminateMachines, 5, 0, 0}, {10, killController, 1, 2, 0}, {11, terminateMachines, 4, 0, 0}, {15, killController, 2, 2, 0}, {18, submitGangs, 3, 0, 0}, {19, terminateMachines, 3, 0, 0}}, 0},
		{"cloud out while gangs wait for a task", 8, []fault{{on, submitGangs, 4, 0, 0}, {2, cloudDown, 0, 40, 0}, {3, terminateMachines, 2, 0, 0}, {9, terminateMachines, 2, 0, 0}, {20, killController, leaderNode, 5, 0}}, 0},
		{"members on machines that hang, are deaf, mute or sick", 8, []fault{{on, submitGangs, 5, 0, 0}, {4, machinesHang, 2, 8, 0}, {8, machinesNotReceiving, 2, 25, 0}, {12, machinesNotSending, 2, 25, 0}, {16, tasksFail, 2, 20, 0}, {20, submitGangs, 3, 0, 0}}, 0},
		{"leader ends between reserving, binding and starting", 8, []fault{{5, submitGangs, 3, 0, 0}, {5.15, killController, leaderNode, 0.3, 0}, {20, submitGangs, 3, 0, 0}, {20.25, killController, leaderNode, 4, 0}, {35, submitGangs, 3, 0, 0}, {35.4, killController, allNodes, 0.5, 0}}, 0},
		{"late and copied reports of an earlier attempt", 8, []fault{{on, submitGangs, 5, 0, 0}, {on, copyHeartbeats, 0, 70, 0.6}, {on, copyHeartbeatsLate, 0, 70, 0.4}, {8, restartMachines, 3, 0, 0}, {16, terminateMachines, 2, 0, 0}, {24, killController, leaderNode, 0.5, 0}, {30, saveHeartbeats, 0, 0, 0}, {31, restartMachines, 3, 0, 0}, {36, resendHeartbeats, 0, 0, 0}}, 0},
		{"late stops and starts of gangs", 8, []fault{{on, submitGangs, 5, 0, 0}, {on, lateCommands, allNodes, 60, 0.6}, {12, noCapacity, 0, 30, 0}, {12, submitUrgentArray, 40, 0, 0}, {30, submitGangs, 3, 0, 0}, {32, cancelJobs, 3, 0, 0}}, 0},
		{"gangs done and cancelled at once", 6, []fault{{on, submitGangs, 6, 0, 0}, {on, raceCompletion, 0, 80, 0.6}, {20, submitGangs, 5, 0, 0}, {25, killController, leaderNode, 5, 0}}, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, cmp.Or(x.seed, usualSeed), x.jobs, x.faults)
		})
	}
}
