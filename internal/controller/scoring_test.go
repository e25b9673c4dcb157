package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// The fetch of an image speaks against a machine for as long as it would take there, up to a
// bound; an image that is cached speaks for it.
func TestFetchScore(t *testing.T) {
	const image, other = "trainer", "renderer"
	for _, x := range []struct {
		name     string
		service  bool
		images   map[string]bool
		fetching map[string]time.Duration // since how long
		rate     float64
		want     float64
	}{
		{name: "array", rate: 2, want: 3 * 4 / 2.0},
		{name: "service", service: true, rate: 2, want: 10 * 4 / 2.0},
		{name: "cached", images: map[string]bool{image: true}, rate: 2, want: -400},
		{name: "other image cached", images: map[string]bool{other: true}, rate: 2, want: 6},
		{name: "half fetched", fetching: map[string]time.Duration{image: time.Second}, rate: 2, want: 3},
		{name: "shared rate", fetching: map[string]time.Duration{other: time.Second}, rate: 2, want: 12},
		{name: "abandoned fetch", fetching: map[string]time.Duration{other: time.Minute + 1, image: time.Minute + 1}, rate: 2, want: 6},
		{name: "slow", rate: 0.01, want: 600},
		{name: "no rate known", rate: 0, want: 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := lone(t)
			c.machineTypes = map[string]*wire.MachineType{"small": {Name: "small", FetchGBPS: x.rate}}
			m := &machine{machineType: "small", images: x.images, fetching: map[string]time.Time{}}
			for name, ago := range x.fetching {
				m.fetching[name] = c.now.Add(-ago)
			}
			spec := &wire.Job{Image: image, ImageGB: 4, Service: x.service}
			if got := c.fetchScore(m, spec); got != x.want {
				t.Errorf("score %v, want %v", got, x.want)
			}
		})
	}
}
