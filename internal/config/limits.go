package config

import "fmt"

// What a controller holds, in bytes. The figures are measured (docs/operations.md) and
// rounded up.
const (
	// ConnectionBytes is what an open connection holds: its stacks, its two buffers and
	// what net/http notes of it.
	ConnectionBytes = 24 << 10
	// LiveBytes is what the garbage collector finds in use apart from connections, with the
	// records of some hundred machines and a thousand unfinished jobs.
	LiveBytes = 10 << 20
	// UncountedBytes is what the runtime does not count: the C library and its threads.
	UncountedBytes = 4 << 20
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

// Connections returns how many connections of users and workers are served at a time: three
// quarters of the sockets. A controller that is left alone has all workers, each with a
// connection.
func (p *Platform) Connections() int {
	return max(p.Settings.Limits.MaxSockets*3/4, minConnections)
}

// DirectCommands returns how many direct commands may be open at a time, each with a socket:
// an eighth of the sockets.
func (p *Platform) DirectCommands() int {
	return max(p.Settings.Limits.MaxSockets/8, minDirectCommands)
}

// Memory is how the memory that the platform allows is used.
type Memory struct {
	// LimitBytes is the runtime's memory limit: near it garbage is collected more often.
	LimitBytes int64
	// GCPercent is the garbage that is kept, as a percentage of what is in use: what is left
	// of the limit when all connections are open.
	GCPercent int
	// NeededBytes is the least memory in which all connections can be open without the
	// collector running all the time.
	NeededBytes int64
}

// Memory derives the use of memory from the settings.
func (p *Platform) Memory() Memory {
	total := p.Settings.Limits.MemMB * megabyte
	sockets := float64(p.Connections()+p.DirectCommands()) * ConnectionBytes
	limit := max(total*memoryShare-UncountedBytes, minLimitBytes)
	garbage := 100 * ((limit-sockets)/LiveBytes - 1)
	return Memory{
		LimitBytes:  int64(limit),
		GCPercent:   int(min(max(garbage, minGCPercent), maxGCPercent)),
		NeededBytes: int64((sockets + LiveBytes*(1+minGCPercent/100.0) + UncountedBytes) / memoryShare),
	}
}

// Warnings returns what of the platform's limits is too small, or not known, in words.
func (p *Platform) Warnings() []string {
	var out []string
	limits := &p.Settings.Limits
	if needed := p.Memory().NeededBytes; float64(needed) > limits.MemMB*megabyte {
		out = append(out, fmt.Sprintf("settings.limits.mem_mb: %v is little for %d connections, %d would do", limits.MemMB, p.Connections(), 1+needed/megabyte))
	}
	if least := minSockets + minSocketsPerController*p.Settings.Count; limits.MaxSockets < least {
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
