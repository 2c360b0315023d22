package keepalive

import "testing"

// TestRestartThrottle: after a lost connection one attempt at a time, one more with each answer, until the list is
// updated or there were enough answers.
func TestRestartThrottle(t *testing.T) {
	var throttle RestartThrottle
	throttle.AnswerReceived()
	if !throttle.Allows(1000) {
		t.Error("attempts to an engine whose connection was not lost are limited")
	}
	throttle.ConnLost()
	for limit := 1; limit <= maxThrottledAttempts; limit++ {
		if !throttle.Allows(limit-1) || throttle.Allows(limit) {
			t.Errorf("after %d answers the limit is not %d", limit-1, limit)
		}
		throttle.AnswerReceived()
	}
	if !throttle.Allows(1000) {
		t.Error("the throttle does not end by answers")
	}
	throttle.ConnLost()
	throttle.ListUpdated()
	if !throttle.Allows(1000) {
		t.Error("the throttle does not end by an update of the list")
	}
}
