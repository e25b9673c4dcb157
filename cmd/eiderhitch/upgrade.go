package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/store"
)

// Exit statuses of the upgrade commands; docs/upgrading.md lists them.
const (
	exitRefused    = 2 // nothing was changed
	exitChanged    = 3 // somebody else changed the state; nothing was changed by this command
	exitNotYetDone = 4 // it is asked for, and not carried out yet
)

// upgradeCommand shows and steers a staged upgrade.
type upgradeCommand struct {
	Status   upgradeStatus   `cmd:"" help:"Show the level in force, who reads what, and what stands in the way of the next step."`
	Finalize upgradeFinalize `cmd:"" help:"Make the active level final; or end a hold, or a way back that is not complete."`
	Abort    upgradeAbort    `cmd:"" help:"Go back to the level before, step by step, and stay there."`
}

// clusterFlags are what all commands take.
type clusterFlags struct {
	Config string `help:"The platform's settings file of any controller (TOML)." placeholder:"FILE" required:"" type:"path"`
	JSON   bool   `help:"Print JSON."`
}

// waitFlags are what the commands take that change something.
type waitFlags struct {
	Wait time.Duration `help:"How long to wait until it is carried out." default:"15s"`
}

type upgradeStatus struct {
	clusterFlags `embed:""`
}

type upgradeFinalize struct {
	clusterFlags `embed:""`
	waitFlags    `embed:""`
}

type upgradeAbort struct {
	clusterFlags `embed:""`
	waitFlags    `embed:""`
}

// commandTimeout bounds a command's reads and writes.
const commandTimeout = 20 * time.Second

// Run shows the state.
func (c *upgradeStatus) Run() error { return c.show(os.Stdout) }

// Run has the active level made final.
func (c *upgradeFinalize) Run() error {
	return c.request(os.Stdout, rollout.RequestFinalize, c.Wait)
}

// Run goes back.
func (c *upgradeAbort) Run() error { return c.request(os.Stdout, rollout.RequestAbort, c.Wait) }

// operator reaches the cluster that the settings describe.
func (c *clusterFlags) operator() (*rollout.Operator, error) {
	platform, err := config.Load(c.Config)
	if err != nil {
		return nil, err
	}
	// Straight to the state service, as controllers go: no proxy of the operator's shell.
	transport := &http.Transport{DisableCompression: true}
	return &rollout.Operator{Store: store.NewClient(platform.External.State, transport), Members: platform.Nodes(),
		Partitions: platform.Settings.Count, MaxTxnChanges: platform.Settings.State.TxnOps}, nil
}

func (c *clusterFlags) show(out io.Writer) error {
	op, err := c.operator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	status, err := op.Status(ctx)
	if err != nil {
		return unreachable(err)
	}
	return c.print(out, status)
}

// unreachable says what to do when the state service gives no usable answer.
func unreachable(err error) error {
	if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotExecuted) {
		return fmt.Errorf("%w; nothing is known to be changed: see that external.state in the settings can be reached, and look at the status", err)
	}
	return err
}

// request has a wish stored and waits until the leader has carried it out.
func (c *clusterFlags) request(out io.Writer, wish rollout.Request, wait time.Duration) error {
	op, err := c.operator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+wait)
	defer cancel()
	asked, err := op.Submit(ctx, wish)
	if _, refused := errors.AsType[*rollout.RefusedError](err); refused {
		return &exitError{exitRefused, err}
	}
	if errors.Is(err, rollout.ErrChanged) {
		return &exitError{exitChanged, err}
	}
	if err != nil {
		return unreachable(err)
	}
	return c.await(ctx, out, op, asked, time.Now().Add(wait))
}

// pollEvery is how often a command looks whether its wish has been carried out.
const pollEvery = 300 * time.Millisecond

func (c *clusterFlags) await(ctx context.Context, out io.Writer, op *rollout.Operator, asked rollout.State, until time.Time) error {
	for {
		status, err := op.Status(ctx)
		if err != nil {
			return unreachable(err)
		}
		if rollout.Completed(asked, status.State) {
			return c.print(out, status)
		}
		if !time.Now().Before(until) {
			return &exitError{exitNotYetDone, fmt.Errorf("%s is asked for and not carried out yet: look at the status", asked.Request)}
		}
		time.Sleep(pollEvery)
	}
}

func (c *clusterFlags) print(out io.Writer, s *rollout.Status) error {
	if c.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	return printStatus(out, s)
}

// printStatus prints a status for people.
func printStatus(out io.Writer, s *rollout.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "level\t%d (%s)\n", s.State.Level, s.State.Phase)
	fmt.Fprintf(w, "active\t%d\n", s.Active)
	fmt.Fprintf(w, "records written at\t%d\n", s.Writes)
	if s.State.Since > 0 {
		fmt.Fprintf(w, "since\t%s\n", timeOf(s.State.Since))
	}
	if s.State.Held {
		fmt.Fprintf(w, "held\tyes: finalize ends that\n")
	}
	if s.State.Request != rollout.NoRequest {
		fmt.Fprintf(w, "asked for\t%s\n", s.State.Request)
	}
	for _, form := range slices.Sorted(maps.Keys(s.Records)) {
		fmt.Fprintf(w, "records, %s\t%d\n", form, s.Records[form])
	}
	fmt.Fprintf(w, "\ncontroller\treads\tbuild\tsince\n")
	for _, c := range s.Controllers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Node, c.Range, c.Build, timeOf(c.StartedAt))
	}
	for _, name := range s.Missing {
		fmt.Fprintf(w, "%s\tnot registered\n", name)
	}
	if len(s.Blockers) > 0 {
		fmt.Fprintf(w, "\nin the way of the next step:\n")
		for _, b := range s.Blockers {
			fmt.Fprintf(w, "  %s\n", b)
		}
	}
	return w.Flush()
}

func timeOf(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.DateTime) }
