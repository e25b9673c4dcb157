package wire

import "slices"

// Allows reports whether a task of the job may be on a machine of a type, in a zone. The
// zones of the job's other tasks are not looked at.
func (j *Job) Allows(machineType, zone string, spot bool) bool {
	return (len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, machineType)) &&
		(j.Zone == "" || j.Zone == zone) && (!spot || j.AllowsSpot)
}
