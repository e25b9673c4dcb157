package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// job is a job that is not archived, with its task groups.
type job struct {
	id          string
	revision    uint64
	finalState  record.FinalState
	acceptedAt  time.Time
	spec        *wire.Job
	taskSize    scheduling.Resources
	team        scheduling.TeamIndex
	groups      []*taskGroup
	groupOfTask map[int32]*taskGroup // of each task that is assigned and not done

	inActiveJobs bool // listed in catalog.unfinished
	// unreadable are the keys of its records that can't be decoded.
	unreadableKeys     map[string]bool
	equivalenceClass   string // what jobs alike in need and permissions share
	nextGroupNumber    int
	assignedAt         time.Time
	finalWriteInFlight bool            // a write of the final state is in flight
	failedMachines     map[string]bool // machines on which tasks of it failed
	retryAt            time.Time       // nothing of it is placed before then

	// Of a gang: the last attempt that was seen to run, that can't be completed, that
	// was sent a stop; and whether a task of it, and so all, is done.
	startedAttempt, failedAttempt, stoppedAttempt uint64
	gangCompleted                                 bool
	// incompleteSince is since when only some tasks of a gang's attempt have been bound.
	incompleteSince time.Time
}

// newGroupNumber is the number of a task group that the job has never had.
func (j *job) newGroupNumber() int {
	for _, group := range j.groups {
		j.nextGroupNumber = max(j.nextGroupNumber, group.number+1)
	}
	j.nextGroupNumber++
	return j.nextGroupNumber - 1
}

// countAssignedTasks counts the tasks that are or were assigned to partitions, and those of them
// that are done.
func (j *job) countAssignedTasks() (n, finished int) {
	for _, group := range j.groups {
		n += len(group.bindings) + group.doneTasks
		finished += group.doneTasks
	}
	return n, finished
}

// hasWaitingTasks tells whether tasks of the job have not been assigned yet, or are throttled.
func (j *job) hasWaitingTasks() bool {
	n := 0
	for _, group := range j.groups {
		if group.throttle != 0 {
			return true
		}
		n += len(group.bindings) + group.doneTasks
	}
	return n < j.spec.Tasks
}

// unplacedTasks counts the tasks that are assigned and neither bound nor done.
func (j *job) countUnplacedTasks() int {
	n := 0
	for _, group := range j.groups {
		n += len(group.bindings) - group.boundTaskCount()
	}
	return n
}

// hasStarted tells whether a task of the job has ever been bound.
func (j *job) hasStarted() bool {
	for _, group := range j.groups {
		if group.doneTasks > 0 {
			return true
		}
		for i := range group.bindings {
			if group.bindings[i].attempt > 0 {
				return true
			}
		}
	}
	return false
}

// isArchivable tells whether a job is final and has no task groups left. The replica has all
// changes up to cursor.
func (j *job) isArchivable(cursor uint64) bool {
	return j.finalState != record.Unfinished && len(j.groups) == 0 && j.revision <= cursor
}

// releaseDetails drops what a final job needs no more; its final state is kept for ever. The
// replica has all changes up to cursor.
func (j *job) releaseDetails(cursor uint64) {
	if j.isArchivable(cursor) {
		j.spec, j.groups, j.groupOfTask = nil, nil, nil
	}
}

// markUnreadable notes that a record of the job can't be decoded.
func (j *job) markUnreadable(key string) {
	if j.unreadableKeys == nil {
		j.unreadableKeys = map[string]bool{}
	}
	j.unreadableKeys[key] = true
}

// markReadable notes that a record of the job can be decoded, or is gone.
func (j *job) markReadable(key string) { delete(j.unreadableKeys, key) }

// hasUnreadableRecords tells whether a record of the job can't be decoded.
func (j *job) hasUnreadableRecords() bool { return len(j.unreadableKeys) > 0 }
