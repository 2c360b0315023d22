package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"docksail/internal/lab/soak"
)

// soakSettings is the platform's settings object for the dispatchers of a soak. The release time is one second.
const soakSettings = `{
  "family_info": {
    "release_ns": 1000000000, "role_by_kind": ["read", "write"],
    "token_aim_ns": [60000000, 60000000, 60000000],
    "aim_us_per_1000_prompt_tokens": [40000, 40000, 40000]
  },
  "limits": {
    "cancel": true, "conn_idle_ns": 15000000000, "connect_timeout_ns": 250000000, "max_attempts": 6,
    "max_retry_after_ns": 1000000000, "retry_after": true
  },
  "localities": ["z"], "machine_types": ["prefill", "decode"], "me": 0, "siblings": 2, "zone": "z",
  "membership_mode": "pushed", "round_ns": 4000000,
  "request_classes": [
    {"name": "idempotent", "effect": "idempotent", "dedup_scope": "all", "give_up_ns": 6000000000,
     "late_value": 0.1, "on_time_ns": 1500000000, "points": 3, "window_ns": 5000000000},
    {"name": "deduplicated", "effect": "deduplicated", "dedup_scope": "all", "give_up_ns": 6000000000,
     "late_value": 0.1, "on_time_ns": 1500000000, "points": 3, "window_ns": 2000000000},
    {"name": "at_most_once", "effect": "at_most_once", "dedup_scope": "all", "give_up_ns": 6000000000,
     "late_value": 0.1, "on_time_ns": 1500000000, "points": 3, "window_ns": 5000000000}
  ],
  "rules": {
    "answer_slack_ns": 16000000, "cold_from": 0.3, "cold_ns": 1000000000, "fall_multiple": 2.5,
    "fall_ns": 3000000000
  },
  "tenants": []
}`

// heldStateTest runs a dispatcher process in front of one prefill server and one decode server, each behind a proxy.
type heldStateTest struct {
	*testing.T
	fleet      *soak.Fleet
	prefill    *soak.Server
	decode     *soak.Server
	dispatcher *soak.Dispatcher
	client     *soak.Client
}

