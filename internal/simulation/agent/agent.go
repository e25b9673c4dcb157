package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

const (
	// minHeartbeatInterval is the minimum time between a heartbeat and the next one that reports
	// a change.
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatJitter is the maximum random addition to the heartbeat interval, in seconds.
	heartbeatJitter = 0.01
	// heartbeatSeed is the seed of the heartbeat jitter.
	heartbeatSeed = 8
)

// Agent simulates one machine and the agent that runs its tasks. It is safe for concurrent
// use.
type Agent struct {
	fleet           *Fleet
	instance        wire.Instance
	machineType     wire.MachineType
	transport       *network.Transport // carries requests to the controllers
	reportRequested chan struct{}      // signals that a heartbeat is due before the next interval

	mu             sync.Mutex
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64
	leaseRenewedAt time.Time
	tasks          map[string]*task
	booted         bool
	terminated     bool
	nextController int // index of the controller to send heartbeats to, modulo the number of controllers
	faults         faults
	// heartbeatHook, if not nil, is called with the encoded form of each heartbeat.
	heartbeatHook func([]byte)
	lastHeartbeat []byte
	// terminatesAt is when the cloud will terminate the machine, as announced in heartbeats.
	// Zero means that there is no notice.
	terminatesAt time.Time
}

// Launch launches a machine with an agent. The machine takes the time to boot that its type
// states.
func (f *Fleet) Launch(instance wire.Instance, machineType wire.MachineType) *Agent {
	a := &Agent{fleet: f, instance: instance, machineType: machineType, transport: f.network.NewTransport(), reportRequested: make(chan struct{}, 1),
		incarnation: 1, tasks: map[string]*task{}}
	f.network.Serve(instance.Addr, a)
	go a.run()
	return a
}

// Name returns the machine's name.
func (a *Agent) Name() string { return a.instance.Name }

// Zone returns the machine's zone.
func (a *Agent) Zone() string { return a.instance.Zone }

// Addr returns the address at which the machine receives direct commands.
func (a *Agent) Addr() string { return a.instance.Addr }

// Transport returns the transport that carries the machine's requests to the controllers.
func (a *Agent) Transport() *network.Transport { return a.transport }

// IsUp reports whether the machine has booted and isn't terminated.
func (a *Agent) IsUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.booted && !a.terminated
}

// TaskState returns the state of the task on the machine, or "" if the machine doesn't have
// the task.
func (a *Agent) TaskState(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.tasks[name]; t != nil && !a.terminated {
		return t.state
	}
	return ""
}

// run boots the machine and sends heartbeats until the machine is terminated or the fleet's
// context is done.
func (a *Agent) run() {
	select {
	case <-time.After(seconds(a.machineType.BootS)):
	case <-a.fleet.ctx.Done():
		return
	}
	a.boot()
	var sentAt time.Time
	for a.advanceIfAlive() && a.awaitHeartbeat(sentAt) {
		sentAt = time.Now()
		a.sendHeartbeat()
	}
}

// boot completes the machine's boot, unless it was terminated in the meantime.
func (a *Agent) boot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.terminated {
		return
	}
	a.booted, a.leaseRenewedAt = true, time.Now()
	a.fleet.recorder.Record(trace.MachineBooted{At: time.Now(), Machine: a.instance.Name, Type: a.instance.Type, Zone: a.instance.Zone, Spot: a.instance.Spot,
		Capacity: scheduling.NewResources(a.machineType.CPUs, a.machineType.GPUs, a.machineType.RAMGB)})
}

// advanceIfAlive brings the tasks up to the current time. It reports whether the machine keeps
// running: false if it was terminated or the fleet's context is done.
func (a *Agent) advanceIfAlive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.awaitResumed() || a.terminated {
		return false
	}
	a.advance()
	return a.fleet.ctx.Err() == nil
}

// awaitHeartbeat waits until the next heartbeat is due. It reports whether one is due: false if
// the fleet's context is done first.
func (a *Agent) awaitHeartbeat(lastSent time.Time) bool {
	jitter := seconds(network.SeededFloat64(heartbeatSeed, a.instance.Name) * heartbeatJitter)
	select {
	case <-a.reportRequested:
		if wait := minHeartbeatInterval - time.Since(lastSent); wait > 0 {
			time.Sleep(wait)
		}
	case <-time.After(a.fleet.HeartbeatInterval + jitter):
	case <-a.fleet.ctx.Done():
		return false
	}
	return true
}

// requestReport requests a heartbeat before the next interval ends.
func (a *Agent) requestReport() {
	select {
	case a.reportRequested <- struct{}{}:
	default:
	}
}

// sortedTasks returns the tasks ordered by name, so that events at the same time happen in the
// same order in every run. The caller holds a.mu.
func (a *Agent) sortedTasks() []*task {
	names := slices.Sorted(maps.Keys(a.tasks))
	out := make([]*task, len(names))
	for i, name := range names {
		out[i] = a.tasks[name]
	}
	return out
}
