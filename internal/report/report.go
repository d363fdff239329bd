// Package report writes the figures of benchmarks as an HTML page with plots. It can compare
// them with the figures of an earlier version.
package report

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/internal/bench"
	"github.com/rotisserie/eris"
)

// Run holds the figures of one version.
type Run struct {
	// Version is the name of the version that was measured.
	Version string         `json:"version"`
	At      time.Time      `json:"at"`
	Figures []bench.Figure `json:"figures"`
	// Failures are the benchmarks that produced no figure.
	Failures []Failure `json:"failures,omitempty"`
}

// Failure is a benchmark that produced no figure, and the reason.
type Failure struct {
	Bench  string `json:"bench"`
	Reason string `json:"reason"`
}

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{"number": number}).Parse(pageText))

// number formats a figure; it returns "" for a missing one.
func number(v any) string {
	switch v := v.(type) {
	case float64:
		return fmt.Sprintf("%.4g", v)
	case *float64:
		if v != nil {
			return fmt.Sprintf("%.4g", *v)
		}
	}
	return ""
}

// row is one benchmark on the page.
type row struct {
	Now     bench.Figure
	Earlier *bench.Figure
	Plot    template.HTML
	Details []detail
}

// detail is an additional figure of a benchmark.
type detail struct {
	Name    string
	Now     float64
	Earlier *float64
}

// view is the data of the page template.
type view struct {
	Now     Run
	Earlier *Run
	Rows    []row
}

// Write writes the page. With a nil earlier run, it compares nothing.
func Write(w io.Writer, now Run, earlier *Run) error {
	v := view{Now: now, Earlier: earlier}
	for _, f := range now.Figures {
		r := row{Now: f, Earlier: findFigure(earlier, f.Bench)}
		svg, err := drawBars(r)
		if err != nil {
			return err
		}
		r.Plot = svg
		r.Details = details(r)
		v.Rows = append(v.Rows, r)
	}
	return eris.Wrap(page.Execute(w, v), "report: write page")
}

func findFigure(r *Run, name string) *bench.Figure {
	if r == nil {
		return nil
	}
	i := slices.IndexFunc(r.Figures, func(f bench.Figure) bool { return f.Bench == name })
	if i < 0 {
		return nil
	}
	return &r.Figures[i]
}

func details(r row) []detail {
	var out []detail
	for name, value := range r.Now.Details {
		d := detail{Name: name, Now: value}
		if r.Earlier != nil {
			if old, ok := r.Earlier.Details[name]; ok {
				d.Earlier = &old
			}
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b detail) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Read reads a run that Save wrote.
func Read(r io.Reader) (Run, error) {
	var run Run
	err := json.NewDecoder(r).Decode(&run)
	return run, eris.Wrap(err, "report: read run")
}

// Save writes a run as JSON, so that later runs can be compared with it.
func Save(w io.Writer, run Run) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(run), "report: save run")
}
