package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html"
	"html/template"
	"io"
	"slices"
	"time"

	gochart "github.com/wcharczuk/go-chart/v2"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

const (
	// chartWindow is the window over which the plotted burn rates are computed.
	chartWindow = time.Hour
	// maxChartSeries limits the series of a chart to the services with the highest
	// burn rates.
	maxChartSeries = 10
	// chartWidth is the width of a chart in pixels.
	chartWidth = 900
	// chartHeight is the height of a chart in pixels.
	chartHeight = 360
)

// chart is a plot of the burn rates of one objective.
type chart struct {
	Title string
	// SVG is empty if the history holds too few points to plot.
	SVG template.HTML
}

// page is the data of the HTML report, which page.html renders.
type page struct {
	At      string
	Windows []string
	Rows    []tableRow
	Charts  []chart
}

// tableRow is a row of the table in the HTML report.
type tableRow struct {
	ObjectiveStatus
	// Burns holds the formatted burn rate of each window.
	Burns []string
}

// WriteHTML writes a report as a self-contained HTML page that loads no other
// resources. It has a table of all objectives and, for each kind of objective, a
// plot of the one-hour burn rates of the services with the highest current rates.
func (h *History) WriteHTML(w io.Writer, now time.Time, statuses []ObjectiveStatus) error {
	p := page{At: now.UTC().Format(time.RFC3339)}
	for _, window := range Windows {
		p.Windows = append(p.Windows, WindowName(window))
	}
	for _, l := range statuses {
		row := tableRow{ObjectiveStatus: l}
		for _, r := range l.Rates {
			row.Burns = append(row.Burns, r.String())
		}
		p.Rows = append(p.Rows, row)
	}
	for _, o := range Objectives {
		c, err := h.chart(o, fastestBurning(statuses, o))
		if err != nil {
			return err
		}
		p.Charts = append(p.Charts, c)
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("render HTML report: %w", err)
	}
	return nil
}

// fastestBurning returns the statuses of an objective with the highest burn rates over
// the window of the chart, in descending order.
func fastestBurning(statuses []ObjectiveStatus, o Objective) []ObjectiveStatus {
	statuses = slices.DeleteFunc(slices.Clone(statuses), func(l ObjectiveStatus) bool { return l.Objective != o })
	slices.SortStableFunc(statuses, func(a, b ObjectiveStatus) int {
		switch x, y := a.burnRateOver(chartWindow), b.burnRateOver(chartWindow); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return statuses[:min(len(statuses), maxChartSeries)]
}

// burnRateOver returns the burn rate over a window, or 0 if there were no events.
func (l ObjectiveStatus) burnRateOver(window time.Duration) float64 {
	for _, r := range l.Rates {
		if r.Window.Std() == window && r.Burn != nil {
			return *r.Burn
		}
	}
	return 0
}

// chart plots the burn rates of an objective, one series per service.
func (h *History) chart(o Objective, statuses []ObjectiveStatus) (chart, error) {
	c := chart{Title: fmt.Sprintf("Burn rate of %s over %s", o, WindowName(chartWindow))}
	plot := gochart.Chart{
		Width:  chartWidth,
		Height: chartHeight,
		XAxis:  gochart.XAxis{ValueFormatter: formatTime},
		YAxis:  gochart.YAxis{Name: "burn rate"},
		// No series uses this axis, so its range is empty and the positions of its ticks
		// would not be finite.
		YAxisSecondary: gochart.YAxis{Style: gochart.Hidden()},
	}
	highest := 1.0
	for _, l := range statuses {
		series := h.series(l)
		if spansTime(series.XValues) {
			plot.Series = append(plot.Series, series)
			highest = max(highest, slices.Max(series.YValues))
		}
	}
	if len(plot.Series) == 0 {
		return c, nil
	}
	plot.YAxis.Range = &gochart.ContinuousRange{Min: 0, Max: highest}
	plot.Elements = []gochart.Renderable{gochart.Legend(&plot)}
	var svg bytes.Buffer
	if err := plot.Render(gochart.SVG, &svg); err != nil {
		return c, fmt.Errorf("plot %s: %w", o, err)
	}
	c.SVG = template.HTML(svg.String())
	return c, nil
}

// spansTime reports whether a series can be plotted: it needs two points at different
// times.
func spansTime(times []time.Time) bool {
	return len(times) > 1 && times[len(times)-1].After(times[0])
}

// formatTime formats a value of the time axis in UTC. It returns an empty string
// for a value of another type than float64.
func formatTime(v any) string {
	at, ok := v.(float64)
	if !ok {
		return ""
	}
	return gochart.TimeFromFloat64(at).UTC().Format(time.DateTime)
}

// series returns the burn rate over the window of the chart at the time of each
// scrape.
func (h *History) series(l ObjectiveStatus) gochart.TimeSeries {
	// The chart library writes text into the SVG without escaping it.
	out := gochart.TimeSeries{Name: html.EscapeString(l.Service)}
	first := 0
	var events Events
	for _, p := range h.Points {
		e := p.Events[l.Service][l.Objective]
		events.Good += e.Good
		events.Total += e.Total
		for p.To.Sub(h.Points[first].midpoint()) > chartWindow {
			expired := h.Points[first].Events[l.Service][l.Objective]
			events.Good -= expired.Good
			events.Total -= expired.Total
			first++
		}
		if burn := burnRate(events, l.Target); burn != nil {
			out.XValues = append(out.XValues, p.To)
			out.YValues = append(out.YValues, *burn)
		}
	}
	return out
}
