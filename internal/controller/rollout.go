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

// rolloutState is what a controller knows of feature levels: the stored state, who reads what,
// and in which encodings records are stored. The decisions are in internal/rollout.
type rolloutState struct {
	supportedLevels rollout.Range
	state           rollout.State
	revision        uint64 // of the stored state; 0: none is stored
	// refusal is why this process must not serve; nil: it may.
	refusal          error
	leaseKeys        rollout.Keys // of the leases
	registrations    map[string]rollout.Registered
	groupsByEncoding map[record.Encoding]int // task groups by the encoding that they are stored in
	unreadableGroups map[string]bool         // keys of groups that can't be decoded
	stepInFlight     bool                    // the write of a step is under way
	rewriteLimiter   *rate.Limiter           // of groups that are rewritten for their encoding alone
}

func newRolloutState(cfg *config.Platform, op *config.Operator) rolloutState {
	s := &cfg.Settings
	perSecond := s.Store.WriteRPS * op.RewriteShare / float64(s.Count)
	supported := rollout.Supported
	if op.HighestLevel > 0 {
		supported.High = min(supported.High, rollout.Level(op.HighestLevel))
	}
	return rolloutState{
		supportedLevels:  supported,
		state:            rollout.Initial,
		leaseKeys:        rollout.Initial.Keys(),
		registrations:    map[string]rollout.Registered{},
		groupsByEncoding: map[record.Encoding]int{},
		unreadableGroups: map[string]bool{},
		rewriteLimiter:   rate.NewLimiter(rate.Limit(perSecond), 1),
	}
}

// leaderKey is the key of the leadership's lease.
func (c *clusterState) leaderKey() string { return c.rollout.leaseKeys.Leader() }

// leaderCondition has a write fail if this controller is not the leader any more.
func (c *leader) leaderCondition() wire.Condition {
	return wire.Condition{Key: c.leaderKey(), Revision: c.leadership.token}
}

// encoding is that in which task groups are written.
func (c *clusterState) writeEncoding() record.Encoding { return encodingAt(c.rollout.state.Writes()) }

// encodingAt is the encoding of task groups at a feature level.
func encodingAt(level rollout.Level) record.Encoding {
	if level >= rollout.ChecksumLevel {
		return record.Checksummed
	}
	return record.PlainJSON
}

// countGroupsToRewrite counts the task groups that are not stored in the encoding in which they are
// written.
func (s *rolloutState) countGroupsToRewrite() int {
	writeEncoding := encodingAt(s.state.Writes())
	n := 0
	for encoding, count := range s.groupsByEncoding {
		if encoding != writeEncoding {
			n += count
		}
	}
	return n
}

// countGroupsAboveWriteEncoding counts the task groups that are stored in an encoding above that in which they
// are written.
func (s *rolloutState) countGroupsAboveWriteEncoding() int {
	writeEncoding := encodingAt(s.state.Writes())
	n := 0
	for encoding, count := range s.groupsByEncoding {
		if encoding > writeEncoding {
			n += count
		}
	}
	return n
}

// putRolloutState takes the stored state in. One that can't be read was written by a version
// that knows more: this one must not serve.
func (a recordApplier) putRolloutState(raw json.RawMessage, revision uint64) error {
	state, err := rollout.DecodeState(raw)
	if err != nil {
		state = a.rollout.state
	}
	a.setRolloutState(state, revision, err)
	return nil
}

// setRolloutState follows a new state: leases are held under its keys, and by controllers alone
// that read what it allows to be stored. unknown is why it can't be read, if it can't.
func (c *controller) setRolloutState(state rollout.State, revision uint64, decodeErr error) {
	before := c.rollout.state
	c.rollout.state, c.rollout.revision = state, revision
	refusal := decodeErr
	if refusal == nil && !state.Admits(c.rollout.supportedLevels) {
		refusal = &unsupportedLevelError{level: state.Level, supported: c.rollout.supportedLevels}
	}
	c.setRefusal(refusal)
	if keys := state.Keys(); keys != c.rollout.leaseKeys {
		c.switchLeaseKeys(keys)
	}
	if before != state {
		c.log.Info("feature level", "level", state.Level, "phase", state.Phase, "epoch", state.Epoch, "held", state.Held, "wish", state.Request)
	}
}

// unsupportedLevelError tells that the feature level in force is none that this version reads.
type unsupportedLevelError struct {
	level     rollout.Level
	supported rollout.Range
}

func (e *unsupportedLevelError) Error() string {
	return fmt.Sprintf("feature level %d is in force, this version reads %s", e.level, e.supported)
}

// setRefusal notes why this process must not serve, or that it may, and has it resign from all
// leases if it must not.
func (c *controller) setRefusal(refusal error) {
	before := c.rollout.refusal
	c.rollout.refusal = refusal
	switch {
	case refusal != nil:
		if before == nil || before.Error() != refusal.Error() {
			c.log.Error("this controller must not serve", "why", refusal)
		}
		c.election.ResignAll()
	case before != nil:
		c.log.Info("this controller may serve again", "level", c.rollout.state.Level)
	}
}

