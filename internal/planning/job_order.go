package planning

import "cmp"

// JobTiming is what the order of jobs depends on. Times are in seconds.
type JobTiming struct {
	// AllOrNothing jobs are started together or not at all. Like those without a deadline
	// they are ordered by age alone.
	AllOrNothing, NoDeadline bool
	// Started is set once a task of the job has been placed.
	Started bool
	// OverdueTimeSlice is set while it is the turn of overdue jobs, see IsOverdueTimeSlice.
	OverdueTimeSlice bool
	AgeS             float64
	// EstimateS is the estimated run time of one task.
	EstimateS float64
	DeadlineS float64
	// ObjectiveS is the service-level objective of the job's class: the time in which it
	// should be done however late it is. Zero means that there is none.
	ObjectiveS float64
	// RemainingWork is the unfinished tasks times their estimated run time and CPUs.
	RemainingWork float64
}

// Lateness is how a job stands with its deadline; the lowest goes first.
type UrgencyClass int

// The values of Lateness.
const (
	// Overdue jobs have waited too long, and it is the turn of such jobs.
	UrgencyOverdue UrgencyClass = iota - 2
	// MustStart jobs have to start now to have started in time.
	UrgencyMustStart
	// UrgencyOnTime jobs can meet their deadline, or have none.
	UrgencyOnTime
	// UrgencySlightlyLate jobs can be done within slightlyLateFactor times their deadline.
	UrgencySlightlyLate
	// Late jobs can be done within their class's objective.
	UrgencyLate
	// Hopeless jobs can't.
	UrgencyObjectiveMissed
)

// Urgency orders jobs of one priority. When there is more work than can be done, most
// jobs are in time if those that can't be any more go last, and of the others the one
// with the least work left goes first. That alone would starve the largest jobs. So the
// first few tasks of a job that has not started in time go first, and jobs that have
// waited too long have a share of the time in which they do.
type Urgency struct {
	Class         UrgencyClass
	RemainingWork float64
}

const (
	// startWithinS is the time in which the largest jobs, too, have to start, in seconds.
	startWithinS = 240.0
	// forceStartAfterS is when a start is forced: the rest of the time is for machines to
	// be launched and to boot.
	forceStartAfterS = startWithinS / 2
	// overdueFactor is how many times its deadline a job may wait before it is overdue: no
	// job may wait for ever for others that come later.
	overdueFactor = 3
	// slightlyLateFactor is how many times its deadline a job that is slightly late takes.
	slightlyLateFactor = 1.5

	// Overdue jobs go first for overdueSliceS seconds in every overdueCycleS: with more of
	// them than can be done, all others would be late as well.
	overdueSliceS, overdueCycleS = 5, 20
)

// ForcedStartTasks is how many tasks of a job that must start are forced.
const ForcedStartTasks = 2

// IsOverdueTimeSlice reports whether it is the turn of overdue jobs at a time in seconds.
func IsOverdueTimeSlice(second int64) bool { return second%overdueCycleS < overdueSliceS }

// Urgency returns the urgency of the job now.
func (j *JobTiming) Urgency() Urgency {
	switch {
	case j.isOrderedByAge():
		return Urgency{}
	case j.HasOverduePriority():
		return Urgency{Class: UrgencyOverdue} // without remaining work: the oldest goes first
	case j.MustStart():
		return Urgency{Class: UrgencyMustStart}
	}
	return Urgency{Class: j.deadlineClass(), RemainingWork: j.RemainingWork}
}

// lateness is how the job will stand with its deadline if its tasks start now.
func (j *JobTiming) deadlineClass() UrgencyClass {
	done := j.completionAgeS()
	switch {
	case done <= j.DeadlineS:
		return UrgencyOnTime
	case done <= slightlyLateFactor*j.DeadlineS:
		return UrgencySlightlyLate
	case done <= j.ObjectiveS:
		return UrgencyLate
	}
	return UrgencyObjectiveMissed
}

// completionAgeS is the job's age when tasks that start now are done.
func (j *JobTiming) completionAgeS() float64 { return j.AgeS + j.EstimateS }

func (j *JobTiming) isOrderedByAge() bool { return j.AllOrNothing || j.NoDeadline }

// HasOverduePriority reports whether the job is overdue and it is the turn of such jobs.
func (j *JobTiming) HasOverduePriority() bool {
	return !j.isOrderedByAge() && j.OverdueTimeSlice && j.AgeS > max(startWithinS, overdueFactor*j.DeadlineS)
}

// MustStart reports whether nothing of the job has ever been placed, and it is time.
func (j *JobTiming) MustStart() bool {
	return !j.isOrderedByAge() && !j.Started && j.AgeS > forceStartAfterS
}

// ForcedTaskCount returns how many tasks of the job are assigned even where there is no room,
// so that they take the next cells that become free: none while there are assigned tasks
// that are not placed yet, which is what pending counts.
func (j *JobTiming) ForcedTaskCount(pending int) int {
	switch {
	case pending > 0:
		return 0
	case j.HasOverduePriority():
		return MinTasksPerPartition
	case j.MustStart():
		return ForcedStartTasks
	}
	return 0
}

// Compare is negative if u goes before v.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Class, v.Class), cmp.Compare(u.RemainingWork, v.RemainingWork))
}

// The window of an array is a few run times of its tasks, so that machines which are
// launched for it are used more than once, but at least a time in which that pays, and no
// more than a part of the time to its deadline, as estimates are not exact.
const (
	windowRunTimes      = 2
	minWindowS          = 30
	windowDeadlineShare = 0.6
	minDeadlineWindowS  = 10
)

// CompletionWindowS returns the time in seconds within which an array's waiting tasks should be
// done, so that few machines are launched rather than many for a short time. It is zero
// for jobs that are started together.
func (j *JobTiming) CompletionWindowS() float64 {
	if j.AllOrNothing {
		return 0
	}
	window := max(windowRunTimes*j.EstimateS, minWindowS)
	if j.NoDeadline {
		return window
	}
	until := j.DeadlineS
	if j.completionAgeS() > slightlyLateFactor*j.DeadlineS {
		until = max(until, j.ObjectiveS)
	}
	return min(window, max((until-j.AgeS)*windowDeadlineShare, minDeadlineWindowS))
}
