package node

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	backend "docksail/internal/backend/platform"
)

// Messages that scripted servers, discovery and clients send.

// testSettings are the settings of the dispatchers under test.
const testSettings = `{"family_info":{"release_ns":1000000000,"role_by_kind":["read","write"],
"token_aim_ns":[60000000],"aim_us_per_1000_prompt_tokens":[40000]},
"limits":{"cancel":true,"conn_idle_ns":15000000000,"connect_timeout_ns":250000000,"max_attempts":6,
"max_retry_after_ns":1000000000,"retry_after":true},"localities":["z"],"machine_types":["prefill","decode"],
"me":0,"siblings":2,"zone":"z","membership_mode":"pushed","round_ns":4000000,
"request_classes":[{"dedup_scope":"all","effect":"idempotent","give_up_ns":6000000000,"late_value":0.1,"name":"chat",
"on_time_ns":1500000000,"points":3,"window_ns":5000000000}],
"rules":{"answer_slack_ns":16000000,"cold_from":0.3,"cold_ns":1000000000,"fall_multiple":2.5,"fall_ns":3000000000},
"tenants":[],"unknown":{"key":1}}`

const (
	// watchHead begins the response to a watch.
	watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	// prefillResponse is the response of a prefill server to an attempt.
	prefillResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n" +
		"X-Pressure: {\"x0\":0.1,\"x1\":0}\r\n\r\n{\"cached_tokens\":0}"
	// releaseResponse is the response of any server to a release.
	releaseResponse = "HTTP/1.1 204 No Content\r\n\r\n"
	// streamHead begins the response of a decode server; event1 and event2 follow.
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event1     = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n"
	event2     = "data: [DONE]\n\n"
	streamBody = event1 + event2
)

// decodeResponse is the response of a decode server to an attempt.
var decodeResponse = streamHead + chunk(event1) + chunk(event2) + "0\r\n\r\n"

// chunk encodes a text as one chunk of a chunked body.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// requestBody is the body of client requests.
const requestBody = `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"abcd"}]}`

// contentLength is the Content-Length field for requestBody.
var contentLength = "Content-Length: " + strconv.Itoa(len(requestBody))

// request returns the request of a client. replacements are pairs of old and new texts in it.
func request(id string, replacements ...string) string {
	text := "POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id + "\r\nX-Lane: chat\r\n" +
		"X-Entity: 7f3a9c21e0b4d655\r\nX-Remaining: 4.800\r\n" +
		"X-Labels: prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800\r\n" +
		contentLength + "\r\n\r\n" + requestBody
	return strings.NewReplacer(replacements...).Replace(text)
}

// requestWithBody returns a request whose body has about the given size.
func requestWithBody(id string, bodyBytes int) string {
	body := strings.Replace(requestBody, "abcd", strings.Repeat("a", bodyBytes), 1)
	return request(id, contentLength, fmt.Sprintf("Content-Length: %d", len(body)), requestBody, body)
}

// requestID returns the ID of the n-th request.
func requestID(n int) string { return fmt.Sprintf("%016x", n) }

// readyRequest is a readiness probe.
const readyRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

// listText encodes a list as discovery does: a list without servers has an empty array, not null.
func listText(list backend.EndpointList) string {
	if list.Endpoints == nil {
		list.Endpoints = []backend.Endpoint{}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return string(text)
}
