package controller

import (
	"context"
	"time"

	"eiderhitch/internal/api"
	"eiderhitch/internal/frontend"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

// What package frontend asks of the controller.

// response is what a user is told of a known job.
func (j *job) jobState() wire.JobState {
	s := wire.JobState{ID: j.id}
	switch j.finalState {
	case record.Done:
		s.State = wire.Done
	case record.Cancelled:
		s.State = wire.Cancelled
	default:
		s.State = wire.Queued
		running, finished := 0, 0
		for _, group := range j.groups {
			running += group.boundTaskCount()
			finished += group.doneTasks
		}
		if running > 0 {
			s.State = wire.Running
		}
		s.Done, s.Running = &finished, &running
	}
	return s
}

// clusterView is the state that the frontend answers users from.
type clusterView struct{ *controller }

// Loaded reports whether the records have been read since the start.
func (v clusterView) Loaded() bool { return v.replica.Loaded() }

// FreshWithin reports whether the last successful read began less than limit ago.
func (v clusterView) FreshWithin(limit time.Duration) bool { return v.isFresh(limit) }

// Refusal is why this controller must not serve; nil: it may.
func (v clusterView) Refusal() error { return v.rollout.refusal }

// MachineTypes lists the types on offer.
func (v clusterView) MachineTypes() map[string]*wire.MachineType { return v.machineTypes }

// AfterRead runs f with the result of a read that begins after now.
func (v clusterView) AfterRead(f func(err error)) { v.reader.AfterRead(f) }

// Job is the accepted job of that id; nil if none was.
func (v clusterView) Job(id string) *frontend.Job {
	j := v.lookupJob(id)
	if j == nil {
		return nil
	}
	return &frontend.Job{State: j.jobState(), Final: j.finalState != record.Unfinished, Revision: j.revision, Spec: j.spec, AcceptedAt: j.acceptedAt}
}

// Unreadable reports whether a record of the job can't be decoded.
func (v clusterView) Unreadable(id string) bool {
	j := v.jobs[id]
	return j != nil && j.hasUnreadableRecords()
}

// PeersFresh reports whether any peer is heard, and whether one of those that are reaches
// the key-value store.
func (v clusterView) PeersFresh() (heard, fresh bool) {
	for _, p := range v.peers.All() {
		if p.Heard(peer.Timeout, v.now) {
			heard = true
			fresh = fresh || p.Status.Fresh
		}
	}
	return heard, fresh
}

// Heartbeat answers a worker.
func (c *controller) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) api.Response {
	var answer api.Response
	if !c.call(ctx, priorityWorkers, func() { answer = c.handleHeartbeat(heartbeat) }) {
		response := frontend.Unavailable("busy")
		response.RetryAfter = c.events.retryAfterS()
		return response
	}
	return answer
}
