package controller

import (
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/store"
)

// operatorSettings returns the operator's settings of a node. A version without levels has the
// defaults.
func (n *node) operatorSettings() *config.OperatorSettings {
	if n.operatorConfig == nil || n.version.predatesLevels {
		return config.DefaultOperatorSettings()
	}
	return n.operatorConfig
}

// storeTransport returns the transport through which a node calls the key-value store.
func (n *node) storeTransport() http.RoundTripper {
	if n.version.predatesLevels {
		return legacyStoreView{n.transport}
	}
	return n.transport
}

// runUpgradeCluster is runCluster for a cluster whose controllers take part in staged upgrades.
func runUpgradeCluster(t *testing.T, f func(c *cluster)) {
	runClusterWithSetup(t, func(n *node) {
		n.operatorConfig = config.DefaultOperatorSettings()
		n.operatorConfig.EnableFeatureLevels = true
	}, func(c *cluster) {
		c.upgradesEnabled = true
		f(c)
	})
}

// storedRolloutState returns the stored rollout state, or rollout.InitialState if none is stored.
func (c *cluster) storedRolloutState() rollout.State {
	raw, ok := c.env.Store.Values(rollout.StateKey)[rollout.StateKey]
	if !ok {
		return rollout.InitialState
	}
	state, err := rollout.DecodeState(raw)
	if err != nil {
		c.t.Fatal(err)
	}
	return state
}

// awaitLevel waits until the stored rollout state has the given level and phase.
func (c *cluster) awaitLevel(level rollout.Level, phase rollout.Phase, limit time.Duration) {
	c.t.Helper()
	c.await("level "+string(phase), limit, func() bool {
		s := c.storedRolloutState()
		return s.Level == level && s.Phase == phase
	})
}

// storeClient returns a client with which an operator calls the key-value store.
func (c *cluster) storeClient() *store.Client {
	return store.NewClient(c.nodes[0].cfg.External.Store, c.clientTransport)
}

// upgradeOperator returns a client with which an operator controls the cluster's upgrade.
func (c *cluster) upgradeOperator() *rollout.OperatorClient {
	cfg := c.nodes[0].cfg
	return &rollout.OperatorClient{Store: c.storeClient(), Members: cfg.ControllerNames(), PartitionCount: cfg.Settings.ControllerCount, MaxTransactionChanges: cfg.Settings.Store.TxnOps}
}

// requestUpgrade stores an operator's request as the eiderhitch upgrade command does. It retries
// until the request is accepted.
func (c *cluster) requestUpgrade(request rollout.Request) {
	c.t.Helper()
	op := c.upgradeOperator()
	c.await("the request is stored", time.Minute, func() bool {
		_, err := op.Submit(c.ctx, request)
		if err != nil {
			c.t.Log(err)
		}
		return err == nil
	})
}

// countByEncoding returns the number of stored task groups by encoding.
func (c *cluster) countByEncoding() map[record.Encoding]int {
	out := map[record.Encoding]int{}
	for _, raw := range c.env.Store.Values(groupPrefix) {
		out[record.EncodingOf(raw)]++
	}
	return out
}

// restartWithVersion kills a node's process and starts one of the given version in its place.
func (c *cluster) restartWithVersion(i int, version softwareVersion) {
	c.kill(i)
	c.nodes[i].version = version
	time.Sleep(time.Second)
	c.start(i)
}

// softwareVersion is a version of the controller, described by its support for feature levels.
type softwareVersion struct {
	supportedLevels rollout.LevelRange
	predatesLevels  bool // the version does not support levels and writes records of the base level
}

// The versions that take part in the tests of upgrades. versionWithoutLevels runs the current code
// behind legacyStoreView, which hides from it what such a version does not read.
var (
	currentVersion       = softwareVersion{supportedLevels: rollout.SupportedLevels}
	baseLevelVersion     = softwareVersion{supportedLevels: rollout.LevelRange{Low: rollout.BaseLevel, High: rollout.BaseLevel}}
	versionWithoutLevels = softwareVersion{supportedLevels: rollout.SupportedLevels, predatesLevels: true}
)

// readableLevels returns the range of levels whose records a version reads.
func (v softwareVersion) readableLevels() rollout.LevelRange {
	if v.predatesLevels {
		return baseLevelVersion.supportedLevels
	}
	return v.supportedLevels
}

// recordProcess records, for levelHistoryChecker, the range of levels that a process reads.
func (c *cluster) recordProcess(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readableLevels[p.controller.processID] = p.version.readableLevels()
}
