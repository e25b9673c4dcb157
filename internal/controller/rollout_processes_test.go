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

// fleetUnderUpgrade is a cluster of real processes that is upgraded while jobs come.
type fleetUnderUpgrade struct {
	*processes
	rng          *rand.Rand
	today, older string
	oldSettings  []string // arguments of the old version
	newSettings  []string

	mu       sync.Mutex
	phase    string
	delays   map[string]*hdrhistogram.Histogram // of submissions in milliseconds, by phase
	phases   []string
	accepted []string
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// operatorFile writes operators' settings to a file.
func (p *processes) operatorFile(name, text string) []string {
	p.t.Helper()
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return []string{"--settings", path}
}

// enter begins a phase, by which delays are measured.
func (f *fleetUnderUpgrade) enter(phase string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = phase
	if f.delays[phase] == nil {
		f.delays[phase] = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
		f.phases = append(f.phases, phase)
	}
}

// submitSteadily submits a small job every so often until it is stopped.
func (f *fleetUnderUpgrade) submitSteadily(round int) {
	defer f.stopped.Done()
	const every = 250 * time.Millisecond
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		case <-time.After(every):
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
		_ = f.delays[f.phase].RecordValue(time.Since(begun).Milliseconds())
		f.mu.Unlock()
		if n%8 == 0 && n >= 24 { // few services run at a time
			go f.sendWithRetries(cancelRequest(fmt.Sprintf("wk-%d%05d", round+1, n-24)), 20*time.Second)
		}
	}
}

// replaceBy has a controller's process killed and come back as a version.
func (f *fleetUnderUpgrade) replaceBy(i int, old bool) {
	f.end(i)
	time.Sleep(time.Duration(f.rng.IntN(600)) * time.Millisecond)
	if old {
		f.run(i, f.older, f.oldSettings...)
	} else {
		f.run(i, f.today, f.newSettings...)
	}
}

// command runs an operator's command and returns the status that it prints.
func (f *fleetUnderUpgrade) command(name string) *rollout.Status {
	f.t.Helper()
	var failure bytes.Buffer
	command := exec.Command(f.today, "upgrade", name, "--json", "--wait", "30s", "--config", f.settings(f.rng.IntN(3)))
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
func (f *fleetUnderUpgrade) awaitPhase(level rollout.Level, phase rollout.Phase, limit time.Duration) {
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
	today := filepath.Join(bin, "today")
	build(t, "", today)
	older := today
	if *oldVersion != "" {
		older = filepath.Join(bin, "old")
		build(t, *oldVersion, older)
	}
	for round := range *upgradeRounds {
		seed := *upgradeSeed + uint64(round)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := &fleetUnderUpgrade{processes: newProcesses(t), rng: rand.New(rand.NewPCG(seed, 17)), today: today, older: older,
				delays: map[string]*hdrhistogram.Histogram{}, stop: make(chan struct{})}
			f.newSettings = f.operatorFile("new.sexp", "(eiderhitch (feature-levels yes))")
			if *oldVersion == "" {
				f.oldSettings = f.operatorFile("old.sexp", "(eiderhitch (feature-levels yes) (highest-level 1))")
			}
			f.playRound(round)
		})
	}
}

func (f *fleetUnderUpgrade) playRound(round int) {
	for i := range f.nodes {
		f.run(i, f.older, f.oldSettings...)
	}
	f.enter("old")
	f.stopped.Add(1)
	go f.submitSteadily(round)
	f.await("work runs", time.Minute, func() bool { return f.env.Starts() > 10 })
	f.enter("one at a time")
	last := f.upgradeAll()
	f.awaitPhase(1, rollout.PhaseActive, time.Minute)
	f.t.Logf("from the last controller's start to the active level: %v", time.UnixMilli(f.storedRolloutState().PhaseStartedAt).Sub(last).Round(time.Millisecond))
	f.enter("switch and rewriting")
	f.finalizeAndRewrite()
	f.enter("after the switch")
	f.disturb()
	f.enter("way back")
	begun := time.Now()
	f.command("abort")
	f.awaitPhase(1, rollout.PhaseStable, time.Minute)
	f.t.Logf("the way back: %v", time.Since(begun).Round(time.Millisecond))
	for _, i := range f.rng.Perm(3) {
		f.replaceBy(i, true)
		time.Sleep(time.Second)
	}
	f.enter("old again")
	time.Sleep(3 * time.Second)
	f.judgeRound()
}

// upgradeAll replaces one controller after the other, and goes back once on the way. It
// returns when the last one was started.
func (f *fleetUnderUpgrade) upgradeAll() (last time.Time) {
	order := f.rng.Perm(3)
	f.t.Logf("order %v", order)
	f.replaceBy(order[0], false)
	time.Sleep(1500 * time.Millisecond)
	f.replaceBy(order[1], false)
	time.Sleep(500 * time.Millisecond)
	f.replaceBy(order[f.rng.IntN(2)], true) // abandoned halfway
	time.Sleep(time.Second)
	for _, i := range order {
		f.replaceBy(i, false)
		last = time.Now()
		time.Sleep(time.Duration(500+f.rng.IntN(1000)) * time.Millisecond)
	}
	return last
}

func (f *fleetUnderUpgrade) finalizeAndRewrite() {
	f.t.Helper()
	before := f.countByEncoding()[record.PlainJSON]
	begun := time.Now()
	status := f.command("finalize")
	if status.State.Level != 2 {
		f.t.Fatalf("after finalize: %+v", status.State)
	}
	f.await("records are rewritten", time.Minute, func() bool { return f.countByEncoding()[record.PlainJSON] == 0 })
	f.t.Logf("%d records in the former form were rewritten, or done, within %v", before, time.Since(begun).Round(time.Millisecond))
}

// disturb has a controller come back old for a while, another one killed, and all.
func (f *fleetUnderUpgrade) disturb() {
	old := f.rng.IntN(3)
	f.replaceBy(old, true)
	time.Sleep(4 * time.Second)
	f.replaceBy((old+1)%3, false)
	time.Sleep(2 * time.Second)
	f.replaceBy(old, false)
	time.Sleep(2 * time.Second)
	for i := range f.nodes {
		f.end(i)
	}
	for i := range f.nodes {
		f.run(i, f.today, f.newSettings...)
	}
	time.Sleep(3 * time.Second)
}

// judgeRound waits until all that was accepted is over, and judges.
func (f *fleetUnderUpgrade) judgeRound() {
	f.t.Helper()
	close(f.stop)
	f.stopped.Wait()
	f.env.SetSettled()
	for _, id := range f.accepted {
		f.await(id+" is over", 2*time.Minute, func() bool {
			s := f.jobState(id)
			return s == wire.StateDone || s == wire.StateCancelled || f.env.Running(id) == 1
		})
	}
	for _, breach := range f.env.Violations() {
		f.t.Error(breach)
	}
	f.t.Logf("%d jobs accepted", len(f.accepted))
	for _, phase := range f.phases {
		h := f.delays[phase]
		f.t.Logf("submission, %s: %d, 50%% %d ms, 95%% %d ms, most %d ms", phase, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.Max())
	}
	for i := range f.nodes {
		f.end(i)
		f.t.Logf("controller %d: %v of processor time", i, f.used[i].Round(time.Millisecond))
	}
}
