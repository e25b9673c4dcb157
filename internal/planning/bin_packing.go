package planning

import (
	"cmp"
	"math"
	"slices"

	"eiderhitch/internal/scheduling"
)

// MachineSummary is a machine as the leader sees it: what is free on it, and what could
// be had by preemption.
type MachineSummary struct {
	ID         scheduling.MachineIndex
	Type, Zone string
	Spot       bool
	Partition  int
	Size, Free scheduling.Resources
	Usages     []Usage // of tasks that run on it
	sorted     bool    // Claims are, see sortVictimsFirst
	Booting    bool
	InUse      bool // by planning: it is wanted
	// RunsService: a service runs on it. It stays for as long as that does, so what
	// is placed beside it keeps no other machine from being returned.
	RunsService bool
}

// MachineFilter tells whether a task may be placed on a machine.
type MachineFilter func(*MachineSummary) bool

// kind is the offer that the machine was, or is to be, launched from.
func (h *MachineSummary) kind() Offer { return Offer{Type: h.Type, Zone: h.Zone, Spot: h.Spot} }

// Usage is a task's use of a host.
type Usage struct {
	Claim scheduling.Claim
	Size  scheduling.Resources
}

// PlaceInFreeRoom lets up to n tasks of size need take free room on hosts, fullest hosts
// first, and returns how many each host got.
func PlaceInFreeRoom(hosts []*MachineSummary, allowed MachineFilter, need scheduling.Resources, n int) map[*MachineSummary]int {
	out := map[*MachineSummary]int{}
	for n > 0 {
		var best *MachineSummary
		for _, h := range hosts {
			if !h.Free.Contains(need) || !allowed(h) {
				continue
			}
			if best == nil || packsBetter(h, best) {
				best = h
			}
		}
		if best == nil {
			return out
		}
		k := best.Free.CountFitting(need, n)
		best.Free = best.Free.Minus(need.Times(k))
		best.InUse = true
		out[best] += k
		n -= k
	}
	return out
}

func packsBetter(a, b *MachineSummary) bool {
	if a.Booting != b.Booting {
		return !a.Booting
	}
	if a.Spot != b.Spot {
		return a.Spot
	}
	if a.RunsService != b.RunsService {
		return a.RunsService
	}
	if ea, eb := a.Free == a.Size, b.Free == b.Size; ea != eb {
		return eb
	}
	if a.Free.CPU != b.Free.CPU {
		return a.Free.CPU < b.Free.CPU
	}
	return a.ID < b.ID
}

// sortVictimsFirst sorts a host's claims, those first that would be evicted first.
// Once is enough: claims are only taken away from the front.
func (h *MachineSummary) sortVictimsFirst() {
	if !h.sorted {
		h.sorted, h.Usages = true, slices.Clone(h.Usages)
		slices.SortStableFunc(h.Usages, func(x, y Usage) int {
			return cmp.Or(cmp.Compare(x.Claim.Priority, y.Claim.Priority), cmp.Compare(y.Size.CPU, x.Size.CPU))
		})
	}
}

// PlaceByPreemption finds the host on which a task could be placed by stopping the
// fewest tasks of the lowest priority, and takes that room.
func PlaceByPreemption(hosts []*MachineSummary, allowed MachineFilter, need scheduling.Resources, c scheduling.Claim) *MachineSummary {
	var best *MachineSummary
	bestCost := math.Inf(1)
	var bestRest []Usage
	var bestFree scheduling.Resources
	for _, h := range hosts {
		if h.Booting || !allowed(h) {
			continue
		}
		h.sortVictimsFirst()
		held, free, cost := h.Usages, h.Free, 0.0
		for len(held) > 0 && !free.Contains(need) && c.CanPreempt(held[0].Claim) {
			free = free.Plus(held[0].Size)
			cost += 1 + 1000*float64(held[0].Claim.Priority)
			held = held[1:]
		}
		if free.Contains(need) && (cost < bestCost || cost == bestCost && (h.RunsService && !best.RunsService || h.RunsService == best.RunsService && h.ID < best.ID)) {
			best, bestCost, bestRest, bestFree = h, cost, held, free.Minus(need)
		}
	}
	if best != nil {
		best.Free, best.Usages, best.InUse = bestFree, bestRest, true
	}
	return best
}

// Quota of a team and what its tasks use.
type Quota struct {
	Guaranteed, Limit    scheduling.Resources // a zero resource: none
	Used, GuaranteedUsed scheduling.Resources
}

// Room is how many more tasks of size need the limit permits, at most n.
func (l *Quota) Room(need scheduling.Resources, n int) int {
	return remaining(l.Limit, l.Used, need, n)
}

// Shortfall is by how much need exceeds what the limit leaves.
func (l *Quota) Shortfall(need scheduling.Resources) scheduling.Resources {
	var out scheduling.Resources
	if l.Limit.CPU > 0 {
		out.CPU = max(0, l.Used.CPU+need.CPU-l.Limit.CPU)
	}
	if l.Limit.GPU > 0 {
		out.GPU = max(0, l.Used.GPU+need.GPU-l.Limit.GPU)
	}
	return out
}

// GuaranteedRoom is how many more fit into the guarantee, at most n.
func (l *Quota) GuaranteedRoom(need scheduling.Resources, n int) int {
	if l.Guaranteed == (scheduling.Resources{}) {
		return 0
	}
	return remaining(l.Guaranteed, l.GuaranteedUsed, need, n)
}

func remaining(limit, used, need scheduling.Resources, n int) int {
	for _, x := range [][3]int64{{limit.CPU, used.CPU, need.CPU}, {limit.GPU, used.GPU, need.GPU}} {
		if x[0] > 0 && x[2] > 0 {
			n = min(n, int(max(0, x[0]-x[1])/x[2]))
		}
	}
	return n
}

// Offer is a kind of machine that the cloud rents.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// OfferFilter tells whether tasks may run on machines of a kind.
type OfferFilter func(Offer) bool

// PricedOffer is an offer with what it costs and how long it takes to come up.
type PricedOffer struct {
	Offer
	Size  scheduling.Resources
	Price float64
	BootS float64
}

// CheapestOffer picks the offer that serves n tasks of size need for the least money
// for each task, boot time included, and how many machines of it. likely is how
// many such tasks may share the machines before long: it is that many that a
// large machine's price is spread over. patience is the time over which a
// machine's boot time is spread.
func CheapestOffer(offers []PricedOffer, need scheduling.Resources, n, likely int, patience float64) (best PricedOffer, count int) {
	bestCost := math.Inf(1)
	likely = max(likely, n)
	for _, o := range offers {
		fit := o.Size.CountFitting(need, likely)
		if fit == 0 {
			continue
		}
		k := (likely + fit - 1) / fit
		cost := o.Price * float64(k) / float64(likely) * (1 + o.BootS/patience)
		if cost < bestCost {
			best, count, bestCost = o, (n+fit-1)/fit, cost
		}
	}
	return best, count
}
