package main

import (
	"context"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os/exec"
	"path/filepath"
	"strings"
)

// Errors of a listed test that the go command can't skip on its own.
var (
	errNoSuchTest    = errors.New("no such test")
	errAmbiguousTest = errors.New("several packages have a test of this name")
)

// checkTestsExist returns an error if one of the tests does not exist, or if skipping it by
// name would skip a test of another package as well.
func checkTestsExist(ctx context.Context, root string, entries []entry) error {
	packages, err := findTestPackages(root)
	if err != nil {
		return err
	}
	for _, e := range entries {
		function, subtest, _ := strings.Cut(e.Test, "/")
		found := packages[function]
		switch {
		case len(found) == 0:
			err = errNoSuchTest
		case len(found) > 1:
			err = errAmbiguousTest
		case subtest != "":
			err = checkSubtestExists(ctx, root, e)
		}
		if err != nil {
			return fmt.Errorf("%s: %w: %s", listFileName, err, e.Test)
		}
	}
	return nil
}

// findTestPackages returns, by name of a function in a test file of the module, the
// directories that declare it, relative to root.
func findTestPackages(root string) (map[string][]string, error) {
	packages := map[string][]string{}
	visit := func(path string, file fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if file.IsDir() {
			if path != root && isIgnoredByGo(file.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		functions, err := functionNames(path)
		if err != nil {
			return err
		}
		directory, err := filepath.Rel(root, filepath.Dir(path))
		for _, function := range functions {
			packages[function] = append(packages[function], directory)
		}
		return err
	}
	return packages, filepath.WalkDir(root, visit)
}

// isIgnoredByGo reports whether the go command ignores a directory of this name.
func isIgnoredByGo(name string) bool {
	return name == "testdata" || name == "vendor" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

// functionNames returns the names of the functions that a file declares, without methods.
func functionNames(path string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && function.Recv == nil {
			names = append(names, function.Name.Name)
		}
	}
	return names, nil
}

// checkSubtestExists returns errNoSuchTest if the entry's command reports no such subtest. It
// runs the test, because the names of subtests are known only then; whether the test passes
// does not matter.
func checkSubtestExists(ctx context.Context, root string, e entry) error {
	arguments := append([]string{"test", "-v", "-run", anchoredPattern(e.Test), e.Command.Package}, e.Command.Flags...)
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Dir = root
	output, err := command.CombinedOutput()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		return err
	}
	for line := range strings.Lines(string(output)) {
		name, isRun := strings.CutPrefix(strings.TrimSpace(line), "=== RUN")
		if isRun && strings.TrimSpace(name) == e.Test {
			return nil
		}
	}
	return errNoSuchTest
}
