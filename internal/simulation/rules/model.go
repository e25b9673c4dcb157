package rules

import (
	"maps"
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// job is what a trace shows of a job.
type job struct {
	id                string
	spec              *wire.Job // nil: no submission shows it
	submittedAt       time.Time // first request; zero: none in the whole trace
	cancelRequestedAt time.Time // first request; zero: none in the whole trace
	acceptedAt        time.Time // first response that knows it
	finalState        string    // as first shown to a user; "": not yet
	finalAt           time.Time
	completed         map[string]bool // tasks whose results are kept
	unansweredSince   time.Time       // its queries get no answer; zero: they do
	waitingSince      time.Time       // beside room for it; zero: it is not
}

// task is a task that takes its place on a machine.
type task struct {
	name      string
	job       *job
	attempt   uint64
	machine   *machine
	startedOn *machine // nil: it has not started
}

// machine is a machine that is up.
type machine struct {
	name, typ, zone string
	spot            bool
	capacity        scheduling.Resources
	used            scheduling.Resources
}

// need is what one task of a job takes.
func (j *job) need() scheduling.Resources {
	if j.spec == nil {
		return scheduling.Resources{}
	}
	return scheduling.NewResources(j.spec.CPUs, j.spec.GPUs, j.spec.RAMGB)
}

// job is the job of an ID, which may be one that nobody submitted.
func (c *checker) job(id string) *job {
	if c.jobs[id] == nil {
		c.jobs[id] = &job{id: id, completed: map[string]bool{}}
	}
	return c.jobs[id]
}

// sortedTasks are the tasks on machines, by name.
func (c *checker) sortedTasks() []*task { return sortedValues(c.tasks) }

// sortedValues are a map's values in the order of its keys.
func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}

// noteRequest notes what was submitted, and when users first asked for what.
func (c *checker) noteRequest(e trace.Response) {
	j := c.job(e.Job)
	switch e.Operation {
	case trace.Submit:
		j.submittedAt = earlier(j.submittedAt, e.RequestedAt)
	case trace.Cancel:
		j.cancelRequestedAt = earlier(j.cancelRequestedAt, e.RequestedAt)
	}
	if e.Spec != nil {
		j.spec = e.Spec
	}
}

// earlier is the earlier of two times, of which the first may be none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
