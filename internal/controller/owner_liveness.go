package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/config"
)

const (
	// ownerStatusTimeout is how long after its last status an owner counts as responsive.
	ownerStatusTimeout = 3 * time.Second
	// ownerViewSettleTime is the time that an owner is given, in addition to two heartbeat
	// intervals, to receive heartbeats from all of its machines.
	ownerViewSettleTime = 12 * time.Second
)

// ownerLiveness records which controller owns a partition and for how long the leader has
// received its statuses without a gap.
type ownerLiveness struct {
	// node is the owner's name; "" if the partition has no owner.
	node string
	// responsiveSince is zero while the owner is not responsive.
	responsiveSince time.Time
}

// ownerOf returns the name of the controller that holds a leased key, or "" if none does.
func (c *clusterState) ownerOf(key string) string {
	holder, _ := c.election.Holder(key)
	return holder.Node
}

// updateOwnerLiveness records for each partition since when its owner has been responsive.
func (c *leader) updateOwnerLiveness() {
	if c.leadership.owners == nil {
		c.leadership.owners = make([]ownerLiveness, len(c.partitions))
	}
	for i, p := range c.partitions {
		liveness, owner := &c.leadership.owners[i], c.ownerOf(p.key)
		responsive := c.isOwnerResponsive(p, owner)
		if !responsive || liveness.node != owner {
			*liveness = ownerLiveness{node: owner}
		}
		if responsive && liveness.responsiveSince.IsZero() {
			liveness.responsiveSince = c.now
		}
	}
}

// isOwnerResponsive reports whether a recent status of a partition's owner lists the
// partition. A partition of this controller's own counts once its takeover is complete.
func (c *leader) isOwnerResponsive(p *partition, owner string) bool {
	if p.token != 0 {
		return p.takeoverComplete
	}
	ownerPeer := c.peers.Peer(owner)
	return ownerPeer != nil && ownerPeer.HasRecentStatus(ownerStatusTimeout, c.now) && slices.Contains(ownerPeer.Status.Partitions, uint64(p.index))
}

// isOwnerViewComplete reports whether a partition's owner has been responsive for so long
// that every live machine of the partition must have sent it a heartbeat.
func (c *leader) isOwnerViewComplete(partition int) bool {
	since := c.leadership.owners[partition].responsiveSince
	if since.IsZero() {
		return false
	}
	if c.heartbeatsResumedAt.After(since) {
		since = c.heartbeatsResumedAt // no heartbeat was accepted before that
	}
	return c.now.Sub(since) > 2*config.Seconds(c.cfg.Settings.Workers.HeartbeatIntervalS)+ownerViewSettleTime
}

// allOwnersResponsive reports whether the owners of all partitions are responsive.
func (c *leader) allOwnersResponsive() bool {
	for i := range c.partitions {
		if c.leadership.owners[i].responsiveSince.IsZero() {
			return false
		}
	}
	return true
}
