// Package report renders event logs of one or several runs as a self-contained HTML page and as plots in PNG files.
package report

import (
	"bytes"
	_ "embed" // for the template of the page
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

// RunEntries holds the name and the event log entries of a run.
type RunEntries struct {
	Name    string
	Entries []eventlog.Entry
}

// pageRun is the template data of a run.
type pageRun struct {
	Name     string
	Duration time.Duration
	Rows     []classRow
	Faults   []faultPeriod
	Plots    []pagePlot
}

// pagePlot is the template data of a plot.
type pagePlot struct {
	Caption string
	Source  template.URL // data URL that contains the image
}

// WriteReport writes a report of the runs, side by side, into a directory: the self-contained page report.html, and
// each plot as a PNG file. It returns a *NoDataError if the entries of a run contain no request.
func WriteReport(directory string, runs []RunEntries) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	var pageRuns []pageRun
	for i, run := range runs {
		page, err := drawRun(directory, i+1, run)
		if err != nil {
			return err
		}
		pageRuns = append(pageRuns, page)
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, pageRuns); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, pageFile), page.Bytes(), fileMode)
}

// drawRun writes the plots of a run and returns its template data. number is the prefix of the file names.
func drawRun(directory string, number int, run RunEntries) (pageRun, error) {
	data, err := newRunData(run)
	if err != nil {
		return pageRun{}, err
	}
	plots, err := data.plots()
	if err != nil {
		return pageRun{}, err
	}
	page := pageRun{
		Name: run.Name, Duration: time.Duration(data.duration * 1e9).Round(time.Second),
		Rows: data.classRows(), Faults: data.faults,
	}
	for _, p := range plots {
		file := filepath.Join(directory, fmt.Sprintf("%d-%s.png", number, p.name))
		if err := os.WriteFile(file, p.png, fileMode); err != nil {
			return pageRun{}, err
		}
		source := template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(p.png))
		page.Plots = append(page.Plots, pagePlot{p.caption, source})
	}
	return page, nil
}
