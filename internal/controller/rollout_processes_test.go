package controller

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// upgradeRounds is how many times processes are upgraded and rolled back; each draws an
// order of its own. A long run plays more, also from earlier versions (-old-version).
var upgradeRounds = flag.Int("upgrade-rounds", 1, "rounds of upgrades of real processes")

// upgradeSeed is the seed of the first round.
var upgradeSeed = flag.Uint64("upgrade-seed", 1, "seed of the first round of upgrades of real processes")

// upgradeRun is a cluster of real processes that is upgraded while jobs come.
type upgradeRun struct {
	*processCluster
	rng                  *rand.Rand
	newBinary, oldBinary string
	oldArguments         []string // arguments of the old version
	newArguments         []string

	mu             sync.Mutex
	phase          string
	submitLatency  map[string]*hdrhistogram.Histogram // of submissions in milliseconds, by phase
	phases         []string
	accepted       []string
	stopSubmitting chan struct{}
	submitters     sync.WaitGroup
}

// writeOperatorSettings writes operators' settings to a file.
func (p *processCluster) writeOperatorSettings(name, text string) []string {
	p.t.Helper()
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return []string{"--settings", path}
}

// enter begins a phase, by which delays are measured.
func (f *upgradeRun) beginPhase(phase string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = phase
	if f.submitLatency[phase] == nil {
		f.submitLatency[phase] = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
		f.phases = append(f.phases, phase)
	}
}

