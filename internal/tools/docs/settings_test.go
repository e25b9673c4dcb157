package docs_test

import (
	"path/filepath"
	"strings"
	"testing"

	"eiderhitch/internal/config"
)

// exampleSettings loads the example of the platform's settings in deploy/.
func exampleSettings(t *testing.T) *config.PlatformSettings {
	t.Helper()
	platform, err := config.LoadPlatformSettings(filepath.Join(root, "deploy", "example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

func TestExampleSettingsAreValid(t *testing.T) {
	platform := exampleSettings(t)
	if warnings := platform.Warnings(); len(warnings) > 0 {
		t.Errorf("deploy/example.toml: warnings %q, want none", warnings)
	}
	if _, err := config.LoadOperatorSettings(filepath.Join(root, "deploy", "upgrades.sexp"), platform); err != nil {
		t.Error(err)
	}
}

// TestSettingsOnPagesAreValid fails when an example of operators' settings on a page is not
// valid.
func TestSettingsOnPagesAreValid(t *testing.T) {
	platform := exampleSettings(t)
	for _, page := range []string{"operations.md", "upgrading.md"} {
		_, example, ok := strings.Cut(readPage(t, page), "\n    (eiderhitch\n")
		if !ok {
			t.Errorf("%s has no example of operators' settings", page)
			continue
		}
		example, _, _ = strings.Cut(example, "\n\n")
		if _, err := config.ParseOperatorSettings("(eiderhitch\n"+example, platform); err != nil {
			t.Errorf("%s: %v", page, err)
		}
	}
}
