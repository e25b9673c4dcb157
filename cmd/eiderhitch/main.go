// Command eiderhitch is a controller of the eiderhitch cluster scheduler.
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

	"github.com/alecthomas/kong"

	"eiderhitch/internal/config"
	"eiderhitch/internal/controller"
)

var version = "0.1.0"

type cli struct {
	Config   string           `help:"The platform's settings file (TOML)." placeholder:"FILE" required:"" type:"path"`
	Settings string           `help:"The operators' own settings (S-expressions); defaults without." placeholder:"FILE" type:"path"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("eiderhitch"), kong.Description("A cluster scheduler: one controller of the service."),
		kong.Vars{"version": "eiderhitch " + version})
	if err := run(&c); err != nil {
		fmt.Fprintln(os.Stderr, "eiderhitch:", err)
		os.Exit(1)
	}
}

// live has the runtime keep to the platform's limits.
func live(p *config.Platform, log *slog.Logger) {
	m := p.Memory()
	debug.SetGCPercent(m.Garbage)
	debug.SetMemoryLimit(m.Limit)
	// More threads than the share of processor time is for only wake each other up.
	if n := int(math.Ceil(p.Settings.Limits.CPUShare)); n > 0 && n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
	log.Info("limits", "node", p.Name, "memory_limit_mb", m.Limit>>20, "garbage_percent", m.Garbage,
		"connections", p.Connections(), "direct_commands", p.DirectCommands(), "procs", runtime.GOMAXPROCS(0))
}

func run(c *cli) error {
	level := slog.LevelInfo
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(s))); err != nil {
			return fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", s)
		}
	}
	p, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	op := config.DefaultOperator()
	if c.Settings != "" {
		if op, err = config.LoadOperator(c.Settings, p); err != nil {
			return err
		}
	}
	if c.Check {
		for _, w := range p.Warnings() {
			fmt.Println("warning:", w)
		}
		fmt.Println("settings are valid")
		return nil
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, w := range p.Warnings() {
		log.Warn("limit", "node", p.Name, "why", w)
	}
	live(p, log)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.Run(ctx, p, op, log)
}
