package election

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	testTTL       = 2 * time.Second
	leaderKey     = "e/leader"
	partition0Key = "e/part/0"
)

// fakeStore is an in-memory key-value store whose leases expire.
type fakeStore struct {
	mu          sync.Mutex
	revision    uint64
	leaseExpiry map[uint64]time.Time // by lease
	keys        map[string]storedKey
	watchers    []*testController
	// dropResponses makes the store apply transactions without returning their responses.
	dropResponses bool
}

type storedKey struct {
	holder   record.LeaseHolder
	revision uint64
	lease    uint64
}

func newFakeStore() *fakeStore {
	return &fakeStore{leaseExpiry: map[uint64]time.Time{}, keys: map[string]storedKey{}}
}

func (s *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leaseExpiry[s.revision] = time.Now().Add(ttl)
	return s.revision, nil
}

func (s *fakeStore) RenewLease(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, lives := s.leaseExpiry[lease]; !lives {
		return store.ErrLeaseExpired
	}
	s.leaseExpiry[lease] = time.Now().Add(testTTL)
	return nil
}

func (s *fakeStore) RevokeLease(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leaseExpiry, lease)
	s.expire()
	return nil
}

func (s *fakeStore) Txn(_ context.Context, txn *wire.Txn) (*wire.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, condition := range txn.Conditions {
		if s.keys[condition.Key].revision != condition.Revision {
			return &wire.TxnResponse{}, store.ErrConflict
		}
	}
	s.revision++
	for _, change := range txn.Changes {
		if _, lives := s.leaseExpiry[change.Lease]; !lives {
			return nil, store.ErrLeaseExpired
		}
		var holder record.LeaseHolder
		if err := json.Unmarshal(change.Value, &holder); err != nil {
			return nil, err
		}
		s.keys[change.Put] = storedKey{holder, s.revision, change.Lease}
		s.notifyWatchers(change.Put)
	}
	if s.dropResponses {
		return nil, store.ErrOutcomeUnknown
	}
	return &wire.TxnResponse{Revision: s.revision}, nil
}

// expire deletes the expired leases and the keys under them.
func (s *fakeStore) expire() {
	for lease, until := range s.leaseExpiry {
		if time.Now().After(until) {
			delete(s.leaseExpiry, lease)
		}
	}
	for key, stored := range s.keys {
		if _, lives := s.leaseExpiry[stored.lease]; !lives {
			s.revision++
			delete(s.keys, key)
			s.notifyWatchers(key)
		}
	}
}

// notifyWatchers sends the current state of a key to all controllers.
func (s *fakeStore) notifyWatchers(key string) {
	stored := s.keys[key]
	for _, p := range s.watchers {
		go p.Enqueue(func() { p.observe(key, stored) })
	}
}

// testController runs an Elector and implements its replica, reader, writer, event loop and
// listener.
type testController struct {
	mu          sync.Mutex
	elector     *Elector
	store       *fakeStore
	revisions   map[string]uint64
	heldTokens  map[string]uint64
	loopStalled bool // its event loop runs nothing
}

func newTestController(ctx context.Context, s *fakeStore, node, id string) *testController {
	p := &testController{store: s, revisions: map[string]uint64{}, heldTokens: map[string]uint64{}}
	config := Config{Node: node, ProcessID: id, Nodes: []string{"n0", "n1"}, TTL: testTTL, StartedAt: time.Now(),
		HeartbeatInterval: time.Second, MaxUnreachableWorkDuration: 30 * time.Second, Log: slog.New(slog.DiscardHandler)}
	p.elector = New(ctx, config, Dependencies{Store: s, Replica: p, Reader: p, Writer: p, Loop: p, Listener: p}, []string{leaderKey, partition0Key})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, p)
	return p
}

func (p *testController) Now() time.Time { return time.Now() }

func (p *testController) Enqueue(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.loopStalled {
		p.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		p.mu.Lock()
	}
	f()
}

func (p *testController) Revision(key string) uint64 { return p.revisions[key] }

