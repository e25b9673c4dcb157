package frontend

import (
	"eiderhitch/internal/config"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// quotaTolerance is by how much a job may exceed its team's limit through rounding.
const quotaTolerance = 1e-9

// Quotas are the limits of the teams.
type Quotas []config.Team

// UnsatisfiableReason is why a job can never run within its team's limit and on the machine types
// on offer; "": it can.
func (q Quotas) UnsatisfiableReason(spec *wire.Job, types map[string]*wire.MachineType) string {
	team := q.findTeam(spec.Team)
	if team == nil {
		return "unknown team"
	}
	concurrentTasks := 1.0 // tasks of an array run one by one if need be
	if spec.IsAllOrNothing() {
		concurrentTasks = float64(spec.TaskCount)
	}
	if exceeds(spec.CPUs*concurrentTasks, team.CPUsMax) || exceeds(spec.GPUs*concurrentTasks, team.GPUsMax) {
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

// exceeds reports whether an amount is above a limit; 0: there is none.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+quotaTolerance }

// fitsAnyType reports whether a task fits a machine of a type, in a zone, that the job
// allows.
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
