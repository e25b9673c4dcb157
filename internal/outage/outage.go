// Package outage logs outages of the services that a process depends on. It logs one line when
// an outage has lasted for a grace period, and one line with its duration when it ends. Single
// failures are not logged: hundreds of lines a minute would hide other events.
package outage

import (
	"log/slog"
	"time"
)

// Monitor detects and logs the outages of one dependency. It must be used by one goroutine
// only.
type Monitor struct {
	log *slog.Logger
	// dependency is the name of the monitored service in log lines.
	dependency string
	// gracePeriod is the time for which the dependency must fail before that counts as an outage.
	gracePeriod time.Duration

	failingSince time.Time // time of the first failure since the last success; zero if none
	beginLogged  bool      // whether the beginning of the current outage has been logged
}

// NewMonitor returns a monitor of a dependency. An outage begins once the dependency has
// failed for gracePeriod without a success.
func NewMonitor(log *slog.Logger, dependency string, gracePeriod time.Duration) *Monitor {
	return &Monitor{log: log, dependency: dependency, gracePeriod: gracePeriod}
}

// ReportFailure records a failure of the dependency at now, and logs the beginning of an
// outage if the grace period has passed.
func (m *Monitor) ReportFailure(now time.Time) {
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
	if !m.beginLogged && now.Sub(m.failingSince) >= m.gracePeriod {
		m.beginLogged = true
		m.log.Info("outage began", "of", m.dependency, "since", m.failingSince)
	}
}

// ReportSuccess records a success of the dependency at now, and logs the end of an outage if
// its beginning was logged.
func (m *Monitor) ReportSuccess(now time.Time) {
	if m.beginLogged {
		m.log.Info("outage ended", "of", m.dependency, "lasted", now.Sub(m.failingSince).Round(time.Millisecond))
	}
	m.Reset()
}

// Reset returns the monitor to its initial state without logging anything. It is for times at
// which the process does not use the dependency.
func (m *Monitor) Reset() { m.failingSince, m.beginLogged = time.Time{}, false }
