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

// runCommand runs a controller.
type runCommand struct {
	Config   string `help:"The platform's settings file (TOML)." placeholder:"FILE" required:"" type:"path"`
	Settings string `help:"The operators' own settings (S-expressions); defaults without." placeholder:"FILE" type:"path"`
	Check    bool   `help:"Check the settings and exit."`
}

// Run serves until the process is told to end.
func (c *runCommand) Run() error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	platform, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	operator := config.DefaultOperator()
	if c.Settings != "" {
		if operator, err = config.LoadOperator(c.Settings, platform); err != nil {
			return err
		}
	}
	if c.Check {
		for _, w := range platform.Warnings() {
			fmt.Println("warning:", w)
		}
		fmt.Println("settings are valid")
		return nil
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, w := range platform.Warnings() {
		log.Warn("limit", "node", platform.Name, "why", w)
	}
	limitRuntime(platform, log)
	controller.Build = build()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.Run(ctx, platform, operator, log)
}

// logLevel is the level that the environment asks for.
func logLevel() (slog.Level, error) {
	level := slog.LevelInfo
	s := os.Getenv("LOG_LEVEL")
	if s == "" {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(strings.ToUpper(s))); err != nil {
		return level, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", s)
	}
	return level, nil
}

// limitRuntime has the runtime keep to the platform's limits.
func limitRuntime(platform *config.Platform, log *slog.Logger) {
	memory := platform.Memory()
	debug.SetGCPercent(memory.GCPercent)
	debug.SetMemoryLimit(memory.LimitBytes)
	// More threads than the share of processor time is for only wake each other up.
	if n := int(math.Ceil(platform.Settings.Limits.CPUShare)); n > 0 && n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
	log.Info("limits", "node", platform.Name, "memory_limit_mb", memory.LimitBytes>>20, "garbage_percent", memory.GCPercent,
		"connections", platform.Connections(), "direct_commands", platform.DirectCommands(), "procs", runtime.GOMAXPROCS(0))
}
