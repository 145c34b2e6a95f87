package burn

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
)

//go:generate npm install --prefix assets --no-package-lock
//go:generate cp assets/node_modules/echarts/dist/echarts.common.min.js assets/
//go:generate cp assets/node_modules/echarts/LICENSE assets/LICENSE-echarts
//go:generate cp assets/node_modules/echarts/NOTICE assets/NOTICE-echarts
//go:generate rm -r assets/node_modules

// echartsJS is the script that draws the charts. The page holds it, so that it
// can be read without a network.
//
//go:embed assets/echarts.common.min.js
var echartsJS string

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

const (
	// chartWindow is the window of the plotted rates.
	chartWindow = time.Hour
	// chartServices bounds the lines of a chart to the worst services.
	chartServices = 10
)

// chart is a plot of one objective.
type chart struct {
	ID      string
	Options template.JS
}

// page is the content of the HTML report.
type page struct {
	At      string
	Script  template.JS
	Windows []string
	Lines   []pageLine
	Charts  []chart
}

// pageLine is a row of the table.
type pageLine struct {
	Line
	Burns []string
}

// WriteHTML writes a report as one page that loads nothing else: a table of
// all objectives, and for each kind a plot of the burn rates over an hour of
// the services that burn fastest now.
func (h *History) WriteHTML(w io.Writer, now time.Time, lines []Line) error {
	p := page{At: now.UTC().Format(time.RFC3339), Script: template.JS(echartsJS)}
	for _, window := range Windows {
		p.Windows = append(p.Windows, WindowName(window))
	}
	for _, l := range lines {
		row := pageLine{Line: l}
		for _, r := range l.Rates {
			row.Burns = append(row.Burns, r.String())
		}
		p.Lines = append(p.Lines, row)
	}
	for _, o := range Objectives {
		c, err := h.chart(o, worst(lines, o))
		if err != nil {
			return err
		}
		p.Charts = append(p.Charts, c)
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// worst returns the lines of an objective that burn fastest over the chart's window.
func worst(lines []Line, o Objective) []Line {
	lines = slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Objective != o })
	slices.SortStableFunc(lines, func(a, b Line) int {
		switch x, y := a.burnOver(chartWindow), b.burnOver(chartWindow); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return lines[:min(len(lines), chartServices)]
}

// burnOver returns the rate over a window, 0 if there is none.
func (l Line) burnOver(window time.Duration) float64 {
	for _, r := range l.Rates {
		if r.Window.Std() == window && r.Burn != nil {
			return *r.Burn
		}
	}
	return 0
}

// chart plots the lines of an objective.
func (h *History) chart(o Objective, lines []Line) (chart, error) {
	plot := charts.NewLine()
	plot.SetGlobalOptions(
		charts.WithInitializationOpts(opts.Initialization{ChartID: string(o)}),
		charts.WithTitleOpts(opts.Title{Title: fmt.Sprintf("Burn rate of %s over %s", o, WindowName(chartWindow))}),
		charts.WithXAxisOpts(opts.XAxis{Type: "time"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "burn rate"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Type: "scroll", Top: "30"}),
	)
	for _, l := range lines {
		plot.AddSeries(l.Service, h.series(l), charts.WithLineChartOpts(opts.LineChart{ShowSymbol: opts.Bool(false)}))
	}
	plot.Validate()
	encoded, err := json.Marshal(plot.JSON())
	if err != nil {
		return chart{}, fmt.Errorf("report: %w", err)
	}
	return chart{ID: string(o), Options: template.JS(encoded)}, nil
}

// series returns the rates of a line at the time of each scrape.
func (h *History) series(l Line) []opts.LineData {
	var out []opts.LineData
	first := 0
	var events Events
	for _, p := range h.Points {
		e := p.Events[l.Service][l.Objective]
		events.Good += e.Good
		events.Total += e.Total
		for p.To.Sub(h.Points[first].middle()) > chartWindow {
			left := h.Points[first].Events[l.Service][l.Objective]
			events.Good -= left.Good
			events.Total -= left.Total
			first++
		}
		if burn := rate(events, l.Promised); burn != nil {
			out = append(out, opts.LineData{Value: []any{p.To.UnixMilli(), *burn}})
		}
	}
	return out
}
