package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
)

// binding is a task of a task group with the machine that it is bound to, if any.
type binding struct {
	task        int32
	attempt     uint64
	machine     *machine // nil if the task is not bound
	incarnation uint64
}

// boundAttempt returns the attempt, machine and incarnation that identify the binding.
func (b *binding) boundAttempt() boundAttempt {
	return boundAttempt{attempt: b.attempt, machine: b.machine, incarnation: b.incarnation}
}

// taskGroup is a set of tasks of one job that are assigned to a partition together. The owner
// of the partition binds them to machines. A task group is stored as one record.
type taskGroup struct {
	key                  string
	index                scheduling.TaskGroupIndex
	number               int
	job                  *job
	revision             uint64
	partition            int
	zone                 string
	guaranteed           bool
	doneTasks            int
	throttle             int // see record.TaskGroup
	bindings             []binding
	boundCount           int // number of bindings with a machine
	listPosition         int // one more than the index in the partition's list of groups; 0 if in no list
	writeInFlight        bool
	pendingWrite         *store.Write    // the owner's write that is queued or in flight
	hasUnstoredEnds      bool            // attempts have ended whose ends are not stored yet
	endsPendingSince     time.Time       // time since which ended attempts have been waiting to be stored
	bindingsPendingSince time.Time       // time since which new bindings have been waiting to be stored
	partitionAssignedAt  time.Time       // time at which the group was assigned to its partition or zone
	throttleChangedAt    time.Time       // time at which the leader last changed the throttle
	storedSize           int             // size of the stored value in bytes
	encoding             record.Encoding // encoding of the stored value
	retryWriteAt         time.Time       // no write before this time, because the last one was rejected as invalid
}

// task returns the scheduling ID of the group's task with the given number.
func (group *taskGroup) task(number int32) scheduling.TaskID {
	return scheduling.TaskID{Group: group.index, Number: number}
}

// binding returns the binding of a task, or nil if the task is not in this group.
func (group *taskGroup) binding(number int32) *binding {
	for i := range group.bindings {
		if group.bindings[i].task == number {
			return &group.bindings[i]
		}
	}
	return nil
}

// isBoundTo reports whether the given attempt of a task is bound to the machine.
func (group *taskGroup) isBoundTo(number int32, attempt uint64, m *machine) bool {
	bound := group.binding(number)
	return bound != nil && bound.machine == m && bound.attempt == attempt
}

// cancelWrite cancels the owner's pending write of the group because its conditions have
// changed.
func (group *taskGroup) cancelWrite() {
	if group.pendingWrite != nil {
		group.pendingWrite.Cancel()
	}
}

// boundTaskCount returns the number of tasks that are bound to machines according to the stored
// record.
func (group *taskGroup) boundTaskCount() int { return group.boundCount }

// bindLimit returns how many of the group's tasks may be bound at a time.
func (group *taskGroup) bindLimit() int {
	if group.throttle == 0 {
		return len(group.bindings)
	}
	return min(group.throttle-1, len(group.bindings))
}

// quotaTaskCount returns how many of the group's tasks count toward the team's quota: the
// larger of the number that are bound and the number that may be. For a final job only bound
// tasks count, once the replica has all changes up to the job's end (cursor is the revision up
// to which it has them). A cancellation by this controller may be known before a binding that
// was stored just before it: when such a task was not counted in the meantime, it ran at the same
// time as the tasks that had been given its share of the quota.
func (group *taskGroup) quotaTaskCount(cursor uint64) int {
	if group.job.finalState != record.StateUnfinished && group.job.revision <= cursor {
		return group.boundTaskCount()
	}
	return max(group.boundTaskCount(), group.bindLimit())
}

// exceedsThrottle reports whether a bound task is beyond the number of tasks that the throttle
// allows.
func (group *taskGroup) exceedsThrottle(number int32) bool {
	if group.throttle == 0 {
		return false
	}
	n := 0
	for i := range group.bindings {
		if group.bindings[i].machine == nil {
			continue
		}
		n++
		if group.bindings[i].task == number {
			return n > group.throttle-1
		}
	}
	return false
}

// split divides the group into the tasks that stay and those that leave. If the group is throttled
// and some tasks stay, the leaving tasks are allowed to run without a throttle, and the throttle
// of the others is lowered by their number: two groups with the full throttle each would run, and
// count toward the quota, more tasks than it allows.
func (group *taskGroup) split(staying, leaving []binding) (remaining, moved taskGroup) {
	remaining, moved = *group, *group
	remaining.bindings, moved.bindings = staying, leaving
	if group.throttle != 0 && len(staying) > 0 {
		remaining.throttle, moved.throttle = group.throttle-len(leaving), 0
	}
	return remaining, moved
}

// claim returns the priority, quota guarantee and team with which the group's tasks compete for
// cells.
func (group *taskGroup) claim() scheduling.Claim {
	return scheduling.Claim{Priority: group.job.spec.Priority, Guaranteed: group.guaranteed, Team: group.job.team}
}

// toRecord returns the group's record with the given number of done tasks and the given
// bindings.
func (group *taskGroup) toRecord(done int, bindings []binding) *record.TaskGroup {
	content := &record.TaskGroup{
		Partition: group.partition, Zone: group.zone, Guaranteed: group.guaranteed,
		DoneTasks: done, Throttle: group.throttle, Tasks: make([]record.Binding, 0, len(bindings)),
	}
	for _, bound := range bindings {
		task := record.Binding{Task: bound.task, Attempt: bound.attempt}
		if bound.machine != nil {
			task.Machine, task.Incarnation, task.Addr = bound.machine.name, bound.incarnation, bound.machine.addr
		}
		content.Tasks = append(content.Tasks, task)
	}
	return content
}
