package controller

import (
	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
)

// assignmentClass identifies jobs whose unassigned tasks can be placed on the same machines: if
// there is no room for one of the jobs, there is none for the others.
type assignmentClass struct {
	equivalenceClass string
	// singleZone is set for jobs whose tasks must be in one zone: zone, or any if it is "".
	singleZone bool
	zone       string
	// spreadJob is the ID of a job that spreads over zones. How many of its tasks a zone may
	// have depends on where its other tasks are.
	spreadJob string
}

// assignmentClass returns the class of a job.
func (a *assignmentPass) assignmentClass(j *job) assignmentClass {
	class := assignmentClass{equivalenceClass: j.equivalenceClass, singleZone: j.spec.SingleZone}
	if j.spec.SingleZone {
		class.zone = a.zoneOfJob(j)
	}
	if j.spec.SpreadsZones {
		class.spreadJob = j.id
	}
	return class
}

// isPlaceable reports the result of canPlaceTask, which it computes once for all jobs of a
// class.
func (a *assignmentPass) isPlaceable(j *job) bool {
	class := a.assignmentClass(j)
	placeable, known := a.placeableClasses[class]
	if !known {
		placeable = a.canPlaceTask(a.summaries, j)
		a.placeableClasses[class] = placeable
	}
	return placeable
}

// canPlaceTask reports whether there is a machine on which a task of the job has room, or
// could get it by preemption. If there is none, no quota is reserved and no task is stopped
// for the job: other jobs of the team would take what that frees and be stopped in turn,
// several times a second.
func (c *leader) canPlaceTask(summaries []*planning.MachineSummary, j *job) bool {
	mayUse := c.assignmentFilter(j, c.requiredZone(j), false)
	for _, summary := range summaries {
		if mayUse(summary) && summary.FreeResources.Contains(j.taskSize) {
			return true
		}
	}
	return planning.PlaceByPreemption(planning.CloneSummaries(summaries), mayUse, j.taskSize, scheduling.Claim{Priority: j.spec.Priority, Team: j.team}) != nil
}

// assignmentFilter returns a filter that allows the machines to which tasks of a job may be assigned in
// a zone, or in any zone if it is "". It leaves out the machines that the gang reserve keeps from the
// job, unless ignoresReserve is set.
func (c *leader) assignmentFilter(j *job, zone string, ignoresReserve bool) planning.MachineFilter {
	return func(summary *planning.MachineSummary) bool {
		return !summary.Booting && (ignoresReserve || c.reserveAllows(j, summary)) &&
			allowsMachine(j.spec, zone, summary.Type, summary.Zone, summary.Spot)
	}
}
