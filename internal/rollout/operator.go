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

// OperatorStore is what an operator's commands need of the key-value store.
type OperatorStore interface {
	Get(ctx context.Context, key string) (*wire.Item, error)
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error)
}

// OperatorClient carries out the commands of the people who run a cluster.
type OperatorClient struct {
	Store          OperatorStore
	Members        []string
	PartitionCount int
	MaxTxnChanges  int
	// RetryDeadline is up to when calls are tried again that the store refused or did not answer;
	// the zero time: none is.
	RetryDeadline time.Time
}

// Status is the state of an upgrade as operators are shown it. Its JSON is read by scripts.
type Status struct {
	State       State  `json:"state"`
	ActiveLevel Level  `json:"active"`
	WriteLevel  Level  `json:"writes"`
	Revision    uint64 `json:"version"`
	// Controllers are those that are registered, by name.
	Controllers []Registration `json:"controllers"`
	// Missing are those that the settings name and that are not registered.
	MissingControllers []string `json:"missing,omitempty"`
	// Records counts the task group records by the encoding they are stored in.
	RecordsByEncoding map[string]int `json:"records"`
	// Blockers are why the next step can't be taken now.
	Blockers []Blocker `json:"blockers,omitempty"`
}

// groupPrefix is the prefix of the keys of task group records.
const groupPrefix = "e/group/"

// Status reads the state of an upgrade.
func (o *OperatorClient) Status(ctx context.Context) (*Status, error) {
	state, revision, err := o.readState(ctx)
	if err != nil {
		return nil, err
	}
	controllers, err := o.readRegistrations(ctx)
	if err != nil {
		return nil, err
	}
	groups, err := o.list(ctx, groupPrefix)
	if err != nil {
		return nil, err
	}
	status := &Status{State: state, ActiveLevel: state.ActiveLevel(), WriteLevel: state.WriteLevel(), Revision: revision}
	view := o.clusterView(controllers)
	status.countRecords(groups, &view)
	status.setControllers(controllers, o.Members)
	status.Blockers = Blockers(state, view)
	return status, nil
}

// unreadableEncoding is the name under which Records counts what can't be decoded.
const unreadableEncoding = "unreadable"

// countRecords counts the task group records by their encoding, in the view, too.
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

// setControllers sets which controllers are registered, by name, and which members are not.
func (s *Status) setControllers(controllers map[string]StoredRegistration, members []string) {
	for _, c := range controllers {
		s.Controllers = append(s.Controllers, c.Registration)
	}
	slices.SortFunc(s.Controllers, func(x, y Registration) int { return strings.Compare(x.Node, y.Node) })
	for _, name := range members {
		if _, ok := controllers[name]; !ok {
			s.MissingControllers = append(s.MissingControllers, name)
		}
	}
}

// state returns the stored state and its revision.
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

// controllers returns the registered controllers by name.
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

// list reads the keys below a prefix.
func (o *OperatorClient) list(ctx context.Context, prefix string) (items []wire.Item, err error) {
	err = o.retry(ctx, func() (err error) {
		items, _, err = o.Store.List(ctx, prefix)
		return err
	})
	return items, err
}

// view returns what a decision of the leader would rest on, apart from the records.
func (o *OperatorClient) clusterView(controllers map[string]StoredRegistration) ClusterView {
	return ClusterView{Now: time.Now(), Members: o.Members, Registrations: controllers, IsLeader: true, IsUpToDate: true,
		PartitionCount: o.PartitionCount, MaxTxnChanges: o.MaxTxnChanges}
}

// RefusedError says why a request is refused: nothing was changed.
type RefusedError struct {
	Request  Request
	Reason   string
	Blockers []Blocker
}

// Error returns the reasons in one line.
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

// ErrStateChanged says that somebody else changed the state at the same moment: nothing was
// changed by this request.
var ErrStateChanged = errors.New("the state has changed meanwhile; look at it again")

// Submit stores a request for the leader to carry out, and returns the state with it. Its
// errors are a RefusedError, ErrStateChanged, an OutcomeUnknownError or, if nothing was changed, those of
// the store.
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

// checkRequest returns a RefusedError if a request can't be carried out in a state.
func checkRequest(s State, request Request, view ClusterView) error {
	refused := func(reason string, blockers ...Blocker) error {
		return &RefusedError{Request: request, Reason: reason, Blockers: blockers}
	}
	switch {
	case s.Phase == PhaseClosed:
		return refused("a step is just being completed; try again in a second")
	case request == RequestFinalize && (s.OnHold || s.Phase == PhaseReverting):
		return nil
	case request == RequestFinalize && s.Phase == PhaseStable:
		return refused("no level is active", Blockers(s, view)...)
	case request == RequestFinalize:
		if blockers := Blockers(s, view); len(blockers) > 0 {
			return refused("", blockers...)
		}
	case request == RequestAbort && s.Phase == PhaseReverting:
		return refused(fmt.Sprintf("level %d is being given up already", s.Level))
	case request == RequestAbort && s.Phase == PhaseStable && s.Level == BaseLevel && s.OnHold:
		return refused("level 1 is held already, and there is none before it")
	}
	return nil
}

// IsCompleted tells whether a request, with which Submit returned a state, has been carried out
// by now.
func IsCompleted(submitted State, now State) bool {
	return now.Request == NoRequest && now != submitted
}
