package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"

	pb "docksail/api/docksail/v1"
	"docksail/internal/decide/admission"
	"docksail/internal/dispatch"
	"docksail/internal/lab/scenario"
	"docksail/policy"
)

// TestAdviceHolds checks that nearly all rejected requests are served when they are retried at the advised time.
func TestAdviceHolds(t *testing.T) {
	t.Parallel()
	script := newFloodScript(t, `"clients": 200`)
	script.MaxWaiting = 24
	for i := range script.Classes {
		script.Classes[i].Timeout, script.Classes[i].MaxRetries = 12*time.Second, 3
	}
	report := runScript(t, script, nil)
	retries, served := 0, 0
	for _, summary := range report.Summaries {
		retries += summary.ReservedRetries
		served += summary.ReservedRetriesServed
	}
	if retries < 20 {
		t.Fatalf("%d retries with a reservation, want at least 20: the scenario rejects too few requests", retries)
	}
	// Tests of internal/decide/admission require 0.95 in simulated time. Here load from parallel tests delays some
	// requests at the engines.
	servedShare := float64(served) / float64(retries)
	t.Logf("%d retries at the advised time, share served %.3f", retries, servedShare)
	if servedShare < 0.85 {
		t.Errorf("share served %.3f of %d retries, want at least 0.85", servedShare, retries)
	}
	if len(report.Violations) > 0 {
		t.Error(report.Violations)
	}
}

// TestInvalidTickets checks that invalid tickets are ignored.
func TestInvalidTickets(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	for _, ticket := range []string{"", "x", strings.Repeat("y", 44), strings.Repeat("z", 5000)} {
		ctx := metadata.AppendToOutgoingContext(context.Background(), ticketKey, ticket)
		if got := generate(ctx, client, newRequest("forged")); got.status.Code() != codes.OK {
			t.Errorf("invalid ticket of %d bytes: status %v, want OK", len(ticket), got.status)
		}
	}
	checkInvariants(t, deployment)
}

// rateLimitResults are the outcomes of requests of a tenant with a rate limit.
type rateLimitResults struct {
	served, rateLimited int
	maxRetryAfter       time.Duration
}

// sendAsTenant sends requests of the tenant "quick" in parallel. It checks the retry advice of those over the rate
// limit.
func sendAsTenant(t *testing.T, client pb.GenerationClient, labelPrefix string, count int) rateLimitResults {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results rateLimitResults
	for i := range count {
		wg.Go(func() {
			request := newRequest(fmt.Sprint(labelPrefix, i))
			request.Tenant, request.PromptTokens = "quick", 50
			got := generate(context.Background(), client, request)
			mu.Lock()
			defer mu.Unlock()
			switch got.status.Code() {
			case codes.OK:
				results.served++
			case codes.ResourceExhausted:
				results.rateLimited++
				checkRateLimitAdvice(t, &got)
				results.maxRetryAfter = max(results.maxRetryAfter, got.retryAfter())
			default:
				t.Errorf("%s: %v", request.Label, got.status)
			}
		})
	}
	wg.Wait()
	return results
}

// checkRateLimitAdvice checks that the rejection of a request over the rate limit has a retry delay and at most one
// ticket.
func checkRateLimitAdvice(t *testing.T, got *answer) {
	t.Helper()
	if got.retryAfter() <= 0 || len(got.status.Details()) != 1 || len(got.trailer.Get(ticketKey)) > 1 {
		t.Errorf("rejected with pushback %q and details %v, want a delay above 0, one detail and at most one ticket",
			got.trailer.Get(pushbackKey), got.status.Details())
	}
}

// TestTenantLimits checks that requests over a tenant's rate limit are rejected with retry advice, that changed limits
// apply at once, and that invalid limits change nothing.
func TestTenantLimits(t *testing.T) {
	const burst = 12
	deployment, client := startDeployment(t, func(s *scenario.Script) {
		s.Classes[0].Tenant, s.Classes[0].MaxRequestsPerSecond, s.Classes[0].Weight = "quick", 5, 1
		s.Classes[1].Tenant, s.Classes[1].Weight = "other", 1
	})
	first := sendAsTenant(t, client, "first", burst)
	if first.served < 5 || first.served > 7 || first.served+first.rateLimited != burst {
		t.Errorf("%d served and %d over the rate limit, want 5 to 7 served and the rest over it",
			first.served, first.rateLimited)
	}
	time.Sleep(min(first.maxRetryAfter, 5*time.Second))
	if retried := sendAsTenant(t, client, "back", 1); retried.served != 1 {
		t.Error("a retry at the advised time was not served")
	}
	config := deployment.DispatcherConfig(0)
	config.Tenants[0].MaxRequestsPerSecond = 0
	apply := func() error { return deployment.Dispatcher(0).SetTenantLimits(config) }
	if err := apply(); err != nil {
		t.Fatal(err)
	}
	if unlimited := sendAsTenant(t, client, "free", burst); unlimited.served != burst {
		t.Errorf("without a rate limit: %d served, %d over the limit, want all served",
			unlimited.served, unlimited.rateLimited)
	}
	config.Tenants[0].MaxRequestsPerSecond, config.Tenants[1].Weight = 1, -1
	if err := apply(); err == nil {
		t.Error("a negative weight was accepted")
	}
	if unchanged := sendAsTenant(t, client, "still", burst); unchanged.served != burst {
		t.Error("invalid limits were applied in part")
	}
	config.Tenants[1].Name = "stranger"
	if err := apply(); err == nil {
		t.Error("an unknown tenant was accepted")
	}
	checkInvariants(t, deployment)
}

// slowModule blocks the dispatcher's event loop for a while at each request that arrives.
type slowModule struct {
	dispatch.Module
	delay time.Duration
}

func (m slowModule) RequestArrived(now policy.Nanos, request policy.Request) {
	time.Sleep(m.delay)
	m.Module.RequestArrived(now, request)
}

// TestOverloadShedsWaitingRequests checks that a dispatcher whose loop lags or whose memory exceeds its limit rejects
// requests from the admission queue, and that every request is answered.
func TestOverloadShedsWaitingRequests(t *testing.T) {
	const requests = 80
	for _, test := range []struct {
		name           string
		delay          time.Duration
		maxMemoryBytes int
	}{
		{"loop lags", 100 * time.Millisecond, 0},
		{"memory over its limit", 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			script := newScript(t, "")
			script.MaxMemoryBytes = test.maxMemoryBytes
			deployment, err := scenario.StartWithModule(script, discardLog, func(int) wrapFunc {
				return func(m dispatch.Module) dispatch.Module { return slowModule{m, test.delay} }
			})
			if err != nil {
				t.Fatal(err)
			}
			defer deployment.Close()
			client := dial(t, deployment.Addresses()[0])
			var wg sync.WaitGroup
			var statuses statusCounts
			for i := range requests {
				wg.Go(func() {
					got := generate(context.Background(), client, newRequest(fmt.Sprint("shed", i)))
					statuses.add(got.status.Code())
				})
			}
			wg.Wait()
			if statuses.count(codes.OK)+statuses.count(codes.Unavailable)+statuses.count(codes.Aborted) != requests {
				t.Errorf("ended as %v, want all served, rejected or failed", &statuses)
			}
			deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
				if rejected := d.TenantStatuses()[0].Counts.Rejected; rejected[admission.Overloaded] == 0 {
					t.Errorf("no request was rejected for overload; rejections by reason %v", rejected)
				}
			})
			checkInvariants(t, deployment)
		})
	}
}
