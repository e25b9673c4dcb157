package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"
)

// What happens: `upgrade finalize` ends with status 1 on a busy machine, though the cluster
// carries the request out; a script can't tell whether it was stored.
// Why: one read that the key-value store answers with 429 or 503, or not within 1.5 s, ended the
// command, before the request was stored as well as after; so did a request that was refused.
// Shown by: the standard error that TestUpgradeOfRealProcesses now prints, and the rows below,
// which have one fault befall each of the command's calls in turn.

// storeFault is what befalls a call of the key-value store.
type storeFault string

const (
	faultThrottled    storeFault = "throttled"   // 429
	faultUnavailable  storeFault = "refused"     // 503
	faultNoResponse   storeFault = "silent"      // neither executed nor answered
	faultLostResponse storeFault = "lost answer" // executed and not answered
)

var storeFaults = []storeFault{faultThrottled, faultUnavailable, faultNoResponse, faultLostResponse}

// faultyStore has a fault befall some of the calls of a key-value store.
type faultyStore struct {
	inner http.Handler
	fault storeFault
	// first and last are the calls that the fault befalls, counted from 1.
	firstCall, lastCall int

	mu        sync.Mutex
	enabled   bool // before that nothing befalls calls, nor are they counted
	callCount int
	// stored counts the transactions that were carried out.
	storedCount int
	// onStored is called after each.
	onStored func()
}

// ServeHTTP serves a call, unless the fault befalls it.
func (f *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if f.enabled {
		f.callCount++
	}
	hit := f.callCount >= f.firstCall && f.callCount <= f.lastCall
	f.mu.Unlock()
	switch {
	case !hit:
		f.execute(w, r)
	case f.fault == faultThrottled:
		w.WriteHeader(http.StatusTooManyRequests)
	case f.fault == faultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.fault == faultLostResponse:
		f.execute(httptest.NewRecorder(), r)
		<-r.Context().Done()
	default:
		_, _ = io.Copy(io.Discard, r.Body) // only then is the end of the connection noticed
		<-r.Context().Done()
	}
}

// execute carries a call out.
func (f *faultyStore) execute(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	f.inner.ServeHTTP(recorder, r)
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/txn" && recorder.Code == http.StatusOK {
		f.mu.Lock()
		f.storedCount++
		f.mu.Unlock()
		if f.onStored != nil {
			f.onStored()
		}
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// putState has somebody else store a state, whatever befalls other calls.
func (f *faultyStore) putState(t *testing.T, state rollout.State) {
	t.Helper()
	body, err := json.Marshal(wire.Txn{Conditions: []wire.Condition{}, Changes: []wire.Change{{Put: rollout.StateKey, Value: state.Encode()}}})
	if err != nil {
		t.Error(err)
	}
	recorder := httptest.NewRecorder()
	f.inner.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(body)))
	if recorder.Code != http.StatusOK {
		t.Errorf("the state is not stored: status %d", recorder.Code)
	}
}

// The calls of a request, in their order.
const (
	callReadState       = 1 // reads the state
	callReadControllers = 2
	callStoreRequest    = 3 // stores the request
	callReadStatus      = 4 // reads the state, the controllers and the records
	callsOfRequest      = 6
	callsOfStatus       = 3
)

// requestCase is a request, in which state it is made and what the leader makes of it.
type requestCase struct {
	request            rollout.Request
	initial, completed rollout.State
}

var requestCases = []requestCase{
	{rollout.RequestFinalize, rollout.State{Level: 1, Phase: rollout.PhaseActive, PhaseStartedAt: 1}, rollout.State{Level: 2, Phase: rollout.PhaseStable, Epoch: 1, PhaseStartedAt: 2}},
	{rollout.RequestAbort, rollout.State{Level: 2, Phase: rollout.PhaseStable, Epoch: 1, OnHold: true, PhaseStartedAt: 1}, rollout.State{Level: 2, Phase: rollout.PhaseReverting, Epoch: 1, OnHold: true, PhaseStartedAt: 2}},
	{rollout.RequestAbort, rollout.State{Level: 1, Phase: rollout.PhaseActive, PhaseStartedAt: 1}, rollout.State{Level: 1, Phase: rollout.PhaseStable, OnHold: true, PhaseStartedAt: 2}},
	{rollout.RequestFinalize, rollout.State{Level: 1, Phase: rollout.PhaseStable, OnHold: true, PhaseStartedAt: 1}, rollout.State{Level: 1, Phase: rollout.PhaseStable, PhaseStartedAt: 2}},
}

