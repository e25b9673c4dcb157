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

// All the way up and all the way back, with work that runs through it: a level becomes
// active when all controllers read it and final by an operator's word; records are
// rewritten; on the way back they are rewritten again before the level falls.
func TestUpgradeAndRevert(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Service, Team: "blue", Priority: "urgent", Tasks: 3, CPUs: 2}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 60, CPUs: 2, EstimateS: 20}))
		c.awaitLevel(1, rollout.Activated, 30*time.Second)
		c.await("the service runs", 40*time.Second, func() bool { return c.env.Running("wk-1") == 3 })
		c.requestUpgrade(rollout.RequestFinalize)
		c.awaitLevel(2, rollout.Stable, 10*time.Second)
		c.await("records are rewritten", time.Minute, func() bool { f := c.countByEncoding(); return f[record.PlainJSON] == 0 && f[record.Checksummed] > 0 })
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.Gang, Team: "blue", Priority: "normal", Tasks: 4, CPUs: 2, EstimateS: 5}))
		c.awaitDone("wk-3", 2*time.Minute)
		c.requestUpgrade(rollout.RequestAbort)
		c.awaitLevel(1, rollout.Stable, time.Minute)
		if f := c.countByEncoding(); f[record.Checksummed] > 0 {
			t.Errorf("records by encoding after the way back: %v, want none with a checksum", f)
		}
		if !c.storedRolloutState().Held {
			t.Error("the level is not held after the way back")
		}
		c.awaitDone("wk-2", 5*time.Minute)
		if n := c.env.Running("wk-1"); n != 3 {
			t.Errorf("%d replicas of the service run, want 3", n)
		}
	})
}

// final brings a cluster to level 2, with work that runs.
func (c *cluster) startWorkAndFinalize() {
	c.t.Helper()
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Service, Team: "blue", Priority: "urgent", Tasks: 3, CPUs: 2}))
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 12, CPUs: 1, EstimateS: 300}))
	c.await("work runs", time.Minute, func() bool { return c.env.Running("wk-1") == 3 && c.env.Running("wk-2") == 12 })
	c.awaitLevel(1, rollout.Activated, 30*time.Second)
	c.requestUpgrade(rollout.RequestFinalize)
	c.awaitLevel(2, rollout.Stable, 30*time.Second)
	c.await("records are rewritten", time.Minute, func() bool { return c.countByEncoding()[record.PlainJSON] == 0 })
}

// holdsLease tells whether a node holds any leased key.
func (c *cluster) holdsLease(i int) bool {
	for key, raw := range c.env.Store.Values(keyPrefix) {
		var h record.LeaseHolder
		if isLeaseKey(key) && wire.Decode(raw, &h) == nil && h.Node == c.nodes[i].cfg.Name {
			return true
		}
	}
	return false
}

// A version that knows levels and not the one in force serves nobody, holds no leased key, and
// asks the key-value store no more than it has to. Back as the present one it serves.
func TestControllerBelowCurrentLevelDoesNotServe(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		c.restartWithVersion(0, baseLevelVersion)
		time.Sleep(5 * time.Second)
		var calls atomic.Int64
		c.nodes[0].transport.SetPolicy(func(r *http.Request) network.Fault {
			if isStoreRequest(r) {
				calls.Add(1)
			}
			return network.Deliver
		})
		const watched = 20
		for range watched {
			time.Sleep(time.Second)
			if c.nodes[0].controller().Ready() || c.holdsLease(0) {
				t.Fatal("it is ready, or holds a leased key")
			}
			if answer := c.ask(0, queryRequest("wk-1")); answer.status != http.StatusServiceUnavailable {
				t.Fatalf("a user is answered with status %d, want 503", answer.status)
			}
		}
		if n := calls.Load(); n > 4*watched {
			t.Errorf("%d calls of the key-value store in %d s, want at most %d", n, watched, 4*watched)
		}
		if n := c.env.Running("wk-1"); n != 3 {
			t.Errorf("%d replicas run, want 3", n)
		}
		c.restartWithVersion(0, currentVersion)
		c.await("it serves again", 20*time.Second, func() bool { return c.nodes[0].controller().Ready() && c.holdsLease(0) })
	})
}

