package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// A complete upgrade and revert with running work. A level must become active once all controllers
// read it, and final when an operator requests it; then records are rewritten. During the revert
// they must be rewritten again before the level is lowered.
func TestUpgradeAndRevert(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 3, CPUs: 2}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 60, CPUs: 2, EstimateS: 20}))
		c.awaitLevel(1, rollout.PhaseActive, 30*time.Second)
		c.await("the service runs", 40*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 3 })
		c.requestUpgrade(rollout.RequestFinalize)
		c.awaitLevel(2, rollout.PhaseStable, 10*time.Second)
		c.await("records are rewritten", time.Minute, func() bool { f := c.countByEncoding(); return f[record.PlainJSON] == 0 && f[record.Checksummed] > 0 })
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindGang, Team: "blue", Priority: "normal", Tasks: 4, CPUs: 2, EstimateS: 5}))
		c.awaitDone("wk-3", 2*time.Minute)
		c.requestUpgrade(rollout.RequestAbort)
		c.awaitLevel(1, rollout.PhaseStable, time.Minute)
		if f := c.countByEncoding(); f[record.Checksummed] > 0 {
			t.Errorf("records by encoding after the revert: %v, want none with a checksum", f)
		}
		if !c.storedRolloutState().OnHold {
			t.Error("the level is not on hold after the revert")
		}
		c.awaitDone("wk-2", 5*time.Minute)
		if n := c.env.CountRunningTasks("wk-1"); n != 3 {
			t.Errorf("%d replicas of the service run, want 3", n)
		}
	})
}

// startWorkAndFinalize submits a service and an array, waits until they run, and upgrades the
// cluster to level 2.
func (c *cluster) startWorkAndFinalize() {
	c.t.Helper()
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 3, CPUs: 2}))
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 12, CPUs: 1, EstimateS: 300}))
	c.await("the service and the array run", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 3 && c.env.CountRunningTasks("wk-2") == 12 })
	c.awaitLevel(1, rollout.PhaseActive, 30*time.Second)
	c.requestUpgrade(rollout.RequestFinalize)
	c.awaitLevel(2, rollout.PhaseStable, 30*time.Second)
	c.await("records are rewritten", time.Minute, func() bool { return c.countByEncoding()[record.PlainJSON] == 0 })
}

// holdsLease reports whether a node holds any leased key.
func (c *cluster) holdsLease(i int) bool {
	for key, raw := range c.env.Store.Values(keyPrefix) {
		var h record.LeaseHolder
		if isLeaseKey(key) && wire.Decode(raw, &h) == nil && h.Node == c.nodes[i].cfg.Name {
			return true
		}
	}
	return false
}

// A controller that supports levels but does not read the one in force must not be ready, must not
// hold a lease, must reject users, and must not call the key-value store more than necessary.
// Once it is replaced by the current version, the node must serve again.
func TestControllerBelowCurrentLevelDoesNotServe(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		c.restartWithVersion(0, baseLevelVersion)
		time.Sleep(5 * time.Second)
		var calls atomic.Int64
		c.nodes[0].transport.SetFaultPolicy(func(r *http.Request) network.Fault {
			if isStoreRequest(r) {
				calls.Add(1)
			}
			return network.Deliver
		})
		const observedSeconds = 20
		for range observedSeconds {
			time.Sleep(time.Second)
			if c.nodes[0].controller().IsReady() || c.holdsLease(0) {
				t.Fatal("the controller is ready or holds a leased key, want neither")
			}
			if answer := c.sendRequest(0, queryRequest("wk-1")); answer.status != http.StatusServiceUnavailable {
				t.Fatalf("query answered with status %d, want 503", answer.status)
			}
		}
		if n := calls.Load(); n > 4*observedSeconds {
			t.Errorf("%d calls to the key-value store in %d s, want at most %d", n, observedSeconds, 4*observedSeconds)
		}
		if n := c.env.CountRunningTasks("wk-1"); n != 3 {
			t.Errorf("%d replicas run, want 3", n)
		}
		c.restartWithVersion(0, currentVersion)
		c.await("the controller serves again", 20*time.Second, func() bool { return c.nodes[0].controller().IsReady() && c.holdsLease(0) })
	})
}

