package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
)

type binding struct {
	task        int32
	attempt     uint64
	machine     *machine // nil: Pending
	incarnation uint64
}

type taskGroup struct {
	key                  string
	index                scheduling.GroupIndex
	number               int
	job                  *job
	revision             uint64
	partition            int
	zone                 string
	guaranteed           bool
	done                 int
	throttle             int // see record.Group
	bindings             []binding
	boundCount           int // entries that name a machine
	listPosition         int // one more than its place among its part's records; 0: in none
	writing              bool
	write                *store.Write    // its owner's write, while that waits or is on its way
	hasUnstoredEnds      bool            // attempts have ended that are not stored as ended
	endsPendingSince     time.Time       // since when ended attempts wait to be stored
	bindingsPendingSince time.Time       // since when new bindings wait to be stored
	inPartitionSince     time.Time       // when it came to its part
	throttledAt          time.Time       // when the leader last changed its cap
	size                 int             // of its stored form
	encoding             record.Encoding // in which it is stored
	retryWriteAt         time.Time       // not written before then: it was refused as invalid
}

func (group *taskGroup) task(num int32) scheduling.Task {
	return scheduling.Task{Group: group.index, Number: num}
}

func (group *taskGroup) binding(num int32) *binding {
	for i := range group.bindings {
		if group.bindings[i].task == num {
			return &group.bindings[i]
		}
	}
	return nil
}

// binds tells whether an attempt of a task is bound to a machine already.
func (group *taskGroup) binds(num int32, attempt uint64, m *machine) bool {
	bound := group.binding(num)
	return bound != nil && bound.machine == m && bound.attempt == attempt
}

// cancelWrite gives up a write of the record's owner whose conditions have changed.
func (group *taskGroup) cancelWrite() {
	if group.write != nil {
		group.write.Cancel()
	}
}

// boundTasks counts the tasks that are on machines by what is stored.
func (group *taskGroup) boundTasks() int {
	return group.boundCount
}

// allowedTasks is how many tasks may be bound at a time.
func (group *taskGroup) allowedTasks() int {
	if group.throttle == 0 {
		return len(group.bindings)
	}
	return min(group.throttle-1, len(group.bindings))
}

// quotaTasks is how many tasks count for the team's limit: those that may be bound
// and those that still are; of a job that is over only the latter, once all changes
// up to its end are known (to cursor). A cancellation of our own is known before a
// binding that was stored just before it: counted for nothing until then, the task
// ran beside what its room was given to.
func (group *taskGroup) quotaTasks(cursor uint64) int {
	if group.job.finalState != record.Unfinished && group.job.revision <= cursor {
		return group.boundTasks()
	}
	return max(group.boundTasks(), group.allowedTasks())
}

// exceedsThrottle tells whether a bound task is beyond what may be bound.
func (group *taskGroup) exceedsThrottle(num int32) bool {
	if group.throttle == 0 {
		return false
	}
	n := 0
	for i := range group.bindings {
		if group.bindings[i].machine == nil {
			continue
		}
		n++
		if group.bindings[i].task == num {
			return n > group.throttle-1
		}
	}
	return false
}

// split is the record in two, by which tasks stay and which leave. Of a record that may
// not run all of its tasks those leave that may, and with them so much of its cap: two
// records with one's cap would count, and run, more than it allows.
func (group *taskGroup) split(stay, leave []binding) (left, moved taskGroup) {
	left, moved = *group, *group
	left.bindings, moved.bindings = stay, leave
	if group.throttle != 0 && len(stay) > 0 {
		left.throttle, moved.throttle = group.throttle-len(leave), 0
	}
	return left, moved
}

func (group *taskGroup) claim() scheduling.Claim {
	return scheduling.Claim{Priority: group.job.spec.Priority, Guaranteed: group.guaranteed, Team: group.job.team}
}

// record is the record's stored content with other entries.
func (group *taskGroup) record(done int, entries []binding) *record.TaskGroup {
	v := &record.TaskGroup{Partition: group.partition, Zone: group.zone, Guaranteed: group.guaranteed, Done: done, Throttle: group.throttle, Tasks: make([]record.Binding, 0, len(entries))}
	for _, bound := range entries {
		x := record.Binding{Task: bound.task, Attempt: bound.attempt}
		if bound.machine != nil {
			x.Machine, x.Incarnation, x.Addr = bound.machine.name, bound.incarnation, bound.machine.addr
		}
		v.Tasks = append(v.Tasks, x)
	}
	return v
}

// encodeGroup is a record with other entries, in the form that records are written in now.
func (c *clusterState) encodeGroup(group *taskGroup, done int, entries []binding) record.Content {
	return group.record(done, entries).Encode(c.encoding())
}

// maxGroupBindings is how many tasks a record has at the most.
const maxGroupBindings = 128

// maxBindingsFor keeps a record within the state service's limit of a value, by the usual
// form of an entry. One that gets larger all the same is split (splitToFit).
func maxBindingsFor(valueKB float64) int {
	const perEntry = 72
	return max(1, min(maxGroupBindings, int(valueKB*1024-128)/perEntry))
}

// maxValueBytes is how large a stored value may be.
func (c *clusterState) maxValueBytes() int { return int(c.cfg.Settings.Store.ValueKB * 1024) }

// splitToFit is a record's stored form, in as many pieces as the limit of a value asks for: one
// that was written while more was allowed, or whose names are long, is split when it is
// written again. The first piece is the record itself.
func (c *clusterState) splitToFit(group *taskGroup, done int, entries []binding) []record.Content {
	v := c.encodeGroup(group, done, entries)
	if v.Size() <= c.maxValueBytes() || len(entries) < 2 {
		return []record.Content{v}
	}
	half := len(entries) / 2
	stay, leave := entries[:half], entries[half:]
	first, second := *group, *group
	if group.throttle != 0 { // together no more than before: each keeps what is bound
		bound := 0
		for i := range stay {
			if stay[i].machine != nil {
				bound++
			}
		}
		rest := 0
		for i := range leave {
			if leave[i].machine != nil {
				rest++
			}
		}
		free := max(0, group.throttle-1-bound-rest)
		here := min(free, len(stay)-bound)
		first.throttle, second.throttle = 1+bound+here, 1+rest+min(free-here, len(leave)-rest)
	}
	return append(c.splitToFit(&first, done, stay), c.splitToFit(&second, 0, leave)...)
}
