package workerlease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step = time.Second // between two events of a history
	ttl  = 3 * time.Second
	// slowClockTTL is the duration of the lease on a worker whose clock is slow.
	slowClockTTL = ttl + 100*time.Millisecond
	expiry       = ttl + 200*time.Millisecond
	// formerOwnerAnswers is how long a former owner answers heartbeats.
	formerOwnerAnswers = 2 * time.Second
)

// event is what happens to the messages between a worker and its owner, in one direction of one link,
// or to one of them.
type event int

const (
	nothing event = iota
	heartbeatAnswered
	heartbeatAnswerLost
	heartbeatHeldUp        // lost, unless heldHeartbeatArrives follows
	heldHeartbeatArrives   // again with each of these events; its answer is in time
	directAnswered         // a direct command and its answer
	directAnswerHeldUp     // lost, unless heldAnswerArrives follows
	heldAnswerArrives      // again with each of these events
	restart                // of the machine
	ownerChanges           // the new owner knows the sessions in the records
	formerOwnerAnswersBeat // the former owner answers a heartbeat
	statusOfOtherOwner     // another controller names the current session
	eventCount
)

// omission is the part of the knowledge that a model leaves out, to show that it is needed.
type omission int

const (
	nothingOmitted omission = iota
	renewalOmitted
	directSightingOmitted
	otherSightingOmitted
	formerOwnerOmitted
	marginOmitted
)

// message is a heartbeat, or the one in a direct answer.
type message struct {
	session, sequence uint64
	sentAt            time.Time
}

// model is a worker and what its owner knows.
type model struct {
	omitted omission
	now     time.Time

	session, sequence uint64
	renewedAt         time.Time // from which the worker counts its lease

	heldHeartbeat, heldAnswer *message

	lease         Lease
	newest        message // that the owner has received
	lastMessageAt time.Time
	ownedSince    time.Time
}

func newModel(omitted omission) *model {
	start := time.Unix(1000, 0)
	m := &model{omitted: omitted, now: start, session: 1, renewedAt: start, ownedSince: start.Add(-time.Hour)}
	m.apply(heartbeatAnswered)
	return m
}

// expire begins the worker's next session if its lease has expired.
func (m *model) expire() {
	for m.now.Sub(m.renewedAt) > slowClockTTL {
		m.begin(m.renewedAt.Add(slowClockTTL))
	}
}

// begin begins the worker's next session.
func (m *model) begin(at time.Time) {
	m.session, m.sequence, m.renewedAt = m.session+1, 0, at
}

func (m *model) newMessage() message {
	m.sequence++
	return message{m.session, m.sequence, m.now}
}

// receive applies a message to the owner's knowledge and reports whether it is the newest one.
func (m *model) receive(received message, by Sighting) bool {
	newer := received.session > m.newest.session || received.session == m.newest.session && received.sequence > m.newest.sequence
	if !newer {
		return false
	}
	m.newest, m.lastMessageAt = received, m.now
	if by != SeenInDirectAnswer || m.omitted != directSightingOmitted {
		m.lease.SeeSession(received.session, m.now, by)
	}
	return true
}

// answer applies a heartbeat that the owner receives and answers, as the controller does.
func (m *model) answer(heartbeat message) {
	sentBefore := m.lastMessageAt
	if m.receive(heartbeat, SeenInHeartbeat) {
		sentBefore = m.now
	}
	if m.omitted != renewalOmitted {
		m.lease.Renew(sentBefore)
	}
}

// renew applies the answer to a heartbeat that the worker receives.
func (m *model) renew(heartbeat message) {
	if heartbeat.session == m.session && heartbeat.sentAt.After(m.renewedAt) {
		m.renewedAt = heartbeat.sentAt
	}
}

func (m *model) apply(e event) {
	switch e {
	case nothing, eventCount:
	case heartbeatAnswered:
		heartbeat := m.newMessage()
		m.answer(heartbeat)
		m.renew(heartbeat)
	case heartbeatAnswerLost:
		m.answer(m.newMessage())
	case heartbeatHeldUp:
		held := m.newMessage()
		m.heldHeartbeat = &held
	case heldHeartbeatArrives:
		if m.heldHeartbeat != nil {
			m.answer(*m.heldHeartbeat)
			m.renew(*m.heldHeartbeat)
		}
	case directAnswered:
		m.receive(m.newMessage(), SeenInDirectAnswer)
	case directAnswerHeldUp:
		held := m.newMessage()
		m.heldAnswer = &held
	case heldAnswerArrives:
		if m.heldAnswer != nil {
			m.receive(*m.heldAnswer, SeenInDirectAnswer)
		}
	case restart:
		m.begin(m.now)
	case ownerChanges:
		m.changeOwner()
	case formerOwnerAnswersBeat:
		if m.now.Sub(m.ownedSince) <= formerOwnerAnswers {
			m.renew(m.newMessage())
		}
	case statusOfOtherOwner:
		m.mergeStatus()
	}
}

