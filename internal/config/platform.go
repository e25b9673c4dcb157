// Package config reads what the platform hands over at start.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Sibling is another controller of the same service.
type Sibling struct {
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
	Name     string    `toml:"node_name"`
	Zone     string    `toml:"location"`
	APIAddr  string    `toml:"api_addr"`
	MeshAddr string    `toml:"mesh_addr"`
	Siblings []Sibling `toml:"siblings"`
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

func (p *Platform) check() error {
	if p.Name == "" {
		return errors.New("node_name: must not be empty")
	}
	for _, a := range []struct{ field, addr string }{
		{"api_addr", p.APIAddr}, {"mesh_addr", p.MeshAddr},
		{"external.cloud", p.External.Cloud}, {"external.state", p.External.State},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.field, err)
		}
	}
	seen := map[string]bool{p.Name: true}
	for i, s := range p.Siblings {
		if s.Name == "" || seen[s.Name] {
			return fmt.Errorf("siblings[%d].node_name: %q is empty or repeated", i, s.Name)
		}
		seen[s.Name] = true
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			return fmt.Errorf("siblings[%d].peer_addr: %w", i, err)
		}
	}
	s := &p.Settings
	if err := p.takeNext(); err != nil {
		return err
	}
	if s.Count != len(p.Siblings)+1 {
		return fmt.Errorf("settings.count: %d, but node and siblings make %d", s.Count, len(p.Siblings)+1)
	}
	if len(s.Zones) == 0 {
		return errors.New("settings.zones: must not be empty")
	}
	for _, v := range []struct {
		field string
		value float64
	}{
		{"settings.workers.report_s", s.Workers.ReportS}, {"settings.workers.lease_s", s.Workers.LeaseS},
		{"settings.workers.cancel_s", s.Workers.CancelS}, {"settings.state.rps", s.State.RPS},
		{"settings.state.write_rps", s.State.WriteRPS}, {"settings.state.value_kb", s.State.ValueKB},
		{"settings.state.txn_ops", float64(s.State.TxnOps)}, {"settings.cloud.rps", s.Cloud.RPS},
		{"settings.limits.mem_mb", s.Limits.MemMB}, {"settings.limits.max_sockets", float64(s.Limits.MaxSockets)},
	} {
		if !(v.value > 0) || math.IsInf(v.value, 0) {
			return fmt.Errorf("%s: must be above 0, is %v", v.field, v.value)
		}
	}
	if share := s.Limits.CPUShare; !(share >= 0) || math.IsInf(share, 0) {
		return fmt.Errorf("settings.limits.cpu_share: must not be negative, is %v", share)
	}
	if s.State.TxnOps < leastTxnOps {
		return fmt.Errorf("settings.state.txn_ops: %d changes a transaction are too few, %d are needed", s.State.TxnOps, leastTxnOps)
	}
	if s.Workers.GangWaitS < 0 || s.Workers.GangPeerS < 0 {
		return errors.New("settings.workers.gang_wait_s, gang_peer_s: must not be negative")
	}
	if MaxStaleness(s.Workers.CancelS, s.Workers.LeaseS) <= 0 {
		return fmt.Errorf("settings.workers.cancel_s: %v leaves no time beyond lease_s %v", s.Workers.CancelS, s.Workers.LeaseS)
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("settings.teams[%d].name: %q is empty or repeated", i, t.Name)
		}
		names[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("settings.teams[%d]: amounts must not be negative", i)
		}
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax || t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			return fmt.Errorf("settings.teams[%d]: guarantee of %q exceeds its limit", i, t.Name)
		}
	}
	return nil
}

// leastTxnOps and leastValueKB are the least that a dealing, and a job's record, need.
const (
	leastTxnOps  = 4
	leastValueKB = 0.5
)

// takeNext has the lower of the present and the coming limits of the state service hold
// from the start: the change comes without notice.
func (p *Platform) takeNext() error {
	s := &p.Settings.State
	n := &s.Next
	for _, x := range []struct {
		field     string
		next, now *float64
		least     float64
	}{
		{"rps", n.RPS, &s.RPS, 0}, {"write_rps", n.WriteRPS, &s.WriteRPS, 0}, {"value_kb", n.ValueKB, &s.ValueKB, leastValueKB},
	} {
		if x.next == nil {
			continue
		}
		if !(*x.next > 0 && *x.next >= x.least) || math.IsInf(*x.next, 0) {
			return fmt.Errorf("settings.state.next.%s: %v can't be worked with", x.field, *x.next)
		}
		*x.now = min(*x.now, *x.next)
	}
	if n.TxnOps != nil {
		if *n.TxnOps < leastTxnOps {
			return fmt.Errorf("settings.state.next.txn_ops: %d changes a transaction are too few, %d are needed", *n.TxnOps, leastTxnOps)
		}
		s.TxnOps = min(s.TxnOps, *n.TxnOps)
	}
	return nil
}

// Nodes lists all controllers' names in order.
func (p *Platform) Nodes() []string {
	names := []string{p.Name}
	for _, s := range p.Siblings {
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

// drift bounds how far steady clocks of different machines drift apart.
const drift = 0.0005

// leaseMargin covers messages under way and timers that fire late. Where a
// cancellation leaves little more than a lease, it is what can be had.
func leaseMargin(cancelS, leaseS float64) time.Duration {
	return min(1500*time.Millisecond, Seconds((cancelS-leaseS)/6))
}

// Seconds turns a settings' number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LeaseExpiry is how long after the last answer that could renew a worker's
// lease all its tasks are surely gone, on any machine's clock.
func LeaseExpiry(cancelS, leaseS float64) time.Duration {
	return Seconds(leaseS*(1+2*drift)) + leaseMargin(cancelS, leaseS)
}

// MaxStaleness bounds how long an owner may answer reports after the start of its
// last successful read of the state service. Another controller may have told
// a user "cancelled" right after that read, and all tasks must be gone within
// cancelS of it, which for an unreachable worker means one whole lease later.
func MaxStaleness(cancelS, leaseS float64) time.Duration {
	return Seconds(cancelS*(1-2*drift)) - LeaseExpiry(cancelS, leaseS) - leaseMargin(cancelS, leaseS)
}
