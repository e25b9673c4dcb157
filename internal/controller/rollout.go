package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"eiderhitch/internal/api"
	"eiderhitch/internal/config"
	"eiderhitch/internal/frontend"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// rolloutState holds what a controller knows about feature levels: the stored state, the levels
// that each controller reads, and the encodings in which records are stored. The decisions are
// made in package rollout.
type rolloutState struct {
	// supportedLevels is the range of levels that this process reads.
	supportedLevels rollout.LevelRange
	// state is the last stored state that could be decoded, and revision is the revision of the
	// stored value. If none is stored, they are rollout.InitialState and 0.
	state    rollout.State
	revision uint64
	// servingError is the reason why this process must not serve, or nil if it may.
	servingError error
	// leaseKeys are the keys under which leases are currently acquired.
	leaseKeys rollout.LeaseKeys
	// registrations holds the registered controllers by name.
	registrations map[string]rollout.StoredRegistration
	// groupsByEncoding is the number of task groups stored in each encoding.
	groupsByEncoding map[record.Encoding]int
	// unreadableGroups holds the keys of the task groups that can't be decoded.
	unreadableGroups map[string]bool
	// stepInFlight is set while the result of this controller's last step is unknown.
	stepInFlight bool
	// rewriteLimiter limits the rate at which task groups are rewritten only to change their
	// encoding.
	rewriteLimiter *rate.Limiter
}

// newRolloutState returns the state of a cluster for which no rollout state is stored. The limits
// of the levels and of the rewrite rate are taken from the settings.
func newRolloutState(cfg *config.PlatformSettings, op *config.OperatorSettings) rolloutState {
	s := &cfg.Settings
	perSecond := s.Store.WriteRPS * op.RewriteShare / float64(s.ControllerCount)
	supported := rollout.SupportedLevels
	if op.MaxFeatureLevel > 0 {
		supported.High = min(supported.High, rollout.Level(op.MaxFeatureLevel))
	}
	return rolloutState{
		supportedLevels:  supported,
		state:            rollout.InitialState,
		leaseKeys:        rollout.InitialState.LeaseKeys(),
		registrations:    map[string]rollout.StoredRegistration{},
		groupsByEncoding: map[record.Encoding]int{},
		unreadableGroups: map[string]bool{},
		rewriteLimiter:   rate.NewLimiter(rate.Limit(perSecond), 1),
	}
}

// leaderKey returns the key of the leader's lease.
func (c *clusterState) leaderKey() string { return c.rollout.leaseKeys.Leader() }

// leaderCondition returns a condition that makes a write fail once this controller is no longer
// the leader.
func (c *leader) leaderCondition() wire.Condition {
	return wire.Condition{Key: c.leaderKey(), Revision: c.leadership.token}
}

// writeEncoding returns the encoding in which task groups are currently written.
func (c *clusterState) writeEncoding() record.Encoding {
	return encodingAt(c.rollout.state.WriteLevel())
}

// encodingAt returns the encoding of task groups at a feature level.
func encodingAt(level rollout.Level) record.Encoding {
	if level >= rollout.ChecksumLevel {
		return record.Checksummed
	}
	return record.PlainJSON
}

// countGroupsToRewrite returns the number of task groups whose stored encoding differs from the
// one in which they are currently written.
func (s *rolloutState) countGroupsToRewrite() int {
	writeEncoding := encodingAt(s.state.WriteLevel())
	n := 0
	for encoding, count := range s.groupsByEncoding {
		if encoding != writeEncoding {
			n += count
		}
	}
	return n
}

// countGroupsAboveWriteEncoding returns the number of task groups whose stored encoding is newer
// than the one in which they are currently written.
func (s *rolloutState) countGroupsAboveWriteEncoding() int {
	writeEncoding := encodingAt(s.state.WriteLevel())
	n := 0
	for encoding, count := range s.groupsByEncoding {
		if encoding > writeEncoding {
			n += count
		}
	}
	return n
}

// putRolloutState applies the stored rollout state. A state that can't be decoded was written by a
// newer version; this process must then not serve.
func (a recordApplier) putRolloutState(raw json.RawMessage, revision uint64) error {
	state, err := rollout.DecodeState(raw)
	if err != nil {
		state = a.rollout.state
	}
	a.setRolloutState(state, revision, err)
	return nil
}

