package controller

import (
	"cmp"

	"eiderhitch/internal/planning"
)

// jobTiming returns the properties by which a job is ordered among others.
func (c *clusterState) jobTiming(j *job) *planning.JobTiming {
	_, finished := j.countAssignedTasks()
	return &planning.JobTiming{
		AllOrNothing:     j.spec.IsAllOrNothing(),
		NoDeadline:       j.spec.NoDeadline,
		Started:          j.hasStarted(),
		OverdueTimeSlice: planning.IsOverdueTimeSlice(c.now.Unix()),
		AgeS:             c.now.Sub(j.acceptedAt).Seconds(),
		EstimateS:        j.spec.EstimateS,
		DeadlineS:        j.spec.DeadlineS,
		ObjectiveS:       c.objectiveSeconds[j.spec.Class],
		RemainingWork:    float64(j.spec.TaskCount-finished) * j.spec.EstimateS * j.spec.CPUs,
	}
}

// arrivalBucketS is the length in seconds of the intervals within which jobs count as accepted at
// the same time.
const arrivalBucketS = 10

// urgencyComparator returns a comparison function that orders jobs by priority, urgency and
// arrival. It computes each job's urgency once.
func (c *clusterState) urgencyComparator() func(x, y *job) int {
	cached := map[*job]planning.Urgency{}
	urgency := func(j *job) planning.Urgency {
		u, ok := cached[j]
		if !ok {
			u = c.jobTiming(j).Urgency()
			cached[j] = u
		}
		return u
	}
	return func(x, y *job) int {
		return cmp.Or(
			cmp.Compare(y.spec.Priority, x.spec.Priority),
			urgency(x).Compare(urgency(y)),
			compareArrival(x, y))
	}
}

// compareArrival orders jobs by when they were accepted. Of jobs accepted at about the same time,
// those with the same image are adjacent, so that a new machine fetches one image for all the
// tasks that it takes.
func compareArrival(x, y *job) int {
	return cmp.Or(
		cmp.Compare(x.acceptedAt.Unix()/arrivalBucketS, y.acceptedAt.Unix()/arrivalBucketS),
		cmp.Compare(x.spec.Image, y.spec.Image),
		x.acceptedAt.Compare(y.acceptedAt),
		cmp.Compare(x.id, y.id))
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	if x == y {
		return 0
	}
	if x {
		return 1
	}
	return -1
}
