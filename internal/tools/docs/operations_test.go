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

// loggedByDefaultMethods has the methods of a logger whose first argument is the message, and
// whether they log it at the default log level.
var loggedByDefaultMethods = map[string]bool{"Error": true, "Warn": true, "Info": true, "Debug": false}

// logMessages returns the messages that the service logs, and whether it logs them at the
// default log level.
func logMessages(t *testing.T) map[string]bool {
	t.Helper()
	messages := map[string]bool{}
	for directory, files := range sourcePackages(t) {
		if strings.HasPrefix(directory, "internal/tools/") {
			continue
		}
		for _, file := range files {
			ast.Inspect(file, func(node ast.Node) bool {
				if message, byDefault, ok := logCallMessage(node); ok {
					messages[message] = messages[message] || byDefault
				}
				return true
			})
		}
	}
	return messages
}

// logCallMessage returns the message that a node logs and whether it is logged at the default
// log level. ok is false unless the node calls a logger with a literal message.
func logCallMessage(node ast.Node) (message string, byDefault, ok bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false, false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !isLogger(method.X) {
		return "", false, false
	}
	byDefault, isLog := loggedByDefaultMethods[method.Sel.Name]
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLog || !isLiteral || literal.Kind != token.STRING {
		return "", false, false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, byDefault, err == nil
}

// isLogger reports whether an expression is a logger, judged by the name of the variable or
// field: log, c.log, r.Log, logger.
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

// pageSection returns the text between a heading of the second level and the next one.
func pageSection(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(page, "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("the page has no section %q", heading)
	}
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// tableColumn returns the cells of one column of the tables in a text, without the separator
// row.
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

// TestRunbookHasEveryLogLine fails when a message that is logged at the default log level is
// missing in the runbook's table of log lines, or when the table has a message that the code
// does not log.
func TestRunbookHasEveryLogLine(t *testing.T) {
	loggedMessages := logMessages(t)
	listedMessages := map[string]bool{}
	text, _, _ := strings.Cut(pageSection(t, readPage(t, "operations.md"), "Log lines"), "| counter |")
	for _, cell := range tableColumn(text, 0) {
		for _, line := range codeSpans(cell) {
			listedMessages[line] = true
			if _, ok := loggedMessages[line]; !ok {
				t.Errorf("operations.md lists the line %q, which the code doesn't log", line)
			}
		}
	}
	for line, byDefault := range loggedMessages {
		if byDefault && !listedMessages[line] {
			t.Errorf("operations.md lacks the line %q", line)
		}
	}
	if len(loggedMessages) < 30 {
		t.Errorf("%d logged lines were found in the code, want at least 30", len(loggedMessages))
	}
}

// TestRunbookSymptomsNameLoggedLines fails when the runbook's table of symptoms names a
// message that the code does not log.
func TestRunbookSymptomsNameLoggedLines(t *testing.T) {
	loggedMessages := logMessages(t)
	isAttribute := func(span string) bool { return strings.Contains(span, "=") || !strings.Contains(span, " ") }
	cells := tableColumn(pageSection(t, readPage(t, "operations.md"), "Symptoms"), 1)
	for _, cell := range cells {
		for _, line := range codeSpans(cell) {
			if _, ok := loggedMessages[line]; !ok && !isAttribute(line) {
				t.Errorf("operations.md names the line %q, which the code doesn't log", line)
			}
		}
	}
	if len(cells) < 10 {
		t.Errorf("%d symptoms were found, want at least 10", len(cells))
	}
}

// attributePattern matches an attribute of a log line, with or without its value.
var attributePattern = regexp.MustCompile(`^([a-z_]+)=`)

// TestRunbookNamesLoggedAttributes fails when the runbook names an attribute that no log line
// has.
func TestRunbookNamesLoggedAttributes(t *testing.T) {
	loggedTexts := loggedStrings(t)
	before, rest, _ := strings.Cut(readPage(t, "operations.md"), "\n## Log lines that have changed\n")
	_, after, _ := strings.Cut(rest, "\n## ")
	checked := 0
	for _, span := range codeSpans(before + after) {
		match := attributePattern.FindStringSubmatch(strings.TrimPrefix(span, "grep "))
		if match == nil {
			continue
		}
		checked++
		if !loggedTexts[match[1]] {
			t.Errorf("operations.md names the attribute %s, which no line has", span)
		}
	}
	if checked < 10 {
		t.Errorf("%d attributes were found, want at least 10", checked)
	}
}

// loggedStrings returns the string literals in the calls of loggers: messages and names of
// attributes.
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

// TestFormerLogLinesAreListed fails when a message of version 0.1, from before messages were
// renamed, is neither logged any more nor in the runbook's table of changed log lines.
func TestFormerLogLinesAreListed(t *testing.T) {
	formerMessages, err := os.ReadFile(filepath.Join("testdata", "log-lines-0.1.txt"))
	if err != nil {
		t.Fatal(err)
	}
	loggedMessages := logMessages(t)
	listedMessages := codeSpans(strings.Join(tableColumn(pageSection(t, readPage(t, "operations.md"), "Log lines that have changed"), 0), "\n"))
	for line := range strings.Lines(string(formerMessages)) {
		line = strings.TrimSpace(line)
		if _, ok := loggedMessages[line]; !ok && !slices.Contains(listedMessages, line) {
			t.Errorf("the line %q is no longer logged and is missing in the changed lines of operations.md", line)
		}
	}
}

// TestChangedLogLinesMatchTheCode fails when the table of changed log lines has a former
// message that is still logged, or a current message that is not logged.
func TestChangedLogLinesMatchTheCode(t *testing.T) {
	loggedMessages := logMessages(t)
	lines, _, _ := strings.Cut(pageSection(t, readPage(t, "operations.md"), "Log lines that have changed"), "| attributes before")
	for _, cell := range tableColumn(lines, 0) {
		for _, line := range codeSpans(cell) {
			if _, ok := loggedMessages[line]; ok {
				t.Errorf("operations.md lists the line %q as a former one, but it is still logged", line)
			}
		}
	}
	for _, cell := range tableColumn(lines, 1) {
		for _, line := range codeSpans(cell) {
			if _, ok := loggedMessages[line]; !ok {
				t.Errorf("operations.md lists the line %q as a current one, but the code doesn't log it", line)
			}
		}
	}
}

// TestRunbookHasEveryCounter fails when a counter, latency or activity of the periodic log
// line is missing in the runbook.
func TestRunbookHasEveryCounter(t *testing.T) {
	spans := codeSpans(pageSection(t, readPage(t, "operations.md"), "Log lines"))
	names := counterNames(t)
	for _, name := range names {
		if !slices.ContainsFunc(spans, func(span string) bool { return span == name || span == name+"_ms" }) {
			t.Errorf("operations.md lacks the counter %q", name)
		}
	}
	if len(names) < 20 {
		t.Errorf("%d counters were found in the code, want at least 20", len(names))
	}
}

// counterNames returns the strings in the controller's lists of counters, latencies and
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
