package wire

// MachineType is one type of machine that the cloud offers. Prices are per machine and hour.
type MachineType struct {
	Name           string   `json:"label"`
	CPUs           float64  `json:"cpus"`
	GPUs           float64  `json:"cards"`
	RAMGB          float64  `json:"ramGb"`
	ImageCacheGB   float64  `json:"cacheGb"`    // size of the image cache
	ImageFetchGBPS float64  `json:"pullGbPerS"` // rate at which images are fetched, in GB per second
	Price          float64  `json:"price"`
	SpotPrice      float64  `json:"spotPrice"`
	BootS          float64  `json:"startupS"` // nominal boot time in seconds
	Zones          []string `json:"shores"`
}

// MachineTypes lists the machine types that the cloud offers.
type MachineTypes struct {
	Types []MachineType `json:"hulls"`
}

// LaunchRequest asks the cloud for Count machines. IdempotencyKey identifies the request, so that a
// repeated request launches no further machines.
type LaunchRequest struct {
	IdempotencyKey string `json:"charter"` // must not be reused for another request
	Type           string `json:"hull"`
	Zone           string `json:"shore"`
	Spot           bool   `json:"driftwood"`
	Count          int    `json:"howMany"`
}

// MachineNames lists the names of machines.
type MachineNames struct {
	Names []string `json:"perches"`
}

// Instance is one machine in the cloud's instance list.
type Instance struct {
	Name  string  `json:"nameId"`
	Addr  string  `json:"addr"`
	Type  string  `json:"hull"`
	Zone  string  `json:"shore"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"tide"`
	AgeS  float64 `json:"heldS"` // seconds since the machine was requested
}

// InstanceList is one page of the cloud's instance list, which holds all launched machines. HasMore
// is set if another page follows.
type InstanceList struct {
	Instances []Instance `json:"perches"`
	HasMore   bool       `json:"truncated"`
}
