package controller

import (
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"
)

// usage reads what the process has used of its limits. The runtime's own counts of
// processor time are only brought up to date by its collections.
type processUsage struct {
	samples []runtimemetrics.Sample
	// processCPUTime and gcTime are those at the last reading.
	cpuTime, gcTime time.Duration
}

// sample is what is read of the runtime, by its place among the samples.
type sampleIndex int

const (
	sampleGCTime sampleIndex = iota
	sampleLiveHeap
	sampleHeapGoal
	sampleStacks
	sampleMapped
	sampleReleased
	sampleGoroutines
	numSamples
)

var sampleNames = [numSamples]string{
	sampleGCTime:     "/cpu/classes/gc/total:cpu-seconds",
	sampleLiveHeap:   "/gc/heap/live:bytes",
	sampleHeapGoal:   "/gc/heap/goal:bytes",
	sampleStacks:     "/memory/classes/heap/stacks:bytes",
	sampleMapped:     "/memory/classes/total:bytes",
	sampleReleased:   "/memory/classes/heap/released:bytes",
	sampleGoroutines: "/sched/goroutines:goroutines",
}

// newProcessUsage returns a usage that has read nothing yet.
func newProcessUsage() *processUsage {
	u := &processUsage{samples: make([]runtimemetrics.Sample, numSamples)}
	for i, name := range sampleNames {
		u.samples[i].Name = name
	}
	return u
}

// count is a sample that is a whole number.
func (u *processUsage) integer(s sampleIndex) uint64 { return u.samples[s].Value.Uint64() }

// kilobytes is a sample of bytes, in units of 1024.
func (u *processUsage) kibibytes(s sampleIndex) uint64 { return u.integer(s) >> 10 }

// logAttributes are the log attributes of what was used since the last time: processor time
// of the process and of its collector, and the memory that it holds now.
func (u *processUsage) logAttributes() []any {
	runtimemetrics.Read(u.samples)
	cpuTime := processCPUTime()
	gcTime := time.Duration(u.samples[sampleGCTime].Value.Float64() * float64(time.Second))
	attributes := []any{
		"cpu_ms", (cpuTime - u.cpuTime).Milliseconds(),
		"gc_ms", (gcTime - u.gcTime).Milliseconds(),
		"live_kb", u.kibibytes(sampleLiveHeap),
		"goal_kb", u.kibibytes(sampleHeapGoal),
		"stacks_kb", u.kibibytes(sampleStacks),
		"runtime_kb", u.kibibytes(sampleMapped) - u.kibibytes(sampleReleased),
		"goroutines", u.integer(sampleGoroutines),
	}
	u.cpuTime, u.gcTime = cpuTime, gcTime
	return attributes
}

// processCPUTime is the processor time of the process so far; 0 where it can't be told.
func processCPUTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
