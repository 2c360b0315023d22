package grpc

import (
	"testing"

	"docksail/internal/decide/inflight"
	"docksail/internal/h2"
	"docksail/policy"
)

// TestUnsentAttemptDidNotRun guards against an attempt whose message waits for a blocked socket, so that its engine
// cannot have begun it, counting as one that may have run when its connection is lost.
func TestUnsentAttemptDidNotRun(t *testing.T) {
	limits := h2.Limits{
		MaxStreams: 10, StreamWindow: 1 << 16, ConnWindow: 1 << 16, MaxHeaderListBytes: 1 << 14, MaxMessageBytes: 1 << 20,
	}
	c := &conn{connected: true}
	c.http2 = h2.NewClientConn(limits, c)
	a := &attempt{conn: c}
	checkState := func(want inflight.DeliveryState) {
		t.Helper()
		if got := a.DeliveryState(); got != want {
			t.Errorf("the attempt is %v, want %v", got, want)
		}
	}
	checkState(inflight.Planned)
	c.http2.SetOutputPaused(true)
	a.stream, a.sent = c.http2.OpenStream(pathDecode, "engine", 0), true
	a.stream.SendMessage(make([]byte, 1000), true)
	checkState(inflight.Sending)
	for refused, want := range map[bool]policy.Outcome{false: policy.Unreachable, true: policy.Rejected} {
		if got := resetOutcome(a.stream, refused); got != want {
			t.Errorf("refused %v: outcome %v before the message was written, want %v", refused, got, want)
		}
	}
	c.http2.SetOutputPaused(false)
	checkState(inflight.Acknowledged)
	if got := resetOutcome(a.stream, false); got != policy.ConnectionLost {
		t.Errorf("outcome %v after the message was written, want %v", got, policy.ConnectionLost)
	}
	a.stream = nil
	checkState(inflight.Completed)
}
