package rollout

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/wire"
)

// extraCloseChanges is the number of changes that closing the keys takes in addition to one for
// each partition: one for the leader's key and one for the state.
const extraCloseChanges = 2

// Revisions are the revisions of the keys that a step is conditional on.
type Revisions struct {
	State  uint64 // 0 if no state is stored
	Leader uint64 // of the leader's key; unused in PhaseClosed
}

// closedHolder is the value of a closed leased key. The key is under no lease, and the node is
// not the name of a controller, so that versions without feature levels consider the key held.
type closedHolder struct {
	Node      string `json:"n"`
	ProcessID string `json:"b"`
}

// ClosedHolderNode returns the name that is stored as the holder of a closed leased key.
func ClosedHolderNode(level Level) string { return fmt.Sprintf("(closed by feature level %d)", level) }

// NewStepTxn returns the transaction that takes a step. The transaction is conditional on
// everything that the decision depends on: the state, the leader's term unless the keys are
// closed, and, for StepActivate and StepFinalize, the registration of each controller, so that it
// fails if a controller restarts.
func NewStepTxn(s State, step Step, next State, view ClusterView, revisions Revisions) *wire.Txn {
	txn := &wire.Txn{Conditions: []wire.Condition{{Key: StateKey, Revision: revisions.State}}}
	if s.Phase != PhaseClosed {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: s.LeaseKeys().Leader(), Revision: revisions.Leader})
	}
	if step == StepActivate || step == StepFinalize {
		for _, name := range view.Members {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: RegistrationKey(name), Revision: view.Registrations[name].Revision})
		}
	}
	txn.Changes = append(txn.Changes, wire.Change{Put: StateKey, Value: next.Encode()})
	switch step {
	case StepFinalize, StepClose:
		for _, key := range s.LeaseKeys().list(view.PartitionCount) {
			txn.Changes = append(txn.Changes, wire.Change{Put: key, Value: closedHolderValue(max(s.Level, next.Level))})
		}
	case StepOpen:
		if next.Level == BaseLevel {
			for _, key := range baseLeaseKeys.list(view.PartitionCount) {
				txn.Changes = append(txn.Changes, wire.Change{Delete: key})
			}
		}
	}
	return txn
}

func closedHolderValue(level Level) json.RawMessage {
	return encode(closedHolder{Node: ClosedHolderNode(level)})
}
