package controller

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
)

// machineFault returns an effect that sets a fault on the busiest machines and clears it at the end.
func machineFault(set func(a *agent.Agent, on bool)) faultEffect {
	return func(s *scheduleRun, f fault) func() { return s.setOnBusiestMachines(f.target, set) }
}

// machineEvent returns an effect that calls happen once for each of the busiest machines.
func machineEvent(apply func(a *agent.Agent)) faultEffect {
	return func(s *scheduleRun, f fault) func() {
		for _, a := range s.busiestMachines(f.target) {
			apply(a)
		}
		return doNothing
	}
}

// setOnBusiestMachines calls set with true for the busiest machines, and returns a function that
// calls it with false for the same machines.
func (s *scheduleRun) setOnBusiestMachines(count int, set func(a *agent.Agent, on bool)) (unset func()) {
	agents := s.busiestMachines(count)
	for _, a := range agents {
		set(a, true)
	}
	return func() {
		for _, a := range agents {
			set(a, false)
		}
	}
}

// busiestMachines returns at most count machines, those with the most bound tasks first.
func (s *scheduleRun) busiestMachines(count int) []*agent.Agent {
	agents := s.env.Cloud.Agents()
	bound := map[string]int{}
	for _, a := range agents {
		bound[a.Name()] = s.countTasksBoundTo(a.Name())
	}
	slices.SortStableFunc(agents, func(x, y *agent.Agent) int { return bound[y.Name()] - bound[x.Name()] })
	return agents[:min(count, len(agents))]
}

// takeCloudDown makes the cloud unavailable.
func (s *scheduleRun) takeCloudDown(fault) func() {
	s.env.Cloud.SetUnavailable(true)
	return func() { s.env.Cloud.SetUnavailable(false) }
}

// freezeCapacity limits the cloud to the number of machines that exist now. The former limit applies
// again when the last of several overlapping faults ends.
func (s *scheduleRun) freezeCapacity(fault) func() {
	previous := s.env.Cloud.SetCapacity(len(s.env.Cloud.Agents()))
	if s.capacityFreezes == 0 {
		s.fullCapacity = previous
	}
	s.capacityFreezes++
	return func() {
		s.capacityFreezes--
		if s.capacityFreezes == 0 {
			s.env.Cloud.SetCapacity(s.fullCapacity)
		}
	}
}

// maxCopyDelay is the upper bound of the random delay of a duplicate heartbeat. Late duplicates are
// delayed by this much in addition.
const maxCopyDelay = 12 * time.Second

// copyHeartbeats delivers duplicates of a share of the heartbeats after up to maxCopyDelay.
func (s *scheduleRun) copyHeartbeats(f fault) func() { return s.duplicateHeartbeats(f.share, 0) }

// copyHeartbeatsLate delivers duplicates of a share of the heartbeats after at least maxCopyDelay.
func (s *scheduleRun) copyHeartbeatsLate(f fault) func() {
	return s.duplicateHeartbeats(f.share, maxCopyDelay)
}

// duplicateHeartbeats delivers duplicates of a share of the heartbeats to random controllers, each
// after minDelay and a random delay of up to maxCopyDelay.
func (s *scheduleRun) duplicateHeartbeats(share float64, minDelay time.Duration) func() {
	agents := s.env.Cloud.Agents()
	for _, a := range agents {
		a.SetHeartbeatHook(func(raw []byte) {
			isDuplicated := network.SeededFloat64(s.seed, a.Name()) < share
			node := int(network.SeededFloat64(s.seed+1, a.Name()) * float64(len(s.nodes)))
			delay := minDelay + time.Duration(network.SeededFloat64(s.seed+2, a.Name())*float64(maxCopyDelay))
			if isDuplicated {
				time.AfterFunc(delay, func() { s.resendHeartbeat(raw, node) })
			}
		})
	}
	return func() {
		for _, a := range agents {
			a.SetHeartbeatHook(nil)
		}
	}
}

// repeatHeartbeats makes the network deliver a share of the heartbeats again, to the same controller
// and long after the response.
func (s *scheduleRun) repeatHeartbeats(f fault) func() {
	policy := s.policyForShare(f.share, isAnyRequest, network.Repeat)
	agents := s.env.Cloud.Agents()
	for _, a := range agents {
		a.Transport().SetRepeatDelay(minRepeatDelay, repeatDelayJitter)
		a.Transport().SetFaultPolicy(policy)
	}
	return func() {
		for _, a := range agents {
			a.Transport().SetFaultPolicy(nil)
		}
	}
}

// saveHeartbeats saves the last heartbeat of each machine for resendHeartbeats.
func (s *scheduleRun) saveHeartbeats(fault) func() {
	for _, a := range s.env.Cloud.Agents() {
		s.savedHeartbeats[a.Name()] = a.LastHeartbeat()
	}
	return doNothing
}

// resendHeartbeats delivers the saved heartbeats to all three controllers.
func (s *scheduleRun) resendHeartbeats(fault) func() {
	for _, raw := range s.savedHeartbeats {
		if raw != nil {
			s.resendHeartbeat(raw, 0, 1, 2)
		}
	}
	return doNothing
}

// resendHeartbeat posts a heartbeat to controllers and discards their responses.
func (s *scheduleRun) resendHeartbeat(raw []byte, nodes ...int) {
	for _, i := range nodes {
		_, _ = s.postHeartbeat(i, raw)
	}
}

// postHeartbeat posts a heartbeat to a controller and returns the HTTP status of the response.
func (c *cluster) postHeartbeat(node int, raw []byte) (status int, err error) {
	const timeout = 4 * time.Second
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.nodes[node].cfg.APIAddr+agent.HeartbeatPath, bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	resp, err := c.clientTransport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
