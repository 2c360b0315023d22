package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"docksail/internal/lab/soak"
)

// soakSettings is the settings object of the dispatchers of a soak: release time one second.
const soakSettings = `{"family_info":{"release_ns":1000000000,"role_by_kind":["read","write"],"token_aim_ns":[60000000,60000000,60000000],
"aim_us_per_1000_prompt_tokens":[40000,40000,40000]},"limits":{"cancel":true,"conn_idle_ns":15000000000,"connect_timeout_ns":250000000,
"max_attempts":6,"max_retry_after_ns":1000000000,"retry_after":true},"localities":["z"],"machine_types":["prefill","decode"],
"me":0,"siblings":2,"zone":"z","membership_mode":"pushed","round_ns":4000000,"request_classes":[
{"dedup_scope":"all","effect":"idempotent","give_up_ns":6000000000,"late_value":0.1,"name":"idempotent","on_time_ns":1500000000,"points":3,"window_ns":5000000000},
{"dedup_scope":"all","effect":"deduplicated","give_up_ns":6000000000,"late_value":0.1,"name":"deduplicated","on_time_ns":1500000000,"points":3,"window_ns":2000000000},
{"dedup_scope":"all","effect":"at_most_once","give_up_ns":6000000000,"late_value":0.1,"name":"at_most_once","on_time_ns":1500000000,"points":3,"window_ns":5000000000}],"rules":{"answer_slack_ns":16000000,"cold_from":0.3,"cold_ns":1000000000,"fall_multiple":2.5,
"fall_ns":3000000000},"tenants":[]}`

// heldStateTest is a dispatcher's process before one prefill server and one decode server, with proxies between them.
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

const heldRequest = "00000000000000aa"

// send sends a request whose client waits for nearly five seconds. It is of a class that is not repeated: an attempt
// that is silent stays out for as long as may be.
func (h *heldStateTest) send(id string) soak.Request {
	h.Helper()
	r := soak.Request{ID: id, Session: "7f3a9c21e0b4d655", Remaining: 4800 * time.Millisecond, Effect: "at_most_once"}
	if err := h.client.Send(h.dispatcher, r); err != nil {
		h.Fatal(err)
	}
	return r
}

// served has a request served, so that there are connections that may be used again.
func (h *heldStateTest) served(id string) {
	h.Helper()
	if o := h.client.ReceiveAnswer(h.send(id)); o.Status != http.StatusOK || o.Err != nil {
		h.Fatalf("%d, %v", o.Status, o.Err)
	}
	time.Sleep(50 * time.Millisecond) // connections rest for some milliseconds before they are used again
}

// until waits for a line of the request's trace.
func (h *heldStateTest) until(text string) {
	h.Helper()
	for end := time.Now().Add(10 * time.Second); !strings.Contains(h.fleet.Oracle.Trace(heldRequest), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			h.Fatalf("no %q within 10 s:\n%s", text, h.fleet.Oracle.Trace(heldRequest))
		}
	}
}

// wantReleased waits for as long as a state may be held, and some more, and wants none left and no rule broken.
func (h *heldStateTest) wantReleased() {
	h.Helper()
	time.Sleep(1500 * time.Millisecond)
	for _, broken := range h.fleet.Oracle.Check(soak.Now()) {
		h.Errorf("%s\n%s", broken, h.dispatcherLog())
	}
	if held := h.fleet.Oracle.HeldRequests(); len(held) > 0 {
		h.Errorf("held for %v:\n%s\n%s", held, h.fleet.Oracle.Trace(heldRequest), h.dispatcherLog())
	}
	if faults, err := h.dispatcher.ProgramErrors(); err != nil || len(faults) > 0 {
		h.Errorf("%v: %v", err, faults)
	}
}

// dispatcherLog returns the lines of the dispatcher's log about the request.
func (h *heldStateTest) dispatcherLog() string {
	h.Helper()
	lines, err := h.dispatcher.LogLines(heldRequest)
	if err != nil {
		return err.Error()
	}
	return strings.Join(lines, "\n")
}

