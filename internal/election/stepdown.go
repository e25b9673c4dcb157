package election

import "time"

const (
	// stepDownBackoff is how long a controller that stepped down acquires nothing.
	stepDownBackoff = 15 * time.Second
	// heartbeatSlack is what a worker may need, on top of two heartbeat intervals, to be
	// heard: an answer that is outstanding for 4 s, and the way to the next controller.
	heartbeatSlack = 6 * time.Second
	// fleetSilenceIntervals is within how many heartbeat intervals of a single machine
	// many machines together must be heard: of n that report independently, none is
	// heard for 20/n intervals by chance once in e to the 20th.
	fleetSilenceIntervals = 20
	// minFleetSilenceSlack is the least that heartbeats need in any case.
	minFleetSilenceSlack = 2 * time.Second
	// minExpectedMachines is how many machines must be known before their silence says
	// something about this controller.
	minExpectedMachines = 2
	// minLeaderTenure is how long a leader may take to be heard.
	minLeaderTenure = 8 * time.Second
	// peerSilenceTimeout is for how long a leader hears no peer before it takes itself for
	// isolated.
	peerSilenceTimeout = 6 * time.Second
	// stepDownRepeatFactor is how many lifetimes of unreachable work pass before a
	// controller that hears no worker steps down once more.
	stepDownRepeatFactor = 2
)

// HeartbeatSummary is what was heard of the machines of this controller's partitions.
type HeartbeatSummary struct {
	// Known is how many should report: they have of late, or work is bound to them.
	ExpectedMachines int
	// Any: at least one has, within the time asked for.
	HasHeartbeat bool
	// Young: a partition was acquired within that time, so that its machines may not
	// have found this controller yet.
	HasNewPartition bool
}

// WorkerContact is how workers reach this controller.
type WorkerContact interface {
	// Reporting is how many machines of its partitions have sent a heartbeat of late.
	CountReportingMachines() int
	// Heard is what was heard of them within a time.
	SummarizeHeartbeats(within time.Duration) HeartbeatSummary
	// LastHeartbeat is when any worker's last heartbeat came.
	LastHeartbeatAt() time.Time
	// ResumedAt is when this process last went on after a pause. What came in between
	// still waits in its sockets.
	ResumedAt() time.Time
}

// StepDownIfNoHeartbeats hands all keys back when no worker reaches this controller, since the
// others may well be reachable.
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
	e.Log.Info("no worker reaches this controller: it steps down from everything", "machines", heartbeats.ExpectedMachines)
	e.backoffUntil = now.Add(stepDownBackoff)
	e.ResignAll()
}

// heartbeatWindow is how long this controller may hear no worker. Many machines that all
// fall silent at once say more in a short time than few do in a long one. Their leases run
// meanwhile, and finding the successor takes them some seconds more.
func (e *Elector) heartbeatWindow(workers WorkerContact) time.Duration {
	interval := e.HeartbeatInterval
	window := 2*interval + heartbeatSlack
	if n := workers.CountReportingMachines(); n > 0 {
		fleetWindow := max(fleetSilenceIntervals*interval/time.Duration(n), interval/2+minFleetSilenceSlack)
		window = min(window, fleetWindow)
	}
	return window
}

// canPeersHaveContact tells whether it may help that somebody else has our keys: machines report
// to a peer, or that is not known. Where all machines have died everybody hears none, and
// keys that go round for ever have nobody wait for the leases to expire, so then each
// controller steps down once in that time.
func (e *Elector) canPeersHaveContact(workers WorkerContact, peers Peers) bool {
	peersHaveContact, allKnown := peers.HaveWorkerContact()
	if peersHaveContact {
		return true
	}
	return !allKnown && (e.steppedDownAt.IsZero() || workers.LastHeartbeatAt().After(e.steppedDownAt) ||
		e.Loop.Now().Sub(e.steppedDownAt) > stepDownRepeatFactor*e.MaxUnreachableWorkTime)
}

// StepDownIfIsolated hands the leadership back, held since leaderSince, when neither
// workers nor other owners reach this controller. Peers alone don't count: where
// connections between all controllers are refused, the leadership would go round for
// nothing.
func (e *Elector) StepDownIfIsolated(leaderKey string, leaderSince time.Time, partitionKeys []string, workers WorkerContact, peers Peers) {
	now := e.Loop.Now()
	if e.Token(leaderKey) == 0 || now.Sub(leaderSince) < minLeaderTenure || !peers.AreAllSilent(peerSilenceTimeout) || workers.CountReportingMachines() > 0 {
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
