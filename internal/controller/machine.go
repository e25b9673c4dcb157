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

	// Direct commands.
	directInFlight       bool
	directCarriesStart   bool   // the one in flight carries a start
	directAgain          bool   // more came up while one was in flight
	directQueued         bool   // for its turn, see queueDirect
	pingQueued           bool   // to be told our token
	unansweredStartToken uint64 // term of a start that went unanswered
	// startInResponse: an answer to a report carries a start, and no later report has
	// come yet. The worker handles one report at a time, so the next one proves
	// that the answer was executed or dropped; until then the start may still
	// arrive, and neither absence nor a reap is safe.
	startInResponse    bool
	directBackoffUntil time.Time // no direct commands before then
	answeredAt         time.Time
	// A machine may report and yet hear nothing: neither our answers nor direct
	// commands. unanswered counts the latter since the last that was answered;
	// lapsed means that it lost its lease although we answered its reports, and
	// has not answered us since.
	unanswered          int
	leaseExpiredUnheard bool

	// Looked up once in a step, see controller.schedulable and pinnedBy.
	schedulable, runsService         bool
	schedulableStep, runsServiceStep uint64
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