// A version without levels that is started after the level became final must not hold a lease, even
// if no other controller runs, and must not answer queries for jobs whose records it can't read.
// A job that it accepts must run.
func TestVersionWithoutLevelsAfterFinalize(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		c.restartWithVersion(0, versionWithoutLevels)
		time.Sleep(5 * time.Second)
		if answer := c.sendRequest(0, queryRequest("wk-2")); answer.status != http.StatusServiceUnavailable {
			t.Errorf("query of a job whose records the controller can't read answered with status %d, want 503", answer.status)
		}
		body := newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 4, CPUs: 1, EstimateS: 3})
		spec, err := wire.ParseJob(body.encode(t))
		if err != nil {
			t.Fatal(err)
		}
		c.env.UploadJobSpec(spec)
		if answer := c.sendRequest(0, submitRequest(body, spec)); answer.status != http.StatusCreated {
			t.Errorf("submission answered with status %d, want 201", answer.status)
		}
		c.await("the job that it accepted is done", time.Minute, func() bool { return c.env.CountCompletedTasks("wk-3") == 4 })
		c.kill(1)
		c.kill(2)
		for range 25 {
			time.Sleep(time.Second)
			if c.holdsLease(0) {
				t.Fatal("the controller without levels holds a leased key")
			}
		}
		c.start(1)
		c.start(2)
		c.restartWithVersion(0, currentVersion)
		c.await("the service runs again", 40*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 3 })
		c.awaitDone("wk-3", 40*time.Second)
	})
}

// corruptRecord changes one byte of a stored value. It returns a function that restores the value.
func (c *cluster) corruptRecord(key string) func() {
	c.t.Helper()
	intactValue := c.env.Store.Values(key)[key]
	corruptValue := bytes.Clone(intactValue)
	at := len(corruptValue) / 2
	corruptValue[at] = map[bool]byte{true: 'B', false: 'A'}[corruptValue[at] == 'A']
	c.keysWrittenByTest[key] = true
	put := func(raw []byte) {
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Put: key, Value: raw}}}); err != nil {
			c.t.Fatal(err)
		}
	}
	put(corruptValue)
	return func() { put(intactValue) }
}

// A corrupt record must be detected, also by controllers that have never read the intact record. Its
// tasks must keep running, must not be started elsewhere, and must count toward their team's quota.
// Queries must get status 503. Once the record is restored, queries must be served again.
func TestTasksOfCorruptRecordKeepRunning(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		starts := c.env.Trace.CountAcceptedStarts("wk-2")
		var undo []func()
		for key := range c.env.Store.Values(groupPrefix + "wk-2/") {
			undo = append(undo, c.corruptRecord(key))
		}
		for i := range c.nodes {
			c.kill(i)
			c.start(i)
		}
		time.Sleep(30 * time.Second)
		if n := c.env.CountRunningTasks("wk-2"); n != 12 || c.env.Trace.CountAcceptedStarts("wk-2") != starts {
			t.Errorf("%d of 12 tasks run, %d were started after the corruption; want 12 and 0", n, c.env.Trace.CountAcceptedStarts("wk-2")-starts)
		}
		for i := range c.nodes {
			if answer := c.sendRequest(i, queryRequest("wk-2")); answer.status != http.StatusServiceUnavailable {
				t.Errorf("node %d answers a query with status %d, want 503", i, answer.status)
			}
		}
		used := 0.0
		c.nodes[0].controller().call(c.ctx, priorityStore, func() {
			ctl := c.nodes[0].controller()
			used = float64(ctl.quotas()[ctl.getOrAddTeam("blue")].Usage.CPU) / 1000
		})
		if used < 12+6 {
			t.Errorf("%v CPUs count toward the team's quota, want at least 18", used)
		}
		for _, f := range undo {
			f()
		}
		c.await("the job is known again", 20*time.Second, func() bool { return c.jobState("wk-2") == wire.StateRunning })
		c.cancelJob("wk-2")
		c.await("the cancelled job has stopped", 40*time.Second, func() bool { return c.env.CountRunningTasks("wk-2") == 0 })
	})
}

