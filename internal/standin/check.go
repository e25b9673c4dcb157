package standin

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// Kind of an event.
type Kind int

// What users, workers and the cloud can see.
const (
	MachineUp   Kind = iota
	MachineGone      // with all that is on it
	TaskHeld         // its start was accepted: it takes its place on the machine
	TaskOn           // it has its image
	TaskOff          // it has left the machine
	TaskDone         // its result is kept
	Answered         // a user got an answer, or none
	Ended            // nothing more was seen
)

// Call is what a user asked.
type Call int

// The users' calls.
const (
	Submit Call = iota
	Poll
	Cancel
)

// Event is something that was seen outside the controllers.
type Event struct {
	At      time.Time
	Kind    Kind
	Task    string // TaskHeld to TaskDone
	Attempt uint64 // TaskHeld
	Machine string
	Type    string // MachineUp
	Zone    string
	Spot    bool
	Size    scheduling.Resources
	Job     string // Answered
	Spec    *wire.Job
	Call    Call
	Asked   time.Time
	Status  int // 0: no answer
	State   string
}

// Rules are what a trace is checked against.
type Rules struct {
	Cancel time.Duration // in which a cancelled job's tasks must be gone
	Limits map[string]scheduling.Resources
	// Quiet is when all troubles were over; zero: they never were.
	Quiet time.Time
}

// How long a job may be unanswered, and wait beside room, and how many of the answers
// of a spell make "most others".
const (
	silentMost      = 90 * time.Second
	silentQuietMost = 75 * time.Second
	waitMost        = 90 * time.Second
)

// checker goes through a trace. It knows nothing of the controllers' state.
type checker struct {
	rules     Rules
	breaches  []string
	specs     map[string]*wire.Job
	submitted map[string]time.Time // first asked
	asked     map[string]time.Time // first cancellation asked
	accepted  map[string]time.Time // first told
	final     map[string]string    // told
	finalAt   map[string]time.Time
	done      map[string]int
	doneTasks map[string]bool
	silent    map[string]time.Time // since when a job's polls get no answer
	answers   []time.Time          // of polls that were answered
	on        map[string]*place
	held      map[string]*place
	attempts  map[string]uint64 // of each task's last start
	machines  map[string]*place
	used      map[*place]scheduling.Resources
	waits     map[string]time.Time
	starts    int
	now       time.Time
	looked    time.Time // at who waits
}

// place is a machine.
type place struct {
	name, typ, zone string
	spot            bool
	size            scheduling.Resources
}

// Check lists the rules that a trace breaks: those of the protocol and what the users
// ask of all deployments.
func Check(trace []Event, rules Rules) []string {
	c := &checker{rules: rules, specs: map[string]*wire.Job{}, submitted: map[string]time.Time{}, asked: map[string]time.Time{}, accepted: map[string]time.Time{},
		final: map[string]string{}, finalAt: map[string]time.Time{}, done: map[string]int{}, doneTasks: map[string]bool{}, silent: map[string]time.Time{},
		on: map[string]*place{}, held: map[string]*place{}, attempts: map[string]uint64{}, machines: map[string]*place{}, used: map[*place]scheduling.Resources{}, waits: map[string]time.Time{}}
	for i := range trace {
		if e := &trace[i]; e.Kind == Answered {
			first(c.submitted, e, Submit)
			first(c.asked, e, Cancel)
			if e.Spec != nil {
				c.specs[e.Job] = e.Spec
			}
		}
	}
	trace = slices.Clone(trace)
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].At.Before(trace[j].At) })
	for i := range trace {
		e := &trace[i]
		c.now = e.At
		c.waiting()
		c.event(e)
	}
	for t := range c.on {
		c.checkCancelled(t, c.now)
	}
	if c.starts == 0 && len(c.accepted) > 0 {
		c.breach("nothing_ran: no task was started")
	}
	return c.breaches
}

// first notes when a call was first made for a job.
func first(at map[string]time.Time, e *Event, call Call) {
	if t, ok := at[e.Job]; e.Call == call && (!ok || e.Asked.Before(t)) {
		at[e.Job] = e.Asked
	}
}

