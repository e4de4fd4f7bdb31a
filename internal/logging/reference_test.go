package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	repositoryRoot   = "../.."
	logReferencePage = "docs/LOG.md"
)

// Guards the page that operators read the log by: it documents each message of the code, with its level and its
// fields, and no message that the code does not log.
func TestLogReferenceMatchesCode(t *testing.T) {
	documented := parseLogReference(t, filepath.Join(repositoryRoot, logReferencePage))
	logged := map[string]bool{}
	for _, line := range findLogLines(t, repositoryRoot) {
		logged[line.message] = true
		row, ok := documented[line.message]
		if !ok {
			t.Errorf("%s: %s documents no message `%s`", line.position, logReferencePage, line.message)
			continue
		}
		if row.level != "" && row.level != line.level {
			t.Errorf("%s: `%s` is logged as %s, documented as %s", line.position, line.message, line.level, row.level)
		}
		for _, field := range line.fields {
			if !strings.Contains(row.text, "`"+field+"`") {
				t.Errorf("%s: %s lacks the field `%s` of `%s`", line.position, logReferencePage, field, line.message)
			}
		}
	}
	for message := range documented {
		if !logged[message] {
			t.Errorf("%s documents `%s`, which the code does not log", logReferencePage, message)
		}
	}
}

// referenceRow is what the page says of a message.
type referenceRow struct {
	level string // "" where the table has no such column
	text  string // of the whole row
}

var backquoted = regexp.MustCompile("`([^`]+)`")

// parseLogReference returns the messages that the page documents: the first backquoted text in the column "msg" of each
// row of its tables.
func parseLogReference(t *testing.T, path string) map[string]referenceRow {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]referenceRow{}
	var header []string // of the present table
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			header = nil
			continue
		}
		cells := tableCells(line)
		if header == nil {
			header = cells
			continue
		}
		column := slices.Index(header, "msg")
		if column < 0 || column >= len(cells) || strings.HasPrefix(cells[0], "---") {
			continue
		}
		found := backquoted.FindStringSubmatch(cells[column])
		if found == nil {
			t.Errorf("%s: no message in the row %s", path, line)
			continue
		}
		row := referenceRow{text: line}
		if level := slices.Index(header, "level"); level >= 0 {
			row.level = cells[level]
		}
		rows[found[1]] = row
	}
	return rows
}

func tableCells(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i, cell := range cells {
		cells[i] = strings.TrimSpace(cell)
	}
	return cells
}

// logLine is a line that the code logs.
type logLine struct {
	position string // in the code
	level    string
	message  string
	fields   []string // those whose names are constant in the call
}

// findLogLines returns the log lines of all programs and packages below root, tests aside. It fails the test for a
// message that it can't tell.
func findLogLines(t *testing.T, root string) []logLine {
	t.Helper()
	packages := map[string]*loggingPackage{} // by directory
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		switch {
		case entry.IsDir() && path != root && (strings.HasPrefix(name, ".") || name == "testdata"):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		directory := filepath.Dir(path)
		if packages[directory] == nil {
			packages[directory] = newLoggingPackage()
		}
		return packages[directory].addFile(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	var lines []logLine
	for _, p := range packages {
		lines = append(lines, p.findLogLines(t)...)
	}
	return lines
}

// loggingPackage finds the log lines of one package.
type loggingPackage struct {
	files     *token.FileSet
	functions []*ast.FuncDecl
	literals  []*ast.BasicLit
	// forwarders are the functions that log a message which they get as a parameter, by name.
	forwarders map[string]forwarder
	lines      []logLine
}

// forwarder is a function that logs a message which its caller chooses.
type forwarder struct {
	line      logLine // without its message
	parameter int     // the message's position in the function's parameters
}

func newLoggingPackage() *loggingPackage {
	return &loggingPackage{files: token.NewFileSet(), forwarders: map[string]forwarder{}}
}

func (p *loggingPackage) addFile(path string) error {
	file, err := parser.ParseFile(p.files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			p.functions = append(p.functions, n)
		case *ast.BasicLit:
			p.literals = append(p.literals, n)
		}
		return true
	})
	return nil
}

