package core

import "cmp"

// Job is what the order of jobs depends on. Times are in seconds.
type Job struct {
	Level int
	// Whole jobs are started together or not at all; like those without a
	// deadline they go by their age alone.
	Whole, NoDeadline bool
	Begun             bool // a task has been placed before
	Age               float64
	Estimate          float64 // of one task's run time
	Deadline          float64
	Left              float64 // work: unfinished tasks, their estimates and CPUs
}

// Urgency orders jobs of one priority. When more is asked than can be done, the
// most jobs are in time if those that can't be any more stand back, and of the
// others the one with the least left to do goes first. That alone would leave the
// largest jobs to wait for ever, so what has waited too long comes forward.
type Urgency struct {
	// Late is -1: waited too long; 0: in time, or has no deadline; 1: late by
	// half as much again; 2: hopeless.
	Late int
	Left float64
}

// The largest jobs, too, must begin within four minutes, and no job may wait for
// ever for others that come later.
const (
	beginWithin = 240.0
	// comeForward leaves the machines time to be rented and to boot.
	comeForward = beginWithin / 2
	// waitFactor is how many times its deadline a job that has begun may be over
	// before it comes forward.
	waitFactor = 3
)

// Urgency of the job now.
func (j *Job) Urgency() Urgency {
	if j.Whole || j.NoDeadline {
		return Urgency{}
	}
	if j.Age > comeForward && !j.Begun || j.Age > max(beginWithin, waitFactor*j.Deadline) {
		return Urgency{Late: -1} // the oldest first
	}
	u := Urgency{Left: j.Left}
	switch {
	case j.Age+j.Estimate <= j.Deadline:
	case j.Age+j.Estimate <= 1.5*j.Deadline:
		u.Late = 1
	default:
		u.Late = 2
	}
	return u
}

// Compare is negative if u goes before v.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Late, v.Late), cmp.Compare(u.Left, v.Left))
}

// Window is the time within which an array's waiting tasks should be through, so
// that few machines do rather than many for a moment.
func (j *Job) Window() float64 {
	if j.Whole {
		return 0
	}
	w := max(2*j.Estimate, 30)
	if !j.NoDeadline {
		w = min(w, max((j.Deadline-j.Age)*0.6, 10))
	}
	return w
}
