// Package workerlease decides when the lease of a worker machine's agent has certainly expired, so
// that the tasks of its session have ended. An agent begins a new session (an incarnation) with a
// full lease. A response to a heartbeat of the session renews the lease from the time at which the
// heartbeat was sent. When the lease expires, or the machine restarts, the agent ends all of its
// tasks and begins the next session.
//
// The owner of a machine knows none of these times. Lease collects an upper bound for each of them.
// The package reads no clock and does no I/O: callers pass all times, which must be those of one
// monotonic clock.
package workerlease

import "time"

// Sighting is the way in which the owner of a machine learned of a session.
type Sighting int

const (
	// Unseen means that no session is known.
	Unseen Sighting = iota
	// SeenInHeartbeat means that a heartbeat showed the session. It may be a late copy.
	SeenInHeartbeat
	// SeenInDirectAnswer means that the answer to a direct command showed the session. Such an
	// answer renews no lease, but the session may have begun just before it.
	SeenInDirectAnswer
	// SeenElsewhere means that a stored record or another controller named the session.
	SeenElsewhere
)

// Basis is the event from which a lease is counted.
type Basis int

const (
	// OwnershipBegan is the end of the time for which a former owner of the machine may have
	// renewed the lease.
	OwnershipBegan Basis = iota
	// HeartbeatAnswered is the last answer of the current owner to a heartbeat.
	HeartbeatAnswered
	// SessionSeenInHeartbeat is the first heartbeat of the session.
	SessionSeenInHeartbeat
	// SessionSeenInDirectAnswer is the first sign of the session, in the answer to a direct command.
	SessionSeenInDirectAnswer
	// SessionSeenElsewhere is the first sign of the session, in a record or a status.
	SessionSeenElsewhere
)

var basisNames = map[Basis]string{
	OwnershipBegan:            "ownership",
	HeartbeatAnswered:         "answered heartbeat",
	SessionSeenInHeartbeat:    "session in a heartbeat",
	SessionSeenInDirectAnswer: "session in a direct answer",
	SessionSeenElsewhere:      "session in a record or status",
}

// String returns the text of the basis in log lines.
func (b Basis) String() string { return basisNames[b] }

var sightingBases = map[Sighting]Basis{
	SeenInHeartbeat:    SessionSeenInHeartbeat,
	SeenInDirectAnswer: SessionSeenInDirectAnswer,
	SeenElsewhere:      SessionSeenElsewhere,
}

// Lease holds what a controller knows about the lease of one machine's agent. The zero value knows
// nothing.
type Lease struct {
	session   uint64
	seenAt    time.Time // when the session was first known
	sighting  Sighting
	renewedAt time.Time // the latest time from which an answer may have renewed the lease
}

// SeeSession records a sign of a session at a time. Only the first sign of the highest session
// counts, since its lease began no later.
func (l *Lease) SeeSession(session uint64, at time.Time, by Sighting) {
	if session <= l.session {
		return
	}
	l.session, l.seenAt, l.sighting = session, at, by
}

// Renew records that a heartbeat is answered which was sent no later than sentBefore.
func (l *Lease) Renew(sentBefore time.Time) {
	if sentBefore.After(l.renewedAt) {
		l.renewedAt = sentBefore
	}
}

// HasBeenRenewed reports whether this controller has answered a heartbeat of the machine.
func (l *Lease) HasBeenRenewed() bool { return !l.renewedAt.IsZero() }

// Ownership is the right of a controller to command a machine.
type Ownership struct {
	// Since is when the controller became the owner of the machine: of its partition, or when the
	// machine moved into the partition.
	Since time.Time
	// FormerOwnerAnswers is how long after Since a former owner may still answer heartbeats.
	FormerOwnerAnswers time.Duration
}

// CountedFrom returns the latest time at which the lease may have begun or been renewed, and the
// event that it results from.
func (l *Lease) CountedFrom(ownership Ownership) (time.Time, Basis) {
	from, basis := ownership.Since.Add(ownership.FormerOwnerAnswers), OwnershipBegan
	if l.renewedAt.After(from) {
		from, basis = l.renewedAt, HeartbeatAnswered
	}
	if l.seenAt.After(from) {
		from, basis = l.seenAt, sightingBases[l.sighting]
	}
	return from, basis
}

// Expiration says from when a lease was counted and how long ago it certainly expired.
type Expiration struct {
	Session     uint64
	CountedFrom time.Time
	Basis       Basis
	// Margin is the time since the lease certainly expired, and negative before.
	Margin time.Duration
}

// IsCertain reports whether the lease has certainly expired.
func (e Expiration) IsCertain() bool { return e.Margin > 0 }

// Expiration returns the state of the lease at a time. expiry is the time after which a lease that
// is not renewed has ended on every clock; see config.LeaseExpiry.
func (l *Lease) Expiration(now time.Time, ownership Ownership, expiry time.Duration) Expiration {
	from, basis := l.CountedFrom(ownership)
	return Expiration{Session: l.session, CountedFrom: from, Basis: basis, Margin: now.Sub(from) - expiry}
}

// IsReplaced reports whether a session is over because the agent has shown a later one: it has
// ended all tasks of the earlier one.
func IsReplaced(session, shown uint64) bool { return session < shown }
