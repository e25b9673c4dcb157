package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

// OperatorStore contains the calls of the key-value store's client that an OperatorClient makes.
type OperatorStore interface {
	Get(ctx context.Context, key string) (*wire.Item, error)
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error)
}

// OperatorClient executes the upgrade commands of operators.
type OperatorClient struct {
	Store                 OperatorStore
	Members               []string
	PartitionCount        int
	MaxTransactionChanges int
	// RetryDeadline is the time until which calls are retried that the store refused or did
	// not answer. The zero time means that calls are not retried.
	RetryDeadline time.Time
}

// Status is the state of an upgrade as it is shown to operators. Scripts read its JSON.
type Status struct {
	State       State  `json:"state"`
	ActiveLevel Level  `json:"active"`
	WriteLevel  Level  `json:"writes"`
	Revision    uint64 `json:"version"`
	// Controllers are the current registrations, sorted by name.
	Controllers []Registration `json:"controllers"`
	// MissingControllers are the controllers in the settings that are not registered.
	MissingControllers []string `json:"missing,omitempty"`
	// RecordsByEncoding counts the task group records by their stored encoding.
	RecordsByEncoding map[string]int `json:"records"`
	// Blockers are the reasons why the next step can't be taken now.
	Blockers []Blocker `json:"blockers,omitempty"`
}

// groupPrefix is the prefix of the keys of task group records.
const groupPrefix = "e/group/"

// Status reads the state of an upgrade from the key-value store.
func (o *OperatorClient) Status(ctx context.Context) (*Status, error) {
	state, revision, err := o.readState(ctx)
	if err != nil {
		return nil, err
	}
	controllers, err := o.readRegistrations(ctx)
	if err != nil {
		return nil, err
	}
	taskGroups, err := o.list(ctx, groupPrefix)
	if err != nil {
		return nil, err
	}
	status := &Status{State: state, ActiveLevel: state.ActiveLevel(), WriteLevel: state.WriteLevel(), Revision: revision}
	view := o.clusterView(controllers)
	status.countRecords(taskGroups, &view)
	status.setControllers(controllers, o.Members)
	status.Blockers = Blockers(state, view)
	return status, nil
}

// unreadableEncoding is the key of RecordsByEncoding for records that can't be decoded.
const unreadableEncoding = "unreadable"

// countRecords counts the task group records by their encoding, and sets the counts of view.
func (s *Status) countRecords(groups []wire.Item, view *ClusterView) {
	s.RecordsByEncoding = map[string]int{}
	for i := range groups {
		_, encoding, err := record.DecodeTaskGroup(groups[i].Key, groups[i].Value)
		if err != nil {
			s.RecordsByEncoding[unreadableEncoding]++
			view.UnreadableRecords++
			continue
		}
		s.RecordsByEncoding[fmt.Sprintf("form %d", encoding)]++
		if Level(encoding) > s.WriteLevel {
			view.NewerRecords++
		}
	}
}

// setControllers sets the registered controllers, sorted by name, and the missing ones.
func (s *Status) setControllers(registrations map[string]StoredRegistration, members []string) {
	for _, c := range registrations {
		s.Controllers = append(s.Controllers, c.Registration)
	}
	slices.SortFunc(s.Controllers, func(x, y Registration) int { return strings.Compare(x.Node, y.Node) })
	for _, name := range members {
		if _, ok := registrations[name]; !ok {
			s.MissingControllers = append(s.MissingControllers, name)
		}
	}
}

// readState returns the stored state and its revision, or InitialState and 0 if none is stored.
func (o *OperatorClient) readState(ctx context.Context) (State, uint64, error) {
	var item *wire.Item
	err := o.retry(ctx, func() (err error) {
		item, err = o.Store.Get(ctx, StateKey)
		return err
	})
	if err != nil {
		return State{}, 0, err
	}
	if item == nil {
		return InitialState, 0, nil
	}
	state, err := DecodeState(item.Value)
	return state, item.Revision, err
}