// A version without levels that comes back after the switch holds no leased key, even alone; a
// job that it accepts runs, and what it can't read it does not answer for.
func TestVersionWithoutLevelsAfterFinalize(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		c.restartWithVersion(0, versionWithoutLevels)
		time.Sleep(5 * time.Second)
		if answer := c.ask(0, queryRequest("wk-2")); answer.status != http.StatusServiceUnavailable {
			t.Errorf("status %d for a job whose records it can't read, want 503", answer.status)
		}
		body := newSubmission(submission{ID: "wk-3", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 4, CPUs: 1, EstimateS: 3})
		spec, err := wire.ParseJob(body.body(t))
		if err != nil {
			t.Fatal(err)
		}
		c.env.Upload(spec)
		if answer := c.ask(0, submitRequest(body, spec)); answer.status != http.StatusCreated {
			t.Errorf("a submission is answered with status %d, want 201", answer.status)
		}
		c.await("the job that it accepted is done", time.Minute, func() bool { return c.env.Completed("wk-3") == 4 })
		c.kill(1)
		c.kill(2)
		for range 25 {
			time.Sleep(time.Second)
			if c.holdsLease(0) {
				t.Fatal("it holds a leased key")
			}
		}
		c.start(1)
		c.start(2)
		c.restartWithVersion(0, currentVersion)
		c.await("the service runs again", 40*time.Second, func() bool { return c.env.Running("wk-1") == 3 })
		c.awaitDone("wk-3", 40*time.Second)
	})
}

// corruptRecord changes one letter of a stored value, and returns what mends it.
func (c *cluster) corruptRecord(key string) func() {
	c.t.Helper()
	good := c.env.Store.Values(key)[key]
	bad := bytes.Clone(good)
	at := len(bad) / 2
	bad[at] = map[bool]byte{true: 'B', false: 'A'}[bad[at] == 'A']
	c.writtenByTest[key] = true
	put := func(raw []byte) {
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Put: key, Value: raw}}}); err != nil {
			c.t.Fatal(err)
		}
	}
	put(bad)
	return func() { put(good) }
}

// A record that is damaged is seen to be, also by controllers that never saw it whole:
// its tasks go on running, are started nowhere else, and count for their team's limit; its
// users are told to come back. Once it is mended all goes on.
func TestTasksOfCorruptRecordKeepRunning(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		starts := c.env.Trace.Accepted("wk-2")
		var undo []func()
		for key := range c.env.Store.Values(groupPrefix + "wk-2/") {
			undo = append(undo, c.corruptRecord(key))
		}
		for i := range c.nodes {
			c.kill(i)
			c.start(i)
		}
		time.Sleep(30 * time.Second)
		if n := c.env.Running("wk-2"); n != 12 || c.env.Trace.Accepted("wk-2") != starts {
			t.Errorf("%d of 12 tasks run, %d were started after the damage; want all and none", n, c.env.Trace.Accepted("wk-2")-starts)
		}
		for i := range c.nodes {
			if answer := c.ask(i, queryRequest("wk-2")); answer.status != http.StatusServiceUnavailable {
				t.Errorf("node %d answers with status %d, want 503", i, answer.status)
			}
		}
		used := 0.0
		c.nodes[0].controller().call(c.ctx, priorityStore, func() {
			ctl := c.nodes[0].controller()
			used = float64(ctl.quotas()[ctl.getOrAddTeam("blue")].Usage.CPU) / 1000
		})
		if used < 12+6 {
			t.Errorf("%v CPUs count for the team's limit, want at least 18", used)
		}
		for _, f := range undo {
			f()
		}
		c.await("it is known again", 20*time.Second, func() bool { return c.state("wk-2") == wire.Running })
		c.cancelJob("wk-2")
		c.await("it is gone", 40*time.Second, func() bool { return c.env.Running("wk-2") == 0 })
	})
}

