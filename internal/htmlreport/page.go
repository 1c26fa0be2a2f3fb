// Package htmlreport builds HTML pages of measurements that need no other files: tables, and plots drawn
// by gonum's plot library as inline SVG pictures.
//
// It owns the layout of a page and the look of its plots. It doesn't measure, compute statistics beyond
// a distribution, or know what the figures mean. Its caller is cmd/loadtool.
package htmlreport

import (
	"bytes"
	_ "embed" // the page's template
	"html/template"
	"os"
)

// Report is a page in the making: callers add sections, then write it.
type Report struct {
	Title    string
	Sections []Section
}

// Section is one part of a page. Empty fields are left out.
type Section struct {
	Heading string
	Text    string
	Header  []string
	Rows    [][]string
	Picture template.HTML
}

// Text adds a section of text.
func (r *Report) Text(heading, text string) {
	r.Sections = append(r.Sections, Section{Heading: heading, Text: text})
}

// Table adds a section with a table under its text.
func (r *Report) Table(heading, text string, header []string, rows [][]string) {
	r.Sections = append(r.Sections, Section{Heading: heading, Text: text, Header: header, Rows: rows})
}

// pageMode lets everybody read the page.
const pageMode = 0o644

// Write writes the page to a file.
func (r *Report) Write(file string) error {
	var page bytes.Buffer
	if err := layout.Execute(&page, r); err != nil {
		return err
	}
	return os.WriteFile(file, page.Bytes(), pageMode)
}

//go:embed page.html
var layoutText string

var layout = template.Must(template.New("report").Parse(layoutText))
