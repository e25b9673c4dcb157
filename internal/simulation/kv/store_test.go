package kv

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eiderhitch/internal/wire"
)

// newRequest returns a request with a JSON body.
func newRequest(t *testing.T, method, path string, body any) *http.Request {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader(raw))
}

// call sends a request to the store and decodes the response into answer unless it is nil.
func call(t *testing.T, s *Store, r *http.Request, response any) (status int) {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, r)
	if response != nil {
		if err := json.Unmarshal(recorder.Body.Bytes(), response); err != nil {
			t.Fatalf("%s %s: invalid response body: %v", r.Method, r.URL, err)
		}
	}
	return recorder.Code
}

// transact sends a transaction to the store.
func transact(t *testing.T, s *Store, conditions []wire.Condition, changes ...wire.Change) (status int, response wire.TxnResponse) {
	t.Helper()
	status = call(t, s, newRequest(t, http.MethodPost, txnPath, wire.Txn{Conditions: conditions, Changes: changes}), &response)
	return status, response
}

// putChange returns a change that stores a value of size bytes.
func putChange(key string, size int) wire.Change {
	return wire.Change{Put: key, Value: json.RawMessage(`"` + strings.Repeat("x", size-2) + `"`)}
}

// grantLease requests a lease and returns its ID.
func grantLease(t *testing.T, s *Store, ttl time.Duration) uint64 {
	t.Helper()
	var response wire.LeaseResponse
	if status := call(t, s, newRequest(t, http.MethodPost, grantPath, wire.LeaseRequest{TTLMS: ttl.Milliseconds()}), &response); status != http.StatusOK {
		t.Fatalf("request for a lease: status %d, want 200", status)
	}
	return response.Lease
}

// A transaction makes all its changes if all conditions hold. Otherwise it makes none, and the
// response names the keys whose conditions failed.
func TestTxnConditions(t *testing.T) {
	s := NewStore()
	if status, response := transact(t, s, []wire.Condition{{Key: "a"}}, putChange("a", 3), putChange("b", 3)); status != http.StatusOK || response.Revision != 1 {
		t.Fatalf("first transaction: status %d, revision %d; want 200 and 1", status, response.Revision)
	}
	status, response := transact(t, s, []wire.Condition{{Key: "a"}, {Key: "b", Revision: 1}}, putChange("c", 3))
	if status != http.StatusConflict || !slices.Equal(response.FailedKeys, []string{"a"}) {
		t.Errorf("second transaction: status %d, failed keys %v; want 409 and a", status, response.FailedKeys)
	}
	if keys := s.Keys(""); !slices.Equal(keys, []string{"a", "b"}) {
		t.Errorf("stored keys %v, want a and b", keys)
	}
}

// Transactions that exceed a size limit are rejected with status 400 and counted.
func TestTxnLimits(t *testing.T) {
	s := NewStore()
	s.SetTxnLimits(10, 2)
	for _, x := range []struct {
		name    string
		changes []wire.Change
		status  int
	}{
		{"largest value", []wire.Change{putChange("a", 10)}, http.StatusOK},
		{"too large a value", []wire.Change{putChange("a", 11)}, http.StatusBadRequest},
		{"most changes", []wire.Change{putChange("a", 3), putChange("b", 3)}, http.StatusOK},
		{"too many changes", []wire.Change{putChange("a", 3), putChange("b", 3), putChange("c", 3)}, http.StatusBadRequest},
	} {
		if status, _ := transact(t, s, nil, x.changes...); status != x.status {
			t.Errorf("%s: status %d, want %d", x.name, status, x.status)
		}
	}
	if got := s.Stats(); got.RejectedTxns != 2 || got.MaxChangesPerTxn != 2 {
		t.Errorf("statistics %+v, want 2 rejected transactions and at most 2 changes per transaction", got)
	}
}

// The rate limit admits bursts of one second's changes, also after a long idle period.
func TestChangeRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.SetChangeRateLimit(2)
		statuses := func() (out []int) {
			for range 3 {
				status, _ := transact(t, s, nil, putChange("a", 3))
				out = append(out, status)
			}
			return out
		}
		want := []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests}
		for range 2 {
			if got := statuses(); !slices.Equal(got, want) {
				t.Errorf("statuses of a burst %v, want %v", got, want)
			}
			time.Sleep(time.Minute) // an idle period of more than a second doesn't allow a larger burst
		}
	})
}

// A lease that isn't renewed expires after its TTL, and its keys are deleted then, not earlier.
// The end of an outage renews all leases.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		const ttl = 10 * time.Second
		lease := grantLease(t, s, ttl)
		change := putChange("a", 3)
		change.Lease = lease
		transact(t, s, nil, change)
		keyExists := func() bool {
			return call(t, s, newRequest(t, http.MethodGet, itemsPath+"a", nil), nil) == http.StatusOK
		}
		time.Sleep(ttl)
		if !keyExists() {
			t.Error("the key was deleted before its lease expired")
		}
		s.SetUnavailable(true)
		time.Sleep(5 * ttl)
		s.SetUnavailable(false)
		time.Sleep(ttl)
		if !keyExists() {
			t.Error("the key was deleted although its lease was renewed at the end of the outage")
		}
		time.Sleep(time.Second)
		if keyExists() {
			t.Error("the key still exists after its lease expired")
		}
		if status, _ := transact(t, s, nil, change); status != http.StatusBadRequest {
			t.Errorf("transaction with an expired lease: status %d, want 400", status)
		}
	})
}

// A waiting watch request gets the next change of a key with its prefix, also when a lease
// expires, and no changes of other keys.
func TestWatchReportsLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		change := putChange("w/a", 3)
		change.Lease = grantLease(t, s, 4*time.Second)
		transact(t, s, nil, change, putChange("x/b", 3))
		startedAt := time.Now()
		var response wire.WatchResponse
		call(t, s, newRequest(t, http.MethodGet, watchPath+"?starts=w/&since=1&waitMs=30000", nil), &response)
		if len(response.Events) != 1 || response.Events[0].Delete != "w/a" {
			t.Errorf("watch returned %+v, want the deletion of w/a", response.Events)
		}
		if elapsed := time.Since(startedAt).Truncate(time.Second); elapsed != 4*time.Second {
			t.Errorf("watch returned after %v, want 4s, the TTL of the lease", elapsed)
		}
	})
}
