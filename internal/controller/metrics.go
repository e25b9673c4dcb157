package controller

import (
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhitch/internal/store"
)

type counter int

const (
	cAccepted counter = iota
	cRefused
	cUnavailable
	cPolls
	cReports
	cRedirected
	cBound
	cDone
	cLost
	cEvicted
	cDealt       // records dealt
	cMoved       // records moved to another part
	cCapped      // records held back, or let go, for a team's limit
	cStored      // records rewritten by their owner
	cRewritten   // of these, for their form alone
	cUndecodable // stored values that could not be decoded
	counters
)

var counterNames = [counters]string{"accepted", "refused", "unavailable", "polls", "reports", "redirected", "bound", "done", "lost", "evicting", "dealt", "moved", "capped", "stored", "rewritten", "undecodable"}

type latency int

const (
	lEvent  latency = iota // the actor's time for an event
	lSubmit                // from a submission's arrival to its answer
	lCommit                // from a record's submission to its result
	lBind                  // from a job's acceptance to a task's first binding
	latencies
)

var latencyNames = [latencies]string{"event", "submit", "commit", "bind"}

// duty is a kind of work of the actor.
type duty int

const (
	dReport  duty = iota // workers' reports
	dReplica             // changes of the stored records
	dLead                // the leader's decisions
	dParts               // the parts' decisions
	dStatus              // telling the siblings
	duties
)

var dutyNames = [duties]string{"report", "replica", "lead", "parts", "status"}

// metrics counts cheaply; the totals since the last line are logged at intervals.
type metrics struct {
	mu     sync.Mutex
	counts [counters]int64
	lat    [latencies]*hdrhistogram.Histogram
	spent  [duties]time.Duration
	lag    time.Duration // the latest that a tick of the actor came
	usage  *usage
}

const longest = 10 * time.Minute

func newMetrics() *metrics {
	m := &metrics{usage: newUsage()}
	for i := range m.lat {
		m.lat[i] = hdrhistogram.New(1, longest.Microseconds(), 2)
	}
	return m
}

func (m *metrics) count(c counter, n int) {
	m.mu.Lock()
	m.counts[c] += int64(n)
	m.mu.Unlock()
}

func (m *metrics) observe(l latency, d time.Duration) {
	m.mu.Lock()
	_ = m.lat[l].RecordValue(min(max(d, time.Microsecond), longest).Microseconds())
	m.mu.Unlock()
}

// spend adds the time since begun to a duty.
func (m *metrics) spend(d duty, begun time.Time) {
	m.mu.Lock()
	m.spent[d] += time.Since(begun)
	m.mu.Unlock()
}

// late notes by how much a tick of the actor came too late.
func (m *metrics) late(d time.Duration) {
	m.mu.Lock()
	m.lag = max(m.lag, d)
	m.mu.Unlock()
}

func (m *metrics) log(log *slog.Logger, jobs, machines int, state store.Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	args := []any{"jobs", jobs, "machines", machines}
	for i, n := range m.counts {
		args = append(args, counterNames[i], n)
	}
	for i, h := range m.lat {
		if h.TotalCount() > 0 {
			args = append(args, latencyNames[i]+"_p50_us", h.ValueAtQuantile(50), latencyNames[i]+"_p99_us", h.ValueAtQuantile(99))
		}
		h.Reset()
	}
	for i, t := range m.spent {
		args = append(args, dutyNames[i]+"_ms", t.Milliseconds())
	}
	args = append(args, "state_watches", state.Watches, "state_txns", state.Txns, "state_changes", state.Changes, "state_taken", state.Taken,
		"state_renewals", state.Renewals, "state_refused", state.Refused, "state_conflicts", state.Conflicts)
	args = append(args, "lag_ms", m.lag.Milliseconds())
	args = append(args, m.usage.attrs()...)
	m.counts, m.spent, m.lag = [counters]int64{}, [duties]time.Duration{}, 0
	log.Info("counters", args...)
}
