package rollout

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/wire"
)

// extraCloseChanges is how many changes closing the keys takes beyond one for each
// partition: the leader's key and the state.
const extraCloseChanges = 2

// Revisions are the revisions of the keys that a step rests on.
type Revisions struct {
	State  uint64 // 0: none is stored
	Leader uint64 // of the leader's key, while one leads
}

// closedHolder is the value of a leased key that nobody may hold. It is under no lease, and its
// node is no controller's name, so that a version without levels takes the key for held.
type closedHolder struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
}

// ClosedHolderNode returns the holder that is stored at a leased key which nobody may hold.
func ClosedHolderNode(level Level) string { return fmt.Sprintf("(closed by feature level %d)", level) }

// NewStepTxn returns the transaction that takes a step. It fails if anything has changed that the
// decision rests on: the leader's term, the state, or, for a level to come, the record
// of any controller, so that a restart voids it.
func NewStepTxn(s State, step Step, next State, view ClusterView, at Revisions) *wire.Txn {
	t := &wire.Txn{Conditions: []wire.Condition{{Key: StateKey, Revision: at.State}}}
	if s.Phase != PhaseClosed {
		t.Conditions = append(t.Conditions, wire.Condition{Key: s.LeaseKeys().Leader(), Revision: at.Leader})
	}
	if step == StepActivate || step == StepFinalize {
		for _, name := range view.Members {
			t.Conditions = append(t.Conditions, wire.Condition{Key: RegistrationKey(name), Revision: view.Registrations[name].Revision})
		}
	}
	t.Changes = append(t.Changes, wire.Change{Put: StateKey, Value: next.Encode()})
	switch step {
	case StepFinalize, StepClose:
		for _, key := range s.LeaseKeys().list(view.PartitionCount) {
			t.Changes = append(t.Changes, wire.Change{Put: key, Value: closedHolderValue(max(s.Level, next.Level))})
		}
	case StepOpen:
		if next.Level == BaseLevel {
			for _, key := range baseLeaseKeys.list(view.PartitionCount) {
				t.Changes = append(t.Changes, wire.Change{Delete: key})
			}
		}
	}
	return t
}

func closedHolderValue(level Level) json.RawMessage {
	return encode(closedHolder{Node: ClosedHolderNode(level)})
}