// The level falls only when no record of it is left, whoever wrote it and whatever may
// keep it from being rewritten; what is left is said.
func TestRevertWaitsForRemainingRecords(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		// Of a job that is not known: nobody rewrites it.
		key := groupKey("wk-99", 0)
		remaining := (&record.TaskGroup{Partition: 1, Tasks: []record.Binding{{Task: 1}}}).Encode(record.Checksummed).At(key)
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Put: key, Value: remaining}}}); err != nil {
			t.Fatal(err)
		}
		c.requestUpgrade(rollout.RequestAbort)
		c.awaitLevel(2, rollout.Reverting, 10*time.Second)
		time.Sleep(20 * time.Second)
		if s := c.storedRolloutState(); s.Phase != rollout.Reverting || s.Epoch != 1 {
			t.Errorf("%+v while a record is left, want phase %s in epoch 1", s, rollout.Reverting)
		}
		status, err := c.upgradeOperator().Status(c.ctx)
		if err != nil || len(status.Blockers) != 1 || status.Blockers[0].Kind != rollout.BlockRecords || status.Records["form 2"] != 1 {
			t.Errorf("status %+v, %v", status, err)
		}
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Delete: key}}}); err != nil {
			t.Fatal(err)
		}
		c.awaitLevel(1, rollout.Stable, 20*time.Second)
	})
}

// A record of the level that is written after the count, by an owner that did not know
// better, is found before the keys of the base level are opened.
func TestRevertFindsRecordWrittenAfterCount(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.startWorkAndFinalize()
		key := groupKey("wk-99", 0)
		remaining := (&record.TaskGroup{Partition: 1, Tasks: []record.Binding{{Task: 1}}}).Encode(record.Checksummed).At(key)
		// It is stored together with the change that closes the keys.
		c.env.Store.BeforeTxn(func(t *wire.Txn) {
			for _, change := range t.Changes {
				if s, err := rollout.DecodeState(change.Value); change.Put == rollout.StateKey && err == nil && s.Phase == rollout.Closed && s.Epoch == 1 {
					t.Changes = append(t.Changes, wire.Change{Put: key, Value: remaining})
				}
			}
		})
		c.requestUpgrade(rollout.RequestAbort)
		c.await("the way back goes on in a new epoch", 30*time.Second, func() bool { s := c.storedRolloutState(); return s.Phase == rollout.Reverting && s.Epoch == 2 })
		if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Delete: key}}}); err != nil {
			t.Fatal(err)
		}
		c.awaitLevel(1, rollout.Stable, 20*time.Second)
		c.await("the service runs", 20*time.Second, func() bool { return c.env.Running("wk-1") == 3 })
	})
}

// An active level becomes final by itself after the time that the settings give, counted
// anew from each restart.
func TestAutomaticFinalize(t *testing.T) {
	runClusterWith(t, func(n *node) {
		n.operatorConfig = config.DefaultOperator()
		n.operatorConfig.FeatureLevels, n.operatorConfig.FinalizeAfter = true, 30*time.Second
	}, func(c *cluster) {
		c.upgrades = true
		c.awaitLevel(1, rollout.Activated, 10*time.Second)
		time.Sleep(20 * time.Second)
		c.kill(1)
		c.start(1)
		time.Sleep(20 * time.Second)
		if s := c.storedRolloutState(); s.Phase != rollout.Activated {
			t.Errorf("%+v 20 s after a restart", s)
		}
		c.awaitLevel(2, rollout.Stable, 20*time.Second)
	})
}

