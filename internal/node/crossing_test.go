package node

import (
	"net"
	"strings"
	"testing"
	"time"

	exit "docksail/internal/exit/platform"
)

// Tests of events that cross: each forces the order in which one spoils the other.

const noContent = "HTTP/1.1 204 No Content\r\n\r\n"

// A read that waits behind a release is not sent to a host that has begun to drain meanwhile.
func TestDrainWhileReadWaitsForRelease(t *testing.T) {
	s := newStage(t)
	reader := s.scriptedHost("r1", "prefill")
	s.start(1024)
	client := s.client()
	client.send(request(jobName(1)))
	first := reader.accept()
	first.request()
	first.Close() // it may have ended well: what it left is to be released
	release := reader.accept()
	if line := release.request(); !strings.HasPrefix(line, "DELETE ") {
		t.Fatalf("%q, want a release", line)
	}
	until(t, "the second read waits", func() bool { v, _ := s.node.View(); return v.Beliefs[0].Out == 1 })
	drains := s.hosts[0]
	drains.State = "Terminating"
	s.news(exit.List{Version: 42, Servers: []exit.Server{drains}})
	release.send(noContent)
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		t.Errorf("the client got %q, want 503", status)
	}
	if !reader.idle() {
		t.Errorf("a host that drains got %q", reader.accept().request())
	}
}

// discoveryAt puts a scripted discovery in the place of the stage's own, by a new configuration.
func (s *stage) discoveryAt(p *peer) {
	changed := *s.told
	changed.Discovery = addrOf(p)
	s.node.Reload(&changed)
}

// A discovery at a new address may count its versions otherwise: it is asked for the whole list, and its changes are
// taken however low their versions are.
func TestReloadToLowerVersions(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	s.host("w1", "decode", write)
	s.start(1024)
	fresh := newPeer(t)
	s.discoveryAt(fresh)
	watch := fresh.accept()
	if line := watch.request(); strings.Contains(line, "from=") {
		t.Errorf("%q, want a whole list asked for", line)
	}
	drains := s.hosts[1]
	drains.State = "Terminating"
	watch.send(watchHead + chunk(listText(exit.List{Version: 3, Full: true, Servers: s.hosts})) + chunk(listText(exit.List{Version: 4, Servers: []exit.Server{drains}})))
	until(t, "the host drains", func() bool {
		status, _, _, _ := ask(s.dial(), request(jobName(1)))
		return status == 503
	})
}

// The old watch stays until the new one has told something: what the old one tells meanwhile is taken.
func TestReloadKeepsOldWatchUntilNews(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	s.start(1024)
	s.news(exit.List{Version: 42, Servers: s.hosts})
	fresh := newPeer(t)
	s.discoveryAt(fresh)
	watch := fresh.accept()
	watch.request()
	watch.send(watchHead)
	s.news(exit.List{Version: 43, Servers: s.hosts})
	v, _ := s.node.View()
	watch.send(chunk(listText(exit.List{Version: 3, Full: true, Servers: s.hosts})))
	until(t, "news of the new one", func() bool { now, _ := s.node.View(); return now.Exit.News == v.Exit.News+1 })
}

// A watch whose news stops half way, or trickles without ever being whole, is silent: another is begun in time.
func TestWatchThatTrickles(t *testing.T) {
	s := newStage(t)
	s.start(1024)
	fresh := newPeer(t)
	s.discoveryAt(fresh)
	watch := fresh.accept()
	watch.request()
	watch.send(watchHead + chunk(listText(exit.List{Version: 3, Full: true})))
	begun := time.Now()
	stop := make(chan bool)
	defer close(stop)
	go func() {
		for _, c := range `{"version":4,"full":false,"servers":[                                                            ` {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				watch.Write([]byte(chunk(string(c))))
			}
		}
	}()
	if line := fresh.accept().request(); !strings.Contains(line, "from=3") {
		t.Errorf("%q, want what came after version 3", line)
	}
	if took := time.Since(begun); took > 4500*time.Millisecond { // of the six seconds in which one more may fail
		t.Errorf("after %v", took)
	}
}

// A watch that begins its answer and tells nothing is given up as soon as one without an answer.
func TestWatchWithoutNews(t *testing.T) {
	s := newStage(t)
	s.start(1024)
	fresh := newPeer(t)
	s.discoveryAt(fresh)
	watch := fresh.accept()
	watch.request()
	watch.send(watchHead)
	begun := time.Now()
	fresh.accept().request()
	if took := time.Since(begun); took > 1500*time.Millisecond {
		t.Errorf("after %v", took)
	}
}

