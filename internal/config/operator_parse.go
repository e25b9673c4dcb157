package config

import (
	"strconv"
	"time"
)

// Limits of the values of the operators' settings.
const (
	maxHeadroom            = 100
	maxIdleTimeoutFactor   = 100
	minBootTimeoutFactor   = 1
	maxBootTimeoutFactor   = 100
	maxPreemptionDelay     = time.Hour
	minLeaseTTL            = time.Second
	maxLeaseTTL            = 5 * time.Minute
	minFinalizeDelay       = time.Second
	maxFinalizeDelay       = 30 * 24 * time.Hour
	lowestMaxFeatureLevel  = 1
	highestMaxFeatureLevel = 1000
	minRewriteShare        = 0.001
	maxRewriteShare        = 0.5
)

// rootName is the first word of the single top-level list of a file.
const rootName = "eiderhitch"

// ParseOperatorSettings parses settings such as
//
//	(eiderhitch (headroom 1.5) (evict-after 5s) (class "feed" (headroom 2)))
//
// and validates them against the platform's settings. Every error is a *SyntaxError.
func ParseOperatorSettings(source string, platform *PlatformSettings) (*OperatorSettings, error) {
	exprs, err := ParseExprs(source)
	if err != nil {
		return nil, err
	}
	if err := checkRoot(exprs); err != nil {
		return nil, err
	}
	operator := DefaultOperatorSettings()
	seen := map[string]bool{}
	for _, e := range exprs[0].List[1:] {
		if err := operator.parseSetting(e, platform, seen); err != nil {
			return nil, err
		}
	}
	return operator, nil
}

// checkRoot returns an error unless exprs consists of one list that begins with rootName.
func checkRoot(exprs []Expr) error {
	if len(exprs) == 1 && exprs[0].IsList && len(exprs[0].List) > 0 && exprs[0].List[0].Atom == rootName {
		return nil
	}
	position := Position{1, 1}
	if len(exprs) > 0 {
		position = exprs[min(len(exprs), 2)-1].Position // of the second expression, if there is one
	}
	return syntaxErrorf(position, "one list (eiderhitch ...) is expected")
}

// parseSetting parses one setting into o. A setting whose name is already in seen is an error;
// only class may be given several times.
func (o *OperatorSettings) parseSetting(e Expr, platform *PlatformSettings, seen map[string]bool) error {
	name, err := settingName(e)
	if err != nil {
		return err
	}
	if name == "class" {
		return o.parseClass(e)
	}
	if seen[name] {
		return syntaxErrorf(e.Position, "%s is set twice", name)
	}
	seen[name] = true
	switch name {
	case "idle-boots":
		return parseNumber(e, &o.IdleTimeoutFactor, 0, maxIdleTimeoutFactor)
	case "headroom":
		return parseNumber(e, &o.Headroom, 0, maxHeadroom)
	case "boot-patience":
		return parseNumber(e, &o.BootTimeoutFactor, minBootTimeoutFactor, maxBootTimeoutFactor)
	case "evict-after":
		return parseDuration(e, &o.PreemptionDelay, 0, maxPreemptionDelay)
	case "right-ttl":
		return o.parseLeaseTTL(e, &platform.Settings.Workers)
	case "spot":
		return parseYesNo(e, &o.AllowSpot)
	case "feature-levels":
		return parseYesNo(e, &o.EnableFeatureLevels)
	case "finalize-after":
		return parseDuration(e, &o.FinalizeDelay, minFinalizeDelay, maxFinalizeDelay)
	case "highest-level":
		return parseInteger(e, &o.MaxFeatureLevel, lowestMaxFeatureLevel, highestMaxFeatureLevel)
	case "rewrite-share":
		return parseNumber(e, &o.RewriteShare, minRewriteShare, maxRewriteShare)
	default:
		return syntaxErrorf(e.List[0].Position, "unknown setting %q", name)
	}
}

