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
	const firstToken, raisedTo, foreignToken, returnedAt = 4, 109, 95, 96
	for _, row := range []struct {
		name           string
		token          uint64
		partitionSince uint64 // revision at which the machine came back from another partition; 0: it never left
		usable         bool
	}{
		{"token of a former owner", firstToken - 1, 0, false},
		{"first token of this owner", firstToken, 0, true},
		{"first token, from before the machine left", firstToken, returnedAt, false},
		{"token of another partition", foreignToken, returnedAt, false},
		{"lowest token since the machine came back", returnedAt, returnedAt, true},
		{"current token", raisedTo, returnedAt, true},
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
			m.partitionSince = row.partitionSince
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

// A machine that shows a higher token than the owner has sent it has been contacted by a later
// owner, unless the replica shows that this controller still owned the machine at that revision.
// Then the token is that of a former owner, and the commands get a higher one without a write.
func TestTokenOfLaterOwnerIsNotCovered(t *testing.T) {
	const partitionToken, cursor = 10, 50
	for _, row := range []struct {
		name           string
		seen           uint64
		partitionSince uint64
		covered        bool
		commandToken   uint64
	}{
		{"own token", partitionToken, 0, true, partitionToken},
		{"token of a former owner, before the machine came back", 30, 40, true, cursor},
		{"machine came back, and has seen a lower token", 5, 40, true, cursor},
		{"machine came back at a revision that is not known completely", 5, cursor + 1, true, partitionToken},
		{"the same, and it has seen a higher token", 30, cursor + 1, false, partitionToken},
		{"token of a later owner", cursor + 1, 0, false, partitionToken},
		{"revision of the cursor, which may be a later owner's key", cursor, 0, false, partitionToken},
	} {
		c := newTestController(t)
		c.replica.Load(nil, cursor, &wire.WatchResponse{})
		p := c.partitions[0]
		p.token, p.firstToken = partitionToken, partitionToken
		m := c.getOrAddMachine("host-1")
		m.partitionSince = row.partitionSince
		if got := c.coversToken(m, p, row.seen); got != row.covered || p.commandToken(m) != row.commandToken {
			t.Errorf("%s: covered: %v, token of commands %d; want %v, %d", row.name, got, p.commandToken(m), row.covered, row.commandToken)
		}
	}
}
