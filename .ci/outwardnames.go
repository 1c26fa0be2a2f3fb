//go:build ignore

// Outwardnames lists the names that leave the process, read from the Go source below ROOT and from
// the files in ROOT/deploy. Two lists of the same software are equal:
//
//	go run .ci/outwardnames.go ROOT
//
// Each line has a kind and a name:
//
//	tag       a struct tag: fields of messages, records, settings and overviews, flags, variables
//	untagged  an exported field without a tag beside tagged ones, which is written under its Go name
//	text      a string without white space: paths, keys, prefixes, enum values, causes, file names
//	reason    a string with white space that is neither logged nor an error nor a panic
//	error     the text of an error
//	log       the message of a log line above debug level
//	logkey    the key of an attribute of a log line
//	deploy    a key of a file in deploy
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// names are the lines to print.
type names map[string]bool

func (n names) add(kind, name string) {
	if name != "" {
		n[kind+"\t"+strconv.Quote(name)] = true
	}
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: outwardnames ROOT")
		os.Exit(2)
	}
	found := names{}
	if err := scan(os.Args[1], found); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	lines := make([]string, 0, len(found))
	for line := range found {
		lines = append(lines, line)
	}
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Println(line)
	}
}

// scan reads all files below the folders that are shipped.
func scan(root string, found names) error {
	for _, folder := range []string{"cmd", "internal", "deploy"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case strings.HasSuffix(path, "_test.go"):
				return nil
			case strings.HasSuffix(path, ".go"):
				return scanSource(path, found)
			case strings.HasSuffix(path, ".toml"):
				return scanDeployFile(path, found)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

var deployKey = regexp.MustCompile(`([A-Za-z_]+) *=|^\[+([A-Za-z_.]+)\]`)

func scanDeployFile(path string, found names) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(content), "\n") {
		for _, match := range deployKey.FindAllStringSubmatch(line, -1) {
			found.add("deploy", match[1]+match[2])
		}
	}
	return nil
}

func scanSource(path string, found names) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	skip := map[*ast.BasicLit]bool{} // literals that are listed under another kind than text or reason
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.ImportSpec:
			skip[n.Path] = true
		case *ast.StructType:
			scanStruct(n, found, skip)
		case *ast.CallExpr:
			scanCall(n, found, skip)
		}
		return true
	})
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING && !skip[literal] {
			value := unquote(literal)
			kind := "text"
			if strings.ContainsAny(value, " \t\n") {
				kind = "reason"
			}
			found.add(kind, value)
		}
		return true
	})
	return nil
}

// scanStruct lists the tags of a struct, and what has none beside fields that have one.
func scanStruct(s *ast.StructType, found names, skip map[*ast.BasicLit]bool) {
	tagged := false
	for _, field := range s.Fields.List {
		if field.Tag != nil {
			tagged = true
			skip[field.Tag] = true
			found.add("tag", unquote(field.Tag))
		}
	}
	for _, field := range s.Fields.List {
		for _, name := range field.Names {
			if tagged && field.Tag == nil && name.IsExported() {
				found.add("untagged", name.Name)
			}
		}
	}
}

// scanCall lists the texts of log lines, errors and panics.
func scanCall(call *ast.CallExpr, found names, skip map[*ast.BasicLit]bool) {
	switch name := calledName(call); name {
	case "slog.Debug", "slog.Info", "slog.Warn", "slog.Error":
		for i, argument := range call.Args {
			literal, ok := argument.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				continue
			}
			switch {
			case i == 0 && name != "slog.Debug":
				skip[literal] = true
				found.add("log", unquote(literal))
			case i == 0:
				skip[literal] = true
			case i%2 == 1:
				skip[literal] = true
				found.add("logkey", unquote(literal))
			}
		}
	case "errors.New", "fmt.Errorf", "panic":
		ast.Inspect(call, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING && !skip[literal] {
				skip[literal] = true
				found.add("error", unquote(literal))
			}
			return true
		})
	}
}

// calledName is the name of a called function with its package, "" for others.
func calledName(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		if x, ok := function.X.(*ast.Ident); ok {
			return x.Name + "." + function.Sel.Name
		}
	}
	return ""
}

func unquote(literal *ast.BasicLit) string {
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return literal.Value
	}
	return value
}
