package replayer

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"persimmontrail/pkg/descriptor"
)

// Colours from the Okabe-Ito palette, which colour-blind readers can tell apart. The lines also differ in their dashes.
var (
	guaranteedColour = color.RGBA{G: 0x72, B: 0xB2, A: 0xFF}
	baselineColour   = color.RGBA{R: 0xD5, G: 0x5E, A: 0xFF}
	targetColour     = color.RGBA{A: 0xFF}
	baselineDashes   = []vg.Length{vg.Points(5), vg.Points(3)}
	targetDashes     = []vg.Length{vg.Points(1), vg.Points(2)}
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes the plots of c to dir as PNG and SVG files whose names start with prefix, and returns their paths. Both policies
// must have been replayed.
func (c *Comparison) Plot(dir, prefix string) ([]string, error) {
	plots := map[string]func() (*plot.Plot, error){
		"utilisation": func() (*plot.Plot, error) {
			return c.plotOverTime("Utilisation", "accelerators in use (%)", utilisationPercent)
		},
		"fragmentation": func() (*plot.Plot, error) {
			return c.plotOverTime("Fragmentation", "free accelerators of no use to the largest shape (%)", fragmentationPercent)
		},
		"completion": func() (*plot.Plot, error) { return c.plotCompletionTimes(c.urgentClass()) },
	}
	var paths []string
	for _, name := range []string{"utilisation", "fragmentation", "completion"} {
		p, err := plots[name]()
		if err != nil {
			return paths, fmt.Errorf("plot %s: %w", name, err)
		}
		for _, format := range []string{"png", "svg"} {
			path := filepath.Join(dir, prefix+"-"+name+"."+format)
			if err := savePlot(p, path, format); err != nil {
				return paths, err
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

// PlotFile writes all plots of c, one below the other, to one file. The extension of the path, .png or .svg, selects the
// format. Both policies must have been replayed.
func (c *Comparison) PlotFile(path string) error {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, 3*plotHeight, format)
	if err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	var rows [][]*plot.Plot
	for _, build := range []func() (*plot.Plot, error){
		func() (*plot.Plot, error) {
			return c.plotOverTime("Utilisation", "accelerators in use (%)", utilisationPercent)
		},
		func() (*plot.Plot, error) {
			return c.plotOverTime("Fragmentation", "free accelerators of no use to the largest shape (%)", fragmentationPercent)
		},
		func() (*plot.Plot, error) { return c.plotCompletionTimes(c.urgentClass()) },
	} {
		p, err := build()
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		rows = append(rows, []*plot.Plot{p})
	}
	tiles := draw.Tiles{Rows: len(rows), Cols: 1}
	for i, canvases := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(canvases[0])
	}
	return writeFile(canvas, path)
}

func savePlot(p *plot.Plot, path, format string) error {
	w, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return writeFile(w, path)
}

func writeFile(w io.WriterTo, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err := w.WriteTo(f); err != nil {
		f.Close()
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return f.Close()
}

func utilisationPercent(s Sample) float64 { return 100 * s.Utilisation }

// fragmentationPercent returns the percentage of the free accelerators that the largest shape cannot use.
func fragmentationPercent(s Sample) float64 {
	if s.Free == 0 {
		return 0
	}
	return 100 * float64(s.Unusable) / float64(s.Free)
}

// urgentClass returns the class of OutcomeUrgentWithinTarget, or the first class if the trace does not state that outcome.
func (c *Comparison) urgentClass() descriptor.ClassID {
	for _, o := range c.Trace.Header.Outcomes {
		if o.Name == OutcomeUrgentWithinTarget {
			return o.Class
		}
	}
	if len(c.Guaranteed.Classes) > 0 {
		return c.Guaranteed.Classes[0].Class
	}
	return ""
}

func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.Legend.Top = true
	p.Legend.XOffs = -vg.Centimeter
	// The range above 100% leaves room for the legend.
	p.Y.Min, p.Y.Max = 0, 130
	p.Y.Tick.Marker = linearTicks(0, 100, 20)
	p.Add(plotter.NewGrid())
	return p
}

// linearTicks returns ticks at from, from + step and so on up to to. Their labels are rounded to whole numbers.
func linearTicks(from, to, step float64) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for v := from; v <= to; v += step {
		ticks = append(ticks, plot.Tick{Value: v, Label: fmt.Sprintf("%.0f", v)})
	}
	return ticks
}

// plotOverTime plots a value of the samples, in percent, over the hours since the start of the trace, with one line for each
// policy.
func (c *Comparison) plotOverTime(title, yLabel string, value func(Sample) float64) (*plot.Plot, error) {
	p := newPlot(title+": "+c.Trace.Header.Name, "time since the start of the trace (h)", yLabel)
	p.X.Tick.Marker = linearTicks(0, c.Trace.Header.Duration.TimeDuration().Hours(), 3)
	points := func(r *Report) plotter.XYs {
		var xys plotter.XYs
		for _, s := range r.Samples {
			xys = append(xys, plotter.XY{X: s.At.Hours(), Y: value(s)})
		}
		return xys
	}
	return p, c.addLines(p, points)
}

// plotCompletionTimes plots the cumulative distribution of the completion times of a class, and its target.
func (c *Comparison) plotCompletionTimes(class descriptor.ClassID) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("Completion time of %s: %s", class, c.Trace.Header.Name), "time from arrival to completion (s)", "completed jobs (%)")
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	points := func(r *Report) plotter.XYs {
		k := r.class(class)
		if k == nil {
			return nil
		}
		var xys plotter.XYs
		for i, t := range k.Times {
			// A logarithmic axis cannot show 0.
			xys = append(xys, plotter.XY{X: math.Max(t.Seconds(), 0.1), Y: 100 * float64(i+1) / float64(len(k.Times))})
		}
		return xys
	}
	if err := c.addLines(p, points); err != nil {
		return nil, err
	}
	k := c.Guaranteed.class(class)
	if k == nil || k.Target <= 0 {
		return p, nil
	}
	target, err := plotter.NewLine(plotter.XYs{{X: k.Target.Seconds(), Y: 0}, {X: k.Target.Seconds(), Y: 100}})
	if err != nil {
		return nil, err
	}
	target.Color, target.Dashes = targetColour, targetDashes
	p.Add(target)
	p.Legend.Add("target", target)
	return p, nil
}

// addLines adds a line for each policy to p, solid for the guaranteed one and dashed for the baseline. It returns an error if a
// policy has no points.
func (c *Comparison) addLines(p *plot.Plot, points func(*Report) plotter.XYs) error {
	for _, s := range []struct {
		name   string
		report *Report
		colour color.Color
		dashes []vg.Length
	}{
		{"guaranteed", c.Guaranteed, guaranteedColour, nil},
		{"baseline", c.Baseline, baselineColour, baselineDashes},
	} {
		xys := points(s.report)
		if len(xys) == 0 {
			return fmt.Errorf("no data for the %s policy", s.name)
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return err
		}
		line.Color, line.Dashes, line.Width = s.colour, s.dashes, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return nil
}
