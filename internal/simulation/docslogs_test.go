package simulation

import (
	"go/ast"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// operatorPages are the pages that explain log messages.
var operatorPages = []string{"operations.md", "cells-operations.md", "recovery-operations.md"}

// minLogLines is a lower bound on the number of log lines above debug level in the sources.
const minLogLines = 50

// Operators search the logs for a message and look it up. Each message above debug level is therefore a
// constant, and stands on one of their pages exactly as it is logged.
func TestOperatorPagesListLogMessages(t *testing.T) {
	var text strings.Builder
	for _, page := range operatorPages {
		text.WriteString(readPage(t, filepath.Join(repository, "docs", page)))
	}
	lines := indexSources(t).logLines
	for _, line := range lines {
		switch {
		case !line.constant:
			t.Errorf("%s: the message of a log line is not a constant text", line.position)
		case !strings.Contains(text.String(), "`"+line.message+"`"):
			t.Errorf("%s: no page for operators lists the message %q", line.position, line.message)
		}
	}
	if len(lines) < minLogLines {
		t.Errorf("found only %d log lines, want at least %d", len(lines), minLogLines)
	}
}

// logLine is a place at which the program logs above debug level.
type logLine struct {
	position string
	message  string
	constant bool // the message is a string literal
}

// logLinesOf returns the log lines of a file above debug level.
func logLinesOf(positions *token.FileSet, file *ast.File) []logLine {
	var lines []logLine
	ast.Inspect(file, func(n ast.Node) bool {
		if call, ok := n.(*ast.CallExpr); ok && logsForOperators(call) {
			message, constant := constantText(call.Args[0])
			lines = append(lines, logLine{positions.Position(call.Pos()).String(), message, constant})
		}
		return true
	})
	return lines
}

// logsForOperators reports whether a call logs a message above debug level.
func logsForOperators(call *ast.CallExpr) bool {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return false
	}
	logger, ok := function.X.(*ast.Ident)
	if !ok || logger.Name != "slog" {
		return false
	}
	return function.Sel.Name == "Info" || function.Sel.Name == "Warn" || function.Sel.Name == "Error"
}

// constantText returns the value of a string literal.
func constantText(expression ast.Expr) (text string, constant bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
