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
	// loanHeartbeatGrace is how much longer than any other a machine that has come on loan
	// may be without a heartbeat: the worker has to find its new owner first.
	loanHeartbeatGrace = 5 * time.Second
	// loanReleaseGrace is how much longer than two heartbeats and a lease an owner has to
	// release a machine: time to stop what runs there and to store that.
	loanReleaseGrace = 10 * time.Second
)

// borrow takes machines from other partitions for a job that starts whole. It reports
// whether they are on their way.
func (c *leader) borrowForJob(summaries []*planning.MachineSummary, j *job, request loanRequest) bool {
	expected := c.expectedRoom(summaries, j, request)
	if expected >= request.tasks {
		return true
	}
	chosen := c.machinesToClear(summaries, j, request, expected)
	if len(chosen) == 0 {
		chosen = c.machinesWithRoomBesideServices(summaries, j, request)
	}
	if len(chosen) == 0 {
		return false
	}
	// As many as one change can be; the others follow in the next steps.
	chosen = chosen[:min(len(chosen), c.cfg.Settings.Store.TxnOps)]
	c.log.Info("machines borrowed for a job", "job", j.id, "machines", len(chosen))
	loan := record.MachineLoan{Job: j.id, Priority: request.claim.Priority, Guaranteed: request.claim.Guaranteed, Team: j.spec.Team}
	c.borrowMachines(chosen, loan, wire.Condition{Key: jobKey(j.id), Revision: j.revision})
	return true
}

// borrowMachines begins the loans of machines to the leader's partition, if the partitions
// that they are in have not changed owners meanwhile.
func (c *leader) borrowMachines(chosen []*planning.MachineSummary, loan record.MachineLoan, conditions ...wire.Condition) {
	write := &store.Write{Prompt: true, Conditions: append([]wire.Condition{c.leaderCondition()}, conditions...)}
	guardedPartitions := map[int]bool{} // partitions on whose owner there is a condition
	for _, summary := range chosen {
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

// reviewLoans fences machines that came in and hands back those that are not needed:
// nothing stays on loan for ever.
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

// canReturnLoan tells whether a machine of the leader's partition can be handed back. What has
// reserved a cell there may be bound any moment: handed back meanwhile, the machine was its
// former owner's and the binding ours, and neither could end it. Services that came with
// the machine, or since, go back with it.
func (c *leader) canReturnLoan(loan *machineLoan, m *machine, p *partition) bool {
	if len(m.bindings) > 0 && (loan.Job == gangReserveJobID || !c.runsOnlyServices(m, p)) {
		return false
	}
	return !p.hasReservationOn(m)
}

// isLoanNeeded tells whether there is still use for a machine where it is on loan to, and
// it can be had.
func (c *leader) isLoanNeeded(loan *machineLoan, m *machine, p *partition) bool {
	if loan.Job == gangReserveJobID {
		return loan.Acknowledged && c.shouldRetain(m) || !loan.Acknowledged && c.now.Sub(loan.firstSeenAt) < reserveLoanTimeout
	}
	job := c.jobs[loan.Job]
	if job == nil || job.finalState != record.Unfinished || job.spec == nil || m.terminated || !c.jobNeedsLoan(job, p.index) {
		return false
	}
	if m.machineType != "" && !allowsMachine(job.spec, c.zoneOfJob(job), m.machineType, m.zone, m.spot) {
		return false
	}
	if loan.Acknowledged {
		// One that has sent no heartbeat since it came died on the way: it is its owner's
		// again, who finds out what has become of it.
		since := p.machineOwnedSince(m)
		return m.heartbeatAt.After(since) || c.now.Sub(since) < c.unreachableTimeout()+loanHeartbeatGrace
	}
	// An owner that does not release it in time may have more urgent work there by now.
	releaseTimeout := c.leaseExpiry + 2*config.Seconds(c.cfg.Settings.Workers.ReportS) + loanReleaseGrace
	return c.now.Sub(loan.firstSeenAt) < releaseTimeout
}

// jobNeedsLoan tells whether a job has tasks that machines on loan to a partition are for:
// some that wait there, or all tasks, if they wait and have found no room where they were
// assigned to.
func (c *clusterState) jobNeedsLoan(j *job, partition int) bool {
	waits, bound := len(j.groups) == 0, 0
	for _, group := range j.groups {
		waits = waits || group.boundTaskCount() < len(group.bindings)
		bound += group.boundTaskCount()
		if group.partition == partition && group.boundTaskCount() < len(group.bindings) {
			return true
		}
	}
	return waits && bound == 0
}

// returnLoan ends a loan.
func (c *leader) returnLoan(name string, loan *machineLoan) {
	loan.writeInFlight, loan.returnInFlight = true, true
	c.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{c.leaderCondition(), {Key: loanKey(name), Revision: loan.revision}},
		Changes:    []wire.Change{{Delete: loanKey(name)}},
	}, func(error) { loan.writeInFlight, loan.returnInFlight = false, false })
}
