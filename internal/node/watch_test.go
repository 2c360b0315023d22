package node

import (
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of the watch on discovery's list, in simulated time.

// maxSilentWatch is how late a watch that fell silent may be replaced: a change counts as told six seconds after discovery had
// it, and one more call may fail in that time.
const maxSilentWatch = 4500 * time.Millisecond

// chunksOfOneByte cuts a text into chunks of one byte.
func chunksOfOneByte(text string) []string {
	var pieces []string
	for i := range text {
		pieces = append(pieces, chunk(text[i:i+1]))
	}
	return pieces
}

// A watch that falls silent, stops in the middle of its news, or sends what never becomes whole, is replaced in time by one
// that asks for what came since.
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
			began := h.now()
			watch.sendSlowly(pieces, 100*time.Millisecond)
			if line := h.discovery.accept().readRequest(); !strings.Contains(line, "from=42") {
				t.Errorf("%q, want what came after version 42", line)
			}
			if took := h.elapsedSince(began); took > maxSilentWatch {
				t.Errorf("replaced after %v, want %v at most", took, maxSilentWatch)
			}
		})
	}
}

// A watch on which nothing changes lives by its blank lines.
func TestIdleWatchStaysOpen(t *testing.T) {
	h := newHarness(t, simulated)
	watch := h.startInService()
	for range 30 {
		h.advance(2 * time.Second)
		watch.send(chunk("\n"))
	}
	h.advance(time.Second)
	if !watch.isOpen() || !h.discovery.hasNoNewConns() {
		t.Error("a watch with a sign of life every two seconds was given up")
	}
}

// A watch that begins its answer and tells nothing, or does not begin it, is given up early.
func TestWatchWithoutNews(t *testing.T) {
	for name, head := range map[string]string{"no answer": "", "no news": watchHead} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, simulated)
			watch := h.start()
			began := h.now()
			watch.send(head)
			h.discovery.accept().readRequest()
			if took := h.elapsedSince(began); took > 1500*time.Millisecond {
				t.Errorf("replaced after %v", took)
			}
		})
	}
}

// Where lists are asked for, a call that discovery takes its time to answer is not given up: its answer counts.
func TestListOnRequestMayTakeLong(t *testing.T) {
	h := newHarness(t, simulated, `"membership_mode":"pushed"`, `"membership_mode":"on_request"`)
	call := h.start()
	h.advance(2 * time.Second)
	call.send(watchHead)
	h.sendList(call, backend.EndpointList{Version: 42, Full: true})
	if !call.isOpen() || !h.discovery.hasNoNewConns() {
		t.Error("the call was given up, or another one came meanwhile")
	}
}

// A discovery that refuses calls, as it has more of them than it takes, is asked ever more seldom.
func TestRejectedCallsBackOff(t *testing.T) {
	h := newHarness(t, simulated)
	call := h.start()
	for n := 1; n < 5; n++ {
		call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		refused := h.now()
		call = h.discovery.accept()
		call.readRequest()
		if gap, want := h.elapsedSince(refused), time.Duration(min(1<<n, 8))*100*time.Millisecond; gap < want {
			t.Errorf("call %d came %v after a refusal, want %v at least", n+1, gap, want)
		}
	}
}

// The old watch stays until the new one has told something: what the old one tells meanwhile is taken.
func TestReloadKeepsOldWatchUntilNews(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		old := h.startInService()
		fresh := h.newServer()
		h.setDiscovery(fresh)
		watch := fresh.accept()
		watch.readRequest()
		watch.send(watchHead)
		h.sendList(old, backend.EndpointList{Version: 43, Full: true, Endpoints: h.endpoints})
		h.sendList(watch, backend.EndpointList{Version: 3, Full: true, Endpoints: h.endpoints})
		old.waitForClose()
	})
}

// A discovery at a new address may count its versions otherwise: it is asked for the whole list, and its changes are
// taken however low their versions are.
func TestReloadToLowerVersions(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill")
		h.startInService()
		fresh := h.newServer()
		h.setDiscovery(fresh)
		watch := fresh.accept()
		if line := watch.readRequest(); strings.Contains(line, "from=") {
			h.t.Errorf("%q, want a whole list asked for", line)
		}
		watch.send(watchHead)
		h.sendList(watch, backend.EndpointList{Version: 3, Full: true, Endpoints: h.endpoints})
		h.sendList(watch, backend.EndpointList{Version: 4, Endpoints: []backend.Endpoint{h.drainingEndpoint("r1")}})
		h.expectRejected()
	})
}

// What a watch had not told when it was cut off is asked for by the next.
func TestWatchResetBeforeItsNews(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill")
		watch := h.startInService()
		change := chunk(listText(backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.drainingEndpoint("r1")}}))
		watch.send(change[:40])
		h.advance(transitTime)
		watch.close()
		next := h.discovery.accept()
		if line := next.readRequest(); !strings.Contains(line, "from=42") {
			h.t.Errorf("%q, want what came after version 42", line)
		}
		next.send(watchHead + change)
		h.waitForListUpdate(1)
		h.expectRejected()
	})
}

// What discovery knows counts as told from a process's first moment: no request is served before it is asked.
func TestListBeforeRequests(t *testing.T) {
	h := newHarness(t, simulated)
	prefill := h.addServer("r1", "prefill")
	stale := h.addServer("r2", "prefill")
	watch := h.start()
	client := h.dialClient()
	client.send(request(requestID(1)))
	h.advance(100 * time.Millisecond)
	if !prefill.hasNoNewConns() || !stale.hasNoNewConns() {
		t.Fatal("a request went out before the list was known")
	}
	watch.send(watchHead)
	h.sendList(watch, backend.EndpointList{Version: 50, Full: true, Endpoints: []backend.Endpoint{h.endpoints[0], h.drainingEndpoint("r2")}})
	prefill.accept().readRequest()
	if !stale.hasNoNewConns() {
		t.Error("a server that drains got a request")
	}
}

// Where discovery does not answer, clients are served soon by the list that the process was started with.
func TestRequestsWithoutDiscovery(t *testing.T) {
	h := newHarness(t, simulated)
	prefill := h.addServer("r1", "prefill")
	h.start()
	began := h.now()
	client := h.dialClient()
	client.send(request(requestID(1)))
	prefill.accept().readRequest()
	if took := h.elapsedSince(began); took > 300*time.Millisecond {
		t.Errorf("served after %v", took)
	}
}

// A dispatcher told to leave, twice, before discovery has said anything serves who waits by the list it was started with.
func TestDrainBeforeFirstList(t *testing.T) {
	h := newHarness(t, simulated)
	h.addServer("r1", "prefill").response = prefillResponse
	h.addServer("w1", "decode").response = decodeResponse
	watch := h.start()
	client := h.dialClient()
	client.send(request(requestID(1)))
	h.advance(transitTime)
	h.node.Drain()
	h.node.Drain()
	if got := client.expect("0\r\n\r\n"); !strings.Contains(got, " 200 ") || !strings.Contains(got, "Connection: close") {
		t.Errorf("the client got %q", got)
	}
	client.close()
	watch.waitForClose() // the process has ended
}
