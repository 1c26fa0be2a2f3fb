package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// pageCheck finds the names of one kind in pages and checks each of them.
type pageCheck struct {
	kind    string
	pattern *regexp.Regexp // its last group is the name
	least   int            // the least number of names in all pages together
	// problem describes what is wrong with a name, or returns an empty text.
	problem func(x *sourceIndex, page, name string) string
}

var (
	codeName     = regexp.MustCompile("`([a-z]+\\.[A-Za-z0-9_.]+)(?:\\(\\))?`")
	testName     = regexp.MustCompile(`\b((?:Test|Benchmark)[A-Z][A-Za-z0-9_]*)\b`)
	pathName     = regexp.MustCompile(`(?:^|[^\w./-])((?:\.\.?/)?(?:internal|cmd|deploy|docs|\.ci)/[\w./-]*)`)
	fileName     = regexp.MustCompile("`([A-Za-z0-9_./-]+\\.(?:go|md|toml))`")
	linkTarget   = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	commandFlag  = regexp.MustCompile("(?:^|[\\s`(])(--[a-z][a-z0-9-]*)")
	testFlag     = regexp.MustCompile("(?:`|go test[^\n`]* )(-[a-z]+)\\b")
	variableName = regexp.MustCompile(`\b(POSTPOINT_[A-Z_]+|LOG_LEVEL)\b`)
	codeBlock    = regexp.MustCompile("(?m)^    (go (?:test|run|build|vet|tool) .+)$")
	quotedGo     = regexp.MustCompile("`(go (?:test|run|build|vet|tool) [^`]+)`")
	underscored  = regexp.MustCompile("`([a-z]+(?:_[a-z]+)+)`")
)

var pageChecks = []pageCheck{
	{"code", codeName, 110, codeProblem},
	{"test", testName, 180, testProblem},
	{"path", pathName, 50, pathProblem},
	{"file", fileName, 4, fileProblem},
	{"link", linkTarget, 25, linkProblem},
	{"flag", commandFlag, 15, flagProblem},
	{"test flag", testFlag, 5, testFlagProblem},
	{"variable", variableName, 7, variableProblem},
	{"command in a code block", codeBlock, 3, commandProblem},
	{"command in the text", quotedGo, 4, commandProblem},
	{"rule, setting or field", underscored, 100, literalProblem},
}

func codeProblem(x *sourceIndex, page, name string) string {
	owner, member, _ := strings.Cut(name, ".")
	switch {
	case member == "go", member == "md", member == "toml":
		return fileProblem(x, page, name)
	case x.fieldPath(name):
		return ""
	case x.imported[owner] && !x.packages[owner]:
		return "" // a package of another module
	}
	for part := range strings.SplitSeq(member, ".") { // a name, or a type and its method
		if qualified := owner + "." + part; !x.declared[qualified] && !x.values[qualified] {
			return "neither code of that package nor a field of a file"
		}
	}
	return ""
}

// unlessKnown returns the problem unless the name is known.
func unlessKnown(known map[string]bool, name, problem string) string {
	if known[name] {
		return ""
	}
	return problem
}

func testProblem(x *sourceIndex, _, name string) string {
	return unlessKnown(x.declared, name, "no such test or benchmark")
}

func pathProblem(_ *sourceIndex, page, name string) string {
	name = strings.TrimRight(strings.TrimSuffix(name, "..."), ".")
	if !pathExists(page, name) {
		return "no such file or folder"
	}
	return ""
}

func fileProblem(x *sourceIndex, page, name string) string {
	if !strings.Contains(name, "/") && x.files[name] || pathExists(page, name) {
		return ""
	}
	return "no such file"
}

func linkProblem(_ *sourceIndex, page, name string) string {
	if _, err := os.Stat(filepath.Join(filepath.Dir(page), name)); err != nil {
		return "the target of the link doesn't exist"
	}
	return ""
}

func flagProblem(x *sourceIndex, _, name string) string {
	if name != "--help" && !x.flags[name] {
		return "no command has this flag"
	}
	return ""
}

// goTestFlags lists the flags of the go command that pages may use.
var goTestFlags = map[string]bool{
	"-run": true, "-bench": true, "-benchtime": true, "-count": true, "-p": true, "-race": true,
}

func testFlagProblem(x *sourceIndex, _, name string) string {
	if !goTestFlags[name] && !x.flags[name] {
		return "no test has this flag"
	}
	return ""
}

// literalProblem checks names of rules, settings and fields of the overview. They appear in the sources as
// literals or field tags.
func literalProblem(x *sourceIndex, _, name string) string {
	return unlessKnown(x.literals, name, "no rule, setting or field has this name")
}

func variableProblem(x *sourceIndex, _, name string) string {
	return unlessKnown(x.literals, name, "nothing reads this variable")
}

// commandProblem checks that the packages, tools, tests and flags in a command of the go tool exist.
func commandProblem(x *sourceIndex, page, command string) string {
	words := strings.Fields(command)
	packages := 0
	for i, word := range words[2:] {
		before := words[i+1]
		switch {
		case words[1] == "tool" && i == 0:
			if !toolExists(word) {
				return "go.mod has no tool " + word
			}
		case strings.HasPrefix(word, "./"):
			packages++
			if problem := packageProblem(word); problem != "" {
				return problem
			}
		case words[1] == "test" && strings.HasPrefix(word, "-"):
			flag, _, _ := strings.Cut(word, "=")
			if problem := testFlagProblem(x, page, flag); problem != "" {
				return flag + ": " + problem
			}
		case before == "-bench" && word != ".":
			if !x.declared["Benchmark"+word] {
				return "no benchmark is called " + word
			}
		}
	}
	if packages == 0 {
		return "it names no package"
	}
	return ""
}

// packageProblem describes what is wrong with a package argument of the go command.
func packageProblem(pattern string) string {
	folder, all := strings.CutSuffix(pattern, "/...")
	folder = filepath.Join(repository, folder)
	if !all {
		if files, _ := filepath.Glob(filepath.Join(folder, "*.go")); len(files) == 0 {
			return "no Go files in " + pattern
		}
		return ""
	}
	if _, err := os.Stat(folder); err != nil {
		return "no such folder: " + pattern
	}
	return ""
}

// toolExists reports whether go.mod declares a tool.
func toolExists(name string) bool {
	module, err := os.ReadFile(filepath.Join(repository, "go.mod"))
	declaration := regexp.MustCompile(fmt.Sprintf(`(?m)^\t\S*/%s$`, regexp.QuoteMeta(name)))
	return err == nil && declaration.Match(module)
}
