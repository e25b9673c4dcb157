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
	groupOfTask map[int32]*taskGroup // group of each task that is assigned and not done

	inActiveJobs bool // the job is listed in catalog.activeJobs
	// unreadableKeys holds the keys of the job's records that can't be decoded.
	unreadableKeys     map[string]bool
	equivalenceClass   string // see function equivalenceClass
	nextGroupNumber    int
	assignedAt         time.Time
	finalWriteInFlight bool            // a write of the final state is in flight
	failedMachines     map[string]bool // machines on which tasks of the job failed
	retryAt            time.Time       // no task of the job is placed before this time

	// The following fields are for gangs. startedAttempt is the last attempt with a running
	// task, failedAttempt the last one that can't be completed, and stoppedAttempt the last one
	// whose tasks were sent stop commands. gangCompleted is set once a task of the gang is done,
	// which completes all of them.
	startedAttempt, failedAttempt, stoppedAttempt uint64
	gangCompleted                                 bool
	// incompleteSince is the time since which only some tasks of a gang's attempt have been
	// bound; zero if all or none are.
	incompleteSince time.Time
}

// newGroupNumber returns a task group number that the job has not used before.
func (j *job) newGroupNumber() int {
	number := j.peekGroupNumber()
	j.nextGroupNumber++
	return number
}

// peekGroupNumber returns the number that newGroupNumber returns next.
func (j *job) peekGroupNumber() int {
	for _, group := range j.groups {
		j.nextGroupNumber = max(j.nextGroupNumber, group.number+1)
	}
	return j.nextGroupNumber
}

// isAssigned reports whether all tasks of the job are or were assigned to partitions.
func (j *job) isAssigned() bool {
	assigned, _ := j.countAssignedTasks()
	return assigned >= j.spec.TaskCount
}

// countAssignedTasks returns the number of tasks that are or were assigned to partitions, and
// how many of these are done.
func (j *job) countAssignedTasks() (assigned, done int) {
	for _, group := range j.groups {
		assigned += len(group.bindings) + group.doneTasks
		done += group.doneTasks
	}
	return assigned, done
}

// hasWaitingTasks reports whether some tasks of the job are not assigned yet, or are in a
// throttled group.
func (j *job) hasWaitingTasks() bool {
	n := 0
	for _, group := range j.groups {
		if group.throttle != 0 {
			return true
		}
		n += len(group.bindings) + group.doneTasks
	}
	return n < j.spec.TaskCount
}

// countUnplacedTasks returns the number of tasks that are assigned but neither bound nor done.
func (j *job) countUnplacedTasks() int {
	n := 0
	for _, group := range j.groups {
		n += len(group.bindings) - group.boundTaskCount()
	}
	return n
}

// hasStarted reports whether a task of the job has ever been bound.
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

// isArchivable reports whether the job is final and has no task groups left. cursor is the
// revision up to which the replica has all changes.
func (j *job) isArchivable(cursor uint64) bool {
	return j.finalState != record.StateUnfinished && len(j.groups) == 0 && j.revision <= cursor
}

// releaseDetails drops the specification and the task groups of an archivable job. Its final
// state is kept forever. cursor is the revision up to which the replica has all changes.
func (j *job) releaseDetails(cursor uint64) {
	if j.isArchivable(cursor) {
		j.spec, j.groups, j.groupOfTask = nil, nil, nil
	}
}

// markUnreadable records that a record of the job can't be decoded.
func (j *job) markUnreadable(key string) {
	if j.unreadableKeys == nil {
		j.unreadableKeys = map[string]bool{}
	}
	j.unreadableKeys[key] = true
}

// markReadable records that a record of the job can be decoded or has been deleted.
func (j *job) markReadable(key string) { delete(j.unreadableKeys, key) }

// hasUnreadableRecords reports whether any record of the job can't be decoded.
func (j *job) hasUnreadableRecords() bool { return len(j.unreadableKeys) > 0 }
