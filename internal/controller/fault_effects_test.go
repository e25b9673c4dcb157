package controller

import (
	"net/http"
	"strings"

	"eiderhitch/internal/simulation"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
)

// faultEffect has a fault begin, and returns what ends it.
type faultEffect func(s *scheduleRun, f fault) (end func())

// faultEffects are the effects of all faults.
var faultEffects = map[faultKind]faultEffect{
	storeDown:                (*scheduleRun).takeStoreDown,
	storeRefuses:             requestFault(isStoreRequest, network.Refuse),
	storeUnresponsive:        requestFault(isStoreRequest, network.Drop),
	storeSlow:                partialRequestFault(isStoreRequest, network.Delay),
	lateTransactions:         partialRequestFault(isTransactionRequest, network.ExecuteLate),
	lostResponses:            partialRequestFault(isTransactionRequest, network.DropResponse),
	lateCommands:             partialRequestFault(isAgentRequest, network.ExecuteLate),
	agentsUnreachable:        (*scheduleRun).blockAgents,
	peersUnreachable:         (*scheduleRun).blockPeers,
	storeAndPeersUnreachable: (*scheduleRun).blockStoreAndPeers,
	killController:           (*scheduleRun).restartControllers,
	isolateZone:              (*scheduleRun).isolateZone,

	machinesNotReceiving: machineFault((*agent.Agent).SetNotReceiving),
	machinesNotSending:   machineFault((*agent.Agent).SetNotSending),
	machinesHang:         machineFault((*agent.Agent).SetHanging),
	machinesIsolated:     machineFault((*agent.Agent).SetIsolated),
	tasksFail:            machineFault((*agent.Agent).SetFailing),
	terminateMachines:    machineEvent((*agent.Agent).Terminate),
	restartMachines:      machineEvent((*agent.Agent).Restart),
	copyHeartbeats:       (*scheduleRun).copyHeartbeats,
	copyHeartbeatsLate:   (*scheduleRun).copyHeartbeatsLate,
	saveHeartbeats:       (*scheduleRun).saveHeartbeats,
	resendHeartbeats:     (*scheduleRun).resendHeartbeats,
	cloudDown:            (*scheduleRun).takeCloudDown,
	noCapacity:           (*scheduleRun).freezeCapacity,

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

// doNothing ends a fault that ends by itself.
func doNothing() {}

// inject has a fault begin and returns what ends it.
func (s *scheduleRun) inject(f fault) (end func()) {
	effect := faultEffects[f.kind]
	if effect == nil {
		s.t.Fatalf("unknown fault %q", f.kind)
	}
	return effect(s, f)
}

// isStoreRequest, isTransactionRequest and isAgentRequest tell where a request goes.
func isStoreRequest(r *http.Request) bool       { return r.URL.Host == simulation.StoreAddr }
func isTransactionRequest(r *http.Request) bool { return isStoreRequest(r) && r.URL.Path == "/txn" }
func isAgentRequest(r *http.Request) bool       { return strings.HasPrefix(r.URL.Host, "10.1.") }

// policyForMatching is a policy that has a fault happen to all requests of a kind.
func policyForMatching(matches func(*http.Request) bool, networkFault network.Fault) network.Policy {
	return func(r *http.Request) network.Fault {
		if matches(r) {
			return networkFault
		}
		return network.Deliver
	}
}

// requestFault is an effect on all requests of a kind that the target makes.
func requestFault(matches func(*http.Request) bool, networkFault network.Fault) faultEffect {
	return func(s *scheduleRun, f fault) func() {
		return s.addPolicy(f.target, s.policyForShare(1, matches, networkFault))
	}
}

// partialRequestFault is requestFault for a share of the requests.
func partialRequestFault(matches func(*http.Request) bool, networkFault network.Fault) faultEffect {
	return func(s *scheduleRun, f fault) func() {
		return s.addPolicy(f.target, s.policyForShare(f.share, matches, networkFault))
	}
}

// policyForShare has a fault happen to a share of the requests that match.
func (s *scheduleRun) policyForShare(share float64, matches func(*http.Request) bool, networkFault network.Fault) network.Policy {
	return func(r *http.Request) network.Fault {
		if matches(r) && network.Draw(s.seed, r.URL.String()) < share {
			return networkFault
		}
		return network.Deliver
	}
}

// addPolicy adds a policy for controllers, which removes it again.
func (s *scheduleRun) addPolicy(target int, policy network.Policy) (remove func()) {
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

// targetNodes are the controllers that a fault is about.
func (s *scheduleRun) targetNodes(target int) []int {
	var out []int
	for i, n := range s.nodes {
		isTargetLeader := target == leaderNode && n.isLeader(s.ctx)
		if target == allNodes || target == i || isTargetLeader {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		out = append(out, 0) // nobody leads just now
	}
	return out
}

func (s *scheduleRun) takeStoreDown(fault) func() {
	s.env.Store.SetDown(true)
	return func() { s.env.Store.SetDown(false) }
}

// lowerLimits are those that the settings announced, see runSchedule.
func (s *scheduleRun) lowerLimits(fault) func() {
	s.env.Store.SetLimits(loweredValueBytes, loweredTxnChanges)
	return doNothing
}

// blockAgents has a controller and the agents not reach each other.
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

// blockStoreAndPeers leaves a controller its agents and users.
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

// callInOrder calls functions one after the other.
func callInOrder(functions []func()) func() {
	return func() {
		for _, f := range functions {
			f()
		}
	}
}

// isolateZone cuts the machines of zone b and the last controller off from all others.
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
		a.Transport().SetPolicy(s.policyForShare(1, crossesBoundary(addrsInZone[a.Addr()]), network.Drop))
		ends = append(ends, func() { a.Transport().SetPolicy(nil) })
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
