package simulation

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// operatorPages are the pages that explain log messages.
var operatorPages = []string{"operations.md", "cells-operations.md", "recovery-operations.md"}

// minLogMessages is a lower bound on the number of log messages above debug level in the sources.
const minLogMessages = 50

// Operators search the logs for a message and look it up. Each message above debug level is therefore a
// constant, and stands on one of their pages exactly as it is logged.
func TestOperatorPagesListLogMessages(t *testing.T) {
	var text strings.Builder
	for _, page := range operatorPages {
		text.WriteString(readPage(t, filepath.Join(repository, "docs", page)))
	}
	messages := logMessages(t)
	for position, message := range messages {
		if !strings.Contains(text.String(), "`"+message+"`") {
			t.Errorf("%s: no page for operators lists the message %q", position, message)
		}
	}
	if len(messages) < minLogMessages {
		t.Errorf("found only %d log messages, want at least %d", len(messages), minLogMessages)
	}
}

// logMessages returns the messages that the program logs above debug level, by their positions.
func logMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	visit := func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		parsed, err := parser.ParseFile(set, file, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || !logsForOperators(call) {
				return true
			}
			position := set.Position(call.Pos()).String()
			message, constant := constantText(call.Args[0])
			if !constant {
				t.Errorf("%s: the message of a log line is not a constant text", position)
			}
			messages[position] = message
			return true
		})
		return nil
	}
	for _, folder := range []string{"cmd", "internal"} {
		if err := filepath.WalkDir(filepath.Join(repository, folder), visit); err != nil {
			t.Fatal(err)
		}
	}
	return messages
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
