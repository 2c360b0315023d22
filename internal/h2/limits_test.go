package h2

import "testing"

// TestPartialMessagesAreBounded checks that a connection with many incomplete messages cannot exceed its share of the
// budget, that another connection with the same budget is unaffected, and that a closed connection releases its share.
func TestPartialMessagesAreBounded(t *testing.T) {
	budget := &PartialMessageBudget{MaxBytes: 64 << 10}
	bad, good := newScriptedClient(t), newScriptedClient(t)
	bad.conn.SetPartialMessageBudget(budget)
	good.conn.SetPartialMessageBudget(budget)
	for i := range 50 {
		id := uint32(2*i + 1)
		bad.headers(id, bad.request(), false)
		bad.frames.WriteData(id, false, append([]byte{0, 0, 0, 0xff, 0xff}, make([]byte, 4000)...))
		if err := bad.feed(1); err != nil {
			t.Fatal(err)
		}
		if budget.usedBytes > budget.MaxBytes/8 {
			t.Fatalf("one connection uses %d bytes, want at most an eighth of %d", budget.usedBytes, budget.MaxBytes)
		}
	}
	if budget.RejectedStreams == 0 {
		t.Error("no stream was rejected")
	}
	good.headers(1, good.request(), false)
	good.frames.WriteData(1, false, []byte{0, 0, 0, 0, 2, 'o'})
	good.frames.WriteData(1, true, []byte{'k'})
	if err := good.feed(1); err != nil {
		t.Fatal(err)
	}
	status := good.takeSentFrames().statuses[1]
	if status != "0" || string(good.handler.messages[0]) != "ok" {
		t.Errorf("another connection's stream with a message in two parts ended with status %q, want 0", status)
	}
	bad.conn.TransportClosed()
	if budget.usedBytes != 0 {
		t.Errorf("%d bytes are used after the connection was closed, want 0", budget.usedBytes)
	}
}
