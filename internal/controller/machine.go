package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerlease"
)

// machine holds what this controller knows about one worker machine.
type machine struct {
	name, addr, machineType, zone string
	spot                          bool
	index                         scheduling.MachineIndex
	// hashPartition is the partition that the machine's name hashes to. partition is the one it
	// currently belongs to; it differs from hashPartition while the machine is on loan.
	// inPartitionList is set while the machine is in the list of machines of that partition.
	hashPartition   int
	partition       int
	inPartitionList bool
	// partitionChangedAt is the time of the machine's last change of partition. lastBoundAt is
	// the time at which a task was last bound to the machine while it was on loan. Both are
	// zero if that has not happened.
	partitionChangedAt time.Time
	lastBoundAt        time.Time
	// partitionSince is the revision at which the machine changed partitions last, or 0 if it has
	// not. Tokens of its earlier owners are lower.
	partitionSince uint64
	bindings       machineBindings // according to the stored records
	terminated     bool            // a stored tombstone names the machine, or it has never come up

	// The fields below come from the machine's heartbeats, or are maintained by the owner of its
	// partition. Until the first heartbeat, incarnation may come from records or peers.

	incarnation, sequence uint64 // of the latest heartbeat
	token                 uint64 // highest fencing token that the machine's agent has seen
	// raisedToken is the token of the commands to this machine if it is higher than that of the
	// partition; see raiseCommandToken.
	raisedToken uint64
	heartbeatAt time.Time
	// heartbeatIncarnation is the incarnation in the last heartbeat that the machine sent on its own.
	heartbeatIncarnation uint64
	// lease is what is known about the lease of the machine's agent.
	lease                 workerlease.Lease
	terminationAt         time.Time // announced termination by the cloud; zero without a notice
	tasks                 []wire.TaskStatus
	cachedImages          map[string]bool
	fetchStartedAt        map[string]time.Time // start times of image fetches in progress, by image
	placementBackoffUntil time.Time            // no task is placed on the machine before this time
	failedJobs            map[string]time.Time // time of the last task failure on the machine, by job
	cordoned              bool
	cordonedAt            time.Time

	// responseCarriesStart is set while a heartbeat response with a start command is
	// unconfirmed. A worker has one heartbeat in flight at a time, so its next heartbeat proves
	// that the response was executed or dropped. Until then the start may still arrive, and it
	// is unsafe both to treat the task as absent and to let the worker forget an exited task.
	responseCarriesStart bool
	// lastMessageAt is the time of the last new message from the machine: a heartbeat or the
	// answer to a direct command.
	lastMessageAt time.Time
	// hasMissedResponses is set when the machine lost its lease although its heartbeats were
	// answered, and is cleared by its next answer to a direct command. Such a machine may be
	// able to send but not to receive.
	hasMissedResponses bool
	commandState       directCommandState

	// isSchedulable, seemsSilent and runsServiceOrGang cache the results of
	// partitionOwner.isSchedulable, clusterState.seemsSilent and clusterState.runsServiceOrGang.
	// schedulablePass, which is that of the first two, and runsServiceOrGangPass are the numbers
	// of the scheduling passes in which they were computed.
	isSchedulable, seemsSilent, runsServiceOrGang bool
	schedulablePass, runsServiceOrGangPass        uint64
}

// directCommandState tracks the direct commands sent to one machine.
type directCommandState struct {
	inFlight     bool // a request is in flight; there is at most one at a time
	carriesStart bool // the request in flight carries a start command
	sendAgain    bool // commands were requested while a request was in flight; they are sent after it
	// unansweredStartToken is the fencing token of a start command that was not answered. The
	// start may still arrive until the machine has seen a higher token. 0 means that there is
	// none.
	unansweredStartToken uint64
	// directStartToken is the highest token under which a direct request carried a start command to
	// the agent's current incarnation. The request may be repeated, and is then executed again
	// unless the machine has seen a higher token. 0 means that there was none.
	directStartToken uint64
	// backoffUntil is the time before which no request is sent.
	backoffUntil time.Time
	// unanswered counts the requests that were not answered since the last answer.
	unanswered int
}

// hasStartInFlight reports whether a start command that was sent to the machine may still arrive
// for the first time: in a heartbeat response, in a direct command in flight, or in a direct
// command that was not answered, unless the machine has seen a higher token.
func (m *machine) hasStartInFlight() bool {
	return m.hasUnansweredStart() || m.commandState.carriesStart || m.responseCarriesStart
}

// hasUnansweredStart reports whether a start command in a direct command that was not answered may
// still arrive.
func (m *machine) hasUnansweredStart() bool {
	return m.commandState.unansweredStartToken != 0 && m.token <= m.commandState.unansweredStartToken
}

// machineBindings lists the tasks bound to a machine. It is a slice because it is short and is
// iterated in every scheduling pass and for every heartbeat.
type machineBindings []machineBinding

// machineBinding is a task bound to a machine, with the task group whose record binds it.
type machineBinding struct {
	task  scheduling.TaskID
	group *taskGroup
}

func (s *machineBindings) add(task scheduling.TaskID, group *taskGroup) {
	s.remove(task)
	*s = append(*s, machineBinding{task, group})
}

func (s *machineBindings) remove(task scheduling.TaskID) {
	*s = slices.DeleteFunc(*s, func(x machineBinding) bool { return x.task == task })
}

// mergeIdentity takes over an address and an agent incarnation from records or peers: the
// address if none is known, the incarnation if it is newer.
func (m *machine) mergeIdentity(addr string, incarnation uint64, now time.Time) {
	if m.addr == "" {
		m.addr = addr
	}
	if incarnation > m.incarnation {
		m.incarnation, m.sequence = incarnation, 0
		m.lease.SeeSession(incarnation, now, workerlease.SeenElsewhere)
	}
}

// removeMachines removes the machines for which shouldRemove returns true from the partition's
// list.
func (p *partition) removeMachines(shouldRemove func(*machine) bool) {
	p.machines = slices.DeleteFunc(p.machines, func(m *machine) bool {
		if !shouldRemove(m) {
			return false
		}
		m.inPartitionList = false
		return true
	})
}

// machineOwnedSince returns the time from which this controller has owned the machine: the
// later of the partition's takeover and the machine's move into the partition.
func (p *partition) machineOwnedSince(m *machine) time.Time {
	if m.partitionChangedAt.After(p.ownedSince) {
		return m.partitionChangedAt
	}
	return p.ownedSince
}
