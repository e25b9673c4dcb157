package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of machine of the deployment.
type machineType struct {
	name                                   string
	cpus, ram, price, spot, boot, pull, gb float64
}

var machineTypes = map[string]machineType{
	"dinghy":  {"dinghy", 4, 32, 0.32, 0.09, 50, 0.25, 25},
	"trawler": {"trawler", 16, 32, 0.91, 0.28, 25, 0.8, 60},
}

const (
	listLag = 12 * time.Second
	// stoppedListing is the time for which a machine that has stopped is still listed as running.
	stoppedListing = 30 * time.Second
)

// cloudServer is a stand-in for the cloud. Each controller reaches it at an address of its own, so
// that the record shows which controller sent a request.
type cloudServer struct {
	mu       sync.Mutex
	w        *world
	machines []*rental
	byKey    map[string][]string
	last     int // number of the last machine
	requests *bucket
	// full is set if the cloud has no capacity left.
	full bool
	// onRequest is called for each rental and release before it is executed.
	onRequest func(cloudRequest)
	releases  []cloudRequest
}

type cloudRequest struct {
	at    time.Time
	node  string
	path  string
	names []string
}

type rental struct {
	name, kind, zone string
	isSpot           bool
	created          time.Time
	up               time.Time // zero until the machine is up
	gone             time.Time // zero until it is gone
	worker           *worker
	stopped          time.Time // zero until it stops by itself
}

func newCloud(w *world) *cloudServer {
	return &cloudServer{w: w, byKey: map[string][]string{}, requests: newBucket(1.5, 3)}
}

// add creates a machine that comes up after boot.
func (c *cloudServer) add(kind, zone string, isSpot bool, created time.Time, boot time.Duration) string {
	c.last++
	name := fmt.Sprintf("host-%06d", c.last)
	m := &rental{name: name, kind: kind, zone: zone, isSpot: isSpot, created: created}
	m.worker = newWorker(c.w, name, kind, zone, isSpot)
	c.machines = append(c.machines, m)
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.gone.IsZero() {
			m.up = time.Now()
			m.worker.start()
		}
	})
	return name
}

func (c *cloudServer) find(name string) *rental {
	i := slices.IndexFunc(c.machines, func(m *rental) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return c.machines[i]
}

// present returns the machines that are up now.
func (c *cloudServer) present() []*rental {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []*rental
	for _, m := range c.machines {
		if m.gone.IsZero() && !m.up.IsZero() && m.stopped.IsZero() {
			up = append(up, m)
		}
	}
	return up
}

// stop stops a machine with all that is on it.
func (c *cloudServer) stop(m *rental) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.stopped = time.Now()
	m.worker.stop()
}

func (c *cloudServer) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.requests.take(1) {
			reply(w, 429, object{"error": "too many requests"})
			return
		}
		time.Sleep(40 * time.Millisecond)
		switch {
		case r.URL.Path == "/machine_types":
			var hulls []object
			for _, t := range machineTypes {
				hulls = append(hulls, object{"label": t.name, "cpus": t.cpus, "cards": 0, "ramGb": t.ram, "cacheGb": t.gb, "pullGbPerS": t.pull,
					"price": t.price, "spotPrice": t.spot, "startupS": t.boot, "shores": c.w.zones})
			}
			reply(w, 200, object{"hulls": hulls})
		case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
			c.list(w, r)
		case r.URL.Path == "/rentals":
			c.rent(w, r, node)
		case r.URL.Path == "/rentals/release":
			c.release(w, r, node)
		default:
			reply(w, 400, object{"error": "malformed"})
		}
		time.Sleep(40 * time.Millisecond)
	})
}

func (c *cloudServer) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-listLag)
	rows := []object{}
	for _, m := range c.machines {
		if m.created.After(at) || !m.gone.IsZero() && !m.gone.After(at) || m.name <= r.URL.Query().Get("since") {
			continue
		}
		tide := "running"
		if m.up.IsZero() || m.up.After(at) {
			tide = "starting"
		} else if !m.stopped.IsZero() && at.Sub(m.stopped) > stoppedListing {
			tide = "failed"
		}
		rows = append(rows, object{"nameId": m.name, "addr": m.worker.addr, "hull": m.kind, "shore": m.zone, "driftwood": m.isSpot,
			"tide": tide, "heldS": at.Sub(m.created).Seconds()})
	}
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	truncated := err == nil && len(rows) > most
	if truncated {
		rows = rows[:most]
	}
	reply(w, 200, object{"perches": rows, "truncated": truncated})
}

func (c *cloudServer) rent(w http.ResponseWriter, r *http.Request, node string) {
	var body struct {
		Charter   string `json:"charter"`
		Hull      string `json:"hull"`
		Shore     string `json:"shore"`
		Driftwood bool   `json:"driftwood"`
		HowMany   int    `json:"howMany"`
	}
	t, known := machineTypes["trawler"], false
	if json.NewDecoder(r.Body).Decode(&body) == nil {
		t, known = machineTypes[body.Hull]
	}
	if !known || body.HowMany < 1 || body.HowMany > 50 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	c.note(cloudRequest{time.Now(), node, "/rentals " + body.Charter, nil})
	c.mu.Lock()
	defer c.mu.Unlock()
	names, repeated := c.byKey[body.Charter]
	if !repeated && c.full {
		reply(w, 503, object{"error": "no capacity"})
		return
	}
	if !repeated {
		for range body.HowMany {
			boot := t.boot * (0.6 + 0.9*rand.Float64())
			names = append(names, c.add(body.Hull, body.Shore, body.Driftwood, time.Now(), time.Duration(boot*float64(time.Second))))
		}
		c.byKey[body.Charter] = names
	}
	c.w.log.add("cloud: %s rents %v of %s, request %s", node, names, body.Hull, body.Charter)
	reply(w, 200, object{"perches": names})
}

func (c *cloudServer) release(w http.ResponseWriter, r *http.Request, node string) {
	var body struct {
		Perches []string `json:"perches"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Perches) > 100 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	c.note(cloudRequest{time.Now(), node, "/rentals/release", body.Perches})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range body.Perches {
		if m := c.find(name); m != nil && m.gone.IsZero() {
			m.gone = time.Now()
			m.worker.die()
		}
	}
	reply(w, 200, object{})
}

func (c *cloudServer) note(request cloudRequest) {
	c.w.log.add("cloud: request of %s: %s %v", request.node, request.path, request.names)
	c.mu.Lock()
	hook := c.onRequest
	c.releases = append(c.releases, request)
	c.mu.Unlock()
	if hook != nil {
		hook(request)
	}
}
