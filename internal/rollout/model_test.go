package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model has two controllers, one leased key, since partition and leader keys behave alike, and
// stored records, of which only the levels of their encodings matter. Deciding on a transaction
// and applying it are separate actions. Applying it fails if a condition has changed in between.

const modelControllers = 2

// versionLevels are the levels that each version of a process supports. The empty range stands for
// a version without feature levels.
var versionLevels = []LevelRange{{}, {1, 1}, {1, 2}, {1, 3}, {2, 3}}

type modelProcess struct {
	running          bool
	versionIndex     int        // index into versionLevels
	registeredLevels LevelRange // in its stored registration; empty if there is none
}

type model struct {
	state     State // without the epoch, which only increases
	processes [modelControllers]modelProcess
	// owner is 1 plus the index of the process that holds the lease, or 0 if none does. It
	// writes in the encoding of ownerWrites, which it read from the state at some earlier time.
	owner        int
	ownerWrites  Level
	storedLevels [4]bool // whether records in the encoding of each level are stored
	pendingStep  Step    // the step of a transaction in flight whose conditions still hold
	pendingState State   // the state that pendingStep results in
}

func (p modelProcess) knowsLevels() bool { return versionLevels[p.versionIndex].High > 0 }

// readableLevels returns the range of levels that a process reads.
func (p modelProcess) readableLevels() LevelRange {
	if !p.knowsLevels() {
		return LevelRange{BaseLevel, BaseLevel}
	}
	return versionLevels[p.versionIndex]
}

func (m *model) view(isLeader bool) ClusterView {
	view := ClusterView{Now: time.UnixMilli(0), Members: []string{"0", "1"}, Registrations: map[string]StoredRegistration{}, IsLeader: isLeader, IsUpToDate: true,
		PartitionCount: 1, MaxTransactionChanges: 10}
	for i, p := range m.processes {
		if p.registeredLevels.High > 0 {
			view.Registrations[fmt.Sprint(i)] = StoredRegistration{Registration: Registration{LevelRange: p.registeredLevels}}
		}
	}
	for level, isStored := range m.storedLevels {
		if isStored && Level(level) > m.state.WriteLevel() {
			view.NewerRecords++
		}
	}
	return view
}

// canTakeLease reports whether a process may take a lease in the current state. A version without
// feature levels only checks that the key is vacant, and its keys are closed above the base level.
func (m *model) canTakeLease(p modelProcess) bool {
	if !p.running || m.state.Phase == PhaseClosed {
		return false
	}
	if !p.knowsLevels() {
		return m.state.Level == BaseLevel
	}
	return m.state.Admits(versionLevels[p.versionIndex])
}

// action is a named action that changes the model.
type action struct {
	name  string
	apply func(*model)
}

