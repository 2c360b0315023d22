package eventloop

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"
)

func TestEchoThroughSmallWrites(t *testing.T) {
	l, on := startLoop(t)
	ln := listen(t, l, on, func(c *Conn) Handler {
		p := &recordingPeer{conn: c}
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
				return // the reader below finds out what is missing
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
		t.Fatal("what came back is not what was sent")
	}
}

// A peer that reads nothing fills its own output queue to the limit and is closed; another peer on the same loop is
// served meanwhile.
func TestBlockedPeerDoesNotDelayOthers(t *testing.T) {
	l, on := startLoop(t)
	var peers []*recordingPeer
	ln := listen(t, l, on, func(c *Conn) Handler {
		p := &recordingPeer{conn: c}
		c.SetOutputLimit(1 << 20)
		p.onReceived = func(b []byte) { c.Write(b) }
		peers = append(peers, p)
		return p
	})
	stuck, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stuck.Close()
	must(t, stuck.(*net.TCPConn).SetReadBuffer(4<<10))
	waitUntil(t, on, "first accepted", func() bool { return len(peers) == 1 })
	quick, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer quick.Close()
	waitUntil(t, on, "second accepted", func() bool { return len(peers) == 2 })
	chunk := make([]byte, 64<<10)
	buf := make([]byte, 4)
	over := false
	for i := 0; i < 2000 && !over; i++ {
		on(func() {
			peers[0].conn.Write(chunk)
			if q := peers[0].conn.QueuedBytes(); q > 1<<20+len(chunk) {
				t.Errorf("%d bytes queued, limit is %d", q, 1<<20)
			}
			over = peers[0].closed > 0
		})
		must(t, quick.SetDeadline(time.Now().Add(5*time.Second)))
		if _, err := quick.Write([]byte("ping")); err != nil {
			t.Fatal(err)
		}
		if _, err := quick.Read(buf); err != nil {
			t.Fatalf("the quick peer got no answer: %v", err)
		}
	}
	if !over {
		t.Fatal("the stuck peer was never closed")
	}
	on(func() {
		if !errors.Is(peers[0].err, ErrOutputLimit) {
			t.Errorf("closed with %v, want %v", peers[0].err, ErrOutputLimit)
		}
		if peers[1].closed > 0 {
			t.Error("the quick peer was closed too")
		}
	})
}

func TestHalfClose(t *testing.T) {
	l, on := startLoop(t)
	var p *recordingPeer
	ln := listen(t, l, on, func(c *Conn) Handler { p = &recordingPeer{conn: c}; return p })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = c.Write([]byte("last words"))
	must(t, err)
	must(t, c.(*net.TCPConn).CloseWrite())
	waitUntil(t, on, "end of the peer's half", func() bool { return p != nil && p.halfClosed })
	on(func() {
		if string(p.received) != "last words" || p.closed > 0 {
			t.Errorf("got %q, closed %d times: want all bytes and an open half", p.received, p.closed)
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
	waitUntil(t, on, "closed", func() bool { return p.closed == 1 })
}

func TestReset(t *testing.T) {
	l, on := startLoop(t)
	var p *recordingPeer
	ln := listen(t, l, on, func(c *Conn) Handler { p = &recordingPeer{conn: c}; return p })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, on, "accepted", func() bool { return p != nil })
	must(t, c.(*net.TCPConn).SetLinger(0))
	c.Close()
	waitUntil(t, on, "reset", func() bool { return p.closed == 1 && p.err != nil })
}

// The end of a peer that has come with its last bytes is reported in the same iteration, before the iteration function.
func TestHalfCloseWithLastBytes(t *testing.T) {
	p := &recordingPeer{}
	l, ends := acceptPeers(t, p)
	_, err := ends[0].Write(make([]byte, 1000))
	must(t, err)
	must(t, ends[0].CloseWrite())
	// Both are in the socket by now: loopback delivers within the call.
	runUntil(t, l, func() bool {
		if len(p.received) > 0 && !p.halfClosed {
			t.Errorf("the iteration function was called after %d bytes, before the end was reported", len(p.received))
		}
		return len(p.received) > 0
	})
	if len(p.received) != 1000 {
		t.Errorf("%d bytes, want all 1000", len(p.received))
	}
}
