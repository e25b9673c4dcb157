package controller

import (
	"cmp"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// The meetings that the users have seen rules broken in, as schedules of faults; see
// docs/fault-combinations.md for the lines of the code that each is about.
func TestMeetings(t *testing.T) {
	t.Parallel()
	const on = 0.0 // seconds at which long faults begin
	const usualSeed = 7
	for _, x := range []struct {
		name   string
		jobs   int
		faults []fault
		seed   uint64 // 0: usualSeed
	}{
		{"cancelled while one controller's work changes hands", 14, []fault{{5, "kill", 0, 8, 0}, {5.2, "cancel", 4, 0, 0}, {6, "cancel", 3, 0, 0}, {8, "cancel", 3, 0, 0}, {9.5, "cancel", 3, 0, 0}}, 0},
		{"late transactions after newer ones", 12, []fault{{on, "late writes", all, 60, 0.3}, {5, "jobs", 6, 0, 0}, {12, "cancel", 4, 0, 0}, {20, "kill", leading, 0.4, 0}, {30, "jobs", 6, 0, 0}, {31, "cancel", 4, 0, 0}, {40, "kill", 1, 6, 0}}, 0},
		{"cancellation, question and submission at the end", 16, []fault{{on, "cancel at end", 0, 90, 0.5}, {10, "jobs", 10, 0, 0}, {25, "jobs", 10, 0, 0}}, 0},
		{"all nodes asked within milliseconds", 12, []fault{{on, "close looks", 0, 80, 0}, {on, "cancel at end", 0, 80, 0.4}, {5, "jobs", 8, 0, 0}, {10, "cancel", 4, 0, 0}, {20, "kill", leading, 5, 0}, {22, "jobs", 8, 0, 0}, {24, "cancel", 6, 0, 0}}, 0},
		{"report kept until a new leader has acted", 12, []fault{{5, "keep reports", 0, 0, 0}, {6, "kill", leading, 12, 0}, {7, "die", 2, 0, 0}, {14, "kept reports arrive", 0, 0, 0}, {25, "kept reports arrive", 0, 0, 0}}, 0},
		{"one-task jobs four a second", 4, []fault{{on, "one-task jobs", 0, 120, 0}, {40, "kill", leading, 5, 0}, {70, "close looks", 0, 20, 0}}, 0},
		{"leader ends while machines can't be reached", 14, []fault{{5, "cut", 3, 25, 0}, {5, "deaf", 3, 25, 0}, {6, "kill", leading, 20, 0}, {9, "cancel", 3, 0, 0}}, 0},
		{"leader cut off with its workers", 14, []fault{{5, "alone", leading, 60, 0}, {12, "cancel", 6, 0, 0}, {14, "cancel", 3, 0, 0}}, 0},
		{"old report after newer ones", 12, []fault{{on, "copies", 0, 80, 0.5}, {on, "old copies", 0, 80, 0.3}, {10, "back at once", 2, 0, 0}, {20, "die", 2, 0, 0}, {30, "kill", leading, 0.5, 0}, {40, "back at once", 3, 0, 0}}, 0},
		{"commands held up", 12, []fault{{on, "late commands", all, 60, 0.6}, {5, "hang", 3, 6, 0}, {15, "cancel", 4, 0, 0}, {25, "hang", 3, 9, 0}, {26, "cancel", 4, 0, 0}}, 0},
		{"zone-bound jobs lose machines", 18, []fault{{8, "die", 4, 0, 0}, {20, "die", 4, 0, 0}, {30, "cut", 3, 20, 0}}, 0},
		{"answers to transactions lost while others read", 12, []fault{{on, "lost answers", all, 70, 0.4}, {on, "close looks", 0, 70, 0}, {10, "jobs", 8, 0, 0}, {15, "cancel", 5, 0, 0}, {30, "kill", leading, 5, 0}, {35, "cancel at end", 0, 30, 0.5}}, 0},
		{"teams at their limit, cancelled on cut and hung machines", 24, []fault{{10, "cut", 3, 30, 0}, {10, "hang", 3, 9, 0}, {11, "cancel", 8, 0, 0}, {12, "kill", leading, 12, 0}, {15, "jobs", 10, 0, 0}}, 0},
		{"new machines at once while writes lag, leader ends", 10, []fault{{on, "slow state", all, 50, 0.5}, {1, "jobs", 12, 0, 0}, {4, "kill", leading, 8, 0}, {14, "die", 3, 0, 0}, {16, "kill", leading, 0.3, 0}}, 0},
		{"mute machines", 14, []fault{{5, "mute", 4, 30, 0}, {7, "kill", leading, 10, 0}, {12, "cancel", 4, 0, 0}}, 0},
		{"slow, then refused alone, then down for all", 14, []fault{{on, "slow state", all, 10, 0.5}, {10, "state refuses", leading, 10, 0}, {11, "cancel", 6, 0, 0}, {13, "outage", 0, 45, 0}, {14, "cancel", 3, 0, 0}}, 0},
		{"hand over and back, all end, one returns", 14, []fault{{5, "kill", 0, 8, 0}, {20, "kill", 1, 0.5, 0}, {25, "kill", all, 0.3, 0}, {25.2, "cancel", 3, 0, 0}, {40, "kill", 0, 30, 0}, {41, "kill", 1, 20, 0}, {42, "kill", 2, 0.8, 0}}, 0},
		{"ten leaders in two minutes, also in an outage", 14, []fault{{5, "kill", leading, 1, 0}, {17, "kill", leading, 1, 0}, {29, "kill", leading, 0.2, 0}, {41, "kill", leading, 6, 0}, {45, "outage", 0, 25, 0}, {53, "kill", leading, 1, 0}, {65, "kill", leading, 1, 0}, {75, "cancel", 4, 0, 0}, {77, "kill", leading, 1, 0}, {89, "kill", leading, 5, 0}, {101, "kill", leading, 1, 0}, {113, "kill", leading, 1, 0}}, 0},
		{"all away for longer than a lease", 14, []fault{{5, "cancel", 3, 0, 0}, {5.5, "kill", all, 15, 0}, {40, "keep reports", 0, 0, 0}, {41, "kill", all, 13, 0}, {55, "kept reports arrive", 0, 0, 0}}, 0},
		{"few long tasks across a change of leader", 20, []fault{{10, "kill", leading, 9, 0}, {30, "kill", leading, 0.4, 0}, {40, "late writes", all, 20, 0.3}}, 0},
		{"old reports just as a leader begins", 12, []fault{{5, "keep reports", 0, 0, 0}, {8, "back at once", 3, 0, 0}, {9, "kill", all, 0.5, 0}, {9.6, "kept reports arrive", 0, 0, 0}, {11, "kept reports arrive", 0, 0, 0}}, 0},
		{"limit, change of leader, unreachable machines, cancellation", 24, []fault{{10, "deaf", 3, 25, 0}, {10, "cut", 2, 25, 0}, {11, "kill", leading, 6, 0}, {13, "cancel", 6, 0, 0}, {14, "jobs", 8, 0, 0}}, 0},
		{"more work than room over slow links", 30, []fault{{on, "slow state", all, 60, 0.3}, {on, "late commands", all, 60, 0.3}, {10, "jobs", 20, 0, 0}, {20, "cancel", 6, 0, 0}}, 0},
		{"cancelled as the leader is refused, then an outage", 14, []fault{{5, "state refuses", leading, 12, 0}, {5, "cancel", 6, 0, 0}, {6, "outage", 0, 45, 0}}, 0},
		{"zone cut for longer than a lease", 16, []fault{{8, "zone", 0, 25, 0}, {9, "cancel", 4, 0, 0}, {12, "kill", leading, 5, 0}, {14, "cancel", 3, 0, 0}}, 0},
		{"odd requests, restarts", 10, []fault{{on, "odd requests", 0, 70, 0}, {10, "kill", leading, 4, 0}, {20, "cancel", 4, 0, 0}, {30, "kill", all, 1, 0}}, 0},
		{"a gang dealt to a part that has lost its room", 10, []fault{{1.8, "cut", 2, 15.7, 0}, {24.8, "old copies", 0, 41.5, 0.3}, {26.7, "hang", 2, 13.6, 0}, {31, "close looks", 0, 38.8, 0}, {31.3, "copies", 0, 42.5, 0.3}, {32.4, "kill", all, 0.5, 0}, {34.6, "kill", all, 0.5, 0}, {59.1, "close looks", 0, 43.9, 0}}, 1004},
		{"gangs gather room one after the other beside small work", 10, []fault{{0.6, "outage", 0, 50, 0}, {1.7, "slow state", 0, 24.9, 0.3}, {4.2, "cloud down", 0, 40.8, 0}, {11.6, "slow state", leading, 29.9, 0.3}, {24.1, "slow state", 1, 14.7, 0.3}, {25.5, "jobs", 6, 0, 0}, {39.3, "back at once", 2, 0, 0}, {52.2, "zone", 0, 25.9, 0}, {55.9, "jobs", 6, 0, 0}}, 155},
		{"limits fall during a hand-over", 10, []fault{{on, "gangs", 4, 0, 0}, {5, "kill", 0, 6, 0}, {6, "limits fall", 0, 0, 0}, {7, "gangs", 3, 0, 0}, {14, "kill", 1, 0.4, 0}, {20, "cancel", 4, 0, 0}}, 0},
		{"limits fall while gangs stop", 10, []fault{{on, "gangs", 4, 0, 0}, {12, "no capacity", 0, 30, 0}, {12, "urgent work", 40, 0, 0}, {13, "limits fall", 0, 0, 0}, {14, "kill", leading, 5, 0}}, 0},
		{"machines die without notice during a rollout", 10, []fault{{on, "gangs", 4, 0, 0}, {5, "kill", 0, 2, 0}, {6, "die", 5, 0, 0}, {10, "kill", 1, 2, 0}, {11, "die", 4, 0, 0}, {15, "kill", 2, 2, 0}, {18, "gangs", 3, 0, 0}, {19, "die", 3, 0, 0}}, 0},
		{"cloud out while gangs wait for a task", 8, []fault{{on, "gangs", 4, 0, 0}, {2, "cloud down", 0, 40, 0}, {3, "die", 2, 0, 0}, {9, "die", 2, 0, 0}, {20, "kill", leading, 5, 0}}, 0},
		{"members on machines that hang, are deaf, mute or sick", 8, []fault{{on, "gangs", 5, 0, 0}, {4, "hang", 2, 8, 0}, {8, "deaf", 2, 25, 0}, {12, "mute", 2, 25, 0}, {16, "sick", 2, 20, 0}, {20, "gangs", 3, 0, 0}}, 0},
		{"leader ends between reserving, binding and starting", 8, []fault{{5, "gangs", 3, 0, 0}, {5.15, "kill", leading, 0.3, 0}, {20, "gangs", 3, 0, 0}, {20.25, "kill", leading, 4, 0}, {35, "gangs", 3, 0, 0}, {35.4, "kill", all, 0.5, 0}}, 0},
		{"late and copied reports of an earlier attempt", 8, []fault{{on, "gangs", 5, 0, 0}, {on, "copies", 0, 70, 0.6}, {on, "old copies", 0, 70, 0.4}, {8, "back at once", 3, 0, 0}, {16, "die", 2, 0, 0}, {24, "kill", leading, 0.5, 0}, {30, "keep reports", 0, 0, 0}, {31, "back at once", 3, 0, 0}, {36, "kept reports arrive", 0, 0, 0}}, 0},
		{"late stops and starts of gangs", 8, []fault{{on, "gangs", 5, 0, 0}, {on, "late commands", all, 60, 0.6}, {12, "no capacity", 0, 30, 0}, {12, "urgent work", 40, 0, 0}, {30, "gangs", 3, 0, 0}, {32, "cancel", 3, 0, 0}}, 0},
		{"gangs done and cancelled at once", 6, []fault{{on, "gangs", 6, 0, 0}, {on, "cancel at end", 0, 80, 0.6}, {20, "gangs", 5, 0, 0}, {25, "kill", leading, 5, 0}}, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			play(t, cmp.Or(x.seed, usualSeed), x.jobs, x.faults)
		})
	}
}

