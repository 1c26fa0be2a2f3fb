// Package htmlreport builds self-contained HTML pages of measurements: text, tables, and plots, which gonum's
// plot library draws as inline SVG pictures.
//
// The package owns the layout of a page and the style of its plots. It takes no measurements, computes no
// statistics except a distribution, and doesn't know the meaning of the numbers. Its caller is cmd/loadtool.
package htmlreport

import (
	"bytes"
	_ "embed" // the page's template
	"html/template"
	"os"
)

// Report is the content of a page. Callers add sections to it and then write it to a file.
type Report struct {
	Title    string
	Sections []Section
}

// Section is one part of a page. The page omits empty fields.
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

// Table adds a section with a text and a table below it.
func (r *Report) Table(heading, text string, header []string, rows [][]string) {
	r.Sections = append(r.Sections, Section{Heading: heading, Text: text, Header: header, Rows: rows})
}

// pageMode lets all users read the page.
const pageMode = 0o644

// Write renders the page and writes it to a file.
func (r *Report) Write(file string) error {
	var page bytes.Buffer
	if err := layout.Execute(&page, r); err != nil {
		return err
	}
	return os.WriteFile(file, page.Bytes(), pageMode)
}

//go:embed page.html
var layoutText string

// layout is the template of a page.
var layout = template.Must(template.New("report").Parse(layoutText))
