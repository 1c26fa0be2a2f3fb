package goldentest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// nameTags are the kinds of tags that give fields their names outside, by a kind that the fields
// of such a struct have.
var nameTags = map[string]string{
	"msgpack": "msgpack",
	"json":    "json",
	"toml":    "toml",
	"help":    "name", // of flags
	"cmd":     "name", // of commands
}

// A struct that has one field with a name outside has them for all of its exported fields: none of
// them is known by its Go name, which may be changed.
func TestTaggedStructsAreTaggedThroughout(t *testing.T) {
	structs := 0
	for _, folder := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if s, ok := n.(*ast.StructType); ok && requireTaggedThroughout(t, path, s) {
					structs++
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if structs < 60 {
		t.Errorf("only %d structs with names outside were found", structs)
	}
}

// requireTaggedThroughout tells whether the struct has any names outside.
func requireTaggedThroughout(t *testing.T, path string, s *ast.StructType) bool {
	t.Helper()
	wanted := map[string]bool{}
	for _, f := range s.Fields.List {
		for kind, nameTag := range nameTags {
			if _, has := tagOf(f).Lookup(kind); has {
				wanted[nameTag] = true
			}
		}
	}
	for _, f := range s.Fields.List {
		for _, field := range f.Names {
			for nameTag := range wanted {
				name, _, _ := strings.Cut(tagOf(f).Get(nameTag), ",")
				if field.IsExported() && name == "" {
					t.Errorf("%s: %s has no name in a tag %q", path, field.Name, nameTag)
				}
			}
		}
	}
	return len(wanted) > 0
}

func tagOf(f *ast.Field) reflect.StructTag {
	if f.Tag == nil {
		return ""
	}
	text, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return ""
	}
	return reflect.StructTag(text)
}
