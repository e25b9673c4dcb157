package controller

import (
	"net/http"
	"strings"

	"eiderhitch/internal/simulation"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
)

// faultEffect makes a fault begin and returns the function that ends it.
type faultEffect func(s *scheduleRun, f fault) (end func())

// faultEffects holds the effect of each kind of fault.
var faultEffects = map[faultKind]faultEffect{
	storeDown:                (*scheduleRun).takeStoreDown,
	storeRefuses:             requestFault(isStoreRequest, network.Refuse),
	storeUnresponsive:        requestFault(isStoreRequest, network.Drop),
	storeSlow:                partialRequestFault(isStoreRequest, network.Delay),
	lateTransactions:         partialRequestFault(isTransactionRequest, network.ExecuteLate),
	lostResponses:            partialRequestFault(isTransactionRequest, network.DropResponse),
	lateCommands:             partialRequestFault(isAgentRequest, network.ExecuteLate),
	repeatedCommands:         partialRequestFault(isAgentRequest, network.Repeat),
	repeatedTransactions:     partialRequestFault(isTransactionRequest, network.Repeat),
	repeatedLeaseRequests:    partialRequestFault(isLeaseRequest, network.Repeat),
	repeatedCloudRequests:    partialRequestFault(isCloudRequest, network.Repeat),
	repeatedHeartbeats:       (*scheduleRun).repeatHeartbeats,
	repeatedUserRequests:     (*scheduleRun).repeatUserRequests,
	repeatedFrames:           (*scheduleRun).repeatFrames,
	agentsUnreachable:        (*scheduleRun).blockAgents,
	peersUnreachable:         (*scheduleRun).blockPeers,
	storeAndPeersUnreachable: (*scheduleRun).blockStoreAndPeers,
	killController:           (*scheduleRun).restartControllers,
	isolateZone:              (*scheduleRun).isolateZone,

	machinesNotReceiving:   machineFault((*agent.Agent).SetInboundBlocked),
	machinesNotSending:     machineFault((*agent.Agent).SetOutboundBlocked),
	heartbeatsLost:         heartbeatFault(network.Refuse),
	heartbeatsHeldUp:       heartbeatFault(network.ExecuteLate),
	heartbeatsRepeated:     heartbeatFault(network.Repeat),
	heartbeatAnswersLost:   heartbeatFault(network.DropResponse),
	heartbeatAnswersHeldUp: heartbeatFault(network.DelayResponse),
	commandsLost:           commandFault(network.Drop),
	commandsHeldUp:         commandFault(network.ExecuteLate),
	commandsRepeated:       commandFault(network.Repeat),
	commandAnswersLost:     commandFault(network.DropResponse),
	commandAnswersHeldUp:   commandFault(network.DelayResponse),

	machinesHang:       machineFault((*agent.Agent).SetHanging),
	machinesIsolated:   machineFault((*agent.Agent).SetIsolated),
	tasksFail:          machineFault((*agent.Agent).SetTasksFailing),
	terminateMachines:  machineEvent((*agent.Agent).Terminate),
	restartMachines:    machineEvent((*agent.Agent).Restart),
	copyHeartbeats:     (*scheduleRun).copyHeartbeats,
	copyHeartbeatsLate: (*scheduleRun).copyHeartbeatsLate,
	saveHeartbeats:     (*scheduleRun).saveHeartbeats,
	resendHeartbeats:   (*scheduleRun).resendHeartbeats,
	cloudDown:          (*scheduleRun).takeCloudDown,
	noCapacity:         (*scheduleRun).freezeCapacity,

	cancelJobs:           (*scheduleRun).cancelSomeJobs,
	cancelAsMachinesHang: (*scheduleRun).cancelAsMachinesHang,
	raceCompletion:       (*scheduleRun).raceCompletion,
	queryAllControllers:  (*scheduleRun).queryAllControllers,
	unusualRequests:      (*scheduleRun).sendUnusualRequests,
	submitJobs:           (*scheduleRun).submitJobs,
	submitGangs:          (*scheduleRun).submitGangs,
	submitUrgentArray:    (*scheduleRun).submitUrgentArray,
	submitOneTaskJobs:    (*scheduleRun).submitOneTaskJobs,
	lowerLimits:          (*scheduleRun).lowerLimits,

	finalizeUpgrade:    (*scheduleRun).finalizeUpgrade,
	abortUpgrade:       (*scheduleRun).abortUpgrade,
	finalizeAndAbort:   (*scheduleRun).finalizeAndAbort,
	startWithoutLevels: (*scheduleRun).startWithoutLevels,
	startWithBaseLevel: (*scheduleRun).startWithBaseLevel,
}

