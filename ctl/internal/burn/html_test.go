package burn

import (
	"encoding/xml"
	"errors"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	testService = "orders"
	testTarget  = 0.99
	testPoints  = 90
)

// plotPage returns the page of a history whose burn rate of each minute is rate(minute).
func plotPage(t *testing.T, rate func(minute int) float64) string {
	t.Helper()
	start := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	h := &History{}
	for i := range testPoints {
		from := start.Add(time.Duration(i) * time.Minute)
		bad := rate(i) * (1 - testTarget) * 1000
		h.Points = append(h.Points, Point{From: from, To: from.Add(time.Minute), Events: Counters{testService: {Answered: {Good: 1000 - bad, Total: 1000}}}})
	}
	var out strings.Builder
	now := start.Add(testPoints * time.Minute)
	if err := h.WriteHTML(&out, now, []ObjectiveStatus{h.objectiveStatus(now, testService, Answered, testTarget)}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// plotText is a text of a plot and its position in pixels.
type plotText struct {
	x, y float64
	text string
}

var (
	svgPattern    = regexp.MustCompile(`(?s)<svg .*?</svg>`)
	numberPattern = regexp.MustCompile(`-?[0-9.]+(e[-+]?[0-9]+)?`)
)

// parsePlot returns the coordinates of all paths of the only plot of a page, and its
// texts.
func parsePlot(t *testing.T, page string) (xs, ys []float64, texts []plotText) {
	t.Helper()
	plots := svgPattern.FindAllString(page, -1)
	if len(plots) != 1 {
		t.Fatalf("got %d plots, want one", len(plots))
	}
	decoder := xml.NewDecoder(strings.NewReader(plots[0]))
	var text *plotText
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return xs, ys, texts
		}
		if err != nil {
			t.Fatal(err)
		}
		switch e := token.(type) {
		case xml.StartElement:
			attributes := map[string]string{}
			for _, a := range e.Attr {
				attributes[a.Name.Local] = a.Value
			}
			for i, n := range numberPattern.FindAllString(attributes["d"], -1) {
				if i%2 == 0 {
					xs = append(xs, parseNumber(t, n))
				} else {
					ys = append(ys, parseNumber(t, n))
				}
			}
			if e.Name.Local == "text" {
				text = &plotText{x: parseNumber(t, attributes["x"]), y: parseNumber(t, attributes["y"])}
			}
		case xml.CharData:
			if text != nil {
				text.text += string(e)
			}
		case xml.EndElement:
			if e.Name.Local == "text" {
				texts = append(texts, *text)
				text = nil
			}
		}
	}
}

func parseNumber(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a value axis outside of the picture: the ticks of an axis that no series
// uses had positions that were not finite, and so depended on the processor.
func TestPlotShowsItsValueAxis(t *testing.T) {
	for name, rate := range map[string]func(int) float64{
		"zero":     func(int) float64 { return 0 },
		"constant": func(int) float64 { return 3 },
		"rising":   func(minute int) float64 { return 20 * float64(minute) / (testPoints - 1) },
		"once":     func(minute int) float64 { return map[int]float64{40: 100}[minute] },
	} {
		t.Run(name, func(t *testing.T) {
			xs, ys, texts := parsePlot(t, plotPage(t, rate))
			var labels []string
			for _, text := range texts {
				xs, ys = append(xs, text.x), append(ys, text.y)
				if _, err := strconv.ParseFloat(text.text, 64); err == nil {
					labels = append(labels, text.text)
				}
			}
			for _, x := range xs {
				if !(x >= 0 && x <= chartWidth) {
					t.Errorf("x coordinate %v lies outside of the picture", x)
				}
			}
			for _, y := range ys {
				if !(y >= 0 && y <= chartHeight) {
					t.Errorf("y coordinate %v lies outside of the picture", y)
				}
			}
			slices.Sort(labels)
			if distinct := len(slices.Compact(slices.Clone(labels))); distinct < 3 || distinct != len(labels) {
				t.Errorf("value axis has the labels %v, want at least three, all different", labels)
			}
			if len(xs) < testPoints/2 {
				t.Errorf("plot has %d points, want the series", len(xs))
			}
		})
	}
}

// Guards against a plot of points at one time, whose time axis is empty.
func TestPointsAtOneTimeAreNotPlotted(t *testing.T) {
	at := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	h := &History{}
	for range 3 {
		h.Points = append(h.Points, Point{From: at, To: at, Events: Counters{testService: {Answered: {Good: 9, Total: 10}}}})
	}
	var out strings.Builder
	if err := h.WriteHTML(&out, at, []ObjectiveStatus{h.objectiveStatus(at, testService, Answered, testTarget)}); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<svg") {
		t.Error("points at one time were plotted")
	}
}

// Guards against a metric without a finite value that ends up in the history, which then
// cannot be written, or in a plot.
func TestValuesThatAreNotFinite(t *testing.T) {
	for _, value := range []string{"NaN", "+Inf", "-Inf"} {
		text := readsMetric + `{service="` + testService + `",target="replica"} ` + value + "\n"
		if got, err := Parse(strings.NewReader("# TYPE "+readsMetric+" counter\n"+text), nil); !errors.Is(err, ErrNotFinite) {
			t.Errorf("value %s: got %v and error %v, want ErrNotFinite", value, got, err)
		}
	}
	for _, e := range []Events{{Good: math.NaN(), Total: 1}, {Good: 1, Total: math.Inf(1)}, {Good: math.Inf(-1), Total: 1}} {
		if got := burnRate(e, testTarget); got != nil {
			t.Errorf("burn rate of %+v is %v, want none", e, *got)
		}
	}
}
