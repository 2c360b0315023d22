package node

import (
	"strconv"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// TestServerStatuses: what the policy assumes of servers agrees with what their connections carry, with requests in
// every state and after some were lost.
func TestServerStatuses(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		var held []func()
		r1, r2 := h.addServer("r1", "prefill"), h.addServer("r2", "prefill")
		w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
		r2.response, w2.response = prefillResponse, decodeResponse
		r1.respond = func(r *scriptedRequest) {
			finish := func() { r.write(prefillResponse) }
			if r.number%3 == 0 {
				finish = r.closeAfterFlush
			}
			if r.number%4 == 0 {
				held = append(held, finish)
				return
			}
			finish()
		}
		w1.respond = func(r *scriptedRequest) {
			if r.number%3 == 0 {
				r.write(streamHead + chunk(event1))
				held = append(held, r.closeAfterFlush)
				return
			}
			r.write(decodeResponse)
		}
		h.startInService()
		agree := func() (inFlight int) {
			h.onLoop(func() {
				statuses := h.node.serverStatuses()
				if len(statuses) != 4 {
					h.t.Errorf("%d servers, want 4", len(statuses))
				}
				for _, s := range statuses {
					if s.HasMismatch() {
						h.t.Errorf("%s: %d unanswered attempts and %d streams are assumed, %d are in flight",
							s.Name, s.UnansweredAttempts, s.Streams, s.InFlightAttempts)
					}
					inFlight += s.InFlightAttempts
				}
			})
			return inFlight
		}
		for n := range 24 {
			c := h.connectClient()
			c.send(request(requestID(n), "7f3a9c21e0b4d655", requestID(n), "5c0f6e1a2b3d4c59", requestID(n)))
			if n%5 == 4 {
				h.advance(5 * time.Millisecond)
				c.close()
			}
			agree()
		}
		h.advance(20 * time.Millisecond)
		if agree() == 0 {
			h.t.Error("nothing is in flight: the test shows nothing")
		}
		h.onLoop(func() {
			for _, finish := range held {
				finish()
			}
			r1.respond, w1.respond = nil, nil
			r1.response, w1.response = prefillResponse, decodeResponse
		})
		for began := h.now(); agree() > 0; h.advance(time.Millisecond) {
			if h.elapsedSince(began) > scriptTimeout {
				h.t.Fatal("attempts in flight do not end")
			}
		}
	})
}

// TestPrefixCache: the cached tokens that prefill servers report are compared with those that the policy expected.
func TestPrefixCache(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, _ := h.addRespondingServers()
		bodies := []string{
			`{"cached_tokens":100}`, `{"cached_tokens":2000}`, `{"cached_tokens":-1}`, `{"cached_tokens":"x"}`, `{}`,
		}
		prefill.respond = func(r *scriptedRequest) {
			text := bodies[r.number-1]
			r.write("HTTP/1.1 202 Accepted\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
		}
		h.startInService()
		for n := range bodies {
			h.connectClient().expectServed(n)
		}
		h.onLoop(func() {
			want := backend.PrefixCacheStats{
				Prefills: 2, Prompt: 2 * 5120, Shared: 2 * 2048,
				Expected: 5120, // the complete second prompt, which was prefilled there before
				Found:    2100, Unexpected: 100, Missed: 3120,
			}
			if got := h.node.backend.Counts.PrefixCache; got != want {
				h.t.Errorf("%+v, want %+v", got, want)
			}
		})
	})
}
