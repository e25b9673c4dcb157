package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// What happens: starts are refused as in_use, their attempts are lost and the tasks wait for
// another machine, after a machine has come to another partition.
// Why: tokens are revisions of one key-value store, so those of all partitions are in one order.
// A machine was taken to have shown a token of its owner if it showed one from the owner's first
// on, which another partition's may be as well. So a late copy of a heartbeat to the machine's
// former owner counted, and what has been on the machine since was not known.
// Shown by (seed 959): "first heartbeat of a machine" with token=95 of partition 2, where partition
// 3 had 4 first and 109 now; it was older by twelve heartbeats than the last one, and empty.
func TestHeartbeatWithAnotherPartitionsTokenIsNotUsable(t *testing.T) {
	const firstToken, raisedTo, foreignToken = 4, 109, 95
	for _, x := range []struct {
		name   string
		token  uint64
		usable bool
	}{
		{"a former owner's", firstToken - 1, false},
		{"the first", firstToken, true},
		{"another partition's", foreignToken, false},
		{"the present one", raisedTo, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTestController(t)
			p := c.partitions[0]
			c.takeOverPartition(p, firstToken)
			p.takeoverComplete = true
			c.now = c.now.Add(time.Second)
			c.TokenRaised(p.key, raisedTo)
			c.now = c.now.Add(time.Second)
			m := c.getOrAddMachine("host-1")
			heartbeat := &wire.Heartbeat{Machine: "host-1", Addr: "host-1:1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 32, Token: x.token}
			c.applyHeartbeat(m, heartbeat, p, workerRequest)
			if got := c.isUsable(m, p); got != x.usable {
				t.Errorf("usable: %v, want %v", got, x.usable)
			}
			if pinged := m.commandState.inFlight; pinged == x.usable {
				t.Errorf("pinged: %v, want it to be unless it is usable", pinged)
			}
		})
	}
}

// An owner that raises its token for days remembers the last of them.
func TestRecentTokensAreLimited(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	c.takeOverPartition(p, 1)
	const raises = 10 * maxRecentTokens
	for token := uint64(2); token <= raises; token++ {
		c.TokenRaised(p.key, token)
	}
	if len(p.recentTokens) > maxRecentTokens {
		t.Errorf("%d tokens are remembered, want %d at most", len(p.recentTokens), maxRecentTokens)
	}
	if !p.isOwnToken(raises) || !p.isOwnToken(raises-1) || p.isOwnToken(2) {
		t.Error("the newest tokens are not known, or the oldest still are")
	}
}
