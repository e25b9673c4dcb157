package controller

import (
	"hash/fnv"
	"time"

	"eiderhitch/internal/scheduling"
)

// partition is one hash partition of the machines, or the leader's partition, which holds the
// machines on loan.
type partition struct {
	// index is the partition's index among those of the cluster, key its leased key in the
	// key-value store.
	index int
	key   string

	// token is the fencing token of this controller's lease on the partition; 0 means that this
	// controller does not own it. firstToken is the first token since ownedSince, when the lease
	// was last acquired.
	token, firstToken uint64
	ownedSince        time.Time
	// takeoverComplete is set once the replica has been read after the lease was acquired and the
	// cells have been rebuilt from it.
	takeoverComplete bool
	// formerOwnerMaxStaleness is how long after ownedSince a former owner may still answer
	// heartbeats.
	formerOwnerMaxStaleness time.Duration
	// tokenRaiseDue requests a higher token. tokenRaiseRequestedAt is when one was last
	// requested.
	tokenRaiseDue         bool
	tokenRaiseRequestedAt time.Time

	// machines are the machines in the partition and groups the task groups assigned to it. Both
	// are maintained for all partitions, including those of other controllers.
	machines []*machine
	groups   []*taskGroup
	// otherPartitionsGroups are task groups of other partitions with tasks that ended on a
	// machine of this partition, for example on a machine that was on loan and came back when the
	// borrowing job ended. No other controller observes these ends: unless this owner stores
	// them, the group's owner waits for them forever.
	otherPartitionsGroups map[*taskGroup]bool

	// cells and reservations are nil unless this controller owns the partition. reservations has
	// the cells that are reserved for tasks whose bindings are not stored yet.
	cells        *scheduling.Partition
	reservations map[scheduling.TaskID]reservation
	// unplacedInPass counts the tasks that have found no cell in the current scheduling pass;
	// exhaustedClasses holds the placement classes that have no room left in it.
	unplacedInPass   int
	exhaustedClasses map[placementClass]bool
	// freedInWindow counts the cells freed since freedWindowStart, freedInPreviousWindow those
	// freed in the window before.
	freedInWindow, freedInPreviousWindow int
	freedWindowStart                     time.Time

	// mostNotReceiving is set while most of the partition's machines seem not to receive
	// messages; see machine.isNotReceiving.
	mostNotReceiving bool
	// mostUnreachable is set while most of the partition's machines seem unreachable, as of
	// unreachableCountedAt.
	mostUnreachable      bool
	unreachableCountedAt time.Time
}

// reservation is a reserved cell whose binding is not stored yet.
type reservation struct {
	machine     *machine
	incarnation uint64
}

// boundAttempt identifies one binding of a task. The attempt number alone does not: in a gang, a
// replacement task has the number of the attempt that it completes.
type boundAttempt struct {
	attempt     uint64
	machine     *machine
	incarnation uint64
}

// attemptEnd is the proven end of an attempt. done is set if the task ran to completion, failed
// if it exited with an error; neither is set if the attempt was lost or stopped.
type attemptEnd struct {
	attempt boundAttempt
	done    bool
	failed  bool
}

// freedCellsWindow is the length of the window over which freed cells are counted.
const freedCellsWindow = 5 * time.Second

// countFreedCell counts a cell that became free at now.
func (p *partition) countFreedCell(now time.Time) {
	if now.Sub(p.freedWindowStart) > freedCellsWindow {
		p.freedInPreviousWindow, p.freedInWindow = p.freedInWindow, 0
		if now.Sub(p.freedWindowStart) > 2*freedCellsWindow {
			p.freedInPreviousWindow = 0
		}
		p.freedWindowStart = now
	}
	p.freedInWindow++
}

// estimateFreedCells estimates how many cells become free within d, from the number in the
// previous window. It returns 0 if the current window began more than two window lengths ago,
// because no cell has become free since its end.
func (p *partition) estimateFreedCells(now time.Time, d time.Duration) int {
	if now.Sub(p.freedWindowStart) > 2*freedCellsWindow {
		return 0
	}
	return int(int64(p.freedInPreviousWindow) * int64(d) / int64(freedCellsWindow))
}

// mixingFactor is an arbitrary odd 32-bit multiplier without a regular bit pattern. It
// propagates a change of any input bit to the higher bits.
const mixingFactor = 0x2c1b3c6d

// addGroup adds a task group to the partition's list.
func (p *partition) addGroup(group *taskGroup) {
	p.groups = append(p.groups, group)
	group.listPosition = len(p.groups)
}

// removeGroup removes a task group from the partition's list and moves the last group to its
// position.
func (p *partition) removeGroup(group *taskGroup) {
	end := len(p.groups) - 1
	last := p.groups[end]
	p.groups[group.listPosition-1], last.listPosition = last, group.listPosition
	p.groups[end] = nil
	p.groups, group.listPosition = p.groups[:end], 0
}

// hashPartitionIndex returns the index of the hash partition, out of count, that a machine
// belongs to.
func hashPartitionIndex(machine string, count int) int {
	hasher := fnv.New32a()
	_, _ = hasher.Write([]byte(machine))
	// FNV-1a alone distributes names that differ in one digit unevenly in its low bits.
	hash := hasher.Sum32()
	hash ^= hash >> 15
	hash *= mixingFactor
	hash ^= hash >> 12
	return int(hash % uint32(count))
}
