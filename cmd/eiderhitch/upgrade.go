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
	exitStateChanged   = 3 // the state changed meanwhile; this command changed nothing
	exitNotCompleted   = 4 // the request is stored, but its completion has not been observed
	exitOutcomeUnknown = 5 // unknown whether the request was stored
)

// upgradeCommand groups the commands that show and control a staged upgrade.
type upgradeCommand struct {
	Status   statusCommand   `cmd:"" help:"Show the level in force, who reads what, and what stands in the way of the next step."`
	Finalize finalizeCommand `cmd:"" help:"Make the active level final; or end a hold, or a way back that is not complete."`
	Abort    abortCommand    `cmd:"" help:"Go back to the level before, step by step, and stay there."`
}

// clusterFlags are the flags of all upgrade commands.
type clusterFlags struct {
	Config string `help:"The platform's settings file of any controller (TOML)." placeholder:"FILE" required:"" type:"path"`
	JSON   bool   `help:"Print JSON."`
	// Wait is also how long calls that the key-value store rejects or does not answer are
	// retried.
	Wait time.Duration `help:"How long to wait for the key-value store, and until a request is carried out." default:"15s"`
}

type statusCommand struct {
	clusterFlags `embed:""`
}

type finalizeCommand struct {
	clusterFlags `embed:""`
}

type abortCommand struct {
	clusterFlags `embed:""`
}

const (
	// commandTimeout limits the duration of a command's reads and writes, in addition to Wait.
	commandTimeout = 20 * time.Second
	// pollInterval is the interval at which a command checks whether its request has been
	// carried out.
	pollInterval = 300 * time.Millisecond
)

// Run prints the status of the upgrade.
func (c *statusCommand) Run() error { return c.showStatus(os.Stdout) }

// Run requests that the leader finalize the active level.
func (c *finalizeCommand) Run() error {
	return c.sendRequest(os.Stdout, rollout.RequestFinalize, c.Wait)
}

// Run requests that the leader revert to the previous level.
func (c *abortCommand) Run() error {
	return c.sendRequest(os.Stdout, rollout.RequestAbort, c.Wait)
}

// newOperatorClient returns a client for the cluster that the settings file describes. The
// client retries calls until retryDeadline.
func (c *clusterFlags) newOperatorClient(retryDeadline time.Time) (*rollout.OperatorClient, error) {
	platform, err := config.LoadPlatformSettings(c.Config)
	if err != nil {
		return nil, err
	}
	// Connect to the key-value store directly, as controllers do, without a proxy from the
	// operator's environment.
	transport := &http.Transport{DisableCompression: true}
	return &rollout.OperatorClient{
		Store:                 store.NewClient(platform.External.Store, transport),
		Members:               platform.ControllerNames(),
		PartitionCount:        platform.Settings.ControllerCount,
		MaxTransactionChanges: platform.Settings.Store.TxnOps,
		RetryDeadline:         retryDeadline,
	}, nil
}

// showStatus prints the status of the upgrade.
func (c *clusterFlags) showStatus(out io.Writer) error {
	client, err := c.newOperatorClient(time.Now().Add(c.Wait))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+c.Wait)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return withStoreHint(err)
	}
	return c.print(out, status)
}

// withStoreHint adds advice for the operator to an error of a call that the key-value store did
// not execute or answer. Other errors are returned unchanged.
func withStoreHint(err error) error {
	if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotExecuted) {
		return fmt.Errorf("%w; nothing was changed; check that the address external.state in the settings can be reached, and try again", err)
	}
	return err
}

// sendRequest stores a request, waits until the leader has carried it out and then prints the
// status.
func (c *clusterFlags) sendRequest(out io.Writer, request rollout.Request, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	client, err := c.newOperatorClient(deadline)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+wait)
	defer cancel()
	submitted, err := client.Submit(ctx, request)
	if _, refused := errors.AsType[*rollout.RefusedError](err); refused {
		return &exitError{exitRefused, err}
	}
	if errors.Is(err, rollout.ErrStateChanged) {
		return &exitError{exitStateChanged, err}
	}
	if _, outcomeUnknown := errors.AsType[*rollout.OutcomeUnknownError](err); outcomeUnknown {
		return &exitError{exitOutcomeUnknown, fmt.Errorf("%w; check the status, and repeat the request if the status does not show it", err)}
	}
	if err != nil {
		return withStoreHint(err)
	}
	return c.awaitCompletion(ctx, out, client, submitted, deadline)
}

// awaitCompletion waits until a request has been carried out and then prints the status.
// submitted is the state with the request, as Submit returned it.
func (c *clusterFlags) awaitCompletion(ctx context.Context, out io.Writer, client *rollout.OperatorClient, submitted rollout.State, deadline time.Time) error {
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return &exitError{exitNotCompleted, fmt.Errorf("%s is stored, but its progress can't be read: %w; check the status", submitted.Request, err)}
		}
		if rollout.IsCompleted(submitted, status.State) {
			return c.print(out, status)
		}
		if !time.Now().Before(deadline) {
			return &exitError{exitNotCompleted, fmt.Errorf("%s is stored but not carried out yet; check the status", submitted.Request)}
		}
		time.Sleep(pollInterval)
	}
}
