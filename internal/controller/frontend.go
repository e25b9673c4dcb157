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

// This file implements the interfaces through which package frontend accesses the controller.

// jobState returns the state of a known job as users see it.
func (j *job) jobState() wire.JobState {
	s := wire.JobState{ID: j.id}
	switch j.finalState {
	case record.StateDone:
		s.State = wire.StateDone
	case record.StateCancelled:
		s.State = wire.StateCancelled
	default:
		s.State = wire.StateQueued
		running, finished := 0, 0
		for _, group := range j.groups {
			running += group.boundTaskCount()
			finished += group.doneTasks
		}
		if running > 0 {
			s.State = wire.StateRunning
		}
		s.DoneTasks, s.RunningTasks = &finished, &running
	}
	return s
}

// clusterView implements frontend.Cluster. Its methods must be called on the event loop.
type clusterView struct{ *controller }

// HasLoadedRecords reports whether all records have been read since the process started.
func (v clusterView) HasLoadedRecords() bool { return v.replica.IsLoaded() }

// IsFreshWithin reports whether the last successful read began less than limit ago.
func (v clusterView) IsFreshWithin(limit time.Duration) bool { return v.isFresh(limit) }

// ServingError returns the reason why this controller must not serve, or nil if it may.
func (v clusterView) ServingError() error { return v.rollout.servingError }

// MachineTypes returns the machine types that the cloud offers, by name. It is empty while they
// are unknown.
func (v clusterView) MachineTypes() map[string]*wire.MachineType { return v.machineTypes }

// AfterRead calls f with the result of a read of the key-value store that begins after this call.
func (v clusterView) AfterRead(f func(err error)) { v.reader.AfterRead(f) }

// Job returns the accepted job with an ID, or nil if there is none.
func (v clusterView) Job(id string) *frontend.Job {
	j := v.lookupJob(id)
	if j == nil {
		return nil
	}
	return &frontend.Job{State: j.jobState(), IsFinal: j.finalState != record.StateUnfinished, Revision: j.revision, Spec: j.spec, AcceptedAt: j.acceptedAt}
}

// HasUnreadableRecord reports whether any stored record of a job can't be decoded.
func (v clusterView) HasUnreadableRecord(id string) bool {
	j := v.jobs[id]
	return j != nil && j.hasUnreadableRecords()
}

// PeerFreshness reports whether any peer has sent its status within peer.Timeout (hasContact), and
// whether any of those peers reports that its replica of the key-value store is fresh.
func (v clusterView) PeerFreshness() (hasContact, fresh bool) {
	for _, p := range v.peers.All() {
		if p.HasRecentStatus(peer.Timeout, v.now) {
			hasContact = true
			fresh = fresh || p.Status.ReplicaIsFresh
		}
	}
	return hasContact, fresh
}

// Heartbeat handles a worker's heartbeat on the event loop and returns the response. If the event
// loop does not process it before ctx ends, the response tells the worker to retry.
func (c *controller) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) api.Response {
	var answer api.Response
	if !c.call(ctx, priorityWorkers, func() { answer = c.handleHeartbeat(heartbeat) }) {
		response := frontend.UnavailableResponse("busy")
		response.RetryAfterS = c.events.retryAfterS()
		return response
	}
	return answer
}
