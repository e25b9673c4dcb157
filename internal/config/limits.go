package config

import "fmt"

// What a controller holds, in bytes. The figures are measured (docs/operations.md) and
// rounded up.
const (
	// PerConnection is what an open connection holds: its stacks, its two buffers and
	// what net/http notes of it.
	PerConnection = 24 << 10
	// Live is what the collector finds in use apart from connections, with the records
	// of some hundred machines and a thousand jobs at hand.
	Live = 10 << 20
	// Beyond is what the runtime does not count: the C library and its threads.
	Beyond = 4 << 20
)

// leastGarbage and mostGarbage bound the percentage of garbage that is let stand. With
// less the collector takes too much of the processor, more spares it hardly anything.
const (
	leastGarbage = 50
	mostGarbage  = 300
)

// leastShare is the share of a core below which a controller is late with its duties
// even at some dozen machines.
const leastShare = 0.01

// Connections is how many connections of users and workers are served at a time. A
// controller that is left alone has all workers, each with a connection.
func (p *Platform) Connections() int { return max(p.Settings.Limits.MaxSockets*3/4, 8) }

// DirectCommands is how many direct commands may be open at a time, each with a socket.
func (p *Platform) DirectCommands() int { return max(p.Settings.Limits.MaxSockets/8, 8) }

// Memory is how the memory that the platform allows is used.
type Memory struct {
	// Limit for the runtime: near it garbage is collected more often. A tenth of the
	// memory is left, so that a burst between two collections does not end the process.
	Limit int64
	// Garbage is the percentage of garbage that is let stand: what is left of the limit
	// when all connections are open.
	Garbage int
	// Needed is the least memory, in bytes, in which all connections can be open
	// without the collector running all the time.
	Needed int64
}

// Memory derives the plan from the settings.
func (p *Platform) Memory() Memory {
	total := p.Settings.Limits.MemMB * (1 << 20)
	sockets := float64(p.Connections()+p.DirectCommands()) * PerConnection
	limit := max(total*0.9-Beyond, 1<<20)
	garbage := 100 * ((limit-sockets)/Live - 1)
	return Memory{
		Limit:   int64(limit),
		Garbage: int(min(max(garbage, leastGarbage), mostGarbage)),
		Needed:  int64((sockets + Live*(1+leastGarbage/100.0) + Beyond) / 0.9),
	}
}

// Warnings say what of the platform's limits is too small, or not known.
func (p *Platform) Warnings() []string {
	var out []string
	l := &p.Settings.Limits
	if m := p.Memory(); float64(m.Needed) > l.MemMB*(1<<20) {
		out = append(out, fmt.Sprintf("settings.limits.mem_mb: %v is little for %d connections, %d would do", l.MemMB, p.Connections(), 1+m.Needed>>20))
	}
	if least := 16 + 8*p.Settings.Count; l.MaxSockets < least {
		out = append(out, fmt.Sprintf("settings.limits.max_sockets: %d leave hardly any for workers and users, %d are the least", l.MaxSockets, least))
	}
	switch {
	case l.CPUShare == 0:
		out = append(out, "settings.limits.cpu_share: not given, taken as unknown")
	case l.CPUShare < leastShare:
		out = append(out, fmt.Sprintf("settings.limits.cpu_share: %v is little, %v are needed for a few dozen machines", l.CPUShare, leastShare))
	}
	return out
}
