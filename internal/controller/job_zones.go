package controller

import (
	"cmp"
	"slices"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
)

// zoneOfJob returns the zone that unfinished tasks of a job are assigned to, or "" if there
// is none.
func (c *clusterState) zoneOfJob(j *job) string {
	for _, group := range j.groups {
		if group.zone != "" && len(group.bindings) > 0 {
			return group.zone
		}
	}
	return ""
}

// requiredZone returns the zone in which more tasks of a job must be placed, or "" if they
// may be in any.
func (c *clusterState) requiredZone(j *job) string {
	if !j.spec.SingleZone {
		return ""
	}
	return c.zoneOfJob(j)
}

// candidateZones returns the zones to try for a job's tasks, those with the most free room
// first. "" stands for any zone.
func (c *clusterState) candidateZones(j *job, summaries []*planning.MachineSummary) []string {
	if !j.spec.SingleZone && !j.spec.SpreadsZones {
		return []string{""}
	}
	if zone := c.requiredZone(j); zone != "" {
		return []string{zone}
	}
	room := map[string]int{}
	for _, summary := range summaries {
		if allowsMachine(j.spec, "", summary.Type, summary.Zone, summary.Spot) {
			room[summary.Zone] += summary.FreeResources.CountFitting(j.taskSize, j.spec.TaskCount)
		}
	}
	var zones []string
	for zone := range room {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(x, y string) int { return cmp.Or(cmp.Compare(room[y], room[x]), cmp.Compare(x, y)) })
	if j.spec.SingleZone && len(zones) > 1 {
		return zones[:1]
	}
	return zones
}

// remainingSpreadTasks returns how many more tasks of a job that spreads over zones may be
// assigned to a zone: each zone may have half of the job's tasks, rounded up. unstoredGroups has
// the job's groups that are not stored yet.
func (c *clusterState) remainingSpreadTasks(j *job, zone string, unstoredGroups []record.TaskGroup) int {
	remainingTasks := (j.spec.TaskCount + 1) / 2
	for _, group := range j.groups {
		if group.zone == zone {
			remainingTasks -= len(group.bindings)
		}
	}
	for i := range unstoredGroups {
		if unstoredGroups[i].Zone == zone {
			remainingTasks -= len(unstoredGroups[i].Tasks)
		}
	}
	return remainingTasks
}
