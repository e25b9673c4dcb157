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

// inProcess carries requests to a simulated store without a network.
type inProcess struct{ state *kv.Store }

// RoundTrip answers a request.
func (p inProcess) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	if r.Body == nil {
		r.Body = http.NoBody
	}
	p.state.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func newStore() (*kv.Store, *store.Client) {
	state := kv.NewStore()
	return state, store.NewClient("state:1", inProcess{state})
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
func settled(t *testing.T, c *store.Client, s State) (View, Revisions) {
	t.Helper()
	view := View{Now: time.UnixMilli(0), Members: []string{"n0", "n1"}, Controllers: map[string]Registered{}, Leading: true, Current: true, Partitions: 2, MaxTxnChanges: 10}
	for _, name := range view.Members {
		r := Controller{Node: name, Range: Supported}
		view.Controllers[name] = Registered{Controller: r, Revision: put(t, c, ControllerKey(name), r)}
	}
	for n := range 2 {
		put(t, c, s.Keys().Partition(n), "held")
	}
	leader := put(t, c, s.Keys().Leader(), "held")
	return view, Revisions{State: put(t, c, StateKey, s), Leader: leader}
}

// A step fails when anything that it rests on has changed before it is applied: a leader that
// was frozen meanwhile, or whose transaction is late, changes nothing.
func TestStepsFailWhenAnythingHasChanged(t *testing.T) {
	all := []string{StateKey, "leader", ControllerKey("n0"), ControllerKey("n1")}
	some := []string{StateKey, "leader"}
	for _, x := range []struct {
		step  Step
		state State
		rests []string // the keys that it rests on
	}{
		{Activate, Initial, all},
		{Finalize, State{Level: 1, Phase: Activated, Request: RequestFinalize}, all},
		{Hold, State{Level: 1, Phase: Activated, Request: RequestAbort}, some},
		{Resume, State{Level: 1, Phase: Stable, Held: true, Request: RequestFinalize}, some},
		{Revert, State{Level: 2, Phase: Stable, Epoch: 1, Request: RequestAbort}, some},
		{Close, State{Level: 2, Phase: Reverting, Epoch: 1, Held: true}, some},
		{Open, State{Level: 2, Phase: Closed, Epoch: 1, Held: true}, []string{StateKey}},
	} {
		for _, changed := range append([]string{""}, x.rests...) {
			state, c := newStore()
			view, at := settled(t, c, x.state)
			step, next := Decide(x.state, view)
			if step != x.step {
				t.Fatalf("%+v: step %q, not %q", x.state, step, x.step)
			}
			switch changed {
			case "":
			case "leader":
				put(t, c, x.state.Keys().Leader(), "taken")
			default:
				put(t, c, changed, "changed")
			}
			before := state.Values("e/")
			_, err := c.Txn(t.Context(), Txn(x.state, step, next, view, at))
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
func TestKeysOfRightsAreClosedAndOpened(t *testing.T) {
	state, c := newStore()
	s := State{Level: 1, Phase: Activated, Request: RequestFinalize}
	view, at := settled(t, c, s)
	step, next := Decide(s, view)
	if _, err := c.Txn(t.Context(), Txn(s, step, next, view, at)); err != nil {
		t.Fatal(err)
	}
	for _, key := range Initial.Keys().all(2) {
		if raw := state.Values(key)[key]; !bytes.Contains(raw, []byte("(closed")) {
			t.Errorf("%s: %s", key, raw)
		}
	}
	closed := State{Level: 2, Phase: Closed, Epoch: 1}
	at.State = put(t, c, StateKey, closed)
	step, next = Decide(closed, view)
	if _, err := c.Txn(t.Context(), Txn(closed, step, next, view, at)); err != nil {
		t.Fatal(err)
	}
	for _, key := range Initial.Keys().all(2) {
		if raw, there := state.Values(key)[key]; there {
			t.Errorf("%s: %s", key, raw)
		}
	}
}

// Who does not lead, or does not know all that was stored before, decides nothing.
func TestNobodyElseDecides(t *testing.T) {
	_, c := newStore()
	for _, s := range []State{Initial, {Level: 1, Phase: Activated, Request: RequestFinalize}, {Level: 2, Phase: Reverting, Epoch: 1}, {Level: 2, Phase: Closed, Epoch: 1}} {
		view, _ := settled(t, c, s)
		view.Current = false
		if step, next := Decide(s, view); step != NoStep || next != s {
			t.Errorf("%+v: %s with a replica that lags", s, step)
		}
		view.Current, view.Leading = true, false
		if step, _ := Decide(s, view); step != NoStep && s.Phase != Closed {
			t.Errorf("%+v: %s without the lead", s, step)
		}
	}
}

// Each reason that keeps a step from being taken is named.
func TestBlockersAreNamed(t *testing.T) {
	_, c := newStore()
	active := State{Level: 1, Phase: Activated, Request: RequestFinalize}
	reverting := State{Level: 2, Phase: Reverting, Epoch: 1}
	for _, x := range []struct {
		state  State
		change func(*View)
		kind   BlockKind
		says   string
	}{
		{active, func(v *View) { delete(v.Controllers, "n1") }, BlockMissing, "n1"},
		{active, func(v *View) { v.Members = append(v.Members, "n2") }, BlockMissing, "n2"},
		{active, func(v *View) { v.Members = v.Members[:1] }, BlockForeign, "n1"},
		{active, func(v *View) { v.MaxTxnChanges = 3 }, BlockLimit, "3 are allowed"},
		{State{Level: 2, Phase: Activated, Epoch: 1}, func(*View) {}, BlockOld, "n0 does not read level 3"},
		{State{Level: 1, Phase: Stable, Held: true}, func(*View) {}, BlockHeld, "operator"},
		{reverting, func(v *View) { v.RecordsAbove = 7 }, BlockRecords, "7 records"},
		{reverting, func(v *View) { v.UnreadableRecords = 2 }, BlockUnreadable, "2 records"},
		{reverting, func(v *View) {
			v.Controllers["n0"] = Registered{Controller: Controller{Node: "n0", Range: Range{2, 3}}}
		}, BlockOld, "n0"},
	} {
		view, _ := settled(t, c, x.state)
		x.change(&view)
		blockers := Blockers(x.state, view)
		if len(blockers) == 0 || blockers[0].Kind != x.kind || !strings.Contains(blockers[0].String(), x.says) {
			t.Errorf("%+v: %v, not %s", x.state, blockers, x.kind)
		}
		if step, _ := Decide(x.state, view); step == Activate || step == Finalize || step == Close {
			t.Errorf("%+v: %s in spite of %v", x.state, step, blockers)
		}
	}
}

// racing is a key-value store at which another operator's change comes between a command's
// reading and its writing.
type racing struct {
	*store.Client
	first func()
}

// Txn has the other change applied first.
func (r *racing) Txn(ctx context.Context, t *wire.Txn) (*wire.TxnResponse, error) {
	r.first()
	return r.Client.Txn(ctx, t)
}

// Of two operators who ask at once one is told that the state has changed.
func TestTwoOperatorsAtOnce(t *testing.T) {
	_, c := newStore()
	settled(t, c, State{Level: 1, Phase: Activated})
	other := State{Level: 1, Phase: Activated, Request: RequestFinalize}
	op := &Operator{Members: []string{"n0", "n1"}, Partitions: 2, MaxTxnChanges: 10}
	op.Store = &racing{Client: c, first: func() { put(t, c, StateKey, other) }}
	if _, err := op.Submit(t.Context(), RequestAbort); !errors.Is(err, ErrChanged) {
		t.Errorf("the second one is told %v", err)
	}
	if now, _, err := op.state(t.Context()); err != nil || now != other {
		t.Errorf("%+v after the first one's request: %v", now, err)
	}
	op.Store = c
	if _, err := op.Submit(t.Context(), RequestAbort); err != nil {
		t.Errorf("asked again: %v", err)
	}
}

func TestStatesThatMakeNoSense(t *testing.T) {
	for _, raw := range []string{``, `17`, `{}`, `{"level":0,"phase":"stable"}`, `{"level":1,"phase":"closed"}`, `{"level":1,"phase":"reverting"}`, `{"level":2,"phase":"stable"}`, `{"level":1,"phase":"gone"}`, `{"level":"2"}`} {
		if s, err := DecodeState([]byte(raw)); err == nil {
			t.Errorf("%s is read as %+v", raw, s)
		}
	}
}

// An active level ends as soon as a controller is registered that does not read it; one
// that is merely missing says nothing.
func TestControllerThatDoesNotReadALevelEndsIt(t *testing.T) {
	_, c := newStore()
	s := State{Level: 1, Phase: Activated}
	view, _ := settled(t, c, s)
	delete(view.Controllers, "n0")
	if step, _ := Decide(s, view); step != NoStep {
		t.Errorf("%s while one is missing", step)
	}
	view.Controllers["n1"] = Registered{Controller: Controller{Node: "n1", Range: Range{BaseLevel, BaseLevel}}}
	if step, next := Decide(s, view); step != Deactivate || next.Phase != Stable || next.Level != BaseLevel || next.Held {
		t.Errorf("%s to %+v", step, next)
	}
}
