package config

import "fmt"

// Memory use of a controller, in bytes. The figures are measured (docs/operations.md) and
// rounded up.
const (
	// ConnectionBytes is the memory that an open connection uses: goroutine stacks, two
	// buffers and the state that net/http keeps.
	ConnectionBytes = 24 << 10
	// LiveHeapBytes is the live heap without connections, with the records of about a hundred
	// machines and a thousand unfinished jobs.
	LiveHeapBytes = 10 << 20
	// NonGoBytes is the memory that the Go runtime does not count: the C library and its
	// threads.
	NonGoBytes = 4 << 20
)

const megabyte = 1 << 20

const (
	// minGCPercent and maxGCPercent are the limits of the runtime's GC percentage: the garbage
	// that may accumulate before a collection, as a percentage of the live heap. Below the
	// minimum the collector uses too much CPU time; above the maximum it saves hardly any.
	minGCPercent = 50
	maxGCPercent = 300
	// usableMemoryShare is the fraction of the platform's memory limit that is used, so that
	// an allocation burst between two collections does not get the process killed.
	usableMemoryShare = 0.9
	// minMemoryLimitBytes is the lowest memory limit set in the runtime.
	minMemoryLimitBytes = megabyte
)

const (
	// minCPUShare is the fraction of a core below which a controller misses its deadlines even
	// with a few dozen machines.
	minCPUShare = 0.01
	// minConnections and minDirectCommands are allowed regardless of the socket limit.
	minConnections    = 8
	minDirectCommands = 8
	// minProcessSockets, for the process itself, plus minSocketsPerController for each
	// controller is the number of sockets below which hardly any are left for workers and users.
	minProcessSockets       = 16
	minSocketsPerController = 8
)

// MaxConnections returns how many connections of users and workers are served at a time: three
// quarters of the sockets. If only one controller is still running, every worker is connected
// to it.
func (p *PlatformSettings) MaxConnections() int {
	return max(p.Settings.Limits.MaxSockets*3/4, minConnections)
}

// MaxDirectCommands returns how many direct commands may be open at a time, each with a socket:
// an eighth of the sockets.
func (p *PlatformSettings) MaxDirectCommands() int {
	return max(p.Settings.Limits.MaxSockets/8, minDirectCommands)
}

// MemoryBudget says how the memory that the platform allows is used.
type MemoryBudget struct {
	// LimitBytes is the memory limit of the Go runtime, which collects garbage more often when
	// memory use comes close to it.
	LimitBytes int64
	// GCPercent is the runtime's GC percentage. If the platform allows at least NeededBytes, the
	// garbage that it permits fits into LimitBytes even when all connections are open.
	GCPercent int
	// NeededBytes is the lowest memory limit of the process with which all connections can be
	// open without the garbage collector running all the time.
	NeededBytes int64
}

// MemoryBudget derives the memory budget from the settings.
func (p *PlatformSettings) MemoryBudget() MemoryBudget {
	total := p.Settings.Limits.MemMB * megabyte
	sockets := float64(p.MaxConnections()+p.MaxDirectCommands()) * ConnectionBytes
	limit := max(total*usableMemoryShare-NonGoBytes, minMemoryLimitBytes)
	garbage := 100 * ((limit-sockets)/LiveHeapBytes - 1)
	return MemoryBudget{
		LimitBytes:  int64(limit),
		GCPercent:   int(min(max(garbage, minGCPercent), maxGCPercent)),
		NeededBytes: int64((sockets + LiveHeapBytes*(1+minGCPercent/100.0) + NonGoBytes) / usableMemoryShare),
	}
}

// Warnings returns a message for each of the platform's limits that is too low or unknown.
func (p *PlatformSettings) Warnings() []string {
	var warnings []string
	limits := &p.Settings.Limits
	if needed := p.MemoryBudget().NeededBytes; float64(needed) > limits.MemMB*megabyte {
		warnings = append(warnings, fmt.Sprintf("settings.limits.mem_mb: %v is little for %d connections, %d would do", limits.MemMB, p.MaxConnections(), 1+needed/megabyte))
	}
	if minimum := minProcessSockets + minSocketsPerController*p.Settings.ControllerCount; limits.MaxSockets < minimum {
		warnings = append(warnings, fmt.Sprintf("settings.limits.max_sockets: %d leave hardly any for workers and users, %d are the least", limits.MaxSockets, minimum))
	}
	switch {
	case limits.CPUShare == 0:
		warnings = append(warnings, "settings.limits.cpu_share: not given, taken as unknown")
	case limits.CPUShare < minCPUShare:
		warnings = append(warnings, fmt.Sprintf("settings.limits.cpu_share: %v is little, %v are needed for a few dozen machines", limits.CPUShare, minCPUShare))
	}
	return warnings
}
