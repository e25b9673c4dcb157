package docs_test

import (
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logMethodShownByDefault are the methods of a logger whose first argument is the line, and whether
// it is logged unless LOG_LEVEL hides it.
var logMethodShownByDefault = map[string]bool{"Error": true, "Warn": true, "Info": true, "Debug": false}

// logMessages are the lines that the service logs, and whether by default.
func logMessages(t *testing.T) map[string]bool {
	t.Helper()
	lines := map[string]bool{}
	for directory, files := range sourcePackages(t) {
		if strings.HasPrefix(directory, "internal/tools/") {
			continue
		}
		for _, file := range files {
			ast.Inspect(file, func(node ast.Node) bool {
				if line, byDefault, ok := logCallMessage(node); ok {
					lines[line] = lines[line] || byDefault
				}
				return true
			})
		}
	}
	return lines
}

// logCallMessage is the line that a node logs, if it is a call of a logger with a constant line.
func logCallMessage(node ast.Node) (line string, byDefault, ok bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false, false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !isLogger(method.X) {
		return "", false, false
	}
	byDefault, isLog := logMethodShownByDefault[method.Sel.Name]
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLog || !isLiteral || literal.Kind != token.STRING {
		return "", false, false
	}
	line, err := strconv.Unquote(literal.Value)
	return line, byDefault, err == nil
}

// isLogger goes by the name of a variable or field: log, c.log, r.Log, logger.
func isLogger(expression ast.Expr) bool {
	name := ""
	switch x := expression.(type) {
	case *ast.Ident:
		name = x.Name
	case *ast.SelectorExpr:
		name = x.Sel.Name
	}
	name = strings.ToLower(name)
	return name == "log" || name == "logger" || name == "slog"
}

// section is the text of a page below a heading, up to the next of its kind.
func pageSection(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(page, "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("the page has no section %q", heading)
	}
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// column is one column of the tables in a text, without head and rule.
func tableColumn(text string, index int) []string {
	var cells []string
	for line := range strings.Lines(text) {
		fields := strings.Split(strings.TrimSpace(line), " | ")
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || len(fields) <= index {
			continue
		}
		cells = append(cells, strings.Trim(fields[index], "| \n"))
	}
	return cells
}

// TestRunbookHasEveryLogLine fails when a line that is logged by default is missing in the
// runbook's table of lines, or the table has one that nothing logs.
func TestRunbookHasEveryLogLine(t *testing.T) {
	logged := logMessages(t)
	listed := map[string]bool{}
	text, _, _ := strings.Cut(pageSection(t, readPage(t, "operations.md"), "Log lines"), "| counter |")
	for _, cell := range tableColumn(text, 0) {
		for _, line := range codeSpans(cell) {
			listed[line] = true
			if _, ok := logged[line]; !ok {
				t.Errorf("operations.md lists the line %q, which nothing logs", line)
			}
		}
	}
	for line, byDefault := range logged {
		if byDefault && !listed[line] {
			t.Errorf("operations.md lacks the line %q", line)
		}
	}
	if len(logged) < 30 {
		t.Errorf("only %d logged lines were found in the code", len(logged))
	}
}

// TestRunbookSymptomsNameLoggedLines fails when the table of symptoms sends its reader
// after a line that nothing logs.
func TestRunbookSymptomsNameLoggedLines(t *testing.T) {
	logged := logMessages(t)
	isAttribute := func(span string) bool { return strings.Contains(span, "=") || !strings.Contains(span, " ") }
	cells := tableColumn(pageSection(t, readPage(t, "operations.md"), "Symptoms"), 1)
	for _, cell := range cells {
		for _, line := range codeSpans(cell) {
			if _, ok := logged[line]; !ok && !isAttribute(line) {
				t.Errorf("operations.md names the line %q, which nothing logs", line)
			}
		}
	}
	if len(cells) < 10 {
		t.Errorf("only %d symptoms were found", len(cells))
	}
}

// attribute matches an attribute of a log line, with a value or without.
var attributePattern = regexp.MustCompile(`^([a-z_]+)=`)

// TestRunbookNamesLoggedAttributes fails when the runbook searches for an attribute that no
// line has.
func TestRunbookNamesLoggedAttributes(t *testing.T) {
	logged := loggedStrings(t)
	before, rest, _ := strings.Cut(readPage(t, "operations.md"), "\n## Log lines that have changed\n")
	_, after, _ := strings.Cut(rest, "\n## ")
	checked := 0
	for _, span := range codeSpans(before + after) {
		match := attributePattern.FindStringSubmatch(strings.TrimPrefix(span, "grep "))
		if match == nil {
			continue
		}
		checked++
		if !logged[match[1]] {
			t.Errorf("operations.md names the attribute %s, which no line has", span)
		}
	}
	if checked < 10 {
		t.Errorf("only %d attributes were found", checked)
	}
}

// loggedStrings are the strings in the calls of loggers: lines, and names of attributes.
func loggedStrings(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	add := func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				found[text] = true
			}
		}
		return true
	}
	for _, files := range sourcePackages(t) {
		for _, file := range files {
			ast.Inspect(file, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok {
					return true
				}
				if method, ok := call.Fun.(*ast.SelectorExpr); ok && isLogger(method.X) {
					ast.Inspect(call, add)
				}
				return true
			})
		}
	}
	return found
}

