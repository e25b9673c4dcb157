package peer

import (
	"testing"
	"time"
)

// Frames of a process that was replaced may arrive after the first frame of its successor. The
// registry must ignore them, since they hold an outdated status.
func TestRegistryIgnoresReplacedProcess(t *testing.T) {
	r, now := NewRegistry([]string{"n1"}), time.Unix(1000, 0)
	for _, step := range []struct {
		name, node, process string
		accepted            bool
	}{
		{"first status", "n1", "old", true},
		{"restarted", "n1", "new", true},
		{"late frame of the replaced process", "n1", "old", false},
		{"unknown controller", "n9", "x", false},
	} {
		if got := r.Update(&Status{Node: step.node, ProcessID: step.process}, now); got != step.accepted {
			t.Errorf("%s: Update returned %v, want %v", step.name, got, step.accepted)
		}
	}
	if got := r.Peer("n1").Status.ProcessID; got != "new" {
		t.Errorf("the peer's process id is %q, want %q", got, "new")
	}
}

// ReachableSince must not change after a gap of exactly Timeout between two statuses and must restart
// after a longer one; IsIsolated must depend on the time since the last status.
func TestRegistryDetectsStatusGaps(t *testing.T) {
	r, start := NewRegistry([]string{"n1"}), time.Unix(1000, 0)
	if !r.IsIsolated(time.Second, start) {
		t.Error("IsIsolated is false although no peer has sent a status")
	}
	r.Update(&Status{Node: "n1"}, start)
	r.Update(&Status{Node: "n1"}, start.Add(Timeout))
	if p := r.Peer("n1"); !p.ReachableSince.Equal(start) || !p.HasRecentStatus(time.Second, start.Add(Timeout)) {
		t.Errorf("peer reachable since %v, want %v, or its status is not recent", p.ReachableSince, start)
	}
	late := start.Add(2*Timeout + time.Millisecond)
	r.Update(&Status{Node: "n1"}, late)
	if p := r.Peer("n1"); !p.ReachableSince.Equal(late) {
		t.Errorf("after a gap: peer reachable since %v, want %v", p.ReachableSince, late)
	}
	if r.IsIsolated(time.Second, late) || !r.IsIsolated(time.Second, late.Add(time.Second)) {
		t.Error("IsIsolated must be false until a second after the last status, and true from then on")
	}
}
