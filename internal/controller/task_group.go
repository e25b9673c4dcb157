package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
)

// binding is a task of a task group and the machine that it is bound to, if any.
type binding struct {
	task        int32
	attempt     uint64
	machine     *machine // nil: pending
	incarnation uint64
}

// boundAttempt is the attempt that the binding is for.
func (b *binding) boundAttempt() boundAttempt {
	return boundAttempt{attempt: b.attempt, machine: b.machine, incarnation: b.incarnation}
}

// taskGroup is some of a job's tasks, which are assigned to a partition together. Its owner
// binds them to machines. One stored record holds it.
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
	boundCount           int // bindings that name a machine
	listPosition         int // one more than its index among its partition's groups; 0: in none
	writeInFlight        bool
	pendingWrite         *store.Write    // its owner's write, while that waits or is on its way
	hasUnstoredEnds      bool            // attempts have ended that are not stored as ended
	endsPendingSince     time.Time       // since when ended attempts wait to be stored
	bindingsPendingSince time.Time       // since when new bindings wait to be stored
	partitionAssignedAt  time.Time       // since when it is assigned to its partition
	throttleChangedAt    time.Time       // when the leader last changed its throttle
	storedSize           int             // of its stored form
	encoding             record.Encoding // in which it is stored
	retryWriteAt         time.Time       // not written before then: it was refused as invalid
}

// task is the identifier of a task in the cells of partitions.
func (group *taskGroup) task(number int32) scheduling.TaskID {
	return scheduling.TaskID{Group: group.index, Number: number}
}

// binding is a task's binding; nil: the task is not in this group.
func (group *taskGroup) binding(number int32) *binding {
	for i := range group.bindings {
		if group.bindings[i].task == number {
			return &group.bindings[i]
		}
	}
	return nil
}

// binds tells whether an attempt of a task is bound to a machine already.
func (group *taskGroup) isBoundTo(number int32, attempt uint64, m *machine) bool {
	bound := group.binding(number)
	return bound != nil && bound.machine == m && bound.attempt == attempt
}

// cancelWrite gives up a write of the group's owner whose conditions have changed.
func (group *taskGroup) cancelWrite() {
	if group.pendingWrite != nil {
		group.pendingWrite.Cancel()
	}
}

// boundTaskCount counts the tasks that are on machines by what is stored.
func (group *taskGroup) boundTaskCount() int { return group.boundCount }

// bindLimit is how many tasks may be bound at a time.
func (group *taskGroup) bindLimit() int {
	if group.throttle == 0 {
		return len(group.bindings)
	}
	return min(group.throttle-1, len(group.bindings))
}

// quotaTaskCount is how many tasks count for the team's quota: those that may be bound and those
// that still are; of a final job only the latter, once all changes up to its end are known (to
// cursor). A cancellation by this controller is known before a binding that was stored just
// before it: counted for nothing until then, the task ran beside what its room was given to.
func (group *taskGroup) quotaTaskCount(cursor uint64) int {
	if group.job.finalState != record.Unfinished && group.job.revision <= cursor {
		return group.boundTaskCount()
	}
	return max(group.boundTaskCount(), group.bindLimit())
}

// exceedsThrottle tells whether a bound task is beyond what may be bound.
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

// split is the group in two, by which tasks stay and which leave. Of a throttled group those
// tasks leave that may run, and with them so much of its throttle: two groups with the
// throttle of one would count, and run, more than it allows.
func (group *taskGroup) split(stay, leave []binding) (left, moved taskGroup) {
	left, moved = *group, *group
	left.bindings, moved.bindings = stay, leave
	if group.throttle != 0 && len(stay) > 0 {
		left.throttle, moved.throttle = group.throttle-len(leave), 0
	}
	return left, moved
}

// claim is by what the group's tasks contend for cells.
func (group *taskGroup) claim() scheduling.Claim {
	return scheduling.Claim{Priority: group.job.spec.Priority, Guaranteed: group.guaranteed, Team: group.job.team}
}

// record is the group's stored content with other bindings.
func (group *taskGroup) toRecord(done int, bindings []binding) *record.TaskGroup {
	content := &record.TaskGroup{
		Partition: group.partition, Zone: group.zone, Guaranteed: group.guaranteed,
		Done: done, Throttle: group.throttle, Tasks: make([]record.Binding, 0, len(bindings)),
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
