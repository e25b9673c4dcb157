package rules

import (
	"time"

	"eiderhitch/internal/scheduling"
)

const (
	// maxWait is how long a job may wait for tasks while there is room for them.
	maxWait = 90 * time.Second
	// waitCheckInterval is the minimum time between two checks for waiting jobs.
	waitCheckInterval = time.Second
)

// checkWaiting checks that no job waits for longer than maxWait while machines have room for
// its missing tasks. It applies only after all faults have ended.
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
			used[t.job.spec.Team] = used[t.job.spec.Team].Plus(t.job.taskResources())
		}
	}
	for _, j := range sortedValues(c.jobs) {
		if !j.isPending() || !c.hasRoom(j, placed[j], used[j.spec.Team]) {
			j.waitingSince = time.Time{}
			continue
		}
		if j.waitingSince.IsZero() {
			j.waitingSince = c.now
			continue
		}
		if waited := c.now.Sub(j.waitingSince); waited > maxWait {
			c.addViolation(WaitsDespiteCapacity, "%s (%d of %d tasks on machines, %d completed) waits although there has been room for %v", j.id, placed[j], j.spec.TaskCount, len(j.completed), waited)
			j.waitingSince = time.Time{}
		}
	}
}

// isPending reports whether the job was accepted, has no final state, and no user asked to
// cancel it.
func (j *job) isPending() bool {
	return j.spec != nil && !j.acceptedAt.IsZero() && j.finalState == "" && j.cancelRequestedAt.IsZero()
}

// hasRoom reports whether tasks of the job are missing and the machines and the team's quota
// have room for them. A job that starts all tasks or none needs room for all missing tasks
// until the first one is placed; for other jobs, room for one task is enough.
func (c *checker) hasRoom(j *job, placed int, used scheduling.Resources) bool {
	missing := j.spec.TaskCount - placed - len(j.completed)
	if missing <= 0 {
		return false
	}
	if !j.spec.IsAllOrNothing() || placed > 0 {
		missing = 1
	}
	if c.exceedsQuota(j.spec.Team, used.Plus(j.taskResources().Times(missing))) {
		return false
	}
	return c.countRoom(j, missing) >= missing
}

// countRoom returns for how many missing tasks of the job the machines have room, given its
// placement constraints. It counts at most missing tasks for each machine, so the result may
// exceed missing.
func (c *checker) countRoom(j *job, missing int) int {
	placedByZone := map[string]int{} // number of tasks by zone
	for _, t := range c.tasks {
		if t.job == j {
			placedByZone[t.machine.zone]++
		}
	}
	total := 0
	for zone, room := range c.roomByZone(j, placedByZone, missing) {
		if j.spec.SpreadsZones {
			room = min(room, maxPerZone(j.spec)-placedByZone[zone])
		}
		if j.spec.SingleZone && room < missing {
			room = 0
		}
		total += room
	}
	return total
}

// roomByZone returns for how many more tasks of the job the allowed machines of each zone have
// room, counting at most limit tasks for each machine. If the job has no constraints on zones,
// all machines count for the zone "".
func (c *checker) roomByZone(j *job, placedByZone map[string]int, limit int) map[string]int {
	room := map[string]int{}
	for _, m := range c.machines {
		if !allowsMachine(j.spec, m) {
			continue
		}
		if j.spec.SingleZone && len(placedByZone) > 0 && placedByZone[m.zone] == 0 {
			continue
		}
		zone := ""
		if j.spec.SingleZone || j.spec.SpreadsZones {
			zone = m.zone
		}
		room[zone] += m.capacity.Minus(m.used).CountFitting(j.taskResources(), limit)
	}
	return room
}
