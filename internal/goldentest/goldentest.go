// Package goldentest helps tests to compare messages and stored records with recorded bytes. The recorded
// bytes define the formats: they change only together with a new format version.
package goldentest

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// Equal fails the test unless the encoded form equals the recorded one, byte for byte.
func Equal(t testing.TB, name string, encoded []byte, recorded string) {
	t.Helper()
	if string(encoded) != recorded {
		t.Errorf("%s: encoded as\n%s, recorded as\n%s", name, quote(encoded), quote([]byte(recorded)))
	}
}

// quote returns bytes as a string literal that escapes everything except printable ASCII.
func quote(raw []byte) string {
	var b strings.Builder
	for _, c := range raw {
		switch {
		case c == '"' || c == '\\':
			b.WriteString(`\` + string(rune(c)))
		case c >= ' ' && c <= '~':
			b.WriteByte(c)
		default:
			fmt.Fprintf(&b, `\x%02x`, c)
		}
	}
	return `"` + b.String() + `"`
}

// RequireFieldsSet fails the test if an exported field of a struct, or of a struct within it, has its zero
// value: the encoded form may omit such a field, and the comparison then can't detect a change of its format.
func RequireFieldsSet(t testing.TB, name string, value any) {
	t.Helper()
	requireFieldsSet(t, name, reflect.ValueOf(value))
}

// requireFieldsSet checks the value at a path.
func requireFieldsSet(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireFieldsSet(t, path, v.Elem())
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		if v.Len() > 0 && v.Type().Elem().Kind() == reflect.Struct {
			requireFieldsSet(t, path+"[0]", v.Index(0))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				requireFieldsSet(t, path+"."+f.Name, v.Field(i))
			}
		}
	}
}

// RequireTags fails the test if an exported field of a struct, or of one of this module's structs within it,
// has no name in the tag with the given key: its Go name would be on the wire or in stored records. Embedded
// structs need no name, because the encoding contains only their fields.
func RequireTags(t testing.TB, tag string, values ...any) {
	t.Helper()
	seen := map[reflect.Type]bool{}
	for _, value := range values {
		requireTags(t, tag, reflect.TypeOf(value), seen)
	}
	if len(seen) < len(values) {
		t.Errorf("found %d structs in %d values, want at least one for each", len(seen), len(values))
	}
}

// requireTags checks a type unless it has been seen.
func requireTags(t testing.TB, tag string, typ reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		requireTags(t, tag, typ.Elem(), seen)
		return
	case reflect.Struct:
	default:
		return
	}
	if seen[typ] || !strings.HasPrefix(typ.PkgPath(), modulePrefix) {
		return
	}
	seen[typ] = true
	for i := range typ.NumField() {
		f := typ.Field(i)
		if f.Anonymous || f.IsExported() {
			if name, _, _ := strings.Cut(f.Tag.Get(tag), ","); name == "" && !f.Anonymous {
				t.Errorf("%s.%s has no name in a tag %q", typ, f.Name, tag)
			}
			requireTags(t, tag, f.Type, seen)
		}
	}
}

// modulePrefix is the prefix of the import paths of this module's packages.
const modulePrefix = "postpoint/"
