package planning

import "cmp"

// JobOrder is what the order of jobs depends on. Times are in seconds.
type JobOrder struct {
	// AllOrNothing jobs are started together or not at all; like those without a
	// deadline they go by their age alone.
	AllOrNothing, NoDeadline bool
	Started                  bool // a task has been placed before
	OverdueTurn              bool // of those that have waited too long, see Turn
	AgeS                     float64
	EstimateS                float64 // of one task's run time
	DeadlineS                float64
	ObjectiveS               float64 // in which it should be done however late it is; 0: none
	RemainingWork            float64 // work: unfinished tasks, their estimates and CPUs
}

// Urgency orders jobs of one priority. When more is asked than can be done, the
// most jobs are in time if those that can't be any more stand back, and of the
// others the one with the least left to do goes first. That alone would leave the
// largest jobs to wait for ever. So a job that has not begun in time comes forward
// with its first few tasks, and those that have waited too long have a share of
// the time in which they go first.
type Urgency struct {
	// Lateness is -2: has waited too long, and it is its turn; -1: must begin; 0: in
	// time, or has no deadline; 1: late by half as much again; 2: late, and may
	// still be done within what its class is meant to be; 3: hopeless.
	Lateness      int
	RemainingWork float64
}

// The largest jobs, too, must begin within four minutes, and no job may wait for
// ever for others that come later.
const (
	startWithinS = 240.0
	// forceStartAfterS leaves the machines time to be rented and to boot.
	forceStartAfterS = startWithinS / 2
	// waitFactor is how many times its deadline a job that has begun may be over
	// before it has waited too long.
	waitFactor = 3

	latenessOverdue, latenessMustStart = -2, -1

	// Those that have waited too long go first for turnOf seconds in turnEvery:
	// with more of them than can be done, all others would be late as well.
	overdueTurnS, overdueCycleS = 5, 20
)

// MinStartTasks is how many tasks of a job that must begin come forward.
const MinStartTasks = 2

// IsOverdueTurn tells whether it is the turn of those that have waited too long, at a time
// of day in seconds.
func IsOverdueTurn(second int64) bool { return second%overdueCycleS < overdueTurnS }

// Urgency of the job now.
func (j *JobOrder) Urgency() Urgency {
	if j.AllOrNothing || j.NoDeadline {
		return Urgency{}
	}
	if j.HasOverdueTurn() {
		return Urgency{Lateness: latenessOverdue} // the oldest first
	}
	if j.MustStart() {
		return Urgency{Lateness: latenessMustStart}
	}
	u := Urgency{RemainingWork: j.RemainingWork}
	switch {
	case j.AgeS+j.EstimateS <= j.DeadlineS:
	case j.AgeS+j.EstimateS <= 1.5*j.DeadlineS:
		u.Lateness = 1
	case j.AgeS+j.EstimateS <= j.ObjectiveS:
		u.Lateness = 2
	default:
		u.Lateness = 3
	}
	return u
}

// HasOverdueTurn tells whether the job has waited too long and it is the turn of such jobs.
func (j *JobOrder) HasOverdueTurn() bool {
	return !j.AllOrNothing && !j.NoDeadline && j.OverdueTurn && j.AgeS > max(startWithinS, waitFactor*j.DeadlineS)
}

// ForcedTasks is how many tasks of the job are dealt even where there is no room, so
// that they take the next cells that come free. pending are dealt and not placed.
func (j *JobOrder) ForcedTasks(pending int) int {
	switch {
	case pending > 0:
	case j.HasOverdueTurn():
		return MinTasksPerPartition
	case j.MustStart():
		return MinStartTasks
	}
	return 0
}

// MustStart tells whether nothing of the job has ever been placed, and it is time.
func (j *JobOrder) MustStart() bool {
	return !j.AllOrNothing && !j.NoDeadline && !j.Started && j.AgeS > forceStartAfterS
}

// Compare is negative if u goes before v.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Lateness, v.Lateness), cmp.Compare(u.RemainingWork, v.RemainingWork))
}

// WindowS is the time within which an array's waiting tasks should be through, so
// that few machines do rather than many for a moment.
func (j *JobOrder) WindowS() float64 {
	if j.AllOrNothing {
		return 0
	}
	w := max(2*j.EstimateS, 30)
	if !j.NoDeadline {
		until := j.DeadlineS
		if j.AgeS+j.EstimateS > 1.5*j.DeadlineS {
			until = max(until, j.ObjectiveS)
		}
		w = min(w, max((until-j.AgeS)*0.6, 10))
	}
	return w
}