// An entry that cannot be read does not cost the others, and its host stays as it was.
func TestUnreadableEntry(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	s.host("w1", "decode", write)
	s.host("w2", "decode", write)
	s.start(1024)
	list := listText(exit.List{Version: 42, Full: true, Servers: s.hosts[:2]})
	list = strings.Replace(list, `"cell":0`, `"cell":"x"`, 1) // of r1
	had, _ := s.node.View()
	s.raw <- list
	until(t, "the news", func() bool { v, _ := s.node.View(); return v.Exit.News > had.Exit.News })
	for n := range 4 {
		s.served(s.dial(), n)
	}
	if s.jobsAt("w2") > 0 {
		t.Error("a host that the list leaves out got a job")
	}
}

// A repeat whose connection comes up when its group may no longer remember the first run is not written.
func TestRepeatAfterWindow(t *testing.T) {
	s := newStage(t)
	s.terms = []string{`"effect":"idempotent"`, `"effect":"deduplicated"`, `"window_ns":5000000000`, `"window_ns":700000000`,
		`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`}
	s.host("r1", "prefill", read)
	first := s.scriptedHost("w1", "decode")
	second := newFullPeer(t)
	late := s.hosts[1]
	late.ID, late.Addr = "w2", second.addr()
	s.start(1024)
	client := s.client()
	client.send(request(jobName(1)))
	attempt := first.accept()
	attempt.request()
	s.news(exit.List{Version: 42, Servers: []exit.Server{late}}) // only now: the first attempt is to go to w1
	attempt.send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	until(t, "the repeat is out", func() bool { return s.outAt("w2") == 1 })
	s.let(700 * time.Millisecond)        // the window is over
	if got := second.take(); got != "" { // the system asks again after a second
		t.Errorf("w2 got %q", got)
	}
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		t.Errorf("the client got %q, want 503", status)
	}
}