// The gap: the state service refuses the owner alone; others confirm cancellations; then
// the state service is down for all for longer than cancel_s, while workers go on
// reporting to the old owner. What was cancelled must be gone in time all the same,
// whatever state its tasks are in, whoever has the right by then, and by any clock.
func TestGap(t *testing.T) {
	for _, x := range []struct {
		name      string
		successor bool // another has taken the right before the outage
		apart     bool // no controller hears another
		drift     float64
	}{
		{"alone", false, false, 0}, {"successor", true, false, 0}, {"no peers", false, true, 0}, {"successor, no peers", true, true, 0},
		{"slow clocks", false, true, 0.001}, {"fast clocks", false, true, -0.001}, {"slow clocks, successor", true, true, 0.001},
	} {
		t.Run(x.name, func(t *testing.T) {
			inWorld(t, func(c *cluster) {
				// Running, saving and fetching tasks, and some that have just been started.
				bodies := map[string]map[string]any{
					"wk-1": jobBody("wk-1", wire.Service, "blue", "urgent", 4, 2, 0),
					"wk-2": jobBody("wk-2", wire.Array, "blue", "normal", 10, 1, 300),
					"wk-3": jobBody("wk-3", wire.Array, "blue", "normal", 6, 1, 300),
				}
				bodies["wk-3"]["moultS"], bodies["wk-3"]["stowS"] = 5, 60
				for _, id := range []string{"wk-1", "wk-2", "wk-3"} {
					c.submit(bodies[id])
				}
				c.await("work runs", 2*time.Minute, func() bool {
					return c.env.Running("wk-1") == 4 && c.env.Running("wk-2") == 10 && c.env.Running("wk-3") == 6
				})
				time.Sleep(10 * time.Second)
				for _, w := range c.env.Cloud.Agents() {
					w.SetDrift(x.drift)
				}
				fetching := jobBody("wk-4", wire.Array, "blue", "urgent", 6, 1, 300)
				fetching["imageGb"] = 12
				fetching["plumage"] = "other"
				c.submit(fetching)
				time.Sleep(1500 * time.Millisecond)
				// All owners but the last are shut out: it alone confirms cancellations.
				for _, n := range c.nodes[:2] {
					n.net.SetPolicy(func(r *http.Request) network.Fault {
						if isState(r) {
							return network.Refuse
						}
						return network.Deliver
					})
				}
				if x.apart {
					for _, n := range c.nodes {
						n.meshCut.Store(true)
					}
				}
				if x.successor {
					time.Sleep(6 * time.Second)
				}
				for _, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4"} {
					if status, out := c.ask(2, trace.Cancel, id, nil, nil); status != 200 {
						t.Fatalf("%s is not cancelled: %d %v", id, status, out)
					}
				}
				c.env.Store.SetDown(true)
				time.Sleep(50 * time.Second) // cancel_s is 35
				for _, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4"} {
					if n := c.env.Running(id); n > 0 {
						t.Errorf("%d tasks of %s are there", n, id)
					}
				}
				for _, n := range c.nodes {
					n.net.SetPolicy(nil)
					n.meshCut.Store(false)
				}
				c.env.Store.SetDown(false)
				c.env.SetSettled()
				c.submit(jobBody("wk-9", wire.Array, "blue", "normal", 4, 1, 2))
				c.awaitDone("wk-9", time.Minute)
			})
		})
	}
}
