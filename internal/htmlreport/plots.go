package htmlreport

import (
	"bytes"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	pictureWidth  = 22 * vg.Centimeter
	pictureHeight = 11 * vg.Centimeter
	barWidth      = 6 // in points
)

// Series is a named line of a plot.
type Series struct {
	Name   string
	Points plotter.XYs
	// Steps draws each value as constant up to the next point.
	Steps bool
}

// Bar is one row of a plot of time spans.
type Bar struct {
	Name     string
	From, To float64
	// ColorIndex selects the colour: bars with the same index have the same colour.
	ColorIndex int
}

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
	return r.addPicture(heading, text, p)
}

// Spans adds a section with a plot of time spans. It has a row for each bar, the first at the top.
func (r *Report) Spans(heading, text, xLabel string, bars []Bar) error {
	p := plot.New()
	p.X.Label.Text = xLabel
	names := make([]string, len(bars))
	for i, b := range bars {
		row := len(bars) - 1 - i
		names[row] = b.Name
		y := float64(row)
		line, err := plotter.NewLine(plotter.XYs{{X: b.From, Y: y}, {X: b.To, Y: y}})
		if err != nil {
			return err
		}
		line.Color, line.Width = plotutil.Color(b.ColorIndex), vg.Points(barWidth)
		p.Add(line)
	}
	p.NominalY(names...)
	return r.addPicture(heading, text, p)
}

// addPicture draws a plot as SVG and adds a section with it.
func (r *Report) addPicture(heading, text string, p *plot.Plot) error {
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

// Distribution returns the cumulative distribution of sorted values as a series for Lines.
func Distribution(name string, sorted []float64) Series {
	s := Series{Name: name, Steps: true, Points: plotter.XYs{{}}}
	for i, x := range sorted {
		s.Points = append(s.Points, plotter.XY{X: x, Y: float64(i+1) / float64(len(sorted))})
	}
	return s
}
