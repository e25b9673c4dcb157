package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// linterExceptionPattern matches a file that is excluded from a revive rule.
var linterExceptionPattern = regexp.MustCompile(`"\*\*/([^"]+)"`)

// TestLinterExceptionsExist fails when a revive rule excludes a file that doesn't exist. A new
// file of that name would be excluded unintentionally.
func TestLinterExceptionsExist(t *testing.T) {
	rules, err := os.ReadFile(filepath.Join(root, "revive.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range linterExceptionPattern.FindAllStringSubmatch(string(rules), -1) {
		if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
			t.Errorf("revive.toml excludes %s, which doesn't exist", match[1])
		}
	}
}
