package testkit

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// docs/rules.md names code and tests. Each function, method, type and test that it names
// still exists, in the package that it names.
func TestRulesPageNamesWhatExists(t *testing.T) {
	declared := declarations(t, "..")
	page, err := os.ReadFile("../../docs/rules.md")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+)`|`(Test[A-Za-z]+)`")
	count := 0
	for _, m := range named.FindAllStringSubmatch(string(page), -1) {
		count++
		switch {
		case m[3] != "":
			if !declared[m[3]] {
				t.Errorf("no test is called %s", m[3])
			}
		case !declared[m[1]+"."+m[2]]:
			t.Errorf("package %s has no %s", m[1], m[2])
		}
	}
	if count < 100 {
		t.Errorf("only %d names were found", count)
	}
}

// declarations are the names of all functions, methods and types below a folder, tests
// alone and with their packages.
func declarations(t *testing.T, folder string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			for _, name := range declaredNames(d) {
				names[file.Name.Name+"."+name] = true
				if strings.HasPrefix(name, "Test") {
					names[name] = true
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func declaredNames(d ast.Decl) []string {
	switch d := d.(type) {
	case *ast.FuncDecl:
		return []string{d.Name.Name}
	case *ast.GenDecl:
		var names []string
		for _, s := range d.Specs {
			if s, ok := s.(*ast.TypeSpec); ok {
				names = append(names, s.Name.Name)
			}
		}
		return names
	}
	return nil
}
