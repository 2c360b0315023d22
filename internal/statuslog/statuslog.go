// Package statuslog writes the state of a dispatcher in service on the platform to the log.
package statuslog

import (
	"context"
	"log/slog"

	"docksail/internal/node"
)

// Write logs the counts of a dispatcher and one record for each of its servers. Servers that are not in use are logged
// at debug level, as a large fleet has thousands of them.
func Write(log *slog.Logger, status node.Status) {
	servers := status.ServerStatuses
	status.ServerStatuses = nil
	log.Info("counts", "view", status)
	for i := range servers {
		writeServer(log, &servers[i])
	}
}

// writeServer logs the policy's estimate of a server's load, the server's last load report and the state of its
// connections.
func writeServer(log *slog.Logger, server *node.ServerStatus) {
	log.LogAttrs(context.Background(), serverLevel(server), "server estimate",
		slog.String("server_id", server.Name),
		slog.Bool("prefill", server.Prefill),
		slog.Int64("queued_prompt_tokens", server.QueuedPromptTokens),
		slog.Float64("reported_prompt_tokens", server.LoadReport.QueuedPromptTokens),
		slog.Int64("report_age_ms", server.LoadReportAge/1e6),
		slog.Int64("unanswered_attempts", int64(server.UnansweredAttempts)),
		slog.Int64("streams", int64(server.Streams)),
		slog.Int("in_flight_attempts", server.InFlightAttempts),
		slog.Int("idle_connections", server.IdleConns),
		slog.Bool("ejected", server.Ejected),
		slog.Bool("mismatch", server.HasMismatch()))
}

// serverLevel returns the level of the record of a server.
func serverLevel(server *node.ServerStatus) slog.Level {
	if server.InUse() {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}
