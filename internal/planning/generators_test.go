package planning

import (
	"fmt"

	"pgregory.net/rapid"

	"eiderhitch/internal/scheduling"
)

// testPartitions is the number of partitions that generated machines belong to.
const testPartitions = 3

// unlimited is a limit that exceeds the number of tasks on any generated machine.
const unlimited = 1000

func anyMachine(*MachineSummary) bool { return true }

func anyOffer(Offer) bool { return true }

func drawClaim(t *rapid.T, name string) scheduling.Claim {
	return scheduling.Claim{
		Priority:   rapid.IntRange(0, 3).Draw(t, name+" priority"),
		Guaranteed: rapid.Bool().Draw(t, name+" guaranteed"),
		Team:       scheduling.TeamIndex(rapid.IntRange(0, 2).Draw(t, name+" team")),
	}
}

// drawCPUs draws a task size of least to most CPUs and 1 GB of RAM.
func drawCPUs(t *rapid.T, name string, least, most int) scheduling.Resources {
	return scheduling.NewResources(float64(rapid.IntRange(least, most).Draw(t, name)), 0, 1)
}

// drawMachines draws machines with usages that fit on them.
func drawMachines(t *rapid.T) []*MachineSummary {
	var machines []*MachineSummary
	for i := range rapid.IntRange(0, 8).Draw(t, "machines") {
		size := scheduling.NewResources(float64(rapid.SampledFrom([]int{4, 16}).Draw(t, "machine cpus")), 0, 64)
		machine := &MachineSummary{
			Index:         scheduling.MachineIndex(i),
			Type:          fmt.Sprint(size.CPU),
			Zone:          rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Spot:          rapid.Bool().Draw(t, "spot"),
			Partition:     rapid.IntRange(0, testPartitions-1).Draw(t, "partition"),
			Size:          size,
			FreeResources: size,
		}
		for range rapid.IntRange(0, 6).Draw(t, "usages") {
			usage := TaskUsage{Claim: drawClaim(t, "usage"), Size: drawCPUs(t, "usage cpus", 1, 4)}
			if machine.FreeResources.Contains(usage.Size) {
				machine.FreeResources = machine.FreeResources.Minus(usage.Size)
				machine.Usages = append(machine.Usages, usage)
			}
		}
		machines = append(machines, machine)
	}
	return machines
}

// drawOfferFilter draws a filter that may restrict the zone to one of the given zones and may
// exclude spot instances. onlyZone is the zone, or "" if the filter allows all.
func drawOfferFilter(t *rapid.T, zones ...string) (filter OfferFilter, onlyZone string) {
	onlyZone = rapid.SampledFrom(append([]string{""}, zones...)).Draw(t, "only zone")
	spot := rapid.Bool().Draw(t, "spot allowed")
	return func(offer Offer) bool { return (onlyZone == "" || offer.Zone == onlyZone) && (spot || !offer.Spot) }, onlyZone
}
