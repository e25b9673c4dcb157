package wire

import "slices"

// Allows reports whether the job's machine types, zone and use of spot instances allow its tasks to
// run on a machine of the given type in the given zone. It does not consider the zones of the job's
// other tasks, which SingleZone and SpreadsZones restrict.
func (j *Job) Allows(machineType, zone string, spot bool) bool {
	return (len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, machineType)) &&
		(j.Zone == "" || j.Zone == zone) && (!spot || j.AllowsSpot)
}
