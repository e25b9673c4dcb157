package controller

import (
	"context"
	"log/slog"
	"time"

	"eiderhitch/internal/autoscaler"
	"eiderhitch/internal/config"
	"eiderhitch/internal/election"
	"eiderhitch/internal/outage"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/replica"
	"eiderhitch/internal/store"
)

// clusterState is what every component of a controller may look at: the settings, the time
// of the event in work, the records with their indices, and the machines with what is known
// of them. It changes with the records (package replica), with workers' heartbeats and with
// what peers and the cloud say; it decides nothing.
type clusterState struct {
	*eventLoop
	*catalog
	*machineRegistry
	*cellRegistry

	cfg       *config.Platform
	operator  *config.Operator
	log       *slog.Logger
	metrics   *metrics
	processID string
	startedAt time.Time
	// maxStaleness is how long after the start of the last successful read heartbeats may
	// be answered (config.MaxStaleness); leaseExpiry is how long after the last answer a
	// worker's lease has surely expired (config.LeaseExpiry).
	maxStaleness time.Duration
	leaseExpiry  time.Duration

	stateClient *store.Client
	stateWriter *store.Writer
	replica     *replica.Replica
	reader      *replica.Reader
	storeOutage *outage.Monitor
	election    *election.Elector
	peers       *peer.Registry
	autoscaler  *autoscaler.Autoscaler

	// objectiveSeconds is, by class, in how many seconds its jobs should be done.
	objectiveSeconds map[string]float64
	maxGroupTasks    int
	reconcileRecords machineRecords // see reconcileView
	rollout          rolloutState

	// schedulingPass counts the scheduling passes.
	schedulingPass uint64

	lastHeartbeatAt time.Time // of any worker
	// acceptsHeartbeats: the replica is fresh enough to answer them (maxStaleness).
	// heartbeatsResumedAt is when they last were accepted again after an outage: no machine
	// could be heard before.
	acceptsHeartbeats   bool
	heartbeatsResumedAt time.Time
}

// newClusterState returns the state of a controller that knows nothing yet.
func newClusterState(ctx context.Context, cfg *config.Platform, operator *config.Operator, log *slog.Logger, deps dependencies) *clusterState {
	settings := &cfg.Settings
	loop, jobs, machines := newEventLoop(ctx), newCatalog(), newMachineRegistry()
	client := store.NewClient(cfg.External.Store, deps.store)
	c := &clusterState{
		eventLoop:       loop,
		catalog:         jobs,
		machineRegistry: machines,
		cellRegistry:    newCellRegistry(loop, jobs, machines),

		cfg:          cfg,
		operator:     operator,
		log:          log.With("node", cfg.Name),
		metrics:      newMetrics(),
		processID:    newProcessID(),
		startedAt:    loop.now,
		maxStaleness: config.MaxStaleness(settings.Workers.CancelS, settings.Workers.LeaseS),
		leaseExpiry:  config.LeaseExpiry(settings.Workers.CancelS, settings.Workers.LeaseS),

		stateClient: client,
		stateWriter: store.NewWriter(client, settings.Store.TxnOps, settings.Store.WriteRPS, settings.Count, deps.jitter),
		peers:       peer.NewRegistry(peerNames(cfg.Peers)),

		objectiveSeconds: cfg.ObjectiveSeconds(),
		maxGroupTasks:    maxBindingsPerGroup(settings.Store.ValueKB),
		rollout:          newRolloutState(cfg, operator),
		schedulingPass:   1,
	}
	c.storeOutage = outage.NewMonitor(c.log, "key-value store", storeOutageGracePeriod)
	for _, t := range settings.Teams {
		c.getOrAddTeam(t.Name)
	}
	for n := range settings.Count {
		c.partitions = append(c.partitions, &partition{index: n, key: c.rollout.leaseKeys.Partition(n)})
	}
	c.partitions = append(c.partitions, &partition{index: settings.Count, key: c.leaderKey()})
	return c
}

// peerNames are the names of the other controllers.
func peerNames(peers []config.Peer) []string {
	var names []string
	for _, p := range peers {
		names = append(names, p.Name)
	}
	return names
}