// readRegistrations returns the current registrations by controller name.
func (o *OperatorClient) readRegistrations(ctx context.Context) (map[string]StoredRegistration, error) {
	items, err := o.list(ctx, RegistrationPrefix)
	if err != nil {
		return nil, err
	}
	registrations := map[string]StoredRegistration{}
	for i := range items {
		c, err := DecodeRegistration(items[i].Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", items[i].Key, err)
		}
		registrations[strings.TrimPrefix(items[i].Key, RegistrationPrefix)] = StoredRegistration{Registration: c, Revision: items[i].Revision}
	}
	return registrations, nil
}

// list reads all keys with a prefix.
func (o *OperatorClient) list(ctx context.Context, prefix string) (items []wire.Item, err error) {
	err = o.retry(ctx, func() (err error) {
		items, _, err = o.Store.List(ctx, prefix)
		return err
	})
	return items, err
}

// clusterView returns the view that the leader's decisions would depend on, without the counts
// of records.
func (o *OperatorClient) clusterView(registrations map[string]StoredRegistration) ClusterView {
	return ClusterView{Now: time.Now(), Members: o.Members, Registrations: registrations, IsLeader: true, IsUpToDate: true,
		PartitionCount: o.PartitionCount, MaxTransactionChanges: o.MaxTransactionChanges}
}

// RefusedError is the error of a request that was refused. Nothing was changed.
type RefusedError struct {
	Request  Request
	Reason   string
	Blockers []Blocker
}

// Error returns the request and all reasons in one line.
func (e *RefusedError) Error() string {
	reasons := []string{}
	if e.Reason != "" {
		reasons = append(reasons, e.Reason)
	}
	for _, b := range e.Blockers {
		reasons = append(reasons, b.String())
	}
	return fmt.Sprintf("%s is refused: %s", e.Request, strings.Join(reasons, "; "))
}

// ErrStateChanged is the error of a request that was not stored because the state had been
// changed since it was read.
var ErrStateChanged = errors.New("the state has been changed since it was read; look at it again")

// Submit stores a request for the leader to carry out, and returns the state that contains it. It
// returns a RefusedError, ErrStateChanged, an OutcomeUnknownError, or an error of the store or of
// decoding. After any error but an OutcomeUnknownError, this request has changed nothing.
func (o *OperatorClient) Submit(ctx context.Context, request Request) (State, error) {
	state, revision, err := o.readState(ctx)
	if err != nil {
		return State{}, err
	}
	controllers, err := o.readRegistrations(ctx)
	if err != nil {
		return State{}, err
	}
	if err := checkRequest(state, request, o.clusterView(controllers)); err != nil {
		return state, err
	}
	next := state
	next.Request = request
	if err := o.storeRequest(ctx, next, revision); err != nil {
		return state, err
	}
	return next, nil
}

// checkRequest returns a RefusedError if a request can't be carried out in state s.
func checkRequest(s State, request Request, view ClusterView) error {
	refused := func(reason string, blockers ...Blocker) error {
		return &RefusedError{Request: request, Reason: reason, Blockers: blockers}
	}
	switch {
	case s.Phase == PhaseClosed:
		return refused("a step is being completed; try again in a second")
	case request == RequestFinalize && (s.OnHold || s.Phase == PhaseReverting):
		return nil
	case request == RequestFinalize && s.Phase == PhaseStable:
		return refused("no level is active", Blockers(s, view)...)
	case request == RequestFinalize:
		if blockers := Blockers(s, view); len(blockers) > 0 {
			return refused("", blockers...)
		}
	case request == RequestAbort && s.Phase == PhaseReverting:
		return refused(fmt.Sprintf("level %d is already being reverted", s.Level))
	case request == RequestAbort && s.Phase == PhaseStable && s.Level == BaseLevel && s.OnHold:
		return refused("level 1 is already on hold, and there is none before it")
	}
	return nil
}

// IsCompleted reports whether the request in submitted, the state that Submit returned, has been
// carried out by the time of the state current.
func IsCompleted(submitted State, current State) bool {
	return current.Request == NoRequest && current != submitted
}
