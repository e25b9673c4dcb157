package rollout

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/wire"
)

// closingExtra is how many changes closing the keys takes beyond one for each
// partition: the leader's key and the state.
const closingExtra = 2

// Versions are the versions of the keys that a step rests on.
type Versions struct {
	State  uint64 // 0: none is stored
	Leader uint64 // of the leader's key, while one leads
}

// closedKey is stored at the key of a right that nobody may hold. No lease ends it. Its
// node is no controller's name, so that a version without levels takes the right for held.
type closedKey struct {
	Node string `json:"n"`
	Boot string `json:"b"`
}

// ClosedNode is the holder that is stored at the key of a right which nobody may hold.
func ClosedNode(level Level) string { return fmt.Sprintf("(closed by feature level %d)", level) }

// Txn is the transaction that takes a step. It fails if anything has changed that the
// decision rests on: the leader's term, the state, or, for a level to come, the record
// of any controller, so that a restart voids it.
func Txn(s State, step Step, next State, v View, at Versions) *wire.Txn {
	t := &wire.Txn{Conditions: []wire.Condition{{Key: StateKey, Revision: at.State}}}
	if s.Phase != Closed {
		t.Conditions = append(t.Conditions, wire.Condition{Key: s.Keys().Leader(), Revision: at.Leader})
	}
	if step == Activate || step == Finalize {
		for _, name := range v.Members {
			t.Conditions = append(t.Conditions, wire.Condition{Key: ControllerKey(name), Revision: v.Controllers[name].Revision})
		}
	}
	t.Changes = append(t.Changes, wire.Change{Put: StateKey, Value: next.Encode()})
	switch step {
	case Finalize, Close:
		for _, key := range s.Keys().all(v.Partitions) {
			t.Changes = append(t.Changes, wire.Change{Put: key, Value: closedValue(max(s.Level, next.Level))})
		}
	case Open:
		if next.Level == BaseLevel {
			for _, key := range baseKeys.all(v.Partitions) {
				t.Changes = append(t.Changes, wire.Change{Delete: key})
			}
		}
	}
	return t
}

func closedValue(level Level) json.RawMessage {
	raw, err := json.Marshal(closedKey{Node: ClosedNode(level)})
	if err != nil {
		panic(fmt.Sprintf("rollout: encode closed key: %v", err)) // plain data always encodes
	}
	return raw
}
