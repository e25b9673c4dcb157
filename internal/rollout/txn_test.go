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

// inProcessTransport carries requests to a simulated store without a network.
type inProcessTransport struct{ store *kv.Store }

// RoundTrip answers a request.
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
	ans, err := c.Txn(t.Context(), &wire.Txn{Changes: []wire.Change{{Put: key, Value: raw}}})
	if err != nil {
		t.Fatal(err)
	}
	return ans.Revision
}

// settled returns the view and revisions of a cluster of two controllers in a state.
func storeCluster(t *testing.T, c *store.Client, s State) (ClusterView, Revisions) {
	t.Helper()
	view := ClusterView{Now: time.UnixMilli(0), Members: []string{"n0", "n1"}, Registrations: map[string]StoredRegistration{}, IsLeader: true, IsUpToDate: true, PartitionCount: 2, MaxTxnChanges: 10}
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

// A step fails when anything that it rests on has changed before it is applied: a leader that
// was frozen meanwhile, or whose transaction is late, changes nothing.
func TestStepsFailIfConditionsChanged(t *testing.T) {
	all := []string{StateKey, "leader", RegistrationKey("n0"), RegistrationKey("n1")}
	some := []string{StateKey, "leader"}
	for _, x := range []struct {
		step  Step
		state State
		rests []string // the keys that it rests on
	}{
		{StepActivate, InitialState, all},
		{StepFinalize, State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}, all},
		{StepHold, State{Level: 1, Phase: PhaseActive, Request: RequestAbort}, some},
		{StepResume, State{Level: 1, Phase: PhaseStable, OnHold: true, Request: RequestFinalize}, some},
		{StepRevert, State{Level: 2, Phase: PhaseStable, Epoch: 1, Request: RequestAbort}, some},
		{StepClose, State{Level: 2, Phase: PhaseReverting, Epoch: 1, OnHold: true}, some},
		{StepOpen, State{Level: 2, Phase: PhaseClosed, Epoch: 1, OnHold: true}, []string{StateKey}},
	} {
		for _, changed := range append([]string{""}, x.rests...) {
			state, c := newStore()
			view, at := storeCluster(t, c, x.state)
			step, next := Decide(x.state, view)
			if step != x.step {
				t.Fatalf("%+v: step %q, not %q", x.state, step, x.step)
			}
			switch changed {
			case "":
			case "leader":
				put(t, c, x.state.LeaseKeys().Leader(), "taken")
			default:
				put(t, c, changed, "changed")
			}
			before := state.Values("e/")
			_, err := c.Txn(t.Context(), NewStepTxn(x.state, step, next, view, at))
			if changed == "" {
				if err != nil {
					t.Errorf("%s: %v", x.step, err)
				}
				continue
			}
			if !errors.Is(err, store.ErrConflict) || len(before) != len(state.Values("e/")) {
				t.Errorf("%s after %s has changed: %v", x.step, changed, err)
			}
		}
	}
}

// After the switch each key of the level before is held by nobody who could be, until the
// way back is complete; then each is vacant.
func TestLeaseKeysAreClosedAndReopened(t *testing.T) {
	state, c := newStore()
	s := State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}
	view, at := storeCluster(t, c, s)
	step, next := Decide(s, view)
	if _, err := c.Txn(t.Context(), NewStepTxn(s, step, next, view, at)); err != nil {
		t.Fatal(err)
	}
	for _, key := range InitialState.LeaseKeys().list(2) {
		if raw := state.Values(key)[key]; !bytes.Contains(raw, []byte("(closed")) {
			t.Errorf("%s: %s", key, raw)
		}
	}
	closed := State{Level: 2, Phase: PhaseClosed, Epoch: 1}
	at.State = put(t, c, StateKey, closed)
	step, next = Decide(closed, view)
	if _, err := c.Txn(t.Context(), NewStepTxn(closed, step, next, view, at)); err != nil {
		t.Fatal(err)
	}
	for _, key := range InitialState.LeaseKeys().list(2) {
		if raw, there := state.Values(key)[key]; there {
			t.Errorf("%s: %s", key, raw)
		}
	}
}

