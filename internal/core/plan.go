package core

import (
	"cmp"
	"math"
	"slices"
)

// Host is a machine as the leader sees it: what is free on it, and what could
// be had by preemption.
type Host struct {
	ID         int32
	Type, Zone string
	Spot       bool
	Part       int
	Size, Free Res
	Claims     []HeldCell // of tasks that run on it
	sorted     bool       // Claims are, see victimsFirst
	Booting    bool
	Touched    bool // by planning: it is wanted
	// Pinned: a service runs on it. It stays for as long as that does, so what
	// is placed beside it keeps no other machine from being returned.
	Pinned bool
}

// HeldCell is a task's use of a host.
type HeldCell struct {
	Claim Claim
	Size  Res
}

// Take lets up to n tasks of size need take free room on hosts, fullest hosts
// first, and returns how many each host got.
func Take(hosts []*Host, allowed func(*Host) bool, need Res, n int) map[*Host]int {
	out := map[*Host]int{}
	for n > 0 {
		var best *Host
		for _, h := range hosts {
			if !h.Free.Holds(need) || !allowed(h) {
				continue
			}
			if best == nil || better(h, best) {
				best = h
			}
		}
		if best == nil {
			return out
		}
		k := best.Free.Fits(need, n)
		best.Free = best.Free.Minus(need.Times(k))
		best.Touched = true
		out[best] += k
		n -= k
	}
	return out
}

func better(a, b *Host) bool {
	if a.Booting != b.Booting {
		return !a.Booting
	}
	if a.Spot != b.Spot {
		return a.Spot
	}
	if a.Pinned != b.Pinned {
		return a.Pinned
	}
	if ea, eb := a.Free == a.Size, b.Free == b.Size; ea != eb {
		return eb
	}
	if a.Free.CPU != b.Free.CPU {
		return a.Free.CPU < b.Free.CPU
	}
	return a.ID < b.ID
}

// victimsFirst sorts a host's claims, those first that would be evicted first.
// Once is enough: claims are only taken away from the front.
func (h *Host) victimsFirst() {
	if !h.sorted {
		h.sorted, h.Claims = true, slices.Clone(h.Claims)
		slices.SortStableFunc(h.Claims, func(x, y HeldCell) int {
			return cmp.Or(cmp.Compare(x.Claim.Level, y.Claim.Level), cmp.Compare(y.Size.CPU, x.Size.CPU))
		})
	}
}

// Evictable finds the host on which a task could be placed by stopping the
// fewest tasks of the lowest priority, and takes that room.
func Evictable(hosts []*Host, allowed func(*Host) bool, need Res, c Claim) *Host {
	var best *Host
	bestCost := math.Inf(1)
	var bestRest []HeldCell
	var bestFree Res
	for _, h := range hosts {
		if h.Booting || !allowed(h) {
			continue
		}
		h.victimsFirst()
		held, free, cost := h.Claims, h.Free, 0.0
		for len(held) > 0 && !free.Holds(need) && c.Evicts(held[0].Claim) {
			free = free.Plus(held[0].Size)
			cost += 1 + 1000*float64(held[0].Claim.Level)
			held = held[1:]
		}
		if free.Holds(need) && (cost < bestCost || cost == bestCost && (h.Pinned && !best.Pinned || h.Pinned == best.Pinned && h.ID < best.ID)) {
			best, bestCost, bestRest, bestFree = h, cost, held, free.Minus(need)
		}
	}
	if best != nil {
		best.Free, best.Claims, best.Touched = bestFree, bestRest, true
	}
	return best
}

// Limit of a team and what its tasks use.
type Limit struct {
	Guarantee, Max Res // a zero resource: none
	Used, OwnUsed  Res
}

// Room is how many more tasks of size need the limit permits, at most n.
func (l *Limit) Room(need Res, n int) int { return under(l.Max, l.Used, need, n) }

// Lack is by how much need exceeds what the limit leaves.
func (l *Limit) Lack(need Res) Res {
	var out Res
	if l.Max.CPU > 0 {
		out.CPU = max(0, l.Used.CPU+need.CPU-l.Max.CPU)
	}
	if l.Max.GPU > 0 {
		out.GPU = max(0, l.Used.GPU+need.GPU-l.Max.GPU)
	}
	return out
}

// OwnRoom is how many more fit into the guarantee, at most n.
func (l *Limit) OwnRoom(need Res, n int) int {
	if l.Guarantee == (Res{}) {
		return 0
	}
	return under(l.Guarantee, l.OwnUsed, need, n)
}

func under(limit, used, need Res, n int) int {
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

// Priced is an offer with what it costs and how long it takes to come up.
type Priced struct {
	Offer
	Size  Res
	Price float64
	BootS float64
}

// Choose picks the offer that serves n tasks of size need for the least money
// for each task, boot time included, and how many machines of it. likely is how
// many such tasks may share the machines before long: it is that many that a
// large machine's price is spread over. patience is the time over which a
// machine's boot time is spread.
func Choose(offers []Priced, need Res, n, likely int, patience float64) (best Priced, count int) {
	bestCost := math.Inf(1)
	likely = max(likely, n)
	for _, o := range offers {
		fit := o.Size.Fits(need, likely)
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