// While a controller is missing, or does not say what it reads, an operator is refused,
// with its name, and nothing is raised.
func TestMissingControllerBlocksFinalize(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.awaitLevel(1, rollout.Activated, 10*time.Second)
		c.kill(2)
		c.await("its registration ends", 30*time.Second, func() bool { return len(c.env.Store.Keys(rollout.ControllerKey("n2"))) == 0 })
		before := c.storedRolloutState()
		_, err := c.upgradeOperator().Submit(c.ctx, rollout.RequestFinalize)
		var refused *rollout.RefusedError
		if !errors.As(err, &refused) || !strings.Contains(err.Error(), "n2") || strings.Contains(err.Error(), "\n") {
			t.Errorf("refused with %v", err)
		}
		if c.storedRolloutState() != before {
			t.Errorf("%+v was changed to %+v", before, c.storedRolloutState())
		}
		c.start(2)
		c.await("it is registered", 20*time.Second, func() bool { return len(c.env.Store.Keys(rollout.ControllerKey("n2"))) == 1 })
		c.requestUpgrade(rollout.RequestFinalize)
		c.awaitLevel(2, rollout.Stable, 10*time.Second)
	})
}

// A controller whose lease ends while it lives is registered again.
func TestControllerRegistersAgainAfterLeaseExpiry(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.awaitLevel(1, rollout.Activated, 10*time.Second)
		c.nodes[1].transport.SetPolicy(func(r *http.Request) network.Fault {
			if isStoreRequest(r) {
				return network.Refuse
			}
			return network.Deliver
		})
		c.await("its registration ends", 30*time.Second, func() bool { return len(c.env.Store.Keys(rollout.ControllerKey("n1"))) == 0 })
		c.nodes[1].transport.SetPolicy(nil)
		c.await("it is registered again", 20*time.Second, func() bool { return len(c.env.Store.Keys(rollout.ControllerKey("n1"))) == 1 })
	})
}

// A state that this version can't make sense of was written by one that knows more.
func TestUndecodableRolloutStateStopsService(t *testing.T) {
	runUpgradeCluster(t, func(c *cluster) {
		c.awaitLevel(1, rollout.Activated, 10*time.Second)
		put := func(raw string) {
			if _, err := c.storeClient().Txn(c.ctx, &wire.Txn{Changes: []wire.Change{{Put: rollout.StateKey, Value: json.RawMessage(raw)}}}); err != nil {
				t.Fatal(err)
			}
		}
		c.writtenByTest[rollout.StateKey] = true
		put(`{"level":1,"phase":"dissolved"}`)
		c.await("nobody serves", 10*time.Second, func() bool {
			return !c.nodes[0].controller().Ready() && !c.nodes[1].controller().Ready() && !c.nodes[2].controller().Ready() && !c.holdsLease(0)
		})
		put(`{"level":1,"phase":"stable"}`)
		c.await("they serve again", 20*time.Second, func() bool { return c.nodes[0].controller().Ready() && c.holdsLease(0) })
	})
}

// Each peer is sent frames of a version that it reads: the checked one where the level
// is active and the peer's present process has said so, the plain one else.
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
		c.awaitLevel(1, rollout.Activated, 10*time.Second)
		checkVersions(map[string]peer.Version{"n0n1": peer.ChecksummedFrame, "n1n0": peer.ChecksummedFrame, "n2n1": peer.ChecksummedFrame})
		// It is killed: its registration outlives it.
		c.nodes[1].transport.SetPolicy(func(*http.Request) network.Fault { return network.Refuse })
		c.kill(1)
		c.nodes[1].transport.SetPolicy(nil)
		c.restartWithVersion(1, versionWithoutLevels)
		if len(c.env.Store.Keys(rollout.ControllerKey("n1"))) != 1 {
			t.Error("its registration ended with it")
		}
		checkVersions(map[string]peer.Version{"n0n1": peer.PlainFrame, "n1n0": peer.PlainFrame, "n0n2": peer.ChecksummedFrame, "n2n1": peer.PlainFrame})
		c.restartWithVersion(1, baseLevelVersion)
		checkVersions(map[string]peer.Version{"n0n1": peer.PlainFrame, "n0n2": peer.PlainFrame}) // the level is not active any more
		c.restartWithVersion(1, currentVersion)
		checkVersions(map[string]peer.Version{"n0n1": peer.ChecksummedFrame, "n1n2": peer.ChecksummedFrame})
	})
}
