package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// machine is what a controller knows of one machine.
type machine struct {
	name, addr, machineType, zone string
	spot                          bool
	index                         scheduling.MachineIndex
	hashPartition                 int             // its part, unless it is lent
	partition                     int             // the part that it is in now
	listed                        bool            // among that part's machines
	inPartitionSince              time.Time       // when it last came to another part
	lastBoundAt                   time.Time       // when a task was last bound to it there, of one that is lent
	bindings                      machineBindings // by stored bindings
	terminated                    bool

	// Known to the owner, from reports.
	incarnation, sequence uint64
	token                 uint64
	heartbeatAt           time.Time // last report
	leaseRenewedAt        time.Time // last time we sent a 200, which may have renewed its lease
	terminationAt         time.Time // when the cloud takes it; zero: no notice
	tasks                 []wire.TaskStatus
	images                map[string]bool
	fetching              map[string]time.Time // images that are being fetched, since when
	avoidUntil            time.Time            // nothing is placed on it before then
	failedJobs            map[string]time.Time // jobs of which a task failed here, and when
	cordoned              bool
	cordonedAt            time.Time

	// startInResponse: a response to a heartbeat carries a start, and no later heartbeat
	// has come. A worker has one heartbeat in flight at a time, so the next one proves that
	// the response was executed or dropped. Until then the start may still arrive, and
	// neither absence nor forgetting an exited task is safe.
	startInResponse bool
	// answeredAt is when the machine last sent anything new: a heartbeat, or its answer to a
	// direct command.
	answeredAt time.Time
	// leaseExpiredUnheard: the machine lost its lease although its heartbeats were answered,
	// and has not answered a direct command since. It may send without receiving anything.
	leaseExpiredUnheard bool
	direct              directState

	// Looked up once in a step, see clusterState.schedulable and clusterState.runsService.
	schedulable, runsService         bool
	schedulableStep, runsServiceStep uint64
}

// directState is the state of the direct commands to one machine.
type directState struct {
	inFlight     bool // a request is under way; there is one at a time
	carriesStart bool // the one under way carries a start
	repeat       bool // commands were wanted while one was under way: they are sent after it
	// unansweredStartToken is the token of a start that went unanswered and may arrive as
	// long as the machine has seen no higher one; 0: none.
	unansweredStartToken uint64
	// backoffUntil: nothing is sent before then.
	backoffUntil time.Time
	// unanswered counts the requests without an answer since the last answer.
	unanswered int
}

// startMayArrive tells whether a start that the machine was sent may still arrive: one in a
// response to a heartbeat, in a direct command under way, or in one that went unanswered
// under the owner's present token.
func (m *machine) startMayArrive(p *partition) bool {
	return m.direct.unansweredStartToken == p.token || m.direct.carriesStart || m.startInResponse
}

// machineBindings are the tasks that are bound to a machine: few, and gone through in every
// step and with every report.
type machineBindings []machineBinding

type machineBinding struct {
	task  scheduling.Task
	group *taskGroup
}

func (s *machineBindings) add(t scheduling.Task, group *taskGroup) {
	s.remove(t)
	*s = append(*s, machineBinding{t, group})
}

func (s *machineBindings) remove(t scheduling.Task) {
	*s = slices.DeleteFunc(*s, func(x machineBinding) bool { return x.task == t })
}

func (c *clusterState) machineNamed(name string) *machine {
	m := c.machines[name]
	if m == nil {
		m = &machine{name: name, index: scheduling.MachineIndex(len(c.machineByIndex)), hashPartition: partitionOf(name, c.cfg.Settings.Count), images: map[string]bool{}, fetching: map[string]time.Time{}, failedJobs: map[string]time.Time{}}
		m.terminated = c.terminated[name]
		m.partition = c.partitionOfMachine(m)
		c.machines[name] = m
		c.machineByIndex = append(c.machineByIndex, m)
		c.addToPartition(m)
	}
	return m
}

// introduce notes what others have said of a machine: its address, and a session
// that it has begun. Only the machine's own reports tell more.
func (m *machine) introduce(addr string, session uint64) {
	if m.addr == "" {
		m.addr = addr
	}
	if session > m.incarnation {
		m.incarnation, m.sequence = session, 0
	}
}

// setMachineSize makes a machine's cells known to its part once its type is.
func (c *clusterState) setMachineSize(m *machine) {
	p := c.partitions[m.partition]
	t := c.machineTypes[m.machineType]
	if p.token == 0 || t == nil || m.terminated || m.heartbeatAt.IsZero() {
		return
	}
	p.cells.SetMachine(m.index, scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB))
}

// partitionOfMachine is the part that a machine is in by what is stored.
func (c *clusterState) partitionOfMachine(m *machine) int {
	if loan := c.loans[m.name]; loan != nil && loan.Acknowledged {
		return c.loanPartition()
	}
	return m.hashPartition
}

// addToPartition puts a machine among those of its part.
func (c *clusterState) addToPartition(m *machine) {
	if !m.listed {
		m.listed = true
		p := c.partitions[m.partition]
		p.machines = append(p.machines, m)
	}
}

// removeMachines takes machines out of a part's list.
func (p *partition) removeMachines(out func(*machine) bool) {
	p.machines = slices.DeleteFunc(p.machines, func(m *machine) bool {
		if !out(m) {
			return false
		}
		m.listed = false
		return true
	})
}

// ownsMachineSince is since when a part's owner has had a machine.
func (p *partition) ownsMachineSince(m *machine) time.Time {
	if m.inPartitionSince.After(p.ownedSince) {
		return m.inPartitionSince
	}
	return p.ownedSince
}
