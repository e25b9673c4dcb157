package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// Tokens of all partitions are revisions of one key-value store, so a token of another partition
// may lie between the first and the current token of a machine's owner. Such a token counted as
// the owner's after the machine had changed partitions. A late copy of a heartbeat to the former
// owner was then accepted, and the tasks started on the machine since were unknown: starts were
// refused as in_use and their tasks had to wait for another machine. Seen with seed 959: token 95
// of partition 2 in partition 3, whose tokens were 4 to 109.
func TestHeartbeatWithAnotherPartitionsTokenIsNotUsable(t *testing.T) {
	const firstToken, raisedTo, foreignToken = 4, 109, 95
	for _, row := range []struct {
		name   string
		token  uint64
		usable bool
	}{
		{"token of a former owner", firstToken - 1, false},
		{"first token of this owner", firstToken, true},
		{"token of another partition", foreignToken, false},
		{"current token", raisedTo, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newTestController(t)
			p := c.partitions[0]
			c.takeOverPartition(p, firstToken)
			p.takeoverComplete = true
			c.now = c.now.Add(time.Second)
			c.TokenRaised(p.key, raisedTo)
			c.now = c.now.Add(time.Second)
			m := c.getOrAddMachine("host-1")
			heartbeat := &wire.Heartbeat{Machine: "host-1", Addr: "host-1:1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 32, FencingToken: row.token}
			c.applyHeartbeat(m, heartbeat, p, workerRequest)
			if got := c.isUsable(m, p); got != row.usable {
				t.Errorf("machine is usable: %v, want %v", got, row.usable)
			}
			if pinged := m.commandState.inFlight; pinged == row.usable {
				t.Errorf("machine is pinged: %v, want a ping only if it is not usable", pinged)
			}
		})
	}
}

// The list of an owner's recent tokens must not grow without limit while the owner keeps raising
// its token.
func TestRecentTokensAreLimited(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	c.takeOverPartition(p, 1)
	const raises = 10 * maxRecentTokens
	for token := uint64(2); token <= raises; token++ {
		c.TokenRaised(p.key, token)
	}
	if len(p.recentTokens) > maxRecentTokens {
		t.Errorf("%d recent tokens are kept, want at most %d", len(p.recentTokens), maxRecentTokens)
	}
	if !p.isOwnToken(raises) || !p.isOwnToken(raises-1) || p.isOwnToken(2) {
		t.Error("the two newest tokens are not own tokens, or an old one still is")
	}
}
