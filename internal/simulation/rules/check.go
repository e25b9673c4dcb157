// Package rules checks a trace against the rules of the protocol and what users ask of
// every deployment. It knows nothing of the controllers' state. Each file holds one rule,
// or a few that are about one thing.
package rules

import (
	"fmt"
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/simulation/trace"
)

// Rule is a rule's name.
type Rule string

// The rules.
const (
	InvalidTrace         Rule = "trace"         // the trace itself makes sense
	StartedWhileInUse    Rule = "in_use"        // no task is started where another attempt of it is
	UnknownJob           Rule = "unknown_job"   // no task is started of a job that nobody uploaded
	RanOnTwoMachines     Rule = "ran_twice"     // a task is on one machine at a time
	OverlappingAttempts  Rule = "two_attempts"  // no task starts beside an earlier attempt of its gang
	WrongPlacement       Rule = "wrong_place"   // tasks are where their job allows
	QuotaExceeded        Rule = "quota"         // a team keeps to its limit
	RanAfterCancellation Rule = "ran_cancelled" // tasks of a cancelled job are soon gone
	UnsubmittedJob       Rule = "invented"      // only submitted jobs are known
	AcceptedJobLost      Rule = "forgotten"     // accepted jobs stay known
	FinalStateChanged    Rule = "went_back"     // a final state is final
	DoneTooEarly         Rule = "not_done"      // a job is done when all its tasks are
	NoTaskStarted        Rule = "nothing_ran"   // something runs at all
	WaitsDespiteCapacity Rule = "waits"         // no job waits for long beside room for it
)

// refusalRules are the rules that starts break which machines refuse.
var refusalRules = map[trace.RefusalReason]Rule{trace.TaskInUse: StartedWhileInUse, trace.UnknownJob: UnknownJob}

// Violation is a rule that a trace breaks, and how.
type Violation struct {
	Rule   Rule
	Detail string
}

// String is the rule's name and the detail.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// Expectations are what a trace is checked against.
type Expectations struct {
	CancellationTimeout time.Duration // in which a cancelled job's tasks must be gone
	Quotas              map[string]scheduling.Resources
	// FaultsEndedAt is when all faults were over; zero: they never were.
	FaultsEndedAt time.Time
}

// checker goes through a trace.
type checker struct {
	Expectations
	violations    []Violation
	jobs          map[string]*job
	tasks         map[string]*task // on machines
	machines      map[string]*machine
	answeredAt    []time.Time // of queries
	starts        int
	now           time.Time
	waitCheckedAt time.Time
}

// Check lists the rules that a trace breaks.
func Check(events []trace.Event, expected Expectations) []Violation {
	c := &checker{Expectations: expected, jobs: map[string]*job{}, tasks: map[string]*task{}, machines: map[string]*machine{}}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b trace.Event) int { return a.Time().Compare(b.Time()) })
	for _, e := range events {
		if response, ok := e.(trace.Response); ok {
			c.noteRequest(response)
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

// apply brings the model up to date with an event and checks the rules that it may break.
func (c *checker) apply(e trace.Event) {
	switch e := e.(type) {
	case trace.MachineBooted:
		c.machines[e.Machine] = &machine{name: e.Machine, typ: e.Type, zone: e.Zone, spot: e.Spot, capacity: e.Capacity}
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
	case trace.TaskCompleted:
		c.job(trace.JobID(e.Task)).completed[e.Task] = true // a kept result may be reported twice
	case trace.StartRefused:
		c.violate(refusalRules[e.Reason], "%s on %s", e.Task, e.Machine)
	case trace.Response:
		c.checkResponse(e)
	}
}

// acceptTask puts a task on a machine.
func (c *checker) acceptTask(e trace.TaskAccepted) {
	m := c.machines[e.Machine]
	if m == nil {
		c.violate(InvalidTrace, "%s on machine %s, which is not up", e.Task, e.Machine)
		return
	}
	t := c.tasks[e.Task]
	if t == nil {
		t = &task{name: e.Task, job: c.job(trace.JobID(e.Task))}
		c.tasks[e.Task] = t
	} else if t.machine != m {
		c.violate(RanOnTwoMachines, "%s is started on %s while it is on %s", e.Task, m.name, t.machine.name)
	}
	t.machine, t.attempt = m, e.Attempt
	c.checkAttempts(t)
	m.used = m.used.Plus(t.job.need())
}

// startTask has an accepted task run.
func (c *checker) startTask(e trace.TaskStarted) {
	c.starts++
	t := c.tasks[e.Task]
	if t == nil || t.job.spec == nil {
		c.violate(InvalidTrace, "%s runs without a job or a machine", e.Task)
		return
	}
	t.startedOn = t.machine
	c.checkCancelled(t)
	c.checkMachine(t)
	c.checkQuota(t)
	c.checkZones(t)
}

// terminateMachine takes a machine away, with its tasks.
func (c *checker) terminateMachine(e trace.MachineTerminated) {
	for _, t := range c.sortedTasks() {
		if t.machine.name == e.Machine {
			c.removeTask(t)
		}
	}
	delete(c.machines, e.Machine)
}

// removeTask takes a task off its machine.
func (c *checker) removeTask(t *task) {
	if t.startedOn != nil {
		c.checkCancelled(t)
	}
	t.machine.used = t.machine.used.Minus(t.job.need())
	delete(c.tasks, t.name)
}

// checkEnd checks what must hold at the end of the trace.
func (c *checker) checkEnd() {
	for _, t := range c.sortedTasks() {
		if t.startedOn != nil {
			c.checkCancelled(t)
		}
	}
	if c.starts > 0 {
		return
	}
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			c.violate(NoTaskStarted, "no task was started")
			return
		}
	}
}

func (c *checker) violate(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}
