package wire

// MachineType is one type of machine on offer. Prices are per hour.
type MachineType struct {
	Name           string   `json:"label"`
	CPUs           float64  `json:"cpus"`
	GPUs           float64  `json:"cards"`
	RAMGB          float64  `json:"ramGb"`
	ImageCacheGB   float64  `json:"cacheGb"`    // image cache
	ImageFetchGBPS float64  `json:"pullGbPerS"` // GB a second, of an image
	Price          float64  `json:"price"`
	SpotPrice      float64  `json:"spotPrice"`
	BootS          float64  `json:"startupS"` // nominal boot time in seconds
	Zones          []string `json:"shores"`
}

// MachineTypes lists the types on offer.
type MachineTypes struct {
	Types []MachineType `json:"hulls"`
}

// LaunchRequest asks the cloud for machines.
type LaunchRequest struct {
	IdempotencyKey string `json:"charter"` // never reused for another request
	Type           string `json:"hull"`
	Zone           string `json:"shore"`
	Spot           bool   `json:"driftwood"`
	Count          int    `json:"howMany"`
}

// MachineNames lists machines by name.
type MachineNames struct {
	Names []string `json:"perches"`
}

// Instance is one machine in the cloud's list.
type Instance struct {
	Name  string  `json:"nameId"`
	Addr  string  `json:"addr"`
	Type  string  `json:"hull"`
	Zone  string  `json:"shore"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"tide"`
	AgeS  float64 `json:"heldS"` // seconds since it was requested
}

// InstanceList is one page of the cloud's list.
type InstanceList struct {
	Instances []Instance `json:"perches"`
	HasMore   bool       `json:"truncated"`
}
