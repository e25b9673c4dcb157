package controller

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhitch/internal/store"
)

// counter identifies a counter. Its name is the name of its log attribute.
type counter int

const (
	countAcceptedSubmissions    counter = iota // submissions of new jobs that were accepted
	countRefusedSubmissions                    // submissions rejected with a client error
	countUnavailableSubmissions                // submissions that could not be served now
	countPolls                                 // queries of a job's state
	countHeartbeats                            // heartbeats of workers
	countRedirectedHeartbeats                  // heartbeats redirected to another controller
	countBoundTasks                            // tasks bound to a machine
	countDoneTasks                             // tasks that completed
	countLostTasks                             // attempts that ended without completing their task
	countExpiredLeaseTasks                     // of these, tasks whose machine's lease expired
	countReplacedTasks                         // of these, tasks of an earlier incarnation of their machine
	countTerminatedTasks                       // of these, tasks whose machine was terminated
	countPreemptedTasks                        // tasks selected for preemption
	countAssignedGroups                        // task groups assigned by the leader
	countMovedGroups                           // task groups moved to another partition
	countThrottledGroups                       // task groups throttled, or unthrottled, for a team's quota
	countStoredGroups                          // task groups written by their owner
	countRewrittenGroups                       // of these, task groups written only to change their encoding
	countUndecodableValues                     // stored values that could not be decoded
	numCounters
)

// counterNames holds the log attributes of the counters.
var counterNames = [numCounters]string{
	countAcceptedSubmissions: "accepted", countRefusedSubmissions: "refused", countUnavailableSubmissions: "unavailable", countPolls: "polls",
	countHeartbeats: "reports", countRedirectedHeartbeats: "redirected", countBoundTasks: "bound", countDoneTasks: "done",
	countLostTasks: "lost", countExpiredLeaseTasks: "lost_lease", countReplacedTasks: "lost_incarnation", countTerminatedTasks: "lost_machine", countPreemptedTasks: "evicting", countAssignedGroups: "dealt", countMovedGroups: "moved",
	countThrottledGroups: "capped", countStoredGroups: "stored", countRewrittenGroups: "rewritten", countUndecodableValues: "undecodable",
}

func (c counter) String() string { return counterNames[c] }

// latency identifies a measured latency. Its name is the prefix of its log attributes.
type latency int

const (
	latencyEvent  latency = iota // time that the event loop takes for an event
	latencySubmit                // from the arrival of a job's submission to its response
	latencyCommit                // from the submission of a write to its result
	latencyBind                  // from a job's acceptance to a task's first binding
	numLatencies
)

// latencyNames holds the prefixes of the latencies' log attributes.
var latencyNames = [numLatencies]string{
	latencyEvent: "event", latencySubmit: "submit", latencyCommit: "commit", latencyBind: "bind",
}

func (l latency) String() string { return latencyNames[l] }

// activity identifies a kind of work of the event loop. Its name is the prefix of its log
// attribute.
type activity int

const (
	activityHeartbeat  activity = iota // handling workers' heartbeats
	activityReplica                    // applying changes of the stored records
	activityPlanning                   // planning as the leader
	activityScheduling                 // scheduling passes of the partitions
	activityStatus                     // probing machines and sending the status to peers
	numActivities
)

// activityNames holds the prefixes of the activities' log attributes.
var activityNames = [numActivities]string{
	activityHeartbeat: "report", activityReplica: "replica", activityPlanning: "lead",
	activityScheduling: "parts", activityStatus: "status",
}

func (a activity) String() string { return activityNames[a] }

// metrics holds counters, latencies and resource usage. They are cheap to update, and their
// totals since the last log line are logged at intervals. Its methods are safe for concurrent
// use unless documented otherwise.
type metrics struct {
	mu        sync.Mutex
	counts    [numCounters]int64
	latencies [numLatencies]*hdrhistogram.Histogram
	busyTime  [numActivities]time.Duration
	maxLag    time.Duration // longest delay of a tick of the event loop
	usage     *processUsage
}

const (
	// maxLatency is the largest latency that is recorded; longer ones are recorded as this one.
	maxLatency = 10 * time.Minute
	// latencyDigits is the number of significant decimal digits that are kept of a latency.
	latencyDigits = 2
)

// newMetrics returns metrics whose values are all zero.
func newMetrics() *metrics {
	m := &metrics{usage: newProcessUsage()}
	for i := range m.latencies {
		m.latencies[i] = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return m
}

// count adds n to a counter.
func (m *metrics) count(c counter, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[c] += int64(n)
}

// observeLatency adds a duration to the distribution of a latency. Durations outside the recorded
// range count as its lower or upper bound.
func (m *metrics) observeLatency(l latency, d time.Duration) {
	clamped := min(max(d, time.Microsecond), maxLatency)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latencies[l].RecordValue(clamped.Microseconds()) // fails only for values out of range
}

// CountSubmission counts a submission by the HTTP status of its response and records its latency.
func (m *metrics) CountSubmission(status int, took time.Duration) {
	m.observeLatency(latencySubmit, took)
	switch {
	case status == http.StatusCreated:
		m.count(countAcceptedSubmissions, 1)
	case status >= http.StatusInternalServerError:
		m.count(countUnavailableSubmissions, 1)
	case status >= http.StatusBadRequest:
		m.count(countRefusedSubmissions, 1)
	}
}

// CountPoll counts a query of a job's state.
func (m *metrics) CountPoll() { m.count(countPolls, 1) }

// addBusyTime adds the time since startedAt to the time spent on an activity.
func (m *metrics) addBusyTime(a activity, startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busyTime[a] += time.Since(startedAt)
}

// recordLag records that a tick of the event loop was late by d.
func (m *metrics) recordLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxLag = max(m.maxLag, d)
}

// logAndReset logs the totals since the last call and resets them to zero.
func (m *metrics) logAndReset(log *slog.Logger, jobs, machines int, storeStats store.Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	attributes := []any{"jobs", jobs, "machines", machines}
	for i, n := range m.counts {
		attributes = append(attributes, counter(i).String(), n)
	}
	attributes = append(attributes, m.latencyAttributes()...)
	for i, t := range m.busyTime {
		attributes = append(attributes, activity(i).String()+"_ms", t.Milliseconds())
	}
	attributes = append(attributes, storeAttributes(storeStats)...)
	attributes = append(attributes, "lag_ms", m.maxLag.Milliseconds())
	attributes = append(attributes, m.usage.logAttributes()...)
	m.counts, m.busyTime, m.maxLag = [numCounters]int64{}, [numActivities]time.Duration{}, 0
	log.Info("counters", attributes...)
}

// latencyAttributes returns the log attributes of the latencies that were observed since the last
// call, and resets them. The caller must hold m.mu.
func (m *metrics) latencyAttributes() []any {
	var attributes []any
	for i, histogram := range m.latencies {
		if histogram.TotalCount() > 0 {
			name := latency(i).String()
			attributes = append(attributes, name+"_p50_us", histogram.ValueAtQuantile(50), name+"_p99_us", histogram.ValueAtQuantile(99))
		}
		histogram.Reset()
	}
	return attributes
}

// storeAttributes returns the log attributes of the calls to the key-value store.
func storeAttributes(s store.Stats) []any {
	return []any{
		"state_watches", s.Watches, "state_txns", s.Txns, "state_changes", s.Changes, "state_taken", s.AppliedChanges,
		"state_renewals", s.Renewals, "state_refused", s.RefusedRequests, "state_conflicts", s.Conflicts,
	}
}
