package rules

import (
	"time"

	"eiderhitch/internal/scheduling"
)

const (
	// maxWait is how long a job may wait beside room for it.
	maxWait = 90 * time.Second
	// waitCheckInterval is how often waiting jobs are looked for.
	waitCheckInterval = time.Second
)

// checkWaiting finds jobs that wait beside machines with room for them once all faults are
// over.
func (c *checker) checkWaiting() {
	if c.FaultsEndedAt.IsZero() || c.now.Before(c.FaultsEndedAt) || c.now.Sub(c.waitCheckedAt) < waitCheckInterval {
		return
	}
	c.waitCheckedAt = c.now
	placed := map[*job]int{}
	used := map[string]scheduling.Resources{} // by team
	for _, t := range c.tasks {
		placed[t.job]++
		if t.job.spec != nil {
			used[t.job.spec.Team] = used[t.job.spec.Team].Plus(t.job.need())
		}
	}
	for _, j := range sortedValues(c.jobs) {
		if !j.isWanted() || !c.hasRoom(j, placed[j], used[j.spec.Team]) {
			j.waitingSince = time.Time{}
			continue
		}
		if j.waitingSince.IsZero() {
			j.waitingSince = c.now
			continue
		}
		if waited := c.now.Sub(j.waitingSince); waited > maxWait {
			c.violate(WaitsDespiteCapacity, "%s (%d of %d tasks there, %d done) beside room for %v", j.id, placed[j], j.spec.TaskCount, len(j.completed), waited)
			j.waitingSince = time.Time{}
		}
	}
}

// isWanted tells whether a job was accepted and is neither over nor cancelled.
func (j *job) isWanted() bool {
	return j.spec != nil && !j.acceptedAt.IsZero() && j.finalState == "" && j.cancelRequestedAt.IsZero()
}

// hasRoom tells whether tasks of a job are missing for which there is room.
func (c *checker) hasRoom(j *job, placed int, used scheduling.Resources) bool {
	missing := j.spec.TaskCount - placed - len(j.completed)
	if missing <= 0 {
		return false
	}
	if !j.spec.IsAllOrNothing() || placed > 0 {
		missing = 1
	}
	if c.exceedsQuota(j.spec.Team, used.Plus(j.need().Times(missing))) {
		return false
	}
	return c.countRoom(j, missing) >= missing
}

// countRoom counts for how many tasks of a job, up to a number, there is room.
func (c *checker) countRoom(j *job, missing int) int {
	placed := map[string]int{} // by zone
	for _, t := range c.tasks {
		if t.job == j {
			placed[t.machine.zone]++
		}
	}
	total := 0
	for zone, room := range c.roomByZone(j, placed, missing) {
		if j.spec.SpreadsZones {
			room = min(room, maxPerZone(j.spec)-placed[zone])
		}
		if j.spec.SingleZone && room < missing {
			room = 0
		}
		total += room
	}
	return total
}

// roomByZone counts for how many more tasks of a job its allowed machines have room; all
// zones are counted as one, "", if they are the same to the job.
func (c *checker) roomByZone(j *job, placed map[string]int, most int) map[string]int {
	room := map[string]int{}
	for _, m := range c.machines {
		if !allows(j.spec, m) {
			continue
		}
		if j.spec.SingleZone && len(placed) > 0 && placed[m.zone] == 0 {
			continue
		}
		zone := ""
		if j.spec.SingleZone || j.spec.SpreadsZones {
			zone = m.zone
		}
		room[zone] += m.capacity.Minus(m.used).CountFitting(j.need(), most)
	}
	return room
}