// successors returns the states that one action leads to, and the name of each action.
func (m model) successors(versions int) (states []model, names []string) {
	for _, a := range m.actions(versions) {
		n := m
		a.apply(&n)
		if n != m {
			states, names = append(states, n), append(names, a.name)
		}
	}
	return states, names
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
	for _, request := range []Request{RequestFinalize, RequestAbort} {
		all = append(all, action{string(request), func(n *model) {
			n.state.Request = request
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
				p.registeredLevels = versionLevels[p.versionIndex]
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
			n.processes[i].running, n.processes[i].versionIndex = true, version
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
			m.pendingStep = NoStep // it was conditional on the leader's term
		}
	}
}

// ownerReadsState makes the owner read the current state.
func (m *model) ownerReadsState() {
	if m.owner == 0 {
		return
	}
	m.ownerWrites = BaseLevel
	if m.processes[m.owner-1].knowsLevels() {
		m.ownerWrites = m.state.WriteLevel()
	}
}

// registrationChanged voids a pending transaction that is conditional on the registrations.
func (m *model) registrationChanged() {
	if m.pendingStep == StepActivate || m.pendingStep == StepFinalize {
		m.pendingStep = NoStep
	}
}

func (m *model) decide(i int) {
	p := m.processes[i]
	if !p.running || !p.knowsLevels() || m.state.Phase != PhaseClosed && m.owner != i+1 || !m.state.Admits(versionLevels[p.versionIndex]) {
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

// violatedInvariant describes an invariant that does not hold, or returns "".
func (m *model) violatedInvariant() string {
	for level, isStored := range m.storedLevels {
		if isStored && Level(level) > m.state.Level {
			return fmt.Sprintf("a record in the encoding of level %d is stored at level %d", level, m.state.Level)
		}
	}
	if m.owner > 0 {
		for level, isStored := range m.storedLevels {
			if r := m.processes[m.owner-1].readableLevels(); isStored && Level(level) > r.High {
				return fmt.Sprintf("the owner reads levels %s, but a record in the encoding of level %d is stored", r, level)
			}
		}
	}
	if m.state.Level > 3 || m.state.validateWithoutEpoch() != nil {
		return fmt.Sprintf("invalid state %+v", m.state)
	}
	return ""
}

// invalidTransition describes what is wrong with a transition, or returns "".
func invalidTransition(before, after model) string {
	if d := int(after.state.Level) - int(before.state.Level); d > 1 || d < -1 {
		return fmt.Sprintf("the level changes from %d to %d in one step", before.state.Level, after.state.Level)
	}
	raised := after.state.Level > before.state.Level || after.state.Phase == PhaseActive && before.state.Phase == PhaseStable
	for i, p := range after.processes {
		if raised && !p.registeredLevels.Includes(after.state.ActiveLevel()) {
			return fmt.Sprintf("level %d was activated although controller %d reads levels %s", after.state.ActiveLevel(), i, p.registeredLevels)
		}
	}
	return ""
}

// validateWithoutEpoch validates a state of the model, which has no epoch.
func (s State) validateWithoutEpoch() error {
	s.Epoch = 1
	return s.validate()
}

func initialModel() model {
	m := model{state: InitialState}
	m.storedLevels[1] = true
	return m
}

// This test explores the whole state space for two controllers with versions that read up to level
// 2. No state violates an invariant, no step skips a level, and from each state there is a path to
// the base level, served by a version without feature levels, and one to level 2.
func TestReachableStatesAreSafeAndCanProceed(t *testing.T) {
	const versions = 3
	index := map[model]int32{initialModel(): 0}
	states := []model{initialModel()}
	var predecessors [][]int32 // of each state
	predecessors = append(predecessors, nil)
	for current := 0; current < len(states); current++ {
		m := states[current]
		if violation := m.violatedInvariant(); violation != "" {
			t.Fatalf("%s: %+v", violation, m)
		}
		successors, names := m.successors(versions)
		for k, n := range successors {
			if violation := invalidTransition(m, n); violation != "" {
				t.Fatalf("%s: %s: %+v", names[k], violation, m)
			}
			successor, known := index[n]
			if !known {
				successor = int32(len(states))
				index[n] = successor
				states, predecessors = append(states, n), append(predecessors, nil)
			}
			predecessors[successor] = append(predecessors[successor], int32(current))
		}
	}
	t.Logf("%d states", len(states))
	for name, goal := range map[string]func(model) bool{
		"the base level with an owner without feature levels": func(m model) bool {
			return m.state.Level == BaseLevel && m.state.Phase == PhaseStable && m.owner > 0 && !m.processes[m.owner-1].knowsLevels()
		},
		"level 2": func(m model) bool { return m.state.Level == 2 && m.state.Phase == PhaseStable && m.owner > 0 },
	} {
		if n := countWithoutPath(states, predecessors, goal); n > 0 {
			t.Errorf("from %d of %d states there is no path to %s", n, len(states), name)
		}
	}
}

// countWithoutPath counts the states from which no goal state can be reached.
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
		current := queue[0]
		queue = queue[1:]
		for _, from := range predecessors[current] {
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

// This test checks the invariants in random sequences of actions, with versions that read up to
// level 3 and one that no longer reads the base level.
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
