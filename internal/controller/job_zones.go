package controller

import (
	"cmp"
	"slices"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
)

// zoneOfJob is the zone that the tasks of a job are in already, or are to be; "" if none is
// assigned to a zone.
func (c *clusterState) zoneOfJob(j *job) string {
	for _, group := range j.groups {
		if group.zone != "" && len(group.bindings) > 0 {
			return group.zone
		}
	}
	return ""
}

// requiredZone is the zone in which more tasks of a job must be; "" for any.
func (c *clusterState) requiredZone(j *job) string {
	if !j.spec.SingleZone {
		return ""
	}
	return c.zoneOfJob(j)
}

// candidateZones lists the zones to try for a job's tasks, those with the most free room
// first; "" stands for any.
func (c *clusterState) candidateZones(j *job, summaries []*planning.MachineSummary) []string {
	if !j.spec.SingleZone && !j.spec.Spread {
		return []string{""}
	}
	if zone := c.requiredZone(j); zone != "" {
		return []string{zone}
	}
	free := map[string]int{}
	for _, summary := range summaries {
		if allowsMachine(j.spec, "", summary.Type, summary.Zone, summary.Spot) {
			free[summary.Zone] += summary.FreeResources.CountFitting(j.taskSize, j.spec.Tasks)
		}
	}
	var zones []string
	for zone := range free {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(x, y string) int { return cmp.Or(cmp.Compare(free[y], free[x]), cmp.Compare(x, y)) })
	if j.spec.SingleZone && len(zones) > 1 {
		return zones[:1]
	}
	return zones
}

// remainingSpreadTasks is how many more tasks of a job may go to a zone besides those of groups
// that are not stored yet: half of all in a zone, rounded up.
func (c *clusterState) remainingSpreadTasks(j *job, zone string, unstored []record.TaskGroup) int {
	room := (j.spec.Tasks + 1) / 2
	for _, group := range j.groups {
		if group.zone == zone {
			room -= len(group.bindings)
		}
	}
	for i := range unstored {
		if unstored[i].Zone == zone {
			room -= len(unstored[i].Tasks)
		}
	}
	return room
}
