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

// nameTags maps tag keys to the tag keys that hold external names. If a field of a struct has a tag with the
// first key, every exported field of the struct needs a name in the tag with the second key.
var nameTags = map[string]string{
	"msgpack": "msgpack",
	"json":    "json",
	"toml":    "toml",
	"help":    "name", // of flags
	"cmd":     "name", // of commands
}

// Guards against Go names on the wire, in stored records or on the command line, where a renamed field would
// change the interface: if one field of a struct has a name in a tag, all of its exported fields need one.
func TestTaggedStructsAreTaggedThroughout(t *testing.T) {
	structs := 0
	for _, directory := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(directory, func(path string, _ fs.DirEntry, err error) error {
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
		t.Errorf("found only %d structs with external names, want at least 60", structs)
	}
}

// requireTaggedThroughout fails the test if only some of the struct's exported fields have external names. It
// reports whether any has one.
func requireTaggedThroughout(t *testing.T, path string, s *ast.StructType) bool {
	t.Helper()
	wanted := map[string]bool{}
	for _, f := range s.Fields.List {
		for key, nameTag := range nameTags {
			if _, has := tagOf(f).Lookup(key); has {
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

// tagOf returns the tag of a field, "" if it has none.
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
