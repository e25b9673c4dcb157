package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/simulation/kv"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// inProcessTransport passes requests to a simulated store without a network.
type inProcessTransport struct{ store *kv.Store }

// RoundTrip returns the store's response to a request.
func (p inProcessTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	if r.Body == nil {
		r.Body = http.NoBody
	}
	p.store.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func newStore() (*kv.Store, *store.Client) {
	simulatedStore := kv.NewStore()
	return simulatedStore, store.NewClient("state:1", inProcessTransport{simulatedStore})
}

func put(t *testing.T, c *store.Client, key string, value any) uint64 {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.Txn(t.Context(), &wire.Txn{Changes: []wire.Change{{Put: key, Value: raw}}})
	if err != nil {
		t.Fatal(err)
	}
	return response.Revision
}

// storeCluster stores the records of a cluster of two controllers in state s, and returns the view
// and the revisions of that cluster.
func storeCluster(t *testing.T, c *store.Client, s State) (ClusterView, Revisions) {
	t.Helper()
	view := ClusterView{Now: time.UnixMilli(0), Members: []string{"n0", "n1"}, Registrations: map[string]StoredRegistration{}, IsLeader: true, IsUpToDate: true, PartitionCount: 2, MaxTransactionChanges: 10}
	for _, name := range view.Members {
		r := Registration{Node: name, LevelRange: SupportedLevels}
		view.Registrations[name] = StoredRegistration{Registration: r, Revision: put(t, c, RegistrationKey(name), r)}
	}
	for n := range 2 {
		put(t, c, s.LeaseKeys().Partition(n), "held")
	}
	leader := put(t, c, s.LeaseKeys().Leader(), "held")
	return view, Revisions{State: put(t, c, StateKey, s), Leader: leader}
}

// A step must fail if anything that it is conditional on has changed before it is applied, so that
// a leader that was paused, or whose transaction is late, changes nothing.
func TestStepsFailIfConditionsChanged(t *testing.T) {
	withRegistrations := []string{StateKey, "leader", RegistrationKey("n0"), RegistrationKey("n1")}
	stateAndLeader := []string{StateKey, "leader"}
	for _, x := range []struct {
		step          Step
		state         State
		conditionKeys []string // keys that the step is conditional on
	}{
		{StepActivate, InitialState, withRegistrations},
		{StepFinalize, State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}, withRegistrations},
		{StepHold, State{Level: 1, Phase: PhaseActive, Request: RequestAbort}, stateAndLeader},
		{StepResume, State{Level: 1, Phase: PhaseStable, OnHold: true, Request: RequestFinalize}, stateAndLeader},
		{StepRevert, State{Level: 2, Phase: PhaseStable, Epoch: 1, Request: RequestAbort}, stateAndLeader},
		{StepClose, State{Level: 2, Phase: PhaseReverting, Epoch: 1, OnHold: true}, stateAndLeader},
		{StepOpen, State{Level: 2, Phase: PhaseClosed, Epoch: 1, OnHold: true}, []string{StateKey}},
	} {
		for _, changed := range append([]string{""}, x.conditionKeys...) {
			simulatedStore, c := newStore()
			view, revisions := storeCluster(t, c, x.state)
			step, next := Decide(x.state, view)
			if step != x.step {
				t.Fatalf("%+v: Decide returns step %q, want %q", x.state, step, x.step)
			}
			switch changed {
			case "":
			case "leader":
				put(t, c, x.state.LeaseKeys().Leader(), "taken")
			default:
				put(t, c, changed, "changed")
			}
			valuesBefore := simulatedStore.Values("e/")
			_, err := c.Txn(t.Context(), NewStepTxn(x.state, step, next, view, revisions))
			if changed == "" {
				if err != nil {
					t.Errorf("transaction of step %s: %v, want no error", x.step, err)
				}
				continue
			}
			if !errors.Is(err, store.ErrConflict) || len(valuesBefore) != len(simulatedStore.Values("e/")) {
				t.Errorf("transaction of step %s after a change of %s: %v, want a conflict and no change", x.step, changed, err)
			}
		}
	}
}

// After an upgrade, no controller can hold the leased keys of the previous level until a revert is
// complete. Then the keys are vacant.
func TestLeaseKeysAreClosedAndReopened(t *testing.T) {
	simulatedStore, c := newStore()
	s := State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}
	view, revisions := storeCluster(t, c, s)
	step, next := Decide(s, view)
	if _, err := c.Txn(t.Context(), NewStepTxn(s, step, next, view, revisions)); err != nil {
		t.Fatal(err)
	}
	for _, key := range InitialState.LeaseKeys().list(2) {
		if raw := simulatedStore.Values(key)[key]; !bytes.Contains(raw, []byte("(closed")) {
			t.Errorf("key %s holds %s, want a closed key", key, raw)
		}
	}
	closed := State{Level: 2, Phase: PhaseClosed, Epoch: 1}
	revisions.State = put(t, c, StateKey, closed)
	step, next = Decide(closed, view)
	if _, err := c.Txn(t.Context(), NewStepTxn(closed, step, next, view, revisions)); err != nil {
		t.Fatal(err)
	}
	for _, key := range InitialState.LeaseKeys().list(2) {
		if raw, exists := simulatedStore.Values(key)[key]; exists {
			t.Errorf("key %s holds %s, want a vacant key", key, raw)
		}
	}
}

