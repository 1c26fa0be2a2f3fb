package simulation

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const rulesPage = repository + "/docs/rules.md"

// docs/rules.md refers to code and tests. Each function, method, type and test that it names must exist, in
// the package that it names.
func TestRulesPageNamesWhatExists(t *testing.T) {
	sources := indexSources(t)
	page := readPage(t, rulesPage)
	named := regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+)`|`(Test[A-Za-z]+)`")
	count := 0
	for _, m := range named.FindAllStringSubmatch(page, -1) {
		count++
		switch {
		case m[3] != "":
			if !sources.declared[m[3]] {
				t.Errorf("no test is called %s", m[3])
			}
		case !sources.declared[m[1]+"."+m[2]]:
			t.Errorf("package %s has no %s", m[1], m[2])
		}
	}
	if count < 100 {
		t.Errorf("only %d names were found, at least 100 expected", count)
	}
}

// Each code name, test, file, link, flag, environment variable and command in the pages must exist.
func TestPagesNameWhatExists(t *testing.T) {
	sources := indexSources(t)
	total := map[string]int{}
	for _, page := range pages(t) {
		text := readPage(t, page)
		for _, check := range pageChecks {
			for _, match := range check.pattern.FindAllStringSubmatch(text, -1) {
				name := match[len(match)-1]
				total[check.kind]++
				if problem := check.problem(sources, page, name); problem != "" {
					t.Errorf("%s names %q: %s", strings.TrimPrefix(page, repository+"/"), name, problem)
				}
			}
		}
	}
	for _, check := range pageChecks {
		t.Logf("%d names of the kind %q", total[check.kind], check.kind)
		if total[check.kind] < check.least {
			t.Errorf("only %d names of the kind %q were found, at least %d expected",
				total[check.kind], check.kind, check.least)
		}
	}
}

// pages returns the paths of the README, the change log, all pages under docs/ and the examples under
// deploy/.
func pages(t *testing.T) []string {
	t.Helper()
	all := []string{repository + "/README.md", repository + "/CHANGELOG.md"}
	for folder, extension := range map[string]string{"docs": ".md", "deploy": ".toml"} {
		collect := func(file string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(file, extension) {
				all = append(all, file)
			}
			return err
		}
		if err := filepath.WalkDir(filepath.Join(repository, folder), collect); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

func readPage(t *testing.T, file string) string {
	t.Helper()
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}
