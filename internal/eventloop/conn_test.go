package eventloop

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"
)

// TestEchoThroughSmallWrites checks that a long input of many small writes is echoed unchanged.
func TestEchoThroughSmallWrites(t *testing.T) {
	l, onLoop := startLoop(t)
	ln := listen(t, l, onLoop, func(c *Conn) Handler {
		p := &connRecorder{conn: c}
		p.onReceived = func(b []byte) { c.Write(b) }
		return p
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	want := bytes.Repeat([]byte("docksail "), 200000)
	go func() {
		for p := want; len(p) > 0; {
			n := min(len(p), 1777)
			if _, err := c.Write(p[:n]); err != nil {
				return // the read below fails
			}
			p = p[n:]
		}
	}()
	got := make([]byte, len(want))
	must(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	for n := 0; n < len(got); {
		m, err := c.Read(got[n:])
		if err != nil {
			t.Fatal(err)
		}
		n += m
	}
	if !bytes.Equal(got, want) {
		t.Fatal("the echoed bytes differ from those sent")
	}
}

// TestBlockedPeerDoesNotDelayOthers checks that a connection whose peer does not read is closed at its output limit,
// and that another connection of the loop is served meanwhile.
func TestBlockedPeerDoesNotDelayOthers(t *testing.T) {
	l, onLoop := startLoop(t)
	var recorders []*connRecorder
	ln := listen(t, l, onLoop, func(c *Conn) Handler {
		p := &connRecorder{conn: c}
		c.SetOutputLimit(1 << 20)
		p.onReceived = func(b []byte) { c.Write(b) }
		recorders = append(recorders, p)
		return p
	})
	blocked, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer blocked.Close()
	must(t, blocked.(*net.TCPConn).SetReadBuffer(4<<10))
	waitUntil(t, onLoop, "first accepted", func() bool { return len(recorders) == 1 })
	other, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	waitUntil(t, onLoop, "second accepted", func() bool { return len(recorders) == 2 })
	chunk := make([]byte, 64<<10)
	buf := make([]byte, 4)
	limitReached := false
	for i := 0; i < 2000 && !limitReached; i++ {
		onLoop(func() {
			recorders[0].conn.Write(chunk)
			if q := recorders[0].conn.QueuedBytes(); q > 1<<20+len(chunk) {
				t.Errorf("%d bytes queued, limit is %d", q, 1<<20)
			}
			limitReached = recorders[0].closed > 0
		})
		must(t, other.SetDeadline(time.Now().Add(5*time.Second)))
		if _, err := other.Write([]byte("ping")); err != nil {
			t.Fatal(err)
		}
		if _, err := other.Read(buf); err != nil {
			t.Fatalf("the other peer received no echo: %v", err)
		}
	}
	if !limitReached {
		t.Fatal("the blocked connection was not closed at its output limit")
	}
	onLoop(func() {
		if !errors.Is(recorders[0].err, ErrOutputLimit) {
			t.Errorf("closed with %v, want %v", recorders[0].err, ErrOutputLimit)
		}
		if recorders[1].closed > 0 {
			t.Error("the other connection was closed too")
		}
	})
}

// TestHalfClose checks that output can be written after the peer has closed its sending side.
func TestHalfClose(t *testing.T) {
	l, onLoop := startLoop(t)
	var p *connRecorder
	ln := listen(t, l, onLoop, func(c *Conn) Handler { p = &connRecorder{conn: c}; return p })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = c.Write([]byte("last bytes"))
	must(t, err)
	must(t, c.(*net.TCPConn).CloseWrite())
	waitUntil(t, onLoop, "half-close reported", func() bool { return p != nil && p.halfClosed })
	onLoop(func() {
		if string(p.received) != "last bytes" || p.closed > 0 {
			t.Errorf("got %q, closed %d times, want all bytes and an open connection", p.received, p.closed)
		}
		p.conn.Write([]byte("answer"))
		p.conn.CloseAfterFlush()
	})
	must(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	buf := make([]byte, 16)
	n, _ := c.Read(buf)
	if string(buf[:n]) != "answer" {
		t.Fatalf("read %q after half-close, want the answer", buf[:n])
	}
	waitUntil(t, onLoop, "closed", func() bool { return p.closed == 1 })
}

// TestReset checks that a reset by the peer is reported with an error.
func TestReset(t *testing.T) {
	l, onLoop := startLoop(t)
	var p *connRecorder
	ln := listen(t, l, onLoop, func(c *Conn) Handler { p = &connRecorder{conn: c}; return p })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, onLoop, "accepted", func() bool { return p != nil })
	must(t, c.(*net.TCPConn).SetLinger(0))
	c.Close()
	waitUntil(t, onLoop, "reset", func() bool { return p.closed == 1 && p.err != nil })
}

// TestHalfCloseWithLastBytes checks that a half-close that arrives with the peer's last bytes is reported in the same
// iteration, before the iteration function is called.
func TestHalfCloseWithLastBytes(t *testing.T) {
	p := &connRecorder{}
	l, clients := acceptConns(t, p)
	_, err := clients[0].Write(make([]byte, 1000))
	must(t, err)
	must(t, clients[0].CloseWrite())
	// Bytes and half-close have arrived: the loopback interface delivers them within the calls.
	runUntil(t, l, func() bool {
		if len(p.received) > 0 && !p.halfClosed {
			t.Errorf("the iteration function was called after %d bytes, before the half-close was reported", len(p.received))
		}
		return len(p.received) > 0
	})
	if len(p.received) != 1000 {
		t.Errorf("received %d bytes, want 1000", len(p.received))
	}
}
