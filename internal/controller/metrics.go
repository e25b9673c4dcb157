package controller

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhitch/internal/store"
)

type counter int

const (
	countAccepted counter = iota
	countRefused
	countUnavailable
	countPolls
	countHeartbeats
	countRedirected
	countBound
	countDone
	countLost
	countPreempting
	countAssigned    // records dealt
	countMoved       // records moved to another part
	countThrottled   // records held back, or let go, for a team's limit
	countStored      // records rewritten by their owner
	countRewritten   // of these, for their form alone
	countUndecodable // stored values that could not be decoded
	counters
)

var counterNames = [counters]string{"accepted", "refused", "unavailable", "polls", "reports", "redirected", "bound", "done", "lost", "evicting", "dealt", "moved", "capped", "stored", "rewritten", "undecodable"}

type latency int

const (
	latencyEvent  latency = iota // the actor's time for an event
	latencySubmit                // from a submission's arrival to its answer
	latencyCommit                // from a record's submission to its result
	latencyBind                  // from a job's acceptance to a task's first binding
	latencies
)

var latencyNames = [latencies]string{"event", "submit", "commit", "bind"}

// activity is a kind of work of the actor.
type activity int

const (
	activityHeartbeat  activity = iota // workers' reports
	activityReplica                    // changes of the stored records
	activityLeader                     // the leader's decisions
	activityPartitions                 // the parts' decisions
	activityStatus                     // telling the siblings
	activities
)

var activityNames = [activities]string{"report", "replica", "lead", "parts", "status"}

// metrics counts cheaply; the totals since the last line are logged at intervals.
type metrics struct {
	mu        sync.Mutex
	counts    [counters]int64
	latencies [latencies]*hdrhistogram.Histogram
	busyTime  [activities]time.Duration
	maxLag    time.Duration // the latest that a tick of the actor came
	usage     *usage
}

const maxLatency = 10 * time.Minute

func newMetrics() *metrics {
	m := &metrics{usage: newUsage()}
	for i := range m.latencies {
		m.latencies[i] = hdrhistogram.New(1, maxLatency.Microseconds(), 2)
	}
	return m
}

func (m *metrics) count(index counter, n int) {
	m.mu.Lock()
	m.counts[index] += int64(n)
	m.mu.Unlock()
}

func (m *metrics) observe(l latency, d time.Duration) {
	m.mu.Lock()
	_ = m.latencies[l].RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
	m.mu.Unlock()
}

// Submission counts a submission by the status of its response, and how long that took.
func (m *metrics) Submission(status int, took time.Duration) {
	m.observe(latencySubmit, took)
	switch {
	case status == http.StatusCreated:
		m.count(countAccepted, 1)
	case status >= http.StatusInternalServerError:
		m.count(countUnavailable, 1)
	case status >= http.StatusBadRequest:
		m.count(countRefused, 1)
	}
}

// Poll counts a user's poll.
func (m *metrics) Poll() { m.count(countPolls, 1) }

// addBusyTime adds the time since begun to a duty.
func (m *metrics) addBusyTime(d activity, begun time.Time) {
	m.mu.Lock()
	m.busyTime[d] += time.Since(begun)
	m.mu.Unlock()
}

// noteLag notes by how much a tick of the actor came too late.
func (m *metrics) noteLag(d time.Duration) {
	m.mu.Lock()
	m.maxLag = max(m.maxLag, d)
	m.mu.Unlock()
}

func (m *metrics) log(log *slog.Logger, jobs, machines int, state store.Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	args := []any{"jobs", jobs, "machines", machines}
	for i, n := range m.counts {
		args = append(args, counterNames[i], n)
	}
	for i, h := range m.latencies {
		if h.TotalCount() > 0 {
			args = append(args, latencyNames[i]+"_p50_us", h.ValueAtQuantile(50), latencyNames[i]+"_p99_us", h.ValueAtQuantile(99))
		}
		h.Reset()
	}
	for i, t := range m.busyTime {
		args = append(args, activityNames[i]+"_ms", t.Milliseconds())
	}
	args = append(args, "state_watches", state.Watches, "state_txns", state.Txns, "state_changes", state.Changes, "state_taken", state.Applied,
		"state_renewals", state.Renewals, "state_refused", state.Refused, "state_conflicts", state.Conflicts)
	args = append(args, "lag_ms", m.maxLag.Milliseconds())
	args = append(args, m.usage.logAttributes()...)
	m.counts, m.busyTime, m.maxLag = [counters]int64{}, [activities]time.Duration{}, 0
	log.Info("counters", args...)
}
