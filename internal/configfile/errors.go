package configfile

import (
	"errors"
	"fmt"
)

// FieldError reports a field with an invalid value.
type FieldError struct {
	File  string // "" if the text isn't from a file
	Field string // its path in the file's own names, for example cells[1].name
	// Value is the invalid value, nil if there is none.
	Value any
	// Problem describes the fault and includes the value.
	Problem string
}

// Invalid returns a FieldError for a field and its value; Load adds the file. The problem is a format that
// completes a sentence which begins with the value.
func Invalid(field string, value any, problem string, args ...any) error {
	shown := fmt.Sprintf("%v", value)
	if text, ok := value.(string); ok {
		shown = fmt.Sprintf("%q", text)
	}
	return &FieldError{Field: field, Value: value, Problem: shown + " " + fmt.Sprintf(problem, args...)}
}

// Error names the file, the field and the problem.
func (e *FieldError) Error() string { return inFile(e.File, e.Field+": "+e.Problem) }

// SyntaxError reports text that isn't valid JSON or TOML, so that the error can name a position but no field.
type SyntaxError struct {
	File         string // "" if the text isn't from a file
	Line, Column int    // counted from one
	Err          error
}

// Error names the file, the position and the decoder's error.
func (e *SyntaxError) Error() string {
	return inFile(e.File, fmt.Sprintf("line %d, column %d: %v", e.Line, e.Column, e.Err))
}

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// inFile puts the name of the file, if any, before an error's text.
func inFile(file, text string) string {
	if file == "" {
		return text
	}
	return file + ": " + text
}

// withFile adds the name of the file to an error that its text caused.
func withFile(file string, err error) error {
	var field *FieldError
	if errors.As(err, &field) {
		field.File = file
		return err
	}
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		syntax.File = file
		return err
	}
	return fmt.Errorf("%s: %w", file, err)
}