func (p *testController) Put(key string, value json.RawMessage, revision uint64) {
	var holder record.LeaseHolder
	if err := json.Unmarshal(value, &holder); err != nil {
		panic(err)
	}
	p.observe(key, storedKey{holder: holder, revision: revision})
}

func (p *testController) observe(key string, stored storedKey) {
	switch {
	case stored.revision == 0 && p.revisions[key] != 0:
		delete(p.revisions, key)
		p.elector.ObserveVacancy(key)
	case stored.revision > p.revisions[key]:
		p.revisions[key] = stored.revision
		p.elector.ObserveHolder(key, stored.holder, stored.revision)
	}
}

func (p *testController) AfterSuccessfulRead(f func()) {
	go func() {
		p.store.mu.Lock()
		stored := maps.Clone(p.store.keys)
		p.store.mu.Unlock()
		p.Enqueue(func() {
			for key, value := range stored {
				p.observe(key, value)
			}
			f()
		})
	}()
}

func (p *testController) SubmitWrite(write *store.Write, done func(error)) {
	go func() {
		response, err := p.store.Txn(context.Background(), &wire.Txn{Conditions: write.Conditions, Changes: write.Changes})
		p.Enqueue(func() {
			if err == nil {
				p.Put(write.Changes[0].Put, write.Changes[0].Value, response.Revision)
			}
			done(err)
		})
	}()
}

func (p *testController) KeyAcquired(key string, token uint64) { p.heldTokens[key] = token }
func (p *testController) KeyLost(key string)                   { delete(p.heldTokens, key) }
func (p *testController) TokenRaised(key string, token uint64) { p.heldTokens[key] = token }

// campaignFor campaigns for partition 0 and the leadership ten times a second for d.
func (p *testController) campaignFor(d time.Duration, peers Peers) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		p.store.mu.Lock()
		p.store.expire()
		p.store.mu.Unlock()
		p.Enqueue(func() {
			p.elector.Campaign([]Partition{{Index: 0, Key: partition0Key, IsOwned: p.elector.Token(partition0Key) != 0, OwnedSince: time.Now().Add(-time.Minute),
				HasHeartbeatsFromAllMachines: func() bool { return true }}}, leaderKey, peers)
		})
	}
	synctest.Wait()
}

// heldToken returns the token under which this controller holds a key, or 0 if it does not.
func (p *testController) heldToken(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldTokens[key]
}

// fakePeers gives the same answers about every peer.
type fakePeers struct{ areEligible, isIsolated, haveContact, allKnown bool }

func (f fakePeers) IsEligible(string) bool          { return f.areEligible }
func (fakePeers) ReachableSince(string) time.Time   { return time.Time{} }
func (f fakePeers) IsIsolated(time.Duration) bool   { return f.isIsolated }
func (f fakePeers) HaveWorkerContact() (bool, bool) { return f.haveContact, f.allKnown }

// runWithTwoControllers runs f on fake time with two controllers that campaign for the same keys.
func runWithTwoControllers(t *testing.T, f func(ctx context.Context, s *fakeStore, first, second *testController)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeStore()
		f(ctx, s, newTestController(ctx, s, "n0", "a"), newTestController(ctx, s, "n1", "b"))
		cancel()
		time.Sleep(time.Minute) // let the remaining goroutines end
	})
}

// A key has one holder, which keeps it while it renews the lease. The next holder gets a higher
// token.
func TestFailover(t *testing.T) {
	runWithTwoControllers(t, func(_ context.Context, _ *fakeStore, first, second *testController) {
		first.campaignFor(time.Second, fakePeers{})
		oldToken := first.heldToken(partition0Key)
		second.campaignFor(5*time.Second, fakePeers{})
		if oldToken == 0 || first.heldToken(partition0Key) != oldToken || second.heldToken(partition0Key) != 0 {
			t.Fatalf("tokens of partition 0: the first controller had %d, then %d; the second has %d; want the first to keep it", oldToken, first.heldToken(partition0Key), second.heldToken(partition0Key))
		}
		first.mu.Lock()
		first.loopStalled = true
		first.mu.Unlock()
		second.campaignFor(3*testTTL, fakePeers{})
		if newToken := second.heldToken(partition0Key); newToken <= oldToken {
			t.Errorf("after the first controller stalled, the second has token %d, want one above %d", newToken, oldToken)
		}
		first.mu.Lock()
		first.loopStalled = false
		first.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		if token := first.heldToken(partition0Key); token != 0 {
			t.Errorf("the first controller still holds partition 0 under token %d", token)
		}
	})
}

