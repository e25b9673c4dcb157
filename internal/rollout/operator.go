package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// Reader is what an operator's command needs of the state service.
type Reader interface {
	Get(ctx context.Context, key string) (*wire.Item, error)
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error)
}

// Operator carries out an operator's commands.
type Operator struct {
	Store              Reader
	Members            []string
	Partitions         int
	TransactionChanges int
}

// Status is what an operator is shown.
type Status struct {
	State   State  `json:"state"`
	Active  Level  `json:"active"`
	Writes  Level  `json:"writes"`
	Version uint64 `json:"version"`
	// Controllers are those that are registered, by name.
	Controllers []Controller `json:"controllers"`
	// Missing are those that the settings name and that are not registered.
	Missing []string `json:"missing,omitempty"`
	// Records counts the task group records by the form they are stored in.
	Records map[string]int `json:"records"`
	// Blockers are why the next step can't be taken now.
	Blockers []Blocker `json:"blockers,omitempty"`
}

// groupPrefix is below which task group records are stored.
const groupPrefix = "e/group/"

// Status reads the state of an upgrade.
func (o *Operator) Status(ctx context.Context) (*Status, error) {
	state, version, err := o.state(ctx)
	if err != nil {
		return nil, err
	}
	controllers, err := o.controllers(ctx)
	if err != nil {
		return nil, err
	}
	groups, _, err := o.Store.List(ctx, groupPrefix)
	if err != nil {
		return nil, err
	}
	s := &Status{State: state, Active: state.Active(), Writes: state.Writes(), Version: version, Records: map[string]int{}}
	view := o.view(controllers)
	for i := range groups {
		_, form, err := record.DecodeTaskGroup(groups[i].Key, groups[i].Value)
		if err != nil {
			s.Records["unreadable"]++
			view.Unreadable++
			continue
		}
		s.Records[fmt.Sprintf("form %d", form)]++
		if Level(form) > state.Writes() {
			view.Above++
		}
	}
	for _, c := range controllers {
		s.Controllers = append(s.Controllers, c.Controller)
	}
	slices.SortFunc(s.Controllers, func(x, y Controller) int { return strings.Compare(x.Node, y.Node) })
	for _, name := range o.Members {
		if _, ok := controllers[name]; !ok {
			s.Missing = append(s.Missing, name)
		}
	}
	s.Blockers = Blockers(state, view)
	return s, nil
}

func (o *Operator) state(ctx context.Context) (State, uint64, error) {
	item, err := o.Store.Get(ctx, StateKey)
	if err != nil {
		return State{}, 0, err
	}
	if item == nil {
		return Initial, 0, nil
	}
	state, err := DecodeState(item.Value)
	return state, item.Revision, err
}

func (o *Operator) controllers(ctx context.Context) (map[string]Registered, error) {
	items, _, err := o.Store.List(ctx, ControllerPrefix)
	if err != nil {
		return nil, err
	}
	out := map[string]Registered{}
	for i := range items {
		c, err := DecodeController(items[i].Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", items[i].Key, err)
		}
		out[strings.TrimPrefix(items[i].Key, ControllerPrefix)] = Registered{Controller: c, Revision: items[i].Revision}
	}
	return out, nil
}

func (o *Operator) view(controllers map[string]Registered) View {
	return View{Now: time.Now(), Members: o.Members, Controllers: controllers, Leading: true, Current: true,
		Partitions: o.Partitions, TransactionChanges: o.TransactionChanges}
}

// RefusedError says why a wish is refused: nothing was changed.
type RefusedError struct {
	Wish     Wish
	Reason   string
	Blockers []Blocker
}

// Error is the reason in one line.
func (e *RefusedError) Error() string {
	reasons := []string{}
	if e.Reason != "" {
		reasons = append(reasons, e.Reason)
	}
	for _, b := range e.Blockers {
		reasons = append(reasons, b.String())
	}
	return fmt.Sprintf("%s is refused: %s", e.Wish, strings.Join(reasons, "; "))
}

// ErrChanged says that somebody else changed the state at the same moment: nothing was
// changed by this command.
var ErrChanged = errors.New("the state has changed meanwhile; look at it again")

// Request has the leader carry out a wish, and returns the state at which it was asked.
func (o *Operator) Request(ctx context.Context, wish Wish) (State, error) {
	state, version, err := o.state(ctx)
	if err != nil {
		return State{}, err
	}
	controllers, err := o.controllers(ctx)
	if err != nil {
		return State{}, err
	}
	if err := check(state, wish, o.view(controllers)); err != nil {
		return state, err
	}
	next := state
	next.Wish = wish
	_, err = o.Store.Txn(ctx, &wire.Txn{
		Conditions: []wire.Condition{{Key: StateKey, Revision: version}},
		Changes:    []wire.Change{{Put: StateKey, Value: next.Encode()}},
	})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// Perhaps it was applied: what is stored now tells.
		if now, _, readErr := o.state(ctx); readErr == nil && now == next {
			err = nil
		}
	}
	if errors.Is(err, store.ErrConflict) {
		return state, ErrChanged
	}
	return next, err
}

// check says why a wish can't be carried out, or nil.
func check(s State, wish Wish, v View) error {
	refused := func(reason string, blockers ...Blocker) error {
		return &RefusedError{Wish: wish, Reason: reason, Blockers: blockers}
	}
	switch {
	case s.Phase == Closed:
		return refused("a step is just being completed; try again in a second")
	case wish == WishFinalize && (s.Held || s.Phase == Reverting):
		return nil
	case wish == WishFinalize && s.Phase == Stable:
		return refused("no level is active", Blockers(s, v)...)
	case wish == WishFinalize:
		if blockers := Blockers(s, v); len(blockers) > 0 {
			return refused("", blockers...)
		}
	case wish == WishAbort && s.Phase == Reverting:
		return refused(fmt.Sprintf("level %d is being given up already", s.Level))
	case wish == WishAbort && s.Phase == Stable && s.Level == BaseLevel && s.Held:
		return refused("level 1 is held already, and there is none before it")
	}
	return nil
}

// Done tells whether a wish that was asked for at a state has been carried out by now.
func Done(asked State, now State) bool {
	return now.Wish == NoWish && now != asked
}
