package discovery

import "testing"

// deliveryTime is the time after which an update counts as delivered, in nanoseconds.
const deliveryTime = int64(6e9)

// almostOne is the largest random number used in these tests.
const almostOne = 0.999

// TestReconnectInTime checks that a silent watch is replaced within deliveryTime although the first attempt fails, and
// that delays do not grow.
func TestReconnectInTime(t *testing.T) {
	const openTimeout = ConnectTimeout + agentResponseTimeout
	for _, random := range []float64{0, 0.5, almostOne} {
		if at := SilenceTimeout + openTimeout + reconnectDelay(1, random) + openTimeout; at >= deliveryTime {
			t.Errorf("random %v: the list is received after %d ns, want less than %d ns", random, at, deliveryTime)
		}
		if at := openTimeout + reconnectDelay(1, random) + openTimeout; at >= 4e9 {
			t.Errorf("random %v: after a change of address the list is received after %d ns, want less than 4e9 ns", random, at)
		}
		for failures := range 40 {
			if delay := reconnectDelay(failures, random); delay < 0 || delay >= 300e6 {
				t.Errorf("%d failures, random %v: delay of %d ns, want 0 to 300e6 ns", failures, random, delay)
			}
		}
	}
	longest := reconnectDelay(1, almostOne)
	at := SilenceTimeout + ConnectTimeout + ResponseTimeout(true, 0) + longest + ConnectTimeout
	if at >= deliveryTime {
		t.Errorf("where lists are polled the second attempt starts after %d ns, want less than %d ns", at, deliveryTime)
	}
	if agentResponseTimeout < 2*longest {
		t.Error("the longest delay exceeds half of agentResponseTimeout: a call is open for too small a part of the time")
	}
	if longest-reconnectDelay(1, 0) < 100e6 {
		t.Error("the random part of the delay is too small: all dispatchers call at about the same time")
	}
	if SilenceTimeout <= heartbeatInterval {
		t.Error("SilenceTimeout does not exceed heartbeatInterval: a watch without updates would be abandoned")
	}
}

// TestResponseTimeout checks that a call to which discovery itself responds is not abandoned before the response.
func TestResponseTimeout(t *testing.T) {
	if ResponseTimeout(true, 0) <= 2e9 || ResponseTimeout(false, 1) <= 2e9 {
		t.Error("a call to which discovery itself responds is abandoned before its response")
	}
	if ResponseTimeout(false, 0) != agentResponseTimeout {
		t.Error("a call to which the agent responds has a timeout other than agentResponseTimeout")
	}
}

// TestRejectedDelay checks that delays after rejected calls double, and are bounded so that two more calls fit into
// deliveryTime.
func TestRejectedDelay(t *testing.T) {
	for _, random := range []float64{0, 0.5, almostOne} {
		for rejections := 1; rejections < 40; rejections++ {
			delay, previous := rejectedDelay(rejections, random), rejectedDelay(rejections-1, random)
			if delay < previous || rejections < 4 && delay < 2*previous-2 || 2*delay >= deliveryTime-SilenceTimeout/2 {
				t.Errorf("%d rejections, random %v: delay of %d ns follows one of %d ns", rejections, random, delay, previous)
			}
		}
	}
	if rejectedDelay(4, almostOne)-rejectedDelay(4, 0) < maxRejectedDelay/3 {
		t.Error("the random part of the delay is too small: all dispatchers call at about the same time")
	}
}

// TestRetryDelay checks that rejections take precedence over failures.
func TestRetryDelay(t *testing.T) {
	for _, random := range []float64{0, 0.5, almostOne} {
		if got, want := RetryDelay(7, 0, random), reconnectDelay(7, random); got != want {
			t.Errorf("after failures only: got %d ns, want %d ns", got, want)
		}
		if got, want := RetryDelay(7, 2, random), rejectedDelay(2, random); got != want {
			t.Errorf("after rejections: got %d ns, want %d ns", got, want)
		}
	}
}
