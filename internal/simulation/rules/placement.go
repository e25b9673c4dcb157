package rules

import (
	"slices"

	"eiderhitch/internal/wire"
)

// allowsMachine reports whether a machine meets the constraints of a job on spot machines, zone
// and machine type.
func allowsMachine(spec *wire.Job, m *machine) bool {
	if m.spot && !spec.AllowsSpot {
		return false
	}
	if spec.Zone != "" && spec.Zone != m.zone {
		return false
	}
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, m.machineType)
}

// maxPerZone returns how many tasks of a job that spreads across zones may be in one zone: half
// of them, rounded up.
func maxPerZone(spec *wire.Job) int { return (spec.TaskCount + 1) / 2 }

// checkMachine checks that a started task is on a machine that meets its job's constraints.
func (c *checker) checkMachine(t *task) {
	if !allowsMachine(t.job.spec, t.machine) {
		c.addViolation(WrongPlacement, "%s started on %s (type %s in zone %s), which its job does not allow", t.name, t.machine.name, t.machine.machineType, t.machine.zone)
	}
}

// checkZones checks the constraints on the zones of all started tasks of a job: a single zone,
// or spread across zones.
func (c *checker) checkZones(started *task) {
	zones := map[string]int{}
	for _, t := range c.tasks {
		if t.startedOn != nil && t.job == started.job {
			zones[t.startedOn.zone]++
		}
	}
	spec := started.job.spec
	if spec.SingleZone && len(zones) > 1 || spec.SpreadsZones && zones[started.machine.zone] > maxPerZone(spec) {
		c.addViolation(WrongPlacement, "%s started; tasks by zone are now %v", started.name, zones)
	}
}
