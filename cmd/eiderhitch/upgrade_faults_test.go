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

// The tests of this file guard against an upgrade command that fails because of a transient
// fault of the key-value store. On a busy machine, `upgrade finalize` ended with status 1 although
// the cluster carried the request out, and a script could not tell whether the request was stored.
// One read that the store answered with 429 or 503, or not within 1.5 s, ended the command, both
// before and after the request was stored; so did a rejected write of the request. The tests
// inject one fault into each call of the command in turn. TestUpgradeOfRealProcesses prints the
// standard error of the commands.

// storeFault is a fault of a call to the key-value store.
type storeFault string

const (
	faultThrottled    storeFault = "throttled"   // 429
	faultUnavailable  storeFault = "refused"     // 503
	faultNoResponse   storeFault = "silent"      // the call is neither executed nor answered
	faultLostResponse storeFault = "lost answer" // the call is executed but not answered
)

var storeFaults = []storeFault{faultThrottled, faultUnavailable, faultNoResponse, faultLostResponse}

// faultyStore is an HTTP handler that injects a fault into some calls to a key-value store.
type faultyStore struct {
	inner http.Handler
	fault storeFault
	// firstCall and lastCall are the numbers of the first and last call with the fault. Calls
	// are numbered from 1.
	firstCall, lastCall int

	mu        sync.Mutex
	enabled   bool // while false, calls are not counted and have no fault
	callCount int
	// storedCount is the number of executed transactions, each of which stores a request.
	storedCount int
	// onStored, if not nil, is called after each executed transaction.
	onStored func()
}

// ServeHTTP executes and answers a call, or injects the fault.
func (f *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if f.enabled {
		f.callCount++
	}
	isFaulty := f.callCount >= f.firstCall && f.callCount <= f.lastCall
	f.mu.Unlock()
	switch {
	case !isFaulty:
		f.execute(w, r)
	case f.fault == faultThrottled:
		w.WriteHeader(http.StatusTooManyRequests)
	case f.fault == faultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.fault == faultLostResponse:
		f.execute(httptest.NewRecorder(), r)
		<-r.Context().Done()
	default:
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body is read
		<-r.Context().Done()
	}
}

// execute executes a call and writes the response.
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

// putState stores a state as another client would, without the fault.
func (f *faultyStore) putState(t *testing.T, state rollout.State) {
	t.Helper()
	body, err := json.Marshal(wire.Txn{Conditions: []wire.Condition{}, Changes: []wire.Change{{Put: rollout.StateKey, Value: state.Encode()}}})
	if err != nil {
		t.Error(err)
	}
	recorder := httptest.NewRecorder()
	f.inner.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(body)))
	if recorder.Code != http.StatusOK {
		t.Errorf("storing the state returns status %d, want 200", recorder.Code)
	}
}

// The numbers of the calls that a request makes, and how many calls there are.
const (
	callReadState       = 1
	callReadControllers = 2
	callStoreRequest    = 3
	callReadStatus      = 4 // the first of three calls, which read the state, the controllers and the records
	callsPerRequest     = 6
	callsPerStatus      = 3
)

// requestCase is a request, the state in which it is made and the state after the leader has
// carried it out.
type requestCase struct {
	request                      rollout.Request
	initialState, completedState rollout.State
}

var requestCases = []requestCase{
	{rollout.RequestFinalize, rollout.State{Level: 1, Phase: rollout.PhaseActive, PhaseStartedAtMS: 1}, rollout.State{Level: 2, Phase: rollout.PhaseStable, Epoch: 1, PhaseStartedAtMS: 2}},
	{rollout.RequestAbort, rollout.State{Level: 2, Phase: rollout.PhaseStable, Epoch: 1, OnHold: true, PhaseStartedAtMS: 1}, rollout.State{Level: 2, Phase: rollout.PhaseReverting, Epoch: 1, OnHold: true, PhaseStartedAtMS: 2}},
	{rollout.RequestAbort, rollout.State{Level: 1, Phase: rollout.PhaseActive, PhaseStartedAtMS: 1}, rollout.State{Level: 1, Phase: rollout.PhaseStable, OnHold: true, PhaseStartedAtMS: 2}},
	{rollout.RequestFinalize, rollout.State{Level: 1, Phase: rollout.PhaseStable, OnHold: true, PhaseStartedAtMS: 1}, rollout.State{Level: 1, Phase: rollout.PhaseStable, PhaseStartedAtMS: 2}},
}

