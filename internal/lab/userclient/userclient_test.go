package userclient

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "docksail/api/docksail/v1"
)

// TestRetryAfter checks the combinations of pushback and RetryInfo.
func TestRetryAfter(t *testing.T) {
	withInfo := func(delay time.Duration) *status.Status {
		st, err := status.New(codes.Unavailable, "").WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(delay)})
		if err != nil {
			t.Fatal(err)
		}
		return st
	}
	for _, test := range []struct {
		name     string
		pushback string
		status   *status.Status
		want     time.Duration
	}{
		{"pushback alone", "120", status.New(codes.Unavailable, ""), 120 * time.Millisecond},
		{"longer RetryInfo", "120", withInfo(time.Second), time.Second},
		{"shorter RetryInfo", "120", withInfo(time.Millisecond), 120 * time.Millisecond},
		{"no retry wanted", "-1", withInfo(time.Second), -time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := retryAfter(test.pushback, test.status); got != test.want {
				t.Errorf("retry after %v, want %v", got, test.want)
			}
		})
	}
}

// TestNextRetry checks which attempts are retried, the time before the retry, and its dispatcher.
func TestNextRetry(t *testing.T) {
	rejected := outcome{code: codes.Unavailable, answered: true, retryAfter: time.Second}
	failed := outcome{code: codes.Aborted, answered: true, retryAfter: -time.Millisecond}
	lost := outcome{code: codes.Unavailable, lost: true}
	type want struct {
		retry      bool
		wait       time.Duration // minimum; jitter adds up to 20 %
		dispatcher int
	}
	for _, test := range []struct {
		name   string
		class  Class
		last   outcome
		number int
		want   want
	}{
		{"rejected", Class{}, rejected, 0, want{true, time.Second, 0}},
		{"rejected, non-idempotent", Class{NonIdempotent: true}, rejected, 0, want{true, time.Second, 0}},
		{"rejected, Retry-After ignored", Class{IgnoresRetryAfter: true}, rejected, 0, want{true, 0, 0}},
		{"rejected, no retries left", Class{}, rejected, 3, want{false, time.Second, 0}},
		{"failed", Class{}, failed, 0, want{false, -time.Millisecond, 0}},
		{"connection lost", Class{}, lost, 0, want{true, reconnectDelay, 1}},
		{"connection lost, non-idempotent", Class{NonIdempotent: true}, lost, 0, want{false, reconnectDelay, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.class.Name, test.class.MaxRetries, test.class.Timeout = "class", 3, time.Minute
			r := &loadRunner{clients: map[string][][]pb.GenerationClient{"class": make([][]pb.GenerationClient, 2)}}
			s := &session{runner: r, class: &test.class, rng: rand.New(rand.NewPCG(1, 1))}
			q := &request{session: s, due: time.Now(), last: test.last, req: &pb.GenerateRequest{}}
			retry, wait := q.nextRetry(test.number)
			low, high := min(test.want.wait, test.want.wait*6/5), max(test.want.wait, test.want.wait*6/5)
			if retry != test.want.retry || wait < low || wait > high || q.dispatcher != test.want.dispatcher {
				t.Errorf("retry %v after %v at dispatcher %d, want %+v", retry, wait, q.dispatcher, test.want)
			}
		})
	}
}

// TestRetryUntilDeadline guards against a client that stops retrying before the deadline of a long prompt.
func TestRetryUntilDeadline(t *testing.T) {
	class := Class{Name: "class", MaxRetries: 3, Timeout: time.Second, LatencyTargetPer1k: time.Second}
	r := &loadRunner{clients: map[string][][]pb.GenerationClient{"class": make([][]pb.GenerationClient, 1)}}
	s := &session{runner: r, class: &class, rng: rand.New(rand.NewPCG(1, 1))}
	for wait, want := range map[time.Duration]bool{
		500 * time.Millisecond: true, 5 * time.Second: true, 12 * time.Second: false,
	} {
		q := &request{session: s, due: time.Now(), req: &pb.GenerateRequest{PromptTokens: 5000}}
		q.last = outcome{code: codes.Unavailable, answered: true, retryAfter: wait}
		if retry, _ := q.nextRetry(0); retry != want {
			t.Errorf("retry %v after a wait of %v, want %v: the deadline is after 11 s", retry, wait, want)
		}
	}
}

// TestNextArrival checks that given arrivals are used unchanged, and that random ones are within the duration.
func TestNextArrival(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	given := Load{Arrivals: []time.Duration{time.Second, 2 * time.Second}}
	if at, more := given.nextArrival(0, 1, rng); !more || at != 2*time.Second {
		t.Errorf("second arrival at %v, more %v, want 2s and true", at, more)
	}
	if _, more := given.nextArrival(2*time.Second, 2, rng); more {
		t.Error("a third arrival was returned where two are given")
	}
	random := Load{Duration: 10 * time.Second, Rate: func(at time.Duration) float64 {
		if at < 5*time.Second {
			return 0
		}
		return 100
	}}
	count, at := 0, time.Duration(0)
	for {
		var more bool
		if at, more = random.nextArrival(at, count, rng); !more {
			break
		}
		if at < 5*time.Second || at >= 10*time.Second {
			t.Fatalf("arrival at %v, want arrivals from 5s to 10s only", at)
		}
		count++
	}
	if count < 400 || count > 600 {
		t.Errorf("%d arrivals in 5 s at 100 per second, want 400 to 600", count)
	}
}