// An attempt whose connection is still under way as its client leaves does not begin, also where what has begun may not be
// withdrawn.
func TestClientLeavesWhileConnecting(t *testing.T) {
	s := newStage(t)
	s.terms = []string{`"cancel":true`, `"cancel":false`, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`,
		`"on_time_ns":1500000000`, `"on_time_ns":12000000000`} // so long that the attempt is not given up for its time
	reader := newFullPeer(t)
	s.hosts = append(s.hosts, exit.Server{ID: "r1", Addr: reader.addr(), Zone: "z", Kind: "prefill", State: "Ready"})
	s.start(1024)
	client := s.client()
	client.send(request(jobName(1)))
	until(t, "the attempt is out", func() bool { return s.outAt("r1") == 1 })
	client.Close()
	until(t, "its client is gone", func() bool { v, _ := s.node.View(); return v.Jobs.Left == 1 })
	if got := reader.take(); got != "" {
		t.Errorf("r1 got %q", got)
	}
}

// A discovery that refuses calls, as it has more of them than it takes, is asked ever more seldom.
func TestRefusedCallsSlacken(t *testing.T) {
	s := newStage(t)
	s.start(1024)
	fresh := newPeer(t)
	s.discoveryAt(fresh)
	var last time.Time
	for n := range 5 {
		call := fresh.accept()
		call.request()
		if gap := time.Since(last); n > 0 && gap < time.Duration(min(1<<n, 8))*100*time.Millisecond {
			t.Errorf("call %d came %v after the one before", n+1, gap)
		}
		call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		last = time.Now()
	}
}

// An attempt whose connection comes up after its host was told to drain does not begin.
func TestDrainWhileConnecting(t *testing.T) {
	s := newStage(t)
	s.terms = []string{`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`}
	reader := newFullPeer(t)
	s.hosts = append(s.hosts, exit.Server{ID: "r1", Addr: reader.addr(), Zone: "z", Kind: "prefill", State: "Ready"})
	s.start(1024)
	client := s.client()
	client.send(request(jobName(1)))
	until(t, "the attempt is out", func() bool { return s.outAt("r1") == 1 })
	drains := s.hosts[0]
	drains.State = "Terminating"
	s.news(exit.List{Version: 42, Servers: []exit.Server{drains}})
	if got := reader.take(); got != "" {
		t.Errorf("r1 got %q", got)
	}
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		t.Errorf("the client got %q, want 503", status)
	}
}

// What a watch had not told when it was reset is asked for by the next.
func TestWatchResetBeforeItsNews(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	s.host("w1", "decode", write)
	s.start(1024)
	fresh := newPeer(t)
	s.discoveryAt(fresh)
	watch := fresh.accept()
	watch.request()
	had, _ := s.node.View()
	watch.send(watchHead + chunk(listText(exit.List{Version: 3, Full: true, Servers: s.hosts})))
	until(t, "the list", func() bool { v, _ := s.node.View(); return v.Exit.News > had.Exit.News })
	drains := s.hosts[1]
	drains.State = "Terminating"
	watch.send(chunk(listText(exit.List{Version: 4, Servers: []exit.Server{drains}}))[:40])
	watch.reset()
	next := fresh.accept()
	if line := next.request(); !strings.Contains(line, "from=3") {
		t.Errorf("%q, want what came after version 3", line)
	}
	next.send(watchHead + chunk(listText(exit.List{Version: 4, Servers: []exit.Server{drains}})))
	until(t, "the host drains", func() bool {
		status, _, _, _ := ask(s.dial(), request(jobName(1)))
		return status == 503
	})
}

// A host that has started anew under its address is not sent anything on a connection to the process before.
func TestHostStartedAnew(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	writer := s.scriptedHost("w1", "decode")
	s.start(1024)
	for n, started := range []float64{1, 2} {
		client := s.client()
		client.send(request(jobName(n)))
		conn := writer.accept()
		conn.request()
		conn.send(streamHead + chunk(event1) + chunk(event2) + "0\r\n\r\n")
		client.expect("0\r\n\r\n")
		anew := s.hosts[1]
		anew.Started = started
		s.news(exit.List{Version: 42 + int64(n), Servers: []exit.Server{anew}})
		if _, err := conn.rest(); err != nil {
			t.Errorf("the connection to the process before: %v, want its end", err)
		}
	}
}

// Half a line that a host writes on a resting connection is no beginning of the next answer: that connection goes.
func TestHalfLineOnRestingConnection(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	writer := s.scriptedHost("w1", "decode")
	s.start(1024)
	for n := range 2 {
		client := s.client()
		client.send(request(jobName(n)))
		conn := writer.accept()
		conn.request()
		conn.send(streamHead + chunk(event1) + chunk(event2) + "0\r\n\r\n")
		if got := client.expect("0\r\n\r\n"); strings.Count(got, "[DONE]") != 1 {
			t.Errorf("the client got %q", got)
		}
		conn.send("HTTP/1.1 2")
		conn.rest()
	}
}

// An event is passed on when it is whole, whatever is still to come.
func TestEventsPassAtOnce(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	writer := s.scriptedHost("w1", "decode")
	s.start(1024)
	client := s.client()
	client.send(request(jobName(1)))
	conn := writer.accept()
	conn.request()
	first := chunk(event1)
	conn.send(streamHead + first[:len(first)-1])
	conn.send(first[len(first)-1:])
	client.expect("oqvh") // nothing more was written
	for range 3 {
		conn.send(chunk(event1) + chunk(event2)[:9])
		client.expect("oqvh")
		conn.send(chunk(event2)[9:])
		client.expect("[DONE]")
	}
	conn.send("0\r\n\r\n")
	client.expect("0\r\n\r\n")
}

// A dispatcher told to leave, twice, before discovery has said anything serves who waits by the list it was started with.
func TestLeaveBeforeListIsKnown(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	s.host("w1", "decode", write)
	s.deaf.Store(true)
	s.atOnce = true
	s.start(1024)
	client := s.client()
	client.send(request(jobName(1)))
	s.node.Leave()
	s.node.Leave()
	if got := client.expect("0\r\n\r\n"); !strings.Contains(got, " 200 ") || !strings.Contains(got, "Connection: close") {
		t.Errorf("the client got %q", got)
	}
	client.Close()
	select {
	case <-s.node.Done():
	case <-time.After(scriptTimeout):
		t.Error("it has not ended")
	}
}

// Where lists are asked for, a call that discovery takes its time to answer is not given up: its answer counts.
func TestAskedListTakesItsTime(t *testing.T) {
	s := newStage(t)
	s.terms = []string{`"membership_mode":"pushed"`, `"membership_mode":"on_request"`}
	s.start(1024)
	fresh := newPeer(t)
	s.discoveryAt(fresh)
	call := fresh.accept()
	call.request()
	s.let(1800 * time.Millisecond)
	had, _ := s.node.View()
	call.send(watchHead + chunk(listText(exit.List{Version: 3, Full: true})))
	until(t, "the list", func() bool { v, _ := s.node.View(); return v.Exit.News > had.Exit.News })
	if !fresh.idle() {
		t.Error("another call came meanwhile")
	}
}

// Idle clients that fill the descriptors while discovery is away leave one for the watch, and for those that ask.
func TestIdleClientsWhileDiscoveryIsAway(t *testing.T) {
	s := newStage(t)
	s.host("r1", "prefill", read)
	s.host("w1", "decode", write)
	s.start(64)
	away := newPeer(t)
	at := away.ln.Addr().String()
	away.ln.Close()
	s.discoveryAt(away) // nobody listens there
	for range 200 {
		s.dial()
	}
	back, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	conn, err := back.Accept()
	if err != nil {
		t.Fatal(err)
	}
	watch := newPeerConn(t, conn)
	watch.request()
	had, _ := s.node.View()
	watch.send(watchHead + chunk(listText(exit.List{Version: 3, Full: true, Servers: s.hosts})))
	until(t, "the list", func() bool { v, _ := s.node.View(); return v.Exit.News > had.Exit.News })
	s.served(s.dial(), 1)
}
