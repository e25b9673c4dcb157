// Package config reads a controller's settings: the platform's file (TOML) and the operators'
// own (S-expressions). What it returns is validated and must not be modified while a
// controller runs.
//
// Fields whose names end in S are seconds, in MS milliseconds, in KB and MB 1,024 and
// 1,048,576 bytes; RPS are requests a second.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// PlatformSettings is the platform's settings file.
type PlatformSettings struct {
	Name     string          `toml:"node_name"`
	Zone     string          `toml:"location"`
	APIAddr  string          `toml:"api_addr"`  // listens for users and workers
	PeerAddr string          `toml:"mesh_addr"` // listens for peers
	Peers    []Peer          `toml:"siblings"`
	External Endpoints       `toml:"external"`
	Settings ClusterSettings `toml:"settings"`
}

// Peer is another controller of the same cluster.
type Peer struct {
	Name string `toml:"node_name"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"`
}

// Endpoints are the addresses (host:port) of the cloud and of the key-value store.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// ClusterSettings are those that all controllers have in common.
type ClusterSettings struct {
	ControllerCount int            `toml:"count"` // number of controllers
	Zones           []string       `toml:"zones"`
	MaxClockSkewMS  float64        `toml:"skew_ms"` // bound of the differences between times of day
	Teams           []Team         `toml:"teams"`
	Objectives      []Objective    `toml:"objectives"`
	Workers         WorkerSettings `toml:"workers"`
	Store           StoreLimits    `toml:"state"`
	Cloud           CloudSettings  `toml:"cloud"`
	Limits          ResourceLimits `toml:"limits"`
}

// Team has a quota: a guarantee (CPUs, GPUs) and a limit (MaxCPUs, MaxGPUs); 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	TargetS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// objectiveFinished is the Kind of objectives for the time until a job is done.
const objectiveFinished = "finished"

// WorkerSettings are the times that workers keep to.
type WorkerSettings struct {
	HeartbeatIntervalS float64 `toml:"report_s"` // interval of heartbeats
	LeaseDurationS     float64 `toml:"lease_s"`  // after the last answered heartbeat a worker kills its tasks
	CancelDeadlineS    float64 `toml:"cancel_s"` // within it a cancelled job's tasks must be gone
	// GangWaitTimeoutS is how long a gang's task waits for the others; 0: not given.
	GangWaitTimeoutS float64 `toml:"gang_wait_s"`
	// GangPeerTimeoutS is within what time all tasks of a gang must be told to stop, or notice,
	// that one of them is gone; 0: not given.
	GangPeerTimeoutS float64 `toml:"gang_peer_s"`
}

// StoreLimits are the key-value store's limits, for all controllers together. What Parse
// returns are the lower of the present ones and those of Next.
type StoreLimits struct {
	RPS      float64         `toml:"rps"`
	WriteRPS float64         `toml:"write_rps"` // changes a second
	ValueKB  float64         `toml:"value_kb"`  // size of a value
	TxnOps   int             `toml:"txn_ops"`   // changes in a transaction
	Next     NextStoreLimits `toml:"next"`
}

// NextStoreLimits are limits that will replace the present ones some day, without notice;
// nil: that one stays.
type NextStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// CloudSettings are the cloud's rate limit and the lag of its list of machines.
type CloudSettings struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// ResourceLimits are what the platform allows a controller's process.
type ResourceLimits struct {
	CPUShare   float64 `toml:"cpu_share"` // in cores; 0: not known
	MemMB      float64 `toml:"mem_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// LoadPlatformSettings reads and validates the settings file at path.
func LoadPlatformSettings(path string) (*PlatformSettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	platform, err := ParsePlatformSettings(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return platform, nil
}

// ParsePlatformSettings decodes and validates settings; fields it does not know are ignored. An error about a
// setting's value is a SettingError.
func ParsePlatformSettings(raw []byte) (*PlatformSettings, error) {
	platform := &PlatformSettings{}
	if err := toml.NewDecoder(bytes.NewReader(raw)).Decode(platform); err != nil {
		return nil, decodeError(err)
	}
	if err := platform.validate(); err != nil {
		return nil, err
	}
	return platform, nil
}

// decodeError returns a decoder's error in one line, with its place.
func decodeError(err error) error {
	decoding, ok := errors.AsType[*toml.DecodeError](err)
	if !ok {
		return err
	}
	line, column := decoding.Position()
	if key := strings.Join(decoding.Key(), "."); key != "" {
		return fmt.Errorf("line %d column %d: %s: not a value of the right type", line, column, key)
	}
	return fmt.Errorf("line %d column %d: %w", line, column, err)
}

// ControllerNames returns the names of all controllers, sorted.
func (p *PlatformSettings) ControllerNames() []string {
	names := []string{p.Name}
	for _, peer := range p.Peers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return names
}

// CompletionObjectiveSeconds returns, by class, in how many seconds jobs should be done whatever their
// deadlines. Classes without such an objective are missing.
func (p *PlatformSettings) CompletionObjectiveSeconds() map[string]float64 {
	within := map[string]float64{}
	for _, objective := range p.Settings.Objectives {
		if objective.Kind == objectiveFinished {
			within[objective.Class] = max(within[objective.Class], objective.TargetS)
		}
	}
	return within
}
