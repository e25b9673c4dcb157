package controller

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// loanHeartbeatGrace is the extra time that a machine may go without a heartbeat when it
	// has just been loaned: its worker has to find the new owner first.
	loanHeartbeatGrace = 5 * time.Second
	// loanReleaseGrace is the time that an owner has to release a machine, in addition to two
	// heartbeat intervals and the expiry of a lease. It covers the time to stop the machine's
	// tasks and to store that they ended.
	loanReleaseGrace = 10 * time.Second
)

// borrowForJob borrows machines of other partitions for an all-or-nothing job. It reports
// whether loans of enough machines are under way.
func (c *leader) borrowForJob(summaries []*planning.MachineSummary, j *job, request loanRequest) bool {
	expected := c.expectedRoom(summaries, j, request)
	if expected >= request.tasks {
		return true
	}
	machines := c.machinesToClear(summaries, j, request, expected)
	if len(machines) == 0 {
		machines = c.machinesSharedWithServices(summaries, j, request)
	}
	if len(machines) == 0 {
		return false
	}
	// One transaction can borrow only so many machines. The next passes borrow the others.
	machines = machines[:min(len(machines), c.cfg.Settings.Store.TxnOps)]
	c.log.Info("machines borrowed for a job", "job", j.id, "machines", len(machines))
	loan := record.MachineLoan{Job: j.id, Priority: request.claim.Priority, Guaranteed: request.claim.Guaranteed, Team: j.spec.Team}
	c.borrowMachines(machines, loan, wire.Condition{Key: jobKey(j.id), Revision: j.revision})
	return true
}

// borrowMachines starts loans of machines to the leader's partition. The write fails if a
// partition that the machines are in has changed owners meanwhile.
func (c *leader) borrowMachines(machines []*planning.MachineSummary, loan record.MachineLoan, conditions ...wire.Condition) {
	write := &store.Write{HighPriority: true, Conditions: append([]wire.Condition{c.leaderCondition()}, conditions...)}
	guardedPartitions := map[int]bool{} // partitions whose owner is already a condition of the write
	for _, summary := range machines {
		summary.InUse, summary.FreeResources = true, scheduling.Resources{}
		key := loanKey(c.machineByIndex[summary.Index].name)
		write.Conditions = append(write.Conditions, wire.Condition{Key: key})
		if !guardedPartitions[summary.Partition] {
			guardedPartitions[summary.Partition] = true
			partitionKey := c.partitions[summary.Partition].key
			write.Conditions = append(write.Conditions, wire.Condition{Key: partitionKey, Revision: c.replica.Revision(partitionKey)})
		}
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: record.JSON(loan)})
	}
	c.submitDecision(write)
}

// reviewLoans fences the former owners of machines that have arrived and returns the machines
// that are no longer needed, so that no machine stays on loan forever.
func (c *leader) reviewLoans() {
	p := c.partitions[c.loanPartition()]
	for _, name := range c.loanedMachines() {
		loan, m := c.loans[name], c.getOrAddMachine(name)
		if loan.Acknowledged && loan.revision > p.token {
			p.tokenRaiseDue = true // the former owner's tokens are below this revision
		}
		if loan.writeInFlight || loan.Acknowledged && !c.canReturnLoan(loan, m, p) {
			continue
		}
		if !c.isLoanNeeded(loan, m, p) {
			c.returnLoan(name, loan)
		}
	}
}

// canReturnLoan reports whether a machine of the leader's partition can be returned to its
// former owner. A task with a reserved cell may be bound at any moment: if the machine were
// returned meanwhile, it would belong to its former owner but the binding to the leader's
// partition, and neither could end the task. A machine that is on loan for a job is returned
// together with its services, whether they came with it or were placed on it since. A machine
// of the gang reserve is returned only if nothing is bound to it.
func (c *leader) canReturnLoan(loan *machineLoan, m *machine, p *partition) bool {
	if len(m.bindings) > 0 && (loan.Job == gangReserveJobID || !c.runsOnlyServices(m, p)) {
		return false
	}
	return !p.hasReservationOn(m)
}

// isLoanNeeded reports whether a loan is still needed: its job or the gang reserve needs the
// machine, and the machine has arrived or can still arrive in time.
func (c *leader) isLoanNeeded(loan *machineLoan, m *machine, p *partition) bool {
	if loan.Job == gangReserveJobID {
		return loan.Acknowledged && c.shouldRetain(m) || !loan.Acknowledged && c.now.Sub(loan.firstSeenAt) < reserveLoanTimeout
	}
	job := c.jobs[loan.Job]
	if job == nil || job.finalState != record.StateUnfinished || job.spec == nil || m.terminated || !c.jobNeedsLoan(job, p.index) {
		return false
	}
	if m.machineType != "" && !allowsMachine(job.spec, c.zoneOfJob(job), m.machineType, m.zone, m.spot) {
		return false
	}
	if loan.Acknowledged {
		// A machine that has sent no heartbeat since it arrived has probably failed during
		// the change of owners. It is returned to its former owner, which determines its state.
		since := p.machineOwnedSince(m)
		return m.heartbeatAt.After(since) || c.now.Sub(since) < c.unreachableTimeout()+loanHeartbeatGrace
	}
	// An owner that does not release the machine in time may have more urgent tasks there by
	// now.
	releaseTimeout := c.leaseExpiry + 2*config.Seconds(c.cfg.Settings.Workers.HeartbeatIntervalS) + loanReleaseGrace
	return c.now.Sub(loan.firstSeenAt) < releaseTimeout
}

// jobNeedsLoan reports whether a job has tasks for which machines are on loan to a partition:
// tasks that wait in that partition or, if no task of the job is bound, tasks that wait
// anywhere.
func (c *clusterState) jobNeedsLoan(j *job, partition int) bool {
	waits, boundTasks := len(j.groups) == 0, 0
	for _, group := range j.groups {
		waits = waits || group.boundTaskCount() < len(group.bindings)
		boundTasks += group.boundTaskCount()
		if group.partition == partition && group.boundTaskCount() < len(group.bindings) {
			return true
		}
	}
	return waits && boundTasks == 0
}

// returnLoan ends a loan by deleting its record.
func (c *leader) returnLoan(name string, loan *machineLoan) {
	loan.writeInFlight, loan.returnInFlight = true, true
	c.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{c.leaderCondition(), {Key: loanKey(name), Revision: loan.revision}},
		Changes:    []wire.Change{{Delete: loanKey(name)}},
	}, func(error) { loan.writeInFlight, loan.returnInFlight = false, false })
}
