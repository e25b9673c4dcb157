package controller

import (
	"fmt"
	"strings"
	"time"
)

// logOwnershipIfDue logs which leased keys this controller holds and how recent its records are, if
// the interval has elapsed.
func (c *controller) logOwnershipIfDue(due *timerDeadlines) {
	if c.now.Before(due.ownership) {
		return
	}
	due.ownership = c.now.Add(ownershipLogInterval)
	readAge := c.replica.ReadAge(c.now)
	c.log.Info("leased keys held", "tokens", c.describeTokens(), "owned_ms", c.minOwnedTime().Milliseconds(),
		"revision", c.replica.Cursor(), "read_age_ms", readAge.Milliseconds(), "answers_for_ms", max(0, c.maxStaleness-readAge).Milliseconds())
}

// describeTokens returns the keys that this controller holds, each with its fencing token.
func (c *controller) describeTokens() string {
	var tokens []string
	for _, p := range c.partitions {
		if p.token != 0 {
			tokens = append(tokens, fmt.Sprintf("%s@%d", p.key, p.token))
		}
	}
	return strings.Join(tokens, " ")
}

// minOwnedTime returns how long this controller has held the key that it acquired last, or 0 if it
// holds none.
func (c *controller) minOwnedTime() time.Duration {
	var latest time.Time
	for _, p := range c.partitions {
		if p.token != 0 && p.ownedSince.After(latest) {
			latest = p.ownedSince
		}
	}
	if latest.IsZero() {
		return 0
	}
	return c.now.Sub(latest)
}
