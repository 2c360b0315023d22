package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	"docksail/internal/lab/scenario"
)

// TestBatchingEngines: a day with troubles against hosts that batch keeps the rules and gives whole answers; memory that
// is short preempts answers, which come whole all the same.
func TestBatchingEngines(t *testing.T) {
	s, err := scenario.Parse("day", []byte(strings.Replace(scenarioText, "TROUBLES", `{"kind": "crash", "at": "1s", "for": "1s", "servers": [1]},
		{"kind": "hang", "at": "2s", "for": "1s", "servers": [4]}, {"kind": "slow", "at": "3s", "for": "1s", "servers": [2, 3], "factor": 3}`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	s.BatchModel = true
	for i := range s.Servers {
		s.Servers[i].MemoryTokens = 12000
	}
	report := runScript(t, s, nil)
	for _, v := range report.Violations {
		t.Error(v)
	}
	for name, sum := range report.Summaries {
		if sum.Corrupt > 0 || sum.Served < sum.Requests/3 {
			t.Errorf("track %s: %d of %d honoured, %d wrong", name, sum.Served, sum.Requests, sum.Corrupt)
		}
	}
}

// TestShortMemoryPreempts: answers together need more memory than the writer has.
func TestShortMemoryPreempts(t *testing.T) {
	deployment, client := startDeployment(t, func(s *scenario.Script) {
		s.BatchModel = true
		s.Servers[1].Count, s.Servers[1].MemoryTokens = 1, 1600
	})
	ends := make(chan codes.Code, 6)
	for i := range 6 {
		go func() {
			req := newRequest(fmt.Sprint("short", i))
			req.PromptTokens, req.MaxTokens = 100, 400
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_, s, _ := generate(ctx, client, req)
			ends <- s.Code()
		}()
	}
	got := map[codes.Code]int{}
	for range 6 {
		got[<-ends]++
	}
	if got[codes.OK] < 2 || got[codes.DataLoss] > 0 {
		t.Errorf("ended as %v, want no wrong token", got)
	}
	if n := deployment.Engines[2].Preemptions(); n == 0 {
		t.Error("nothing was preempted: memory was not short")
	}
	waitUntilIdle(t, deployment, 3*time.Second)
	checkInvariants(t, deployment)
}
