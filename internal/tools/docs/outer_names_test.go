package docs_test

import (
	"go/ast"
	"go/token"
	"strconv"
	"strings"
	"testing"
)

// stringLiterals returns the string literals of a package's files, and the encoded names of
// fields in struct tags.
func stringLiterals(files []*ast.File) map[string]bool {
	found := map[string]bool{}
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				return true
			}
			found[text] = true
			if _, tag, ok := strings.Cut(text, `:"`); ok {
				name, _, _ := strings.Cut(strings.TrimSuffix(tag, `"`), ",")
				found[name] = true
			}
			return true
		})
	}
	return found
}

// TestOuterNamesAreInTheCode fails when a name that users, agents, the key-value store or
// operators' tools depend on is no longer in the code of its package.
func TestOuterNamesAreInTheCode(t *testing.T) {
	packages := sourcePackages(t)
	checked := 0
	table, _, _ := strings.Cut(readPage(t, "names.md"), "\n## ")
	for row := range strings.Lines(table) {
		cells := strings.Split(strings.Trim(row, "| \n"), " | ")
		files, ok := packages[cells[0]]
		if !ok || len(cells) != 3 {
			if strings.HasPrefix(cells[0], "internal/") || strings.HasPrefix(cells[0], "cmd/") {
				t.Errorf("names.md has an invalid row: %s", row)
			}
			continue
		}
		literals := stringLiterals(files)
		for _, name := range codeSpans(cells[2]) {
			checked++
			if !literals[name] {
				t.Errorf("names.md lists %q in %s, which no longer has it", name, cells[0])
			}
		}
	}
	if checked < 400 {
		t.Errorf("%d names were looked up, want at least 400", checked)
	}
}
