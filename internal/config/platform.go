// Package config reads what the platform hands over at start.
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

// Peer is another controller of the same cluster.
type Peer struct {
	Name string `toml:"node_name"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective repeats one of the operators' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Platform is the platform's settings file.
type Platform struct {
	Name     string `toml:"node_name"`
	Zone     string `toml:"location"`
	APIAddr  string `toml:"api_addr"`
	PeerAddr string `toml:"mesh_addr"`
	Peers    []Peer `toml:"siblings"`
	External struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Settings struct {
		Count      int         `toml:"count"`
		Zones      []string    `toml:"zones"`
		SkewMS     float64     `toml:"skew_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
			// How long a gang's task waits for the others, and within what time all must
			// be told to stop and notice that one is gone. 0: not given.
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
		} `toml:"workers"`
		// State holds the state service's limits. Those of Next come some day, without
		// notice; what Parse returns are the lower of both.
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			Next     struct {
				RPS      *float64 `toml:"rps"`
				WriteRPS *float64 `toml:"write_rps"`
				ValueKB  *float64 `toml:"value_kb"`
				TxnOps   *int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CPUShare   float64 `toml:"cpu_share"`
			MemMB      float64 `toml:"mem_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"limits"`
	} `toml:"settings"`
}

// Load reads and checks the settings file at path.
func Load(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return p, nil
}

// Parse decodes and checks settings; fields it does not know are ignored.
func Parse(raw []byte) (*Platform, error) {
	var p Platform
	if err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&p); err != nil {
		if de, ok := errors.AsType[*toml.DecodeError](err); ok {
			row, col := de.Position()
			if key := strings.Join(de.Key(), "."); key != "" {
				return nil, fmt.Errorf("line %d column %d: %s: not a value of the right type", row, col, key)
			}
			return nil, fmt.Errorf("line %d column %d: %w", row, col, err)
		}
		return nil, err
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	return &p, nil
}

// Nodes lists all controllers' names in order.
func (p *Platform) Nodes() []string {
	names := []string{p.Name}
	for _, s := range p.Peers {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return names
}

// ObjectiveSeconds is, for each class that has such an objective, in how many seconds its
// jobs should be done, whatever their deadlines.
func (p *Platform) ObjectiveSeconds() map[string]float64 {
	within := map[string]float64{}
	for _, o := range p.Settings.Objectives {
		if o.Kind == "finished" {
			within[o.Class] = max(within[o.Class], o.WithinS)
		}
	}
	return within
}