// parseLeaseTTL parses the TTL of leased keys. It must not be longer than a partition owner
// may continue without the key-value store.
func (o *OperatorSettings) parseLeaseTTL(e Expr, workers *WorkerSettings) error {
	if err := parseDuration(e, &o.LeaseTTL, minLeaseTTL, maxLeaseTTL); err != nil {
		return err
	}
	if staleness := MaxStaleness(workers.CancelDeadlineS, workers.LeaseDurationS); o.LeaseTTL > staleness {
		return syntaxErrorf(e.Position, "right-ttl %v is longer than the %v that an owner may go on without the state service",
			o.LeaseTTL, staleness.Round(time.Millisecond))
	}
	return nil
}

// parseClass parses the settings of a job class into o.
func (o *OperatorSettings) parseClass(e Expr) error {
	if len(e.List) != 3 || e.List[1].IsList {
		return syntaxErrorf(e.Position, `(class "name" (headroom n)) is expected`)
	}
	class, setting := e.List[1].Atom, e.List[2]
	if _, ok := o.ClassHeadroom[class]; ok {
		return syntaxErrorf(e.Position, "class %q is set twice", class)
	}
	name, err := settingName(setting)
	if err != nil {
		return err
	}
	if name != "headroom" {
		return syntaxErrorf(setting.Position, "unknown setting %q of a class", name)
	}
	headroom := 0.0
	if err := parseNumber(setting, &headroom, 0, maxHeadroom); err != nil {
		return err
	}
	o.ClassHeadroom[class] = headroom
	return nil
}

// settingName returns the first word of a setting's list.
func settingName(e Expr) (string, error) {
	if !e.IsList || len(e.List) == 0 || e.List[0].IsList {
		return "", syntaxErrorf(e.Position, "a setting such as (headroom 1) is expected")
	}
	return e.List[0].Atom, nil
}

// settingValue returns the value of a setting that takes exactly one.
func settingValue(e Expr) (Expr, error) {
	if len(e.List) != 2 || e.List[1].IsList {
		return Expr{}, syntaxErrorf(e.Position, "%s takes one value", e.List[0].Atom)
	}
	return e.List[1], nil
}

func parseNumber(e Expr, target *float64, minimum, maximum float64) error {
	value, err := settingValue(e)
	if err != nil {
		return err
	}
	number, err := strconv.ParseFloat(value.Atom, 64)
	if err != nil || value.Quoted || !(number >= minimum && number <= maximum) {
		return syntaxErrorf(value.Position, "%s must be a number from %g to %g", e.List[0].Atom, minimum, maximum)
	}
	*target = number
	return nil
}

func parseInteger(e Expr, target *int, minimum, maximum int) error {
	value, err := settingValue(e)
	if err != nil {
		return err
	}
	integer, err := strconv.Atoi(value.Atom)
	if err != nil || value.Quoted || integer < minimum || integer > maximum {
		return syntaxErrorf(value.Position, "%s must be a whole number from %d to %d", e.List[0].Atom, minimum, maximum)
	}
	*target = integer
	return nil
}

func parseDuration(e Expr, target *time.Duration, minimum, maximum time.Duration) error {
	value, err := settingValue(e)
	if err != nil {
		return err
	}
	duration, err := time.ParseDuration(value.Atom)
	if err != nil || value.Quoted || duration < minimum || duration > maximum {
		return syntaxErrorf(value.Position, "%s must be a time such as 5s, from %v to %v", e.List[0].Atom, minimum, maximum)
	}
	*target = duration
	return nil
}

func parseYesNo(e Expr, target *bool) error {
	value, err := settingValue(e)
	if err != nil {
		return err
	}
	if value.Quoted || value.Atom != "yes" && value.Atom != "no" {
		return syntaxErrorf(value.Position, "%s must be yes or no", e.List[0].Atom)
	}
	*target = value.Atom == "yes"
	return nil
}
