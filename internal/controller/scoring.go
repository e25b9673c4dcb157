package controller

import (
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// A machine's score for a task is baseScore plus the scores of the criteria below, some of which
// are negative. The machine with the lowest score is chosen.
const (
	// forbiddenScore marks a machine on which the task must not be placed.
	forbiddenScore = -1
	// baseScore keeps the score of a machine that meets all criteria with negative scores from
	// being negative, which would forbid the placement.
	baseScore = -(cachedImageScore + spotScore + serviceOrGangScore)
	// spotScore prefers spot machines, which leaves the more expensive on-demand machines to the
	// tasks that need them.
	spotScore = -500
	// serviceOrGangScore prefers machines that run a service or gang, since these are needed anyway
	// until it ends.
	serviceOrGangScore = -150
	// silentScore avoids machines that may reach no controller, as long as others have room: a task
	// there is lost with the machine's lease. It exceeds all other scores together.
	silentScore = 5000
	// Each free CPU adds 1 to the score: dense packing leaves whole machines empty, which can
	// then be terminated. Free CPUs beyond maxScoredMilliCPUs add nothing.
	maxScoredMilliCPUs     = 100_000
	milliCPUsPerScorePoint = 1000
)

// Scores for fetching a task's image: for an image in the machine's cache, or for each second
// that the fetch is expected to take. A delay matters more to the users of a service than to
// those of an array.
const (
	cachedImageScore  = -400
	serviceFetchScore = 10
	arrayFetchScore   = 3
	maxFetchScore     = 600
	// remainingFetchShare is the average remaining share of a fetch that has begun.
	remainingFetchShare = 0.5
	// fetchTimeout is how long a fetch counts as in progress. A fetch that no task waits for is
	// abandoned.
	fetchTimeout = time.Minute
)

// scorer returns the function that scores machines for a group's tasks.
func (c *partitionOwner) scorer(p *partition, group *taskGroup) scheduling.ScoreFunc {
	spec := group.job.spec
	return func(index scheduling.MachineIndex, free scheduling.Resources) float64 {
		m := c.machineByIndex[index]
		if !c.canPlace(p, group, m) {
			return forbiddenScore
		}
		score := float64(baseScore) + c.fetchScore(m, spec)
		if m.spot {
			score += spotScore
		}
		if c.runsServiceOrGang(m) {
			score += serviceOrGangScore
		}
		if m.seemsSilent {
			score += silentScore
		}
		return score + float64(min(free.CPU, maxScoredMilliCPUs))/milliCPUsPerScorePoint
	}
}

// canPlace reports whether a group's tasks may be placed on a machine now.
func (c *partitionOwner) canPlace(p *partition, group *taskGroup, m *machine) bool {
	return c.isSchedulable(m, p) &&
		allowsMachine(group.job.spec, group.zone, m.machineType, m.zone, m.spot) &&
		(len(m.failedJobs) == 0 || !c.avoidsJob(m, group.job))
}

// fetchScore returns what the fetch of a job's image adds to a machine's score. Concurrent
// fetches may share the machine's bandwidth: if each machine fetched the images of all of some
// hundred services that are submitted together, all of them would start much later.
func (c *partitionOwner) fetchScore(m *machine, spec *wire.Job) float64 {
	if m.cachedImages[spec.Image] {
		return cachedImageScore
	}
	machineType := c.machineTypes[m.machineType]
	if machineType == nil || !(machineType.ImageFetchGBPS > 0) {
		return 0
	}
	m.dropExpiredFetches(c.now)
	remainingShare, otherFetches := 1.0, len(m.fetchStartedAt)
	if _, started := m.fetchStartedAt[spec.Image]; started {
		remainingShare, otherFetches = remainingFetchShare, otherFetches-1
	}
	perSecond := float64(arrayFetchScore)
	if spec.IsAllOrNothing() {
		perSecond = serviceFetchScore
	}
	return min(perSecond*remainingShare*spec.ImageGB*float64(1+otherFetches)/machineType.ImageFetchGBPS, maxFetchScore)
}

// dropExpiredFetches removes the fetches that began more than fetchTimeout ago.
func (m *machine) dropExpiredFetches(now time.Time) {
	for image, since := range m.fetchStartedAt {
		if now.Sub(since) > fetchTimeout {
			delete(m.fetchStartedAt, image)
		}
	}
}

// isSchedulable reports whether the state of a machine allows placing tasks on it now. The result
// is cached for the scheduling pass instead of being computed for each task.
func (c *partitionOwner) isSchedulable(m *machine, p *partition) bool {
	if m.schedulablePass != c.schedulingPass {
		m.schedulablePass = c.schedulingPass
		m.seemsSilent = c.seemsSilent(m)
		m.isSchedulable = c.isUsable(m, p) && m.terminationAt.IsZero() && !m.cordoned && !c.now.Before(m.placementBackoffUntil) &&
			!c.autoscaler.IsTerminating(m.name) && !c.isReservedByLeader(m, p)
	}
	return m.isSchedulable
}

// isReservedByLeader reports whether the leader keeps a machine free because it is draining or on
// loan. In the leader's own partition all machines are on loan, and only those that are being
// returned are excluded.
func (c *partitionOwner) isReservedByLeader(m *machine, p *partition) bool {
	loan := c.loans[m.name]
	if p.index == c.loanPartition() {
		return loan != nil && loan.returnInFlight
	}
	return loan != nil || c.autoscaler.IsDraining(m.name)
}

// runsServiceOrGang reports whether a task of a service or gang is bound to a machine; see
// planning.MachineSummary. The result is cached for the scheduling pass.
func (c *clusterState) runsServiceOrGang(m *machine) bool {
	if m.runsServiceOrGangPass != c.schedulingPass {
		m.runsServiceOrGangPass, m.runsServiceOrGang = c.schedulingPass, m.hasServiceOrGangBinding()
	}
	return m.runsServiceOrGang
}

// hasServiceOrGangBinding reports whether a task of a service or gang is bound to a machine.
func (m *machine) hasServiceOrGangBinding() bool {
	for _, entry := range m.bindings {
		if spec := entry.group.job.spec; spec != nil && spec.IsAllOrNothing() {
			return true
		}
	}
	return false
}

// allowsMachine reports whether a job's tasks may run on a machine with the given properties.
// pinnedZone is the zone that the task group must be in; empty means any zone.
func allowsMachine(spec *wire.Job, pinnedZone, machineType, zone string, spot bool) bool {
	return (pinnedZone == "" || pinnedZone == zone) && spec.Allows(machineType, zone, spot)
}
