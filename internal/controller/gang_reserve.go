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

// A gang needs room for all of its tasks in one partition, and often in one zone, within
// seconds. Arrays take every cell as it becomes free, and a gang of the same priority must
// not stop them. The leader therefore keeps a few machines in its own partition, using the
// same loans as jobs that span partitions: enough room for gangs as large as the largest
// recent one of each class. Other jobs are assigned there only as reserveAllows and
// outranksReserve permit.

// gangReserveJobID is the job ID in loans that are for the gang reserve.
const gangReserveJobID = ""

const (
	// reserveClassTTL is how long after the last gang of a class another one is still
	// expected.
	reserveClassTTL = 30 * time.Second
	// reserveLoanTimeout is how long a machine that is borrowed for the reserve may take to
	// become empty.
	reserveLoanTimeout = 40 * time.Second
	// reserveMinHold is the minimum time for which a machine that has arrived stays in the
	// reserve.
	reserveMinHold = 10 * time.Second
	// reserveAvailableAfter is how long other jobs wait before they may use the reserve. No job
	// should wait much longer while a machine has room for it.
	reserveAvailableAfter = time.Minute
	// reserveMaxUnused is how long room of the reserve may stay unused before other jobs may
	// use it. It is a third of the 90 s that a job may wait while a machine has room for it,
	// since several gangs may collect room one after the other. loanMaxUnused is the limit
	// for a machine on loan for a single job. It is longer, since the job's other machines
	// have yet to arrive.
	reserveMaxUnused = 30 * time.Second
	loanMaxUnused    = time.Minute
	// reserveMaxShare is the share of the usable machines that may be on loan, including loans
	// for single jobs, before no more are borrowed for the reserve. reserveMinMachines may
	// always be on loan, since in a small fleet a gang may need two.
	reserveMaxShare    = 0.15
	reserveMinMachines = 2
	// reserveRetentionFactor is the multiple of the target room that is kept when machines are
	// returned. With a lower factor, machines would move back and forth.
	reserveRetentionFactor = 2
)

// gangReserve is the leader's plan for the machines that it keeps for gangs.
type gangReserve struct {
	// classes holds the classes of recent gangs, by name.
	classes map[string]*gangClass
	// shortfall is the demand that neither free room in the reserve nor the machines being
	// loaned to it cover. Machines are launched for it if no others become free.
	shortfall []planning.Demand
	// retainedMachines holds the machines of the reserve that must not be returned.
	retainedMachines map[scheduling.MachineIndex]bool
}

// gangClass describes the largest recent gang of a class.
type gangClass struct {
	spec       *wire.Job
	taskSize   scheduling.Resources
	lastSeenAt time.Time
	gangCount  int // number of unfinished gangs of the class
}

// targetTasks returns for how many tasks of the class the reserve should have room: the next
// gang, and the gangs that may arrive before the reserve is filled again, estimated as the
// square root of the number of unfinished gangs.
func (class *gangClass) targetTasks() int {
	return class.spec.TaskCount * (1 + int(math.Ceil(math.Sqrt(float64(class.gangCount)))))
}

// canUseReserve reports whether a job may be placed on the machines of the leader's own
// partition. Gangs and jobs that have machines on loan may. Other jobs may if they have waited
// for reserveAvailableAfter since they were accepted or last assigned tasks, and the leader's
// term has lasted that long.
func (c *leader) canUseReserve(j *job) bool {
	since := j.acceptedAt
	if j.assignedAt.After(since) {
		since = j.assignedAt
	}
	return j.spec.Gang || c.hasLoanFor(j) || c.now.Sub(since) > reserveAvailableAfter && c.now.Sub(c.leadership.startedAt) > reserveAvailableAfter
}

// reserveAllows reports whether the gang reserve leaves a machine to a job. It doesn't if the
// machine is in the leader's own partition and the job can't use the reserve, unless the
// machine's room has been unused for long. The job's own waiting time is not enough: a
// waiting job is assigned a few tasks now and then, which restarts that time.
func (c *leader) reserveAllows(j *job, summary *planning.MachineSummary) bool {
	return summary.Partition != c.loanPartition() || c.canUseReserve(j) || c.isLongUnused(summary)
}

// isLongUnused reports whether no task has been bound to a machine of the leader's own
// partition for reserveMaxUnused or, if it is on loan for a single job, for loanMaxUnused.
func (c *leader) isLongUnused(summary *planning.MachineSummary) bool {
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

// outranksReserve reports whether a job has a higher priority than some class of gangs in the
// reserve.
func (c *leader) outranksReserve(j *job) bool {
	for _, class := range c.leadership.gangReserve.classes {
		if j.spec.Priority > class.spec.Priority {
			return true
		}
	}
	return false
}

// updateReserve updates the classes of gangs and chooses the machines that stay in the
// reserve.
func (c *leader) updateReserve(summaries []*planning.MachineSummary) {
	reserve := &c.leadership.gangReserve
	if reserve.classes == nil {
		reserve.classes = map[string]*gangClass{}
	}
	for _, class := range reserve.classes {
		class.gangCount = 0
	}
	for _, job := range c.activeJobs {
		if job.spec != nil && job.spec.Gang && job.finalState == record.StateUnfinished {
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

// recordGang counts a gang for its class. If no larger gang of the class is recorded, this one
// becomes the class's description.
func (reserve *gangReserve) recordGang(gang *job, now time.Time) {
	class := reserve.classes[gang.spec.Class]
	if class == nil {
		class = &gangClass{spec: gang.spec, taskSize: gang.taskSize}
		reserve.classes[gang.spec.Class] = class
	} else if class.spec.TaskCount <= gang.spec.TaskCount {
		class.spec, class.taskSize = gang.spec, gang.taskSize
	}
	class.lastSeenAt = now
	class.gangCount++
}

// reserveMachines returns the machines of the leader's own partition, those with the most
// tasks first.
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

// selectRetainedMachines retains machines with room for the next gangs of each class. The
// others may be returned.
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

// sortedClasses returns the classes, those with the largest gangs first.
func (reserve *gangReserve) sortedClasses() []*gangClass {
	var classes []*gangClass
	for _, class := range reserve.classes {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(x, y *gangClass) int {
		return cmp.Or(cmp.Compare(y.spec.TaskCount, x.spec.TaskCount), cmp.Compare(x.spec.Class, y.spec.Class))
	})
	return classes
}

// shouldRetain reports whether a machine of the reserve must not be returned yet.
func (c *leader) shouldRetain(m *machine) bool {
	return len(m.bindings) > 0 || c.leadership.gangReserve.retainedMachines[m.index] || c.now.Sub(m.partitionChangedAt) < reserveMinHold
}
