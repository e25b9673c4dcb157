// Package config reads a controller's settings: the platform's settings file (TOML) and the
// operators' own settings file (S-expressions). The settings it returns are validated and must
// not be modified while a controller runs.
//
// The end of a field's name gives its unit: S is seconds, MS is milliseconds, KB is 1,024
// bytes, MB is 1,048,576 bytes and RPS is requests per second.
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

// PlatformSettings is the content of the platform's settings file. Name, Zone and the
// addresses describe this controller.
type PlatformSettings struct {
	Name     string          `toml:"node_name"`
	Zone     string          `toml:"location"`
	APIAddr  string          `toml:"api_addr"`  // listen address for users and workers
	PeerAddr string          `toml:"mesh_addr"` // listen address for the other controllers
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

// ClusterSettings are the settings that are the same for all controllers.
type ClusterSettings struct {
	ControllerCount int            `toml:"count"`
	Zones           []string       `toml:"zones"`
	MaxClockSkewMS  float64        `toml:"skew_ms"` // maximum difference between the wall clocks of two machines
	Teams           []Team         `toml:"teams"`
	Objectives      []Objective    `toml:"objectives"`
	Workers         WorkerSettings `toml:"workers"`
	Store           StoreLimits    `toml:"state"`
	Cloud           CloudSettings  `toml:"cloud"`
	Limits          ResourceLimits `toml:"limits"`
}

// Team is a team with its quota: guaranteed resources and limits. A guarantee of 0 means no
// guarantee, a limit of 0 means no limit.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	TargetS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// objectiveFinished is the Kind of objectives for the time until a job is finished.
const objectiveFinished = "finished"

// WorkerSettings are the intervals and deadlines that apply to workers.
type WorkerSettings struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	// LeaseDurationS is the time after the last answered heartbeat after which a worker kills
	// its tasks.
	LeaseDurationS float64 `toml:"lease_s"`
	// CancelDeadlineS is the time within which all tasks of a cancelled job must end.
	CancelDeadlineS float64 `toml:"cancel_s"`
	// GangWaitTimeoutS is how long a task of a gang waits for the other tasks to start. 0
	// means that the platform does not set it.
	GangWaitTimeoutS float64 `toml:"gang_wait_s"`
	// GangPeerTimeoutS is the time after the loss of a gang's task within which all its other
	// tasks must receive a stop command or detect the loss themselves. 0 means that the platform
	// does not set it.
	GangPeerTimeoutS float64 `toml:"gang_peer_s"`
}

// StoreLimits are the limits of the key-value store, shared by all controllers. In the result
// of ParsePlatformSettings each limit is the lower of the current one and the one in Next.
type StoreLimits struct {
	RPS      float64         `toml:"rps"`
	WriteRPS float64         `toml:"write_rps"` // changes per second
	ValueKB  float64         `toml:"value_kb"`  // maximum size of a value
	TxnOps   int             `toml:"txn_ops"`   // maximum number of changes in a transaction
	Next     NextStoreLimits `toml:"next"`
}

// NextStoreLimits are limits that will replace the current ones at an unknown time, without
// notice. nil means that the limit does not change.
type NextStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// CloudSettings are the cloud's request rate limit and the delay after which a change shows in
// its list of machines.
type CloudSettings struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// ResourceLimits are the resources that the platform allows a controller's process.
type ResourceLimits struct {
	CPUShare   float64 `toml:"cpu_share"` // in cores; 0 means unknown
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

// ParsePlatformSettings decodes and validates the platform's settings. Unknown fields are
// ignored. An error about the value of a setting is a *SettingError.
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

// decodeError returns a decoder's error as one line with the position in the file.
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

// CompletionObjectiveSeconds returns, by class, the time in seconds within which jobs should
// finish, regardless of their deadlines. Of several objectives for a class, the longest time
// applies. Classes without such an objective are missing.
func (p *PlatformSettings) CompletionObjectiveSeconds() map[string]float64 {
	within := map[string]float64{}
	for _, objective := range p.Settings.Objectives {
		if objective.Kind == objectiveFinished {
			within[objective.Class] = max(within[objective.Class], objective.TargetS)
		}
	}
	return within
}
