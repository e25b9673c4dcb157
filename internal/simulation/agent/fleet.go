// Package agent simulates the agents that run tasks on machines, written from the protocol,
// with the faults that machines have. They run on whatever clock the test runs on.
package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// Settings are the protocol's intervals.
type Settings struct {
	HeartbeatInterval time.Duration
	LeaseTTL          time.Duration
	GangWaitTimeout   time.Duration // for which a gang's tasks wait for each other
	GangPeerTimeout   time.Duration // in which they notice that one is gone
}

// DefaultSettings are the intervals that simulated clusters have.
func DefaultSettings() Settings {
	return Settings{HeartbeatInterval: time.Second, LeaseTTL: 10 * time.Second, GangWaitTimeout: 12 * time.Second, GangPeerTimeout: 4 * time.Second}
}

// Controller is a controller as agents know it.
type Controller struct{ Name, Addr string }

// Fleet is what all agents share: how they reach the controllers, the descriptions of jobs,
// and the gangs, whose tasks find each other.
type Fleet struct {
	Settings

	ctx         context.Context
	network     *network.Network
	recorder    *trace.Recorder
	controllers []Controller

	mu          sync.Mutex
	specs       map[string]*wire.Job
	running     map[string]*Agent          // by task
	completed   map[string]map[string]bool // tasks by job
	starts      int
	gangs       map[gangAttempt]*gang
	checkpoints map[string]time.Duration // progress of gangs, by job
}

// NewFleet returns a fleet without agents. They end with ctx.
func NewFleet(ctx context.Context, net *network.Network, recorder *trace.Recorder, controllers []Controller) *Fleet {
	return &Fleet{Settings: DefaultSettings(), ctx: ctx, network: net, recorder: recorder, controllers: controllers,
		specs: map[string]*wire.Job{}, running: map[string]*Agent{}, completed: map[string]map[string]bool{},
		gangs: map[gangAttempt]*gang{}, checkpoints: map[string]time.Duration{}}
}

// UploadJobSpec gives the agents a job's description, as users do before they submit it.
func (f *Fleet) UploadJobSpec(spec *wire.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs[spec.ID] = spec
}

// JobSpec is the uploaded description of a job; nil: there is none.
func (f *Fleet) JobSpec(job string) *wire.Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[job]
}

// CountStartedTasks counts the tasks that have started.
func (f *Fleet) CountStartedTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// CountRunningTasks counts a job's tasks that are on machines.
func (f *Fleet) CountRunningTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for task := range f.running {
		if strings.HasPrefix(task, job+"/") {
			count++
		}
	}
	return count
}

// CountCompletedTasks counts a job's tasks whose results are kept.
func (f *Fleet) CountCompletedTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.completed[job])
}

// SavedProgress is how much progress of a gang is saved.
func (f *Fleet) SavedProgress(job string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkpoints[job]
}

// taskStarted notes that a task runs on an agent's machine from now.
func (f *Fleet) taskStarted(a *Agent, t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	f.running[t.name] = a
	f.recorder.Record(trace.TaskStarted{At: time.Now(), Task: t.name, Machine: a.instance.Name})
}

// taskStopped notes that a task has left an agent's machine.
func (f *Fleet) taskStopped(a *Agent, t *task, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorder.Record(trace.TaskStopped{At: at, Task: t.name, Machine: a.instance.Name})
	if f.running[t.name] == a {
		delete(f.running, t.name)
	}
}

// taskCompleted notes that a task's result is kept.
func (f *Fleet) taskCompleted(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskCompletedLocked(task)
}

// taskCompletedLocked is taskCompleted with the lock held.
func (f *Fleet) taskCompletedLocked(task string) {
	job := trace.JobID(task)
	if f.completed[job] == nil {
		f.completed[job] = map[string]bool{}
	}
	f.completed[job][task] = true
	f.recorder.Record(trace.TaskCompleted{At: time.Now(), Task: task})
}

// seconds is a number of seconds of the protocol as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
