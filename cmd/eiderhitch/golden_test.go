package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/google/go-cmp/cmp"

	"eiderhitch/internal/rollout"
)

var updateGolden = flag.Bool("update", false, "write the current output to the golden files")

// checkGolden compares the output of a command with a golden file in testdata. With -update it
// writes the file first.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Errorf("%s differs (-want +got):\n%s", name, d)
	}
}

// Operators' scripts read the status as a table and as JSON, so its form must not change by
// accident.
func TestStatusKeepsItsForm(t *testing.T) {
	status := &rollout.Status{State: rollout.State{Level: 1, Phase: rollout.PhaseActive, OnHold: true, Request: rollout.RequestFinalize, PhaseStartedAtMS: 1_700_000_000_000},
		ActiveLevel: 2, WriteLevel: 1, Revision: 7, RecordsByEncoding: map[string]int{"form 2": 1, "form 1": 12},
		Controllers:        []rollout.Registration{{Node: "n0", ProcessID: "00ff", Build: "0.1.0 abc", LevelRange: rollout.SupportedLevels, RegisteredAtMS: 1_700_000_000_000}},
		MissingControllers: []string{"n1"}, Blockers: []rollout.Blocker{{Kind: rollout.BlockerMissingController, Node: "n1", Detail: "is not registered"}}}
	for _, x := range []struct {
		golden string
		flags  clusterFlags
		status *rollout.Status
	}{
		{"status.txt", clusterFlags{}, status},
		{"status.json", clusterFlags{JSON: true}, status},
		{"initial.txt", clusterFlags{}, &rollout.Status{State: rollout.InitialState, ActiveLevel: 1, WriteLevel: 1}},
		{"initial.json", clusterFlags{JSON: true}, &rollout.Status{State: rollout.InitialState, ActiveLevel: 1, WriteLevel: 1}},
	} {
		var out bytes.Buffer
		if err := x.flags.print(&out, x.status); err != nil {
			t.Error(err)
		}
		checkGolden(t, x.golden, out.String())
	}
}

// Operators' scripts depend on the commands, flags and exit statuses, so they must not change
// by accident.
func TestCommandLineKeepsItsForm(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	for _, args := range []string{"run", "upgrade", "upgrade status", "upgrade finalize", "upgrade abort"} {
		var out bytes.Buffer
		var c cli
		parser, err := kong.New(&c, kong.Name("eiderhitch"), kong.Vars{"version": "x"}, kong.Writers(&out, &out), kong.Exit(func(int) { panic("exit") }))
		if err != nil {
			t.Fatal(err)
		}
		func() {
			defer func() { _ = recover() }() // kong exits after --help, which panics here
			_, _ = parser.Parse(append(strings.Fields(args), "--help"))
		}()
		checkGolden(t, "help-"+strings.ReplaceAll(args, " ", "-")+".txt", out.String())
	}
	if got := fmt.Sprint(exitFailed, exitRefused, exitStateChanged, exitNotCompleted); got != "1 2 3 4" {
		t.Errorf("exit statuses are %s, want 1 2 3 4", got)
	}
	if e := fmt.Errorf("x: %w", &exitError{exitStateChanged, rollout.ErrStateChanged}); exitStatusOf(e) != exitStateChanged || !errors.Is(e, rollout.ErrStateChanged) || exitStatusOf(rollout.ErrStateChanged) != exitFailed {
		t.Errorf("error %v has exit status %d, or the exit status of an error without one is not exitFailed", e, exitStatusOf(e))
	}
}
