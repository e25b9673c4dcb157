package scheduling

import (
	"fmt"
	"testing"
)

// fullPartition has machines of 16 CPUs that are all in use by tasks of 2 CPUs and of
// priority 1, but for every tenth, which is free.
func fullPartition(machines int) *Partition {
	p := NewPartition()
	next := int32(0)
	for m := range MachineIndex(machines) {
		p.SetMachine(m, NewResources(16, 0, 64))
		for i := 0; i < 8 && m%10 != 0; i++ {
			p.Adopt(Task{Number: next}, m, NewResources(2, 0, 1), Claim{Priority: 1})
			next++
		}
	}
	return p
}

// BenchmarkRequest has a group of eight tasks claim free cells, and another one preempt
// others, in partitions of several sizes.
func BenchmarkRequest(b *testing.B) {
	for _, machines := range []int{50, 500, 5000} {
		p := fullPartition(machines)
		score := func(_ MachineIndex, free Resources) float64 { return float64(free.CPU) }
		var tasks []Task
		for i := range int32(8) {
			tasks = append(tasks, Task{Group: 1, Number: i})
		}
		b.Run(fmt.Sprintf("free/%d", machines), func(b *testing.B) {
			for b.Loop() {
				g := &Group{Tasks: tasks, TaskSize: NewResources(2, 0, 1), Claim: Claim{Priority: 1}}
				p.Request(g, score)
				if g.State != Allocated {
					b.Fatalf("expected Allocated, got %v", g.State)
				}
				for _, task := range tasks {
					p.Release(task)
				}
			}
		})
		b.Run(fmt.Sprintf("preempting/%d", machines), func(b *testing.B) {
			onlyFull := func(m MachineIndex, free Resources) float64 { return float64(m%10) - 1 }
			for b.Loop() {
				g := &Group{Tasks: tasks, TaskSize: NewResources(6, 0, 1), Claim: Claim{Priority: 2}}
				p.Request(g, onlyFull)
				if g.State != Preempting {
					b.Fatalf("expected Preempting, got %v", g.State)
				}
				p.Cancel(g)
			}
		})
	}
}
