package experiment

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// WriteTable writes summaries as a Markdown table.
func WriteTable(w io.Writer, summaries []Summary) error {
	days := map[string]bool{}
	for _, s := range summaries {
		for day := range s.Days {
			days[day] = true
		}
	}
	names := slices.Sorted(maps.Keys(days))
	header := append([]string{"Site", "Version"}, names...)
	header = append(header, "Mean", "Difference", "Standard error", "Pairs", "Calls", "Downtime, s", "Stranded, VM s", "Broken", "Failed")
	separator := slices.Repeat([]string{"---"}, len(header))
	for _, row := range [][]string{header, separator} {
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

// Sizes in a plot. siteOffset is the horizontal distance between the points of two sites,
// where that between two versions is 1.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	pointSize  = vg.Length(4)
	siteOffset = 0.12
)

// points holds the differences of one site with their error bars.
type points struct {
	plotter.XYs
	plotter.YErrors
}

// WritePlot plots the differences of all versions but the first, with error bars of two
// standard errors. The extension of the file selects the format: .svg or .png.
func WritePlot(file string, summaries []Summary) error {
	names, bySite := differences(summaries)
	if len(names) == 0 {
		return &EmptyPlotError{file: file}
	}
	p := plot.New()
	p.Title.Text = "Worth against " + summaries[0].Version
	p.Y.Label.Text = "difference in worth, with twice its standard error"
	p.Add(plotter.NewGrid())
	for i, site := range slices.Sorted(maps.Keys(bySite)) {
		shift := siteOffset * (float64(i) - float64(len(bySite)-1)/2)
		if err := addPoints(p, site, plotutil.Color(i), shift, bySite[site]); err != nil {
			return err
		}
	}
	p.NominalX(names...)
	p.X.Min = -0.5
	p.X.Max = float64(len(names)) - 0.5
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

// differences returns the names of all versions but the first and, by site, their
// differences. X is the index of the name.
func differences(summaries []Summary) (names []string, bySite map[string]*points) {
	bySite = map[string]*points{}
	for _, s := range summaries {
		if s.Version == summaries[0].Version {
			continue
		}
		i := slices.Index(names, s.Version)
		if i < 0 {
			i = len(names)
			names = append(names, s.Version)
		}
		if bySite[s.Site] == nil {
			bySite[s.Site] = &points{}
		}
		pts := bySite[s.Site]
		pts.XYs = append(pts.XYs, plotter.XY{X: float64(i), Y: s.Difference})
		pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{2 * s.Error, 2 * s.Error})
	}
	return names, bySite
}

// addPoints adds the points of one site, shifted horizontally so that they don't overlap
// those of the other sites.
func addPoints(p *plot.Plot, site string, c color.Color, shift float64, pts *points) error {
	for i := range pts.XYs {
		pts.XYs[i].X += shift
	}
	scatter, err := plotter.NewScatter(pts.XYs)
	if err != nil {
		return err
	}
	scatter.Color = c
	scatter.Radius = pointSize
	scatter.Shape = draw.CircleGlyph{}
	errorBars, err := plotter.NewYErrorBars(pts)
	if err != nil {
		return err
	}
	errorBars.Color = c
	p.Add(errorBars, scatter)
	p.Legend.Add(site, scatter)
	return nil
}

// EmptyPlotError reports that there is nothing to plot, since all summaries are of one
// version.
type EmptyPlotError struct{ file string }

// Error describes the error.
func (e *EmptyPlotError) Error() string { return e.file + ": nothing to plot with only one version" }
