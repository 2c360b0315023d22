package node

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of full endpoint lists and of changes.

// TestListAndReload checks that a draining server gets no new requests, and that after a reload with another discovery
// address the list is watched there and the old watch is closed.
func TestListAndReload(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
		w1.response, w2.response = decodeResponse, decodeResponse
		oldWatch := h.startInService()
		h.connectClient().expectServed(1)
		h.sendChange(oldWatch, 43, h.drainingEndpoint("w1"))
		attemptsBefore := w1.attempts()
		for n := 2; n < 8; n++ {
			h.connectClient().expectServed(n)
		}
		if w1.attempts() != attemptsBefore {
			h.t.Error("a draining server got a request")
		}
		watch := h.moveDiscovery()
		h.sendList(watch, backend.EndpointList{Version: 44, Full: true, Endpoints: h.endpoints})
		oldWatch.waitForClose()
	})
}

// TestReplacedServers checks that servers and connections do not accumulate when servers are replaced under new names.
func TestReplacedServers(t *testing.T) {
	h := newHarness(t, simulated)
	h.addRespondingServers()
	watch := h.startInService()
	client := h.connectClient()
	for n := range 200 {
		list := backend.EndpointList{Version: int64(43 + n)}
		for i, server := range h.endpoints {
			gone := server
			gone.State = "Gone"
			server.ID = "h" + requestID(2*n+i)
			h.endpoints[i] = server
			list.Endpoints = append(list.Endpoints, gone, server)
		}
		h.sendList(watch, list)
		if n%20 == 0 {
			client.expectServed(n)
		}
	}
	if servers, conns := h.node.backend.ServerCount(), h.node.backend.ConnCount(); servers > 2 || conns > 4 {
		t.Errorf("got %d servers and %d connections, want at most 2 and 4", servers, conns)
	}
}

// TestListForms checks that a list may have any JSON formatting and arrive in pieces, and that an invalid list changes
// nothing.
func TestListForms(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill")
		watch := h.startInService()
		list := backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.drainingEndpoint("r1")}}
		text, err := json.MarshalIndent(list, "", "\t")
		if err != nil {
			h.t.Fatal(err)
		}
		watch.send(chunk("\n \r\n" + string(text[:7])))
		h.advance(5 * time.Millisecond)
		watch.send(chunk(string(text[7:60])))
		h.advance(5 * time.Millisecond)
		watch.send(chunk(string(text[60:]) + "\n{\"version\":44,\"full\":false,\"servers\":[]}"))
		h.waitForListUpdate(2)
		watch.send(chunk("{\"version\": 45, \"servers\": [}]}"))
		if line := h.discovery.accept().readRequest(); !strings.Contains(line, "from=44") {
			h.t.Errorf("got %q, want a call for the changes after version 44", line)
		}
		h.expectRejected()
	})
}

// TestUnreadableEntry checks that an invalid entry does not invalidate the others, and that its server keeps its
// previous listing.
func TestUnreadableEntry(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		h.addServer("w1", "decode").response = decodeResponse
		unlisted := h.addServer("w2", "decode")
		watch := h.startInService()
		updatesBefore := h.listUpdates()
		list := listText(backend.EndpointList{Version: 43, Full: true, Endpoints: h.endpoints[:2]})
		watch.send(chunk(strings.Replace(list, `"cell":0`, `"cell":"x"`, 1))) // the entry of r1 is invalid
		h.waitForListUpdate(updatesBefore)
		for n := range 4 {
			client := h.connectClient()
			client.send(request(requestID(n)))
			client.expect("[DONE]")
		}
		if !unlisted.hasNoNewConns() {
			h.t.Error("a server that the list does not name got a request")
		}
	})
}

// TestUnreadableWholeList checks that a full list without a valid entry leaves the servers unchanged and is requested
// again, and that a full list with an empty array of servers is applied.
func TestUnreadableWholeList(t *testing.T) {
	for name, c := range map[string]struct {
		list         string
		keepsServers bool
	}{
		"no servers named":  {`{"version":43,"full":true}`, true},
		"null":              {`{"version":43,"full":true,"servers":null}`, true},
		"no entry readable": {`{"version":43,"full":true,"servers":[{"id":5},7]}`, true},
		"an empty array":    {`{"version":43,"full":true,"servers":[]}`, false},
		"an empty change":   {`{"version":43,"full":false}`, true},
	} {
		t.Run(name, func(t *testing.T) {
			onEachNetwork(t, func(h *harness) {
				h.addServer("r1", "prefill").response = prefillResponse
				h.addServer("w1", "decode").response = decodeResponse
				watch := h.startInService()
				updatesBefore := h.listUpdates()
				watch.send(chunk(c.list))
				if !c.keepsServers {
					h.waitForListUpdate(updatesBefore)
					h.expectRejected()
					return
				}
				if strings.Contains(c.list, "true") {
					if line := h.discovery.accept().readRequest(); !strings.Contains(line, "from=42") {
						h.t.Errorf("got %q, want a call for the changes after version 42", line)
					}
				}
				client := h.connectClient()
				client.send(request(requestID(1)))
				client.expect("[DONE]")
			})
		})
	}
}

// TestServerRestarted checks that a server that has restarted at the same address gets no requests on connections to
// its former process.
func TestServerRestarted(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		decode := h.addServer("w1", "decode")
		watch := h.startInService()
		for n, startedMS := range []float64{1, 2} {
			client := h.connectClient()
			client.send(request(requestID(n)))
			conn := decode.accept()
			conn.readRequest()
			conn.send(decodeResponse)
			client.expect("0\r\n\r\n")
			restarted := h.endpoints[1]
			restarted.StartedMS = startedMS
			h.sendChange(watch, 43+int64(n), restarted)
			conn.waitForClose()
		}
	})
}
