package node

import (
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of the watch on the endpoint list.

// maxReplacementTime is the time within which a silent watch must be replaced: a change counts as delivered six
// seconds after discovery had it, and one more call may fail in that time.
const maxReplacementTime = 4500 * time.Millisecond

// chunksOfOneByte returns a text in chunks of one byte.
func chunksOfOneByte(text string) []string {
	var pieces []string
	for i := range text {
		pieces = append(pieces, chunk(text[i:i+1]))
	}
	return pieces
}

// TestSilentWatch checks that a watch that sends nothing, stops in the middle of a change, or sends a change that
// never becomes complete is replaced in time by one that asks for the changes since.
func TestSilentWatch(t *testing.T) {
	unfinished := `{"version":43,"full":false,"servers":[` + strings.Repeat(" ", 60)
	for name, pieces := range map[string][]string{
		"silent":       nil,
		"half an item": {chunk(unfinished)},
		"half a chunk": {chunk(unfinished)[:20]},
		"trickle":      chunksOfOneByte(unfinished),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, simulated)
			watch := h.startInService()
			start := h.now()
			watch.sendSlowly(pieces, 100*time.Millisecond)
			if line := h.discovery.accept().readRequest(); !strings.Contains(line, "from=42") {
				t.Errorf("got %q, want a call for the changes after version 42", line)
			}
			if took := h.elapsedSince(start); took > maxReplacementTime {
				t.Errorf("replaced after %v, want at most %v", took, maxReplacementTime)
			}
		})
	}
}

// TestIdleWatchStaysOpen checks that a watch without changes stays open as long as it sends blank lines.
func TestIdleWatchStaysOpen(t *testing.T) {
	h := newHarness(t, simulated)
	watch := h.startInService()
	for range 30 {
		h.advance(2 * time.Second)
		watch.send(chunk("\n"))
	}
	h.advance(time.Second)
	if !watch.isOpen() || !h.discovery.hasNoNewConns() {
		t.Error("a watch with a blank line every two seconds was closed")
	}
}

// TestWatchWithoutNews checks that a watch whose response does not begin or delivers no list is replaced early.
func TestWatchWithoutNews(t *testing.T) {
	for name, head := range map[string]string{"no response": "", "no list": watchHead} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, simulated)
			watch := h.start()
			start := h.now()
			watch.send(head)
			h.discovery.accept().readRequest()
			if took := h.elapsedSince(start); took > 1500*time.Millisecond {
				t.Errorf("replaced after %v, want at most 1.5 s", took)
			}
		})
	}
}

// TestListOnRequestMayTakeLong checks that, with lists on request, a call is not closed while discovery delays its
// response.
func TestListOnRequestMayTakeLong(t *testing.T) {
	h := newHarness(t, simulated, `"membership_mode":"pushed"`, `"membership_mode":"on_request"`)
	call := h.start()
	h.advance(2 * time.Second)
	call.send(watchHead)
	h.sendList(call, backend.EndpointList{Version: 42, Full: true})
	if !call.isOpen() || !h.discovery.hasNoNewConns() {
		t.Error("the call was closed or repeated")
	}
}

// TestRejectedCallsBackOff checks that discovery is called at growing intervals while it rejects calls.
func TestRejectedCallsBackOff(t *testing.T) {
	h := newHarness(t, simulated)
	call := h.start()
	for n := 1; n < 5; n++ {
		call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		rejectedAt := h.now()
		call = h.discovery.accept()
		call.readRequest()
		want := time.Duration(min(1<<n, 8)) * 100 * time.Millisecond
		if gap := h.elapsedSince(rejectedAt); gap < want {
			t.Errorf("call %d was made %v after a rejection, want at least %v", n+1, gap, want)
		}
	}
}

// TestReloadKeepsOldWatchUntilNews checks that, after a change of the address, the watch at the old address stays open
// until the new one has delivered a list, and that what it delivers until then is applied.
func TestReloadKeepsOldWatchUntilNews(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		oldWatch := h.startInService()
		watch := h.moveDiscovery()
		h.sendList(oldWatch, backend.EndpointList{Version: 43, Full: true, Endpoints: h.endpoints})
		h.sendList(watch, backend.EndpointList{Version: 3, Full: true, Endpoints: h.endpoints})
		oldWatch.waitForClose()
	})
}

// TestReloadToLowerVersions checks that discovery at a new address, which has versions of its own, is asked for the
// full list, and that its changes are applied even if their versions are lower.
func TestReloadToLowerVersions(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill")
		h.startInService()
		watch := h.moveDiscovery()
		h.sendList(watch, backend.EndpointList{Version: 3, Full: true, Endpoints: h.endpoints})
		h.sendChange(watch, 4, h.drainingEndpoint("r1"))
		h.expectRejected()
	})
}

// TestWatchResetBeforeItsNews checks that a change that was incomplete when its watch was closed is requested by the
// next watch.
func TestWatchResetBeforeItsNews(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill")
		watch := h.startInService()
		endpoints := []backend.Endpoint{h.drainingEndpoint("r1")}
		change := chunk(listText(backend.EndpointList{Version: 43, Endpoints: endpoints}))
		watch.send(change[:40])
		h.advance(networkLatency)
		watch.close()
		next := h.discovery.accept()
		if line := next.readRequest(); !strings.Contains(line, "from=42") {
			h.t.Errorf("got %q, want a call for the changes after version 42", line)
		}
		next.send(watchHead + change)
		h.waitForListUpdate(1)
		h.expectRejected()
	})
}

// TestListBeforeRequests checks that no request is sent before the first list is received, since what discovery knows
// when a process starts counts as delivered to it.
func TestListBeforeRequests(t *testing.T) {
	h := newHarness(t, simulated)
	prefill := h.addServer("r1", "prefill")
	draining := h.addServer("r2", "prefill")
	watch := h.start()
	client := h.dialClient()
	client.send(request(requestID(1)))
	h.advance(100 * time.Millisecond)
	if !prefill.hasNoNewConns() || !draining.hasNoNewConns() {
		t.Fatal("a request was sent before the list was received")
	}
	watch.send(watchHead)
	endpoints := []backend.Endpoint{h.endpoints[0], h.drainingEndpoint("r2")}
	h.sendList(watch, backend.EndpointList{Version: 50, Full: true, Endpoints: endpoints})
	prefill.accept().readRequest()
	if !draining.hasNoNewConns() {
		t.Error("a draining server got a request")
	}
}

// TestRequestsWithoutDiscovery checks that clients are soon served by the initial list if discovery does not respond.
func TestRequestsWithoutDiscovery(t *testing.T) {
	h := newHarness(t, simulated)
	prefill := h.addServer("r1", "prefill")
	h.start()
	start := h.now()
	client := h.dialClient()
	client.send(request(requestID(1)))
	prefill.accept().readRequest()
	if took := h.elapsedSince(start); took > 300*time.Millisecond {
		t.Errorf("request sent after %v, want at most 300 ms", took)
	}
}
