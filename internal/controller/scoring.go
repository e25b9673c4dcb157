package controller

import (
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// A machine's score for a task is baseScore with what speaks for the machine taken off and
// what speaks against it added: the machine with the lowest score is chosen.
const (
	// forbiddenScore is the score of a machine on which a task must not be placed.
	forbiddenScore = -1
	// baseScore keeps the score of a machine that all speaks for from meaning forbiddenScore.
	baseScore = -(cachedImageScore + spotScore + serviceScore)
	// spotScore prefers spot machines: dearer ones are left to those who need them.
	spotScore = -500
	// serviceScore prefers machines that run a service: they stay anyhow.
	serviceScore = -150
	// Free room scores one for each CPU: tight packing leaves whole machines free to be
	// returned. Machines with more than maxScoredMilliCPUs free are alike.
	maxScoredMilliCPUs     = 100_000
	milliCPUsPerScorePoint = 1000
)

// The score of the fetch of an image: of one that is cached, and for each second that a
// fetch takes. Users notice the seconds of a service more than those of an array.
const (
	cachedImageScore  = -400
	serviceFetchScore = 10
	arrayFetchScore   = 3
	maxFetchScore     = 600
	// remainingFetchShare is what is left, on average, of a fetch that has begun.
	remainingFetchShare = 0.5
	// fetchTimeout is how long a fetch counts; one that nobody waits for is given up.
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
		if c.runsService(m) {
			score += serviceScore
		}
		return score + float64(min(free.CPU, maxScoredMilliCPUs))/milliCPUsPerScorePoint
	}
}

// canPlace tells whether a group's tasks may be placed on a machine now.
func (c *partitionOwner) canPlace(p *partition, group *taskGroup, m *machine) bool {
	return c.isSchedulable(m, p) &&
		allowsMachine(group.job.spec, group.zone, m.machineType, m.zone, m.spot) &&
		(len(m.failedJobs) == 0 || !c.avoidsJob(m, group.job))
}

// fetchScore is what the fetch of a job's image adds to a machine's score. Images that are
// fetched at the same time may share a machine's rate, so some hundred services that come
// together start far later if each machine takes one of every image.
func (c *partitionOwner) fetchScore(m *machine, spec *wire.Job) float64 {
	if m.cachedImages[spec.Image] {
		return cachedImageScore
	}
	machineType := c.machineTypes[m.machineType]
	if machineType == nil || !(machineType.FetchGBPS > 0) {
		return 0
	}
	m.dropExpiredFetches(c.now)
	share, others := 1.0, len(m.fetchStartedAt)
	if _, started := m.fetchStartedAt[spec.Image]; started {
		share, others = remainingFetchShare, others-1
	}
	perSecond := float64(arrayFetchScore)
	if spec.AllOrNothing() {
		perSecond = serviceFetchScore
	}
	return min(perSecond*share*spec.ImageGB*float64(1+others)/machineType.FetchGBPS, maxFetchScore)
}

// dropExpiredFetches forgets the fetches that have taken too long.
func (m *machine) dropExpiredFetches(now time.Time) {
	for image, since := range m.fetchStartedAt {
		if now.Sub(since) > fetchTimeout {
			delete(m.fetchStartedAt, image)
		}
	}
}

// schedulable tells whether anything may be placed on a machine now. It is looked up once in
// a pass, not for each task.
func (c *partitionOwner) isSchedulable(m *machine, p *partition) bool {
	if m.schedulablePass != c.schedulingPass {
		m.schedulablePass = c.schedulingPass
		m.schedulable = c.isUsable(m, p) && m.terminationAt.IsZero() && !m.cordoned && !c.now.Before(m.placementBackoffUntil) &&
			!c.autoscaler.Terminating(m.name) && !c.isReservedByLeader(m, p)
	}
	return m.schedulable
}

// isReservedByLeader tells whether a machine is kept free by the leader: it is being drained,
// or on loan. Where the leader places tasks itself, only loans that are being returned are.
func (c *partitionOwner) isReservedByLeader(m *machine, p *partition) bool {
	loan := c.loans[m.name]
	if p.index == c.loanPartition() {
		return loan != nil && loan.returnInFlight
	}
	return loan != nil || c.autoscaler.Draining(m.name)
}

// runsService tells whether a service is bound to a machine, see planning.MachineSummary. It
// is looked up once in a pass.
func (c *clusterState) runsService(m *machine) bool {
	if m.runsServicePass != c.schedulingPass {
		m.runsServicePass, m.runsService = c.schedulingPass, m.hasServiceBinding()
	}
	return m.runsService
}

// hasServiceBinding tells whether a task of a service or gang is bound to a machine.
func (m *machine) hasServiceBinding() bool {
	for _, x := range m.bindings {
		if spec := x.group.job.spec; spec != nil && spec.AllOrNothing() {
			return true
		}
	}
	return false
}

// allowed tells whether a job's task may be on a machine at all; pinnedZone is the zone that
// its group must be in, if any.
func allowsMachine(spec *wire.Job, pinnedZone, machineType, zone string, spot bool) bool {
	return (pinnedZone == "" || pinnedZone == zone) && spec.Allows(machineType, zone, spot)
}
