package controller

import (
	"strings"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"
)

// levelHistoryChecker goes through all that was ever stored, in its order, and checks it against
// the level in force at that moment.
type levelHistoryChecker struct {
	*cluster
	state             rollout.State
	checksummedGroups map[string]bool // groups that are stored with a checksum
}

func (h *levelHistoryChecker) checkEvent(e wire.Event) {
	h.t.Helper()
	key := e.Put + e.Delete
	if isRolloutKey(key) && !h.upgrades {
		h.t.Errorf("%s is stored though nothing is switched on", key)
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

// checkState checks a change of the state: it follows from the one before, and a level
// that is given up leaves nothing behind.
func (h *levelHistoryChecker) checkState(e wire.Event) {
	h.t.Helper()
	state, err := rollout.DecodeState(e.Value)
	if err != nil {
		if !h.writtenByTest[e.Put] {
			h.t.Error(err)
		}
		return
	}
	if d := int(state.Level) - int(h.state.Level); d < -1 || d > 1 {
		h.t.Errorf("from level %d to %d", h.state.Level, state.Level)
	}
	h.state = state
	for key, there := range h.checksummedGroups {
		if there && state.Level == rollout.BaseLevel {
			h.t.Errorf("%s has a checksum at the base level", key)
		}
	}
}

// isLeaseKey tells whether a key is a leased one at any level.
func isLeaseKey(key string) bool {
	return strings.HasSuffix(key, "/leader") || strings.Contains(key, "/part/")
}

// checkLease checks that a leased key is taken under the keys of the level in force, by a
// process that reads it.
func (h *levelHistoryChecker) checkLease(e wire.Event) {
	h.t.Helper()
	var holder record.LeaseHolder
	if err := wire.Decode(e.Value, &holder); err != nil {
		h.t.Error(err)
	}
	h.mu.Lock()
	reads, isProcess := h.readableByProcess[holder.ProcessID]
	h.mu.Unlock()
	if !isProcess {
		return // it was closed
	}
	prefix := strings.TrimSuffix(h.state.Keys().Leader(), "leader")
	if rest, ok := strings.CutPrefix(e.Put, prefix); !ok || strings.HasPrefix(rest, "epoch/") {
		h.t.Errorf("%s is taken by %s at level %d, epoch %d", e.Put, holder.Node, h.state.Level, h.state.Epoch)
	}
	if !h.state.Admits(reads) {
		h.t.Errorf("%s is taken by %s, which reads %s, at level %d", e.Put, holder.Node, reads, h.state.Level)
	}
}
