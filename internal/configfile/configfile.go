// Package configfile reads and validates configuration files: the platform's settings (JSON), the cells file
// and the zone-recovery file (both TOML). It owns decoding, validation by struct tags, and the typed errors
// that name file, field and value. It doesn't know the meaning of fields: its callers, the packages settings,
// cells and zonerecovery, validate fields against each other.
package configfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads the file at path and parses its text. It adds the file's name to errors of parse.
func Load[T any](path string, parse func(raw []byte) (T, error)) (T, error) {
	var none T
	raw, err := os.ReadFile(path)
	if err != nil {
		return none, err // the error names the file already
	}
	contents, err := parse(raw)
	if err != nil {
		return none, withFile(path, err)
	}
	return contents, nil
}

// DecodeJSON decodes raw into contents, a pointer to a struct, and validates it by its tags. It ignores
// unknown fields: the platform's settings may have fields that this version doesn't know.
func DecodeJSON(raw []byte, contents any) error {
	if err := json.Unmarshal(raw, contents); err != nil {
		return jsonError(raw, err)
	}
	return validate(contents, "json")
}

// DecodeTOML decodes raw into contents, a pointer to a struct, and validates it by its tags. It rejects
// unknown fields: operators write these files by hand, and a misspelled field would have no effect without
// notice.
func DecodeTOML(raw []byte, contents any) error {
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(contents); err != nil {
		return tomlError(err)
	}
	return validate(contents, "toml")
}

// jsonError converts an error of the JSON decoder to a FieldError or a SyntaxError if it can.
func jsonError(raw []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		problem := fmt.Sprintf("a JSON %s where %s is expected", wrongType.Value, kindName(wrongType.Type))
		return &FieldError{Field: wrongType.Field, Problem: problem}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line, column := position(raw, syntax.Offset)
		return &SyntaxError{Line: line, Column: column, Err: err}
	}
	return err
}

// tomlError converts an error of the TOML decoder to a FieldError or a SyntaxError if it can.
func tomlError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return &FieldError{Field: strings.Join(unknown.Errors[0].Key(), "."), Problem: "unknown field"}
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err
	}
	line, column := decode.Position()
	if key := decode.Key(); len(key) > 0 {
		return &FieldError{Field: strings.Join(key, "."), Problem: fmt.Sprintf("%v (line %d)", decode, line)}
	}
	return &SyntaxError{Line: line, Column: column, Err: err}
}

// kindName returns the name of a Go type's JSON counterpart.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return t.String()
}

// position converts the byte offset of a JSON syntax error into line and column, both counted from one. The
// offset is that of the byte after the invalid one.
func position(raw []byte, offset int64) (line, column int) {
	before := raw[:max(0, min(offset-1, int64(len(raw))))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