// A restarted controller acquires the keys of its former process at once, since that process
// has ended.
func TestRestartedControllerTakesOverItsKeys(t *testing.T) {
	runWithTwoControllers(t, func(ctx context.Context, s *fakeStore, first, _ *testController) {
		first.campaignFor(time.Second, fakePeers{})
		oldToken := first.heldToken(partition0Key)
		restarted := newTestController(ctx, s, "n0", "c")
		restarted.observe(partition0Key, s.keys[partition0Key])
		restarted.campaignFor(200*time.Millisecond, fakePeers{})
		if newToken := restarted.heldToken(partition0Key); newToken <= oldToken || first.heldToken(partition0Key) != 0 {
			t.Errorf("the restarted process has token %d and the former one %d; want one above %d, and 0", newToken, first.heldToken(partition0Key), oldToken)
		}
	})
}

// A controller hands a partition over to its preferred owner once the preferred owner can take it
// over, and does not acquire it again at once.
func TestHandOverToPreferredOwner(t *testing.T) {
	runWithTwoControllers(t, func(_ context.Context, _ *fakeStore, first, second *testController) {
		second.campaignFor(startupGracePeriod+preferredOwnerHeadStart, fakePeers{})
		if second.heldToken(partition0Key) == 0 {
			t.Fatal("a vacant partition was not acquired in the absence of its preferred owner")
		}
		second.campaignFor(resignBackoff/2, fakePeers{areEligible: true})
		if token := second.heldToken(partition0Key); token != 0 {
			t.Fatalf("the partition was not handed over; it is still held under token %d", token)
		}
		first.campaignFor(time.Second, fakePeers{areEligible: true})
		if first.heldToken(partition0Key) == 0 {
			t.Error("the preferred owner has not acquired the partition")
		}
	})
}

// RaiseToken results in a higher token, even if the response to its transaction is lost.
func TestRaiseToken(t *testing.T) {
	for _, test := range []struct {
		name         string
		responseLost bool
	}{{"response received", false}, {"response lost", true}} {
		t.Run(test.name, func(t *testing.T) {
			runWithTwoControllers(t, func(_ context.Context, s *fakeStore, first, _ *testController) {
				first.campaignFor(time.Second, fakePeers{})
				oldToken := first.heldToken(partition0Key)
				s.mu.Lock()
				s.dropResponses = test.responseLost
				s.mu.Unlock()
				first.Enqueue(func() {
					if !first.elector.RaiseToken(partition0Key) || first.elector.RaiseToken(partition0Key) {
						t.Error("RaiseToken must return true, and false while its transaction is in flight")
					}
				})
				time.Sleep(time.Second)
				synctest.Wait()
				if newToken := first.heldToken(partition0Key); newToken <= oldToken {
					t.Errorf("token %d after RaiseToken, want one above %d", newToken, oldToken)
				}
			})
		})
	}
}

// fakeWorkers implements WorkerContact with fixed values.
type fakeWorkers struct {
	reportingMachines          int
	heartbeats                 HeartbeatSummary
	resumedAt, lastHeartbeatAt time.Time
}

func (w fakeWorkers) CountReportingMachines() int                        { return w.reportingMachines }
func (w fakeWorkers) SummarizeHeartbeats(time.Duration) HeartbeatSummary { return w.heartbeats }
func (w fakeWorkers) LastHeartbeatAt() time.Time                         { return w.lastHeartbeatAt }
func (w fakeWorkers) ResumedAt() time.Time                               { return w.resumedAt }

