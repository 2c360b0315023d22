package engine

import (
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"docksail/internal/lab/engine/batchmodel"
)

// loadReportTrailer is the trailer of an answer that contains the load report.
const loadReportTrailer = "endpoint-load-metrics-bin"

// Named metrics of the load report.
const (
	requestsMetric     = "requests"
	queuedTokensMetric = "unread_tokens"
	finishMetric       = "finish_ms"
	ageMetric          = "age_ms"
)

// loadReport returns the trailer with the ORCA load report, or nil if there is none yet.
func (e *Engine) loadReport() metadata.MD {
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := e.Spec.ReportDelay + e.faults.ReportDelay
	if e.batch == nil {
		e.refreshReport(delay)
	} else if !e.refreshBatchReport(delay) {
		return nil
	}
	b, err := proto.Marshal(e.report)
	if err != nil {
		return nil
	}
	return metadata.Pairs(loadReportTrailer, string(b))
}

// refreshReport updates the load report of the simple model if its interval has passed. The lock must be held.
func (e *Engine) refreshReport(delay time.Duration) {
	if e.report == nil || time.Since(e.reportedAt) >= e.Spec.ReportInterval {
		e.report = &orca.OrcaLoadReport{
			MemUtilization: float64(e.usedTokens) / float64(max(e.Spec.MemoryTokens, 1)),
			NamedMetrics: map[string]float64{
				requestsMetric:     float64(e.running + e.waiting),
				queuedTokensMetric: float64(e.queuedPromptTokens),
			},
		}
		e.reportedAt = time.Now()
	}
	e.report.NamedMetrics[ageMetric] = float64((time.Since(e.reportedAt) + delay).Milliseconds())
}

// refreshBatchReport updates the load report from the newest available one of the batch model. It returns false if
// there is none yet. The lock must be held.
func (e *Engine) refreshBatchReport(delay time.Duration) bool {
	now := int64(time.Since(e.started))
	e.batch.observe(e.reporter, now, e.Spec.PrefillRate)
	e.reporter.SetDelay(int64(delay))
	load, age, ok := e.reporter.Latest(now)
	if ok {
		e.report = batchReport(load, age)
	}
	return ok
}

func batchReport(load batchmodel.Load, age batchmodel.Nanos) *orca.OrcaLoadReport {
	return &orca.OrcaLoadReport{
		MemUtilization: load.MemoryUtilization,
		NamedMetrics: map[string]float64{
			requestsMetric:     load.Requests,
			queuedTokensMetric: load.QueuedPromptTokens,
			finishMetric:       float64(load.QueueTime) / 1e6,
			ageMetric:          float64(age) / 1e6,
		},
	}
}

// Preemptions returns the number of preemptions in the batch model; 0 in the simple model.
func (e *Engine) Preemptions() uint64 {
	e.mu.Lock()
	batch := e.batch
	e.mu.Unlock()
	if batch == nil {
		return 0
	}
	return batch.preemptions()
}