// setRolloutState adopts a rollout state. Leases are held under the keys of the state, and only by
// controllers that read all encodings that it allows to be stored. decodeErr is the reason why
// the stored state could not be decoded, or nil if it could.
func (c *controller) setRolloutState(state rollout.State, revision uint64, decodeErr error) {
	before := c.rollout.state
	c.rollout.state, c.rollout.revision = state, revision
	servingError := decodeErr
	if servingError == nil && !state.Admits(c.rollout.supportedLevels) {
		servingError = &unsupportedLevelError{level: state.Level, supported: c.rollout.supportedLevels}
	}
	c.setServingError(servingError)
	if keys := state.LeaseKeys(); keys != c.rollout.leaseKeys {
		c.switchLeaseKeys(keys)
	}
	if before != state {
		c.log.Info("feature level state changed", "level", state.Level, "phase", state.Phase, "epoch", state.Epoch, "held", state.OnHold, "wish", state.Request)
	}
}

// unsupportedLevelError means that this process does not read the feature level in force.
type unsupportedLevelError struct {
	level     rollout.Level
	supported rollout.LevelRange
}

func (e *unsupportedLevelError) Error() string {
	return fmt.Sprintf("feature level %d is in force, this version reads %s", e.level, e.supported)
}

// setServingError sets the reason why this process must not serve, or nil if it may. A process
// that must not serve gives up all its leases.
func (c *controller) setServingError(servingError error) {
	before := c.rollout.servingError
	c.rollout.servingError = servingError
	switch {
	case servingError != nil:
		if before == nil || before.Error() != servingError.Error() {
			c.log.Error("this controller must not serve", "why", servingError)
		}
		c.election.ResignAll()
	case before != nil:
		c.log.Info("this controller may serve again", "level", c.rollout.state.Level)
	}
}

// switchLeaseKeys gives up all leases under the current keys, which no controller may hold any
// longer, and makes this controller acquire its leases under the given keys from now on.
func (c *controller) switchLeaseKeys(keys rollout.LeaseKeys) {
	c.election.SetKeys(leaseKeys(keys, c.loanPartition())) // gives up the leases under the old keys
	c.rollout.leaseKeys = keys
	for _, p := range c.partitions {
		p.key = keys.Partition(p.index)
	}
	c.partitions[c.loanPartition()].key = keys.Leader()
}

// putRegistration applies the stored registration of a controller. A controller whose registration
// can't be decoded counts as not registered.
func (a recordApplier) putRegistration(name string, raw json.RawMessage, revision uint64) error {
	registration, err := rollout.DecodeRegistration(raw)
	if err != nil {
		delete(a.rollout.registrations, name)
		return err
	}
	a.rollout.registrations[name] = rollout.StoredRegistration{Registration: registration, Revision: revision}
	return nil
}

// rolloutView returns the information on which the decision about the next step is based.
func (c *controller) rolloutView() rollout.ClusterView {
	s := &c.rollout
	return rollout.ClusterView{
		Now:                   c.now,
		Members:               c.cfg.ControllerNames(),
		Registrations:         s.registrations,
		IsLeader:              c.isLeader(),
		IsUpToDate:            c.replica.Cursor() >= s.revision,
		NewerRecords:          s.countGroupsAboveWriteEncoding(),
		UnreadableRecords:     len(s.unreadableGroups),
		PartitionCount:        c.loanPartition(),
		MaxTransactionChanges: c.cfg.Settings.Store.TxnOps,
		FinalizeAfter:         c.operator.FinalizeDelay,
	}
}

// advanceRollout writes the next step of an upgrade or a revert if there is one. It takes no step
// unless feature levels are enabled or a rollout state is stored, the replica is fresh, this
// process may serve, and the result of its previous step is known.
func (c *controller) advanceRollout() {
	s := &c.rollout
	enabled := s.revision != 0 || c.operator.EnableFeatureLevels
	if !enabled || s.stepInFlight || s.servingError != nil || !c.isFresh(c.operator.LeaseTTL) {
		return
	}
	view := c.rolloutView()
	step, next := rollout.Decide(s.state, view)
	if step == rollout.NoStep {
		return
	}
	txn := rollout.NewStepTxn(s.state, step, next, view, rollout.Revisions{State: s.revision, Leader: c.leadership.token})
	s.stepInFlight = true
	c.log.Info("feature level step", "step", step, "from", s.state.Level, "phase", s.state.Phase)
	write := &store.Write{HighPriority: true, ConflictProne: true, Conditions: txn.Conditions, Changes: txn.Changes}
	c.SubmitWrite(write, func(err error) {
		if err == nil {
			s.stepInFlight = false
			return
		}
		c.log.Info("feature level step failed", "step", step, "err", err)
		c.reader.AfterSuccessfulRead(func() { s.stepInFlight = false }) // the write may have been applied despite the error
	})
}