// A controller that is not the leader, or whose replica is not up to date, must not decide on a
// step. In PhaseClosed there is no leader, and the replica alone matters.
func TestOnlyUpToDateLeaderDecides(t *testing.T) {
	_, c := newStore()
	for _, s := range []State{InitialState, {Level: 1, Phase: PhaseActive, Request: RequestFinalize}, {Level: 2, Phase: PhaseReverting, Epoch: 1}, {Level: 2, Phase: PhaseClosed, Epoch: 1}} {
		view, _ := storeCluster(t, c, s)
		view.IsUpToDate = false
		if step, next := Decide(s, view); step != NoStep || next != s {
			t.Errorf("%+v: step %s with a replica that is not up to date, want none", s, step)
		}
		view.IsUpToDate, view.IsLeader = true, false
		if step, _ := Decide(s, view); step != NoStep && s.Phase != PhaseClosed {
			t.Errorf("%+v: step %s by a controller that is not the leader, want none", s, step)
		}
	}
}

// Each reason that prevents a step from being taken is reported as a blocker.
func TestBlockersAreReported(t *testing.T) {
	_, c := newStore()
	active := State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}
	reverting := State{Level: 2, Phase: PhaseReverting, Epoch: 1}
	for _, x := range []struct {
		state  State
		change func(*ClusterView)
		kind   BlockerKind
		detail string
	}{
		{active, func(v *ClusterView) { delete(v.Registrations, "n1") }, BlockerMissingController, "n1"},
		{active, func(v *ClusterView) { v.Members = append(v.Members, "n2") }, BlockerMissingController, "n2"},
		{active, func(v *ClusterView) { v.Members = v.Members[:1] }, BlockerUnlistedController, "n1"},
		{active, func(v *ClusterView) { v.MaxTransactionChanges = 3 }, BlockerTxnLimit, "3 are allowed"},
		{State{Level: 2, Phase: PhaseActive, Epoch: 1}, func(*ClusterView) {}, BlockerUnsupportedLevel, "n0 does not read level 3"},
		{State{Level: 1, Phase: PhaseStable, OnHold: true}, func(*ClusterView) {}, BlockerOperatorHold, "operator"},
		{reverting, func(v *ClusterView) { v.NewerRecords = 7 }, BlockerNewerRecords, "7 records"},
		{reverting, func(v *ClusterView) { v.UnreadableRecords = 2 }, BlockerUnreadableRecords, "2 records"},
		{reverting, func(v *ClusterView) {
			v.Registrations["n0"] = StoredRegistration{Registration: Registration{Node: "n0", LevelRange: LevelRange{2, 3}}}
		}, BlockerUnsupportedLevel, "n0"},
	} {
		view, _ := storeCluster(t, c, x.state)
		x.change(&view)
		blockers := Blockers(x.state, view)
		if len(blockers) == 0 || blockers[0].Kind != x.kind || !strings.Contains(blockers[0].String(), x.detail) {
			t.Errorf("%+v: blockers %v, want the first to be of kind %s", x.state, blockers, x.kind)
		}
		if step, _ := Decide(x.state, view); step == StepActivate || step == StepFinalize || step == StepClose {
			t.Errorf("%+v: step %s despite the blockers %v", x.state, step, blockers)
		}
	}
}

// racingStore is a key-value store in which another operator changes the state between a command's
// read and its write.
type racingStore struct {
	*store.Client
	beforeTxn func()
}

// Txn applies the other operator's change first.
func (r *racingStore) Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error) {
	r.beforeTxn()
	return r.Client.Txn(ctx, t)
}

// If two operators submit requests at the same time, one of them gets ErrStateChanged.
func TestConcurrentOperatorRequests(t *testing.T) {
	_, c := newStore()
	storeCluster(t, c, State{Level: 1, Phase: PhaseActive})
	otherState := State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}
	op := &OperatorClient{Members: []string{"n0", "n1"}, PartitionCount: 2, MaxTransactionChanges: 10}
	op.Store = &racingStore{Client: c, beforeTxn: func() { put(t, c, StateKey, otherState) }}
	if _, err := op.Submit(t.Context(), RequestAbort); !errors.Is(err, ErrStateChanged) {
		t.Errorf("Submit after a concurrent change: %v, want ErrStateChanged", err)
	}
	if current, _, err := op.readState(t.Context()); err != nil || current != otherState {
		t.Errorf("stored state %+v (%v), want the other operator's request to remain", current, err)
	}
	op.Store = c
	if _, err := op.Submit(t.Context(), RequestAbort); err != nil {
		t.Errorf("second Submit: %v, want no error", err)
	}
}

func TestInvalidStatesAreRejected(t *testing.T) {
	for _, raw := range []string{``, `17`, `{}`, `{"level":0,"phase":"stable"}`, `{"level":1,"phase":"closed"}`, `{"level":1,"phase":"reverting"}`, `{"level":2,"phase":"stable"}`, `{"level":1,"phase":"gone"}`, `{"level":"2"}`} {
		if s, err := DecodeState([]byte(raw)); err == nil {
			t.Errorf("DecodeState(%s) = %+v, want an error", raw, s)
		}
	}
}

// An active level is deactivated once a controller that does not read it registers. A controller
// that is merely missing has no such effect.
func TestControllerWithoutLevelDeactivatesIt(t *testing.T) {
	_, c := newStore()
	s := State{Level: 1, Phase: PhaseActive}
	view, _ := storeCluster(t, c, s)
	delete(view.Registrations, "n0")
	if step, _ := Decide(s, view); step != NoStep {
		t.Errorf("step %s while a controller is missing, want none", step)
	}
	view.Registrations["n1"] = StoredRegistration{Registration: Registration{Node: "n1", LevelRange: LevelRange{BaseLevel, BaseLevel}}}
	if step, next := Decide(s, view); step != StepDeactivate || next.Phase != PhaseStable || next.Level != BaseLevel || next.OnHold {
		t.Errorf("step %s to state %+v, want StepDeactivate to the base level", step, next)
	}
}
