package discovery

import "testing"

// deliveryTime is when an update that a silent watch misses counts as delivered.
const deliveryTime = int64(6e9)

// almostOne is the greatest random number of these tests.
const almostOne = 0.999

// TestReconnectInTime: whatever the random number, a silent watch is replaced in time although the first attempt fails,
// and delays do not grow.
func TestReconnectInTime(t *testing.T) {
	const openTimeout = ConnectTimeout + AnswerTimeout
	for _, random := range []float64{0, 0.5, almostOne} {
		if at := SilenceTimeout + openTimeout + reconnectDelay(1, random) + openTimeout; at >= deliveryTime {
			t.Errorf("random %v: the list is received after %d ns, want less than %d", random, at, deliveryTime)
		}
		if at := openTimeout + reconnectDelay(1, random) + openTimeout; at >= 4e9 {
			t.Errorf("random %v: after a change of address %d ns", random, at)
		}
		for failures := range 40 {
			if delay := reconnectDelay(failures, random); delay < 0 || delay >= 300e6 {
				t.Errorf("%d failures, random %v: %d ns", failures, random, delay)
			}
		}
	}
	longest := reconnectDelay(1, almostOne)
	at := SilenceTimeout + ConnectTimeout + ResponseTimeout(true, 0) + longest + ConnectTimeout
	if at >= deliveryTime {
		t.Errorf("where lists are polled the second attempt starts after %d ns, want less than %d", at, deliveryTime)
	}
	if AnswerTimeout < 2*longest {
		t.Error("most of the time no call is open")
	}
	if longest-reconnectDelay(1, 0) < 100e6 {
		t.Error("all dispatchers call at once")
	}
	if SilenceTimeout <= heartbeatInterval {
		t.Error("a watch without updates is given up")
	}
}

// TestResponseTimeout: a call that discovery answers by itself is not given up before its answer.
func TestResponseTimeout(t *testing.T) {
	if ResponseTimeout(true, 0) <= 2e9 || ResponseTimeout(false, 1) <= 2e9 {
		t.Error("a call that discovery answers by itself is given up before its answer")
	}
	if ResponseTimeout(false, 0) != AnswerTimeout {
		t.Error("a call that the agent answers has another timeout")
	}
}

// TestRejectedDelay: delays after rejected calls double, and are bounded so that two more calls fit into the time until
// a missed update counts as delivered.
func TestRejectedDelay(t *testing.T) {
	for _, random := range []float64{0, 0.5, almostOne} {
		for rejections := 1; rejections < 40; rejections++ {
			delay, before := rejectedDelay(rejections, random), rejectedDelay(rejections-1, random)
			if delay < before || rejections < 4 && delay < 2*before-2 || 2*delay >= deliveryTime-SilenceTimeout/2 {
				t.Errorf("%d rejections, random %v: %d ns after %d ns", rejections, random, delay, before)
			}
		}
	}
	if rejectedDelay(4, almostOne)-rejectedDelay(4, 0) < maxRejectedDelay/3 {
		t.Error("all dispatchers call at once")
	}
}

// TestRetryDelay: rejections take precedence over failures.
func TestRetryDelay(t *testing.T) {
	for _, random := range []float64{0, 0.5, almostOne} {
		if got, want := RetryDelay(7, 0, random), reconnectDelay(7, random); got != want {
			t.Errorf("after failures %d, want %d", got, want)
		}
		if got, want := RetryDelay(7, 2, random), rejectedDelay(2, random); got != want {
			t.Errorf("after rejections %d, want %d", got, want)
		}
	}
}