// doNothing is the end function of faults that end by themselves.
func doNothing() {}

// inject makes a fault begin and returns the function that ends it.
func (s *scheduleRun) inject(f fault) (end func()) {
	effect := faultEffects[f.kind]
	if effect == nil {
		s.t.Fatalf("fault kind %q has no effect", f.kind)
	}
	return effect(s, f)
}

// isStoreRequest reports whether a request goes to the key-value store.
func isStoreRequest(r *http.Request) bool { return r.URL.Host == simulation.StoreAddr }

// isTransactionRequest reports whether a request is a transaction of the key-value store.
func isTransactionRequest(r *http.Request) bool { return isStoreRequest(r) && r.URL.Path == "/txn" }

// isLeaseRequest reports whether a request grants, renews or revokes a lease of the key-value store.
func isLeaseRequest(r *http.Request) bool {
	return isStoreRequest(r) && strings.HasPrefix(r.URL.Path, "/leases")
}

// isCloudRequest reports whether a request goes to the cloud.
func isCloudRequest(r *http.Request) bool { return r.URL.Host == simulation.CloudAddr }

// isAgentRequest reports whether a request goes to an agent: machines have addresses in 10.1.
func isAgentRequest(r *http.Request) bool { return strings.HasPrefix(r.URL.Host, "10.1.") }

// policyForMatching returns a policy that applies a network fault to all requests that match.
func policyForMatching(matches func(*http.Request) bool, networkFault network.Fault) network.FaultPolicy {
	return func(r *http.Request) network.Fault {
		if matches(r) {
			return networkFault
		}
		return network.Deliver
	}
}

// requestFault returns an effect that applies a network fault to all matching requests of the target.
func requestFault(matches func(*http.Request) bool, networkFault network.Fault) faultEffect {
	return func(s *scheduleRun, f fault) func() {
		return s.addPolicy(f.target, s.policyForShare(1, matches, networkFault))
	}
}

// partialRequestFault is like requestFault, but affects only the fault's share of the requests.
func partialRequestFault(matches func(*http.Request) bool, networkFault network.Fault) faultEffect {
	return func(s *scheduleRun, f fault) func() {
		return s.addPolicy(f.target, s.policyForShare(f.share, matches, networkFault))
	}
}

// policyForShare returns a policy that applies a network fault to a share of the matching requests.
func (s *scheduleRun) policyForShare(share float64, matches func(*http.Request) bool, networkFault network.Fault) network.FaultPolicy {
	return func(r *http.Request) network.Fault {
		if matches(r) && network.SeededFloat64(s.seed, r.URL.String()) < share {
			return networkFault
		}
		return network.Deliver
	}
}

// addPolicy adds a policy to the target controllers and returns the function that removes it.
func (s *scheduleRun) addPolicy(target int, policy network.FaultPolicy) (remove func()) {
	nodes := s.targetNodes(target)
	s.lastPolicyID++
	id := s.lastPolicyID
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range nodes {
		s.policies[i][id] = policy
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, i := range nodes {
			delete(s.policies[i], id)
		}
	}
}

