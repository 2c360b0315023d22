package userclient

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"

	pb "docksail/api/docksail/v1"
)

const (
	reconnectDelay = 50 * time.Millisecond // before a retry after a lost connection
	retryJitter    = 0.2                   // maximum jitter of a retry without a reservation, as a fraction
)

// request is the state of one request over all its attempts.
type request struct {
	*session
	req         *pb.GenerateRequest
	due         time.Time // latencies are measured from this time
	value       float64   // earned if the request is served on time
	dispatcher  int       // index of the dispatcher for the next attempt
	reservation string    // sent with the next attempt; empty: none
	last        outcome   // of the last attempt
}

// count applies a change to the summary of the class.
func (q *request) count(change func(sum *Summary)) {
	q.runner.mu.Lock()
	change(q.runner.summaries[q.class.Name])
	q.runner.mu.Unlock()
}

// attemptUntilDone sends attempts until the request ends, counts its result, and reports whether it was served.
func (q *request) attemptUntilDone(ctx context.Context) (served bool) {
	for number := 0; ; number++ {
		timeout := q.class.timeout(q.req) - time.Since(q.due)
		if timeout <= 0 { // timed out while waiting for a retry
			q.count(func(sum *Summary) { sum.Rejected++ })
			return false
		}
		q.sendAttempt(ctx, number, timeout)
		if q.last.code == codes.OK || q.last.canceled {
			return q.countEnd()
		}
		retry, wait := q.nextRetry(number)
		if !retry || ctx.Err() != nil {
			q.countFailure()
			return false
		}
		sleep(ctx, wait)
	}
}

// sendAttempt sends one attempt and waits for its end.
func (q *request) sendAttempt(ctx context.Context, number int, timeout time.Duration) {
	q.count(func(sum *Summary) { sum.Attempts++ })
	clients := q.runner.clients[q.class.Name][q.dispatcher]
	client := clients[int(q.runner.nextConn.Add(1))%len(clients)]
	a := &attempt{request: q, number: number, timeout: timeout}
	a.run(ctx, client)
	q.last = a.outcome
	if q.reservation != "" {
		q.count(func(sum *Summary) {
			sum.ReservedRetries++
			if q.last.code == codes.OK {
				sum.ReservedRetriesServed++
			}
		})
	}
	q.reservation = q.last.reservation
}

// countEnd counts a request that ended with an answer or was canceled, and reports whether it was served.
func (q *request) countEnd() (served bool) {
	switch {
	case q.last.canceled:
		q.count(func(sum *Summary) {
			sum.Canceled++
			sum.OfferedValue -= q.value
		})
		return false
	case q.last.corrupt:
		q.count(func(sum *Summary) { sum.Corrupt++ })
		return false
	}
	firstToken := q.last.firstTokenAt.Sub(q.due)
	q.count(func(sum *Summary) {
		sum.Served++
		sum.FirstTokenTimes = append(sum.FirstTokenTimes, firstToken)
		if firstToken <= q.class.latencyTarget(q.req) {
			sum.OnTime++
			sum.EarnedValue += q.value
		}
	})
	return true
}

// nextRetry reports whether to retry the request after the given attempt, and the time to wait before. It changes the
// dispatcher after a lost connection.
func (q *request) nextRetry(number int) (retry bool, wait time.Duration) {
	retry = q.last.isRejection() || !q.class.NonIdempotent
	wait = q.last.retryAfter
	if wait < 0 { // the dispatcher asks not to retry
		retry = retry && q.last.lost
	}
	if q.last.lost {
		q.dispatcher = (q.dispatcher + 1) % len(q.runner.clients[q.class.Name])
		wait = reconnectDelay
	}
	if q.class.IgnoresRetryAfter {
		wait = 0
	} else if q.reservation == "" {
		wait = time.Duration(float64(wait) * (1 + retryJitter*q.rng.Float64()))
	}
	return retry && number < q.class.MaxRetries && time.Since(q.due)+wait < q.class.timeout(q.req), wait
}

// countFailure counts a request that was not served and will not be retried.
func (q *request) countFailure() {
	q.count(func(sum *Summary) {
		switch {
		case q.last.isRejection():
			sum.Rejected++
		case q.last.answered:
			sum.Failed++
		default:
			sum.Unanswered++
		}
	})
}
