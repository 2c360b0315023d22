// Package report draws runs of the laboratory: one HTML page that needs nothing else, and its plots as PNG. It reads
// the entries of one run, or of several side by side.
package report

import (
	"bytes"
	_ "embed" // the page's template
	"encoding/base64"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"time"

	"docksail/internal/lab/eventlog"
)

const (
	pageFile = "report.html"

	directoryMode = 0o755
	fileMode      = 0o644
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// RunEntries are the entries of a run under a name.
type RunEntries struct {
	Name    string
	Entries []eventlog.Entry
}

// pageRun is a run on the page.
type pageRun struct {
	Name     string
	Duration time.Duration
	Rows     []classRow
	Faults   []faultPeriod
	Plots    []pagePlot
}

// pagePlot is a plot on the page.
type pagePlot struct {
	Caption string
	Source  template.URL // the picture itself, as a data URL
}

// WriteReport draws runs side by side into a directory: report.html, which needs nothing else, and each plot as PNG.
// It returns a *NothingToDrawError if the entries of a run have no request.
func WriteReport(directory string, runs []RunEntries) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	var pageRuns []pageRun
	for i, run := range runs {
		shown, err := drawRun(directory, i+1, run)
		if err != nil {
			return err
		}
		pageRuns = append(pageRuns, shown)
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, pageRuns); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, pageFile), page.Bytes(), fileMode)
}

// drawRun writes the plots of the run with that number and returns what the page shows of it.
func drawRun(directory string, number int, run RunEntries) (pageRun, error) {
	data, err := newRunData(run)
	if err != nil {
		return pageRun{}, err
	}
	plots, err := data.plots()
	if err != nil {
		return pageRun{}, err
	}
	shown := pageRun{
		Name: run.Name, Duration: time.Duration(data.duration * 1e9).Round(time.Second),
		Rows: data.classRows(), Faults: data.faults,
	}
	for _, p := range plots {
		file := filepath.Join(directory, fmt.Sprintf("%d-%s.png", number, p.name))
		if err := os.WriteFile(file, p.png, fileMode); err != nil {
			return pageRun{}, err
		}
		source := template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(p.png))
		shown.Plots = append(shown.Plots, pagePlot{p.caption, source})
	}
	return shown, nil
}
