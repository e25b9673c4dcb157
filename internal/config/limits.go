package config

import "fmt"

// What a controller holds, in bytes. The figures are measured (docs/operations.md) and
// rounded up.
const (
	// ConnectionBytes is what an open connection holds: its stacks, its two buffers and
	// what net/http notes of it.
	ConnectionBytes = 24 << 10
	// LiveHeapBytes is what the garbage collector finds in use apart from connections, with the
	// records of some hundred machines and a thousand unfinished jobs.
	LiveHeapBytes = 10 << 20
	// NonGoBytes is what the runtime does not count: the C library and its threads.
	NonGoBytes = 4 << 20
)

const megabyte = 1 << 20

const (
	// minGCPercent and maxGCPercent bound the garbage that is kept, as a percentage of
	// what is in use. With less the collector takes too much of the processor, more spares
	// it hardly anything.
	minGCPercent = 50
	maxGCPercent = 300
	// memoryShare of the memory that the platform allows is used, so that a burst between
	// two collections does not end the process.
	memoryShare = 0.9
	// minLimitBytes is the least limit that the runtime is given.
	minLimitBytes = megabyte
)

const (
	// minCPUShare is the share of a core below which a controller is late with its duties
	// even at some dozen machines.
	minCPUShare = 0.01
	// minConnections and minDirectCommands are served however few sockets there are.
	minConnections    = 8
	minDirectCommands = 8
	// Sockets below which hardly any are left for workers and users: some for the process
	// itself, and some for each controller.
	minSockets              = 16
	minSocketsPerController = 8
)

// MaxConnections returns how many connections of users and workers are served at a time: three
// quarters of the sockets. A controller that is left alone has all workers, each with a
// connection.
func (p *PlatformSettings) MaxConnections() int {
	return max(p.Settings.Limits.MaxSockets*3/4, minConnections)
}

// MaxDirectCommands returns how many direct commands may be open at a time, each with a socket:
// an eighth of the sockets.
func (p *PlatformSettings) MaxDirectCommands() int {
	return max(p.Settings.Limits.MaxSockets/8, minDirectCommands)
}

// MemoryBudget is how the memory that the platform allows is used.
type MemoryBudget struct {
	// LimitBytes is the runtime's memory limit: near it garbage is collected more often.
	LimitBytes int64
	// GCPercent is the garbage that is kept, as a percentage of what is in use: what is left
	// of the limit when all connections are open.
	GCPercent int
	// NeededBytes is the least memory in which all connections can be open without the
	// collector running all the time.
	NeededBytes int64
}

// MemoryBudget derives the use of memory from the settings.
func (p *PlatformSettings) MemoryBudget() MemoryBudget {
	total := p.Settings.Limits.MemMB * megabyte
	sockets := float64(p.MaxConnections()+p.MaxDirectCommands()) * ConnectionBytes
	limit := max(total*memoryShare-NonGoBytes, minLimitBytes)
	garbage := 100 * ((limit-sockets)/LiveHeapBytes - 1)
	return MemoryBudget{
		LimitBytes:  int64(limit),
		GCPercent:   int(min(max(garbage, minGCPercent), maxGCPercent)),
		NeededBytes: int64((sockets + LiveHeapBytes*(1+minGCPercent/100.0) + NonGoBytes) / memoryShare),
	}
}

// Warnings returns what of the platform's limits is too small, or not known, in words.
func (p *PlatformSettings) Warnings() []string {
	var out []string
	limits := &p.Settings.Limits
	if needed := p.MemoryBudget().NeededBytes; float64(needed) > limits.MemMB*megabyte {
		out = append(out, fmt.Sprintf("settings.limits.mem_mb: %v is little for %d connections, %d would do", limits.MemMB, p.MaxConnections(), 1+needed/megabyte))
	}
	if least := minSockets + minSocketsPerController*p.Settings.ControllerCount; limits.MaxSockets < least {
		out = append(out, fmt.Sprintf("settings.limits.max_sockets: %d leave hardly any for workers and users, %d are the least", limits.MaxSockets, least))
	}
	switch {
	case limits.CPUShare == 0:
		out = append(out, "settings.limits.cpu_share: not given, taken as unknown")
	case limits.CPUShare < minCPUShare:
		out = append(out, fmt.Sprintf("settings.limits.cpu_share: %v is little, %v are needed for a few dozen machines", limits.CPUShare, minCPUShare))
	}
	return out
}
