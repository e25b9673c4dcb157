package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/store"
)

// Exit statuses of the upgrade commands, besides exitFailed; docs/upgrading.md lists them.
const (
	exitRefused        = 2 // the request was refused; nothing was changed
	exitStateChanged   = 3 // somebody else changed the state; nothing was changed by this command
	exitNotCompleted   = 4 // the request is stored, but not carried out yet, as far as is known
	exitOutcomeUnknown = 5 // it is not known whether the request was stored
)

// upgradeCommand is the commands that show and steer a staged upgrade.
type upgradeCommand struct {
	Status   upgradeStatus   `cmd:"" help:"Show the level in force, who reads what, and what stands in the way of the next step."`
	Finalize upgradeFinalize `cmd:"" help:"Make the active level final; or end a hold, or a way back that is not complete."`
	Abort    upgradeAbort    `cmd:"" help:"Go back to the level before, step by step, and stay there."`
}

// clusterFlags are the flags of all upgrade commands.
type clusterFlags struct {
	Config string `help:"The platform's settings file of any controller (TOML)." placeholder:"FILE" required:"" type:"path"`
	JSON   bool   `help:"Print JSON."`
	// Wait is also for how long calls are tried again that the key-value store refuses or does
	// not answer.
	Wait time.Duration `help:"How long to wait for the key-value store, and until a request is carried out." default:"15s"`
}

type upgradeStatus struct {
	clusterFlags `embed:""`
}

type upgradeFinalize struct {
	clusterFlags `embed:""`
}

type upgradeAbort struct {
	clusterFlags `embed:""`
}

const (
	// commandTimeout bounds a command's reads and writes.
	commandTimeout = 20 * time.Second
	// pollInterval is how often a command looks whether its request has been carried out.
	pollInterval = 300 * time.Millisecond
)

// Run prints the state of the upgrade.
func (c *upgradeStatus) Run() error { return c.showStatus(os.Stdout) }

// Run has the leader make the active level final.
func (c *upgradeFinalize) Run() error {
	return c.sendRequest(os.Stdout, rollout.RequestFinalize, c.Wait)
}

// Run has the leader revert to the level before.
func (c *upgradeAbort) Run() error {
	return c.sendRequest(os.Stdout, rollout.RequestAbort, c.Wait)
}

// operator returns an operator of the cluster that the settings describe.
func (c *clusterFlags) newOperatorClient(retryUntil time.Time) (*rollout.OperatorClient, error) {
	platform, err := config.LoadPlatformSettings(c.Config)
	if err != nil {
		return nil, err
	}
	// Straight to the key-value store, as controllers go: no proxy of the operator's shell.
	transport := &http.Transport{DisableCompression: true}
	return &rollout.OperatorClient{
		Store:          store.NewClient(platform.External.Store, transport),
		Members:        platform.ControllerNames(),
		PartitionCount: platform.Settings.ControllerCount,
		MaxTxnChanges:  platform.Settings.Store.TxnOps,
		RetryDeadline:  retryUntil,
	}, nil
}

// show prints the state of the upgrade.
func (c *clusterFlags) showStatus(out io.Writer) error {
	operator, err := c.newOperatorClient(time.Now().Add(c.Wait))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+c.Wait)
	defer cancel()
	status, err := operator.Status(ctx)
	if err != nil {
		return withStoreHint(err)
	}
	return c.print(out, status)
}

// unreachable adds what to do when the key-value store gives no usable answer.
func withStoreHint(err error) error {
	if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotExecuted) {
		return fmt.Errorf("%w; nothing was changed: see that external.state in the settings can be reached, and try again", err)
	}
	return err
}

// request stores a request, waits until the leader has carried it out and prints the state
// then.
func (c *clusterFlags) sendRequest(out io.Writer, request rollout.Request, wait time.Duration) error {
	until := time.Now().Add(wait)
	operator, err := c.newOperatorClient(until)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+wait)
	defer cancel()
	asked, err := operator.Submit(ctx, request)
	if _, refused := errors.AsType[*rollout.RefusedError](err); refused {
		return &exitError{exitRefused, err}
	}
	if errors.Is(err, rollout.ErrStateChanged) {
		return &exitError{exitStateChanged, err}
	}
	if _, unsettled := errors.AsType[*rollout.OutcomeUnknownError](err); unsettled {
		return &exitError{exitOutcomeUnknown, fmt.Errorf("%w; look at the status, and ask again if it does not show the request", err)}
	}
	if err != nil {
		return withStoreHint(err)
	}
	return c.awaitCompletion(ctx, out, operator, asked, until)
}

// await waits until the request with which Submit returned a state has been carried out.
func (c *clusterFlags) awaitCompletion(ctx context.Context, out io.Writer, operator *rollout.OperatorClient, asked rollout.State, until time.Time) error {
	for {
		status, err := operator.Status(ctx)
		if err != nil {
			return &exitError{exitNotCompleted, fmt.Errorf("%s is stored, and what became of it can't be read: %w; look at the status", asked.Request, err)}
		}
		if rollout.IsCompleted(asked, status.State) {
			return c.print(out, status)
		}
		if !time.Now().Before(until) {
			return &exitError{exitNotCompleted, fmt.Errorf("%s is asked for and not carried out yet: look at the status", asked.Request)}
		}
		time.Sleep(pollInterval)
	}
}
