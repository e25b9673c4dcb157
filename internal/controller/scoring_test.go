package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// A fetch adds to a machine's score in proportion to its expected duration, up to a maximum, and
// a cached image lowers the score.
func TestFetchScore(t *testing.T) {
	const image, other = "trainer", "renderer"
	for _, x := range []struct {
		name     string
		service  bool
		images   map[string]bool
		fetching map[string]time.Duration // age of each fetch
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
			c := newTestController(t)
			c.machineTypes = map[string]*wire.MachineType{"small": {Name: "small", ImageFetchGBPS: x.rate}}
			m := &machine{machineType: "small", cachedImages: x.images, fetchStartedAt: map[string]time.Time{}}
			for name, age := range x.fetching {
				m.fetchStartedAt[name] = c.now.Add(-age)
			}
			spec := &wire.Job{Image: image, ImageGB: 4, Service: x.service}
			if got := c.fetchScore(m, spec); got != x.want {
				t.Errorf("score %v, want %v", got, x.want)
			}
		})
	}
}

// A spot machine that runs a service and has the task's image meets all criteria with negative
// scores. Their sum exceeded the base score, so that the total was negative, which forbids
// placement, unless 50 CPUs were free: 1000 - 400 (image) - 500 (spot) - 150 (service) + 3 (free
// CPUs) = -47. The task was not placed although the machine had room.
func TestPreferredMachineScoresAboveForbidden(t *testing.T) {
	const image = "trainer"
	c := newTestController(t)
	p := c.partitions[0]
	m := c.getOrAddMachine("host-1")
	c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Spot: true, Incarnation: 1, Sequence: 1, FencingToken: 1}, p, workerRequest)
	m.cachedImages[image] = true
	service := &wire.Job{ID: "wk-1", Service: true, TaskCount: 1, CPUs: 1, Team: "t", AllowsSpot: true}
	array := &wire.Job{ID: "wk-2", TaskCount: 1, CPUs: 1, Team: "t", Image: image, AllowsSpot: true}
	for i, spec := range []*wire.Job{service, array} {
		c.replica.Put(jobKey(spec.ID), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: spec}), uint64(2+i))
	}
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 0, Attempt: 1, Machine: "host-1", Incarnation: 1}}}), 4)
	c.replica.Put(groupKey("wk-2", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 0}}}), 5)
	c.schedulingPass++
	score := c.scorer(p, c.groupByKey[groupKey("wk-2", 0)])
	for _, freeCPUs := range []float64{0, 3, 49, 200} {
		if got := score(m.index, scheduling.NewResources(freeCPUs, 0, 0)); got < 0 {
			t.Errorf("score %v with %v CPUs free, want at least 0", got, freeCPUs)
		}
	}
	m.spot = false
	array.AllowsSpot = false
	if ordinary, spot := score(m.index, scheduling.NewResources(3, 0, 0)), -500.0; ordinary+spot < 0 {
		t.Errorf("score %v of the same machine as an on-demand machine, want at least %v", ordinary, -spot)
	}
}

// A machine that may reach no controller is chosen only if no other one has room, however well it
// suits otherwise.
func TestSilentMachineIsAvoided(t *testing.T) {
	for name, silence := range map[string]func(c *controller, m *machine){
		"its heartbeat is overdue": func(c *controller, _ *machine) {
			c.now = c.now.Add(c.heartbeatTimeout() + time.Millisecond)
		},
		"only a direct answer has shown its incarnation": func(c *controller, m *machine) {
			answer := &wire.Heartbeat{Machine: m.name, Type: "small", Zone: "a", Spot: true, Incarnation: 2, Sequence: 1, FencingToken: 1}
			c.applyHeartbeat(m, answer, c.partitions[0], directCommandResponse)
		},
	} {
		c := newTestController(t)
		c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", TaskCount: 1, CPUs: 1, Team: "t", AllowsSpot: true}}), 2)
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Task: 0}}}), 3)
		preferred, other := c.getOrAddMachine("host-1"), c.getOrAddMachine("host-2")
		report := func(m *machine, spot bool) {
			heartbeat := &wire.Heartbeat{Machine: m.name, Type: "small", Zone: "a", Spot: spot, Incarnation: 1, Sequence: m.sequence + 1, FencingToken: 1}
			c.applyHeartbeat(m, heartbeat, c.partitions[0], workerRequest)
		}
		report(preferred, true)
		silence(c, preferred)
		report(other, false)
		c.schedulingPass++
		score := c.scorer(c.partitions[0], c.groupByKey[groupKey("wk-1", 0)])
		few, many := scheduling.NewResources(1, 0, 0), scheduling.NewResources(200, 0, 0)
		if silent, reachable := score(preferred.index, few), score(other.index, many); silent <= reachable || reachable < 0 {
			t.Errorf("%s: score %v, want above that of the other machine, %v", name, silent, reachable)
		}
	}
}
