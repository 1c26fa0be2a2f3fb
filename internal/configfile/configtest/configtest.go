// Package configtest has checks for the tests of all configuration files.
package configtest

import (
	"errors"
	"os"
	"strings"
	"testing"

	"postpoint/internal/configfile"
)

// Fault is a change that makes a valid file invalid.
type Fault struct {
	Old, New string
	// Field is the part of the error message that names the invalid field. It is empty if the change is a
	// syntax error.
	Field string
}

// ReadExample returns the text of a file under deploy/. It works in the tests of packages directly under
// internal/.
func ReadExample(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Replace returns text with the first occurrence of old replaced. It fails the test if that changes nothing.
func Replace(t *testing.T, text, old, replacement string) string {
	t.Helper()
	changed := strings.Replace(text, old, replacement, 1)
	if changed == text {
		t.Fatalf("replacing %q by %q changes nothing in the valid file", old, replacement)
	}
	return changed
}

// RequireRejected fails the test unless parse rejects the valid text with each of the faults, one at a time,
// with a typed error that names the field.
func RequireRejected(t *testing.T, valid string, faults []Fault, parse func(raw []byte) error) {
	t.Helper()
	for _, fault := range faults {
		err := parse([]byte(Replace(t, valid, fault.Old, fault.New)))
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
