// Package agent simulates the agents that run tasks on machines, including machine faults.
// It follows the protocol's specification rather than the controllers' code. Agents use the
// time package, so they also run on the fake clock of testing/synctest.
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

// Settings holds the intervals and timeouts of the agent protocol.
type Settings struct {
	HeartbeatInterval time.Duration
	LeaseTTL          time.Duration // an agent drops its tasks when its lease isn't renewed for this long
	GangWaitTimeout   time.Duration // how long a task waits for the other tasks of its gang
	GangPeerTimeout   time.Duration // within which a gang's tasks detect the loss of one of them
}

// DefaultSettings returns the settings of simulated clusters.
func DefaultSettings() Settings {
	return Settings{HeartbeatInterval: time.Second, LeaseTTL: 10 * time.Second, GangWaitTimeout: 12 * time.Second, GangPeerTimeout: 4 * time.Second}
}

// Controller identifies a controller to the agents.
type Controller struct{ Name, Addr string }

// Fleet holds the state that all agents share: the network to the controllers, the job
// specifications, and the gangs, whose tasks run on several machines. It is safe for
// concurrent use.
type Fleet struct {
	Settings

	ctx         context.Context
	network     *network.Network
	recorder    *trace.Recorder
	controllers []Controller

	mu             sync.Mutex
	jobSpecs       map[string]*wire.Job
	agentsByTask   map[string]*Agent          // by task name
	completedTasks map[string]map[string]bool // set of task names by job ID
	startedTasks   int
	gangs          map[gangAttempt]*gang
	savedProgress  map[string]time.Duration // saved progress of gangs, by job ID
}

// NewFleet returns a fleet without agents. Its agents stop when ctx is done.
func NewFleet(ctx context.Context, net *network.Network, recorder *trace.Recorder, controllers []Controller) *Fleet {
	return &Fleet{Settings: DefaultSettings(), ctx: ctx, network: net, recorder: recorder, controllers: controllers,
		jobSpecs: map[string]*wire.Job{}, agentsByTask: map[string]*Agent{}, completedTasks: map[string]map[string]bool{},
		gangs: map[gangAttempt]*gang{}, savedProgress: map[string]time.Duration{}}
}

// UploadJobSpec makes a job's specification available to the agents. Users do this before
// they submit the job.
func (f *Fleet) UploadJobSpec(spec *wire.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobSpecs[spec.ID] = spec
}

// JobSpec returns the uploaded specification of a job, or nil if there is none.
func (f *Fleet) JobSpec(job string) *wire.Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobSpecs[job]
}

// CountStartedTasks returns how many tasks have started so far. A task that was restarted
// counts once for each start.
func (f *Fleet) CountStartedTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedTasks
}

// CountRunningTasks returns how many of a job's tasks have started and are still on their
// machines.
func (f *Fleet) CountRunningTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for task := range f.agentsByTask {
		if strings.HasPrefix(task, job+"/") {
			count++
		}
	}
	return count
}

// CountCompletedTasks returns how many of a job's tasks have a saved result.
func (f *Fleet) CountCompletedTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.completedTasks[job])
}

// SavedProgress returns how much of a gang's running time is saved in checkpoints.
func (f *Fleet) SavedProgress(job string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.savedProgress[job]
}

// taskStarted records that a task has started on an agent's machine.
func (f *Fleet) taskStarted(a *Agent, t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startedTasks++
	f.agentsByTask[t.name] = a
	f.recorder.Record(trace.TaskStarted{At: time.Now(), Task: t.name, Machine: a.instance.Name})
}

// taskStopped records that a task stopped running on an agent's machine.
func (f *Fleet) taskStopped(a *Agent, t *task, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorder.Record(trace.TaskStopped{At: at, Task: t.name, Machine: a.instance.Name})
	if f.agentsByTask[t.name] == a {
		delete(f.agentsByTask, t.name)
	}
}

// taskCompleted records that a task's result was saved.
func (f *Fleet) taskCompleted(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskCompletedLocked(task)
}

// taskCompletedLocked is taskCompleted for callers that hold f.mu.
func (f *Fleet) taskCompletedLocked(task string) {
	job := trace.JobID(task)
	if f.completedTasks[job] == nil {
		f.completedTasks[job] = map[string]bool{}
	}
	f.completedTasks[job][task] = true
	f.recorder.Record(trace.TaskCompleted{At: time.Now(), Task: task})
}

// seconds converts a number of seconds, as the protocol has them, to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
