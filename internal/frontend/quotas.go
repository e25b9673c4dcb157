package frontend

import (
	"eiderhitch/internal/config"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// quotaTolerance is the amount by which a job may exceed its team's limit, to allow for
// rounding errors.
const quotaTolerance = 1e-9

// Quotas holds the resource limits of all teams.
type Quotas []config.Team

// UnsatisfiableReason returns the reason why a job can never run within its team's limit and on
// the machine types that the cloud offers, or "" if it can. Users receive this text.
func (q Quotas) UnsatisfiableReason(spec *wire.Job, types map[string]*wire.MachineType) string {
	team := q.findTeam(spec.Team)
	if team == nil {
		return "unknown team"
	}
	concurrentTasks := 1.0 // the tasks of an array can run one after another
	if spec.IsAllOrNothing() {
		concurrentTasks = float64(spec.TaskCount)
	}
	if exceeds(spec.CPUs*concurrentTasks, team.MaxCPUs) || exceeds(spec.GPUs*concurrentTasks, team.MaxGPUs) {
		return "more than the team's limit"
	}
	if !fitsAnyType(spec, types) {
		return "a task fits no allowed machine type"
	}
	return ""
}

func (q Quotas) findTeam(name string) *config.Team {
	for i := range q {
		if q[i].Name == name {
			return &q[i]
		}
	}
	return nil
}

// exceeds reports whether an amount is above a limit. A limit of 0 means no limit.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+quotaTolerance }

// fitsAnyType reports whether a task of the job fits a machine of an allowed type in an allowed
// zone.
func fitsAnyType(spec *wire.Job, types map[string]*wire.MachineType) bool {
	size := scheduling.NewResources(spec.CPUs, spec.GPUs, spec.RAMGB)
	for _, t := range types {
		if !scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB).Contains(size) {
			continue
		}
		for _, zone := range t.Zones {
			if spec.Allows(t.Name, zone, false) {
				return true
			}
		}
	}
	return false
}
