package controller

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// Each direct request that gets no response holds a connection until it times out. When hundreds
// of machines stop responding at the same time, the number of requests in flight is limited, half
// of the slots are kept for commands, and every machine is eventually pinged.
func TestDirectRequestsAreLimited(t *testing.T) {
	c := newFullFleetController(t, 2000)
	p := c.partitions[0]
	c.directSlots = workerclient.NewSlots[*machine](40)
	c.now = c.now.Add(20 * time.Second)
	c.replica.AdvanceReadTime(c.now)
	c.probeMachines()
	if c.directSlots.OpenCommands() != 20 || c.directSlots.OpenCommands()+c.directSlots.QueueLength() != len(p.machines) || len(p.machines) < 300 {
		t.Fatalf("%d requests are in flight and %d machines wait, of %d machines; want 20 in flight and all others waiting", c.directSlots.OpenCommands(), c.directSlots.QueueLength(), len(p.machines))
	}
	pinged := map[string]bool{}
	for rounds := 0; c.directSlots.QueueLength() > 0; rounds++ {
		if rounds > len(p.machines)/20 {
			t.Fatal("machines still wait for a slot after enough rounds for all of them")
		}
		for c.directSlots.OpenCommands() > 0 {
			c.directSlots.Release()
		}
		c.sendQueuedRequests()
		if c.directSlots.OpenCommands() > 20 {
			t.Fatalf("%d requests are in flight, want at most 20", c.directSlots.OpenCommands())
		}
	}
	for _, m := range p.machines {
		if m.commandState.inFlight {
			pinged[m.name] = true
		}
	}
	if len(pinged) != len(p.machines) {
		t.Errorf("%d of %d machines were pinged, want all", len(pinged), len(p.machines))
	}
}

// countingTransport counts the requests that are sent and fails all of them.
type countingTransport struct{ sent atomic.Int64 }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	c.sent.Add(1)
	return nil, http.ErrServerClosed
}

// A command that was decided on before the process was suspended may have been revoked by the
// time it resumes. It must not be sent.
func TestSuspendedProcessSendsNoCommand(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestController(t)
			transport := &countingTransport{}
			c.workerClient = workerclient.NewClient(transport)
			m := c.getOrAddMachine("host-1")
			m.addr, m.incarnation, m.heartbeatAt = "10.1.0.1:1", 1, c.now
			if suspended {
				time.Sleep(5 * time.Second) // c.now stays at the time of the decision
			}
			c.sendDirectRequest(m, c.partitions[0], []wire.Command{{Op: wire.OpStart, Task: "wk-1/0", Attempt: 1}})
			synctest.Wait()
			if sent := transport.sent.Load() > 0; sent == suspended {
				t.Errorf("process suspended: %v; command sent: %v, want %v", suspended, sent, !suspended)
			}
		})
	}
}

// After unanswered requests, a machine's state records whether a start may still arrive and
// whether requests to the machine are suspended for a while.
func TestUnansweredDirectCommands(t *testing.T) {
	for _, x := range []struct {
		name         string
		carriesStart bool
		lagged       bool // the controller's event loop lagged while the request was in flight
		requests     int
		unanswered   int
		startToken   uint64
		backoff      time.Duration
	}{
		{name: "a stop", requests: 1, unanswered: 1},
		{name: "a start", carriesStart: true, requests: 1, unanswered: 1, startToken: 1},
		{name: "two stops", requests: 2, unanswered: 2, backoff: 3 * time.Second},
		{name: "the answer may have arrived without being processed", carriesStart: true, lagged: true, requests: 3, startToken: 1},
	} {
		c := newTestController(t)
		p := c.partitions[0]
		m := c.getOrAddMachine("host-1")
		for range x.requests {
			m.commandState.inFlight, m.commandState.carriesStart = true, x.carriesStart
			request := directRequest{machine: m, partition: p, token: p.token, sentAt: c.now}
			c.now = c.now.Add(time.Second)
			if x.lagged {
				c.lastLaggedAt = c.now
			}
			c.handleDirectFailure(request, http.ErrServerClosed)
		}
		want := directCommandState{unanswered: x.unanswered, unansweredStartToken: x.startToken}
		if x.backoff > 0 {
			want.backoffUntil = c.now.Add(x.backoff)
		}
		if m.commandState != want {
			t.Errorf("%s: %+v, want %+v", x.name, m.commandState, want)
		}
	}
}

// A machine's former address may belong to another machine. An answer from the other machine must
// not be applied to the machine that the request was meant for.
func TestAnswerFromAnotherMachine(t *testing.T) {
	for name, applied := range map[string]bool{"host-1": true, "host-2": false} {
		c := newTestController(t)
		p := c.partitions[0]
		m := c.getOrAddMachine("host-1")
		m.commandState.inFlight, m.commandState.carriesStart, m.commandState.unanswered = true, true, 1
		c.handleDirectAnswer(directRequest{machine: m, partition: p, token: p.token, sentAt: c.now}, &wire.Heartbeat{Machine: name, Incarnation: 1, Sequence: 1, FencingToken: 1}, true)
		if m.commandState.inFlight || m.commandState.carriesStart {
			t.Errorf("answer of %s: the request still counts as in flight", name)
		}
		if got := m.incarnation == 1 && m.commandState.unanswered == 0; got != applied {
			t.Errorf("answer of %s: applied to host-1: %v, want %v", name, got, applied)
		}
		if !m.heartbeatAt.IsZero() || m.lease.HasBeenRenewed() {
			t.Errorf("answer of %s: it counts as a heartbeat or renews the lease", name)
		}
	}
}

// A machine may change partitions while a direct request to it is in flight. The answer was applied
// with the former partition, whose commands got a token above the one that the machine showed; the
// proven end of a task that its new owner had bound there then ended the process.
func TestAnswerAfterMachineChangedPartitions(t *testing.T) {
	for _, moved := range []bool{false, true} {
		c := newTestControllerInCluster(t, 3)
		m := c.getOrAddMachine("host-1")
		p := c.partitions[m.partition]
		c.takeOverPartition(p, 5)
		p.takeoverComplete = true
		request := directRequest{machine: m, partition: p, token: p.token, sentAt: c.now}
		m.commandState.inFlight = true
		partition := p.index
		if moved {
			c.replica.Put(loanKey(m.name), marshalJSON(t, record.MachineLoan{Job: "wk-1", Acknowledged: true}), 30)
			partition = c.loanPartition()
		}
		putTestJob(t, c, &wire.Job{ID: "wk-1", Team: "blue", TaskCount: 1, CPUs: 1})
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Partition: partition, Tasks: []record.Binding{{Task: 0, Attempt: 1, Machine: m.name, Incarnation: 1}}}), 40)
		c.replica.Apply(&wire.WatchResponse{Revision: 50})
		c.handleDirectAnswer(request, &wire.Heartbeat{Machine: m.name, Incarnation: 1, Sequence: 1, FencingToken: 35,
			Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.StateExited, Reason: wire.ReasonDone}}}, true)
		if applied := m.sequence == 1; applied == moved {
			t.Errorf("machine changed partitions: %v; answer applied: %v, want %v", moved, applied, !moved)
		}
	}
}
