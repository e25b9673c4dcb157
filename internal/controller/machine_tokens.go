package controller

// This file chooses the fencing tokens of the commands to each machine.
//
// Commands carry the token of the machine's partition, the revision of its leased key, until a
// higher one is needed for one machine. That is the case when a worker is told to forget an
// attempt: the network may repeat the direct request that started the attempt, minutes later and
// unchanged, and the worker would run the attempt again unless it has seen a higher token.
//
// The higher token is the replica's cursor, and needs no write. At that revision this controller
// held the partition's key and the machine belonged to the partition. The revisions of a later
// owner's key and of a later change of partitions are higher, so every later owner's tokens are
// higher too, also those of a version that uses only the revisions of keys.

// commandToken returns the token for commands to a machine of a partition that this controller
// owns. It never falls while the controller owns the partition.
func (p *partition) commandToken(m *machine) uint64 { return max(p.token, m.raisedToken) }

// isOwnToken reports whether a token that a machine has seen was issued by this controller as the
// current owner of the partition and the machine. If it is the highest token that the machine has
// seen, the machine has received a message under this ownership and refuses the commands of all
// former owners. Tokens are revisions of one key-value store, so the tokens of the partition that
// the machine was in before may be higher than this partition's first one.
func (p *partition) isOwnToken(m *machine, token uint64) bool {
	return token >= max(p.firstToken, m.partitionSince)
}

// canRaiseCommandToken reports whether the token for commands to a machine is higher than the given
// one or can be raised above it.
func (c *clusterState) canRaiseCommandToken(m *machine, p *partition, above uint64) bool {
	cursor := c.replica.Cursor()
	return p.commandToken(m) > above || cursor > above && cursor >= m.partitionSince
}

// raiseCommandToken makes the token for commands to a machine higher than the given one. It
// reports false if that is not possible before the replica has read further changes.
func (c *clusterState) raiseCommandToken(m *machine, p *partition, above uint64) bool {
	if !c.canRaiseCommandToken(m, p, above) {
		return false
	}
	if p.commandToken(m) <= above {
		m.raisedToken = c.replica.Cursor()
		c.log.Debug("fencing token of a machine raised", "machine", m.name, "token", m.raisedToken)
	}
	return true
}

// coversToken reports whether the commands to a machine carry at least the highest token that the
// machine has seen, raising them if necessary. Otherwise a later owner has contacted the machine.
func (c *clusterState) coversToken(m *machine, p *partition, seen uint64) bool {
	if p.commandToken(m) < m.partitionSince {
		c.raiseCommandToken(m, p, m.partitionSince-1) // to a token that only this owner can have issued
	}
	return seen <= p.commandToken(m) || c.raiseCommandToken(m, p, seen)
}
