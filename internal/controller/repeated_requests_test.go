package controller

import (
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// The network may repeat a request that was carried out, minutes later and unchanged. Each test
// below names the condition by which the receiver makes such a repeat harmless.

// A repeated direct command ran a forgotten attempt of a task beside its next attempt (review/2,
// ran_twice). Condition: the command that made the worker forget the attempt carried a higher token.
func TestRepeatedStartOfForgottenAttempt(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(3)
		for _, n := range c.nodes {
			n.transport.SetRepeatDelay(25*time.Second, 10*time.Second)
		}
		c.setFaultPolicies(policyForMatching(isAgentRequest, network.Repeat))
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 24, CPUs: 2, EstimateS: 90}))
		c.await("the first array runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") > 4 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "urgent", Tasks: 12, CPUs: 2, EstimateS: 8}))
		c.awaitDone("wk-2", 3*time.Minute)
		c.cancelJob("wk-1")
		time.Sleep(2 * time.Minute) // a repeated start of a cancelled task would break a rule too
		c.await("the machines retain no exited task", time.Minute, func() bool { return c.countExitedTasks("wk-1") == 0 })
	})
}

// countExitedTasks returns how many exited tasks of a job the machines retain.
func (c *cluster) countExitedTasks(job string) int {
	return c.env.CountTasksByState(job)[wire.StateExited]
}

// A worker is told to forget an attempt only under a token that is higher than that of every direct
// request that may have started the attempt. The start of another task does not raise the token.
func TestForgetIsFencedFromStart(t *testing.T) {
	const partitionToken = 10
	for _, row := range []struct {
		name             string
		directStartToken uint64
		raisedToken      uint64
		cursor           uint64
		forgets          bool
		token            uint64
	}{
		{"started by a heartbeat response", 0, 0, 50, true, partitionToken},
		{"started by a direct request", partitionToken, 0, 50, true, 50},
		{"started under a raised token", 30, 30, 50, true, 50},
		{"token was raised since the start", partitionToken, 30, 50, true, 30},
		{"no change is known since the start", partitionToken, 0, partitionToken, false, partitionToken},
		{"no change is known since the raise", 50, 50, 50, false, 50},
	} {
		c := newTestController(t)
		c.replica.Load(nil, row.cursor, &wire.WatchResponse{})
		p := c.partitions[0]
		p.token, p.firstToken = partitionToken, partitionToken
		m := c.getOrAddMachine("host-1")
		m.raisedToken, m.commandState.directStartToken = row.raisedToken, row.directStartToken
		response := c.handleHeartbeat(&wire.Heartbeat{Machine: "host-1", Addr: "host-1:1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1,
			FencingToken: p.commandToken(m), Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.StateExited, Reason: wire.ReasonStopped}}})
		body, ok := response.Body.(wire.HeartbeatResponse)
		if !ok {
			t.Fatalf("%s: response %+v", row.name, response)
		}
		if forgets := slices.ContainsFunc(body.Commands, isForgetCommand); forgets != row.forgets || body.FencingToken != row.token {
			t.Errorf("%s: forgets: %v, token %d; want %v, %d", row.name, forgets, body.FencingToken, row.forgets, row.token)
		}
	}
}

// A direct request, which may be repeated, makes a worker forget an attempt only to start a later
// one. Otherwise its repeat could make the worker forget an attempt that was bound again, as the
// replacement of a gang's task is.
func TestDirectRequestForgetsOnlyEarlierAttempts(t *testing.T) {
	forget := wire.Command{Op: wire.OpForget, Task: "wk-1/0", Attempt: 2}
	stop := wire.Command{Op: wire.OpStop, Task: "wk-1/1", Attempt: 1}
	start := func(task string, attempt uint64) wire.Command {
		return wire.Command{Op: wire.OpStart, Task: task, Attempt: attempt}
	}
	for _, row := range []struct {
		name     string
		commands []wire.Command
		kept     int
	}{
		{"alone", []wire.Command{forget}, 0},
		{"beside a stop", []wire.Command{forget, stop}, 1},
		{"before a later attempt", []wire.Command{forget, stop, start("wk-1/0", 3)}, 3},
		{"before the same attempt", []wire.Command{forget, start("wk-1/0", 2)}, 1},
		{"before another task", []wire.Command{forget, start("wk-1/2", 3)}, 1},
	} {
		if got := directCommands(row.commands); len(got) != row.kept {
			t.Errorf("%s: %d commands are sent, want %d: %+v", row.name, len(got), row.kept, got)
		}
	}
}