func newHeldStateTest(t *testing.T) *heldStateTest {
	t.Helper()
	fleet, err := soak.NewFleet(program, t.TempDir(), soakSettings, soak.DefaultLimits(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	h := &heldStateTest{T: t, fleet: fleet, client: soak.NewClient(fleet)}
	if h.prefill, err = fleet.AddServer("r1", true); err != nil {
		t.Fatal(err)
	}
	if h.decode, err = fleet.AddServer("w1", false); err != nil {
		t.Fatal(err)
	}
	if h.dispatcher, err = fleet.AddDispatcher("d1"); err != nil {
		t.Fatal(err)
	}
	return h
}

const (
	heldRequest   = "00000000000000aa" // ID of the request whose KV state is checked
	clientTimeout = 4800 * time.Millisecond
)

// send sends a request whose client waits for clientTimeout. Requests of its class are never retried, so that an
// attempt without a response stays in flight for as long as possible.
func (h *heldStateTest) send(id string) soak.Request {
	h.Helper()
	request := soak.Request{ID: id, Session: "7f3a9c21e0b4d655", Remaining: clientTimeout, Class: "at_most_once"}
	if err := h.client.Send(h.dispatcher, request); err != nil {
		h.Fatal(err)
	}
	return request
}

// serveRequest sends a request and waits until it is served, which leaves idle connections to the servers.
func (h *heldStateTest) serveRequest(id string) {
	h.Helper()
	if outcome := h.client.ReceiveAnswer(h.send(id)); outcome.Status != http.StatusOK || outcome.Err != nil {
		h.Fatalf("status %d, error %v", outcome.Status, outcome.Err)
	}
	time.Sleep(50 * time.Millisecond) // a connection is reused only some milliseconds later
}

// waitForTrace waits until the trace of heldRequest contains text.
func (h *heldStateTest) waitForTrace(text string) {
	h.Helper()
	end := time.Now().Add(10 * time.Second)
	for !strings.Contains(h.fleet.Oracle.Trace(heldRequest), text) {
		if time.Now().After(end) {
			h.Fatalf("the trace does not contain %q after 10 s:\n%s", text, h.fleet.Oracle.Trace(heldRequest))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// planAttempts makes the servers execute attempts as plan says for prefill and for decode attempts.
func (h *heldStateTest) planAttempts(plan func(prefill bool) soak.AttemptPlan) {
	h.fleet.AttemptPlan = func(_ string, prefill bool, _ string) soak.AttemptPlan { return plan(prefill) }
}

// wantReleased waits for longer than KV state may be held and checks that none is held and no invariant was violated.
func (h *heldStateTest) wantReleased() {
	h.Helper()
	time.Sleep(1500 * time.Millisecond)
	for _, violation := range h.fleet.Oracle.Check(soak.Now()) {
		h.Errorf("%s\n%s", violation, h.dispatcherLog())
	}
	if held := h.fleet.Oracle.HeldRequests(); len(held) > 0 {
		h.Errorf("KV state is still held for %v:\n%s\n%s", held, h.fleet.Oracle.Trace(heldRequest), h.dispatcherLog())
	}
	if programErrors, err := h.dispatcher.ProgramErrors(); err != nil || len(programErrors) > 0 {
		h.Errorf("the dispatcher's log: %v, program errors: %v", err, programErrors)
	}
}

// dispatcherLog returns the lines of the dispatcher's log about heldRequest.
func (h *heldStateTest) dispatcherLog() string {
	h.Helper()
	lines, err := h.dispatcher.LogLines(heldRequest)
	if err != nil {
		return err.Error()
	}
	return strings.Join(lines, "\n")
}

// TestHeldStateOnLoopback checks with real processes on loopback that KV state is released in time when attempts and
// releases of its request fail or are delayed.
func TestHeldStateOnLoopback(t *testing.T) {
	for name, script := range map[string]func(h *heldStateTest){
		"a decode attempt on a new connection does not arrive": func(h *heldStateTest) {
			h.decode.Proxy.SetBlocked(soak.Forward, true, false)
			h.send(heldRequest)
			h.waitForTrace("prefill finished at r1")
			h.waitForTrace("attempt started to w1")
		},
		"a decode attempt on an idle connection does not arrive, another connection answers": func(h *heldStateTest) {
			h.serveRequest("0000000000000001")
			h.decode.Proxy.SetBlocked(soak.Forward, true, true) // of the open connections
			h.send(heldRequest)
			h.waitForTrace("attempt started to w1")
			other := soak.NewClient(h.fleet)
			request := soak.Request{
				ID: "0000000000000002", Session: "1", Remaining: clientTimeout, Class: "idempotent",
			}
			if err := other.Send(h.dispatcher, request); err != nil {
				h.Fatal(err)
			}
		},
		"the decode server is suspended while its kernel accepts connections": func(h *heldStateTest) {
			h.decode.Suspend()
			h.Cleanup(h.decode.Resume)
			h.send(heldRequest)
			h.waitForTrace("attempt started to w1")
		},
		"a prefill ends after the release that follows its cancellation": func(h *heldStateTest) {
			h.planAttempts(func(bool) soak.AttemptPlan { return soak.AttemptPlan{Work: 700 * time.Millisecond} })
			h.prefill.Proxy.SetClosesBlocked(true)
			h.send(heldRequest)
			h.waitForTrace("attempt received by r1")
			h.client.CancelRequest(heldRequest)
			h.waitForTrace("prefill finished at r1")
			time.Sleep(1500 * time.Millisecond)
			h.prefill.Proxy.SetClosesBlocked(false)
		},
		"a prefill server becomes unreachable when the client cancels": func(h *heldStateTest) {
			h.planAttempts(func(bool) soak.AttemptPlan { return soak.AttemptPlan{Work: 700 * time.Millisecond} })
			h.send(heldRequest)
			h.waitForTrace("attempt received by r1")
			h.prefill.Proxy.SetBlocked(soak.Forward, true, false)
			h.client.CancelRequest(heldRequest)
			h.waitForTrace("prefill finished at r1")
			time.Sleep(1500 * time.Millisecond)
			h.prefill.Proxy.SetBlocked(soak.Forward, false, false)
		},
		"a server refuses a release": func(h *heldStateTest) {
			refused := 0
			h.fleet.ReleaseStatus = func(string, string) int {
				if refused++; refused == 1 {
					return http.StatusServiceUnavailable
				}
				return 0
			}
			h.planAttempts(func(prefill bool) soak.AttemptPlan {
				if prefill {
					return soak.AttemptPlan{}
				}
				return soak.AttemptPlan{Work: 200 * time.Millisecond}
			})
			h.send(heldRequest)
			h.waitForTrace("attempt received by w1")
			h.client.CancelRequest(heldRequest)
			h.waitForTrace("release rejected")
		},
		"a prefill stores KV state and responds with an error": func(h *heldStateTest) {
			h.planAttempts(func(prefill bool) soak.AttemptPlan {
				if prefill {
					return soak.AttemptPlan{Status: http.StatusInternalServerError}
				}
				return soak.AttemptPlan{}
			})
			h.send(heldRequest)
			h.waitForTrace("prefill finished at r1")
			h.client.CancelRequest(heldRequest)
		},
		"a decode attempt outlasts a concurrent release and is refused": func(h *heldStateTest) {
			h.serveRequest("0000000000000001")
			h.planAttempts(func(prefill bool) soak.AttemptPlan {
				if prefill {
					return soak.AttemptPlan{}
				}
				return soak.AttemptPlan{Work: 900 * time.Millisecond, Status: http.StatusServiceUnavailable}
			})
			h.send(heldRequest)
			h.waitForTrace("attempt received by w1")
			h.waitForTrace("refused")
			h.client.CancelRequest(heldRequest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHeldStateTest(t)
			script(h)
			h.wantReleased()
		})
	}
}

// connID returns the ID of a connection to a server.
func connID(server string, port int) soak.ConnID { return soak.ConnID{Server: server, Port: port} }

// TestOracle checks that the oracle reports a violation exactly for those sequences of events that contain one.
func TestOracle(t *testing.T) {
	for name, test := range map[string]struct {
		events         func(o *soak.Oracle, start soak.Instant, after func(ms int) soak.Instant)
		wantViolations int
	}{
		"released in time": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.PrefillFinished(start, "a", connID("r1", 1))
			o.ReleaseReceived(after(1200), "a", "w1")
		}, 0},
		"released late": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.PrefillFinished(start, "a", connID("r1", 1))
			o.ReleaseReceived(after(1400), "a", "w1")
		}, 1},
		"never released": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.ReleaseReceived(after(-10), "a", "w1")
			o.PrefillFinished(start, "a", connID("r1", 1))
		}, 1},
		"fetched late": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.PrefillFinished(start, "a", connID("r1", 1))
			o.AttemptReceived(after(1500), "a", false, connID("w1", 2))
		}, 1},
		"the prefill server stops": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.PrefillFinished(start, "a", connID("r1", 1))
			o.ServerStopped(after(500), "r1")
		}, 0},
		"a decode attempt waits, then a release": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.PrefillFinished(start, "a", connID("r1", 1))
			o.AttemptReceived(after(100), "a", false, connID("w1", 2))
			o.ReleaseReceived(after(2000), "a", "r1") // overtakes the attempt
			o.AttemptFinished(after(3000), "a", connID("w1", 2), "over")
			o.AttemptStarted(after(3010), "a", connID("w1", 2))
			o.ConnClosed(after(3010), connID("w1", 2))
			o.ReleaseReceived(after(4000), "a", "r1")
		}, 0},
		"a decode attempt waits, then no release": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.PrefillFinished(start, "a", connID("r1", 1))
			o.AttemptReceived(after(100), "a", false, connID("w1", 2))
			o.ReleaseReceived(after(2000), "a", "r1") // overtakes the attempt
			o.AttemptFinished(after(3000), "a", connID("w1", 2), "over")
			o.AttemptStarted(after(3010), "a", connID("w1", 2))
			o.ConnClosed(after(3010), connID("w1", 2))
		}, 1},
		"a prefill's response is delayed": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.AttemptReceived(start, "a", true, connID("r1", 1))
			o.PrefillFinished(after(100), "a", connID("r1", 1))
			o.AttemptReceived(after(2000), "a", false, connID("w1", 2))
		}, 0},
		"the dispatcher is killed": {func(o *soak.Oracle, start soak.Instant, after func(int) soak.Instant) {
			o.RequestSent(start, "a", "d1")
			o.PrefillFinished(start, "a", connID("r1", 1))
			o.DispatcherKilled(after(10), "d1", soak.Forever)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			start := soak.Now()
			after := func(ms int) soak.Instant { return start + soak.Instant(ms)*soak.Instant(time.Millisecond) }
			oracle := soak.NewOracle(soak.DefaultLimits(time.Second))
			test.events(oracle, start, after)
			if found := oracle.Check(after(5000)); len(found) != test.wantViolations {
				t.Errorf("%d violations, want %d: %s", len(found), test.wantViolations, fmt.Sprint(found))
			}
		})
	}
}
