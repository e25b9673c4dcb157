package controller

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"eiderhitch/internal/wire"
)

// BenchmarkLeaderPass measures one scheduling pass of the leader over full fleets of several
// sizes.
func BenchmarkLeaderPass(b *testing.B) {
	for _, n := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFullFleetController(b, n)
			for b.Loop() {
				c.leadership.writesInFlight = 0
				c.runLeaderPass()
			}
		})
	}
}

// BenchmarkSchedulePartitions measures one scheduling pass of an owner over the partitions of full
// fleets of several sizes.
func BenchmarkSchedulePartitions(b *testing.B) {
	for _, n := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFullFleetController(b, n)
			for b.Loop() {
				c.schedulePartitions()
			}
		})
	}
}

// BenchmarkReadHistory reads the pages of many finished jobs, as a full read does, and reports what is
// held for each afterwards.
func BenchmarkReadHistory(b *testing.B) {
	const pageSize = 1000
	for _, jobs := range []int{0, 60_000, 150_000, 1_000_000} {
		b.Run(fmt.Sprint("jobs=", jobs), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := newCatalog()
				for first := 0; first < jobs; first += pageSize {
					c.archiveListedJobs(finishedJobsPage(first, min(pageSize, jobs-first)), uint64(jobs))
				}
				held := heapBytes() - before
				if len(c.finalStates) != jobs {
					b.Fatalf("%d final states are held, want %d", len(c.finalStates), jobs)
				}
				b.ReportMetric(float64(held)/float64(max(jobs, 1)), "B/job")
			}
		})
	}
}

// finishedJobsPage returns a page with the records of finished jobs, numbered from first.
func finishedJobsPage(first, count int) []wire.Item {
	items := make([]wire.Item, count)
	for i := range items {
		items[i] = wire.Item{Key: jobKey(fmt.Sprintf("wk-%07d", first+i)), Value: json.RawMessage(`{"f":2}`), Revision: uint64(first + i)}
	}
	return items
}

// heapBytes returns the size of the live objects on the heap.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
