package controller

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

const (
	// reserveMachinesAfter is how long an all-or-nothing job waits for room before machines
	// that still run tasks are reserved for it until they are empty.
	reserveMachinesAfter = 8 * time.Second
	// borrowServiceMachinesAfter is how long a job waits for room before machines are
	// borrowed together with the services on them. Until then other machines may well become
	// free.
	borrowServiceMachinesAfter = 30 * time.Second
)

// loanRequest asks for machines for tasks of a job that start together.
type loanRequest struct {
	zone  string // the zone in which the machines must be; "" for any
	tasks int    // the number of tasks
	claim scheduling.Claim
}

// loanableMachines returns the machines of other partitions on which a job's tasks may run
// and that are not in use for anything else.
func (c *leader) loanableMachines(summaries []*planning.MachineSummary, spec *wire.Job, zone string) []*planning.MachineSummary {
	var loanable []*planning.MachineSummary
	for _, summary := range summaries {
		if summary.Partition != c.loanPartition() && !summary.InUse && c.isAvailableFor(summary, spec, zone) {
			loanable = append(loanable, summary)
		}
	}
	return loanable
}

// isAvailableFor reports whether a machine is up, is not being drained, and may run a job's
// tasks.
func (c *leader) isAvailableFor(summary *planning.MachineSummary, spec *wire.Job, zone string) bool {
	return !summary.Booting && !c.autoscaler.IsDrainingAsLeader(c.machineByIndex[summary.Index].name) && allowsMachine(spec, zone, summary.Type, summary.Zone, summary.Spot)
}

// machinesToClear returns machines that together, once they are empty, have room for the
// tasks of a request beyond the expected ones. It returns none if there are too few.
//
// While there is enough work of its own priority, an all-or-nothing job would never find room
// for all of its tasks, since other jobs take each cell that becomes free. Once the job has
// waited for reserveMachinesAfter, machines are therefore reserved for it even if they run
// tasks that it can't preempt, provided that none of their tasks belongs to a service or
// gang. Nothing new is placed on them until those tasks have ended. (The paper that package
// scheduling follows allows for such "reservation during waiting".)
func (c *leader) machinesToClear(summaries []*planning.MachineSummary, j *job, request loanRequest, expected int) []*planning.MachineSummary {
	mayReserve := c.now.Sub(j.acceptedAt) > reserveMachinesAfter
	cannotPreempt := func(usage planning.TaskUsage) bool { return !request.claim.CanPreempt(usage.Claim) }
	candidates := slices.DeleteFunc(c.loanableMachines(summaries, j.spec, request.zone), func(summary *planning.MachineSummary) bool {
		return (!mayReserve || summary.RunsServiceOrGang) && slices.ContainsFunc(summary.Usages, cannotPreempt)
	})
	sizeFor := func(summary *planning.MachineSummary, tasks int) int {
		return summary.Size.CountFitting(j.taskSize, tasks)
	}
	slices.SortFunc(candidates, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(x.Usages), len(y.Usages)), cmp.Compare(sizeFor(y, request.tasks), sizeFor(x, request.tasks)), cmp.Compare(x.Index, y.Index))
	})
	machines, lackingTasks := planning.SelectMachines(candidates, request.tasks-expected, len(candidates), sizeFor)
	if lackingTasks > 0 {
		return nil
	}
	return machines
}

// machinesSharedWithServices returns machines that together have enough free room for a job,
// so that the services on them can stay. It returns none if there are too few. The machines
// are in several partitions, since otherwise the job would have been assigned to one of them.
// When machines with services were never borrowed, such a job waited forever although there
// was room for it.
func (c *leader) machinesSharedWithServices(summaries []*planning.MachineSummary, j *job, request loanRequest) []*planning.MachineSummary {
	if c.now.Sub(j.acceptedAt) < borrowServiceMachinesAfter {
		return nil
	}
	freeFor := func(summary *planning.MachineSummary, tasks int) int {
		return summary.FreeResources.CountFitting(j.taskSize, tasks)
	}
	expected := 0
	for _, summary := range summaries {
		if summary.Partition == c.loanPartition() && c.isAvailableFor(summary, j.spec, request.zone) {
			expected += freeFor(summary, request.tasks)
		}
	}
	candidates := slices.DeleteFunc(c.loanableMachines(summaries, j.spec, request.zone), func(summary *planning.MachineSummary) bool {
		return freeFor(summary, request.tasks) == 0
	})
	slices.SortFunc(candidates, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(freeFor(y, request.tasks), freeFor(x, request.tasks)), cmp.Compare(x.Index, y.Index))
	})
	machines, lackingTasks := planning.SelectMachines(candidates, request.tasks-expected, len(candidates), freeFor)
	if lackingTasks > 0 {
		return nil
	}
	return machines
}

// loansFor iterates over the loans for a job, or for the gang reserve, whose machines may run
// tasks of the spec and are of a known type.
func (r *machineRegistry) loansFor(jobID string, spec *wire.Job, zone string) iter.Seq2[*machineLoan, *machine] {
	return func(yield func(*machineLoan, *machine) bool) {
		for name, loan := range r.loans {
			m := r.getOrAddMachine(name)
			if loan.Job != jobID || r.machineTypes[m.machineType] == nil || !allowsMachine(spec, zone, m.machineType, m.zone, m.spot) {
				continue
			}
			if !yield(loan, m) {
				return
			}
		}
	}
}

// machineSize returns the size of a machine whose type is known.
func (r *machineRegistry) machineSize(m *machine) scheduling.Resources {
	t := r.machineTypes[m.machineType]
	return scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB)
}

// expectedRoom returns for how many tasks of a job there is room in the leader's partition, on
// the machines that the job may use, or will be once the machines that are borrowed for the
// job have arrived.
func (r *machineRegistry) expectedRoom(summaries []*planning.MachineSummary, j *job, request loanRequest) int {
	room := 0
	listed := map[scheduling.MachineIndex]bool{}
	for _, summary := range summaries {
		listed[summary.Index] = true
		loan := r.loans[r.machineByIndex[summary.Index].name]
		mayUse := loan != nil && (loan.Job == j.id || j.spec.Gang)
		if summary.Partition == r.loanPartition() && mayUse && allowsMachine(j.spec, request.zone, summary.Type, summary.Zone, summary.Spot) {
			room += summary.FreeResources.CountFitting(j.taskSize, request.tasks)
		}
	}
	for _, m := range r.loansFor(j.id, j.spec, request.zone) {
		if !listed[m.index] {
			room += r.machineSize(m).Minus(m.serviceUsage()).CountFitting(j.taskSize, request.tasks)
		}
	}
	return room
}

// serviceUsage returns the resources that services use on a machine.
func (m *machine) serviceUsage() scheduling.Resources {
	var use scheduling.Resources
	for _, x := range m.bindings {
		if spec := x.group.job.spec; spec != nil && spec.Service {
			use = use.Plus(x.group.job.taskSize)
		}
	}
	return use
}
