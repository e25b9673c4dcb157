package controller

import (
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"
)

// processUsage measures the processor time and memory that the process uses. The process's
// processor time is read from the operating system, since the Go runtime updates its own figure
// only at a garbage collection.
type processUsage struct {
	samples []runtimemetrics.Sample
	// cpuTime and gcTime are the processor times used by the process and by its garbage
	// collector until the last reading.
	cpuTime, gcTime time.Duration
}

// sampleIndex identifies a metric of the Go runtime by its index in processUsage.samples.
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

// sampleNames holds the names of the samples in package runtime/metrics.
var sampleNames = [numSamples]string{
	sampleGCTime:     "/cpu/classes/gc/total:cpu-seconds",
	sampleLiveHeap:   "/gc/heap/live:bytes",
	sampleHeapGoal:   "/gc/heap/goal:bytes",
	sampleStacks:     "/memory/classes/heap/stacks:bytes",
	sampleMapped:     "/memory/classes/total:bytes",
	sampleReleased:   "/memory/classes/heap/released:bytes",
	sampleGoroutines: "/sched/goroutines:goroutines",
}

// newProcessUsage returns a processUsage that has measured nothing yet.
func newProcessUsage() *processUsage {
	u := &processUsage{samples: make([]runtimemetrics.Sample, numSamples)}
	for i, name := range sampleNames {
		u.samples[i].Name = name
	}
	return u
}

// integer returns the value of a sample whose kind is an unsigned integer.
func (u *processUsage) integer(s sampleIndex) uint64 { return u.samples[s].Value.Uint64() }

// kibibytes returns the value of a sample in units of 1024 bytes.
func (u *processUsage) kibibytes(s sampleIndex) uint64 { return u.integer(s) >> 10 }

// logAttributes returns log attributes with the processor time that the process and its garbage
// collector have used since the last call, and with the current memory use.
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

// processCPUTime returns the processor time that the process has used since its start, or 0 if it
// can't be determined.
func processCPUTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