// newFaultyStore returns a store behind f in the initial state of x. If hasLeader, requests are
// carried out as soon as they are stored.
func newFaultyStore(t *testing.T, x requestCase, f *faultyStore, hasLeader bool) *simulatedStore {
	t.Helper()
	s := newSimulatedStoreWithHandler(t, func(inner http.Handler) http.Handler {
		f.inner = inner
		return f
	})
	s.register("n0", "n1")
	s.put(rollout.StateKey, x.initialState.Encode())
	if hasLeader {
		f.onStored = func() { f.putState(t, x.completedState) }
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enabled, f.storedCount = true, 0
	return s
}

// A request must be stored exactly once and carried out when any single call of it fails.
func TestRequestSurvivesOneFault(t *testing.T) {
	t.Parallel()
	for i, x := range requestCases {
		for _, fault := range storeFaults {
			for call := 1; call <= callsPerRequest; call++ {
				t.Run(fmt.Sprint(i, " ", x.request, " ", fault, " at call ", call), func(t *testing.T) {
					t.Parallel()
					f := &faultyStore{fault: fault, firstCall: call, lastCall: call}
					s := newFaultyStore(t, x, f, true)
					flags := s.flags(false)
					var out bytes.Buffer
					if err := flags.sendRequest(&out, x.request, 15*time.Second); err != nil {
						t.Errorf("exit status %d with error %v, want none", exitStatusOf(err), err)
					}
					want := fmt.Sprintf("%d (%s)", x.completedState.Level, x.completedState.Phase)
					if f.storedCount != 1 || !strings.Contains(out.String(), want) {
						t.Errorf("request stored %d times, want once, and %q in the output:\n%s", f.storedCount, want, out.String())
					}
				})
			}
		}
	}
}

// The status must be shown when any single call of the command fails.
func TestStatusSurvivesOneFault(t *testing.T) {
	t.Parallel()
	for _, fault := range storeFaults {
		for call := 1; call <= callsPerStatus; call++ {
			t.Run(fmt.Sprint(fault, " at call ", call), func(t *testing.T) {
				t.Parallel()
				s := newFaultyStore(t, requestCases[0], &faultyStore{fault: fault, firstCall: call, lastCall: call}, true)
				flags := s.flags(false)
				flags.Wait = 15 * time.Second
				var out bytes.Buffer
				if err := flags.showStatus(&out); err != nil || !strings.Contains(out.String(), "1 (active)") {
					t.Errorf("error %v, want none and the active level in the output:\n%s", err, out.String())
				}
			})
		}
	}
}

// If the store fails permanently from one of the calls on, the command must end in time. Its
// exit status and one-line error must say whether nothing was changed, the request is stored or
// that is unknown.
func TestRequestDuringAnOutage(t *testing.T) {
	t.Parallel()
	const wait, noLastCall = 3 * time.Second, 1 << 20
	for _, x := range []struct {
		fault    storeFault
		call     int
		status   int
		wantText string
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
			f := &faultyStore{fault: x.fault, firstCall: x.call, lastCall: noLastCall}
			s := newFaultyStore(t, requestCases[0], f, false)
			flags := s.flags(false)
			start := time.Now()
			err := flags.sendRequest(io.Discard, rollout.RequestFinalize, wait)
			if err == nil || exitStatusOf(err) != x.status || !strings.Contains(err.Error(), x.wantText) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want exit status %d and %q in one line", err, x.status, x.wantText)
			}
			if took := time.Since(start); took > wait+commandTimeout {
				t.Errorf("the command took %v, too long", took)
			}
			if f.storedCount > 1 {
				t.Errorf("request stored %d times, want at most once", f.storedCount)
			}
		})
	}
}

// If another request is stored while the response to this one is lost, the command must not
// overwrite the newer request and must report that its own outcome is unknown.
func TestRequestDoesNotOverwriteANewerOne(t *testing.T) {
	t.Parallel()
	x := requestCases[0]
	f := &faultyStore{fault: faultLostResponse, firstCall: callStoreRequest, lastCall: callStoreRequest}
	s := newFaultyStore(t, x, f, false)
	newerState := x.initialState
	newerState.Request = rollout.RequestAbort
	f.onStored = func() { f.putState(t, newerState) }
	flags := s.flags(false)
	err := flags.sendRequest(io.Discard, rollout.RequestFinalize, 5*time.Second)
	if _, isUnknown := errors.AsType[*rollout.OutcomeUnknownError](err); !isUnknown || exitStatusOf(err) != exitOutcomeUnknown {
		t.Errorf("exit status %d with error %v, want status %d", exitStatusOf(err), err, exitOutcomeUnknown)
	}
	if storedState := s.store.Values(rollout.StateKey)[rollout.StateKey]; !bytes.Equal(storedState, newerState.Encode()) || f.storedCount != 1 {
		t.Errorf("request stored %d times, want once, and the state is %s, want the newer request's", f.storedCount, storedState)
	}
}
