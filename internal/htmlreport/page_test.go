package htmlreport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gonum.org/v1/plot/plotter"
)

// A page contains its texts and tables, escaped, and its plots as pictures, and refers to no other file.
func TestPageStandsByItself(t *testing.T) {
	r := Report{Title: "Title"}
	r.Text("First", "text <&>")
	r.Table("Second", "", []string{"a", "b"}, [][]string{{"1", "<2>"}})
	line := Series{Name: "line", Points: plotter.XYs{{X: 0, Y: 0}, {X: 1, Y: 2}}}
	if err := r.Lines("Third", "", "x", "y", line, Distribution("share", []float64{1, 2})); err != nil {
		t.Fatal(err)
	}
	bars := []Bar{{Name: "upper", From: 0, To: 2}, {Name: "lower", From: 1, To: 3, ColorIndex: 1}}
	if err := r.Spans("Fourth", "", "x", bars); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "report.html")
	if err := r.Write(file); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"<h1>Title</h1>", "text &lt;&amp;&gt;", "<th>b</th>", "<td>&lt;2&gt;</td>", "line", "share", "upper",
		"lower",
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if pictures := strings.Count(string(page), "<svg"); pictures != 2 {
		t.Errorf("the page has %d pictures, want 2", pictures)
	}
	for _, reference := range []string{"<?xml", "<img", "<link", "<script"} {
		if strings.Contains(string(page), reference) {
			t.Errorf("the page contains %q, want no references to other files", reference)
		}
	}
}

// A distribution begins at zero and rises to one, by the same step at each value.
func TestDistributionRisesToOne(t *testing.T) {
	points := Distribution("share", []float64{1, 4, 4, 9}).Points
	want := plotter.XYs{{X: 0, Y: 0}, {X: 1, Y: 0.25}, {X: 4, Y: 0.5}, {X: 4, Y: 0.75}, {X: 9, Y: 1}}
	if len(points) != len(want) {
		t.Fatalf("points %v, want %v", points, want)
	}
	for i, point := range points {
		if point != want[i] {
			t.Errorf("point %d is %v, want %v", i, point, want[i])
		}
	}
}