// A revert must not lower the level while any record of that level is stored, even one that no
// controller rewrites. The status must name the remaining records.
func TestRevertWaitsForRemainingRecords(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		// The record of an unknown job: no controller rewrites it.
		key := groupKey("wk-99", 0)
		remaining := (&record.TaskGroup{Partition: 1, Tasks: []record.Binding{{Task: 1}}}).Encode(record.Checksummed).ValueForKey(key)
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Put: key, Value: remaining}}}); err != nil {
			t.Fatal(err)
		}
		c.requestUpgrade(rollout.RequestAbort)
		c.awaitLevel(2, rollout.PhaseReverting, 10*time.Second)
		time.Sleep(20 * time.Second)
		if s := c.storedRolloutState(); s.Phase != rollout.PhaseReverting || s.Epoch != 1 {
			t.Errorf("state is %+v while a record remains, want phase %s in epoch 1", s, rollout.PhaseReverting)
		}
		status, err := c.upgradeOperator().Status(c.ctx)
		if err != nil || len(status.Blockers) != 1 || status.Blockers[0].Kind != rollout.BlockerNewerRecords || status.RecordsByEncoding["form 2"] != 1 {
			t.Errorf("status is %+v (error %v), want one blocker of kind records and one record of form 2", status, err)
		}
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Delete: key}}}); err != nil {
			t.Fatal(err)
		}
		c.awaitLevel(1, rollout.PhaseStable, 20*time.Second)
	})
}

// A record of the level that is written after the records were counted, by an owner that had not yet
// read the change of the state, must be found before the keys of the base level are opened.
func TestRevertFindsRecordWrittenAfterCount(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		key := groupKey("wk-99", 0)
		remaining := (&record.TaskGroup{Partition: 1, Tasks: []record.Binding{{Task: 1}}}).Encode(record.Checksummed).ValueForKey(key)
		// The record is stored in the transaction that closes the keys.
		c.env.Store.SetTxnHook(func(t *wire.Txn) {
			for _, change := range t.Changes {
				if s, err := rollout.DecodeState(change.Value); change.Put == rollout.StateKey && err == nil && s.Phase == rollout.PhaseClosed && s.Epoch == 1 {
					t.Changes = append(t.Changes, wire.Change{Put: key, Value: remaining})
				}
			}
		})
		c.requestUpgrade(rollout.RequestAbort)
		c.await("the revert continues in a new epoch", 30*time.Second, func() bool { s := c.storedRolloutState(); return s.Phase == rollout.PhaseReverting && s.Epoch == 2 })
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Delete: key}}}); err != nil {
			t.Fatal(err)
		}
		c.awaitLevel(1, rollout.PhaseStable, 20*time.Second)
		c.await("the service runs", 20*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 3 })
	})
}

// An active level must become final without a request once no controller has been restarted for the
// time given in the settings.
func TestAutomaticFinalize(t *testing.T) {
	runClusterWithSetup(t, func(n *node) {
		n.operatorConfig = config.DefaultOperatorSettings()
		n.operatorConfig.EnableFeatureLevels, n.operatorConfig.FinalizeDelay = true, 30*time.Second
	}, func(c *cluster) {
		c.upgradesEnabled = true
		c.awaitLevel(1, rollout.PhaseActive, 10*time.Second)
		time.Sleep(20 * time.Second)
		c.kill(1)
		c.start(1)
		time.Sleep(20 * time.Second)
		if s := c.storedRolloutState(); s.Phase != rollout.PhaseActive {
			t.Errorf("state is %+v 20 s after a restart, want the level not final yet", s)
		}
		c.awaitLevel(2, rollout.PhaseStable, 20*time.Second)
	})
}

// While a controller is not registered, a finalize request must be refused with an error that names
// the controller, and the level must stay.
func TestMissingControllerBlocksFinalize(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.awaitLevel(1, rollout.PhaseActive, 10*time.Second)
		c.kill(2)
		c.await("the registration of n2 ends", 30*time.Second, func() bool { return len(c.env.Store.Keys(rollout.RegistrationKey("n2"))) == 0 })
		before := c.storedRolloutState()
		_, err := c.upgradeOperator().Submit(c.ctx, rollout.RequestFinalize)
		var refused *rollout.RefusedError
		if !errors.As(err, &refused) || !strings.Contains(err.Error(), "n2") || strings.Contains(err.Error(), "\n") {
			t.Errorf("request to finalize: error %v, want a one-line RefusedError that names n2", err)
		}
		if c.storedRolloutState() != before {
			t.Errorf("the refused request changed the state from %+v to %+v", before, c.storedRolloutState())
		}
		c.start(2)
		c.await("the controller is registered", 20*time.Second, func() bool { return len(c.env.Store.Keys(rollout.RegistrationKey("n2"))) == 1 })
		c.requestUpgrade(rollout.RequestFinalize)
		c.awaitLevel(2, rollout.PhaseStable, 10*time.Second)
	})
}

