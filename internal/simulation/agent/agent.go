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
	// minHeartbeatPause is the least time between a heartbeat and one that reports a change.
	minHeartbeatPause = 500 * time.Millisecond
	// heartbeatJitter is by how much of a second the pauses between heartbeats differ.
	heartbeatJitter = 0.01
	// heartbeatSeed draws them.
	heartbeatSeed = 8
)

// Agent runs the tasks of one machine.
type Agent struct {
	fleet       *Fleet
	instance    wire.Instance
	machineType wire.MachineType
	transport   *network.Transport // by which it reaches the controllers
	changed     chan struct{}      // it has something to report at once

	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	token       uint64
	renewedAt   time.Time
	tasks       map[string]*task
	booted      bool
	terminated  bool
	controller  int // index of the controller that it reports to, or more
	faults      faults
	// onHeartbeat, if set, is handed each heartbeat as it is sent.
	onHeartbeat   func([]byte)
	lastHeartbeat []byte
	// terminatesAt is when the cloud takes the machine, as its heartbeats say; zero: no
	// notice.
	terminatesAt time.Time
}

// Launch starts an agent on a machine that boots now.
func (f *Fleet) Launch(instance wire.Instance, machineType wire.MachineType) *Agent {
	a := &Agent{fleet: f, instance: instance, machineType: machineType, transport: f.network.NewTransport(), changed: make(chan struct{}, 1),
		incarnation: 1, tasks: map[string]*task{}}
	f.network.Serve(instance.Addr, a)
	go a.run()
	return a
}

// Name of the machine.
func (a *Agent) Name() string { return a.instance.Name }

// Zone of the machine.
func (a *Agent) Zone() string { return a.instance.Zone }

// Addr is where it takes direct commands.
func (a *Agent) Addr() string { return a.instance.Addr }

// Transport is how the machine reaches the controllers.
func (a *Agent) Transport() *network.Transport { return a.transport }

// IsUp tells whether the machine has booted and is there.
func (a *Agent) IsUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.booted && !a.terminated
}

// TaskState is the state of a task's newest attempt on the machine; "": it is not there.
func (a *Agent) TaskState(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.tasks[name]; t != nil && !a.terminated {
		return t.state
	}
	return ""
}

// run boots the machine and sends heartbeats until it is terminated.
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

// boot has the machine come up, unless it was terminated meanwhile.
func (a *Agent) boot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.terminated {
		return
	}
	a.booted, a.renewedAt = true, time.Now()
	a.fleet.recorder.Record(trace.MachineBooted{At: time.Now(), Machine: a.instance.Name, Type: a.instance.Type, Zone: a.instance.Zone, Spot: a.instance.Spot,
		Capacity: scheduling.NewResources(a.machineType.CPUs, a.machineType.GPUs, a.machineType.RAMGB)})
}

// advanceIfAlive moves the tasks on to now; false: there is no machine any more.
func (a *Agent) advanceIfAlive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.awaitResumed() || a.terminated {
		return false
	}
	a.advance()
	return a.fleet.ctx.Err() == nil
}

// awaitHeartbeat waits until the next heartbeat is due; false: the simulation is over.
func (a *Agent) awaitHeartbeat(lastSent time.Time) bool {
	jitter := seconds(network.SeededFloat64(heartbeatSeed, a.instance.Name) * heartbeatJitter)
	select {
	case <-a.changed:
		if wait := minHeartbeatPause - time.Since(lastSent); wait > 0 {
			time.Sleep(wait)
		}
	case <-time.After(a.fleet.HeartbeatInterval + jitter):
	case <-a.fleet.ctx.Done():
		return false
	}
	return true
}

// reportSoon has a heartbeat sent without waiting for the next interval.
func (a *Agent) reportSoon() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// sortedTasks are the tasks by name: what happens at one time happens in the same order in
// every run; called with the lock held.
func (a *Agent) sortedTasks() []*task {
	names := slices.Sorted(maps.Keys(a.tasks))
	out := make([]*task, len(names))
	for i, name := range names {
		out[i] = a.tasks[name]
	}
	return out
}
