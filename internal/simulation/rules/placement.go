package rules

import (
	"slices"

	"eiderhitch/internal/wire"
)

// allows tells whether a job may be on a machine at all.
func allows(spec *wire.Job, m *machine) bool {
	if m.spot && !spec.AllowsSpot {
		return false
	}
	if spec.Zone != "" && spec.Zone != m.zone {
		return false
	}
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, m.typ)
}

// maxPerZone is how many tasks of a job that is spread may be in one zone.
func maxPerZone(spec *wire.Job) int { return (spec.TaskCount + 1) / 2 }

// checkMachine checks that a started task is on a machine that its job allows.
func (c *checker) checkMachine(t *task) {
	if !allows(t.job.spec, t.machine) {
		c.violate(WrongPlacement, "%s on %s (%s in %s)", t.name, t.machine.name, t.machine.typ, t.machine.zone)
	}
}

// checkZones checks that a started task is in a zone that fits its job's others.
func (c *checker) checkZones(started *task) {
	zones := map[string]int{}
	for _, t := range c.tasks {
		if t.startedOn != nil && t.job == started.job {
			zones[t.startedOn.zone]++
		}
	}
	spec := started.job.spec
	if spec.SingleZone && len(zones) > 1 || spec.SpreadsZones && zones[started.machine.zone] > maxPerZone(spec) {
		c.violate(WrongPlacement, "%s among %v", started.name, zones)
	}
}
