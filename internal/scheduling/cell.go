// Package scheduling decides what runs where. It does no input or output and has no
// clock: events come in, transitions and intents go out.
//
// The state machines are those of "HiveD State Machines". A cell is a slice
// of a machine, carved out when it is claimed; what is not carved out is Free.
package scheduling

import (
	"fmt"
	"math"
)

// Resources is an amount of each resource, in thousandths.
type Resources struct{ CPU, GPU, RAM int64 }

// NewResources builds a Res from decimal numbers.
func NewResources(cpu, gpu, ram float64) Resources {
	return Resources{int64(cpu*1000 + 0.5), int64(gpu*1000 + 0.5), int64(ram*1000 + 0.5)}
}

// Plus adds.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.GPU + b.GPU, a.RAM + b.RAM}
}

// Minus subtracts.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.GPU - b.GPU, a.RAM - b.RAM}
}

// Times multiplies.
func (a Resources) Times(n int) Resources {
	return Resources{a.CPU * int64(n), a.GPU * int64(n), a.RAM * int64(n)}
}

// Contains tells whether b fits into a.
func (a Resources) Contains(b Resources) bool {
	return a.CPU >= b.CPU && a.GPU >= b.GPU && a.RAM >= b.RAM
}

// CountFitting is how many times b fits into a, at most most.
func (a Resources) CountFitting(b Resources, most int) int {
	n := int64(most)
	for _, p := range [][2]int64{{a.CPU, b.CPU}, {a.GPU, b.GPU}, {a.RAM, b.RAM}} {
		if p[0] < 0 {
			return 0
		}
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(n)
}

func (a Resources) positive() Resources {
	return Resources{max(a.CPU, 0), max(a.GPU, 0), max(a.RAM, 0)}
}

// CellState is a state of the paper's cell machine.
type CellState uint8

// The states of a cell. A Free cell is not kept: it is the rest of a machine.
const (
	Free CellState = iota
	Used
	Reserved
	Reserving
)

func (s CellState) String() string { return [...]string{"Free", "Used", "Reserved", "Reserving"}[s] }

// GroupState is a state of the paper's affinity group machine.
type GroupState uint8

// The states of a group; Pending, Allocated and Deleted are the stored ones.
const (
	Pending GroupState = iota
	Preempting
	Allocated
	BeingPreempted
	Deleted
)

func (s GroupState) String() string {
	return [...]string{"Pending", "Preempting", "Allocated", "BeingPreempted", "Deleted"}[s]
}

// MachineIndex is the dense index that a controller gives a machine. It is not stored,
// and another controller gives the same machine another one.
type MachineIndex int32

// GroupIndex is the dense index that a controller gives a stored group of tasks.
type GroupIndex int32

// TeamIndex is the dense index that a controller gives a team.
type TeamIndex int32

// Task identifies a task by its stored group and its number within the job.
type Task struct {
	Group  GroupIndex
	Number int32
}

// Claim says on whose behalf cells are claimed.
type Claim struct {
	Priority int
	// Guaranteed: the claim is within its team's guarantee.
	Guaranteed bool
	Team       TeamIndex
}

// CanPreempt tells whether a claim may take another's cells: strictly higher
// priority, or equal priority, within the guarantee, from a team above its
// own. It is a strict partial order, so evictions can't go in circles.
func (c Claim) CanPreempt(v Claim) bool {
	return c.Priority > v.Priority || c.Priority == v.Priority && c.Guaranteed && !v.Guaranteed && c.Team != v.Team
}

// Cell is a claimed slice of a machine.
type Cell struct {
	Machine MachineIndex
	Size    Resources
	State   CellState
	// User holds the cell in states Used and Reserving.
	User      Task
	userClaim Claim
	age       int64 // cells claimed later have larger ones
	// reservedBy reserves the cell in states Reserved and Reserving.
	reservedBy *Group
}

// Group is a gang: tasks that are started together or not at all.
type Group struct {
	Tasks    []Task
	TaskSize Resources
	Claim    Claim
	State    GroupState
	Machines []MachineIndex // one for each task, once Preempting or Allocated
	// NoPreemption groups take free cells only.
	NoPreemption bool
	cells        []*Cell // reserved or being reserved, while Preempting
	victims      int
}

// Victims is how many tasks a Preempting group waits for.
func (g *Group) Victims() int { return g.victims }

type partitionMachine struct {
	id    MachineIndex
	place int // in the part's list
	size  Resources
	free  Resources
	cells []*Cell
	known bool
}

// Partition is the cells of one part's machines.
type Partition struct {
	machines map[MachineIndex]*partitionMachine
	list     []*partitionMachine
	used     map[Task]*Cell  // Used and Reserving
	waiting  map[Task]*Group // Preempting
	claims   int64
}

// NewPartition returns a part without machines.
func NewPartition() *Partition {
	return &Partition{machines: map[MachineIndex]*partitionMachine{}, used: map[Task]*Cell{}, waiting: map[Task]*Group{}}
}

// SetMachine makes a machine and its size known.
func (p *Partition) SetMachine(m MachineIndex, size Resources) {
	x := p.machine(m)
	x.free = x.free.Plus(size.Minus(x.size))
	x.size, x.known = size, true
}

func (p *Partition) machine(m MachineIndex) *partitionMachine {
	x := p.machines[m]
	if x == nil {
		x = &partitionMachine{id: m, place: len(p.list)}
		p.machines[m] = x
		p.list = append(p.list, x)
	}
	return x
}

// RemoveMachine forgets a machine. Reservations on it are cancelled; it must
// hold no used cell any more.
func (p *Partition) RemoveMachine(m MachineIndex) {
	x := p.machines[m]
	if x == nil {
		return
	}
	for _, c := range append([]*Cell(nil), x.cells...) {
		if c.reservedBy != nil {
			p.Cancel(c.reservedBy)
		}
	}
	if len(x.cells) == 0 {
		delete(p.machines, m)
		last := p.list[len(p.list)-1]
		p.list[x.place], last.place = last, x.place
		p.list[len(p.list)-1] = nil
		p.list = p.list[:len(p.list)-1]
	}
}

// Free is what is free on a machine.
func (p *Partition) Free(m MachineIndex) Resources {
	if x := p.machines[m]; x != nil {
		return x.free
	}
	return Resources{}
}

// CellOf is the cell that a task uses, or nil.
func (p *Partition) CellOf(t Task) *Cell { return p.used[t] }

// Tasks lists the tasks that use a cell.
func (p *Partition) Tasks() []Task {
	out := make([]Task, 0, len(p.used))
	for t := range p.used {
		out = append(out, t)
	}
	return out
}

// PreemptingGroup is the Preempting group that a task is in, or nil.
func (p *Partition) PreemptingGroup(t Task) *Group { return p.waiting[t] }

// Adopt takes a stored binding over: the task's cell is Used. It is how the
// stored states are turned into cells again after a take-over.
func (p *Partition) Adopt(t Task, m MachineIndex, size Resources, claim Claim) {
	if c := p.used[t]; c != nil {
		if c.Machine == m {
			return
		}
		p.Release(t)
	}
	if g := p.waiting[t]; g != nil {
		p.Cancel(g)
	}
	p.take(t, m, size, claim)
}

func (p *Partition) take(t Task, m MachineIndex, size Resources, claim Claim) {
	p.claims++
	c := &Cell{Machine: m, Size: size, State: Used, User: t, userClaim: claim, age: p.claims}
	p.used[t] = c
	p.attach(c)
}

func (p *Partition) attach(c *Cell) {
	x := p.machine(c.Machine)
	x.cells = append(x.cells, c)
	x.free = x.free.Minus(c.Size)
}

func (p *Partition) detach(c *Cell) {
	x := p.machines[c.Machine]
	for i, o := range x.cells {
		if o == c {
			x.cells = append(x.cells[:i], x.cells[i+1:]...)
			x.free = x.free.Plus(c.Size)
			return
		}
	}
	panic(fmt.Sprintf("core: cell of machine %d is not on it", c.Machine))
}

// Release tells that a task's use of its cell has ended on proof. A Used cell
// becomes Free; a Reserving one Reserved. If that was the last one a group
// waited for, the group is Allocated and returned.
func (p *Partition) Release(t Task) *Group {
	c := p.used[t]
	if c == nil {
		return nil
	}
	delete(p.used, t)
	if c.State == Used {
		p.detach(c)
		return nil
	}
	c.State = Reserved
	g := c.reservedBy
	g.victims--
	if g.victims > 0 {
		return nil
	}
	p.allocate(g)
	return g
}

// allocate turns a Preempting group, all of whose cells are Reserved, into an
// Allocated one (the paper's e2): its reserved slices become one Used cell for
// each task, and what the victims held beyond that is Free again.
func (p *Partition) allocate(g *Group) {
	for _, c := range g.cells {
		p.detach(c)
	}
	g.cells = nil
	g.State = Allocated
	for i, t := range g.Tasks {
		delete(p.waiting, t)
		p.take(t, g.Machines[i], g.TaskSize, g.Claim)
	}
}

// Cancel ends a reservation (e5, e7): Reserving cells return to their victims,
// Reserved ones are freed, the group is Pending.
func (p *Partition) Cancel(g *Group) {
	if g.State != Preempting {
		return
	}
	g.State = Pending
	for _, c := range g.cells {
		if c.State == Reserving {
			c.State, c.reservedBy = Used, nil
		} else {
			p.detach(c)
		}
	}
	g.cells, g.victims = nil, 0
	for _, t := range g.Tasks {
		delete(p.waiting, t)
	}
}

// ScoreFunc tells how good a machine is for a group's task: lower is better,
// negative means not allowed.
type ScoreFunc func(machine MachineIndex, free Resources) float64

// Request asks for cells for all tasks of g, which must be Pending. Free cells
// are preferred; where there are none, the cells of the fewest victims of the
// lowest priority are reserved. Afterwards g is Allocated (all cells were free
// or reserved by lower groups), Preempting, or still Pending, in which case
// nothing has changed.
func (p *Partition) Request(g *Group, score ScoreFunc) {
	type choice struct {
		machine MachineIndex
		victims []*Cell
	}
	var chosen []choice
	taken := map[MachineIndex]Resources{} // free room of machines promised to earlier tasks
	mine := map[*Cell]bool{}              // cells promised to earlier tasks
	for range g.Tasks {
		best, bestScore, found := MachineIndex(0), 0.0, false
		for _, x := range p.list {
			m := x.id
			if !x.known || !x.free.Contains(g.TaskSize) {
				continue
			}
			free := x.free
			if len(taken) > 0 {
				if free = free.Minus(taken[m]); !free.Contains(g.TaskSize) {
					continue
				}
			}
			s := score(m, free)
			if s < 0 || found && (s > bestScore || s == bestScore && m > best) {
				continue
			}
			best, bestScore, found = m, s, true
		}
		if found {
			chosen = append(chosen, choice{machine: best})
			taken[best] = taken[best].Plus(g.TaskSize)
			continue
		}
		if g.NoPreemption {
			return
		}
		var pick choice
		pickCost, pickScore := -1.0, 0.0
		for _, x := range p.list {
			m := x.id
			free := x.free.Minus(taken[m])
			if !x.known || !fitsByPreemption(x, g, free, mine) {
				continue
			}
			s := score(m, x.free)
			if s < 0 {
				continue
			}
			victims, cost := p.victims(x, g, free, mine)
			if cost < 0 || pickCost >= 0 && (cost > pickCost || cost == pickCost && (s > pickScore || s == pickScore && m > pick.machine)) {
				continue
			}
			pick, pickCost, pickScore = choice{m, victims}, cost, s
		}
		if pickCost < 0 {
			return
		}
		sum := Resources{}
		for _, c := range pick.victims {
			mine[c] = true
			sum = sum.Plus(c.Size)
		}
		taken[pick.machine] = taken[pick.machine].Plus(g.TaskSize.Minus(sum).positive())
		chosen = append(chosen, pick)
	}
	g.Machines = g.Machines[:0]
	for _, ch := range chosen {
		g.Machines = append(g.Machines, ch.machine)
	}
	// First send the overwritten preemptors back to Pending (e3, e6, e8).
	for _, ch := range chosen {
		for _, c := range ch.victims {
			if c.reservedBy != nil {
				p.Cancel(c.reservedBy)
			}
		}
	}
	g.State = Preempting
	for _, t := range g.Tasks {
		p.waiting[t] = g
	}
	for _, ch := range chosen {
		sum := Resources{}
		for _, c := range ch.victims {
			if c.State != Used {
				continue // it was only reserved: freed by Cancel above
			}
			c.State, c.reservedBy = Reserving, g
			g.cells = append(g.cells, c)
			g.victims++
			sum = sum.Plus(c.Size)
		}
		if rest := g.TaskSize.Minus(sum).positive(); rest != (Resources{}) {
			c := &Cell{Machine: ch.machine, Size: rest, State: Reserved, reservedBy: g}
			g.cells = append(g.cells, c)
			p.attach(c)
		}
	}
	if g.victims == 0 {
		p.allocate(g)
	}
}

// canTake tells whether g may take a cell that others use or reserve.
func canTake(c *Cell, g *Group, mine map[*Cell]bool) bool {
	return (c.reservedBy == nil || g.Claim.CanPreempt(c.reservedBy.Claim)) && (c.State == Reserved || g.Claim.CanPreempt(c.userClaim)) && !mine[c]
}

// fitsByPreemption tells whether a machine has room for a task of g when all are evicted
// that may be: most have not, and need no closer look.
func fitsByPreemption(x *partitionMachine, g *Group, free Resources, mine map[*Cell]bool) bool {
	if !x.size.Contains(g.TaskSize) {
		return false
	}
	for _, c := range x.cells {
		if canTake(c, g, mine) {
			if free = free.Plus(c.Size); free.Contains(g.TaskSize) {
				return true
			}
		}
	}
	return false
}

// victims chooses cells of a machine for one task of g: the fewest, of the
// lowest priority. The cost is negative if there aren't enough.
func (p *Partition) victims(x *partitionMachine, g *Group, free Resources, mine map[*Cell]bool) ([]*Cell, float64) {
	var can []*Cell
	for _, c := range x.cells {
		if canTake(c, g, mine) {
			can = append(can, c)
		}
	}
	var out []*Cell
	cost := 0.0
	for !free.Contains(g.TaskSize) {
		best := -1
		for i, c := range can {
			if best < 0 || victimWeight(c) < victimWeight(can[best]) ||
				victimWeight(c) == victimWeight(can[best]) && (c.Size.CPU > can[best].Size.CPU ||
					c.Size.CPU == can[best].Size.CPU && c.age > can[best].age) { // the youngest loses least
				best = i
			}
		}
		if best < 0 {
			return nil, -1
		}
		c := can[best]
		can = append(can[:best], can[best+1:]...)
		out = append(out, c)
		free = free.Plus(c.Size)
		cost += 1 + 1000*victimWeight(c) + p.loss(c)
	}
	return out, cost
}

// loss is what stopping a cell's task loses beside others of its weight, below
// one: those that were claimed before most others have run longest, and many are
// about to end. In a few steps, so that among like ones the better machine wins.
func (p *Partition) loss(c *Cell) float64 {
	if c.State == Reserved {
		return 0
	}
	const steps = 4
	older := float64(p.claims-c.age) / float64(2*len(p.used)+1)
	return min(math.Floor(older*steps), steps-1) / (2 * steps)
}

// victimWeight orders victims: reserved slices stop nobody, then by priority.
func victimWeight(c *Cell) float64 {
	if c.State == Reserved {
		return 0
	}
	w := float64(1 + 2*c.userClaim.Priority)
	if c.userClaim.Guaranteed {
		w++
	}
	return w
}

// CheckInvariants verifies the invariants; tests call it after every event.
func (p *Partition) CheckInvariants() error {
	owned := map[Task]int{}
	for m, x := range p.machines {
		free := x.size
		for _, c := range x.cells {
			free = free.Minus(c.Size)
			if (c.State == Used || c.State == Reserving) && p.used[c.User] != c {
				return fmt.Errorf("machine %d: cell of %v is not its user's", m, c.User)
			}
			if (c.reservedBy != nil) != (c.State == Reserved || c.State == Reserving) {
				return fmt.Errorf("machine %d: %v cell with reserver %v", m, c.State, c.reservedBy != nil)
			}
			if c.reservedBy != nil && c.reservedBy.State != Preempting {
				return fmt.Errorf("machine %d: reserved by a group in %v", m, c.reservedBy.State)
			}
			if c.State == Reserving && !c.reservedBy.Claim.CanPreempt(c.userClaim) {
				return fmt.Errorf("machine %d: %v reserves from %v", m, c.reservedBy.Claim, c.userClaim)
			}
			if c.State != Reserved {
				owned[c.User]++
			}
		}
		if free != x.free {
			return fmt.Errorf("machine %d: free is %v, cells leave %v", m, x.free, free)
		}
	}
	for t, c := range p.used {
		if owned[t] != 1 {
			return fmt.Errorf("task %v has %d cells", t, owned[t])
		}
		if c.User != t {
			return fmt.Errorf("cell of %v is listed for %v", c.User, t)
		}
	}
	for t, g := range p.waiting {
		if p.used[t] != nil {
			return fmt.Errorf("task %v waits and runs", t)
		}
		n := 0
		for _, c := range g.cells {
			if c.State == Reserving {
				n++
			}
		}
		if n != g.victims || n == 0 {
			return fmt.Errorf("group of %v counts %d victims, has %d", t, g.victims, n)
		}
	}
	return nil
}
