package peer

import (
	"testing"
	"time"
)

// Frames of a process that was replaced may arrive after the first frame of its successor. The
// registry must ignore them, since they hold an outdated status. A copy from two processes ago made
// it ignore the running process instead, so that its machines stayed empty (late-status).
func TestRegistryIgnoresReplacedProcess(t *testing.T) {
	r, now := NewRegistry([]string{"n1", "n2"}), time.Unix(1000, 0)
	for _, step := range []struct {
		name, node, process string
		connection          ConnectionNumber
		accepted            bool
	}{
		{"first status", "n1", "first", 1, true},
		{"another controller", "n2", "other", 2, true},
		{"restarted", "n1", "second", 3, true},
		{"late frame of the replaced process", "n1", "first", 1, false},
		{"restarted again", "n1", "third", 4, true},
		{"late frame of the first process", "n1", "first", 1, false},
		{"late frame of the second process", "n1", "second", 3, false},
		{"next status", "n1", "third", 4, true},
		{"the same process has connected again", "n1", "third", 5, true},
		{"late frame from its former connection", "n1", "third", 4, false},
		{"next status of the other controller", "n2", "other", 2, true},
		{"unknown controller", "n9", "x", 9, false},
	} {
		if got := r.Update(&Status{Node: step.node, ProcessID: step.process}, step.connection, now); got != step.accepted {
			t.Errorf("%s: Update returned %v, want %v", step.name, got, step.accepted)
		}
	}
	if got := r.Peer("n1").Status.ProcessID; got != "third" {
		t.Errorf("the peer's process id is %q, want %q", got, "third")
	}
}

// ReachableSince must not change after a gap of exactly Timeout between two statuses and must restart
// after a longer one; IsIsolated must depend on the time since the last status.
func TestRegistryDetectsStatusGaps(t *testing.T) {
	r, start := NewRegistry([]string{"n1"}), time.Unix(1000, 0)
	if !r.IsIsolated(time.Second, start) {
		t.Error("IsIsolated is false although no peer has sent a status")
	}
	r.Update(&Status{Node: "n1"}, 1, start)
	r.Update(&Status{Node: "n1"}, 1, start.Add(Timeout))
	if p := r.Peer("n1"); !p.ReachableSince.Equal(start) || !p.HasRecentStatus(time.Second, start.Add(Timeout)) {
		t.Errorf("peer reachable since %v, want %v, or its status is not recent", p.ReachableSince, start)
	}
	late := start.Add(2*Timeout + time.Millisecond)
	r.Update(&Status{Node: "n1"}, 1, late)
	if p := r.Peer("n1"); !p.ReachableSince.Equal(late) {
		t.Errorf("after a gap: peer reachable since %v, want %v", p.ReachableSince, late)
	}
	if r.IsIsolated(time.Second, late) || !r.IsIsolated(time.Second, late.Add(time.Second)) {
		t.Error("IsIsolated must be false until a second after the last status, and true from then on")
	}
}
