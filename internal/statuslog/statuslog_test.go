package statuslog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	backend "docksail/internal/backend/platform"
	"docksail/internal/node"
	"docksail/policy"
)

// TestServerLevel checks that only servers in use are logged at the default level.
func TestServerLevel(t *testing.T) {
	for name, test := range map[string]struct {
		server node.ServerStatus
		want   slog.Level
	}{
		"unused": {node.ServerStatus{}, slog.LevelDebug},
		"an attempt in flight": {node.ServerStatus{
			ServerStats:    backend.ServerStats{InFlightAttempts: 1},
			ServerEstimate: policy.ServerEstimate{Streams: 1},
		}, slog.LevelInfo},
		"an idle connection": {
			node.ServerStatus{ServerStats: backend.ServerStats{IdleConns: 1}}, slog.LevelInfo,
		},
		"ejected":  {node.ServerStatus{ServerEstimate: policy.ServerEstimate{Ejected: true}}, slog.LevelInfo},
		"mismatch": {node.ServerStatus{ServerEstimate: policy.ServerEstimate{Streams: 1}}, slog.LevelInfo},
		"only a load report": {
			node.ServerStatus{ServerStats: backend.ServerStats{LoadReportAge: 5}}, slog.LevelDebug,
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := serverLevel(&test.server); got != test.want {
				t.Errorf("level %v, want %v", got, test.want)
			}
		})
	}
}

// TestWrite checks that the counts are logged without the servers, followed by one record for each server in use.
func TestWrite(t *testing.T) {
	var output bytes.Buffer
	log := slog.New(slog.NewTextHandler(&output, nil))
	Write(log, node.Status{Requests: 3, ServerStatuses: []node.ServerStatus{
		{ServerStats: backend.ServerStats{Name: "unused"}},
		{
			ServerStats: backend.ServerStats{
				Name: "p1", Prefill: true, IdleConns: 2, LoadReportAge: 3e6,
				LoadReport: policy.LoadReport{QueuedPromptTokens: 1500},
			},
			ServerEstimate: policy.ServerEstimate{QueuedPromptTokens: 700, UnansweredAttempts: 1},
		},
	}})
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "msg=counts view=") || strings.Contains(lines[0], "p1") {
		t.Fatalf("logged %q, want counts and one server", lines)
	}
	const want = `level=INFO msg="server estimate" server_id=p1 prefill=true queued_prompt_tokens=700 ` +
		`reported_prompt_tokens=1500 report_age_ms=3 unanswered_attempts=1 streams=0 in_flight_attempts=0 ` +
		`idle_connections=2 ejected=false mismatch=true`
	if !strings.HasSuffix(lines[1], want) {
		t.Errorf("logged %s, want it to end with %s", lines[1], want)
	}
}
