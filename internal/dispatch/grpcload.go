package dispatch

import (
	"docksail/internal/h2"
	"docksail/policy"
	"encoding/base64"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"
)

// load reads an ORCA report from a trailer; one that is too old counts as none.
func (x *grpcExit) load(trailer *h2.Header) policy.LoadReport {
	text := trailer.Get("endpoint-load-metrics-bin")
	if text == "" {
		return policy.NoLoadReport
	}
	b, err := base64.RawStdEncoding.DecodeString(trimPadding(text))
	if err != nil {
		return policy.NoLoadReport
	}
	var r orca.OrcaLoadReport
	if proto.Unmarshal(b, &r) != nil {
		return policy.NoLoadReport
	}
	x.d.Counts.LoadReports++
	load := policy.NoLoadReport
	if r.MemUtilization > 0 {
		load.MemoryUtilization = r.MemUtilization
	}
	if v, ok := r.NamedMetrics["requests"]; ok {
		load.Requests = v
	}
	if v, ok := r.NamedMetrics["unread_tokens"]; ok {
		load.QueuedPromptTokens = v
	}
	if age, ok := r.NamedMetrics["age_ms"]; ok && !x.keeper.IsLoadReportFresh(int64(age*1e6)) {
		x.d.Counts.StaleLoadReports++
		return policy.NoLoadReport
	}
	return load
}

func trimPadding(s string) string {
	for len(s) > 0 && s[len(s)-1] == '=' {
		s = s[:len(s)-1]
	}
	return s
}
