package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"eiderhitch/internal/config"
	"eiderhitch/internal/controller"
)

// runCommand is the command that runs a controller.
type runCommand struct {
	Config   string `help:"The platform's settings file (TOML)." placeholder:"FILE" required:"" type:"path"`
	Settings string `help:"The operators' own settings (S-expressions); defaults without." placeholder:"FILE" type:"path"`
	Check    bool   `help:"Check the settings and exit."`
}

// Run runs the controller until the process receives an interrupt or termination signal.
func (c *runCommand) Run() error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	platform, err := config.LoadPlatformSettings(c.Config)
	if err != nil {
		return err
	}
	operator := config.DefaultOperatorSettings()
	if c.Settings != "" {
		if operator, err = config.LoadOperatorSettings(c.Settings, platform); err != nil {
			return err
		}
	}
	if c.Check {
		printValidationResult(platform.Warnings())
		return nil
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, warning := range platform.Warnings() {
		log.Warn("limit", "node", platform.Name, "why", warning)
	}
	applyRuntimeLimits(platform, log)
	controller.Build = buildVersion()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.Run(ctx, platform, operator, log)
}

// printValidationResult prints the warnings about valid settings and that they are valid.
func printValidationResult(warnings []string) {
	for _, warning := range warnings {
		fmt.Println("warning:", warning)
	}
	fmt.Println("settings are valid")
}

// logLevelVariable is the name of the environment variable that sets the log level.
const logLevelVariable = "LOG_LEVEL"

// logLevel returns the log level that the environment sets, or info if it sets none.
func logLevel() (slog.Level, error) {
	level := slog.LevelInfo
	name := os.Getenv(logLevelVariable)
	if name == "" {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(strings.ToUpper(name))); err != nil {
		return level, fmt.Errorf("%s: %q is not error, info or debug", logLevelVariable, name)
	}
	return level, nil
}

// applyRuntimeLimits configures the Go runtime for the platform's memory and CPU limits, and
// logs them.
func applyRuntimeLimits(platform *config.PlatformSettings, log *slog.Logger) {
	memory := platform.MemoryBudget()
	debug.SetGCPercent(memory.GCPercent)
	debug.SetMemoryLimit(memory.LimitBytes)
	// More threads than cores in the CPU share only cause additional wakeups.
	if n := int(math.Ceil(platform.Settings.Limits.CPUShare)); n > 0 && n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
	log.Info("limits", "node", platform.Name, "memory_limit_mb", memory.LimitBytes>>20, "garbage_percent", memory.GCPercent,
		"connections", platform.MaxConnections(), "direct_commands", platform.MaxDirectCommands(), "procs", runtime.GOMAXPROCS(0))
}
