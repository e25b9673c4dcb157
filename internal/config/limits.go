package config

import "fmt"

// What a controller holds, in bytes. The figures are measured (docs/operations.md) and
// rounded up.
const (
	// ConnectionBytes is what an open connection holds: its stacks, its two buffers and
	// what net/http notes of it.
	ConnectionBytes = 24 << 10
	// LiveBytes is what the collector finds in use apart from connections, with the records
	// of some hundred machines and a thousand jobs at hand.
	LiveBytes = 10 << 20
	// UncountedBytes is what the runtime does not count: the C library and its threads.
	UncountedBytes = 4 << 20
)

// minGCPercent and maxGCPercent bound the percentage of garbage that is let stand. With
// less the collector takes too much of the processor, more spares it hardly anything.
const (
	minGCPercent = 50
	maxGCPercent = 300
)

// minCPUShare is the share of a core below which a controller is late with its duties
// even at some dozen machines.
const minCPUShare = 0.01

// Connections is how many connections of users and workers are served at a time. A
// controller that is left alone has all workers, each with a connection.
func (p *Platform) Connections() int { return max(p.Settings.Limits.MaxSockets*3/4, 8) }

// DirectCommands is how many direct commands may be open at a time, each with a socket.
func (p *Platform) DirectCommands() int { return max(p.Settings.Limits.MaxSockets/8, 8) }

// Memory is how the memory that the platform allows is used.
type Memory struct {
	// LimitBytes is the limit for the runtime: near it garbage is collected more often. A tenth of the
	// memory is left, so that a burst between two collections does not end the process.
	LimitBytes int64
	// GCPercent is the percentage of garbage that is let stand: what is left of the limit
	// when all connections are open.
	GCPercent int
	// NeededBytes is the least memory, in bytes, in which all connections can be open
	// without the collector running all the time.
	NeededBytes int64
}

// Memory derives the plan from the settings.
func (p *Platform) Memory() Memory {
	total := p.Settings.Limits.MemMB * (1 << 20)
	sockets := float64(p.Connections()+p.DirectCommands()) * ConnectionBytes
	limit := max(total*0.9-UncountedBytes, 1<<20)
	garbage := 100 * ((limit-sockets)/LiveBytes - 1)
	return Memory{
		LimitBytes:  int64(limit),
		GCPercent:   int(min(max(garbage, minGCPercent), maxGCPercent)),
		NeededBytes: int64((sockets + LiveBytes*(1+minGCPercent/100.0) + UncountedBytes) / 0.9),
	}
}

// Warnings say what of the platform's limits is too small, or not known.
func (p *Platform) Warnings() []string {
	var out []string
	l := &p.Settings.Limits
	if m := p.Memory(); float64(m.NeededBytes) > l.MemMB*(1<<20) {
		out = append(out, fmt.Sprintf("settings.limits.mem_mb: %v is little for %d connections, %d would do", l.MemMB, p.Connections(), 1+m.NeededBytes>>20))
	}
	if least := 16 + 8*p.Settings.Count; l.MaxSockets < least {
		out = append(out, fmt.Sprintf("settings.limits.max_sockets: %d leave hardly any for workers and users, %d are the least", l.MaxSockets, least))
	}
	switch {
	case l.CPUShare == 0:
		out = append(out, "settings.limits.cpu_share: not given, taken as unknown")
	case l.CPUShare < minCPUShare:
		out = append(out, fmt.Sprintf("settings.limits.cpu_share: %v is little, %v are needed for a few dozen machines", l.CPUShare, minCPUShare))
	}
	return out
}
