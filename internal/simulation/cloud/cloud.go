// Package cloud simulates the cloud provider's API. It launches machines, each with a simulated
// agent, lists them and terminates them.
package cloud

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
)

const (
	// defaultCapacity is the maximum number of machines at a time unless SetCapacity changes
	// it.
	defaultCapacity = 20
	// instanceRunning is the listed state of a machine that has booted.
	instanceRunning = "running"
)

// Cloud launches the machines of a fleet. It is safe for concurrent use.
type Cloud struct {
	// MachineAddr, if not nil, returns the address of the machine with a number. Numbers begin
	// at 1.
	MachineAddr func(number int) string

	fleet *agent.Fleet
	types []wire.MachineType

	mu            sync.Mutex
	instances     []*instance         // by number - 1; nil if released
	launchedByKey map[string][]string // names of machines by the idempotency key of their launch request
	unavailable   bool
	capacity      int
	zoneCapacity  map[string]int // maximum number of machines in a zone; a zone without an entry has no limit
}

// instance is a launched machine.
type instance struct {
	wire.Instance
	launchedAt time.Time
	agent      *agent.Agent
}

// New returns a cloud that offers the given machine types.
func New(fleet *agent.Fleet, types []wire.MachineType) *Cloud {
	return &Cloud{fleet: fleet, types: types, launchedByKey: map[string][]string{}, capacity: defaultCapacity, zoneCapacity: map[string]int{}}
}

// SetUnavailable begins or ends an outage of the cloud's API. Machines keep running during an
// outage.
func (c *Cloud) SetUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = unavailable
}

// SetCapacity sets the maximum number of machines at a time and returns the previous one.
func (c *Cloud) SetCapacity(capacity int) (previous int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous = c.capacity
	c.capacity = capacity
	return previous
}

// SetZoneCapacity sets the maximum number of machines in a zone at a time, in addition to that of
// SetCapacity.
func (c *Cloud) SetZoneCapacity(zone string, capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zoneCapacity[zone] = capacity
}

// Agents returns the agents of all machines that aren't released, in the order of launch.
func (c *Cloud) Agents() []*agent.Agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*agent.Agent
	for _, i := range c.instances {
		if i != nil {
			out = append(out, i.agent)
		}
	}
	return out
}

// ServeHTTP handles a request of the cloud's protocol.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		reply(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	case "POST/rentals":
		c.serveLaunch(w, body)
	case "POST/rentals/release":
		c.serveTerminate(w, body)
	case "GET/rentals":
		reply(w, http.StatusOK, c.list(r.URL.Query().Get("since")))
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

// serveLaunch handles a launch request. It launches fewer machines than requested if the
// capacity doesn't suffice. A repeated request gets the machines of the first one. The caller
// holds c.mu.
func (c *Cloud) serveLaunch(w http.ResponseWriter, body []byte) {
	var request wire.LaunchRequest
	if json.Unmarshal(body, &request) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if names, repeated := c.launchedByKey[request.IdempotencyKey]; repeated {
		reply(w, http.StatusOK, wire.MachineNames{Names: names})
		return
	}
	count := min(request.Count, c.capacity-c.countInstances(""))
	if limit, limited := c.zoneCapacity[request.Zone]; limited {
		count = min(count, limit-c.countInstances(request.Zone))
	}
	if count <= 0 {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	names := []string{}
	for range count {
		names = append(names, c.launch(&request))
	}
	c.launchedByKey[request.IdempotencyKey] = names
	reply(w, http.StatusOK, wire.MachineNames{Names: names})
}

// launch launches one machine and returns its name. The caller holds c.mu.
func (c *Cloud) launch(request *wire.LaunchRequest) string {
	number := len(c.instances) + 1
	i := &instance{launchedAt: time.Now(), Instance: wire.Instance{Name: fmt.Sprintf("host-%06d", number), Addr: c.machineAddr(number),
		Type: request.Type, Zone: request.Zone, Spot: request.Spot, State: wire.InstanceStarting}}
	var machineType wire.MachineType
	if index := slices.IndexFunc(c.types, func(t wire.MachineType) bool { return t.Name == request.Type }); index >= 0 {
		machineType = c.types[index]
	}
	i.agent = c.fleet.Launch(i.Instance, machineType)
	c.instances = append(c.instances, i)
	return i.Name
}

// machineAddr returns the address of the machine with a number.
func (c *Cloud) machineAddr(number int) string {
	if c.MachineAddr != nil {
		return c.MachineAddr(number)
	}
	const perSubnet = 250
	return fmt.Sprintf("10.1.%d.%d:9000", number/perSubnet, number%perSubnet)
}

// countInstances returns how many machines of a zone, or of all zones if zone is "", aren't
// released. The caller holds c.mu.
func (c *Cloud) countInstances(zone string) int {
	count := 0
	for _, i := range c.instances {
		if i != nil && (zone == "" || i.Zone == zone) {
			count++
		}
	}
	return count
}

// serveTerminate handles a request that releases machines. The caller holds c.mu.
func (c *Cloud) serveTerminate(w http.ResponseWriter, body []byte) {
	var request wire.MachineNames
	if json.Unmarshal(body, &request) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	for number, i := range c.instances {
		if i != nil && slices.Contains(request.Names, i.Name) {
			i.agent.Terminate()
			c.instances[number] = nil
		}
	}
	reply(w, http.StatusOK, struct{}{})
}

// list returns the machines whose names sort after afterName. The caller holds c.mu.
func (c *Cloud) list(afterName string) wire.InstanceList {
	out := wire.InstanceList{Instances: []wire.Instance{}}
	for _, i := range c.instances {
		if i == nil || i.Name <= afterName {
			continue
		}
		listed := i.Instance
		listed.AgeS = time.Since(i.launchedAt).Seconds()
		if i.agent.IsUp() {
			listed.State = instanceRunning
		}
		out.Instances = append(out.Instances, listed)
	}
	return out
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has closed the connection
}
