package config

import (
	"errors"
	"fmt"
	"math"
	"net"
)

func (p *Platform) check() error {
	if p.Name == "" {
		return errors.New("node_name: must not be empty")
	}
	for _, a := range []struct{ field, addr string }{
		{"api_addr", p.APIAddr}, {"mesh_addr", p.PeerAddr},
		{"external.cloud", p.External.Cloud}, {"external.state", p.External.State},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.field, err)
		}
	}
	seen := map[string]bool{p.Name: true}
	for i, s := range p.Peers {
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
	if s.Count != len(p.Peers)+1 {
		return fmt.Errorf("settings.count: %d, but node and siblings make %d", s.Count, len(p.Peers)+1)
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
	if s.State.TxnOps < minTxnOps {
		return fmt.Errorf("settings.state.txn_ops: %d changes a transaction are too few, %d are needed", s.State.TxnOps, minTxnOps)
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

// minTxnOps and minValueKB are the least that a dealing, and a job's record, need.
const (
	minTxnOps  = 4
	minValueKB = 0.5
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
		{"rps", n.RPS, &s.RPS, 0}, {"write_rps", n.WriteRPS, &s.WriteRPS, 0}, {"value_kb", n.ValueKB, &s.ValueKB, minValueKB},
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
		if *n.TxnOps < minTxnOps {
			return fmt.Errorf("settings.state.next.txn_ops: %d changes a transaction are too few, %d are needed", *n.TxnOps, minTxnOps)
		}
		s.TxnOps = min(s.TxnOps, *n.TxnOps)
	}
	return nil
}
