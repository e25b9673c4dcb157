package controller

import (
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// scorer rates machines for a record's tasks; negative: not allowed.
func (c *partitionOwner) scorer(p *partition, group *taskGroup) scheduling.ScoreFunc {
	spec := group.job.spec
	return func(mi scheduling.MachineIndex, free scheduling.Resources) float64 {
		m := c.machineByIndex[mi]
		if !c.schedulable(m, p) || !allowed(spec, group.zone, m.machineType, m.zone, m.spot) || len(m.failedJobs) > 0 && c.avoidsJob(m, group.job) {
			return -1
		}
		s := 1000.0 + c.fetchCost(m, spec)
		if m.spot {
			s -= 500 // what is dear is left to those who need it
		}
		if c.runsService(m) {
			s -= 150 // it stays anyhow
		}
		// Tight packing leaves whole machines free to be returned.
		return s + float64(min(free.CPU, 100_000))/1000
	}
}

// What a machine scores for an image that is there, and what it costs for each
// second that a fetch takes. Users notice those of a service.
const (
	cachedImageScore  = -400
	serviceFetchScore = 10
	arrayFetchScore   = 3
	maxFetchScore     = 600
	fetchTimeout      = time.Minute // a fetch that nobody waits for is given up
)

// fetchCost is what the fetch of a job's image adds to a machine's score. Images
// that are fetched at a time may share a machine's rate, so some hundred services
// that come together start far later if each machine takes one of every image.
func (c *partitionOwner) fetchCost(m *machine, spec *wire.Job) float64 {
	if m.images[spec.Image] {
		return cachedImageScore
	}
	t := c.machineTypes[m.machineType]
	if t == nil || !(t.FetchGBPS > 0) {
		return 0
	}
	others, part := 0, 1.0
	for image, at := range m.fetching {
		switch {
		case c.now.Sub(at) > fetchTimeout:
			delete(m.fetching, image)
		case image == spec.Image:
			part = 0.5 // some of it is there
		default:
			others++
		}
	}
	each := arrayFetchScore
	if spec.AllOrNothing() {
		each = serviceFetchScore
	}
	return min(float64(each)*part*spec.ImageGB*float64(1+others)/t.FetchGBPS, maxFetchScore)
}

// schedulable tells whether anything may be placed on a machine now. It is looked up
// once in a step, not for each task.
func (c *partitionOwner) schedulable(m *machine, p *partition) bool {
	if m.schedulableStep != c.schedulingPass {
		m.schedulableStep = c.schedulingPass
		m.schedulable = c.usable(m, p) && m.terminationAt.IsZero() && !m.cordoned && !c.now.Before(m.avoidUntil) &&
			(!c.autoscaler.Draining(m.name) || p.index == c.loanPartition()) && !c.autoscaler.Terminating(m.name) && (c.loans[m.name] == nil || p.index == c.loanPartition() && !c.loans[m.name].returning)
	}
	return m.schedulable
}

// runsService tells whether a service is bound to a machine, see planning.MachineSummary. It is
// looked up once in a step.
func (c *clusterState) runsService(m *machine) bool {
	if m.runsServiceStep != c.schedulingPass {
		m.runsServiceStep, m.runsService = c.schedulingPass, false
		for _, x := range m.bindings {
			group := x.group
			if group.job.spec != nil && group.job.spec.AllOrNothing() {
				m.runsService = true
				break
			}
		}
	}
	return m.runsService
}

// allowed tells whether a job's task may be on a machine at all.
func allowed(spec *wire.Job, pinned, typ, zone string, spot bool) bool {
	return (pinned == "" || pinned == zone) && spec.Allows(typ, zone, spot)
}
