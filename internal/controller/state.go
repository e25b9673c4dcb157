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

// clusterState is the state that all components of a controller read: the settings, the time of
// the current event, the stored records with their indexes, and the machines. It is updated
// from the stored records (package replica), workers' heartbeats, peers and the cloud, and
// makes no decisions.
type clusterState struct {
	*eventLoop
	*catalog
	*machineRegistry
	*cellRegistry

	cfg       *config.PlatformSettings
	operator  *config.OperatorSettings
	log       *slog.Logger
	metrics   *metrics
	processID string
	startedAt time.Time
	// maxStaleness is how long after the start of the last successful read heartbeats may be
	// answered (config.MaxStaleness). leaseExpiry is the time after the last answer from which
	// a worker's lease has certainly expired (config.LeaseExpiry).
	maxStaleness time.Duration
	leaseExpiry  time.Duration

	storeClient *store.Client
	storeWriter *store.Writer
	replica     *replica.Replica
	reader      *replica.Reader
	storeOutage *outage.Monitor
	election    *election.Elector
	peers       *peer.Registry
	autoscaler  *autoscaler.Autoscaler

	// objectiveSeconds is the time in seconds within which the jobs of a class should be done,
	// by class.
	objectiveSeconds map[string]float64
	maxGroupTasks    int
	reconcileRecords machineRecords // reused by each call of reconcileView
	rollout          rolloutState

	// schedulingPass is the number of the current scheduling pass.
	schedulingPass uint64

	lastHeartbeatAt time.Time // from any worker
	// acceptsHeartbeats is set while the replica is fresh enough to answer heartbeats
	// (maxStaleness). heartbeatsResumedAt is the time at which they were last accepted again
	// after an outage; before it, no heartbeat could be received. It is zero if there was no
	// outage since the first heartbeat.
	acceptsHeartbeats   bool
	heartbeatsResumedAt time.Time
}

// newClusterState returns the state of a controller before it has read any record.
func newClusterState(ctx context.Context, cfg *config.PlatformSettings, operator *config.OperatorSettings, log *slog.Logger, deps dependencies) *clusterState {
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
		maxStaleness: config.MaxStaleness(settings.Workers.CancelDeadlineS, settings.Workers.LeaseDurationS),
		leaseExpiry:  config.LeaseExpiry(settings.Workers.CancelDeadlineS, settings.Workers.LeaseDurationS),

		storeClient: client,
		storeWriter: store.NewWriter(client, settings.Store.TxnOps, settings.Store.WriteRPS, settings.ControllerCount, deps.jitter),
		peers:       peer.NewRegistry(peerNames(cfg.Peers)),

		objectiveSeconds: cfg.CompletionObjectiveSeconds(),
		maxGroupTasks:    maxBindingsPerGroup(settings.Store.ValueKB),
		rollout:          newRolloutState(cfg, operator),
		schedulingPass:   1,
	}
	c.storeOutage = outage.NewMonitor(c.log, "key-value store", storeOutageGracePeriod)
	for _, t := range settings.Teams {
		c.getOrAddTeam(t.Name)
	}
	for n := range settings.ControllerCount {
		c.partitions = append(c.partitions, &partition{index: n, key: c.rollout.leaseKeys.Partition(n)})
	}
	c.partitions = append(c.partitions, &partition{index: settings.ControllerCount, key: c.leaderKey()})
	return c
}

// peerNames returns the names of the other controllers.
func peerNames(peers []config.Peer) []string {
	var names []string
	for _, p := range peers {
		names = append(names, p.Name)
	}
	return names
}
