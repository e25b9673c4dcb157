package peer

import (
	"testing"
	"time"
)

// Frames of a process that was replaced may come after the first of its successor: they
// must not be taken for news.
func TestRegistryIgnoresReplacedProcess(t *testing.T) {
	r, now := NewRegistry([]string{"n1"}), time.Unix(1000, 0)
	for _, step := range []struct {
		name, node, process string
		taken               bool
	}{
		{"first status", "n1", "old", true},
		{"restarted", "n1", "new", true},
		{"late frame of the former process", "n1", "old", false},
		{"unknown controller", "n9", "x", false},
	} {
		if got := r.Update(&Status{Node: step.node, ProcessID: step.process}, now); got != step.taken {
			t.Errorf("%s: taken is %v, want %v", step.name, got, step.taken)
		}
	}
	if got := r.Peer("n1").Status.ProcessID; got != "new" {
		t.Errorf("the peer's process is %q, want %q", got, "new")
	}
}

func TestRegistryDetectsStatusGaps(t *testing.T) {
	r, begun := NewRegistry([]string{"n1"}), time.Unix(1000, 0)
	if !r.IsIsolated(time.Second, begun) {
		t.Error("a peer that was never heard is not silent")
	}
	r.Update(&Status{Node: "n1"}, begun)
	r.Update(&Status{Node: "n1"}, begun.Add(Timeout))
	if p := r.Peer("n1"); !p.AliveSince.Equal(begun) || !p.HasRecentStatus(time.Second, begun.Add(Timeout)) {
		t.Errorf("heard since %v, want %v", p.AliveSince, begun)
	}
	late := begun.Add(2*Timeout + time.Millisecond)
	r.Update(&Status{Node: "n1"}, late)
	if p := r.Peer("n1"); !p.AliveSince.Equal(late) {
		t.Errorf("after a gap: heard since %v, want %v", p.AliveSince, late)
	}
	if r.IsIsolated(time.Second, late) || !r.IsIsolated(time.Second, late.Add(time.Second)) {
		t.Error("a peer is silent a second after its last status, and not before")
	}
}
