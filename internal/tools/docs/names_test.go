package docs_test

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// currentPages are the pages that describe the current code. The pages on incidents and
// measurements and the journal are left out because they describe earlier versions.
var currentPages = []string{
	"architecture.md", "design.md", "fault-combinations.md", "operations.md", "questions.md",
	"upgrades.md", "upgrading.md", "ROADMAP.md", "../README.md", "../CONTRIBUTING.md",
}

var (
	// mixedCapsPattern matches an identifier in mixed caps, optionally qualified by other
	// identifiers.
	mixedCapsPattern = regexp.MustCompile(`^(?:[A-Za-z][A-Za-z0-9]*\.)*(?:[a-z]+[A-Z]|[A-Z][a-z0-9]+[A-Z])[A-Za-z0-9]*$`)
	// filePathPattern matches the path of a file or directory, relative to the module's root.
	filePathPattern = regexp.MustCompile(`^(?:cmd|internal|docs|days|deploy)/[A-Za-z0-9_./-]+$`)
)

// externalNames are words in mixed caps that are not identifiers of the current code: fields
// of the protocol and functions of earlier versions.
var externalNames = map[string]bool{"samePlace": true, "tryTake": true}

// identifiers returns all identifiers in the Go files of the module, including tests.
func identifiers(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(file string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(file, ".go") {
				return err
			}
			source, err := os.ReadFile(file)
			addIdentifiers(found, source)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// addIdentifiers adds the identifiers of one Go file to found.
func addIdentifiers(found map[string]bool, source []byte) {
	files := token.NewFileSet()
	var s scanner.Scanner
	s.Init(files.AddFile("", -1, len(source)), source, nil, 0)
	for {
		_, kind, text := s.Scan()
		if kind == token.EOF {
			return
		}
		if kind == token.IDENT {
			found[text] = true
		}
	}
}

// TestPagesNameExistingCode fails when a page names a function, type, field, test or file
// that doesn't exist.
func TestPagesNameExistingCode(t *testing.T) {
	knownIdentifiers := identifiers(t)
	checked := 0
	for _, name := range currentPages {
		for _, span := range codeSpans(readPage(t, name)) {
			switch {
			case filePathPattern.MatchString(span):
				checked++
				if _, err := os.Stat(filepath.Join(root, span)); err != nil {
					t.Errorf("%s names %s, which doesn't exist", name, span)
				}
			case mixedCapsPattern.MatchString(span) && !externalNames[span]:
				checked++
				last := span[strings.LastIndex(span, ".")+1:]
				if !knownIdentifiers[last] {
					t.Errorf("%s names %s, which doesn't exist", name, span)
				}
			}
		}
	}
	if checked < 100 {
		t.Errorf("%d names of the pages were compared with the code, want at least 100", checked)
	}
}

// testFunctionPattern matches the name of a test anywhere in a text, for example in a command.
var testFunctionPattern = regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]*`)

// TestPagesNameExistingTests fails when a page names a test that doesn't exist, also in a
// command.
func TestPagesNameExistingTests(t *testing.T) {
	knownIdentifiers := identifiers(t)
	const placeholder = "TestName"
	checked := 0
	for _, name := range currentPages {
		for _, test := range testFunctionPattern.FindAllString(readPage(t, name), -1) {
			checked++
			if !knownIdentifiers[test] && test != placeholder {
				t.Errorf("%s names %s, which doesn't exist", name, test)
			}
		}
	}
	if checked < 50 {
		t.Errorf("%d names of tests were found on the pages, want at least 50", checked)
	}
}

// linkPattern matches a Markdown link to a file of the repository.
var linkPattern = regexp.MustCompile(`\]\(([A-Za-z0-9_./-]+)(?:#[a-z0-9-]+)?\)`)

// TestLinkTargetsExist fails when a page links to a file that doesn't exist.
func TestLinkTargetsExist(t *testing.T) {
	checked := 0
	for _, name := range currentPages {
		for _, match := range linkPattern.FindAllStringSubmatch(readPage(t, name), -1) {
			checked++
			if _, err := os.Stat(filepath.Join(root, "docs", filepath.Dir(name), match[1])); err != nil {
				t.Errorf("%s links to %s, which doesn't exist", name, match[1])
			}
		}
	}
	if checked < 10 {
		t.Errorf("%d links were found, want at least 10", checked)
	}
}
