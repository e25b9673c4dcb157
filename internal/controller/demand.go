package controller

import (
	"math"

	"eiderhitch/internal/planning"
)

// slackS returns the time in seconds until a job's deadline. If the job can't meet the deadline
// any more, it is the time until its service-level objective, if that is later. It is infinite
// for a job without a deadline.
func (c *clusterState) slackS(j *job) float64 {
	if j.spec.NoDeadline {
		return math.Inf(1)
	}
	age := c.now.Sub(j.acceptedAt).Seconds()
	slack := j.spec.DeadlineS - age
	if slack < j.spec.EstimateS {
		slack = max(slack, c.objectiveSeconds[j.spec.Class]-age)
	}
	return slack
}

// demand returns the demand for count tasks of a job that found no room. zone is the zone in
// which they must be placed, or "" for any.
func (c *clusterState) demand(j *job, zone string, count int) planning.Demand {
	spec, timing := j.spec, c.jobTiming(j)
	return planning.Demand{
		Class:              spec.Class,
		TaskSize:           j.taskSize,
		Count:              count,
		AllOrNothing:       spec.IsAllOrNothing(),
		Overdue:            timing.IsOverdue(),
		SingleZone:         spec.SingleZone,
		RunsUntilCancelled: spec.Service,
		EstimateS:          spec.EstimateS,
		CompletionWindowS:  timing.CompletionWindowS(),
		SlackS:             c.slackS(j),
		AllowsOffer: func(offer planning.Offer) bool {
			return allowsMachine(spec, zone, offer.Type, offer.Zone, offer.Spot)
		},
	}
}
