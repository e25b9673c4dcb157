package planning

import (
	"math"
	"slices"

	"eiderhitch/internal/scheduling"
)

// Demand is a number of like tasks that found no room: one decision for all.
type Demand struct {
	Class        string
	TaskSize     scheduling.Resources
	Count        int
	Groups       int // of Count tasks each, that come apart from each other; 0: one
	AllOrNothing bool
	EstimateS    float64 // of one task's run time, seconds
	WindowS      float64 // within which an array's tasks should be through
	SlackS       float64 // until the deadline
	Allows       OfferFilter
}

func (w *Demand) on(h *MachineSummary) bool { return w.Allows(h.kind()) }

// bootPatience is the time over which a machine's boot is spread when offers are
// compared, in seconds: about how long machines stay.
const bootPatience = 100

// ScalingPlan plans what to rent.
type ScalingPlan struct {
	// Machines are the machines that are up or coming up; planned ones are added.
	Machines []*MachineSummary
	Offers   []PricedOffer
	// RunningByClass is how many tasks of each class run now.
	RunningByClass map[string]int
	// Launches is how many machines of each offer are to be rented.
	Launches map[Offer]int
	// Shortage: some want found no room on what there is or comes up.
	Shortage bool
}

// Place has a want take what room there is, and rents for what is left.
func (f *ScalingPlan) Place(w Demand) {
	n := w.Count * max(w.Groups, 1)
	if !w.AllOrNothing && w.WindowS > 0 {
		n = min(n, int(math.Ceil(float64(n)*max(w.EstimateS, 5)/w.WindowS)))
	}
	for _, k := range PlaceInFreeRoom(f.Machines, w.on, w.TaskSize, n) {
		n -= k
	}
	if n <= 0 {
		return
	}
	f.Shortage = true
	var fitting, late []PricedOffer
	for _, o := range f.Offers {
		switch {
		case !w.Allows(o.Offer):
		case !w.AllOrNothing && !o.Spot && w.SlackS < o.BootS+w.EstimateS:
			// An ordinary machine that is up too late to help an array keep its
			// deadline is dear for nothing; spot ones are worth having anyway.
			late = append(late, o)
		default:
			fitting = append(fitting, o)
		}
	}
	if len(fitting) == 0 {
		// The work must be done some time, at leisure: once there are machines
		// for such tasks it waits for them.
		if slices.ContainsFunc(f.Machines, w.on) {
			return
		}
		fitting, n = late, (n+7)/8
	}
	// Services that come one by one are served one by one: in bulk the largest
	// machines would be the cheapest, which take longest to be of use.
	each := n
	if w.Groups > 1 {
		each = w.Count
	}
	for n > 0 {
		o, k := CheapestOffer(fitting, w.TaskSize, each, each+f.RunningByClass[w.Class]/4, bootPatience)
		if k == 0 {
			return
		}
		added := make([]*MachineSummary, k)
		for i := range added {
			added[i] = &MachineSummary{ID: -1, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Size: o.Size, Free: o.Size, Booting: true}
		}
		f.Machines = append(f.Machines, added...)
		for _, k := range PlaceInFreeRoom(added, w.on, w.TaskSize, n) {
			n -= k
		}
		f.Launches[o.Offer] += k
	}
}

// CountLowerPriorityAsFree counts room that claims below a level hold as free, since work of
// that level would evict them.
func CountLowerPriorityAsFree(hosts []*MachineSummary, level int) {
	for _, h := range hosts {
		for _, c := range h.Usages {
			if c.Claim.Priority < level {
				h.Free = h.Free.Plus(c.Size)
			}
		}
	}
}

// Headroom is how many more like services room is kept for: the number of
// services that run at a time varies by about its square root.
func Headroom(services int, factor float64) int {
	return int(math.Ceil(factor * math.Sqrt(float64(services))))
}

// FreeHistory remembers how many CPUs were free of late. Arrays are spread over what
// there is, so that few machines are ever idle by themselves: when more is free
// all the time than a machine holds, one without services can be emptied.
type FreeHistory struct {
	samples []freeSample
}

type freeSample struct {
	at  float64
	cpu int64
}

// Reset forgets: something is short.
func (s *FreeHistory) Reset() { s.samples = nil }

// Add notes how much is free at a time, in seconds, and tells the least of the
// last window; false if it has not been noted for as long yet.
func (s *FreeHistory) Add(at float64, free int64, window float64) (least int64, ok bool) {
	s.samples = append(s.samples, freeSample{at, free})
	for at-s.samples[0].at > window {
		s.samples = s.samples[1:]
	}
	least = free
	for _, x := range s.samples {
		least = min(least, x.cpu)
	}
	return least, at-s.samples[0].at >= window*9/10
}

// Subtract counts down what was noted: a machine is being emptied.
func (s *FreeHistory) Subtract(cpu int64) {
	for i := range s.samples {
		s.samples[i].cpu -= cpu
	}
}

// Used is what claims hold of a host.
func (h *MachineSummary) Used() scheduling.Resources {
	used := scheduling.Resources{}
	for _, c := range h.Usages {
		used = used.Plus(c.Size)
	}
	return used
}

// LeastUsedMachine is the ordinary host that is used least, of those that hold no more
// than the given CPUs and nothing of level or above; nil if there is none.
func LeastUsedMachine(hosts []*MachineSummary, cpus int64, level int, can MachineFilter) *MachineSummary {
	var best *MachineSummary
	bestUsed := int64(0)
	for _, h := range hosts {
		if h.Spot || h.Size.CPU > cpus || !can(h) ||
			slices.ContainsFunc(h.Usages, func(c Usage) bool { return c.Claim.Priority >= level }) {
			continue
		}
		if used := h.Used().CPU; best == nil || used*best.Size.CPU < bestUsed*h.Size.CPU {
			best, bestUsed = h, used
		}
	}
	return best
}
