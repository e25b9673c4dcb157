// Command eiderhitch is a controller of the eiderhitch cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
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

// gcPercent trades memory, of which there is several times what a controller holds,
// for processor time; the memory limit bounds it.
const gcPercent = 300

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
		fmt.Println("settings are valid")
		return nil
	}
	// Leave room for what the runtime does not count: stacks of the C library,
	// the binary itself, socket buffers.
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(p.Settings.Limits.MemMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.Run(ctx, p, op, log)
}
