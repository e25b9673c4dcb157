package planning

import "cmp"

// JobTiming holds the properties of a job that determine its urgency, its forced starts and its
// completion window. Times are in seconds.
type JobTiming struct {
	// AllOrNothing is set if the tasks of the job are started together or not at all, NoDeadline
	// if the job has no deadline. Jobs with either are ordered by age alone.
	AllOrNothing, NoDeadline bool
	// Started is set if a task of the job has ever been placed.
	Started bool
	// OverdueTimeSlice is the result of IsOverdueTimeSlice for the current time: it is set while
	// overdue jobs go first.
	OverdueTimeSlice bool
	// AgeS is the time since the job was accepted.
	AgeS float64
	// EstimateS is the estimated run time of one task.
	EstimateS float64
	// DeadlineS is the age at which the job should be done.
	DeadlineS float64
	// ObjectiveS is the service-level objective of the job's class: the age at which the job
	// should be done even if it misses its deadline. Zero means that there is none.
	ObjectiveS float64
	// RemainingWork is the number of unfinished tasks times the estimated run time and the CPUs
	// of one task, in CPU-seconds.
	RemainingWork float64
}

// UrgencyClass is the first criterion in the order of jobs. Jobs with a lower number go first.
type UrgencyClass int

// The urgency classes, the most urgent first. The zero value is UrgencyOnTime.
const (
	// UrgencyOverdue means that the job is overdue, during a time slice in which overdue jobs go
	// first.
	UrgencyOverdue UrgencyClass = iota - 2
	// UrgencyMustStart means that the first tasks of the job must start now so that it starts
	// within startWithinS.
	UrgencyMustStart
	// UrgencyOnTime means that the job can meet its deadline, or is ordered by age alone.
	UrgencyOnTime
	// UrgencySlightlyLate means that the job can be done within slightlyLateFactor times its
	// deadline.
	UrgencySlightlyLate
	// UrgencyLate means that the job can be done within the objective of its class.
	UrgencyLate
	// UrgencyObjectiveMissed means that the job can't be done within the objective either.
	UrgencyObjectiveMissed
)

// Urgency orders jobs of equal priority. If there is more work than can be done, most jobs meet
// their deadlines if the jobs that can no longer meet theirs go last, and among the others the
// one with the least remaining work goes first. This alone would starve the largest jobs.
// Therefore the first few tasks of a job that has not started in time go first, and overdue jobs
// go first during a share of the time. Jobs of lower Class go first, among them those with less
// RemainingWork.
type Urgency struct {
	Class         UrgencyClass
	RemainingWork float64
}

const (
	// startWithinS is the time in seconds within which all jobs, even the largest, must start.
	startWithinS = 240.0
	// forceStartAfterS is the age in seconds from which the start of a job is forced. The rest of
	// startWithinS is left for machines to be launched and to boot.
	forceStartAfterS = startWithinS / 2
	// overdueFactor is the multiple of its deadline after which a job is overdue, but not before
	// startWithinS. It ensures that no job waits forever for jobs that arrive later.
	overdueFactor = 3
	// slightlyLateFactor is the multiple of its deadline within which a job is slightly late.
	slightlyLateFactor = 1.5

	// Overdue jobs go first during the first overdueSliceS seconds of every overdueCycleS
	// seconds. If they always went first, an overload of them would make all other jobs late.
	overdueSliceS, overdueCycleS = 5, 20
)

// ForcedStartTasks is the number of tasks with which a job is started that must start.
const ForcedStartTasks = 2

// IsOverdueTimeSlice reports whether overdue jobs go first at a Unix time in seconds.
func IsOverdueTimeSlice(second int64) bool { return second%overdueCycleS < overdueSliceS }

// Urgency returns the urgency of the job. Jobs that are ordered by age alone get the zero value.
func (j *JobTiming) Urgency() Urgency {
	switch {
	case j.isOrderedByAge():
		return Urgency{}
	case j.HasOverduePriority():
		return Urgency{Class: UrgencyOverdue} // without RemainingWork, so that the oldest job goes first
	case j.MustStart():
		return Urgency{Class: UrgencyMustStart}
	}
	return Urgency{Class: j.deadlineClass(), RemainingWork: j.RemainingWork}
}

// deadlineClass returns the class of the job by the time at which it is done if its tasks start
// now.
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

// completionAgeS returns the age of the job when tasks that start now are done, in seconds.
func (j *JobTiming) completionAgeS() float64 { return j.AgeS + j.EstimateS }

func (j *JobTiming) isOrderedByAge() bool { return j.AllOrNothing || j.NoDeadline }

// IsOverdue reports whether the job is older than overdueFactor times its deadline, and than
// startWithinS.
func (j *JobTiming) IsOverdue() bool {
	return !j.isOrderedByAge() && j.AgeS > max(startWithinS, overdueFactor*j.DeadlineS)
}

// HasOverduePriority reports whether the job is overdue, during a time slice in which overdue
// jobs go first.
func (j *JobTiming) HasOverduePriority() bool { return j.OverdueTimeSlice && j.IsOverdue() }

// MustStart reports whether the first tasks of the job must start now: none has ever been
// placed, and the job is older than forceStartAfterS.
func (j *JobTiming) MustStart() bool {
	return !j.isOrderedByAge() && !j.Started && j.AgeS > forceStartAfterS
}

// ForcedTaskCount returns how many tasks of the job are assigned even without capacity for them,
// so that they take the next cells that become free. It returns zero if the job has pending
// tasks, which are assigned but not placed yet.
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

// Compare returns a negative number if u goes before v, a positive one if v goes before u, and
// zero if they are equally urgent.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Class, v.Class), cmp.Compare(u.RemainingWork, v.RemainingWork))
}

// These constants determine the completion window of an array. Times are in seconds.
const (
	// windowRunTimes is the length of the window in run times of a task. With more than one, the
	// machines that are launched for the array run several tasks each.
	windowRunTimes = 2
	// minWindowS is the least window, except close to a deadline. It gives short tasks enough
	// time for launched machines to be worth their price.
	minWindowS = 30
	// windowDeadlineShare limits the window to a share of the time to the deadline, since the
	// estimates of run times are inexact.
	windowDeadlineShare = 0.6
	// minDeadlineWindowS is the least value of that limit.
	minDeadlineWindowS = 10
)

// CompletionWindowS returns the time in seconds within which the waiting tasks of an array should
// be done. It lets the autoscaler launch few machines rather than many for a short time. It is
// zero for all-or-nothing jobs, whose tasks need machines at the same time.
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
