package platform

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"docksail/internal/decide/memory"
	"docksail/internal/frontend"
	"docksail/policy"
)

// TestResponseBytesAtLimits compares the bytes that clients receive at limits, at timeouts and in a graceful shutdown
// with the golden file.
func TestResponseBytesAtLimits(t *testing.T) {
	cases := []struct {
		name     string
		maxConns int
		run      func(g *goldenServer) string
	}{
		{"id in flight twice", 10, func(g *goldenServer) string {
			first, second := g.dial(), g.dial()
			return exchange(g.t, first, completionRequest("held", validBody)) + exchange(g.t, second, servedRequest)
		}},
		{"client leaves", 10, func(g *goldenServer) string {
			c := g.dial()
			got := exchange(g.t, c, completionRequest("held", validBody))
			if err := c.CloseWrite(); err != nil {
				g.t.Fatal(err)
			}
			got += receive(g.t, c, time.Second)
			g.waitUntil("the dispatcher is notified of the disconnect", func() bool { return g.dispatcher.disconnects > 0 })
			disconnects := 0
			g.runOnLoop(func() { disconnects = g.dispatcher.disconnects })
			return got + fmt.Sprint(disconnects)
		}},
		{"too many partial bytes", 10, func(g *goldenServer) string {
			g.runOnLoop(func() { g.server.limits.Memory = memory.New(100) })
			return exchange(g.t, g.dial(), completionRequest("served", validBody+strings.Repeat(" ", 100)))
		}},
		{"request incomplete", 10, func(g *goldenServer) string {
			c := g.dial()
			send(g.t, c, "POST /")
			began := time.Now()
			got := receive(g.t, c, 2900*time.Millisecond)
			return fmt.Sprint(got, time.Since(began).Round(500*time.Millisecond))
		}},
		{"silent", 10, func(g *goldenServer) string {
			began := time.Now()
			got := receive(g.t, g.dial(), 5*time.Second)
			return fmt.Sprint(got, time.Since(began).Round(500*time.Millisecond))
		}},
		{"silent after the last answer", 10, func(g *goldenServer) string {
			c := g.dial()
			got := exchange(g.t, c, getRequest("/other"))
			began := time.Now()
			g.waitUntil("the connection is closed", func() bool { return g.server.ConnCount() == 0 })
			return fmt.Sprint(got, time.Since(began).Round(time.Second))
		}},
		{"idle connection evicted", 1, func(g *goldenServer) string {
			first := g.dial()
			got := exchange(g.t, first, getRequest("/health/live"))
			second := g.dial()
			got += exchange(g.t, second, getRequest("/health/live")) + receive(g.t, first, time.Second)
			return got + fmt.Sprint(g.counts())
		}},
		{"new connection refused", 1, func(g *goldenServer) string {
			got := exchange(g.t, g.dial(), completionRequest("held", validBody))
			return got + receive(g.t, g.dial(), time.Second) + fmt.Sprint(g.counts())
		}},
		{"drain", 20, drainTranscript},
		{"drain under a stream", 20, drainUnderStreamTranscript},
	}
	results := make([]string, len(cases))
	t.Run("cases", func(t *testing.T) {
		for i, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				results[i] = c.run(startGolden(t, c.maxConns))
			})
		}
	})
	var out strings.Builder
	for i, c := range cases {
		fmt.Fprintf(&out, "=== %s\n%s\n", c.name, strconv.Quote(results[i]))
	}
	compareGolden(t, "testdata/limits.golden", out.String())
}

// drainTranscript drains a server and returns what its clients receive before the listener closes, after that, and
// once requests are rejected.
func drainTranscript(g *goldenServer) string {
	idle, silent, pipelined, held := g.dial(), g.dial(), g.dial(), g.dial()
	got := exchange(g.t, idle, getRequest("/health/ready"))
	send(g.t, pipelined, completionRequest("held", validBody)+servedReplacing("00aa", "00bb"))
	send(g.t, held, strings.Replace(completionRequest("held", validBody), "00aa", "00cc", 1))
	g.waitUntil("both requests are submitted", func() bool { return len(g.dispatcher.writers) == 2 })
	var began time.Time
	g.runOnLoop(func() { g.server.Drain(); began = time.Now() })
	got += "\nready " + exchange(g.t, g.dial(), getRequest("/health/ready"))
	got += "\nserved " + exchange(g.t, g.dial(), servedReplacing("00aa", "00dd"))
	time.Sleep(time.Until(began.Add(520 * time.Millisecond)))
	got += "\nidle " + receive(g.t, idle, time.Second)
	time.Sleep(time.Until(began.Add(700 * time.Millisecond)))
	got += "\nlate " + exchange(g.t, silent, servedReplacing("00aa", "00ee"))
	g.runOnLoop(func() {
		for i, c := range g.conns()[:2] {
			c.Reject(policy.RequestID(i+1), frontend.RejectionError{Reason: "gone"})
		}
	})
	got += "\npipelined " + receive(g.t, pipelined, time.Second)
	got += "\nheld " + receive(g.t, held, time.Second)
	for _, c := range []net.Conn{idle, silent, pipelined, held} {
		c.Close()
	}
	g.waitUntil("the server is drained", g.server.IsIdle)
	_, err := net.Dial("tcp", g.addr.String())
	return got + fmt.Sprintf("\ndial fails: %v\n%v", err != nil, g.counts())
}

// drainUnderStreamTranscript drains a server while it streams a response, and returns what the client receives.
func drainUnderStreamTranscript(g *goldenServer) string {
	c := g.dial()
	got := exchange(g.t, c, completionRequest("held", validBody))
	g.runOnLoop(func() { g.conns()[0].WriteTokens(1, []byte("data: 1\n\n")) })
	got += receive(g.t, c, 100*time.Millisecond)
	g.runOnLoop(func() { g.server.Drain() })
	g.runOnLoop(func() {
		writer := g.conns()[0]
		writer.WriteTokens(1, []byte("data: 2\n\n"))
		writer.Complete(1)
	})
	return got + receive(g.t, c, 100*time.Millisecond)
}
