package keepalive

import "testing"

// TestRestartThrottle checks that the limit after a lost connection starts at one, rises with each answer, and is
// lifted by an update of the list or by enough answers.
func TestRestartThrottle(t *testing.T) {
	var throttle RestartThrottle
	throttle.AnswerReceived()
	if !throttle.Allows(1000) {
		t.Error("attempts to an engine whose connection was not lost are limited")
	}
	throttle.Start()
	for limit := 1; limit <= maxThrottledAttempts; limit++ {
		if !throttle.Allows(limit-1) || throttle.Allows(limit) {
			t.Errorf("after %d answers the limit is not %d", limit-1, limit)
		}
		throttle.AnswerReceived()
	}
	if !throttle.Allows(1000) {
		t.Error("the throttle does not end after enough answers")
	}
	throttle.Start()
	throttle.ListUpdated()
	if !throttle.Allows(1000) {
		t.Error("the throttle does not end with an update of the list")
	}
}