// Who does not lead, or does not know all that was stored before, decides nothing.
func TestOnlyUpToDateLeaderDecides(t *testing.T) {
	_, c := newStore()
	for _, s := range []State{InitialState, {Level: 1, Phase: PhaseActive, Request: RequestFinalize}, {Level: 2, Phase: PhaseReverting, Epoch: 1}, {Level: 2, Phase: PhaseClosed, Epoch: 1}} {
		view, _ := storeCluster(t, c, s)
		view.IsUpToDate = false
		if step, next := Decide(s, view); step != NoStep || next != s {
			t.Errorf("%+v: %s with a replica that lags", s, step)
		}
		view.IsUpToDate, view.IsLeader = true, false
		if step, _ := Decide(s, view); step != NoStep && s.Phase != PhaseClosed {
			t.Errorf("%+v: %s without the lead", s, step)
		}
	}
}

// Each reason that keeps a step from being taken is named.
func TestBlockersAreReported(t *testing.T) {
	_, c := newStore()
	active := State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}
	reverting := State{Level: 2, Phase: PhaseReverting, Epoch: 1}
	for _, x := range []struct {
		state  State
		change func(*ClusterView)
		kind   BlockerKind
		says   string
	}{
		{active, func(v *ClusterView) { delete(v.Registrations, "n1") }, BlockerMissingController, "n1"},
		{active, func(v *ClusterView) { v.Members = append(v.Members, "n2") }, BlockerMissingController, "n2"},
		{active, func(v *ClusterView) { v.Members = v.Members[:1] }, BlockerUnlistedController, "n1"},
		{active, func(v *ClusterView) { v.MaxTxnChanges = 3 }, BlockerTxnLimit, "3 are allowed"},
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
		if len(blockers) == 0 || blockers[0].Kind != x.kind || !strings.Contains(blockers[0].String(), x.says) {
			t.Errorf("%+v: %v, not %s", x.state, blockers, x.kind)
		}
		if step, _ := Decide(x.state, view); step == StepActivate || step == StepFinalize || step == StepClose {
			t.Errorf("%+v: %s in spite of %v", x.state, step, blockers)
		}
	}
}

// racing is a key-value store at which another operator's change comes between a command's
// reading and its writing.
type racingStore struct {
	*store.Client
	beforeTxn func()
}

// Txn has the other change applied first.
func (r *racingStore) Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error) {
	r.beforeTxn()
	return r.Client.Txn(ctx, t)
}

// Of two operators who ask at once one is told that the state has changed.
func TestConcurrentOperatorRequests(t *testing.T) {
	_, c := newStore()
	storeCluster(t, c, State{Level: 1, Phase: PhaseActive})
	other := State{Level: 1, Phase: PhaseActive, Request: RequestFinalize}
	op := &OperatorClient{Members: []string{"n0", "n1"}, PartitionCount: 2, MaxTxnChanges: 10}
	op.Store = &racingStore{Client: c, beforeTxn: func() { put(t, c, StateKey, other) }}
	if _, err := op.Submit(t.Context(), RequestAbort); !errors.Is(err, ErrStateChanged) {
		t.Errorf("the second one is told %v", err)
	}
	if now, _, err := op.readState(t.Context()); err != nil || now != other {
		t.Errorf("%+v after the first one's request: %v", now, err)
	}
	op.Store = c
	if _, err := op.Submit(t.Context(), RequestAbort); err != nil {
		t.Errorf("asked again: %v", err)
	}
}

func TestInvalidStatesAreRejected(t *testing.T) {
	for _, raw := range []string{``, `17`, `{}`, `{"level":0,"phase":"stable"}`, `{"level":1,"phase":"closed"}`, `{"level":1,"phase":"reverting"}`, `{"level":2,"phase":"stable"}`, `{"level":1,"phase":"gone"}`, `{"level":"2"}`} {
		if s, err := DecodeState([]byte(raw)); err == nil {
			t.Errorf("%s is read as %+v", raw, s)
		}
	}
}

// An active level ends as soon as a controller is registered that does not read it; one
// that is merely missing says nothing.
func TestControllerWithoutLevelDeactivatesIt(t *testing.T) {
	_, c := newStore()
	s := State{Level: 1, Phase: PhaseActive}
	view, _ := storeCluster(t, c, s)
	delete(view.Registrations, "n0")
	if step, _ := Decide(s, view); step != NoStep {
		t.Errorf("%s while one is missing", step)
	}
	view.Registrations["n1"] = StoredRegistration{Registration: Registration{Node: "n1", LevelRange: LevelRange{BaseLevel, BaseLevel}}}
	if step, next := Decide(s, view); step != StepDeactivate || next.Phase != PhaseStable || next.Level != BaseLevel || next.OnHold {
		t.Errorf("%s to %+v", step, next)
	}
}
