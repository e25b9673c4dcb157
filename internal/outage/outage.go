// Package outage tells operators of the outages of what a process depends on: once when one
// has lasted for a while, and once when it is over, with its length. Single failures are not
// worth a line each; hundreds of them a minute would hide what else happens.
package outage

import (
	"log/slog"
	"time"
)

// Monitor follows one thing that a process depends on. It belongs to one goroutine.
type Monitor struct {
	log *slog.Logger
	// dependency is what is followed, as the log lines name it.
	dependency string
	// patience is for how long it has to fail until that is an outage.
	gracePeriod time.Duration

	failingSince time.Time // zero: it does not fail
	reported     bool
}

// NewMonitor returns a monitor of a dependency, which is out once it has failed for as long
// as patience.
func NewMonitor(log *slog.Logger, dependency string, gracePeriod time.Duration) *Monitor {
	return &Monitor{log: log, dependency: dependency, gracePeriod: gracePeriod}
}

// ReportFailure notes that the dependency fails.
func (m *Monitor) ReportFailure(now time.Time) {
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
	if !m.reported && now.Sub(m.failingSince) >= m.gracePeriod {
		m.reported = true
		m.log.Info("outage began", "of", m.dependency, "since", m.failingSince)
	}
}

// ReportSuccess notes that the dependency answers.
func (m *Monitor) ReportSuccess(now time.Time) {
	if m.reported {
		m.log.Info("outage ended", "of", m.dependency, "lasted", now.Sub(m.failingSince).Round(time.Millisecond))
	}
	m.Reset()
}

// Reset begins anew, as when nobody has asked the dependency for anything.
func (m *Monitor) Reset() { m.failingSince, m.reported = time.Time{}, false }
