package controller

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// heldUpTrouble is what happens to a machine while a start command to it is held up.
type heldUpTrouble struct {
	name string
	// begin makes it happen and returns the function that ends it.
	begin func(c *cluster, machine *agent.Agent) (end func())
	// duration is the time until the end.
	duration time.Duration
	// afterCancellation is set if it begins once the job is cancelled.
	afterCancellation bool
	// lends is set if the job needs machines that several partitions lend.
	lends bool
}

// machineTrouble returns a trouble that sets a fault of the machine.
func machineTrouble(name string, set func(*agent.Agent, bool), duration time.Duration) heldUpTrouble {
	return heldUpTrouble{name, func(_ *cluster, machine *agent.Agent) func() {
		set(machine, true)
		return func() { set(machine, false) }
	}, duration, false, false}
}

// eventTrouble returns a trouble that happens once.
func eventTrouble(name string, happen func(c *cluster, machine *agent.Agent)) heldUpTrouble {
	return heldUpTrouble{name, func(c *cluster, machine *agent.Agent) func() {
		happen(c, machine)
		return doNothing
	}, 0, false, false}
}

var heldUpTroubles = []heldUpTrouble{
	eventTrouble("no trouble", func(*cluster, *agent.Agent) {}),
	machineTrouble("hung", (*agent.Agent).SetHanging, 8*time.Second),
	machineTrouble("hung for longer than its lease", (*agent.Agent).SetHanging, 30*time.Second),
	machineTrouble("cut off", (*agent.Agent).SetIsolated, 6*time.Second),
	machineTrouble("cut off for longer than its lease", (*agent.Agent).SetIsolated, 20*time.Second),
	machineTrouble("mute", (*agent.Agent).SetOutboundBlocked, 60*time.Second),
	machineTrouble("deaf", (*agent.Agent).SetInboundBlocked, 15*time.Second),
	eventTrouble("back at once", func(_ *cluster, machine *agent.Agent) { machine.Restart() }),
	eventTrouble("back at once without its token", func(_ *cluster, machine *agent.Agent) { machine.RestartWithoutToken() }),
	eventTrouble("its owner is back", func(c *cluster, machine *agent.Agent) { c.restartOwnerOf(machine) }),
	{"lent", func(c *cluster, machine *agent.Agent) func() {
		if !slices.Contains(c.env.Store.Keys(loanPrefix), loanKey(machine.Name())) {
			c.t.Errorf("%s is not on loan, want it to be", machine.Name())
		}
		return doNothing
	}, 0, false, true},
	{"the store is down", func(c *cluster, _ *agent.Agent) func() {
		c.env.Store.SetUnavailable(true)
		return func() { c.env.Store.SetUnavailable(false) }
	}, time.Minute, true, false},
	{"the store refuses the owner", func(c *cluster, machine *agent.Agent) func() {
		owner := c.nodes[c.ownerOf(machine)].transport
		owner.SetFaultPolicy(policyForMatching(isStoreRequest, network.Refuse))
		return func() { owner.SetFaultPolicy(nil) }
	}, time.Minute, true, false},
}

// holdTimes are the times for which a start command is held up: shorter and longer than a lease, and
// around the deadline of cancellations.
var holdTimes = []time.Duration{3 * time.Second, 9 * time.Second, 34 * time.Second, 50 * time.Second, 2 * time.Minute}

func TestHeldUpStartRunsAfterCancellation(t *testing.T) {
	t.Parallel()
	for _, trouble := range heldUpTroubles {
		for _, held := range holdTimes {
			t.Run(fmt.Sprintf("%s, %s", trouble.name, held), func(t *testing.T) {
				t.Parallel()
				runCluster(t, func(c *cluster) { c.runHeldUpStart(trouble, held) })
			})
		}
	}
}

// runHeldUpStart holds up the first start commands of a job, cancels the job, and lets the machine
// have its trouble. That the cancelled tasks are gone in time is one of the rules.
func (c *cluster) runHeldUpStart(trouble heldUpTrouble, held time.Duration) {
	c.env.Cloud.SetCapacity(8)
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 60, CPUs: 2, EstimateS: 10}))
	c.await("machines are up", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") >= 10 })
	time.Sleep(c.nodes[0].maxStaleness())
	heldUp := c.holdUpStarts(held, "wk-2")
	job := newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "production", Tasks: 3, CPUs: 2})
	if trouble.lends {
		job.Tasks, job.CPUs, job.MachineTypes = 6, 3, []string{"small"}
	}
	job.ImageGB = 0
	c.submit(job)
	var machine *agent.Agent
	select {
	case addr := <-heldUp:
		machine = c.agentAt(addr)
	case <-time.After(3 * time.Minute):
		c.t.Fatal("no start is held up within three minutes, want one")
	}
	if trouble.afterCancellation {
		c.cancelJob("wk-2")
	}
	end := trouble.begin(c, machine)
	if !trouble.afterCancellation {
		c.cancelJob("wk-2")
	}
	time.Sleep(trouble.duration)
	end()
	time.Sleep(held + c.env.CancellationTimeout + c.env.LeaseTTL)
}

// holdUpStarts makes the network hold up each direct request with a start of a job, unanswered. The
// addresses of their machines are sent to the channel.
func (c *cluster) holdUpStarts(held time.Duration, job string) <-chan string {
	heldUp := make(chan string, 1)
	var once sync.Once
	for _, n := range c.nodes {
		n.transport.SetDelay(held, 0)
	}
	c.setFaultPolicies(func(r *http.Request) network.Fault {
		if !isAgentRequest(r) || !c.carriesStartOf(r, job) {
			return network.Deliver
		}
		once.Do(func() { heldUp <- r.URL.Host })
		return network.ExecuteLate
	})
	return heldUp
}

// agentAt returns the agent with an address.
func (c *cluster) agentAt(addr string) *agent.Agent {
	c.t.Helper()
	for _, a := range c.env.Cloud.Agents() {
		if a.Addr() == addr {
			return a
		}
	}
	c.t.Fatalf("no machine has the address %s", addr)
	return nil
}