// changeOwner gives the machine to an owner that knows what the records say: the highest session
// that the former owner knew.
func (m *model) changeOwner() {
	known := m.newest.session
	m.lease, m.newest, m.lastMessageAt, m.ownedSince = Lease{}, message{session: known}, time.Time{}, m.now
	m.lease.SeeSession(known, m.now, SeenElsewhere)
}

// mergeStatus applies a status in which another controller names the worker's session.
func (m *model) mergeStatus() {
	if m.session <= m.newest.session {
		return
	}
	m.newest = message{session: m.session}
	if m.omitted != otherSightingOmitted {
		m.lease.SeeSession(m.session, m.now, SeenElsewhere)
	}
}

// findError returns a description of a lease that counts as expired too early, or "".
func (m *model) findError() string {
	ownership, expiresAfter := Ownership{Since: m.ownedSince, FormerOwnerAnswers: formerOwnerAnswers}, expiry
	switch m.omitted {
	case formerOwnerOmitted:
		ownership.FormerOwnerAnswers = 0
	case marginOmitted:
		expiresAfter = ttl
	}
	expiration := m.lease.Expiration(m.now, ownership, expiresAfter)
	if expiration.IsCertain() && m.newest.session == m.session {
		return fmt.Sprintf("session %d counts as over by %q, the worker has it until %v later", m.session, expiration.Basis, m.renewedAt.Add(slowClockTTL).Sub(m.now))
	}
	return ""
}

// play applies a history and then waits. It returns the first error, or "".
func play(omitted omission, history []event) string {
	m := newModel(omitted)
	waiting := int(2*expiry/step) + 2
	for i := range len(history) + waiting {
		for _, pause := range []time.Duration{50 * time.Millisecond, step - 50*time.Millisecond} {
			m.now = m.now.Add(pause)
			m.expire()
			if found := m.findError(); found != "" {
				return found
			}
		}
		if i < len(history) {
			m.apply(history[i])
		}
	}
	return ""
}

// eachHistory calls visit with all histories of a length until it returns false.
func eachHistory(length int, visit func([]event) bool) {
	history := make([]event, length)
	for {
		if !visit(history) {
			return
		}
		i := 0
		for ; i < length; i++ {
			if history[i]++; history[i] < eventCount {
				break
			}
			history[i] = nothing
		}
		if i == length {
			return
		}
	}
}

const shortHistoryLength = 5

func TestExpiredLeaseHasEndedInShortHistories(t *testing.T) {
	eachHistory(shortHistoryLength, func(history []event) bool {
		found := play(nothingOmitted, history)
		if found != "" {
			t.Errorf("%v: %s", history, found)
		}
		return found == ""
	})
}

func TestExpiredLeaseHasEndedInLongHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event(rapid.IntRange(0, int(eventCount)-1).Draw(t, "event"))
		}), shortHistoryLength, 80).Draw(t, "history")
		if found := play(nothingOmitted, history); found != "" {
			t.Fatal(found)
		}
	})
}

func TestEachPartOfTheKnowledgeIsNeeded(t *testing.T) {
	for name, omitted := range map[string]omission{
		"answers of this owner":      renewalOmitted,
		"session in a direct answer": directSightingOmitted,
		"session in a status":        otherSightingOmitted,
		"answers of a former owner":  formerOwnerOmitted,
		"margin for drift":           marginOmitted,
	} {
		found := ""
		for length := 1; length <= shortHistoryLength && found == ""; length++ {
			eachHistory(length, func(history []event) bool {
				if found = play(omitted, history); found != "" {
					t.Logf("without %s: %v: %s", name, history, found)
				}
				return found == ""
			})
		}
		if found == "" {
			t.Errorf("without %s: no history has an error, want one", name)
		}
	}
}
