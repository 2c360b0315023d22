package discovery

import "testing"

// told is when what a silent watch misses counts as told.
const told = int64(6e9)

// Whatever chance gives, a silent watch is replaced in time though the first try fails, and tries do not slacken beyond a second.
func TestTimes(t *testing.T) {
	for _, chance := range []float64{0, 0.5, 0.999} {
		if at := SilenceTimeout + ConnectTimeout + AnswerTimeout + ReconnectDelay(1, chance) + ConnectTimeout + AnswerTimeout; at >= told {
			t.Errorf("chance %v: a list is had after %d ns, want less than %d", chance, at, told)
		}
		if at := ConnectTimeout + AnswerTimeout + ReconnectDelay(1, chance) + ConnectTimeout + AnswerTimeout; at >= 4e9 {
			t.Errorf("chance %v: after a change of address %d ns", chance, at)
		}
		for failures := range 40 {
			if wait := ReconnectDelay(failures, chance); wait < 0 || wait >= 300e6 {
				t.Errorf("%d failures, chance %v: %d ns", failures, chance, wait)
			}
		}
	}
	if at := SilenceTimeout + ConnectTimeout + ResponseTimeout(true, 0) + ReconnectDelay(1, 0.999) + ConnectTimeout; at >= told {
		t.Errorf("where lists are asked for the second try is made after %d ns, want less than %d", at, told)
	}
	if ResponseTimeout(true, 0) <= 2e9 || ResponseTimeout(false, 1) <= 2e9 || ResponseTimeout(false, 0) != AnswerTimeout {
		t.Error("a call that discovery answers by itself is given up before")
	}
	if AnswerTimeout < 2*ReconnectDelay(1, 0.999) || ReconnectDelay(1, 0.999)-ReconnectDelay(1, 0) < 100e6 {
		t.Error("most of the time no call is open, or all call at once")
	}
	if SilenceTimeout <= heartbeat {
		t.Error("a watch on which nothing changes is given up")
	}
}

// Calls that discovery refuses slacken, and no further than lets two more come while what is missed does not count as told.
func TestRetryRefused(t *testing.T) {
	for _, chance := range []float64{0, 0.5, 0.999} {
		for refusals := 1; refusals < 40; refusals++ {
			wait, before := RefusedRetryDelay(refusals, chance), RefusedRetryDelay(refusals-1, chance)
			if wait < before || refusals < 4 && wait < 2*before-2 || 2*wait >= told-SilenceTimeout/2 {
				t.Errorf("%d refusals, chance %v: %d ns after %d ns", refusals, chance, wait, before)
			}
		}
	}
	if RefusedRetryDelay(4, 0.999)-RefusedRetryDelay(4, 0) < maxRefusedRetry/3 {
		t.Error("all call at once")
	}
}
