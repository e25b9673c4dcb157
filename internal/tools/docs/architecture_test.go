// Package docs_test checks that the pages in docs/ match the code that they describe.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the module's root directory.
const root = "../../.."

// readPage returns the text of a page in docs/.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// sourcePackages parses the packages below cmd and internal, without their tests. It returns
// them by directory, relative to the module's root, without directories that contain only
// tests.
func sourcePackages(t *testing.T) map[string][]*ast.File {
	t.Helper()
	packages := map[string][]*ast.File{}
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(file string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && entry.Name() == "testdata" {
				return filepath.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
				return nil
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			directory, err := filepath.Rel(root, filepath.Dir(file))
			packages[filepath.ToSlash(directory)] = append(packages[filepath.ToSlash(directory)], parsed)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}

// declaredNames returns the names that a package declares at package level, and its methods
// as Type.Method.
func declaredNames(files []*ast.File) map[string]bool {
	names := map[string]bool{}
	for _, file := range files {
		for _, declaration := range file.Decls {
			switch d := declaration.(type) {
			case *ast.FuncDecl:
				names[receiverPrefix(d)+d.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					addSpecNames(names, spec)
				}
			}
		}
	}
	return names
}

// receiverPrefix returns "Type." for a method and "" for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// addSpecNames adds the names that a type, constant or variable declaration declares.
func addSpecNames(names map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		names[s.Name.Name] = true
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[name.Name] = true
		}
	}
}

var (
	// codeSpanPattern matches a code span, which is text in backquotes.
	codeSpanPattern = regexp.MustCompile("`([^`\n]+)`")
	// packagePathPattern matches the path of a package of the module.
	packagePathPattern = regexp.MustCompile(`^(cmd|internal)(/[a-z0-9_]+)+$`)
	// qualifiedNamePattern matches package.Name and package.Type.Method.
	qualifiedNamePattern = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z][A-Za-z0-9]*(?:\.[A-Za-z][A-Za-z0-9]*)?)$`)
	// sourceFilePattern matches the name of a Go file.
	sourceFilePattern = regexp.MustCompile(`^[a-z0-9_/]+\.go$`)
)

// codeSpans returns the texts that a page has in backquotes.
func codeSpans(page string) []string {
	var spans []string
	for _, match := range codeSpanPattern.FindAllStringSubmatch(page, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// TestArchitectureNamesThePackages fails when a package is missing on the page, or when the
// page names a package that doesn't exist.
func TestArchitectureNamesThePackages(t *testing.T) {
	packages := sourcePackages(t)
	namedPackages := map[string]bool{}
	for _, span := range codeSpans(readPage(t, "architecture.md")) {
		if !packagePathPattern.MatchString(span) {
			continue
		}
		namedPackages[span] = true
		if packages[span] == nil {
			t.Errorf("architecture.md names the package %s, which doesn't exist", span)
		}
	}
	for directory := range packages {
		if !namedPackages[directory] {
			t.Errorf("architecture.md lacks the package %s", directory)
		}
	}
}

// TestArchitectureNamesExistingCode fails when the page names a type, function or file
// that doesn't exist.
func TestArchitectureNamesExistingCode(t *testing.T) {
	packages := sourcePackages(t)
	names := map[string]map[string]bool{}
	for directory, files := range packages {
		names[path.Base(directory)] = declaredNames(files)
	}
	checked := 0
	for _, span := range codeSpans(readPage(t, "architecture.md")) {
		if sourceFilePattern.MatchString(span) {
			checked++
			if !sourceFileExists(t, packages, span) {
				t.Errorf("architecture.md names the file %s, which doesn't exist", span)
			}
			continue
		}
		match := qualifiedNamePattern.FindStringSubmatch(span)
		if match == nil || names[match[1]] == nil && !ast.IsExported(match[2]) {
			continue // not a name in the code, but for example a field of the settings
		}
		checked++
		if !names[match[1]][match[2]] {
			t.Errorf("architecture.md names %s, which doesn't exist", span)
		}
	}
	if checked < 20 {
		t.Errorf("%d names of the page were compared with the code, want at least 20", checked)
	}
}

// sourceFileExists reports whether any of the packages has a file whose path ends in name.
func sourceFileExists(t *testing.T, packages map[string][]*ast.File, name string) bool {
	t.Helper()
	for directory := range packages {
		files, err := filepath.Glob(filepath.Join(root, directory, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(files, func(file string) bool {
			return strings.HasSuffix(filepath.ToSlash(file), "/"+name)
		}) {
			return true
		}
	}
	return false
}

// TestArchitectureNamesTheStoredKeys fails when the code has a stored key, or a key prefix,
// that the page does not name.
func TestArchitectureNamesTheStoredKeys(t *testing.T) {
	keys := codeSpans(readPage(t, "architecture.md"))
	checked := 0
	for directory, files := range sourcePackages(t) {
		for _, prefix := range storedKeyPrefixes(files) {
			checked++
			if !slices.ContainsFunc(keys, func(key string) bool { return strings.HasPrefix(key, prefix) }) {
				t.Errorf("architecture.md lacks the stored key %s of %s", prefix, directory)
			}
		}
	}
	if checked < 8 {
		t.Errorf("%d stored keys were found in the code, want at least 8", checked)
	}
}

// storedKeyPrefixes returns the string literals that begin with the common prefix of all
// stored keys.
func storedKeyPrefixes(files []*ast.File) []string {
	const allKeys = "e/"
	var prefixes []string
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			if text, err := strconv.Unquote(literal.Value); err == nil && strings.HasPrefix(text, allKeys) {
				prefixes = append(prefixes, text)
			}
			return true
		})
	}
	return prefixes
}

// TestPackagesImportOnlyLowerPackages fails when a package imports a package that is not below
// it in the page's table.
func TestPackagesImportOnlyLowerPackages(t *testing.T) {
	const module = "eiderhitch/"
	order := map[string]int{}
	for i, cell := range tableColumn(pageSection(t, readPage(t, "architecture.md"), "Packages"), 0) {
		if spans := codeSpans(cell); len(spans) == 1 {
			order[spans[0]] = i
		}
	}
	for directory, files := range sourcePackages(t) {
		for _, file := range files {
			for _, spec := range file.Imports {
				imported, isInModule := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module)
				position, listed := order[imported]
				if isInModule && listed && position <= order[directory] {
					t.Errorf("%s imports %s, which is not below it in architecture.md", directory, imported)
				}
			}
		}
	}
}

// TestArchitectureNamesTheControllersFiles fails when the page does not name a source file of
// the controller package.
func TestArchitectureNamesTheControllersFiles(t *testing.T) {
	spans := codeSpans(readPage(t, "architecture.md"))
	files, err := filepath.Glob(filepath.Join(root, "internal", "controller", "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name := filepath.Base(file)
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(spans, name) {
			t.Errorf("architecture.md lacks internal/controller/%s", name)
		}
	}
}
