package keepalive

// RestartThrottle limits the outstanding attempts to an engine that may have restarted, and so may be slow, until the
// endpoint list shows whether it has. It starts when the first connection to the engine is established after the last
// one was lost, or while no watch on the endpoint list is established. The limit starts at one and rises by one with
// each answer. The zero value imposes no limit.
type RestartThrottle struct {
	maxOutstanding int // 0 = no limit
}

// maxThrottledAttempts is the limit above which the throttle ends: by then, the engine has answered as many attempts.
// It can bear more, or it has been seen to fail.
const maxThrottledAttempts = 16

// Start activates the throttle, as the engine may have restarted.
func (t *RestartThrottle) Start() { t.maxOutstanding = 1 }

// AnswerReceived raises the limit by one, as the engine has answered an attempt.
func (t *RestartThrottle) AnswerReceived() {
	if !t.IsActive() {
		return
	}
	if t.maxOutstanding++; t.maxOutstanding > maxThrottledAttempts {
		t.maxOutstanding = 0
	}
}

// ListUpdated ends the throttle, as the updated endpoint list says when the engine was started.
func (t *RestartThrottle) ListUpdated() { t.maxOutstanding = 0 }

// IsActive reports whether attempts are limited.
func (t *RestartThrottle) IsActive() bool { return t.maxOutstanding > 0 }

// Allows reports whether another attempt may be sent to an engine with this many outstanding ones.
func (t *RestartThrottle) Allows(outstanding int) bool {
	return !t.IsActive() || outstanding < t.maxOutstanding
}

// MaxThrottleWait is how long, in nanoseconds, an attempt may wait for a RestartThrottle. It is short, as the request
// can be sent to another engine, and KV state may be held for it meanwhile.
const MaxThrottleWait = int64(250e6)