// switchLeaseKeys resigns from all leases, whose keys nobody may hold any more, and has them
// acquired under other keys from now on.
func (c *controller) switchLeaseKeys(keys rollout.Keys) {
	c.election.SetKeys(leaseKeys(keys, c.loanPartition())) // under the former names this loses all
	c.rollout.leaseKeys = keys
	for _, p := range c.partitions {
		p.key = keys.Partition(p.index)
	}
	c.partitions[c.loanPartition()].key = keys.Leader()
}

// putRegistration takes in what a controller stores about itself.
func (a recordApplier) putRegistration(name string, raw json.RawMessage, revision uint64) error {
	registration, err := rollout.DecodeController(raw)
	if err != nil {
		delete(a.rollout.registrations, name) // unknown, as if it were not there
		return err
	}
	a.rollout.registrations[name] = rollout.Registered{Controller: registration, Revision: revision}
	return nil
}

// rolloutView is what the next step rests on.
func (c *controller) rolloutView() rollout.View {
	s := &c.rollout
	return rollout.View{
		Now:               c.now,
		Members:           c.cfg.Nodes(),
		Controllers:       s.registrations,
		Leading:           c.isLeader(),
		Current:           c.replica.Cursor() >= s.revision,
		RecordsAbove:      s.countGroupsAboveWriteEncoding(),
		UnreadableRecords: len(s.unreadableGroups),
		Partitions:        c.loanPartition(),
		MaxTxnChanges:     c.cfg.Settings.Store.TxnOps,
		FinalizeAfter:     c.operator.FinalizeAfter,
	}
}

// advanceRollout takes the next step of an upgrade or of the way back, if there is one.
func (c *controller) advanceRollout() {
	s := &c.rollout
	enabled := s.revision != 0 || c.operator.FeatureLevels
	if !enabled || s.stepInFlight || s.refusal != nil || !c.isFresh(c.operator.LeaseTTL) {
		return
	}
	view := c.rolloutView()
	step, next := rollout.Decide(s.state, view)
	if step == rollout.NoStep {
		return
	}
	txn := rollout.Txn(s.state, step, next, view, rollout.Revisions{State: s.revision, Leader: c.leadership.token})
	s.stepInFlight = true
	c.log.Info("feature level step", "step", step, "from", s.state.Level, "phase", s.state.Phase)
	write := &store.Write{Prompt: true, Contested: true, Conditions: txn.Conditions, Changes: txn.Changes}
	c.SubmitWrite(write, func(err error) {
		if err == nil {
			s.stepInFlight = false
			return
		}
		c.log.Info("feature level step failed", "step", step, "err", err)
		c.reader.AfterSuccessfulRead(func() { s.stepInFlight = false }) // perhaps it was applied all the same
	})
}

// rewriteGroups has task groups of a partition stored in the encoding that is written now, a
// few at a time: users' writes go before, and so does all that has a backlog.
func (c *partitionOwner) rewriteGroups(p *partition) {
	if c.rollout.countGroupsToRewrite() == 0 || c.stateWriter.Backlog() > maxRewriteBacklog {
		return
	}
	encoding := c.writeEncoding()
	for _, group := range p.groups {
		if group.encoding == encoding || group.writeInFlight || group.job.spec == nil || c.now.Before(group.retryWriteAt) {
			continue
		}
		if c.encodeGroup(group, group.doneTasks, group.bindings).Encoding() != encoding {
			continue // that encoding can't hold it
		}
		if !c.rollout.rewriteLimiter.AllowN(c.now, 1) {
			return
		}
		c.metrics.count(countRewrittenGroups, 1)
		update := c.planUpdate(p, group)
		c.writeUpdate(p, group, &update)
	}
}

// frameVersion is the version of frames for a peer: the checksummed one if it is active, and
// the process that the peer is now has said that it reads it.
func (c *controller) frameVersion(name string) peer.Version {
	registration, ok := c.rollout.registrations[name]
	if !ok || c.rollout.state.Active() < rollout.ChecksumLevel || registration.High < rollout.ChecksumLevel {
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

// refusal is the answer of a controller that must not serve; false: it may.
func (c *clusterState) refusalResponse() (api.Response, bool) {
	if c.rollout.refusal == nil {
		return api.Response{}, false
	}
	return frontend.Unavailable(c.rollout.refusal.Error()), true
}

// register keeps this controller's range of levels stored while the process lives.
func (c *controller) runRegistrar(ctx context.Context) {
	registration := rollout.Controller{Node: c.cfg.Name, ProcessID: c.processID, Build: Build, Range: c.rollout.supportedLevels}
	r := &rollout.Registrar{Store: c.stateClient, Controller: registration, TTL: registrationTTLFactor * c.operator.LeaseTTL, Log: c.log}
	if err := r.Run(ctx); err != nil && !errors.Is(err, ctx.Err()) {
		c.log.Error("registration ended", "err", err)
	}
}

// Build names the version of the program in what controllers store about themselves.
var Build = "unknown"

const (
	// registrationTTLFactor is how many times longer than a lease a registration outlives its
	// process: a slow controller should not look as if it had left.
	registrationTTLFactor = 3
	// maxRewriteBacklog is how much may wait to be stored while records are rewritten.
	maxRewriteBacklog = 500 * time.Millisecond
)

// logRollout adds the levels to the regular counters.
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
