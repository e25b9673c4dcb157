package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/config"
)

const (
	// ownerStatusTimeout is how long after its last status an owner counts as in touch.
	ownerStatusTimeout = 3 * time.Second
	// ownerViewSettleTime is what an owner is given, besides two heartbeats, to hear all of its
	// machines.
	ownerViewSettleTime = 12 * time.Second
)

// ownerLiveness is a partition's owner, and since when it has been in touch with the leader
// without a gap; zero if it is not.
type ownerLiveness struct {
	node            string
	responsiveSince time.Time
}

// ownerOf is the controller that holds a leased key; "" if nobody does.
func (c *clusterState) ownerOf(key string) string {
	holder, _ := c.election.Holder(key)
	return holder.Node
}

// updateOwnerLiveness notes for each partition since when its owner has been in touch.
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

// isOwnerResponsive tells whether a partition's owner says, and lately, that it owns it.
func (c *leader) isOwnerResponsive(p *partition, owner string) bool {
	if p.token != 0 {
		return p.takeoverComplete
	}
	ownerPeer := c.peers.Peer(owner)
	return ownerPeer != nil && ownerPeer.Heard(ownerStatusTimeout, c.now) && slices.Contains(ownerPeer.Status.Partitions, uint64(p.index))
}

// isOwnerViewComplete tells whether a partition has had an owner in touch with the leader for
// long enough that all machines of it must have sent heartbeats.
func (c *leader) isOwnerViewComplete(partition int) bool {
	since := c.leadership.owners[partition].responsiveSince
	if since.IsZero() {
		return false
	}
	if c.heartbeatsResumedAt.After(since) {
		since = c.heartbeatsResumedAt // before that no machine could be heard
	}
	return c.now.Sub(since) > 2*config.Seconds(c.cfg.Settings.Workers.ReportS)+ownerViewSettleTime
}

// allOwnersResponsive tells whether every partition's owner is in touch.
func (c *leader) allOwnersResponsive() bool {
	for i := range c.partitions {
		if c.leadership.owners[i].responsiveSince.IsZero() {
			return false
		}
	}
	return true
}
