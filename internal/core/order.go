package core

import "cmp"

// Job is what the order of jobs depends on. Times are in seconds.
type Job struct {
	// Whole jobs are started together or not at all; like those without a
	// deadline they go by their age alone.
	Whole, NoDeadline bool
	Begun             bool // a task has been placed before
	Turn              bool // of those that have waited too long, see Turn
	Age               float64
	Estimate          float64 // of one task's run time
	Deadline          float64
	Within            float64 // in which it should be done however late it is; 0: none
	Left              float64 // work: unfinished tasks, their estimates and CPUs
}

// Urgency orders jobs of one priority. When more is asked than can be done, the
// most jobs are in time if those that can't be any more stand back, and of the
// others the one with the least left to do goes first. That alone would leave the
// largest jobs to wait for ever. So a job that has not begun in time comes forward
// with its first few tasks, and those that have waited too long have a share of
// the time in which they go first.
type Urgency struct {
	// Late is -2: has waited too long, and it is its turn; -1: must begin; 0: in
	// time, or has no deadline; 1: late by half as much again; 2: late, and may
	// still be done within what its class is meant to be; 3: hopeless.
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
	// before it has waited too long.
	waitFactor = 3

	hasTurn, mustBegin = -2, -1

	// Those that have waited too long go first for turnOf seconds in turnEvery:
	// with more of them than can be done, all others would be late as well.
	turnOf, turnEvery = 5, 20
)

// BeginTasks is how many tasks of a job that must begin come forward.
const BeginTasks = 2

// Turn tells whether it is the turn of those that have waited too long, at a time
// of day in seconds.
func Turn(second int64) bool { return second%turnEvery < turnOf }

// Urgency of the job now.
func (j *Job) Urgency() Urgency {
	if j.Whole || j.NoDeadline {
		return Urgency{}
	}
	if j.HasTurn() {
		return Urgency{Late: hasTurn} // the oldest first
	}
	if j.MustBegin() {
		return Urgency{Late: mustBegin}
	}
	u := Urgency{Left: j.Left}
	switch {
	case j.Age+j.Estimate <= j.Deadline:
	case j.Age+j.Estimate <= 1.5*j.Deadline:
		u.Late = 1
	case j.Age+j.Estimate <= j.Within:
		u.Late = 2
	default:
		u.Late = 3
	}
	return u
}

// HasTurn tells whether the job has waited too long and it is the turn of such jobs.
func (j *Job) HasTurn() bool {
	return !j.Whole && !j.NoDeadline && j.Turn && j.Age > max(beginWithin, waitFactor*j.Deadline)
}

// MustDeal is how many tasks of the job are dealt even where there is no room, so
// that they take the next cells that come free. pending are dealt and not placed.
func (j *Job) MustDeal(pending int) int {
	switch {
	case pending > 0:
	case j.HasTurn():
		return LeastDealt
	case j.MustBegin():
		return BeginTasks
	}
	return 0
}

// MustBegin tells whether nothing of the job has ever been placed, and it is time.
func (j *Job) MustBegin() bool {
	return !j.Whole && !j.NoDeadline && !j.Begun && j.Age > comeForward
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
		until := j.Deadline
		if j.Age+j.Estimate > 1.5*j.Deadline {
			until = max(until, j.Within)
		}
		w = min(w, max((until-j.Age)*0.6, 10))
	}
	return w
}
