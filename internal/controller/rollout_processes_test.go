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

// upgradeRounds is the number of times that the processes are upgraded and rolled back. Each round
// draws its own order of the controllers. Long runs set more rounds, also with earlier versions
// (-old-version).
var upgradeRounds = flag.Int("upgrade-rounds", 1, "number of rounds in which real processes are upgraded and rolled back")

// upgradeSeed is the seed of the first round.
var upgradeSeed = flag.Uint64("upgrade-seed", 1, "seed of the first round of upgrades of real processes; it grows by 1 with each round")

// upgradeRun is one round: a cluster of real processes that is upgraded and rolled back while jobs
// are submitted.
type upgradeRun struct {
	*processCluster
	rng                  *rand.Rand
	newBinary, oldBinary string
	oldArguments         []string // command-line arguments of the old version
	newArguments         []string // command-line arguments of the current version

	mu             sync.Mutex // guards the fields below up to acceptedIDs
	currentPhase   string
	submitLatency  map[string]*hdrhistogram.Histogram // in milliseconds, by phase
	phases         []string                           // in order
	acceptedIDs    []string                           // IDs of the accepted jobs
	stopSubmitting chan struct{}                      // closed to stop submitSteadily
	submitters     sync.WaitGroup                     // waits for submitSteadily
}

// writeOperatorSettings writes an operator's settings file and returns the command-line arguments
// that select it.
func (p *processCluster) writeOperatorSettings(name, text string) []string {
	p.t.Helper()
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return []string{"--settings", path}
}

// beginPhase begins a phase. The latency of submissions is measured separately for each phase.
func (u *upgradeRun) beginPhase(phase string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.currentPhase = phase
	if u.submitLatency[phase] == nil {
		u.submitLatency[phase] = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
		u.phases = append(u.phases, phase)
	}
}

