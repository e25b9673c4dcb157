package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// Gangs need room for all of their tasks in one partition, and often in one zone, within
// seconds, among arrays that take every cell as it becomes free and that a gang of their
// priority must not stop. So the leader keeps a few machines in its own partition, by the
// loans that jobs across partitions have anyway: room for one gang of each class, as large
// as the largest of late. Only gangs are assigned there.

// gangReserveJobID stands for the gang reserve where a loan names the job that it is for.
const gangReserveJobID = ""

const (
	// reserveClassTTL is how long a class of gangs is expected again after its last one.
	reserveClassTTL = 30 * time.Second
	// reserveLoanTimeout is how long a machine may take to become empty.
	reserveLoanTimeout = 40 * time.Second
	// reserveMinHold is how long one that has come is kept in any case.
	reserveMinHold = 10 * time.Second
	// reserveOpensAfter is how long others wait before they may use it all the same: nobody
	// should wait much longer beside a machine that has room.
	reserveOpensAfter = time.Minute
	// reserveMaxUnused is for how long room of it is kept that nothing uses: a third of the 90 s
	// that nobody may wait beside a machine with room, since gangs may gather room one
	// after the other. What is on loan for one job is kept for longer, while that gathers.
	reserveMaxUnused = 30 * time.Second
	loanMaxUnused    = time.Minute
	// reserveMaxShare is the largest share of all machines that the reserve may have, but
	// reserveMinMachines are always permitted: in a small fleet a gang may take two.
	reserveMaxShare    = 0.15
	reserveMinMachines = 2
	// reserveRetentionFactor is how many times the room that is borrowed is kept: with less,
	// machines would go to and fro.
	reserveRetentionFactor = 2
)

// gangReserve is what the leader keeps for gangs.
type gangReserve struct {
	// classes are the classes of gangs that there have been of late, by name.
	classes map[string]*gangClass
	// shortfall is what it lacks, to be launched if nothing becomes free.
	shortfall []planning.Demand
	// keep are the machines of the reserve that are not handed back.
	retainedMachines map[scheduling.MachineIndex]bool
}

// gangClass is the largest gang of a class of late.
type gangClass struct {
	spec       *wire.Job
	taskSize   scheduling.Resources
	lastSeenAt time.Time
	gangCount  int // unfinished gangs of the class
}

// room is for how many tasks the reserve should have room: the next gang, and as many more
// as may come before it is filled again, about the square root of those that there are.
func (class *gangClass) targetTasks() int {
	return class.spec.Tasks * (1 + int(math.Ceil(math.Sqrt(float64(class.gangCount)))))
}

// canUseReserve tells whether a job may be placed on machines that the leader has in its
// own partition: those that are there for it, and gangs; others only after a long wait.
func (c *leader) canUseReserve(j *job) bool {
	since := j.acceptedAt
	if j.assignedAt.After(since) {
		since = j.assignedAt
	}
	return j.spec.Gang || c.hasLoanFor(j) || c.now.Sub(since) > reserveOpensAfter && c.now.Sub(c.leadership.startedAt) > reserveOpensAfter
}

// reserveAllows tells whether a job may be placed on a machine as far as that is kept for
// others: one of the leader's own partition is, until its room has been unused for long.
// However long a job waits, it is assigned tasks now and then, and began to wait anew each
// time.
func (c *leader) reserveAllows(j *job, summary *planning.MachineSummary) bool {
	return summary.Partition != c.loanPartition() || c.canUseReserve(j) || c.isReserveRoomUnused(summary)
}

// isReserveRoomUnused tells whether nothing has been placed for long on a machine of the
// leader's own partition.
func (c *leader) isReserveRoomUnused(summary *planning.MachineSummary) bool {
	m := c.machineByIndex[summary.Index]
	limit := reserveMaxUnused
	if loan := c.loans[m.name]; loan != nil && loan.Job != gangReserveJobID {
		limit = loanMaxUnused
	}
	unusedSince := c.leadership.startedAt
	for _, at := range []time.Time{m.partitionChangedAt, m.lastBoundAt} {
		if at.After(unusedSince) {
			unusedSince = at
		}
	}
	return c.now.Sub(unusedSince) > limit
}

// outranksReserve tells whether a job goes before gangs.
func (c *leader) outranksReserve(j *job) bool {
	for _, class := range c.leadership.gangReserve.classes {
		if j.spec.Priority > class.spec.Priority {
			return true
		}
	}
	return false
}

// updateReserve notes which gangs there are, and which machines of the reserve are kept.
func (c *leader) updateReserve(summaries []*planning.MachineSummary) {
	reserve := &c.leadership.gangReserve
	if reserve.classes == nil {
		reserve.classes = map[string]*gangClass{}
	}
	for _, class := range reserve.classes {
		class.gangCount = 0
	}
	for _, job := range c.activeJobs {
		if job.spec != nil && job.spec.Gang && job.finalState == record.Unfinished {
			reserve.recordGang(job, c.now)
		}
	}
	for name, class := range reserve.classes {
		if c.now.Sub(class.lastSeenAt) > reserveClassTTL {
			delete(reserve.classes, name)
		}
	}
	reserve.selectRetainedMachines(c.reserveMachines(summaries))
}

// recordGang counts a gang for its class.
func (reserve *gangReserve) recordGang(gang *job, now time.Time) {
	class := reserve.classes[gang.spec.Class]
	if class == nil {
		class = &gangClass{spec: gang.spec, taskSize: gang.taskSize}
		reserve.classes[gang.spec.Class] = class
	} else if class.spec.Tasks <= gang.spec.Tasks {
		class.spec, class.taskSize = gang.spec, gang.taskSize
	}
	class.lastSeenAt = now
	class.gangCount++
}

// reserveMachines are the machines of the leader's own partition, the fullest first.
func (c *leader) reserveMachines(summaries []*planning.MachineSummary) []*planning.MachineSummary {
	var machines []*planning.MachineSummary
	for _, summary := range summaries {
		if summary.Partition == c.loanPartition() {
			machines = append(machines, summary)
		}
	}
	slices.SortFunc(machines, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(y.Usages), len(x.Usages)), cmp.Compare(x.Index, y.Index))
	})
	return machines
}

// selectRetainedMachines keeps machines with room for the next gangs of each class; the
// others become free.
func (reserve *gangReserve) selectRetainedMachines(machines []*planning.MachineSummary) {
	reserve.retainedMachines = map[scheduling.MachineIndex]bool{}
	for _, class := range reserve.sortedClasses() {
		tasks := reserveRetentionFactor * class.targetTasks()
		for _, summary := range machines {
			if tasks <= 0 {
				break
			}
			if allowsMachine(class.spec, "", summary.Type, summary.Zone, summary.Spot) {
				tasks -= summary.FreeResources.CountFitting(class.taskSize, tasks)
				reserve.retainedMachines[summary.Index] = true
			}
		}
	}
}

// sorted are the classes, the largest gangs first.
func (reserve *gangReserve) sortedClasses() []*gangClass {
	var classes []*gangClass
	for _, class := range reserve.classes {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(x, y *gangClass) int {
		return cmp.Or(cmp.Compare(y.spec.Tasks, x.spec.Tasks), cmp.Compare(x.spec.Class, y.spec.Class))
	})
	return classes
}

// shouldRetain tells whether a machine of the reserve stays there.
func (c *leader) shouldRetain(m *machine) bool {
	return len(m.bindings) > 0 || c.leadership.gangReserve.retainedMachines[m.index] || c.now.Sub(m.partitionChangedAt) < reserveMinHold
}
