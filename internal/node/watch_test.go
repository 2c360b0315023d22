package node

import (
	"strings"
	"testing"
	"time"

	exit "docksail/internal/exit/platform"
)

// Tests of the watch on discovery's list, in simulated time.

// silentMost is how late a watch that fell silent may be replaced: a change counts as told six seconds after discovery had
// it, and one more call may fail in that time.
const silentMost = 4500 * time.Millisecond

// bytewise cuts a text into chunks of one byte.
func bytewise(text string) []string {
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
		"trickle":      bytewise(unfinished),
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t)
			watch := s.startInService()
			began := s.world.Now()
			watch.sendSlowly(pieces, 100*time.Millisecond)
			if line := s.discovery.accept().request(); !strings.Contains(line, "from=42") {
				t.Errorf("%q, want what came after version 42", line)
			}
			if took := s.since(began); took > silentMost {
				t.Errorf("replaced after %v, want %v at most", took, silentMost)
			}
		})
	}
}

// A watch on which nothing changes lives by its blank lines.
func TestQuietWatchStays(t *testing.T) {
	s := newSimulation(t)
	watch := s.startInService()
	for range 30 {
		s.run(2 * time.Second)
		watch.send(chunk("\n"))
	}
	s.run(time.Second)
	if watch.ended || !s.discovery.idle() {
		t.Error("a watch with a sign of life every two seconds was given up")
	}
}

// A watch that begins its answer and tells nothing, or does not begin it, is given up early.
func TestWatchWithoutNews(t *testing.T) {
	for name, head := range map[string]string{"no answer": "", "no news": watchHead} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t)
			watch := s.start()
			began := s.world.Now()
			watch.send(head)
			s.discovery.accept().request()
			if took := s.since(began); took > 1500*time.Millisecond {
				t.Errorf("replaced after %v", took)
			}
		})
	}
}

// Where lists are asked for, a call that discovery takes its time to answer is not given up: its answer counts.
func TestAskedListTakesItsTime(t *testing.T) {
	s := newSimulation(t, `"membership_mode":"pushed"`, `"membership_mode":"on_request"`)
	call := s.start()
	s.run(2 * time.Second)
	call.send(watchHead)
	s.tell(call, exit.List{Version: 42, Full: true})
	if call.ended || !s.discovery.idle() {
		t.Error("the call was given up, or another one came meanwhile")
	}
}

// A discovery that refuses calls, as it has more of them than it takes, is asked ever more seldom.
func TestRefusedCallsSlacken(t *testing.T) {
	s := newSimulation(t)
	call := s.start()
	for n := 1; n < 5; n++ {
		call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		refused := s.world.Now()
		call = s.discovery.accept()
		call.request()
		if gap, want := s.since(refused), time.Duration(min(1<<n, 8))*100*time.Millisecond; gap < want {
			t.Errorf("call %d came %v after a refusal, want %v at least", n+1, gap, want)
		}
	}
}

// The old watch stays until the new one has told something: what the old one tells meanwhile is taken.
func TestReloadKeepsOldWatchUntilNews(t *testing.T) {
	s := newSimulation(t)
	old := s.startInService()
	fresh := s.peer()
	s.reload(fresh)
	watch := fresh.accept()
	watch.request()
	watch.send(watchHead)
	s.tell(old, exit.List{Version: 43, Full: true, Servers: s.servers})
	s.tell(watch, exit.List{Version: 3, Full: true, Servers: s.servers})
	old.rest()
}

// A discovery at a new address may count its versions otherwise: it is asked for the whole list, and its changes are
// taken however low their versions are.
func TestReloadToLowerVersions(t *testing.T) {
	s := newSimulation(t)
	s.server("r1", "prefill")
	s.startInService()
	fresh := s.peer()
	s.reload(fresh)
	watch := fresh.accept()
	if line := watch.request(); strings.Contains(line, "from=") {
		t.Errorf("%q, want a whole list asked for", line)
	}
	watch.send(watchHead)
	s.tell(watch, exit.List{Version: 3, Full: true, Servers: s.servers})
	s.tell(watch, exit.List{Version: 4, Servers: []exit.Server{s.draining("r1")}})
	s.wantRefused()
}

// What a watch had not told when it was cut off is asked for by the next.
func TestWatchResetBeforeItsNews(t *testing.T) {
	s := newSimulation(t)
	s.server("r1", "prefill")
	watch := s.startInService()
	change := chunk(listText(exit.List{Version: 43, Servers: []exit.Server{s.draining("r1")}}))
	watch.send(change[:40])
	s.run(simulationDelay)
	watch.close()
	next := s.discovery.accept()
	if line := next.request(); !strings.Contains(line, "from=42") {
		t.Errorf("%q, want what came after version 42", line)
	}
	next.send(watchHead + change)
	s.until("the change is taken", func() bool { return s.news() == 2 })
	s.wantRefused()
}

// What discovery knows counts as told from a process's first moment: no request is served before it is asked.
func TestListBeforeRequests(t *testing.T) {
	s := newSimulation(t)
	reader := s.server("r1", "prefill")
	stale := s.server("r2", "prefill")
	watch := s.start()
	client := s.dial()
	client.send(request(jobName(1)))
	s.run(100 * time.Millisecond)
	if !reader.idle() || !stale.idle() {
		t.Fatal("a request went out before the list was known")
	}
	watch.send(watchHead)
	s.tell(watch, exit.List{Version: 50, Full: true, Servers: []exit.Server{s.servers[0], s.draining("r2")}})
	reader.accept().request()
	if !stale.idle() {
		t.Error("a server that drains got a request")
	}
}

// Where discovery does not answer, clients are served soon by the list that the process was started with.
func TestRequestsWithoutDiscovery(t *testing.T) {
	s := newSimulation(t)
	reader := s.server("r1", "prefill")
	s.start()
	began := s.world.Now()
	client := s.dial()
	client.send(request(jobName(1)))
	reader.accept().request()
	if took := s.since(began); took > 300*time.Millisecond {
		t.Errorf("served after %v", took)
	}
}

// A dispatcher told to leave, twice, before discovery has said anything serves who waits by the list it was started with.
func TestLeaveBeforeListIsKnown(t *testing.T) {
	s := newSimulation(t)
	s.server("r1", "prefill").reply = prefillAnswer
	s.server("w1", "decode").reply = decodeAnswer
	watch := s.start()
	client := s.dial()
	client.send(request(jobName(1)))
	s.run(simulationDelay)
	s.node.Leave()
	s.node.Leave()
	if got := client.expect("0\r\n\r\n"); !strings.Contains(got, " 200 ") || !strings.Contains(got, "Connection: close") {
		t.Errorf("the client got %q", got)
	}
	client.close()
	watch.rest() // the process has ended
}
