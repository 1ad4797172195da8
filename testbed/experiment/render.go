package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteTable writes summaries as a table of Markdown.
func WriteTable(w io.Writer, summaries []Summary) error {
	days := map[string]bool{}
	for _, s := range summaries {
		for day := range s.Days {
			days[day] = true
		}
	}
	names := slices.Sorted(maps.Keys(days))
	head := append([]string{"Site", "Version"}, names...)
	head = append(head, "Mean", "Difference", "Standard error", "Pairs", "Calls", "Downtime, s", "Stranded, VM s", "Broken", "Failed")
	rule := slices.Repeat([]string{"---"}, len(head))
	for _, row := range [][]string{head, rule} {
		if err := writeRow(w, row); err != nil {
			return err
		}
	}
	for _, s := range summaries {
		row := []string{s.Site, s.Version}
		for _, day := range names {
			row = append(row, fmt.Sprintf("%.3f", s.Days[day]))
		}
		row = append(row, fmt.Sprintf("%.3f", s.Mean), fmt.Sprintf("%+.4f", s.Difference), fmt.Sprintf("%.4f", s.Error), fmt.Sprint(s.Pairs),
			fmt.Sprintf("%.0f", s.Calls), fmt.Sprintf("%.1f", s.Downtime), fmt.Sprintf("%.0f", s.Stranded), fmt.Sprint(s.Broken), fmt.Sprint(s.Failed))
		if err := writeRow(w, row); err != nil {
			return err
		}
	}
	return nil
}

func writeRow(w io.Writer, cells []string) error {
	_, err := fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	return err
}

// Size of a plot, and the width of one bar.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = vg.Length(12)
)

// bars are the differences of one site, for a plot.
type bars struct {
	plotter.Values
	plotter.YErrors
	offset float64
}

// XY returns where an error bar stands. It implements plotter.XYer.
func (b bars) XY(i int) (x, y float64) { return float64(i) + b.offset, b.Values[i] }

// WritePlot writes the differences of all versions but the first, with twice their
// standard error, to a file whose ending says the format: .svg or .png.
func WritePlot(file string, summaries []Summary) error {
	p := plot.New()
	p.Title.Text = "Worth against " + summaries[0].Version
	p.Y.Label.Text = "difference in worth, with twice its standard error"
	p.Add(plotter.NewGrid())
	var names []string
	bySite := map[string]*bars{}
	for _, s := range summaries {
		if s.Version == summaries[0].Version {
			continue
		}
		if !slices.Contains(names, s.Version) {
			names = append(names, s.Version)
		}
		b, known := bySite[s.Site]
		if !known {
			b = &bars{}
			bySite[s.Site] = b
		}
		b.Values = append(b.Values, s.Difference)
		b.YErrors = append(b.YErrors, struct{ Low, High float64 }{2 * s.Error, 2 * s.Error})
	}
	if len(names) == 0 {
		return &EmptyPlotError{file: file}
	}
	for i, site := range slices.Sorted(maps.Keys(bySite)) {
		if err := addBars(p, site, i, len(bySite), bySite[site]); err != nil {
			return err
		}
	}
	p.NominalX(names...)
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

// addBars adds the bars of one site, beside those of the others.
func addBars(p *plot.Plot, site string, index, sites int, b *bars) error {
	chart, err := plotter.NewBarChart(b.Values, barWidth)
	if err != nil {
		return err
	}
	shift := float64(index) - float64(sites-1)/2
	chart.Offset = vg.Length(shift) * barWidth
	chart.Color = plotutil.Color(index)
	// An error bar stands where the bar does: a bar's offset is a length, its own is
	// in units of the axis.
	b.offset = shift * float64(barWidth) * float64(len(b.Values)) / float64(plotWidth)
	spread, err := plotter.NewYErrorBars(b)
	if err != nil {
		return err
	}
	p.Add(chart, spread)
	p.Legend.Add(site, chart)
	return nil
}

// EmptyPlotError tells that there is nothing to plot: one version alone.
type EmptyPlotError struct{ file string }

// Error describes the error.
func (e *EmptyPlotError) Error() string { return e.file + ": one version alone has no differences" }
