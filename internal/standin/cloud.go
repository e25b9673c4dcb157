package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"eiderhitch/internal/wire"
)

type rental struct {
	wire.Instance
	since  time.Time
	worker *Worker
}

// Cloud is a stand-in for the cloud. Its machines are Workers.
type Cloud struct {
	mu       sync.Mutex
	world    *World
	types    []wire.MachineType
	rentals  []*rental
	answered map[string][]string
	down     bool
	capacity int // how many machines there may be at a time
}

// SetDown begins or ends an outage.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetCapacity sets how many machines there may be at a time, and tells how many
// there might have been before.
func (c *Cloud) SetCapacity(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.capacity
	c.capacity = n
	return before
}

// ServeHTTP answers as the protocol says.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	body, _ := io.ReadAll(r.Body)
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		reply(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	case "POST/rentals":
		var q wire.LaunchRequest
		_ = json.Unmarshal(body, &q)
		if names, ok := c.answered[q.Request]; ok {
			reply(w, http.StatusOK, wire.MachineNames{Machines: names})
			return
		}
		alive := 0
		for _, x := range c.rentals {
			if x != nil {
				alive++
			}
		}
		n := min(q.Count, c.capacity-alive)
		if n <= 0 {
			reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
			return
		}
		names := []string{}
		for range n {
			id := len(c.rentals) + 1
			x := &rental{Instance: wire.Instance{Name: fmt.Sprintf("host-%06d", id), Addr: c.world.machineAddr(id),
				Type: q.Type, Zone: q.Zone, Spot: q.Spot, State: wire.InstanceStarting}, since: time.Now()}
			var t wire.MachineType
			for _, y := range c.types {
				if y.Name == q.Type {
					t = y
				}
			}
			x.worker = newWorker(c.world, x.Instance, t)
			c.rentals = append(c.rentals, x)
			names = append(names, x.Name)
		}
		c.answered[q.Request] = names
		reply(w, http.StatusOK, wire.MachineNames{Machines: names})
	case "POST/rentals/release":
		var q wire.MachineNames
		_ = json.Unmarshal(body, &q)
		for _, n := range q.Machines {
			for i, x := range c.rentals {
				if x != nil && x.Name == n {
					x.worker.Die()
					c.rentals[i] = nil
				}
			}
		}
		reply(w, http.StatusOK, struct{}{})
	case "GET/rentals":
		out := wire.InstanceList{Machines: []wire.Instance{}}
		for _, x := range c.rentals {
			if x != nil && x.Name > r.URL.Query().Get("since") {
				m := x.Instance
				m.AgeS = time.Since(x.since).Seconds()
				if x.worker.running() {
					m.State = "running"
				}
				out.Machines = append(out.Machines, m)
			}
		}
		reply(w, http.StatusOK, out)
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

// Workers are the machines that are rented now.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, x := range c.rentals {
		if x != nil {
			out = append(out, x.worker)
		}
	}
	return out
}
