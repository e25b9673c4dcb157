package controller

import (
	"hash/fnv"
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
)

// partition is one hash partition of the machines, or the leader's, of machines on loan.
type partition struct {
	index int
	key   string

	// token is the fencing token of this controller's lease of the partition; 0: it does not
	// own it. firstToken is the first since the lease was last acquired, at ownedSince.
	token, firstToken uint64
	// recentTokens are the newest tokens since then.
	recentTokens []uint64
	ownedSince   time.Time
	// active: the replica was read after the failover.
	takeoverComplete bool
	// formerOwnerMaxStaleness is how long a former owner may go on answering heartbeats.
	formerOwnerMaxStaleness time.Duration
	// tokenRaiseDue: a higher token is needed; tokenRaiseRequestedAt is when one was last asked for.
	tokenRaiseDue         bool
	tokenRaiseRequestedAt time.Time

	// machines are those that are in the partition, whoever owns it; groups are assigned to it.
	machines []*machine
	groups   []*taskGroup
	// otherPartitionsGroups are task groups of other partitions of which tasks have ended on a machine
	// of this one, as on one that was on loan and came back when its borrower ended: nobody
	// else knows, and the owner of the group would wait for ever.
	otherPartitionsGroups map[*taskGroup]bool

	cells        *scheduling.Partition
	reservations map[scheduling.TaskID]reservation
	// unplaced counts the tasks that found no cell in this pass so far; exhausted are the
	// classes of those for which there is no room.
	unplacedInPass   int
	exhaustedClasses map[placementClass]bool
	// freedInWindow counts the cells that came free since freedWindowStart, freedInPreviousWindow
	// those of the window before that.
	freedInWindow, freedInPreviousWindow int
	freedWindowStart                     time.Time

	// mostNotReceiving: most of its machines seem not to receive, see machine.notReceiving.
	mostNotReceiving bool
	// mostUnreachable: most of its machines seem unreachable, as counted at unreachableCountedAt.
	mostUnreachable      bool
	unreachableCountedAt time.Time
}

// maxRecentTokens is how many tokens of a partition are remembered. A machine that last showed an
// older one is asked to show the present one.
const maxRecentTokens = 32

// setToken notes a new fencing token of this controller's lease.
func (p *partition) setToken(token uint64) {
	p.token = token
	p.recentTokens = append(p.recentTokens, token)
	if excess := len(p.recentTokens) - maxRecentTokens; excess > 0 {
		p.recentTokens = slices.Delete(p.recentTokens, 0, excess)
	}
}

// isOwnToken tells whether a machine that has seen a token, and none higher, has been spoken to
// by this controller as the partition's owner. Tokens are revisions of one store: one of another
// partition may be between two of this one.
func (p *partition) isOwnToken(token uint64) bool {
	if token < p.firstToken {
		return false
	}
	return token == p.firstToken || token >= p.token || slices.Contains(p.recentTokens, token)
}

// reservation is a reserved cell whose binding is not stored yet.
type reservation struct {
	machine     *machine
	incarnation uint64
}

// boundAttempt tells one binding of a task from all others. The number of the attempt alone
// does not: in a gang, replacements have the number of the attempt that they complete.
type boundAttempt struct {
	attempt     uint64
	machine     *machine
	incarnation uint64
}

// attemptEnd is the proven end of an attempt.
type attemptEnd struct {
	attempt boundAttempt
	done    bool
	failed  bool
}

// freedCellsWindow is the time over which the cells that come free are counted.
const freedCellsWindow = 5 * time.Second

// countFreedCell counts a cell that came free.
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

// estimateFreedCells is about how many cells come free in d.
func (p *partition) estimateFreedCells(now time.Time, d time.Duration) int {
	if now.Sub(p.freedWindowStart) > 2*freedCellsWindow {
		return 0
	}
	return int(int64(p.freedInPreviousWindow) * int64(d) / int64(freedCellsWindow))
}

// mixingFactor is an odd number without a pattern, which spreads changes over all bits.
const mixingFactor = 0x2c1b3c6d

// addGroup adds a task group to those of the partition.
func (p *partition) addGroup(group *taskGroup) {
	p.groups = append(p.groups, group)
	group.listPosition = len(p.groups)
}

// removeGroup removes a task group from those of the partition. The last takes its place.
func (p *partition) removeGroup(group *taskGroup) {
	end := len(p.groups) - 1
	last := p.groups[end]
	p.groups[group.listPosition-1], last.listPosition = last, group.listPosition
	p.groups[end] = nil
	p.groups, group.listPosition = p.groups[:end], 0
}

// hashPartitionIndex is the hash partition that a machine belongs to, of count.
func hashPartitionIndex(machine string, count int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	// FNV's low bits alone are uneven for names that differ in a digit.
	v := h.Sum32()
	v ^= v >> 15
	v *= mixingFactor
	v ^= v >> 12
	return int(v % uint32(count))
}
