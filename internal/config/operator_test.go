package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func parseValidSettings(t testing.TB) *PlatformSettings {
	p, err := ParsePlatformSettings([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestOperatorSettings(t *testing.T) {
	p := parseValidSettings(t)
	o, err := ParseOperatorSettings("; ours\n(eiderhitch (headroom 1.5) (evict-after 5s) (spot no) (right-ttl 6s)\n (class \"feed\" (headroom 2)) (idle-boots 1) (boot-patience 3)\n (feature-levels yes) (highest-level 1) (finalize-after 10m) (rewrite-share 0.2))", p)
	if err != nil {
		t.Fatal(err)
	}
	want := &OperatorSettings{IdleTimeoutFactor: 1, Headroom: 1.5, ClassHeadroom: map[string]float64{"feed": 2}, PreemptionDelay: 5 * time.Second, BootTimeoutFactor: 3, LeaseTTL: 6 * time.Second,
		EnableFeatureLevels: true, MaxFeatureLevel: 1, FinalizeDelay: 10 * time.Minute, RewriteShare: 0.2}
	if d := cmp.Diff(want, o); d != "" {
		t.Error(d)
	}
	if o.HeadroomForClass("feed") != 2 || o.HeadroomForClass("other") != 1.5 {
		t.Error("headroom is not 2 for class feed and 1.5 for any other class")
	}
	o, err = ParseOperatorSettings("(eiderhitch)", p)
	if err != nil || cmp.Diff(DefaultOperatorSettings(), o) != "" {
		t.Errorf("an empty list does not give the default settings, or gives error %v", err)
	}
}

func TestOperatorErrorsHaveAPosition(t *testing.T) {
	p := parseValidSettings(t)
	for src, want := range map[string]string{
		"":                                     "1:1: one list",
		"(other)":                              "1:1: one list",
		"(eiderhitch) (eiderhitch)":            "1:14: one list",
		"(eiderhitch\n  (headroom 1)":          "1:1: this ( is never closed",
		"(eiderhitch))":                        "1:13: this ) closes nothing",
		"(eiderhitch\n (headrom 1))":           "2:3: unknown setting \"headrom\"",
		"(eiderhitch (headroom -1))":           "1:23: headroom must be",
		"(eiderhitch (headroom \"1\"))":        "1:23: headroom must be",
		"(eiderhitch (headroom))":              "1:13: headroom takes one value",
		"(eiderhitch headroom)":                "1:13: a setting such as",
		"(eiderhitch (headroom nan))":          "1:23: headroom must be",
		"(eiderhitch (spot maybe))":            "1:19: spot must be yes or no",
		"(eiderhitch (evict-after 5))":         "1:26: evict-after must be a time",
		"(eiderhitch (spot no) (spot no))":     "1:23: spot is set twice",
		"(eiderhitch (right-ttl 1m))":          "1:13: right-ttl 1m0s is longer",
		"(eiderhitch (class \"é\" (spot no)))": "1:24: unknown setting \"spot\" of a class",
		"(eiderhitch (feature-levels 2))":      "1:29: feature-levels must be yes or no",
		"(eiderhitch (feature-level yes))":     "1:14: unknown setting \"feature-level\"",
		"(eiderhitch (highest-level 0))":       "1:28: highest-level must be a whole number",
		"(eiderhitch (highest-level 1.5))":     "1:28: highest-level must be a whole number",
		"(eiderhitch (finalize-after 0s))":     "1:29: finalize-after must be a time",
		"(eiderhitch (finalize-after -5m))":    "1:29: finalize-after must be a time",
		"(eiderhitch (rewrite-share 0))":       "1:28: rewrite-share must be a number",
		"(eiderhitch (rewrite-share -0.1))":    "1:28: rewrite-share must be a number",
		"(eiderhitch (class \"x))":             "1:20: this string is not closed",
	} {
		_, err := ParseOperatorSettings(src, p)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want one that begins with %q", src, err, want)
		}
	}
}

func FuzzOperator(f *testing.F) {
	p := parseValidSettings(f)
	f.Add("(eiderhitch (headroom 1.5) ; x\n (class \"a\\\"b\" (headroom 2)))")
	f.Add(strings.Repeat("(", 1000))
	f.Fuzz(func(t *testing.T, src string) {
		_, err := ParseOperatorSettings(src, p)
		var s *SyntaxError
		if err != nil && (!errors.As(err, &s) || s.Position.Line < 1 || s.Position.Column < 1) {
			t.Errorf("%q: error without a position: %v", src, err)
		}
	})
}

func TestInvalidInputReturnsASyntaxError(t *testing.T) {
	p := parseValidSettings(t)
	rapid.Check(t, func(t *rapid.T) {
		src := rapid.StringOfN(rapid.SampledFrom([]rune("(eidrhtc 1)\";\\\nspot nyé")), 0, 40, -1).Draw(t, "src")
		_, err := ParseOperatorSettings("(eiderhitch "+src, p)
		var s *SyntaxError
		if err != nil && !errors.As(err, &s) {
			t.Fatalf("%q: error %v, want a *SyntaxError", src, err)
		}
	})
}
