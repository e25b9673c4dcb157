// Package simulation provides the simulated environment of a cluster's controllers: a network,
// a key-value store, a cloud with its machines, and a trace of the events that are visible
// from outside the controllers.
package simulation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/cloud"
	"eiderhitch/internal/simulation/kv"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/rules"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// The addresses of the simulated services.
const (
	StoreAddr = "state:1"
	CloudAddr = "cloud:1"
)

// defaultCancellationTimeout is the default of Environment.CancellationTimeout.
const defaultCancellationTimeout = 35 * time.Second

// Environment is the simulated environment of a cluster's controllers.
type Environment struct {
	*agent.Fleet
	Network *network.Network
	Store   *kv.Store
	Cloud   *cloud.Cloud
	Trace   *trace.Recorder
	// CancellationTimeout is how long a cancelled job's tasks may stay on their machines after
	// a response first reported the cancellation to a user.
	CancellationTimeout time.Duration

	mu            sync.Mutex
	quotas        map[string]scheduling.Resources
	faultsEndedAt time.Time
}

// New returns an environment for the given controllers, whose cloud offers the given machine
// types. The simulation stops when ctx is done.
func New(ctx context.Context, controllers []agent.Controller, types []wire.MachineType) *Environment {
	e := &Environment{Network: network.New(ctx), Store: kv.NewStore(), Trace: &trace.Recorder{}, CancellationTimeout: defaultCancellationTimeout, quotas: map[string]scheduling.Resources{}}
	e.Fleet = agent.NewFleet(ctx, e.Network, e.Trace, controllers)
	e.Cloud = cloud.New(e.Fleet, types)
	e.Network.Serve(StoreAddr, e.Store)
	e.Network.Serve(CloudAddr, e.Cloud)
	return e
}

// SetQuota sets the CPU quota of a team that Violations checks.
func (e *Environment) SetQuota(team string, cpus float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quotas[team] = scheduling.NewResources(cpus, 0, 0)
}

// MarkFaultsEnded records that there are no faults from now on. Stricter rules for availability
// and waiting jobs apply afterwards.
func (e *Environment) MarkFaultsEnded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultsEndedAt = time.Now()
}

// Violations checks the trace up to now and returns the rules that it violates.
func (e *Environment) Violations() []rules.Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := append(e.Trace.Events(), trace.RecordingEnded{At: time.Now()})
	return rules.Check(events, rules.Expectations{CancellationTimeout: e.CancellationTimeout, Quotas: e.quotas, FaultsEndedAt: e.faultsEndedAt})
}

// CountTasksByState returns how many tasks of a job are in each state on the machines that are
// up. The job's specification must have been uploaded.
func (e *Environment) CountTasksByState(job string) map[string]int {
	tasks := e.JobSpec(job).TaskCount
	out := map[string]int{}
	for _, a := range e.Cloud.Agents() {
		for number := range tasks {
			if state := a.TaskState(fmt.Sprint(job, "/", number)); state != "" {
				out[state]++
			}
		}
	}
	return out
}
