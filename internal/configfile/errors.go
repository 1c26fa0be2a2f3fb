package configfile

import (
	"errors"
	"fmt"
)

// FieldError is a field whose value can't be used.
type FieldError struct {
	File  string // "" if the text didn't come from a file
	Field string // its path, as the file spells it: cells[1].name
	// Value is the value at fault, nil if there is none.
	Value any
	// Problem says what is wrong, in words that show the value.
	Problem string
}

// Invalid returns a FieldError for a field and its value, for Load to add the file to. The problem
// completes a sentence that begins with the value.
func Invalid(field string, value any, problem string, args ...any) error {
	shown := fmt.Sprintf("%v", value)
	if text, ok := value.(string); ok {
		shown = fmt.Sprintf("%q", text)
	}
	return &FieldError{Field: field, Value: value, Problem: shown + " " + fmt.Sprintf(problem, args...)}
}

func (e *FieldError) Error() string { return inFile(e.File, e.Field+": "+e.Problem) }

// SyntaxError is text that isn't in the file's notation at all, so that no field can be named.
type SyntaxError struct {
	File         string // "" if the text didn't come from a file
	Line, Column int    // counted from one
	Err          error
}

func (e *SyntaxError) Error() string {
	return inFile(e.File, fmt.Sprintf("line %d, column %d: %v", e.Line, e.Column, e.Err))
}

// Unwrap returns the decoder's own error.
func (e *SyntaxError) Unwrap() error { return e.Err }

func inFile(file, text string) string {
	if file == "" {
		return text
	}
	return file + ": " + text
}

// withFile names the file in an error of its text.
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