// submitSteadily submits small jobs at a fixed interval until stopSubmitting is closed. Every eighth
// job is a service.
func (u *upgradeRun) submitSteadily(round int) {
	defer u.submitters.Done()
	const interval = 250 * time.Millisecond
	for n := 0; ; n++ {
		select {
		case <-u.stopSubmitting:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("wk-%d%05d", round+1, n)
		job := newSubmission(submission{ID: id, Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 3, CPUs: 1, EstimateS: 1})
		switch n % 8 {
		case 0:
			job = newSubmission(submission{ID: id, Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 1, CPUs: 1})
		case 4:
			job.CheckpointS, job.SaveS = 2, 1
		}
		startedAt := time.Now()
		ok := u.trySubmit(job)
		u.mu.Lock()
		if ok {
			u.acceptedIDs = append(u.acceptedIDs, id)
		}
		_ = u.submitLatency[u.currentPhase].RecordValue(time.Since(startedAt).Milliseconds())
		u.mu.Unlock()
		if n%8 == 0 && n >= 24 { // limits how many services run at a time
			go u.sendWithRetries(cancelRequest(fmt.Sprintf("wk-%d%05d", round+1, n-24)), 20*time.Second)
		}
	}
}

// replaceProcess kills a controller's process and, after up to 0.6 s, starts the old version if
// useOldVersion is set, and the current version otherwise.
func (u *upgradeRun) replaceProcess(i int, useOldVersion bool) {
	u.killProcess(i)
	time.Sleep(time.Duration(u.rng.IntN(600)) * time.Millisecond)
	if useOldVersion {
		u.startProcess(i, u.oldBinary, u.oldArguments...)
	} else {
		u.startProcess(i, u.newBinary, u.newArguments...)
	}
}

// runUpgradeCommand runs an eiderhitch upgrade command and returns the status that it prints.
func (u *upgradeRun) runUpgradeCommand(name string) *rollout.Status {
	u.t.Helper()
	var stderr bytes.Buffer
	command := exec.Command(u.newBinary, "upgrade", name, "--json", "--wait", "30s", "--config", u.settingsPath(u.rng.IntN(3)))
	command.Stderr = &stderr
	startedAt := time.Now()
	raw, err := command.Output()
	if err != nil {
		u.t.Fatalf("upgrade %s: %v after %v: %s%s; the stored state is %+v; the controllers' logs are in %s", name, err, time.Since(startedAt), raw, stderr.Bytes(), u.storedRolloutState(), u.logFile.Name())
	}
	var status rollout.Status
	if err := json.Unmarshal(raw, &status); err != nil {
		u.t.Fatalf("upgrade %s: can't decode the printed status: %v: %s", name, err, raw)
	}
	return &status
}

// awaitPhase waits until the stored state has the level and the phase.
func (u *upgradeRun) awaitPhase(level rollout.Level, phase rollout.Phase, timeout time.Duration) {
	u.t.Helper()
	startedAt := time.Now()
	for time.Since(startedAt) < timeout {
		if s := u.storedRolloutState(); s.Level == level && s.Phase == phase {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	u.t.Fatalf("level %d did not reach phase %s within %v: the stored state is %+v", level, phase, timeout, u.storedRolloutState())
}

// Three real controller processes are upgraded one at a time in a random order while jobs are
// submitted steadily. On the way one of them returns to the old version; after the new level is
// final, controllers are killed or replaced by the old version, and at the end the upgrade is
// rolled back. The rule checker verifies from the responses to users and the events on machines
// that no job is lost, no task runs on two machines and no response contradicts an earlier one.
func TestUpgradeOfRealProcesses(t *testing.T) {
	t.Parallel()
	bin := t.TempDir()
	newBinary := filepath.Join(bin, "new")
	buildController(t, "", newBinary)
	oldBinary := newBinary
	if *oldVersion != "" {
		oldBinary = filepath.Join(bin, "old")
		buildController(t, *oldVersion, oldBinary)
	}
	for round := range *upgradeRounds {
		seed := *upgradeSeed + uint64(round)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			u := &upgradeRun{processCluster: newProcessCluster(t), rng: rand.New(rand.NewPCG(seed, 17)), newBinary: newBinary, oldBinary: oldBinary,
				submitLatency: map[string]*hdrhistogram.Histogram{}, stopSubmitting: make(chan struct{})}
			u.newArguments = u.writeOperatorSettings("new.sexp", "(eiderhitch (feature-levels yes))")
			if *oldVersion == "" {
				u.oldArguments = u.writeOperatorSettings("old.sexp", "(eiderhitch (feature-levels yes) (highest-level 1))")
			}
			u.runRound(round)
		})
	}
}

// runRound runs one round: it upgrades all controllers, makes the level final, disrupts the
// controllers and rolls the upgrade back.
func (u *upgradeRun) runRound(round int) {
	for i := range u.nodes {
		u.startProcess(i, u.oldBinary, u.oldArguments...)
	}
	u.beginPhase("old")
	u.submitters.Add(1)
	go u.submitSteadily(round)
	u.await("the first tasks run", time.Minute, func() bool { return u.env.CountStartedTasks() > 10 })
	u.beginPhase("rolling upgrade")
	lastStartedAt := u.upgradeAll()
	u.awaitPhase(1, rollout.PhaseActive, time.Minute)
	u.t.Logf("from the start of the last controller until the level is active: %v", time.UnixMilli(u.storedRolloutState().PhaseStartedAtMS).Sub(lastStartedAt).Round(time.Millisecond))
	u.beginPhase("finalization and rewriting")
	u.finalizeAndRewrite()
	u.beginPhase("after finalization")
	u.disruptControllers()
	u.beginPhase("rollback")
	startedAt := time.Now()
	u.runUpgradeCommand("abort")
	u.awaitPhase(1, rollout.PhaseStable, time.Minute)
	u.t.Logf("rollback of the level: %v", time.Since(startedAt).Round(time.Millisecond))
	for _, i := range u.rng.Perm(3) {
		u.replaceProcess(i, true)
		time.Sleep(time.Second)
	}
	u.beginPhase("old again")
	time.Sleep(3 * time.Second)
	u.checkRound()
}

// upgradeAll replaces one controller after the other by the current version. After two of them it
// returns one to the old version and starts again. It returns the time at which the last process was
// started.
func (u *upgradeRun) upgradeAll() (lastStartedAt time.Time) {
	order := u.rng.Perm(3)
	u.t.Logf("order of the controllers: %v", order)
	u.replaceProcess(order[0], false)
	time.Sleep(1500 * time.Millisecond)
	u.replaceProcess(order[1], false)
	time.Sleep(500 * time.Millisecond)
	u.replaceProcess(order[u.rng.IntN(2)], true) // the upgrade is abandoned halfway
	time.Sleep(time.Second)
	for _, i := range order {
		u.replaceProcess(i, false)
		lastStartedAt = time.Now()
		time.Sleep(time.Duration(500+u.rng.IntN(1000)) * time.Millisecond)
	}
	return lastStartedAt
}

// finalizeAndRewrite makes the level final and waits until no stored record is in the former
// encoding.
func (u *upgradeRun) finalizeAndRewrite() {
	u.t.Helper()
	plainRecords := u.countByEncoding()[record.PlainJSON]
	startedAt := time.Now()
	status := u.runUpgradeCommand("finalize")
	if status.State.Level != 2 {
		u.t.Fatalf("after finalize the level is not 2: %+v", status.State)
	}
	u.await("all records are rewritten", time.Minute, func() bool { return u.countByEncoding()[record.PlainJSON] == 0 })
	u.t.Logf("%d records in the former encoding were rewritten or deleted within %v", plainRecords, time.Since(startedAt).Round(time.Millisecond))
}

// disruptControllers runs the old version on one controller for a while, restarts another one, and
// then restarts all controllers at once.
func (u *upgradeRun) disruptControllers() {
	oldNode := u.rng.IntN(3)
	u.replaceProcess(oldNode, true)
	time.Sleep(4 * time.Second)
	u.replaceProcess((oldNode+1)%3, false)
	time.Sleep(2 * time.Second)
	u.replaceProcess(oldNode, false)
	time.Sleep(2 * time.Second)
	for i := range u.nodes {
		u.killProcess(i)
	}
	for i := range u.nodes {
		u.startProcess(i, u.newBinary, u.newArguments...)
	}
	time.Sleep(3 * time.Second)
}

// checkRound waits until all accepted jobs are finished or run as services, reports broken rules and
// logs the measurements.
func (u *upgradeRun) checkRound() {
	u.t.Helper()
	close(u.stopSubmitting)
	u.submitters.Wait()
	u.env.MarkFaultsEnded()
	for _, id := range u.acceptedIDs {
		u.await(id+" is finished, or runs as a service", 2*time.Minute, func() bool {
			s := u.jobState(id)
			return s == wire.StateDone || s == wire.StateCancelled || u.env.CountRunningTasks(id) == 1
		})
	}
	for _, violation := range u.env.Violations() {
		u.t.Error(violation)
	}
	u.t.Logf("%d jobs accepted", len(u.acceptedIDs))
	for _, phase := range u.phases {
		h := u.submitLatency[phase]
		u.t.Logf("submissions in phase %s: %d, 50%% %d ms, 95%% %d ms, maximum %d ms", phase, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.Max())
	}
	for i := range u.nodes {
		u.killProcess(i)
		u.t.Logf("controller %d: %v of CPU time", i, u.cpuTime[i].Round(time.Millisecond))
	}
}
