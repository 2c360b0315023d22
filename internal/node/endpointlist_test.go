package node

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of endpoint lists and changes of them.

// TestListAndReload: a server that drains gets no new requests. After a change of the configuration the list is
// watched at another address, and the old watch closed.
func TestListAndReload(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
		w1.response, w2.response = decodeResponse, decodeResponse
		old := h.startInService()
		h.connectClient().expectServed(1)
		h.sendChange(old, 43, h.drainingEndpoint("w1"))
		before := w1.attempts()
		for n := 2; n < 8; n++ {
			h.connectClient().expectServed(n)
		}
		if w1.attempts() != before {
			h.t.Error("a draining server got a request")
		}
		watch := h.moveDiscovery()
		h.sendList(watch, backend.EndpointList{Version: 44, Full: true, Endpoints: h.endpoints})
		old.waitForClose()
	})
}

// TestReplacedServers: servers that are replaced under new names leave nothing behind.
func TestReplacedServers(t *testing.T) {
	h := newHarness(t, simulated)
	h.addRespondingServers()
	watch := h.startInService()
	c := h.connectClient()
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
			c.expectServed(n)
		}
	}
	if servers, conns := h.node.backend.ServerCount(), h.node.backend.ConnCount(); servers > 2 || conns > 4 {
		t.Errorf("%d servers known, %d connections, want 2 and few", servers, conns)
	}
}

// TestListForms: lists may come in any form of JSON and in pieces. One that cannot be read changes nothing.
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
			h.t.Errorf("%q, want what came after version 44", line)
		}
		h.expectRejected()
	})
}

// TestUnreadableEntry: an entry that cannot be read does not invalidate the others, and its server stays as it was.
func TestUnreadableEntry(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		h.addServer("w1", "decode").response = decodeResponse
		leftOut := h.addServer("w2", "decode")
		watch := h.startInService()
		before := h.listUpdates()
		list := listText(backend.EndpointList{Version: 43, Full: true, Endpoints: h.endpoints[:2]})
		watch.send(chunk(strings.Replace(list, `"cell":0`, `"cell":"x"`, 1))) // of r1
		h.waitForListUpdate(before)
		for n := range 4 {
			client := h.connectClient()
			client.send(request(requestID(n)))
			client.expect("[DONE]")
		}
		if !leftOut.hasNoNewConns() {
			h.t.Error("a server that the list leaves out got a request")
		}
	})
}

// TestUnreadableWholeList: a full list of which nothing can be read leaves the servers as they are, and is asked for
// again. One that says that there are no servers is applied.
func TestUnreadableWholeList(t *testing.T) {
	for name, c := range map[string]struct {
		list string
		kept bool
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
				before := h.listUpdates()
				watch.send(chunk(c.list))
				if !c.kept {
					h.waitForListUpdate(before)
					h.expectRejected()
					return
				}
				if strings.Contains(c.list, "true") {
					if line := h.discovery.accept().readRequest(); !strings.Contains(line, "from=42") {
						h.t.Errorf("%q, want what came after version 42", line)
					}
				}
				client := h.connectClient()
				client.send(request(requestID(1)))
				client.expect("[DONE]")
			})
		})
	}
}

// TestServerRestarted: a server that has restarted under its address is sent nothing on connections to its former
// process.
func TestServerRestarted(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		decode := h.addServer("w1", "decode")
		watch := h.startInService()
		for n, started := range []float64{1, 2} {
			client := h.connectClient()
			client.send(request(requestID(n)))
			conn := decode.accept()
			conn.readRequest()
			conn.send(decodeResponse)
			client.expect("0\r\n\r\n")
			restarted := h.endpoints[1]
			restarted.StartedMS = started
			h.sendChange(watch, 43+int64(n), restarted)
			conn.waitForClose()
		}
	})
}
