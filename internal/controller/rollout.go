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
// and in which forms records are stored. The decisions are in internal/rollout.
type rolloutState struct {
	supported rollout.Range
	state     rollout.State
	version   uint64 // of the stored state; 0: none is stored
	// refusal is why this process must not serve; nil: it may.
	refusal          error
	keys             rollout.Keys // of the rights
	controllers      map[string]rollout.Registered
	groupsByEncoding map[record.Encoding]int // records by the form they are stored in
	unreadable       map[string]bool         // keys of groups that can't be decoded
	writing          bool                    // a step is on its way
	rewrites         *rate.Limiter           // of records that are rewritten for their form alone
}

func newRolloutState(cfg *config.Platform, op *config.Operator) rolloutState {
	s := &cfg.Settings
	perSecond := s.Store.WriteRPS * op.RewriteShare / float64(s.Count)
	supported := rollout.Supported
	if op.HighestLevel > 0 {
		supported.High = min(supported.High, rollout.Level(op.HighestLevel))
	}
	return rolloutState{supported: supported, state: rollout.Initial, keys: rollout.Initial.Keys(),
		controllers: map[string]rollout.Registered{}, groupsByEncoding: map[record.Encoding]int{}, unreadable: map[string]bool{},
		rewrites: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// leaderKey is the key of the lead.
func (c *clusterState) leaderKey() string { return c.rollout.keys.Leader() }

// leaderCondition has a write fail if this controller does not lead any more.
func (c *leader) leaderCondition() wire.Condition {
	return wire.Condition{Key: c.leaderKey(), Revision: c.leadership.token}
}

// encoding is the form in which records are written.
func (c *clusterState) encoding() record.Encoding { return encodingOf(c.rollout.state.Writes()) }

// encodingOf is the form of records at a feature level.
func encodingOf(l rollout.Level) record.Encoding {
	if l >= rollout.ChecksumLevel {
		return record.Checksummed
	}
	return record.PlainJSON
}

// countOutdated counts the records that are not stored in the form in which they are written.
func (l *rolloutState) countOutdated() int {
	n := 0
	for form, count := range l.groupsByEncoding {
		if form != encodingOf(l.state.Writes()) {
			n += count
		}
	}
	return n
}

// countNewer counts the records that are stored in a form above that in which they are written.
func (l *rolloutState) countNewer() int {
	n := 0
	for form, count := range l.groupsByEncoding {
		if form > encodingOf(l.state.Writes()) {
			n += count
		}
	}
	return n
}

// putRolloutState takes the stored state in. One that can't be read was written by a version
// that knows more: this one must not serve.
func (c *controller) putRolloutState(raw json.RawMessage, stamp uint64) error {
	state, err := rollout.DecodeState(raw)
	if err != nil {
		state = c.rollout.state
	}
	c.setRolloutState(state, stamp, err)
	return nil
}

// setRolloutState follows a new state: rights are held under its keys, and by controllers alone
// that read what it allows to be stored.
func (c *controller) setRolloutState(state rollout.State, version uint64, unknown error) {
	l := &c.rollout
	before := l.state
	l.state, l.version = state, version
	refusal := unknown
	if refusal == nil && !state.Admits(l.supported) {
		refusal = fmt.Errorf("feature level %d is in force, this version reads %s", state.Level, l.supported)
	}
	if refusal != nil && (l.refusal == nil || l.refusal.Error() != refusal.Error()) {
		c.log.Error("this controller must not serve", "why", refusal)
	}
	if refusal == nil && l.refusal != nil {
		c.log.Info("this controller may serve again", "level", state.Level)
	}
	l.refusal = refusal
	if refusal != nil {
		c.election.ResignAll()
	}
	if keys := state.Keys(); keys != l.keys {
		c.switchLeaseKeys(keys)
	}
	if before != state {
		c.log.Info("feature level", "level", state.Level, "phase", state.Phase, "epoch", state.Epoch, "held", state.Held, "wish", state.Request)
	}
}

// switchLeaseKeys gives all rights up, whose keys nobody may hold any more, and has them taken
// under other keys from now on.
func (c *controller) switchLeaseKeys(keys rollout.Keys) {
	c.election.SetKeys(leaseKeys(keys, c.loanPartition())) // under the former names this loses all
	c.rollout.keys = keys
	for _, p := range c.partitions {
		p.key = keys.Partition(p.index)
	}
	c.partitions[c.loanPartition()].key = keys.Leader()
}

// putRegistration takes in what a controller stores about itself.
func (c *controller) putRegistration(name string, raw json.RawMessage, stamp uint64) error {
	registration, err := rollout.DecodeController(raw)
	if err != nil {
		delete(c.rollout.controllers, name) // unknown, as if it were not there
		return err
	}
	c.rollout.controllers[name] = rollout.Registered{Controller: registration, Revision: stamp}
	return nil
}

// rolloutView is what the next step rests on.
func (c *controller) rolloutView() rollout.View {
	l := &c.rollout
	return rollout.View{Now: c.now, Members: c.cfg.Nodes(), Controllers: l.controllers, Leading: c.isLeader(), Current: c.replica.Cursor() >= l.version,
		RecordsAbove: l.countNewer(), UnreadableRecords: len(l.unreadable), Partitions: c.loanPartition(), MaxTxnChanges: c.cfg.Settings.Store.TxnOps,
		FinalizeAfter: c.operator.FinalizeAfter}
}

// advanceRollout takes the next step of an upgrade or of the way back, if there is one.
func (c *controller) advanceRollout() {
	l := &c.rollout
	if l.writing || l.version == 0 && !c.operator.FeatureLevels || l.refusal != nil || !c.isFresh(c.operator.LeaseTTL) {
		return
	}
	view := c.rolloutView()
	step, next := rollout.Decide(l.state, view)
	if step == rollout.NoStep {
		return
	}
	txn := rollout.Txn(l.state, step, next, view, rollout.Revisions{State: l.version, Leader: c.leadership.token})
	l.writing = true
	c.log.Info("feature level step", "step", step, "from", l.state.Level, "phase", l.state.Phase)
	c.SubmitWrite(&store.Write{Prompt: true, Contested: true, Conditions: txn.Conditions, Changes: txn.Changes}, func(err error) {
		if err == nil {
			l.writing = false
			return
		}
		c.log.Info("feature level step failed", "step", step, "err", err)
		c.reader.AfterSuccessfulRead(func() { l.writing = false }) // perhaps it was applied all the same
	})
}

// rewriteGroups has records of a partition stored in the form that is written now, a
// few at a time: users' writes go before, and so does all that has a backlog.
func (c *partitionOwner) rewriteGroups(p *partition) {
	if c.rollout.countOutdated() == 0 || c.stateWriter.Backlog() > rewriteBacklog {
		return
	}
	form := c.encoding()
	for _, group := range p.groups {
		if group.encoding == form || group.writing || group.job.spec == nil || c.now.Before(group.retryWriteAt) {
			continue
		}
		if group.record(group.done, group.bindings).Encode(form).Encoding() != form {
			continue // the form can't hold it
		}
		if !c.rollout.rewrites.AllowN(c.now, 1) {
			return
		}
		c.metrics.count(countRewritten, 1)
		update := c.planUpdate(p, group)
		c.writeUpdate(p, group, &update)
	}
}

// frameVersion is the version of frames for a sibling: the checked one if it is active,
// and the process that the sibling is now has said that it reads it.
func (c *controller) frameVersion(name string) peer.Version {
	registration, ok := c.rollout.controllers[name]
	if !ok || c.rollout.state.Active() < rollout.ChecksumLevel || registration.High < rollout.ChecksumLevel {
		return peer.PlainFrame
	}
	if p := c.peers.Peer(name); p.Status != nil && p.Status.ProcessID != registration.ProcessID {
		return peer.PlainFrame
	}
	return peer.ChecksummedFrame
}

// broadcastStatus sends this controller's status to all siblings.
func (c *controller) broadcastStatus() {
	status := c.peerStatus()
	frames := map[peer.Version][]byte{}
	for _, sibling := range c.cfg.Peers {
		version := c.frameVersion(sibling.Name)
		if frames[version] == nil {
			frames[version] = peer.AppendStatus(nil, status, version)
		}
		c.send(sibling.Name, frames[version])
	}
}

// refusal is the answer of a controller that must not serve; false: it may.
func (c *clusterState) refusal() (api.Response, bool) {
	if c.rollout.refusal == nil {
		return api.Response{}, false
	}
	return frontend.Unavailable(c.rollout.refusal.Error()), true
}

// register keeps this controller's range of levels stored while the process lives.
func (c *controller) register(ctx context.Context) {
	registration := rollout.Controller{Node: c.cfg.Name, ProcessID: c.processID, Build: Build, Range: c.rollout.supported}
	r := &rollout.Registrar{Store: c.stateClient, Controller: registration, TTL: registrationTTLs * c.operator.LeaseTTL, Log: c.log}
	if err := r.Run(ctx); err != nil && !errors.Is(err, ctx.Err()) {
		c.log.Error("registration ended", "err", err)
	}
}

// Build names the version of the program in what controllers store about themselves.
var Build = "unknown"

const (
	// registrationTTLs is how many times longer than a right a registration outlives its
	// process: a slow controller should not look as if it had left.
	registrationTTLs = 3
	// rewriteBacklog is how much may wait to be stored while records are rewritten.
	rewriteBacklog = 500 * time.Millisecond
)

// logRollout adds the levels to the regular counters.
func (c *controller) logRollout(log *slog.Logger) {
	l := &c.rollout
	if l.version == 0 {
		return
	}
	log.Info("levels", "level", l.state.Level, "phase", l.state.Phase, "plain_records", l.groupsByEncoding[record.PlainJSON],
		"checked_records", l.groupsByEncoding[record.Checksummed], "unreadable_records", len(l.unreadable), "controllers", len(l.controllers))
}