// newFaultyStore is a store in a state, with a leader that carries requests out if leads.
func newFaultyStore(t *testing.T, x requestCase, f *faultyStore, leads bool) *simulatedStore {
	t.Helper()
	s := newSimulatedStoreWithHandler(t, func(inner http.Handler) http.Handler {
		f.inner = inner
		return f
	})
	s.register("n0", "n1")
	s.put(rollout.StateKey, x.initial.Encode())
	if leads {
		f.onStored = func() { f.putState(t, x.completed) }
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enabled, f.storedCount = true, 0
	return s
}

// One fault at any of the calls of a request: it is carried out, stored once.
func TestRequestSurvivesOneFault(t *testing.T) {
	t.Parallel()
	for i, x := range requestCases {
		for _, fault := range storeFaults {
			for call := 1; call <= callsOfRequest; call++ {
				t.Run(fmt.Sprint(i, " ", x.request, " ", fault, " at call ", call), func(t *testing.T) {
					t.Parallel()
					f := &faultyStore{fault: fault, firstCall: call, lastCall: call}
					s := newFaultyStore(t, x, f, true)
					flags := s.flags(false)
					var out bytes.Buffer
					if err := flags.sendRequest(&out, x.request, 15*time.Second); err != nil {
						t.Errorf("status %d: %v, want none", exitStatusOf(err), err)
					}
					want := fmt.Sprintf("%d (%s)", x.completed.Level, x.completed.Phase)
					if f.storedCount != 1 || !strings.Contains(out.String(), want) {
						t.Errorf("stored %d times, want once; printed, without %q:\n%s", f.storedCount, want, out.String())
					}
				})
			}
		}
	}
}

// One fault at any of the calls of a status: it is shown.
func TestStatusSurvivesOneFault(t *testing.T) {
	t.Parallel()
	for _, fault := range storeFaults {
		for call := 1; call <= callsOfStatus; call++ {
			t.Run(fmt.Sprint(fault, " at call ", call), func(t *testing.T) {
				t.Parallel()
				s := newFaultyStore(t, requestCases[0], &faultyStore{fault: fault, firstCall: call, lastCall: call}, true)
				flags := s.flags(false)
				flags.Wait = 15 * time.Second
				var out bytes.Buffer
				if err := flags.showStatus(&out); err != nil || !strings.Contains(out.String(), "1 (active)") {
					t.Errorf("%v\n%s", err, out.String())
				}
			})
		}
	}
}

// The store fails for good from one of the calls on: the command ends in time, and its status
// and its one line tell whether nothing was changed, the request is stored, or that is unknown.
func TestRequestDuringAnOutage(t *testing.T) {
	t.Parallel()
	const wait, forGood = 3 * time.Second, 1 << 20
	for _, x := range []struct {
		fault  storeFault
		call   int
		status int
		says   string
	}{
		{faultThrottled, callReadState, exitFailed, "nothing was changed"},
		{faultUnavailable, callReadControllers, exitFailed, "nothing was changed"},
		{faultNoResponse, callReadState, exitFailed, "nothing was changed"},
		{faultUnavailable, callStoreRequest, exitFailed, "nothing was changed"},
		{faultThrottled, callStoreRequest, exitFailed, "nothing was changed"},
		{faultNoResponse, callStoreRequest, exitOutcomeUnknown, "not known whether"},
		{faultLostResponse, callStoreRequest, exitOutcomeUnknown, "not known whether"},
		{faultThrottled, callReadStatus, exitNotCompleted, "is stored"},
		{faultUnavailable, callReadStatus, exitNotCompleted, "is stored"},
		{faultNoResponse, callReadStatus, exitNotCompleted, "is stored"},
	} {
		t.Run(fmt.Sprint(x.fault, " from call ", x.call), func(t *testing.T) {
			t.Parallel()
			f := &faultyStore{fault: x.fault, firstCall: x.call, lastCall: forGood}
			s := newFaultyStore(t, requestCases[0], f, false)
			flags := s.flags(false)
			begun := time.Now()
			err := flags.sendRequest(io.Discard, rollout.RequestFinalize, wait)
			if err == nil || exitStatusOf(err) != x.status || !strings.Contains(err.Error(), x.says) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want status %d and %q in one line", err, x.status, x.says)
			}
			if took := time.Since(begun); took > wait+commandTimeout {
				t.Errorf("it ends after %v", took)
			}
			if f.storedCount > 1 {
				t.Errorf("stored %d times", f.storedCount)
			}
		})
	}
}

// Somebody else's request comes while the answer to ours is lost: theirs stays, and ours says
// that it is not known what became of it.
func TestRequestDoesNotOverwriteANewerOne(t *testing.T) {
	t.Parallel()
	x := requestCases[0]
	f := &faultyStore{fault: faultLostResponse, firstCall: callStoreRequest, lastCall: callStoreRequest}
	s := newFaultyStore(t, x, f, false)
	theirs := x.initial
	theirs.Request = rollout.RequestAbort
	f.onStored = func() { f.putState(t, theirs) }
	flags := s.flags(false)
	err := flags.sendRequest(io.Discard, rollout.RequestFinalize, 5*time.Second)
	if _, unsettled := errors.AsType[*rollout.OutcomeUnknownError](err); !unsettled || exitStatusOf(err) != exitOutcomeUnknown {
		t.Errorf("status %d: %v, want %d", exitStatusOf(err), err, exitOutcomeUnknown)
	}
	if now := s.store.Values(rollout.StateKey)[rollout.StateKey]; !bytes.Equal(now, theirs.Encode()) || f.storedCount != 1 {
		t.Errorf("stored %d times, and the state is %s; want theirs", f.storedCount, now)
	}
}
