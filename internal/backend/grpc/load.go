package grpc

import (
	"encoding/base64"
	"strings"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"

	"docksail/internal/decide/keepalive"
	"docksail/internal/h2"
	"docksail/policy"
)

// Names of the trailer field with the load report and of the metrics in the report.
const (
	loadReportTrailer        = "endpoint-load-metrics-bin"
	metricRequests           = "requests"
	metricQueuedPromptTokens = "unread_tokens"
	metricAge                = "age_ms"
)

// loadReport returns the ORCA load report in a trailer, or policy.NoLoadReport if there is none or it is malformed or
// stale.
func (b *Backend) loadReport(trailer *h2.Header) policy.LoadReport {
	text := trailer.Get(loadReportTrailer)
	if text == "" {
		return policy.NoLoadReport
	}
	encoded, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(text, "="))
	if err != nil {
		return policy.NoLoadReport
	}
	var report orca.OrcaLoadReport
	if proto.Unmarshal(encoded, &report) != nil {
		return policy.NoLoadReport
	}
	b.dispatcher.Counts.LoadReports++
	load := policy.NoLoadReport
	if report.MemUtilization > 0 {
		load.MemoryUtilization = report.MemUtilization
	}
	if v, ok := report.NamedMetrics[metricRequests]; ok {
		load.Requests = v
	}
	if v, ok := report.NamedMetrics[metricQueuedPromptTokens]; ok {
		load.QueuedPromptTokens = v
	}
	if ms, ok := report.NamedMetrics[metricAge]; ok && !keepalive.IsLoadReportFresh(int64(ms*1e6)) {
		b.dispatcher.Counts.StaleLoadReports++
		return policy.NoLoadReport
	}
	return load
}