// targetNodes returns the indices of a fault's target controllers. If the target is the leader and
// there is none, it returns the first controller.
func (s *scheduleRun) targetNodes(target int) []int {
	var out []int
	for i, n := range s.nodes {
		isTargetLeader := target == leaderNode && n.isLeader(s.ctx)
		if target == allNodes || target == i || isTargetLeader {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		out = append(out, 0) // there is no leader at the moment
	}
	return out
}

// takeStoreDown makes the key-value store unavailable to everyone.
func (s *scheduleRun) takeStoreDown(fault) func() {
	s.env.Store.SetUnavailable(true)
	return func() { s.env.Store.SetUnavailable(false) }
}

// lowerLimits makes the store apply the lower limits that runSchedule announced in the settings.
func (s *scheduleRun) lowerLimits(fault) func() {
	s.env.Store.SetTxnLimits(loweredValueBytes, loweredTxnChanges)
	return doNothing
}

// blockAgents cuts the connections between the target controllers and the agents in both directions.
func (s *scheduleRun) blockAgents(f fault) func() {
	remove := s.addPolicy(f.target, s.policyForShare(1, isAgentRequest, network.Drop))
	nodes := s.targetNodes(f.target)
	for _, i := range nodes {
		s.nodes[i].agentsBlocked.Store(true)
	}
	return func() {
		remove()
		for _, i := range nodes {
			s.nodes[i].agentsBlocked.Store(false)
		}
	}
}

// blockPeers cuts the connections between the target controllers and their peers.
func (s *scheduleRun) blockPeers(f fault) func() {
	nodes := s.targetNodes(f.target)
	for _, i := range nodes {
		s.nodes[i].peersBlocked.Store(true)
	}
	return func() {
		for _, i := range nodes {
			s.nodes[i].peersBlocked.Store(false)
		}
	}
}

// blockStoreAndPeers cuts the connections of the target controllers to the store and their peers.
// Agents and users still reach them.
func (s *scheduleRun) blockStoreAndPeers(f fault) func() {
	var ends []func()
	for _, i := range s.targetNodes(f.target) {
		remove := s.addPolicy(i, s.policyForShare(1, isStoreRequest, network.Drop))
		s.nodes[i].peersBlocked.Store(true)
		ends = append(ends, func() {
			remove()
			s.nodes[i].peersBlocked.Store(false)
		})
	}
	return callInOrder(ends)
}

// restartControllers kills the target controllers. The end of the fault starts them again.
func (s *scheduleRun) restartControllers(f fault) func() {
	nodes := s.targetNodes(f.target)
	for _, i := range nodes {
		s.kill(i)
	}
	return func() {
		for _, i := range nodes {
			s.start(i)
		}
	}
}

// callInOrder returns a function that calls the given functions one after the other.
func callInOrder(functions []func()) func() {
	return func() {
		for _, f := range functions {
			f()
		}
	}
}

// isolateZone isolates the machines of zone b, together with the last controller, from everything
// else.
func (s *scheduleRun) isolateZone(fault) func() {
	const zone = "b"
	node := len(s.nodes) - 1
	addrsInZone := map[string]bool{s.nodes[node].cfg.APIAddr: true}
	for _, a := range s.env.Cloud.Agents() {
		if a.Zone() == zone {
			addrsInZone[a.Addr()] = true
		}
	}
	crossesBoundary := func(fromInside bool) func(*http.Request) bool {
		return func(r *http.Request) bool { return addrsInZone[r.URL.Host] != fromInside }
	}
	var ends []func()
	for _, a := range s.env.Cloud.Agents() {
		a.Transport().SetFaultPolicy(s.policyForShare(1, crossesBoundary(addrsInZone[a.Addr()]), network.Drop))
		ends = append(ends, func() { a.Transport().SetFaultPolicy(nil) })
	}
	for i := range s.nodes {
		ends = append(ends, s.addPolicy(i, s.policyForShare(1, crossesBoundary(i == node), network.Drop)))
	}
	s.nodes[node].peersBlocked.Store(true)
	s.nodes[node].usersBlocked.Store(true)
	return func() {
		callInOrder(ends)()
		s.nodes[node].peersBlocked.Store(false)
		s.nodes[node].usersBlocked.Store(false)
	}
}
