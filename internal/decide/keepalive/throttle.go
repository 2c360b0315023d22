package keepalive

// RestartThrottle limits the attempts to an engine that may have restarted, and so be slow, before the endpoint list
// says so: one whose connection was lost, or to which one is established while there is no list. It allows one
// outstanding attempt, and one more for each answer. The zero value does not limit anything.
type RestartThrottle struct {
	maxOutstanding int // 0 if attempts are not limited
}

// maxThrottledAttempts is the limit above which the throttle ends. A slow engine that was sent so many more attempts,
// one for each answer, can bear them or has been seen to fail.
const maxThrottledAttempts = 16

// ConnLost starts the throttle, as the engine may have restarted.
func (t *RestartThrottle) ConnLost() { t.maxOutstanding = 1 }

// AnswerReceived raises the limit by one, as the engine has answered an attempt.
func (t *RestartThrottle) AnswerReceived() {
	if !t.IsActive() {
		return
	}
	if t.maxOutstanding++; t.maxOutstanding > maxThrottledAttempts {
		t.maxOutstanding = 0
	}
}

// ListUpdated ends the throttle: the endpoint list says now when the engine was started.
func (t *RestartThrottle) ListUpdated() { t.maxOutstanding = 0 }

// IsActive reports whether attempts are limited.
func (t *RestartThrottle) IsActive() bool { return t.maxOutstanding > 0 }

// Allows reports whether another attempt may be sent to the engine beside the outstanding ones.
func (t *RestartThrottle) Allows(outstanding int) bool {
	return !t.IsActive() || outstanding < t.maxOutstanding
}

// MaxHoldTime returns how long an attempt may wait for a RestartThrottle. It is short, as the request has other engines
// to go to, and KV state may be held for it.
func (p Policy) MaxHoldTime() int64 { return p.LatencyTarget / pingDelayDivisor }
