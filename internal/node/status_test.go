package node

import (
	"strconv"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// TestServerStatuses checks that the policy's estimates of servers match the attempts on their connections, with
// requests in every state and after some were lost.
func TestServerStatuses(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		var unfinished []func()
		r1, r2 := h.addServer("r1", "prefill"), h.addServer("r2", "prefill")
		w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
		r2.response, w2.response = prefillResponse, decodeResponse
		r1.respond = func(r *scriptedRequest) {
			finish := func() { r.write(prefillResponse) }
			if r.ordinal%3 == 0 {
				finish = r.closeAfterFlush
			}
			if r.ordinal%4 == 0 {
				unfinished = append(unfinished, finish)
				return
			}
			finish()
		}
		w1.respond = func(r *scriptedRequest) {
			if r.ordinal%3 == 0 {
				r.write(streamHead + chunk(event1))
				unfinished = append(unfinished, r.closeAfterFlush)
				return
			}
			r.write(decodeResponse)
		}
		h.startInService()
		checkEstimates := func() (inFlight int) {
			h.onLoop(func() {
				statuses := h.node.serverStatuses()
				if len(statuses) != 4 {
					h.t.Errorf("got %d servers, want 4", len(statuses))
				}
				for _, status := range statuses {
					if status.HasMismatch() {
						h.t.Errorf("%s: %d unanswered attempts and %d streams are estimated, %d are in flight",
							status.Name, status.UnansweredAttempts, status.Streams, status.InFlightAttempts)
					}
					inFlight += status.InFlightAttempts
				}
			})
			return inFlight
		}
		for n := range 24 {
			client := h.connectClient()
			client.send(request(requestID(n), "7f3a9c21e0b4d655", requestID(n), "5c0f6e1a2b3d4c59", requestID(n)))
			if n%5 == 4 {
				h.advance(5 * time.Millisecond)
				client.close()
			}
			checkEstimates()
		}
		h.advance(20 * time.Millisecond)
		if checkEstimates() == 0 {
			h.t.Error("no attempt is in flight, want at least one")
		}
		h.onLoop(func() {
			for _, finish := range unfinished {
				finish()
			}
			r1.respond, w1.respond = nil, nil
			r1.response, w1.response = prefillResponse, decodeResponse
		})
		for start := h.now(); checkEstimates() > 0; h.advance(time.Millisecond) {
			if h.elapsedSince(start) > scriptTimeout {
				h.t.Fatal("attempts in flight have not ended")
			}
		}
	})
}

// TestPrefixCache checks that the cached tokens that prefill servers report are compared with those that the policy
// expected.
func TestPrefixCache(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, _ := h.addRespondingServers()
		bodies := []string{
			`{"cached_tokens":100}`, `{"cached_tokens":2000}`, `{"cached_tokens":-1}`, `{"cached_tokens":"x"}`, `{}`,
		}
		prefill.respond = func(r *scriptedRequest) {
			text := bodies[r.ordinal-1]
			r.write("HTTP/1.1 202 Accepted\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
		}
		h.startInService()
		for n := range bodies {
			h.connectClient().expectServed(n)
		}
		h.onLoop(func() {
			want := backend.PrefixCacheStats{
				Prefills: 2, Prompt: 2 * 5120, Shared: 2 * 2048,
				Expected: 5120, // all of the second prompt, which the server has prefilled before
				Found:    2100, Unexpected: 100, Missed: 3120,
			}
			if got := h.node.backend.Counts.PrefixCache; got != want {
				h.t.Errorf("got %+v, want %+v", got, want)
			}
		})
	})
}
