package controller

import (
	"hash/fnv"
	"time"

	"eiderhitch/internal/scheduling"
)

// partition is one hash part of the machines.
type partition struct {
	index            int
	key              string
	token            uint64 // stamp of our holding; 0: not ours
	firstToken       uint64 // the first of our terms since it was last taken
	mostNotReceiving bool   // most of its machines seem not to hear us: see machine.notReceiving
	ownedSince       time.Time
	active           bool // replica was read after the take-over
	cells            *scheduling.Partition
	reservations     map[scheduling.Task]reservation
	tokenRaiseDue    bool
	tokenRaisedAt    time.Time
	// machines are those that are in the part, whoever owns it.
	machines []*machine
	groups   []*taskGroup // that it is in charge of
	// foreignGroups are records of other parts of which tasks have ended on a machine of this
	// one, as on one that was lent and came back when its borrower ended: nobody else
	// knows, and who is in charge of the record would wait for ever.
	foreignGroups map[*taskGroup]bool
	unplaced      int // tasks that found no cell in this step so far
	// Cells that came free since endsSince, and in the time before that.
	freedCells, freedCellsBefore int
	freedCellsSince              time.Time
	// mostUnreachable as counted at a time, see there.
	mostUnreachable bool
	countedAt       time.Time
	// formerOwnerStaleness is how long a former owner may go on answering reports.
	formerOwnerStaleness time.Duration
}

// reservation is a claimed cell whose binding is not stored yet.
type reservation struct {
	machine     *machine
	incarnation uint64
}

// attemptEnd is the proven end of an attempt.
type attemptEnd struct {
	attempt uint64
	done    bool
	failed  bool
}

// freedCellsWindow is the time over which a part's ends are counted.
const freedCellsWindow = 5 * time.Second

// countFreedCell counts a cell that came free.
func (p *partition) countFreedCell(now time.Time) {
	if now.Sub(p.freedCellsSince) > freedCellsWindow {
		p.freedCellsBefore, p.freedCells = p.freedCells, 0
		if now.Sub(p.freedCellsSince) > 2*freedCellsWindow {
			p.freedCellsBefore = 0
		}
		p.freedCellsSince = now
	}
	p.freedCells++
}

// freedCellsWithin is about how many cells come free in d.
func (p *partition) freedCellsWithin(now time.Time, d time.Duration) int {
	if now.Sub(p.freedCellsSince) > 2*freedCellsWindow {
		return 0
	}
	return int(int64(p.freedCellsBefore) * int64(d) / int64(freedCellsWindow))
}

// partitionOf is the part that a machine belongs to.
func partitionOf(machine string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	// FNV's low bits alone are uneven for names that differ in a digit.
	v := h.Sum32()
	v ^= v >> 15
	v *= 0x2c1b3c6d
	v ^= v >> 12
	return int(v % uint32(parts))
}