func (c *checker) breach(format string, args ...any) {
	c.breaches = append(c.breaches, fmt.Sprintf(format, args...))
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

func (c *checker) event(e *Event) {
	switch e.Kind {
	case MachineUp:
		c.machines[e.Machine] = &place{e.Machine, e.Type, e.Zone, e.Spot, e.Size}
	case MachineGone:
		for t, p := range c.held {
			if p.name == e.Machine {
				c.off(t, e.At)
			}
		}
		delete(c.machines, e.Machine)
	case TaskHeld:
		p := c.machines[e.Machine]
		if p == nil {
			c.breach("trace: %s on machine %s, which is not up", e.Task, e.Machine)
			return
		}
		if o := c.held[e.Task]; o != nil && o != p {
			c.breach("ran_twice: %s is started on %s while it is on %s", e.Task, p.name, o.name)
		}
		c.held[e.Task] = p
		c.oneAttempt(e)
		if s := c.specs[jobOf(e.Task)]; s != nil {
			c.used[p] = c.used[p].Plus(needOf(s))
		}
	case TaskOn:
		c.taskOn(e)
	case TaskOff:
		if p := c.held[e.Task]; p != nil && p.name == e.Machine {
			c.off(e.Task, e.At)
		}
	case TaskDone:
		if !c.doneTasks[e.Task] { // a result that is kept may be reported twice
			c.doneTasks[e.Task] = true
			c.done[jobOf(e.Task)]++
		}
	case Answered:
		c.answered(e)
	}
}

// oneAttempt checks that no task of a gang is started while one of an earlier attempt is on
// its machine. The protocol forbids it for the same task, and in another zone for others;
// nothing is won by it anywhere, since the two attempts' tasks never find each other.
func (c *checker) oneAttempt(e *Event) {
	id := jobOf(e.Task)
	c.attempts[e.Task] = e.Attempt
	if s := c.specs[id]; s == nil || !s.Gang {
		return
	}
	for t := range c.held {
		if jobOf(t) == id && c.attempts[t] < e.Attempt {
			c.breach("two_attempts: %s is started as attempt %d while %s is there as attempt %d", e.Task, e.Attempt, t, c.attempts[t])
			return
		}
	}
}

func needOf(s *wire.Job) scheduling.Resources { return scheduling.NewResources(s.CPUs, s.GPUs, s.RAM) }

func (c *checker) off(task string, at time.Time) {
	if c.on[task] != nil {
		c.checkCancelled(task, at)
	}
	if s, p := c.specs[jobOf(task)], c.held[task]; s != nil {
		c.used[p] = c.used[p].Minus(needOf(s))
	}
	delete(c.on, task)
	delete(c.held, task)
}

func (c *checker) checkCancelled(task string, at time.Time) {
	id := jobOf(task)
	if c.final[id] != wire.Cancelled {
		return
	}
	if d := at.Sub(c.finalAt[id]); d > c.rules.Cancel {
		c.breach("ran_cancelled: %s is there %v after its user was told", task, d)
	}
}

func (c *checker) taskOn(e *Event) {
	c.starts++
	id, p := jobOf(e.Task), c.held[e.Task]
	s := c.specs[id]
	if s == nil || p == nil {
		c.breach("trace: %s runs without a job or a machine", e.Task)
		return
	}
	c.on[e.Task] = p
	c.checkCancelled(e.Task, e.At)
	if p.spot && !s.Spot || s.Zone != "" && s.Zone != p.zone || len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, p.typ) {
		c.breach("wrong_place: %s on %s (%s in %s)", e.Task, p.name, p.typ, p.zone)
	}
	var team scheduling.Resources
	zones := map[string]int{}
	for t, o := range c.on {
		x := c.specs[jobOf(t)]
		if x.Team == s.Team {
			team = team.Plus(needOf(x))
		}
		if jobOf(t) == id {
			zones[o.zone]++
		}
	}
	if lim, ok := c.rules.Limits[s.Team]; ok && (lim.CPU > 0 && team.CPU > lim.CPU || lim.GPU > 0 && team.GPU > lim.GPU) {
		c.breach("quota: %s uses %v of %v", s.Team, team, lim)
	}
	if s.SingleZone && len(zones) > 1 || s.Spread && zones[p.zone] > (s.Tasks+1)/2 {
		c.breach("wrong_place: %s among %v", e.Task, zones)
	}
}

