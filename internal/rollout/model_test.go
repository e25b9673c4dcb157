package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model has two controllers, one leased key (partitions and leadership are alike) and the
// stored records, of which only the levels of their encodings matter. A transaction is decided
// upon at one moment and applied at another; it fails when a condition has changed meanwhile.

const modelControllers = 2

// versionLevels are the versions that a process may be of; an empty range is one that does
// not know levels.
var versionLevels = []LevelRange{{}, {1, 1}, {1, 2}, {1, 3}, {2, 3}}

type modelProcess struct {
	running          bool
	version          int        // in versionLevels
	registeredLevels LevelRange // in its record; empty: there is none
}

type model struct {
	state     State // its epoch is left out, it only ever rises
	processes [modelControllers]modelProcess
	// owner holds the lease, 0: nobody, else one more than its index. It writes as it last
	// saw the state, however long ago that was.
	owner        int
	ownerWrites  Level
	storedLevels [4]bool // of the encodings of stored records
	pendingStep  Step    // a transaction on its way whose conditions hold still
	pendingState State   // what it leads to
}

func (p modelProcess) knowsLevels() bool { return versionLevels[p.version].High > 0 }

// reads returns the range of levels that a process reads.
func (p modelProcess) readableLevels() LevelRange {
	if !p.knowsLevels() {
		return LevelRange{BaseLevel, BaseLevel}
	}
	return versionLevels[p.version]
}

func (m *model) view(leading bool) ClusterView {
	view := ClusterView{Now: time.UnixMilli(0), Members: []string{"0", "1"}, Registrations: map[string]StoredRegistration{}, IsLeader: leading, IsUpToDate: true,
		PartitionCount: 1, MaxTxnChanges: 10}
	for i, p := range m.processes {
		if p.registeredLevels.High > 0 {
			view.Registrations[fmt.Sprint(i)] = StoredRegistration{Registration: Registration{LevelRange: p.registeredLevels}}
		}
	}
	for level, there := range m.storedLevels {
		if there && Level(level) > m.state.WriteLevel() {
			view.NewerRecords++
		}
	}
	return view
}

// admitted tells whether a process may take a lease in the present state: one without levels
// goes by the keys alone, which are closed above the base level.
func (m *model) canTakeLease(p modelProcess) bool {
	if !p.running || m.state.Phase == PhaseClosed {
		return false
	}
	if !p.knowsLevels() {
		return m.state.Level == BaseLevel
	}
	return m.state.Admits(versionLevels[p.version])
}

// action is something that may happen, with its name.
type action struct {
	name  string
	apply func(*model)
}

// next lists the states that one action leads to, each with the action's name.
func (m model) successors(versions int) (out []model, names []string) {
	for _, a := range m.actions(versions) {
		n := m
		a.apply(&n)
		if n != m {
			out, names = append(out, n), append(names, a.name)
		}
	}
	return out, names
}

func (m model) actions(versions int) []action {
	all := []action{
		{"owner reads", (*model).ownerReadsState},
		{"lease expires", func(n *model) { n.releaseLease(n.owner - 1) }},
		{"write", (*model).write},
		{"rewrite", func(n *model) {
			if n.owner > 0 {
				n.storedLevels = [4]bool{}
			}
			n.write()
		}},
		{"commit", (*model).commit},
	}
	for _, w := range []Request{RequestFinalize, RequestAbort} {
		all = append(all, action{string(w), func(n *model) {
			n.state.Request = w
			n.pendingStep = NoStep
		}})
	}
	for i := range m.processes {
		all = append(all, processActions(i, versions)...)
	}
	return all
}

func processActions(i, versions int) []action {
	all := []action{
		{fmt.Sprintf("kill %d", i), func(n *model) { n.processes[i].running = false }},
		{fmt.Sprintf("lease of %d ends", i), func(n *model) {
			n.processes[i].registeredLevels = LevelRange{}
			n.registrationChanged()
		}},
		{fmt.Sprintf("register %d", i), func(n *model) {
			if p := &n.processes[i]; p.running && p.knowsLevels() {
				p.registeredLevels = versionLevels[p.version]
				n.registrationChanged()
			}
		}},
		{fmt.Sprintf("take lease %d", i), func(n *model) {
			if n.owner == 0 && n.canTakeLease(n.processes[i]) {
				n.owner = i + 1
				n.ownerReadsState()
			}
		}},
		{fmt.Sprintf("decide %d", i), func(n *model) { n.decide(i) }},
	}
	for version := range versions {
		all = append(all, action{fmt.Sprintf("restart %d as %v", i, versionLevels[version]), func(n *model) {
			n.processes[i].running, n.processes[i].version = true, version
			n.releaseLease(i)
		}})
	}
	return all
}

func (m *model) write() {
	if m.owner > 0 {
		m.storedLevels[m.ownerWrites] = true
	}
}

func (m *model) releaseLease(i int) {
	if m.owner == i+1 {
		m.owner, m.ownerWrites = 0, 0
		if m.state.Phase != PhaseClosed {
			m.pendingStep = NoStep // it was conditional on the term
		}
	}
}

// ownerReadsState has the owner read the present state.
func (m *model) ownerReadsState() {
	if m.owner == 0 {
		return
	}
	m.ownerWrites = BaseLevel
	if m.processes[m.owner-1].knowsLevels() {
		m.ownerWrites = m.state.WriteLevel()
	}
}

