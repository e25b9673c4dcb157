package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// linterExceptionPattern matches a file that a rule of revive leaves out.
var linterExceptionPattern = regexp.MustCompile(`"\*\*/([^"]+)"`)

// TestLinterExceptionsExist fails when a rule leaves out a file that doesn't exist: one
// that takes the name later would be left out as well.
func TestLinterExceptionsExist(t *testing.T) {
	rules, err := os.ReadFile(filepath.Join(root, "revive.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range linterExceptionPattern.FindAllStringSubmatch(string(rules), -1) {
		if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
			t.Errorf("revive.toml leaves out %s, which doesn't exist", match[1])
		}
	}
}