// A state is released in time whatever happens to the attempts and releases of its request: real processes over
// loopback.
func TestHeldStateOnLoopback(t *testing.T) {
	for name, script := range map[string]func(h *heldStateTest){
		"a write on a new connection does not arrive": func(h *heldStateTest) {
			h.decode.Proxy.SetBlocked(soak.Forward, true, false)
			h.send(heldRequest)
			h.until("read at r1")
			h.until("begun to w1")
		},
		"a write on a kept connection does not arrive, another connection speaks": func(h *heldStateTest) {
			h.served("0000000000000001")
			h.decode.Proxy.SetBlocked(soak.Forward, true, true) // of the connections that there are
			h.send(heldRequest)
			h.until("begun to w1")
			other := soak.NewClient(h.fleet)
			if err := other.Send(h.dispatcher, soak.Request{ID: "0000000000000002", Session: "1", Remaining: 4800 * time.Millisecond, Effect: "idempotent"}); err != nil {
				h.Fatal(err)
			}
		},
		"the decode server hangs and its system takes connections": func(h *heldStateTest) {
			h.decode.Suspend()
			h.Cleanup(h.decode.Resume)
			h.send(heldRequest)
			h.until("begun to w1")
		},
		"a read ends after the release that followed its client's end": func(h *heldStateTest) {
			h.fleet.AttemptPlan = func(_ string, read bool, _ string) soak.AttemptPlan {
				return soak.AttemptPlan{Work: 700 * time.Millisecond}
			}
			h.prefill.Proxy.SetClosesBlocked(true)
			h.send(heldRequest)
			h.until("arrived at r1")
			h.client.CancelRequest(heldRequest)
			h.until("read at r1")
			time.Sleep(1500 * time.Millisecond)
			h.prefill.Proxy.SetClosesBlocked(false)
		},
		"a prefill server is cut off as its client leaves": func(h *heldStateTest) {
			h.fleet.AttemptPlan = func(_ string, read bool, _ string) soak.AttemptPlan {
				return soak.AttemptPlan{Work: 700 * time.Millisecond}
			}
			h.send(heldRequest)
			h.until("arrived at r1")
			h.prefill.Proxy.SetBlocked(soak.Forward, true, false)
			h.client.CancelRequest(heldRequest)
			h.until("read at r1")
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
			h.fleet.AttemptPlan = func(_ string, read bool, _ string) soak.AttemptPlan {
				if read {
					return soak.AttemptPlan{}
				}
				return soak.AttemptPlan{Work: 200 * time.Millisecond}
			}
			h.send(heldRequest)
			h.until("arrived at w1")
			h.client.CancelRequest(heldRequest)
			h.until("release refused")
		},
		"a read that left its state is answered as failed": func(h *heldStateTest) {
			h.fleet.AttemptPlan = func(_ string, read bool, _ string) soak.AttemptPlan {
				if read {
					return soak.AttemptPlan{Status: http.StatusInternalServerError}
				}
				return soak.AttemptPlan{}
			}
			h.send(heldRequest)
			h.until("read at r1")
			h.client.CancelRequest(heldRequest)
		},
		"a write waits past a release beside it and is refused": func(h *heldStateTest) {
			h.served("0000000000000001")
			h.fleet.AttemptPlan = func(_ string, read bool, _ string) soak.AttemptPlan {
				if read {
					return soak.AttemptPlan{}
				}
				return soak.AttemptPlan{Work: 900 * time.Millisecond, Status: http.StatusServiceUnavailable}
			}
			h.send(heldRequest)
			h.until("arrived at w1")
			h.until("refused")
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

// connID returns the name of a connection.
func connID(server string, port int) soak.ConnID { return soak.ConnID{Server: server, Port: port} }

// What the ledger judges by is seen on accounts that are known to be right or wrong.
func TestLedger(t *testing.T) {
	for name, c := range map[string]struct {
		events func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant)
		broken int
	}{
		"released in time": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.PrefillFinished(at, "a", connID("r1", 1))
			l.ReleaseReceived(ms(1200), "a", "w1")
		}, 0},
		"released late": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.PrefillFinished(at, "a", connID("r1", 1))
			l.ReleaseReceived(ms(1400), "a", "w1")
		}, 1},
		"never released": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.ReleaseReceived(ms(-10), "a", "w1")
			l.PrefillFinished(at, "a", connID("r1", 1))
		}, 1},
		"taken late": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.PrefillFinished(at, "a", connID("r1", 1))
			l.AttemptReceived(ms(1500), "a", false, connID("w1", 2))
		}, 1},
		"its server died": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.PrefillFinished(at, "a", connID("r1", 1))
			l.ServerStopped(ms(500), "r1")
		}, 0},
		"a write waits, then a release": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.PrefillFinished(at, "a", connID("r1", 1))
			l.AttemptReceived(ms(100), "a", false, connID("w1", 2))
			l.ReleaseReceived(ms(2000), "a", "r1") // passes it by
			l.AttemptFinished(ms(3000), "a", connID("w1", 2), "over")
			l.AttemptStarted(ms(3010), "a", connID("w1", 2))
			l.ConnClosed(ms(3010), connID("w1", 2))
			l.ReleaseReceived(ms(4000), "a", "r1")
		}, 0},
		"a write waits, then no release": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.PrefillFinished(at, "a", connID("r1", 1))
			l.AttemptReceived(ms(100), "a", false, connID("w1", 2))
			l.ReleaseReceived(ms(2000), "a", "r1") // passes it by
			l.AttemptFinished(ms(3000), "a", connID("w1", 2), "over")
			l.AttemptStarted(ms(3010), "a", connID("w1", 2))
			l.ConnClosed(ms(3010), connID("w1", 2))
		}, 1},
		"a read's answer is held up": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.AttemptReceived(at, "a", true, connID("r1", 1))
			l.PrefillFinished(ms(100), "a", connID("r1", 1))
			l.AttemptReceived(ms(2000), "a", false, connID("w1", 2))
		}, 0},
		"its dispatcher was killed": {func(l *soak.Oracle, at soak.Instant, ms func(int) soak.Instant) {
			l.RequestSent(at, "a", "d1")
			l.PrefillFinished(at, "a", connID("r1", 1))
			l.DispatcherKilled(ms(10), "d1")
		}, 0},
	} {
		at := soak.Now()
		ms := func(n int) soak.Instant { return at + soak.Instant(n)*soak.Instant(time.Millisecond) }
		l := soak.NewOracle(soak.DefaultLimits(time.Second))
		c.events(l, at, ms)
		if broken := l.Check(ms(5000)); len(broken) != c.broken {
			t.Errorf("%s: %d rules broken, want %d: %s", name, len(broken), c.broken, fmt.Sprint(broken))
		}
	}
}