// submitSteadily submits a small job every so often until it is stopped.
func (f *upgradeRun) submitSteadily(round int) {
	defer f.submitters.Done()
	const interval = 250 * time.Millisecond
	for n := 0; ; n++ {
		select {
		case <-f.stopSubmitting:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("wk-%d%05d", round+1, n)
		body := newSubmission(submission{ID: id, Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 3, CPUs: 1, EstimateS: 1})
		switch n % 8 {
		case 0:
			body = newSubmission(submission{ID: id, Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 1, CPUs: 1})
		case 4:
			body.CheckpointS, body.SaveS = 2, 1
		}
		begun := time.Now()
		ok := f.trySubmit(body)
		f.mu.Lock()
		if ok {
			f.accepted = append(f.accepted, id)
		}
		_ = f.submitLatency[f.phase].RecordValue(time.Since(begun).Milliseconds())
		f.mu.Unlock()
		if n%8 == 0 && n >= 24 { // few services run at a time
			go f.sendWithRetries(cancelRequest(fmt.Sprintf("wk-%d%05d", round+1, n-24)), 20*time.Second)
		}
	}
}

// replaceProcess has a controller's process killed and come back as a version.
func (f *upgradeRun) replaceProcess(i int, old bool) {
	f.killProcess(i)
	time.Sleep(time.Duration(f.rng.IntN(600)) * time.Millisecond)
	if old {
		f.startProcess(i, f.oldBinary, f.oldArguments...)
	} else {
		f.startProcess(i, f.newBinary, f.newArguments...)
	}
}

// command runs an operator's command and returns the status that it prints.
func (f *upgradeRun) runUpgradeCommand(name string) *rollout.Status {
	f.t.Helper()
	var failure bytes.Buffer
	command := exec.Command(f.newBinary, "upgrade", name, "--json", "--wait", "30s", "--config", f.settingsPath(f.rng.IntN(3)))
	command.Stderr = &failure
	begun := time.Now()
	raw, err := command.Output()
	if err != nil {
		f.t.Fatalf("upgrade %s: %v after %v: %s%s; the state is %+v; the controllers' logs are in %s", name, err, time.Since(begun), raw, failure.Bytes(), f.storedRolloutState(), f.logs.Name())
	}
	var status rollout.Status
	if err := json.Unmarshal(raw, &status); err != nil {
		f.t.Fatalf("upgrade %s: %v: %s", name, err, raw)
	}
	return &status
}

// awaitPhase waits for a level in a phase.
func (f *upgradeRun) awaitPhase(level rollout.Level, phase rollout.Phase, limit time.Duration) {
	f.t.Helper()
	begun := time.Now()
	for time.Since(begun) < limit {
		if s := f.storedRolloutState(); s.Level == level && s.Phase == phase {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("level %d is not %s within %v: %+v", level, phase, limit, f.storedRolloutState())
}

// Three controllers, real processes on loopback, are upgraded one at a time in a drawn
// order under steady submission, abandoned halfway, killed, and rolled back after the
// switch; old ones come back in between. No job is lost, no task placed twice, no answer
// older than an earlier one: the rule checker judges by what users and workers saw.
func TestUpgradeOfRealProcesses(t *testing.T) {
	t.Parallel()
	bin := t.TempDir()
	newBinary := filepath.Join(bin, "today")
	buildController(t, "", newBinary)
	oldBinary := newBinary
	if *oldVersion != "" {
		oldBinary = filepath.Join(bin, "old")
		buildController(t, *oldVersion, oldBinary)
	}
	for round := range *upgradeRounds {
		seed := *upgradeSeed + uint64(round)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := &upgradeRun{processCluster: newProcessCluster(t), rng: rand.New(rand.NewPCG(seed, 17)), newBinary: newBinary, oldBinary: oldBinary,
				submitLatency: map[string]*hdrhistogram.Histogram{}, stopSubmitting: make(chan struct{})}
			f.newArguments = f.writeOperatorSettings("new.sexp", "(eiderhitch (feature-levels yes))")
			if *oldVersion == "" {
				f.oldArguments = f.writeOperatorSettings("old.sexp", "(eiderhitch (feature-levels yes) (highest-level 1))")
			}
			f.runRound(round)
		})
	}
}

func (f *upgradeRun) runRound(round int) {
	for i := range f.nodes {
		f.startProcess(i, f.oldBinary, f.oldArguments...)
	}
	f.beginPhase("old")
	f.submitters.Add(1)
	go f.submitSteadily(round)
	f.await("work runs", time.Minute, func() bool { return f.env.Starts() > 10 })
	f.beginPhase("one at a time")
	lastStartedAt := f.upgradeAll()
	f.awaitPhase(1, rollout.PhaseActive, time.Minute)
	f.t.Logf("from the last controller's start to the active level: %v", time.UnixMilli(f.storedRolloutState().PhaseStartedAt).Sub(lastStartedAt).Round(time.Millisecond))
	f.beginPhase("switch and rewriting")
	f.finalizeAndRewrite()
	f.beginPhase("after the switch")
	f.disruptControllers()
	f.beginPhase("way back")
	begun := time.Now()
	f.runUpgradeCommand("abort")
	f.awaitPhase(1, rollout.PhaseStable, time.Minute)
	f.t.Logf("the way back: %v", time.Since(begun).Round(time.Millisecond))
	for _, i := range f.rng.Perm(3) {
		f.replaceProcess(i, true)
		time.Sleep(time.Second)
	}
	f.beginPhase("old again")
	time.Sleep(3 * time.Second)
	f.checkRound()
}

// upgradeAll replaces one controller after the other, and goes back once on the way. It
// returns when the last one was started.
func (f *upgradeRun) upgradeAll() (lastStartedAt time.Time) {
	order := f.rng.Perm(3)
	f.t.Logf("order %v", order)
	f.replaceProcess(order[0], false)
	time.Sleep(1500 * time.Millisecond)
	f.replaceProcess(order[1], false)
	time.Sleep(500 * time.Millisecond)
	f.replaceProcess(order[f.rng.IntN(2)], true) // abandoned halfway
	time.Sleep(time.Second)
	for _, i := range order {
		f.replaceProcess(i, false)
		lastStartedAt = time.Now()
		time.Sleep(time.Duration(500+f.rng.IntN(1000)) * time.Millisecond)
	}
	return lastStartedAt
}

func (f *upgradeRun) finalizeAndRewrite() {
	f.t.Helper()
	before := f.countByEncoding()[record.PlainJSON]
	begun := time.Now()
	status := f.runUpgradeCommand("finalize")
	if status.State.Level != 2 {
		f.t.Fatalf("after finalize: %+v", status.State)
	}
	f.await("records are rewritten", time.Minute, func() bool { return f.countByEncoding()[record.PlainJSON] == 0 })
	f.t.Logf("%d records in the former form were rewritten, or done, within %v", before, time.Since(begun).Round(time.Millisecond))
}

// disturb has a controller come back old for a while, another one killed, and all.
func (f *upgradeRun) disruptControllers() {
	old := f.rng.IntN(3)
	f.replaceProcess(old, true)
	time.Sleep(4 * time.Second)
	f.replaceProcess((old+1)%3, false)
	time.Sleep(2 * time.Second)
	f.replaceProcess(old, false)
	time.Sleep(2 * time.Second)
	for i := range f.nodes {
		f.killProcess(i)
	}
	for i := range f.nodes {
		f.startProcess(i, f.newBinary, f.newArguments...)
	}
	time.Sleep(3 * time.Second)
}

// checkRound waits until all that was accepted is over, and judges.
func (f *upgradeRun) checkRound() {
	f.t.Helper()
	close(f.stopSubmitting)
	f.submitters.Wait()
	f.env.SetSettled()
	for _, id := range f.accepted {
		f.await(id+" is over", 2*time.Minute, func() bool {
			s := f.jobState(id)
			return s == wire.StateDone || s == wire.StateCancelled || f.env.Running(id) == 1
		})
	}
	for _, violation := range f.env.Violations() {
		f.t.Error(violation)
	}
	f.t.Logf("%d jobs accepted", len(f.accepted))
	for _, phase := range f.phases {
		h := f.submitLatency[phase]
		f.t.Logf("submission, %s: %d, 50%% %d ms, 95%% %d ms, most %d ms", phase, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.Max())
	}
	for i := range f.nodes {
		f.killProcess(i)
		f.t.Logf("controller %d: %v of processor time", i, f.cpuTime[i].Round(time.Millisecond))
	}
}