// answered checks an answer against all that users were told before it was asked for.
func (c *checker) answered(e *Event) {
	if e.Call == Poll {
		c.poll(e)
	}
	id := e.Job
	at, submitted := c.submitted[id]
	known := c.accepted[id]
	knew := !known.IsZero() && e.Asked.After(known)
	switch {
	case e.Status == 200 || e.Status == 201:
		if !submitted || at.After(e.At) {
			c.breach("invented: %s, which nobody submitted, is %s", id, e.State)
			return
		}
		if known.IsZero() {
			c.accepted[id] = e.At
		}
	case e.Status == 404 && knew:
		c.breach("forgotten: %s is not known any more", id)
		return
	case (e.Status == 400 || e.Status == 422) && e.Call == Submit && knew:
		c.breach("forgotten: %s is refused with %d when it is submitted again", id, e.Status)
		return
	default:
		return
	}
	told, over := c.final[id]
	if over && e.State != told && e.Asked.After(c.finalAt[id]) {
		c.breach("went_back: %s is %s after it was %s", id, e.State, told)
	}
	if e.State != wire.Done && e.State != wire.Cancelled {
		return
	}
	if over && e.State != told {
		c.breach("went_back: %s is both %s and %s", id, told, e.State)
	}
	if !over {
		c.final[id], c.finalAt[id] = e.State, e.At
	}
	if ask, ok := c.asked[id]; e.State == wire.Cancelled && (!ok || ask.After(e.At)) {
		c.breach("went_back: %s is cancelled, and its user did not ask for it", id)
	}
	if s := c.specs[id]; e.State == wire.Done && s != nil && c.done[id] < s.Tasks {
		c.breach("not_done: %s has %d of %d tasks done", id, c.done[id], s.Tasks)
	}
}

// poll notes for how long a job's polls have got no answer.
func (c *checker) poll(e *Event) {
	if e.Status == 200 || e.Status == 404 {
		delete(c.silent, e.Job)
		c.answers = append(c.answers, e.At)
		return
	}
	since, ok := c.silent[e.Job]
	if !ok {
		since = e.Asked
		c.silent[e.Job] = since
	}
	if c.accepted[e.Job].IsZero() {
		return
	}
	quiet := !c.rules.Quiet.IsZero() && e.At.Sub(latest(since, c.rules.Quiet)) > silentQuietMost
	if !quiet && e.At.Sub(since) <= silentMost {
		return
	}
	others := 0
	for _, at := range c.answers {
		if at.After(since) {
			others++
		}
	}
	if quiet || others > len(c.silent) {
		c.breach("forgotten: %s is not answered for %v", e.Job, e.At.Sub(since))
		delete(c.silent, e.Job)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waiting finds jobs that wait beside a machine with room for them once the troubles
// are over.
func (c *checker) waiting() {
	if c.rules.Quiet.IsZero() || c.now.Before(c.rules.Quiet) || c.now.Sub(c.looked) < time.Second {
		return
	}
	c.looked = c.now
	there := map[string]int{}
	team := map[string]scheduling.Resources{}
	for t := range c.held {
		id := jobOf(t)
		there[id]++
		if s := c.specs[id]; s != nil {
			team[s.Team] = team[s.Team].Plus(needOf(s))
		}
	}
	for id := range c.accepted {
		s := c.specs[id]
		if s == nil || c.final[id] != "" || !c.asked[id].IsZero() || !c.beside(s, there[id], team[s.Team]) {
			delete(c.waits, id)
			continue
		}
		since, ok := c.waits[id]
		if !ok {
			c.waits[id] = c.now
		} else if c.now.Sub(since) > waitMost {
			c.breach("waits: %s (%d of %d tasks there, %d done) beside room for %v", id, there[id], s.Tasks, c.done[id], c.now.Sub(since))
			delete(c.waits, id)
		}
	}
}

// beside tells whether tasks of a job are missing for which there is room.
func (c *checker) beside(s *wire.Job, there int, used scheduling.Resources) bool {
	missing := s.Tasks - there - c.done[s.ID]
	if missing <= 0 {
		return false
	}
	if !s.AllOrNothing() || there > 0 {
		missing = 1
	}
	need := needOf(s)
	want := need.Times(missing)
	if lim, ok := c.rules.Limits[s.Team]; ok && (lim.CPU > 0 && used.CPU+want.CPU > lim.CPU || lim.GPU > 0 && used.GPU+want.GPU > lim.GPU) {
		return false
	}
	perZone := map[string]int{}
	for t, p := range c.held {
		if jobOf(t) == s.ID {
			perZone[p.zone]++
		}
	}
	room := map[string]int{}
	for _, p := range c.machines {
		if p.spot && !s.Spot || s.Zone != "" && s.Zone != p.zone || len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, p.typ) {
			continue
		}
		if s.SingleZone && len(perZone) > 0 && perZone[p.zone] == 0 {
			continue
		}
		zone := ""
		if s.SingleZone || s.Spread {
			zone = p.zone
		}
		room[zone] += p.size.Minus(c.used[p]).CountFitting(need, missing)
	}
	total := 0
	for z, n := range room {
		if s.Spread {
			n = min(n, (s.Tasks+1)/2-perZone[z])
		}
		if s.SingleZone && n < missing {
			n = 0
		}
		total += n
	}
	return total >= missing
}
