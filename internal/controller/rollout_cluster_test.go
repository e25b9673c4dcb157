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

// operatorSettings are the operators' settings of a node.
func (n *node) operatorSettings() *config.Operator {
	if n.operatorConfig == nil || n.version.predatesLevels {
		return config.DefaultOperator()
	}
	return n.operatorConfig
}

// storeTransport is how a node reaches the key-value store.
func (n *node) storeTransport() http.RoundTripper {
	if n.version.predatesLevels {
		return legacyStoreView{n.transport}
	}
	return n.transport
}

// runUpgradeCluster runs f with a cluster whose controllers take part in staged upgrades.
func runUpgradeCluster(t *testing.T, f func(c *cluster)) {
	runClusterWith(t, func(n *node) {
		n.operatorConfig = config.DefaultOperator()
		n.operatorConfig.FeatureLevels = true
	}, func(c *cluster) {
		c.upgrades = true
		f(c)
	})
}

// rolloutState is the stored state.
func (c *cluster) storedRolloutState() rollout.State {
	raw, ok := c.env.Store.Values(rollout.StateKey)[rollout.StateKey]
	if !ok {
		return rollout.Initial
	}
	state, err := rollout.DecodeState(raw)
	if err != nil {
		c.t.Fatal(err)
	}
	return state
}

// awaitLevel waits for a level in a phase.
func (c *cluster) awaitLevel(level rollout.Level, phase rollout.Phase, limit time.Duration) {
	c.t.Helper()
	c.await("level "+string(phase), limit, func() bool {
		s := c.storedRolloutState()
		return s.Level == level && s.Phase == phase
	})
}

// storeClient reaches the key-value store as an operator does.
func (c *cluster) storeClient() *store.Client {
	return store.NewClient(c.nodes[0].cfg.External.Store, c.clientTransport)
}

// upgradeOperator is an operator of the cluster.
func (c *cluster) upgradeOperator() *rollout.Operator {
	cfg := c.nodes[0].cfg
	return &rollout.Operator{Store: c.storeClient(), Members: cfg.Nodes(), Partitions: cfg.Settings.Count, MaxTxnChanges: cfg.Settings.Store.TxnOps}
}

// requestUpgrade has an operator's request stored, as the command does.
func (c *cluster) requestUpgrade(w rollout.Request) {
	c.t.Helper()
	op := c.upgradeOperator()
	c.await("the request is stored", time.Minute, func() bool {
		_, err := op.Submit(c.ctx, w)
		if err != nil {
			c.t.Log(err)
		}
		return err == nil
	})
}

// countByEncoding counts the stored groups by encoding.
func (c *cluster) countByEncoding() map[record.Encoding]int {
	out := map[record.Encoding]int{}
	for _, raw := range c.env.Store.Values(groupPrefix) {
		out[record.EncodingOf(raw)]++
	}
	return out
}

// replace has a node's process end and one of another version start in its place.
func (c *cluster) restartWithVersion(i int, version softwareVersion) {
	c.kill(i)
	c.nodes[i].version = version
	time.Sleep(time.Second)
	c.start(i)
}

// softwareVersion is a version of the controller, by what it knows of feature levels.
type softwareVersion struct {
	supportedLevels rollout.Range
	predatesLevels  bool // it does not know levels: what it writes is of the base one
}

// The versions that take part in upgrades. One that does not know levels runs the present
// code behind legacyStoreView.
var (
	currentVersion       = softwareVersion{supportedLevels: rollout.Supported}
	baseLevelVersion     = softwareVersion{supportedLevels: rollout.Range{Low: rollout.BaseLevel, High: rollout.BaseLevel}}
	versionWithoutLevels = softwareVersion{supportedLevels: rollout.Supported, predatesLevels: true}
)

// reads is the range of levels whose records a version reads.
func (v softwareVersion) readableLevels() rollout.Range {
	if v.predatesLevels {
		return baseLevelVersion.supportedLevels
	}
	return v.supportedLevels
}

// recordProcess notes what a process reads, for levelHistoryChecker.
func (c *cluster) recordProcess(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readableByProcess[p.controller.processID] = p.version.readableLevels()
}
