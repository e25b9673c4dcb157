package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// This file is the stand-in for the cloud (PROTOCOL, "Controller nodes -> cloud").

// MachineType is a machine type that the cloud offers.
type MachineType struct {
	Label      string   `json:"label"`
	CPUs       float64  `json:"cpus"`
	Cards      float64  `json:"cards"`
	RAMGb      float64  `json:"ramGb"`
	CacheGb    float64  `json:"cacheGb"`
	PullGbPerS float64  `json:"pullGbPerS"`
	Price      float64  `json:"price"`
	SpotPrice  float64  `json:"spotPrice"`
	StartupS   float64  `json:"startupS"`
	Shores     []string `json:"shores"`
}

// rental is a rented machine.
type rental struct {
	name, hull, shore string
	spot              bool
	at                time.Time
	goneAt            time.Time // zero while it exists
	failed            bool
	worker            *Worker
}

// Cloud is the cloud.
type Cloud struct {
	site  *Site
	log   *Log
	fleet *Fleet
	// boot is how long machines take to boot: PROTOCOL allows "a second or two".
	boot time.Duration

	mu       sync.Mutex
	rentals  []*rental
	charters map[string][]string
	calls    *bucket
	outage   bool
	skipped  int
	// capacity is how many machines of each type there are, ordinary ones and spot machines.
	capacity, spotCapacity map[string]int
}

func newCloud(site *Site, log *Log, fleet *Fleet) *Cloud {
	return &Cloud{site: site, log: log, fleet: fleet, boot: 2 * time.Second, charters: map[string][]string{}, calls: newBucket(site.CloudRPS, 2),
		capacity: map[string]int{}, spotCapacity: map[string]int{}}
}

func (c *Cloud) setOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

func (c *Cloud) machineType(label string) *MachineType {
	for i := range c.site.Types {
		if c.site.Types[i].Label == label {
			return &c.site.Types[i]
		}
	}
	return nil
}

// rent adds a machine. The caller holds c.mu.
func (c *Cloud) rent(hull, shore string, spot bool, boot time.Duration) *rental {
	name := c.name()
	m := &rental{name: name, hull: hull, shore: shore, spot: spot, at: time.Now()}
	c.rentals = append(c.rentals, m)
	m.worker = c.fleet.add(m, c.machineType(hull), boot)
	return m
}

// addMachine adds a machine that is up at the start of a run.
func (c *Cloud) addMachine(hull, shore string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rent(hull, shore, false, 0).worker
}

// nextName returns the name of the next machine, and skipName leaves it out.
func (c *Cloud) nextName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.name()
}

func (c *Cloud) skipName() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped++
}

func (c *Cloud) name() string { return fmt.Sprintf("host-%06d", len(c.rentals)+1+c.skipped) }

// stopMachine stops a machine with all that is on it. It stays listed as running for 30 s more.
func (c *Cloud) stopMachine(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.rentals {
		if m.name == name {
			m.worker.end("the machine stops")
			time.AfterFunc(30*time.Second, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				m.failed = true
			})
		}
	}
}

func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 70<<10))
	if err != nil {
		return
	}
	time.Sleep(80 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.printf("cloud: %s %s %s, down: %v", r.Method, r.URL, body, c.outage)
	if c.outage {
		answer(w, 503, map[string]string{"error": "trouble"})
		return
	}
	if !c.calls.take(1) {
		answer(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		answer(w, 200, map[string]any{"hulls": c.site.Types})
	case "POST /rentals":
		c.serveRent(w, body)
	case "POST /rentals/release":
		var q struct {
			Perches []string `json:"perches"`
		}
		if json.Unmarshal(body, &q) != nil || len(q.Perches) > 100 {
			answer(w, 400, map[string]string{"error": "malformed"})
			return
		}
		for _, name := range q.Perches {
			for _, m := range c.rentals {
				if m.name == name && m.goneAt.IsZero() {
					c.log.printf("cloud: %s is deleted", name)
					m.goneAt = time.Now()
					m.worker.end("the machine is deleted")
				}
			}
		}
		answer(w, 200, struct{}{})
	case "GET /rentals":
		c.serveList(w, r)
	default:
		answer(w, 400, map[string]string{"error": "malformed"})
	}
}

func (c *Cloud) serveRent(w http.ResponseWriter, body []byte) {
	var q struct {
		Charter   string `json:"charter"`
		Hull      string `json:"hull"`
		Shore     string `json:"shore"`
		Driftwood bool   `json:"driftwood"`
		HowMany   int    `json:"howMany"`
	}
	if json.Unmarshal(body, &q) != nil || q.HowMany < 1 || q.HowMany > 50 || c.machineType(q.Hull) == nil {
		answer(w, 400, map[string]string{"error": "malformed"})
		return
	}
	names, known := c.charters[q.Charter]
	if !known {
		left := c.capacity[q.Hull+"/"+q.Shore]
		if q.Driftwood {
			left = c.spotCapacity[q.Hull+"/"+q.Shore]
		}
		for _, m := range c.rentals {
			if m.goneAt.IsZero() && m.hull == q.Hull && m.shore == q.Shore && m.spot == q.Driftwood {
				left--
			}
		}
		if left <= 0 {
			c.log.printf("cloud: %s: no capacity", q.Charter)
			answer(w, 503, map[string]string{"error": "no capacity"})
			return
		}
		for range min(left, q.HowMany) {
			m := c.rent(q.Hull, q.Shore, q.Driftwood, c.boot)
			names = append(names, m.name)
		}
		c.charters[q.Charter] = names
		c.log.printf("cloud: rental %s of %s in %s, spot %v: %v", q.Charter, q.Hull, q.Shore, q.Driftwood, names)
	}
	answer(w, 200, map[string]any{"perches": names})
}

// serveList answers with the machines as they were cloud.list_lag_s ago.
func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most > 500 {
		most = 500
	}
	asOf := time.Now().Add(-time.Duration(c.site.CloudListLagS * float64(time.Second)))
	type listed struct {
		Name  string  `json:"nameId"`
		Addr  string  `json:"addr"`
		Hull  string  `json:"hull"`
		Shore string  `json:"shore"`
		Spot  bool    `json:"driftwood"`
		Tide  string  `json:"tide"`
		HeldS float64 `json:"heldS"`
	}
	out, truncated := []listed{}, false
	sort.Slice(c.rentals, func(i, j int) bool { return c.rentals[i].name < c.rentals[j].name })
	for _, m := range c.rentals {
		if m.name <= r.URL.Query().Get("since") || m.at.After(asOf) || !m.goneAt.IsZero() && m.goneAt.Before(asOf) {
			continue
		}
		if len(out) == most {
			truncated = true
			break
		}
		tide := "starting"
		switch {
		case m.failed:
			tide = "failed"
		case m.worker.isUp():
			tide = "running"
		}
		out = append(out, listed{m.name, m.worker.addr, m.hull, m.shore, m.spot, tide, asOf.Sub(m.at).Seconds()})
	}
	answer(w, 200, map[string]any{"perches": out, "truncated": truncated})
}
