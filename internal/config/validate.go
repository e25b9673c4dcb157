package config

import (
	"errors"
	"fmt"
	"math"
	"net"
)

// The lowest limits of the key-value store that a controller can work with: the changes that
// assigning a task takes, and the size of a job's record.
const (
	minTxnOps  = 4
	minValueKB = 0.5
)

// SettingError reports an invalid value in the platform's settings.
type SettingError struct {
	Setting string // path of the setting in the file, such as settings.state.rps
	Err     error  // the reason
}

// Error returns the setting and the reason as one line.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *SettingError) Unwrap() error { return e.Err }

// newSettingError returns a SettingError with a formatted reason.
func newSettingError(setting, format string, args ...any) error {
	return &SettingError{Setting: setting, Err: fmt.Errorf(format, args...)}
}

var (
	errEmpty    = errors.New("must not be empty")
	errNegative = errors.New("must not be negative")
)

// validate returns an error for the first invalid setting. It applies the key-value store's
// next limits before it checks the limits.
func (p *PlatformSettings) validate() error {
	for _, validate := range []func() error{
		p.validateAddresses, p.validatePeers, p.Settings.Store.applyNextLimits, p.validateCluster, p.validatePositive,
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

// validateAddress returns an error unless addr has the form host:port.
func validateAddress(setting, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return &SettingError{Setting: setting, Err: err}
	}
	return nil
}

func (p *PlatformSettings) validatePeers() error {
	seen := map[string]bool{p.Name: true}
	for i, peer := range p.Peers {
		setting := fmt.Sprintf("siblings[%d]", i)
		if err := validateName(setting+".node_name", peer.Name, seen); err != nil {
			return err
		}
		if err := validateAddress(setting+".peer_addr", peer.Addr); err != nil {
			return err
		}
	}
	return nil
}

// validateName returns an error if name is empty or already in seen, and adds it to seen.
func validateName(setting, name string, seen map[string]bool) error {
	if name == "" || seen[name] {
		return newSettingError(setting, "%q is empty or repeated", name)
	}
	seen[name] = true
	return nil
}

func (p *PlatformSettings) validateCluster() error {
	if controllers := len(p.Peers) + 1; p.Settings.ControllerCount != controllers {
		return newSettingError("settings.count", "%d, but node and siblings make %d", p.Settings.ControllerCount, controllers)
	}
	if len(p.Settings.Zones) == 0 {
		return &SettingError{Setting: "settings.zones", Err: errEmpty}
	}
	return nil
}

// validatePositive returns an error if a setting that must be positive and finite is not.
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
			return newSettingError(setting.name, "must be above 0, is %v", setting.value)
		}
	}
	return nil
}

func (l *ResourceLimits) validate() error {
	if !(l.CPUShare >= 0) || math.IsInf(l.CPUShare, 0) {
		return newSettingError("settings.limits.cpu_share", "%w, is %v", errNegative, l.CPUShare)
	}
	return nil
}

func (l *StoreLimits) validate() error { return validateTxnOps("settings.state.txn_ops", l.TxnOps) }

func validateTxnOps(setting string, ops int) error {
	if ops < minTxnOps {
		return newSettingError(setting, "%d changes a transaction are too few, %d are needed", ops, minTxnOps)
	}
	return nil
}

// applyNextLimits replaces each limit by the lower of the current and the next one. The next
// limits may take effect at any time without notice, so they apply from the start.
func (l *StoreLimits) applyNextLimits() error {
	const section = "settings.state.next."
	for _, limit := range []struct {
		name          string
		next, current *float64
		minimum       float64
	}{
		{"rps", l.Next.RPS, &l.RPS, 0},
		{"write_rps", l.Next.WriteRPS, &l.WriteRPS, 0},
		{"value_kb", l.Next.ValueKB, &l.ValueKB, minValueKB},
	} {
		if limit.next == nil {
			continue
		}
		if !(*limit.next > 0 && *limit.next >= limit.minimum) || math.IsInf(*limit.next, 0) {
			return newSettingError(section+limit.name, "%v can't be worked with", *limit.next)
		}
		*limit.current = min(*limit.current, *limit.next)
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
		return newSettingError("settings.workers.cancel_s", "%v leaves no time beyond lease_s %v", w.CancelDeadlineS, w.LeaseDurationS)
	}
	return nil
}

func (p *PlatformSettings) validateTeams() error {
	seen := map[string]bool{}
	for i := range p.Settings.Teams {
		team := &p.Settings.Teams[i]
		setting := fmt.Sprintf("settings.teams[%d]", i)
		if err := validateName(setting+".name", team.Name, seen); err != nil {
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
		return newSettingError(setting, "amounts must not be negative")
	}
	if t.MaxCPUs > 0 && t.GuaranteedCPUs > t.MaxCPUs || t.MaxGPUs > 0 && t.GuaranteedGPUs > t.MaxGPUs {
		return newSettingError(setting, "guarantee of %q exceeds its limit", t.Name)
	}
	return nil
}
