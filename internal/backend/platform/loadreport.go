package platform

import (
	"bytes"
	"encoding/json"
	"strconv"

	"docksail/internal/platformconfig"
	"docksail/policy"
)

// maxLoadValue is the upper limit, exclusive, of the values of a load report. Other values are ignored.
const maxLoadValue = 1e12

// loadReportPrefix begins the comment line of an event stream that carries a load report.
var loadReportPrefix = []byte(": X-Pressure: ")

// loadReportLine returns the last load report in a chunk of an event stream, or nil. A report is a whole line.
func loadReportLine(chunk []byte) []byte {
	for {
		i := bytes.LastIndex(chunk, loadReportPrefix)
		if i < 0 {
			return nil
		}
		if i == 0 || chunk[i-1] == '\n' {
			line, _, _ := bytes.Cut(chunk[i+len(loadReportPrefix):], []byte{'\n'})
			return bytes.TrimSpace(line)
		}
		chunk = chunk[:i]
	}
}

// recordLoadReport records a load report of the server, a JSON object of numbers. An invalid report is ignored.
func (c *conn) recordLoadReport(text []byte) {
	var values map[string]json.RawMessage
	if len(text) > maxHeadBytes || json.Unmarshal(text, &values) != nil {
		return
	}
	report := policy.NoLoadReport
	for name, value := range values { // the order has no effect, as each name sets another field
		if x, err := strconv.ParseFloat(string(value), 64); err == nil && x >= 0 && x < maxLoadValue {
			platformconfig.SetLoadReportField(&report, name, x)
		}
	}
	c.exchange.response.loadReport = report
	c.server.loadReport, c.server.loadReportAt = report, c.backend.loop.Now()
	c.backend.Counts.LoadReports++
}
