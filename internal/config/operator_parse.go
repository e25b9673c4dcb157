package config

import (
	"strconv"
	"time"
)

// ParseOperator decodes settings such as
//
//	(eiderhitch (headroom 1.5) (evict-after 5s) (class "feed" (headroom 2)))
//
// Every error names its line and column.
func ParseOperator(src string, p *Platform) (*Operator, error) {
	exprs, err := ParseExprs(src)
	if err != nil {
		return nil, err
	}
	if len(exprs) != 1 || !exprs[0].IsList || len(exprs[0].List) == 0 || exprs[0].List[0].Atom != "eiderhitch" {
		at := Position{1, 1}
		if len(exprs) > 0 {
			at = exprs[min(len(exprs), 2)-1].Position
		}
		return nil, syntaxErrorf(at, "one list (eiderhitch ...) is expected")
	}
	o := DefaultOperator()
	seen := map[string]bool{}
	for _, e := range exprs[0].List[1:] {
		name, err := head(e)
		if err != nil {
			return nil, err
		}
		if name == "class" {
			if err := o.class(e); err != nil {
				return nil, err
			}
			continue
		}
		if seen[name] {
			return nil, syntaxErrorf(e.Position, "%s is set twice", name)
		}
		seen[name] = true
		switch name {
		case "idle-boots":
			err = number(e, &o.IdleBoots, 0, 100)
		case "headroom":
			err = number(e, &o.Headroom, 0, 100)
		case "boot-patience":
			err = number(e, &o.BootPatience, 1, 100)
		case "evict-after":
			err = span(e, &o.EvictAfter, 0, time.Hour)
		case "right-ttl":
			err = span(e, &o.LeaseTTL, time.Second, 5*time.Minute)
			if hold := MaxStaleness(p.Settings.Workers.CancelS, p.Settings.Workers.LeaseS); err == nil && o.LeaseTTL > hold {
				err = syntaxErrorf(e.Position, "right-ttl %v is longer than the %v that an owner may go on without the state service", o.LeaseTTL, hold.Round(time.Millisecond))
			}
		case "spot":
			err = choice(e, &o.Spot)
		case "feature-levels":
			err = choice(e, &o.FeatureLevels)
		case "finalize-after":
			err = span(e, &o.FinalizeAfter, time.Second, 30*24*time.Hour)
		case "highest-level":
			err = whole(e, &o.HighestLevel, 1, 1000)
		case "rewrite-share":
			err = number(e, &o.RewriteShare, 0.001, 0.5)
		default:
			err = syntaxErrorf(e.List[0].Position, "unknown setting %q", name)
		}
		if err != nil {
			return nil, err
		}
	}
	return o, nil
}

func head(e Expr) (string, error) {
	if !e.IsList || len(e.List) == 0 || e.List[0].IsList {
		return "", syntaxErrorf(e.Position, "a setting such as (headroom 1) is expected")
	}
	return e.List[0].Atom, nil
}

func (o *Operator) class(e Expr) error {
	if len(e.List) != 3 || e.List[1].IsList {
		return syntaxErrorf(e.Position, `(class "name" (headroom n)) is expected`)
	}
	name := e.List[1].Atom
	if _, ok := o.ClassHeadroom[name]; ok {
		return syntaxErrorf(e.Position, "class %q is set twice", name)
	}
	what, err := head(e.List[2])
	if err != nil {
		return err
	}
	if what != "headroom" {
		return syntaxErrorf(e.List[2].Position, "unknown setting %q of a class", what)
	}
	v := 0.0
	if err := number(e.List[2], &v, 0, 100); err != nil {
		return err
	}
	o.ClassHeadroom[name] = v
	return nil
}

func value(e Expr) (Expr, error) {
	if len(e.List) != 2 || e.List[1].IsList {
		return Expr{}, syntaxErrorf(e.Position, "%s takes one value", e.List[0].Atom)
	}
	return e.List[1], nil
}

func number(e Expr, to *float64, least, most float64) error {
	v, err := value(e)
	if err != nil {
		return err
	}
	f, err := strconv.ParseFloat(v.Atom, 64)
	if err != nil || v.Quoted || !(f >= least && f <= most) {
		return syntaxErrorf(v.Position, "%s must be a number from %g to %g", e.List[0].Atom, least, most)
	}
	*to = f
	return nil
}

func whole(e Expr, to *int, least, most int) error {
	v, err := value(e)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(v.Atom)
	if err != nil || v.Quoted || n < least || n > most {
		return syntaxErrorf(v.Position, "%s must be a whole number from %d to %d", e.List[0].Atom, least, most)
	}
	*to = n
	return nil
}

func span(e Expr, to *time.Duration, least, most time.Duration) error {
	v, err := value(e)
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(v.Atom)
	if err != nil || v.Quoted || d < least || d > most {
		return syntaxErrorf(v.Position, "%s must be a time such as 5s, from %v to %v", e.List[0].Atom, least, most)
	}
	*to = d
	return nil
}

func choice(e Expr, to *bool) error {
	v, err := value(e)
	if err != nil {
		return err
	}
	if v.Quoted || v.Atom != "yes" && v.Atom != "no" {
		return syntaxErrorf(v.Position, "%s must be yes or no", e.List[0].Atom)
	}
	*to = v.Atom == "yes"
	return nil
}
