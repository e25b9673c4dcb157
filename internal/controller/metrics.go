package controller

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhitch/internal/store"
)

// counter is something that is counted. Its name is that of its log attribute.
type counter int

const (
	countAcceptedSubmissions counter = iota
	countRefusedSubmissions
	countUnavailableSubmissions
	countPolls
	countHeartbeats
	countRedirectedHeartbeats
	countBoundTasks
	countDoneTasks
	countLostTasks
	countPreemptedTasks
	countAssignedGroups    // task groups assigned by the leader
	countMovedGroups       // task groups moved to another partition
	countThrottledGroups   // task groups throttled, or unthrottled, for a team's quota
	countStoredGroups      // task groups written by their owner
	countRewrittenGroups   // of these, for their encoding alone
	countUndecodableValues // stored values that could not be decoded
	numCounters
)

var counterNames = [numCounters]string{
	countAcceptedSubmissions: "accepted", countRefusedSubmissions: "refused", countUnavailableSubmissions: "unavailable", countPolls: "polls",
	countHeartbeats: "reports", countRedirectedHeartbeats: "redirected", countBoundTasks: "bound", countDoneTasks: "done",
	countLostTasks: "lost", countPreemptedTasks: "evicting", countAssignedGroups: "dealt", countMovedGroups: "moved",
	countThrottledGroups: "capped", countStoredGroups: "stored", countRewrittenGroups: "rewritten", countUndecodableValues: "undecodable",
}

func (c counter) String() string { return counterNames[c] }

// latency is a duration that is measured. Its name begins those of its log attributes.
type latency int

const (
	latencyEvent  latency = iota // the event loop's time for an event
	latencySubmit                // from a submission's arrival to its answer
	latencyCommit                // from a transaction's submission to its result
	latencyBind                  // from a job's acceptance to a task's first binding
	numLatencies
)

var latencyNames = [numLatencies]string{
	latencyEvent: "event", latencySubmit: "submit", latencyCommit: "commit", latencyBind: "bind",
}

func (l latency) String() string { return latencyNames[l] }

// activity is a kind of work of the event loop. Its name begins that of its log attribute.
type activity int

const (
	activityHeartbeat  activity = iota // workers' heartbeats
	activityReplica                    // changes of the stored records
	activityPlanning                   // the leader's planning
	activityScheduling                 // the partitions' scheduling passes
	activityStatus                     // telling the peers
	numActivities
)

var activityNames = [numActivities]string{
	activityHeartbeat: "report", activityReplica: "replica", activityPlanning: "lead",
	activityScheduling: "parts", activityStatus: "status",
}

func (a activity) String() string { return activityNames[a] }

// metrics counts cheaply; the totals since the last line are logged at intervals.
type metrics struct {
	mu        sync.Mutex
	counts    [numCounters]int64
	latencies [numLatencies]*hdrhistogram.Histogram
	busyTime  [numActivities]time.Duration
	maxLag    time.Duration // the latest that a tick of the event loop came
	usage     *processUsage
}

const (
	// maxLatency is the longest latency that is told from longer ones.
	maxLatency = 10 * time.Minute
	// latencyDigits is how many significant digits of a latency are kept.
	latencyDigits = 2
)

// newMetrics returns metrics that start from zero.
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

// observe adds a duration to a latency's distribution.
func (m *metrics) observeLatency(l latency, d time.Duration) {
	clamped := min(max(d, time.Microsecond), maxLatency)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latencies[l].RecordValue(clamped.Microseconds()) // fails only beyond the bounds
}

// Submission counts a submission by the status of its response, and how long that took.
func (m *metrics) Submission(status int, took time.Duration) {
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

// Poll counts a user's poll.
func (m *metrics) Poll() { m.count(countPolls, 1) }

// addBusyTime adds the time since begun to an activity.
func (m *metrics) addBusyTime(a activity, startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busyTime[a] += time.Since(startedAt)
}

// recordLag notes by how much a tick of the event loop came too late.
func (m *metrics) recordLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxLag = max(m.maxLag, d)
}

// log logs the totals since the last time, and begins again from zero.
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

// latencyAttributes are the log attributes of the latencies that were observed, which begin
// anew.
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

// storeAttributes are the log attributes of the calls to the key-value store.
func storeAttributes(s store.Stats) []any {
	return []any{
		"state_watches", s.Watches, "state_txns", s.Txns, "state_changes", s.Changes, "state_taken", s.Applied,
		"state_renewals", s.Renewals, "state_refused", s.Refused, "state_conflicts", s.Conflicts,
	}
}