// registrationChanged fails what is conditional on the controllers' records.
func (m *model) registrationChanged() {
	if m.pendingStep == StepActivate || m.pendingStep == StepFinalize {
		m.pendingStep = NoStep
	}
}

func (m *model) decide(i int) {
	p := m.processes[i]
	if !p.running || !p.knowsLevels() || m.state.Phase != PhaseClosed && m.owner != i+1 || !m.state.Admits(versionLevels[p.version]) {
		return
	}
	step, next := Decide(m.state, m.view(m.owner == i+1))
	next.Epoch = 0
	m.pendingStep, m.pendingState = step, next
	if step == NoStep {
		m.pendingState = State{}
	}
}

func (m *model) commit() {
	step := m.pendingStep
	if step == NoStep {
		return
	}
	m.state = m.pendingState
	m.pendingStep, m.pendingState = NoStep, State{}
	if step == StepFinalize || step == StepClose {
		m.owner, m.ownerWrites = 0, 0
	}
}

// broken returns which invariant does not hold, or "".
func (m *model) violatedInvariant() string {
	for level, there := range m.storedLevels {
		if there && Level(level) > m.state.Level {
			return fmt.Sprintf("encoding %d is stored at level %d", level, m.state.Level)
		}
	}
	if m.owner > 0 {
		for level, there := range m.storedLevels {
			if r := m.processes[m.owner-1].readableLevels(); there && Level(level) > r.High {
				return fmt.Sprintf("the owner reads %s, encoding %d is stored", r, level)
			}
		}
	}
	if m.state.Level > 3 || m.state.validateWithoutEpoch() != nil {
		return fmt.Sprintf("state %+v makes no sense", m.state)
	}
	return ""
}

// invalidTransition returns what is wrong with a transition, or "".
func invalidTransition(m, n model) string {
	if d := int(n.state.Level) - int(m.state.Level); d > 1 || d < -1 {
		return fmt.Sprintf("from level %d to %d", m.state.Level, n.state.Level)
	}
	raised := n.state.Level > m.state.Level || n.state.Phase == PhaseActive && m.state.Phase == PhaseStable
	for i, p := range n.processes {
		if raised && !p.registeredLevels.Includes(n.state.ActiveLevel()) {
			return fmt.Sprintf("level %d is raised though controller %d reads %s", n.state.ActiveLevel(), i, p.registeredLevels)
		}
	}
	return ""
}

// validateWithoutEpoch validates a state with the epoch that the model leaves out.
func (s State) validateWithoutEpoch() error {
	s.Epoch = 1
	return s.validate()
}

func initialModel() model {
	m := model{state: InitialState}
	m.storedLevels[1] = true
	return m
}

// The whole state space for two controllers of versions that read up to level 2: no
// invariant breaks in any state, no step skips a level, and from each state there is a
// way both to the base level, served by a version without levels, and to level 2.
func TestReachableStatesAreSafeAndCanProceed(t *testing.T) {
	const versions = 3
	index := map[model]int32{initialModel(): 0}
	states := []model{initialModel()}
	var predecessors [][]int32 // by state: those that lead to it
	predecessors = append(predecessors, nil)
	for at := 0; at < len(states); at++ {
		m := states[at]
		if why := m.violatedInvariant(); why != "" {
			t.Fatalf("%s: %+v", why, m)
		}
		successors, names := m.successors(versions)
		for k, n := range successors {
			if why := invalidTransition(m, n); why != "" {
				t.Fatalf("%s: %s: %+v", names[k], why, m)
			}
			to, known := index[n]
			if !known {
				to = int32(len(states))
				index[n] = to
				states, predecessors = append(states, n), append(predecessors, nil)
			}
			predecessors[to] = append(predecessors[to], int32(at))
		}
	}
	t.Logf("%d states", len(states))
	for name, goal := range map[string]func(model) bool{
		"the base level with an owner that does not know levels": func(m model) bool {
			return m.state.Level == BaseLevel && m.state.Phase == PhaseStable && m.owner > 0 && !m.processes[m.owner-1].knowsLevels()
		},
		"level 2": func(m model) bool { return m.state.Level == 2 && m.state.Phase == PhaseStable && m.owner > 0 },
	} {
		if n := countWithoutPath(states, predecessors, goal); n > 0 {
			t.Errorf("%d of %d states have no way to %s", n, len(states), name)
		}
	}
}

// unreachable counts the states from which no goal can be reached.
func countWithoutPath(states []model, predecessors [][]int32, goal func(model) bool) int {
	reached := make([]bool, len(states))
	var queue []int32
	for i, m := range states {
		if goal(m) {
			reached[i] = true
			queue = append(queue, int32(i))
		}
	}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, from := range predecessors[at] {
			if !reached[from] {
				reached[from] = true
				queue = append(queue, from)
			}
		}
	}
	count := 0
	for _, ok := range reached {
		if !ok {
			count++
		}
	}
	return count
}

// Generated walks with versions that read up to level 3, and one that has given up the
// base level.
func TestRandomUpgradeSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := initialModel()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			successors, names := m.successors(len(versionLevels))
			k := rapid.IntRange(0, len(successors)-1).Draw(t, "action")
			if why := invalidTransition(m, successors[k]); why != "" {
				t.Fatalf("%s: %s: %+v", names[k], why, m)
			}
			m = successors[k]
			if why := m.violatedInvariant(); why != "" {
				t.Fatalf("after %s: %s: %+v", names[k], why, m)
			}
		}
	})
}
