package simulation

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"unicode"
)

// repository is the path of the source tree's root, relative to this package.
const repository = "../.."

// sourceIndex holds the names that pages may refer to.
type sourceIndex struct {
	// declared holds the functions, methods and types as "package.Name", and tests and benchmarks also
	// without their package.
	declared map[string]bool
	// values holds the constants and variables as "package.Name".
	values map[string]bool
	// packages holds the repository's own packages, imported the names of all others that it uses.
	packages, imported map[string]bool
	// files holds the base names of all files.
	files map[string]bool
	// tags holds the names of encoded struct fields, flags those of command-line flags.
	tags, flags map[string]bool
	// literals holds the words of the sources' string literals, among them environment variables.
	literals map[string]bool
	// logLines holds the log lines of the program above debug level.
	logLines []logLine
}

// indexSources parses all Go files of the repository.
func indexSources(t *testing.T) *sourceIndex {
	t.Helper()
	x := &sourceIndex{
		declared: map[string]bool{}, values: map[string]bool{},
		packages: map[string]bool{}, imported: map[string]bool{},
		files: map[string]bool{}, tags: map[string]bool{}, flags: map[string]bool{},
		literals: map[string]bool{},
	}
	index := func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		x.files[filepath.Base(file)] = true
		if !strings.HasSuffix(file, ".go") {
			return nil
		}
		positions := token.NewFileSet()
		parsed, err := parser.ParseFile(positions, file, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		x.addFile(parsed)
		if !strings.HasSuffix(file, "_test.go") {
			x.logLines = append(x.logLines, logLinesOf(positions, parsed)...)
		}
		return nil
	}
	for _, folder := range []string{"cmd", "internal"} {
		if err := filepath.WalkDir(filepath.Join(repository, folder), index); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// addFile adds the names of one file.
func (x *sourceIndex) addFile(file *ast.File) {
	x.packages[file.Name.Name] = true
	for _, declaration := range file.Decls {
		for _, name := range declaredValues(declaration) {
			x.values[file.Name.Name+"."+name] = true
		}
		for _, name := range declaredNames(declaration) {
			x.declared[file.Name.Name+"."+name] = true
			if strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Benchmark") {
				x.declared[name] = true
			}
		}
	}
	for _, imported := range file.Imports {
		if name, err := strconv.Unquote(imported.Path.Value); err == nil &&
			!strings.HasPrefix(name, "postpoint/") {
			x.imported[path.Base(name)] = true
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Field:
			x.addField(n)
		case *ast.CallExpr:
			x.addFlagCall(n)
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				for _, word := range wordPattern.FindAllString(n.Value, -1) {
					x.literals[word] = true
				}
			}
		}
		return true
	})
}

var wordPattern = regexp.MustCompile(`[A-Za-z0-9_]+`)

// addField adds the encoded names of a struct field and, if the field is a command-line flag, the flag's
// name.
func (x *sourceIndex) addField(field *ast.Field) {
	if field.Tag == nil {
		return
	}
	text, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return
	}
	tag := reflect.StructTag(text)
	for _, encoding := range []string{"json", "toml", "msgpack"} {
		if name, _, _ := strings.Cut(tag.Get(encoding), ","); name != "" && name != "-" {
			x.tags[name] = true
		}
	}
	if _, isFlag := tag.Lookup("help"); !isFlag {
		return
	}
	if name := tag.Get("name"); name != "" {
		x.flags["--"+name] = true
		return
	}
	for _, name := range field.Names {
		x.flags["--"+flagName(name.Name)] = true
	}
}

// flagName returns the name of the flag that the command-line library derives from a field's name.
func flagName(field string) string {
	var name strings.Builder
	for i, r := range field {
		if i > 0 && unicode.IsUpper(r) {
			name.WriteByte('-')
		}
		name.WriteRune(unicode.ToLower(r))
	}
	return name.String()
}

// addFlagCall adds a flag that a test binary defines with flag.Int or a similar function.
func (x *sourceIndex) addFlagCall(call *ast.CallExpr) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) != 3 {
		return
	}
	if from, ok := function.X.(*ast.Ident); !ok || from.Name != "flag" {
		return
	}
	if name, ok := call.Args[0].(*ast.BasicLit); ok && name.Kind == token.STRING {
		if text, err := strconv.Unquote(name.Value); err == nil {
			x.flags["-"+text] = true
		}
	}
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

func declaredValues(d ast.Decl) []string {
	var names []string
	if general, ok := d.(*ast.GenDecl); ok {
		for _, s := range general.Specs {
			if s, ok := s.(*ast.ValueSpec); ok {
				for _, name := range s.Names {
					names = append(names, name.Name)
				}
			}
		}
	}
	return names
}

// fieldPath reports whether a dotted name consists of names of encoded fields, as in settings and in the
// files under deploy/.
func (x *sourceIndex) fieldPath(dotted string) bool {
	for part := range strings.SplitSeq(dotted, ".") {
		if !x.tags[part] {
			return false
		}
	}
	return true
}

// pathExists reports whether a path in a page names a file or folder, relative to the root of the repository,
// to internal/ or to the page's folder.
func pathExists(page, name string) bool {
	for _, base := range []string{repository, repository + "/internal", filepath.Dir(page)} {
		if _, err := os.Stat(filepath.Join(base, name)); err == nil {
			return true
		}
	}
	return false
}
