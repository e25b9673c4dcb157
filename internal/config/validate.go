package config

import (
	"errors"
	"fmt"
	"math"
	"net"
)

// Least limits of the key-value store that a controller can work with: what assigning a task
// and a job's record need.
const (
	minTxnOps  = 4
	minValueKB = 0.5
)

// SettingError says which of the platform's settings is refused, and why.
type SettingError struct {
	Setting string // its path in the file, such as settings.state.rps
	Err     error
}

// Error names the setting and the reason in one line.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *SettingError) Unwrap() error { return e.Err }

// refuse returns a SettingError with a formatted reason.
func refuse(setting, format string, args ...any) error {
	return &SettingError{Setting: setting, Err: fmt.Errorf(format, args...)}
}

var (
	errEmpty    = errors.New("must not be empty")
	errNegative = errors.New("must not be negative")
)

// validate returns the first setting that can't be worked with. It lowers the key-value
// store's limits to the next ones before it looks at them.
func (p *PlatformSettings) validate() error {
	for _, validate := range []func() error{
		p.validateAddresses, p.validatePeers, p.Settings.Store.lowerToNext, p.validateCluster, p.validatePositive,
		p.Settings.Limits.validate, p.Settings.Store.validate, p.Settings.Workers.validate, p.validateTeams,
	} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func (p *PlatformSettings) validateAddresses() error {
	if p.Name == "" {
		return &SettingError{Setting: "node_name", Err: errEmpty}
	}
	for _, setting := range []struct{ name, addr string }{
		{"api_addr", p.APIAddr},
		{"mesh_addr", p.PeerAddr},
		{"external.cloud", p.External.Cloud},
		{"external.state", p.External.Store},
	} {
		if err := validateAddress(setting.name, setting.addr); err != nil {
			return err
		}
	}
	return nil
}

// validateAddress returns an error unless a setting's address has the form host:port.
func validateAddress(setting, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return &SettingError{Setting: setting, Err: err}
	}
	return nil
}

func (p *PlatformSettings) validatePeers() error {
	known := map[string]bool{p.Name: true}
	for i, peer := range p.Peers {
		setting := fmt.Sprintf("siblings[%d]", i)
		if err := validateName(setting+".node_name", peer.Name, known); err != nil {
			return err
		}
		if err := validateAddress(setting+".peer_addr", peer.Addr); err != nil {
			return err
		}
	}
	return nil
}

// validateName returns an error if a name is empty or known, and adds it to the known ones.
func validateName(setting, name string, known map[string]bool) error {
	if name == "" || known[name] {
		return refuse(setting, "%q is empty or repeated", name)
	}
	known[name] = true
	return nil
}

func (p *PlatformSettings) validateCluster() error {
	if controllers := len(p.Peers) + 1; p.Settings.ControllerCount != controllers {
		return refuse("settings.count", "%d, but node and siblings make %d", p.Settings.ControllerCount, controllers)
	}
	if len(p.Settings.Zones) == 0 {
		return &SettingError{Setting: "settings.zones", Err: errEmpty}
	}
	return nil
}

// validatePositive returns an error if a setting that must be above 0, and finite, is not.
func (p *PlatformSettings) validatePositive() error {
	s := &p.Settings
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"settings.workers.report_s", s.Workers.HeartbeatIntervalS},
		{"settings.workers.lease_s", s.Workers.LeaseDurationS},
		{"settings.workers.cancel_s", s.Workers.CancelDeadlineS},
		{"settings.state.rps", s.Store.RPS},
		{"settings.state.write_rps", s.Store.WriteRPS},
		{"settings.state.value_kb", s.Store.ValueKB},
		{"settings.state.txn_ops", float64(s.Store.TxnOps)},
		{"settings.cloud.rps", s.Cloud.RPS},
		{"settings.limits.mem_mb", s.Limits.MemMB},
		{"settings.limits.max_sockets", float64(s.Limits.MaxSockets)},
	} {
		if !(setting.value > 0) || math.IsInf(setting.value, 0) {
			return refuse(setting.name, "must be above 0, is %v", setting.value)
		}
	}
	return nil
}

func (l *ResourceLimits) validate() error {
	if !(l.CPUShare >= 0) || math.IsInf(l.CPUShare, 0) {
		return refuse("settings.limits.cpu_share", "%w, is %v", errNegative, l.CPUShare)
	}
	return nil
}

func (l *StoreLimits) validate() error { return validateTxnOps("settings.state.txn_ops", l.TxnOps) }

func validateTxnOps(setting string, ops int) error {
	if ops < minTxnOps {
		return refuse(setting, "%d changes a transaction are too few, %d are needed", ops, minTxnOps)
	}
	return nil
}

// lowerToNext has the lower of the present and the next limits hold from the start: the
// change comes without notice.
func (l *StoreLimits) lowerToNext() error {
	const section = "settings.state.next."
	for _, limit := range []struct {
		name          string
		next, present *float64
		least         float64
	}{
		{"rps", l.Next.RPS, &l.RPS, 0},
		{"write_rps", l.Next.WriteRPS, &l.WriteRPS, 0},
		{"value_kb", l.Next.ValueKB, &l.ValueKB, minValueKB},
	} {
		if limit.next == nil {
			continue
		}
		if !(*limit.next > 0 && *limit.next >= limit.least) || math.IsInf(*limit.next, 0) {
			return refuse(section+limit.name, "%v can't be worked with", *limit.next)
		}
		*limit.present = min(*limit.present, *limit.next)
	}
	if l.Next.TxnOps == nil {
		return nil
	}
	if err := validateTxnOps(section+"txn_ops", *l.Next.TxnOps); err != nil {
		return err
	}
	l.TxnOps = min(l.TxnOps, *l.Next.TxnOps)
	return nil
}

func (w *WorkerSettings) validate() error {
	if w.GangWaitTimeoutS < 0 || w.GangPeerTimeoutS < 0 {
		return &SettingError{Setting: "settings.workers.gang_wait_s, gang_peer_s", Err: errNegative}
	}
	if MaxStaleness(w.CancelDeadlineS, w.LeaseDurationS) <= 0 {
		return refuse("settings.workers.cancel_s", "%v leaves no time beyond lease_s %v", w.CancelDeadlineS, w.LeaseDurationS)
	}
	return nil
}

func (p *PlatformSettings) validateTeams() error {
	known := map[string]bool{}
	for i := range p.Settings.Teams {
		team := &p.Settings.Teams[i]
		setting := fmt.Sprintf("settings.teams[%d]", i)
		if err := validateName(setting+".name", team.Name, known); err != nil {
			return err
		}
		if err := team.validateQuota(setting); err != nil {
			return err
		}
	}
	return nil
}

func (t *Team) validateQuota(setting string) error {
	if t.GuaranteedCPUs < 0 || t.MaxCPUs < 0 || t.GuaranteedGPUs < 0 || t.MaxGPUs < 0 {
		return refuse(setting, "amounts must not be negative")
	}
	if t.MaxCPUs > 0 && t.GuaranteedCPUs > t.MaxCPUs || t.MaxGPUs > 0 && t.GuaranteedGPUs > t.MaxGPUs {
		return refuse(setting, "guarantee of %q exceeds its limit", t.Name)
	}
	return nil
}
