// Package report writes what was measured as a page that stands by itself: tables, and plots
// drawn by gonum's plot library as pictures inside the page.
package report

import (
	"bytes"
	"html/template"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Report is a page in the making.
type Report struct {
	Title    string
	Sections []Section
}

// Section is one part of a page; what is empty is left out.
type Section struct {
	Heading string
	Text    string
	Header  []string
	Rows    [][]string
	Picture template.HTML
}

// Series is a named line of a plot.
type Series struct {
	Name   string
	Points plotter.XYs
	Steps  bool // the value holds until the next point
}

// Text adds a section of text.
func (r *Report) Text(heading, text string) {
	r.Sections = append(r.Sections, Section{Heading: heading, Text: text})
}

// Table adds a section with a table.
func (r *Report) Table(heading, text string, header []string, rows [][]string) {
	r.Sections = append(r.Sections, Section{Heading: heading, Text: text, Header: header, Rows: rows})
}

const (
	pictureWidth  = 22 * vg.Centimeter
	pictureHeight = 11 * vg.Centimeter
)

// Lines adds a section with a plot of lines.
func (r *Report) Lines(heading, text, xLabel, yLabel string, series ...Series) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = xLabel, yLabel
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	for i, s := range series {
		line, err := plotter.NewLine(s.Points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		if s.Steps {
			line.StepStyle = plotter.PostStep
		}
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return r.picture(heading, text, p)
}

// Bar is one bar of a span plot: something that lasted.
type Bar struct {
	Name     string
	From, To float64
	Kind     int // bars of a kind have one colour
}

// Spans adds a section with a plot of what lasted from when to when, a row for each bar.
func (r *Report) Spans(heading, text, xLabel string, bars []Bar) error {
	p := plot.New()
	p.X.Label.Text = xLabel
	names := make([]string, len(bars))
	for i, b := range bars {
		names[len(bars)-1-i] = b.Name
		y := float64(len(bars) - 1 - i)
		line, err := plotter.NewLine(plotter.XYs{{X: b.From, Y: y}, {X: b.To, Y: y}})
		if err != nil {
			return err
		}
		line.Color, line.Width = plotutil.Color(b.Kind), vg.Points(barWidth)
		p.Add(line)
	}
	p.NominalY(names...)
	return r.picture(heading, text, p)
}

const barWidth = 6

func (r *Report) picture(heading, text string, p *plot.Plot) error {
	canvas := vgsvg.New(pictureWidth, pictureHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return err
	}
	_, picture, _ := bytes.Cut(svg.Bytes(), []byte("?>")) // without the XML header
	r.Sections = append(r.Sections, Section{Heading: heading, Text: text, Picture: template.HTML(picture)})
	return nil
}

// Distribution is the share of values up to each of them, for a plot of lines.
func Distribution(name string, sorted []float64) Series {
	s := Series{Name: name, Steps: true, Points: plotter.XYs{{}}}
	for i, x := range sorted {
		s.Points = append(s.Points, plotter.XY{X: x, Y: float64(i+1) / float64(len(sorted))})
	}
	return s
}

// Write makes the file.
func (r *Report) Write(file string) error {
	var page bytes.Buffer
	if err := layout.Execute(&page, r); err != nil {
		return err
	}
	return os.WriteFile(file, page.Bytes(), 0o644)
}

var layout = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { border: 1px solid #ccc; padding: .2em .7em; text-align: right }
td:first-child, th:first-child { text-align: left }
svg { max-width: 100%; height: auto }
</style></head><body><h1>{{.Title}}</h1>
{{range .Sections}}<h2>{{.Heading}}</h2>
{{with .Text}}<p>{{.}}</p>{{end}}
{{with .Header}}<table><tr>{{range .}}<th>{{.}}</th>{{end}}</tr>
{{end}}{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}{{if .Header}}</table>{{end}}
{{.Picture}}
{{end}}</body></html>
`))
