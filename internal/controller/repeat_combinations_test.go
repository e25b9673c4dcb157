package controller

// repeatCombinations repeat every request of one kind, unchanged and up to minutes later, while
// something happens that makes the request obsolete. docs/architecture.md, "Requests that are
// repeated", names the condition by which each repeat fails.
var repeatCombinations = []faultCombination{
	{
		name:        "direct commands repeated after the next attempt",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: repeatedCommands, target: allNodes, duration: 80, share: 1},
			{at: 5, kind: submitUrgentArray, target: 20},
			{at: 20, kind: tasksFail, target: 2, duration: 15},
			{at: 45, kind: submitUrgentArray, target: 20},
		},
	},
	{
		name:        "direct commands repeated after a cancellation",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: repeatedCommands, target: allNodes, duration: 80, share: 1},
			{at: 5, kind: cancelJobs, target: 5},
			{at: 20, kind: cancelJobs, target: 5},
		},
	},
	{
		name:        "direct commands repeated after a change of owner and leader",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: repeatedCommands, target: allNodes, duration: 80, share: 1},
			{at: 5, kind: killController, target: 1, duration: 0.3},
			{at: 15, kind: killController, target: leaderNode, duration: 6},
			{at: 30, kind: killController, target: allNodes, duration: 0.5},
			{at: 40, kind: killController, target: 2, duration: 8},
		},
	},
	{
		name:        "direct commands repeated while machines are on loan to gangs",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: repeatedCommands, target: allNodes, duration: 80, share: 1},
			{at: 3, kind: submitGangs, target: 4},
			{at: 20, kind: killController, target: leaderNode, duration: 3},
			{at: 25, kind: submitGangs, target: 4},
			{at: 45, kind: cancelJobs, target: 6},
		},
	},
	{
		name:        "direct commands repeated as teams are at their limit",
		initialJobs: 20,
		faults: []fault{
			{at: 0, kind: repeatedCommands, target: allNodes, duration: 80, share: 1},
			{at: 5, kind: submitJobs, target: 10},
			{at: 15, kind: cancelJobs, target: 4},
			{at: 20, kind: submitJobs, target: 10},
			{at: 30, kind: submitUrgentArray, target: 20},
		},
	},
	{
		name:        "direct commands and their late first executions repeated",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: lateCommands, target: allNodes, duration: 60, share: 0.3},
			{at: 0, kind: repeatedCommands, target: allNodes, duration: 80, share: 1},
			{at: 10, kind: submitUrgentArray, target: 20},
			{at: 20, kind: machinesHang, target: 2, duration: 8},
			{at: 30, kind: cancelJobs, target: 4},
		},
	},
	{
		name:        "leases renewed again after their holders' end",
		initialJobs: 12,
		faults: []fault{
			{at: 0, kind: repeatedLeaseRequests, target: allNodes, duration: 80, share: 1},
			{at: 5, kind: killController, target: leaderNode, duration: 10},
			{at: 25, kind: killController, target: 1, duration: 10},
			{at: 40, kind: storeRefuses, target: 0, duration: 15},
			{at: 42, kind: cancelJobs, target: 4},
		},
	},
	{
		name:        "launches and terminations repeated by a former leader",
		initialJobs: 20,
		faults: []fault{
			{at: 0, kind: repeatedCloudRequests, target: allNodes, duration: 80, share: 1},
			{at: 5, kind: killController, target: leaderNode, duration: 5},
			{at: 15, kind: terminateMachines, target: 3},
			{at: 30, kind: submitJobs, target: 10},
			{at: 40, kind: killController, target: leaderNode, duration: 5},
		},
	},
	{
		name:        "users' requests repeated after the final state",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: repeatedUserRequests, duration: 80, share: 1},
			{at: 0, kind: queryAllControllers, duration: 80},
			{at: 5, kind: submitJobs, target: 8},
			{at: 15, kind: cancelJobs, target: 5},
			{at: 20, kind: killController, target: allNodes, duration: 0.5},
		},
	},
	{
		name:        "heartbeats and frames repeated across failovers",
		initialJobs: 14,
		faults: []fault{
			{at: 0, kind: repeatedHeartbeats, duration: 80, share: 0.5},
			{at: 0, kind: repeatedFrames, target: allNodes, duration: 80, share: 0.2},
			{at: 5, kind: killController, target: leaderNode, duration: 0.3},
			{at: 7, kind: killController, target: 1, duration: 0.3},
			{at: 20, kind: terminateMachines, target: 2},
			{at: 25, kind: killController, target: allNodes, duration: 1},
			{at: 30, kind: cancelJobs, target: 4},
		},
	},
}
