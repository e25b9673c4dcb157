package rules

import (
	"maps"
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// job is the state of a job as far as the trace shows it.
type job struct {
	id                string
	spec              *wire.Job         // nil if the trace has no valid submission
	submittedAt       time.Time         // earliest submission request; zero if the whole trace has none
	cancelRequestedAt time.Time         // earliest cancellation request; zero if the whole trace has none
	acceptedAt        time.Time         // first response that reports the job as known; zero until then
	finalState        string            // as first reported to a user; "" until then
	finalAt           time.Time         // when finalState was reported
	completed         map[string]bool   // names of the tasks with a saved result
	forgotten         map[string]uint64 // by task, the highest attempt that a machine was told to forget
	unansweredSince   time.Time         // first of the current series of failed queries; zero if the last one was answered
	waitingSince      time.Time         // since when the job has waited despite room; zero if it doesn't
}

// task is a task that a machine has accepted and that hasn't stopped since.
type task struct {
	name      string
	job       *job
	attempt   uint64
	machine   *machine
	startedOn *machine // machine on which the task has started; nil until then
}

// machine is a machine that has booted and isn't terminated.
type machine struct {
	name, machineType, zone string
	spot                    bool
	capacity                scheduling.Resources
	used                    scheduling.Resources
}

// taskResources returns the resources of one task of the job. They are zero if the job's
// specification is unknown.
func (j *job) taskResources() scheduling.Resources {
	if j.spec == nil {
		return scheduling.Resources{}
	}
	return scheduling.NewResources(j.spec.CPUs, j.spec.GPUs, j.spec.RAMGB)
}

// job returns the job with an ID and creates it if necessary. The job may not have been
// submitted.
func (c *checker) job(id string) *job {
	if c.jobs[id] == nil {
		c.jobs[id] = &job{id: id, completed: map[string]bool{}, forgotten: map[string]uint64{}}
	}
	return c.jobs[id]
}

// sortedTasks returns the tasks on machines, ordered by name.
func (c *checker) sortedTasks() []*task { return sortedValues(c.tasks) }

// sortedValues returns a map's values in the order of its keys.
func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}

// recordRequest records a job's specification and the times of the earliest submission and
// cancellation requests.
func (c *checker) recordRequest(e trace.Response) {
	j := c.job(e.Job)
	switch e.Operation {
	case trace.Submit:
		j.submittedAt = earlierTime(j.submittedAt, e.RequestedAt)
	case trace.Cancel:
		j.cancelRequestedAt = earlierTime(j.cancelRequestedAt, e.RequestedAt)
	}
	if e.Spec != nil {
		j.spec = e.Spec
	}
}

// earlierTime returns the earlier of two times. A zero a counts as unset, so the result is b.
func earlierTime(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
