package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"eiderhitch/internal/rollout"
)

// print prints a status as JSON or as tables, depending on the flags.
func (c *clusterFlags) print(out io.Writer, status *rollout.Status) error {
	if !c.JSON {
		return printStatus(out, status)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(status)
}

// printStatus prints a status as human-readable tables.
func printStatus(out io.Writer, s *rollout.Status) error {
	const columnGap = 2
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0) // Flush returns the first write error
	printState(w, s)
	printControllers(w, s)
	printBlockers(w, s.Blockers)
	return w.Flush()
}

// printState prints the levels, the state of the upgrade and the number of records by encoding.
func printState(w io.Writer, s *rollout.Status) {
	fmt.Fprintf(w, "level\t%d (%s)\n", s.State.Level, s.State.Phase)
	fmt.Fprintf(w, "active\t%d\n", s.ActiveLevel)
	fmt.Fprintf(w, "records written at\t%d\n", s.WriteLevel)
	if s.State.PhaseStartedAtMS > 0 {
		fmt.Fprintf(w, "since\t%s\n", formatTime(s.State.PhaseStartedAtMS))
	}
	if s.State.OnHold {
		fmt.Fprintf(w, "held\tyes: finalize ends that\n")
	}
	if s.State.Request != rollout.NoRequest {
		fmt.Fprintf(w, "asked for\t%s\n", s.State.Request)
	}
	for _, encoding := range slices.Sorted(maps.Keys(s.RecordsByEncoding)) {
		fmt.Fprintf(w, "records, %s\t%d\n", encoding, s.RecordsByEncoding[encoding])
	}
}

// printControllers prints the registered and the missing controllers.
func printControllers(w io.Writer, s *rollout.Status) {
	fmt.Fprintf(w, "\ncontroller\treads\tbuild\tsince\n")
	for _, c := range s.Controllers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Node, c.LevelRange, c.Build, formatTime(c.RegisteredAtMS))
	}
	for _, name := range s.MissingControllers {
		fmt.Fprintf(w, "%s\tnot registered\n", name)
	}
}

// printBlockers prints what prevents the next step of the upgrade, if anything does.
func printBlockers(w io.Writer, blockers []rollout.Blocker) {
	if len(blockers) == 0 {
		return
	}
	fmt.Fprintf(w, "\nin the way of the next step:\n")
	for _, blocker := range blockers {
		fmt.Fprintf(w, "  %s\n", blocker)
	}
}

// formatTime formats a time in milliseconds since the epoch.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.DateTime) }
