package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// logLine is a line that the code logs.
type logLine struct {
	position string // FILE:LINE:COLUMN of the call or literal
	level    string
	message  string
	fields   []string // names of the fields that are constant in the call
}

// findLogLines returns the log lines of all programs and packages below root, except those of tests, in no particular
// order. It fails the test if it can't determine a message.
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

// loggingPackage finds the log lines of one package: in calls of log/slog, in calls of functions that pass a message to
// log/slog, and in string literals that contain a whole log line.
type loggingPackage struct {
	files     *token.FileSet
	functions []*ast.FuncDecl
	literals  []*ast.BasicLit
	// forwarders holds the functions that log a message which they receive as a parameter, by name. A method and a
	// function of the same name are not distinguished.
	forwarders map[string]forwarder
	lines      []logLine
}

// forwarder is a function that logs a message which its caller chooses.
type forwarder struct {
	line      logLine // without the message
	parameter int     // index of the message among the function's parameters
}

func newLoggingPackage() *loggingPackage {
	return &loggingPackage{files: token.NewFileSet(), forwarders: map[string]forwarder{}}
}

// addFile collects the functions and literals of a file.
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

// findLogLines returns the package's log lines. It must be called after all files are added. It finds all forwarders
// before it looks for their calls, because a call may precede the declaration of its forwarder.
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

// inspectCalls calls visit for each call expression in the function.
func (p *loggingPackage) inspectCalls(function *ast.FuncDecl, visit func(*ast.CallExpr)) {
	ast.Inspect(function, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			visit(call)
		}
		return true
	})
}

// slogLevels maps each function of log/slog that writes a line to the level of the line.
var slogLevels = map[string]string{"Debug": "DEBUG", "Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// addSlogCall adds the line of a call of slog.Debug, Info, Warn or Error. If the message is a parameter of the
// enclosing function, it adds that function as a forwarder instead.
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
	level, writesLine := slogLevels[name]
	unsupported := strings.HasPrefix(name, "Log") && name != "Logger" || strings.HasSuffix(name, "Context")
	switch {
	case unsupported:
		t.Errorf("%s: this test does not support slog.%s", position, name)
		return
	case !writesLine:
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
		t.Errorf("%s: the message is neither a string literal nor a parameter of the function", position)
		return
	}
	p.forwarders[function.Name.Name] = forwarder{line: line, parameter: parameter}
}

// addForwardedCall adds the line of a call if it calls a forwarder.
func (p *loggingPackage) addForwardedCall(t *testing.T, call *ast.CallExpr) {
	t.Helper()
	var name string
	switch f := call.Fun.(type) {
	case *ast.Ident:
		name = f.Name
	case *ast.SelectorExpr:
		name = f.Sel.Name
	}
	target, ok := p.forwarders[name]
	if !ok || target.parameter >= len(call.Args) {
		return
	}
	line := target.line
	line.position = p.files.Position(call.Pos()).String()
	if line.message, ok = stringConstant(call.Args[target.parameter]); !ok {
		t.Errorf("%s: the message passed to %s is not a string literal", line.position, name)
		return
	}
	p.lines = append(p.lines, line)
}

// preformattedLine matches a whole log line in a string literal.
var preformattedLine = regexp.MustCompile(`level=(\w+) msg="([^"]+)"`)

// addPreformattedLines adds the log lines in string literals, which are written without log/slog.
func (p *loggingPackage) addPreformattedLines() {
	for _, literal := range p.literals {
		text, ok := stringConstant(literal)
		if !ok {
			continue
		}
		if found := preformattedLine.FindStringSubmatch(text); found != nil {
			position := p.files.Position(literal.Pos()).String()
			p.lines = append(p.lines, logLine{position: position, level: found[1], message: found[2]})
		}
	}
}

// constantFields returns the field names among arguments, which alternate between names and values. It stops at the
// first name that is not a string literal.
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

// stringConstant returns the text of a string literal. It returns false for any other expression, including a named
// constant.
func stringConstant(expression ast.Expr) (text string, constant bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// parameterIndex returns the index of the function's parameter that the expression names, or -1 if it names none.
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