// A controller whose registration expires during an outage of its link to the key-value store must
// register again.
func TestControllerRegistersAgainAfterLeaseExpiry(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.awaitLevel(1, rollout.PhaseActive, 10*time.Second)
		c.nodes[1].transport.SetFaultPolicy(func(r *http.Request) network.Fault {
			if isStoreRequest(r) {
				return network.Refuse
			}
			return network.Deliver
		})
		c.await("the registration of n1 expires", 30*time.Second, func() bool { return len(c.env.Store.Keys(rollout.RegistrationKey("n1"))) == 0 })
		c.nodes[1].transport.SetFaultPolicy(nil)
		c.await("the controller is registered again", 20*time.Second, func() bool { return len(c.env.Store.Keys(rollout.RegistrationKey("n1"))) == 1 })
	})
}

// No controller may serve or hold a lease while the stored rollout state can't be decoded: it was
// written by a newer version.
func TestUndecodableRolloutStateStopsService(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.awaitLevel(1, rollout.PhaseActive, 10*time.Second)
		put := func(raw string) {
			if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Put: rollout.StateKey, Value: json.RawMessage(raw)}}}); err != nil {
				t.Fatal(err)
			}
		}
		c.keysWrittenByTest[rollout.StateKey] = true
		put(`{"level":1,"phase":"dissolved"}`)
		c.await("no controller serves", 10*time.Second, func() bool {
			return !c.nodes[0].controller().IsReady() && !c.nodes[1].controller().IsReady() && !c.nodes[2].controller().IsReady() && !c.holdsLease(0)
		})
		put(`{"level":1,"phase":"stable"}`)
		c.await("the controllers serve again", 20*time.Second, func() bool { return c.nodes[0].controller().IsReady() && c.holdsLease(0) })
	})
}

// Each peer must be sent status frames that it can read: checksummed ones if the level is active and
// the peer's current process has registered that it reads it, and plain ones otherwise.
func TestFrameVersionsWithMixedLevels(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		var mu sync.Mutex
		last := map[string]peer.Version{}
		observe := frameObserver(func(from, to string, version peer.Version) {
			mu.Lock()
			defer mu.Unlock()
			last[from+to] = version
		})
		c.frameObserver.Store(&observe)
		checkVersions := func(want map[string]peer.Version) {
			t.Helper()
			time.Sleep(3 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			for path, version := range want {
				if last[path] != version {
					t.Errorf("%s: frame version %d, want %d", path, last[path], version)
				}
			}
		}
		c.awaitLevel(1, rollout.PhaseActive, 10*time.Second)
		checkVersions(map[string]peer.Version{"n0n1": peer.ChecksummedFrame, "n1n0": peer.ChecksummedFrame, "n2n1": peer.ChecksummedFrame})
		// n1 is killed without access to the key-value store, so its registration stays stored.
		c.nodes[1].transport.SetFaultPolicy(func(*http.Request) network.Fault { return network.Refuse })
		c.kill(1)
		c.nodes[1].transport.SetFaultPolicy(nil)
		c.restartWithVersion(1, versionWithoutLevels)
		if len(c.env.Store.Keys(rollout.RegistrationKey("n1"))) != 1 {
			t.Error("the registration of n1 ended with its process")
		}
		checkVersions(map[string]peer.Version{"n0n1": peer.PlainFrame, "n1n0": peer.PlainFrame, "n0n2": peer.ChecksummedFrame, "n2n1": peer.PlainFrame})
		c.restartWithVersion(1, baseLevelVersion)
		checkVersions(map[string]peer.Version{"n0n1": peer.PlainFrame, "n0n2": peer.PlainFrame}) // the level is no longer active
		c.restartWithVersion(1, currentVersion)
		checkVersions(map[string]peer.Version{"n0n1": peer.ChecksummedFrame, "n1n2": peer.ChecksummedFrame})
	})
}
