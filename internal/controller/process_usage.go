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
	// processTime and collectorTime are those at the last reading.
	processTime, collectorTime time.Duration
}

// sample is what is read of the runtime, by its place among the samples.
type sample int

const (
	sampleCollectorTime sample = iota
	sampleLiveHeap
	sampleHeapGoal
	sampleStacks
	sampleMapped
	sampleReleased
	sampleGoroutines
	samples
)

var sampleNames = [samples]string{
	sampleCollectorTime: "/cpu/classes/gc/total:cpu-seconds",
	sampleLiveHeap:      "/gc/heap/live:bytes",
	sampleHeapGoal:      "/gc/heap/goal:bytes",
	sampleStacks:        "/memory/classes/heap/stacks:bytes",
	sampleMapped:        "/memory/classes/total:bytes",
	sampleReleased:      "/memory/classes/heap/released:bytes",
	sampleGoroutines:    "/sched/goroutines:goroutines",
}

// newUsage returns a usage that has read nothing yet.
func newUsage() *usage {
	u := &usage{samples: make([]runtimemetrics.Sample, samples)}
	for i, name := range sampleNames {
		u.samples[i].Name = name
	}
	return u
}

// count is a sample that is a whole number.
func (u *usage) count(s sample) uint64 { return u.samples[s].Value.Uint64() }

// kilobytes is a sample of bytes, in units of 1024.
func (u *usage) kilobytes(s sample) uint64 { return u.count(s) >> 10 }

// logAttributes are the log attributes of what was used since the last time: processor time
// of the process and of its collector, and the memory that it holds now.
func (u *usage) logAttributes() []any {
	runtimemetrics.Read(u.samples)
	process := processTime()
	collector := time.Duration(u.samples[sampleCollectorTime].Value.Float64() * float64(time.Second))
	attributes := []any{
		"cpu_ms", (process - u.processTime).Milliseconds(),
		"gc_ms", (collector - u.collectorTime).Milliseconds(),
		"live_kb", u.kilobytes(sampleLiveHeap),
		"goal_kb", u.kilobytes(sampleHeapGoal),
		"stacks_kb", u.kilobytes(sampleStacks),
		"runtime_kb", u.kilobytes(sampleMapped) - u.kilobytes(sampleReleased),
		"goroutines", u.count(sampleGoroutines),
	}
	u.processTime, u.collectorTime = process, collector
	return attributes
}

// processTime is the processor time of the process so far; 0 where it can't be told.
func processTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
