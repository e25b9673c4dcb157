package controller

import (
	"strings"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"
)

// levelHistoryChecker checks every change ever made in the key-value store, in order, against the
// feature level in force at the time of the change.
type levelHistoryChecker struct {
	*cluster
	state             rollout.State
	checksummedGroups map[string]bool // groups that are stored with a checksum
}

// checkEvent checks one change: no rollout key may be stored unless the controllers take part in
// upgrades, and task groups and leases must comply with the level in force.
func (h *levelHistoryChecker) checkEvent(e wire.Event) {
	h.t.Helper()
	key := e.Put + e.Delete
	if isRolloutKey(key) && !h.upgradesEnabled {
		h.t.Errorf("%s is stored although staged upgrades are not enabled", key)
	}
	if key == rollout.StateKey {
		h.checkState(e)
	}
	if strings.HasPrefix(key, groupPrefix) {
		encoding := record.EncodingOf(e.Value)
		h.checksummedGroups[key] = encoding == record.Checksummed
		if rollout.Level(encoding) > h.state.Level {
			h.t.Errorf("%s is stored in encoding %d at level %d", key, encoding, h.state.Level)
		}
	}
	if e.Put != "" && isLeaseKey(key) {
		h.checkLease(e)
	}
}

// checkState checks a change of the rollout state: the level changes by at most one, and no task
// group is stored with a checksum once the level is back at the base level.
func (h *levelHistoryChecker) checkState(e wire.Event) {
	h.t.Helper()
	state, err := rollout.DecodeState(e.Value)
	if err != nil {
		if !h.keysWrittenByTest[e.Put] {
			h.t.Error(err)
		}
		return
	}
	if d := int(state.Level) - int(h.state.Level); d < -1 || d > 1 {
		h.t.Errorf("level changed from %d to %d, want a change by at most one", h.state.Level, state.Level)
	}
	h.state = state
	for key, isChecksummed := range h.checksummedGroups {
		if isChecksummed && state.Level == rollout.BaseLevel {
			h.t.Errorf("%s is stored with a checksum at the base level", key)
		}
	}
}

// isLeaseKey reports whether a key is a leased key at any feature level.
func isLeaseKey(key string) bool {
	return strings.HasSuffix(key, "/leader") || strings.Contains(key, "/part/")
}

// checkLease checks the acquisition of a lease: its key must belong to the state in force, and the
// holder must read the level in force.
func (h *levelHistoryChecker) checkLease(e wire.Event) {
	h.t.Helper()
	var holder record.LeaseHolder
	if err := wire.Decode(e.Value, &holder); err != nil {
		h.t.Error(err)
	}
	h.mu.Lock()
	reads, isProcess := h.readableLevels[holder.ProcessID]
	h.mu.Unlock()
	if !isProcess {
		return // the key was closed by a rollout step
	}
	prefix := strings.TrimSuffix(h.state.LeaseKeys().Leader(), "leader")
	if rest, ok := strings.CutPrefix(e.Put, prefix); !ok || strings.HasPrefix(rest, "epoch/") {
		h.t.Errorf("%s is acquired by %s at level %d in epoch %d, which has other keys", e.Put, holder.Node, h.state.Level, h.state.Epoch)
	}
	if !h.state.Admits(reads) {
		h.t.Errorf("%s is acquired by %s, which reads levels %s, at level %d", e.Put, holder.Node, reads, h.state.Level)
	}
}
