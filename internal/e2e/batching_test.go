package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	"docksail/internal/lab/scenario"
)

// TestBatchingEngines checks that no invariant is violated and no answer is corrupt in a scenario with faults and with
// engines that batch requests and preempt them for lack of memory.
func TestBatchingEngines(t *testing.T) {
	script := newScript(t, `
		{"kind": "crash", "at": "1s", "for": "1s", "servers": [1]},
		{"kind": "hang", "at": "2s", "for": "1s", "servers": [4]},
		{"kind": "slow", "at": "3s", "for": "1s", "servers": [2, 3], "factor": 3}`)
	script.BatchModel = true
	for i := range script.Servers {
		script.Servers[i].MemoryTokens = 12000
	}
	report := runScript(t, script, nil)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	for class, summary := range report.Summaries {
		if summary.Corrupt > 0 || summary.Served < summary.Requests/3 {
			t.Errorf("class %s: %d of %d served, %d corrupt, want at least a third served and none corrupt",
				class, summary.Served, summary.Requests, summary.Corrupt)
		}
	}
}

// TestMemoryShortagePreempts checks that the decode server preempts requests whose answers together need more memory
// than it has, and that no answer is corrupt.
func TestMemoryShortagePreempts(t *testing.T) {
	const requests = 6
	deployment, client := startDeployment(t, func(s *scenario.Script) {
		s.BatchModel = true
		s.Servers[1].Count, s.Servers[1].MemoryTokens = 1, 1600
	})
	results := make(chan codes.Code, requests)
	for i := range requests {
		go func() {
			request := newRequest(fmt.Sprint("short", i))
			request.PromptTokens, request.MaxTokens = 100, 400
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			results <- generate(ctx, client, request).status.Code()
		}()
	}
	counts := map[codes.Code]int{}
	for range requests {
		counts[<-results]++
	}
	if counts[codes.OK] < 2 || counts[codes.DataLoss] > 0 {
		t.Errorf("ended as %v, want at least two OK and no DataLoss", counts)
	}
	if deployment.Engines[2].Preemptions() == 0 {
		t.Error("no request was preempted, want a shortage of memory")
	}
	waitUntilIdle(t, deployment, 3*time.Second)
	checkInvariants(t, deployment)
}
