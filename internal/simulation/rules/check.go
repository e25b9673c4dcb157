// Package rules checks a trace against the rules of the protocol and the guarantees that every
// deployment gives its users. It uses only the trace and not the controllers' state. Each file
// has one rule or a few related ones.
package rules

import (
	"fmt"
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/simulation/trace"
)

// Rule identifies a rule by the violation that it detects.
type Rule string

// The rules, each with its requirement.
const (
	InvalidTrace         Rule = "trace"             // the events of the trace are consistent
	StartedWhileInUse    Rule = "in_use"            // a task isn't started on a machine that has another attempt of it
	UnknownJob           Rule = "unknown_job"       // a task isn't started if its job's specification wasn't uploaded
	RanOnTwoMachines     Rule = "ran_twice"         // a task is on at most one machine at a time
	StartedAfterForget   Rule = "forgotten_attempt" // a task isn't started under the number of an attempt that a machine was told to forget
	OverlappingAttempts  Rule = "two_attempts"      // a gang's task isn't started while an earlier attempt is on machines
	WrongPlacement       Rule = "wrong_place"       // tasks run only on machines and in zones that their job allows
	QuotaExceeded        Rule = "quota"             // a team doesn't exceed its quota
	RanAfterCancellation Rule = "ran_cancelled"     // tasks of a cancelled job stop within CancellationTimeout
	UnsubmittedJob       Rule = "invented"          // only submitted jobs are reported as known
	AcceptedJobLost      Rule = "forgotten"         // accepted jobs stay known, and their queries are answered
	FinalStateChanged    Rule = "went_back"         // a final state doesn't change, and jobs are cancelled only on request
	DoneTooEarly         Rule = "not_done"          // a job is done only when all its tasks have completed
	NoTaskStarted        Rule = "nothing_ran"       // at least one task starts if a job was accepted
	WaitsDespiteCapacity Rule = "waits"             // a job doesn't wait for more than maxWait while there is room for it
)

// refusalRules maps the reason for refusing a start command to the rule that the command
// violates.
var refusalRules = map[trace.RefusalReason]Rule{trace.TaskInUse: StartedWhileInUse, trace.UnknownJob: UnknownJob}

// Violation describes how a trace violates a rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule's name and the detail.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// Expectations holds the parameters of the rules.
type Expectations struct {
	// CancellationTimeout is how long a cancelled job's tasks may stay on their machines after
	// a response first reported the cancellation to a user.
	CancellationTimeout time.Duration
	// Quotas holds the quotas of teams. A team without an entry has no limit.
	Quotas map[string]scheduling.Resources
	// FaultsEndedAt is the time from which on there are no faults. Zero means that faults haven't
	// ended.
	FaultsEndedAt time.Time
}

// checker checks a trace. Its fields model the cluster at the time of the current event.
type checker struct {
	Expectations
	violations        []Violation
	jobs              map[string]*job
	tasks             map[string]*task // tasks on machines, by name
	machines          map[string]*machine
	queriesAnsweredAt []time.Time // times of the answers to queries
	startedTasks      int
	now               time.Time
	waitCheckedAt     time.Time
}

// Check returns the violations in a trace, in the order in which they were found. The events may
// be in any order.
func Check(events []trace.Event, expectations Expectations) []Violation {
	c := &checker{Expectations: expectations, jobs: map[string]*job{}, tasks: map[string]*task{}, machines: map[string]*machine{}}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b trace.Event) int { return a.Time().Compare(b.Time()) })
	for _, e := range events {
		if response, ok := e.(trace.Response); ok {
			c.recordRequest(response)
		}
	}
	for _, e := range events {
		c.now = e.Time()
		c.checkWaiting()
		c.apply(e)
	}
	c.checkEnd()
	return c.violations
}

// apply updates the model with an event and checks the rules that the event may violate.
func (c *checker) apply(e trace.Event) {
	switch e := e.(type) {
	case trace.MachineBooted:
		c.machines[e.Machine] = &machine{name: e.Machine, machineType: e.Type, zone: e.Zone, spot: e.Spot, capacity: e.Capacity}
	case trace.MachineTerminated:
		c.terminateMachine(e)
	case trace.TaskAccepted:
		c.acceptTask(e)
	case trace.TaskStarted:
		c.startTask(e)
	case trace.TaskStopped:
		if t := c.tasks[e.Task]; t != nil && t.machine.name == e.Machine {
			c.removeTask(t)
		}
	case trace.TaskForgotten:
		j := c.job(trace.JobID(e.Task))
		j.forgotten[e.Task] = max(j.forgotten[e.Task], e.Attempt)
	case trace.TaskCompleted:
		c.job(trace.JobID(e.Task)).completed[e.Task] = true // a saved result may be reported more than once
	case trace.StartRefused:
		c.addViolation(refusalRules[e.Reason], "%s on %s", e.Task, e.Machine)
	case trace.Response:
		c.checkResponse(e)
	}
}

// acceptTask adds a task to its machine.
func (c *checker) acceptTask(e trace.TaskAccepted) {
	m := c.machines[e.Machine]
	if m == nil {
		c.addViolation(InvalidTrace, "%s accepted by machine %s, which is not up", e.Task, e.Machine)
		return
	}
	t := c.tasks[e.Task]
	if t == nil {
		t = &task{name: e.Task, job: c.job(trace.JobID(e.Task))}
		c.tasks[e.Task] = t
	} else if t.machine != m {
		c.addViolation(RanOnTwoMachines, "%s is started on %s while it is on %s", e.Task, m.name, t.machine.name)
	}
	t.machine, t.attempt = m, e.Attempt
	c.checkAttempts(t)
	c.checkForgotten(t)
	m.used = m.used.Plus(t.job.taskResources())
}

// startTask marks an accepted task as started and checks the rules for running tasks.
func (c *checker) startTask(e trace.TaskStarted) {
	c.startedTasks++
	t := c.tasks[e.Task]
	if t == nil || t.job.spec == nil {
		c.addViolation(InvalidTrace, "%s started without a specification of its job or without a machine", e.Task)
		return
	}
	t.startedOn = t.machine
	c.checkCancelled(t)
	c.checkMachine(t)
	c.checkQuota(t)
	c.checkZones(t)
}

// terminateMachine removes a machine and its tasks.
func (c *checker) terminateMachine(e trace.MachineTerminated) {
	for _, t := range c.sortedTasks() {
		if t.machine.name == e.Machine {
			c.removeTask(t)
		}
	}
	delete(c.machines, e.Machine)
}

// removeTask removes a task from its machine.
func (c *checker) removeTask(t *task) {
	if t.startedOn != nil {
		c.checkCancelled(t)
	}
	t.machine.used = t.machine.used.Minus(t.job.taskResources())
	delete(c.tasks, t.name)
}

// checkEnd checks the rules that apply at the end of the trace.
func (c *checker) checkEnd() {
	for _, t := range c.sortedTasks() {
		if t.startedOn != nil {
			c.checkCancelled(t)
		}
	}
	if c.startedTasks > 0 {
		return
	}
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			c.addViolation(NoTaskStarted, "no task was started")
			return
		}
	}
}

// addViolation records a violation.
func (c *checker) addViolation(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}