func (p *loggingPackage) findLogLines(t *testing.T) []logLine {
	t.Helper()
	p.lines = nil
	for _, function := range p.functions {
		p.inspectCalls(function, func(call *ast.CallExpr) { p.addSlogCall(t, function, call) })
	}
	for _, function := range p.functions {
		p.inspectCalls(function, func(call *ast.CallExpr) { p.addForwardedCall(t, call) })
	}
	p.addPreformattedLines()
	return p.lines
}

func (p *loggingPackage) inspectCalls(function *ast.FuncDecl, visit func(*ast.CallExpr)) {
	ast.Inspect(function, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			visit(call)
		}
		return true
	})
}

// slogLevels maps the functions of log/slog that write a line.
var slogLevels = map[string]string{"Debug": "DEBUG", "Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// addSlogCall adds the line of a call of slog.Info or the like, or its function as a forwarder.
func (p *loggingPackage) addSlogCall(t *testing.T, function *ast.FuncDecl, call *ast.CallExpr) {
	t.Helper()
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	receiver, ok := selector.X.(*ast.Ident)
	if !ok || receiver.Name != "slog" {
		return
	}
	position := p.files.Position(call.Pos()).String()
	name := selector.Sel.Name
	level, logs := slogLevels[name]
	switch {
	case strings.HasPrefix(name, "Log") && name != "Logger" || strings.HasSuffix(name, "Context"):
		t.Errorf("%s: this test can't tell what slog.%s logs", position, name)
		return
	case !logs:
		return
	}
	line := logLine{position: position, level: level, fields: constantFields(call.Args[1:])}
	if message, constant := stringConstant(call.Args[0]); constant {
		line.message = message
		p.lines = append(p.lines, line)
		return
	}
	parameter := parameterIndex(function, call.Args[0])
	if parameter < 0 {
		t.Errorf("%s: the message is neither constant nor a parameter", position)
		return
	}
	p.forwarders[function.Name.Name] = forwarder{line: line, parameter: parameter}
}

// addForwardedCall adds the line of a call of a forwarder.
func (p *loggingPackage) addForwardedCall(t *testing.T, call *ast.CallExpr) {
	t.Helper()
	var name string
	switch f := call.Fun.(type) {
	case *ast.Ident:
		name = f.Name
	case *ast.SelectorExpr:
		name = f.Sel.Name
	}
	called, ok := p.forwarders[name]
	if !ok || called.parameter >= len(call.Args) {
		return
	}
	line := called.line
	line.position = p.files.Position(call.Pos()).String()
	if line.message, ok = stringConstant(call.Args[called.parameter]); !ok {
		t.Errorf("%s: the message is not constant", line.position)
		return
	}
	p.lines = append(p.lines, line)
}

var preformatted = regexp.MustCompile(`level=(\w+) msg="([^"]+)"`)

// addPreformattedLines adds the lines that are written without log/slog.
func (p *loggingPackage) addPreformattedLines() {
	for _, literal := range p.literals {
		text, ok := stringConstant(literal)
		if !ok {
			continue
		}
		if found := preformatted.FindStringSubmatch(text); found != nil {
			position := p.files.Position(literal.Pos()).String()
			p.lines = append(p.lines, logLine{position: position, level: found[1], message: found[2]})
		}
	}
}

// constantFields returns the names of a call's fields up to the first that is not constant.
func constantFields(arguments []ast.Expr) (fields []string) {
	for i := 0; i < len(arguments); i += 2 {
		field, constant := stringConstant(arguments[i])
		if !constant {
			return fields
		}
		fields = append(fields, field)
	}
	return fields
}

func stringConstant(expression ast.Expr) (text string, constant bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// parameterIndex returns the position of the function's parameter that the expression names, -1 if it names none.
func parameterIndex(function *ast.FuncDecl, expression ast.Expr) int {
	identifier, ok := expression.(*ast.Ident)
	if !ok {
		return -1
	}
	index := 0
	for _, field := range function.Type.Params.List {
		for _, name := range field.Names {
			if name.Name == identifier.Name {
				return index
			}
			index++
		}
	}
	return -1
}
