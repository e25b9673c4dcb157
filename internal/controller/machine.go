package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// machine is what a controller knows of one machine.
type machine struct {
	name, addr, machineType, zone string
	spot                          bool
	index                         scheduling.MachineIndex
	// hashPartition is the partition of its name; partition is the one that it is in, which
	// is another while it is lent. listed: it is among the machines of that.
	hashPartition   int
	partition       int
	inPartitionList bool
	// partitionAssignedAt is when it last came to another partition; lastBoundAt, for one that
	// is lent, when a task was last bound to it there.
	partitionChangedAt time.Time
	lastBoundAt        time.Time
	bindings           machineBindings // by the records
	terminated         bool

	// What the owner of its partition knows by its heartbeats.

	incarnation, sequence uint64 // of its newest heartbeat
	token                 uint64 // the highest that its agent has seen
	heartbeatAt           time.Time
	// leaseRenewedAt is when the last response was sent that may have renewed its lease.
	leaseRenewedAt        time.Time
	terminationAt         time.Time // when the cloud takes it; zero: it has no notice
	tasks                 []wire.TaskStatus
	cachedImages          map[string]bool
	fetchStartedAt        map[string]time.Time // images that are being fetched, since when
	placementBackoffUntil time.Time            // nothing is placed on it before then
	failedJobs            map[string]time.Time // jobs of which a task failed on it, and when
	cordoned              bool
	cordonedAt            time.Time

	// responseCarriesStart: a response to a heartbeat carries a start, and no later heartbeat
	// has come. A worker has one heartbeat in flight at a time, so the next one proves that
	// the response was executed or dropped. Until then the start may still arrive, and
	// neither absence nor forgetting an exited task is safe.
	responseCarriesStart bool
	// answeredAt is when the machine last sent anything new: a heartbeat, or its answer to a
	// direct command.
	lastMessageAt time.Time
	// leaseLostWhileHeard: the machine lost its lease although its heartbeats were answered,
	// and has not answered a direct command since. It may send without receiving anything.
	leaseLostWhileHeard bool
	commandState        directCommandState

	// Worked out once in a scheduling pass, see clusterState.schedulable and clusterState.runsService.
	schedulable, runsService         bool
	schedulablePass, runsServicePass uint64
}

// directCommandState is the state of the direct commands to one machine.
type directCommandState struct {
	inFlight     bool // a request is under way; there is one at a time
	carriesStart bool // the one under way carries a start
	sendAgain    bool // commands were wanted while one was under way: they are sent after it
	// unansweredStartToken is the token of a start that went unanswered and may arrive as
	// long as the machine has seen no higher one; 0: none.
	unansweredStartToken uint64
	// backoffUntil: nothing is sent before then.
	backoffUntil time.Time
	// unanswered counts the requests without an answer since the last answer.
	unanswered int
}

// startMayArrive tells whether a start that the machine was sent may still arrive: one in a
// response to a heartbeat, in a direct command under way, or in one that went unanswered
// under the owner's present token.
func (m *machine) startMayArrive(p *partition) bool {
	return m.commandState.unansweredStartToken == p.token || m.commandState.carriesStart || m.responseCarriesStart
}

// machineBindings are the tasks that are bound to a machine: few, and gone through in every
// scheduling pass and with every heartbeat.
type machineBindings []machineBinding

// machineBinding is one of them, with the group whose record binds it.
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

// introduce notes what others have said of a machine: its address, and an incarnation of its
// agent. Only the machine's own heartbeats tell more.
func (m *machine) mergeIdentity(addr string, incarnation uint64) {
	if m.addr == "" {
		m.addr = addr
	}
	if incarnation > m.incarnation {
		m.incarnation, m.sequence = incarnation, 0
	}
}

// removeMachines takes machines out of a partition's list.
func (p *partition) removeMachines(shouldRemove func(*machine) bool) {
	p.machines = slices.DeleteFunc(p.machines, func(m *machine) bool {
		if !shouldRemove(m) {
			return false
		}
		m.inPartitionList = false
		return true
	})
}

// machineOwnedSince is since when a partition's owner has had a machine.
func (p *partition) machineOwnedSince(m *machine) time.Time {
	if m.partitionChangedAt.After(p.ownedSince) {
		return m.partitionChangedAt
	}
	return p.ownedSince
}
