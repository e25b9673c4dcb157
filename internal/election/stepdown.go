package election

import "time"

const (
	// stepDownBackoff is the time for which a controller acquires no key after stepping down.
	stepDownBackoff = 15 * time.Second
	// heartbeatSlack is the time that a worker may need, in addition to two heartbeat
	// intervals, to reach this controller: 4 s for a request without a response, and then the
	// time to try the next controller.
	heartbeatSlack = 6 * time.Second
	// fleetHeartbeatIntervals is the number of heartbeat intervals, divided by the number of
	// machines, within which at least one of many machines must send a heartbeat. If n
	// machines report independently of each other, the probability that none does in 20/n
	// intervals is e to the power of -20.
	fleetHeartbeatIntervals = 20
	// minFleetHeartbeatSlack is the time that heartbeats may need, however many machines report.
	minFleetHeartbeatSlack = 2 * time.Second
	// minExpectedMachines is the number of machines that must be expected to report before
	// a lack of heartbeats counts as evidence against this controller's network.
	minExpectedMachines = 2
	// minLeaderTenure is the minimum time between becoming the leader and stepping down as
	// isolated.
	minLeaderTenure = 8 * time.Second
	// peerIsolationTimeout is the time without a status from any peer after which a leader
	// considers itself isolated.
	peerIsolationTimeout = 6 * time.Second
	// stepDownRepeatFactor is the number of MaxUnreachableWorkDuration periods that pass before a
	// controller that still receives no heartbeats steps down again.
	stepDownRepeatFactor = 2
)

// HeartbeatSummary summarizes the heartbeats from the machines of this controller's partitions.
type HeartbeatSummary struct {
	// ExpectedMachines is the number of machines that should report: those that have
	// reported recently, and those with bound tasks.
	ExpectedMachines int
	// HasHeartbeat is set if at least one of them reported within the given time.
	HasHeartbeat bool
	// HasNewPartition is set if a partition was acquired within the given time, so that
	// its machines may not have found this controller yet.
	HasNewPartition bool
}

// WorkerContact describes the heartbeats that this controller receives from workers.
type WorkerContact interface {
	// CountReportingMachines returns the number of machines of its partitions that have sent
	// a heartbeat recently.
	CountReportingMachines() int
	// SummarizeHeartbeats summarizes the heartbeats received within the given time.
	SummarizeHeartbeats(within time.Duration) HeartbeatSummary
	// LastHeartbeatAt returns the time of the last heartbeat from any worker.
	LastHeartbeatAt() time.Time
	// ResumedAt returns the time at which this process last resumed after a pause. Messages
	// that arrived during the pause may still be unread in its sockets.
	ResumedAt() time.Time
}

// StepDownIfNoHeartbeats resigns all keys when no heartbeat reaches this controller, since other
// controllers may well be reachable.
func (e *Elector) StepDownIfNoHeartbeats(workers WorkerContact, peers Peers) {
	now, window := e.Loop.Now(), e.heartbeatWindow(workers)
	if now.Sub(workers.ResumedAt()) < window {
		return
	}
	heartbeats := workers.SummarizeHeartbeats(window)
	if heartbeats.ExpectedMachines < minExpectedMachines || heartbeats.HasHeartbeat || heartbeats.HasNewPartition || !e.canPeersHaveContact(workers, peers) {
		return
	}
	e.steppedDownAt = now
	e.Log.Info("no worker reaches this controller: it resigns all leased keys", "machines", heartbeats.ExpectedMachines)
	e.backoffUntil = now.Add(stepDownBackoff)
	e.ResignAll()
}

// heartbeatWindow returns how long this controller may go without a heartbeat. If the heartbeats of
// many machines stop at once, a short time is enough evidence; for few machines it takes longer.
// The window must be short, since workers' leases keep running out meanwhile and workers need a few
// more seconds to find the next owner.
func (e *Elector) heartbeatWindow(workers WorkerContact) time.Duration {
	interval := e.HeartbeatInterval
	window := 2*interval + heartbeatSlack
	if n := workers.CountReportingMachines(); n > 0 {
		fleetWindow := max(fleetHeartbeatIntervals*interval/time.Duration(n), interval/2+minFleetHeartbeatSlack)
		window = min(window, fleetWindow)
	}
	return window
}

// canPeersHaveContact reports whether it may help to give the keys to other controllers: a peer
// has contact with workers, or it is not known whether any has. If all machines have died, no
// controller receives heartbeats. If the keys were then passed on again and again, no owner would
// wait long enough for the workers' leases to expire. Therefore, while no heartbeat arrives and no
// peer is known to have contact, a controller steps down only once in stepDownRepeatFactor times
// MaxUnreachableWorkDuration.
func (e *Elector) canPeersHaveContact(workers WorkerContact, peers Peers) bool {
	peersHaveContact, allKnown := peers.HaveWorkerContact()
	if peersHaveContact {
		return true
	}
	return !allKnown && (e.steppedDownAt.IsZero() || workers.LastHeartbeatAt().After(e.steppedDownAt) ||
		e.Loop.Now().Sub(e.steppedDownAt) > stepDownRepeatFactor*e.MaxUnreachableWorkDuration)
}

// StepDownIfIsolated resigns the leadership, held since leaderSince, when neither workers nor
// other partition owners reach this controller. Unreachable peers alone are not a sufficient
// reason: if connections between all controllers were refused, the leadership would keep
// changing without any benefit.
func (e *Elector) StepDownIfIsolated(leaderKey string, leaderSince time.Time, partitionKeys []string, workers WorkerContact, peers Peers) {
	now := e.Loop.Now()
	if e.Token(leaderKey) == 0 || now.Sub(leaderSince) < minLeaderTenure || !peers.IsIsolated(peerIsolationTimeout) || workers.CountReportingMachines() > 0 {
		return
	}
	for _, key := range partitionKeys {
		if holder, held := e.holders[key]; held && holder.Node != e.Node {
			e.Log.Info("neither workers nor other owners reach this leader: it steps down")
			e.Resign(leaderKey)
			e.keys[leaderKey].backoffUntil = now.Add(stepDownBackoff)
			return
		}
	}
}
