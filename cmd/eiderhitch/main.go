// Command eiderhitch is a controller of the eiderhitch cluster scheduler, and the
// operators' commands for a cluster of them.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// version is the program's version.
const version = "0.1.0"

// cli is the command line.
type cli struct {
	Run     runCommand       `cmd:"" default:"withargs" help:"Run a controller."`
	Upgrade upgradeCommand   `cmd:"" help:"Show and steer a staged upgrade (docs/upgrading.md)."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// exitFailed is the exit status of whatever failed and has none of its own.
const exitFailed = 1

// exitError is an error with the exit status that it leads to.
type exitError struct {
	exitStatus int
	err        error
}

// Error returns the error in one line.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without the exit status.
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

// exitStatusOf returns the exit status that an error leads to.
func exitStatusOf(err error) int {
	if e, ok := errors.AsType[*exitError](err); ok {
		return e.exitStatus
	}
	return exitFailed
}

// revisionLength is how much of a commit's name is shown.
const revisionLength = 12

// build returns the version and, as far as it is known, the commit.
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
