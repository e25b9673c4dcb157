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

// newRequest is a request with a JSON body.
func newRequest(t *testing.T, method, path string, body any) *http.Request {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader(raw))
}

// call makes a request and decodes the answer, if it is wanted.
func call(t *testing.T, s *Store, r *http.Request, answer any) (status int) {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, r)
	if answer != nil {
		if err := json.Unmarshal(recorder.Body.Bytes(), answer); err != nil {
			t.Fatalf("%s %s: %v", r.Method, r.URL, err)
		}
	}
	return recorder.Code
}

// transact makes changes on conditions.
func transact(t *testing.T, s *Store, conditions []wire.Condition, changes ...wire.Change) (status int, answer wire.TxnResponse) {
	t.Helper()
	status = call(t, s, newRequest(t, http.MethodPost, txnPath, wire.Txn{Conditions: conditions, Changes: changes}), &answer)
	return status, answer
}

// putOf is a change that stores a value of a size.
func putOf(key string, size int) wire.Change {
	return wire.Change{Put: key, Value: json.RawMessage(`"` + strings.Repeat("x", size-2) + `"`)}
}

// grant is a lease of a number of seconds.
func grant(t *testing.T, s *Store, ttl time.Duration) uint64 {
	t.Helper()
	var answer wire.LeaseResponse
	if status := call(t, s, newRequest(t, http.MethodPost, grantPath, wire.LeaseRequest{TTLMS: ttl.Milliseconds()}), &answer); status != http.StatusOK {
		t.Fatalf("lease: status %d, want 200", status)
	}
	return answer.Lease
}

// A transaction is carried out whole if each key has the revision that it expects, and
// names the keys that have not.
func TestConditions(t *testing.T) {
	s := NewStore()
	if status, answer := transact(t, s, []wire.Condition{{Key: "a"}}, putOf("a", 3), putOf("b", 3)); status != http.StatusOK || answer.Revision != 1 {
		t.Fatalf("status %d, revision %d; want 200 and 1", status, answer.Revision)
	}
	status, answer := transact(t, s, []wire.Condition{{Key: "a"}, {Key: "b", Revision: 1}}, putOf("c", 3))
	if status != http.StatusConflict || !slices.Equal(answer.FailedKeys, []string{"a"}) {
		t.Errorf("status %d, failed %v; want 409 and a", status, answer.FailedKeys)
	}
	if keys := s.Keys(""); !slices.Equal(keys, []string{"a", "b"}) {
		t.Errorf("keys %v, want a and b", keys)
	}
}

// Transactions beyond the limits are refused for good and counted; those within are not.
func TestLimits(t *testing.T) {
	s := NewStore()
	s.SetTxnLimits(10, 2)
	for _, x := range []struct {
		name    string
		changes []wire.Change
		status  int
	}{
		{"largest value", []wire.Change{putOf("a", 10)}, http.StatusOK},
		{"too large a value", []wire.Change{putOf("a", 11)}, http.StatusBadRequest},
		{"most changes", []wire.Change{putOf("a", 3), putOf("b", 3)}, http.StatusOK},
		{"too many changes", []wire.Change{putOf("a", 3), putOf("b", 3), putOf("c", 3)}, http.StatusBadRequest},
	} {
		if status, _ := transact(t, s, nil, x.changes...); status != x.status {
			t.Errorf("%s: status %d, want %d", x.name, status, x.status)
		}
	}
	if got := s.Stats(); got.RejectedTxns != 2 || got.MaxChangesPerTxn != 2 {
		t.Errorf("%+v, want 2 over the limits and 2 changes at most", got)
	}
}

// The rate of changes is limited, with bursts of one second's worth.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.SetChangeRateLimit(2)
		statuses := func() (out []int) {
			for range 3 {
				status, _ := transact(t, s, nil, putOf("a", 3))
				out = append(out, status)
			}
			return out
		}
		want := []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests}
		for range 2 {
			if got := statuses(); !slices.Equal(got, want) {
				t.Errorf("statuses %v, want %v", got, want)
			}
			time.Sleep(time.Minute) // a longer pause allows no larger burst
		}
	})
}

// A lease that isn't renewed ends with its keys, and no sooner; an outage gives every lease
// its full time again.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		const ttl = 10 * time.Second
		lease := grant(t, s, ttl)
		change := putOf("a", 3)
		change.Lease = lease
		transact(t, s, nil, change)
		there := func() bool {
			return call(t, s, newRequest(t, http.MethodGet, itemsPath+"a", nil), nil) == http.StatusOK
		}
		time.Sleep(ttl)
		if !there() {
			t.Error("the key is gone before its lease has expired")
		}
		s.SetUnavailable(true)
		time.Sleep(5 * ttl)
		s.SetUnavailable(false)
		time.Sleep(ttl)
		if !there() {
			t.Error("the key is gone though its lease has its full time after an outage")
		}
		time.Sleep(time.Second)
		if there() {
			t.Error("the key outlives its lease")
		}
		if status, _ := transact(t, s, nil, change); status != http.StatusBadRequest {
			t.Errorf("a key of an expired lease is stored: status %d, want 400", status)
		}
	})
}

// A watch answers with the next change below its prefix, also with the end of a lease.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		change := putOf("w/a", 3)
		change.Lease = grant(t, s, 4*time.Second)
		transact(t, s, nil, change, putOf("x/b", 3))
		begun := time.Now()
		var answer wire.WatchResponse
		call(t, s, newRequest(t, http.MethodGet, watchPath+"?starts=w/&since=1&waitMs=30000", nil), &answer)
		if len(answer.Events) != 1 || answer.Events[0].Delete != "w/a" {
			t.Errorf("changes %+v, want the deletion of w/a", answer.Events)
		}
		if after := time.Since(begun).Truncate(time.Second); after != 4*time.Second {
			t.Errorf("answered after %v, want the lease's 4 s", after)
		}
	})
}
