package report

import (
	"bytes"
	"html/template"
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	barWidth   = 1.2 * vg.Centimeter
)

// bar is one bar of a plot.
type bar struct {
	label string
	value float64
	color color.Color
}

var (
	colorNow      = color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff}
	colorEarlier  = color.RGBA{R: 0x8f, G: 0xb8, B: 0xd4, A: 0xff}
	colorBaseline = color.RGBA{R: 0xc9, G: 0x6f, B: 0x4a, A: 0xff}
	colorBound    = color.RGBA{R: 0x9a, G: 0x9a, B: 0x9a, A: 0xff}
)

// drawBars draws a bar chart of a benchmark's figure, the figure of the earlier run, the baseline
// and the bound.
func drawBars(r row) (template.HTML, error) {
	bars := []bar{{"now", r.Now.Value, colorNow}}
	if r.Earlier != nil {
		bars = append(bars, bar{"earlier", r.Earlier.Value, colorEarlier})
	}
	if r.Now.Baseline != nil {
		bars = append(bars, bar{"naive baseline", *r.Now.Baseline, colorBaseline})
	}
	if r.Now.Bound != 0 {
		bars = append(bars, bar{"target or bound", r.Now.Bound, colorBound})
	}
	p := plot.New()
	p.Y.Label.Text = r.Now.Unit
	p.Y.Min = 0
	labels := make([]string, len(bars))
	for i, b := range bars {
		labels[i] = b.label
		c, err := plotter.NewBarChart(plotter.Values{b.value}, barWidth)
		if err != nil {
			return "", eris.Wrapf(err, "report: plot %s", r.Now.Bench)
		}
		c.XMin = float64(i)
		c.Color = b.color
		c.LineStyle.Width = 0
		p.Add(c)
	}
	p.NominalX(labels...)
	return renderSVG(p)
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", eris.Wrap(err, "report: write plot")
	}
	svg := out.Bytes()
	// An XML declaration is not allowed inside HTML.
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
