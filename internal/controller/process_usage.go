package controller

import (
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"
)

// usage reads what the process has used of its limits. The runtime's own counts of
// processor time are only brought up to date by its collections.
type usage struct {
	samples []runtimemetrics.Sample
	cpu, gc time.Duration // at the last reading
}

// What is read of the runtime, in the order of the samples.
const (
	uGC = iota
	uLive
	uGoal
	uStacks
	uMapped
	uReleased
	uGoroutines
)

func newUsage() *usage {
	names := []string{
		uGC: "/cpu/classes/gc/total:cpu-seconds", uLive: "/gc/heap/live:bytes", uGoal: "/gc/heap/goal:bytes",
		uStacks: "/memory/classes/heap/stacks:bytes", uMapped: "/memory/classes/total:bytes",
		uReleased: "/memory/classes/heap/released:bytes", uGoroutines: "/sched/goroutines:goroutines",
	}
	u := &usage{samples: make([]runtimemetrics.Sample, len(names))}
	for i, n := range names {
		u.samples[i].Name = n
	}
	return u
}

// logAttributes are the log attributes of what was used since the last time: processor time
// of the process and of its collector, and the memory that it holds now.
func (u *usage) logAttributes() []any {
	runtimemetrics.Read(u.samples)
	kb := func(i int) uint64 { return u.samples[i].Value.Uint64() >> 10 }
	cpu, gc := processTime(), time.Duration(u.samples[uGC].Value.Float64()*float64(time.Second))
	out := []any{"cpu_ms", (cpu - u.cpu).Milliseconds(), "gc_ms", (gc - u.gc).Milliseconds(),
		"live_kb", kb(uLive), "goal_kb", kb(uGoal), "stacks_kb", kb(uStacks), "runtime_kb", kb(uMapped) - kb(uReleased),
		"goroutines", u.samples[uGoroutines].Value.Uint64()}
	u.cpu, u.gc = cpu, gc
	return out
}

// processTime is the processor time of the process so far; 0 where it can't be told.
func processTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
