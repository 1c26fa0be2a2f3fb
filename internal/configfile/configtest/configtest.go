// Package configtest has the checks that the tests of all configuration files share.
package configtest

import (
	"errors"
	"os"
	"strings"
	"testing"

	"postpoint/internal/configfile"
)

// Fault is a change of a good file that makes it a bad one.
type Fault struct {
	Old, New string
	// Field is a part of the error's text that names the field at fault. It is empty where the
	// text can't be parsed at all.
	Field string
}

// ReadExample returns the text of a file under deploy/, as seen from a package under internal/.
func ReadExample(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Replace returns text with the first old replaced by another text. It fails the test if there is
// none or the replacement changes nothing.
func Replace(t *testing.T, text, old, replacement string) string {
	t.Helper()
	changed := strings.Replace(text, old, replacement, 1)
	if changed == text {
		t.Fatalf("replacing %q by %q changes nothing in the good file", old, replacement)
	}
	return changed
}

// RequireRejected checks that parse refuses the good text with each of the faults put in, with a
// typed error that names the field.
func RequireRejected(t *testing.T, good string, faults []Fault, parse func(raw []byte) error) {
	t.Helper()
	for _, fault := range faults {
		err := parse([]byte(Replace(t, good, fault.Old, fault.New)))
		if err == nil || !strings.Contains(err.Error(), fault.Field) {
			t.Errorf("%q for %q: error %v, want one that names %q", fault.New, fault.Old, err, fault.Field)
			continue
		}
		var field *configfile.FieldError
		var syntax *configfile.SyntaxError
		if fault.Field != "" && !errors.As(err, &field) {
			t.Errorf("%q for %q: error of type %T, want a *configfile.FieldError", fault.New, fault.Old, err)
		}
		if fault.Field == "" && !errors.As(err, &syntax) {
			t.Errorf("%q for %q: error of type %T, want a *configfile.SyntaxError", fault.New, fault.Old, err)
		}
	}
}
