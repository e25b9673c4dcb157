package scheduling

import (
	"testing"

	"pgregory.net/rapid"
)

func anyMachine(MachineIndex, Resources) float64 { return 0 }

// Any order of requests, endings, cancellations, adoptions and lost machines
// keeps the invariants of Check: no cell owned twice, none over-committed,
// every reservation strictly from lower claims.
func TestCellsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		machines := rapid.IntRange(1, 4).Draw(t, "machines")
		for m := range machines {
			p.SetMachine(MachineIndex(m), NewResources(8, 0, 16))
		}
		var next int32
		var groups []*Group
		running := func() []Task {
			var out []Task
			for n := range next {
				if p.CellOf(Task{0, n}) != nil {
					out = append(out, Task{0, n})
				}
			}
			return out
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				g := &Group{
					TaskSize: NewResources(float64(rapid.IntRange(1, 5).Draw(t, "cpu")), 0, 1),
					Claim: Claim{
						Priority:   rapid.IntRange(0, 3).Draw(t, "level"),
						Guaranteed: rapid.Bool().Draw(t, "own"),
						Team:       TeamIndex(rapid.IntRange(0, 2).Draw(t, "team")),
					},
				}
				for range rapid.IntRange(1, 4).Draw(t, "tasks") {
					g.Tasks = append(g.Tasks, Task{0, next})
					next++
				}
				p.Request(g, anyMachine)
				groups = append(groups, g)
				started := 0
				for _, x := range g.Tasks {
					if p.CellOf(x) != nil {
						started++
					}
				}
				if started != 0 && started != len(g.Tasks) {
					t.Fatalf("%d of %d tasks hold cells: a gang starts whole", started, len(g.Tasks))
				}
			},
			"gone": func(t *rapid.T) {
				if r := running(); len(r) > 0 {
					if g := p.Release(rapid.SampledFrom(r).Draw(t, "task")); g != nil && g.State != Allocated {
						t.Fatalf("a returned group is %v", g.State)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if len(groups) > 0 {
					p.Cancel(rapid.SampledFrom(groups).Draw(t, "group"))
				}
			},
			"lose machine": func(t *rapid.T) {
				m := MachineIndex(rapid.IntRange(0, machines-1).Draw(t, "machine"))
				for _, x := range running() {
					if p.CellOf(x).Machine == m {
						p.Release(x)
					}
				}
				p.RemoveMachine(m)
				p.SetMachine(m, NewResources(8, 0, 16))
			},
			"": func(t *rapid.T) {
				if err := p.CheckInvariants(); err != nil {
					t.Fatal(err)
				}
				for m, x := range p.machines {
					if !x.free.Contains(Resources{}) {
						t.Fatalf("machine %d is over-committed: %v", m, x.free)
					}
				}
			},
		})
	})
}

func group(level int, cpu float64, nums ...int32) *Group {
	g := &Group{TaskSize: NewResources(cpu, 0, 1), Claim: Claim{Priority: level}}
	for _, n := range nums {
		g.Tasks = append(g.Tasks, Task{0, n})
	}
	return g
}

// A gang waits until every victim is gone and then gets all its cells.
func TestPreemptorWaitsForAllVictims(t *testing.T) {
	p := NewPartition()
	p.SetMachine(0, NewResources(4, 0, 8))
	low := group(0, 2, 0, 1)
	p.Request(low, anyMachine)
	high := group(2, 4, 2)
	p.Request(high, anyMachine)
	if low.State != Allocated || high.State != Preempting {
		t.Fatalf("low %v, high %v", low.State, high.State)
	}
	if c := p.CellOf(Task{0, 0}); c.State != Reserving {
		t.Fatalf("the victim's cell is %v", c.State)
	}
	if g := p.Release(Task{0, 0}); g != nil {
		t.Fatal("allocated while a victim still runs")
	}
	if g := p.Release(Task{0, 1}); g != high || high.State != Allocated {
		t.Fatalf("after the last victim: %v", high.State)
	}
}

// Cancelling a preemptor returns the cells to its victims.
func TestCancelReturnsCells(t *testing.T) {
	p := NewPartition()
	p.SetMachine(0, NewResources(4, 0, 8))
	p.Request(group(0, 3, 0), anyMachine)
	high := group(2, 4, 1)
	p.Request(high, anyMachine)
	p.Cancel(high)
	if c := p.CellOf(Task{0, 0}); c.State != Used || high.State != Pending || p.Free(0) != NewResources(1, 0, 7) {
		t.Fatalf("victim %v, preemptor %v, free %v", c.State, high.State, p.Free(0))
	}
}

// A still higher group overwrites a reservation: its preemptor is Pending again.
func TestHigherGroupOverwritesReservation(t *testing.T) {
	p := NewPartition()
	p.SetMachine(0, NewResources(4, 0, 8))
	p.Request(group(0, 4, 0), anyMachine)
	mid := group(1, 4, 1)
	p.Request(mid, anyMachine)
	top := group(3, 4, 2)
	p.Request(top, anyMachine)
	if mid.State != Pending || top.State != Preempting {
		t.Fatalf("mid %v, top %v", mid.State, top.State)
	}
	if g := p.Release(Task{0, 0}); g != top {
		t.Fatal("the cell did not go to the highest group")
	}
	equal := group(3, 4, 3)
	p.Request(equal, anyMachine)
	if equal.State != Pending {
		t.Fatalf("equal priority preempted: %v", equal.State)
	}
}

// The stored states suffice: cells rebuilt from the bindings alone are those of
// before, but for reservations, which are volatile and given up.
func TestRebuildFromBindings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition()
		for m := range MachineIndex(3) {
			p.SetMachine(m, NewResources(8, 0, 16))
		}
		type binding struct {
			group   *Group
			machine MachineIndex
		}
		stored := map[Task]binding{}
		var groups []*Group
		for n := range int32(rapid.IntRange(1, 25).Draw(t, "groups")) {
			g := group(rapid.IntRange(0, 3).Draw(t, "level"), float64(rapid.IntRange(1, 5).Draw(t, "cpu")), 2*n, 2*n+1)
			p.Request(g, anyMachine)
			groups = append(groups, g)
			if rapid.Bool().Draw(t, "end one") {
				if used := p.Tasks(); len(used) > 0 {
					p.Release(used[0])
				}
			}
		}
		for _, g := range groups {
			for i, x := range g.Tasks {
				if g.State == Allocated && p.CellOf(x) != nil {
					stored[x] = binding{g, g.Machines[i]}
				}
			}
		}
		again := NewPartition()
		for x, b := range stored {
			again.Adopt(x, b.machine, b.group.TaskSize, b.group.Claim)
		}
		for m := range MachineIndex(3) {
			again.SetMachine(m, NewResources(8, 0, 16))
		}
		if err := again.CheckInvariants(); err != nil {
			t.Fatal(err)
		}
		if len(again.Tasks()) != len(p.Tasks()) {
			t.Fatalf("%d cells are used, %d before", len(again.Tasks()), len(p.Tasks()))
		}
		for _, g := range groups {
			p.Cancel(g) // what a crash does to Preempting groups
		}
		for m := range MachineIndex(3) {
			if again.Free(m) != p.Free(m) {
				t.Fatalf("machine %d: %v is free, %v before", m, again.Free(m), p.Free(m))
			}
		}
	})
}