// TestFormerLogLinesAreListed fails when a line that was logged before the lines were
// renamed is neither logged any more nor in the table of changed lines.
func TestFormerLogLinesAreListed(t *testing.T) {
	former, err := os.ReadFile(filepath.Join("testdata", "log-lines-0.1.txt"))
	if err != nil {
		t.Fatal(err)
	}
	logged := logMessages(t)
	listed := codeSpans(strings.Join(tableColumn(pageSection(t, readPage(t, "operations.md"), "Log lines that have changed"), 0), "\n"))
	for line := range strings.Lines(string(former)) {
		line = strings.TrimSpace(line)
		if _, ok := logged[line]; !ok && !slices.Contains(listed, line) {
			t.Errorf("operations.md doesn't say what became of the line %q", line)
		}
	}
}

// TestChangedLogLinesMatchTheCode fails when the table of changed lines has one as former that is
// still logged, or one as present that nothing logs.
func TestChangedLogLinesMatchTheCode(t *testing.T) {
	logged := logMessages(t)
	lines, _, _ := strings.Cut(pageSection(t, readPage(t, "operations.md"), "Log lines that have changed"), "| attributes before")
	for _, cell := range tableColumn(lines, 0) {
		for _, line := range codeSpans(cell) {
			if _, ok := logged[line]; ok {
				t.Errorf("operations.md has the line %q as former; it is logged", line)
			}
		}
	}
	for _, cell := range tableColumn(lines, 1) {
		for _, line := range codeSpans(cell) {
			if _, ok := logged[line]; !ok {
				t.Errorf("operations.md has the line %q as present; nothing logs it", line)
			}
		}
	}
}

// TestRunbookHasEveryCounter fails when a counter or latency of the regular line is
// missing in the runbook.
func TestRunbookHasEveryCounter(t *testing.T) {
	spans := codeSpans(pageSection(t, readPage(t, "operations.md"), "Log lines"))
	names := counterNames(t)
	for _, name := range names {
		if !slices.ContainsFunc(spans, func(span string) bool { return span == name || span == name+"_ms" }) {
			t.Errorf("operations.md lacks the counter %q", name)
		}
	}
	if len(names) < 20 {
		t.Errorf("only %d counters were found in the code", len(names))
	}
}

// counterNames are the strings in the controller's lists of counters, latencies and
// activities.
func counterNames(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, file := range sourcePackages(t)["internal/controller"] {
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || !slices.Contains([]string{"counterNames", "latencyNames", "activityNames"}, spec.Names[0].Name) {
				return true
			}
			ast.Inspect(spec, func(node ast.Node) bool {
				if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
					if name, err := strconv.Unquote(literal.Value); err == nil {
						names = append(names, name)
					}
				}
				return true
			})
			return false
		})
	}
	return names
}