// A controller without heartbeats steps down only if another controller may have contact with
// workers.
func TestStepDownIfNoHeartbeats(t *testing.T) {
	noHeartbeats := HeartbeatSummary{ExpectedMachines: 3}
	for _, test := range []struct {
		name    string
		workers fakeWorkers
		peers   fakePeers
		want    bool
	}{
		{"a peer has contact with workers", fakeWorkers{heartbeats: noHeartbeats}, fakePeers{haveContact: true, allKnown: true}, true},
		{"contact of peers is unknown", fakeWorkers{heartbeats: noHeartbeats}, fakePeers{}, true},
		{"no peer has contact with workers", fakeWorkers{heartbeats: noHeartbeats}, fakePeers{allKnown: true}, false},
		{"a heartbeat was received", fakeWorkers{heartbeats: HeartbeatSummary{ExpectedMachines: 3, HasHeartbeat: true}}, fakePeers{haveContact: true}, false},
		{"too few machines are expected", fakeWorkers{heartbeats: HeartbeatSummary{ExpectedMachines: 1}}, fakePeers{haveContact: true}, false},
		{"a partition was just acquired", fakeWorkers{heartbeats: HeartbeatSummary{ExpectedMachines: 3, HasNewPartition: true}}, fakePeers{haveContact: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithTwoControllers(t, func(_ context.Context, _ *fakeStore, first, _ *testController) {
				first.campaignFor(time.Second, fakePeers{})
				first.Enqueue(func() { first.elector.StepDownIfNoHeartbeats(test.workers, test.peers) })
				if got := first.heldToken(partition0Key) == 0; got != test.want {
					t.Errorf("stepped down: %v, want %v", got, test.want)
				}
				if got := first.elector.IsBackingOff(); got != test.want {
					t.Errorf("IsBackingOff() = %v, want %v", got, test.want)
				}
			})
		})
	}
}

// If all machines have died, no controller receives heartbeats. A controller then steps down
// only once in the time that workers' leases need to expire.
func TestStepDownOnceIfNoControllerHasHeartbeats(t *testing.T) {
	runWithTwoControllers(t, func(_ context.Context, _ *fakeStore, first, _ *testController) {
		workers, stepDowns := fakeWorkers{heartbeats: HeartbeatSummary{ExpectedMachines: 3}}, 0
		for range 4 {
			first.campaignFor(stepDownBackoff+time.Second, fakePeers{})
			first.Enqueue(func() { first.elector.StepDownIfNoHeartbeats(workers, fakePeers{}) })
			if first.heldToken(partition0Key) == 0 {
				stepDowns++
			}
		}
		if stepDowns != 1 {
			t.Errorf("stepped down %d times in 4 attempts, want 1, since the leases have not had the time to expire", stepDowns)
		}
	})
}

// A leader that neither workers nor peers reach steps down if there are other partition owners.
func TestStepDownIfIsolated(t *testing.T) {
	for _, test := range []struct {
		name       string
		otherOwner bool
		reporting  int
		peers      fakePeers
		want       bool
	}{
		{"isolated", true, 0, fakePeers{isIsolated: true}, true},
		{"it owns all partitions", false, 0, fakePeers{isIsolated: true}, false},
		{"workers report", true, 1, fakePeers{isIsolated: true}, false},
		{"peers are reachable", true, 0, fakePeers{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithTwoControllers(t, func(_ context.Context, _ *fakeStore, first, _ *testController) {
				first.campaignFor(time.Second, fakePeers{})
				if test.otherOwner {
					first.Enqueue(func() { first.elector.ObserveHolder("e/part/1", record.LeaseHolder{Node: "n1", ProcessID: "b"}, 900) })
				}
				since := time.Now().Add(-minLeaderTenure)
				first.Enqueue(func() {
					first.elector.StepDownIfIsolated(leaderKey, since, []string{partition0Key, "e/part/1"}, fakeWorkers{reportingMachines: test.reporting}, test.peers)
				})
				if got := first.heldToken(leaderKey) == 0; got != test.want {
					t.Errorf("leadership resigned: %v, want %v", got, test.want)
				}
			})
		})
	}
}
