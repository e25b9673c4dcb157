// Command eiderhitch runs a controller of the eiderhitch cluster scheduler. Its upgrade
// commands are for the operators of a cluster.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// version is the program's release version.
const version = "0.1.0"

// cli is the command line that kong parses.
type cli struct {
	Run     runCommand       `cmd:"" default:"withargs" help:"Run a controller."`
	Upgrade upgradeCommand   `cmd:"" help:"Show and steer a staged upgrade (docs/upgrading.md)."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// exitFailed is the exit status of all failures that have no exit status of their own.
const exitFailed = 1

// exitError is an error that ends the program with a specific exit status.
type exitError struct {
	exitStatus int
	err        error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error, which has no exit status.
func (e *exitError) Unwrap() error { return e.err }

func main() {
	var commandLine cli
	ctx := kong.Parse(&commandLine, kong.Name("eiderhitch"), kong.Description("A cluster scheduler: a controller of the service, and operators' commands."),
		kong.Vars{"version": "eiderhitch " + buildVersion()})
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "eiderhitch:", err)
		os.Exit(exitStatusOf(err))
	}
}

// exitStatusOf returns the exit status for an error.
func exitStatusOf(err error) int {
	if e, ok := errors.AsType[*exitError](err); ok {
		return e.exitStatus
	}
	return exitFailed
}

// revisionLength is the number of characters of the commit hash that are shown.
const revisionLength = 12

// buildVersion returns the version and, if known, the commit hash.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return version + " " + setting.Value[:min(len(setting.Value), revisionLength)]
		}
	}
	return version
}
