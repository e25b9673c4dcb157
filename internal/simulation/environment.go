// Package simulation puts together what surrounds the controllers of a cluster: a network,
// a key-value store, a cloud and its machines, and a trace of what is seen from outside.
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

// Where the services are.
const (
	StoreAddr = "state:1"
	CloudAddr = "cloud:1"
)

// defaultCancelWithin is in what time a cancelled job's tasks must be gone.
const defaultCancelWithin = 35 * time.Second

// Environment is what surrounds the controllers of a cluster.
type Environment struct {
	*agent.Fleet
	Network *network.Network
	Store   *kv.Store
	Cloud   *cloud.Cloud
	Trace   *trace.Recorder
	// CancellationTimeout is in what time a cancelled job's tasks must be gone.
	CancellationTimeout time.Duration

	mu            sync.Mutex
	quotas        map[string]scheduling.Resources
	faultsEndedAt time.Time
}

// New returns an environment for some controllers, whose machines are of some types. It
// ends with ctx.
func New(ctx context.Context, controllers []agent.Controller, types []wire.MachineType) *Environment {
	e := &Environment{Network: network.New(ctx), Store: kv.NewStore(), Trace: &trace.Recorder{}, CancellationTimeout: defaultCancelWithin, quotas: map[string]scheduling.Resources{}}
	e.Fleet = agent.NewFleet(ctx, e.Network, e.Trace, controllers)
	e.Cloud = cloud.New(e.Fleet, types)
	e.Network.Serve(StoreAddr, e.Store)
	e.Network.Serve(CloudAddr, e.Cloud)
	return e
}

// SetQuota sets the limit of CPUs that a team is checked against.
func (e *Environment) SetQuota(team string, cpus float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quotas[team] = scheduling.NewResources(cpus, 0, 0)
}

// MarkFaultsEnded says that all faults are over from now on.
func (e *Environment) MarkFaultsEnded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultsEndedAt = time.Now()
}

// Violations are the rules broken so far, by what was seen from outside.
func (e *Environment) Violations() []rules.Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := append(e.Trace.Events(), trace.RecordingEnded{At: time.Now()})
	return rules.Check(events, rules.Expectations{CancellationTimeout: e.CancellationTimeout, Quotas: e.quotas, FaultsEndedAt: e.faultsEndedAt})
}

// CountTasksByState counts a job's tasks on their machines by state.
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