// rewriteGroups rewrites task groups of a partition that are stored in another encoding than the
// one currently written. The rate is limited, and nothing is rewritten while the write backlog is
// above maxRewriteBacklog, so that users' writes and other work are not delayed.
func (c *partitionOwner) rewriteGroups(p *partition) {
	if c.rollout.countGroupsToRewrite() == 0 || c.storeWriter.BacklogDuration() > maxRewriteBacklog {
		return
	}
	encoding := c.writeEncoding()
	for _, group := range p.groups {
		if group.encoding == encoding || group.writeInFlight || group.job.spec == nil || c.now.Before(group.retryWriteAt) {
			continue
		}
		if c.encodeGroup(group, group.doneTasks, group.bindings).Encoding() != encoding {
			continue // the encoding can't represent this group
		}
		if !c.rollout.rewriteLimiter.AllowN(c.now, 1) {
			return
		}
		c.metrics.count(countRewrittenGroups, 1)
		update := c.planUpdate(p, group)
		c.writeUpdate(p, group, &update)
	}
}

// frameVersion returns the version of the status frames for a peer. It is the checksummed version
// if its level is active and the peer's current process has registered that it reads that level,
// and the plain version otherwise.
func (c *controller) frameVersion(name string) peer.Version {
	registration, ok := c.rollout.registrations[name]
	if !ok || c.rollout.state.ActiveLevel() < rollout.ChecksumLevel || registration.High < rollout.ChecksumLevel {
		return peer.PlainFrame
	}
	if p := c.peers.Peer(name); p.Status != nil && p.Status.ProcessID != registration.ProcessID {
		return peer.PlainFrame
	}
	return peer.ChecksummedFrame
}

// broadcastStatus sends this controller's status to all peers.
func (c *controller) broadcastStatus() {
	status := c.buildPeerStatus()
	frames := map[peer.Version][]byte{}
	for _, p := range c.cfg.Peers {
		version := c.frameVersion(p.Name)
		if frames[version] == nil {
			frames[version] = peer.AppendStatus(nil, status, version)
		}
		c.sendFrame(p.Name, frames[version])
	}
}

// servingErrorResponse returns the response to requests while this controller must not serve, and
// true. It returns false if this controller may serve.
func (c *clusterState) servingErrorResponse() (api.Response, bool) {
	if c.rollout.servingError == nil {
		return api.Response{}, false
	}
	return frontend.UnavailableResponse(c.rollout.servingError.Error()), true
}

// runRegistrar keeps the range of levels that this controller reads registered until ctx ends.
func (c *controller) runRegistrar(ctx context.Context) {
	registration := rollout.Registration{Node: c.cfg.Name, ProcessID: c.processID, Build: Build, LevelRange: c.rollout.supportedLevels}
	r := &rollout.Registrar{Store: c.storeClient, Registration: registration, TTL: registrationTTLFactor * c.operator.LeaseTTL, Log: c.log}
	if err := r.Run(ctx); err != nil && !errors.Is(err, ctx.Err()) {
		c.log.Error("registration ended", "err", err)
	}
}

// Build is the version of the program that controllers store in their registration.
var Build = "unknown"

const (
	// registrationTTLFactor is the lifetime of a registration as a multiple of the lifetime of
	// a lease. It is longer, so that a slow controller does not appear to have left the cluster.
	registrationTTLFactor = 3
	// maxRewriteBacklog is the write backlog above which no task groups are rewritten.
	maxRewriteBacklog = 500 * time.Millisecond
)

// logRollout logs the feature level and the encodings of the stored records, unless no rollout
// state is stored.
func (c *controller) logRollout(log *slog.Logger) {
	s := &c.rollout
	if s.revision == 0 {
		return
	}
	log.Info("levels", "level", s.state.Level, "phase", s.state.Phase,
		"plain_records", s.groupsByEncoding[record.PlainJSON],
		"checked_records", s.groupsByEncoding[record.Checksummed],
		"unreadable_records", len(s.unreadableGroups),
		"controllers", len(s.registrations))
}
